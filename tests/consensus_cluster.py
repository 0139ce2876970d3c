"""A cluster of voters in virtual time with a network and disks that fail, and random sequences of faults."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from merlinbay.control.consensus.log import LogEntry
from merlinbay.control.consensus.membership import Configuration
from merlinbay.control.effects import (
    Persist,
    ProposalDone,
    ReadDone,
    RevisionAdvanced,
    SendMessage,
    VoterEffect,
)
from merlinbay.control.entries import Change, ChangeApplied, ChangeResult
from merlinbay.control.voter import Voter, VoterRole, VoterSettings

NAMES = ("a", "b", "c", "d", "e")


def settings(names: tuple[str, ...] = NAMES, **overrides: Any) -> VoterSettings:
    """Return settings with early compaction, so that snapshots are sent after few entries."""
    small = {"compact_after_entries": 24, "keep_entries": 8, "max_batch_bytes": 900, "max_change_bytes": 600}
    return VoterSettings(names, **{**small, **overrides})


class Cluster:
    """Voters in virtual time, with a network and disks that fail; checks Raft's invariants at each step."""

    def __init__(self, seed: int = 0, names: tuple[str, ...] = NAMES, **overrides: Any) -> None:
        self.settings = settings(names, **overrides)
        self.rng = Random(seed)
        self.now = 0.0
        self.numbers = count(1)
        self.queue: list[tuple[float, int, str, str, bytes]] = []
        self.disks: dict[str, list[bytes]] = {}
        self.voters: dict[str, Voter] = {}
        self.skew: dict[str, float] = {}
        self.paused: dict[str, list[tuple[str, bytes]]] = {}  # each with the messages that wait for it
        self.full_disks: set[str] = set()
        self.cut: set[tuple[str, str]] = set()  # links that lose all messages, as (sender, receiver)
        self.loss = self.duplication = 0.0
        self.delay = 0.02
        self.sent: dict[str, int] = defaultdict(int)
        self.results: dict[int, ChangeResult] = {}
        self.reads: dict[int, ReadDone] = {}
        self.leaders: dict[int, tuple[str, str]] = {}
        self.committed: dict[int, LogEntry] = {}
        self.digests: dict[int, str] = {}
        self.checked_index: dict[str, int] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> Voter:
        """Start a voter from its disk."""
        self.skew.setdefault(name, self.rng.uniform(0, 3600))
        stored = self.disks.setdefault(name, [])
        voter = Voter(name, self.settings, stored, Random(self.rng.random()), self.clock(name))
        self.voters[name], self.checked_index[name] = voter, voter.commit_index
        self.carry_out(name)
        return voter

    def clock(self, name: str) -> float:
        """Return the voter's own time."""
        return self.now + self.skew[name]

    def crash(self, name: str, lose_disk: bool = False) -> None:
        """End a voter's process; its records stay unless ``lose_disk`` is set."""
        self.voters.pop(name, None)
        self.paused.pop(name, None)
        if lose_disk:
            self.disks[name] = []

    def resume(self, name: str) -> None:
        """Resume a paused voter, which receives the messages that arrived meanwhile."""
        for sender, message in self.paused.pop(name):
            self.call(name, "receive", sender, message)

    def call(self, name: str, method: str, *values: Any) -> None:
        """Call a method of a voter and carry out its effects."""
        getattr(self.voters[name], method)(self.clock(name), *values)
        self.carry_out(name)

    def carry_out(self, name: str) -> None:
        """Carry out a voter's effects as a host does, and check the invariants.

        A ``Persist`` at a full disk fails, after which the voter may store and send nothing.
        """
        voter = self.voters[name]
        effects = voter.take_effects()
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Persist) and name in self.full_disks:
                voter.storage_failed(self.clock(name), [effect, *effects])
                effects = voter.take_effects()
                assert not any(isinstance(later, (Persist, SendMessage)) for later in effects)
            else:
                self.carry_out_effect(name, effect)
        self.check(name, voter)

    def carry_out_effect(self, name: str, effect: VoterEffect) -> None:
        """Carry out one effect."""
        match effect:
            case Persist():
                self.disks[name] = [*([] if effect.replaces_all else self.disks[name]), effect.record]
            case SendMessage():
                self.send(name, effect)
            case ProposalDone():
                assert effect.token not in self.results
                self.results[effect.token] = effect.result
            case ReadDone():
                assert effect.token not in self.reads
                self.reads[effect.token] = effect
            case RevisionAdvanced():
                assert effect.revision == self.voters[name].keyspace.revision

    def send(self, name: str, effect: SendMessage) -> None:
        """Queue a message for delivery once, twice, or not at all if it is lost."""
        self.sent[name] += 1
        if (name, effect.receiver) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            at = self.now + self.delay * self.rng.uniform(0.5, 2)
            heapq.heappush(self.queue, (at, next(self.numbers), name, effect.receiver, effect.message))

    def check(self, name: str, voter: Voter) -> None:
        """Check election safety, state machine safety, and equal digests at equal commit indexes."""
        if voter.role is VoterRole.LEADER:
            leader = (name, voter.incarnation)
            assert self.leaders.setdefault(voter.term, leader) == leader
        for index in range(self.checked_index[name] + 1, voter.commit_index + 1):
            entry = voter._raft.log.get(index)
            if entry is not None:
                assert self.committed.setdefault(index, entry) == entry
                self.check_configuration(entry)
        self.checked_index[name] = voter.commit_index
        if voter.commit_index:
            digest = voter.keyspace.digest()
            assert self.digests.setdefault(voter.commit_index, digest) == digest

    def check_configuration(self, entry: LogEntry) -> None:
        """Check that majorities of this configuration and of the one before overlap."""
        if not isinstance(entry.command, Configuration):
            return
        for index in range(entry.index - 1, 0, -1):
            previous = self.committed[index].command if index in self.committed else None
            if isinstance(previous, Configuration):
                assert len(set(previous.members) ^ set(entry.command.members)) <= 1
                return

    def step(self, until: float) -> bool:
        """Process the next event; return False if there is none before ``until``."""
        due = [
            (voter.next_deadline() - self.skew[name], name)
            for name, voter in self.voters.items()
            if name not in self.paused
        ]
        at, name = min(due, default=(until + 1, ""))
        if self.queue and self.queue[0][0] <= max(at, self.now):
            at, _, sender, name, message = heapq.heappop(self.queue)
            if at > until:
                heapq.heappush(self.queue, (at, next(self.numbers), sender, name, message))
                return False
            self.now = max(self.now, at)
            if name in self.paused:
                self.paused[name].append((sender, message))
            elif name in self.voters:
                self.call(name, "receive", sender, message)
            return True
        if at > until:
            return False
        self.now = max(self.now, at)
        # The difference of two clocks is rounded. A tick just before its deadline would be repeated forever.
        self.now = max(self.now, self.voters[name].next_deadline() - self.skew[name] + 1e-9)
        self.call(name, "tick")
        return True

    def run(self, seconds: float, until: Callable[[], object] = lambda: False) -> bool:
        """Run for a time, or until ``until`` returns a true value; return whether it did."""
        end = self.now + seconds
        while not until():
            if not self.step(end):
                self.now = end
                return bool(until())
        return True

    def leader(self) -> str:
        """Wait for a leader that has committed an entry of its term; return its name."""

        def current_leaders() -> list[str]:
            running = {name: voter for name, voter in self.voters.items() if name not in self.paused}
            leading = [name for name, voter in running.items() if voter.role is VoterRole.LEADER]
            highest_term = max((self.voters[name].term for name in leading), default=0)
            return [
                name
                for name in leading
                if self.voters[name].term == highest_term and self.voters[name]._raft.own_term_committed
            ]

        assert self.run(60, current_leaders), "no leader was elected within 60 s"
        return current_leaders()[0]

    def propose(self, name: str, key: str, value: str = "", **fields: Any) -> int:
        """Propose a change; return its token."""
        token = next(self.numbers)
        change_id = fields.pop("change_id", f"change-{token}")
        self.call(name, "propose", Change(change_id, key, value.encode(), **fields), token)
        return token

    def commit(self, key: str, value: str = "", **fields: Any) -> ChangeResult:
        """Propose a change to the leader and wait for its result."""
        token = self.propose(self.leader(), key, value, **fields)
        assert self.run(10, lambda: token in self.results)
        return self.results[token]

    def commit_count(self) -> int:
        """Return how many changes were committed."""
        return sum(isinstance(entry.command, Change) for entry in self.committed.values())

    def read(self, name: str, key: str) -> int:
        """Start a read; return its token."""
        token = next(self.numbers)
        self.call(name, "read", key, token)
        return token

    def cut_off(self, side: set[str]) -> None:
        """Cut all links between ``side`` and the others."""
        others = set(self.disks) - side
        self.cut |= {(name, other) for name in side for other in others}
        self.cut |= {(other, name) for name in side for other in others}


