"""The state changes of requests and attempts in the log, at level ``debug``, each with the request's id.

The lifecycles call it. Without a log that writes this level, no event is put together.
"""

from __future__ import annotations

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.requests import OpenRequest
from merlinbay.core.values import Answer, RequestSpec
from merlinbay.decision.outcomes import Outcome
from merlinbay.log import Log

DEBUG = "debug"


class RequestTrace:
    """Writes one event for each change."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def taken(self, spec: RequestSpec, remaining_us: int) -> None:
        """Report a request that was accepted."""
        if self._log.writes_debug:
            self._log.event(
                "request_taken",
                level=DEBUG,
                id=spec.name,
                job_class=spec.job_class,
                remaining_us=remaining_us,
            )

    def not_taken(self, spec: RequestSpec, cause: str) -> None:
        """Report a request that was answered without asking the decision module."""
        if self._log.writes_debug:
            self._log.event("request_not_taken", level=DEBUG, id=spec.name, cause=cause)

    def answered(self, request: OpenRequest, answer: Answer, cause: str) -> None:
        """Report a request's final answer."""
        if self._log.writes_debug:
            self._log.event(
                "request_answered",
                level=DEBUG,
                id=request.spec.name,
                status=answer.status.value,
                cause=cause,
                retry_after_us=answer.retry_after_us,
            )

    def withdrawn(self, request: OpenRequest) -> None:
        """Report a request whose client has disconnected."""
        if self._log.writes_debug:
            self._log.event(
                "request_withdrawn", level=DEBUG, id=request.spec.name, attempts=request.attempt_count
            )

    def attempt_sent(self, attempt: ServerAttempt) -> None:
        """Report the dispatch of an attempt; a number above 0 is a retry or a hedge."""
        if self._log.writes_debug:
            self._log.event(
                "attempt_sent",
                level=DEBUG,
                id=attempt.spec.name,
                attempt=attempt.number,
                server=attempt.server,
            )

    def attempt_ended(self, attempt: ServerAttempt, outcome: Outcome) -> None:
        """Report the outcome of an attempt."""
        if self._log.writes_debug:
            self._log.event(
                "attempt_ended",
                level=DEBUG,
                id=attempt.spec.name,
                attempt=attempt.number,
                server=attempt.server,
                outcome=outcome.name.lower(),
            )
