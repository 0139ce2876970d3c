"""Clauses about running a job, and what its template asks for."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

from merlinbay.conformance.clause import ClauseList
from merlinbay.conformance.probe import ClauseSkippedError, ConformanceProbe, expect, output

CLAUSES = ClauseList()
clause = CLAUSES.add


@clause("JobSession, runJob; JobInfo, exitStatus")
def runs_a_job(p: ConformanceProbe) -> None:
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
def tells_a_failure(p: ConformanceProbe) -> None:
    """A job that exits with another status is FAILED, and the status is told."""
    info = p.end(p.run("sh", "-c", "exit 7"))
    expect(
        (info["jobState"], info.get("exitStatus")) == ("FAILED", 7),
        f"{info['jobState']}, exitStatus {info.get('exitStatus')}",
    )


@clause("JobInfo, terminatingSignal")
def tells_a_signal(p: ConformanceProbe) -> None:
    """A job that a signal ends is FAILED, and the signal is named."""
    info = p.end(p.run("sh", "-c", "kill -KILL $$"))
    expect(
        info["jobState"] == "FAILED" and info.get("terminatingSignal") == "SIGKILL",
        f"{info['jobState']}, terminatingSignal {info.get('terminatingSignal')}",
    )


@clause("JobTemplate, args and jobEnvironment")
def passes_arguments(p: ConformanceProbe) -> None:
    """Arguments and environment reach the job as they were given."""
    odd = ["a b", "", "$HOME", "'\"\\", "ü\n*"]
    info = p.end(p.run("sh", "-c", 'printf "%s|" "$@" "$MARK"', "sh", *odd, jobEnvironment={"MARK": "x=y z"}))
    expect(output(info) == ("|".join([*odd, "x=y z"]) + "|").encode(), f"the job saw {output(info)!r}")


@clause("JobTemplate, remoteCommand and values")
def refuses_bad_values(p: ConformanceProbe) -> None:
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
def refuses_what_it_does_not_carry(p: ConformanceProbe) -> None:
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
        raise ClauseSkippedError("it carries all that is asked about")


@clause("JobTemplate, submitAsHold; Job, release")
def holds_at_submission(p: ConformanceProbe) -> None:
    """A job submitted as held stays QUEUED_HELD until it is released, and then runs."""
    job = p.run("true", submitAsHold=True)
    time.sleep(0.3)
    expect(p.info(job)["jobState"] == "QUEUED_HELD", f"it is {p.info(job)['jobState']}")
    p.good("POST", p.at(f"/jobs/{job}/release"))
    expect(p.end(job)["jobState"] == "DONE", "released, it did not run to its end")


@clause("JobTemplate, startTime")
def starts_not_before(p: ConformanceProbe) -> None:
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
def ends_by_its_deadline(p: ConformanceProbe) -> None:
    """A job that runs past its deadlineTime is ended, and is FAILED."""
    if not p.can("JT_DEADLINE"):
        raise ClauseSkippedError("JT_DEADLINE is not supported")
    end = datetime.now(UTC) + timedelta(seconds=1.0)
    info = p.end(p.run("sleep", str(int(p.patience) * 3), deadlineTime=end.isoformat()))
    expect(info["jobState"] == "FAILED", f"it is {info['jobState']}")
