"""The table of endpoints: the listed state, operators' maintenance, reserved slots, pools to choose from."""

from __future__ import annotations

from collections.abc import Callable

from merlinbay.decision.context import Context
from merlinbay.decision.endpoint_state import Endpoint, Kind
from merlinbay.decision.events import EndpointEntry, EndpointsChanged
from merlinbay.decision.handover_snapshot import EndpointSnapshot


class Endpoints:
    """Owns which endpoints there are. Other parts are called back at a restart and after a new index."""

    def __init__(
        self, context: Context, on_restart: Callable[[Endpoint], None], on_reindex: Callable[[], None]
    ) -> None:
        self._context, self._on_restart, self._on_reindex = context, on_restart, on_reindex
        self.by_name: dict[str, Endpoint] = {}
        self.kinds = {name: Kind(name) for name in context.settings.kinds}
        self.usable: list[Endpoint] = []  # those that are up, shuffled
        self.pools: dict[int, tuple[list[Endpoint], list[Endpoint]]] = {}  # by kind: own zone, other zones
        self.by_zone: dict[str, list[Endpoint]] = {}
        self.by_cell: dict[int, list[Endpoint]] = {}
        self.recovering: list[Endpoint] = []  # enabled again, and not sent anything since
        self._disabled_since_us: dict[str, int] = {}  # by operators
        self._reserved_slots: dict[str, float] = {}  # also of endpoints that are not listed at present

    # The endpoint list.

    def apply_list(self, event: EndpointsChanged) -> list[Endpoint]:
        """Take an endpoint list or changes to it; return the endpoints that have restarted."""
        if event.scope != "changes":  # an endpoint that a complete list does not name is removed
            for endpoint in self.by_name.values():
                endpoint.state = endpoint.listed_state = "removed"
        restarted = [one for one in map(self._apply_entry, event.entries) if one is not None]
        self.by_name = {
            endpoint.name: endpoint
            for endpoint in self.by_name.values()
            if endpoint.state != "removed" or endpoint.in_flight.in_flight_slots > 0
        }
        self.reindex()
        return restarted

    def _apply_entry(self, entry: EndpointEntry) -> Endpoint | None:
        """Take one line of the list; return its endpoint if it has restarted."""
        kind = self.kinds.get(entry.kind)
        if kind is None:
            kind = self.kinds[entry.kind] = Kind(entry.kind)
        known = self.by_name.get(entry.endpoint)
        endpoint = known or Endpoint(entry.endpoint, kind)
        self.by_name[endpoint.name] = endpoint
        endpoint.kind, endpoint.zone, endpoint.cell = kind, entry.zone, entry.cell
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
        """Return the state as listed, but draining while operators disable the endpoint."""
        if endpoint.listed_state == "up" and endpoint.name in self._disabled_since_us:
            return "draining"
        return endpoint.listed_state

    # Maintenance by operators.

    def knows(self, name: str) -> bool:
        """Tell whether an endpoint is listed, or disabled by operators."""
        endpoint = self.by_name.get(name)
        listed = endpoint is not None and endpoint.listed_state != "removed"
        return listed or name in self._disabled_since_us

    def disable(self, name: str) -> None:
        """Take an endpoint out of use for maintenance, whatever is listed."""
        self._disabled_since_us.setdefault(name, self._context.now_us)
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            endpoint.state = self._state_of(endpoint)
            self.reindex()
            self._forget_recovering(endpoint)

    def enable(self, name: str) -> Endpoint | None:
        """Put an endpoint back into use; return it if it is known and was disabled.

        Guards against a server that was restarted meanwhile, of which nothing is listed yet: it counts as
        restarted now.
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
        """Take note that an endpoint was sent a request: it is no longer recovering."""
        if self.recovering:
            self._forget_recovering(endpoint)

    def _forget_recovering(self, endpoint: Endpoint) -> None:
        self.recovering = [other for other in self.recovering if other is not endpoint]

    # Reserved slots.

    def reserve(self, name: str, slots: float) -> Endpoint | None:
        """Keep slots of an endpoint free, also of one that is not listed at present; 0: none any more."""
        self._reserved_slots[name] = slots
        if not slots:
            del self._reserved_slots[name]
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            endpoint.reserved_slots = slots
        return endpoint

    def take_reserved(self, endpoint: Endpoint, slots: float) -> None:
        """Take reserved slots for an attempt of the request they are for."""
        endpoint.reserved_slots -= slots

    def return_reserved(self, endpoint: Endpoint, slots: float) -> None:
        """Keep the slots of an attempt that has ended free again."""
        endpoint.reserved_slots += slots

    # Choosing.

    def sample(self, pool: list[Endpoint], most: int) -> list[Endpoint]:
        """Return a few endpoints at a random place of a shuffled pool."""
        at = self._context.rng.randrange(len(pool)) if len(pool) > most else 0
        return pool[at : at + most] + pool[: max(0, at + most - len(pool))] if at else pool[:most]

    def reindex(self) -> None:
        """Index the endpoints that are up, shuffled so that a slice of a pool is a random sample."""
        settings = self._context.settings
        self.usable = [endpoint for endpoint in self.by_name.values() if endpoint.state == "up"]
        self._context.rng.shuffle(self.usable)
        self.by_zone, self.by_cell = {}, {}
        for endpoint in self.usable:
            self.by_cell.setdefault(endpoint.cell, []).append(endpoint)
            self.by_zone.setdefault(endpoint.zone, []).append(endpoint)
        by_price, own = settings.cross_zone_price > 0, settings.zone
        for index, name in enumerate(["", *settings.kinds]):
            fit = [one for one in self.usable if not index or one.kind is self.kinds[name]]
            self.pools[index - 1] = (
                [one for one in fit if not by_price or one.zone == own],
                [one for one in fit if by_price and one.zone != own],
            )
        self._on_reindex()

    # Handover.

    def disabled_since_us(self) -> dict[str, int]:
        """Return the endpoints that operators disabled, and when."""
        return dict(self._disabled_since_us)

    def matching(self, snapshots: list[EndpointSnapshot]) -> list[tuple[Endpoint, EndpointSnapshot]]:
        """Return each endpoint with its snapshot.

        Guards against the past of a server process that is no more: one that has restarted since is left out.
        """
        return [
            (endpoint, learned)
            for learned in snapshots
            if (endpoint := self.by_name.get(learned.name)) is not None
            and endpoint.ready_at_us <= learned.ready_at_us
        ]

    def restore(
        self, disabled_since_us: dict[str, int], found: list[tuple[Endpoint, EndpointSnapshot]]
    ) -> None:
        """Take over the start times and the maintenance of a former process."""
        self._disabled_since_us.update(disabled_since_us)
        for endpoint, learned in found:
            endpoint.ready_at_us = learned.ready_at_us
        for endpoint in self.by_name.values():
            endpoint.state = self._state_of(endpoint)
        self.reindex()
