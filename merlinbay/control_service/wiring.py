"""Builds the parts of a control process from its file: voter, relay or follower.

It is called once, when the process starts. A part that cannot be built raises ``ConfigurationError``.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from merlinbay.control.consensus.settings import VoterPlacement, VoterSettings
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.settings import FollowerSettings, RelaySettings, WatchServerSettings
from merlinbay.control.fanout.topology import Location
from merlinbay.control.voter import CorruptRecordsError
from merlinbay.control_service import status
from merlinbay.control_service.durable_log import CorruptLogError, DurableLog, NotDurableError
from merlinbay.control_service.follower_calls import FollowerCalls
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.listening import listen_at
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.machines import MachineDirectory
from merlinbay.control_service.operator_calls import OperatorCalls
from merlinbay.control_service.relay_host import RelayHost
from merlinbay.control_service.settings import ControlFile, VoterSection
from merlinbay.control_service.voter_calls import VoterCalls
from merlinbay.control_service.voter_host import VoterHost
from merlinbay.errors import ConfigurationError
from merlinbay.log import Log

DATABASE_NAME = "control.db"  # file name in the folder ``voter.data``


def make_random() -> Random:
    """Return a random generator with a new seed."""
    return Random(secrets.randbits(64))


def generation(file: ControlFile, section: VoterSection) -> Generation:
    """Return the generation that a voter serves. It is the same at all voters of one log."""
    initial_voters = ",".join(sorted(section.initial))
    log_id = hashlib.blake2b(f"{file.fleet}/{section.generation}/{initial_voters}".encode(), digest_size=8)
    return Generation(section.generation, log_id.hexdigest())


def voter_settings(file: ControlFile, section: VoterSection) -> VoterSettings:
    """Return the settings of the voter's core."""
    return VoterSettings(
        initial_voters=tuple(section.initial),
        placements={
            name: VoterPlacement(machine.region, machine.zone) for name, machine in file.machines.items()
        },
        election_timeout_s=section.election,
        heartbeat_interval_s=section.heartbeat,
        lease_s=section.election,
        compact_after_entries=section.compact_after,
        keep_entries=section.compact_after // 4,
        history_revisions=section.compact_after * 4,
    )


@dataclass(slots=True)
class ProcessParts:
    """The parts of one process."""

    local_peer: LocalPeer
    calls: OperatorCalls
    start: Callable[[trio.Nursery], None]
    leave: Callable[[], None]  # transfers leadership and watches before the process ends


async def voter_parts(
    file: ControlFile, section: VoterSection, local_peer: LocalPeer, log: Log
) -> ProcessParts:
    """Build the parts of a voter. Raises ``ConfigurationError``."""
    listening = await _listen(file)
    path = Path(section.data) / DATABASE_NAME
    try:
        path.parent.mkdir(exist_ok=True)
        durable = DurableLog(path, log)
    except OSError as error:
        raise ConfigurationError(f"voter.data: {section.data}: {error.strerror}") from None
    except (NotDurableError, CorruptLogError) as error:
        raise ConfigurationError(f"voter.data: {path}: {error}") from None
    machines = MachineDirectory(file.machines)
    try:
        host = VoterHost(
            local_peer,
            voter_settings(file, section),
            durable,
            machines.address_of,
            generation(file, section),
            WatchServerSettings(),
            make_random,
            log,
        )
    except (CorruptRecordsError, CorruptLogError) as error:
        raise ConfigurationError(f"voter.data: {path}: {error}") from None
    machines.get_key = lambda key: host.watches.store.current.get(key)

    def leave() -> None:
        host.transfer_leadership()
        host.watches.drain()

    calls = VoterCalls(host, machines, file)
    return ProcessParts(local_peer, calls, lambda nursery: nursery.start_soon(host.run, listening), leave)


async def relay_parts(file: ControlFile, local_peer: LocalPeer, nursery: trio.Nursery) -> ProcessParts:
    """Build the parts of a relay. Raises ``ConfigurationError``."""
    assert file.relay is not None
    listening = await _listen(file)
    settings = RelaySettings(
        server=WatchServerSettings(coalesce=file.relay.coalesce, max_watches=file.relay.followers)
    )
    upstreams = file.watched()
    tier = 1 + max(upstream.tier for upstream in upstreams)
    others = [name for name, machine in file.machines.items() if machine.tier == tier and name != file.name]
    host = RelayHost(
        local_peer,
        Location(file.region, file.zone),
        upstreams,
        settings,
        make_random(),
        nursery,
        tier=tier,
        others=others,
    )
    machines = MachineDirectory(file.machines, host.core.follower.get)
    calls = FollowerCalls(
        machines,
        lambda: status.relay_status(host, file.region, file.zone, machines.operators()),
        host.core.follower.snapshot,
    )
    return ProcessParts(
        local_peer, calls, lambda nursery: nursery.start_soon(host.run, listening), host.drain
    )


def follower_parts(file: ControlFile, local_peer: LocalPeer, nursery: trio.Nursery) -> ProcessParts:
    """Build the parts of a follower."""
    host = FollowerHost(
        local_peer,
        Location(file.region, file.zone),
        file.watched(),
        FollowerSettings(),
        make_random(),
        nursery,
    )
    machines = MachineDirectory(file.machines, host.core.get)
    calls = FollowerCalls(
        machines,
        lambda: status.follower_status(host, file.region, file.zone, machines.operators()),
        host.core.snapshot,
    )
    return ProcessParts(local_peer, calls, lambda nursery: host.start(), host.stop)


async def _listen(file: ControlFile) -> trio.socket.SocketType:
    try:
        return await listen_at(file.listen)
    except OSError as error:
        raise ConfigurationError(f"listen: cannot listen at {file.listen}: {error.strerror}") from None
