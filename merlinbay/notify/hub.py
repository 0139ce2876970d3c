"""Events for those who wait for them and for listeners, together: what the front asks. No I/O.

``take`` returns what is to be done: ``PollAnswer`` a poll, or ``CallbackBatch``, a call-back to make. What
came of one is
told by ``ListenerTable.delivered`` and ``failed``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from merlinbay.batch.errors import DrmaaError, invalid_argument, try_later
from merlinbay.batch.timers import Timer, TimerQueue
from merlinbay.notify.journal import (
    EventFilter,
    EventJournal,
    JobEventKind,
    JournalEntry,
    JournalGapError,
    JournalPage,
    SessionStream,
)
from merlinbay.notify.listeners import CallbackBatch, EventListener, ListenerLimits, ListenerTable, closes
from merlinbay.notify.targets import AllowedTargets, TargetError


@dataclass(slots=True, eq=False)
class PendingPoll:
    """A call that waits for events."""

    call: object
    stream: SessionStream
    after: int
    limit: int
    wanted: EventFilter
    timer: Timer | None = None
    done: bool = False


@dataclass(slots=True)
class PollAnswer:
    """The answer to a poll: events, or (at its time's end) none."""

    call: object
    stream: SessionStream
    page: JournalPage


class EventHub:
    """The journal, the polls and the listeners of one front."""

    def __init__(
        self,
        journal: EventJournal,
        bounds: ListenerLimits,
        polls: int,
        allowed: AllowedTargets,
        timers: TimerQueue,
        new_id: Callable[[], str],
        rng: Random,
    ) -> None:
        self.journal, self.bounds, self.most_polls, self.allowed = journal, bounds, polls, allowed
        self.timers, self.new_id = timers, new_id
        self.listeners = ListenerTable(bounds, timers, rng)
        self.polls: dict[object, PendingPoll] = {}
        self.waiting: dict[SessionStream, dict[PendingPoll, None]] = {}
        self.fresh: dict[SessionStream, None] = {}  # streams with something new
        self.answers: list[PollAnswer] = []

    def tell(
        self,
        session: str,
        news: JobEventKind,
        job: str,
        state: str,
        account: str,
        at_us: int,
        machine: str = "",
        members: int = 1,
    ) -> None:
        """Note an event."""
        self.fresh[self.journal.add(session, news, job, state, account, at_us, machine, members)] = None

    def close(self, session: str) -> None:
        """Take it that a session is destroyed: its polls end, its listeners get the rest."""
        stream = self.journal.streams.get(session)
        if stream is None:
            return
        closes(self.journal, self.listeners, session)
        for poll in list(self.waiting.get(stream, ())):
            self._end(poll, self._page(stream, poll.after, poll.limit, poll.wanted))

    def poll(
        self,
        call: object,
        session: str,
        cursor: str,
        limit: int,
        wanted: EventFilter,
        until_us: int,
        now_us: int,
    ) -> None:
        """Answer the call with what came after the cursor, now or once something comes.

        Without a cursor all that is kept comes; ``now`` means only what comes from now on, and is answered
        at once. Raises ``DrmaaError``.
        """
        stream = self.journal.open(session)
        if cursor == "now":
            self.answers.append(PollAnswer(call, stream, JournalPage([], stream.last, 0)))
            return
        after = self._after(stream, cursor) if cursor else stream.first - 1
        page = self._page(stream, after, limit, wanted)
        if page.entries or page.missed or until_us <= now_us:
            self.answers.append(PollAnswer(call, stream, page))
            return
        # Guards against polls that hold every edge connection.
        if len(self.polls) >= self.most_polls:
            raise try_later("too many calls wait for events", 200_000)
        poll = self.polls[call] = PendingPoll(call, stream, page.upto, limit, wanted)
        self.waiting.setdefault(stream, {})[poll] = None
        poll.timer = self.timers.at(until_us, lambda now: self._late(poll))

    def _after(self, stream: SessionStream, cursor: str) -> int:
        try:
            return stream.number(cursor)
        except JournalGapError as error:
            raise invalid_argument(str(error), missing=True) from None

    def _page(self, stream: SessionStream, after: int, limit: int, wanted: EventFilter) -> JournalPage:
        """Return the next page. What is not wanted is passed over, to the stream's end."""
        page = stream.since(after, limit, self.bounds.scan, wanted)
        while not page.entries and not page.missed and page.upto < stream.last:
            page = stream.since(page.upto, limit, self.bounds.scan, wanted)
        return page

    def forget(self, call: object) -> None:
        """Take it that the caller has left."""
        poll = self.polls.get(call)
        if poll is not None:
            self._clear(poll)

    def _late(self, poll: PendingPoll) -> None:
        poll.timer = None
        if not poll.done:
            self._end(poll, self._page(poll.stream, poll.after, poll.limit, poll.wanted))

    def _end(self, poll: PendingPoll, page: JournalPage) -> None:
        self._clear(poll)
        self.answers.append(PollAnswer(poll.call, poll.stream, page))

    def _clear(self, poll: PendingPoll) -> None:
        poll.done = True
        del self.polls[poll.call]
        self.timers.cancel(poll.timer)
        rest = self.waiting[poll.stream]
        del rest[poll]
        if not rest:
            del self.waiting[poll.stream]

    def take(self, now_us: int) -> list[PollAnswer | CallbackBatch]:
        """Return what is to be done now."""
        fresh, self.fresh = self.fresh, {}
        for stream in fresh:
            for poll in list(self.waiting.get(stream, ())):
                page = self._page(stream, poll.after, poll.limit, poll.wanted)
                if page.entries or page.missed:
                    self._end(poll, page)
                else:
                    poll.after = page.upto
            self.listeners.news(stream)
        answers, self.answers = self.answers, []
        return [*answers, *self.listeners.take(now_us)]

    def register(
        self, session: str, url: str, wanted: EventFilter, key: bytes, cursor: str, owner: str
    ) -> EventListener:
        """Register a listener. It gets what comes after the cursor; without one, after this moment."""
        if len(self.listeners.all) >= self.bounds.listeners:
            raise DrmaaError("OutOfResourceException", f"{self.bounds.listeners} listeners are registered")
        try:
            target = self.allowed.target(url)
        except TargetError as error:
            raise DrmaaError("DeniedByDrmsException", f"url: {error}") from None
        stream = self.journal.open(session)
        after = self._after(stream, cursor) if cursor else stream.last
        listener = EventListener(self.new_id(), stream, url, target, wanted, [key], after, owner)
        self.listeners.add(listener)
        return listener

    def listener(self, session: str, listener_id: str, owner: str | None) -> EventListener:
        """Return a listener of a session that the asker may know of. Raises ``DrmaaError``."""
        found = self.listeners.all.get(listener_id)
        if (
            found is None
            or found.stream.session != session
            or found.stream.ended
            or (owner is not None and found.owner != owner)
        ):
            raise invalid_argument(f"no listener {listener_id[:60]!r}", missing=True)
        return found


def wanted_of(names: list[str], account: str | None, job: str = "") -> EventFilter:
    """Return which events are meant; none named means all. Raises ``DrmaaError``."""
    try:
        return EventFilter(
            frozenset(JobEventKind(name) for name in names) or frozenset(JobEventKind), account, job
        )
    except ValueError:
        raise invalid_argument(f"events: {', '.join(JobEventKind)}") from None


__all__ = ["CallbackBatch", "EventHub", "EventListener", "JournalEntry", "PollAnswer", "wanted_of"]
