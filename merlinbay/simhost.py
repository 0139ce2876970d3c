"""The simulator's wire: decodes lines of JSON as events and encodes actions, with a balancer per instance.

This module maps the names of the wire and decides nothing. Unknown names and fields are ignored. A malformed
setting or an exception becomes a fault of its instance. A batch is opened by a ``Mark`` line and closed by a
``Commit`` line; any other sequence of lines ends the process with status 2.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

import msgspec

from merlinbay.decision.actions import (
    Action,
    Cancel,
    CheckHealth,
    Dispatch,
    Fail,
    LogNotice,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from merlinbay.decision.balancer import Balancer
from merlinbay.decision.events import (
    AttemptEnded,
    CallFailure,
    ClientDisconnected,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionProgressed,
    ExecutionStarted,
    HealthCheckEnded,
    RequestReceived,
    StreamStarted,
    TimerFired,
)
from merlinbay.site_settings import as_float, as_int, as_text, settings_from

# Bits of ``attrs``, and values of ``kind``.
ATTR_HAS_COST = 1
ATTR_RETRIED = 2
UPDATE_STARTED = 1
UPDATE_PROGRESS = 2


class WireLine(msgspec.Struct, gc=False, rename="camel"):
    """Any line of a batch. It has the fields of all events, and all of them are optional."""

    what: str = ""
    wall_us: Any = None
    scheduler: Any = None
    msg_id: Any = None
    attempt: Any = None
    worker: Any = None
    status: Any = None
    cost_time_us: Any = None
    last: Any = None
    gauge: Any = None
    kind: Any = None
    value: Any = None
    attrs: Any = None
    needs: Any = None
    time_budget_us: Any = None
    team: Any = None
    key: Any = None
    tier_class: Any = None
    ram_units: Any = None
    cost_us: Any = None
    ref: Any = None
    scope: Any = None
    rows: Any = None
    salt: Any = None
    conf: Any = None


class MalformedInputError(Exception):
    """The input is not a sequence of closed batches."""


def _endpoints_changed(line: WireLine) -> EndpointsChanged:
    entries = []
    for row in line.rows if isinstance(line.rows, list) else []:
        if isinstance(row, dict) and isinstance(row.get("worker"), str):
            entries.append(
                EndpointEntry(
                    endpoint=row["worker"],
                    zone=as_text(row.get("locality")),
                    kind=as_text(row.get("hw")),
                    cell=as_int(row.get("pack")),
                    state=as_text(row.get("state")) or "up",
                    share=as_float(row.get("share"), 1.0),
                    ready_at_us=as_int(row.get("readyAtUs")),
                )
            )
    # The wire does not say how a poll has failed.
    return EndpointsChanged(as_text(line.scope), entries, failure=CallFailure.UNREACHABLE)


def _request_received(line: WireLine) -> RequestReceived:
    attrs = line.attrs or 0
    return RequestReceived(
        line.msg_id,
        line.tier_class,
        as_int(line.time_budget_us),
        as_float(line.needs, 1.0),
        as_float(line.ram_units),
        line.key or "",
        line.team if isinstance(line.team, str) else "",
        bool(attrs & ATTR_RETRIED),
        as_int(line.cost_us) if attrs & ATTR_HAS_COST else 0,
    )


def _attempt_ended(line: WireLine) -> AttemptEnded:
    return AttemptEnded(
        line.msg_id,
        line.attempt,
        line.status,
        line.cost_time_us or 0,
        line.last is True,
        line.gauge if isinstance(line.gauge, list) else None,
        line.worker or "",
    )


def _execution_event(line: WireLine) -> Event | None:
    if line.kind == UPDATE_STARTED:
        return ExecutionStarted(line.msg_id, line.attempt)
    if line.kind == UPDATE_PROGRESS:
        return ExecutionProgressed(line.msg_id, line.attempt, as_float(line.value))
    return None


# Messages between balancers. Their contents are not used, but the balancer is called for their batch.
IGNORED = {"Mail"}

DECODERS: dict[str, Callable[[WireLine], Event | None]] = {
    "View": _endpoints_changed,
    "Req": _request_received,
    "Ended": _attempt_ended,
    "UpdateOf": _execution_event,
    "Withdrawn": lambda line: ClientDisconnected(line.msg_id),
    "Flowing": lambda line: StreamStarted(line.msg_id, line.attempt),
    "PingResult": lambda line: HealthCheckEnded(
        as_text(line.worker),
        as_int(line.status),
        as_int(line.cost_time_us),
        line.gauge if isinstance(line.gauge, list) else None,
    ),
    "Reminder": lambda line: TimerFired(as_text(line.ref)),
}

_encode_json = msgspec.json.encode


def encode(instance: str, action: Action) -> bytes:
    """Return the line for an action."""
    line: dict[str, object] = {"what": "", "scheduler": instance}
    match action:
        case Dispatch():
            line |= {"what": "Place", "msgId": action.id, "worker": action.endpoint}
            if action.timeout_us:
                line["capUs"] = action.timeout_us
        case Cancel():
            line |= {"what": "CallOff", "msgId": action.id, "attempt": action.attempt}
        case Reject():
            line |= {"what": "PushBack", "msgId": action.id, "retryAfterUs": action.retry_after_us}
        case Fail():
            line |= {"what": "EndFailed", "msgId": action.id}
        case SetTimer():
            line |= {"what": "Schedule", "inUs": action.in_us, "ref": action.token}
        case CheckHealth():
            line |= {"what": "Inspect", "worker": action.endpoint}
        case WatchEndpoints():
            line |= {"what": "StreamChanges", "enable": True}
        case LogNotice():
            line |= {"what": "WriteLog", "reasonText": action.text}
    return _encode_json(line)


class InstanceHost:
    """Holds the balancer of each instance and replies to batches."""

    def __init__(self) -> None:
        self.balancers: dict[str, Balancer | None] = {}  # balancers by instance; None after a fault

    def reply(self, now_us: int, batch: list[WireLine]) -> bytes:
        """Return the reply to a batch: the actions of all instances that it names."""
        lines: list[bytes] = []
        pending: dict[str, list[Event]] = {}
        for line in batch:
            instance = line.scheduler
            if not isinstance(instance, str):
                continue
            if line.what == "PowerOff":
                self._decide(now_us, instance, pending.pop(instance, None), lines)
                self.balancers.pop(instance, None)
            elif line.what == "Create":
                self._create(now_us, instance, line, lines)
            elif line.what in IGNORED and self.balancers.get(instance) is not None:
                pending.setdefault(instance, [])
            elif line.what in DECODERS and self.balancers.get(instance) is not None:
                try:
                    event = DECODERS[line.what](line)
                except (TypeError, ValueError):  # Skipped, as is an event for an unknown request.
                    continue
                if event is not None:
                    pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            self._decide(now_us, instance, events, lines)
        lines.append(b'{"what":"Eor"}\n')
        return b"\n".join(lines)

    def _create(self, now_us: int, instance: str, line: WireLine, lines: list[bytes]) -> None:
        try:
            self.balancers[instance] = Balancer(settings_from(line.conf), as_int(line.salt), now_us)
        except Exception as error:
            self._fault(instance, error, lines)

    def _decide(self, now_us: int, instance: str, events: list[Event] | None, lines: list[bytes]) -> None:
        balancer = self.balancers.get(instance)
        if balancer is None or events is None:
            return
        try:
            lines.extend([encode(instance, action) for action in balancer.handle(now_us, events)])
        except Exception as error:
            self._fault(instance, error, lines)

    def _fault(self, instance: str, error: Exception, lines: list[bytes]) -> None:
        traceback.print_exception(error, file=sys.stderr)
        self.balancers[instance] = None
        reason = f"{type(error).__name__}: {error}".splitlines()[0]
        lines.append(_encode_json({"what": "Fault", "scheduler": instance, "reasonText": reason}))


def batches(source: BinaryIO) -> Iterator[tuple[int, list[WireLine]]]:
    """Read closed batches from a stream of lines, each with the time of its opening line."""
    decode = msgspec.json.Decoder(WireLine).decode
    number, now_us = 0, 0
    batch: list[WireLine] | None = None
    for raw in source:
        number += 1
        if raw.isspace():
            continue
        try:
            line = decode(raw)
        except msgspec.DecodeError as error:
            raise MalformedInputError(f"line {number}: {error}") from None
        if line.what == "Mark":
            if batch is not None or not isinstance(line.wall_us, int):
                raise MalformedInputError(f"line {number}: a batch is opened inside another, or has no clock")
            now_us, batch = line.wall_us, []
        elif batch is None:
            raise MalformedInputError(f"line {number}: not inside a batch")
        elif line.what == "Commit":
            yield now_us, batch
            batch = None
        else:
            batch.append(line)
    if batch is not None:
        raise MalformedInputError(f"line {number}: the input ends inside a batch")


def main() -> int:
    """Reply to batches on standard output until the input ends. Return the exit status."""
    host = InstanceHost()
    try:
        for now_us, batch in batches(sys.stdin.buffer):
            sys.stdout.buffer.write(host.reply(now_us, batch))
            sys.stdout.buffer.flush()
    except MalformedInputError as error:
        print(f"merlinbay: bad input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
