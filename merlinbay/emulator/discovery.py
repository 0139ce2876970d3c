"""Discovery: a list that is seconds late, and tells a node what has changed since it asked last."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Protocol

from merlinbay.decision.events import CallFailure, EndpointEntry, EndpointsChanged
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.servers import EmulatedServer
from merlinbay.emulator.spec import DiscoveryProfile, drawn

Told = Callable[[EndpointsChanged], None]


MOVED_US, CLOSES_US = 4_000_000, 1_500_000  # told after a move; the old one closes
CONFIRMS_US = 50_000  # after the former, nodes have a call answered
TOLD_US = 6_000_000  # so long after it is listed and can be asked for, a change counts as told


class ListObserver(Protocol):
    """Who wants to know when nodes ask, and what is listed."""

    def list_moved(self, node: int, notified_after_us: int) -> None:
        """Take it that a node is sent to another discovery, which counts as told after so long."""

    def list_down(self, down: bool) -> None:
        """Take it that nobody can be answered from now on, or that all can again."""

    def list_answered(self, node: int, failed: bool) -> None:
        """Take it that its call was answered, or failed."""

    def list_closed(self, node: int) -> None:
        """Take it that its watch was closed."""

    def list_silent(self, node: int) -> None:
        """Take it that its watch tells nothing any more, without a word."""

    def list_published(self, server: str, state: str) -> None:
        """Take it that the list says something new of a server."""


class EmulatedDiscovery:
    """The list, as it is published."""

    def __init__(self, spec: DiscoveryProfile, loop: Loop, rng: Random) -> None:
        self.spec, self.loop, self.rng = spec, loop, rng
        self.rows: dict[str, EndpointEntry] = {}
        self.watchers: dict[int, Told] = {}
        self.out = 0  # troubles that have it down
        self.free_us = 0  # when it has worked on all calls so far
        self.calls = self.failed = 0
        self.moves = 0  # what was called before one of them is a former discovery
        self.watching_since: dict[
            int, int
        ] = {}  # by node: how many moves there had been when its watch began
        self.watcher: ListObserver | None = None

    def publish(self, server: EmulatedServer, state: str, late: bool = True) -> None:
        """Publish a server's state after a while."""
        entry = EndpointEntry(
            server.name, server.zone, server.kind.name, server.cell, state, 1.0, server.ready_us
        )
        if not late:
            self._list(entry)
            return
        wait = drawn(self.rng, self.spec.add if state == "up" else self.spec.notice)
        self.loop.at(self.loop.now + int(wait * 1e6), Order.DISCOVERY, self._list, entry)

    def _list(self, entry: EndpointEntry) -> None:
        known = self.rows.get(entry.endpoint)
        if known is not None and entry.ready_at_us < known.ready_at_us:
            return  # Guards against news that overtake each other: those of an earlier start count no more.
        self.rows[entry.endpoint] = entry
        if self.watcher is not None:
            self.watcher.list_published(entry.endpoint, entry.state)
        for node, told in list(self.watchers.items()):
            self.loop.at(
                self.loop.now + 1000,
                Order.DISCOVERY,
                self._tell,
                node,
                told,
                EndpointsChanged("changes", [entry]),
            )

    def _tell(self, node: int, told: Told, news: EndpointsChanged) -> None:
        if self.watchers.get(node) is told:
            told(replace(news, former=self.watching_since.get(node, self.moves) != self.moves))

    def remembered(self) -> EndpointsChanged:
        """Return the list as a node that starts has it."""
        return EndpointsChanged("remembered", [row for row in self.rows.values() if row.state != "removed"])

    def subscribe(self, node: int, told: Told) -> None:
        """Take a node's call: it is answered after a while, or fails."""
        wait = int(drawn(self.rng, self.spec.call_ms) * 1000)
        self.calls += 1
        if self.spec.work_ms:  # one after the other, those that have been given up meanwhile included
            self.free_us = max(self.free_us, self.loop.now) + int(drawn(self.rng, self.spec.work_ms) * 1000)
            wait += self.free_us - self.loop.now
        late = wait >= self.spec.fails_after * 1e6
        wait = min(wait, int(self.spec.fails_after * 1e6))
        self.loop.at(self.loop.now + wait, Order.DISCOVERY, self._answer, node, told, late, self.moves)

    def _answer(self, node: int, told: Told, late: bool, moves: int) -> None:
        former = moves != self.moves
        if self.watcher is not None:
            self.watcher.list_answered(node, bool(self.out or late))
        if self.out or late:
            self.failed += 1
            told(EndpointsChanged("refused", [], failure=CallFailure.UNAVAILABLE, former=former))
            return
        self.watchers[node], self.watching_since[node] = told, moves
        listed = [row for row in self.rows.values() if row.state != "removed"]
        told(EndpointsChanged("all", listed, former=former))

    def forget(self, node: int) -> None:
        """Take it that a node has died."""
        self.watchers.pop(node, None)

    def move(self, told: Callable[[int], None]) -> None:
        """Move: who watches here is told so, and loses his watch a while later."""
        self.moves += 1
        for node, watch in list(self.watchers.items()):
            if self.watcher is not None:
                self.watcher.list_moved(node, MOVED_US)
            told(node)
            self.loop.at(self.loop.now + CLOSES_US, Order.DISCOVERY, self._close, node, watch)
            self.loop.at(self.loop.now + MOVED_US + CONFIRMS_US, Order.DISCOVERY, self._confirm, node)

    def _confirm(self, node: int) -> None:
        """Answer the call of a watch that ends right after all counts as told."""
        if node in self.watchers:
            self._tell(node, self.watchers[node], EndpointsChanged("changes", []))

    def _close(self, node: int, watch: Told) -> None:
        if self.watchers.get(node) is watch:
            del self.watchers[node]
            if self.watcher is not None:
                self.watcher.list_closed(node)
            watch(EndpointsChanged("refused", [], former=True))

    def silence(self, nodes: list[int]) -> None:
        """Have these nodes' watches fall silent: each is noticed when the call under way is overdue."""
        for node in nodes:
            told = self.watchers.pop(node, None)
            if told is None:
                continue
            if self.watcher is not None:
                self.watcher.list_silent(node)
            last_answer_at_us = self.loop.now - int(self.rng.uniform(0, self.spec.watch) * 1e6)
            self.loop.at(
                last_answer_at_us + int(self.spec.notice_silent * 1e6),
                Order.DISCOVERY,
                told,
                EndpointsChanged("refused", [], last_answer_at_us, CallFailure.SILENT),
            )

    def fail(self) -> None:
        """Go down: every watch ends."""
        self.out += 1
        if self.watcher is not None:
            self.watcher.list_down(True)
        ended, self.watchers = self.watchers, {}
        for node, told in ended.items():
            if self.watcher is not None:
                self.watcher.list_closed(node)
            told(EndpointsChanged("refused", [], failure=CallFailure.UNAVAILABLE))

    def recover(self) -> None:
        """Come back."""
        self.out -= 1
        if self.watcher is not None and not self.out:
            self.watcher.list_down(False)
