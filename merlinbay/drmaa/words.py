"""The binding's words: templates, states, job information and exceptions, to and from the core's values."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec

from merlinbay.core.ports import JobSpec
from merlinbay.decision import api

TEMPLATE_TYPE = "application/vnd.drmaa2.job-template+json"
QUEUED, RUNNING, DONE, FAILED = "QUEUED", "RUNNING", "DONE", "FAILED"

STATUSES = {"TryLaterException": 503, "InvalidArgumentException": 400, "UnsupportedAttributeException": 400,
            "UnsupportedOperationException": 405, "InvalidStateException": 409, "TimeoutException": 504,
            "InternalException": 500, "DrmCommunicationException": 502}

# GFD.194's attributes that this binding knows but does not carry: they are refused, never dropped silently.
UNSUPPORTED = ("submitAsHold", "workingDirectory", "email", "emailOnStarted", "emailOnTerminated",
               "inputPath", "outputPath", "errorPath", "joinFiles", "reservationId", "queueName", "priority",
               "candidateMachines", "minPhysMemory", "machineOS", "machineArch", "startTime", "stageInFiles",
               "stageOutFiles", "resourceLimits")


class DrmaaError(Exception):
    """One of the standard's exceptions."""

    def __init__(self, name: str, message: str, retry_after_us: int = 0, status: int = 0) -> None:
        super().__init__(message)
        self.name, self.retry_after_us = name, retry_after_us
        self.status = status or STATUSES[name]


