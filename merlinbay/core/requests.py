"""The table of open requests and their open attempts.

The dispatcher's task owns it. The table also remembers the names of recently finished requests, so that a
client's repeat of one is not dispatched as a new request.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from merlinbay.core.attempts import Responder, ServerAttempt
from merlinbay.core.server_aliases import ServerAliases
from merlinbay.core.values import ExitDetails, RequestSpec, TimerKey


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request, from its arrival until it is answered and its last attempt has ended."""

    spec: RequestSpec
    number: int  # the request's id in the decision module
    responder: Responder
    deadline_at_us: int
    is_answered: bool = False  # also set when the client has left or recalled the request
    attempt_count: int = 0  # attempts dispatched so far, including those that were not sent
    may_have_run: bool = False  # whether an attempt, or an earlier one, ended without proof that it never ran
    is_recalling: bool = False  # its client has asked for a recall, which is in progress
    exit_details: ExitDetails | None = None  # exit details of the attempt that ended last
    open_attempts: dict[int, ServerAttempt] = field(default_factory=dict)  # by attempt number
    timer_keys: list[TimerKey] = field(default_factory=list)  # its timers, which are cancelled with its end

    def __post_init__(self) -> None:
        self.may_have_run = self.may_have_run or bool(self.spec.earlier_attempts)


class RequestTable:
    """Open requests by number and by name, and open attempts by request name and server."""

    def __init__(self, remembered_limit: int, aliases: ServerAliases) -> None:
        self.aliases = aliases
        self.remembered_limit = remembered_limit  # maximum length of ``recent_names``
        self.by_number: dict[int, OpenRequest] = {}
        self.by_name: dict[str, OpenRequest] = {}
        self.attempts: dict[tuple[str, str], ServerAttempt] = {}  # by request name and server name
        self.recent_names: dict[str, None] = {}  # names of finished requests, oldest first

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(self.by_number.values())

    def add(self, request: OpenRequest) -> None:
        """Add a request."""
        self.by_number[request.number] = self.by_name[request.spec.name] = request

    def has_used(self, name: str) -> bool:
        """Return whether a request of this name is open, or recently finished after at least one attempt."""
        return name in self.by_name or name in self.recent_names

    def find_unanswered(self, name: str, responder: Responder) -> OpenRequest | None:
        """Return the request with this name and responder if it has not been answered yet."""
        request = self.by_name.get(name)
        if request is None or request.responder is not responder or request.is_answered:
            return None
        return request

    def find_attempt(self, name: str, server: str) -> ServerAttempt | None:
        """Return the open attempt of a request, given by its name, on a server, given by any of its names."""
        attempt = self.attempts.get((name, server))
        if attempt is None and (listed_name := self.aliases.listed_name(server)) != server:
            attempt = self.attempts.get((name, listed_name))
        return attempt

    def request_of(self, attempt: ServerAttempt) -> OpenRequest:
        """Return the request of an open attempt."""
        return self.by_number[attempt.request_number]

    def open_attempt(self, request: OpenRequest, attempt: ServerAttempt) -> None:
        """Add an open attempt of a request."""
        request.open_attempts[attempt.number] = self.attempts[request.spec.name, attempt.server] = attempt

    def close_attempt(self, attempt: ServerAttempt) -> OpenRequest:
        """Remove an attempt that has ended, and return its request."""
        del self.attempts[attempt.spec.name, attempt.server]
        request = self.by_number[attempt.request_number]
        del request.open_attempts[attempt.number]
        return request

    def remove_if_finished(self, request: OpenRequest) -> bool:
        """Remove a request that is answered and has no open attempt. Return whether it was removed now."""
        if not request.is_answered or request.open_attempts:
            return False
        if self.by_number.pop(request.number, None) is None:
            return False
        del self.by_name[request.spec.name]
        if request.attempt_count:
            self.remember([request.spec.name])
        return True

    def remember(self, names: list[str]) -> None:
        """Remember names that were used, so that a client's repeat is not dispatched as a new request."""
        for name in names:
            self.recent_names[name] = None
            if len(self.recent_names) > self.remembered_limit:
                del self.recent_names[next(iter(self.recent_names))]

    def used_names(self) -> list[str]:
        """Return the names that must not be dispatched again, oldest first."""
        return [*self.recent_names, *(request.spec.name for request in self if request.attempt_count)]

    def all_answered(self) -> bool:
        """Return whether all open requests have been answered."""
        return all(request.is_answered for request in self)
