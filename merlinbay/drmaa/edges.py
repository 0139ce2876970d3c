"""The two ends of the front: calls that wait for their answer, and the client's side of each flow."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from merlinbay.access.grants import denied
from merlinbay.batch.book import Reply
from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.jobs import Job
from merlinbay.batch.timers import NEVER
from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Answer, Ending, Verdict
from merlinbay.drmaa import words
from merlinbay.http.server import Connection, Response

if TYPE_CHECKING:
    from merlinbay.drmaa.front import DrmaaFront

JSON = (b"content-type", b"application/json")
NOTHING = Ending()


class Call:
    """A call that may be answered later: its connection, and what an answer is made of."""

    def __init__(self, connection: Connection, write: Callable[[Job | None], Response]) -> None:
        self.connection, self.write = connection, write
        self.response: Response | None = None  # it came at once
        self.later = False
        self.until_us = NEVER
        self.clock: Clock | None = None

    def ends_with(self, until_us: int, clock: Clock) -> None:
        """Say until when the caller's token is good: from then on it is told nothing more."""
        self.until_us, self.clock = until_us, clock

    def take(self, reply: Reply) -> None:
        """Take the one answer."""
        self.done(failure(reply.error) if reply.error is not None else self.write(reply.job))

    def done(self, response: Response) -> None:
        """Have the one answer written."""
        # Guards against a token that ends in the middle of a wait: what is known by now is not its caller's.
        if self.clock is not None and self.clock.now_us() >= self.until_us:
            response = failure(denied("the token is not valid any more"))
        if self.later:
            self.connection.context = None
            self.connection.proven = self.connection.proven or response.status < 300
            self.connection.respond(response)
        else:
            self.response = response


class JobEdge(ports.Edge):
    """The client's side of one flow: one offer of a job."""

    def __init__(self, front: DrmaaFront, job: Job, spec: ports.JobSpec) -> None:
        self.front, self.job, self.name = front, job, spec.name
        self.deadline_us = spec.arrived_us + spec.budget_us

    def _mine(self) -> bool:
        """Tell whether the job has not ended: the owner tells nothing more of a flow that is over."""
        if not self.job.ended:
            return True
        # Guards against what crosses a terminate, which the owner has yet to hear of: it changes nothing.
        self.front.counters.add("drmaa_crossed")
        return False

    def _tell(self, news: Callable[..., None], *args: object) -> None:
        if self._mine():
            now = self.front.clock.now_us()
            news(self.job, *args, now)
            self.front.flush(now)

    def sent(self, server: str) -> None:
        """Take it that a real server has been chosen."""
        self._tell(self.front.engine.placed, server)

    def started(self, server: str) -> None:
        """Take it that a real server runs it."""
        self._tell(self.front.engine.started, server)

    def suspended(self) -> None:
        """Take it that its server has suspended it."""
        self._tell(self.front.engine.suspended)

    def unplaced(self) -> None:
        """Take it that no server has it any more."""
        self._tell(self.front.engine.unplaced)

    def lost_sight(self) -> None:
        """Take it that its server cannot be asked."""
        self._tell(self.front.engine.lost_sight)

    def found_queued(self) -> None:
        """Take it that its server has not started it."""
        self._tell(self.front.engine.found_queued)

    def recalled(self, done: bool) -> None:
        """Take it that a hold came in time, or not."""
        if done:
            self.front.edges.pop(self.job, None)
        self._tell(self.front.engine.recalled, done)

    def controlled(self, action: str, error: str, message: str) -> None:
        """Take what came of suspend or resume."""
        self._tell(self.front.engine.controlled, action, DrmaaError(error, message) if error else None)

    def answer(self, answer: Answer) -> None:
        """Take the flow's answer: the job's final state, or what sends it back into the backlog."""
        self.front.edges.pop(self.job, None)
        if not self._mine():
            return
        front, job, ending = self.front, self.job, answer.ending or NOTHING
        now = front.clock.now_us()
        if answer.verdict is Verdict.SERVED:
            front.engine.finished(job, answer.result, now, ending.exit_status or 0, ending.cpu_us)
        elif answer.verdict is Verdict.REFUSED:
            front.engine.refused(job, answer.retry_after_us, now)
            front.back(job)
        else:
            exception, note = self._why_failed(ending, now)
            front.engine.failed(job, exception, note, now, ending.exit_status, ending.signal, ending.output)
        if front.log.debug:
            front.log.event("job_ended" if job.ended else "job_refused", level="debug", job=job.id,
                            session=job.session.name, state=str(job.state), server=job.server,
                            exception=job.exception)
        front.flush(now)

    def _why_failed(self, ending: Ending, now_us: int) -> tuple[str, str]:
        """Return the exception and the annotation of a job that has failed."""
        if ending.signal:
            return "InternalException", ending.note or f"ended by {ending.signal}; it may have run"
        if ending.exit_status is not None:
            return "", ending.note
        if now_us >= self.deadline_us - self.front.limits.answer_margin_us:
            return "TimeoutException", "the deadline has passed; it may have run"
        return "InternalException", ending.note or "failed; it may have run"


def ok(value: object, status: int = 200) -> Response:
    """Write an answer."""
    return Response(status, words.write(value), [JSON])


def failure(error: DrmaaError) -> Response:
    """Write an exception as an answer."""
    headers = [JSON]
    if error.retry_after_us:
        headers.append((b"retry-after", f"{error.retry_after_us / 1e6:.3f}".encode()))
    if error.nobody:
        headers.append((b"www-authenticate", b"Bearer"))
    return Response(words.status_of(error), words.error_body(error.name, str(error), error.retry_after_us),
                    headers)

