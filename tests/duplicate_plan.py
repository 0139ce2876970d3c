"""The steps by which a simulated executor carries out a fault, at drawn times."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any

from tests.duplicate_case import Fault, milliseconds

ACCEPTED = 202
ODD_STATUSES = (200, 404, 503, 500)


class Act(Enum):
    """One thing that an executor does."""

    ANSWER = auto()
    ANSWER_AGAIN = auto()  # a second answer on the same connection, which nobody asked for
    ANSWER_PARTLY = auto()
    CLOSE = auto()
    REPORT_START = auto()
    REPORT_PROGRESS = auto()
    REPORT_END = auto()


@dataclass(frozen=True)
class Step:
    """An act, so long after the one before."""

    after_s: float
    act: Act
    status: int = ACCEPTED
    refuses: bool = False  # with X-Not-Processed: 1
    state: str = "done"


def plan(fault: Fault, rng: Random, settings: dict[str, Any]) -> list[Step]:
    """Return the steps of one attempt."""
    tells_start = settings["extra"]["tellsStart"]
    tells_progress = settings["extra"]["progressUs"] > 0
    soon, later = milliseconds(rng, 1, 6), milliseconds(rng, 10, 400)
    accept = Step(soon, Act.ANSWER)
    refuse = Step(soon, Act.ANSWER, 503 if rng.random() < 0.7 else 504, refuses=True)
    start = [Step(milliseconds(rng, 1, 20), Act.REPORT_START)] if tells_start else []
    progress = [Step(milliseconds(rng, 5, 60), Act.REPORT_PROGRESS)] if tells_progress else []
    run_s = milliseconds(rng, 10, 250)

    def end(state: str, after_s: float = run_s) -> Step:
        return Step(after_s, Act.REPORT_END, state=state)

    usual = [accept, *start, *progress, end("done")]
    break_off = Step(milliseconds(rng, 1, 150), Act.CLOSE)
    odd = Step(soon, Act.ANSWER, rng.choice(ODD_STATUSES))
    second = Step(milliseconds(rng, 3, 40), Act.ANSWER_AGAIN, *rng.choice(SECOND_ANSWERS))
    started_late = [Step(later, Act.REPORT_START)] if tells_start else []
    plans: dict[Fault, list[Step]] = {
        Fault.NONE: usual,
        Fault.START_LATE: [accept, *started_late, end("done")],
        Fault.ANSWER_LATE: [Step(later, Act.ANSWER), *start, end("done")],
        Fault.REFUSED: [refuse],
        Fault.REFUSED_LATE: [Step(later, Act.ANSWER, refuse.status, refuses=True)],
        Fault.REFUSED_AFTER_START: [*start, refuse],
        Fault.ODD_STATUS: [odd],
        Fault.ODD_STATUS_RUNS: [odd, *start, *progress, end(rng.choice(("done", "failed", "lost")))],
        Fault.BREAK_BEFORE: [break_off],
        Fault.BREAK_AMID: [Step(soon, Act.ANSWER_PARTLY), break_off],
        Fault.BREAK_AFTER: [accept, break_off, *start, end("done")],
        Fault.SECOND_ANSWER: [accept, second, *start, end("done")]
        if rng.random() < 0.6
        else [refuse, second],
        Fault.HANG: [],
        Fault.RETURNED: [accept, end("returned")],
        Fault.RETURNED_AFTER_START: [accept, *start, end("returned")],
        Fault.RETURNED_AFTER_PROGRESS: [accept, *progress, end("returned")],
        Fault.FAILED: [accept, *start, end("failed")],
        Fault.LOST: [accept, *start, end("lost")],
        Fault.EARLY_REPORT: [*start, end(rng.choice(("done", "failed", "returned", "lost"))), accept],
        Fault.OUT_OF_ORDER: [accept, end(rng.choice(("done", "failed", "lost"))), *start, *progress],
        Fault.REPORTS_TWICE: [accept, *start, end(rng.choice(("failed", "lost"))), end("done", soon)],
        Fault.LATE_AFTER_GIVE_UP: [accept, *start, end(rng.choice(("done", "failed", "lost")), 2 * run_s)],
        Fault.DELETE_LOST: [accept, *started_late, end("done", 2 * run_s)],
    }
    return plans[fault]


SECOND_ANSWERS = ((202, False), (503, True), (503, True), (200, False), (500, False))
KEEPS_ON = (Fault.LATE_AFTER_GIVE_UP, Fault.DELETE_LOST)  # whatever the node says
