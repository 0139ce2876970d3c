"""Replays recorded event streams, for which the module must take the same actions in the same order.

This guards against refactoring that changes decisions. A commit that changes decisions on purpose records the
streams again and says so.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from merlinbay.decision import Balancer
from tests.decision_streams import Stream, event_of, learned_by, row_of_action, settings_of, streams

RECORDED = streams(Path(__file__).parent / "golden" / "decision_streams.json.xz")
GROUPS = 20  # number of tests over which the streams are spread


def test_five_hundred_streams_are_recorded() -> None:
    """The replay must not run on a shortened file: 500 streams, most drawn, the others from emulated days."""
    assert len(RECORDED) == 500
    assert sum(stream.name.startswith("drawn") for stream in RECORDED) >= 400


def replay(stream: Stream) -> None:
    """Give the module the events of a stream, and compare its actions after each step."""
    balancer = Balancer(settings_of(stream.settings), stream.seed, stream.began_us)
    for number, step in enumerate(stream.steps):
        actions = balancer.handle(step.now_us, [event_of(row) for row in step.events])
        at = f"{stream.name}, step {number}"
        assert [row_of_action(action) for action in actions] == step.actions, at
        for request, attempt, may in step.may_begin:
            assert balancer.may_begin(request, attempt, step.now_us + 40_000) == may, at
    learned = learned_by(balancer)
    assert learned.keys() == stream.learned.keys()
    for part, value in stream.learned.items():
        assert learned[part] == value, f"{stream.name}, {part}"


@pytest.mark.parametrize("group", range(GROUPS))
def test_recorded_streams_get_the_same_actions(group: int) -> None:
    """Actions after each step, and what was learned at the end, must equal the recorded ones."""
    for stream in RECORDED[group::GROUPS]:
        replay(stream)
