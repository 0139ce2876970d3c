"""Observes voters whose effects are all carried out, and records what changed for the checks."""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.control.simulation.follower import state_digest
from merlinbay.control.simulation.history import (
    AppliedSeen,
    EntrySeen,
    FinalState,
    History,
    LeaderSeen,
    LogSeen,
    StateSeen,
)
from merlinbay.control.simulation.ports import CoreUnderTest, LogExtent, VoterPort
from merlinbay.control.simulation.process import SimulatedProcess

EMPTY_EXTENT = LogExtent(0, 0, 0)


@dataclass
class ObservedStart:
    """The last observation of a voter since one of its starts."""

    voter: VoterPort
    revision: int = 0
    extent: LogExtent = EMPTY_EXTENT
    committed: int = 0  # the highest commit index seen
    # By index: the term, and whether the entry is committed.
    entries: dict[int, tuple[int, bool]] = field(default_factory=dict)


class Observer:
    """Keeps the last observation of each voter and records only what changed since then."""

    def __init__(self, core: CoreUnderTest, history: History) -> None:
        """Start without observations."""
        self.core = core
        self.history = history
        self.seen: dict[str, ObservedStart] = {}
        self.led: set[tuple[str, int]] = set()  # voters and the terms that they led

    def observe(self, host: SimulatedProcess, time: float) -> str:
        """Record the changes at a voter; return a line for the trace if it began to lead."""
        voter = host.voter
        assert voter is not None
        seen = self.seen.get(host.name)
        if seen is None or seen.voter is not voter:
            seen = self.seen[host.name] = ObservedStart(voter)
        self._observe_state(host.name, seen, time)
        extent = self.core.extent(voter) or EMPTY_EXTENT
        if extent != seen.extent:
            self._observe_log(host, seen, extent, time)
        term = self.core.leading_term(voter)
        if term is None or (host.name, term) in self.led:
            return ""
        self.led.add((host.name, term))
        self.history.leaders.append(LeaderSeen(time, host.name, term, extent.last_index))
        return f"{host.name} leads term {term}"

    def _observe_state(self, name: str, seen: ObservedStart, time: float) -> None:
        revision = seen.voter.keyspace.revision
        if revision == seen.revision:
            return
        delta = seen.voter.keyspace.delta_after(seen.revision) if revision > seen.revision else None
        snapshot = self.core.snapshot(seen.voter)
        entries = delta.entries if delta is not None else snapshot.entries
        self.history.applied += [AppliedSeen(time, name, entry) for entry in entries]
        self.history.states.append(StateSeen(time, name, revision, state_digest(snapshot.entries)))
        seen.revision = revision

    def _observe_log(
        self, host: SimulatedProcess, seen: ObservedStart, extent: LogExtent, time: float
    ) -> None:
        seen.extent = extent
        log = self.core.log(seen.voter, seen.committed + 1)
        self.history.logs.append(
            LogSeen(
                time,
                host.name,
                host.disk.number,
                extent.last_index,
                extent.commit_index,
                log.state_digest,
                host.starts,
            )
        )
        previous = log.previous_term
        for entry in log.entries:
            observed = (entry.term, entry.index <= extent.commit_index)
            if seen.entries.get(entry.index) != observed:
                seen.entries[entry.index] = observed
                self.history.entries.append(
                    EntrySeen(
                        time,
                        host.name,
                        entry.index,
                        entry.term,
                        entry.content,
                        previous,
                        observed[1],
                        log.term,
                    )
                )
            previous = entry.term
        seen.committed = max(seen.committed, extent.commit_index)

    def finish(self, hosts: list[SimulatedProcess]) -> None:
        """Record the final state of the voters that run; the others are missing in the history."""
        self.history.expected_finals = len(hosts)
        for host in hosts:
            if host.voter is not None:
                snapshot = self.core.snapshot(host.voter)
                digest = state_digest(snapshot.entries)
                admitted = self.core.admitted(host.voter)
                self.history.finals.append(
                    FinalState(host.name, snapshot.revision, digest, snapshot.entries, admitted)
                )
