"""Push/pull: the exchange of whole member tables over a stream, by which nodes also join. No I/O.

It exchanges periodically with a random member, and with seeds until the node has joined. An exchange that
fails is not repeated at once; the next periodic one or the next attempt to join takes its place.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from merlinbay.fleet.effects import MembershipEventKind
from merlinbay.fleet.event_log import MembershipEventLog
from merlinbay.fleet.local_member import LocalMember
from merlinbay.fleet.member_table import MemberTable
from merlinbay.fleet.members import Health, encode_state
from merlinbay.fleet.messages import FullState, JoinRefused, encode_full_state
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.settings import FleetSettings, timing
from merlinbay.fleet.timers import ViewTimers
from merlinbay.fleet.wire import NEWEST_VERSION, OLDEST_VERSION

# Share of the exchanges that go to a dead member or a seed, so that the sides of a partition find each other.
DEAD_OR_SEED_SHARE = 0.25


class PushPull:
    """Exchanges the member table with one member after another."""

    def __init__(
        self,
        settings: FleetSettings,
        local: LocalMember,
        table: MemberTable,
        outbox: Outbox,
        timers: ViewTimers,
        events: MembershipEventLog,
        rng: Random,
    ) -> None:
        self._settings, self._local, self._table = settings, local, table
        self._outbox, self._timers, self._events, self._rng = outbox, timers, events, rng
        self._requests: dict[int, str] = {}  # addresses of the requests under way by token
        self.seeds: list[str] = list(settings.seeds)
        self.has_joined = False  # whether an exchange has succeeded
        self.extra_fields: Callable[[], dict[str, Any]] = dict  # returns fields to send along with the table

    def start(self) -> None:
        """Start joining and the periodic exchanges."""
        self._timers.schedule(0.0, self._join)
        self._timers.schedule(self._interval_s(), self._exchange_periodically)

    def _interval_s(self) -> float:
        return timing(self._settings, len(self._table.active())).push_pull_s * self._rng.uniform(0.75, 1.25)

    def _exchange_periodically(self) -> None:
        self._timers.schedule(self._interval_s(), self._exchange_periodically)
        self.exchange_with_any()

    def exchange_with_any(self) -> None:
        """Exchange with a random active member, or sometimes with a dead member or a seed."""
        active = [member.state.addr for member in self._table.active_peers()]
        others = [
            member.state.addr
            for member in self._table.members.values()
            if member.health is Health.DEAD and member.state.addr
        ]
        others += [seed for seed in self.seeds if seed not in active and seed != self._local.state.addr]
        if others and (not active or self._rng.random() < DEAD_OR_SEED_SHARE):
            self.exchange_with(self._rng.choice(others))
        elif active:
            self.exchange_with(self._rng.choice(active))

    def _join(self) -> None:
        """Exchange with random seeds until one has answered.

        The intervals are random, because all nodes of a fleet may start at the same time.
        """
        if self.has_joined:
            return
        seeds = [seed for seed in self.seeds if seed != self._local.state.addr]
        if seeds:
            self.exchange_with(self._rng.choice(seeds), is_joining=True)
        self._timers.schedule(self._settings.probe * self._rng.uniform(0.5, 1.5), self._join)

    def exchange_with(self, addr: str, is_joining: bool = False) -> None:
        """Start an exchange with the node at an address."""
        token = self._outbox.next_sequence()
        self._requests[token] = addr
        self._outbox.request(addr, token, self.full_state(is_joining))

    def full_state(self, is_joining: bool = False) -> dict[str, Any]:
        """Return the message that carries the member table."""
        members = self._table.members.values()
        own = self._local.state
        state = FullState(
            own.name,
            own.instance,
            own.addr,
            is_joining,
            [OLDEST_VERSION, NEWEST_VERSION],
            [] if self._local.is_silenced else [encode_state(member.state) for member in members],
        )
        return encode_full_state(state) | self.extra_fields()

    def take_request(self, token: int) -> str:
        """Remove a request that has ended and return its address; empty if the token is unknown."""
        return self._requests.pop(token, "")

    def handle_answer(self, addr: str, answer: FullState | JoinRefused | None) -> None:
        """Handle the answer of a node, except for its member table, which the view merges."""
        if isinstance(answer, JoinRefused):
            text = f"by {addr}: {answer.reason[:200]}"
            self._events.record(MembershipEventKind.REFUSED, self._local.name, text)
        elif isinstance(answer, FullState):
            self.has_joined = True

    def refusal_of(self, state: FullState) -> str:
        """Return the reason why the sender may not be a member; empty if it may."""
        versions = state.versions
        if (
            not isinstance(versions, list)
            or len(versions) != 2
            or not all(isinstance(version, int) for version in versions)
            or versions[0] > NEWEST_VERSION
            or versions[1] < OLDEST_VERSION
        ):
            return f"speaks versions {versions}, this fleet {OLDEST_VERSION} to {NEWEST_VERSION}"
        member = self._table.members.get(state.sender)
        if (
            state.is_joining
            and member is not None
            and member.health is Health.ALIVE
            and member.state.instance != state.instance
            and member.state.addr != state.addr
        ):
            return f"the name {member.name} is used at {member.state.addr}"
        return ""
