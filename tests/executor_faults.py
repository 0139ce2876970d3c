"""The faults that a test can give a fake executor, for each attempt separately."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import trio

REASONS = {200: "OK", 202: "Accepted", 302: "Found", 500: "Internal Server Error", 503: "Service Unavailable"}


MAX_BODY_BYTES = 64 * 1024  # the limit in the protocol's documentation


class BreakPoint(Enum):
    """The point of an exchange at which its connection breaks."""

    BEFORE_ANSWER = "before the 202"
    IN_ANSWER = "in the middle of the 202"
    AFTER_ANSWER = "after the 202"


@dataclass(frozen=True)
class Answer:
    """A complete HTTP response."""

    status: int = 202
    not_processed: bool = False
    body: bytes = b""

    @property
    def ends_attempt(self) -> bool:
        """Return whether this answer ends its attempt, according to the protocol's documentation."""
        return len(self.body) <= MAX_BODY_BYTES and (self.never_ran or self.status == 500)

    @property
    def never_ran(self) -> bool:
        """Return whether this answer proves that the job never ran, according to the documentation."""
        return len(self.body) <= MAX_BODY_BYTES and self.not_processed and self.status in (503, 504)

    def encode(self) -> bytes:
        """Return the response as bytes."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Other')}"]
        if self.not_processed:
            lines.append("X-Not-Processed: 1")
        if self.status == 302:
            lines.append("Location: /elsewhere")
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


@dataclass(frozen=True)
class NonHttpResponse:
    """Bytes that are not HTTP, sent instead of an answer."""

    data: bytes = b"\x16\x03\x01\x00\x05 this is no HTTP\r\n\r\n"


@dataclass(frozen=True)
class ConnectionBreak:
    """The connection breaks, by a reset or by an orderly close."""

    at: BreakPoint
    reset: bool = True


@dataclass(frozen=True)
class NoAnswer:
    """The executor hangs: it reads the attempt and sends no answer."""


FirstAnswer = Answer | NonHttpResponse | ConnectionBreak | NoAnswer
TAKEN = Answer(202)
REFUSED = Answer(503, not_processed=True)
TOO_LARGE = Answer(202, body=b"x" * (MAX_BODY_BYTES + 1))


@dataclass(frozen=True)
class ScriptedCallback:
    """A callback, made after a delay or once the node has given up the attempt."""

    state: str
    share: float = 0.0
    delay: float = 0.0
    after_given_up: bool = False
    gate: trio.Event | None = None  # the callback waits for this event


STARTED = ScriptedCallback("started")
RUNNING = ScriptedCallback("running", share=0.4)
DONE = ScriptedCallback("done")


@dataclass(frozen=True)
class Behaviour:
    """What an executor does with one attempt."""

    answer: FirstAnswer = TAKEN
    before: tuple[ScriptedCallback, ...] = ()  # callbacks made before the answer
    after: tuple[ScriptedCallback, ...] = (STARTED, DONE)
    second_answer: Answer | None = None
    gate: trio.Event | None = None  # the answer waits for this event


HEALTHY = Behaviour()
