"""The platform's wire: its names are mapped to the core's values here."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from merlinbay.core.values import RequestSpec, ServiceEntry

STATES = {  # of an entry: on the wire, in the core
    "SERVING": "up",
    "DRAINING": "draining",
    "DELETED": "removed",
}
NAME = re.compile(r"[A-Za-z0-9._~-]{1,64}")
REPEAT_KEY = re.compile(r"[!-~]{0,255}")
DIGITS = re.compile(r"[0-9]{1,7}")
MAX_BUDGET_MS = 3_600_000  # of a request
LOAD_NAMES = {  # of a load report's values: on the wire, in the settings
    "eps": "err_rps",
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "qps": "rps",
    "latency_ms": "avg_ms",
}


class BadRequestError(Exception):
    """A client's request is malformed; the text names what is wrong."""


class Row(msgspec.Struct):
    """An entry of the endpoint list."""

    id: str
    addr: str = ""  # Guards against a list thrown away for one entry that lacks it.
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: int = 0


class Listing(msgspec.Struct):
    """An answer of discovery: the whole list, or the entries that have changed."""

    version: int
    full: bool
    servers: list[Row]


class JobEvent(msgspec.Struct):
    """A call-back: what has become of a job."""

    id: str
    server: str = msgspec.field(name="from")
    state: str
    share: float = 0.0
    result: Any = ""
    load: Any = None  # Guards against a malformed report: the outcome beside it still counts.


read_listing = msgspec.json.Decoder(Listing).decode
read_job_event = msgspec.json.Decoder(JobEvent).decode


def entries(listing: Listing) -> list[ServiceEntry]:
    """Translate a list's entries.

    An entry with an unknown state or without an address counts as draining.
    """
    return [
        ServiceEntry(
            row.id, row.addr, row.zone, row.kind, row.cell, _state(row), row.weight, row.started_ms * 1000
        )
        for row in listing.servers
    ]


def _state(row: Row) -> str:
    """Return the core's name of an entry's state."""
    known = STATES.get(row.state, "draining")
    return "draining" if known == "up" and not row.addr else known


def malformed_entries(listing: Listing) -> list[str]:
    """Return a text for each entry with an unknown state, and each that is up without an address."""
    return [
        f"{row.id}: state {row.state!r}, address {row.addr!r}"
        for row in listing.servers
        if STATES.get(row.state) != _state(row)
    ]


def result_bytes(result: Any) -> bytes:
    """Return the response body for a result."""
    return result.encode() if isinstance(result, str) else msgspec.json.encode(result)


def read_load_header(header: str) -> dict[str, float] | None:
    """Read ``inflight=7,queue=2``; malformed values are left out."""
    return read_load(pairs(header)) if header else None


def read_load(load: Any) -> dict[str, float] | None:
    """Return a load report by the settings' names; malformed values are left out."""
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


def request_spec(target: str, headers: Mapping[str, str], body: bytes, arrived_us: int) -> RequestSpec:
    """Read a client's request. Raises ``BadRequestError``."""
    name, path = headers.get("x-request-id", ""), target.partition("?")[0]
    request_class = path.strip("/").partition("/")[0]
    _check_headers(headers, request_class)
    try:
        extras = pairs(headers.get("x-attrs", ""))
        budget_ms = int(headers["x-timeout-ms"])
        slots = float(extras.get("slots", extras.get("needs", 1)))
        memory = float(extras.get("memory", extras.get("ramUnits", 0)))
        hint_us = int(float(headers.get("x-cost") or 0))
    except (KeyError, ValueError, OverflowError) as error:
        raise BadRequestError(str(error)) from None
    if not 0 < budget_ms <= MAX_BUDGET_MS:
        raise BadRequestError("x-timeout-ms")
    if not 0 <= slots < 1e6 or not 0 <= memory < 1e9:
        raise BadRequestError("x-attrs")
    return RequestSpec(
        name=name,
        job_class=request_class,
        arrived_at_us=arrived_us,
        time_budget_us=budget_ms * 1000,
        target=target,
        body=body,
        idempotency_key=headers.get("idempotency-key", ""),
        affinity_key=headers.get("x-route-key", ""),
        tenant=headers.get("x-tenant-id", ""),
        slots=slots,
        memory=memory,
        duration_hint_us=hint_us,
        is_retry=headers.get("x-retried") == "1",
    )


def _check_headers(headers: Mapping[str, str], request_class: str) -> None:
    """Check the headers' form. Raises ``BadRequestError``."""
    if not NAME.fullmatch(headers.get("x-request-id", "")):  # it becomes part of a path
        raise BadRequestError("x-request-id")
    # Guards against a key that a server cannot read: it would close the connection.
    if not REPEAT_KEY.fullmatch(headers.get("idempotency-key", "")):
        raise BadRequestError("idempotency-key")
    if not DIGITS.fullmatch(headers.get("x-timeout-ms", "")):
        raise BadRequestError("x-timeout-ms")
    # Guards against a request that is taken for one of a class with more retries than its own.
    if (headers.get("x-priority-class") or request_class) != request_class:
        raise BadRequestError("x-priority-class differs from the path")
