"""Clauses about arrays of jobs."""

from __future__ import annotations

import itertools
from datetime import datetime, timedelta

from merlinbay.conformance.clause import ClauseList
from merlinbay.conformance.probe import ClauseSkippedError, ConformanceProbe, expect, output

CLAUSES = ClauseList()
clause = CLAUSES.add


@clause("JobSession, runBulkJobs")
def runs_arrays(p: ConformanceProbe) -> None:
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
def keeps_max_parallel(p: ConformanceProbe) -> None:
    """No more members than maxParallel are out at one time."""
    if not p.can("BULK_JOBS_MAXPARALLEL"):
        raise ClauseSkippedError("BULK_JOBS_MAXPARALLEL is not supported")
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
    for (_, end), (begin, _) in itertools.pairwise(times):
        expect(begin >= end - slack, "two members ran at one time")


@clause("JobArray, terminate and hold")
def controls_arrays(p: ConformanceProbe) -> None:
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
