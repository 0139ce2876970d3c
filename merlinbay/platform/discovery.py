"""The platform's discovery: watches the endpoint list by long polls on a connection of its own.

The dispatcher subscribes to it when the decision module asks to watch the list. Answers and failures go to
the dispatcher's inbox as ``EndpointListReceived``. After a failed poll the last list stays in use.
"""

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
from merlinbay.platform.endpoint_list import EndpointList
from merlinbay.platform.start_times import StartTimes

SERVICE_UNAVAILABLE = 503  # discovery reports that it is down, or that the poll has waited too long
MAX_NAMES_LOGGED = 4  # servers named in the log for each kind of change to the list


class UnexpectedStatusError(Exception):
    """Discovery has answered with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"expected status 200, got {status}")
        self.status = status


def classify_failure(error: Exception) -> CallFailure:
    """Return the kind of failure for the exception that ended a poll."""
    if isinstance(error, ConnectTimeoutError | ConnectRefusedError):
        return CallFailure.UNREACHABLE
    if isinstance(error, trio.TooSlowError):
        return CallFailure.SILENT
    if isinstance(error, UnexpectedStatusError) and error.status == SERVICE_UNAVAILABLE:
        return CallFailure.UNAVAILABLE
    return CallFailure.BROKEN


class Discovery:
    """Watches the endpoint list while subscribed; a failed poll ends the watch and is reported.

    If nodes have to subscribe, the decision module decides when the next watch begins. Otherwise
    (``is_pushed``) the list is pushed to an agent on the node's own machine. The agent's list counts as
    notified at once, so a watch begins at the start, and again shortly after each failure.
    """

    def __init__(
        self,
        addr: str,
        version: int | None,
        entries: list[ServiceEntry],
        is_pushed: bool,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.addr, self.is_pushed, self.clock = addr, is_pushed, clock
        self.inbox, self.limits, self.counters, self.log = inbox, limits, counters, log
        self.next_addr = addr  # address for the next subscription
        self.list = EndpointList(version, entries)
        self.start_times = StartTimes(clock, entries)
        self.has_list = trio.Event()  # set by the first answer
        self.last_answer_at_us = -1  # time of the last answer on this watch; -1: none yet
        self.poll_began_at_s = 0.0  # start of the current poll, on trio's clock
        self.first_poll_timeout_s = limits.first_poll_timeout_s  # timeout of a watch's first poll
        self.is_watching = False
        self.reports_next = True  # whether the next answer is reported even if it changes nothing
        # The first answer after each of these times, on trio's clock, is reported even if it changes nothing.
        self.confirm_at_s: list[float] = []
        self._subscribed = trio.Event()
        self._watch_scope = trio.CancelScope()

    def subscribe(self, first_poll_timeout_us: int = 0) -> None:
        """Start a watch; called again after a failure or a change of the address.

        A timeout of 0 stands for the default.
        """
        self.first_poll_timeout_s = first_poll_timeout_us / 1e6 or self.limits.first_poll_timeout_s
        self._subscribed.set()
        if self.is_watching:
            # Ends the running watch: if it went on, it would never report that this call has succeeded.
            self._watch_scope.cancel()

    def move(self, addr: str) -> bool:
        """Watch at another address from the next subscription on, and return whether the address has changed.

        The current watch goes on until then, so that not all nodes call the new address at once.
        """
        self.next_addr = addr
        self.confirm_after(self.limits.reload_notified_in_us)
        if self.is_pushed and self.is_at_former_address:
            self.subscribe()  # The former agent may no longer get the list.
        return self.is_at_former_address

    def confirm_after(self, notified_in_us: int) -> None:
        """Schedule a poll right after this time, by which all that is listed now counts as notified."""
        self.confirm_at_s.append(trio.current_time() + notified_in_us / 1e6)

    @property
    def is_at_former_address(self) -> bool:
        """Whether the watch uses an address that the configuration no longer names."""
        return self.next_addr != self.addr

    def is_up(self, server: str) -> bool:
        """Return whether a server is up by the last answer, even if the dispatcher has not read it yet."""
        return self.list.is_up(server)

    def endpoint_list(self) -> tuple[int | None, list[ServiceEntry]]:
        """Return the list's version and its entries."""
        return self.list.version, list(self.list.entries.values())

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if not self.is_pushed:
                await self._subscribed.wait()
            self._subscribed = trio.Event()
            if self.next_addr != self.addr:
                # Versions may differ between the two addresses, so the first poll asks for the whole list.
                self.addr, self.list.version = self.next_addr, None
            self.last_answer_at_us, self.reports_next = -1, True
            with trio.CancelScope() as self._watch_scope:
                await self._watch_until_failure()
            self.is_watching = False
            if self._watch_scope.cancelled_caught:
                # An answer may have been applied but not reported, so the next poll asks for the whole list.
                self.list.version = None

    async def _watch_until_failure(self) -> None:
        """Run one watch until it fails, and report the failure."""
        try:
            self.is_watching = True
            await self._watch()
        except (
            RequestNotSentError,
            ConnectionBrokenError,
            trio.TooSlowError,
            msgspec.DecodeError,
            UnexpectedStatusError,
        ) as error:
            self.is_watching = False
            await self._report_failure(error)
            if self.is_pushed:
                await trio.sleep(self.limits.pushed_retry_pause_s)

    async def _report_failure(self, error: Exception) -> None:
        failure = classify_failure(error)
        self.counters.add("watches_failed")
        self.log.event(
            "discovery_failed",
            level="warning",
            at=self.addr,
            watching=self.last_answer_at_us >= 0,
            failure=failure.value,
            after=self._poll_time(),
            error=repr(error),
        )
        await self.inbox.send(
            EndpointListReceived("refused", [], self.last_answer_at_us, failure, self.is_at_former_address)
        )

    async def _watch(self) -> None:
        """Poll repeatedly on one connection until a poll fails."""
        self.poll_began_at_s = trio.current_time()
        self.log.event("discovery_called", at=self.addr, version=self.list.version)
        connection = await self._connect()
        try:
            # Discovery does not hold the first poll: the balancer learns from it how long discovery takes.
            wait_s = 0.0
            timeout_s = self.limits.pushed_poll_timeout_s if self.is_pushed else self.first_poll_timeout_s
            was_malformed = False
            while True:
                body = await self._poll(connection, wait_s, timeout_s)
                try:
                    listing = messages.read_limited_listing(body, self.limits.endpoint_entries)
                except msgspec.DecodeError as error:
                    # One malformed answer does not end the watch: the poll is repeated once.
                    self.counters.add("lists_spoilt")
                    self.log.event("list_malformed", level="warning", error=repr(error), kept="the old list")
                    if was_malformed:
                        raise
                    was_malformed = True
                    await trio.sleep(self.limits.malformed_retry_pause_s)
                else:
                    await self._apply(listing)
                    wait_s = self._next_wait_s()
                    timeout_s = wait_s + self.limits.watch_slack_s
                    was_malformed = False
                if not connection.can_be_reused:
                    connection.close()
                    connection = await self._connect()
        finally:
            connection.close()

    async def _connect(self) -> ClientConnection:
        limits = self.limits
        return await ClientConnection.connect(
            self.addr, limits, limits.endpoint_list_bytes, limits.watch_connect_timeout_s
        )

    async def _poll(self, connection: ClientConnection, wait_s: float, timeout_s: float) -> bytes:
        """Send one poll, and return the body of its answer.

        ``wait_s`` is how long discovery may hold the poll if nothing has changed.
        """
        self.poll_began_at_s = trio.current_time()
        version = self.list.version
        query = "" if version is None else f"?after={version}&wait_ms={int(wait_s * 1000)}"
        with trio.fail_after(timeout_s):
            reply = await connection.exchange("GET", f"/api/targets{query}", [])
        if reply.status != 200:
            raise UnexpectedStatusError(reply.status)
        return reply.body

    def _poll_time(self) -> str:
        """Return the duration of the current poll so far, as text for the log."""
        return f"{trio.current_time() - self.poll_began_at_s:.3f}s"

    def _next_wait_s(self) -> float:
        """Return how long discovery may hold the next poll: not past the next time in ``confirm_at_s``."""
        confirm_poll_at_s = min(self.confirm_at_s, default=math.inf) + self.limits.confirm_margin_s
        return min(self.limits.watch_wait_s, max(confirm_poll_at_s - trio.current_time(), 0.0))

    async def _apply(self, listing: messages.Listing) -> None:
        """Apply an answer to the list, and report it to the dispatcher if it changes or confirms the list."""
        self.last_answer_at_us = self.clock.now_us()
        entries = self.start_times.translate(messages.entries(listing), listing.full)
        self._apply_to_list(listing, entries)
        self.counters.add("watch_answers")
        if malformed := messages.malformed_entries(listing):
            self.counters.add("entries_odd", len(malformed))
            self.log.event("entries_odd", level="warning", number=len(malformed), first=malformed[0])
        now_s = trio.current_time()
        is_confirmation = any(at_s <= now_s for at_s in self.confirm_at_s)
        if listing.servers or listing.full or self.reports_next or is_confirmation:
            self.reports_next = False
            self.confirm_at_s = [at_s for at_s in self.confirm_at_s if at_s > now_s]
            scope = "all" if listing.full else "changes"
            await self.inbox.send(
                EndpointListReceived(scope, entries, is_from_former_discovery=self.is_at_former_address)
            )
        self.has_list.set()

    def _apply_to_list(self, listing: messages.Listing, entries: list[ServiceEntry]) -> None:
        """Apply an answer to the list, and log the changes of a new version with the first few names."""
        change = self.list.apply(listing.version, listing.full, entries)
        if change is None:
            return
        self.log.event(
            "list_changed",
            at=self.addr,
            version=f"{change.old_version}->{change.version}",
            full=listing.full,
            after=self._poll_time(),
            leaving=f"{len(change.leaving)}:{','.join(change.leaving[:MAX_NAMES_LOGGED])}",
            joining=f"{len(change.joining)}:{','.join(change.joining[:MAX_NAMES_LOGGED])}",
        )
