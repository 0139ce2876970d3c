"""The counts of slots in flight, compared with the open attempts after every step of a generated stream.

Every place that opens, starts or ends an attempt has to update the counts; a missed one makes them drift.
"""

from __future__ import annotations

import math

import pytest

from merlinbay.decision import Balancer
from tests.decision_streams import STEPS_PER_STREAM, StreamGenerator, drawn_settings, event_of, row_of_action


def check_counts(balancer: Balancer) -> None:
    """Compare each count with the attempts that it counts."""
    parts = balancer.parts
    held_slots, running_slots = dict[str, float](), dict[str, float]()
    for request in parts.requests.by_id.values():
        open_attempts = [attempt for attempt in request.attempts if attempt.is_open]
        assert request.open_attempts == len(open_attempts)
        assert open_attempts or not request.is_done or request.pending_health_checks
        for attempt in open_attempts:
            name = attempt.endpoint.name
            assert parts.endpoints.by_name[name] is attempt.endpoint
            held_slots[name] = held_slots.get(name, 0.0) + request.slots
            running_slots[name] = running_slots.get(name, 0.0) + request.slots * (attempt.started_at_us > 0)
    for name, endpoint in parts.endpoints.by_name.items():
        assert endpoint.in_flight.in_flight_slots == held_slots.get(name, 0.0)
        assert endpoint.in_flight.running_slots == running_slots.get(name, 0.0)
    assert math.isclose(parts.requests.in_flight_slots, sum(held_slots.values()), abs_tol=1e-9)
    assert math.isclose(parts.requests.running_slots, sum(running_slots.values()), abs_tol=1e-9)


@pytest.mark.parametrize("seed", range(1000, 1060))
def test_counts_equal_the_open_attempts_after_every_step(seed: int) -> None:
    """The counts of requests, of endpoints and of the balancer agree with the open attempts."""
    settings = drawn_settings(seed)
    stream = StreamGenerator(settings, seed)
    balancer = Balancer(settings, seed, stream.now)
    events = stream.first_events()
    for _ in range(STEPS_PER_STREAM):
        actions = [
            row_of_action(action) for action in balancer.handle(stream.now, [event_of(row) for row in events])
        ]
        stream.apply_actions(actions)
        check_counts(balancer)
        events = stream.ends_of_cancelled(actions) or stream.next_events()
