"""Schedulers that run every job at once, or refuse every job, and a discovery that names them."""

from __future__ import annotations

import json
import sys
from dataclasses import replace

import trio

from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.pool import ConnectionPool, OutgoingRequest
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

LIMITS = replace(ResourceLimits(), client_connections=4000, server_connections=4000)


class Scheduler:
    """Takes a job, and tells at once that it runs and that it is done; or refuses it."""

    def __init__(self, name: str, mode: str, nursery: trio.Nursery, pool: ConnectionPool) -> None:
        self.name, self.mode, self.nursery, self.pool, self.count = name, mode, nursery, pool, 0

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a call."""
        if request.target != "/drmaa2/jobs":
            return Response(200, b"{}")
        if self.mode == "refuse":
            return Response(503, b'{"exception":"TryLaterException"}')
        call = json.loads(request.body)
        self.count += 1
        self.nursery.start_soon(self.run, call["jobTemplate"]["jobName"], str(self.count), call["notify"])
        return Response(201, json.dumps({"jobId": str(self.count), "jobState": "QUEUED"}).encode())

    async def run(self, name: str, job_id: str, notify: str) -> None:
        """Tell of a job."""
        addr, _, path = notify.removeprefix("http://").partition("/")
        if addr not in self.pool.servers:
            self.pool.update_endpoints("changes", [ServiceEntry(addr, addr)])
        for state in ("RUNNING", "DONE"):
            note = {
                "event": "NEW_STATE",
                "sessionName": self.name,
                "jobName": name,
                "jobState": state,
                "jobId": job_id,
                "jobInfo": {"jobId": job_id, "jobState": state, "exitStatus": 0},
            }
            await self.pool.exchange(
                addr, OutgoingRequest("POST", f"/{path}", body=json.dumps(note).encode())
            )

    def client_disconnected(self, connection: Connection) -> None:
        """Owe nothing."""


class Discovery:
    """Names the schedulers."""

    def __init__(self) -> None:
        self.rows: list[dict[str, object]] = []

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer with the list."""
        if "wait_ms" in request.target:
            await trio.sleep(1)
        return Response(200, json.dumps({"version": 1, "full": True, "servers": self.rows}).encode())

    def client_disconnected(self, connection: Connection) -> None:
        """Owe nothing."""


async def serve(number: int, mode: str) -> None:
    """Serve until killed."""
    counters, log, discovery = Counters(), Log(5), Discovery()
    async with trio.open_nursery() as nursery:
        pool = ConnectionPool(LIMITS, counters)
        for index in range(number):
            listener = Listener(Scheduler(f"s-{index}", mode, nursery, pool), LIMITS, counters, log)
            sock = await listener.bind("127.0.0.1", 0)
            discovery.rows.append(
                {"id": f"s-{index}", "addr": f"127.0.0.1:{sock.getsockname()[1]}", "zone": "z", "kind": "k"}
            )
            nursery.start_soon(listener.serve, sock)
        listener = Listener(discovery, LIMITS, counters, log)
        sock = await listener.bind("127.0.0.1", 0)
        nursery.start_soon(listener.serve, sock)
        print(f"127.0.0.1:{sock.getsockname()[1]}", flush=True)


if __name__ == "__main__":
    trio.run(serve, int(sys.argv[1]), sys.argv[2])
