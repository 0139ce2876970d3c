"""Composes the view of the fleet from the operator's section, and sends the number of balancers to the core.

The node makes it at its start if the section is on. A file or an address that cannot be used raises
``ConfigurationError``; a file of seeds that cannot be read is logged, and the other seeds are used.
"""

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

CLOCK_OFFSET = "MERLINBAY_CLOCK_OFFSET"  # environment variable: seconds that tests add to the wall clock


class FleetParts:
    """The view, its sockets and the operators' calls."""

    def __init__(
        self,
        settings: FleetSettings,
        identity: NodeIdentity,
        inbox: trio.MemorySendChannel[Message],
        counters: Counters,
        log: Log,
    ) -> None:
        self._settings, self._identity, self._inbox = settings, identity, inbox
        self._counters, self._log = counters, log
        self.view = _make_view(settings, identity.name)
        self.view.push_pull.seeds = self.seeds()
        self.net = FleetNet(self.view, settings.listen, self.seeds, counters, log)
        self.net.on_change.append(self._notify_core)
        self._notified = (0, 0)  # number of balancers and index of this node, as last sent to the core
        self.gauges: Callable[[], dict[str, float]] = dict  # returns the gauges to announce

    def seeds(self) -> list[str]:
        """Return the addresses of the seeds from the section and from the file, which is read again."""
        addresses = list(self._settings.seeds)
        if self._settings.seeds_file:
            try:
                lines = Path(self._settings.seeds_file).read_text().splitlines()
            except OSError as error:
                self._log.event("fleet_seeds_failed", level="warning", error=str(error.strerror))
                lines = []
            addresses += [line.strip() for line in lines if line.strip() and not line.startswith("#")]
        return addresses

    def reload(self) -> None:
        """Read the keys again. Raises ``ConfigurationError`` and keeps the old keys if they are not valid."""
        self.view.replace_keys(_load_keys(self._settings))

    def _notify_core(self) -> None:
        """Send the number of balancers and this node's index among them to the core when they change."""
        own_name = self.view.local.name
        names = sorted(member.name for member in self.view.table.active() if not member.state.is_draining)
        # A draining node is not counted. It uses index 0 for the few requests that it still handles.
        index = names.index(own_name) if own_name in names else 0
        current = max(len(names), 1), index
        if current != self._notified and not self.view.local.is_silenced:
            try:
                self._inbox.send_nowait(BalancersChanged(*current))
                self._notified = current
            except (trio.WouldBlock, trio.BrokenResourceError):
                pass  # The next change retries.

    async def listen(self, nursery: trio.Nursery) -> None:
        """Bind the sockets and start the tasks. Raises ``ConfigurationError`` if that fails."""
        await self.net.bind()
        if self._settings.control:
            listener = Listener(
                Routes([("/fleet", FleetControl(self.net))]), self._identity.limits, self._counters, self._log
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
        """Announce that this node accepts no new requests, while it still serves the current ones."""
        self.view.update(is_draining=True)
        self.net.flush(notify=True)

    def leave(self) -> Callable[[], None]:
        """Announce that this node leaves; return the function that sends the remaining datagrams."""
        self.view.leave()
        self.net.flush()
        return self.net.flush


def _load_keys(settings: FleetSettings) -> Keys:
    """Read the file of keys. Raises ``ConfigurationError`` if it is not valid."""
    try:
        return Keys.load(settings.keys)
    except ValueError as error:
        raise ConfigurationError(f"fleet.keys: {error}") from None


def _make_view(settings: FleetSettings, name: str) -> View:
    """Make the view, which takes part in epochs if there is a data folder.

    Raises ``ConfigurationError`` if the keys or the folder cannot be used.
    """
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
    """Return whether a gauge has changed by over a tenth of the larger value, or was added or removed."""
    return old.keys() != new.keys() or any(
        abs(value - old[name]) > 0.1 * max(abs(value), abs(old[name])) for name, value in new.items()
    )


def wire(
    settings: FleetSettings,
    identity: NodeIdentity,
    inbox: trio.MemorySendChannel[Message],
    counters: Counters,
    log: Log,
) -> FleetParts | None:
    """Return the parts, or None if the section is off. Raises ``ConfigurationError``."""
    return FleetParts(settings, identity, inbox, counters, log) if settings.listen else None
