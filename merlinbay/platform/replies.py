"""The meaning of a server's reply to a job, by the statuses that the protocol defines.

``PlatformServers`` uses it to decide the outcome of an attempt, and whether a connection may be used again.
"""

from __future__ import annotations

from enum import Enum

from merlinbay.decision.outcomes import Outcome
from merlinbay.http.client import Reply

NOT_PROCESSED_STATUSES = frozenset({503, 504})


class JobReply(Enum):
    """What a reply proves about the job that it answers."""

    TAKEN = "taken"  # the server has accepted the job; callbacks report the rest
    NOT_PROCESSED = "not processed"  # the job never ran
    FAILED = "failed"  # the job has ended, and may have run
    REJECTED = "rejected"  # the request itself is invalid
    UNKNOWN = "unknown"  # the protocol does not define the status: the job may have run, or may still run


OUTCOMES = {
    JobReply.NOT_PROCESSED: Outcome.FULL,
    JobReply.FAILED: Outcome.ERROR,
    JobReply.REJECTED: Outcome.ERROR,
    JobReply.UNKNOWN: Outcome.ERROR,
}


def classify(reply: Reply) -> JobReply:
    """Return what a reply proves about its job."""
    if reply.status == 202:
        return JobReply.TAKEN
    if reply.status in NOT_PROCESSED_STATUSES and reply.headers.get("x-not-processed") == "1":
        return JobReply.NOT_PROCESSED
    if reply.status == 500:
        return JobReply.FAILED
    return JobReply.REJECTED if 400 <= reply.status < 500 else JobReply.UNKNOWN


def is_conclusive(reply: Reply) -> bool:
    """Return whether a reply leaves no doubt: the server has accepted the job, or does not have it."""
    return classify(reply) in (JobReply.TAKEN, JobReply.NOT_PROCESSED, JobReply.FAILED)
