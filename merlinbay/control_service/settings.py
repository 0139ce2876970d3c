"""The file of one control process, as types: one TOML file, one line where something is wrong with it."""

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
    lines: Annotated[int, msgspec.Meta(ge=1)] = 20  # of one event a second; what is beyond it is counted


class MachineSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Where a control machine is reached."""

    address: str  # host:port of voters, relays and followers
    operator: str = ""  # host:port of the operators' calls
    region: Name = "region"
    zone: Name = "zone"
    tier: Annotated[int, msgspec.Meta(ge=0, le=4)] = 0  # 0: a voter; a relay: one above its upstreams

    def upstream(self, name: str) -> Upstream:
        """Return the machine as followers and relays know it."""
        return Upstream(name, self.address, Location(self.region, self.zone), self.tier)


class VoterSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a voter needs: a disk that lasts, the voters of the beginning, and its times."""

    data: str  # a folder that lasts
    initial: list[Name]  # voters of the first start: the same at each voter, also one that is added later
    heartbeat: Seconds = 0.2
    election: Seconds = 0.7  # without a heartbeat; drawn from it to twice it
    compact_after: Annotated[int, msgspec.Meta(ge=8)] = 4096  # changes between two snapshots
    generation: Annotated[int, msgspec.Meta(ge=1)] = 1  # raised where a new log is founded on empty disks


class RelaySection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a relay needs beside its upstreams."""

    coalesce: Seconds = 0.1  # changes are gathered for so long before they are passed on
    followers: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1000


class ControlSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Section ``control`` of a node's operator's file: the node follows the configuration."""

    fleet: Name = "fleet"
    region: Name = "region"
    zone: Name = "zone"
    bind: str = ""  # the local address of its own connections
    keys: str  # a file of one or two keys, as for the fleet's view
    machines: dict[str, MachineSection]  # relays or voters that it may watch

    def wrong(self) -> str:
        """Return what is wrong with the section beyond its types: key and cause; empty: nothing."""
        if not self.machines:
            return "machines: at least one relay or voter is needed"
        return _bad_machine(self.machines)


class ControlFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The file of one control process."""

    name: Name
    fleet: Name = "fleet"  # a process of another fleet is refused
    region: Name = "region"
    zone: Name = "zone"
    listen: str = ""  # host:port of voters, relays and followers; a follower needs none
    advertise: str = ""  # where the others reach it, if that differs
    bind: str = ""  # the local address of its own connections; empty: that of listen
    operator: str = ""  # host:port of the operators' calls; empty: none
    keys: str  # a file of one or two keys, base64, one a line, as for the fleet's view
    machines: dict[str, MachineSection] = {}  # the control machines by name
    upstreams: list[Name] = []  # machines that a relay or follower may watch
    voter: VoterSection | None = None
    relay: RelaySection | None = None
    log: EventLogSection = msgspec.field(default_factory=EventLogSection)

    def role(self) -> ProcessRole:
        """Return the role that the file describes; a voter serves watches as well."""
        if self.voter is not None:
            return "voter"
        return "relay" if self.relay is not None else "follower"

    def watched(self) -> list[Upstream]:
        """Return the machines that a relay or follower may watch."""
        return [self.machines[name].upstream(name) for name in self.upstreams]

    def bind_address(self) -> str:
        """Return the local address of its own connections."""
        return self.bind or (parse_address(self.listen)[0] if self.listen else "")


def load_keys(path: str) -> Keys:
    """Read the keys. Raises ``ConfigurationError``."""
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
    """Return key and cause of what is wrong beyond the types; empty: nothing."""
    if file.voter is not None and file.relay is not None:
        return "relay: a voter serves watches without this section"
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
        return "voter.election: less than two heartbeats: one that is late would start an election"
    if not file.voter.initial or len(set(file.voter.initial)) < len(file.voter.initial):
        return "voter.initial: the voters of the first start have to be named, each once"
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
