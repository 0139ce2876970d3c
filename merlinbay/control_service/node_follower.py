"""The follower of a node whose operator's file has a section ``control``."""

from __future__ import annotations

import secrets
from random import Random

import trio

from merlinbay.control.fanout.effects import StateAdvanced
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.settings import Section, load_keys
from merlinbay.control_service.transport import Endpoint
from merlinbay.counters import Counters
from merlinbay.log import Log
from merlinbay.problems import BadConfig


def start(section: Section, name: str, nursery: trio.Nursery, counters: Counters, log: Log) -> FollowerHost:
    """Follow the configuration in a node's nursery. Raises ``BadConfig``."""
    try:
        keys = load_keys(section.keys)
    except BadConfig as error:
        raise BadConfig(f"control.{error}") from None
    endpoint = Endpoint(name, "follower", section.fleet, keys, section.bind)

    def advanced(effect: StateAdvanced) -> None:
        counters.add("control_revisions")
        counters.counts["control_bytes_received"] = endpoint.traffic.bytes_received
        counters.counts["control_bytes_sent"] = endpoint.traffic.bytes_sent
        log.event("control_revision", level="debug", revision=effect.revision, replaced=effect.replaced)

    host = FollowerHost(
        endpoint,
        Location(section.region, section.zone),
        [machine.upstream(machine_name) for machine_name, machine in section.machines.items()],
        FollowerSettings(),
        Random(secrets.randbits(64)),
        nursery,
        advanced,
    )
    host.start()
    return host
