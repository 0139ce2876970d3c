"""Filters over jobs: what they mean, what is wrong with them, and that none is slow."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.batch.engine import BatchEngine
from merlinbay.batch.jobs import Backlog, Submission
from merlinbay.batch.quota import SessionLimits
from merlinbay.batch.registry import BatchLimits
from merlinbay.monitor import filters, view

KINDS: dict[str, type] = {"state": str, "exit": float, "at": datetime, "machines": list, "note": str}
JOB: dict[str, Any] = {
    "state": "RUNNING",
    "exit": 3,
    "at": datetime(2026, 5, 1, 12, tzinfo=UTC),
    "machines": ["m1", "m2"],
    "note": None,
}


@pytest.mark.parametrize(
    ("text", "holds"),
    [
        ('state == "RUNNING"', True),
        ('state != "RUNNING"', False),
        ('state in ("DONE", "RUNNING")', True),
        ('state not in ("DONE")', True),
        ("exit >= 3 and exit < 3.5", True),
        ("exit == -3", False),
        ('at < "2026-05-01T14:00:00+01:00"', True),
        ('at > "2026-05-01T12:00:00Z"', False),
        ('machines == "m2"', True),
        ('machines != "m2"', False),
        ('machines in ("m9", "m1")', True),
        ('note == "x"', False),
        ('note != "x"', False),
        ("note is unset", True),
        ("note is set", False),
        ('note not in ("x")', False),
        ("not exit == 3", False),
        ('not (exit == 4 or state == "DONE")', True),
        ('exit == 4 or exit == 3 and state == "DONE"', False),
        ("(exit == 4 or exit == 3) and exit < 9", True),
        ('state == "RUN\\"N" or exit == 3', True),
    ],
)
def test_a_filter_means_what_it_says(text: str, holds: bool) -> None:
    """``and`` binds before ``or``; what is not set compares with nothing."""
    assert filters.compiled(text, KINDS)(JOB.get) is holds


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('stat == "x"', "column 1: no attribute 'stat'"),
        ("exit == 3 and state = 1", "column 21:"),
        ("exit == 3 and", "column 14:"),
        ('exit == "3"', "column 9: a number"),
        ("state == 3", "column 10: a str"),
        ('at == "today"', "column 7: a time"),
        ('at == "2026-05-01"', "column 7: a time"),
        ('machines < "m"', "column 10:"),
        ("", "column 1:"),
        ("(" * 20 + "exit == 1" + ")" * 20, "column 17: nest"),
        ("not " * 30 + "exit == 1", "column 65: nest"),
        ("exit == 1 or " * 70 + "exit == 2", "more than 64 terms"),
        ("exit == 1 " * 300, "column 2001"),
        ('state == "a', "column 10:"),
        ('state == "a\\x"', "column 10:"),
    ],
)
def test_an_error_names_the_column(text: str, says: str) -> None:
    """And nothing of it is run."""
    with pytest.raises(filters.FilterError) as found:
        filters.compiled(text, KINDS)
    assert says in str(found.value)


ATOMS = st.sampled_from(
    [
        'state == "DONE"',
        "exit > 2",
        "note is unset",
        'machines in ("m1")',
        'at <= "2026-05-01T12:00:00Z"',
        "exit not in (1, 2)",
    ]
)
TREES = st.recursive(
    ATOMS,
    lambda more: st.one_of(
        st.builds("({} and {})".format, more, more),
        st.builds("({} or {})".format, more, more),
        st.builds("(not {})".format, more),
    ),
    max_leaves=8,
)


def means(text: str) -> bool:
    """Work a filter out another way: Python's own reading of the same tree."""
    table = {
        'state == "DONE"': False,
        "exit > 2": True,
        "note is unset": True,
        'machines in ("m1")': True,
        'at <= "2026-05-01T12:00:00Z"': True,
        "exit not in (1, 2)": True,
    }
    for atom, value in table.items():
        text = text.replace(atom, str(value))
    return bool(eval(text))  # of our own words alone


@settings(max_examples=200, deadline=None, derandomize=True)
@given(TREES)
def test_trees_mean_what_python_makes_of_them(text: str) -> None:
    """``and``, ``or``, ``not`` and brackets, in every mixture that is short enough."""
    try:
        test = filters.compiled(text, KINDS)
    except filters.FilterError as error:
        assert "nested" in str(error)
        return
    assert test(JOB.get) is means(text)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(alphabet='abx"\\() ==!<>inotandrse0.9,-\n', max_size=200))
def test_no_text_breaks_the_parser(text: str) -> None:
    """It compiles, or it is refused with a column."""
    try:
        test = filters.compiled(text, {"a": str, "b": float, "x": list})
    except filters.FilterError as error:
        assert str(error).startswith("column ")
    else:
        assert test(lambda name: None) in (True, False)


def test_pages_go_over_all_sessions_in_order_and_are_bounded() -> None:
    """Whatever the session; a page that looked at enough jobs says where to go on."""
    count = iter(range(10**6))
    engine = BatchEngine(BatchLimits(), lambda: f"j{next(count)}")
    sessions = [engine.create(name, "", SessionLimits(), Backlog(), 0) for name in "ab"]
    for number in range(50):
        what = Submission(b"", "print", account="x" if number % 10 == 0 else "y", held=True)
        engine.submit(sessions[number % 3 % 2], what, 0)
    test = filters.compiled('accountingId == "x" and jobState == "QUEUED_HELD"', view.KINDS)
    found, after, pages = [], 0, 0
    while True:
        jobs, after = view.page(sessions, after, 2, lambda job: view.passes(test, job), scan=7)
        found += [job.order for job in jobs]
        pages += 1
        if not after:
            break
    assert found == [1, 11, 21, 31, 41] and pages >= 7
    job = engine.sessions["a"].jobs["j0"]
    for name, (kind, get) in view.ATTRIBUTES.items():
        value = get(job)
        assert value is None or isinstance(value, (float, int) if kind is float else kind), name
