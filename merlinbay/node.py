"""One node: builds its components from the configuration and runs them until it is shut down.

It owns the listener, the dispatcher, discovery and the optional components. A configuration that cannot be
used ends the process with status 2.
"""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Awaitable
from typing import TYPE_CHECKING

import trio

from merlinbay.clock import Clock
from merlinbay.config import Config, load
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.interfaces import ServerTransport
from merlinbay.core.messages import DiscoveryReloaded, EndpointListReceived, Message
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.errors import ConfigurationError
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.connection import Handler
from merlinbay.http.memory_budget import MemoryBudget
from merlinbay.http.pool import ConnectionPool
from merlinbay.http.server import Listener, bind_socket
from merlinbay.log import Log
from merlinbay.node_components import make_discovery, make_optional_components, open_log
from merlinbay.node_signals import SignalHandler, pending_sigterms
from merlinbay.platform import messages
from merlinbay.platform.admin_listener import AdminListener
from merlinbay.platform.client_adapter import ClientAdapter, is_callback
from merlinbay.platform.discovery import Discovery
from merlinbay.platform.servers import PlatformServers

if TYPE_CHECKING:
    from merlinbay.dnssd.directory import DnsSdDirectory
    from merlinbay.handover.successor import Inherited


class Node:
    """The components of one node. Created inside a trio run. Raises ``ConfigurationError``."""

    def __init__(self, config: Config, counters: Counters) -> None:
        limits = config.limits
        self.config, self.counters, self.clock = config, counters, Clock()
        self.log: Log = open_log(config)
        self.inbox: trio.MemorySendChannel[Message]  # the sending end of the dispatcher's inbox
        self.inbox, self.received = trio.open_memory_channel[Message](limits.inbox_messages)
        classes = config.settings.classes
        by_key = frozenset(spec.name for spec in classes if spec.effect == "by_key")
        self.client_adapter = ClientAdapter(
            self.inbox, self.clock, limits, counters, {spec.name for spec in classes}, self.log, by_key
        )
        self.optional = make_optional_components(config, self.inbox, self.clock, counters, self.log)
        handler: Handler = self.client_adapter
        if self.optional.drmaa is not None:
            handler = self.optional.drmaa.routes(handler)
        self.budget = MemoryBudget(limits.message_bytes)
        self.listener = Listener(handler, limits, counters, self.log, self.budget)
        self.listener.is_repeated = is_callback
        self.steering = ClientSteering(self.listener, limits)
        self.admin = AdminListener(self.inbox, self.steering, limits, counters, self.log)
        if config.settings.balancers == 1:  # With more nodes, a new connection reaches another node.
            self.client_adapter.is_short_of_connections = self.listener.is_short_of_idle_connections
        self.client_adapter.accepts_clients = self.steering.accepts_clients

    async def run(self) -> None:
        """Run until the node is shut down and its last request is answered."""
        config = self.config
        client_socket = await bind(self.listener.bind(*config.listen), config.listen)
        admin_socket = None
        if config.admin is not None:
            admin_socket = await bind(bind_socket(*config.admin, config.limits.accept_backlog), config.admin)
        inherited = await self._inherit()
        discovery = make_discovery(config, inherited, self.inbox, self.clock, self.counters, self.log)
        async with trio.open_nursery() as nursery:
            dispatcher = self._start_dispatcher(nursery, discovery, inherited)
            if isinstance(discovery, Discovery) and discovery.is_pushed:
                # Waits for the list of the machine's agent before it serves. All that the agent has counts as
                # notified from the start, so the node must not dispatch by an outdated list.
                with trio.move_on_after(config.limits.pushed_start_timeout_s):
                    await discovery.has_list.wait()
            await self._start_serving(nursery, client_socket, admin_socket, discovery)
            handler = SignalHandler(
                config,
                self.listener,
                discovery,
                self.inbox,
                nursery,
                self.counters,
                self.log,
                self.optional,
            )
            nursery.start_soon(handler.run)
            self.admin.is_serving = True
            self.log.event("serves", at=f"{config.listen[0]}:{config.listen[1]}", node=config.name)
            await dispatcher.run(self.received)
            self.client_adapter.end()
            await self.listener.close_all(config.limits.stop_close_timeout_s)
            nursery.cancel_scope.cancel()

    async def _inherit(self) -> Inherited | None:
        """Ask a running process of the same node for its state. Return None if there is no predecessor."""
        config = self.config
        # Two processes can serve one address only through an inherited listening socket. Nodes with an
        # operator's file are left out because fronts do not hand their state over.
        if config.limits.accept_fd < 0 or config.operator is not None:
            return None
        from merlinbay.handover.wiring import wire as wire_handover

        self.optional.takeover = wire_handover(
            config.name,
            config.listen,
            self.inbox,
            self.listener,
            self.steering,
            config.limits,
            self.counters,
            self.log,
            self.clock,
        )
        inherited = await self.optional.takeover.as_successor.inherit()
        if inherited is not None and inherited.clock_us:
            # Otherwise, a step of the wall clock between the two starts would shift the running timeouts.
            self.clock.continue_from(inherited.clock_us)
        return inherited

    def _start_dispatcher(
        self, nursery: trio.Nursery, discovery: Discovery | DnsSdDirectory, inherited: Inherited | None
    ) -> Dispatcher:
        """Create the dispatcher with its pool and servers, start discovery, and apply the first list."""
        config, drmaa = self.config, self.optional.drmaa
        pool = ConnectionPool(config.limits, self.counters, discovery.is_up, self.budget)
        servers = self._make_servers(nursery, pool)
        balancer = Balancer(config.settings, config.seed, self.clock.now_us())
        dispatcher = Dispatcher(
            balancer, self.clock, config.limits, self.counters, self.log, servers, discovery
        )
        if drmaa is not None and drmaa.front is not None and drmaa.front.reserving is not None:
            dispatcher.add_endpoint_observer(drmaa.front.reserving)
        nursery.start_soon(pool.sweep)
        nursery.start_soon(discovery.run)
        dispatcher.set_peer_process(self.optional.takeover)
        if self.optional.takeover is not None:
            self.optional.takeover.as_predecessor.used_names = dispatcher.requests.used_names
        if self.optional.fleet is not None:
            self.optional.fleet.gauges = dispatcher.gauges
        if inherited is None:
            remembered = EndpointListReceived(
                "remembered",
                messages.entries(config.initial_list),
                identifies_by_address=not isinstance(discovery, Discovery),
            )
            dispatcher.run_batch([remembered])
            return dispatcher
        notified_in_us = config.limits.handover_notified_in_us
        if isinstance(discovery, Discovery):
            discovery.confirm_after(notified_in_us)
        self.steering.set_draining(inherited.is_standby, relayed=True)
        dispatcher.run_batch(
            [EndpointListReceived("remembered", inherited.entries), DiscoveryReloaded(notified_in_us)]
        )
        dispatcher.requests.remember(inherited.names)
        balancer.restore_snapshot(inherited.snapshot)
        return dispatcher

    def _make_servers(self, nursery: trio.Nursery, pool: ConnectionPool) -> ServerTransport:
        """Return the DRMAA servers if the operator's file turns them on, else the platform's servers."""
        drmaa = self.optional.drmaa
        drmaa_servers = drmaa.start(nursery, pool) if drmaa is not None else None
        if drmaa_servers is not None:
            return drmaa_servers
        return PlatformServers(
            nursery,
            pool,
            self.inbox,
            self.clock,
            self.config.limits,
            self.counters,
            self.log,
            bool(self.config.settings.report_fields),
        )

    async def _start_serving(
        self,
        nursery: trio.Nursery,
        client_socket: trio.socket.SocketType,
        admin_socket: trio.socket.SocketType | None,
        discovery: Discovery | DnsSdDirectory,
    ) -> None:
        """Start the listeners, then the optional components that listen or connect."""
        config, optional = self.config, self.optional
        await nursery.start(self.listener.serve, client_socket)
        if optional.takeover is not None and isinstance(discovery, Discovery):
            nursery.start_soon(optional.takeover.as_successor.follow)
            await nursery.start(optional.takeover.as_predecessor.await_successors, discovery.endpoint_list)
        nursery.start_soon(self.steering.run)
        if admin_socket is not None:
            nursery.start_soon(self.admin.serve, admin_socket)
        if optional.drmaa is not None:
            await optional.drmaa.listen(nursery, config.limits, self.budget)
        if optional.fleet is not None:
            await optional.fleet.listen(nursery)
        if config.operator is not None and config.operator.control is not None:
            from merlinbay.control_service.node_follower import ConfigurationFollower

            optional.control = ConfigurationFollower(
                config.operator.control, config.name, nursery, self.counters, self.log
            )


