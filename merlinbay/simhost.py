"""The simulator's wire: frames to and from the types of ``api.py``, one Balancer an instance.

Decides nothing. Unknown names and fields are skipped; a malformed setting or an exception becomes a
fault of that instance; input that is not a closed JSON batch ends the process with status 2.
"""

from __future__ import annotations

import math
import sys
import traceback
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

import msgspec

from merlinbay.decision import api
from merlinbay.decision.rules import Balancer


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


class BadInput(Exception):
    """The input is not a sequence of closed batches."""


def _int(value: object, default: int = 0) -> int:
    return int(value) if isinstance(value, (int, float)) and math.isfinite(value) else default


def _num(value: object, default: float = 0.0) -> float:
    return float(value) if isinstance(value, (int, float)) and math.isfinite(value) else default


def _str(value: object) -> str:
    return value if isinstance(value, str) else ""


_REQUIRED: Any = object()


def _get(table: object, path: str, kind: type | tuple[type, ...], default: Any = _REQUIRED) -> Any:
    """Read one setting, raising ``ValueError`` with its path where it is missing or of a wrong type."""
    name = path.rsplit(".", 1)[-1]
    value = table.get(name) if isinstance(table, dict) else None
    if value is None and default is not _REQUIRED:
        return default
    wrong_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or wrong_bool:
        raise ValueError(f"{path}: {'missing' if value is None else 'malformed'}")
    return value


NUMBER = (int, float)


def settings_from(conf: object) -> api.Settings:
    """Translate the ``conf`` of a ``Create``."""
    extra = _get(conf, "extra", dict, {})
    limits = _get(conf, "limits", dict)
    safety = _get(conf, "safety", dict)
    report = _get(conf, "report", dict, {})
    prices = _get(conf, "prices", dict, {})
    rows = _get(conf, "classes", list)

    def per_class(name: str, at: int, default: float) -> float:
        values = _get(extra, f"extra.{name}", list, [])
        return _num(values[at], default) if at < len(values) else default

    classes = []
    for i, row in enumerate(rows):
        at = f"classes[{i}]"
        classes.append(api.JobClass(
            name=_get(row, f"{at}.name", str),
            aim_us=int(_get(row, f"{at}.aimUs", NUMBER)),
            deadline_us=int(_get(row, f"{at}.deadlineUs", NUMBER)),
            worth=float(_get(row, f"{at}.worth", NUMBER)),
            effect=_get(row, f"{at}.effect", str),
            group=_get(row, f"{at}.group", str, "all"),
            window_us=int(_get(row, f"{at}.windowUs", NUMBER, 0)),
            late_worth=float(_get(row, f"{at}.lateWorth", NUMBER, 0.0)),
            stretch=per_class("classStretch", i, _num(_get(row, f"{at}.aimStretch", NUMBER, 0.0))),
            kind=int(per_class("classKind", i, -1)),
            priority=int(per_class("classPriority", i, 0)),
            stream=_get(row, f"{at}.stream", bool, False)))
    fields = [_str(name) for name in _get(report, "report.fields", list, [])]

    def meaning(text: str) -> str:
        return next((x for x in ("x0", "x1") if x in fields
                     and extra.get(f"reportX{x[1]}") == text), "")

    return api.Settings(
        classes=classes,
        balancers=max(_get(conf, "balancers", int), 1),  # Guards against a count of 0, by which shares divide
        me=_get(conf, "me", int),
        zone=_get(conf, "az", str, ""),
        limits=api.Limits(
            cancelling=_get(limits, "limits.cancelling", bool, False),
            probes=_get(limits, "limits.probes", bool, False),
            peers=_get(limits, "limits.peers", bool, False),
            retry_after=_get(limits, "limits.retryAfter", bool, False),
            second_copies=_get(limits, "limits.secondCopies", bool, False),
            send_cap=_get(limits, "limits.sendCap", int),
            max_retry_after_us=int(_get(limits, "limits.maxRetryAfterUs", NUMBER, 0))),
        safety=api.Safety(
            drain_grace_us=int(_get(safety, "safety.drainGraceUs", NUMBER)),
            cold_from=float(_get(safety, "safety.coldFrom", NUMBER)),
            cold_us=int(_get(safety, "safety.coldUs", NUMBER)),
            tip_multiple=float(_get(safety, "safety.tipMultiple", NUMBER)),
            overload_for_us=int(_get(safety, "safety.overloadForUs", NUMBER)),
            answer_slack_us=int(_get(safety, "safety.answerSlackUs", NUMBER, 0)),
            must_ask_in_us=int(_get(safety, "safety.mustAskInUs", NUMBER, 0))),
        kinds=[_str(name) for name in _get(conf, "kinds", list, [])],
        tenants=[api.Tenant(_get(row, "tenants[].name", str),
                            float(_get(row, "tenants[].quotaPerS", NUMBER)),
                            float(_get(row, "tenants[].share", NUMBER, 1.0)))
                 for row in _get(conf, "tenants", list, [])],
        over_share_worth=float(_get(conf, "overShareWorth", NUMBER, 1.0)),
        report_fields=fields if report.get("how") != "off" else [],
        errors_field="err_rps" if "err_rps" in fields else "",
        held_field="active" if "active" in fields else "",
        free_slots_field=meaning("free slots"),
        free_memory_field=meaning("free memory"),
        tells_start=_get(extra, "extra.tellsStart", bool, False),
        progress_us=int(_get(extra, "extra.progressUs", NUMBER, 0)),
        queue_order=_get(extra, "extra.queueOrder", str, "fifo"),
        must_subscribe=_get(conf, "discovery", str, "automatic") == "subscribe",
        asks_first=_get(report, "report.how", str, "") == "on_probe",
        probe_price=float(_get(prices, "prices.probe", NUMBER, 0.0)),
        worth_by_work=_get(conf, "worthBy", str, "") == "work",
        cross_zone_price=float(_get(prices, "prices.crossZone", NUMBER, 0.0)))


