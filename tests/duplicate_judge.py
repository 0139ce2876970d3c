"""A judge of repeated attempts, by the protocol page alone; it shares no code with the node.

Stand-in executors tell it what happens at their side of the wire; it knows the settings as the configuration
file has them (nested JSON). An attempt counts once its last byte has arrived. It is a second copy if an
earlier attempt has neither ended nor been given up. Times are seconds on one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

SLACK_S = 0.05  # every time limit on sockets is so much longer


@dataclass(frozen=True)
class Executor:
    """What an executor is by itself, whatever the list says of it meanwhile."""

    name: str
    zone: str
    cell: int


@dataclass(eq=False)
class ArrivedAttempt:
    """An attempt whose last byte has arrived at an executor."""

    executor: Executor
    at: float
    out: bool = True  # neither ended nor given up
    may_have_run: bool = True


@dataclass
class SeenRequest:
    """A request and its attempts, in the order of their arrival."""

    job_class: str
    has_repeat_key: bool = True
    attempts: list[ArrivedAttempt] = field(default_factory=list)
    answers: list[int] = field(default_factory=list)
    left: bool = False  # its client has gone, and nothing is owed any more


class DuplicateJudge:
    """Counts attempts, and refusals, beyond what the settings allow."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.classes: dict[str, dict[str, Any]] = {row["name"]: row for row in settings["classes"]}
        self.second_copies = bool(settings["limits"]["secondCopies"])
        self.send_cap = int(settings["limits"]["sendCap"])
        self.requests: dict[str, SeenRequest] = {}
        self.breaks: list[str] = []

    def sent_by_client(self, name: str, job_class: str, has_repeat_key: bool = True) -> None:
        """Note a request that a client hands in."""
        self.requests[name] = SeenRequest(job_class, has_repeat_key)

    def arrived(self, name: str, executor: Executor, at: float) -> ArrivedAttempt:
        """Judge an attempt whose last byte has arrived; the executor keeps what is returned."""
        request = self.requests[name]
        before = request.attempts
        attempt = ArrivedAttempt(executor, at)
        if any(other.out and other.executor.name == executor.name for other in before):
            self._broken(name, f"a second attempt at {executor.name}, which still has the first")
        if any(other.out for other in before) and not self.second_copies:
            self._broken(name, "a second copy where none is allowed")
        if len(before) >= self.send_cap:
            self._broken(name, f"attempt {len(before) + 1}, where {self.send_cap} are allowed")
        uncertain = [other for other in before if other.may_have_run]
        if uncertain:
            self._judge_repeat(name, request, uncertain[0], attempt)
        before.append(attempt)
        return attempt

    def ended(self, attempt: ArrivedAttempt, never_ran: bool = False) -> None:
        """Note that the executor has told an outcome, or that its connection broke before the 202."""
        attempt.out = False
        attempt.may_have_run = attempt.may_have_run and not never_ran

    def given_up(self, attempt: ArrivedAttempt) -> None:
        """Note a DELETE that has arrived, or the node's close of the connection before the 202."""
        attempt.out = False

    def answered(self, name: str, status: int, at: float) -> None:
        """Judge the node's final answer to a client, or a close with no answer (status 0)."""
        request = self.requests[name]
        request.answers.append(status)
        if len(request.answers) > 1:
            self._broken(name, "a second final answer")
        if status not in (0, 429, 503) or not any(other.may_have_run for other in request.attempts):
            return
        # The client sends a refused request again, so the refusal counts as a repeat.
        if not self._repeatable_anywhere(request):
            self._broken(name, f"answered {status} though it may have run")
            return
        row = self.classes[request.job_class]
        first = next(other for other in request.attempts if other.may_have_run)
        if row["effect"] == "by_key" and at - first.at > row["windowUs"] / 1e6 + SLACK_S:
            self._broken(name, f"answered {status} {at - first.at:.3f} s after the first, outside its window")

    def _repeatable_anywhere(self, request: SeenRequest) -> bool:
        row = self.classes[request.job_class]
        if row["effect"] == "by_key":
            return request.has_repeat_key and row.get("group", "all") == "all"
        return bool(row["effect"] == "repeatable")

    def _judge_repeat(
        self, name: str, request: SeenRequest, first: ArrivedAttempt, attempt: ArrivedAttempt
    ) -> None:
        row = self.classes[request.job_class]
        if row["effect"] == "repeatable":
            return
        if row["effect"] != "by_key" or not request.has_repeat_key:
            self._broken(name, "sent again though it may have run once")
            return
        group = row.get("group", "all")
        old, new = first.executor, attempt.executor
        if (group == "zone" and old.zone != new.zone) or (group == "cell" and old.cell != new.cell):
            self._broken(name, f"a repeat outside its {group}: {old.name}, then {new.name}")
        if attempt.at - first.at > row["windowUs"] / 1e6 + SLACK_S:
            self._broken(name, f"a repeat {attempt.at - first.at:.3f} s after the first, outside its window")

    def _broken(self, name: str, what: str) -> None:
        self.breaks.append(f"{name} ({self.requests[name].job_class}): {what}")
