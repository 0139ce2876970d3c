"""Random walks of the agreement on epochs, under faults of the network, restarts and lost disks.

Messages are reordered, lost or duplicated more often than in a network. Cases that are rare in
``simulation``, such as two concurrent proposers, are common here. A violated agreement raises
``EpochConflictError``.
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
    """Some nodes without network or member table, and the messages in flight between them."""

    def __init__(self, seed: int, count: int = 0) -> None:
        self.rng = Random(f"{seed}/walk")
        self.names = [f"n{number}" for number in range(count or self.rng.randint(3, 5))]
        self.disks: dict[str, AcceptorState | None] = dict.fromkeys(self.names)
        self.lost_disk_counts = dict.fromkeys(self.names, 0)
        self.disk_keeper = self.rng.choice(self.names)  # never loses its disk, so that an epoch is remembered
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
                members = self.epochs[epoch.number].members
                raise EpochConflictError(f"{name} has epoch {epoch.number} as {epoch.members}, not {members}")
            self.disks[name] = state

        own_voter_id = voter_id(name, str(self.lost_disk_counts[name]))
        self.nodes[name] = EpochConsensus(
            own_voter_id, len(self.names), self.disks[name], store, self.rng.random
        )

    def step(self) -> None:
        """Run a random step: a delivery, duplicate or loss, a restart, a lost disk, or a tick of a node."""
        rng, name = self.rng, self.rng.choice(self.names)
        node = self.nodes[name]
        self.now_s += rng.random() * 0.3
        roll = rng.random()
        if roll < 0.70 and self.in_flight:
            self._deliver(self.in_flight.pop(rng.randrange(len(self.in_flight))))
        elif roll < 0.76 and self.in_flight:
            self._deliver(rng.choice(self.in_flight))  # a duplicate, because the message stays in flight
        elif roll < 0.80 and self.in_flight:
            self.in_flight.pop(rng.randrange(len(self.in_flight)))
        elif roll < 0.84:
            self._start(name)  # a restart with the node's disk
        elif roll < 0.843 and name != self.disk_keeper:
            self.disks[name], self.lost_disk_counts[name] = None, self.lost_disk_counts[name] + 1
            self._start(name)
        elif roll < 0.95:
            # Each node regards itself as the first of the present voters, so that many propose concurrently.
            present = {
                voter_id(peer, str(self.lost_disk_counts[peer])): True
                for peer in self.names
                if peer >= name or rng.random() < 0.2
            }
            node.tick(self.now_s, present, 0.0)
        self._collect(name)

    def _deliver(self, delivery: Delivery) -> None:
        sender, receiver, message = delivery.sender, delivery.receiver, delivery.message
        node = self.nodes[node_of(receiver)]
        if node.own_voter_id != receiver:
            return  # The receiver has lost its disk since, so it is another voter.
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
    """Run a random walk. Raises ``EpochConflictError`` if two nodes disagree on an epoch."""
    random_walk = RandomWalk(seed)
    for _ in range(steps):
        random_walk.step()
    return random_walk
