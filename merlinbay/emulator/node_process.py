"""A node of the real program for the emulator: its settings and its process."""

from __future__ import annotations

import json
import os
import subprocess
from dataclasses import replace
from pathlib import Path
from typing import Any

import trio

from merlinbay.emulator.spec import Scenario
from merlinbay.http.client import ClientConnection, ConnectionBrokenError, RequestNotSentError
from merlinbay.limits import ResourceLimits

HOST = "127.0.0.2"
LIMITS = replace(
    ResourceLimits(),
    client_connections=4000,
    connect_timeout_s=0.5,
    client_idle_timeout_s=60.0,
    read_request_timeout_s=60.0,
)
START_TIMEOUT_S = 20.0
READY_POLL_S = 0.05


def settings_json(script: Scenario, me: int) -> dict[str, Any]:
    """Return the settings of a node's configuration file (WIRE, 12)."""
    job, hall, limits = script.job, script.hall, script.limits
    return {
        "az": hall.zones[0],
        "zones": hall.zones,
        "balancers": hall.nodes,
        "me": me,
        "discovery": "subscribe",
        "kinds": [kind.name for kind in hall.kinds],
        "classes": [
            {
                "name": job.name,
                "aimUs": int(job.aim * 1e6),
                "deadlineUs": int(job.deadline * 1e6),
                "worth": 1.0,
                "effect": job.effect,
                "group": job.group,
                "windowUs": int(job.window * 1e6),
            }
        ],
        "limits": {
            "cancelling": limits.cancelling,
            "secondCopies": limits.second_copies,
            "probes": False,
            "sendCap": limits.send_cap,
            "retryAfter": limits.max_retry_after > 0,
            "maxRetryAfterUs": int(limits.max_retry_after * 1e6),
            "dialTimeoutUs": int(script.net.dial_ms * 1000),
            "keepaliveUs": int(hall.keep_alive * 1e6),
            "mostHeld": 4000,
        },
        "report": {
            "how": "inline" if script.reports.on else "off",
            "fields": ["err_rps", "active", "x0", "x1"] if script.reports.on else [],
        },
        "extra": {
            "tellsStart": True,
            "queueOrder": hall.order,
            "classStretch": [job.stretch],
            "reportX0": "free slots",
            "reportX1": "free memory",
        },
        "safety": {
            "drainGraceUs": int(limits.drain_grace * 1e6),
            "coldFrom": hall.cold_from,
            "coldUs": int(hall.cold * 1e6),
            "tipMultiple": hall.tip,
            "overloadForUs": int(hall.tip_for * 1e6),
            "answerSlackUs": int(limits.answer_slack_ms * 1000),
            "mustAskInUs": 10_000_000,
        },
    }


async def start_node(
    command: list[str], configuration: dict[str, Any], folder: Path
) -> tuple[trio.Process, str]:
    """Start a node at a free port and wait until it is ready; return its process and its address."""
    with trio.socket.socket() as probe:
        await probe.bind((HOST, 0))
        port = probe.getsockname()[1]
    addr = f"{HOST}:{port}"
    path = folder / f"{configuration['name']}.json"
    path.write_text(json.dumps({**configuration, "listen": addr}))
    process = await trio.lowlevel.open_process(
        command,
        env={**os.environ, "LB_CONFIG": str(path), "LB_OPERATOR": ""},
        stderr=subprocess.DEVNULL,
    )
    with trio.fail_after(START_TIMEOUT_S):
        while not await _is_ready(addr):
            await trio.sleep(READY_POLL_S)
    return process, addr


async def _is_ready(addr: str) -> bool:
    try:
        connection = await ClientConnection.connect(addr, LIMITS)
    except RequestNotSentError:
        return False
    try:
        return (await connection.exchange("GET", "/-/ready", [])).status == 200
    except (RequestNotSentError, ConnectionBrokenError):
        return False
    finally:
        connection.close()
