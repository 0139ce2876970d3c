"""Creates the components of a node that depend on its configuration.

These are the optional components, discovery and the log. The node calls the functions at the start; a
configuration that cannot be used raises ``ConfigurationError``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from merlinbay.clock import Clock
from merlinbay.config import Config
from merlinbay.core.messages import Message
from merlinbay.counters import Counters
from merlinbay.log import Log
from merlinbay.platform import messages
from merlinbay.platform.discovery import Discovery

if TYPE_CHECKING:
    from merlinbay.control_service.node_follower import ConfigurationFollower
    from merlinbay.dnssd.directory import DnsSdDirectory
    from merlinbay.drmaa.wiring import DrmaaParts
    from merlinbay.fleet.wiring import FleetParts
    from merlinbay.handover.successor import Inherited
    from merlinbay.handover.takeover import Takeover


@dataclass
class OptionalComponents:
    """The components that only some configurations turn on. A component that is off is None."""

    drmaa: DrmaaParts | None = None
    fleet: FleetParts | None = None
    control: ConfigurationFollower | None = None
    takeover: Takeover | None = None  # handover to and from another process of the node

    def reload(self) -> None:
        """Reload keys and certificates. Raises ``ConfigurationError``.

        The component whose files are not valid keeps its old ones. Those before it are reloaded by then.
        """
        for component in (self.drmaa, self.fleet, self.control):
            if component is not None:
                component.reload()

    def stop(self) -> None:
        """Announce the end of the node to clients and to the fleet."""
        if self.drmaa is not None:
            self.drmaa.stop()
            self.drmaa.close_idle()
        if self.fleet is not None:
            self.fleet.leave()
        if self.control is not None:
            self.control.stop()


def make_optional_components(
    config: Config, inbox: trio.MemorySendChannel[Message], clock: Clock, counters: Counters, log: Log
) -> OptionalComponents:
    """Create the components that the operator's file turns on. Raises ``ConfigurationError``.

    The handover and the configuration follower need the listener or a nursery, so the node adds them later.
    """
    components, operator = OptionalComponents(), config.operator
    if operator is None:
        return components
    # These modules are imported only if there is an operator's file, because they slow down the start.
    from merlinbay.drmaa.wiring import wire as wire_drmaa

    components.drmaa = wire_drmaa(operator.drmaa, config.identity(), inbox, clock, counters, log)
    if operator.fleet.listen:
        from merlinbay.fleet.wiring import wire as wire_fleet

        components.fleet = wire_fleet(operator.fleet, config.identity(), inbox, counters, log)
    return components


def make_discovery(
    config: Config,
    inherited: Inherited | None,
    inbox: trio.MemorySendChannel[Message],
    clock: Clock,
    counters: Counters,
    log: Log,
) -> Discovery | DnsSdDirectory:
    """Create the source of the endpoint list. It starts with the predecessor's list if there is one."""
    limits, operator = config.limits, config.operator
    if operator is not None and operator.dnssd is not None:
        from merlinbay.dnssd.wiring import wire as wire_dnssd

        return wire_dnssd(operator.dnssd, inbox, limits, counters, log)
    if inherited is not None:
        version, entries = inherited.list_version, inherited.entries
    else:
        version, entries = config.initial_list.version, messages.entries(config.initial_list)
    return Discovery(
        config.discovery,
        version,
        entries,
        not config.settings.must_subscribe,
        inbox,
        clock,
        limits,
        counters,
        log,
    )


def open_log(config: Config) -> Log:
    """Create the log in the format that the operator's file sets."""
    section = config.operator.log if config.operator is not None else None
    if section is None or section.format == "plain":
        return Log(config.limits.log_lines_per_s)
    from merlinbay.event_log import EventLog

    return EventLog(section.lines, section.format, section.level, config.name)
