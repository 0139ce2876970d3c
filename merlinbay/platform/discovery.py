"""The platform's discovery: one watch loop on a connection of its own."""

from __future__ import annotations

import msgspec
import trio

from merlinbay.core import ports
from merlinbay.counters import Counters
from merlinbay.http.client import Broken, ClientConnection, NotSent
from merlinbay.limits import Limits
from merlinbay.log import Log
from merlinbay.platform import words


class Unexpected(Exception):
    """An answer with a status other than 200."""


class Discovery:
    """Watches the list while subscribed; a failed call ends the watch and is told as ``refused``.

    When to call again is the module's to say.
    """

    def __init__(self, addr: str, version: int | None, entries: list[ports.ServiceEntry],
                 inbox: trio.MemorySendChannel[ports.Message], limits: Limits,
                 counters: Counters, log: Log) -> None:
        self.addr = addr
        self.version: int | None = version  # the list's, as told last; None: the whole list is wanted
        self.inbox, self.limits, self.counters, self.log = inbox, limits, counters, log
        self.next_addr = addr  # where to watch from the next subscription on
        self.entries = {entry.server: entry for entry in entries}  # as told up to that version
        self.asked = trio.Event()
        self.watch = trio.CancelScope()

    def subscribe(self) -> None:
        """Begin to watch, or go on after a failure or at another address."""
        self.asked.set()
        if self.next_addr != self.addr:
            self.watch.cancel()

    def move(self, addr: str) -> bool:
        """Watch at another address from the next subscription on; until then the watch at the old one stays.

        Returns whether there is anything to move. Guards against a herd: all nodes are sent there at once.
        """
        self.next_addr = addr
        return addr != self.addr

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            await self.asked.wait()
            self.asked = trio.Event()
            if self.next_addr != self.addr:
                # Guards against versions that differ between the two: the first call asks for the whole list.
                self.addr, self.version = self.next_addr, None
            with trio.CancelScope() as self.watch:
                try:
                    await self._watch()
                except (NotSent, Broken, trio.TooSlowError, msgspec.DecodeError, Unexpected) as error:
                    self.counters.add("watches_failed")
                    self.log.event("discovery_failed", level="warning", error=repr(error))
                    await self.inbox.send(ports.EntriesChanged("refused"))

    def listing(self) -> tuple[int | None, list[ports.ServiceEntry]]:
        """Return the list's version and its entries."""
        return self.version, list(self.entries.values())

    def _learn(self, version: int, full: bool, entries: list[ports.ServiceEntry]) -> None:
        if full:
            self.entries = {}
        self.entries.update((entry.server, entry) for entry in entries)
        for name in [name for name, entry in self.entries.items() if entry.state == "removed"]:
            del self.entries[name]
        self.version = version

    async def _watch(self) -> None:
        """Tell what the watch tells, call after call on one connection."""
        connection = await ClientConnection.dial(self.addr, self.limits, self.limits.listing_bytes)
        try:
            # The first call waits for nothing: the module learns from it what a call takes discovery.
            wait_ms, first = 0, True
            while True:
                query = "" if self.version is None else f"?after={self.version}&wait_ms={wait_ms}"
                with trio.fail_after(self.limits.watch_wait + self.limits.watch_slack):
                    reply = await connection.exchange("GET", f"/api/targets{query}", [])
                if reply.status != 200:
                    raise Unexpected(f"status {reply.status}")
                listing = words.read_listing(reply.body)
                self._learn(listing.version, listing.full, words.entries(listing))
                self.counters.add("watch_answers")
                if wrong := words.odd(listing):
                    self.counters.add("entries_odd", len(wrong))
                    self.log.event("entries_odd", level="warning", number=len(wrong), first=wrong[0])
                if listing.servers or listing.full or first:  # the first answer also tells that it works
                    await self.inbox.send(ports.EntriesChanged("all" if listing.full else "changes",
                                                               words.entries(listing)))
                wait_ms, first = int(self.limits.watch_wait * 1000), False
                if not connection.reusable:
                    connection.close()
                    connection = await ClientConnection.dial(self.addr, self.limits,
                                                             self.limits.listing_bytes)
        finally:
            connection.close()
