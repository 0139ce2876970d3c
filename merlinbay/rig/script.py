"""What a rig's script says, as types. Times are seconds from when all processes have come up."""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec

Not = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
What = Literal[
    "kill",
    "start",
    "restart",
    "stop",
    "cont",
    "wipe",
    "starve",
    "leave",
    "term",
    "force",
    "cut",
    "heal",
    "net",
    "reset",
    "keys",
    "clock",
    "garbage",
    "lie",
    "replay",
    "settled",
    "agree",
    "epoch",
]


class FaultScheduleError(Exception):
    """A script that cannot be played; one line."""


class LinkFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a link does to what it carries."""

    delay_ms: Not = 0.0
    loss: Part = 0.0  # of datagrams,
    twice: Part = 0.0
    late: Part = 0.0  # share of datagrams that are overtaken, by up to ``late_ms``
    late_ms: Not = 300.0
    trickle: Not = 0.0  # bytes a second of a stream; 0: as fast as it goes
    half_open: bool = False  # streams are taken, and then nothing comes


class ScheduleStep(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One thing that is done, or that must hold."""

    at: Not
    do: What
    nodes: list[int] = []  # that it is about; of ``cut``: one side
    # Of ``cut``: the other side, or the rest; of ``epoch``: its members, or ``nodes``; of ``force``: who is
    # lost.
    to: list[int] = []
    one_way: bool = False
    by: float = 0.0  # of ``clock``: seconds; of ``starve``: share of the time that it runs
    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1  # of ``restart``: how often,
    every: Not = 0.0  # with so long between
    net: LinkFaults | None = None
    within: Not = 30.0  # of ``settled`` and ``agree``: how long to wait for it


class FaultSchedule(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A run."""

    name: str
    about: str = ""
    seed: int = 1
    nodes: Annotated[int, msgspec.Meta(ge=1, le=60)] = 5
    data: bool = True  # nodes have a folder that lasts
    fleet: dict[str, int | float] = {}  # keys of section ``fleet`` in place of the rig's
    net: LinkFaults = msgspec.field(default_factory=LinkFaults)
    step: list[ScheduleStep] = []


def read(text: str, name: str) -> FaultSchedule:
    """Read a script. Raises ``FaultScheduleError``."""
    try:
        script = msgspec.convert(tomllib.loads(text), FaultSchedule)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FaultScheduleError(f"{name}: {error}") from None
    last = 0.0
    for number, step in enumerate(script.step):
        if any(not 0 <= node < script.nodes for node in [*step.nodes, *step.to]):
            raise FaultScheduleError(f"{name}: step[{number}].nodes: there are {script.nodes}, from 0 on")
        if step.at < last:
            raise FaultScheduleError(f"{name}: step[{number}].at: before the step above it")
        last = step.at
    return script


def load(name: str) -> FaultSchedule:
    """Read a script of the library by its name, or one from a file. Raises ``FaultScheduleError``."""
    folder = resources.files("merlinbay.rig") / "scripts"
    known = {
        entry.name.removesuffix(".toml"): entry for entry in folder.iterdir() if entry.name.endswith(".toml")
    }
    if name in known:
        return read(known[name].read_text(), name)
    try:
        return read(Path(name).read_text(), name)
    except OSError as error:
        raise FaultScheduleError(
            f"{name}: {error.strerror}; in the library: {', '.join(sorted(known))}"
        ) from None
