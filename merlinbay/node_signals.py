"""The signals of a node: SIGHUP reloads, SIGUSR1 prints counters, SIGTERM and SIGINT shut down gracefully.

A reload that fails is logged and does not move discovery. A shutdown that takes too long is ended at its
deadline.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from merlinbay.config import Config, reload
from merlinbay.core.messages import DiscoveryReloaded, Message, ShutdownRequested
from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.http.server import Listener
from merlinbay.log import Log
from merlinbay.node_components import OptionalComponents
from merlinbay.platform.discovery import Discovery

if TYPE_CHECKING:
    from merlinbay.dnssd.directory import DnsSdDirectory

pending_sigterms: list[int] = []  # SIGTERMs received while trio's receiver was not open


@dataclass
class SignalHandler:
    """Handles the signals of one node."""

    config: Config
    listener: Listener
    discovery: Discovery | DnsSdDirectory
    inbox: trio.MemorySendChannel[Message]
    nursery: trio.Nursery  # the node's nursery, whose deadline limits the shutdown
    counters: Counters
    log: Log
    optional: OptionalComponents

    async def run(self) -> None:
        """Handle signals until cancelled. Only the first SIGTERM or SIGINT starts the shutdown."""
        with trio.open_signal_receiver(
            signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1
        ) as received:
            is_stopping = bool(pending_sigterms)
            if is_stopping:  # A SIGTERM during the start must not be lost, or the node would go on serving.
                self.nursery.start_soon(self.shut_down)
            async for number in received:
                if number == signal.SIGUSR1:
                    self.counters.print()
                elif number == signal.SIGHUP:
                    await self._reload()
                elif not is_stopping:
                    is_stopping = True
                    self.nursery.start_soon(self.shut_down)

    async def _reload(self) -> None:
        """Apply the new source of the endpoint list, and reload keys and certificates.

        Other settings keep their values until a restart. If the configuration cannot be used, this is logged,
        and the source of the endpoint list stays.
        """
        try:
            new = reload(self.config)
            self.optional.reload()
        except ConfigurationError as error:
            self.counters.add("reloads_bad")
            self.log.event("reload_failed", level="warning", error=str(error), kept="the old configuration")
            return
        has_moved = self._move_discovery(new)
        self.counters.add("reloads")
        self.log.event("reloaded", discovery=new.discovery, moved=has_moved)
        await self.inbox.send(DiscoveryReloaded(self.config.limits.reload_notified_in_us, has_moved))

    def _move_discovery(self, new: Config) -> bool:
        """Move the watch to the configured address. Return whether the dispatcher has to subscribe there."""
        if isinstance(self.discovery, Discovery):
            return self.discovery.move(new.discovery)
        if new.operator is not None and new.operator.dnssd is not None:
            self.discovery.move(parse_address(new.operator.dnssd.nameserver), new.operator.dnssd.service)
        return False

    async def shut_down(self) -> None:
        """Serve while clients still arrive, then reject new requests and end with the last response."""
        limits = self.config.limits
        began = trio.current_time()
        self.nursery.cancel_scope.deadline = began + limits.stop_timeout_s
        if self.optional.fleet is not None:
            self.optional.fleet.announce_draining()
        if self.optional.takeover is not None and await self.optional.takeover.as_predecessor.hand_over():
            await self.inbox.send(ShutdownRequested())
            return
        await trio.sleep(limits.stop_arrivals_for_s)
        self.listener.is_draining = True
        if self.config.settings.balancers > 1:
            # Closes client connections before rejection begins, so that the clients connect to another node
            # that can serve them.
            await trio.sleep_until(began + limits.stop_serving_for_s - limits.stop_closing_for_s)
            self.listener.close_idle()
        await trio.sleep_until(began + limits.stop_serving_for_s)
        self.optional.stop()  # Before connections close, because waiting calls are answered on them.
        self.listener.close_idle()
        await self.inbox.send(ShutdownRequested())
