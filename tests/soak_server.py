"""A server of the soak, which takes jobs, with faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from merlinbay.counters import Counters
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.log import Log
from tests.duplicate_judge import ArrivedAttempt, Executor
from tests.net import LIMITS, LOAD_REPORT, bind_loopback
from tests.soak_day import JobFault

if TYPE_CHECKING:
    from tests.soak_world import SoakWorld

RUN_S = (0.02, 0.15)  # what a job takes


class SoakServer:
    """A server that takes jobs, with faults."""

    def __init__(self, world: SoakWorld, name: str) -> None:
        self.world, self.name, self.sock = world, name, bind_loopback()
        self.sock.listen(64)
        self.executor = Executor(name, "hall-a", 0)
        self.attempts: dict[str, ArrivedAttempt] = {}
        self.open: dict[Connection, str] = {}  # jobs without a 202 yet

    @property
    def addr(self) -> str:
        """Return where it listens."""
        return f"127.0.0.2:{self.sock.getsockname()[1]}"

    async def serve(self) -> None:
        """Serve for ever."""
        await Listener(self, LIMITS, Counters(), Log(1)).serve(trio.socket.from_stdlib_socket(self.sock))

    def client_disconnected(self, connection: Connection) -> None:
        """Take it that the node has closed a connection before the 202."""
        if (name := self.open.pop(connection, "")) in self.attempts:
            self.world.judge.given_up(self.attempts[name])

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Take a job, or a cancel."""
        world = self.world
        if request.method == "DELETE":
            attempt = self.attempts.get(request.target.rpartition("/")[2])
            if attempt is not None:
                world.judge.given_up(attempt)
            return Response(200)
        if request.method != "POST":
            return Response(404)
        name = request.headers["x-request-id"]
        world.arrived(self.name)
        attempt = self.attempts[name] = world.judge.arrived(name, self.executor, world.now())
        self.open[connection] = name
        response = await self._take(connection, name, attempt, world.job_fault())
        self.open.pop(connection, None)
        return response

    async def _take(
        self, connection: Connection, name: str, attempt: ArrivedAttempt, fault: JobFault
    ) -> Response | None:
        judge = self.world.judge
        if fault is JobFault.HANDED_BACK:
            judge.ended(attempt, never_ran=True)
            return Response(503, headers=[(b"x-not-processed", b"1")])
        if fault is JobFault.FAILED:
            judge.ended(attempt)
            return Response(500)
        if fault is JobFault.RESET:
            judge.ended(attempt)
            connection.scope.cancel()
            return None
        if fault is not JobFault.HUNG:
            self.world.nursery.start_soon(self._run, name, attempt)
        return Response(202)

    async def _run(self, name: str, attempt: ArrivedAttempt) -> None:
        world = self.world
        await world.call_back({"id": name, "from": self.name, "state": "started"})
        await trio.sleep(world.rng.uniform(*RUN_S))
        if attempt.out:
            world.judge.ended(attempt)
            done = {"id": name, "from": self.name, "state": "done", "result": f"{self.name}:{name}"}
            await world.call_back({**done, "load": LOAD_REPORT})
