"""The life of a request, from its arrival to its one final answer.

The dispatcher calls this for messages of fronts, when an action or a deadline answers a request, and when the
node shuts down. A request that cannot be accepted is answered at once and never reaches the decision module.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.core.event_batch import EventBatch
from merlinbay.core.messages import RequestArrived, RequestWithdrawn, ShutdownRequested
from merlinbay.core.request_trace import RequestTrace
from merlinbay.core.requests import OpenRequest, RequestTable
from merlinbay.core.timers import RequestDeadline, Timers
from merlinbay.core.values import Answer, AnswerStatus, RequestSpec
from merlinbay.counters import Counters
from merlinbay.decision.events import ClientDisconnected, RequestReceived
from merlinbay.limits import ResourceLimits

MIN_BUDGET_US = 1000  # minimum time from arrival to deadline, after the response margin is subtracted


class RequestLifecycle:
    """Accepts requests, answers each of them once, and rejects new ones after shutdown. No method waits."""

    def __init__(
        self,
        requests: RequestTable,
        timers: Timers,
        batch: EventBatch,
        limits: ResourceLimits,
        counters: Counters,
        class_names: set[str],
        trace: RequestTrace,
    ) -> None:
        self.requests, self.timers, self.batch = requests, timers, batch
        self.limits, self.counters, self.trace = limits, counters, trace
        self.class_names = class_names  # names of the job classes in the settings
        self.request_count = 0
        self.is_shutting_down = False
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._on_arrived,
            RequestWithdrawn: self._on_withdrawn,
            ShutdownRequested: self._on_shutdown_requested,
        }

    def answer(self, request: OpenRequest, answer: Answer, cause: str) -> None:
        """Give a request its one final answer; ``cause`` is for the log."""
        request.is_answered = True
        self.trace.answered(request, answer, cause)
        self.counters.add(f"answers_{answer.status.value}")
        request.responder.answer(answer)

    def answer_if_open(self, request: OpenRequest, answer: Answer, cause: str) -> None:
        """Answer a request unless it has been answered, and remove it if it has no open attempt."""
        if not request.is_answered:
            self.answer(request, answer, cause)
            self.remove_if_finished(request)

    def remove_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that is answered and has no open attempt, with its timers."""
        # A timer would keep the request, with its body, until the deadline, which may be an hour away.
        if self.requests.remove_if_finished(request):
            self.timers.cancel(request.timer_keys)

    def set_deadline(self, request: OpenRequest, due_at_us: int) -> None:
        """Set a timer for the request's deadline."""
        request.timer_keys.append(self.timers.add(due_at_us, RequestDeadline(request)))

    def withdraw(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected, without an answer."""
        self.counters.add("requests_withdrawn")
        self.trace.withdrawn(request)
        request.is_answered = True
        self._close_in_module(request)

    def mark_recalled(self, request: OpenRequest) -> None:
        """Mark a request as answered that its client has recalled before it started; no answer is sent."""
        request.is_answered = True

    def fail_overdue(self, request: OpenRequest) -> None:
        """Answer a request that is still open after its deadline as failed."""
        self.answer(request, Answer(AnswerStatus.FAILED), "overdue")
        self._close_in_module(request)

    def _close_in_module(self, request: OpenRequest) -> None:
        self.batch.add(ClientDisconnected(request.number))
        self.remove_if_finished(request)

    def _on_arrived(self, message: RequestArrived) -> None:
        spec = message.spec
        self.counters.add("requests_taken")
        # A name must not be used again: servers would treat the new request's attempts as repeats.
        if spec.job_class not in self.class_names or self.requests.has_used(spec.name):
            self.counters.add("answers_failed")
            self.trace.not_taken(spec, "its id was used before, or its class is unknown")
            message.responder.answer(Answer(AnswerStatus.FAILED))
            return
        if self.is_shutting_down or len(self.requests) >= self.limits.max_open_requests:
            self.counters.add("answers_refused")
            self.trace.not_taken(spec, "shutdown" if self.is_shutting_down else "too many open requests")
            retry_after_us = self.limits.stop_retry_after_us
            message.responder.answer(Answer(AnswerStatus.REJECTED, retry_after_us=retry_after_us))
            return
        self.request_count += 1
        budget_us = max(spec.time_budget_us - self.limits.response_margin_us, MIN_BUDGET_US)
        deadline_at_us = spec.arrived_at_us + budget_us
        request = OpenRequest(spec, self.request_count, message.responder, deadline_at_us)
        self.requests.add(request)
        self.set_deadline(request, deadline_at_us)
        remaining_us = max(deadline_at_us - self.batch.now_us, 0)
        self.trace.taken(spec, remaining_us)
        listed_name = self.requests.aliases.listed_name
        allowed = tuple(dict.fromkeys(map(listed_name, spec.allowed_servers)))
        self.batch.add(received_event(request.number, spec, remaining_us, allowed))

    def _on_withdrawn(self, message: RequestWithdrawn) -> None:
        request = self.requests.find_unanswered(message.name, message.responder)
        if request is not None:
            self.withdraw(request)

    def _on_shutdown_requested(self, message: ShutdownRequested) -> None:
        self.is_shutting_down = True
        # Shortens the deadlines, so that every open request is answered before the process ends.
        latest_us = self.batch.now_us + self.limits.stop_responses_for_us
        for request in self.requests:
            if not request.is_answered and request.deadline_at_us > latest_us:
                request.deadline_at_us = latest_us
                self.set_deadline(request, latest_us)


def received_event(
    number: int, spec: RequestSpec, remaining_us: int, allowed: tuple[str, ...]
) -> RequestReceived:
    """Return the decision module's event for a new request, which has ``remaining_us`` until its deadline.

    ``allowed`` are the servers that may run it, by their names in the endpoint list; empty: any server.
    """
    return RequestReceived(
        number,
        spec.job_class,
        remaining_us,
        spec.slots,
        spec.memory,
        spec.affinity_key,
        spec.tenant,
        spec.is_retry,
        spec.duration_hint_us,
        allowed,
        spec.needs_free_slot,
        spec.uses_reserved_slots,
        keyless=not spec.idempotency_key,
        earlier_attempts=spec.earlier_attempts,
    )
