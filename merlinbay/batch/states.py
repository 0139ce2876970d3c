"""The states of a batch job (GFD.194, 8.1) as one table. Anything that it does not list is refused."""

from __future__ import annotations

from enum import Enum, StrEnum


class JobState(StrEnum):
    """The standard's job states."""

    UNDETERMINED = "UNDETERMINED"  # its scheduler cannot be asked at present
    QUEUED = "QUEUED"
    QUEUED_HELD = "QUEUED_HELD"
    RUNNING = "RUNNING"
    SUSPENDED = "SUSPENDED"
    REQUEUED = "REQUEUED"  # it has run, was lost, and waits again
    REQUEUED_HELD = "REQUEUED_HELD"
    DONE = "DONE"
    FAILED = "FAILED"


class JobTransition(Enum):
    """What may happen to a job, at the client's wish or as its scheduler tells."""

    HOLD = "hold"
    RELEASE = "release"
    SUSPEND = "suspend"
    RESUME = "resume"
    START = "start"
    REQUEUE = "requeue"  # it had started, and waits again
    LOSE_SIGHT = "lose sight"  # nobody can be asked
    FIND_QUEUED = "find queued"  # asked again, its scheduler says that it waits
    FINISH = "finish"
    FAIL = "fail"


class InvalidStateError(Exception):
    """The job's state does not allow what was asked for; the state is unchanged."""


S, E = JobState, JobTransition
ENDED = frozenset({S.DONE, S.FAILED})
HELD = frozenset({S.QUEUED_HELD, S.REQUEUED_HELD})
STARTED = frozenset({S.RUNNING, S.SUSPENDED}) | ENDED  # what waitStarted waits for

TABLE: dict[tuple[JobState, JobTransition], JobState] = {
    (S.QUEUED, E.HOLD): S.QUEUED_HELD,
    (S.QUEUED, E.START): S.RUNNING,
    (S.QUEUED, E.LOSE_SIGHT): S.UNDETERMINED,
    (S.QUEUED, E.FINISH): S.DONE,  # its start notice was lost
    (S.QUEUED, E.FAIL): S.FAILED,
    (S.QUEUED_HELD, E.RELEASE): S.QUEUED,
    (S.QUEUED_HELD, E.FAIL): S.FAILED,
    (S.RUNNING, E.SUSPEND): S.SUSPENDED,
    (S.RUNNING, E.REQUEUE): S.REQUEUED,
    (S.RUNNING, E.LOSE_SIGHT): S.UNDETERMINED,
    (S.RUNNING, E.FINISH): S.DONE,
    (S.RUNNING, E.FAIL): S.FAILED,
    (S.SUSPENDED, E.RESUME): S.RUNNING,
    (S.SUSPENDED, E.REQUEUE): S.REQUEUED,
    (S.SUSPENDED, E.LOSE_SIGHT): S.UNDETERMINED,
    (S.SUSPENDED, E.FINISH): S.DONE,  # a resume at the scheduler whose notice was lost
    (S.SUSPENDED, E.FAIL): S.FAILED,
    (S.REQUEUED, E.HOLD): S.REQUEUED_HELD,
    (S.REQUEUED, E.START): S.RUNNING,
    (S.REQUEUED, E.LOSE_SIGHT): S.UNDETERMINED,
    (S.REQUEUED, E.FINISH): S.DONE,
    (S.REQUEUED, E.FAIL): S.FAILED,
    (S.REQUEUED_HELD, E.RELEASE): S.REQUEUED,
    (S.REQUEUED_HELD, E.FAIL): S.FAILED,
    (S.UNDETERMINED, E.FIND_QUEUED): S.QUEUED,
    (S.UNDETERMINED, E.START): S.RUNNING,
    (S.UNDETERMINED, E.SUSPEND): S.SUSPENDED,
    (S.UNDETERMINED, E.REQUEUE): S.REQUEUED,
    (S.UNDETERMINED, E.FINISH): S.DONE,
    (S.UNDETERMINED, E.FAIL): S.FAILED,
}


def after(state: JobState, event: JobTransition) -> JobState:
    """Return the state that follows. Raises ``InvalidStateError`` where the table has no such transition."""
    try:
        return TABLE[state, event]
    except KeyError:
        raise InvalidStateError(f"cannot {event.value} a job that is {state.value}") from None
