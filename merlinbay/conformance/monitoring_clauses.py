"""Clauses about events, reservations, monitoring, and calls that there are not."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

from merlinbay.conformance.clause import ClauseList
from merlinbay.conformance.probe import ENDED, ClauseSkippedError, ConformanceProbe, expect

CLAUSES = ClauseList()
clause = CLAUSES.add


@clause("DrmaaCallback, DrmaaNotification")
def tells_events(p: ConformanceProbe) -> None:
    """Where CALLBACK is supported, each state is told once, in order, and again for the same cursor."""
    if not p.can("CALLBACK"):
        raise ClauseSkippedError("CALLBACK is not supported")
    start = cursor = p.good("GET", p.at("/events?after=now"))["cursor"]
    job = p.run("sleep", "0.2")
    told: list[dict[str, object]] = []
    end = time.monotonic() + p.patience
    while not any(event["jobState"] in ENDED for event in told if event["jobId"] == job):
        expect(time.monotonic() < end, f"only {[event['jobState'] for event in told]} were told")
        page = p.good("GET", p.at(f"/events?after={cursor}&timeout=2"))
        told, cursor = told + page["events"], page["cursor"]
    states = [event["jobState"] for event in told if event["jobId"] == job and event["event"] == "NEW_STATE"]
    expect(states == ["QUEUED", "RUNNING", "DONE"], f"told: {states}")
    numbers = [event["number"] for event in told]
    expect(numbers == sorted(set(numbers)), "events out of order, or twice")  # type: ignore[type-var]
    again = p.good("GET", p.at(f"/events?after={start}&limit=1000"))["events"]
    expect(again[: len(told)] == told, "the same cursor brought other events")
    p.raises("InvalidArgumentException", "GET", p.at("/events?after=nonsense.1"))


@clause("ReservationSession, requestReservation; Reservation, terminate")
def reserves_slots(p: ConformanceProbe) -> None:
    """Where ADVANCE_RESERVATION is supported, a window is granted as asked for, told of, and given back."""
    if not p.can("ADVANCE_RESERVATION"):
        raise ClauseSkippedError("ADVANCE_RESERVATION is not supported")
    start = (datetime.now(UTC) + timedelta(hours=1)).replace(microsecond=0)
    wish = {
        "reservationTemplate": {
            "startTime": start.isoformat(),
            "minSlots": 1,
            "endTime": (start + timedelta(minutes=5)).isoformat(),
        }
    }
    made = p.good("POST", "/reservations", wish)
    name = made["reservationId"]
    expect(made.get("reservedSlots") == 1 and made.get("reservedMachines"), f"granted: {made}")
    begins = datetime.fromisoformat(made["reservedStartTime"])
    expect(begins == start, f"it starts at {begins}")
    expect(name in p.good("GET", "/reservations?limit=1000")["reservationIds"], "it is not listed")
    p.raises(
        "InvalidArgumentException",
        "POST",
        "/reservations",
        {"reservationTemplate": {"minSlots": 2, "maxSlots": 1, "duration": 60}},
    )
    p.raises(
        "InvalidArgumentException",
        "POST",
        p.at("/jobs"),
        {"jobTemplate": p.template("true", reservationId="no-such-reservation")},
    )
    p.good("POST", f"/reservations/{name}/terminate")
    p.raises("InvalidStateException", "POST", f"/reservations/{name}/terminate")
    p.raises("InvalidArgumentException", "GET", "/reservations/no-such-reservation")


@clause("MonitoringSession, getAllJobs, getAllQueues, getAllMachines")
def shows_the_whole(p: ConformanceProbe) -> None:
    """The monitoring session lists jobs by filter, queues and machines; a bad filter raises."""
    from urllib.parse import quote

    if p.call("GET", "/monitor/queues")[0] == 405:
        raise ClauseSkippedError("it has no monitoring session")
    job, other = p.run("true", submitAsHold=True), p.run("true")
    p.end(other)
    wanted = quote(f'sessionName == "{p.session}" and jobState == "QUEUED_HELD"')
    found = [row["jobId"] for row in p.good("GET", f"/monitor/jobs?limit=1000&filter={wanted}")["jobs"]]
    expect(job in found and other not in found, f"the filter brought {found}")
    expect(p.good("GET", "/monitor/queues")["queues"], "no queues")
    machines = p.good("GET", "/monitor/machines")["machines"]
    expect(machines and all({"name", "available"} <= set(row) for row in machines), f"machines: {machines}")
    p.raises("InvalidArgumentException", "GET", f"/monitor/jobs?filter={quote('jobState ==')}")
    p.good("POST", p.at(f"/jobs/{job}/terminate"))


@clause("Exceptions")
def refuses_what_there_is_not(p: ConformanceProbe) -> None:
    """A call that the binding does not have raises UnsupportedOperationException."""
    for method, path in (("GET", "/no-such-thing"), ("PUT", "/sessions"), ("POST", p.at("/jobs/x/dance"))):
        p.raises("UnsupportedOperationException", method, path)
