"""The platform's wire format: decodes its messages and translates its names to the core's values.

The adapters of clients, servers and discovery call it. A malformed client request raises ``BadRequestError``.
Unknown states, missing addresses and malformed load values do not make the rest of a message invalid.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from merlinbay.core.values import RequestSpec, ServiceEntry

STATES = {  # states of an endpoint list entry: the wire's name to the core's name
    "SERVING": "up",
    "DRAINING": "draining",
    "DELETED": "removed",
}
REQUEST_ID = re.compile(r"[A-Za-z0-9._~-]{1,64}")
IDEMPOTENCY_KEY = re.compile(r"[!-~]{0,255}")
DIGITS = re.compile(r"[0-9]{1,7}")
ENTRY_KEY = b'"id"'  # each entry of a list has it once
MAX_TIME_BUDGET_MS = 3_600_000
LOAD_NAMES = {  # names of a load report's values: the wire's name to the settings' name
    "eps": "err_rps",
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "qps": "rps",
    "latency_ms": "avg_ms",
}


class BadRequestError(Exception):
    """A client's request is malformed. The text names the header that is wrong."""


class ListedServer(msgspec.Struct):
    """One entry of the endpoint list."""

    id: str
    addr: str = ""  # optional, so that one entry without it does not make the list invalid
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: int = 0


class Listing(msgspec.Struct):
    """Discovery's answer to a poll: the whole list, or the entries that have changed."""

    version: int
    full: bool
    servers: list[ListedServer]


class JobEvent(msgspec.Struct):
    """A server's callback: a new state of a job."""

    id: str
    server: str = msgspec.field(name="from")
    state: str
    share: float = 0.0
    result: Any = ""
    load: Any = None  # of any type, so that a malformed report does not make the state invalid


read_listing = msgspec.json.Decoder(Listing).decode
read_job_event = msgspec.json.Decoder(JobEvent).decode


def read_limited_listing(body: bytes, max_entries: int) -> Listing:
    """Read an answer of discovery. Raises ``msgspec.DecodeError``, also if it has too many entries."""
    # Counted in the bytes: the entries of a list that is far too long would fill the memory.
    count = body.count(ENTRY_KEY)
    if count > max_entries:
        raise msgspec.ValidationError(f"expected at most {max_entries} entries, got {count}")
    return read_listing(body)


def entries(listing: Listing) -> list[ServiceEntry]:
    """Translate the entries of a list.

    An entry with an unknown state or without an address counts as draining.
    """
    return [
        ServiceEntry(
            listed.id,
            listed.addr,
            listed.zone,
            listed.kind,
            listed.cell,
            _state(listed),
            listed.weight,
            listed.started_ms * 1000,
        )
        for listed in listing.servers
    ]


def _state(listed: ListedServer) -> str:
    """Return the core's name of an entry's state."""
    state = STATES.get(listed.state, "draining")
    return "draining" if state == "up" and not listed.addr else state


def malformed_entries(listing: Listing) -> list[str]:
    """Return a text for each entry that has an unknown state, or is up without an address."""
    return [
        f"{listed.id}: state {listed.state!r}, address {listed.addr!r}"
        for listed in listing.servers
        if STATES.get(listed.state) != _state(listed)
    ]


def result_bytes(result: Any) -> bytes:
    """Return the response body for a callback's result."""
    return result.encode() if isinstance(result, str) else msgspec.json.encode(result)


def read_load_header(header: str) -> dict[str, float] | None:
    """Read a load report like ``inflight=7,queue=2``; malformed values are left out."""
    return read_load(parse_pairs(header)) if header else None


def read_load(load: Any) -> dict[str, float] | None:
    """Return a load report with the settings' names; malformed values are left out."""
    if not isinstance(load, dict):
        return None
    report: dict[str, float] = {}
    for name, value in load.items():
        try:
            report[LOAD_NAMES.get(str(name), str(name))] = float(value)
        except (TypeError, ValueError):
            continue
    return report


def parse_pairs(text: str) -> dict[str, str]:
    """Parse a header like ``name=value,name=value``."""
    parts = (part.partition("=") for part in text.split(","))
    return {name.strip(): value.strip() for name, equals, value in parts if equals}


def request_spec(target: str, headers: Mapping[str, str], body: bytes, arrived_us: int) -> RequestSpec:
    """Read a client's request. Raises ``BadRequestError``."""
    name, path = headers.get("x-request-id", ""), target.partition("?")[0]
    request_class = path.strip("/").partition("/")[0]
    _check_headers(headers, request_class)
    try:
        extras = parse_pairs(headers.get("x-attrs", ""))
        budget_ms = int(headers["x-timeout-ms"])
        slots = float(extras.get("slots", extras.get("needs", 1)))
        memory = float(extras.get("memory", extras.get("ramUnits", 0)))
        hint_us = int(float(headers.get("x-cost") or 0))
    except (KeyError, ValueError, OverflowError) as error:
        raise BadRequestError(str(error)) from None
    if not 0 < budget_ms <= MAX_TIME_BUDGET_MS:
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
    if not REQUEST_ID.fullmatch(headers.get("x-request-id", "")):  # it becomes part of a path, in a DELETE
        raise BadRequestError("x-request-id")
    # A key that a server cannot read would make it close the connection.
    if not IDEMPOTENCY_KEY.fullmatch(headers.get("idempotency-key", "")):
        raise BadRequestError("idempotency-key")
    if not DIGITS.fullmatch(headers.get("x-timeout-ms", "")):
        raise BadRequestError("x-timeout-ms")
    # A request must not be treated as one of another class, which may allow more retries.
    if (headers.get("x-priority-class") or request_class) != request_class:
        raise BadRequestError("x-priority-class differs from the path")
