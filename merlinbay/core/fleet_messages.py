"""What the owner hears of the fleet: real servers, their list, peers, and operators' questions about them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from merlinbay.core import ports
from merlinbay.counters import Counters
from merlinbay.decision import Balancer, api
from merlinbay.decision.learned import learned


def report_row(report: dict[str, float] | None, fields: list[str]) -> list[object] | None:
    """Return a load report in the order of the settings' fields."""
    return None if report is None else [report.get(name) for name in fields]


class FleetMessages:
    """Handlers of these messages, by type. Called by the owner's task alone; nothing here waits."""

    def __init__(
        self,
        balancer: Balancer,
        servers: ports.ServerSide,
        counters: Counters,
        tell_module: Callable[[api.Event], None],
        now: Callable[[], int],
    ) -> None:
        self.balancer, self.servers, self.counters = balancer, servers, counters
        self.tell_module, self.now = tell_module, now
        self.watchers: list[ports.EntriesWatcher] = []
        self.other: ports.OtherProcess | None = None  # of this node; hears of operators' maintenance
        self.handlers: dict[type, Callable[[Any], None]] = {
            ports.ServerProbed: self._on_server_probed,
            ports.EntriesChanged: self._on_entries_changed,
            ports.DirectoryMoved: self._on_directory_moved,
            ports.BalancersCounted: self._on_balancers_counted,
            ports.SlotsKept: self._on_slots_kept,
            ports.FleetAsked: self._on_fleet_asked,
            ports.MaintenanceAsked: self._on_maintenance_asked,
            ports.LearnedAsked: self._on_learned_asked,
        }

    def _on_server_probed(self, message: ports.ServerProbed) -> None:
        row = report_row(message.report, self.balancer.settings.report_fields)
        self.tell_module(api.ProbeEnded(message.server, message.outcome, message.took_us, row))

    def _on_entries_changed(self, message: ports.EntriesChanged) -> None:
        self.counters.add(f"entries_{message.scope}")
        self.servers.entries_changed(message.scope, message.entries)
        for watcher in self.watchers:
            watcher.entries_changed(message.scope, message.entries)
        rows = [
            api.WorkerEntry(e.server, e.zone, e.kind, e.cell, e.state, e.weight, e.started_us)
            for e in message.entries
        ]
        self.tell_module(
            api.ListChanged(message.scope, rows, message.heard_us, message.failure, message.former)
        )

    def _on_directory_moved(self, message: ports.DirectoryMoved) -> None:
        self.tell_module(api.ListMoved(message.told_us, message.moved))

    def _on_balancers_counted(self, message: ports.BalancersCounted) -> None:
        self.tell_module(api.BalancersCounted(message.count, message.me))

    def _on_slots_kept(self, message: ports.SlotsKept) -> None:
        self.tell_module(api.SlotsKept(message.server, message.slots, message.of))

    def _on_fleet_asked(self, message: ports.FleetAsked) -> None:
        message.told([ports.MachineView(**view) for view in self.balancer.beliefs(self.now())])

    def _on_maintenance_asked(self, message: ports.MaintenanceAsked) -> None:
        known = self.balancer.knows(message.server)
        if known:
            self.tell_module(api.Maintained(message.server, message.on))
        if message.told is None:
            return
        message.told(known)  # heard after this turn, in which the module learns it
        if known and self.other is not None:
            self.other.maintained(message.server, message.on)

    def _on_learned_asked(self, message: ports.LearnedAsked) -> None:
        message.told(learned(self.balancer, self.balancer.classes))
