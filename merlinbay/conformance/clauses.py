"""The clauses: each a check with the interface and method of GFD.194 that it is about, in the order of play.

Jobs are ``true``, ``sh`` and ``sleep``: the endpoint's machines run them. Nothing is checked by how long it
took, but that a wait does not end before its time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from merlinbay.conformance.probe import ENDED, Probe, Skip, expect, output

Check = Callable[[Probe], None]
STATES = {
    "UNDETERMINED",
    "QUEUED",
    "QUEUED_HELD",
    "RUNNING",
    "SUSPENDED",
    "REQUEUED",
    "REQUEUED_HELD",
    *ENDED,
}


@dataclass(frozen=True)
class Clause:
    """One clause."""

    section: str
    text: str
    check: Check

    @property
    def name(self) -> str:
        """Return its name."""
        return self.check.__name__


CLAUSES: list[Clause] = []


def clause(section: str) -> Callable[[Check], Check]:
    """Add a check; its docstring is the clause."""

    def add(check: Check) -> Check:
        CLAUSES.append(Clause(section, (check.__doc__ or "").strip(), check))
        return check

    return add


# SessionManager.


@clause("SessionManager, drmsName and versions")
def names_itself(p: Probe) -> None:
    """The manager tells names and versions with major and minor parts."""
    found = p.good("GET", "")
    for name in ("drmsName", "drmaaName"):
        expect(isinstance(found.get(name), str) and found[name], f"no {name}")
    for name in ("drmsVersion", "drmaaVersion"):
        expect(set(found.get(name) or {}) >= {"major", "minor"}, f"{name}: {found.get(name)}")


@clause("SessionManager, supports")
def tells_capabilities(p: Probe) -> None:
    """Supports answers for every capability of the standard, and raises for one that is none."""
    for name in (
        "ADVANCE_RESERVATION",
        "RESERVE_SLOTS",
        "CALLBACK",
        "BULK_JOBS_MAXPARALLEL",
        "JT_EMAIL",
        "JT_STAGING",
        "JT_DEADLINE",
        "JT_MAXSLOTS",
        "JT_ACCOUNTINGID",
        "RT_STARTNOW",
        "RT_DURATION",
        "RT_MACHINEOS",
        "RT_MACHINEARCH",
    ):
        expect(isinstance(p.good("GET", f"/supports/{name}").get("supported"), bool), f"no word of {name}")
    p.raises("InvalidArgumentException", "GET", "/supports/NO_SUCH_CAPABILITY")


@clause("SessionManager, createJobSession")
def creates_sessions(p: Probe) -> None:
    """A created session is open, is listed, and its name cannot be taken again."""
    found = p.good("POST", "/sessions", {"sessionName": p.session, "settings": {"backlog": True}})
    expect(found.get("sessionName") == p.session, f"it is called {found.get('sessionName')}")
    expect(p.session in p.good("GET", "/sessions")["sessionNames"], "it is not listed")
    p.raises("InvalidArgumentException", "POST", "/sessions", {"sessionName": p.session})
    p.raises("InvalidArgumentException", "POST", "/sessions", {"sessionName": "a b"})


@clause("SessionManager, openJobSession and closeJobSession")
def closes_sessions(p: Probe) -> None:
    """Calls on a closed session raise InvalidSessionException, its jobs go on, and it can be opened again."""
    job = p.run("true", submitAsHold=True)
    p.good("POST", f"/sessions/{p.session}/close")
    p.raises("InvalidSessionException", "POST", p.at("/jobs"), {"jobTemplate": p.template("true")})
    p.raises("InvalidSessionException", "GET", p.at(f"/jobs/{job}"))
    p.good("POST", f"/sessions/{p.session}/open")
    expect(p.info(job).get("jobState") == "QUEUED_HELD", "the job is not as it was")
    p.good("POST", p.at(f"/jobs/{job}/terminate"))
    p.raises("InvalidArgumentException", "POST", "/sessions/no-such-session/open")


@clause("SessionManager, destroyJobSession")
def destroys_sessions(p: Probe) -> None:
    """A destroyed session is gone from the list, and every call on it raises."""
    name = f"{p.session}-2"
    p.good("POST", "/sessions", {"sessionName": name, "settings": {"backlog": True}})
    p.good("DELETE", f"/sessions/{name}")
    expect(name not in p.good("GET", "/sessions")["sessionNames"], "it is still listed")
    for method, path in (("GET", ""), ("POST", "/jobs"), ("GET", "/jobs")):
        p.raises(
            "InvalidArgumentException|InvalidSessionException",
            method,
            f"/sessions/{name}{path}",
            {"jobTemplate": p.template("true")} if method == "POST" else None,
        )
    p.raises("InvalidArgumentException", "DELETE", f"/sessions/{name}")


# JobSession, runJob and templates.


@clause("JobSession, runJob; JobInfo, exitStatus")
def runs_a_job(p: Probe) -> None:
    """A job that exits with 0 is DONE and says so, with the times in order and the machine that ran it."""
    info = p.end(p.run("true"))
    expect(info["jobState"] == "DONE", f"it is {info['jobState']}")
    expect(info.get("exitStatus") == 0, f"exitStatus {info.get('exitStatus')}")
    expect(info.get("allocatedMachines"), "no allocatedMachines")
    times = [info.get(name) for name in ("submissionTime", "dispatchTime", "finishTime")]
    expect(all(times), f"times: {times}")
    moments = [datetime.fromisoformat(str(at)) for at in times]
    expect(moments == sorted(moments), f"times out of order: {times}")


@clause("JobInfo, exitStatus")
def tells_a_failure(p: Probe) -> None:
    """A job that exits with another status is FAILED, and the status is told."""
    info = p.end(p.run("sh", "-c", "exit 7"))
    expect(
        (info["jobState"], info.get("exitStatus")) == ("FAILED", 7),
        f"{info['jobState']}, exitStatus {info.get('exitStatus')}",
    )


@clause("JobInfo, terminatingSignal")
def tells_a_signal(p: Probe) -> None:
    """A job that a signal ends is FAILED, and the signal is named."""
    info = p.end(p.run("sh", "-c", "kill -KILL $$"))
    expect(
        info["jobState"] == "FAILED" and info.get("terminatingSignal") == "SIGKILL",
        f"{info['jobState']}, terminatingSignal {info.get('terminatingSignal')}",
    )


@clause("JobTemplate, args and jobEnvironment")
def passes_arguments(p: Probe) -> None:
    """Arguments and environment reach the job as they were given."""
    odd = ["a b", "", "$HOME", "'\"\\", "ü\n*"]
    info = p.end(p.run("sh", "-c", 'printf "%s|" "$@" "$MARK"', "sh", *odd, jobEnvironment={"MARK": "x=y z"}))
    expect(output(info) == ("|".join([*odd, "x=y z"]) + "|").encode(), f"the job saw {output(info)!r}")


@clause("JobTemplate, remoteCommand and values")
def refuses_bad_values(p: Probe) -> None:
    """A missing command and values that cannot be meant raise InvalidArgumentException; no job then."""
    before = len(p.good("GET", p.at("/jobs?limit=1000"))["jobs"])
    past = (datetime.now(UTC) - timedelta(hours=1)).isoformat()
    for more in (
        {"remoteCommand": ""},
        {"minSlots": 3, "maxSlots": 2},
        {"minSlots": 0},
        {"priority": "x"},
        {"deadlineTime": past},
        {"startTime": "2999-01-01T00:00:00"},
        {"args": "x"},
        {"jobCategory": "no-such-category-here"},
    ):
        p.raises(
            "InvalidArgumentException", "POST", p.at("/jobs"), {"jobTemplate": {**p.template("true"), **more}}
        )
    bodies: list[dict[str, object]] = [{}, {"jobTemplate": []}, {"jobTemplate": {"args": []}}]
    for body in bodies:
        p.raises("InvalidArgumentException", "POST", p.at("/jobs"), body)
    expect(len(p.good("GET", p.at("/jobs?limit=1000"))["jobs"]) == before, "a refused job is listed")


@clause("JobTemplate, unsupported attributes")
def refuses_what_it_does_not_carry(p: Probe) -> None:
    """An attribute that is not supported raises UnsupportedAttributeException; it is never dropped."""
    wanted = {"JT_EMAIL": ("email", ["a@example.org"]), "JT_STAGING": ("stageInFiles", {"a": "b"})}
    asked = 0
    for capability, (name, value) in wanted.items():
        if not p.can(capability):
            asked += 1
            p.raises(
                "UnsupportedAttributeException",
                "POST",
                p.at("/jobs"),
                {"jobTemplate": p.template("true", **{name: value})},
            )
    p.raises(
        "InvalidArgumentException|UnsupportedAttributeException",
        "POST",
        p.at("/jobs"),
        {"jobTemplate": p.template("true", noSuchAttribute=1)},
    )
    if not asked:
        raise Skip("it carries all that is asked about")


@clause("JobTemplate, submitAsHold; Job, release")
def holds_at_submission(p: Probe) -> None:
    """A job submitted as held stays QUEUED_HELD until it is released, and then runs."""
    job = p.run("true", submitAsHold=True)
    time.sleep(0.3)
    expect(p.info(job)["jobState"] == "QUEUED_HELD", f"it is {p.info(job)['jobState']}")
    p.good("POST", p.at(f"/jobs/{job}/release"))
    expect(p.end(job)["jobState"] == "DONE", "released, it did not run to its end")


@clause("JobTemplate, startTime")
def starts_not_before(p: Probe) -> None:
    """A job does not start before its startTime."""
    start = datetime.now(UTC) + timedelta(seconds=1.0)
    info = p.end(p.run("true", startTime=start.isoformat()))
    begun = datetime.fromisoformat(str(info.get("dispatchTime")))
    expect(begun >= start - timedelta(milliseconds=50), f"it started {start - begun} too soon")
    # The check above finds nothing where the submission took longer than the wait. This one rests on events:
    # a job due in an hour still waits after a later submission has ended, and no start of it is reported.
    due = datetime.now(UTC) + timedelta(hours=1.0)
    waiting = p.run("true", startTime=due.isoformat())
    p.end(p.run("true"))
    p.raises("TimeoutException", "GET", p.at(f"/jobs/{waiting}/waitStarted?timeout={p.patience / 4}"))
    p.good("POST", p.at(f"/jobs/{waiting}/terminate"))


@clause("JobTemplate, deadlineTime")
def ends_by_its_deadline(p: Probe) -> None:
    """A job that runs past its deadlineTime is ended, and is FAILED."""
    if not p.can("JT_DEADLINE"):
        raise Skip("JT_DEADLINE is not supported")
    end = datetime.now(UTC) + timedelta(seconds=1.0)
    info = p.end(p.run("sleep", str(int(p.patience) * 3), deadlineTime=end.isoformat()))
    expect(info["jobState"] == "FAILED", f"it is {info['jobState']}")


# Job.


@clause("Job, getState")
def knows_its_states(p: Probe) -> None:
    """The state is one of the standard's, a running job says RUNNING, and a final state stays."""
    job = p.run("sleep", "0.3")
    seen = p.info(job)["jobState"]
    expect(seen in STATES, f"the state {seen}")
    expect(p.started(job)["jobState"] in ("RUNNING", *ENDED), "started, it does not run")
    final = p.end(job)["jobState"]
    for _ in range(3):
        time.sleep(0.05)
        expect(p.info(job)["jobState"] == final, f"from {final} to {p.info(job)['jobState']}")


