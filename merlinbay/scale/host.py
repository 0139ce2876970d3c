"""A hollow process: many members of one role in one event loop, led over its standard input and output.

``python -m merlinbay.scale.host`` is started by ``processes``; nobody calls it by hand.
"""

from __future__ import annotations

import gc
import os
import time
from array import array
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from merlinbay.process_memory import resident_bytes
from merlinbay.scale import messages
from merlinbay.scale.layout import address_of, zone_of
from merlinbay.scale.meters import ProcessReading
from merlinbay.scale.registry import ROLES
from merlinbay.scale.roles import HollowMember, MemberContext, MemberRole, RunFacts
from merlinbay.scale.sockets import CURRENT, MemberSockets, MeteredNetwork


@dataclass
class Hosted:
    """One member here."""

    endpoint: MemberSockets
    lives: int = 0
    member: HollowMember | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    over: trio.Event = field(default_factory=trio.Event)


class MemberHost:
    """The members of this process, and what is told of them."""

    def __init__(self, setup: messages.Setup, nursery: trio.Nursery) -> None:
        self.setup, self.nursery = setup, nursery
        self.role: MemberRole = ROLES[setup.role.role]
        self.run = RunFacts(
            setup.net,
            setup.size,
            setup.seed,
            Path(setup.folder),
            setup.topology,
            setup.disturbances,
            setup.numbers,
        )
        self.network = MeteredNetwork(setup.net, setup.topology, frozenset(setup.watched), nursery)
        trio.socket.set_custom_socket_factory(self.network)
        nursery.start_soon(self.network.run)
        self.hosted: dict[int, Hosted] = {}
        self.offset = time.monotonic() - trio.current_time()
        self.recording = False
        self.times: dict[str, dict[str, array[float]]] = {}
        gc.collect()
        self.base_memory = resident_bytes()

    def observe(self, what: str, subject: str, at: float) -> None:
        """Write down what a member observed."""
        if self.recording:
            about = self.times.setdefault(what, {})
            about.setdefault(subject, array("d")).append(at + self.offset)

    async def handle(self, order: messages.Order) -> messages.Answer:
        """Carry an order out."""
        match order:
            case messages.StartMember(number):
                return await self._start(number)
            case messages.StopMember(number):
                return await self._stop(number)
            case messages.Act(number, action, text):
                member = self.hosted[number].member
                assert member is not None
                return messages.OrderDone(await member.act(action, text) + self.offset)
            case messages.GetReading():
                return self._reading()
            case messages.GetProgress():
                running = {number: hosted.member for number, hosted in self.hosted.items()}
                return messages.ProgressReading(
                    {number: member.progress() for number, member in running.items() if member is not None}
                )
            case messages.GetObservations():
                packed = {
                    what: {subject: found.tobytes() for subject, found in about.items()}
                    for what, about in self.times.items()
                }
                return messages.Observations(packed)
            case _:
                self.recording, self.times = True, {}
                return self.done()

    def done(self) -> messages.OrderDone:
        """Return the moment at which something was done."""
        return messages.OrderDone(trio.current_time() + self.offset)

    async def _start(self, number: int) -> messages.OrderDone:
        address = address_of(self.setup.net, number)
        zone = zone_of(self.setup.topology, number)
        hosted = self.hosted.setdefault(number, Hosted(MemberSockets(number, address, zone)))
        hosted.lives += 1
        seed = f"{self.setup.seed} {number} {hosted.lives}"
        context = MemberContext(number, address, self.setup.role, self.run, Random(seed), self.observe)
        hosted.scope, hosted.over = trio.CancelScope(), trio.Event()
        started = trio.Event()
        self.nursery.start_soon(self._life, hosted, context, started)
        await started.wait()
        return self.done()

    async def _life(self, hosted: Hosted, context: MemberContext, started: trio.Event) -> None:
        CURRENT.set(hosted.endpoint)  # every socket that is made in this task and those below it is its own
        hosted.member = member = self.role.member(context)
        with hosted.scope:
            await member.run(started)
        hosted.endpoint.close()
        hosted.over.set()

    async def _stop(self, number: int) -> messages.OrderDone:
        hosted = self.hosted[number]
        hosted.scope.cancel()
        hosted.member = None
        done = self.done()
        await hosted.over.wait()
        return done

    def _reading(self) -> messages.Reading:
        process = ProcessReading(
            time.monotonic(),
            time.process_time(),
            resident_bytes(),
            sum(hosted.member is not None for hosted in self.hosted.values()),
            self.base_memory,
        )
        traffic = {number: hosted.endpoint.traffic for number, hosted in self.hosted.items()}
        return messages.Reading(process, traffic, self.network.watched)


class Orders:
    """Reads frames from a descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.stream = trio.lowlevel.FdStream(os.dup(descriptor))
        self.found = bytearray()

    async def next(self) -> bytes | None:
        """Return the next frame; None: there are no more."""
        while True:
            if len(self.found) >= messages.LENGTH.size:
                (length,) = messages.LENGTH.unpack_from(self.found)
                end = messages.LENGTH.size + length
                if len(self.found) >= end:
                    data = bytes(self.found[messages.LENGTH.size : end])
                    del self.found[:end]
                    return data
            part = await self.stream.receive_some(65536)
            if not part:
                return None
            self.found += part


async def serve() -> None:
    """Carry orders out until the end of input."""
    orders, answers = Orders(0), trio.lowlevel.FdStream(os.dup(1))
    first = await orders.next()
    if first is None:
        return
    setup = messages.decode_order(first)
    assert isinstance(setup, messages.Setup)
    async with trio.open_nursery() as nursery:
        host = MemberHost(setup, nursery)
        await answers.send_all(messages.frame(host.done()))
        while (data := await orders.next()) is not None:
            order = messages.decode_order(data)
            if isinstance(order, messages.StopHost):
                break
            await answers.send_all(messages.frame(await host.handle(order)))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(serve)
