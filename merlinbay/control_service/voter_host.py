"""Runs a voter on real sockets and a disk: one task drives the core and carries out its effects in order.

Inputs that arrive while the disk writes are passed to the core afterwards, so that no voter, client or watch
sees state that is in memory and not yet on the disk. If the disk fails, the effects that depend on unstored
records are dropped; once the disk accepts records again, the core is rebuilt from it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.effects import (
    Persist,
    ProposalDone,
    ReadDone,
    RevisionAdvanced,
    SendMessage,
    VoterEffect,
)
from merlinbay.control.entries import Change, ChangeRejected, ChangeResult
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control.voter import Voter, VoterRole
from merlinbay.control_service.connection import FramedConnection, QueueOverflow
from merlinbay.control_service.durable_log import DurableLog, NotDurableError
from merlinbay.control_service.listening import Acceptor
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.peers import VoterPeers
from merlinbay.control_service.watch_service import WatchService
from merlinbay.log import Log

MAX_INPUTS = 8192  # limit of inputs queued while the disk writes; further messages of voters are dropped

VoterInput = Callable[[Voter, float], None]


@dataclass(slots=True, eq=False)
class AwaitedAnswer:
    """A proposal or read that the core has not answered yet."""

    done: trio.Event = field(default_factory=trio.Event)
    answer: ProposalDone | ReadDone | None = None


class VoterHost:
    """A voter and the watches it serves; start it with ``await nursery.start(host.run, listening)``."""

    def __init__(
        self,
        local_peer: LocalPeer,
        settings: VoterSettings,
        durable: DurableLog,
        address_of: Callable[[str], str],
        generation: Generation,
        watch_settings: WatchServerSettings,
        make_random: Callable[[], Random],
        log: Log,
        *,
        others: Iterable[str] = (),
    ) -> None:
        """``make_random`` returns a generator that is seeded differently each time."""
        self.local_peer, self.settings, self.log = local_peer, settings, log
        self.durable, self._make_random = durable, make_random
        self.voter = self._build()
        self.peers = VoterPeers(local_peer, address_of, make_random())
        self.watches = WatchService(
            self.voter.keyspace, generation, watch_settings, make_random(), others, self._wake_driver
        )
        self.storage_failures = 0
        self.advanced = trio.Event()  # set at each new revision, then replaced by a new event
        self._role = self.voter.role
        self._inputs: deque[VoterInput] = deque()
        self._wake = trio.Event()
        self._pending: dict[int, AwaitedAnswer] = {}  # proposals and reads without an answer, by token
        self._last_token = 0
        self._rebuild = False

    def _build(self) -> Voter:
        return Voter(
            self.local_peer.name,
            self.settings,
            self.durable.records(),
            self._make_random(),
            trio.current_time(),
        )

    async def run(
        self,
        listening: trio.socket.SocketType,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the voter and serve watches until cancelled."""
        acceptor = Acceptor(self.local_peer, _overflow, self._serve)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.durable.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(acceptor.run, listening)
            nursery.start_soon(self._drive, nursery)
            task_status.started()

    async def _serve(self, connection: FramedConnection) -> None:
        if connection.peer_role != "voter":
            await self.watches.streams.serve(connection)
            return
        connection.on_message = partial(self._receive, connection.peer)
        await connection.run()

    def _receive(self, sender: str, message: bytes) -> None:
        self.peers.record_received(sender)
        if len(self._inputs) >= MAX_INPUTS:
            self.local_peer.traffic.messages_dropped += 1
            return
        self._put(lambda voter, now: voter.receive(now, sender, message))

    def _put(self, item: VoterInput) -> None:
        self._inputs.append(item)
        self._wake_driver()

    def _wake_driver(self) -> None:
        self._wake.set()

    async def _drive(self, nursery: trio.Nursery) -> None:
        while True:
            deadline = min(self.voter.next_deadline(), self.watches.next_deadline())
            with trio.CancelScope(deadline=deadline):
                await self._wake.wait()
            self._wake = trio.Event()
            if self._rebuild:
                self._restart_core()
            now = trio.current_time()
            inputs, self._inputs = self._inputs, deque()
            for item in inputs:
                item(self.voter, now)
            self.voter.tick(now)
            await self._carry_out(self.voter.take_effects(), nursery)
            self.peers.keep(self.voter.voters)
            self._log_role()
            self.watches.turn(self.voter.keyspace, self.voter.age(trio.current_time()))

    async def _carry_out(self, effects: list[VoterEffect], nursery: trio.Nursery) -> None:
        """Store all records first, in one commit, then carry out the other effects in order."""
        records = [effect for effect in effects if isinstance(effect, Persist)]
        if records:
            try:
                await self.durable.append(records)
            except NotDurableError as error:
                effects = self._drop_unstored(effects, error)
                nursery.start_soon(self._await_storage)
        for effect in effects:
            self._carry_out_one(effect)

    def _drop_unstored(self, effects: list[VoterEffect], error: NotDurableError) -> list[VoterEffect]:
        """Report the failure to the core; return the effects that may still be carried out."""
        self.storage_failures += 1
        self.log.event("control_storage_failed", level="error", error=str(error))
        first = next(index for index, effect in enumerate(effects) if isinstance(effect, Persist))
        self.voter.storage_failed(trio.current_time(), effects[first:])
        # A voter whose storage has failed has nothing more to store.
        rest = [effect for effect in self.voter.take_effects() if not isinstance(effect, Persist)]
        return effects[:first] + rest

    async def _await_storage(self) -> None:
        if await self.durable.recovered():
            self._rebuild = True
            self._wake_driver()

    def _restart_core(self) -> None:
        """Rebuild the core from the records on the disk, as after a crash."""
        self._rebuild = False
        self.voter = self._build()
        self.log.event("control_storage_recovered", revision=self.voter.keyspace.revision)

    def _carry_out_one(self, effect: VoterEffect) -> None:
        match effect:
            case SendMessage():
                self.peers.send(effect.receiver, effect.message)
            case ProposalDone() | ReadDone():
                self._answer(effect)
            case RevisionAdvanced():
                self.advanced.set()
                self.advanced = trio.Event()

    def _log_role(self) -> None:
        role = self.voter.role
        if role is not self._role:
            self._role = role
            level = "info" if role in (VoterRole.LEADER, VoterRole.FOLLOWER) else "debug"
            self.log.event("control_role", level=level, role=role.value, term=self.voter.term)

    def _answer(self, effect: ProposalDone | ReadDone) -> None:
        pending = self._pending.get(effect.token)
        if pending is not None and pending.answer is None:
            pending.answer = effect
            pending.done.set()

    async def _ask(self, make: Callable[[int], VoterInput]) -> ProposalDone | ReadDone:
        self._last_token += 1
        token = self._last_token
        pending = self._pending[token] = AwaitedAnswer()
        try:
            self._put(make(token))
            await pending.done.wait()
        finally:
            del self._pending[token]
        assert pending.answer is not None
        return pending.answer

    async def propose(self, change: Change) -> ChangeResult:
        """Propose a change and return its result."""
        return await self._ask_change(lambda token: lambda voter, now: voter.propose(now, change, token))

    async def change_voters(self, add: str | None, remove: str | None) -> ChangeResult:
        """Add, remove or replace a voter and return the result."""
        return await self._ask_change(
            lambda token: lambda voter, now: voter.change_voters(now, add, remove, token)
        )

    async def _ask_change(self, make: Callable[[int], VoterInput]) -> ChangeResult:
        answer = await self._ask(make)
        if isinstance(answer, ProposalDone):
            return answer.result
        return ChangeRejected("invalid", "expected the result of a change, received that of a read")

    async def read(self, key: str) -> ReadDone:
        """Read a key linearizably."""
        answer = await self._ask(lambda token: lambda voter, now: voter.read(now, key, token))
        assert isinstance(answer, ReadDone)
        return answer

    def transfer_leadership(self) -> None:
        """Transfer leadership to the voter whose log is most up to date."""
        self._put(lambda voter, now: voter.transfer_leadership(now))


def _overflow(role: str) -> QueueOverflow:
    return QueueOverflow.DROP_OLDEST if role == "voter" else QueueOverflow.CLOSE
