"""Settings of a voter. All voters of a log have the same settings; invalid ones raise ``ValueError``."""

from __future__ import annotations

from dataclasses import dataclass, field

KIB = 1024


@dataclass(frozen=True, slots=True)
class VoterPlacement:
    """The region and zone of a voter."""

    region: str = ""
    zone: str = ""


@dataclass(frozen=True, slots=True)
class VoterSettings:
    """The settings of a voter, with times in seconds and sizes in bytes.

    The times suit round trips of up to some 100 ms between regions: a lost leader is replaced within twice
    the election timeout and two round trips.
    """

    initial_voters: tuple[str, ...]  # names; used only until the first configuration is agreed on
    placements: dict[str, VoterPlacement] = field(default_factory=dict)
    election_timeout_s: float = 0.7  # minimum; each timeout is drawn between this and twice this value
    heartbeat_interval_s: float = 0.2
    lease_s: float = 0.7  # a leader that no majority has confirmed for this long steps down
    request_timeout_s: float = 3.0  # a proposal or read that takes longer is answered as uncertain or failed
    voters_timeout_s: float = 60.0  # as request_timeout_s for a change of voters; the new voter must catch up
    max_proposals: int = 256  # proposals in flight at the leader; more are rejected as overloaded
    max_reads: int = 1024  # reads in flight at the leader; more are answered as failed
    max_change_bytes: int = 64 * KIB  # size of key, value and id of one change
    max_batch_bytes: int = 256 * KIB  # size of the entries in one message, and of a chunk of a snapshot
    max_messages_in_flight: int = 8  # unacknowledged batches to one voter
    max_log_entries: int = 65_536  # entries not compacted yet; at this number, proposals are rejected
    compact_after_entries: int = 4096  # applied entries after which a snapshot replaces them
    keep_entries: int = 1024  # entries left in the log at a snapshot, for voters slightly behind
    history_revisions: int = 16_384  # revisions of the keyspace for which deltas are kept

    def __post_init__(self) -> None:
        if not self.initial_voters or len(set(self.initial_voters)) < len(self.initial_voters):
            raise ValueError("initial_voters has to name each initial voter once")
        if not 0 < 2 * self.heartbeat_interval_s <= min(self.election_timeout_s, self.lease_s):
            raise ValueError("two heartbeat intervals have to fit into the election timeout and the lease")
        if self.max_change_bytes > self.max_batch_bytes:
            raise ValueError("a change has to fit into a batch: max_change_bytes exceeds max_batch_bytes")
        if not 0 <= self.keep_entries < self.compact_after_entries < self.max_log_entries:
            raise ValueError("keep_entries < compact_after_entries < max_log_entries has to hold")

    def region(self, voter: str) -> str:
        """Return the region of a voter, or an empty text if none is set."""
        return self.placements.get(voter, VoterPlacement()).region
