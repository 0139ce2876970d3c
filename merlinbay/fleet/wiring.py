"""How the view of the fleet is put together, and what the core is told of it."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

import trio

from merlinbay.core.messages import BalancersChanged, Message
from merlinbay.core.values import NodeIdentity
from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.fleet.agreeing import AgreeingView
from merlinbay.fleet.boots import disk_of, load_kept, next_boot, store_kept
from merlinbay.fleet.control import FleetControl
from merlinbay.fleet.epochs import Epochs, identity
from merlinbay.fleet.net import FleetNet
from merlinbay.fleet.settings import Fleet
from merlinbay.fleet.view import View, fresh
from merlinbay.fleet.wire import Keys
from merlinbay.http.routes import Routes
from merlinbay.http.server import Listener
from merlinbay.log import Log

CLOCK = "MERLINBAY_CLOCK_OFFSET"  # seconds that the rig sets this process's wall clock off by


class FleetParts:
    """The view, its sockets and the operators' calls."""

    def __init__(
        self,
        section: Fleet,
        facts: NodeIdentity,
        inbox: trio.MemorySendChannel[Message],
        counters: Counters,
        log: Log,
    ) -> None:
        self.section, self.facts, self.inbox = section, facts, inbox
        self.counters, self.log = counters, log
        try:
            self.keys = Keys.load(section.keys)
        except ValueError as error:
            raise ConfigurationError(f"fleet.keys: {error}") from None
        unix = time.time() + float(os.environ.get(CLOCK, "0"))
        try:
            incarnation = next_boot(section.data, unix)
            disk = disk_of(section.data) if section.data else ""
        except OSError as error:
            raise ConfigurationError(f"fleet.data: {section.data}: {error.strerror}") from None
        me = fresh(
            facts.name,
            section.advertise or section.listen,
            section.zone,
            incarnation,
            secrets.randbits(62),
            section.tags,
        )
        me.disk = disk
        rng, now = Random(secrets.randbits(64)), trio.current_time()
        if section.data:
            path = Path(section.data) / "epoch"
            try:
                kept = load_kept(path)
            except (OSError, ValueError) as error:
                raise ConfigurationError(f"fleet.data: {path}: {error}") from None
            self.view: View = AgreeingView(
                section,
                self.keys,
                me,
                rng,
                now,
                Epochs(identity(me.name, disk), section.expect, kept, partial(store_kept, path), rng.random),
            )
        else:
            self.view = View(section, self.keys, me, rng, now)
        self.view.seeds = self.seeds()
        self.net = FleetNet(self.view, section.listen, self.seeds, counters, log)
        self.net.changed.append(self._count)
        self.counted = (0, 0)
        self.gauges: Callable[[], dict[str, float]] = dict  # what this node holds, for the others to know

    def seeds(self) -> list[str]:
        """Return the addresses to join by: the section's, and those that the file has by now."""
        found = list(self.section.seeds)
        if self.section.seeds_file:
            try:
                lines = Path(self.section.seeds_file).read_text().splitlines()
            except OSError as error:
                self.log.event("fleet_seeds_failed", level="warning", error=str(error.strerror))
                lines = []
            found += [line.strip() for line in lines if line.strip() and not line.startswith("#")]
        return found

    def reload(self) -> None:
        """Read the keys again. Raises ``ConfigurationError``; what cannot be used changes nothing."""
        try:
            self.keys = Keys.load(self.section.keys)
        except ValueError as error:
            raise ConfigurationError(f"fleet.keys: {error}") from None
        self.view.keys = self.keys

    def _count(self) -> None:
        """Tell the core how many balancers share the work, and which it is, when that changes."""
        names = sorted(member.name for member in self.view.here() if not member.claim.draining)
        # One that drains shares no more; it counts itself as the last, for the little that it does.
        counted = max(len(names), 1), names.index(self.view.me.name) if self.view.me.name in names else 0
        if counted != self.counted and not self.view.yielded:
            try:
                self.inbox.send_nowait(BalancersChanged(*counted))
                self.counted = counted
            except (trio.WouldBlock, trio.BrokenResourceError):
                pass  # told with the next change, or never: the owner has ended

    async def listen(self, nursery: trio.Nursery) -> None:
        """Take the addresses and begin. Raises ``ConfigurationError``."""
        await self.net.bind()
        if self.section.control:
            listener = Listener(
                Routes([("/fleet", FleetControl(self.net))]), self.facts.limits, self.counters, self.log
            )
            host, port = parse_address(self.section.control)
            try:
                sock = await listener.bind(host, port)
            except OSError as error:
                raise ConfigurationError(
                    f"fleet.control: cannot listen at {host}:{port}: {error.strerror}"
                ) from None
            nursery.start_soon(listener.serve, sock)
        nursery.start_soon(self.net.run)
        nursery.start_soon(self._gauge)

    async def _gauge(self) -> None:
        """Tell the fleet what this node holds, when that has changed by enough to be news."""
        while True:
            await trio.sleep(self.section.gauges)
            if telling(self.view.me.gauges, found := self.gauges()):
                self.view.set(gauges=found)
                self.net.after()

    def leaving(self) -> None:
        """Tell the fleet that this node takes nothing new, while it still serves."""
        self.view.set(draining=True)
        self.net.after(look=True)

    def stop(self) -> Callable[[], None]:
        """Tell the fleet that this node leaves; it goes on gossiping until it ends."""
        self.view.leave()
        self.net.after()
        return self.net.after


def telling(old: dict[str, float], new: dict[str, float]) -> bool:
    """Tell whether gauges have changed by a tenth of the larger value, or come or gone."""
    return old.keys() != new.keys() or any(
        abs(value - old[name]) > 0.1 * max(abs(value), abs(old[name])) for name, value in new.items()
    )


def wire(
    section: Fleet,
    facts: NodeIdentity,
    inbox: trio.MemorySendChannel[Message],
    counters: Counters,
    log: Log,
) -> FleetParts | None:
    """Make the parts; None: the section is off. Raises ``ConfigurationError``."""
    return FleetParts(section, facts, inbox, counters, log) if section.listen else None
