"""Reservations: no slot is booked twice, losses are said, and the module keeps what is booked."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.timers import TimerQueue
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import EndpointsChanged, RequestReceived, SlotsReserved
from merlinbay.reserve.calendar import (
    Phase,
    Reservation,
    ReservationCalendar,
    ReservationLimits,
    ReservationSpec,
)
from merlinbay.reserve.timeline import Timeline
from tests import support
from tests.net import FakeServer, NodeFixture
from tests.test_drmaa import CALL, FRONT
from tests.test_front import Q, Scheduler, scene, state

S = 1_000_000


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 20), st.integers(0, 20), st.integers(1, 4)), max_size=15),
    st.integers(0, 20),
    st.integers(0, 20),
    st.integers(0, 20),
)
def test_a_timeline_is_the_sum_of_its_windows(
    windows: list[tuple[int, int, int]], a: int, b: int, past: int
) -> None:
    """Against plain counting; what is given back leaves nothing behind."""
    line, start, end = Timeline(), min(a, b), max(a, b)
    for first, last, slots in windows:
        line.add(first, last, slots)

    def plain(moment: int) -> int:
        return sum(slots for first, last, slots in windows if first <= moment < last)

    assert [line.at(moment) for moment in range(22)] == [plain(moment) for moment in range(22)]
    if start < end:
        assert line.most(start, end) == max(plain(moment) for moment in range(start, end))
        assert line.ends(start, end) == [m for m in range(start + 1, end) if plain(m) < plain(m - 1)]
    line.forget(past)
    assert [line.at(moment) for moment in range(past, 22)] == [plain(moment) for moment in range(past, 22)]
    for first, last, slots in windows:
        line.add(max(first, past), last, -slots)
    assert not line.steps or set(line.steps.values()) == {0}


class Told:
    """A book of servers with ``slots`` each, and what it told."""

    def __init__(self, slots: int = 4, servers: int = 2, **bounds: Any) -> None:
        self.words: list[tuple[str, str]] = []
        self.timers, count = TimerQueue(), iter(range(10**6))
        wish: dict[str, Any] = dict(share=1.0, unused_us=0, lead_us=10 * S)
        self.book = ReservationCalendar(
            ReservationLimits(**{**wish, **bounds}),
            self.timers,
            lambda: f"r{next(count)}",
            lambda found, what: self.words.append((found.id, what)),
        )
        for number in range(servers):
            self.book.server(f"s{number}", slots, True, 0)

    def reserve(
        self, low: int, start: int, length: int, high: int = 0, now: int = 0, **more: Any
    ) -> Reservation:
        """Reserve; times in seconds."""
        wish = ReservationSpec(low, high or low, start * S, 0, length * S, **more)
        return self.book.reserve(wish, None, "d", now * S)


WHAT = ["reserve", "reserve", "reserve", "terminate", "extend", "drain", "up", "gone", "time"]
OPS = st.lists(
    st.tuples(st.sampled_from(WHAT), st.integers(0, 5), st.integers(1, 9), st.integers(0, 40)), max_size=40
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(OPS)
def test_no_slot_is_booked_twice_whatever_happens(ops: list[tuple[str, int, int, int]]) -> None:
    """Every moment of every server, after every call; what one had is held, moved or said to be lost."""
    told, now = Told(slots=3, servers=3), 0
    book, made = told.book, list[Reservation]()
    for what, which, slots, at in ops:
        try:
            if what == "reserve":
                made.append(told.reserve(slots, now + at, slots, slots + which, now))
            elif what in ("terminate", "extend") and made:
                found = made[which % len(made)]
                if what == "terminate":
                    book.terminate(found, now * S)
                else:
                    book.extend(found, (now + at) * S, now * S)
            elif what == "time":
                now += at
                told.timers.run(now * S)
            elif what == "gone":
                book.server_gone(f"s{which % 3}", now * S)
            elif what in ("drain", "up"):
                book.server(f"s{which % 3}", 3, what == "up", now * S)
        except DrmaaError as error:
            assert error.name.startswith(("OutOfResource", "InvalidState", "InvalidArgument"))
        open_ones = [found for found in made if found.phase is not Phase.ENDED]
        assert book.open == len(open_ones)
        for name, server in book.servers.items():
            for second in range(now, now + 90):
                booked = sum(
                    found.slots.get(name, 0)
                    for found in open_ones
                    if found.start_us <= second * S < found.end_us
                )
                assert server.line.at(second * S) == booked <= server.slots
            assert server.up or not server.holds
        for found in open_ones:
            assert found.total > 0 and set(found.slots) <= {name for name, s in book.servers.items() if s.up}
            assert found.total + found.lost >= found.wish.low
            assert found.phase is Phase.BOOKED or found.start_us <= now * S < found.end_us or now == 0


def test_two_want_the_last_slot_and_one_gets_it() -> None:
    """The other is told so, or gets the time when the slot is free again if its window may slide."""
    told = Told(slots=1, servers=1)
    told.reserve(1, 10, 5)
    with pytest.raises(DrmaaError) as found:
        told.reserve(1, 14, 5)
    assert found.value.name == "OutOfResourceException"
    slid = told.book.reserve(ReservationSpec(1, 1, 10 * S, 30 * S, 5 * S), None, "d", 0)
    assert (slid.start_us, slid.end_us) == (15 * S, 20 * S)
    soon = told.book.reserve(ReservationSpec(1, 1, 0, 0, 10 * S), None, "d", 0)
    assert (soon.start_us, soon.end_us) == (0, 10 * S)


@pytest.mark.parametrize(
    "wish",
    [
        ReservationSpec(1, 1),
        ReservationSpec(2, 1, 0, 0, S),
        ReservationSpec(0, 1, 0, 0, S),
        ReservationSpec(1, 1, 10 * S, 5 * S),
        ReservationSpec(1, 1, 0, 0, 10**15),
        ReservationSpec(1, 1, 10**15, 0, S),
        ReservationSpec(1, 1, 10 * S, 12 * S, 3 * S),
        ReservationSpec(1, 1, 0, 0, S, ("nobody",)),
        ReservationSpec(1, 1, S, 2 * S),
    ],
)
def test_a_window_that_cannot_be_is_refused(wish: ReservationSpec) -> None:
    """Nothing is booked then."""
    told = Told()
    with pytest.raises(DrmaaError) as found:
        told.book.reserve(wish, None, "d", 3 * S)
    assert found.value.name == "InvalidArgumentException" and not told.book.open


def test_a_server_that_drains_in_the_window_is_replaced_or_the_loss_is_said() -> None:
    """At once, the earliest window first; one that loses all has ended."""
    told = Told(slots=4, servers=2)
    first, second = told.reserve(3, 5, 20), told.reserve(3, 6, 20)
    assert {tuple(first.slots), tuple(second.slots)} == {("s0",), ("s1",)}
    told.timers.run(5 * S)
    told.words.clear()
    told.book.server(next(iter(first.slots)), 4, False, 7 * S)
    assert (first.moved, first.lost, first.total) == (1, 2, 1) and "2 lost" in first.why
    assert told.words == [(first.id, "REDUCED")]
    for name in list(told.book.servers):
        told.book.server_gone(name, 8 * S)
    assert first.phase is second.phase is Phase.ENDED and second.lost == 3
    assert told.words[1:] == [(first.id, "ENDED"), (second.id, "ENDED")]


def test_an_extension_needs_room_and_a_shorter_window_gives_it_back() -> None:
    """Where there is none, nothing changes."""
    told = Told(slots=1, servers=1)
    first, second = told.reserve(1, 0, 10), told.reserve(1, 20, 10)
    with pytest.raises(DrmaaError):
        told.book.extend(first, 25 * S, 0)
    assert first.end_us == 10 * S
    told.book.extend(first, 20 * S, 0)
    told.book.extend(second, 25 * S, 0)
    assert told.reserve(1, 25, 5).start_us == 25 * S
    for bad in (0, 20 * S - 1):
        with pytest.raises(DrmaaError):
            told.book.extend(second, bad, 0)


def test_what_nobody_uses_ends_and_what_is_used_lasts() -> None:
    """Never beyond its usefulness: unused for its time, or at the window's end."""
    told = Told(unused_us=5 * S)
    idle, used = told.reserve(1, 0, 60), told.reserve(2, 0, 60)
    told.timers.run(0)
    told.book.use(used, "job", "s0", 1, 2 * S)
    told.timers.run(6 * S)
    assert idle.phase is Phase.ENDED and idle.why == "no job has used it" and used.phase is Phase.ACTIVE
    told.book.unuse(used, "job", 30 * S)
    phases = []
    for now in (34, 36):
        told.timers.run(now * S)
        phases.append(used.phase)
    assert phases == [Phase.ACTIVE, Phase.ENDED]


