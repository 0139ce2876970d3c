"""The platform's listener: edge connections, and the call-backs that share their address."""

from __future__ import annotations

from collections.abc import Callable

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

OUTCOMES = {"done": Outcome.OK, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
TAKEN = Response(200)


def refusal(retry_after_us: int) -> Response:
    """Return the answer to a job that is refused unsent."""
    wait = f"{retry_after_us / 1e6:.3f}".encode()
    return Response(503, b"refused\n", [(b"retry-after", wait)] if retry_after_us else [])


class ClientRequest(Responder):
    """The client's side of one request: this wire tells clients the end only."""

    def __init__(
        self, connection: Connection, name: str, unanswered: set[ClientRequest] | None = None
    ) -> None:
        self.connection, self.name = connection, name
        self.withdrawn = False  # its connection has ended, or its client was told that it failed
        self.entering = trio.CancelScope()  # its way into the owner's inbox
        self.unanswered = unanswered if unanswered is not None else set()  # it is one of them till its end
        self.unanswered.add(self)

    def withdraw(self) -> None:
        """Take it that nobody waits for its answer any more."""
        self.withdrawn = True
        self.entering.cancel()
        self.unanswered.discard(self)

    def has_disconnected(self) -> bool:
        """Tell whether the client has left, as its connection looks now."""
        return self.withdrawn or has_hung_up(self.connection.sock)

    def answer(self, answer: Answer) -> None:
        """Write the request's answer to its edge connection."""
        self.connection.context = None
        self.unanswered.discard(self)
        if answer.status is AnswerStatus.SERVED:
            self.connection.has_served_request = True
            self.connection.respond(Response(200, answer.result))
        elif answer.status is AnswerStatus.REJECTED:
            self.connection.respond(refusal(answer.retry_after_us))
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
        keyed: frozenset[str] = frozenset(),
    ) -> None:
        self.inbox, self.clock, self.limits, self.log = inbox, clock, limits, log
        self.counters, self.classes = counters, classes
        self.keyed = keyed  # the classes whose jobs carry a key
        self.scarce: Callable[[], bool] = lambda: False  # whether kept edge connections run out
        self.wanted: Callable[[], bool] = lambda: True  # whether new clients are
        self.over = False  # the owner has ended: there is nobody behind the inbox any more
        self.unanswered: set[ClientRequest] = set()

    def end(self) -> None:
        """Take it that the owner has ended: refuse what it has not taken, and all that is still to come."""
        self.over = True
        # Guards against requests lost in the inbox, or on their way into it: the owner ends when all that it
        # has taken is answered, so nobody has begun these.
        for client_request in list(self.unanswered):
            client_request.answer(
                Answer(AnswerStatus.REJECTED, retry_after_us=self.limits.retry_when_stopping_us)
            )

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Take a call-back, a job or a check."""
        path = request.target.partition("?")[0]
        if self.over:
            # Guards against what crosses the exit: it is answered, and not begun.
            return TAKEN if path == "/v1/job-events" else refusal(self.limits.retry_when_stopping_us)
        if path == "/v1/job-events":
            connection.carries_callbacks = True
            return await self._call_back(request)
        if path == "/-/ready":
            if request.method not in ("GET", "HEAD"):
                return Response(405)
            return Response(200, b"ready\n") if self.wanted() else Response(503, b"standby\n")
        if path.strip("/").partition("/")[0] not in self.classes:
            return Response(404)
        if request.method != "POST":
            return Response(405)
        try:
            spec = messages.job_spec(request.target, request.headers, request.body, self._arrived_us(request))
        except messages.BadRequestError as error:
            self.counters.add("requests_bad")
            self.log.event("request_bad", level="warning", cause=str(error))
            return Response(400, f"bad request: {error}\n".encode())
        if spec.job_class in self.keyed and not spec.idempotency_key:
            self.counters.add("requests_keyless")
            self.log.event("request_keyless", level="warning", job_class=spec.job_class, kept="unrepeated")
        if connection.has_served_request and self.scarce():
            # Guards against the last kept connection being busy: a client that finds none, and gets no new
            # one from a node that leaves, gives the node up though it still serves.
            self.counters.add("jobs_spared")
            return refusal(self.limits.retry_when_stopping_us)
        client_request = connection.context = ClientRequest(connection, spec.name, self.unanswered)
        arrived = RequestArrived(spec, client_request)
        try:
            self.inbox.send_nowait(arrived)
        except trio.WouldBlock:
            # Guards against a client whose going is not seen: its connection is read on while it waits here,
            # or what it has sent behind its request would hold the end of the connection back.
            connection.nursery.start_soon(self._enter, arrived, client_request.entering)
        return None

    async def _enter(self, arrived: RequestArrived, scope: trio.CancelScope) -> None:
        with scope:
            await self.inbox.send(arrived)

    def _arrived_us(self, request: Request) -> int:
        """Return when a request's last byte had come."""
        # Guards against a deadline that is too long by the time that a request was read ahead of its turn.
        return (
            self.clock.now_us() if request.received_at is None else self.clock.from_trio(request.received_at)
        )

    def client_disconnected(self, connection: Connection) -> None:
        """Withdraw the request of a client that hung up."""
        client_request = connection.context
        if isinstance(client_request, ClientRequest):
            client_request.withdraw()
            # Guards against a word that is lost where the inbox is full: it waits, as all else does.
            connection.nursery.start_soon(self._withdraw, client_request)

    async def _withdraw(self, client_request: ClientRequest) -> None:
        try:
            await self.inbox.send(RequestWithdrawn(client_request.name, client_request))
        except trio.BrokenResourceError:  # the owner has ended, and with it every request
            pass

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
                    event.id, event.server, OUTCOMES[event.state], result, messages.named(event.load)
                )
            )
        else:
            self.counters.add("call_backs_unknown")
        return TAKEN
