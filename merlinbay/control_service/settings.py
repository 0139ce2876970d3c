"""The settings of a control process, read from its TOML file, and the ``control`` section of a node.

The file is read once, when the process starts. An invalid file raises ``ConfigurationError`` with one line
that names the file, the key and the cause.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet.settings import Name, Seconds
from merlinbay.fleet.wire import Keys

ProcessRole = Literal["voter", "relay", "follower"]


class EventLogSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """How events are written to standard error."""

    format: Literal["plain", "console", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines: Annotated[int, msgspec.Meta(ge=1)] = 20  # limit per event and second; further ones are counted


class MachineSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The addresses and the place of one control machine."""

    address: str  # host:port that voters, relays and followers connect to
    operator: str = ""  # host:port that answers the operators' calls
    region: Name = "region"
    zone: Name = "zone"
    tier: Annotated[int, msgspec.Meta(ge=0, le=4)] = 0  # 0: voter; relay: one above its upstreams

    def upstream(self, name: str) -> Upstream:
        """Return the machine as an upstream of followers and relays."""
        return Upstream(name, self.address, Location(self.region, self.zone), self.tier)


class VoterSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The settings of a voter: its persistent disk, the initial voters and its timeouts."""

    data: str  # a folder on a persistent disk
    initial: list[Name]  # voters of the first start; the same list at every voter, even one added later
    heartbeat: Seconds = 0.2  # interval between two heartbeats of the leader
    election: Seconds = 0.7  # election timeout without a heartbeat; drawn between this value and twice it
    compact_after: Annotated[int, msgspec.Meta(ge=8)] = 4096  # number of changes between two snapshots
    generation: Annotated[int, msgspec.Meta(ge=1)] = 1  # raised when a new log is created on empty disks


class RelaySection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The settings of a relay, beside its upstreams."""

    coalesce: Seconds = 0.1  # how long changes are gathered before they are forwarded together
    followers: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1000  # maximum number of watches


class ControlSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Section ``control`` of a node's operator's file. With it, the node follows the configuration."""

    fleet: Name = "fleet"
    region: Name = "region"
    zone: Name = "zone"
    bind: str = ""  # local address of outgoing connections
    keys: str  # path of a file with one or two keys, in the format of the fleet view's keys
    machines: dict[str, MachineSection]  # relays or voters that the node may watch

    def validation_error(self) -> str:
        """Return the key and the cause of an error that the types do not catch; empty if there is none."""
        if not self.machines:
            return "machines: at least one relay or voter is needed"
        return _bad_machine(self.machines)


class ControlFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The settings file of one control process."""

    name: Name
    fleet: Name = "fleet"  # peers of another fleet are rejected
    region: Name = "region"
    zone: Name = "zone"
    listen: str = ""  # host:port that peers connect to; a follower needs none
    advertise: str = ""  # host:port that others use to reach this process, if it differs from listen
    bind: str = ""  # local address of outgoing connections; empty: the address of listen
    operator: str = ""  # host:port that answers the operators' calls; empty: calls are not served
    keys: str  # path of a file with one or two base64 keys, one per line, as for the fleet view
    machines: dict[str, MachineSection] = {}  # all control machines, by name
    upstreams: list[Name] = []  # machines that a relay or follower may watch
    voter: VoterSection | None = None
    relay: RelaySection | None = None
    log: EventLogSection = msgspec.field(default_factory=EventLogSection)

    def role(self) -> ProcessRole:
        """Return the role that the file describes. A voter serves watches too."""
        if self.voter is not None:
            return "voter"
        return "relay" if self.relay is not None else "follower"

    def watched(self) -> list[Upstream]:
        """Return the machines that a relay or follower may watch."""
        return [self.machines[name].upstream(name) for name in self.upstreams]

    def bind_address(self) -> str:
        """Return the local address of outgoing connections; empty if the system chooses it."""
        return self.bind or (parse_address(self.listen)[0] if self.listen else "")


def load_keys(path: str) -> Keys:
    """Read the keys from a file. Raises ``ConfigurationError``."""
    try:
        return Keys.load(path)
    except ValueError as error:
        raise ConfigurationError(f"keys: {error}") from None


def read(path: str) -> ControlFile:
    """Read a file. Raises ``ConfigurationError`` with one line that names file, key and cause."""
    try:
        file = msgspec.convert(tomllib.loads(Path(path).read_text()), ControlFile)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    if problem := _problem(file) or _bad_address(file):
        raise ConfigurationError(f"{path}: {problem}")
    return file


def _problem(file: ControlFile) -> str:
    """Return the key and the cause of an error that the types do not catch; empty if there is none."""
    if file.voter is not None and file.relay is not None:
        return "relay: a voter serves watches without this section; remove it"
    if file.role() != "follower" and not file.listen:
        return f"listen: needed by a {file.role()}"
    if file.voter is None and not file.upstreams:
        return f"upstreams: needed by a {file.role()}"
    for name in file.upstreams:
        if name not in file.machines:
            return f"upstreams: {name}: not in machines"
    if file.voter is None:
        return ""
    if file.voter.election < 2 * file.voter.heartbeat:
        return "voter.election: less than two heartbeats; one late heartbeat would start an election"
    if not file.voter.initial or len(set(file.voter.initial)) < len(file.voter.initial):
        return "voter.initial: must name the voters of the first start, each exactly once"
    return ""


def _bad_address(file: ControlFile) -> str:
    values = {"listen": file.listen, "advertise": file.advertise, "operator": file.operator}
    for key, value in values.items():
        if problem := _address_problem(key, value):
            return problem
    return _bad_machine(file.machines)


def _bad_machine(machines: dict[str, MachineSection]) -> str:
    for name, machine in machines.items():
        for key, value in (("address", machine.address), ("operator", machine.operator)):
            if problem := _address_problem(f"machines.{name}.{key}", value):
                return problem
    return ""


def _address_problem(key: str, value: str) -> str:
    try:
        if value:
            parse_address(value)
    except ConfigurationError as error:
        return f"{key}: {error}"
    return ""
