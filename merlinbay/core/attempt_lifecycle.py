"""The life of an attempt, from its dispatch to its one outcome.

The dispatcher calls this when the decision module dispatches or cancels an attempt, when a deadline has
passed, and for the servers' reports. Each attempt ends exactly once, with an outcome that the decision module
gets as ``AttemptEnded``. An attempt that is not sent at all ends with the outcome ``MOOT``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.clock import Clock
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.event_batch import EventBatch
from merlinbay.core.interfaces import PeerProcess, ServerTransport
from merlinbay.core.messages import (
    AttemptFinished,
    AttemptProgress,
    AttemptStarted,
    AttemptSuspended,
    Callback,
    CallbackRelayed,
)
from merlinbay.core.request_lifecycle import RequestLifecycle
from merlinbay.core.request_trace import RequestTrace
from merlinbay.core.requests import OpenRequest, RequestTable
from merlinbay.core.timers import AttemptDeadline, Timers
from merlinbay.core.values import Answer, AnswerStatus
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import AttemptEnded, ExecutionPaused, ExecutionProgressed, ExecutionStarted
from merlinbay.decision.outcomes import NEVER_RAN, Outcome, never_ran


def report_row(report: dict[str, float] | None, fields: list[str]) -> list[object] | None:
    """Return the values of a load report in the order of the settings' ``report_fields``."""
    return None if report is None else [report.get(name) for name in fields]


