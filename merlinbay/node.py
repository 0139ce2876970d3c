"""One node: reads its configuration, wires the parts and runs until SIGTERM."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from merlinbay.clock import Clock
from merlinbay.config import Config, load, reload
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.interfaces import ServerTransport
from merlinbay.core.messages import DiscoveryReloaded, EndpointListReceived, Message, ShutdownRequested
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.errors import ConfigurationError, address
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.connection import Handler
from merlinbay.http.pool import ConnectionPool
from merlinbay.http.server import Listener, bound
from merlinbay.log import Log
from merlinbay.platform import messages
from merlinbay.platform.admin_listener import AdminListener
from merlinbay.platform.client_adapter import ClientAdapter
from merlinbay.platform.discovery import Discovery
from merlinbay.platform.servers import PlatformServers

if TYPE_CHECKING:
    from merlinbay.control_service.node_follower import ConfigurationFollower
    from merlinbay.dnssd.directory import DnsSdDirectory
    from merlinbay.drmaa.wiring import DrmaaParts
    from merlinbay.fleet.wiring import FleetParts
    from merlinbay.handover.takeover import Takeover


@dataclass
class Sides:
    """What an operator's file has turned on beside the platform's protocol."""

    drmaa: DrmaaParts | None = None
    fleet: FleetParts | None = None
    control: ConfigurationFollower | None = None
    takeover: Takeover | None = None  # the process before or after this one

    def reload(self) -> None:
        """Read keys and certificates again. Raises ``ConfigurationError``."""
        for part in (self.drmaa, self.fleet, self.control):
            if part is not None:
                part.reload()

    def stop(self) -> None:
        """Tell clients and the fleet that the node goes."""
        if self.drmaa is not None:
            self.drmaa.stop()
            self.drmaa.close_idle()
        if self.fleet is not None:
            self.fleet.stop()
        if self.control is not None:
            self.control.stop()


early: list[int] = []  # the SIGTERMs that came before trio took signals, or after


async def run(config: Config, counters: Counters) -> None:
    """Run one node until it is told to stop and its last request is answered."""
    limits, clock, operator = config.limits, Clock(), config.operator
    log = log_for(config)
    send: trio.MemorySendChannel[Message]
    send, receive = trio.open_memory_channel[Message](limits.inbox)
    classes = config.settings.classes
    keyed = frozenset(spec.name for spec in classes if spec.effect == "by_key")
    responder = ClientAdapter(send, clock, limits, counters, {spec.name for spec in classes}, log, keyed)
    handler: Handler = responder
    sides = Sides()
    if operator is not None:
        # Guards against a slow start: without an operator's file, nothing of this is waited for.
        from merlinbay.drmaa.wiring import wire as wire_drmaa

        parts = sides.drmaa = wire_drmaa(operator.drmaa, config.facts(), send, clock, counters, log)
        handler = parts.routes(handler)
        if operator.fleet.listen:
            from merlinbay.fleet.wiring import wire as wire_fleet

            sides.fleet = wire_fleet(operator.fleet, config.facts(), send, counters, log)
    listener = Listener(handler, limits, counters, log)
    if config.settings.balancers == 1:  # else clients find another node by a new connection
        responder.scarce = listener.scarce
    attendance = ClientSteering(listener, limits)
    responder.wanted = attendance.wanted
    admin = AdminListener(send, attendance, limits, counters, log)
    sock = await listening(listener.bind(*config.listen), config.listen)
    admin_sock = await listening(bound(*config.admin, limits.backlog), config.admin) if config.admin else None
    inherited = None
    if limits.accept_fd >= 0 and operator is None:  # what fronts hold is not handed over
        from merlinbay.handover.wiring import wire as wire_handover

        sides.takeover = wire_handover(
            config.name, config.listen, send, listener, attendance, limits, counters, log, clock
        )
        inherited = await sides.takeover.inherit()
        if inherited is not None and inherited.clock_us:
            # Guards against a wall clock stepped between the two starts: spans that go on would be off by it.
            clock.carry_on(inherited.clock_us)
    discovery: Discovery | DnsSdDirectory
    if operator is None or operator.dnssd is None:
        version, entries = (
            (inherited.version, inherited.entries)
            if inherited is not None
            else (config.known.version, messages.entries(config.known))
        )
        discovery = Discovery(
            config.discovery,
            version,
            entries,
            not config.settings.must_subscribe,
            send,
            clock,
            limits,
            counters,
            log,
        )
    else:
        from merlinbay.dnssd.wiring import wire as wire_dnssd

        discovery = wire_dnssd(operator.dnssd, send, limits, counters, log)
    async with trio.open_nursery() as nursery:
        pool = ConnectionPool(limits, counters, discovery.serves)
        drmaa = sides.drmaa
        servers: ServerTransport | None = drmaa.start(nursery, pool) if drmaa is not None else None
        if servers is None:
            servers = PlatformServers(
                nursery, pool, send, clock, limits, counters, log, bool(config.settings.report_fields)
            )
        balancer = Balancer(config.settings, config.seed, clock.now_us())
        owner = Dispatcher(balancer, clock, limits, counters, log, servers, discovery)
        if drmaa is not None and drmaa.front is not None and drmaa.front.reserving is not None:
            owner.watch_entries(drmaa.front.reserving)
        nursery.start_soon(pool.sweep)
        nursery.start_soon(discovery.run)
        owner.know_other_process(sides.takeover)
        if sides.fleet is not None:
            sides.fleet.gauges = owner.gauges
        if inherited is not None:
            if isinstance(discovery, Discovery):
                discovery.confirm_after(limits.inherit_told_us)
            attendance.turn(inherited.away, relayed=True)
            owner.turn(
                [
                    EndpointListReceived("remembered", inherited.entries),
                    DiscoveryReloaded(limits.inherit_told_us),
                ]
            )
            balancer.restore_snapshot(inherited.learned)
        else:
            owner.turn([EndpointListReceived("remembered", messages.entries(config.known))])
        if isinstance(discovery, Discovery) and discovery.pushed:
            # Guards against a send by the old list: what the agent has counts as told from the first moment.
            with trio.move_on_after(limits.push_start):
                await discovery.had.wait()
        await nursery.start(listener.serve, sock)
        if sides.takeover is not None and isinstance(discovery, Discovery):
            nursery.start_soon(sides.takeover.follow)
            await nursery.start(sides.takeover.await_successors, discovery.listing)
        nursery.start_soon(attendance.run)
        if admin_sock is not None:
            nursery.start_soon(admin.serve, admin_sock)
        if drmaa is not None:
            await drmaa.listen(nursery, limits)
        if sides.fleet is not None:
            await sides.fleet.listen(nursery)
        if operator is not None and operator.control is not None:
            from merlinbay.control_service.node_follower import ConfigurationFollower

            sides.control = ConfigurationFollower(operator.control, config.name, nursery, counters, log)
        nursery.start_soon(signals, config, listener, discovery, send, nursery, counters, log, sides)
        admin.serving = True
        log.event("serves", at=f"{config.listen[0]}:{config.listen[1]}", node=config.name)
        await owner.run(receive)
        responder.end()
        await listener.finish(limits.stop_part)
        nursery.cancel_scope.cancel()


async def listening(
    binding: Awaitable[trio.socket.SocketType], at: tuple[str, int]
) -> trio.socket.SocketType:
    """Return the socket that listens. Raises ``ConfigurationError``."""
    try:
        return await binding
    except OSError as error:
        raise ConfigurationError(f"cannot listen at {at[0]}:{at[1]}: {error.strerror}") from None


def log_for(config: Config) -> Log:
    """Return the log that the operator's file asks for."""
    section = config.operator.log if config.operator is not None else None
    if section is None or section.format == "plain":
        return Log(config.limits.log_lines)
    from merlinbay.events import EventLog

    return EventLog(section.lines, section.format, section.level, config.name)


