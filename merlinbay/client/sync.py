"""The sync client: ``operations`` carried out by httpx."""

from __future__ import annotations

import time
from collections.abc import Iterable
from types import TracebackType
from typing import Any, TypeVar

import httpx

from merlinbay.client.operations import POLL, Ask, ClientReply, Doing, EventPage, Failed, Operations
from merlinbay.client.policy import Policy
from merlinbay.client.transport import Door, failed, timeout_of
from merlinbay.drmaa.schema import JobInfo, JobTemplate

T = TypeVar("T")


class Client:
    """A client of one front, with kept connections. Not for several threads at once."""

    def __init__(
        self,
        url: str,
        session: str = "default",
        token: str = "",
        ca: str = "",
        certificate: str = "",
        policy: Policy | None = None,
    ) -> None:
        door = Door(url, token, ca, certificate)
        self.operations = Operations(session, policy or Policy())
        self.http = httpx.Client(base_url=url, headers=door.headers(), verify=door.verify(), trust_env=False)

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close its connections."""
        self.http.close()

    def _do(self, doing: Doing[T]) -> T:
        """Carry an operation out."""
        got: ClientReply | Failed | None = None
        while True:
            try:
                step = doing.send(got)
            except StopIteration as end:
                found: T = end.value
                return found
            if isinstance(step, Ask):
                got = self._exchange(step)
            else:
                got = None
                time.sleep(step.seconds)

    def _exchange(self, ask: Ask) -> ClientReply | Failed:
        try:
            answer = self.http.request(ask.method, ask.path, content=ask.body, timeout=timeout_of(ask))
            return ClientReply(answer.status_code, answer.content)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return failed(error)

    def call(
        self,
        method: str,
        path: str,
        value: object = None,
        harmless: bool | None = None,
        within: float | None = None,
    ) -> Any:
        """Have one call of the binding; return the answer's JSON."""
        return self._do(self.operations.call(method, path, value, harmless, within))

    def run_job(self, template: JobTemplate, within: float | None = None, may_repeat: bool = False) -> str:
        """Submit; return the job's id. ``within``: seconds in which refusals are waited out."""
        return self._do(self.operations.run_job(template, within, may_repeat))

    def run_bulk_jobs(
        self,
        template: JobTemplate,
        begin: int,
        end: int,
        step: int = 1,
        max_parallel: int = 0,
        within: float | None = None,
        may_repeat: bool = False,
    ) -> str:
        """Submit an array; return its id."""
        return self._do(
            self.operations.run_bulk_jobs(template, begin, end, step, max_parallel, within, may_repeat)
        )

    def job_info(self, job: str, within: float | None = None) -> JobInfo:
        """Return what is known of a job."""
        return self._do(self.operations.job_info(job, within))

    def wait_started(self, job: str, timeout: float | None = None) -> JobInfo:
        """Wait for a job's start."""
        return self._do(self.operations.wait(job, True, timeout))

    def wait_terminated(self, job: str, timeout: float | None = None) -> JobInfo:
        """Wait for a job's end."""
        return self._do(self.operations.wait(job, False, timeout))

    def wait_any(self, jobs: Iterable[str], started: bool = False, timeout: float | None = None) -> JobInfo:
        """Wait for the first of several jobs."""
        return self._do(self.operations.wait_any(jobs, started, timeout))

    def act(self, job: str, verb: str) -> JobInfo:
        """Hold, release, suspend, resume, terminate or reap a job."""
        return self._do(self.operations.act(job, verb))

    def jobs(
        self, states: Iterable[str] = (), filter_text: str = "", limit: int = 1000
    ) -> list[dict[str, Any]]:
        """Return jobs: the session's, or with a filter those of all sessions."""
        return self._do(self.operations.jobs(states, filter_text, limit))

    def events(
        self,
        cursor: str = "",
        timeout: float = POLL,
        limit: int = 100,
        events: Iterable[str] = (),
        job: str = "",
    ) -> EventPage:
        """Return the next events after a cursor; ``now`` gives the present one."""
        return self._do(self.operations.events(cursor, timeout, limit, events, job))

    def create_session(self, name: str, **settings: object) -> dict[str, Any]:
        """Create a session."""
        return self._do(self.operations.create_session(name, **settings))

    def destroy_session(self, name: str) -> None:
        """Destroy a session."""
        self._do(self.operations.destroy_session(name))
