"""The calls as generators: they yield what is to be exchanged or slept, and return what came of it. No I/O.

A driver (``sync``, ``aio``) sends each ``Ask`` and gives back a ``ClientReply`` or a ``Failed``,
and sleeps each ``Sleep``.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from merlinbay.client.policy import DrmaaRemoteError, Fault, Policy, Trial
from merlinbay.drmaa.schema import JobInfo, JobTemplate

T = TypeVar("T")
POLL = 25.0  # seconds that one call of a longer wait lasts
SLACK = 10.0  # and what its answer may take beyond


@dataclass(frozen=True, slots=True)
class Ask:
    """An exchange to have."""

    method: str
    path: str
    body: bytes | None
    timeout: float


@dataclass(frozen=True, slots=True)
class Sleep:
    """Seconds to sleep."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ClientReply:
    """What came back."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing came back."""

    fault: Fault
    text: str


Doing = Generator[Ask | Sleep, ClientReply | Failed | None, T]


class Taken(msgspec.Struct):
    """runJob's answer."""

    jobId: str  # noqa: N815
    jobState: str = ""  # noqa: N815


class Event(msgspec.Struct):
    """One event."""

    number: int
    event: str
    sessionName: str  # noqa: N815
    jobId: str  # noqa: N815
    jobState: str  # noqa: N815
    machine: str = ""
    accountingId: str = ""  # noqa: N815
    members: int = 1


class EventPage(msgspec.Struct):
    """What a poll for events brings: ``missed`` events can no longer be had."""

    cursor: str
    missed: int
    events: list[Event]


