"""Takes a handover snapshot of what the parts have learned, and restores one.

``Balancer`` takes it for the process that replaces this one, and restores that of its predecessor. Kinds,
classes and endpoints of a snapshot that do not exist here are skipped.
"""

from __future__ import annotations

from merlinbay.decision.capacity_learning import CapacityLearning
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.endpoints import Endpoints
from merlinbay.decision.handover_snapshot import (
    ClassSnapshot,
    EndpointSnapshot,
    HandoverSnapshot,
    KindSnapshot,
    LoadSnapshot,
)
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.load_reports import LoadReports
from merlinbay.decision.offered_load import OfferedLoad
from merlinbay.decision.outlier_detection import OutlierDetection
from merlinbay.decision.run_times import RunTimes
from merlinbay.decision.slow_start import SlowStart


class Snapshots:
    """Reads the state of the parts. To restore it, each part is called to write its own."""

    def __init__(
        self,
        endpoints: Endpoints,
        offered: OfferedLoad,
        run_times: RunTimes,
        capacity: CapacityLearning,
        load: LoadEstimates,
        reports: LoadReports,
        outliers: OutlierDetection,
        slow_start: SlowStart,
    ) -> None:
        self._endpoints, self._offered, self._run_times = endpoints, offered, run_times
        self._capacity, self._load, self._reports = capacity, load, reports
        self._outliers, self._slow_start = outliers, slow_start

    def take(self) -> HandoverSnapshot:
        """Return a snapshot of what has been learned up to now."""
        return HandoverSnapshot(
            self._load_snapshot(),
            {name: _kind_snapshot(kind) for name, kind in self._endpoints.kinds.items()},
            {
                name: ClassSnapshot(class_state.run_time_us, class_state.completed)
                for name, class_state in self._run_times.classes.items()
            },
            self._endpoints.disabled_since_us(),
            [_endpoint_snapshot(endpoint) for endpoint in self._endpoints.by_name.values()],
        )

    def _load_snapshot(self) -> LoadSnapshot:
        offered, capacity = self._offered, self._capacity
        return LoadSnapshot(
            offered.arrival_rate.per_us,
            offered.arrival_rate.last_event_at_us,
            self._reports.capacity_hit_rate,
            offered.offered_requests,
            capacity.unreported_slots,
            capacity.late_start_share,
            capacity.starts,
            self._load.smoothed_in_flight,
            offered.mean_work_us,
            offered.mean_priority_weight,
        )

    def restore(self, snapshot: HandoverSnapshot) -> None:
        """Restore what another process has learned, and skip what does not exist here."""
        self._offered.restore(snapshot.load)
        self._load.restore(snapshot.load)
        self._reports.restore(snapshot.load)
        self._capacity.restore(snapshot.load)
        for name, learned in snapshot.kinds.items():
            if name in self._endpoints.kinds:
                self._capacity.restore_kind(self._endpoints.kinds[name], learned)
                self._run_times.restore_kind(self._endpoints.kinds[name], learned)
        self._run_times.restore_classes(snapshot.classes)
        matches = self._endpoints.matching(snapshot.endpoints)
        for endpoint, endpoint_snapshot in matches:
            self._load.restore_endpoint(endpoint, endpoint_snapshot)
            self._run_times.restore_endpoint(endpoint, endpoint_snapshot)
            self._outliers.restore_endpoint(endpoint, endpoint_snapshot)
            self._slow_start.restore_endpoint(endpoint, endpoint_snapshot)
        self._endpoints.restore(snapshot.disabled_since_us, matches)


def _kind_snapshot(kind: Kind) -> KindSnapshot:
    capacity = kind.capacity
    return KindSnapshot(
        capacity.slots,
        kind.kind_pace,
        capacity.slots_are_reported,
        capacity.half_empty_reports,
        capacity.queued_share,
        capacity.most_running_slots,
        capacity.relative_slots,
    )


def _endpoint_snapshot(endpoint: Endpoint) -> EndpointSnapshot:
    failures = endpoint.failures
    return EndpointSnapshot(
        endpoint.name,
        endpoint.ready_at_us,
        endpoint.peer_load.observed_peer_slots,
        endpoint.peer_load.peer_slots_at_us,
        endpoint.run_time.pace,
        endpoint.run_time.pace_learned_at_us,
        failures.consecutive_failures,
        failures.ejected_until_us,
        failures.last_failure,
        failures.last_failure_at_us,
        failures.answered_at_us,
        endpoint.slow_start.next_admission_at_us,
    )
