"""Makes the record of a request that has arrived, with its expected run time and its priority weight."""

from __future__ import annotations

from merlinbay.decision.events import RequestReceived
from merlinbay.decision.hedging import hedging_delay_us
from merlinbay.decision.parts import Parts
from merlinbay.decision.request_state import TrackedRequest


def tracked_request(event: RequestReceived, parts: Parts) -> TrackedRequest:
    """Return the record of a request, and count the request for its tenant's quota."""
    settings, now_us = parts.context.settings, parts.context.now_us
    state = parts.run_times.class_state(event.job_class)
    run_time_us = parts.run_times.expected_us(state, event.hint_us)
    is_over_quota = parts.offered.count_tenant_request(event.tenant)
    weight = state.spec.worth * (settings.over_share_worth if is_over_quota else 1)
    return TrackedRequest(
        id=event.id,
        class_state=state,
        run_time_us=run_time_us,
        priority_weight=weight * run_time_us if settings.worth_by_work else weight,
        deadline_at_us=now_us + event.budget_us,
        arrived_at_us=now_us,
        slots=max(event.slots, 0.0),
        memory=max(event.memory, 0.0),
        key=event.key,
        allowed_endpoints=event.only,
        needs_free_slots=event.room_only,
        uses_reservation=event.reserved,
        hint_us=float(event.hint_us),
        lacks_idempotency_key=event.keyless,
        hedging_delay_us=hedging_delay_us(state.spec.aim_us),
        earlier_attempts=event.earlier_attempts,
    )
