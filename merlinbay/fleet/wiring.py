"""Composes the view of the fleet from the operator's section, and notifies the core of its members."""

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
from merlinbay.fleet.control import FleetControl
from merlinbay.fleet.epochs import EpochConsensus, voter_id
from merlinbay.fleet.incarnation_store import disk_id, load_acceptor, next_incarnation, store_acceptor
from merlinbay.fleet.net import FleetNet
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.view import View, initial_state
from merlinbay.fleet.wire import Keys
from merlinbay.http.routes import Routes
from merlinbay.http.server import Listener
from merlinbay.log import Log

CLOCK_OFFSET = "MERLINBAY_CLOCK_OFFSET"  # seconds that a test adds to this process's wall clock


class FleetParts:
    """The view, its sockets and the operators' calls."""

    def __init__(
        self,
        settings: FleetSettings,
        facts: NodeIdentity,
        inbox: trio.MemorySendChannel[Message],
        counters: Counters,
        log: Log,
    ) -> None:
        self._settings, self._facts, self._inbox = settings, facts, inbox
        self._counters, self._log = counters, log
        self.view = _make_view(settings, facts.name)
        self.view.push_pull.seeds = self.seeds()
        self.net = FleetNet(self.view, settings.listen, self.seeds, counters, log)
        self.net.on_change.append(self._notify_core)
        self._notified = (0, 0)  # number of balancers and our place among them, as the core knows them
        self.gauges: Callable[[], dict[str, float]] = dict  # returns what is announced to the others

    def seeds(self) -> list[str]:
        """Return the addresses to join by: the section's, and those of its file, which is read again."""
        found = list(self._settings.seeds)
        if self._settings.seeds_file:
            try:
                lines = Path(self._settings.seeds_file).read_text().splitlines()
            except OSError as error:
                self._log.event("fleet_seeds_failed", level="warning", error=str(error.strerror))
                lines = []
            found += [line.strip() for line in lines if line.strip() and not line.startswith("#")]
        return found

    def reload(self) -> None:
        """Read the keys again. Raises ``ConfigurationError``, and keeps the old ones."""
        self.view.replace_keys(_load_keys(self._settings))

    def _notify_core(self) -> None:
        """Notify the core of the number of balancers, and our place among them, when these change."""
        own_name = self.view.local.name
        names = sorted(member.name for member in self.view.table.active() if not member.state.is_draining)
        # A draining node is not among them: it takes the first place, for the little that it still does.
        place = names.index(own_name) if own_name in names else 0
        current = max(len(names), 1), place
        if current != self._notified and not self.view.local.is_silenced:
            try:
                self._inbox.send_nowait(BalancersChanged(*current))
                self._notified = current
            except (trio.WouldBlock, trio.BrokenResourceError):
                pass  # retried with the next change

    async def listen(self, nursery: trio.Nursery) -> None:
        """Bind the sockets and start the tasks. Raises ``ConfigurationError``."""
        await self.net.bind()
        if self._settings.control:
            listener = Listener(
                Routes([("/fleet", FleetControl(self.net))]), self._facts.limits, self._counters, self._log
            )
            host, port = parse_address(self._settings.control)
            try:
                sock = await listener.bind(host, port)
            except OSError as error:
                raise ConfigurationError(
                    f"fleet.control: cannot listen at {host}:{port}: {error.strerror}"
                ) from None
            nursery.start_soon(listener.serve, sock)
        nursery.start_soon(self.net.run)
        nursery.start_soon(self._announce_gauges)

    async def _announce_gauges(self) -> None:
        while True:
            await trio.sleep(self._settings.gauges)
            if have_changed(self.view.local.state.gauges, gauges := self.gauges()):
                self.view.update(gauges=gauges)
                self.net.flush()

    def announce_draining(self) -> None:
        """Announce that this node takes no new requests, while it still serves."""
        self.view.update(is_draining=True)
        self.net.flush(notify=True)

    def leave(self) -> Callable[[], None]:
        """Announce that this node leaves; returns the function that sends what is still to be gossiped."""
        self.view.leave()
        self.net.flush()
        return self.net.flush


def _load_keys(settings: FleetSettings) -> Keys:
    """Read the keys. Raises ``ConfigurationError``."""
    try:
        return Keys.load(settings.keys)
    except ValueError as error:
        raise ConfigurationError(f"fleet.keys: {error}") from None


def _make_view(settings: FleetSettings, name: str) -> View:
    """Make the view; with a data folder, it takes part in epochs. Raises ``ConfigurationError``."""
    keys = _load_keys(settings)
    unix_s = time.time() + float(os.environ.get(CLOCK_OFFSET, "0"))
    try:
        incarnation = next_incarnation(settings.data, unix_s)
        disk = disk_id(settings.data) if settings.data else ""
    except OSError as error:
        raise ConfigurationError(f"fleet.data: {settings.data}: {error.strerror}") from None
    addr, instance = settings.advertise or settings.listen, secrets.randbits(62)
    local_state = initial_state(name, addr, settings.zone, incarnation, instance, settings.tags)
    local_state.disk_id = disk
    rng, now_s = Random(secrets.randbits(64)), trio.current_time()
    if not settings.data:
        return View(settings, keys, local_state, rng, now_s)
    path = Path(settings.data) / "epoch"
    try:
        acceptor = load_acceptor(path)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"fleet.data: {path}: {error}") from None
    consensus = EpochConsensus(
        voter_id(name, disk), settings.expect, acceptor, partial(store_acceptor, path), rng.random
    )
    return View(settings, keys, local_state, rng, now_s, consensus)


def have_changed(old: dict[str, float], new: dict[str, float]) -> bool:
    """Tell whether a gauge has changed by a tenth of the larger value, or was added or removed."""
    return old.keys() != new.keys() or any(
        abs(value - old[name]) > 0.1 * max(abs(value), abs(old[name])) for name, value in new.items()
    )


def wire(
    settings: FleetSettings,
    facts: NodeIdentity,
    inbox: trio.MemorySendChannel[Message],
    counters: Counters,
    log: Log,
) -> FleetParts | None:
    """Make the parts; None: the section is off. Raises ``ConfigurationError``."""
    return FleetParts(settings, facts, inbox, counters, log) if settings.listen else None
