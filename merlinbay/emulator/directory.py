"""Discovery: a list that is seconds late, and tells a node what has changed since it asked last."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from merlinbay.decision import api
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.servers import Server
from merlinbay.emulator.spec import Discovery, drawn

Told = Callable[[api.ListChanged], None]


class Directory:
    """The list, as it is published."""

    def __init__(self, spec: Discovery, loop: Loop, rng: Random) -> None:
        self.spec, self.loop, self.rng = spec, loop, rng
        self.rows: dict[str, api.WorkerEntry] = {}
        self.watchers: dict[int, Told] = {}
        self.out = 0  # troubles that have it down

    def publish(self, server: Server, state: str, late: bool = True) -> None:
        """Publish a server's state after a while."""
        entry = api.WorkerEntry(
            server.name, server.zone, server.kind.name, server.cell, state, 1.0, server.ready_us
        )
        if not late:
            self._list(entry)
            return
        wait = drawn(self.rng, self.spec.add if state == "up" else self.spec.notice)
        self.loop.at(self.loop.now + int(wait * 1e6), Order.DISCOVERY, self._list, entry)

    def _list(self, entry: api.WorkerEntry) -> None:
        known = self.rows.get(entry.worker)
        if known is not None and entry.ready_at_us < known.ready_at_us:
            return  # Guards against news that overtake each other: those of an earlier start count no more.
        self.rows[entry.worker] = entry
        for node, told in list(self.watchers.items()):
            self.loop.at(
                self.loop.now + 1000,
                Order.DISCOVERY,
                self._tell,
                node,
                told,
                api.ListChanged("changes", [entry]),
            )

    def _tell(self, node: int, told: Told, news: api.ListChanged) -> None:
        if self.watchers.get(node) is told:
            told(news)

    def remembered(self) -> api.ListChanged:
        """Return the list as a node that starts has it."""
        return api.ListChanged("remembered", [row for row in self.rows.values() if row.state != "removed"])

    def subscribe(self, node: int, told: Told) -> None:
        """Take a node's call: it is answered after a while, or fails."""
        wait = int(drawn(self.rng, self.spec.call_ms) * 1000)
        self.loop.at(self.loop.now + wait, Order.DISCOVERY, self._answer, node, told)

    def _answer(self, node: int, told: Told) -> None:
        if self.out:
            told(api.ListChanged("refused", []))
            return
        self.watchers[node] = told
        told(api.ListChanged("all", [row for row in self.rows.values() if row.state != "removed"]))

    def forget(self, node: int) -> None:
        """Take it that a node has died."""
        self.watchers.pop(node, None)

    def fail(self) -> None:
        """Go down: every watch ends."""
        self.out += 1
        ended, self.watchers = self.watchers, {}
        for told in ended.values():
            told(api.ListChanged("refused", []))

    def recover(self) -> None:
        """Come back."""
        self.out -= 1
