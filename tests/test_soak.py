"""A slice of the soak: whole nodes on drawn days, killed at the earliest moment. The long run is by hand.

``python -m bench.soak 1 60 6`` plays sixty days; docs/incidents says what they found.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.soak_day import Crowd, Outage, SoakDay, draw
from tests.soak_discovery import Notified
from tests.soak_world import play_in_process

SEEDS = (8, 14, 19, 33)
PROBE_SEEDS = range(200)


def test_drawn_days_break_no_rule() -> None:
    """Lost answers, moves and an outage of discovery, servers that leave, faulty servers, a crowd, a kill."""
    played = [play_in_process(seed) for seed in SEEDS]
    said = [process.communicate(timeout=90)[0].decode() for process in played]
    assert [text.partition(", ")[0] for text in said] == [f"seed {seed}: 0 breaks" for seed in SEEDS], said


def test_the_days_hold_every_kind_of_trouble() -> None:
    """A day is the same at each draw, and two hundred hold all that may happen."""
    days = [draw(seed) for seed in PROBE_SEEDS]
    assert days == [draw(seed) for seed in PROBE_SEEDS]
    wanted: dict[str, Callable[[SoakDay], bool]] = {
        "outage": lambda day: day.outage is not None,
        "crowd": lambda day: day.crowd > 0,
        **{
            f"{kind} under 64 MB": lambda day, kind=kind: (
                day.crowd > 0
                and (  # type: ignore[misc]
                    day.crowd_kind is kind and day.memory_mb == 64
                )
            )
            for kind in Crowd
        },
        "lost answers": lambda day: sum(day.list_faults.values()) >= 0.5,
        "faulty servers": lambda day: sum(day.job_faults.values()) >= 0.2,
        "short deadlines": lambda day: day.longest < 1,
        "a series of configurations": lambda day: len(day.reloads) >= 8,
        "an end told twice": lambda day: day.terminated_twice,
    }
    missing = [name for name, holds in wanted.items() if not any(holds(day) for day in days)]
    assert missing == [] and {day.effect for day in days} == {"once", "by_key", "repeatable"}


@pytest.mark.parametrize(
    ("written", "reloads", "outage", "since"),
    [
        ([], [], None, 16.0),
        ([(10.4, 7)], [], None, 10.4),
        ([(10.4, 6)], [], None, 16.0),
        ([], [8.0], None, 12.0),
        ([(8.5, 6)], [8.0], None, 16.0),
        ([(8.5, 6)], [8.0, 9.0], None, 13.0),
        ([], [], (9.0, 14.0), 20.0),
        ([], [9.5], (9.0, 14.0), 13.5),
    ],
)
def test_since_when_a_node_counts_as_notified(
    written: list[tuple[float, int]],
    reloads: list[float],
    outage: tuple[float, float] | None,
    since: float,
) -> None:
    """A server is listed as leaving at 10 s, with version 7: whichever of the page's moments is first."""
    judged = Notified(None if outage is None else Outage(*outage))
    judged.listed["s"] = 10.0, 7
    judged.written, judged.reloads = written, reloads
    assert judged.since("s") == since
