"""A voter on real sockets and a disk: one task drives the core and carries out its effects in order.

Inputs are gathered while the disk writes and given to the core together afterwards, so that what the core
has in memory and not yet on the disk is seen by nobody: neither voters, clients nor watches.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import trio

from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.effects import Effect, Persist, ProposalDone, ReadDone, RevisionAdvanced, Send
from merlinbay.control.entries import Change, ChangeRejected, ChangeResult
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control.voter import Role, Voter
from merlinbay.control_service.connection import Connection, Overflow
from merlinbay.control_service.durable_log import DurableLog, NotDurableError
from merlinbay.control_service.peers import Peers
from merlinbay.control_service.transport import Acceptor, Endpoint
from merlinbay.control_service.watch_service import WatchService
from merlinbay.log import Log

MAX_INPUTS = 8192  # messages of voters that wait while the disk writes; more are lost, as the network loses

Input = Callable[[Voter, float], None]


class VoterHost:
    """One voter, and the watches that it serves: ``await nursery.start(host.run, listening)``."""

    def __init__(
        self,
        endpoint: Endpoint,
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
        self.endpoint, self.settings, self.log = endpoint, settings, log
        self.durable, self._make_random = durable, make_random
        self.voter = self._build()
        self.peers = Peers(endpoint, address_of, make_random())
        self.watches = WatchService(self.voter.keyspace, generation, watch_settings, make_random(), others)
        self.watches.wake = self._awaken
        self.storage_failures = 0
        self.advanced = trio.Event()  # set at each new revision, and replaced
        self._role = self.voter.role
        self._inputs: deque[Input] = deque()
        self._wake = trio.Event()
        self._waiting: dict[int, tuple[trio.Event, list[ProposalDone | ReadDone]]] = {}
        self._last_token = 0
        self._rebuild = False

    def _build(self) -> Voter:
        return Voter(
            self.endpoint.name,
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
        """Vote, and serve watches, until cancelled."""
        acceptor = Acceptor(self.endpoint, _overflow, self._serve)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.durable.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(acceptor.run, listening)
            nursery.start_soon(self._drive, nursery)
            task_status.started()

    async def _serve(self, connection: Connection) -> None:
        if connection.peer_role != "voter":
            await self.watches.streams.serve(connection)
            return
        connection.on_message = partial(self._receive, connection.peer)
        await connection.run()

    def _receive(self, sender: str, message: bytes) -> None:
        self.peers.heard(sender)
        if len(self._inputs) >= MAX_INPUTS:
            self.endpoint.traffic.messages_dropped += 1
            return
        self._put(lambda voter, now: voter.receive(now, sender, message))

    def _put(self, item: Input) -> None:
        self._inputs.append(item)
        self._awaken()

    def _awaken(self) -> None:
        self._wake.set()

    async def _drive(self, nursery: trio.Nursery) -> None:
        while True:
            deadline = min(self.voter.next_deadline(), self.watches.next_deadline())
            with trio.CancelScope(deadline=deadline):
                await self._wake.wait()
            self._wake = trio.Event()
            if self._rebuild:
                self._start_again()
            now = trio.current_time()
            inputs, self._inputs = self._inputs, deque()
            for item in inputs:
                item(self.voter, now)
            self.voter.tick(now)
            await self._carry_out(self.voter.take_effects(), nursery)
            self.peers.keep(self.voter.voters)
            self._tell_role()
            self.watches.turn(self.voter.keyspace, self.voter.age(trio.current_time()))

    async def _carry_out(self, effects: list[Effect], nursery: trio.Nursery) -> None:
        """Store all records first, in one commit: the other effects may only come later for that."""
        records = [effect for effect in effects if isinstance(effect, Persist)]
        if records:
            try:
                await self.durable.append(records)
            except NotDurableError as error:
                effects = self._drop_unstored(effects, error)
                nursery.start_soon(self._await_storage)
        for effect in effects:
            self._carry_out_one(effect)

    def _drop_unstored(self, effects: list[Effect], error: NotDurableError) -> list[Effect]:
        """Tell the core; return what may still be carried out."""
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
            self._awaken()

    def _start_again(self) -> None:
        """Build the core anew from what is on the disk, as after a crash."""
        self._rebuild = False
        self.voter = self._build()
        self.log.event("control_storage_recovered", revision=self.voter.keyspace.revision)

    def _carry_out_one(self, effect: Effect) -> None:
        match effect:
            case Send():
                self.peers.send(effect.receiver, effect.message)
            case ProposalDone() | ReadDone():
                self._answer(effect)
            case RevisionAdvanced():
                self.advanced.set()
                self.advanced = trio.Event()

    def _tell_role(self) -> None:
        role = self.voter.role
        if role is not self._role:
            self._role = role
            level = "info" if role in (Role.LEADER, Role.FOLLOWER) else "debug"
            self.log.event("control_role", level=level, role=role.value, term=self.voter.term)

    def _answer(self, effect: ProposalDone | ReadDone) -> None:
        waiting = self._waiting.get(effect.token)
        if waiting is not None:
            waiting[1].append(effect)
            waiting[0].set()

    async def _ask(self, make: Callable[[int], Input]) -> ProposalDone | ReadDone:
        self._last_token += 1
        token, event = self._last_token, trio.Event()
        answers: list[ProposalDone | ReadDone] = []
        self._waiting[token] = event, answers
        try:
            self._put(make(token))
            await event.wait()
        finally:
            del self._waiting[token]
        return answers[0]

    async def propose(self, change: Change) -> ChangeResult:
        """Propose a change and return what became of it."""
        return await self._ask_change(lambda token: lambda voter, now: voter.propose(now, change, token))

    async def change_voters(self, add: str | None, remove: str | None) -> ChangeResult:
        """Add, remove or replace a voter and return what became of it."""
        return await self._ask_change(
            lambda token: lambda voter, now: voter.change_voters(now, add, remove, token)
        )

    async def _ask_change(self, make: Callable[[int], Input]) -> ChangeResult:
        answer = await self._ask(make)
        if isinstance(answer, ProposalDone):
            return answer.result
        return ChangeRejected("invalid", "answered as a read")

    async def read(self, key: str) -> ReadDone:
        """Read linearizably."""
        answer = await self._ask(lambda token: lambda voter, now: voter.read(now, key, token))
        assert isinstance(answer, ReadDone)
        return answer

    def transfer_leadership(self) -> None:
        """Hand leadership to the voter that is most up to date."""
        self._put(lambda voter, now: voter.transfer_leadership(now))


def _overflow(role: str) -> Overflow:
    return Overflow.DROP_OLDEST if role == "voter" else Overflow.CLOSE
