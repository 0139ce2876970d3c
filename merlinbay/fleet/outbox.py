"""Signs and numbers the messages of this node, and keeps them as effects until they are collected."""

from __future__ import annotations

from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.effects import Effect, SendDatagram, SendRequest


class Outbox:
    """Holds the effects that are not collected yet, the keys, and the last sequence number."""

    def __init__(self, fleet_name: str, keys: wire.Keys, rng: Random) -> None:
        self.fleet_name, self.keys = fleet_name, keys
        self._sequence = rng.getrandbits(31)
        self._effects: list[Effect] = []

    def next_sequence(self) -> int:
        """Return a number that no earlier probe or request of this process has."""
        self._sequence += 1
        return self._sequence

    def seal(self, message: dict[str, Any]) -> bytes:
        """Return a message, encoded and signed."""
        return wire.seal(self.keys, self.fleet_name, message)

    def open(self, data: bytes) -> dict[str, Any]:
        """Verify and decode a message. Raises ``MessageRejectedError``."""
        return wire.open_sealed(self.keys, self.fleet_name, data)

    def send(self, addr: str, message: dict[str, Any]) -> None:
        """Queue a datagram."""
        self._effects.append(SendDatagram(addr, self.seal(message)))

    def request(self, addr: str, token: int, message: dict[str, Any]) -> None:
        """Queue a frame whose answer is passed to ``View.handle_answer`` with ``token``."""
        self._effects.append(SendRequest(addr, self.seal(message), token))

    def take(self) -> list[Effect]:
        """Return the effects since the previous call."""
        effects, self._effects = self._effects, []
        return effects
