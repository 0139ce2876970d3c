"""The decisions of earlier programs: recorded event streams get the same actions, in the same order.

Refactoring keeps them. A change of what is decided records them anew, in a commit that says so.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from merlinbay.decision import Balancer
from tests.decision_streams import Stream, event_of, learned_by, row_of_action, settings_of, streams

RECORDED = streams(Path(__file__).parent / "golden" / "decision_streams.json.xz")
GROUPS = 20  # streams are replayed in so many tests


def test_five_hundred_streams_are_recorded() -> None:
    """Most are drawn; the others are the first seconds of emulated days."""
    assert len(RECORDED) == 500
    assert sum(stream.name.startswith("drawn") for stream in RECORDED) >= 400


def replay(stream: Stream) -> None:
    """Give the module the stream's events; compare what it does after each step."""
    balancer = Balancer(settings_of(stream.settings), stream.seed, stream.began_us)
    for number, step in enumerate(stream.steps):
        actions = balancer.handle(step.now_us, [event_of(row) for row in step.events])
        at = f"{stream.name}, step {number}"
        assert [row_of_action(action) for action in actions] == step.actions, at
        for request, attempt, may in step.may_begin:
            assert balancer.may_begin(request, attempt, step.now_us + 40_000) == may, at
    found = learned_by(balancer)
    assert found.keys() == stream.learned.keys()
    for part, value in stream.learned.items():
        assert found[part] == value, f"{stream.name}, {part}"


@pytest.mark.parametrize("group", range(GROUPS))
def test_recorded_streams_get_the_same_actions(group: int) -> None:
    """After every step, and what was learned at the end."""
    for stream in RECORDED[group::GROUPS]:
        replay(stream)