class JobTemplate(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The attributes of GFD.194 5.6; ``payload`` is this binding's own."""

    remoteCommand: str  # noqa: N815
    args: list[str] = []
    jobEnvironment: dict[str, str] = {}  # noqa: N815
    jobCategory: str = ""  # noqa: N815
    jobName: str = ""  # noqa: N815
    accountingId: str = ""  # noqa: N815
    rerunnable: bool | None = None
    minSlots: int | None = None  # noqa: N815
    maxSlots: int | None = None  # noqa: N815
    deadlineTime: datetime | None = None  # noqa: N815
    payload: bytes = b""  # base64: what a file at inputPath would hold
    submitAsHold: Any = None  # noqa: N815
    workingDirectory: Any = None  # noqa: N815
    email: Any = None
    emailOnStarted: Any = None  # noqa: N815
    emailOnTerminated: Any = None  # noqa: N815
    inputPath: Any = None  # noqa: N815
    outputPath: Any = None  # noqa: N815
    errorPath: Any = None  # noqa: N815
    joinFiles: Any = None  # noqa: N815
    reservationId: Any = None  # noqa: N815
    queueName: Any = None  # noqa: N815
    priority: Any = None
    candidateMachines: Any = None  # noqa: N815
    minPhysMemory: Any = None  # noqa: N815
    machineOS: Any = None  # noqa: N815
    machineArch: Any = None  # noqa: N815
    startTime: Any = None  # noqa: N815
    stageInFiles: Any = None  # noqa: N815
    stageOutFiles: Any = None  # noqa: N815
    resourceLimits: Any = None  # noqa: N815


class RunJob(msgspec.Struct, omit_defaults=True):
    """The body of a runJob call."""

    jobTemplate: JobTemplate  # noqa: N815
    sessionName: str = ""  # noqa: N815
    notify: str = ""  # where a scheduler sends its notifications


class JobInfo(msgspec.Struct, omit_defaults=True):
    """What is known of a job; ``output``, ``exception`` and ``retryAfter`` are this binding's own."""

    jobId: str  # noqa: N815
    jobState: str  # noqa: N815
    exitStatus: int | None = None  # noqa: N815
    terminatingSignal: str = ""  # noqa: N815
    annotation: str = ""
    submissionTime: datetime | None = None  # noqa: N815
    dispatchTime: datetime | None = None  # noqa: N815
    finishTime: datetime | None = None  # noqa: N815
    output: bytes = b""  # base64: what a file at outputPath would hold
    exception: str = ""
    retryAfter: float = 0.0  # noqa: N815


class Notification(msgspec.Struct):
    """A DrmaaNotification, with the job's name and information beside its id."""

    event: str
    sessionName: str  # noqa: N815
    jobName: str  # noqa: N815
    jobState: str  # noqa: N815
    jobId: str = ""  # noqa: N815
    jobInfo: JobInfo | None = None  # noqa: N815


_run_job = msgspec.json.Decoder(RunJob).decode
read_job_info = msgspec.json.Decoder(JobInfo).decode
read_notification = msgspec.json.Decoder(Notification).decode
write = msgspec.json.encode


def when(at_us: int) -> datetime | None:
    """Return a time as the binding writes it; 0 is none."""
    return datetime.fromtimestamp(at_us / 1e6, UTC) if at_us else None


def read_run_job(body: bytes) -> JobTemplate:
    """Read a client's runJob call. Raises ``DrmaaError``."""
    try:
        call = _run_job(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DrmaaError("InvalidArgumentException", str(error)) from None
    if call.notify:
        raise DrmaaError("UnsupportedOperationException", "clients are not sent notifications")
    for name in UNSUPPORTED:
        if getattr(call.jobTemplate, name) is not None:
            raise DrmaaError("UnsupportedAttributeException", name)
    return call.jobTemplate


def job_spec(template: JobTemplate, job_id: str, classes: list[api.JobClass], now_us: int) -> JobSpec:
    """Translate a template into what the core takes. Raises ``DrmaaError``."""
    if not template.remoteCommand:
        raise DrmaaError("InvalidArgumentException", "remoteCommand is empty")
    wanted = template.jobCategory or classes[0].name
    job_class = next((spec for spec in classes if spec.name == wanted), None)
    if job_class is None:
        raise DrmaaError("InvalidArgumentException", f"unknown jobCategory {wanted!r}")
    if template.rerunnable is False and job_class.effect != "once":
        raise DrmaaError("InvalidArgumentException", f"jobCategory {wanted!r} repeats jobs")
    low = 1 if template.minSlots is None else template.minSlots
    high = low if template.maxSlots is None else template.maxSlots
    if not 1 <= low <= high <= 1_000_000:
        raise DrmaaError("InvalidArgumentException", "minSlots and maxSlots")
    budget_us = job_class.deadline_us
    if template.deadlineTime is not None:
        if template.deadlineTime.tzinfo is None:
            raise DrmaaError("InvalidArgumentException", "deadlineTime names no time zone")
        budget_us = min(budget_us, int(template.deadlineTime.timestamp() * 1e6) - now_us)
    if budget_us <= 0:
        raise DrmaaError("InvalidArgumentException", "deadlineTime has passed")
    return JobSpec(name=job_id, job_class=wanted, arrived_us=now_us, budget_us=budget_us,
                   target=f"/{wanted}", body=write(template), body_type=TEMPLATE_TYPE, repeat_key=job_id,
                   tenant=template.accountingId, slots=float(low))


def template_for(spec: JobSpec, deadline_us: int) -> JobTemplate:
    """Translate a flow into the template that a scheduler gets; its ``jobName`` is the flow's name."""
    if spec.body_type == TEMPLATE_TYPE:
        template = msgspec.json.decode(spec.body, type=JobTemplate)
    else:
        template = JobTemplate(remoteCommand=spec.target, payload=spec.body)
    template.jobCategory, template.jobName = spec.job_class, spec.name
    template.deadlineTime = when(deadline_us)
    if spec.repeat_key:
        template.jobEnvironment = {**template.jobEnvironment, "DRMAA2_REPEAT_KEY": spec.repeat_key}
    return template


def error_body(name: str, message: str, retry_after_us: int = 0) -> bytes:
    """Write an exception."""
    body: dict[str, object] = {"exception": name, "message": message}
    if retry_after_us:
        body["retryAfter"] = retry_after_us / 1e6
    return write(body)