def test_slots_are_kept_from_the_lead_on_less_what_its_jobs_have() -> None:
    """Nothing before, nothing after."""
    told = Told(lead_us=10 * S)
    found = told.reserve(3, 100, 50, machines=("s1",))
    for now, kept in ((89, {}), (90, {"s1": 3}), (100, {"s1": 3})):
        told.timers.run(now * S)
        assert told.book.kept() == kept
    told.book.use(found, "job", "s1", 2, 101 * S)
    assert told.book.kept() == {"s1": 1}
    told.timers.run(150 * S)
    assert told.book.kept() == {}


def test_the_module_keeps_reserved_slots_for_those_who_reserved_them() -> None:
    """Others get the rest and no place in the queue there; it holds over a list that names it anew."""
    made = Balancer(support.settings(balancers=1), 1, 0)
    made.handle(0, [EndpointsChanged("all", [support.entry(0)])])
    (
        made.parts.endpoints.kinds["k1"].capacity.slots,
        made.parts.endpoints.kinds["k1"].capacity.slots_are_reported,
    ) = 4.0, True
    made.handle(S, [SlotsReserved("w0", 3.0)])
    made.handle(S, [EndpointsChanged("all", [])])
    made.handle(S, [EndpointsChanged("all", [support.entry(0)])])

    def placed(number: int, reserved: bool) -> bool:
        out = made.handle(S, [RequestReceived(number, "safe", 10**7, reserved=reserved)])
        return any(isinstance(action, Dispatch) for action in out)

    assert [placed(number, False) for number in (1, 2)] == [True, False]
    assert [placed(number, True) for number in (3, 4, 5)] == [True] * 3
    made.handle(S, [SlotsReserved("w0", 0.0)])
    assert placed(7, False)  # behind the others, below the gate: as ever


