"""The core's end of the front: the client's side of each request."""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.jobs import Job
from merlinbay.core.attempts import Responder
from merlinbay.core.values import Answer, AnswerStatus, ExitDetails, RequestSpec
from merlinbay.decision.events import UnresolvedAttempt
from merlinbay.drmaa.shared_state import SharedState

NOTHING = ExitDetails()


class JobClient(Responder):
    """The client's side of one request: one offer of a job."""

    def __init__(self, front: SharedState, job: Job, spec: RequestSpec) -> None:
        self.front, self.job, self.name = front, job, spec.name
        self.deadline_us = spec.arrived_at_us + spec.time_budget_us

    def _mine(self) -> bool:
        """Tell whether the job has not ended: the owner tells nothing more of a request that is over."""
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

    def has_disconnected(self) -> bool:
        """Tell whether the job was ended by its client, be it that the owner has yet to hear of it."""
        return self.job.ended

    def _log(self, event: str, **values: object) -> None:
        """Write an event about the job, with the offer that it belongs to."""
        log, job = self.front.log, self.job
        if log.writes_debug:
            log.event(
                event,
                level="debug",
                job=job.id,
                offer=job.offer,
                session=job.session.name,
                state=str(job.state),
                server=job.server,
                **values,
            )

    def log_offer(self) -> None:
        """Write that the job is offered to the core."""
        self._log("job_offered")

    def on_dispatched(self, server: str) -> None:
        """Take it that a real server has been chosen."""
        self._tell(self.front.engine.placed, server)
        self._log("job_placed")

    def on_started(self, server: str) -> None:
        """Take it that a real server runs it."""
        self._tell(self.front.engine.started, server)

    def on_suspended(self) -> None:
        """Take it that its server has suspended it."""
        self._tell(self.front.engine.suspended)

    def on_requeued(self) -> None:
        """Take it that no server has it any more."""
        self._tell(self.front.engine.unplaced)
        self._log("job_requeued")

    def on_possibly_run(self, attempt: UnresolvedAttempt | None) -> None:
        """Take it that an attempt has ended that may have run."""
        self._tell(self.front.engine.possibly_ran, attempt, self._repeat_until_us(attempt))
        self._log("job_may_have_run")

    def _repeat_until_us(self, attempt: UnresolvedAttempt | None) -> int:
        """Return until when the job may be sent again after this attempt; 0: at any time."""
        spec = self.front.rules.classes[self.job.job_class]
        if spec.effect == "repeatable":
            return 0
        if attempt is None or spec.effect != "by_key":
            return self.front.clock.now_us()
        return attempt.dispatched_at_us + spec.window_us

    def on_status_unknown(self) -> None:
        """Take it that its server cannot be asked."""
        self._tell(self.front.engine.lost_sight)

    def on_still_queued(self) -> None:
        """Take it that its server has not started it."""
        self._tell(self.front.engine.found_queued)

    def on_recall_ended(self, was_recalled: bool) -> None:
        """Take it that a hold came in time, or not."""
        if was_recalled:
            self.front.forget_edge(self.job)
        self._tell(self.front.engine.recalled, was_recalled)
        self._log("job_recalled" if was_recalled else "job_recall_failed")

    def on_control_ended(self, action: str, error: str, message: str) -> None:
        """Take what came of suspend or resume."""
        self._tell(self.front.engine.controlled, action, DrmaaError(error, message) if error else None)

    def _repeats_late(self, answer: Answer) -> bool:
        """Tell whether the job may have run, and its next offer might come after servers forget its key."""
        spec = self.front.rules.classes[self.job.job_class]
        return answer.may_have_run and spec.effect != "repeatable"

    def answer(self, answer: Answer) -> None:
        """Take the request's answer: the job's final state, or what sends it back into the backlog."""
        self.front.forget_edge(self.job)
        if not self._mine():
            return
        front, job, ending = self.front, self.job, answer.exit_details or NOTHING
        now = front.clock.now_us()
        if answer.status is AnswerStatus.SERVED:
            front.engine.finished(job, answer.result, now, ending.exit_status or 0, ending.cpu_us)
        elif answer.status is AnswerStatus.REJECTED and not self._repeats_late(answer):
            front.engine.refused(job, answer.retry_after_us, now)
            front.back(job)
        else:
            exception, note = self._why_failed(ending, now)
            front.engine.failed(job, exception, note, now, ending.exit_status, ending.signal, ending.output)
        self._log("job_ended" if job.ended else "job_refused", exception=job.exception)
        front.flush(now)

    def _why_failed(self, ending: ExitDetails, now_us: int) -> tuple[str, str]:
        """Return the exception and the annotation of a job that has failed."""
        if ending.signal:
            return "InternalException", ending.note or f"ended by {ending.signal}; it may have run"
        if ending.exit_status is not None:
            return "", ending.note
        if now_us >= self.deadline_us - self.front.limits.response_margin_us:
            return "TimeoutException", "the deadline has passed; it may have run"
        return "InternalException", ending.note or "failed; it may have run"
