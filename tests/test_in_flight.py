"""The counts of slots in flight equal the open attempts after every step of a drawn stream."""

from __future__ import annotations

import math

import pytest

from merlinbay.decision import Balancer
from tests.decision_streams import STEPS_PER_STREAM, StreamGenerator, drawn_settings, event_of, row_of_action


def check_counts(balancer: Balancer) -> None:
    """Compare each count with the attempts that it stands for."""
    parts = balancer.parts
    held, running = dict[str, float](), dict[str, float]()
    for request in parts.requests.by_id.values():
        is_open = [attempt for attempt in request.attempts if attempt.is_open]
        assert request.open_attempts == len(is_open)
        assert is_open or not request.is_done or request.pending_health_checks
        for attempt in is_open:
            name = attempt.endpoint.name
            assert parts.endpoints.by_name[name] is attempt.endpoint
            held[name] = held.get(name, 0.0) + request.slots
            running[name] = running.get(name, 0.0) + request.slots * (attempt.started_at_us > 0)
    for name, endpoint in parts.endpoints.by_name.items():
        assert endpoint.in_flight.in_flight_slots == held.get(name, 0.0)
        assert endpoint.in_flight.running_slots == running.get(name, 0.0)
    assert math.isclose(parts.requests.in_flight_slots, sum(held.values()), abs_tol=1e-9)
    assert math.isclose(parts.requests.running_slots, sum(running.values()), abs_tol=1e-9)


@pytest.mark.parametrize("seed", range(1000, 1060))
def test_counts_equal_the_open_attempts_after_every_step(seed: int) -> None:
    """Requests, their endpoints and the balancer count the same."""
    settings = drawn_settings(seed)
    world = StreamGenerator(settings, seed)
    balancer = Balancer(settings, seed, world.now)
    events = world.first_events()
    for _ in range(STEPS_PER_STREAM):
        actions = [row_of_action(one) for one in balancer.handle(world.now, [event_of(e) for e in events])]
        world.apply_actions(actions)
        check_counts(balancer)
        events = world.ends_of_cancelled(actions) or world.next_events()
