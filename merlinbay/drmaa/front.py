"""The submission front: takes calls in, asks the engine and the hub, and carries out what they say."""

from __future__ import annotations

import math
import secrets
from collections import deque
from random import Random
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from merlinbay.access.grants import Gate, OpenGate
from merlinbay.batch.engine import BatchEngine
from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.jobs import Job, JobArray
from merlinbay.batch.registry import CallReply, ControlJob, JobChange, OfferJob, RecallJob, WithdrawJob
from merlinbay.batch.states import JobState
from merlinbay.batch.timers import NEVER
from merlinbay.clock import Clock
from merlinbay.core.messages import (
    ControlRequested,
    Message,
    RecallRequested,
    RequestArrived,
    RequestWithdrawn,
)
from merlinbay.counters import Counters
from merlinbay.decision.settings import RequestClass
from merlinbay.drmaa import listening, templates
from merlinbay.drmaa.answers import Call, failure
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.job_client import JobClient
from merlinbay.drmaa.reserving import ReservationCalls
from merlinbay.drmaa.session_calls import DEFAULT, SessionCalls
from merlinbay.drmaa.settings import DrmaaSettings
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.notify.hub import EventHub, PollAnswer
from merlinbay.notify.journal import EventJournal, JobEventKind
from merlinbay.notify.sender import CallbackSender
from merlinbay.notify.targets import AllowedTargets
from merlinbay.reserve.calendar import Reservation

RESERVED_AGAIN_US = 100_000  # a job whose reservation is in use comes again after this


