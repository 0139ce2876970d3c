"""The platform's discovery: one watch loop on a connection of its own."""

from __future__ import annotations

import math

import msgspec
import trio

from merlinbay.clock import Clock
from merlinbay.core.messages import EndpointListReceived, Message
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.events import CallFailure
from merlinbay.http.client import (
    ClientConnection,
    ConnectionBrokenError,
    ConnectRefusedError,
    ConnectTimeoutError,
    RequestNotSentError,
)
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.platform import messages
from merlinbay.platform.start_times import StartTimes

SERVICE_UNAVAILABLE = 503  # discovery is down, or the call has waited too long
NAMES_LOGGED = 4  # of the servers that a list has changed


class UnexpectedStatusError(Exception):
    """An answer with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


def failure_of(error: Exception) -> CallFailure:
    """Return how a call has failed."""
    if isinstance(error, ConnectTimeoutError | ConnectRefusedError):
        return CallFailure.UNREACHABLE
    if isinstance(error, trio.TooSlowError):
        return CallFailure.SILENT
    if isinstance(error, UnexpectedStatusError) and error.status == SERVICE_UNAVAILABLE:
        return CallFailure.UNAVAILABLE
    return CallFailure.BROKEN


class Discovery:
    """Watches the list while subscribed; a failed call ends the watch and is told as ``refused``.

    Where lists are asked for, when to call again is the module's to say. Where they are pushed, the machine's
    own agent has them, and what it has counts as told at once: this calls it from the start, and again at
    once, whatever became of the watch.
    """

    def __init__(
        self,
        addr: str,
        version: int | None,
        entries: list[ServiceEntry],
        pushed: bool,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.addr, self.pushed, self.clock = addr, pushed, clock
        self.version: int | None = version  # the list's, as told last; None: the whole list is wanted
        self.inbox, self.limits, self.counters, self.log = inbox, limits, counters, log
        self.next_addr = addr  # where to watch from the next subscription on
        self.entries = {entry.server: entry for entry in entries}  # as told up to that version
        self.start_times = StartTimes(clock, entries)
        self.asked = trio.Event()
        self.had = trio.Event()  # the list has come, for the first time
        self.heard_us = -1  # when the last answer on this watch came; -1: none yet
        self.called_at = 0.0  # when the call that is under way began
        self.patience = limits.watch_first  # so long the first answer on a watch is waited for
        self.watching = False  # a watch is under way
        self.report_next = True  # the next answer is told even if it changes nothing,
        self.confirm_at: list[float] = []  # and so is the first from each of these moments on
        self.watch = trio.CancelScope()

    def subscribe(self, patience_us: int = 0) -> None:
        """Begin to watch, or go on after a failure or at another address.

        The first answer is waited for so long; 0: as long as is usual.
        """
        self.patience = patience_us / 1e6 if patience_us else self.limits.watch_first
        self.asked.set()
        if self.watching:
            # Guards against a watch that goes on as it is, and so never tells that the call has worked.
            self.watch.cancel()

    def move(self, addr: str) -> bool:
        """Watch at another address from the next subscription on; until then the watch at the old one stays.

        Returns whether there is anything to move. Guards against a herd: all nodes are sent there at once.
        """
        self.next_addr = addr
        self.confirm_after(self.limits.reload_told_us)
        if self.pushed and self.former:  # Guards against the list of an agent that nobody calls any more.
            self.subscribe()
        return self.former

    def confirm_after(self, told_us: int) -> None:
        """Have a call answered right after that time: by then all that discovery has counts as notified."""
        self.confirm_at.append(trio.current_time() + told_us / 1e6)

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            if not self.pushed:
                await self.asked.wait()
            self.asked = trio.Event()
            if self.next_addr != self.addr:
                # Guards against versions that differ between the two: the first call asks for the whole list.
                self.addr, self.version = self.next_addr, None
            self.heard_us, self.report_next = -1, True
            with trio.CancelScope() as self.watch:
                try:
                    self.watching = True
                    await self._watch()
                except (
                    RequestNotSentError,
                    ConnectionBrokenError,
                    trio.TooSlowError,
                    msgspec.DecodeError,
                    UnexpectedStatusError,
                ) as error:
                    self.watching = False
                    failure = failure_of(error)
                    self.counters.add("watches_failed")
                    self.log.event(
                        "discovery_failed",
                        level="warning",
                        at=self.addr,
                        watching=self.heard_us >= 0,
                        failure=failure.value,
                        after=f"{trio.current_time() - self.called_at:.3f}s",
                        error=repr(error),
                    )
                    await self.inbox.send(
                        EndpointListReceived("refused", [], self.heard_us, failure, self.former)
                    )
                    if self.pushed:
                        await trio.sleep(self.limits.push_retry)
            self.watching = False
            if self.watch.cancelled_caught:
                # Guards against news that were taken in, and whose telling was cut off: all is wanted.
                self.version = None

    @property
    def former(self) -> bool:
        """Tell whether the watch is at a discovery that the configuration names no more."""
        return self.next_addr != self.addr

    def serves(self, server: str) -> bool:
        """Tell whether a real server is up by what was heard last, which the owner may not know yet."""
        entry = self.entries.get(server)
        return entry is not None and entry.state == "up"

    def listing(self) -> tuple[int | None, list[ServiceEntry]]:
        """Return the list's version and its entries."""
        return self.version, list(self.entries.values())

    def _learn(self, version: int, full: bool, entries: list[ServiceEntry]) -> None:
        before = self.entries
        self.entries = {} if full else dict(before)
        self.entries.update((entry.server, entry) for entry in entries)
        for name in [name for name, entry in self.entries.items() if entry.state == "removed"]:
            del self.entries[name]
        if version != self.version:
            self._log_change(version, full, before)
        self.version = version

    def _log_change(self, version: int, full: bool, before: dict[str, ServiceEntry]) -> None:
        """Log what a new version of the list has changed, the first few names of each kind of change."""
        leaving = [name for name, entry in before.items() if entry.state == "up" and not self.serves(name)]
        joining = [
            name
            for name in self.entries
            if self.serves(name) and (name not in before or before[name].state != "up")
        ]
        self.log.event(
            "list_changed",
            at=self.addr,
            version=f"{self.version}->{version}",
            full=full,
            after=f"{trio.current_time() - self.called_at:.3f}s",
            leaving=f"{len(leaving)}:{','.join(leaving[:NAMES_LOGGED])}",
            joining=f"{len(joining)}:{','.join(joining[:NAMES_LOGGED])}",
        )

    async def _watch(self) -> None:
        """Tell what the watch tells, call after call on one connection."""
        self.called_at = trio.current_time()
        self.log.event("discovery_called", at=self.addr, version=self.version)
        connection = await self._dial()
        try:
            # The first call waits for nothing: the module learns from it what a call takes discovery.
            wait_ms, most = 0, self.limits.push_first if self.pushed else self.patience
            spoilt = False
            while True:
                self.called_at = trio.current_time()
                query = "" if self.version is None else f"?after={self.version}&wait_ms={wait_ms}"
                with trio.fail_after(most):
                    reply = await connection.exchange("GET", f"/api/targets{query}", [])
                if reply.status != 200:
                    raise UnexpectedStatusError(reply.status)
                try:
                    listing = messages.read_listing(reply.body)
                except msgspec.DecodeError as error:
                    # Guards against one spoilt answer that ends a watch: the same is asked once more.
                    self.counters.add("lists_spoilt")
                    self.log.event("list_spoilt", level="warning", error=repr(error), kept="the old list")
                    if spoilt:
                        raise
                    spoilt = True
                    await trio.sleep(self.limits.watch_spoilt)
                else:
                    await self._hear(listing)
                    wait = self._wait()
                    wait_ms, most = int(wait * 1000), wait + self.limits.watch_slack
                    spoilt = False
                if not connection.can_be_reused:
                    connection.close()
                    connection = await self._dial()
        finally:
            connection.close()

    def _wait(self) -> float:
        """Return how long the next call of a watch waits: not past a moment that has to be confirmed."""
        now = trio.current_time()
        soonest = min((at for at in self.confirm_at), default=math.inf)
        return min(self.limits.watch_wait, max(soonest + self.limits.watch_confirm - now, 0.0))

    async def _dial(self) -> ClientConnection:
        limits = self.limits
        return await ClientConnection.connect(self.addr, limits, limits.listing_bytes, limits.watch_dial)

    async def _hear(self, listing: messages.Listing) -> None:
        """Take an answer, and tell what it says."""
        self.heard_us = self.clock.now_us()
        entries = self.start_times.translate(messages.entries(listing))
        self._learn(listing.version, listing.full, entries)
        self.counters.add("watch_answers")
        if wrong := messages.odd(listing):
            self.counters.add("entries_odd", len(wrong))
            self.log.event("entries_odd", level="warning", number=len(wrong), first=wrong[0])
        now = trio.current_time()
        due = [at for at in self.confirm_at if at <= now]
        if listing.servers or listing.full or self.report_next or due:
            self.report_next = False
            self.confirm_at = [at for at in self.confirm_at if at > now]
            scope = "all" if listing.full else "changes"
            await self.inbox.send(EndpointListReceived(scope, entries, is_from_former_discovery=self.former))
        self.had.set()
