"""The platform's protocol at the node's address: clients' requests, servers' callbacks and readiness checks.

The HTTP server calls ``ClientAdapter`` for each request and for each client that disconnects. Client requests
and callbacks go to the dispatcher as messages. Malformed requests are answered here; once the dispatcher has
ended, client requests are rejected and callbacks are only confirmed.
"""

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
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.platform import messages

CALLBACK_PATH = "/v1/job-events"
READINESS_PATH = "/-/ready"
OUTCOMES = {  # outcome of an attempt by the final state that a callback reports
    "done": Outcome.OK,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.RESET,
}
CALLBACK_RECEIVED = Response(200)


def rejection(retry_after_us: int) -> Response:
    """Return the response to a rejected request, with a Retry-After header if a time is given."""
    wait = f"{retry_after_us / 1e6:.3f}".encode()
    return Response(503, b"refused\n", [(b"retry-after", wait)] if retry_after_us else [])


def is_callback(target: str) -> bool:
    """Return whether a request with this target is a server's callback, which is repeated until answered."""
    return target.partition("?")[0] == CALLBACK_PATH


class ClientRequest(Responder):
    """The client's side of one request. This protocol reports the end of a request only."""

    def __init__(
        self, connection: Connection, name: str, unanswered: set[ClientRequest] | None = None
    ) -> None:
        self.connection, self.name = connection, name
        self.is_withdrawn = False  # the client has disconnected, or was answered with a failure
        self.inbox_wait = trio.CancelScope()  # covers the wait for space in the dispatcher's inbox
        # Contains this request until it is answered.
        self.unanswered = unanswered if unanswered is not None else set()
        self.unanswered.add(self)

    def withdraw(self) -> None:
        """Stop waiting for space in the inbox: no client waits for the answer any more."""
        self.is_withdrawn = True
        self.inbox_wait.cancel()
        self.unanswered.discard(self)

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, according to its connection's current state."""
        return self.is_withdrawn or self.connection.has_client_left()

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
    """Handles the requests at the node's address."""

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
        self.by_key_classes = by_key_classes  # classes whose requests should carry an idempotency key
        self.is_short_of_connections: Callable[[], bool] = lambda: False
        self.accepts_clients: Callable[[], bool] = lambda: True  # false while the node is in standby
        self.has_ended = False  # whether the dispatcher has ended and no longer reads its inbox
        self.unanswered: set[ClientRequest] = set()

    def end(self) -> None:
        """Handle the dispatcher's end: reject all requests that it has not read from its inbox."""
        self.has_ended = True
        # Otherwise requests in the inbox, or waiting for space in it, would get no answer. None of them has
        # had an attempt, because the dispatcher ends only when all requests that it has read are answered.
        for client_request in list(self.unanswered):
            client_request.answer(
                Answer(AnswerStatus.REJECTED, retry_after_us=self.limits.stop_retry_after_us)
            )

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Handle a callback, a readiness check or a client's request; None: the response follows later."""
        path = request.target.partition("?")[0]
        if self.has_ended:
            # Requests that arrive during the exit are answered, but not passed on.
            return CALLBACK_RECEIVED if path == CALLBACK_PATH else rejection(self.limits.stop_retry_after_us)
        if path == CALLBACK_PATH:
            connection.carries_callbacks = True
            return await self._handle_callback(request)
        if path == READINESS_PATH:
            if request.method not in ("GET", "HEAD"):
                return Response(405)
            return Response(200, b"ready\n") if self.accepts_clients() else Response(503, b"standby\n")
        if path.strip("/").partition("/")[0] not in self.classes:
            return Response(404)
        if request.method != "POST":
            return Response(405)
        return self._handle_client_request(connection, request)

    def _handle_client_request(self, connection: Connection, request: Request) -> Response | None:
        """Pass a client's request to the dispatcher, or return the response if it is not passed on."""
        try:
            spec = messages.request_spec(
                request.target, request.headers, request.body, self._arrival_us(request)
            )
        except messages.BadRequestError as error:
            self.counters.add("requests_bad")
            self.log.event("request_bad", level="warning", cause=str(error))
            return Response(400, f"bad request: {error}\n".encode())
        if spec.job_class in self.by_key_classes and not spec.idempotency_key:
            self.counters.add("requests_keyless")
            self.log.event("request_keyless", level="warning", job_class=spec.job_class, kept="unrepeated")
        if connection.has_served_request and self.is_short_of_connections():
            # Rejects the request before all connections that have served a request are in use. A client that
            # finds none idle gets no new one from a node that shuts down, and would treat the node as down
            # although it still serves.
            self.counters.add("jobs_spared")
            return rejection(self.limits.stop_retry_after_us)
        client_request = connection.context = ClientRequest(connection, spec.name, self.unanswered)
        arrived = RequestArrived(spec, client_request)
        try:
            self.inbox.send_nowait(arrived)
        except trio.WouldBlock:
            # Another task waits for space in the inbox, so that the connection is read meanwhile. Otherwise
            # data that the client has sent after the request would hide that it has disconnected.
            connection.nursery.start_soon(self._send_to_inbox, arrived, client_request.inbox_wait)
        return None

    async def _send_to_inbox(self, arrived: RequestArrived, scope: trio.CancelScope) -> None:
        with scope:
            await self.inbox.send(arrived)

    def _arrival_us(self, request: Request) -> int:
        """Return when the last byte of a request was received."""
        # A request that was read ahead has waited since then, and its deadline must count that time.
        return (
            self.clock.now_us() if request.received_at is None else self.clock.from_trio(request.received_at)
        )

    def client_disconnected(self, connection: Connection) -> None:
        """Withdraw the request of a client that has disconnected."""
        client_request = connection.context
        if isinstance(client_request, ClientRequest):
            client_request.withdraw()
            # Another task sends the withdrawal, which must not be lost if the inbox is full.
            connection.nursery.start_soon(self._withdraw, client_request)

    async def _withdraw(self, client_request: ClientRequest) -> None:
        with suppress(trio.BrokenResourceError):  # the dispatcher and all its requests have ended
            await self.inbox.send(RequestWithdrawn(client_request.name, client_request))

    async def _handle_callback(self, request: Request) -> Response:
        if request.method != "POST":
            return Response(405)
        try:
            event = messages.read_job_event(request.body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.counters.add("call_backs_bad")
            return Response(400)
        request.body = b""  # What was read from it may have to wait for the inbox.
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
        return CALLBACK_RECEIVED
