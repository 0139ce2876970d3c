"""Messages to send: sealed, numbered and collected as effects."""

from __future__ import annotations

from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.effects import Effect, SendDatagram, SendRequest


class Outbox:
    """Effects until they are collected; numbers probes and requests."""

    def __init__(self, fleet_name: str, keys: wire.Keys, rng: Random) -> None:
        self.fleet_name, self.keys = fleet_name, keys
        self._sequence = rng.getrandbits(31)
        self._effects: list[Effect] = []

    def next_sequence(self) -> int:
        """Return a number that no probe or request of this process had before."""
        self._sequence += 1
        return self._sequence

    def seal(self, message: dict[str, Any]) -> bytes:
        """Return a message as it goes over the network."""
        return wire.seal(self.keys, self.fleet_name, message)

    def open(self, data: bytes) -> dict[str, Any]:
        """Verify and read a message. Raises ``MessageRejectedError``."""
        return wire.open_sealed(self.keys, self.fleet_name, data)

    def send(self, addr: str, message: dict[str, Any]) -> None:
        """Send a datagram."""
        self._effects.append(SendDatagram(addr, self.seal(message)))

    def request(self, addr: str, token: int, message: dict[str, Any]) -> None:
        """Send a frame that is answered by another."""
        self._effects.append(SendRequest(addr, self.seal(message), token))

    def take(self) -> list[Effect]:
        """Return the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects
