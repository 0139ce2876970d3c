"""The watching side: one watch at one upstream at a time, and the state that came by it."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec

from merlinbay.control.entries import KeyValue, StateSnapshot
from merlinbay.control.fanout.effects import UpstreamEffect
from merlinbay.control.fanout.messages import NO_GENERATION, Generation, Role
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location, Upstream


class FollowerCounters(msgspec.Struct):
    """What a follower did, for metrics."""

    attempts: int = 0
    moves: int = 0
    busy: int = 0
    lost: int = 0
    malformed: int = 0
    refused: int = 0  # generations that were not taken
    repeated: int = 0  # deltas and snapshots that brought nothing new
    out_of_order: int = 0
    deltas: int = 0
    snapshots: int = 0
    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class Follower:
    """Holds the state of all keys as of a revision that never goes back within a generation."""

    def __init__(
        self,
        member: str,
        location: Location,
        upstreams: Iterable[Upstream],
        settings: FollowerSettings,
        rng: Random,
        *,
        role: Role = Role.FOLLOWER,
        generation: Generation = NO_GENERATION,
        saved: StateSnapshot | None = None,
    ) -> None:
        """Begin with the state ``saved`` of ``generation``, or with none."""
        self.counters = FollowerCounters()
        self.generation = generation
        raise NotImplementedError

    def start(self, now: float) -> None:
        """Look for an upstream."""
        raise NotImplementedError

    def stop(self, now: float) -> None:
        """End the watch on purpose; the state is still served."""
        raise NotImplementedError

    def set_upstreams(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Take a new list of upstreams; a watch at one that is no longer listed moves."""
        raise NotImplementedError

    def connected(self, attempt: int, now: float) -> None:
        """Hear that the stream of an attempt is open."""
        raise NotImplementedError

    def received(self, attempt: int, frame: bytes, now: float) -> None:
        """Take a frame; one that is malformed ends the attempt."""
        raise NotImplementedError

    def closed(self, attempt: int, now: float) -> None:
        """Hear that the stream of an attempt has ended or could not be opened."""
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do what is due."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return when ``tick`` is due; infinity if never."""
        raise NotImplementedError

    def take_effects(self) -> list[UpstreamEffect]:
        """Return what is to be done, once."""
        raise NotImplementedError

    def get(self, key: str) -> KeyValue | None:
        """Return a key's value and revision, None if it does not exist."""
        raise NotImplementedError

    def snapshot(self) -> StateSnapshot:
        """Return the whole state, as it is kept on disk or served on."""
        raise NotImplementedError

    def staleness(self, now: float) -> float:
        """Return how long ago the state was known to be the latest, infinity if it never was."""
        raise NotImplementedError

    @property
    def revision(self) -> int:
        """Return the revision of the state; 0 is the empty state."""
        raise NotImplementedError

    @property
    def upstream(self) -> Upstream | None:
        """Return who serves the watch now."""
        raise NotImplementedError
