"""The platform's discovery: one watch loop on a connection of its own."""

from __future__ import annotations

from collections.abc import AsyncGenerator

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


Answers = AsyncGenerator[tuple[str, words.Listing], None]


class Discovery:
    """Watches the list while subscribed; a failed call ends the watch and is told as ``refused``."""

    def __init__(self, addr: str, version: int, inbox: trio.MemorySendChannel[ports.Message], limits: Limits,
                 counters: Counters, log: Log) -> None:
        self.addr, self.version = addr, version
        self.inbox, self.limits, self.counters, self.log = inbox, limits, counters, log
        self.asked = trio.Event()

    def subscribe(self) -> None:
        """Begin to watch, or go on after a failure."""
        self.asked.set()

    async def run(self) -> None:
        """Watch for ever."""
        fails = 0
        while True:
            await self.asked.wait()
            self.asked = trio.Event()
            if fails:
                await trio.sleep(min(self.limits.watch_backoff * 2 ** (fails - 1),
                                     self.limits.watch_backoff_most))
            try:
                async for scope, listing in self._watch():
                    fails = 0
                    if listing.servers or scope == "all":
                        await self.inbox.send(ports.EntriesChanged(scope, words.entries(listing)))
            except (NotSent, Broken, trio.TooSlowError, msgspec.DecodeError, Unexpected) as error:
                fails = min(fails + 1, 8)
                self.counters.add("watches_failed")
                self.log.line(f"discovery: {type(error).__name__}: {error}")
                await self.inbox.send(ports.EntriesChanged("refused"))

    async def _watch(self) -> Answers:
        """Yield what the watch tells, call after call on one connection."""
        connection = await ClientConnection.dial(self.addr, self.limits, self.limits.listing_bytes)
        try:
            wait_ms = int(self.limits.watch_wait * 1000)
            while True:
                with trio.fail_after(self.limits.watch_wait + self.limits.watch_slack):
                    reply = await connection.exchange(
                        "GET", f"/api/targets?after={self.version}&wait_ms={wait_ms}", [])
                if reply.status != 200:
                    raise Unexpected(f"status {reply.status}")
                listing = words.read_listing(reply.body)
                self.version = listing.version
                self.counters.add("watch_answers")
                yield ("all" if listing.full else "changes"), listing
                if not connection.reusable:
                    connection.close()
                    connection = await ClientConnection.dial(self.addr, self.limits,
                                                             self.limits.listing_bytes)
        finally:
            connection.close()
