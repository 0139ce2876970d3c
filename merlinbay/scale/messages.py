"""What the process that leads a run and its hollow processes tell each other, over pipes. No I/O."""

from __future__ import annotations

import struct

import msgspec

from merlinbay.scale.meters import ProcessReading, Traffic
from merlinbay.scale.plan import Disturbances, RolePlan, Topology

LENGTH = struct.Struct("!I")


class Setup(msgspec.Struct, frozen=True, tag=True):
    """The first message: what the process is to be."""

    net: int
    size: int
    seed: int
    folder: str
    topology: Topology
    disturbances: Disturbances
    numbers: dict[str, list[int]]  # all members of the run, by role
    role: RolePlan
    watched: list[str]  # addresses of real members


class StartMember(msgspec.Struct, frozen=True, tag=True):
    """Start a member, for the first time or again."""

    number: int


class StopMember(msgspec.Struct, frozen=True, tag=True):
    """End a member as SIGKILL ends a process."""

    number: int


class Act(msgspec.Struct, frozen=True, tag=True):
    """Have a member do something."""

    number: int
    action: str
    text: str = ""


class StartRecording(msgspec.Struct, frozen=True, tag=True):
    """Forget what was observed, and write down what is from now on."""


class GetReading(msgspec.Struct, frozen=True, tag=True):
    """Ask for what the process and its members have used."""


class GetProgress(msgspec.Struct, frozen=True, tag=True):
    """Ask how far the members are."""


class GetObservations(msgspec.Struct, frozen=True, tag=True):
    """Ask for what the members have observed."""


class StopHost(msgspec.Struct, frozen=True, tag=True):
    """End."""


Order = (
    Setup
    | StartMember
    | StopMember
    | Act
    | StartRecording
    | GetReading
    | GetProgress
    | GetObservations
    | StopHost
)


class OrderDone(msgspec.Struct, frozen=True, tag=True):
    """It was done, at a moment of the machine's monotonic clock."""

    at: float


class Reading(msgspec.Struct, frozen=True, tag=True):
    """What the process and its members have used."""

    process: ProcessReading
    members: dict[int, Traffic]
    watched: dict[str, Traffic]


class ProgressReading(msgspec.Struct, frozen=True, tag=True):
    """How far the members that run are."""

    members: dict[int, int]


class Observations(msgspec.Struct, frozen=True, tag=True):
    """When members observed what, by what and about whom: monotonic seconds as packed doubles."""

    times: dict[str, dict[str, bytes]]


Answer = OrderDone | Reading | ProgressReading | Observations

encode = msgspec.msgpack.Encoder().encode
decode_order = msgspec.msgpack.Decoder(Order).decode
decode_answer = msgspec.msgpack.Decoder(Answer).decode


def frame(message: Order | Answer) -> bytes:
    """Return a message with its length before it."""
    data = encode(message)
    return LENGTH.pack(len(data)) + data
