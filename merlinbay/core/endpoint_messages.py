"""Messages about endpoints: their list, health checks, the balancers that share them, operators' commands.

The dispatcher calls this for each such message. Most become events for the decision module; queries are
answered from the module's state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.core.attempt_lifecycle import report_row
from merlinbay.core.event_batch import EventBatch
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
from merlinbay.core.server_aliases import ServerAliases
from merlinbay.core.values import EndpointView
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.events import (
    BalancerCountChanged,
    DiscoveryChanged,
    EndpointEntry,
    EndpointsChanged,
    HealthCheckEnded,
    MaintenanceChanged,
    SlotsReserved,
)


class EndpointMessages:
    """Handles messages about endpoints, by type. Only the dispatcher's task calls it; no method waits."""

    def __init__(
        self,
        balancer: Balancer,
        servers: ServerTransport,
        counters: Counters,
        batch: EventBatch,
        aliases: ServerAliases,
    ) -> None:
        self.balancer, self.servers = balancer, servers
        self.counters, self.batch, self.aliases = counters, batch, aliases
        self.observers: list[EndpointObserver] = []
        self.peer: PeerProcess | None = None  # the node's other process during a handover
        self.handlers: dict[type, Callable[[Any], None]] = {
            ServerChecked: self._on_server_checked,
            EndpointListReceived: self._on_endpoint_list,
            DiscoveryReloaded: self._on_discovery_reloaded,
            BalancersChanged: self._on_balancers_changed,
            ReservedSlotsChanged: self._on_reserved_slots,
            EndpointViewsRequested: self._on_views_requested,
            MaintenanceRequested: self._on_maintenance_requested,
            SnapshotRequested: self._on_snapshot_requested,
        }

    def set_peer_process(self, peer: PeerProcess | None) -> None:
        """Set the node's other process, to which operators' maintenance commands are relayed."""
        self.peer = peer

    def _on_server_checked(self, message: ServerChecked) -> None:
        row = report_row(message.report, self.balancer.settings.report_fields)
        self.batch.add(HealthCheckEnded(message.server, message.outcome, message.took_for_us, row))

    def _on_endpoint_list(self, message: EndpointListReceived) -> None:
        self.counters.add(f"entries_{message.scope}")
        if message.scope == "all":
            self.aliases.replace(message.aliases)
        self.servers.update_endpoints(message.scope, message.entries)
        for observer in self.observers:
            observer.update_endpoints(message.scope, message.entries)
        rows = [
            EndpointEntry(
                entry.server,
                entry.zone,
                entry.kind,
                entry.cell,
                entry.state,
                entry.weight,
                entry.started_at_us,
                entry.address if message.identifies_by_address else "",
            )
            for entry in message.entries
        ]
        self.batch.add(
            EndpointsChanged(
                message.scope,
                rows,
                message.last_answer_at_us,
                message.failure,
                message.is_from_former_discovery,
            )
        )

    def _on_discovery_reloaded(self, message: DiscoveryReloaded) -> None:
        self.batch.add(DiscoveryChanged(message.notified_after_us, message.has_moved))

    def _on_balancers_changed(self, message: BalancersChanged) -> None:
        self.batch.add(BalancerCountChanged(message.count, message.own_index))

    def _on_reserved_slots(self, message: ReservedSlotsChanged) -> None:
        self.batch.add(SlotsReserved(message.server, message.slots, message.total_slots))

    def _on_views_requested(self, message: EndpointViewsRequested) -> None:
        message.reply([EndpointView(**view) for view in self.balancer.endpoint_views(self.batch.now_us)])

    def _on_maintenance_requested(self, message: MaintenanceRequested) -> None:
        server = self.aliases.listed_name(message.server)
        is_known = self.balancer.knows(server)
        if is_known:
            # The list may name the server by another of its records later.
            for name in self.aliases.all_names(server):
                self.batch.add(MaintenanceChanged(name, message.is_disabled))
        if message.reply is None:
            return
        message.reply(is_known)  # The caller resumes after this batch, so the module has the event by then.
        if is_known and self.peer is not None:
            self.peer.relay_maintenance(server, message.is_disabled)

    def _on_snapshot_requested(self, message: SnapshotRequested) -> None:
        message.reply(self.balancer.take_snapshot())