def _list_changed(line: Wire) -> api.ListChanged:
    entries = []
    for row in line.rows if isinstance(line.rows, list) else []:
        if isinstance(row, dict) and isinstance(row.get("worker"), str):
            entries.append(api.WorkerEntry(
                worker=row["worker"], zone=_str(row.get("locality")), kind=_str(row.get("hw")),
                cell=_int(row.get("pack")), state=_str(row.get("state")) or "up",
                share=_num(row.get("share"), 1.0), ready_at_us=_int(row.get("readyAtUs"))))
    return api.ListChanged(_str(line.scope), entries)


def _job_arrived(line: Wire) -> api.JobArrived:
    attrs = line.attrs or 0
    return api.JobArrived(
        line.msgId, line.tierClass, _int(line.timeBudgetUs), _num(line.needs, 1.0), _num(line.ramUnits),
        line.key or "", line.team if isinstance(line.team, str) else "", bool(attrs & 2),
        _int(line.costUs) if attrs & 1 else 0)


def _ended(line: Wire) -> api.AttemptEnded:
    return api.AttemptEnded(line.msgId, line.attempt, line.status, line.costTimeUs or 0, line.last is True,
                            line.gauge if isinstance(line.gauge, list) else None, line.worker or "")


def _update(line: Wire) -> api.Event | None:
    if line.kind == 1:
        return api.JobStarted(line.msgId, line.attempt)
    return api.JobProgress(line.msgId, line.attempt, _num(line.value)) if line.kind == 2 else None


DECODERS: dict[str, Callable[[Wire], api.Event | None]] = {
    "View": _list_changed,
    "Req": _job_arrived,
    "Ended": _ended,
    "UpdateOf": _update,
    "Withdrawn": lambda line: api.JobWithdrawn(line.msgId),
    "Flowing": lambda line: api.StreamStarted(line.msgId, line.attempt),
    "PingResult": lambda line: api.ProbeEnded(
        _str(line.worker), _int(line.status), _int(line.costTimeUs),
        line.gauge if isinstance(line.gauge, list) else None),
    "Reminder": lambda line: api.TimerFired(_str(line.ref)),
    "Mail": lambda line: api.PeerMessage(_int(line.sender), bytes.fromhex(_str(line.body))),
}

_dump = msgspec.json.encode


def encode(instance: str, action: api.Action) -> bytes:
    """Write one action as a line."""
    out: dict[str, object] = {"what": "", "scheduler": instance}
    match action:
        case api.Place():
            out |= {"what": "Place", "msgId": action.id, "worker": action.worker}
            if action.timeout_us:
                out["capUs"] = action.timeout_us
        case api.Cancel():
            out |= {"what": "CallOff", "msgId": action.id, "attempt": action.attempt}
        case api.Refuse():
            out |= {"what": "PushBack", "msgId": action.id, "retryAfterUs": action.retry_after_us}
        case api.Fail():
            out |= {"what": "EndFailed", "msgId": action.id}
        case api.SetTimer():
            out |= {"what": "Schedule", "inUs": action.in_us, "ref": action.token}
        case api.Probe():
            out |= {"what": "Inspect", "worker": action.worker}
        case api.Tell():
            peer: object = "all" if action.peer is None else action.peer
            out |= {"what": "Signal", "recipient": peer, "body": action.body.hex()}
        case api.Subscribe():
            out |= {"what": "StreamChanges", "enable": True}
        case api.Note():
            out |= {"what": "WriteLog", "reasonText": action.text}
    return _dump(out)


class Host:
    """Keeps one balancer an instance and turns batches into replies."""

    def __init__(self) -> None:
        self.balancers: dict[str, Balancer | None] = {}

    def reply(self, now_us: int, batch: list[Wire]) -> bytes:
        """Answer one batch."""
        out: list[bytes] = []
        pending: dict[str, list[api.Event]] = {}
        for line in batch:
            instance = line.scheduler
            if not isinstance(instance, str):
                continue
            if line.what == "PowerOff":
                self._decide(now_us, instance, pending.pop(instance, []), out)
                self.balancers.pop(instance, None)
            elif line.what == "Create":
                try:
                    self.balancers[instance] = Balancer(settings_from(line.conf), _int(line.salt), now_us)
                except Exception as error:
                    self._fault(instance, error, out)
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

    def _decide(self, now_us: int, instance: str, events: list[api.Event], out: list[bytes]) -> None:
        balancer = self.balancers.get(instance)
        if balancer is None or not events:
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
            raise BadInput(f"line {number}: {error}") from None
        if line.what == "Mark":
            if batch is not None or not isinstance(line.wallUs, int):
                raise BadInput(f"line {number}: a batch is opened inside another, or has no clock")
            now_us, batch = line.wallUs, []
        elif batch is None:
            raise BadInput(f"line {number}: not inside a batch")
        elif line.what == "Commit":
            yield now_us, batch
            batch = None
        else:
            batch.append(line)
    if batch is not None:
        raise BadInput(f"line {number}: the input ends inside a batch")


def main() -> int:
    """Answer batches on standard output until the input ends."""
    host = Host()
    try:
        for now_us, batch in batches(sys.stdin.buffer):
            sys.stdout.buffer.write(host.reply(now_us, batch))
            sys.stdout.buffer.flush()
    except BadInput as error:
        print(f"merlinbay: bad input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
