"""The table of endpoints: their listed state, maintenance by operators, reserved slots and pools.

``Balancer`` applies endpoint lists, maintenance and reservations to it; placement and health checks choose
from its pools. An endpoint that a complete list does not name is removed once no attempts are open there.
"""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.events import EndpointEntry, EndpointsChanged
from merlinbay.decision.handover_snapshot import EndpointSnapshot


class Endpoints:
    """Owns the set of endpoints. It calls other parts back when an endpoint restarts and after indexing."""

    def __init__(
        self, context: Context, on_restart: Callable[[Endpoint], None], on_reindex: Callable[[], None]
    ) -> None:
        self._context, self._on_restart, self._on_reindex = context, on_restart, on_reindex
        self.by_name: dict[str, Endpoint] = {}
        self.kinds = {name: Kind(name) for name in context.settings.kinds}
        self.usable: list[Endpoint] = []  # endpoints that are up, shuffled
        # By index of the kind (-1: any kind), the endpoints of the own zone and those of other zones. Where
        # crossing zones has no price, all endpoints are in the first list.
        self.pools: dict[int, tuple[list[Endpoint], list[Endpoint]]] = {}
        self.by_zone: dict[str, list[Endpoint]] = {}
        self.by_cell: dict[int, list[Endpoint]] = {}
        self.recovering: list[Endpoint] = []  # endpoints enabled again and sent nothing since
        self._disabled_since_us: dict[str, int] = {}  # by name, when operators disabled the endpoint
        self._reserved_slots: dict[str, float] = {}  # by name, including endpoints not listed at present

    # The endpoint list.

    def apply_list(self, event: EndpointsChanged) -> list[Endpoint]:
        """Apply an endpoint list or changes to it; return the endpoints that have restarted."""
        if event.scope != "changes":
            # An endpoint that a complete list does not name is removed.
            for endpoint in self.by_name.values():
                endpoint.state = endpoint.listed_state = "removed"
        restarted = [started for started in map(self._apply_entry, event.entries) if started is not None]
        self.by_name = {
            endpoint.name: endpoint
            for endpoint in self.by_name.values()
            if endpoint.state != "removed" or endpoint.in_flight.in_flight_slots > 0
        }
        self.reindex()
        return restarted

    def _apply_entry(self, entry: EndpointEntry) -> Endpoint | None:
        """Apply one entry of the list; return its endpoint if it has restarted."""
        kind = self.kinds.get(entry.kind)
        if kind is None:
            kind = self.kinds[entry.kind] = Kind(entry.kind)
        existing = self.by_name.get(entry.endpoint)
        endpoint = existing or Endpoint(entry.endpoint, kind)
        self.by_name[endpoint.name] = endpoint
        endpoint.kind, endpoint.zone, endpoint.cell = kind, entry.zone, entry.cell
        endpoint.address = entry.address
        endpoint.listed_state = entry.state
        endpoint.state = self._state_of(endpoint)
        endpoint.reserved_slots = self._reserved_slots.get(entry.endpoint, 0.0)
        if entry.ready_at_us <= endpoint.ready_at_us:
            return None
        self._restart(endpoint, entry.ready_at_us)
        return endpoint

    def _restart(self, endpoint: Endpoint, ready_at_us: int) -> None:
        endpoint.ready_at_us = ready_at_us
        self._on_restart(endpoint)

    def _state_of(self, endpoint: Endpoint) -> str:
        """Return the listed state, but draining for a listed endpoint that operators have disabled."""
        if endpoint.listed_state == "up" and endpoint.name in self._disabled_since_us:
            return "draining"
        return endpoint.listed_state

    # Maintenance by operators.

    def knows(self, name: str) -> bool:
        """Return whether an endpoint is listed, or disabled by operators."""
        endpoint = self.by_name.get(name)
        listed = endpoint is not None and endpoint.listed_state != "removed"
        return listed or name in self._disabled_since_us

    def disable(self, name: str) -> None:
        """Take an endpoint out of use for maintenance, whatever its listed state is."""
        self._disabled_since_us.setdefault(name, self._context.now_us)
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            endpoint.state = self._state_of(endpoint)
            self.reindex()
            self._forget_recovering(endpoint)

    def enable(self, name: str) -> Endpoint | None:
        """Put an endpoint back into use; return it if it is in the table and was disabled.

        Its server may have been restarted meanwhile without the list showing it yet, so the endpoint counts
        as restarted now unless the list has a later start.
        """
        endpoint, disabled_at_us = self.by_name.get(name), self._disabled_since_us.pop(name, None)
        if endpoint is None or disabled_at_us is None:
            return None
        endpoint.state = self._state_of(endpoint)
        if endpoint.ready_at_us < disabled_at_us:
            self._restart(endpoint, self._context.now_us)
        self.reindex()
        self._forget_recovering(endpoint)
        self.recovering.append(endpoint)
        return endpoint

    def note_dispatch(self, endpoint: Endpoint) -> None:
        """Record that an endpoint was sent a request, so that it is no longer recovering."""
        if self.recovering:
            self._forget_recovering(endpoint)

    def _forget_recovering(self, endpoint: Endpoint) -> None:
        self.recovering = [other for other in self.recovering if other is not endpoint]

    # Reserved slots.

    def reserve(self, name: str, slots: float) -> Endpoint | None:
        """Reserve slots of an endpoint, whether or not it is listed at present; 0 ends the reservation."""
        self._reserved_slots[name] = slots
        if not slots:
            del self._reserved_slots[name]
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            endpoint.reserved_slots = slots
        return endpoint

    def take_reserved(self, endpoint: Endpoint, slots: float) -> None:
        """Use reserved slots for an attempt of a request with a reservation."""
        endpoint.reserved_slots -= slots

    def return_reserved(self, endpoint: Endpoint, slots: float) -> None:
        """Reserve the slots of such an attempt again after it has ended."""
        endpoint.reserved_slots += slots

    # Choosing.

    def sample(self, pool: list[Endpoint], max_size: int) -> list[Endpoint]:
        """Return up to ``max_size`` successive endpoints from a random place of a shuffled pool."""
        start = self._context.rng.randrange(len(pool)) if len(pool) > max_size else 0
        return (
            pool[start : start + max_size] + pool[: max(0, start + max_size - len(pool))]
            if start
            else pool[:max_size]
        )

    def reindex(self) -> None:
        """Index the endpoints that are up, shuffled so that a slice of a pool is a random sample."""
        settings = self._context.settings
        self.usable = [endpoint for endpoint in self.by_name.values() if endpoint.state == "up"]
        self._context.rng.shuffle(self.usable)
        self.by_zone, self.by_cell = {}, {}
        for endpoint in self.usable:
            self.by_cell.setdefault(endpoint.cell, []).append(endpoint)
            self.by_zone.setdefault(endpoint.zone, []).append(endpoint)
        splits_zones, own_zone = settings.cross_zone_price > 0, settings.zone
        for index, name in enumerate(["", *settings.kinds]):
            fitting = [usable for usable in self.usable if not index or usable.kind is self.kinds[name]]
            self.pools[index - 1] = (
                [near for near in fitting if not splits_zones or near.zone == own_zone],
                [far for far in fitting if splits_zones and far.zone != own_zone],
            )
        self._on_reindex()

    # Handover.

    def disabled_since_us(self) -> dict[str, int]:
        """Return the names of the endpoints that operators disabled, with the time of each."""
        return dict(self._disabled_since_us)

    def matching(self, snapshots: list[EndpointSnapshot]) -> list[tuple[Endpoint, EndpointSnapshot]]:
        """Return each endpoint that is in the table with its snapshot.

        An endpoint that has restarted since is left out: its snapshot is of a server process that has ended.
        """
        return [
            (endpoint, learned)
            for learned in snapshots
            if (endpoint := self.by_name.get(learned.name)) is not None
            and endpoint.ready_at_us <= learned.ready_at_us
        ]

    def restore(
        self, disabled_since_us: dict[str, int], matches: list[tuple[Endpoint, EndpointSnapshot]]
    ) -> None:
        """Restore start times and maintenance from a snapshot of a former process."""
        self._disabled_since_us.update(disabled_since_us)
        for endpoint, learned in matches:
            endpoint.ready_at_us = learned.ready_at_us
        for endpoint in self.by_name.values():
            endpoint.state = self._state_of(endpoint)
        self.reindex()
