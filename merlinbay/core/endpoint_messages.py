"""What the owner hears of the fleet: real servers, their list, peers, and operators' questions about them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.core.interfaces import EndpointObserver, PeerProcess, ServerTransport
from merlinbay.core.messages import (
    BalancersChanged,
    DiscoveryReloaded,
    EndpointListReceived,
    EndpointViewsRequested,
    MaintenanceRequested,
    ReservedSlotsChanged,
    ServerChecked,
    SnapshotRequested,
)
from merlinbay.core.values import EndpointView
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.events import (
    BalancerCountChanged,
    DiscoveryChanged,
    EndpointEntry,
    EndpointsChanged,
    Event,
    HealthCheckEnded,
    MaintenanceChanged,
    SlotsReserved,
)


def report_row(report: dict[str, float] | None, fields: list[str]) -> list[object] | None:
    """Return a load report in the order of the settings' fields."""
    return None if report is None else [report.get(name) for name in fields]


class EndpointMessages:
    """Handlers of these messages, by type. Called by the owner's task alone; nothing here waits."""

    def __init__(
        self,
        balancer: Balancer,
        servers: ServerTransport,
        counters: Counters,
        tell_module: Callable[[Event], None],
        now: Callable[[], int],
    ) -> None:
        self.balancer, self.servers, self.counters = balancer, servers, counters
        self.tell_module, self.now = tell_module, now
        self.watchers: list[EndpointObserver] = []
        self.other: PeerProcess | None = None  # of this node; hears of operators' maintenance
        self.handlers: dict[type, Callable[[Any], None]] = {
            ServerChecked: self._on_server_probed,
            EndpointListReceived: self._on_entries_changed,
            DiscoveryReloaded: self._on_directory_moved,
            BalancersChanged: self._on_balancers_counted,
            ReservedSlotsChanged: self._on_slots_kept,
            EndpointViewsRequested: self._on_fleet_asked,
            MaintenanceRequested: self._on_maintenance_asked,
            SnapshotRequested: self._on_learned_asked,
        }

    def _on_server_probed(self, message: ServerChecked) -> None:
        row = report_row(message.report, self.balancer.settings.report_fields)
        self.tell_module(HealthCheckEnded(message.server, message.outcome, message.took_us, row))

    def _on_entries_changed(self, message: EndpointListReceived) -> None:
        self.counters.add(f"entries_{message.scope}")
        self.servers.entries_changed(message.scope, message.entries)
        for watcher in self.watchers:
            watcher.entries_changed(message.scope, message.entries)
        rows = [
            EndpointEntry(e.server, e.zone, e.kind, e.cell, e.state, e.weight, e.started_us)
            for e in message.entries
        ]
        self.tell_module(
            EndpointsChanged(message.scope, rows, message.heard_us, message.failure, message.former)
        )

    def _on_directory_moved(self, message: DiscoveryReloaded) -> None:
        self.tell_module(DiscoveryChanged(message.told_us, message.moved))

    def _on_balancers_counted(self, message: BalancersChanged) -> None:
        self.tell_module(BalancerCountChanged(message.count, message.me))

    def _on_slots_kept(self, message: ReservedSlotsChanged) -> None:
        self.tell_module(SlotsReserved(message.server, message.slots, message.of))

    def _on_fleet_asked(self, message: EndpointViewsRequested) -> None:
        message.told([EndpointView(**view) for view in self.balancer.endpoint_views(self.now())])

    def _on_maintenance_asked(self, message: MaintenanceRequested) -> None:
        known = self.balancer.knows(message.server)
        if known:
            self.tell_module(MaintenanceChanged(message.server, message.on))
        if message.told is None:
            return
        message.told(known)  # heard after this turn, in which the module learns it
        if known and self.other is not None:
            self.other.maintained(message.server, message.on)

    def _on_learned_asked(self, message: SnapshotRequested) -> None:
        message.told(self.balancer.take_snapshot())
