"""Random walks over epochs alone: frames in any order, lost or doubled; restarts, lost disks, proposers.

Far nastier than a network is, and quick: what ``simulate`` plays seldom (two proposers that cross) is common.
"""

from __future__ import annotations

from random import Random
from typing import Any

from merlinbay.fleet.epochs import Epoch, Epochs, Kept, identity, name_of


class EpochConflictError(Exception):
    """Two nodes hold one epoch to be two things."""


class Walk:
    """Some nodes, and the frames between them."""

    def __init__(self, seed: int, count: int = 0) -> None:
        self.rng = Random(f"{seed}/walk")
        self.names = [f"n{number}" for number in range(count or self.rng.randint(3, 5))]
        self.disks: dict[str, Kept | None] = dict.fromkeys(self.names)
        self.lost = dict.fromkeys(self.names, 0)  # disks
        self.spared = self.rng.choice(self.names)  # its disk is never lost: else nobody knows of any epoch
        self.nodes: dict[str, Epochs] = {}
        self.frames: list[
            tuple[str, str, dict[str, Any], bool]
        ] = []  # from, to, what, whether it is an answer
        self.epochs: dict[int, Epoch] = {}
        self.now = 0.0
        for name in self.names:
            self._start(name)

    def _start(self, name: str) -> None:
        def store(kept: Kept) -> None:
            if kept.epoch.number and self.epochs.setdefault(kept.epoch.number, kept.epoch) != kept.epoch:
                known = self.epochs[kept.epoch.number].members
                raise EpochConflictError(
                    f"{name} has epoch {kept.epoch.number} as {kept.epoch.members}, not {known}"
                )
            self.disks[name] = kept

        me = identity(name, str(self.lost[name]))
        self.nodes[name] = Epochs(me, len(self.names), self.disks[name], store, self.rng.random)

    def step(self) -> None:
        """Do one thing."""
        rng, name = self.rng, self.rng.choice(self.names)
        node = self.nodes[name]
        self.now += rng.random() * 0.3
        roll = rng.random()
        if roll < 0.70 and self.frames:
            self._deliver(self.frames.pop(rng.randrange(len(self.frames))))
        elif roll < 0.76 and self.frames:
            self._deliver(rng.choice(self.frames))  # it comes again later
        elif roll < 0.80 and self.frames:
            self.frames.pop(rng.randrange(len(self.frames)))
        elif roll < 0.84:
            self._start(name)  # killed, and back with its disk
        elif roll < 0.843 and name != self.spared:
            self.disks[name], self.lost[name] = None, self.lost[name] + 1
            self._start(name)
        elif roll < 0.95:
            # Each thinks itself the first of those who are there, so that many propose at once.
            there = {
                identity(one, str(self.lost[one])): True
                for one in self.names
                if one >= name or rng.random() < 0.2
            }
            node.tick(self.now, there, 0.0)
        self._take(name)

    def _deliver(self, frame: tuple[str, str, dict[str, Any], bool]) -> None:
        by, to, message, answer = frame
        node = self.nodes[name_of(to)]
        if node.me != to:
            return  # it was for the one with the disk that is lost
        if answer:
            node.answered(by, message)
        else:
            self.frames.append((to, by, node.request(message), True))
        self._take(name_of(to))

    def _take(self, name: str) -> None:
        node = self.nodes[name]
        self.frames += [(node.me, to, message, False) for to, message in node.out]
        node.out.clear()
        node.chosen.clear()
        del self.frames[:-200]


def walk(seed: int, steps: int = 600) -> Walk:
    """Walk. Raises ``EpochConflictError``."""
    found = Walk(seed)
    for _ in range(steps):
        found.step()
    return found
