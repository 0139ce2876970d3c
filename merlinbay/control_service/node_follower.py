"""The follower that runs within a node whose operator's file has a section ``control``."""

from __future__ import annotations

import secrets
from random import Random

import trio

from merlinbay.control.fanout.effects import StateAdvanced
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.settings import ControlSection, load_keys
from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError
from merlinbay.fleet.wire import Keys
from merlinbay.log import Log


class ConfigurationFollower:
    """Follows the configuration in a node's nursery, starting when it is created."""

    def __init__(
        self, section: ControlSection, name: str, nursery: trio.Nursery, counters: Counters, log: Log
    ) -> None:
        """Read the keys and start to follow. Raises ``ConfigurationError``."""
        self.section, self.counters, self.log = section, counters, log
        self.local_peer = LocalPeer(name, "follower", section.fleet, self._keys(), section.bind)
        self.host = FollowerHost(
            self.local_peer,
            Location(section.region, section.zone),
            [machine.upstream(machine_name) for machine_name, machine in section.machines.items()],
            FollowerSettings(),
            Random(secrets.randbits(64)),
            nursery,
            self._advanced,
        )
        self.host.start()

    def _keys(self) -> Keys:
        try:
            return load_keys(self.section.keys)
        except ConfigurationError as error:
            raise ConfigurationError(f"control.{error}") from None

    def reload(self) -> None:
        """Read the keys again. Keeps the old ones and raises ``ConfigurationError`` on failure."""
        self.local_peer.keys = self._keys()

    def stop(self) -> None:
        """Close the watch and stop following."""
        self.host.stop()

    def _advanced(self, effect: StateAdvanced) -> None:
        self.counters.add("control_revisions")
        self.counters.counts["control_bytes_received"] = self.local_peer.traffic.bytes_received
        self.counters.counts["control_bytes_sent"] = self.local_peer.traffic.bytes_sent
        self.log.event("control_revision", level="debug", revision=effect.revision, replaced=effect.replaced)
