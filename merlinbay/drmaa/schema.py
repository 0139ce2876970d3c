"""The binding's words as they stand on the wire: templates, job information, calls and exceptions."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, TypeVar

import msgspec

from merlinbay.batch.errors import DrmaaError

T = TypeVar("T")
QUEUED, RUNNING, SUSPENDED, DONE, FAILED = "QUEUED", "RUNNING", "SUSPENDED", "DONE", "FAILED"

STATUSES = {
    "TryLaterException": 503,
    "OutOfResourceException": 503,
    "InvalidArgumentException": 400,
    "UnsupportedAttributeException": 400,
    "UnsupportedOperationException": 405,
    "InvalidStateException": 409,
    "InvalidSessionException": 409,
    "TimeoutException": 504,
    "InternalException": 500,
    "DrmCommunicationException": 502,
    "DeniedByDrmsException": 403,
}


class JobTemplate(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The attributes of GFD.194 5.6; ``payload`` is this binding's own. ``Any``: known, and not carried."""

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
    submitAsHold: bool = False  # noqa: N815
    startTime: datetime | None = None  # noqa: N815
    priority: int = 0
    queueName: str = ""  # noqa: N815
    candidateMachines: list[str] = []  # noqa: N815
    minPhysMemory: int | None = None  # noqa: N815  # kibibytes
    resourceLimits: dict[str, int] = {}  # noqa: N815
    workingDirectory: str = ""  # noqa: N815
    inputPath: str = ""  # noqa: N815
    outputPath: str = ""  # noqa: N815
    errorPath: str = ""  # noqa: N815
    joinFiles: bool = False  # noqa: N815
    email: Any = None
    emailOnStarted: Any = None  # noqa: N815
    emailOnTerminated: Any = None  # noqa: N815
    reservationId: str = ""  # noqa: N815
    machineOS: Any = None  # noqa: N815
    machineArch: Any = None  # noqa: N815
    stageInFiles: Any = None  # noqa: N815
    stageOutFiles: Any = None  # noqa: N815


class RunJob(msgspec.Struct, omit_defaults=True):
    """The body of a runJob call; ``sessionName`` and ``notify`` are for schedulers."""

    jobTemplate: JobTemplate  # noqa: N815
    sessionName: str = ""  # noqa: N815
    notify: str = ""  # where a scheduler sends its notifications


class RunBulkJobs(msgspec.Struct):
    """The body of a runBulkJobs call."""

    jobTemplate: JobTemplate  # noqa: N815
    beginIndex: int  # noqa: N815
    endIndex: int  # noqa: N815
    step: int = 1
    maxParallel: int = 0  # noqa: N815  # 0: any number


class WaitAny(msgspec.Struct):
    """The body of a waitAny call."""

    jobIds: list[str]  # noqa: N815
    timeout: float | None = None  # seconds; none: for as long as it takes


class SessionSettings(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """What a client may wish for its session, within what the operator allows."""

    backlog: bool = False
    share: float = 1.0
    waitMost: float | None = None  # noqa: N815  # seconds; none: the operator's
    priorityStep: float = 60.0  # noqa: N815  # seconds of waiting that one step of priority is worth
    jobs: int | None = None
    rate: float | None = None


class CreateSession(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a createJobSession call."""

    sessionName: str  # noqa: N815
    contact: str = ""
    settings: SessionSettings = msgspec.field(default_factory=SessionSettings)


class JobInfo(msgspec.Struct, omit_defaults=True):
    """What is known of a job; ``output``, ``exception`` and ``retryAfter`` are this binding's own."""

    jobId: str  # noqa: N815
    jobState: str  # noqa: N815
    jobSubState: str = ""  # noqa: N815
    exitStatus: int | None = None  # noqa: N815
    terminatingSignal: str = ""  # noqa: N815
    annotation: str = ""
    allocatedMachines: list[str] = []  # noqa: N815
    submissionMachine: str = ""  # noqa: N815
    jobOwner: str = ""  # noqa: N815
    slots: int | None = None
    queueName: str = ""  # noqa: N815
    wallclockTime: float | None = None  # noqa: N815  # seconds
    cpuTime: float | None = None  # noqa: N815  # seconds
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
_run_bulk = msgspec.json.Decoder(RunBulkJobs).decode
_wait_any = msgspec.json.Decoder(WaitAny).decode
_create = msgspec.json.Decoder(CreateSession).decode
read_job_info = msgspec.json.Decoder(JobInfo).decode
read_notification = msgspec.json.Decoder(Notification).decode
write = msgspec.json.encode


def when(at_us: int) -> datetime | None:
    """Return a time as the binding writes it; 0 is none."""
    return datetime.fromtimestamp(at_us / 1e6, UTC) if at_us else None


def _read(decode: Callable[[bytes], T], body: bytes) -> T:
    try:
        return decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DrmaaError("InvalidArgumentException", str(error)) from None


def read_run_job(body: bytes) -> JobTemplate:
    """Read a client's runJob call. Raises ``DrmaaError``."""
    call = _read(_run_job, body)
    if call.notify:
        raise DrmaaError("UnsupportedOperationException", "clients are not sent notifications")
    return call.jobTemplate


def read_scheduled(body: bytes) -> RunJob:
    """Read a runJob call as a scheduler gets it. Raises ``DrmaaError``."""
    return _read(_run_job, body)


def read_run_bulk(body: bytes) -> RunBulkJobs:
    """Read a runBulkJobs call. Raises ``DrmaaError``."""
    return _read(_run_bulk, body)


def read_wait_any(body: bytes) -> WaitAny:
    """Read a waitAny call. Raises ``DrmaaError``."""
    return _read(_wait_any, body)


def read_create(body: bytes) -> CreateSession:
    """Read a createJobSession call. Raises ``DrmaaError``."""
    return _read(_create, body)


def status_of(error: DrmaaError) -> int:
    """Return the HTTP status that goes with an exception."""
    return 404 if error.missing else 401 if error.nobody else STATUSES[error.name]


def error_body(name: str, message: str, retry_after_us: int = 0) -> bytes:
    """Write an exception."""
    body: dict[str, object] = {"exception": name, "message": message}
    if retry_after_us:
        body["retryAfter"] = retry_after_us / 1e6
    return write(body)
