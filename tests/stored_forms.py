"""Examples of all data that is stored, or sent between processes that may have different versions.

``python -m tests.stored_forms`` rewrites the examples; run it when a format is changed on purpose. An example
is built from its type, with a value other than the default in every field. Decoding and encoding it again
gives the same bytes only while every field keeps its encoded name, order and meaning.
"""

from __future__ import annotations

import base64
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

from merlinbay.access import tokens
from merlinbay.access.settings import AccessSettings
from merlinbay.config import ConfigurationFile
from merlinbay.control import keyspace
from merlinbay.control.consensus import messages as consensus
from merlinbay.control.consensus import records
from merlinbay.control.fanout import messages as fanout
from merlinbay.control_service import call_messages, durable_log, schema, sealing, status
from merlinbay.control_service.settings import ControlFile
from merlinbay.core.messages import AttemptFinished, AttemptProgress, AttemptStarted
from merlinbay.drmaa import schema as drmaa
from merlinbay.emulator.simulation import SimulationResult
from merlinbay.emulator.spec import Scenario
from merlinbay.experiment.grid import Cell, Grid
from merlinbay.experiment.store import Store
from merlinbay.fleet import members, wire
from merlinbay.fleet.epochs import AcceptorState
from merlinbay.handover import messages as handover
from merlinbay.operator_file import Operator
from merlinbay.platform import messages as platform
from merlinbay.rig.script import FaultSchedule as RigScript
from merlinbay.scale.plan import ScalePlan
from merlinbay.scale.results import ScaleRun
from merlinbay.store.engine import StorageEngine

GOLDEN = Path(__file__).parent / "golden"
KEYS = wire.Keys((b"0123456789abcdef",))


@dataclass(frozen=True)
class Form:
    """A type and the encoding that it is stored or sent in; for a settings file, only its field names."""

    type: Any
    encoding: str = "msgpack"  # msgpack | json | names

    def encode(self, value: Any) -> bytes:
        """Encode a value."""
        return msgspec.msgpack.encode(value) if self.encoding == "msgpack" else msgspec.json.encode(value)

    def decode(self, data: bytes) -> Any:
        """Decode a value."""
        if self.encoding == "msgpack":
            return msgspec.msgpack.decode(data, type=self.type)
        return msgspec.json.decode(data, type=self.type)


