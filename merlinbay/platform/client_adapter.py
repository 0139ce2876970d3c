"""The platform's protocol at the node's address: clients' requests, call-backs and the readiness check."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import msgspec
import trio

from merlinbay.clock import Clock
from merlinbay.core.attempts import Responder
from merlinbay.core.messages import (
    AttemptFinished,
    AttemptProgress,
    AttemptStarted,
    Message,
    RequestArrived,
    RequestWithdrawn,
)
from merlinbay.core.values import Answer, AnswerStatus
from merlinbay.counters import Counters
from merlinbay.decision.outcomes import Outcome
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.sockets import has_hung_up
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.platform import messages

CALL_BACKS = "/v1/job-events"
READINESS = "/-/ready"
OUTCOMES = {  # of an attempt, by the state that a call-back reports
    "done": Outcome.OK,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.RESET,
}
RECEIVED = Response(200)  # to a call-back


def rejection(retry_after_us: int) -> Response:
    """Return the answer to a request that is rejected before it is sent to a server."""
    wait = f"{retry_after_us / 1e6:.3f}".encode()
    return Response(503, b"refused\n", [(b"retry-after", wait)] if retry_after_us else [])


class ClientRequest(Responder):
    """The client's side of one request; this wire reports the end only."""

    def __init__(
        self, connection: Connection, name: str, unanswered: set[ClientRequest] | None = None
    ) -> None:
        self.connection, self.name = connection, name
        self.withdrawn = False  # the client has disconnected, or was answered that it failed
        self.entering = trio.CancelScope()  # covers the wait for a place in the dispatcher's inbox
        self.unanswered = unanswered if unanswered is not None else set()  # holds this one until its answer
        self.unanswered.add(self)

    def withdraw(self) -> None:
        """Stop what is still to be done for the answer: no client waits for it."""
        self.withdrawn = True
        self.entering.cancel()
        self.unanswered.discard(self)

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, as its connection looks now."""
        return self.withdrawn or has_hung_up(self.connection.sock)

    def answer(self, answer: Answer) -> None:
        """Write the answer to the client's connection."""
        self.connection.context = None
        self.unanswered.discard(self)
        if answer.status is AnswerStatus.SERVED:
            self.connection.has_served_request = True
            self.connection.respond(Response(200, answer.result))
        elif answer.status is AnswerStatus.REJECTED:
            self.connection.respond(rejection(answer.retry_after_us))
        else:
            self.connection.respond(Response(500, b"failed\n"))


class ClientAdapter:
    """Handles every request at the node's address."""

    def __init__(
        self,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        classes: set[str],
        log: Log,
        by_key_classes: frozenset[str] = frozenset(),
    ) -> None:
        self.inbox, self.clock, self.limits, self.log = inbox, clock, limits, log
        self.counters, self.classes = counters, classes
        self.by_key_classes = by_key_classes  # their requests should carry an idempotency key
        self.is_short_of_connections: Callable[[], bool] = lambda: False
        self.accepts_clients: Callable[[], bool] = lambda: True  # else the node is in standby
        self.has_ended = False  # the dispatcher has ended, and nobody reads the inbox
        self.unanswered: set[ClientRequest] = set()

    def end(self) -> None:
        """Reject all requests that the dispatcher has not taken: it has ended."""
        self.has_ended = True
        # Guards against requests lost in the inbox or on their way into it. None of them was begun: the
        # dispatcher ends when all that it has taken is answered.
        for client_request in list(self.unanswered):
            client_request.answer(
                Answer(AnswerStatus.REJECTED, retry_after_us=self.limits.stop_retry_after_us)
            )

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Handle a call-back, a readiness check or a client's request; None: the answer follows later."""
        path = request.target.partition("?")[0]
        if self.has_ended:
            # Guards against requests that cross the exit: they are answered, and not begun.
            return RECEIVED if path == CALL_BACKS else rejection(self.limits.stop_retry_after_us)
        if path == CALL_BACKS:
            connection.carries_callbacks = True
            return await self._call_back(request)
        if path == READINESS:
            if request.method not in ("GET", "HEAD"):
                return Response(405)
            return Response(200, b"ready\n") if self.accepts_clients() else Response(503, b"standby\n")
        if path.strip("/").partition("/")[0] not in self.classes:
            return Response(404)
        if request.method != "POST":
            return Response(405)
        return self._client_request(connection, request)

    def _client_request(self, connection: Connection, request: Request) -> Response | None:
        """Pass a client's request to the dispatcher, or return why it is not passed on."""
        try:
            spec = messages.request_spec(
                request.target, request.headers, request.body, self._arrived_us(request)
            )
        except messages.BadRequestError as error:
            self.counters.add("requests_bad")
            self.log.event("request_bad", level="warning", cause=str(error))
            return Response(400, f"bad request: {error}\n".encode())
        if spec.job_class in self.by_key_classes and not spec.idempotency_key:
            self.counters.add("requests_keyless")
            self.log.event("request_keyless", level="warning", job_class=spec.job_class, kept="unrepeated")
        if connection.has_served_request and self.is_short_of_connections():
            # Guards against using the last proven connection: a client without one, which gets no new one
            # from a node that shuts down, gives up the node though it still serves.
            self.counters.add("jobs_spared")
            return rejection(self.limits.stop_retry_after_us)
        client_request = connection.context = ClientRequest(connection, spec.name, self.unanswered)
        arrived = RequestArrived(spec, client_request)
        try:
            self.inbox.send_nowait(arrived)
        except trio.WouldBlock:
            # Guards against missing that a client disconnects: its connection is read on while the request
            # waits here, or what the client has sent behind it would hide the end of the connection.
            connection.nursery.start_soon(self._enter, arrived, client_request.entering)
        return None

    async def _enter(self, arrived: RequestArrived, scope: trio.CancelScope) -> None:
        with scope:
            await self.inbox.send(arrived)

    def _arrived_us(self, request: Request) -> int:
        """Return when a request's last byte had been received."""
        # Guards against a deadline that is late by the time for which a request read ahead has waited.
        return (
            self.clock.now_us() if request.received_at is None else self.clock.from_trio(request.received_at)
        )

    def client_disconnected(self, connection: Connection) -> None:
        """Withdraw the request of a client that has disconnected."""
        client_request = connection.context
        if isinstance(client_request, ClientRequest):
            client_request.withdraw()
            # Guards against a withdrawal that is lost where the inbox is full.
            connection.nursery.start_soon(self._withdraw, client_request)

    async def _withdraw(self, client_request: ClientRequest) -> None:
        with suppress(trio.BrokenResourceError):  # the dispatcher has ended, and with it every request
            await self.inbox.send(RequestWithdrawn(client_request.name, client_request))

    async def _call_back(self, request: Request) -> Response:
        if request.method != "POST":
            return Response(405)
        try:
            event = messages.read_job_event(request.body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.counters.add("call_backs_bad")
            return Response(400)
        self.counters.add("call_backs")
        if event.state == "started":
            await self.inbox.send(AttemptStarted(event.id, event.server))
        elif event.state == "running":
            await self.inbox.send(AttemptProgress(event.id, event.server, event.share))
        elif event.state in OUTCOMES:
            result = messages.result_bytes(event.result) if event.state == "done" else b""
            await self.inbox.send(
                AttemptFinished(
                    event.id, event.server, OUTCOMES[event.state], result, messages.read_load(event.load)
                )
            )
        else:
            self.counters.add("call_backs_unknown")
        return RECEIVED