# Over sockets.

OPERATOR = (
    FRONT
    + """servers = true
events.keep = 1000
reservations.slots = { k = 4 }
reservations.share = 0.75
reservations.lead = 0
[[drmaa.session]]
name = "q"
backlog = true
"""
)


async def run(s: NodeFixture, count: int, **template: object) -> list[str]:
    """Submit jobs; return their ids."""
    jobs = []
    for _ in range(count):
        wish = {"jobTemplate": {**CALL["jobTemplate"], **template}}
        status, body = await s.call_json("POST", f"{Q}/jobs", wish)
        assert status == 201, body
        jobs.append(str(body["jobId"]))
    return jobs


def at(seconds: float) -> str:
    """Return a time from now."""
    return (datetime.now(UTC) + timedelta(seconds=seconds)).isoformat()


def test_a_reservation_is_kept_for_its_jobs_and_its_drain_is_said(tmp_path: Path) -> None:
    """Jobs of it wait for its window and then run at its machines alone; a drain's loss is an event."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        other = Scheduler()
        s.add_server("s-2", other)
        s.update_server("s-2")
        wish = {
            "reservationTemplate": {
                "startTime": at(0.5),
                "duration": 60,
                "minSlots": 3,
                "candidateMachines": ["s-2"],
            }
        }
        while (found := await s.call_json("POST", "/drmaa2/reservations", wish))[0] != 201:
            await trio.sleep(0.05)  # until discovery's news of s-2 are in
        name = found[1]["reservationId"]
        assert found[1]["reservedMachines"] == [{"machineName": "s-2", "slots": 3}]
        again = await s.call_json("POST", "/drmaa2/reservations", wish)
        assert again[1]["exception"] == "OutOfResourceException"
        mine = await run(s, 3, reservationId=name)
        infos = [(await s.call_json("GET", f"{Q}/jobs/{job}"))[1] for job in mine]
        assert {info["jobSubState"] for info in infos} == {"not before its start time"}
        await other.heard("runJob", 3)
        assert sorted(other.jobs) == sorted(mine) and not scheduler.jobs
        extra = (await run(s, 1, reservationId=name))[0]  # all its slots are in use
        await trio.sleep(0.3)
        assert (await s.call_json("GET", f"{Q}/jobs/{extra}"))[1]["jobState"] == "QUEUED"
        await s.server("s-2").send_notification(mine[0], "RUNNING")
        await s.server("s-2").send_notification(mine[0], "DONE", exitStatus=0)
        await state(s, mine[0], "DONE")
        await other.heard("runJob", 4)
        s.update_server("s-2", state="DRAINING")
        while (info := (await s.call_json("GET", f"/drmaa2/reservations/{name}"))[1])["state"] != "ENDED":
            await trio.sleep(0.02)
        assert info["lostSlots"] == 3 and "s-2 drains" in info["annotation"]
        events = (await s.call_json("GET", "/drmaa2/events?event=ATTRIBUTE_CHANGE"))[1]["events"]
        assert [e["jobState"] for e in events if e["jobId"] == f"reservation:{name}"][-1] == "ENDED"
        wish = {"jobTemplate": {**CALL["jobTemplate"], "reservationId": name}}
        late = await s.call_json("POST", f"{Q}/jobs", wish)
        assert late[1]["exception"] == "InvalidArgumentException"

    scene(tmp_path, body, operator=OPERATOR)


def test_others_keep_out_of_what_is_reserved(tmp_path: Path) -> None:
    """Of four slots with three reserved one is left; where the reservation ends, all are there again."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        status, found = await s.call_json(
            "POST",
            "/drmaa2/reservations",
            {"reservationTemplate": {"duration": 60, "minSlots": 3, "reservationName": "council"}},
        )
        assert (status, found["reservedSlots"]) == (201, 3)
        await trio.sleep(0.1)
        await run(s, 5)
        await scheduler.heard("runJob")
        await trio.sleep(0.5)
        assert len(scheduler.jobs) == 1
        assert (await s.call_json("POST", f"/drmaa2/reservations/{found['reservationId']}/terminate"))[
            0
        ] == 200
        await scheduler.heard("runJob", 2)
        assert (await s.call_json("GET", "/drmaa2/supports/ADVANCE_RESERVATION"))[1]["supported"]

    scene(tmp_path, body, slots=4, operator=OPERATOR)