@clause("Job, hold")
def holds_only_what_waits(p: Probe) -> None:
    """Hold of a running job raises InvalidStateException, and the job runs on."""
    job = p.run("sleep", "2")
    p.until(job, "RUNNING")
    p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/hold"))
    p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/release"))
    expect(p.info(job)["jobState"] == "RUNNING", "the refused call changed its state")
    expect(p.end(job)["jobState"] == "DONE", "it did not run to its end")


@clause("Job, suspend and resume")
def suspends_and_resumes(p: Probe) -> None:
    """A suspended job stands still until it is resumed; calls in a wrong state raise."""
    job = p.run("sh", "-c", "for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15; do sleep 0.1; done")
    p.until(job, "RUNNING")
    p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/resume"))
    status, found = p.call("POST", p.at(f"/jobs/{job}/suspend"))
    if status == 405:
        raise Skip("it cannot suspend")
    expect(status == 200, f"suspend: {status} {found}")
    p.until(job, "SUSPENDED")
    time.sleep(2.0)
    expect(p.info(job)["jobState"] == "SUSPENDED", f"suspended, it went on: {p.info(job)['jobState']}")
    p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/suspend"))
    p.good("POST", p.at(f"/jobs/{job}/resume"))
    expect(p.end(job)["jobState"] == "DONE", "resumed, it did not run to its end")


