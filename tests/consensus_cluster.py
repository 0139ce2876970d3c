"""A small cluster of voters in virtual time, with a network and disks that fail, for tests."""

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


def settings(names: tuple[str, ...] = NAMES, **more: Any) -> VoterSettings:
    """Return settings that compact early, so that snapshots are sent."""
    small = {"compact_after_entries": 24, "keep_entries": 8, "max_batch_bytes": 900, "max_change_bytes": 600}
    return VoterSettings(names, **{**small, **more})


class Cluster:
    """Voters in virtual time, with a network and disks that fail; checks Raft's invariants at each step."""

    def __init__(self, seed: int = 0, names: tuple[str, ...] = NAMES, **more: Any) -> None:
        self.settings = settings(names, **more)
        self.rng = Random(seed)
        self.now = 0.0
        self.numbers = count(1)
        self.queue: list[tuple[float, int, str, str, bytes]] = []
        self.disks: dict[str, list[bytes]] = {}
        self.voters: dict[str, Voter] = {}
        self.skew: dict[str, float] = {}
        self.stopped: dict[str, list[tuple[str, bytes]]] = {}  # with the messages that wait for it
        self.full: set[str] = set()
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.loss = self.twice = 0.0
        self.delay = 0.02
        self.sent: dict[str, int] = defaultdict(int)
        self.results: dict[int, ChangeResult] = {}
        self.reads: dict[int, ReadDone] = {}
        self.leaders: dict[int, tuple[str, str]] = {}
        self.committed: dict[int, LogEntry] = {}
        self.digests: dict[int, str] = {}
        self.seen: dict[str, int] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> Voter:
        """Start a voter from its disk."""
        self.skew.setdefault(name, self.rng.uniform(0, 3600))
        stored = self.disks.setdefault(name, [])
        voter = Voter(name, self.settings, stored, Random(self.rng.random()), self.clock(name))
        self.voters[name], self.seen[name] = voter, voter.commit_index
        self.carry_out(name)
        return voter

    def clock(self, name: str) -> float:
        """Return the voter's own time."""
        return self.now + self.skew[name]

    def crash(self, name: str, lose_disk: bool = False) -> None:
        """End a voter."""
        self.voters.pop(name, None)
        self.stopped.pop(name, None)
        if lose_disk:
            self.disks[name] = []

    def wake(self, name: str) -> None:
        """Let a stopped voter go on, with all that has come in."""
        for sender, message in self.stopped.pop(name):
            self.call(name, "receive", sender, message)

    def call(self, name: str, method: str, *values: Any) -> None:
        """Call a method of a voter, and carry out what follows."""
        getattr(self.voters[name], method)(self.clock(name), *values)
        self.carry_out(name)

    def carry_out(self, name: str) -> None:
        """Do a host's work."""
        voter = self.voters[name]
        effects = voter.take_effects()
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Persist) and name in self.full:
                voter.storage_failed(self.clock(name), [effect, *effects])
                effects = voter.take_effects()
                assert not any(isinstance(one, (Persist, SendMessage)) for one in effects)
            else:
                self.do(name, effect)
        self.check(name, voter)

    def do(self, name: str, effect: VoterEffect) -> None:
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
        """Put a message on its way, none, one or two times."""
        self.sent[name] += 1
        if (name, effect.receiver) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.twice else 1):
            at = self.now + self.delay * self.rng.uniform(0.5, 2)
            heapq.heappush(self.queue, (at, next(self.numbers), name, effect.receiver, effect.message))

    def check(self, name: str, voter: Voter) -> None:
        """Check election safety, state machine safety and the digests."""
        if voter.role is VoterRole.LEADER:
            leader = (name, voter.incarnation)
            assert self.leaders.setdefault(voter.term, leader) == leader
        for index in range(self.seen[name] + 1, voter.commit_index + 1):
            entry = voter._raft.log.get(index)
            if entry is not None:
                assert self.committed.setdefault(index, entry) == entry
                self.check_configuration(entry)
        self.seen[name] = voter.commit_index
        if voter.commit_index:
            digest = voter.keyspace.digest()
            assert self.digests.setdefault(voter.commit_index, digest) == digest

    def check_configuration(self, entry: LogEntry) -> None:
        """Check that majorities of this configuration and of the last one meet."""
        if not isinstance(entry.command, Configuration):
            return
        for index in range(entry.index - 1, 0, -1):
            before = self.committed[index].command if index in self.committed else None
            if isinstance(before, Configuration):
                assert len(set(before.members) ^ set(entry.command.members)) <= 1
                return

    def step(self, until: float) -> bool:
        """Do the next event; return False where none is left before ``until``."""
        due = [
            (voter.next_deadline() - self.skew[name], name)
            for name, voter in self.voters.items()
            if name not in self.stopped
        ]
        at, name = min(due, default=(until + 1, ""))
        if self.queue and self.queue[0][0] <= max(at, self.now):
            at, _, sender, name, message = heapq.heappop(self.queue)
            if at > until:
                heapq.heappush(self.queue, (at, next(self.numbers), sender, name, message))
                return False
            self.now = max(self.now, at)
            if name in self.stopped:
                self.stopped[name].append((sender, message))
            elif name in self.voters:
                self.call(name, "receive", sender, message)
            return True
        if at > until:
            return False
        self.now = max(self.now, at)
        # A clock's difference is rounded: a tick just before its time would never end.
        self.now = max(self.now, self.voters[name].next_deadline() - self.skew[name] + 1e-9)
        self.call(name, "tick")
        return True

    def run(self, seconds: float, until: Callable[[], object] = lambda: False) -> bool:
        """Go on for a time, or until something is so; return whether it is."""
        end = self.now + seconds
        while not until():
            if not self.step(end):
                self.now = end
                return bool(until())
        return True

    def leader(self) -> str:
        """Wait for a leader that has committed an entry of its term; return it."""

        def found() -> list[str]:
            running = {name: one for name, one in self.voters.items() if name not in self.stopped}
            leading = [name for name, one in running.items() if one.role is VoterRole.LEADER]
            top = max((self.voters[name].term for name in leading), default=0)
            return [
                name
                for name in leading
                if self.voters[name].term == top and self.voters[name]._raft.own_term_committed
            ]

        assert self.run(60, found), "no leader"
        return found()[0]

    def propose(self, name: str, key: str, value: str = "", **more: Any) -> int:
        """Propose a change; return its token."""
        token = next(self.numbers)
        change_id = more.pop("change_id", f"change-{token}")
        self.call(name, "propose", Change(change_id, key, value.encode(), **more), token)
        return token

    def commit(self, key: str, value: str = "", **more: Any) -> ChangeResult:
        """Propose a change to the leader and wait for the answer."""
        token = self.propose(self.leader(), key, value, **more)
        assert self.run(10, lambda: token in self.results)
        return self.results[token]

    def commit_count(self) -> int:
        """Return how many changes were committed."""
        return sum(isinstance(one.command, Change) for one in self.committed.values())

    def read(self, name: str, key: str) -> int:
        """Ask for a read; return its token."""
        token = next(self.numbers)
        self.call(name, "read", key, token)
        return token

    def cut_off(self, side: set[str]) -> None:
        """Cut all links between ``side`` and the others."""
        others = set(self.disks) - side
        self.cut |= {(one, other) for one in side for other in others}
        self.cut |= {(other, one) for one in side for other in others}


