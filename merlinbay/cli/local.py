"""``merlinbay local``: a node with its front on and small executors, on loopback, in one process."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import trio

from merlinbay.clock import Clock
from merlinbay.config import Config, load
from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError
from merlinbay.executor.server import Executor
from merlinbay.executor.slots import Slots
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.node import run
from merlinbay.node_components import open_log

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "az": "local",
    "kinds": ["executor"],
    "discovery": "subscribe",
    # A command is run once: nothing is known of what it does, so nothing is ever repeated.
    "classes": [
        {"name": "batch", "aimUs": 1_000_000, "deadlineUs": 86_400_000_000, "worth": 1.0, "effect": "once"}
    ],
    "limits": {
        "cancelling": True,
        "secondCopies": False,
        "sendCap": 5,
        "retryAfter": True,
        "maxRetryAfterUs": 500_000,
    },
    "extra": {"tellsStart": True},
    "safety": {
        "drainGraceUs": 500_000,
        "coldFrom": 1.0,
        "coldUs": 0,
        "tipMultiple": 100.0,
        "overloadForUs": 2_000_000,
        "mustAskInUs": 10_000_000,
    },
}
OPERATOR = """\
[drmaa]
front = true
access.open = true
servers = true
body_kib = 1024
events.keep = 20_000
events.to = ["127.0.0.0/8"]
reservations.slots = {{ executor = {slots} }}

[drmaa.default]
backlog = true
jobs = 100_000

[log]
format = "{log_format}"
"""


class StaticDiscovery:
    """A discovery that always names the same executors."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.listing = json.dumps({"version": 1, "full": True, "servers": rows}).encode()

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer with the whole list; a watch waits for a change that does not come."""
        if "wait_ms=" in request.target:
            await trio.sleep(1.0)
        return Response(200, self.listing)

    def client_disconnected(self, connection: Connection) -> None:
        """Owe nothing."""


async def play(
    config: Config,
    counters: Counters,
    executors: int,
    slots: int,
    folder: Path,
    directory_sock: trio.socket.SocketType,
) -> None:
    """Run all of it in one nursery, until the node ends."""
    limits, log, clock = config.limits, open_log(config), Clock()
    async with trio.open_nursery() as nursery:
        rows = []
        for number in range(1, executors + 1):
            executor = Executor(f"local-{number}", Slots(slots), folder, limits, counters, log, clock)
            listener = Listener(executor, limits, counters, log)
            sock = await listener.bind("127.0.0.1", 0)
            rows.append(
                {
                    "id": executor.name,
                    "addr": f"127.0.0.1:{sock.getsockname()[1]}",
                    "zone": "local",
                    "kind": "executor",
                }
            )
            nursery.start_soon(executor.run)
            nursery.start_soon(listener.serve, sock)
        directory = Listener(StaticDiscovery(rows), limits, counters, log)
        nursery.start_soon(directory.serve, directory_sock)
        await run(config, counters)
        nursery.cancel_scope.cancel()


async def prepare(
    port: int, executors: int, slots: int, log_format: str, folder: Path, counters: Counters
) -> None:
    """Write the node's files, as an operator would, and start."""
    with tempfile.TemporaryDirectory(prefix="merlinbay-") as name, trio.socket.socket() as sock:
        await sock.bind(("127.0.0.1", 0))
        sock.listen(16)
        files = Path(name)
        (files / "operator.toml").write_text(OPERATOR.format(log_format=log_format, slots=slots))
        (files / "config.json").write_text(
            json.dumps(
                {
                    "name": "local",
                    "listen": f"127.0.0.1:{port}",
                    "seed": os.urandom(8).hex(),
                    "discovery": f"127.0.0.1:{sock.getsockname()[1]}",
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                }
            )
        )
        config = load({"LB_CONFIG": str(files / "config.json"), "LB_OPERATOR": str(files / "operator.toml")})
        config = replace(config, limits=prompt_stop(config.limits))
        print(
            f"merlinbay: local: {executors} executors of {slots} slots; jobs run in {folder}\n"
            f"merlinbay: submit with: merlinbay --url http://127.0.0.1:{port} job submit --wait -- sleep 1",
            file=sys.stderr,
            flush=True,
        )
        await play(config, counters, executors, slots, folder, sock)


def prompt_stop(limits: ResourceLimits) -> ResourceLimits:
    """Return limits for a node that a person ends by Ctrl-C: no front layer still sends clients to it."""
    return replace(
        limits,
        stop_serving_for_s=0.0,
        stop_arrivals_for_s=0.0,
        stop_responses_for_us=50_000,
        stop_timeout_s=1.0,
    )


def start(port: int, executors: int, slots: int, log_format: str, folder: Path) -> int:
    """Run until Ctrl-C; return the exit status."""
    try:
        trio.run(prepare, port, executors, slots, log_format, folder, Counters())
    except BaseExceptionGroup as group:
        bad = group.subgroup(ConfigurationError)
        if bad is None:
            raise
        print(f"merlinbay: {next(iter(bad.exceptions))}", file=sys.stderr)
        return 2
    except ConfigurationError as error:
        print(f"merlinbay: {error}", file=sys.stderr)
        return 2
    return 0
