"""The simulator's wire: frames to and from the types of ``api.py``, one Balancer an instance.

Decides nothing. Unknown names and fields are skipped; a malformed setting or an exception becomes a
fault of that instance; input that is not a closed JSON batch ends the process with status 2.
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
from merlinbay.site_settings import int_of, num_of, settings_from, str_of


class Wire(msgspec.Struct, gc=False):
    """Any line of a batch: every field of every event that is read, all of them optional."""

    what: str = ""
    wallUs: Any = None  # noqa: N815
    scheduler: Any = None
    msgId: Any = None  # noqa: N815
    attempt: Any = None
    worker: Any = None
    status: Any = None
    costTimeUs: Any = None  # noqa: N815
    last: Any = None
    gauge: Any = None
    kind: Any = None
    value: Any = None
    attrs: Any = None
    needs: Any = None
    timeBudgetUs: Any = None  # noqa: N815
    team: Any = None
    key: Any = None
    tierClass: Any = None  # noqa: N815
    ramUnits: Any = None  # noqa: N815
    costUs: Any = None  # noqa: N815
    ref: Any = None
    scope: Any = None
    rows: Any = None
    salt: Any = None
    conf: Any = None
    sender: Any = None
    body: Any = None


class MalformedInputError(Exception):
    """The input is not a sequence of closed batches."""


def _list_changed(line: Wire) -> EndpointsChanged:
    entries = []
    for row in line.rows if isinstance(line.rows, list) else []:
        if isinstance(row, dict) and isinstance(row.get("worker"), str):
            entries.append(
                EndpointEntry(
                    endpoint=row["worker"],
                    zone=str_of(row.get("locality")),
                    kind=str_of(row.get("hw")),
                    cell=int_of(row.get("pack")),
                    state=str_of(row.get("state")) or "up",
                    share=num_of(row.get("share"), 1.0),
                    ready_at_us=int_of(row.get("readyAtUs")),
                )
            )
    # A failed call gives more time on this wire, and does not say how it failed.
    return EndpointsChanged(str_of(line.scope), entries, failure=CallFailure.UNREACHABLE)


def _job_arrived(line: Wire) -> RequestReceived:
    attrs = line.attrs or 0
    return RequestReceived(
        line.msgId,
        line.tierClass,
        int_of(line.timeBudgetUs),
        num_of(line.needs, 1.0),
        num_of(line.ramUnits),
        line.key or "",
        line.team if isinstance(line.team, str) else "",
        bool(attrs & 2),
        int_of(line.costUs) if attrs & 1 else 0,
    )


def _ended(line: Wire) -> AttemptEnded:
    return AttemptEnded(
        line.msgId,
        line.attempt,
        line.status,
        line.costTimeUs or 0,
        line.last is True,
        line.gauge if isinstance(line.gauge, list) else None,
        line.worker or "",
    )


def _update(line: Wire) -> Event | None:
    if line.kind == 1:
        return ExecutionStarted(line.msgId, line.attempt)
    return ExecutionProgressed(line.msgId, line.attempt, num_of(line.value)) if line.kind == 2 else None


# Lines of balancers to each other, which this one has no use for; they end what a batch says all the same.
IGNORED = {"Mail"}

DECODERS: dict[str, Callable[[Wire], Event | None]] = {
    "View": _list_changed,
    "Req": _job_arrived,
    "Ended": _ended,
    "UpdateOf": _update,
    "Withdrawn": lambda line: ClientDisconnected(line.msgId),
    "Flowing": lambda line: StreamStarted(line.msgId, line.attempt),
    "PingResult": lambda line: HealthCheckEnded(
        str_of(line.worker),
        int_of(line.status),
        int_of(line.costTimeUs),
        line.gauge if isinstance(line.gauge, list) else None,
    ),
    "Reminder": lambda line: TimerFired(str_of(line.ref)),
}

_dump = msgspec.json.encode


def encode(instance: str, action: Action) -> bytes:
    """Write one action as a line."""
    out: dict[str, object] = {"what": "", "scheduler": instance}
    match action:
        case Dispatch():
            out |= {"what": "Place", "msgId": action.id, "worker": action.endpoint}
            if action.timeout_us:
                out["capUs"] = action.timeout_us
        case Cancel():
            out |= {"what": "CallOff", "msgId": action.id, "attempt": action.attempt}
        case Reject():
            out |= {"what": "PushBack", "msgId": action.id, "retryAfterUs": action.retry_after_us}
        case Fail():
            out |= {"what": "EndFailed", "msgId": action.id}
        case SetTimer():
            out |= {"what": "Schedule", "inUs": action.in_us, "ref": action.token}
        case CheckHealth():
            out |= {"what": "Inspect", "worker": action.endpoint}
        case WatchEndpoints():
            out |= {"what": "StreamChanges", "enable": True}
        case LogNotice():
            out |= {"what": "WriteLog", "reasonText": action.text}
    return _dump(out)


class Host:
    """Keeps one balancer an instance and turns batches into replies."""

    def __init__(self) -> None:
        self.balancers: dict[str, Balancer | None] = {}

    def reply(self, now_us: int, batch: list[Wire]) -> bytes:
        """Answer one batch."""
        out: list[bytes] = []
        pending: dict[str, list[Event]] = {}
        for line in batch:
            instance = line.scheduler
            if not isinstance(instance, str):
                continue
            if line.what == "PowerOff":
                self._decide(now_us, instance, pending.pop(instance, None), out)
                self.balancers.pop(instance, None)
            elif line.what == "Create":
                try:
                    self.balancers[instance] = Balancer(settings_from(line.conf), int_of(line.salt), now_us)
                except Exception as error:
                    self._fault(instance, error, out)
            elif line.what in IGNORED and self.balancers.get(instance) is not None:
                pending.setdefault(instance, [])
            elif line.what in DECODERS and self.balancers.get(instance) is not None:
                try:
                    event = DECODERS[line.what](line)
                except (TypeError, ValueError):  # malformed: passed over, like an event for nothing we hold
                    continue
                if event is not None:
                    pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            self._decide(now_us, instance, events, out)
        out.append(b'{"what":"Eor"}\n')
        return b"\n".join(out)

    def _decide(self, now_us: int, instance: str, events: list[Event] | None, out: list[bytes]) -> None:
        balancer = self.balancers.get(instance)
        if balancer is None or events is None:
            return
        try:
            out.extend([encode(instance, action) for action in balancer.handle(now_us, events)])
        except Exception as error:
            self._fault(instance, error, out)

    def _fault(self, instance: str, error: Exception, out: list[bytes]) -> None:
        traceback.print_exception(error, file=sys.stderr)
        self.balancers[instance] = None
        reason = f"{type(error).__name__}: {error}".splitlines()[0]
        out.append(_dump({"what": "Fault", "scheduler": instance, "reasonText": reason}))


def batches(source: BinaryIO) -> Iterator[tuple[int, list[Wire]]]:
    """Read closed batches from a stream of lines."""
    decode = msgspec.json.Decoder(Wire).decode
    number, now_us = 0, 0
    batch: list[Wire] | None = None
    for raw in source:
        number += 1
        if raw.isspace():
            continue
        try:
            line = decode(raw)
        except msgspec.DecodeError as error:
            raise MalformedInputError(f"line {number}: {error}") from None
        if line.what == "Mark":
            if batch is not None or not isinstance(line.wallUs, int):
                raise MalformedInputError(f"line {number}: a batch is opened inside another, or has no clock")
            now_us, batch = line.wallUs, []
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
    """Answer batches on standard output until the input ends."""
    host = Host()
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