class Trouble:
    """A seeded stretch of everything that may go wrong, with clients; a minority of disks is lost."""

    def __init__(self, seed: int, names: tuple[str, ...]) -> None:
        self.rng = Random(f"trouble {seed}")
        self.cluster = Cluster(seed, names)
        self.cluster.loss, self.cluster.twice = self.rng.choice([0, 0.02, 0.1]), self.rng.choice([0, 0.05])
        self.lost: set[str] = set()  # disks, until the voter is admitted again
        self.acknowledged: dict[str, int] = {}  # by id
        self.open: dict[int, Change] = {}  # by token
        self.reading: dict[int, int] = {}  # token, and the revision that a read must reach

    def play(self, steps: int) -> None:
        """Make trouble, and check what clients were told."""
        for _ in range(steps):
            action = self.rng.choice(
                [self.propose] * 8 + [self.read] * 4 + [self.crash, self.stop, self.cut, self.heal, self.fill]
            )
            action()
            self.cluster.run(self.rng.choice([0.01, 0.05, 0.3, 1.0]))
            self.look()
        self.settle()

    def propose(self) -> None:
        """Propose a new change, or repeat an old one, at any voter."""
        running = [name for name in self.cluster.voters if name not in self.cluster.stopped]
        if not running:
            return
        token = next(self.cluster.numbers)
        old = list(self.open.values())
        expected = self.rng.choice([None, None, self.cluster.voters[running[0]].keyspace.key_revision("k1")])
        change = Change(f"id-{token}", f"k{token % 3}", bytes(self.rng.randrange(200)), expected)
        if old and self.rng.random() < 0.2:
            change = self.rng.choice(old)
        self.open[token] = change
        leading = [name for name in running if self.cluster.voters[name].role is VoterRole.LEADER]
        self.cluster.call(self.rng.choice(leading or running), "propose", change, token)

    def read(self) -> None:
        """Read at any voter."""
        running = [name for name in self.cluster.voters if name not in self.cluster.stopped]
        if running:
            token = self.cluster.read(self.rng.choice(running), "k1")
            self.reading[token] = max(self.acknowledged.values(), default=0)

    def crash(self) -> None:
        """End a voter, some with its disk, and start one that is down."""
        cluster = self.cluster
        down = sorted(set(cluster.disks) - set(cluster.voters))
        if down:
            cluster.start(self.rng.choice(down))
            return
        name = self.rng.choice(sorted(cluster.disks))
        again = {one for one in self.lost if one in cluster.voters and cluster.voters[one]._raft.is_member}
        settled = all(not voter.joining for voter in cluster.voters.values())
        self.lost -= again if settled else set()
        may_lose = len(self.lost | {name}) <= (len(cluster.disks) - 1) // 2 and len(cluster.committed) > 0
        lose = may_lose and self.rng.random() < 0.4
        self.lost |= {name} if lose else set()
        cluster.crash(name, lose)

    def stop(self) -> None:
        """Stop a voter, or let it go on."""
        cluster = self.cluster
        if cluster.stopped:
            cluster.wake(self.rng.choice(sorted(cluster.stopped)))
        elif cluster.voters:
            cluster.stopped[self.rng.choice(sorted(cluster.voters))] = []

    def cut(self) -> None:
        """Cut links one way, or two sides from each other."""
        names = sorted(self.cluster.disks)
        if self.rng.random() < 0.5:
            self.cluster.cut.add((self.rng.choice(names), self.rng.choice(names)))
        else:
            self.cluster.cut_off(set(self.rng.sample(names, self.rng.randrange(1, len(names)))))

    def heal(self) -> None:
        """Join all links again."""
        self.cluster.cut.clear()

    def fill(self) -> None:
        """Fill a disk, or make room and start the voter from its records."""
        cluster = self.cluster
        if cluster.full:
            name = cluster.full.pop()
            if name in cluster.voters and cluster.voters[name].role is VoterRole.STORAGE_FAILED:
                cluster.crash(name)
                cluster.start(name)
        else:
            cluster.full.add(self.rng.choice(sorted(cluster.disks)))

    def look(self) -> None:
        """Take the answers."""
        for token in sorted(self.open.keys() & self.cluster.results.keys()):
            change, result = self.open.pop(token), self.cluster.results[token]
            if isinstance(result, ChangeApplied):
                assert self.acknowledged.setdefault(change.change_id, result.revision) == result.revision
        for token in sorted(self.reading.keys() & self.cluster.reads.keys()):
            done = self.cluster.reads[token]
            assert done.failed or done.revision >= self.reading[token]
            del self.reading[token]

    def settle(self) -> None:
        """Repair everything: all come to one state, with all that was acknowledged, once."""
        cluster = self.cluster
        cluster.cut.clear()
        cluster.full.clear()
        cluster.loss = cluster.twice = 0
        for name in sorted(cluster.stopped):
            cluster.wake(name)
        for name in sorted(cluster.disks):
            if name not in cluster.voters or cluster.voters[name].role is VoterRole.STORAGE_FAILED:
                cluster.crash(name)
                cluster.start(name)
        assert cluster.run(90, self.is_settled), "not settled"
        cluster.run(1)
        self.look()
        assert len({voter.keyspace.digest() for voter in cluster.voters.values()}) == 1
        applied = [
            one.command for _, one in sorted(cluster.committed.items()) if isinstance(one.command, Change)
        ]
        assert {change.change_id for change in applied} >= self.acknowledged.keys()

    def is_settled(self) -> bool:
        """Return whether all are voters again, with the same log."""
        voters = self.cluster.voters.values()
        return (
            all(voter._raft.is_member and not voter.joining for voter in voters)
            and len({(voter.commit_index, voter.last_index) for voter in voters}) == 1
            and any(voter.role is VoterRole.LEADER for voter in voters)
        )