class AttemptLifecycle:
    """Starts and ends attempts, and handles the servers' reports on them. No method waits."""

    def __init__(
        self,
        requests: RequestTable,
        request_lifecycle: RequestLifecycle,
        timers: Timers,
        batch: EventBatch,
        servers: ServerTransport,
        balancer: Balancer,
        clock: Clock,
        counters: Counters,
        trace: RequestTrace,
    ) -> None:
        self.requests, self.request_lifecycle = requests, request_lifecycle
        self.timers, self.batch, self.servers = timers, batch, servers
        self.balancer, self.clock, self.counters, self.trace = balancer, clock, counters, trace
        self.peer: PeerProcess | None = None  # the node's other process during a handover
        self.handlers: dict[type, Callable[[Any], None]] = {
            AttemptStarted: self._on_started,
            AttemptProgress: self._on_progress,
            AttemptSuspended: self._on_suspended,
            AttemptFinished: self._on_finished,
            CallbackRelayed: self._on_relayed,
        }

    def set_peer_process(self, peer: PeerProcess | None) -> None:
        """Set the node's other process, to which callbacks for its requests are relayed."""
        self.peer = peer

    # Start of attempts.

    def dispatch(self, request: OpenRequest, action: Dispatch) -> None:
        """Start an attempt, or end it at once as ``MOOT`` if it must not start any more."""
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        if not request.is_answered and request.responder.has_disconnected():
            # The client has disconnected, though the message about it has not reached the inbox yet.
            self.request_lifecycle.withdraw(request)
        is_on_server = self.requests.find_attempt(request.spec.name, action.endpoint) is not None
        if request.is_answered or self.batch.now_us >= request.deadline_at_us or is_on_server:
            self.counters.add("attempts_moot")
            self.batch.add(
                AttemptEnded(
                    request.number, number, Outcome.MOOT, 0, request.is_answered, None, action.endpoint
                )
            )
            return
        self.counters.add("attempts_sent")
        self._begin(request, number, action)

    def _begin(self, request: OpenRequest, number: int, action: Dispatch) -> None:
        deadline_at_us = request.deadline_at_us
        if action.timeout_us:
            deadline_at_us = min(deadline_at_us, self.batch.now_us + action.timeout_us)
        attempt = ServerAttempt(
            request.spec,
            request.number,
            number,
            action.endpoint,
            self.batch.now_us,
            deadline_at_us,
            responder=request.responder,
            is_permitted=self._is_permitted,
        )
        self.requests.open_attempt(request, attempt)
        self.trace.attempt_sent(attempt)
        if deadline_at_us < request.deadline_at_us:
            attempt.timer_keys.append(self.timers.add(deadline_at_us, AttemptDeadline(attempt)))
        if self.peer is not None and not number:
            self.peer.relay_sent(request.spec.name, action.endpoint)
        self.servers.start(attempt)
        if request.is_recalling:  # A hedge must not start while the first attempt is being recalled.
            self.servers.recall(attempt)
        request.responder.on_dispatched(attempt.server)

    def _is_permitted(self, attempt: ServerAttempt) -> bool:
        """Return whether the rules still allow an attempt, since connecting may have taken long."""
        now_us = self.clock.now_us()
        return now_us < attempt.deadline_at_us and self.balancer.may_begin(
            attempt.request_number, attempt.number, now_us
        )

    # Reports of servers.

    def set_suspended(self, attempt: ServerAttempt, is_suspended: bool) -> None:
        """Record that a server has suspended or resumed an attempt."""
        attempt.is_suspended = is_suspended
        self.batch.add(ExecutionPaused(attempt.request_number, attempt.number, is_suspended))

    def _on_started(self, message: AttemptStarted) -> None:
        attempt = self.requests.find_attempt(message.name, message.server)
        if attempt is None:
            self._relay(message)
            return
        attempt.has_started = True
        if attempt.is_suspended:
            self.set_suspended(attempt, False)
        else:
            self.batch.add(ExecutionStarted(attempt.request_number, attempt.number))
        request = self.requests.request_of(attempt)
        if not request.is_answered:
            request.responder.on_started(attempt.server)

    def _on_progress(self, message: AttemptProgress) -> None:
        attempt = self.requests.find_attempt(message.name, message.server)
        if attempt is None:
            self._relay(message)
            return
        attempt.has_started = True  # The callback about the start may come later, or not at all.
        self.batch.add(ExecutionProgressed(attempt.request_number, attempt.number, message.share))

    def _on_suspended(self, message: AttemptSuspended) -> None:
        attempt = self.requests.find_attempt(message.name, message.server)
        if attempt is None or attempt.is_suspended:
            return
        attempt.has_started = True
        self.set_suspended(attempt, True)
        request = self.requests.request_of(attempt)
        if not request.is_answered:
            request.responder.on_suspended()

    def _on_finished(self, message: AttemptFinished) -> None:
        attempt = self.requests.find_attempt(message.name, message.server)
        if attempt is None:  # The callback is a repeat, crossed a cancel, or belongs to the other process.
            self._relay(message)
        elif message.is_unfit:
            self._fail_unfit(attempt, message)
        else:
            self.requests.request_of(attempt).exit_details = message.exit_details
            self.end(attempt, message.outcome, message.result, message.report)

    def _on_relayed(self, message: CallbackRelayed) -> None:
        callback = message.message
        if self.requests.find_attempt(callback.name, callback.server) is not None:
            self.handlers[type(callback)](callback)
        elif isinstance(callback, AttemptStarted):
            self.requests.remember([callback.name])  # The other process has sent this request to a server.

    def _relay(self, message: Callback) -> None:
        """Relay a callback that matches no attempt here to the node's other process, if there is one."""
        if self.peer is None or not self.peer.relay_callback(message):
            self.counters.add("attempts_stale")

    def _fail_unfit(self, attempt: ServerAttempt, message: AttemptFinished) -> None:
        """Fail a request that a server has found invalid, and end its attempt as ``CANCELLED``."""
        # If an invalid request were retried, it would go from server to server and each would be ejected as
        # failing. So it is not retried, and its attempt ends as CANCELLED, which says nothing of the server's
        # health.
        request = self.requests.request_of(attempt)
        self.counters.add("requests_unfit")
        if not request.is_answered:
            answer = Answer(AnswerStatus.FAILED, exit_details=message.exit_details)
            self.request_lifecycle.answer(request, answer, "a server found it invalid")
        self.end(attempt, Outcome.CANCELLED, report=message.report)

    # End of attempts.

    def end(
        self,
        attempt: ServerAttempt,
        outcome: Outcome,
        result: bytes = b"",
        report: dict[str, float] | None = None,
        was_returned: bool = False,
    ) -> None:
        """End an attempt, exactly once; the first successful attempt answers its request.

        ``was_returned`` says that its server gave it back, so that it never ran although it is cancelled.
        """
        # An attempt whose start was reported may have run, even if its server rejects it afterwards.
        if outcome in NEVER_RAN and not never_ran(outcome, attempt.has_started):
            outcome = Outcome.RESET
        request = self.requests.close_attempt(attempt)
        if outcome not in NEVER_RAN and not was_returned:
            self._note_possible_run(request, attempt, outcome)
        attempt.has_ended = True
        self.timers.cancel(attempt.timer_keys)
        self.servers.forget(attempt)
        self.counters.add(f"attempts_{outcome.name.lower()}")
        self.trace.attempt_ended(attempt, outcome)
        self._notify_responder(request, attempt, outcome, result)
        self.batch.add(
            AttemptEnded(
                attempt.request_number,
                attempt.number,
                outcome,
                self.batch.now_us - attempt.sent_at_us,
                request.is_answered,
                report_row(report, self.balancer.settings.report_fields),
                attempt.server,
            )
        )
        self.request_lifecycle.remove_if_finished(request)

    def _note_possible_run(self, request: OpenRequest, attempt: ServerAttempt, outcome: Outcome) -> None:
        request.may_have_run = True
        if outcome is not Outcome.OK and not request.is_answered:
            unresolved = self.balancer.unresolved_attempt(attempt.request_number, attempt.number)
            request.responder.on_possibly_run(unresolved)

    def _notify_responder(
        self, request: OpenRequest, attempt: ServerAttempt, outcome: Outcome, result: bytes
    ) -> None:
        if request.is_answered:
            return
        if outcome is Outcome.OK:
            answer = Answer(AnswerStatus.SERVED, result, exit_details=request.exit_details)
            self.request_lifecycle.answer(request, answer, f"attempt {attempt.number}")
        elif attempt.has_started and not any(
            open_attempt.has_started for open_attempt in request.open_attempts.values()
        ):
            request.responder.on_requeued()

    def cancel(self, attempt: ServerAttempt, outcome: Outcome) -> None:
        """Cancel an attempt at its server, and end it with an outcome."""
        self.servers.cancel(attempt)
        self.end(attempt, outcome)