class FaultSequence:
    """A seeded random sequence of client requests and faults, in which only a minority of disks is lost."""

    def __init__(self, seed: int, names: tuple[str, ...]) -> None:
        self.rng = Random(f"trouble {seed}")
        self.cluster = Cluster(seed, names)
        self.cluster.loss, self.cluster.duplication = (
            self.rng.choice([0, 0.02, 0.1]),
            self.rng.choice([0, 0.05]),
        )
        self.lost: set[str] = set()  # voters that lost their disk and are not admitted again yet
        self.acknowledged: dict[str, int] = {}  # revision of each applied change, by change id
        self.open: dict[int, Change] = {}  # proposals that are not answered yet, by token
        self.reading: dict[int, int] = {}  # the revision that each open read must reach, by token

    def inject(self, steps: int) -> None:
        """Take random actions, and check the answers to clients after each; then repair everything."""
        for _ in range(steps):
            action = self.rng.choice(
                [self.propose] * 8 + [self.read] * 4 + [self.crash, self.stop, self.cut, self.heal, self.fill]
            )
            action()
            self.cluster.run(self.rng.choice([0.01, 0.05, 0.3, 1.0]))
            self.check_answers()
        self.repair_and_check()

    def propose(self) -> None:
        """Propose a new change or repeat an open one, at a leader or else at any voter."""
        running = [name for name in self.cluster.voters if name not in self.cluster.paused]
        if not running:
            return
        token = next(self.cluster.numbers)
        unanswered = list(self.open.values())
        expected = self.rng.choice([None, None, self.cluster.voters[running[0]].keyspace.key_revision("k1")])
        change = Change(f"id-{token}", f"k{token % 3}", bytes(self.rng.randrange(200)), expected)
        if unanswered and self.rng.random() < 0.2:
            change = self.rng.choice(unanswered)
        self.open[token] = change
        leading = [name for name in running if self.cluster.voters[name].role is VoterRole.LEADER]
        self.cluster.call(self.rng.choice(leading or running), "propose", change, token)

    def read(self) -> None:
        """Start a read at any voter; it has to see all changes acknowledged so far."""
        running = [name for name in self.cluster.voters if name not in self.cluster.paused]
        if running:
            token = self.cluster.read(self.rng.choice(running), "k1")
            self.reading[token] = max(self.acknowledged.values(), default=0)

    def crash(self) -> None:
        """Start a voter that is down, or else end one, in some cases with the loss of its disk."""
        cluster = self.cluster
        down = sorted(set(cluster.disks) - set(cluster.voters))
        if down:
            cluster.start(self.rng.choice(down))
            return
        name = self.rng.choice(sorted(cluster.disks))
        readmitted = {
            lost for lost in self.lost if lost in cluster.voters and cluster.voters[lost]._raft.is_member
        }
        none_joining = all(not voter.joining for voter in cluster.voters.values())
        self.lost -= readmitted if none_joining else set()
        may_lose = len(self.lost | {name}) <= (len(cluster.disks) - 1) // 2 and len(cluster.committed) > 0
        lose = may_lose and self.rng.random() < 0.4
        self.lost |= {name} if lose else set()
        cluster.crash(name, lose)

    def stop(self) -> None:
        """Pause a voter, or resume one that is paused."""
        cluster = self.cluster
        if cluster.paused:
            cluster.resume(self.rng.choice(sorted(cluster.paused)))
        elif cluster.voters:
            cluster.paused[self.rng.choice(sorted(cluster.voters))] = []

    def cut(self) -> None:
        """Cut one link in one direction, or all links between two sides."""
        names = sorted(self.cluster.disks)
        if self.rng.random() < 0.5:
            self.cluster.cut.add((self.rng.choice(names), self.rng.choice(names)))
        else:
            self.cluster.cut_off(set(self.rng.sample(names, self.rng.randrange(1, len(names)))))

    def heal(self) -> None:
        """Restore all links."""
        self.cluster.cut.clear()

    def fill(self) -> None:
        """Fill a disk, or free a full one and restart its voter from the stored records."""
        cluster = self.cluster
        if cluster.full_disks:
            name = cluster.full_disks.pop()
            if name in cluster.voters and cluster.voters[name].role is VoterRole.STORAGE_FAILED:
                cluster.crash(name)
                cluster.start(name)
        else:
            cluster.full_disks.add(self.rng.choice(sorted(cluster.disks)))

    def check_answers(self) -> None:
        """Check the new answers.

        All repeats of an applied change have the same revision, and no read misses an acknowledged change.
        """
        for token in sorted(self.open.keys() & self.cluster.results.keys()):
            change, result = self.open.pop(token), self.cluster.results[token]
            if isinstance(result, ChangeApplied):
                assert self.acknowledged.setdefault(change.change_id, result.revision) == result.revision
        for token in sorted(self.reading.keys() & self.cluster.reads.keys()):
            done = self.cluster.reads[token]
            assert done.failed or done.revision >= self.reading[token]
            del self.reading[token]

    def repair_and_check(self) -> None:
        """Repair all faults, and check that all voters reach one state with all acknowledged changes."""
        cluster = self.cluster
        cluster.cut.clear()
        cluster.full_disks.clear()
        cluster.loss = cluster.duplication = 0
        for name in sorted(cluster.paused):
            cluster.resume(name)
        for name in sorted(cluster.disks):
            if name not in cluster.voters or cluster.voters[name].role is VoterRole.STORAGE_FAILED:
                cluster.crash(name)
                cluster.start(name)
        assert cluster.run(90, self.is_settled), "the cluster did not settle within 90 s"
        cluster.run(1)
        self.check_answers()
        assert len({voter.keyspace.digest() for voter in cluster.voters.values()}) == 1
        applied = [
            entry.command
            for _, entry in sorted(cluster.committed.items())
            if isinstance(entry.command, Change)
        ]
        assert {change.change_id for change in applied} >= self.acknowledged.keys()

    def is_settled(self) -> bool:
        """Return whether there is a leader and all are voters again with the same log and commit index."""
        voters = self.cluster.voters.values()
        return (
            all(voter._raft.is_member and not voter.joining for voter in voters)
            and len({(voter.commit_index, voter.last_index) for voter in voters}) == 1
            and any(voter.role is VoterRole.LEADER for voter in voters)
        )