class DrmaaFront:
    """Handles the paths below ``/drmaa2`` but for the schedulers' notifications."""

    def __init__(
        self,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        classes: list[RequestClass],
        settings: DrmaaSettings,
        machine: str,
        gate: Gate | None = None,
        own: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.inbox, self.clock, self.limits = inbox, clock, limits
        self.counters, self.log, self.settings, self.machine = counters, log, settings, machine
        self.rules = templates.Rules({spec.name: spec for spec in classes}, settings.memory_unit_kib)
        self.engine = BatchEngine(settings.bounds(limits), lambda: secrets.token_hex(8))
        self.edges: dict[Job, JobClient] = {}  # of the jobs that are with the core
        self.outbox: deque[Message] = deque()  # what the owner's inbox had no room for, in order
        self.ready = trio.Event()  # there is something in it
        self.nap, self.due_us = trio.CancelScope(), NEVER  # when the engine is looked at next; maybe too soon
        self.ends = 0  # jobs that had ended when they were counted last
        self.gate: Gate = gate or OpenGate()
        self.hub: EventHub | None = None
        self.sender: CallbackSender | None = None
        if settings.events.keep:
            self._keep_events(own)
        self.reserving: ReservationCalls | None = None
        if settings.reservations.slots:
            self.reserving = ReservationCalls(
                settings.reservations, self.engine.timers, self.post, self._reservation, clock.now_us
            )
            self.engine.watcher = self
        self.calls = SessionCalls(self)
        now = clock.now_us()
        self.engine.create(DEFAULT, "", settings.default.allowance(), settings.default.waits(), now)
        for session in settings.session:
            self.engine.create(session.name, session.contact, session.allowance(), session.waits(), now)

    def _keep_events(self, own: tuple[tuple[str, int], ...]) -> None:
        wish = self.settings.events
        journal = EventJournal(wish.keep, wish.keep_kib * 1024, lambda: secrets.token_hex(4))
        self.hub = EventHub(
            journal,
            wish.bounds(),
            self.limits.drmaa_waits,
            AllowedTargets.read(wish.to, own),
            self.engine.timers,
            lambda: secrets.token_hex(8),
            Random(secrets.randbits(64)),
        )
        self.sender = CallbackSender(
            self.hub.listeners,
            listening.write_batch,
            self.flush,
            self.clock,
            self.limits,
            self.counters,
            self.log,
            wish.timeout,
        )
        self.engine.watcher = self

    def changed(self, change: JobChange, job: Job) -> None:
        """Take it that a job has changed."""
        if self.reserving is not None:
            self.reserving.changed(job)
        if self.hub is None:
            return
        self.hub.tell(
            job.session.name,
            JobEventKind(change.value),
            job.id,
            job.state.value,
            job.what.account,
            self.clock.now_us(),
            job.server,
        )

    def back(self, job: Job) -> None:
        """Take it that a job is not with the core any more, whatever its state."""
        if self.reserving is not None:
            self.reserving.changed(job)

    def unmade_ended(self, array: JobArray, number: int) -> None:
        """Take it that members of an array have ended unmade: one event for all."""
        if self.hub is None:
            return
        self.hub.tell(
            array.session.name,
            JobEventKind.NEW_STATE,
            array.id,
            JobState.FAILED.value,
            array.what.account,
            self.clock.now_us(),
            members=number,
        )

    def forget_edge(self, job: Job) -> None:
        """Take it that a job's request is over."""
        self.edges.pop(job, None)

    def _reservation(self, found: Reservation, what: str) -> None:
        """Tell at once what became of a reservation: an event of the default session."""
        self.log.event(
            "reservation", id=found.id, what=what, slots=found.total, lost=found.lost, why=found.why
        )
        self.counters.add("reservations_reduced", what == "REDUCED")
        if self.hub is not None:
            self.hub.tell(
                DEFAULT,
                JobEventKind.ATTRIBUTE_CHANGE,
                f"reservation:{found.id}",
                what,
                found.account or "",
                self.clock.now_us(),
            )

    # The engine's side.

    async def run(self) -> None:
        """Do what is due, and send what had to wait, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_outbox)
            if self.sender is not None:
                nursery.start_soon(self.sender.run)
            while True:
                with trio.CancelScope() as self.nap:
                    self._set_nap(self.engine.next_us())
                    await trio.sleep_forever()
                now = self.clock.now_us()
                self.engine.tick(now)
                self.flush(now)

    def stop(self) -> None:
        """End what waits, so that its clients are told before the node is gone."""
        now = self.clock.now_us()
        self.engine.stop(now)
        self.flush(now)

    def flush(self, now_us: int) -> None:
        """Carry out what the engine wants done."""
        engine = self.engine
        while (engine.effects or engine.waiting) and (effects := engine.take(now_us)):
            for effect in effects:
                match effect:
                    case OfferJob():
                        self._offer(effect.job, now_us)
                    case CallReply():
                        assert isinstance(effect.call, Call)
                        effect.call.take(effect)
                    case WithdrawJob():
                        if (responder := self.edges.pop(effect.job, None)) is not None:
                            self.counters.add("drmaa_jobs_withdrawn")
                            self.post(RequestWithdrawn(responder.name, responder))
                    case RecallJob():
                        if (responder := self.edges.get(effect.job)) is not None:
                            self.post(RecallRequested(responder.name, responder))
                    case ControlJob():
                        if (responder := self.edges.get(effect.job)) is not None:
                            self.post(ControlRequested(responder.name, responder, effect.action))
        if self.hub is not None:
            for found in self.hub.take(now_us):
                if isinstance(found, PollAnswer):
                    assert isinstance(found.call, Call)
                    found.call.done(listening.page(found.stream, found.page))
                elif self.sender is not None:
                    self.sender.send(found)
        if self.ends != engine.ended:
            self.ends = engine.ended
            counts, ends = self.counters.counts, engine.ends
            counts["drmaa_jobs_done"], counts["drmaa_jobs_failed"] = (
                ends[JobState.DONE],
                ends[JobState.FAILED],
            )
        if engine.timers.soonest < self.due_us:
            self._set_nap(engine.timers.soonest)

    def _set_nap(self, due_us: int) -> None:
        self.due_us = due_us
        self.nap.deadline = math.inf if due_us == NEVER else self.clock.to_trio(due_us)

    def _offer(self, job: Job, now_us: int) -> None:
        spec = templates.job_spec(job, self.rules, now_us)
        if job.what.reservation and self.reserving is not None:
            try:
                only = self.reserving.offer(job)
            except DrmaaError as error:
                self.engine.failed(job, error.name, str(error), now_us)
                return
            if only is None:
                self.engine.refused(job, RESERVED_AGAIN_US, now_us)
                return
            spec = msgspec.structs.replace(spec, allowed_servers=only, uses_reserved_slots=True)
        responder = self.edges[job] = JobClient(self, job, spec)
        responder.log_offer()
        self.counters.add("drmaa_offers")
        self.counters.add("drmaa_offers_repeated", bool(job.unresolved))
        self.post(RequestArrived(spec, responder))

    def post(self, message: Message) -> None:
        """Send the owner a message, after those that wait already."""
        if not self.outbox:
            try:
                self.inbox.send_nowait(message)
                return
            except trio.WouldBlock:
                pass
            except trio.BrokenResourceError:  # the owner has ended, and with it every request
                return
        # Guards against order lost: once one message waits, those that follow do so behind it.
        self.outbox.append(message)
        self.ready.set()

    async def _send_outbox(self) -> None:
        while True:
            await self.ready.wait()
            self.ready = trio.Event()
            while self.outbox:
                try:
                    await self.inbox.send(self.outbox[0])
                except trio.BrokenResourceError:
                    self.outbox.clear()
                    return
                self.outbox.popleft()

    # The wire's side.

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer one call, or leave it to be answered by what becomes of the job."""
        path, _, query = request.target.partition("?")
        parts = path.strip("/").split("/")[1:]
        if "%" in path:
            parts = [unquote(part) for part in parts]
        asked, now = parse_qs(query) if query else {}, self.clock.now_us()
        try:
            incoming = IncomingCall(connection, request, self.gate.grant(request.headers, now), asked, now)
            response = self.calls.take(incoming, parts)
        except DrmaaError as error:
            self.counters.add("drmaa_errors")
            response = failure(error)
        self.flush(now)
        if isinstance(response, Response):
            if response.status < 300:
                connection.has_served_request = True
            return response
        if response.response is not None:
            if response.response.status < 300:
                connection.has_served_request = True
            return response.response
        response.later, connection.context = True, response
        return None

    def client_disconnected(self, connection: Connection) -> None:
        """Forget the wait of a client that hung up; a job whose id it had not learned is terminated."""
        call = connection.context
        if isinstance(call, Call):
            connection.context = None
            self.engine.forget_call(call)
            if self.hub is not None:
                self.hub.forget(call)
            for job in [job for job in self.edges if job.submit_call is call]:
                job.submit_call = None
                self.engine.terminate(job, self.clock.now_us(), "the client hung up")
            self.flush(self.clock.now_us())