FORMS: dict[str, Form] = {
    # Handover between two processes of a node.
    "handover.hello": Form(handover.StateRequest),
    "handover.part": Form(handover.StateChunk),
    "handover.whole": Form(handover.StateComplete),
    "handover.serves": Form(handover.SuccessorReady),
    "handover.unclaimed-started": Form(AttemptStarted),
    "handover.unclaimed-progress": Form(AttemptProgress),
    "handover.unclaimed-finished": Form(AttemptFinished),
    "handover.unclaimed": Form(handover.CallbackForward),
    "handover.banned": Form(handover.MaintenanceForward),
    "handover.away": Form(handover.StandbyForward),
    "handover.edge-given": Form(handover.ConnectionTransfer),
    # The control log, as stored on disk, sent between voters, and sent to watchers.
    "control.record-identity": Form(records.IdentityRecord),
    "control.record-term": Form(records.TermRecord),
    "control.record-entries": Form(records.EntriesRecord),
    "control.record-checkpoint": Form(records.CheckpointRecord),
    "control.snapshot": Form(records.SnapshotData),
    "control.keyspace": Form(keyspace.KeyspaceSnapshot),
    "control.batch": Form(list[durable_log.BatchRecord]),
    "control.vote": Form(consensus.VoteRequest),
    "control.voted": Form(consensus.VoteResponse),
    "control.append": Form(consensus.AppendRequest),
    "control.appended": Form(consensus.AppendResponse),
    "control.install": Form(consensus.SnapshotRequest),
    "control.installed": Form(consensus.SnapshotResponse),
    "control.timeout-now": Form(consensus.TimeoutNow),
    "control.envelope": Form(consensus.VoterEnvelope),
    "control.hello": Form(sealing.HandshakeHello),
    "control.welcome": Form(sealing.HandshakeWelcome),
    "fanout.watch": Form(fanout.WatchRequest),
    "fanout.progress": Form(fanout.ProgressReport),
    "fanout.accepted": Form(fanout.WatchAccepted),
    "fanout.delta": Form(fanout.DeltaMessage),
    "fanout.snapshot": Form(fanout.SnapshotMessage),
    "fanout.keep-alive": Form(fanout.KeepAlive),
    "fanout.busy": Form(fanout.WatchRejected),
    "fanout.goodbye": Form(fanout.Goodbye),
    # Settings in the replicated configuration.
    "schema.team": Form(schema.TeamSettings, "json"),
    "schema.limits": Form(schema.LimitSettings, "json"),
    "schema.free": Form(schema.FreeSetting, "json"),
    "schema.machine": Form(schema.ControlMachine, "json"),
    # Stored state of epoch acceptors, key rings, and results.
    "fleet.kept": Form(AcceptorState, "json"),
    "access.ring": Form(tokens.KeyRing, "json"),
    "scale.run": Form(ScaleRun, "json"),
    # Settings files and scripts.
    "file.node": Form(ConfigurationFile, "names"),
    "file.operator": Form(Operator, "names"),
    "file.access": Form(AccessSettings, "names"),
    "file.control": Form(ControlFile, "names"),
    "file.script": Form(Scenario, "names"),
    "file.rig-script": Form(RigScript, "names"),
    "file.plan": Form(ScalePlan, "names"),
    "file.grid": Form(Grid, "names"),
    # JSON of the platform, the DRMAA front and operators' calls.
    "platform.listing": Form(platform.Listing, "json"),
    "platform.job-event": Form(platform.JobEvent, "json"),
    "drmaa.job-template": Form(drmaa.JobTemplate, "json"),
    "drmaa.run-job": Form(drmaa.RunJob, "json"),
    "drmaa.run-bulk": Form(drmaa.RunBulkJobs, "json"),
    "drmaa.wait-any": Form(drmaa.WaitAny, "json"),
    "drmaa.create-session": Form(drmaa.CreateSession, "json"),
    "drmaa.job-info": Form(drmaa.JobInfo, "json"),
    "drmaa.notification": Form(drmaa.Notification, "json"),
    "control.change-request": Form(call_messages.ChangeRequest, "json"),
    "control.voters-request": Form(call_messages.VotersRequest, "json"),
    "control.voters": Form(call_messages.VoterListing, "json"),
    "control.applied": Form(call_messages.AppliedAnswer, "json"),
    "control.entries": Form(call_messages.KeyListing, "json"),
    "control.problem": Form(call_messages.ErrorAnswer, "json"),
    "control.status": Form(status.ProcessStatus, "json"),
}

SEALED: dict[str, Any] = {"k": "ping", "n": "node-1", "q": 7}
CLAIM = members.MemberState(
    name="node-1",
    health=members.Health.SUSPECT,
    incarnation=65_537,
    instance=9,
    addr="127.0.0.1:7001",
    zone="a",
    versions=(1, 2),
    revision=3,
    is_draining=True,
    tags={"role": "voter"},
    gauges={"load": 0.5},
    disk_id="5d1f",
    accuser="node-2",
    unknown_fields={"later": [1]},
)


