"""The trio client: ``operations`` carried out by httpx."""

from __future__ import annotations

from collections.abc import Iterable
from types import TracebackType
from typing import Any, TypeVar

import httpx
import trio

from merlinbay.client.operations import POLL, Ask, ClientReply, Doing, EventPage, Failed, Operations
from merlinbay.client.policy import Policy
from merlinbay.client.transport import Door, failed, timeout_of
from merlinbay.drmaa.schema import JobInfo, JobTemplate

T = TypeVar("T")


class AsyncClient:
    """A client of one front, with kept connections. For trio; any number of tasks may use it."""

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
        self.http = httpx.AsyncClient(
            base_url=url, headers=door.headers(), verify=door.verify(), trust_env=False
        )

    async def __aenter__(self) -> AsyncClient:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close its connections."""
        await self.http.aclose()

    async def _do(self, doing: Doing[T]) -> T:
        """Carry an operation out."""
        got: ClientReply | Failed | None = None
        while True:
            try:
                step = doing.send(got)
            except StopIteration as end:
                found: T = end.value
                return found
            if isinstance(step, Ask):
                got = await self._exchange(step)
            else:
                got = None
                await trio.sleep(step.seconds)

    async def _exchange(self, ask: Ask) -> ClientReply | Failed:
        try:
            answer = await self.http.request(ask.method, ask.path, content=ask.body, timeout=timeout_of(ask))
            return ClientReply(answer.status_code, answer.content)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return failed(error)

    async def call(
        self,
        method: str,
        path: str,
        value: object = None,
        harmless: bool | None = None,
        within: float | None = None,
    ) -> Any:
        """Have one call of the binding; return the answer's JSON."""
        return await self._do(self.operations.call(method, path, value, harmless, within))

    async def run_job(
        self, template: JobTemplate, within: float | None = None, may_repeat: bool = False
    ) -> str:
        """Submit; return the job's id. ``within``: seconds in which refusals are waited out."""
        return await self._do(self.operations.run_job(template, within, may_repeat))

    async def run_bulk_jobs(
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
        return await self._do(
            self.operations.run_bulk_jobs(template, begin, end, step, max_parallel, within, may_repeat)
        )

    async def job_info(self, job: str, within: float | None = None) -> JobInfo:
        """Return what is known of a job."""
        return await self._do(self.operations.job_info(job, within))

    async def wait_started(self, job: str, timeout: float | None = None) -> JobInfo:
        """Wait for a job's start."""
        return await self._do(self.operations.wait(job, True, timeout))

    async def wait_terminated(self, job: str, timeout: float | None = None) -> JobInfo:
        """Wait for a job's end."""
        return await self._do(self.operations.wait(job, False, timeout))

    async def wait_any(
        self, jobs: Iterable[str], started: bool = False, timeout: float | None = None
    ) -> JobInfo:
        """Wait for the first of several jobs."""
        return await self._do(self.operations.wait_any(jobs, started, timeout))

    async def act(self, job: str, verb: str) -> JobInfo:
        """Hold, release, suspend, resume, terminate or reap a job."""
        return await self._do(self.operations.act(job, verb))

    async def jobs(
        self, states: Iterable[str] = (), filter_text: str = "", limit: int = 1000
    ) -> list[dict[str, Any]]:
        """Return jobs: the session's, or with a filter those of all sessions."""
        return await self._do(self.operations.jobs(states, filter_text, limit))

    async def events(
        self,
        cursor: str = "",
        timeout: float = POLL,
        limit: int = 100,
        events: Iterable[str] = (),
        job: str = "",
    ) -> EventPage:
        """Return the next events after a cursor; ``now`` gives the present one."""
        return await self._do(self.operations.events(cursor, timeout, limit, events, job))

    async def create_session(self, name: str, **settings: object) -> dict[str, Any]:
        """Create a session."""
        return await self._do(self.operations.create_session(name, **settings))

    async def destroy_session(self, name: str) -> None:
        """Destroy a session."""
        await self._do(self.operations.destroy_session(name))
