"""Clauses about a job's states, control and waits."""

from __future__ import annotations

import time

from merlinbay.conformance.clause import ClauseList
from merlinbay.conformance.probe import ENDED, ClauseSkippedError, ConformanceProbe, expect, with_longer_jobs

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

CLAUSES = ClauseList()
clause = CLAUSES.add


@clause("Job, getState")
def knows_its_states(p: ConformanceProbe) -> None:
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
def holds_only_what_waits(p: ConformanceProbe) -> None:
    """Hold of a running job raises InvalidStateException, and the job runs on."""

    def check(seconds: float) -> None:
        job = p.run("sleep", str(seconds))
        p.need_running(job)
        p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/hold"))
        p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/release"))
        p.need_running(job)
        expect(p.end(job)["jobState"] == "DONE", "it did not run to its end")

    with_longer_jobs(check)


@clause("Job, suspend and resume")
def suspends_and_resumes(p: ConformanceProbe) -> None:
    """A suspended job stands still until it is resumed; calls in a wrong state raise."""

    def check(seconds: float) -> None:
        job = p.run("sh", "-c", f"i=0; while [ $i -lt {seconds * 10:g} ]; do sleep 0.1; i=$((i+1)); done")
        p.need_running(job)
        p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/resume"))
        p.need_running(job)
        status, found = p.call("POST", p.at(f"/jobs/{job}/suspend"))
        if status == 405:
            raise ClauseSkippedError("it cannot suspend")
        if status == 409:
            p.need_running(job)
        expect(status == 200, f"suspend: {status} {found}")
        p.until(job, "SUSPENDED")
        time.sleep(seconds + 0.5)  # it would have ended
        expect(p.info(job)["jobState"] == "SUSPENDED", f"suspended, it went on: {p.info(job)['jobState']}")
        p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/suspend"))
        p.good("POST", p.at(f"/jobs/{job}/resume"))
        expect(p.end(job)["jobState"] == "DONE", "resumed, it did not run to its end")

    with_longer_jobs(check)


@clause("Job, terminate")
def terminates(p: ConformanceProbe) -> None:
    """Terminate ends a job that runs and one that is held; of one that has ended it raises."""
    running, held = p.run("sleep", "60"), p.run("true", submitAsHold=True)
    p.until(running, "RUNNING")
    for job in (running, held):
        p.good("POST", p.at(f"/jobs/{job}/terminate"))
        expect(p.end(job)["jobState"] == "FAILED", "terminated, it is not FAILED")
        for verb in ("terminate", "hold", "release", "suspend", "resume"):
            p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/{verb}"))


@clause("Job, reap")
def reaps_only_what_has_ended(p: ConformanceProbe) -> None:
    """Reap of a job that has not ended raises InvalidStateException; a reaped one is not known."""
    job = p.run("true", submitAsHold=True)
    p.raises("InvalidStateException", "POST", p.at(f"/jobs/{job}/reap"))
    p.good("POST", p.at(f"/jobs/{job}/terminate"))
    p.good("POST", p.at(f"/jobs/{job}/reap"))
    p.raises("InvalidArgumentException", "GET", p.at(f"/jobs/{job}"))
    listed = [row["jobId"] for row in p.good("GET", p.at("/jobs?limit=1000"))["jobs"]]
    expect(job not in listed, "it is still listed")


@clause("Job, waitStarted and waitTerminated")
def waits_and_times_out(p: ConformanceProbe) -> None:
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
def waits_for_any(p: ConformanceProbe) -> None:
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
def lists_jobs(p: ConformanceProbe) -> None:
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
def knows_no_stranger(p: ConformanceProbe) -> None:
    """Calls on a job or array that never was raise InvalidArgumentException."""
    for path in ("/jobs/no-such-job", "/jobs/no-such-job/waitStarted", "/arrays/no-such-array"):
        p.raises("InvalidArgumentException", "GET", p.at(path))
    p.raises("InvalidArgumentException", "POST", p.at("/jobs/no-such-job/hold"))
