"""The one task that owns the decision module: takes messages, asks it, and carries out what it says.

Messages have a handler each, found by their type; a turn collects the module's events in ``self.events`` and
carries out its actions until none is left. What only fronts with pause and recall ask for is in ``controls``.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

import trio

from merlinbay.clock import Clock
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.controls import RequestControls
from merlinbay.core.endpoint_messages import EndpointMessages, report_row
from merlinbay.core.interfaces import EndpointDiscovery, EndpointObserver, PeerProcess, ServerTransport
from merlinbay.core.messages import (
    AttemptFinished,
    AttemptProgress,
    AttemptStarted,
    Callback,
    CallbackRelayed,
    Message,
    RequestArrived,
    RequestWithdrawn,
    ShutdownRequested,
)
from merlinbay.core.requests import OpenRequest, RequestTable, Timed, Timers
from merlinbay.core.values import Answer, AnswerStatus
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import (
    Cancel,
    CheckHealth,
    Dispatch,
    Fail,
    LogNotice,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from merlinbay.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    ExecutionPaused,
    ExecutionProgressed,
    ExecutionStarted,
    RequestReceived,
    TimerFired,
)
from merlinbay.decision.outcomes import NEVER_RAN, Outcome, never_ran
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


class Dispatcher:
    """Owns requests, attempts, timers and the module. Only its own task calls it."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        servers: ServerTransport,
        directory: EndpointDiscovery,
    ) -> None:
        self.balancer, self.clock, self.limits = balancer, clock, limits
        self.counters, self.log = counters, log
        self.servers, self.directory = servers, directory
        self.fields = balancer.settings.report_fields
        self.classes = {spec.name for spec in balancer.settings.classes}
        self.other: PeerProcess | None = None  # the one that this replaces, or that replaces this
        self.requests = RequestTable(limits.names_remembered)
        self.timers = Timers()
        self.request_count = 0
        self.stopping = False
        self.now = 0
        self.events: list[Event] = []  # for the module's next call
        self.fleet = EndpointMessages(balancer, servers, counters, self._tell_module, lambda: self.now)
        controls = RequestControls(self.requests, servers, self._end_attempt, self._tell_module)
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._on_request_arrived,
            RequestWithdrawn: self._on_request_withdrawn,
            AttemptStarted: self._on_attempt_started,
            AttemptProgress: self._on_attempt_progress,
            AttemptFinished: self._on_attempt_finished,
            CallbackRelayed: self._on_relayed,
            ShutdownRequested: self._on_stopping,
            **controls.handlers,
            **self.fleet.handlers,
        }
        self.actions: dict[type, Callable[[Any], None]] = {
            Dispatch: self._place,
            Cancel: self._cancel,
            Reject: self._refuse,
            Fail: self._fail,
            SetTimer: self._set_timer,
            WatchEndpoints: self._subscribe,
            CheckHealth: self._probe,
            LogNotice: self._note,
        }

    def watch_entries(self, watcher: EndpointObserver) -> None:
        """Have somebody beside the real servers hear of them."""
        self.fleet.watchers.append(watcher)

    def know_other_process(self, other: PeerProcess | None) -> None:
        """Work beside the process that this one replaces, or that replaces it."""
        self.other = self.fleet.other = other

    async def run(self, inbox: trio.MemoryReceiveChannel[Message]) -> None:
        """Work until stopped, and for a moment after the last request is answered."""
        end = float("inf")
        while trio.current_time() < end:
            if self.stopping and end == float("inf") and self.requests.all_answered():
                end = trio.current_time() + self.limits.stop_tail
            messages: list[Message] = []
            due = self.timers.next_us()
            wake = min(end, float("inf") if due is None else self.clock.to_trio(due))
            with trio.move_on_at(wake):
                messages.append(await inbox.receive())
            try:
                while len(messages) < self.limits.inbox:
                    messages.append(inbox.receive_nowait())
            except trio.WouldBlock:
                pass
            self.turn(messages)

    def turn(self, messages: list[Message]) -> None:
        """Take what has come and what is due, in one call of the module and those that follow from it."""
        self.now, self.events = self.clock.now_us(), []
        for message in messages:
            self._handle(message)
        for what in self.timers.pop_due(self.now):
            self._expire(what)
        while self.events:
            events, self.events = self.events, []
            try:
                actions = self.balancer.handle(self.now, events)
            except Exception as error:  # Guards against one bad event that would end every other request.
                self.counters.add("module_errors")
                trace = "".join(traceback.format_exception(error))
                self.log.event("module_failed", level="error", error=trace)
                return
            for action in actions:
                self.actions[type(action)](action)

    def gauges(self) -> dict[str, float]:
        """Return what is held here: jobs not yet answered, and slots of real servers."""
        return {
            "jobs": float(sum(not request.done for request in self.requests)),
            "slots": round(self.balancer.in_flight_slots, 1),
        }

    # Messages.

    def _handle(self, message: Message) -> None:
        self.handlers[type(message)](message)

    def _tell_module(self, event: Event) -> None:
        self.events.append(event)

    def _on_request_arrived(self, message: RequestArrived) -> None:
        spec = message.spec
        self.counters.add("requests_taken")
        # Guards against a name that comes again: real servers would take its attempts for repeats.
        if spec.job_class not in self.classes or self.requests.has_used(spec.name):
            self.counters.add("answers_failed")
            message.responder.answer(Answer(AnswerStatus.FAILED))
            return
        if self.stopping or len(self.requests) >= self.limits.most_held:
            self.counters.add("answers_refused")
            message.responder.answer(
                Answer(AnswerStatus.REFUSED, retry_after_us=self.limits.retry_when_stopping_us)
            )
            return
        self.request_count += 1
        deadline = spec.arrived_us + max(spec.budget_us - self.limits.answer_margin_us, 1000)
        request = OpenRequest(spec, self.request_count, message.responder, deadline)
        self.requests.add(request)
        self.timers.add(deadline, request)
        self._tell_module(
            RequestReceived(
                request.number,
                spec.job_class,
                max(deadline - self.now, 0),
                spec.slots,
                spec.memory,
                spec.key,
                spec.tenant,
                spec.retried,
                spec.hint_us,
                spec.only,
                spec.room_only,
                spec.reserved,
                keyless=not spec.repeat_key,
            )
        )

    def _on_request_withdrawn(self, message: RequestWithdrawn) -> None:
        request = self.requests.waiting(message.name, message.responder)
        if request is not None:
            self._withdraw(request)

    def _on_attempt_started(self, message: AttemptStarted) -> None:
        attempt = self.requests.attempts.get((message.name, message.server))
        if attempt is None:
            self._pass_on(message)
            return
        attempt.started = True
        self._tell_module(
            ExecutionPaused(attempt.request_number, attempt.number, False)
            if attempt.paused
            else ExecutionStarted(attempt.request_number, attempt.number)
        )
        attempt.paused = False
        request = self.requests.request_of(attempt)
        if not request.done:
            request.responder.started(attempt.server)

    def _on_attempt_progress(self, message: AttemptProgress) -> None:
        attempt = self.requests.attempts.get((message.name, message.server))
        if attempt is None:
            self._pass_on(message)
            return
        attempt.started = True  # the report of the start may come later, or never
        self._tell_module(ExecutionProgressed(attempt.request_number, attempt.number, message.share))

    def _on_attempt_finished(self, message: AttemptFinished) -> None:
        attempt = self.requests.attempts.get((message.name, message.server))
        if attempt is None:  # Guards against call-backs that repeat, or cross a cancel.
            self._pass_on(message)
        elif message.unfit:
            self._fail_unfit(attempt, message)
        else:
            self.requests.request_of(attempt).ending = message.ending
            self._end_attempt(attempt, message.outcome, message.result, message.report)

    def _on_relayed(self, message: CallbackRelayed) -> None:
        if (message.message.name, message.message.server) in self.requests.attempts:
            self._handle(message.message)

    def _pass_on(self, message: Callback) -> None:
        """Pass a call-back that nothing here waits for to the node's other process, if there is one."""
        if self.other is None or not self.other.unclaimed(message):
            self.counters.add("attempts_stale")

    def _on_stopping(self, message: ShutdownRequested) -> None:
        self.stopping = True
        # Guards against requests that outlast the process: what it has taken is answered before.
        last = self.now + self.limits.stop_answers_us
        for request in self.requests:
            if not request.done and request.deadline_us > last:
                request.deadline_us = last
                self.timers.add(last, request)

    # How attempts and requests end.

    def _end_attempt(
        self,
        attempt: ServerAttempt,
        outcome: Outcome,
        result: bytes = b"",
        report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt, once; the first success answers its request."""
        if outcome in NEVER_RAN and not never_ran(outcome, attempt.started):
            outcome = Outcome.RESET
        request = self.requests.close_attempt(attempt)
        request.may_have_run = request.may_have_run or outcome not in NEVER_RAN
        attempt.ended = True
        self.servers.forget(attempt)
        self.counters.add(f"attempts_{outcome.name.lower()}")
        if outcome is Outcome.OK and not request.done:
            self._answer(request, Answer(AnswerStatus.SERVED, result, ending=request.ending))
        elif attempt.started and not request.done and not any(a.started for a in request.open.values()):
            request.responder.unplaced()
        self._tell_module(
            AttemptEnded(
                attempt.request_number,
                attempt.number,
                outcome,
                self.now - attempt.sent_us,
                request.done,
                report_row(report, self.fields),
                attempt.server,
            )
        )
        self.requests.forget_if_over(request)

    def _fail_unfit(self, attempt: ServerAttempt, message: AttemptFinished) -> None:
        """Fail a request whose job a real server cannot use."""
        # Guards against one bad job that goes from server to server and has each left out as failing: it
        # is tried no more, and its attempt ends as one that was called off, which tells nothing of health.
        request = self.requests.request_of(attempt)
        self.counters.add("requests_unfit")
        if not request.done:
            self._answer(request, Answer(AnswerStatus.FAILED, ending=message.ending))
        self._end_attempt(attempt, Outcome.CANCELLED, report=message.report)

    def _withdraw(self, request: OpenRequest) -> None:
        """Take it that a request's client has left: nothing is owed any more."""
        self.counters.add("requests_withdrawn")
        request.done = True
        self._tell_module(ClientDisconnected(request.number))
        self.requests.forget_if_over(request)

    def _answer(self, request: OpenRequest, answer: Answer) -> None:
        """Give a request its one final answer."""
        request.done = True
        self.counters.add(f"answers_{answer.verdict.value}")
        request.responder.answer(answer)

    # Time.

    def _expire(self, what: Timed) -> None:
        if isinstance(what, str):
            self._tell_module(TimerFired(what))
        elif isinstance(what, ServerAttempt):
            if self.requests.attempts.get((what.spec.name, what.server)) is what:
                self.servers.give_up(what)
                self._end_attempt(what, Outcome.TIMEOUT)
        elif not what.done and what.deadline_us <= self.now:
            self._end_at_deadline(what)

    def _end_at_deadline(self, request: OpenRequest) -> None:
        """End a request's attempts; fail it where the module has not answered after that."""
        attempts = list(request.open.values())
        for attempt in attempts:
            self.servers.give_up(attempt)
            self._end_attempt(attempt, Outcome.TIMEOUT)
        if attempts:
            self.timers.add(self.now + self.limits.recheck_us, request)
            return
        # Guards against a request that the module holds, or has failed on, past its time.
        self._answer(request, Answer(AnswerStatus.FAILED))
        self._tell_module(ClientDisconnected(request.number))
        self.requests.forget_if_over(request)

    # Actions.

    def _place(self, action: Dispatch) -> None:
        request = self.requests.by_number.get(action.id)
        if request is None:
            return
        number, request.sent = request.sent, request.sent + 1
        until = request.deadline_us
        if action.timeout_us:
            until = min(until, self.now + action.timeout_us)
        if not request.done and request.responder.left():
            # Guards against an attempt for a client that has left, while the word of it is still on its way.
            self._withdraw(request)
        sent_there = (request.spec.name, action.endpoint) in self.requests.attempts
        if request.done or self.now >= request.deadline_us or sent_there:
            self.counters.add("attempts_moot")
            moot = Outcome.MOOT
            self._tell_module(
                AttemptEnded(request.number, number, moot, 0, request.done, None, action.endpoint)
            )
            return
        self.counters.add("attempts_sent")
        attempt = ServerAttempt(
            request.spec,
            request.number,
            number,
            action.endpoint,
            self.now,
            until,
            responder=request.responder,
            allowed=self._may_begin,
        )
        self.requests.open_attempt(request, attempt)
        if until < request.deadline_us:
            self.timers.add(until, attempt)
        self.servers.start(attempt)
        if request.recalling:  # Guards against a copy that starts while the first attempt is called back.
            self.servers.recall(attempt)
        request.responder.sent(attempt.server)

    def _may_begin(self, attempt: ServerAttempt) -> bool:
        """Tell whether an attempt still keeps the rules: its dial may have lasted longer than they allow."""
        now = self.clock.now_us()
        return now < attempt.deadline_us and self.balancer.may_begin(
            attempt.request_number, attempt.number, now
        )

    def _cancel(self, action: Cancel) -> None:
        request = self.requests.by_number.get(action.id)
        attempt = request.open.get(action.attempt) if request is not None else None
        if attempt is not None:
            self.servers.give_up(attempt)
            self._end_attempt(attempt, Outcome.CANCELLED)

    def _refuse(self, action: Reject) -> None:
        request = self.requests.by_number.get(action.id)
        if request is not None:
            wait, may_have_run = action.retry_after_us, request.may_have_run
            self.counters.add(f"refused_{action.reason}")
            self._answer_open(
                action.id, Answer(AnswerStatus.REFUSED, retry_after_us=wait, may_have_run=may_have_run)
            )

    def _fail(self, action: Fail) -> None:
        request = self.requests.by_number.get(action.id)
        if request is not None:
            self._answer_open(action.id, Answer(AnswerStatus.FAILED, ending=request.ending))

    def _answer_open(self, number: int, answer: Answer) -> None:
        request = self.requests.by_number.get(number)
        if request is not None and not request.done:
            self._answer(request, answer)
            self.requests.forget_if_over(request)

    def _set_timer(self, action: SetTimer) -> None:
        self.timers.add(self.now + action.in_us, action.token)

    def _subscribe(self, action: WatchEndpoints) -> None:
        self.directory.subscribe(action.patience_us)

    def _probe(self, action: CheckHealth) -> None:
        self.counters.add("probes_sent")
        self.servers.probe(action.endpoint)

    def _note(self, action: LogNotice) -> None:
        self.log.event("module_note", text=action.text)
