"""Delay, loss and cut links between nodes and servers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.spec import NetworkProfile, drawn


class EmulatedNetwork:
    """Carries messages; those over a cut link wait until it heals."""

    def __init__(self, net: NetworkProfile, loop: Loop, rng: Random) -> None:
        self.net, self.loop, self.rng = net, loop, rng
        self.delay_us = max(int(drawn(rng, net.delay_ms) * 1000), 1)
        self.cut: dict[tuple[int, str], int] = {}  # by node and server: how many troubles cut it
        self.held: dict[tuple[int, str], list[tuple[Callable[..., None], tuple[Any, ...]]]] = {}

    def one_way(self) -> int:
        """Return how long a message takes."""
        found = self.delay_us
        if self.net.jitter:
            found = int(found * (1 + self.rng.random() * self.net.jitter))
        if self.net.loss:
            while self.rng.random() < self.net.loss:  # the sender's TCP sends it again
                found += int(self.net.resend_ms * 1000)
        return found

    def send(self, node: int, server: str, call: Callable[..., None], *args: Any) -> None:
        """Have something called at the other end."""
        link = (node, server)
        if link in self.cut:
            self.held.setdefault(link, []).append((call, args))
            return
        self.loop.at(self.loop.now + self.one_way(), Order.NETWORK, call, *args)

    def sever(self, links: list[tuple[int, str]]) -> None:
        """Cut links."""
        for link in links:
            self.cut[link] = self.cut.get(link, 0) + 1

    def heal(self, links: list[tuple[int, str]]) -> None:
        """Heal links; what waited arrives."""
        for link in links:
            self.cut[link] -= 1
            if not self.cut[link]:
                del self.cut[link]
                for call, args in self.held.pop(link, []):
                    self.loop.at(self.loop.now + self.one_way(), Order.NETWORK, call, *args)