@clause("Job, terminate")
def terminates(p: Probe) -> None:
    """Terminate ends a job that runs and one that is held; of one that has ended it raises."""
    running, held = p.run("sleep", "60"), p.run("true", submitAsHold=True)
    p.until(running, "RUNNING")
    for job in (running, held):
        p.good("POST", p.at(f"/jobs/{job}/terminate"))
        expect(p.end(job)["jobState"] == "FAILED", "terminated, it is not FAILED")
        for verb in ("terminate", "hold", "release", "suspend", "resume"):
            p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/{verb}"))


@clause("Job, reap")
def reaps_only_what_has_ended(p: Probe) -> None:
    """Reap of a job that has not ended raises InvalidStateException; a reaped one is not known."""
    job = p.run("true", submitAsHold=True)
    p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/reap"))
    p.good("POST", p.at(f"/jobs/{job}/terminate"))
    p.good("POST", p.at(f"/jobs/{job}/reap"))
    p.raises("InvalidArgumentException", "GET", p.at(f"/jobs/{job}"))
    listed = [row["jobId"] for row in p.good("GET", p.at("/jobs?limit=1000"))["jobs"]]
    expect(job not in listed, "it is still listed")


@clause("Job, waitStarted and waitTerminated")
def waits_and_times_out(p: Probe) -> None:
    """A wait that runs out raises TimeoutException, and not before its time."""
    job = p.run("true", submitAsHold=True)
    for verb in ("waitStarted", "waitTerminated"):
        began = time.monotonic()
        p.raises("TimeoutException", "GET", p.at(f"/jobs/{job}/{verb}?timeout=0.4"))
        expect(time.monotonic() - began >= 0.39, "the wait ended before its time")
        p.raises("TimeoutException", "GET", p.at(f"/jobs/{job}/{verb}?timeout=0"))
    p.raises("InvalidArgumentException", "GET", p.at(f"/jobs/{job}/waitStarted?timeout=-1"))
    p.good("POST", p.at(f"/jobs/{job}/terminate"))
    expect(p.started(job)["jobState"] == "FAILED", "waitStarted of a job that has ended")


@clause("JobSession, waitAnyStarted and waitAnyTerminated")
def waits_for_any(p: Probe) -> None:
    """WaitAny returns one of the jobs that has started, or ended, and TimeoutException if none has."""
    slow, held, quick = p.run("sleep", "30"), p.run("true", submitAsHold=True), p.run("true")
    body = {"jobIds": [slow, held, quick], "timeout": p.patience}
    found = p.good("POST", p.at("/waitAnyTerminated"), body)
    expect(found.get("jobId") == quick, f"it returned {found.get('jobId')}, not the one that ended")
    found = p.good("POST", p.at("/waitAnyStarted"), {"jobIds": [held, slow], "timeout": p.patience})
    expect(found.get("jobId") == slow, "it returned the job that is held")
    p.raises("TimeoutException", "POST", p.at("/waitAnyTerminated"), {"jobIds": [held], "timeout": 0.1})
    for job in (slow, held):
        p.good("POST", p.at(f"/jobs/{job}/terminate"))


@clause("JobSession, getJobs")
def lists_jobs(p: Probe) -> None:
    """GetJobs has every job of the session once, also in pages, and none of another state than asked for."""
    wanted = [p.run("true", submitAsHold=True) for _ in range(5)]
    found: list[str] = []
    after: object = 0
    while after is not None:
        page = p.good("GET", p.at(f"/jobs?state=QUEUED_HELD&limit=2&after={after}"))
        rows = [row["jobId"] for row in page["jobs"]]
        expect(not set(rows) & set(found), "a page repeats jobs of the one before")
        found += rows
        expect(all(row["jobState"] == "QUEUED_HELD" for row in page["jobs"]), "another state than asked for")
        after = page.get("next")
    expect(len(found) == len(set(found)), "a job is listed twice")
    expect(set(wanted) <= set(found), f"{len(set(wanted) - set(found))} of 5 jobs are not listed")
    for job in wanted:
        p.good("POST", p.at(f"/jobs/{job}/terminate"))


@clause("JobSession, getJobs")
def knows_no_stranger(p: Probe) -> None:
    """Calls on a job or array that never was raise InvalidArgumentException."""
    for path in ("/jobs/no-such-job", "/jobs/no-such-job/waitStarted", "/arrays/no-such-array"):
        p.raises("InvalidArgumentException", "GET", p.at(path))
    p.raises("InvalidArgumentException", "POST", p.at("/jobs/no-such-job/hold"))


