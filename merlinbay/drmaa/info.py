"""What clients are told of jobs, arrays, sessions and the front itself."""

from __future__ import annotations

import msgspec

from merlinbay import __version__
from merlinbay.batch.jobs import Job, JobArray, JobSession
from merlinbay.drmaa.schema import JobInfo, when

VERSION = dict(zip(("major", "minor"), __version__.split("."), strict=False))
# GFD.194, 4.5: what an implementation may offer, and whether this one does.
CAPABILITIES = {
    "ADVANCE_RESERVATION": False,
    "RESERVE_SLOTS": False,
    "CALLBACK": False,
    "BULK_JOBS_MAXPARALLEL": True,
    "JT_EMAIL": False,
    "JT_STAGING": False,
    "JT_DEADLINE": True,
    "JT_MAXSLOTS": True,
    "JT_ACCOUNTINGID": True,
    "RT_STARTNOW": False,
    "RT_DURATION": False,
    "RT_MACHINEOS": False,
    "RT_MACHINEARCH": False,
}


# DrmaaReflective: the attributes that are this binding's own, and what each is.
REFLECTIVE = {
    "jobTemplateImplSpec": {"payload": "base64: what a file at inputPath would hold; excludes inputPath"},
    "jobInfoImplSpec": {
        "output": "base64: what the job wrote",
        "exception": "why it has FAILED, by its name",
        "retryAfter": "seconds after which a submission may be accepted",
    },
    "reservationTemplateImplSpec": {},
    "reservationInfoImplSpec": {
        "state": "BOOKED, ACTIVE or ENDED",
        "used": "slots that jobs of it have",
        "movedSlots": "slots that were moved to another machine",
        "lostSlots": "slots that could not be kept",
        "annotation": "what happened last",
    },
    "queueInfoImplSpec": {
        "effect": "whether jobs may be repeated",
        "aim": "seconds",
        "deadline": "seconds",
        "waiting": "jobs that wait in the front",
    },
    "machineInfoImplSpec": {
        "state": "up, draining or removed",
        "zone": "",
        "kind": "",
        "slots": "as the node believes",
        "held": "slots that jobs of this node have",
        "heldByOthers": "as the node believes",
        "pace": "run time over its kind's",
        "failures": "in a row",
        "cold": "it has just started",
        "leftOut": "why, since when and until when it gets nothing",
    },
    "notificationImplSpec": {
        "number": "in its session's stream",
        "time": "",
        "machine": "",
        "accountingId": "",
        "members": "of an array, where one event tells of several",
    },
}


def capabilities(events: bool, reservations: bool) -> dict[str, bool]:
    """Return what is supported here; call-backs where events are kept, reservations where they are on."""
    return {
        **CAPABILITIES,
        "CALLBACK": events,
        **dict.fromkeys(("ADVANCE_RESERVATION", "RESERVE_SLOTS", "RT_DURATION"), reservations),
    }


def job_brief(job: Job) -> dict[str, object]:
    """Return a job's line in a list."""
    return {
        "jobId": job.id,
        "jobState": job.state.value,
        "jobSubState": job.substate,
        "jobOwner": job.what.account,
        "queueName": job.job_class,
        "submissionTime": when(job.submitted_us),
    }


def job_info(job: Job, machine: str) -> JobInfo:
    """Return a job's information. Times that have not come are left out."""
    wall = None
    if job.started_us and job.finished_us:
        wall = (job.finished_us - job.started_us) / 1e6
    return JobInfo(
        job.id,
        str(job.state),
        job.substate,
        job.exit_status,
        job.signal,
        job.annotation,
        job.allocated_machines,
        machine,
        job.what.account,
        int(job.what.slots),
        job.what.job_class,
        wall,
        job.cpu_us / 1e6 if job.cpu_us else None,
        when(job.submitted_us),
        when(job.started_us),
        when(job.finished_us),
        job.output,
        job.exception,
        job.retry_after_us / 1e6,
    )


def array_info(array: JobArray) -> dict[str, object]:
    """Return an array's information."""
    return {
        "jobArrayId": array.id,
        "beginIndex": array.range.start,
        "endIndex": array.range[-1],
        "step": array.range.step,
        "members": len(array.range),
        "maxParallel": array.max_parallel,
        "left": array.left,
        "states": array.counts(),
        "sessionName": array.session.name,
        "jobTemplate": msgspec.Raw(array.what.template),
    }


def session_info(session: JobSession) -> dict[str, object]:
    """Return a session's information."""
    quota, most = session.quota, session.quota.allowance
    settings: dict[str, object] = {
        "backlog": session.backlog is not None,
        "jobs": most.jobs,
        "bytes": most.size,
        "rate": most.rate,
        "burst": most.burst,
    }
    if session.backlog is not None:
        settings |= {
            "share": session.backlog.share,
            "waitMost": session.backlog.wait_most_us / 1e6,
            "priorityStep": session.backlog.priority_us / 1e6,
        }
    return {
        "sessionName": session.name,
        "contact": session.contact,
        "open": session.is_open,
        "settings": settings,
        "jobs": quota.jobs,
        "bytes": quota.size,
        "waiting": session.branch.waiting if session.branch is not None else 0,
        "arrays": len(session.arrays),
    }


def about(machine: str) -> dict[str, object]:
    """Return what the session manager says of itself (GFD.194, 7.1)."""
    return {
        "drmsName": "merlinbay",
        "drmsVersion": VERSION,
        "drmaaName": f"merlinbay at {machine}",
        "drmaaVersion": {"major": "2", "minor": "0"},
    }
