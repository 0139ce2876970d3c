"""What an executor's answer to a job says of it: the one table of the statuses that the protocol names."""

from __future__ import annotations

from enum import Enum

from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import Reply

NOT_PROCESSED_STATUSES = frozenset({503, 504})


class JobReply(Enum):
    """An answer to a job, by what it proves."""

    TAKEN = "taken"  # call-backs tell the rest
    NOT_PROCESSED = "not processed"  # the job never ran
    FAILED = "failed"  # it has ended, and may have run
    REJECTED = "rejected"  # the executor finds the request itself at fault
    UNKNOWN = "unknown"  # the protocol does not name it: the job may run, or may yet


OUTCOMES = {
    JobReply.NOT_PROCESSED: Outcome.FULL,
    JobReply.FAILED: Outcome.ERROR,
    JobReply.REJECTED: Outcome.ERROR,
    JobReply.UNKNOWN: Outcome.ERROR,
}


def classify(reply: Reply) -> JobReply:
    """Return what an answer to a job says of it."""
    if reply.status == 202:
        return JobReply.TAKEN
    if reply.status in NOT_PROCESSED_STATUSES and reply.headers.get("x-not-processed") == "1":
        return JobReply.NOT_PROCESSED
    if reply.status == 500:
        return JobReply.FAILED
    return JobReply.REJECTED if 400 <= reply.status < 500 else JobReply.UNKNOWN


def settles(reply: Reply) -> bool:
    """Tell whether an answer leaves nothing open at the executor: the job was taken, or is no more there."""
    return classify(reply) in (JobReply.TAKEN, JobReply.NOT_PROCESSED, JobReply.FAILED)
