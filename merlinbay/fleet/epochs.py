"""Epochs: numbered configurations of the fleet, each agreed by a majority of the one before. No I/O.

For decisions that must not be taken on both sides of a partition; the view answers all others. Epoch e+1 is
chosen by one round of Paxos (Lamport 2001) among the members of epoch e; epoch 1 by all that every
operator's file expects. Where a majority is lost for good, operators force the next one. What an acceptor
has promised is stored before it is said.
Members are named by node and disk (``identity``).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

Ballot = tuple[int, str]  # round, proposer
NONE: Ballot = (0, "")
PATIENCE_S = 2.0  # for the answers of one phase
AGAIN_S = 3.0  # after a round that failed, times a draw
MOST = 10_000  # members of an epoch
FORCED = 1000  # one that is forced has the next multiple of it as its number: above all that others agree on


@dataclass(frozen=True, slots=True)
class Epoch:
    """A configuration."""

    number: int = 0
    members: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Kept:
    """What an acceptor must not forget."""

    epoch: Epoch = Epoch()
    promised: Ballot = NONE  # for the epoch after that,
    accepted: Ballot = NONE
    value: tuple[str, ...] = ()


@dataclass(slots=True)
class Round:
    """A proposal under way."""

    number: int  # of the epoch that is proposed
    ballot: Ballot
    voters: tuple[str, ...]
    needed: int
    value: tuple[str, ...]
    until: float
    accepting: bool = False
    found: Ballot = NONE  # the highest that was accepted before,
    yes: set[str] = field(default_factory=set)


class Epochs:
    """One node's part in it: acceptor always, proposer while it is the first of those who are there."""

    def __init__(
        self,
        me: str,
        expect: int,
        kept: Kept | None,
        store: Callable[[Kept], None],
        draw: Callable[[], float],
    ) -> None:
        self.me, self.expect, self.store, self.draw = me, expect, store, draw
        self.kept = kept or Kept()
        self.round: Round | None = None
        self.out: list[tuple[str, dict[str, Any]]] = []  # to whom, what
        self.chosen: list[Epoch] = []  # for whoever builds on it
        self.clash: Epoch | None = None  # another one of our number: two were forced
        self.seen: Ballot = self.kept.promised
        self.wish: tuple[str, ...] = ()
        self.since = 0.0  # the wish has stood for so long
        self.wait = 0.0

    @property
    def epoch(self) -> Epoch:
        """Return the last one known."""
        return self.kept.epoch

    def majority(self) -> int:
        """Return how many have to agree on the next epoch: a majority; on the first, all expected."""
        # Guards against a fleet that forms its first epoch anew where a majority of disks was lost: one node
        # that remembers is enough to prevent it.
        return len(self.epoch.members) // 2 + 1 if self.epoch.number else max(self.expect, 1)

    # Proposer.

    def tick(self, now: float, there: dict[str, bool], settle: float) -> None:
        """Look at who is there, and is to be a member; propose if that has stood for a while."""
        wish = tuple(sorted(name for name, good in there.items() if good))
        if wish != self.wish:
            self.wish, self.since = wish, now
        if self.round is not None and now >= self.round.until:
            self._give_up(now)
        if self.round is not None or now < self.wait or now - self.since < settle:
            return
        voters = tuple(name for name in sorted(there) if not self.epoch.number or name in self.epoch.members)
        if not voters or voters[0] != self.me or wish == self.epoch.members or not wish:
            return
        if len(voters) < self.majority():
            return
        ballot = (max(self.seen[0], self.kept.promised[0]) + 1, self.me)
        self.round = Round(self.epoch.number + 1, ballot, voters, self.majority(), wish, now + PATIENCE_S)
        self._ask({"m": "prepare"})

    def _ask(self, message: dict[str, Any]) -> None:
        found = self.round
        assert found is not None
        message |= {
            "k": "epoch",
            "n": found.number,
            "b": list(found.ballot),
            "f": self.me,
            "e": [self.epoch.number, list(self.epoch.members)],
        }
        for name in found.voters:
            if name == self.me:
                self.answered(self.me, self.request(message))
                if self.round is not found:
                    return
            else:
                self.out.append((name, message))

    def _give_up(self, now: float) -> None:
        self.round = None
        self.wait = now + AGAIN_S * (0.5 + self.draw())

    def answered(self, name: str, answer: dict[str, Any] | None) -> None:
        """Take a voter's answer; None: there was none."""
        found = self.round
        if answer is None:
            return
        if answer.get("m") == "behind":
            self.learn(answer.get("e"))
            return
        if found is None or answer.get("n") != found.number or answer.get("b") != list(found.ballot):
            return
        if answer.get("m") == "no":
            self.seen = max(self.seen, ballot_of(answer.get("h")))
            return
        if answer.get("m") != ("accepted" if found.accepting else "promise") or name not in found.voters:
            return
        if not found.accepting:
            before = ballot_of(answer.get("a"))
            if before > found.found:  # guards against a value that may have been chosen already
                found.found, found.value = before, members_of(answer.get("v"))
        found.yes.add(name)
        if len(found.yes) < found.needed:
            return
        if not found.accepting:
            found.accepting, found.yes = True, set()
            self._ask({"m": "accept", "v": list(found.value)})
            return
        self.round = None
        self._choose(Epoch(found.number, found.value))
        told = {"k": "epoch", "m": "learn", "f": self.me, "e": [found.number, list(found.value)]}
        self.out += [(other, told) for other in sorted({*found.voters, *found.value} - {self.me})]

    # Acceptor.

    def request(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a proposer; what is promised is stored before. Raises ``OSError`` where it cannot be."""
        self.learn(message.get("e"))
        number, ballot = message.get("n"), ballot_of(message.get("b"))
        if message.get("m") == "learn":
            return {"k": "epoch", "m": "learnt"}
        if number != self.epoch.number + 1:
            return {"k": "epoch", "m": "behind", "e": [self.epoch.number, list(self.epoch.members)]}
        back = {"k": "epoch", "n": number, "b": list(ballot), "f": self.me}
        # Guards against a second vote of one who lost its disk: with another disk it is another member.
        votes = not self.epoch.number or self.me in self.epoch.members
        if not votes or ballot < self.kept.promised or ballot == NONE:
            return {**back, "m": "no", "h": list(self.kept.promised)}
        if message.get("m") == "prepare":
            self._keep(replace(self.kept, promised=ballot))
            return {**back, "m": "promise", "a": list(self.kept.accepted), "v": list(self.kept.value)}
        self._keep(replace(self.kept, promised=ballot, accepted=ballot, value=members_of(message.get("v"))))
        return {**back, "m": "accepted"}

    def _keep(self, kept: Kept) -> None:
        self.store(kept)
        self.kept = kept

    def learn(self, told: object) -> None:
        """Take an epoch that was chosen, if it is later than the one known."""
        if not isinstance(told, list) or len(told) != 2 or not isinstance(told[0], int):
            return
        members = members_of(told[1])
        if told[0] > self.epoch.number and members:
            self._choose(Epoch(told[0], members))
        elif told[0] == self.epoch.number and members and members != self.epoch.members:
            self.clash = Epoch(told[0], members)

    def force(self, there: tuple[str, ...], lost: tuple[str, ...]) -> Epoch:
        """Make those who are there the next epoch, on an operator's word, who names all that are lost.

        Raises ``ValueError`` where that is not so, and ``OSError`` where it cannot be stored.
        """
        before, found = self.epoch, tuple(sorted(there))
        if not before.number:
            raise ValueError("there is no epoch yet: the first one is formed by all that are expected")
        if sum(one in found for one in before.members) >= self.majority():
            raise ValueError("a majority is there: the next epoch comes by itself")
        gone = sorted(name_of(one) for one in before.members if one not in found)
        if sorted(lost) != gone:
            raise ValueError(f"not there are {', '.join(gone)}: name them all, and nobody else")
        self._choose(Epoch((before.number // FORCED + 1) * FORCED, found))
        told = {"k": "epoch", "m": "learn", "f": self.me, "e": [self.epoch.number, list(found)]}
        self.out += [(other, told) for other in found if other != self.me]
        return self.epoch

    def _choose(self, epoch: Epoch) -> None:
        self._keep(Kept(epoch))
        self.round = None
        self.chosen.append(epoch)


def ballot_of(found: object) -> Ballot:
    """Read a ballot; what is none is the lowest."""
    if (
        isinstance(found, (list, tuple))
        and len(found) == 2
        and isinstance(found[0], int)
        and isinstance(found[1], str)
    ):
        return found[0], found[1]
    return NONE


def members_of(found: object) -> tuple[str, ...]:
    """Read the members of an epoch; what makes no sense has none."""
    if (
        not isinstance(found, (list, tuple))
        or len(found) > MOST
        or not all(isinstance(one, str) for one in found)
    ):
        return ()
    return tuple(found)


def identity(name: str, disk: str) -> str:
    """Return how a node with this disk is named in epochs."""
    return f"{name}/{disk}"


def name_of(found: str) -> str:
    """Return the node of an identity."""
    return found.partition("/")[0]
