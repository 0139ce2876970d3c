"""The status of a control process for operators. The command line combines several processes."""

from __future__ import annotations

import math

import msgspec
import trio

from merlinbay.control.fanout.messages import Summary
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.relay_host import RelayHost
from merlinbay.control_service.voter_host import VoterHost


class PeerStatus(msgspec.Struct, frozen=True):
    """The connection state of another voter, at this voter."""

    name: str
    connected: bool  # whether messages can be sent to it
    heard_ago_s: float | None  # time since its last message was received; None: never received


class VotingStatus(msgspec.Struct, frozen=True):
    """The state of a voter's replica of the log."""

    state: str  # follower, pre_candidate, candidate, leader, storage_failed
    term: int
    leader: str
    commit_index: int
    voters: tuple[str, ...]
    joining: tuple[str, ...]  # machines that catch up with the log to become voters
    peers: tuple[PeerStatus, ...]
    storage: str  # why the disk accepts no records; empty: it accepts them


class ProcessStatus(msgspec.Struct, frozen=True):
    """The status of one control process."""

    name: str
    role: str
    region: str
    zone: str
    revision: int
    age_s: float | None  # how long its data may have been out of date; None: it never had any
    upstream: str = ""
    watches: int = 0
    below: Summary = Summary()  # the revisions that the followers below have in force
    voting: VotingStatus | None = None
    operators: dict[str, str] = {}  # addresses of the operators' calls, by machine name
    counters: dict[str, int] = {}  # counts since the start of the process


def rounded(seconds: float) -> float | None:
    """Return a time for JSON: rounded to milliseconds; None for infinity, which JSON lacks."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def voter_counters(host: VoterHost) -> dict[str, int]:
    """Return a voter's counters by name: its connections, its log and its watches."""
    return {
        **host.local_peer.traffic.figures(),
        "storage_failures": host.storage_failures,
        **_prefixed("log", msgspec.to_builtins(host.voter.counters)),
        **_prefixed("watch", msgspec.structs.asdict(host.watches.server.counters)),
    }


def relay_counters(host: RelayHost) -> dict[str, int]:
    """Return a relay's counters by name: its connections, the watches it serves and its own watch."""
    return {
        **host.local_peer.traffic.figures(),
        **_prefixed("watch", msgspec.structs.asdict(host.core.server.counters)),
        **_prefixed("follow", msgspec.structs.asdict(host.core.follower.counters)),
    }


def follower_counters(host: FollowerHost) -> dict[str, int]:
    """Return a follower's counters by name: its connections and its watch."""
    return {
        **host.local_peer.traffic.figures(),
        **_prefixed("follow", msgspec.structs.asdict(host.core.counters)),
    }


def _prefixed(prefix: str, counters: dict[str, int]) -> dict[str, int]:
    return {f"{prefix}_{name}": value for name, value in counters.items()}


def voting_status(host: VoterHost) -> VotingStatus:
    """Return the state of a voter's replica of the log."""
    voter = host.voter
    other_voters = [name for name in voter.voters if name != voter.name]
    peers = [
        PeerStatus(name, host.peers.is_connected(name), _rounded_or_none(host.peers.received_ago_s(name)))
        for name in other_voters
    ]
    return VotingStatus(
        voter.role.value,
        voter.term,
        voter.leader,
        voter.commit_index,
        voter.voters,
        voter.joining,
        tuple(peers),
        host.durable.failure,
    )


def _rounded_or_none(seconds: float | None) -> float | None:
    return None if seconds is None else rounded(seconds)


def voter_status(host: VoterHost, region: str, zone: str, operators: dict[str, str]) -> ProcessStatus:
    """Return the status of a voter's process."""
    return ProcessStatus(
        host.local_peer.name,
        "voter",
        region,
        zone,
        host.watches.store.revision,
        rounded(host.watches.age()),
        watches=host.watches.server.watches,
        below=host.watches.summary(),
        voting=voting_status(host),
        operators=operators,
        counters=voter_counters(host),
    )


def relay_status(host: RelayHost, region: str, zone: str, operators: dict[str, str]) -> ProcessStatus:
    """Return the status of a relay's process."""
    now = trio.current_time()
    upstream = host.core.follower.upstream
    return ProcessStatus(
        host.local_peer.name,
        "relay",
        region,
        zone,
        host.core.follower.revision,
        rounded(host.core.follower.staleness(now)),
        upstream=upstream.name if upstream is not None else "",
        watches=host.core.server.watches,
        below=host.core.server.summary(now),
        operators=operators,
        counters=relay_counters(host),
    )


def follower_status(host: FollowerHost, region: str, zone: str, operators: dict[str, str]) -> ProcessStatus:
    """Return the status of a follower's process."""
    upstream = host.core.upstream
    return ProcessStatus(
        host.local_peer.name,
        "follower",
        region,
        zone,
        host.core.revision,
        rounded(host.core.staleness(trio.current_time())),
        upstream=upstream.name if upstream is not None else "",
        operators=operators,
        counters=follower_counters(host),
    )
