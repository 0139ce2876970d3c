"""Where the control processes and followers of a run stand: names, files and addresses. No I/O but the keys.

Members are named by their numbers; voters and relays have the ports that their files would name.
"""

from __future__ import annotations

import msgspec

from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control_service.settings import ControlFile, MachineSection, RelaySection, VoterSection
from merlinbay.scale.keys import write_keys
from merlinbay.scale.layout import address_of, region_of, zone_of
from merlinbay.scale.plan import RolePlan
from merlinbay.scale.roles import RunFacts

VOTER, RELAY, FOLLOWER = "control-voter", "control-relay", "control-follower"
PORT, OPERATOR_PORT = 7950, 7951
LETTERS = {VOTER: "v", RELAY: "r", FOLLOWER: "f"}


def name_of(role: str, number: int) -> str:
    """Return a member's name."""
    return f"{LETTERS[role]}{number}"


def location_of(run: RunFacts, number: int) -> Location:
    """Return a member's region and zone."""
    zone = zone_of(run.topology, number)
    return Location(f"region-{region_of(run.topology, zone)}", f"zone-{zone}")


def operator_of(run: RunFacts, number: int) -> str:
    """Return where a control process takes operators' calls."""
    return f"{address_of(run.net, number)}:{OPERATOR_PORT}"


def machine_of(run: RunFacts, role: str, number: int) -> MachineSection:
    """Return a control process as the others' files have it."""
    location = location_of(run, number)
    return MachineSection(
        address=f"{address_of(run.net, number)}:{PORT}",
        operator=operator_of(run, number),
        region=location.region,
        zone=location.zone,
        tier=0 if role == VOTER else 1,
    )


def machines_of(run: RunFacts) -> dict[str, MachineSection]:
    """Return all control processes by name."""
    return {
        name_of(role, number): machine_of(run, role, number)
        for role in (VOTER, RELAY)
        for number in run.numbers.get(role, [])
    }


def control_file(plan: RolePlan, run: RunFacts, number: int) -> ControlFile:
    """Return the file of a voter or relay. Raises ``msgspec.ValidationError`` for settings that are none."""
    location, name = location_of(run, number), name_of(plan.role, number)
    voters = [name_of(VOTER, voter) for voter in run.numbers[VOTER]]
    file = ControlFile(
        name=name,
        fleet=run.folder.name,
        region=location.region,
        zone=location.zone,
        listen=f"{address_of(run.net, number)}:{PORT}",
        operator=operator_of(run, number),
        keys=str(write_keys(run)),
        machines=machines_of(run),
    )
    if plan.role == VOTER:
        about = {"data": str(run.folder / name), "initial": voters, **plan.settings}
        return msgspec.structs.replace(file, voter=msgspec.convert(about, VoterSection))
    relay = msgspec.convert(plan.settings, RelaySection)
    return msgspec.structs.replace(file, relay=relay, upstreams=voters)


def upstreams_of(run: RunFacts, number: int) -> dict[str, MachineSection]:
    """Return the relays that a follower may watch: those of its region, or all where it has none."""
    relays = {name_of(RELAY, relay): machine_of(run, RELAY, relay) for relay in run.numbers[RELAY]}
    region = location_of(run, number).region
    near = {name: machine for name, machine in relays.items() if machine.region == region}
    return near or relays


def watched_by(run: RunFacts, number: int) -> list[Upstream]:
    """Return the relays that a follower may watch, as its core takes them."""
    return [machine.upstream(name) for name, machine in upstreams_of(run, number).items()]
