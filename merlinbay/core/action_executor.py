"""Executes the actions that the decision module returns.

The dispatcher calls it for each action in turn. An action for a request or attempt that has ended meanwhile
is skipped, because the module decided on it before it learned of the end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.core.attempt_lifecycle import AttemptLifecycle
from merlinbay.core.event_batch import EventBatch
from merlinbay.core.interfaces import EndpointDiscovery, ServerTransport
from merlinbay.core.request_lifecycle import RequestLifecycle
from merlinbay.core.requests import RequestTable
from merlinbay.core.timers import ModuleTimer, Timers
from merlinbay.core.values import Answer, AnswerStatus
from merlinbay.counters import Counters
from merlinbay.decision.actions import (
    Action,
    Cancel,
    CheckHealth,
    Dispatch,
    Fail,
    LogNotice,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.log import Log


class ActionExecutor:
    """Executes actions by their type, and skips those for finished requests and attempts. No method waits."""

    def __init__(
        self,
        requests: RequestTable,
        request_lifecycle: RequestLifecycle,
        attempt_lifecycle: AttemptLifecycle,
        timers: Timers,
        batch: EventBatch,
        servers: ServerTransport,
        discovery: EndpointDiscovery,
        counters: Counters,
        log: Log,
    ) -> None:
        self.requests, self.timers, self.batch = requests, timers, batch
        self.request_lifecycle, self.attempt_lifecycle = request_lifecycle, attempt_lifecycle
        self.servers, self.discovery = servers, discovery
        self.counters, self.log = counters, log
        self.executors: dict[type, Callable[[Any], None]] = {
            Dispatch: self._dispatch,
            Cancel: self._cancel,
            Reject: self._reject,
            Fail: self._fail,
            SetTimer: self._set_timer,
            WatchEndpoints: self._watch_endpoints,
            CheckHealth: self._check_health,
            LogNotice: self._log_notice,
        }

    def execute(self, action: Action) -> None:
        """Execute one action."""
        self.executors[type(action)](action)

    def _dispatch(self, action: Dispatch) -> None:
        request = self.requests.by_number.get(action.id)
        if request is not None:
            self.attempt_lifecycle.dispatch(request, action)

    def _cancel(self, action: Cancel) -> None:
        request = self.requests.by_number.get(action.id)
        attempt = request.open_attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            self.attempt_lifecycle.cancel(attempt, Outcome.CANCELLED)

    def _reject(self, action: Reject) -> None:
        request = self.requests.by_number.get(action.id)
        if request is not None:
            self.counters.add(f"refused_{action.reason}")
            answer = Answer(
                AnswerStatus.REJECTED,
                retry_after_us=action.retry_after_us,
                may_have_run=request.may_have_run,
            )
            self.request_lifecycle.answer_if_open(request, answer, action.reason)

    def _fail(self, action: Fail) -> None:
        request = self.requests.by_number.get(action.id)
        if request is not None:
            answer = Answer(AnswerStatus.FAILED, exit_details=request.exit_details)
            self.request_lifecycle.answer_if_open(request, answer, "given up")

    def _set_timer(self, action: SetTimer) -> None:
        self.timers.add(self.batch.now_us + action.in_us, ModuleTimer(action.token))

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        self.discovery.subscribe(action.patience_us)

    def _check_health(self, action: CheckHealth) -> None:
        self.counters.add("probes_sent")
        self.servers.check_health(action.endpoint)

    def _log_notice(self, action: LogNotice) -> None:
        self.log.event("module_note", text=action.text)