async def bind(
    binding: Awaitable[trio.socket.SocketType], listen_address: tuple[str, int]
) -> trio.socket.SocketType:
    """Return the listening socket. Raises ``ConfigurationError`` if it cannot be bound."""
    try:
        return await binding
    except OSError as error:
        raise ConfigurationError(
            f"cannot listen at {listen_address[0]}:{listen_address[1]}: {error.strerror}"
        ) from None


async def run(config: Config, counters: Counters) -> None:
    """Run one node until it is shut down and its last request is answered."""
    await Node(config, counters).run()


def serve() -> int:
    """Run the process of one node. Return its exit status: 2 if the configuration cannot be used."""
    try:
        config = load()
    except ConfigurationError as error:
        print(f"merlinbay: {error}", file=sys.stderr)
        return 2
    counters = Counters()
    # These handlers apply before trio's receiver opens and after it closes. With them, SIGHUP never ends the
    # process, and a graceful shutdown ends with status 0.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: pending_sigterms.append(number))
    # Avoids pauses, because each full collection would traverse all imported objects again.
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    try:
        trio.run(run, config, counters)
    except ConfigurationError as error:
        print(f"merlinbay: {error}", file=sys.stderr)
        return 2
    except BaseException:
        counters.print()
        raise
    counters.print()
    return 0
