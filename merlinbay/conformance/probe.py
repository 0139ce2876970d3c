"""What clauses ask an endpoint by: single exchanges, nothing repeated, nothing smoothed over."""

from __future__ import annotations

import base64
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httpx

from merlinbay.client.transport import Door

ENDED = ("DONE", "FAILED")
JOB_LENGTHS_S = (1.5, 6.0, 24.0)  # of jobs that have to run while they are looked at


class ClauseNotMetError(Exception):
    """The endpoint does not keep the clause."""


class OvertakenError(Exception):
    """A job ended before the check that needs it running: that says nothing of the endpoint."""


class ClauseSkippedError(Exception):
    """The clause is about something that the endpoint says it does not have."""


def expect(holds: object, text: str) -> None:
    """Raise ``ClauseNotMetError`` unless it holds."""
    if not holds:
        raise ClauseNotMetError(text)


@dataclass
class ConformanceProbe:
    """One endpoint, and a session of our own there."""

    door: Door
    session: str = field(default_factory=lambda: f"conformance-{secrets.token_hex(4)}")
    category: str = ""  # the jobCategory of the jobs; empty: the endpoint's first
    patience: float = 20.0  # seconds within which a short job has ended

    def __post_init__(self) -> None:
        self.http = httpx.Client(
            base_url=self.door.url,
            headers=self.door.headers(),
            verify=self.door.verify(),
            trust_env=False,
            timeout=self.patience + 10,
        )
        self.ids: set[str] = set()

    def close(self) -> None:
        """Close its connections."""
        self.http.close()

    def call(self, method: str, path: str, value: object = None) -> tuple[int, Any]:
        """Have one exchange; return status and JSON. What is no JSON, or no answer, is a miss."""
        content = None if value is None else json.dumps(value).encode()
        try:
            answer = self.http.request(method, f"/drmaa2{path}", content=content)
        except httpx.HTTPError as error:
            raise ClauseNotMetError(f"{method} {path}: {type(error).__name__} {error}") from None
        try:
            return answer.status_code, answer.json() if answer.content else {}
        except ValueError:
            raise ClauseNotMetError(f"{method} {path}: the answer is no JSON") from None

    def at(self, path: str) -> str:
        """Return a path in our session."""
        return f"/sessions/{self.session}{path}"

    def good(self, method: str, path: str, value: object = None) -> Any:
        """Have one exchange that succeeds."""
        status, found = self.call(method, path, value)
        expect(200 <= status < 300, f"{method} {path}: {status} {found}")
        return found

    def raises(self, names: str, method: str, path: str, value: object = None) -> dict[str, Any]:
        """Have one exchange that raises one of the exceptions named; return its body."""
        status, found = self.call(method, path, value)
        name = found.get("exception") if isinstance(found, dict) else None
        expect(status >= 400, f"{method} {path}: {status}, where {names} is due")
        expect(name in names.split("|"), f"{method} {path}: {name} ({status}), where {names} is due")
        expect(isinstance(found.get("message"), str), f"{name} without a message")
        return dict(found)

    # Jobs.

    def template(self, command: str, *args: str, **more: object) -> dict[str, Any]:
        """Return a job template."""
        found: dict[str, Any] = {"remoteCommand": command, "args": list(args), **more}
        if self.category:
            found["jobCategory"] = self.category
        return found

    def run(self, command: str, *args: str, **more: object) -> str:
        """Submit a job to our session; return its id."""
        found = self.good("POST", self.at("/jobs"), {"jobTemplate": self.template(command, *args, **more)})
        job = found.get("jobId")
        expect(isinstance(job, str) and job, "runJob gave no jobId")
        expect(job not in self.ids, f"runJob gave the jobId {job} twice")
        self.ids.add(job)
        return str(job)

    def info(self, job: str) -> dict[str, Any]:
        """Return JobInfo."""
        return dict(self.good("GET", self.at(f"/jobs/{job}")))

    def end(self, job: str) -> dict[str, Any]:
        """Wait for a job's end; return its JobInfo."""
        found = self.good("GET", self.at(f"/jobs/{job}/waitTerminated?timeout={self.patience}"))
        expect(found.get("jobState") in ENDED, f"waitTerminated told of a job {found.get('jobState')}")
        return dict(found)

    def started(self, job: str) -> dict[str, Any]:
        """Wait for a job's start; return its JobInfo."""
        return dict(self.good("GET", self.at(f"/jobs/{job}/waitStarted?timeout={self.patience}")))

    def until(self, job: str, state: str) -> dict[str, Any]:
        """Ask until a job is in a state; return its JobInfo."""
        end = time.monotonic() + self.patience
        while (found := self.info(job)).get("jobState") != state:
            expect(
                time.monotonic() < end and found.get("jobState") not in ENDED,
                f"the job is {found.get('jobState')}, and not {state} within {self.patience:g} s",
            )
            time.sleep(0.02)
        return found

    def need_running(self, job: str) -> None:
        """Wait until a job has started. Raises ``OvertakenError`` where it has already ended by itself."""
        state = self.started(job)["jobState"]
        if state == "DONE":
            raise OvertakenError(f"the job {job} has ended")
        expect(state == "RUNNING", f"the job is {state}, and not RUNNING")

    def can(self, capability: str) -> bool:
        """Tell whether the endpoint says that it supports a capability."""
        return bool(self.good("GET", f"/supports/{capability}").get("supported"))


def with_longer_jobs(check: Callable[[float], None]) -> None:
    """Make a check by a job of a short length, and by longer ones where that ended too early."""
    for seconds in JOB_LENGTHS_S:
        try:
            check(seconds)
        except OvertakenError:
            continue
        return
    raise ClauseNotMetError(
        f"jobs of up to {JOB_LENGTHS_S[-1]:g} s ended before a call could reach them running"
    )


def output(info: dict[str, Any]) -> bytes:
    """Return what a job wrote."""
    return base64.b64decode(info.get("output", ""))
