"""A simulated follower of the revision stream.

It polls one voter at a time for deltas or snapshots, changes the voter now and then, and records each state
that it reaches in the history.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

import msgspec

from merlinbay.control.entries import Delta, KeyValue, StateSnapshot
from merlinbay.control.simulation.history import AppliedSeen, History, StateSeen
from merlinbay.control.simulation.scheduler import Scheduler

POLL_INTERVAL_S = 0.3  # mean pause between two polls
MOVE_SHARE = 0.1  # share of polls that first choose a voter anew

StateUpdate = Delta | StateSnapshot


class FollowerEnvironment(Protocol):
    """The parts of the simulation that a follower uses."""

    scheduler: Scheduler
    history: History

    def request_update(
        self, follower: str, voter: str, revision: int, on_answer: Callable[[StateUpdate], None]
    ) -> None:
        """Ask a voter for the changes after a revision; it does not answer if there are none."""


def state_digest(entries: Iterable[KeyValue]) -> bytes:
    """Return a digest of all keys that exist, with their values and revisions."""
    existing = sorted(
        ((entry.key, entry.value, entry.revision) for entry in entries if entry.value is not None),
        key=lambda item: item[0],
    )
    return hashlib.blake2b(msgspec.msgpack.encode(existing), digest_size=16).digest()


class SimulatedFollower:
    """Keeps a copy of all keys.

    It applies the answer to its last request without checks of its own, so that wrong updates of a voter
    become visible in the history.
    """

    def __init__(
        self, name: str, world: FollowerEnvironment, random: Random, voters: tuple[str, ...]
    ) -> None:
        """Create the follower without keys, at revision 0."""
        self.name = name
        self.world = world
        self.random = random
        self.voters = voters
        self.voter = random.choice(voters)
        self.request = 0
        self.revision = 0
        self.entries: dict[str, KeyValue] = {}
        self.snapshots = 0

    def poll(self) -> None:
        """Ask for changes, now and periodically."""
        self.request += 1
        request = self.request
        if self.random.random() < MOVE_SHARE:
            self.voter = self.random.choice(self.voters)
        self.world.request_update(
            self.name, self.voter, self.revision, lambda update: self._on_update(request, update)
        )
        self.world.scheduler.after(POLL_INTERVAL_S * (0.5 + self.random.random()), self.poll)

    def _on_update(self, request: int, update: StateUpdate) -> None:
        if request != self.request:
            return  # The answer is late, or a second copy.
        self.request += 1
        if isinstance(update, StateSnapshot):
            self.snapshots += 1
            self.entries = {}
        self.entries |= {entry.key: entry for entry in update.entries}
        self.revision = update.revision
        history, time = self.world.history, self.world.scheduler.time
        history.followers.append(
            StateSeen(time, self.name, self.revision, state_digest(self.entries.values()))
        )
        history.applied += [AppliedSeen(time, self.name, entry) for entry in update.entries]
