"""The book of slots: who has reserved what, where and when. No I/O; the caller tells the time, in us.

A reservation is a number of slots on one or more servers for a window. What cannot be kept because a server
drains or goes is moved to others with room for the rest of the window; what cannot be moved is lost, and said
at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from merlinbay.batch.errors import DrmaaError, invalid_argument, invalid_state
from merlinbay.batch.timers import NEVER, Timer, TimerQueue
from merlinbay.reserve.timeline import Timeline

TRIES = 256  # starts that are looked at for the earliest one


class Phase(StrEnum):
    """Where a reservation is."""

    BOOKED = "BOOKED"  # its window has not begun
    ACTIVE = "ACTIVE"
    ENDED = "ENDED"


@dataclass(frozen=True, slots=True)
class ReservationLimits:
    """What may be reserved; times in microseconds."""

    most: int = 10_000  # reservations that have not ended
    share: float = 0.5  # of a server's slots, at one time
    ahead_us: int = 7 * 86_400_000_000  # how far off a window may begin,
    length_us: int = 86_400_000_000  # and how long it may be
    unused_us: int = 300_000_000  # an active one that no job has used for so long ends; 0: it lasts
    lead_us: int = 60_000_000  # its slots are kept free from so long before the window on
    kept: int = 1000  # ended ones that are still told of


@dataclass(frozen=True, slots=True)
class ReservationSpec:
    """What is asked for. Missing times are 0 (GFD.194, ReservationTemplate)."""

    low: int  # slots,
    high: int  # and as many of these as there are
    start_us: int = 0
    end_us: int = 0
    duration_us: int = 0
    machines: tuple[str, ...] = ()  # of these; empty: of any
    name: str = ""


@dataclass(slots=True, eq=False)
class Reservation:
    """One reservation."""

    id: str
    wish: ReservationSpec
    account: str | None
    session: str
    start_us: int
    end_us: int
    slots: dict[str, int]  # by server
    phase: Phase = Phase.BOOKED
    lost: int = 0  # slots that could not be kept
    moved: int = 0  # and those that are elsewhere now
    used: dict[object, tuple[str, int]] = field(default_factory=dict)  # by job: server ("": undecided), slots
    used_us: int = 0  # when a job used it last
    why: str = ""  # what happened to it last
    timer: Timer | None = None

    @property
    def total(self) -> int:
        """Return its slots over all servers."""
        return sum(self.slots.values())

    def free(self, server: str) -> int:
        """Return its slots at a server that none of its jobs has."""
        return self.slots.get(server, 0) - sum(slots for at, slots in self.used.values() if at == server)


@dataclass(slots=True, eq=False)
class ReservableServer:
    """A server as the book knows it."""

    slots: int  # that may be reserved
    up: bool = True
    line: Timeline = field(default_factory=Timeline)
    holds: dict[Reservation, None] = field(default_factory=dict)


class ReservationCalendar:
    """All reservations. ``changed`` is called with each one that something happens to, and what that is."""

    def __init__(
        self,
        bounds: ReservationLimits,
        timers: TimerQueue,
        new_id: Callable[[], str],
        changed: Callable[[Reservation, str], None],
    ) -> None:
        self.bounds, self.timers, self.new_id, self.changed = bounds, timers, new_id, changed
        self.servers: dict[str, ReservableServer] = {}
        self.all: dict[str, Reservation] = {}
        self.open = self.turn = 0
        self.ended: dict[Reservation, None] = {}
        self.near: dict[Reservation, None] = {}  # those whose slots are kept free by now

    # Servers.

    def server(self, name: str, slots: int, up: bool, now_us: int) -> None:
        """Take it that a server is there, drains (not ``up``), or has another size."""
        known = self.servers.get(name)
        if known is None:
            known = self.servers[name] = ReservableServer(0)
        known.slots = int(slots * self.bounds.share)
        went = known.up and not up
        known.up = up
        if went:
            self._leave(name, known, "drains", now_us)

    def server_gone(self, name: str, now_us: int) -> None:
        """Take it that a server is gone."""
        known = self.servers.get(name)
        if known is not None:
            known.up = False
            self._leave(name, known, "is gone", now_us)
            del self.servers[name]

    def _leave(self, name: str, server: ReservableServer, why: str, now_us: int) -> None:
        """Move what was reserved there, or say that it is lost; the earliest windows are served first."""
        for found in sorted(server.holds, key=lambda held: (held.start_us, held.id)):
            begin, slots = max(found.start_us, now_us), found.slots.pop(name)
            server.line.add(begin, found.end_us, -slots)
            del server.holds[found]
            left = slots
            for other, room in self._some_rooms(begin, found.end_us, found.wish.machines):
                part = min(room, left)
                self._hold(found, other, begin, found.end_us, part)
                left -= part
                if not left:
                    break
            found.moved, found.lost = found.moved + slots - left, found.lost + left
            found.why = f"{name} {why}: {slots - left} slots moved, {left} lost"
            if not found.slots:
                self._end(found, found.why, now_us)
            else:
                self.changed(found, "MOVED" if not left else "REDUCED")

    # Booking.

    def _rooms(self, start: int, end: int, machines: Iterable[str]) -> list[tuple[str, int]]:
        """Return servers with room for all of a window, the roomiest first."""
        wanted = set(machines)
        found = [
            (name, room)
            for name, server in self.servers.items()
            if server.up
            and (not wanted or name in wanted)
            and (room := server.slots - server.line.most(start, end)) > 0
        ]
        return sorted(found, key=lambda pair: (-pair[1], pair[0]))

    def _some_rooms(self, start: int, end: int, machines: tuple[str, ...]) -> Iterator[tuple[str, int]]:
        """Yield servers with room for all of a window, each time from another one on."""
        # Guards against a server with thousands of reservations that drains: to look for the roomiest
        # place for each would hold up everything else for seconds.
        names = [name for name in machines if name in self.servers] or (
            [] if machines else list(self.servers)
        )
        self.turn += 1
        for place in range(len(names)):
            name = names[(self.turn + place) % len(names)]
            server = self.servers[name]
            if server.up and (room := server.slots - server.line.most(start, end)) > 0:
                yield name, room

    def _hold(self, found: Reservation, name: str, start: int, end: int, slots: int) -> None:
        server = self.servers[name]
        server.line.add(start, end, slots)
        server.holds[found] = None
        found.slots[name] = found.slots.get(name, 0) + slots

    def reserve(self, wish: ReservationSpec, account: str | None, session: str, now_us: int) -> Reservation:
        """Book a wish, at the earliest time that it allows. Raises ``DrmaaError``."""
        begin, latest, length = self._window(wish, now_us)
        if self.open >= self.bounds.most:
            raise DrmaaError("OutOfResourceException", f"{self.bounds.most} reservations are open")
        unknown = [name for name in wish.machines if name not in self.servers]
        if unknown:
            raise invalid_argument(f"candidateMachines: {unknown[0][:80]!r} is not known")
        for start in self._starts(begin, latest, length, wish.machines):
            rooms = self._rooms(start, start + length, wish.machines)
            if sum(room for _, room in rooms) >= wish.low:
                break
        else:
            raise DrmaaError("OutOfResourceException", f"no window with room for {wish.low} slots")
        found = Reservation(self.new_id(), wish, account, session, start, start + length, {})
        left = wish.high
        for name, room in rooms:
            if left:
                self._hold(found, name, start, start + length, min(room, left))
                left -= min(room, left)
        self.all[found.id] = found
        self.open += 1
        found.timer = self.timers.at(
            max(start - self.bounds.lead_us, now_us), lambda now: self._come(found, now)
        )
        return found

    def _window(self, wish: ReservationSpec, now_us: int) -> tuple[int, int, int]:
        """Return the earliest start, the latest one, and the length."""
        start, end, length = wish.start_us, wish.end_us, wish.duration_us
        if not 1 <= wish.low <= wish.high:
            raise invalid_argument("minSlots and maxSlots")
        if not length:
            if not end:
                raise invalid_argument("endTime or duration is needed")
            length = end - (start or now_us)
        begin = max(start, now_us)
        if start and end and not wish.duration_us:
            length = end - begin  # what is past of the window is not needed
        latest = end - length if end else begin if start else now_us + self.bounds.ahead_us
        if length <= 0 or latest < begin:
            raise invalid_argument("startTime, endTime and duration leave no window")
        if length > self.bounds.length_us or begin > now_us + self.bounds.ahead_us:
            raise invalid_argument(
                f"a window begins within {self.bounds.ahead_us // 1_000_000} s and lasts "
                f"{self.bounds.length_us // 1_000_000} s at the most"
            )
        return begin, min(latest, now_us + self.bounds.ahead_us), length

    def _starts(self, begin: int, latest: int, length: int, machines: Iterable[str]) -> list[int]:
        """Return the moments at which room may come up: the first one, and where other windows end."""
        if latest == begin:
            return [begin]
        wanted = set(machines)
        moments = {
            moment
            for name, server in self.servers.items()
            if not wanted or name in wanted
            for moment in server.line.ends(begin, latest + 1)
        }
        return [begin, *sorted(moments)[:TRIES]]

    def extend(self, found: Reservation, end_us: int, now_us: int) -> None:
        """Let it last longer, or end sooner; where there is no room on its servers nothing changes."""
        if found.phase is Phase.ENDED:
            raise invalid_state("the reservation has ended")
        if end_us <= max(found.start_us, now_us):
            raise invalid_argument("endTime has passed, or comes before the start")
        if end_us - found.start_us > self.bounds.length_us:
            raise invalid_argument(f"a window lasts {self.bounds.length_us // 1_000_000} s at the most")
        old = found.end_us
        for name, slots in found.slots.items():
            server = self.servers[name]
            if end_us > old and server.slots - server.line.most(old, end_us) < slots:
                raise DrmaaError("OutOfResourceException", f"{name} has no room until then")
        for name, slots in found.slots.items():
            self.servers[name].line.add(min(old, end_us), max(old, end_us), slots if end_us > old else -slots)
        found.end_us = end_us
        if found.phase is Phase.ACTIVE:
            self._watch(found, now_us)
        self.changed(found, "EXTENDED" if end_us > old else "SHORTENED")

    # Its life.

    def _come(self, found: Reservation, now_us: int) -> None:
        self.near[found] = None
        found.timer = self.timers.at(max(found.start_us, now_us), lambda now: self._begin(found, now))
        self.changed(found, "NEAR")

    def _begin(self, found: Reservation, now_us: int) -> None:
        found.timer, found.phase, found.used_us = None, Phase.ACTIVE, now_us
        self._watch(found, now_us)
        self.changed(found, "ACTIVE")

    def _watch(self, found: Reservation, now_us: int) -> None:
        """Have it looked at when it ends, or has not been used for long."""
        self.timers.cancel(found.timer)
        unused = NEVER
        if self.bounds.unused_us and not found.used:
            unused = found.used_us + self.bounds.unused_us
        found.timer = self.timers.at(min(found.end_us, unused), lambda now: self._look(found, now))

    def _look(self, found: Reservation, now_us: int) -> None:
        found.timer = None
        if now_us >= found.end_us:
            self._end(found, "its window is over", now_us)
        elif not found.used and self.bounds.unused_us and now_us >= found.used_us + self.bounds.unused_us:
            self._end(found, "no job has used it", now_us)
        else:
            self._watch(found, now_us)

    def use(self, found: Reservation, job: object, server: str, slots: int, now_us: int) -> None:
        """Take it that a job of it is at a server, or (``""``) on its way to one."""
        found.used[job] = (server, slots)
        found.used_us = now_us

    def unuse(self, found: Reservation, job: object, now_us: int) -> None:
        """Take it that a job has it no more."""
        if found.used.pop(job, None) is not None and found.phase is Phase.ACTIVE:
            found.used_us = now_us
            self._watch(found, now_us)

    def terminate(self, found: Reservation, now_us: int) -> None:
        """End it."""
        if found.phase is Phase.ENDED:
            raise invalid_state("the reservation has ended")
        self._end(found, "terminated", now_us)

    def _end(self, found: Reservation, why: str, now_us: int) -> None:
        self.timers.cancel(found.timer)
        found.timer = None
        for name, slots in found.slots.items():
            server = self.servers[name]
            server.line.add(max(found.start_us, now_us), found.end_us, -slots)
            server.line.forget(now_us)
            del server.holds[found]
        found.phase, found.why = Phase.ENDED, why
        found.end_us = min(found.end_us, max(now_us, found.start_us))
        self.open -= 1
        self.near.pop(found, None)
        self.ended[found] = None
        if len(self.ended) > self.bounds.kept:
            oldest = next(iter(self.ended))
            del self.ended[oldest], self.all[oldest.id]
        self.changed(found, "ENDED")
        found.slots = {}

    def kept(self) -> dict[str, int]:
        """Return how many slots of each server are to be kept free now; windows that are near count."""
        kept: dict[str, int] = {}
        for found in self.near:
            for name in found.slots:
                kept[name] = kept.get(name, 0) + max(found.free(name), 0)
        return {name: slots for name, slots in kept.items() if slots}
