"""Random walks of the agreement on epochs: messages reordered, lost or doubled; restarts, lost disks.

Harsher than a network: what ``simulation`` plays seldom, such as two proposers at once, is common here.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from merlinbay.fleet.epoch_messages import Epoch, EpochAnswer, EpochRequest
from merlinbay.fleet.epochs import AcceptorState, EpochConsensus, node_of, voter_id

MAX_IN_FLIGHT = 200


class EpochConflictError(Exception):
    """Two nodes have different members for one epoch."""


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message in flight between two voters."""

    sender: str
    receiver: str
    message: EpochRequest | EpochAnswer


class RandomWalk:
    """Some nodes, and the messages between them."""

    def __init__(self, seed: int, count: int = 0) -> None:
        self.rng = Random(f"{seed}/walk")
        self.names = [f"n{number}" for number in range(count or self.rng.randint(3, 5))]
        self.disks: dict[str, AcceptorState | None] = dict.fromkeys(self.names)
        self.lost_disk_counts = dict.fromkeys(self.names, 0)
        self.disk_keeper = self.rng.choice(self.names)  # without any disk left, no epoch is known
        self.nodes: dict[str, EpochConsensus] = {}
        self.in_flight: list[Delivery] = []
        self.epochs: dict[int, Epoch] = {}
        self.now_s = 0.0
        for name in self.names:
            self._start(name)

    def _start(self, name: str) -> None:
        def store(state: AcceptorState) -> None:
            epoch = state.epoch
            if epoch.number and self.epochs.setdefault(epoch.number, epoch) != epoch:
                known = self.epochs[epoch.number].members
                raise EpochConflictError(f"{name} has epoch {epoch.number} as {epoch.members}, not {known}")
            self.disks[name] = state

        own_voter_id = voter_id(name, str(self.lost_disk_counts[name]))
        self.nodes[name] = EpochConsensus(
            own_voter_id, len(self.names), self.disks[name], store, self.rng.random
        )

    def step(self) -> None:
        """Do one random thing."""
        rng, name = self.rng, self.rng.choice(self.names)
        node = self.nodes[name]
        self.now_s += rng.random() * 0.3
        roll = rng.random()
        if roll < 0.70 and self.in_flight:
            self._deliver(self.in_flight.pop(rng.randrange(len(self.in_flight))))
        elif roll < 0.76 and self.in_flight:
            self._deliver(rng.choice(self.in_flight))  # it is delivered again later
        elif roll < 0.80 and self.in_flight:
            self.in_flight.pop(rng.randrange(len(self.in_flight)))
        elif roll < 0.84:
            self._start(name)  # restarted with its disk
        elif roll < 0.843 and name != self.disk_keeper:
            self.disks[name], self.lost_disk_counts[name] = None, self.lost_disk_counts[name] + 1
            self._start(name)
        elif roll < 0.95:
            # Each sees itself as the first of the present voters, so that many propose at once.
            present = {
                voter_id(other, str(self.lost_disk_counts[other])): True
                for other in self.names
                if other >= name or rng.random() < 0.2
            }
            node.tick(self.now_s, present, 0.0)
        self._collect(name)

    def _deliver(self, delivery: Delivery) -> None:
        sender, receiver, message = delivery.sender, delivery.receiver, delivery.message
        node = self.nodes[node_of(receiver)]
        if node.own_voter_id != receiver:
            return  # the receiver has lost its disk
        if isinstance(message, EpochRequest):
            self.in_flight.append(Delivery(receiver, sender, node.handle_request(message)))
        else:
            node.handle_answer(sender, message)
        self._collect(node_of(receiver))

    def _collect(self, name: str) -> None:
        node = self.nodes[name]
        self.in_flight += [Delivery(node.own_voter_id, voter, request) for voter, request in node.outbox]
        node.outbox.clear()
        node.chosen.clear()
        del self.in_flight[:-MAX_IN_FLIGHT]


def run_walk(seed: int, steps: int = 600) -> RandomWalk:
    """Run a walk. Raises ``EpochConflictError``."""
    random_walk = RandomWalk(seed)
    for _ in range(steps):
        random_walk.step()
    return random_walk
