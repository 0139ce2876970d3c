"""What becomes of a template: read off it at its submission, and written into what goes to a real server."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime

import msgspec

from merlinbay.batch.errors import DrmaaError, invalid_argument
from merlinbay.batch.jobs import Job, Submission
from merlinbay.core.values import RequestSpec
from merlinbay.decision.settings import RequestClass
from merlinbay.drmaa.schema import JobTemplate, when, write

_template = msgspec.json.Decoder(JobTemplate).decode
TEMPLATE_TYPE = "application/vnd.drmaa2.job-template+json"
INDEX = "$DRMAA2_INDEX$"  # GFD.194, 5.6: in these attributes it stands for an array member's index
INDEXED = ("workingDirectory", "inputPath", "outputPath", "errorPath")
PRIORITIES = range(-100, 101)

# GFD.194's attributes that this binding knows but does not carry: they are refused, never dropped silently.
UNSUPPORTED = (
    "email",
    "emailOnStarted",
    "emailOnTerminated",
    "machineOS",
    "machineArch",
    "stageInFiles",
    "stageOutFiles",
)
RESOURCE_LIMITS = (
    "CORE_FILE_SIZE",
    "CPU_TIME",
    "DATA_SIZE",
    "FILE_SIZE",
    "OPEN_FILES",
    "STACK_SIZE",
    "VIRTUAL_MEMORY",
    "WALLCLOCK_TIME",
)


@dataclass(frozen=True, slots=True)
class Rules:
    """What templates are read by."""

    classes: Mapping[str, RequestClass]  # the first is the default
    memory_unit_kib: int = 0  # of the decision module's unit of memory; 0: the operator has not said


def submission(template: JobTemplate, rules: Rules, now_us: int) -> Submission:
    """Check a template and read off what decides when and where it runs. Raises ``DrmaaError``."""
    for name in UNSUPPORTED:
        if getattr(template, name) is not None:
            raise DrmaaError("UnsupportedAttributeException", name)
    if not template.remoteCommand:
        raise invalid_argument("remoteCommand is empty")
    if template.payload and template.inputPath:
        raise invalid_argument("payload and inputPath exclude each other")
    for name, value in template.resourceLimits.items():
        if name not in RESOURCE_LIMITS or value < 0:
            raise invalid_argument(f"resourceLimits: {name!r}")
    if template.priority not in PRIORITIES:
        raise invalid_argument(f"priority: {PRIORITIES.start} to {PRIORITIES.stop - 1}")
    if len(template.candidateMachines) > 256:
        raise invalid_argument("candidateMachines: 256 at the most")
    job_class = _class_of(template, rules)
    low = 1 if template.minSlots is None else template.minSlots
    high = low if template.maxSlots is None else template.maxSlots
    if not 1 <= low <= high <= 1_000_000:
        raise invalid_argument("minSlots and maxSlots")
    if template.minPhysMemory is not None:
        if not rules.memory_unit_kib:
            raise DrmaaError("UnsupportedAttributeException", "minPhysMemory: no memory_unit_kib is set")
        if not 0 <= template.minPhysMemory < 2**53:
            raise invalid_argument("minPhysMemory")
    start_us = 0 if template.startTime is None else moment("startTime", template.startTime)
    deadline_us = 0 if template.deadlineTime is None else moment("deadlineTime", template.deadlineTime)
    if template.deadlineTime is not None and deadline_us <= now_us:
        raise invalid_argument("deadlineTime has passed")
    if deadline_us and start_us >= deadline_us:
        raise invalid_argument("deadlineTime comes before startTime")
    body = write(template)
    return Submission(
        body,
        job_class.name,
        float(low),
        len(body),
        template.accountingId,
        template.priority,
        template.submitAsHold,
        start_us if start_us > now_us else 0,
        deadline_us,
        (template.minPhysMemory, tuple(template.candidateMachines)),
        template.jobName,
        template.reservationId,
    )


def _class_of(template: JobTemplate, rules: Rules) -> RequestClass:
    """Return the class that a template asks for: a class is a job category, and a queue of that name."""
    wanted = template.jobCategory or template.queueName or next(iter(rules.classes))
    if template.queueName and template.queueName != wanted:
        raise invalid_argument(f"queueName {template.queueName!r} is not that of jobCategory {wanted!r}")
    job_class = rules.classes.get(wanted)
    if job_class is None:
        raise invalid_argument(f"unknown jobCategory or queueName {wanted!r}")
    if template.rerunnable is False and job_class.effect != "once":
        raise invalid_argument(f"jobCategory {wanted!r} repeats jobs")
    return job_class


def moment(name: str, at: datetime) -> int:
    """Return a time of the wire in microseconds. Raises ``DrmaaError``."""
    if at.tzinfo is None:
        raise invalid_argument(f"{name} names no time zone")
    moment = int(at.timestamp() * 1e6)
    if not 0 < moment < 2**62:
        raise invalid_argument(name)
    return moment


def job_spec(job: Job, rules: Rules, now_us: int) -> RequestSpec:
    """Translate a job that is offered now into what the core takes.

    Its class's deadline counts from now: what it has waited in the backlog is not taken off. Its own
    ``deadlineTime`` bounds both.
    """
    what, (memory_kib, machines) = job.what, job.what.fits
    budget_us = rules.classes[what.job_class].deadline_us
    if what.deadline_us:
        budget_us = min(budget_us, what.deadline_us - now_us)
    body = what.template if job.array is None else write(for_member(_template(what.template), job.index))
    memory = 0.0 if memory_kib is None else memory_kib / rules.memory_unit_kib
    # Guards against what a scheduler tells late of an earlier offer: each has a name of its own. The key by
    # which it knows a repeat stays the job's.
    return RequestSpec(
        name=job.id if job.offer == 1 else f"{job.id}~{job.offer}",
        job_class=what.job_class,
        arrived_at_us=now_us,
        time_budget_us=max(budget_us, 1000),
        target=f"/{what.job_class}",
        body=body,
        body_type=TEMPLATE_TYPE,
        idempotency_key=job.id,
        tenant=what.account,
        slots=what.slots,
        memory=memory,
        allowed_servers=machines,
        needs_free_slot=job.session.backlog is not None and job.session.backlog.room_only,
        earlier_attempts=job.unresolved,
    )


def for_member(template: JobTemplate, index: int) -> JobTemplate:
    """Return an array member's template: its index in the paths, and in ``DRMAA2_INDEX``."""
    number = str(index)
    paths = {
        name: value.replace(INDEX, number) for name in INDEXED if INDEX in (value := getattr(template, name))
    }
    return msgspec.structs.replace(
        template, **paths, jobEnvironment={**template.jobEnvironment, "DRMAA2_INDEX": number}
    )


def template_for(spec: RequestSpec, deadline_us: int) -> JobTemplate:
    """Translate a request into the template that a scheduler gets; its ``jobName`` is the request's name.

    What the front has seen to (waiting, turns, the choice of machines) is not said again.
    """
    if spec.body_type == TEMPLATE_TYPE:
        template = _template(spec.body)
        template.submitAsHold, template.startTime, template.priority = False, None, 0
        template.candidateMachines, template.queueName, template.reservationId = [], "", ""
    else:
        template = JobTemplate(remoteCommand=spec.target, payload=spec.body)
    template.jobCategory, template.jobName = spec.job_class, spec.name
    template.deadlineTime = when(deadline_us)
    if spec.idempotency_key:
        template.jobEnvironment = {**template.jobEnvironment, "DRMAA2_REPEAT_KEY": spec.idempotency_key}
    return template
