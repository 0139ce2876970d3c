"""The platform's words on the wire, to and from the core's values."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from merlinbay.core.values import RequestSpec, ServiceEntry

STATES = {"SERVING": "up", "DRAINING": "draining", "DELETED": "removed"}
NAME = re.compile(r"[A-Za-z0-9._~-]{1,64}")
REPEAT_KEY = re.compile(r"[!-~]{0,255}")
DIGITS = re.compile(r"[0-9]{1,7}")
LOAD_NAMES = {
    "eps": "err_rps",
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "qps": "rps",
    "latency_ms": "avg_ms",
}


class BadRequestError(Exception):
    """A request that cannot be read."""


class Row(msgspec.Struct):
    """An entry of discovery's list."""

    id: str
    addr: str = ""  # Guards against a list thrown away for one entry that lacks it.
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: int = 0


class Listing(msgspec.Struct):
    """Discovery's answer."""

    version: int
    full: bool
    servers: list[Row]


class JobEvent(msgspec.Struct):
    """A call-back."""

    id: str
    server: str = msgspec.field(name="from")
    state: str
    share: float = 0.0
    result: Any = ""
    load: Any = None  # Guards against a report that makes no sense: the outcome beside it still counts.


read_listing = msgspec.json.Decoder(Listing).decode
read_job_event = msgspec.json.Decoder(JobEvent).decode


def entries(listing: Listing) -> list[ServiceEntry]:
    """Translate a list's entries.

    An unknown state counts as draining: nothing new goes there. So does an entry without an address.
    """
    return [
        ServiceEntry(
            row.id, row.addr, row.zone, row.kind, row.cell, state(row), row.weight, row.started_ms * 1000
        )
        for row in listing.servers
    ]


def state(row: Row) -> str:
    """Return the core's word for an entry's state."""
    known = STATES.get(row.state, "draining")
    return "draining" if known == "up" and not row.addr else known


def odd(listing: Listing) -> list[str]:
    """Return the entries with an unknown state or, while they are up, no address, one text each."""
    return [
        f"{row.id}: state {row.state!r}, address {row.addr!r}"
        for row in listing.servers
        if STATES.get(row.state) != state(row)
    ]


def result_bytes(result: Any) -> bytes:
    """Return the body that a result stands for."""
    return result.encode() if isinstance(result, str) else msgspec.json.encode(result)


def load_from(header: str) -> dict[str, float] | None:
    """Read ``inflight=7,queue=2``; what makes no sense is left out."""
    return named(pairs(header)) if header else None


def named(load: Any) -> dict[str, float] | None:
    """Name a load report's values as the settings do; what makes no sense is left out."""
    if not isinstance(load, dict):
        return None
    out: dict[str, float] = {}
    for name, value in load.items():
        try:
            out[LOAD_NAMES.get(str(name), str(name))] = float(value)
        except (TypeError, ValueError):
            continue
    return out


def pairs(text: str) -> dict[str, str]:
    """Read ``name=value,name=value``."""
    parts = (part.partition("=") for part in text.split(","))
    return {name.strip(): value.strip() for name, equals, value in parts if equals}


def job_spec(target: str, headers: Mapping[str, str], body: bytes, now_us: int) -> RequestSpec:
    """Read a client's request. Raises ``BadRequestError``."""
    name, path = headers.get("x-request-id", ""), target.partition("?")[0]
    if not NAME.fullmatch(name):  # it becomes part of a path
        raise BadRequestError("x-request-id")
    # Guards against a key that a real server cannot read: it would close the connection on it.
    if not REPEAT_KEY.fullmatch(headers.get("idempotency-key", "")):
        raise BadRequestError("idempotency-key")
    if not DIGITS.fullmatch(headers.get("x-timeout-ms", "")):
        raise BadRequestError("x-timeout-ms")
    path_class = path.strip("/").partition("/")[0]
    # Guards against a job that is held for one of a class which allows more repeats than its own.
    if (headers.get("x-priority-class") or path_class) != path_class:
        raise BadRequestError("x-priority-class differs from the path")
    try:
        extras = pairs(headers.get("x-attrs", ""))
        budget_ms = int(headers["x-timeout-ms"])
        slots = float(extras.get("slots", extras.get("needs", 1)))
        memory = float(extras.get("memory", extras.get("ramUnits", 0)))
        hint = int(float(headers.get("x-cost") or 0))
    except (KeyError, ValueError, OverflowError) as error:
        raise BadRequestError(str(error)) from None
    if not 0 < budget_ms <= 3_600_000:
        raise BadRequestError("x-timeout-ms")
    if not 0 <= slots < 1e6 or not 0 <= memory < 1e9:
        raise BadRequestError("x-attrs")
    return RequestSpec(
        name=name,
        job_class=path_class,
        arrived_at_us=now_us,
        time_budget_us=budget_ms * 1000,
        target=target,
        body=body,
        idempotency_key=headers.get("idempotency-key", ""),
        affinity_key=headers.get("x-route-key", ""),
        tenant=headers.get("x-tenant-id", ""),
        slots=slots,
        memory=memory,
        duration_hint_us=hint,
        is_retry=headers.get("x-retried") == "1",
    )
