"""Who is called back, with what, and when: one batch at a time to each, so order holds. No I/O.

A listener that has answered well and quickly is in the *quick* lane. What is new, fails or is slow is in the
*trial* lane, which has places of its own: a thousand dead listeners hold those and cost the others nothing.
A failing one is tried again later and later, at moments drawn apart.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from merlinbay.batch.timers import TimerQueue
from merlinbay.notify.journal import EventFilter, EventJournal, JournalEntry, SessionStream
from merlinbay.notify.targets import CallbackTarget


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Numbers, and times in microseconds."""

    listeners: int = 1000
    batch: int = 100  # events in one call-back
    scan: int = 2000  # events that are looked at for one
    quick: int = 16  # call-backs under way to listeners that answer well,
    trial: int = 8  # and to others
    slow_us: int = 500_000  # one that takes so long to answer is slow
    again_us: int = 500_000  # before the first repeat; doubles each time,
    again_most_us: int = 300_000_000  # up to this
    give_up_us: int = 3_600_000_000  # one that has failed for so long is dropped
    overlap_us: int = 86_400_000_000  # how long the key before the last one signs as well


@dataclass(slots=True, eq=False)
class EventListener:
    """One that is called back."""

    id: str
    stream: SessionStream
    url: str
    target: CallbackTarget
    wanted: EventFilter
    keys: list[bytes]  # the newest first
    after: int  # it has all events up to this one
    owner: str = ""
    quick: bool = False
    busy: bool = False  # a call-back to it is under way, or it waits for its place
    upto: int = 0  # where the batch under way ends: a repeat is the same batch
    failures: int = 0  # in a row,
    failing_us: int = 0  # and since when
    due_us: int = 0
    missed: int = 0  # events that it never got, in all
    delivered: int = 0
    old_until_us: int = 0  # when the second key ends
    why: str = ""  # what the last failure was

    @property
    def state(self) -> str:
        """Return a word for people."""
        return "failing" if self.failures else "good" if self.delivered else "new"


@dataclass(slots=True)
class CallbackBatch:
    """A call-back to make."""

    listener: EventListener
    entries: list[JournalEntry]
    upto: int
    missed: int
    keys: list[bytes] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return its id, the same for a repeat."""
        return f"{self.listener.id}.{self.listener.after + 1}-{self.upto}"


class ListenerTable:
    """All of them."""

    def __init__(self, bounds: ListenerLimits, timers: TimerQueue, rng: Random) -> None:
        self.bounds, self.timers, self.rng = bounds, timers, rng
        self.all: dict[str, EventListener] = {}
        self.of: dict[SessionStream, dict[EventListener, None]] = {}
        self.lanes: tuple[deque[EventListener], deque[EventListener]] = (deque(), deque())  # trial, quick
        self.under_way = [0, 0]
        self.dropped = 0  # listeners given up

    def add(self, listener: EventListener) -> None:
        """Take a new one."""
        self.all[listener.id] = listener
        self.of.setdefault(listener.stream, {})[listener] = None
        self.wake(listener)

    def remove(self, listener: EventListener) -> None:
        """Forget one; what is under way to it comes to nothing."""
        if self.all.pop(listener.id, None) is None:
            return
        rest = self.of[listener.stream]
        del rest[listener]
        if not rest:
            del self.of[listener.stream]

    def rotate(self, listener: EventListener, key: bytes, now_us: int) -> None:
        """Sign with a new key; the last one signs as well for a while."""
        listener.keys = [key, listener.keys[0]]
        listener.old_until_us = now_us + self.bounds.overlap_us

    def news(self, stream: SessionStream) -> None:
        """Take it that a stream has something new, or has ended."""
        for listener in list(self.of.get(stream, ())):
            self.wake(listener)

    def wake(self, listener: EventListener) -> None:
        """Let one wait for its place, if there is something for it."""
        if listener.busy or listener.due_us or listener.id not in self.all:
            return
        if listener.after < listener.stream.last:
            listener.busy = True
            self.lanes[listener.quick].append(listener)
        elif listener.stream.ended:
            self.remove(listener)

    def take(self, now_us: int) -> list[CallbackBatch]:
        """Return the call-backs to make now."""
        found = []
        for quick, most in ((False, self.bounds.trial), (True, self.bounds.quick)):
            lane = self.lanes[quick]
            while lane and self.under_way[quick] < most:
                listener = lane.popleft()
                batch = self._batch(listener, now_us) if listener.id in self.all else None
                if batch is not None:
                    self.under_way[quick] += 1
                    found.append(batch)
        return found

    def _batch(self, listener: EventListener, now_us: int) -> CallbackBatch | None:
        if len(listener.keys) > 1 and listener.old_until_us <= now_us:
            del listener.keys[1:]
        stream = listener.stream
        while listener.after < stream.last:
            limit, scan = self.bounds.batch, self.bounds.scan
            if listener.upto > listener.after:  # a repeat: the same events, as far as they are still kept
                scan = max(1, listener.upto - max(listener.after, stream.first - 1))
            page = stream.since(listener.after, limit, scan, listener.wanted)
            if page.entries or page.missed:
                listener.upto = page.upto
                return CallbackBatch(listener, page.entries, page.upto, page.missed, list(listener.keys))
            listener.after = page.upto  # nothing among them is wanted
        listener.busy = False
        self.wake(listener)
        return None

    def delivered(self, batch: CallbackBatch, took_us: int, now_us: int) -> None:
        """Take it that a listener has taken a call-back."""
        listener = self._back(batch)
        listener.after, listener.upto = batch.upto, 0
        listener.missed += batch.missed
        listener.delivered += len(batch.entries)
        listener.failures = listener.failing_us = 0
        listener.quick, listener.why = took_us < self.bounds.slow_us, ""
        self.wake(listener)

    def failed(
        self, batch: CallbackBatch, why: str, now_us: int, wait_us: int = 0, gone: bool = False
    ) -> None:
        """Take it that a call-back failed; ``wait_us``: the listener's wish; ``gone``: it wants no more."""
        listener = self._back(batch)
        listener.failures += 1
        listener.failing_us = listener.failing_us or now_us
        listener.quick, listener.why = False, why
        if gone or now_us - listener.failing_us >= self.bounds.give_up_us:
            self.dropped += listener.id in self.all
            self.remove(listener)
            return
        most = min(self.bounds.again_us << min(listener.failures - 1, 20), self.bounds.again_most_us)
        # Guards against listeners that fail together and come back in step: half of the wait is drawn.
        wait = max(int(most * self.rng.uniform(0.5, 1.0)), min(wait_us, self.bounds.again_most_us))
        listener.due_us = now_us + wait
        self.timers.at(listener.due_us, lambda now: self._due(listener))

    def _due(self, listener: EventListener) -> None:
        listener.due_us = 0
        self.wake(listener)

    def _back(self, batch: CallbackBatch) -> EventListener:
        listener = batch.listener
        self.under_way[listener.quick] -= 1
        listener.busy = False
        return listener


def closes(journal: EventJournal, listeners: ListenerTable, session: str) -> None:
    """Close a session's stream; its listeners get what is left, and go."""
    stream = journal.streams.get(session)
    if stream is not None:
        journal.close(session)
        listeners.news(stream)
