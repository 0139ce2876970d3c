"""What a script says, as types. Times are seconds unless the name says otherwise; ranges are drawn.

A value that may be drawn is a number, or two of them: ``at = 12`` or ``at = [10, 15]``.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from random import Random
from typing import Annotated, Literal

import msgspec

Draw = float | tuple[float, float]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Not = Annotated[float, msgspec.Meta(ge=0)]
What = Literal[
    "slowdown",
    "fast_errors",
    "neighbour",
    "late_reports",
    "frozen_reports",
    "burst",
    "deploy",
    "crash",
    "rack_loss",
    "partition",
    "discovery_outage",
    "watches_silent",
    "clock_off",
    "node_crash",
    "node_roll",
    "discovery_moves",
]


class ScenarioError(Exception):
    """A script that cannot be played; the text names file, key and cause in one line."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A part of a script."""


class MachineKind(Strict):
    """A kind of machine."""

    name: str
    share: Positive = 1.0  # of the fleet
    slots: Count = 4
    speed: Draw = 1.0  # of each machine, over the yardstick's
    memory: Positive = 4.0  # units


class ServerPool(Strict):
    """The real servers, and the nodes before them."""

    servers: Count = 12
    nodes: Count = 1
    rack: Count = 6  # servers that drop each other's repeats
    zones: list[str] = msgspec.field(default_factory=lambda: ["hall-a"])
    kinds: list[MachineKind] = msgspec.field(
        default_factory=lambda: [
            MachineKind(name="quick-4", share=0.45, speed=(1.3, 1.7)),
            MachineKind(name="plain-4", share=0.55, speed=(0.85, 1.1)),
        ]
    )
    queue: int = 40  # jobs that wait at one server; what comes beyond is handed back
    order: Literal["fifo", "backfill", "priority"] = "fifo"
    cold_from: Part = 0.4  # of its capacity, at a start;
    cold: Not = 7.0  # and warm after this
    tip: Positive = 3.0  # times what it can do, for so long:
    tip_for: Positive = 2.0  # then a cold one falls over
    renames: bool = False  # a successor has a new name; nodes that start know what they knew
    crowd: Part = 0.0  # of its speed, lost when every slot is busy
    handshake_ms: Draw = 3.0  # of work for a new connection
    connections: Count = 3000  # that one server accepts
    keep_alive: Positive = 10.0
    cancels_running: bool = True  # a cancel stops work that runs


class RequestProfile(Strict):
    """The class of requests."""

    name: str = "admit"
    aim: Not = 0.12
    stretch: Not = 2.0
    deadline: Positive = 5.0
    effect: Literal["repeatable", "by_key", "once"] = "by_key"
    group: Literal["all", "zone", "cell"] = "cell"
    window: Not = 7.5
    run: Draw = (0.18, 0.35)  # seconds of the yardstick, on average
    spread: Not = 0.42  # of the logarithm of one job's run time; 0: all alike
    exponential: bool = False  # run times are exponential in place of that
    slots: Count = 1
    wide: Part = 0.0  # share of jobs that want two slots
    memory: Draw = (0.4, 1.2)


class LoadProfile(Strict):
    """What arrives."""

    share: Draw = 0.5  # of what the warm fleet can do
    shape: Literal["steady", "bursty", "daily"] = "steady"
    swing: Part = 0.0
    trace: str = ""  # a file of arrivals in place of these: a line each, the second and maybe the ms of work
    zipf: Not = 0.0  # keys: 0: each its own; else some come again and again


class NetworkProfile(Strict):
    """The network."""

    delay_ms: Draw = (0.17, 0.32)
    jitter: Not = 0.2
    loss: Part = 0.0  # of messages; each costs a resend
    resend_ms: Positive = 200.0
    dial_ms: Positive = 120.0  # a connection that is not up by then failed


class DiscoveryProfile(Strict):
    """The list."""

    add: Draw = (0.7, 2.9)  # seconds until a start is listed,
    notice: Draw = (1.4, 5.8)  # and a drain or an end
    call_ms: Draw = (5.0, 30.0)
    work_ms: Draw = 0.0  # on each call, one after the other; 0: calls do not wait for each other,
    fails_after: Positive = 2.0  # seconds; what it has begun to work on by then is worked on all the same
    watch: Positive = 1.0  # a watch call waits so long,
    notice_silent: Positive = 1.75  # and one that is not answered so long after it is taken to be silent
    ask_in: Positive = 10.0  # who has not asked for so long counts as told; a failed call: four times that


class ReportProfile(Strict):
    """Load reports in answers."""

    on: bool = True
    refresh_ms: Draw = (600.0, 1300.0)
    delay_ms: Draw = (150.0, 440.0)  # that they are old, beside that
    noise: Not = 0.04