# Arrays.


@clause("JobSession, runBulkJobs")
def runs_arrays(p: Probe) -> None:
    """Members are those of begin, end and step, each with its index in DRMAA2_INDEX, and all run."""
    body = {
        "jobTemplate": p.template("sh", "-c", "echo $DRMAA2_INDEX"),
        "beginIndex": 3,
        "endIndex": 9,
        "step": 3,
    }
    array = p.good("POST", p.at("/arrays"), body)["jobArrayId"]
    for index in (3, 6, 9):
        info = p.end(f"{array}.{index}")
        expect(output(info).strip() == str(index).encode(), f"member {index} saw {output(info)!r}")
    p.raises("InvalidArgumentException", "GET", p.at(f"/jobs/{array}.4"))
    found = p.good("GET", p.at(f"/arrays/{array}"))
    expect(found.get("members") == 3 and found.get("states") == {"DONE": 3}, f"{found.get('states')}")
    for bad in ({"beginIndex": 0}, {"endIndex": 1}, {"step": 0}, {"maxParallel": -1}):
        p.raises("InvalidArgumentException", "POST", p.at("/arrays"), {**body, **bad})


@clause("JobSession, runBulkJobs, maxParallel")
def keeps_max_parallel(p: Probe) -> None:
    """No more members than maxParallel are out at one time."""
    if not p.can("BULK_JOBS_MAXPARALLEL"):
        raise Skip("BULK_JOBS_MAXPARALLEL is not supported")
    array = p.good(
        "POST",
        p.at("/arrays"),
        {"jobTemplate": p.template("sleep", "0.3"), "beginIndex": 1, "endIndex": 4, "maxParallel": 1},
    )["jobArrayId"]
    times = []
    for index in range(1, 5):
        info = p.end(f"{array}.{index}")
        times.append([datetime.fromisoformat(str(info.get(name))) for name in ("dispatchTime", "finishTime")])
    times.sort()
    slack = timedelta(milliseconds=100)
    for (_, end), (begin, _) in zip(times, times[1:], strict=False):
        expect(begin >= end - slack, "two members ran at one time")


@clause("JobArray, terminate and hold")
def controls_arrays(p: Probe) -> None:
    """A call on an array does what each member's state allows, and raises where it allows it for none."""
    array = p.good(
        "POST",
        p.at("/arrays"),
        {"jobTemplate": p.template("true", submitAsHold=True), "beginIndex": 1, "endIndex": 4},
    )["jobArrayId"]
    p.raises("InvalidStateException", "POST", p.at(f"/arrays/{array}/suspend"))
    p.good("POST", p.at(f"/jobs/{array}.2/terminate"))
    p.good("POST", p.at(f"/arrays/{array}/terminate"))
    for index in range(1, 5):
        expect(p.info(f"{array}.{index}")["jobState"] == "FAILED", f"member {index} has not ended")
    p.raises("InvalidStateException", "POST", p.at(f"/arrays/{array}/hold"))


# Callbacks and monitoring.


@clause("DrmaaCallback, DrmaaNotification")
def tells_events(p: Probe) -> None:
    """Where CALLBACK is supported, each state is told once, in order, and again for the same cursor."""
    if not p.can("CALLBACK"):
        raise Skip("CALLBACK is not supported")
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
def reserves_slots(p: Probe) -> None:
    """Where ADVANCE_RESERVATION is supported, a window is granted as asked for, told of, and given back."""
    if not p.can("ADVANCE_RESERVATION"):
        raise Skip("ADVANCE_RESERVATION is not supported")
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
def shows_the_whole(p: Probe) -> None:
    """The monitoring session lists jobs by filter, queues and machines; a bad filter raises."""
    from urllib.parse import quote

    if p.call("GET", "/monitor/queues")[0] == 405:
        raise Skip("it has no monitoring session")
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
def refuses_what_there_is_not(p: Probe) -> None:
    """A call that the binding does not have raises UnsupportedOperationException."""
    for method, path in (("GET", "/no-such-thing"), ("PUT", "/sessions"), ("POST", p.at("/jobs/x/dance"))):
        p.raises("UnsupportedOperationException", method, path)
