"""What has happened to jobs, in order, as far back as there is room. No I/O; the caller tells the time.

Each session has a stream. A reader holds a cursor: the stream's id and the number of the last event that
it has seen. Nothing is kept for a reader, so a slow one costs no memory; one that comes too late is told how
many events it missed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum


class JobEventKind(StrEnum):
    """The events of GFD.194, 8.3.6."""

    NEW_STATE = "NEW_STATE"
    MIGRATED = "MIGRATED"
    ATTRIBUTE_CHANGE = "ATTRIBUTE_CHANGE"


class JournalGapError(Exception):
    """A cursor that was never given out, or whose stream is no more."""


@dataclass(slots=True, eq=False)
class JournalEntry:
    """One event."""

    number: int  # in its stream, from 1 on
    at_us: int
    news: JobEventKind
    job: str
    state: str
    account: str
    machine: str = ""
    members: int = 1  # of an array, where one event stands for several that were never made
    text: bytes = b""  # as the wire has it, once it was written


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Which events a reader wants."""

    news: frozenset[JobEventKind] = frozenset(JobEventKind)
    account: str | None = None  # None: of all accounts
    job: str = ""  # "": of all jobs; an array's id means its members too

    def accepts(self, entry: JournalEntry) -> bool:
        """Tell whether an event is among them."""
        return (
            entry.news in self.news
            and (self.account is None or entry.account == self.account)
            and (not self.job or entry.job == self.job or entry.job.startswith(self.job + "."))
        )


@dataclass(slots=True)
class JournalPage:
    """What a reader gets: events, how far that is, and how many it can no longer have."""

    entries: list[JournalEntry]
    upto: int
    missed: int


@dataclass(slots=True, eq=False)
class SessionStream:
    """The events of one session."""

    id: str
    session: str
    entries: list[JournalEntry] = field(default_factory=list)
    start: int = 0  # place of the oldest one kept: dropping one moves nothing
    last: int = 0  # number of the newest one
    ended: bool = False  # the session is gone: nothing comes any more

    @property
    def first(self) -> int:
        """Return the number of the oldest event kept, of the next one if there is none."""
        return self.last + 1 - (len(self.entries) - self.start)

    def cursor(self, number: int) -> str:
        """Return the cursor of one that has seen all up to a number."""
        return f"{self.id}.{number}"

    def number(self, cursor: str) -> int:
        """Read a cursor. Raises ``JournalGapError``."""
        stream, _, number = cursor.rpartition(".")
        if stream != self.id or not number.isdigit() or len(number) > 18 or int(number) > self.last:
            raise JournalGapError(f"cursor {cursor[:60]!r} is not of this session's events")
        return int(number)

    def since(self, after: int, limit: int, scan: int, wanted: EventFilter) -> JournalPage:
        """Return the next events that are wanted; no more than ``scan`` are looked at."""
        missed = max(0, self.first - 1 - after)
        at = self.start + max(after, self.first - 1) + 1 - self.first
        found: list[JournalEntry] = []
        upto = max(after, self.first - 1)
        for entry in self.entries[at : at + scan]:
            upto = entry.number
            if wanted.accepts(entry):
                found.append(entry)
                if len(found) == limit:
                    break
        return JournalPage(found, upto, missed)

    def drop(self) -> JournalEntry:
        """Drop the oldest event."""
        entry = self.entries[self.start]
        self.start += 1
        if self.start > 64 and self.start * 2 > len(self.entries):
            del self.entries[: self.start]
            self.start = 0
        return entry


class EventJournal:
    """All streams, within so many events and so many bytes: the oldest of all goes first."""

    def __init__(self, most: int, most_bytes: int, new_id: Callable[[], str]) -> None:
        self.most, self.most_bytes, self.new_id = most, most_bytes, new_id
        self.streams: dict[str, SessionStream] = {}
        self.order: deque[SessionStream] = deque()  # whose event is the next oldest
        self.bytes = 0
        self.dropped = 0

    def open(self, session: str) -> SessionStream:
        """Return a session's stream. A session that comes again under a name has a new one."""
        stream = self.streams.get(session)
        if stream is None:
            stream = self.streams[session] = SessionStream(self.new_id(), session)
        return stream

    def close(self, session: str) -> None:
        """Take it that the session is gone; who reads its stream may read it to its end."""
        stream = self.streams.pop(session, None)
        if stream is not None:
            stream.ended = True

    def add(
        self,
        session: str,
        news: JobEventKind,
        job: str,
        state: str,
        account: str,
        at_us: int,
        machine: str = "",
        members: int = 1,
    ) -> SessionStream:
        """Note an event."""
        stream = self.open(session)
        stream.last += 1
        entry = JournalEntry(stream.last, at_us, news, job, state, account, machine, members)
        stream.entries.append(entry)
        self.order.append(stream)
        self.bytes += size_of(entry)
        while len(self.order) > self.most or self.bytes > self.most_bytes:
            self.bytes -= size_of(self.order.popleft().drop())
            self.dropped += 1
        return stream


def size_of(entry: JournalEntry) -> int:
    """Return about how many bytes an event takes, its text as the wire has it included."""
    return 500 + 2 * (len(entry.job) + len(entry.account) + len(entry.machine))