class CallerProfile(Strict):
    """Clients and the front layer."""

    retries: Draw = (0.0, 1.0)  # times that one asks again, on average
    backoff_ms: Draw = (11.0, 86.0)
    honour: Part = 0.9  # share that waits as long as a refusal says
    notice: Draw = (0.84, 3.6)  # until the front layer sees that a node has died
    uneven: Not = 0.0  # spread of the logarithm of each node's part of the traffic; 0: all alike
    bad: Not = 0.0  # clients a second that send what cannot be read, or nothing; on sockets only


class FaultSpec(Strict):
    """Something that goes wrong."""

    what: What
    at: Draw
    lasts: Draw = 0.0
    share: Draw = 0.0  # of the servers (or nodes) that it is about, unless they are named
    servers: list[str] = []
    by: Draw = 1.0  # times slower, times the traffic, seconds late, share of requests or of the machine
    step: Draw = 0.18  # deploy: of the fleet at a time
    nodes: list[int] = []


class ScenarioLimits(Strict):
    """What the deployment permits."""

    second_copies: bool = True
    cancelling: bool = True
    send_cap: Count = 5
    max_retry_after: Not = 2.0
    reload_told: Not = 4.0  # after a move of discovery, what it has counts as told
    drain_grace: Not = 0.5
    answer_slack_ms: Not = 8.0


class Scenario(Strict):
    """A day, or an incident."""

    name: str
    about: str = ""
    seconds: Positive = 45.0
    hall: ServerPool = msgspec.field(default_factory=ServerPool)
    job: RequestProfile = msgspec.field(default_factory=RequestProfile)
    load: LoadProfile = msgspec.field(default_factory=LoadProfile)
    net: NetworkProfile = msgspec.field(default_factory=NetworkProfile)
    discovery: DiscoveryProfile = msgspec.field(default_factory=DiscoveryProfile)
    reports: ReportProfile = msgspec.field(default_factory=ReportProfile)
    callers: CallerProfile = msgspec.field(default_factory=CallerProfile)
    limits: ScenarioLimits = msgspec.field(default_factory=ScenarioLimits)
    trouble: list[FaultSpec] = []


def drawn(rng: Random, value: Draw) -> float:
    """Draw a value."""
    return rng.uniform(*value) if isinstance(value, tuple) else float(value)


def _draws(at: str, part: Strict) -> None:
    """Check every value of a part that may be drawn. Raises ``ScenarioError``."""
    for field in msgspec.structs.fields(part):
        value = getattr(part, field.name)
        where = f"{at}.{field.name}" if at else field.name
        if isinstance(value, Strict):
            _draws(where, value)
        elif isinstance(value, list):
            for number, item in enumerate(value):
                if isinstance(item, Strict):
                    _draws(f"{where}[{number}]", item)
        if isinstance(value, tuple) and value[0] > value[1]:
            raise ScenarioError(f"{where}: a range is two numbers, the smaller first")
        if isinstance(value, tuple | int | float) and (value[0] if isinstance(value, tuple) else value) < 0:
            raise ScenarioError(f"{where}: below 0")


def check(script: Scenario) -> None:
    """Check what the types do not say. Raises ``ScenarioError``."""
    _draws("", script)
    names = {f"s{number}" for number in range(script.hall.servers)}
    for number, trouble in enumerate(script.trouble):
        at = f"trouble[{number}]"
        for name in trouble.servers:
            if name not in names:
                raise ScenarioError(f"{at}.servers: no server {name!r}")
        for node in trouble.nodes:
            if not 0 <= node < script.hall.nodes:
                raise ScenarioError(f"{at}.nodes: no node {node}")
        start = trouble.at[0] if isinstance(trouble.at, tuple) else trouble.at
        if start >= script.seconds:
            raise ScenarioError(f"{at}.at: the script ends after {script.seconds:g} s")
    if not script.hall.zones or not script.hall.kinds:
        raise ScenarioError("hall: zones and kinds are needed")
    if script.hall.queue < 0:
        raise ScenarioError("hall.queue: below 0")


def read_value(value: object, name: str) -> Scenario:
    """Read a script from plain values. Raises ``ScenarioError``."""
    try:
        script = msgspec.convert(value, Scenario)
        check(script)
    except (msgspec.ValidationError, ScenarioError) as error:
        raise ScenarioError(f"{name}: {error}") from None
    return script


def read(text: str, name: str) -> Scenario:
    """Read a script. Raises ``ScenarioError``."""
    try:
        return read_value(tomllib.loads(text), name)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: {error}") from None


def library() -> dict[str, str]:
    """Return the scripts that come with the program, by name."""
    folder = resources.files("merlinbay.emulator") / "scripts"
    return {
        entry.name.removesuffix(".toml"): entry.read_text()
        for entry in sorted(folder.iterdir(), key=lambda entry: entry.name)
        if entry.name.endswith(".toml")
    }


def load(name: str) -> Scenario:
    """Read a script of the library by its name, or one from a file. Raises ``ScenarioError``."""
    known = library()
    if name in known:
        return read(known[name], name)
    try:
        return read(Path(name).read_text(), name)
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}; in the library: {', '.join(known)}") from None