def test_reservation_sessions_and_their_misuse(tmp_path: Path) -> None:
    """Created, listed, destroyed with what they hold; each wrong call raises its exception."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        async def call(method: str, path: str, value: object = None) -> Any:
            status, answer = await s.call_json(method, f"/drmaa2/reservation{path}", value)
            return answer.get("exception", answer) if status >= 300 else answer

        await call("POST", "Sessions", {"sessionName": "shared"})
        assert await call("POST", "Sessions", {"sessionName": "shared"}) == "InvalidArgumentException"
        assert (await call("GET", "Sessions"))["sessionNames"] == ["default", "shared"]
        wish = {"reservationTemplate": {"startTime": at(100), "duration": 10, "minSlots": 1, "maxSlots": 9}}
        made = await call("POST", "Sessions/shared/reservations", wish)
        name = made["reservationId"]
        assert made["reservedSlots"] == 3  # as many as there are of the nine
        assert await call("GET", f"s/{name}") == "InvalidArgumentException"  # of another session
        assert (await call("GET", "Sessions/shared/reservations"))["reservationIds"] == [name]
        path = f"Sessions/shared/reservations/{name}"
        assert (await call("POST", f"{path}/extend", {"endTime": at(200)}))["state"] == "BOOKED"
        assert await call("POST", f"{path}/extend", {"endTime": at(-1)}) == "InvalidArgumentException"
        for bad in ({"minSlots": 0}, {"duration": -1}, {"startTime": "2999-01-01T00:00:00"}, {"x": 1}, {}):
            assert await call("POST", "s", {"reservationTemplate": bad}) == "InvalidArgumentException", bad
        assert await call("POST", "s", {"reservationTemplate": {"usersACL": ["a"], "duration": 1}}) == (
            "UnsupportedAttributeException"
        )
        await call("DELETE", "Sessions/shared")
        assert await call("GET", path) == "InvalidArgumentException"
        assert await call("DELETE", "Sessions/default") == "InvalidArgumentException"
        assert (await call("POST", "s", wish))["reservedSlots"] == 3  # what it held is free

    scene(tmp_path, body, operator=OPERATOR)
