"""What the owner keeps: requests that are not over, their attempts, and what is due when."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from merlinbay.core.attempts import Responder, ServerAttempt
from merlinbay.core.values import ExitDetails, RequestSpec


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request, from its arrival until it is answered and its last attempt has ended."""

    spec: RequestSpec
    number: int  # its id in the module
    responder: Responder
    deadline_at_us: int
    is_answered: bool = False  # answered or withdrawn
    attempt_count: int = 0
    may_have_run: bool = False  # an attempt of it has ended in a way that does not exclude it
    is_recalling: bool = False  # the client's side wants it back, if it has not started
    exit_details: ExitDetails | None = None
    open_attempts: dict[int, ServerAttempt] = field(default_factory=dict)


class RequestTable:
    """Open requests by number and by name, and their open attempts by name and server."""

    def __init__(self, remembered: int) -> None:
        self.remembered_limit = remembered
        self.by_number: dict[int, OpenRequest] = {}
        self.by_name: dict[str, OpenRequest] = {}
        self.attempts: dict[tuple[str, str], ServerAttempt] = {}
        self.recent_names: dict[str, None] = {}  # names of requests that are over, oldest first

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(self.by_number.values())

    def add(self, request: OpenRequest) -> None:
        """Keep a request."""
        self.by_number[request.number] = self.by_name[request.spec.name] = request

    def has_used(self, name: str) -> bool:
        """Tell whether a request of that name is open, or had attempts lately."""
        return name in self.by_name or name in self.recent_names

    def find_unanswered(self, name: str, responder: Responder) -> OpenRequest | None:
        """Return the request of that name and client that still waits for its answer."""
        request = self.by_name.get(name)
        if request is None or request.responder is not responder or request.is_answered:
            return None
        return request

    def remove_if_finished(self, request: OpenRequest) -> None:
        """Drop a request that is answered or withdrawn and has no attempt open."""
        if (
            request.is_answered
            and not request.open_attempts
            and self.by_number.pop(request.number, None) is not None
        ):
            del self.by_name[request.spec.name]
            if request.attempt_count:
                self._remember(request.spec.name)

    def _remember(self, name: str) -> None:
        """Keep the name of a request that is over, so that what repeats it is not sent as another one."""
        self.recent_names[name] = None
        if len(self.recent_names) > self.remembered_limit:
            del self.recent_names[next(iter(self.recent_names))]

    def open_attempt(self, request: OpenRequest, attempt: ServerAttempt) -> None:
        """Keep an attempt of a request."""
        request.open_attempts[attempt.number] = self.attempts[request.spec.name, attempt.server] = attempt

    def close_attempt(self, attempt: ServerAttempt) -> OpenRequest:
        """Drop an attempt that has ended; return its request."""
        del self.attempts[attempt.spec.name, attempt.server]
        request = self.by_number[attempt.request_number]
        del request.open_attempts[attempt.number]
        return request

    def request_of(self, attempt: ServerAttempt) -> OpenRequest:
        """Return the request of an open attempt."""
        return self.by_number[attempt.request_number]

    def all_answered(self) -> bool:
        """Tell whether no client waits for an answer."""
        return all(request.is_answered for request in self)


Timed = str | OpenRequest | ServerAttempt  # a timer of the module by its token, or what has a deadline


class Timers:
    """What is due when. An entry cannot be taken back: who made it looks whether it still matters."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timed]] = []
        self.count = 0

    def add(self, due_us: int, what: Timed) -> None:
        """Have something become due."""
        self.count += 1
        heapq.heappush(self.heap, (due_us, self.count, what))

    def next_us(self) -> int | None:
        """Return when something is due next; None: nothing is."""
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now_us: int) -> Iterator[Timed]:
        """Take out what is due, one at a time."""
        while self.heap and self.heap[0][0] <= now_us:
            yield heapq.heappop(self.heap)[2]