class Builder:
    """Builds plain values that a type can be decoded from; numbers and texts are all different."""

    def __init__(self) -> None:
        self.count = 0

    def number(self) -> int:
        """Return the next number."""
        self.count += 1
        return self.count

    def names(self, kind: Any) -> Any:
        """Return the names of a type's fields, each with the names of the fields of its own type."""
        if isinstance(kind, inspect.Metadata):
            return self.names(kind.type)
        if isinstance(kind, (inspect.StructType, inspect.DataclassType)):
            return {field.encode_name: self.names(field.type) for field in kind.fields}
        if isinstance(kind, inspect.UnionType):
            return [self.names(member) for member in kind.types]
        if isinstance(kind, (inspect.ListType, inspect.VarTupleType)):
            return [self.names(kind.item_type)]
        if isinstance(kind, inspect.DictType):
            return {"*": self.names(kind.value_type)}
        return sorted(map(str, kind.values)) if isinstance(kind, inspect.LiteralType) else ""

    def build(self, kind: Any) -> Any:
        """Return a value of a type as ``msgspec.inspect`` describes it."""
        if isinstance(kind, inspect.Metadata):
            return self.build(kind.type)
        if isinstance(kind, inspect.StructType):
            return self._struct(kind)
        if isinstance(kind, inspect.DataclassType):
            return {field.encode_name: self.build(field.type) for field in kind.fields}
        if isinstance(kind, inspect.UnionType):
            return self.build(
                next(member for member in kind.types if not isinstance(member, inspect.NoneType))
            )
        if isinstance(kind, inspect.EnumType):
            return list(kind.cls)[-1].value
        if isinstance(kind, inspect.LiteralType):
            return sorted(kind.values, key=str)[-1]
        return self._container(kind)

    def _struct(self, kind: inspect.StructType) -> Any:
        values = {field.encode_name: self.build(field.type) for field in kind.fields}
        if kind.array_like:
            return [*([] if kind.tag is None else [kind.tag]), *values.values()]
        return values if kind.tag is None else {kind.tag_field: kind.tag, **values}

    def _container(self, kind: Any) -> Any:
        if isinstance(kind, (inspect.ListType, inspect.VarTupleType)):
            return [self.build(kind.item_type)]
        if isinstance(kind, inspect.TupleType):
            return [self.build(item) for item in kind.item_types]
        if isinstance(kind, inspect.DictType):
            return {self.build(kind.key_type): self.build(kind.value_type)}
        return self._scalar(kind)

    def _scalar(self, kind: Any) -> Any:
        if isinstance(kind, inspect.BoolType):
            return True
        if isinstance(kind, inspect.IntType):
            return min(self.number(), kind.le if kind.le is not None else sys.maxsize)
        if isinstance(kind, inspect.FloatType):
            return min(self.number() + 0.5, kind.le if kind.le is not None else sys.maxsize)
        if isinstance(kind, inspect.StrType):
            return f"text-{self.number()}"
        if isinstance(kind, inspect.BytesType):
            return f"bytes-{self.number()}".encode()
        if isinstance(kind, inspect.DateTimeType):
            return f"2026-01-01T00:00:{self.number() % 60:02d}Z"
        if isinstance(kind, inspect.AnyType):
            return f"any-{self.number()}"
        raise TypeError(f"no example value is defined for type {kind}")


def example(form: Form) -> bytes:
    """Return an encoded example of a type."""
    if form.encoding == "names":
        return msgspec.json.encode(Builder().names(inspect.type_info(form.type)))
    raw = Builder().build(inspect.type_info(form.type))
    return form.encode(form.decode(form.encode(raw)))


def make_store(path: Path) -> None:
    """Make a store file with three records and a snapshot after the second."""
    engine = StorageEngine(path)
    engine.append([b"first", b"second"])
    engine.write_snapshot(b"state after two")
    engine.append([b"third"])
    engine.close()


CELL = Cell("monday", "{}", "module", 3, "a1b2")


def result() -> SimulationResult:
    """Return a simulation result with a different value in each field."""
    kinds: dict[str, Callable[[int], Any]] = {"str": lambda n: f"text-{n}", "int": int, "float": float}
    names = SimulationResult.__dataclass_fields__.items()
    return SimulationResult(**{name: kinds[str(field.type)](n) for n, (name, field) in enumerate(names, 1)})


def make_results(path: Path) -> None:
    """Make a result file with one result."""
    store = Store(path)
    store.add(CELL, result())
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()


def main() -> None:
    """Rewrite all examples."""
    GOLDEN.mkdir(exist_ok=True)
    examples = {name: base64.b64encode(example(form)).decode() for name, form in FORMS.items()}
    examples["fleet.claim"] = base64.b64encode(wire.pack(members.encode_state(CLAIM))).decode()
    examples["fleet.sealed"] = base64.b64encode(wire.seal(KEYS, "north", SEALED)).decode()
    (GOLDEN / "forms.json").write_bytes(msgspec.json.format(msgspec.json.encode(examples), indent=1) + b"\n")
    for name, make in (("store.db", make_store), ("results.db", make_results)):
        (GOLDEN / name).unlink(missing_ok=True)
        make(GOLDEN / name)
    print(len(examples), asdict(result()))


if __name__ == "__main__":
    main()