@dataclass
class Operations:
    """Every call of the binding."""

    session: str = "default"
    policy: Policy = field(default_factory=Policy)
    rng: Random = field(default_factory=Random)
    clock: Callable[[], float] = time.monotonic

    def path(self, *parts: str) -> str:
        """Return a path in the session."""
        start = "/drmaa2" if self.session == "default" else f"/drmaa2/sessions/{quote(self.session, '')}"
        return "/".join([start, *(quote(part, "") for part in parts)])

    def call(
        self,
        method: str,
        path: str,
        value: object = None,
        harmless: bool | None = None,
        within: float | None = None,
        timeout: float = 30.0,
    ) -> Doing[Any]:
        """Have one call, repeated as the policy allows; return the answer's JSON.

        ``harmless``: it may be carried out twice; GET by default. ``within``: seconds in which refused and
        failed tries are repeated; None: refusals are raised, and a few failures of the network repeated.
        Raises ``DrmaaRemoteError``, ``UnreachableError`` and ``MayHaveRunError``.
        """
        body = None if value is None else msgspec.json.encode(value)
        trial = Trial(
            self.policy,
            self.rng,
            method == "GET" if harmless is None else harmless,
            None if within is None else self.clock() + within,
        )
        while True:
            got = yield Ask(method, path, body, timeout)
            assert got is not None
            if isinstance(got, Failed):
                yield Sleep(trial.fault(got.fault, got.text, self.clock()))
                continue
            try:
                found = msgspec.json.decode(got.body) if got.body else {}
            except msgspec.DecodeError:
                found = {"message": got.body[:200].decode(errors="replace")}
            if 200 <= got.status < 300:
                return found
            error = DrmaaRemoteError(got.status, found if isinstance(found, dict) else {})
            yield Sleep(trial.refused(error, self.clock()))

    # Jobs.

    def run_job(
        self, template: JobTemplate, within: float | None = None, may_repeat: bool = False
    ) -> Doing[str]:
        """Submit; return the job's id. ``may_repeat``: its class allows that it runs twice."""
        found = yield from self.call("POST", self.path("jobs"), {"jobTemplate": template}, may_repeat, within)
        return msgspec.convert(found, Taken).jobId

    def run_bulk_jobs(
        self,
        template: JobTemplate,
        begin: int,
        end: int,
        step: int = 1,
        max_parallel: int = 0,
        within: float | None = None,
        may_repeat: bool = False,
    ) -> Doing[str]:
        """Submit an array; return its id."""
        found = yield from self.call(
            "POST",
            self.path("arrays"),
            {
                "jobTemplate": template,
                "beginIndex": begin,
                "endIndex": end,
                "step": step,
                "maxParallel": max_parallel,
            },
            may_repeat,
            within,
        )
        return str(found["jobArrayId"])

    def job_info(self, job: str, within: float | None = None) -> Doing[JobInfo]:
        """Return what is known of a job."""
        return msgspec.convert(
            (yield from self.call("GET", self.path("jobs", job), within=within)), JobInfo, strict=False
        )

    def act(self, job: str, verb: str) -> Doing[JobInfo]:
        """Hold, release, suspend, resume, terminate or reap a job."""
        return msgspec.convert(
            (yield from self.call("POST", self.path("jobs", job, verb))), JobInfo, strict=False
        )

    def wait(self, job: str, started: bool = False, timeout: float | None = None) -> Doing[JobInfo]:
        """Wait for a job's start or end; a node that restarts meanwhile is asked again.

        Raises ``DrmaaRemoteError`` (TimeoutException) when the time is over.
        """
        verb = "waitStarted" if started else "waitTerminated"
        return (yield from self._wait("GET", self.path("jobs", job, verb), None, timeout))

    def wait_any(
        self, jobs: Iterable[str], started: bool = False, timeout: float | None = None
    ) -> Doing[JobInfo]:
        """Wait for the first of several jobs."""
        verb = "waitAnyStarted" if started else "waitAnyTerminated"
        return (yield from self._wait("POST", self.path(verb), list(jobs), timeout))

    def _wait(self, method: str, path: str, jobs: list[str] | None, timeout: float | None) -> Doing[JobInfo]:
        until = None if timeout is None else self.clock() + timeout
        while True:
            left = POLL if until is None else min(max(until - self.clock(), 0.0), POLL)
            target = path if jobs is not None else f"{path}?timeout={left:.3f}"
            value = {"jobIds": jobs, "timeout": left} if jobs is not None else None
            try:
                found = yield from self.call(
                    method, target, value, True, None if until is None else left + 1, left + SLACK
                )
                return msgspec.convert(found, JobInfo, strict=False)
            except DrmaaRemoteError as error:
                # The end of one call of a longer wait, or too many calls that wait there just now.
                over = until is not None and self.clock() >= until
                if over or error.name not in ("TimeoutException", "TryLaterException"):
                    raise
                if error.name == "TryLaterException":
                    yield Sleep(error.retry_after or self.policy.most)

    # The rest.

    def jobs(
        self, states: Iterable[str] = (), filter_text: str = "", limit: int = 1000
    ) -> Doing[list[dict[str, Any]]]:
        """Return jobs in order of submission: the session's, or with a filter those of all sessions."""
        rows: list[dict[str, Any]] = []
        after: int | None = 0
        while after is not None and len(rows) < limit:
            query = [("after", str(after)), ("limit", str(min(limit - len(rows), 1000)))]
            query += [("state", state) for state in states]
            path = self.path("jobs")
            if filter_text:
                query, path = [*query, ("filter", filter_text)], "/drmaa2/monitor/jobs"
            page = yield from self.call("GET", f"{path}?{urlencode(query)}")
            rows += page["jobs"]
            after = page.get("next")
        return rows

    def events(
        self,
        cursor: str = "",
        timeout: float = POLL,
        limit: int = 100,
        events: Iterable[str] = (),
        job: str = "",
    ) -> Doing[EventPage]:
        """Return the next events after a cursor; ``now`` gives the present one."""
        query = [
            ("after", cursor),
            ("timeout", f"{timeout:.3f}"),
            ("limit", str(limit)),
            ("job", job),
            *(("event", name) for name in events),
        ]
        path = f"{self.path('events')}?{urlencode([(name, value) for name, value in query if value])}"
        return msgspec.convert((yield from self.call("GET", path, timeout=timeout + SLACK)), EventPage)

    def create_session(self, name: str, **settings: object) -> Doing[dict[str, Any]]:
        """Create a session."""
        found: dict[str, Any] = yield from self.call(
            "POST", "/drmaa2/sessions", {"sessionName": name, "settings": settings}
        )
        return found

    def destroy_session(self, name: str) -> Doing[None]:
        """Destroy a session."""
        yield from self.call("DELETE", f"/drmaa2/sessions/{quote(name, '')}")
