"""The one task that owns the decision module: takes messages, asks it, and carries out what it says."""

from __future__ import annotations

import heapq
import traceback
from dataclasses import dataclass, field

import trio

from merlinbay.clock import Clock
from merlinbay.core import ports
from merlinbay.core.ports import Answer, Verdict
from merlinbay.counters import Counters
from merlinbay.decision import Balancer, api
from merlinbay.decision.learned import learned
from merlinbay.limits import Limits
from merlinbay.log import Log


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request, from its arrival until it is answered and its last attempt has ended."""

    spec: ports.JobSpec
    number: int  # its id in the module
    edge: ports.Edge
    deadline_us: int
    done: bool = False  # answered or withdrawn
    sent: int = 0
    recalling: bool = False  # the client's side wants it back, if it has not started
    ending: ports.Ending | None = None
    open: dict[int, ports.ServerAttempt] = field(default_factory=dict)


class Owner:
    """Owns requests, attempts, timers and the module. Only its own task calls it."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        limits: Limits,
        counters: Counters,
        log: Log,
        servers: ports.ServerSide,
        directory: ports.Directory,
    ) -> None:
        self.balancer, self.clock, self.limits = balancer, clock, limits
        self.counters, self.log = counters, log
        self.servers, self.directory = servers, directory
        self.fields = balancer.settings.report_fields
        self.classes = {spec.name for spec in balancer.settings.classes}
        self.watchers: list[ports.EntriesWatcher] = []
        self.other: ports.OtherProcess | None = None
        self.requests: dict[int, OpenRequest] = {}
        self.names: dict[str, OpenRequest] = {}
        self.open: dict[tuple[str, str], ports.ServerAttempt] = {}
        self.due: list[tuple[int, int, str | OpenRequest | ports.ServerAttempt]] = []
        self.count = 0
        self.stopping = False

    async def run(self, inbox: trio.MemoryReceiveChannel[ports.Message]) -> None:
        """Work until stopped, and for a moment after the last request is answered."""
        end = float("inf")
        while trio.current_time() < end:
            if (
                self.stopping
                and end == float("inf")
                and all(request.done for request in self.requests.values())
            ):
                end = trio.current_time() + self.limits.stop_tail
            messages: list[ports.Message] = []
            wake = min(end, self.clock.to_trio(self.due[0][0]) if self.due else float("inf"))
            with trio.move_on_at(wake):
                messages.append(await inbox.receive())
            try:
                while len(messages) < self.limits.inbox:
                    messages.append(inbox.receive_nowait())
            except trio.WouldBlock:
                pass
            self.turn(messages)

    def turn(self, messages: list[ports.Message]) -> None:
        """Take what has come and what is due, in one call of the module and those that follow from it."""
        now = self.clock.now_us()
        events: list[api.Event] = []
        for message in messages:
            self._take(message, now, events)
        while self.due and self.due[0][0] <= now:
            self._expire(heapq.heappop(self.due)[2], now, events)
        while events:
            try:
                actions = self.balancer.handle(now, events)
            except Exception as error:  # Guards against one bad event that would end every other request.
                self.counters.add("module_errors")
                self.log.event(
                    "module_failed", level="error", error="".join(traceback.format_exception(error))
                )
                return
            events = []
            for action in actions:
                self._carry_out(action, now, events)

    def gauges(self) -> dict[str, float]:
        """Return what is held here: jobs not yet answered, and slots of real servers."""
        return {
            "jobs": float(sum(not request.done for request in self.requests.values())),
            "slots": round(self.balancer.own_held, 1),
        }

    # Messages.

    def _take(self, message: ports.Message, now: int, events: list[api.Event]) -> None:
        match message:
            case ports.RequestArrived():
                self._arrived(message, now, events)
            case ports.AttemptFinished():
                attempt = self.open.get((message.name, message.server))
                if attempt is None:  # Guards against call-backs that repeat, or cross a cancel.
                    self._unclaimed(message)
                elif message.unfit:
                    self._unfit(attempt, now, events, message)
                else:
                    self.requests[attempt.request_number].ending = message.ending
                    self._ended(attempt, message.outcome, now, events, message.result, message.report)
            case ports.AttemptStarted():
                if (found := self.open.get((message.name, message.server))) is not None:
                    found.started = True
                    events.append(
                        api.JobPaused(found.request_number, found.number, False)
                        if found.paused
                        else api.JobStarted(found.request_number, found.number)
                    )
                    found.paused = False
                    if not self.requests[found.request_number].done:
                        self.requests[found.request_number].edge.started(found.server)
                else:
                    self._unclaimed(message)
            case ports.AttemptProgress():
                if (found := self.open.get((message.name, message.server))) is not None:
                    events.append(api.JobProgress(found.request_number, found.number, message.share))
                else:
                    self._unclaimed(message)
            case ports.Relayed():
                if (message.message.name, message.message.server) in self.open:
                    self._take(message.message, now, events)
            case (
                ports.RequestRecalled()
                | ports.RequestControlled()
                | ports.AttemptRecalled()
                | ports.AttemptControlled()
                | ports.AttemptSuspended()
                | ports.AttemptUnseen()
            ):
                self._control(message, now, events)
            case ports.SlotsKept():
                events.append(api.SlotsKept(message.server, message.slots, message.of))
            case ports.FleetAsked():
                message.told([ports.MachineView(**view) for view in self.balancer.beliefs(now)])
            case ports.MaintenanceAsked():
                known = self.balancer.knows(message.server)
                if known:
                    events.append(api.Maintained(message.server, message.on))
                if message.told is not None:
                    message.told(known)  # heard after this turn, in which the module learns it
                    if known and self.other is not None:
                        self.other.maintained(message.server, message.on)
            case ports.LearnedAsked():
                message.told(learned(self.balancer, self.balancer.classes))
            case ports.RequestWithdrawn():
                request = self.names.get(message.name)
                if request is not None and request.edge is message.edge and not request.done:
                    self._withdraw(request, events)
            case ports.ServerProbed():
                events.append(
                    api.ProbeEnded(
                        message.server, message.outcome, message.took_us, self._row(message.report)
                    )
                )
            case ports.EntriesChanged():
                self.counters.add(f"entries_{message.scope}")
                self.servers.entries_changed(message.scope, message.entries)
                for watcher in self.watchers:
                    watcher.entries_changed(message.scope, message.entries)
                events.append(
                    api.ListChanged(
                        message.scope,
                        [
                            api.WorkerEntry(e.server, e.zone, e.kind, e.cell, e.state, e.weight, e.started_us)
                            for e in message.entries
                        ],
                        message.heard_us,
                        message.answered,
                    )
                )
            case ports.BalancersCounted():
                events.append(api.BalancersCounted(message.count, message.me))
            case ports.DirectoryMoved():
                events.append(api.ListMoved(message.told_us))
            case ports.Stopping():
                self.stopping = True
                # Guards against requests that outlast the process: what it has taken is answered before.
                last = now + self.limits.stop_answers_us
                for request in self.requests.values():
                    if not request.done and request.deadline_us > last:
                        request.deadline_us = last
                        self._at(last, request)

    def _unclaimed(self, message: ports.CallBack) -> None:
        """Take it that nothing here waits for a call-back; the node's other process may."""
        if self.other is None or not self.other.unclaimed(message):
            self.counters.add("attempts_stale")

    def _arrived(self, message: ports.RequestArrived, now: int, events: list[api.Event]) -> None:
        spec = message.spec
        self.counters.add("requests_taken")
        if spec.job_class not in self.classes or spec.name in self.names:
            self.counters.add("answers_failed")
            message.edge.answer(Answer(Verdict.FAILED))
            return
        if self.stopping or len(self.requests) >= self.limits.most_held:
            self.counters.add("answers_refused")
            message.edge.answer(Answer(Verdict.REFUSED, retry_after_us=self.limits.retry_when_stopping_us))
            return
        self.count += 1
        deadline = spec.arrived_us + max(spec.budget_us - self.limits.answer_margin_us, 1000)
        request = OpenRequest(spec, self.count, message.edge, deadline)
        self.requests[request.number] = self.names[spec.name] = request
        self._at(deadline, request)
        events.append(
            api.JobArrived(
                request.number,
                spec.job_class,
                max(deadline - now, 0),
                spec.slots,
                spec.memory,
                spec.key,
                spec.tenant,
                spec.retried,
                spec.hint_us,
                spec.only,
                spec.room_only,
                spec.reserved,
            )
        )

    def _ended(
        self,
        attempt: ports.ServerAttempt,
        outcome: api.Outcome,
        now: int,
        events: list[api.Event],
        result: bytes = b"",
        report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt, once; the first success answers its request."""
        if attempt.started and outcome in api.NEVER_RAN:
            # Guards against a server that tells of a start and hands the job back: it may have run.
            outcome = api.Outcome.RESET
        del self.open[attempt.spec.name, attempt.server]
        attempt.ended = True
        self.servers.forget(attempt)
        self.counters.add(f"attempts_{outcome.name.lower()}")
        request = self.requests[attempt.request_number]
        del request.open[attempt.number]
        if outcome is api.Outcome.OK and not request.done:
            self._answer(request, Answer(Verdict.SERVED, result, ending=request.ending))
        elif attempt.started and not request.done and not any(s.started for s in request.open.values()):
            request.edge.unplaced()
        events.append(
            api.AttemptEnded(
                attempt.request_number,
                attempt.number,
                outcome,
                now - attempt.sent_us,
                request.done,
                self._row(report),
                attempt.server,
            )
        )
        self._forget(request)

    def _unfit(
        self, attempt: ports.ServerAttempt, now: int, events: list[api.Event], message: ports.AttemptFinished
    ) -> None:
        """Fail a request whose job a real server cannot use."""
        # Guards against one bad job that goes from server to server and has each left out as failing: it
        # is tried no more, and its attempt ends as one that was called off, which tells nothing of health.
        request = self.requests[attempt.request_number]
        self.counters.add("requests_unfit")
        if not request.done:
            self._answer(request, Answer(Verdict.FAILED, ending=message.ending))
        self._ended(attempt, api.Outcome.CANCELLED, now, events, report=message.report)

    # What fronts with more words than the platform's ask for.

    def _control(self, message: ports.Message, now: int, events: list[api.Event]) -> None:
        match message:
            case ports.RequestRecalled():
                request = self.names.get(message.name)
                # A request that is done has been answered: that, and nothing here, tells what became of it.
                if (
                    request is not None
                    and request.edge is message.edge
                    and not request.done
                    and not request.recalling
                ):
                    request.recalling = True
                    for attempt in request.open.values():
                        self.servers.recall(attempt)
            case ports.RequestControlled():
                request = self.names.get(message.name)
                if request is None or request.edge is not message.edge or request.done:
                    return
                if len(request.open) == 1:
                    self.servers.control(next(iter(request.open.values())), message.action)
                else:  # Guards against a copy that runs on while the other is suspended.
                    request.edge.controlled(
                        message.action, "TryLaterException", f"{len(request.open)} servers have the job"
                    )
            case ports.AttemptRecalled():
                found = self.open.get((message.name, message.server))
                if found is not None and not self.requests[found.request_number].done:
                    self._recalled(self.requests[found.request_number], found, message.done, now, events)
            case ports.AttemptControlled():
                found = self.open.get((message.name, message.server))
                if found is not None and not self.requests[found.request_number].done:
                    if not message.error:
                        found.paused = message.action == "suspend"
                        events.append(api.JobPaused(found.request_number, found.number, found.paused))
                    self.requests[found.request_number].edge.controlled(
                        message.action, message.error, message.message
                    )
            case ports.AttemptSuspended():
                found = self.open.get((message.name, message.server))
                if found is not None and not found.paused:
                    found.started = found.paused = True
                    events.append(api.JobPaused(found.request_number, found.number, True))
                    if not self.requests[found.request_number].done:
                        self.requests[found.request_number].edge.suspended()
            case ports.AttemptUnseen():
                found = self.open.get((message.name, message.server))
                if found is not None and not self.requests[found.request_number].done:
                    edge = self.requests[found.request_number].edge
                    edge.found_queued() if message.found else edge.lost_sight()

    def _recalled(
        self,
        request: OpenRequest,
        attempt: ports.ServerAttempt,
        done: bool,
        now: int,
        events: list[api.Event],
    ) -> None:
        """Take a server's word on an attempt that is to come back unstarted."""
        if request.recalling and (not done or attempt.started):
            request.recalling = False
            request.edge.recalled(False)
        if not done:
            return
        # Guards against a server that looks full for having given back what was asked for: that is CANCELLED.
        if not request.recalling:
            self._ended(attempt, api.Outcome.FULL, now, events)
        elif len(request.open) > 1:  # the others are asked too: the last one's word counts
            self._ended(attempt, api.Outcome.CANCELLED, now, events)
        else:
            request.done = (
                True  # Guards against a next attempt: the module hears that nothing is owed any more.
            )
            request.edge.recalled(True)
            self._ended(attempt, api.Outcome.CANCELLED, now, events)

    def _row(self, report: dict[str, float] | None) -> list[object] | None:
        return None if report is None else [report.get(name) for name in self.fields]

    # Time.

    def _at(self, due_us: int, what: str | OpenRequest | ports.ServerAttempt) -> None:
        self.count += 1
        heapq.heappush(self.due, (due_us, self.count, what))

    def _expire(
        self, what: str | OpenRequest | ports.ServerAttempt, now: int, events: list[api.Event]
    ) -> None:
        if isinstance(what, str):
            events.append(api.TimerFired(what))
        elif isinstance(what, ports.ServerAttempt):
            if self.open.get((what.spec.name, what.server)) is what:
                self.servers.give_up(what)
                self._ended(what, api.Outcome.TIMEOUT, now, events)
        elif not what.done and what.deadline_us <= now:
            ended = list(what.open.values())
            for attempt in ended:
                self.servers.give_up(attempt)
                self._ended(attempt, api.Outcome.TIMEOUT, now, events)
            if ended:
                self._at(now + self.limits.recheck_us, what)
            else:  # Guards against a request that the module holds, or has failed on, past its time.
                self._answer(what, Answer(Verdict.FAILED))
                events.append(api.JobWithdrawn(what.number))
                self._forget(what)

    # Actions.

    def _carry_out(self, action: api.Action, now: int, events: list[api.Event]) -> None:
        match action:
            case api.Place():
                self._place(action, now, events)
            case api.Cancel():
                request = self.requests.get(action.id)
                attempt = request.open.get(action.attempt) if request is not None else None
                if attempt is not None:
                    self.servers.give_up(attempt)
                    self._ended(attempt, api.Outcome.CANCELLED, now, events)
            case api.Refuse() | api.Fail():
                request = self.requests.get(action.id)
                if request is not None and not request.done:
                    self._answer(
                        request,
                        Answer(Verdict.FAILED, ending=request.ending)
                        if isinstance(action, api.Fail)
                        else Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us),
                    )
                    self._forget(request)
            case api.SetTimer():
                self._at(now + action.in_us, action.token)
            case api.Subscribe():
                self.directory.subscribe()
            case api.Probe():
                self.counters.add("probes_sent")
                self.servers.probe(action.worker)
            case api.Note():
                self.log.event("module_note", text=action.text)
            case api.Tell():
                self.counters.add("tells_dropped")  # no settings of ours let balancers speak to each other

    def _place(self, action: api.Place, now: int, events: list[api.Event]) -> None:
        request = self.requests.get(action.id)
        if request is None:
            return
        number, request.sent = request.sent, request.sent + 1
        until = (
            min(request.deadline_us, now + action.timeout_us) if action.timeout_us else request.deadline_us
        )
        attempt = ports.ServerAttempt(
            request.spec, request.number, number, action.worker, now, until, edge=request.edge
        )
        if not request.done and request.edge.left():
            # Guards against an attempt for a client that has left, while the word of it is still on its way.
            self._withdraw(request, events)
        if request.done or now >= request.deadline_us or (request.spec.name, action.worker) in self.open:
            self.counters.add("attempts_moot")
            events.append(
                api.AttemptEnded(
                    request.number, number, api.Outcome.MOOT, 0, request.done, None, action.worker
                )
            )
            return
        self.counters.add("attempts_sent")
        request.open[number] = self.open[request.spec.name, action.worker] = attempt
        if until < request.deadline_us:
            self._at(until, attempt)
        self.servers.start(attempt)
        if request.recalling:  # Guards against a copy that starts while the first attempt is called back.
            self.servers.recall(attempt)
        request.edge.sent(attempt.server)

    def _withdraw(self, request: OpenRequest, events: list[api.Event]) -> None:
        """Take it that a request's client has left: nothing is owed any more."""
        self.counters.add("requests_withdrawn")
        request.done = True
        events.append(api.JobWithdrawn(request.number))
        self._forget(request)

    def _answer(self, request: OpenRequest, answer: Answer) -> None:
        """Give a request its one final answer."""
        request.done = True
        self.counters.add(f"answers_{answer.verdict.value}")
        request.edge.answer(answer)

    def _forget(self, request: OpenRequest) -> None:
        if request.done and not request.open and self.requests.pop(request.number, None) is not None:
            del self.names[request.spec.name]