async def signals(
    config: Config,
    listener: Listener,
    discovery: Discovery | DnsSdDirectory,
    inbox: trio.MemorySendChannel[Message],
    nursery: trio.Nursery,
    counters: Counters,
    log: Log,
    sides: Sides,
) -> None:
    """SIGHUP reads the configuration again, SIGUSR1 prints the counters, SIGTERM and SIGINT end the node."""
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1) as received:
        stopping = bool(early)
        if stopping:  # Guards against a node that was told to end while it started, and serves until SIGKILL.
            nursery.start_soon(stop, config, listener, inbox, nursery, sides)
        async for number in received:
            if number == signal.SIGUSR1:
                counters.print()
            elif number == signal.SIGHUP:
                moved = follow(config, discovery, counters, log, sides)
                if moved is not None:
                    await inbox.send(DiscoveryReloaded(config.limits.reload_told_us, moved))
            elif not stopping:
                stopping = True
                nursery.start_soon(stop, config, listener, inbox, nursery, sides)


def follow(
    config: Config, discovery: Discovery | DnsSdDirectory, counters: Counters, log: Log, sides: Sides
) -> bool | None:
    """Move the watch to where the configuration now says; one that cannot be used changes nothing.

    Returns whether the module is to say when the watch goes there; None: the configuration could not be used.
    """
    try:
        new = reload(config)
        sides.reload()
    except ConfigurationError as error:
        counters.add("reloads_bad")
        log.event("reload_failed", level="warning", error=str(error), kept="the old configuration")
        return None
    moved = False
    if isinstance(discovery, Discovery):
        moved = discovery.move(new.discovery)
    elif new.operator is not None and new.operator.dnssd is not None:
        discovery.move(address(new.operator.dnssd.nameserver), new.operator.dnssd.service)
    counters.add("reloads")
    log.event("reloaded", discovery=new.discovery, moved=moved)
    return moved


async def stop(
    config: Config,
    listener: Listener,
    inbox: trio.MemorySendChannel[Message],
    nursery: trio.Nursery,
    sides: Sides,
) -> None:
    """Serve on for a moment, then end in good order."""
    limits = config.limits
    began = trio.current_time()
    nursery.cancel_scope.deadline = began + limits.stop_most
    if sides.fleet is not None:
        sides.fleet.leaving()
    if sides.takeover is not None and await sides.takeover.leave():
        await inbox.send(ShutdownRequested())
        return
    await trio.sleep(limits.stop_arrivals)
    listener.leaving = True
    if config.settings.balancers > 1:
        # Guards against refusing clients that another node could serve: their connections end unrefused,
        # and they open new ones, which lead there.
        await trio.sleep_until(began + limits.stop_serving - limits.stop_retiring)
        listener.close_idle()
    await trio.sleep_until(began + limits.stop_serving)
    sides.stop()  # before connections close: calls that wait are answered on theirs
    listener.close_idle()
    await inbox.send(ShutdownRequested())


def serve() -> int:
    """Start; a bad configuration ends with one plain line."""
    try:
        config = load()
    except ConfigurationError as error:
        print(f"merlinbay: {error}", file=sys.stderr)
        return 2
    counters = Counters()
    # Guards against a signal just before trio takes them, and during the last steps, when it has put these
    # handlers back: SIGHUP never ends the node, and what ends in good order ends with 0.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: early.append(number))
    # Guards against pauses: a full collection would walk all that the imports have made, again and again.
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
