"""The emulator: exact to replay, right by theory, and its checker finds what is broken."""

from __future__ import annotations

import os
import sqlite3
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.cli.main import main
from merlinbay.decision.actions import Action
from merlinbay.decision.events import Event
from merlinbay.decision.outcomes import Outcome
from merlinbay.emulator import spec, theory
from merlinbay.emulator.checker import RuleChecker, RuleViolationError
from merlinbay.emulator.live import play_live
from merlinbay.emulator.loop import Loop, Order
from merlinbay.emulator.servers import EmulatedAttempt, EmulatedServer, Rack
from merlinbay.emulator.simulation import SimulationResult, play
from merlinbay.emulator.spec import Scenario, ScenarioError
from merlinbay.experiment import grid, stats
from merlinbay.experiment.run import run
from merlinbay.experiment.store import Store
from tests.net import ROOT

S = 1_000_000


def script(**parts: Any) -> Scenario:
    """Return a short day."""
    base: dict[str, Any] = {"name": "t", "seconds": 6.0, "hall": {"servers": 6}}
    return spec.read_value({**base, **parts}, "t")


def one(name: str, policy: str) -> SimulationResult:
    """Play a script of the library."""
    return play(spec.load(name), 3, policy)


def test_every_script_of_the_library_keeps_the_rules() -> None:
    """Read, played, nothing broken; the module does better than chance, and calm days lose nothing."""
    names, brief = list(spec.library()), ["monday", "wednesday", "friday"]
    assert len(names) >= 15 and set(brief) <= set(names)
    days = [(name, "module") for name in names] + [
        (name, other) for name in brief for other in ("random", "oracle")
    ]
    with ProcessPoolExecutor(8, mp_context=get_context("spawn")) as pool:
        found = dict(zip(days, pool.map(one, *zip(*days, strict=True)), strict=True))
    assert [(day, result.broken) for day, result in found.items() if result.broken] == []
    assert min(result.requests for result in found.values()) > 1000
    assert found["calm", "module"].in_time > 0.99
    for name in brief:
        chance, mine, top = (found[name, policy].in_time for policy in ("random", "module", "oracle"))
        assert chance < mine <= top + 0.02, name


def test_the_same_seed_gives_the_same_day_in_any_process() -> None:
    """Whatever the hash seed; another seed gives another day."""
    code = (
        "from merlinbay.emulator import spec; from merlinbay.emulator.simulation import play; "
        "print(play(spec.load('wednesday'), 5), play(spec.load('friday'), 5, 'idle'))"
    )
    texts = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(texts) == 1
    assert play(spec.load("wednesday"), 6) != play(spec.load("wednesday"), 5)


def test_things_due_at_the_same_instant_come_in_the_stated_order() -> None:
    """Whatever the order in which they were asked for; of one kind, that order."""
    loop, seen = Loop(), list[str]()
    for order in reversed(Order):
        for number in (1, 2):
            loop.at(5, order, seen.append, f"{order.name}{number}")
    loop.run(6)
    assert seen == [f"{order.name}{number}" for order in Order for number in (1, 2)]


class Nobody:
    """A judge that lets everything pass, and a place for what servers tell."""

    def __init__(self) -> None:
        self.told: list[tuple[int, str, Outcome | None]] = []

    def reached(self, server: EmulatedServer, node: int, work_us: float) -> None:
        """Let it pass."""

    def ran(self, work: EmulatedAttempt, server: EmulatedServer) -> None:
        """Let it pass."""

    def tell(self, work: EmulatedAttempt, what: str, outcome: Outcome | None) -> None:
        """Note it."""
        self.told.append((work.job, what, outcome))


def server_of(loop: Loop, judge: Nobody, slots: int = 2, **hall: Any) -> EmulatedServer:
    """Return a server of speed 1."""
    kind = spec.MachineKind(name="k", slots=slots, memory=float(slots))
    return EmulatedServer(
        "s0",
        kind,
        1.0,
        0,
        "z",
        spec.ServerPool(**hall),
        spec.ReportProfile(noise=0.0, delay_ms=0.0),
        Rack(7 * S),
        loop,
        Random(1),
        judge,
    )


def job(judge: Nobody, number: int, work_s: float, slots: int = 1, key: str = "") -> EmulatedAttempt:
    """Return a job."""
    return EmulatedAttempt(0, number, 0, work_s * S, slots, 0.5 * slots, key, judge.tell)


@pytest.mark.parametrize(
    ("order", "starts"), [("fifo", [1, 2, 3]), ("backfill", [1, 3, 2]), ("priority", [1, 3, 2])]
)
def test_queues_keep_their_order(order: str, starts: list[int]) -> None:
    """With fifo a wide job holds up the small one behind it; the others let that pass."""
    loop, judge = Loop(), Nobody()
    server = server_of(loop, judge, order=order)
    for number, slots in ((1, 1), (2, 2), (3, 1)):
        assert server.take(job(judge, number, 1.0, slots)) is None
    loop.run(10 * S)
    assert [number for number, what, _ in judge.told if what == "started"] == starts


def test_a_job_takes_its_work_over_the_speed_of_each_moment() -> None:
    """Slowed to half for a second, and cold at the start: the ends are where arithmetic has them."""
    loop, judge = Loop(), Nobody()
    server = server_of(loop, judge, cold_from=0.31, cold=9.0)
    server.take(job(judge, 1, 2.0))
    loop.at(S, Order.TROUBLE, server.with_speed, lambda: server.slow.__setitem__("x", 0.5))
    loop.at(2 * S, Order.TROUBLE, server.with_speed, lambda: server.slow.pop("x"))
    loop.run(2_499_990)
    assert judge.told == [(1, "started", None)]
    loop.run(2_500_010)
    assert judge.told[-1] == (1, "ended", Outcome.OK)
    server.drain()
    server.crash()
    server.start()
    began = loop.now
    server.take(job(judge, 2, 1.0))
    while judge.told[-1][:2] != (2, "ended"):
        loop.run(loop.now + 1000)
    # In 18 steps from 0.31 to 1 over 9 s, each at the speed of its beginning: 0.5 s at 0.31, at 0.348, ...
    left, took = 1.0, 0.0
    for step in range(18):
        speed = 0.31 + 0.69 * step / 18
        if left <= speed * 0.5:
            took += left / speed
            break
        left, took = left - speed * 0.5, took + 0.5
    assert (loop.now - began) / S == pytest.approx(took, abs=0.01)


def test_a_rack_drops_repeats_while_they_may_still_matter() -> None:
    """A copy of a key that has started is handed back; after a crash, and after the window, it runs."""
    loop, judge = Loop(), Nobody()
    server = server_of(loop, judge, slots=4)
    server.take(job(judge, 1, 1.0, key="a"))
    server.take(job(judge, 2, 1.0, key="a"))
    assert judge.told == [(1, "started", None), (2, "ended", Outcome.FULL)]
    server.crash()
    server.start()
    server.take(job(judge, 3, 0.1, key="a"))
    loop.run(8 * S)
    server.take(job(judge, 4, 0.1, key="a"))
    loop.run(9 * S)
    ended = [(number, outcome) for number, what, outcome in judge.told if what == "ended"]
    assert ended == [(2, Outcome.FULL), (1, Outcome.RESET), (3, Outcome.OK), (4, Outcome.OK)]


def test_a_drain_hands_back_what_waits_and_a_full_queue_what_comes() -> None:
    """What runs is finished; nothing new is taken."""
    loop, judge = Loop(), Nobody()
    server = server_of(loop, judge, slots=1, queue=1)
    assert [server.take(job(judge, number, 1.0)) for number in (1, 2, 3)] == [None, None, Outcome.FULL]
    server.drain()
    assert server.take(job(judge, 4, 1.0)) is Outcome.FULL
    loop.run(2 * S)
    assert [(number, outcome) for number, what, outcome in judge.told if what == "ended"] == [
        (2, Outcome.FULL),
        (1, Outcome.OK),
    ]


def test_reports_are_late_or_stand_still_as_scripted() -> None:
    """Fresh: what it holds; late: what it held then; frozen: what it told last."""
    loop, judge = Loop(), Nobody()
    server = server_of(loop, judge, slots=4)
    server.report_gap = 0
    held = []
    for second in range(6):
        loop.run(second * S)
        server.take(job(judge, second, 100.0))
        if second == 3:
            server.frozen["x"] = 2.0
        if second == 5:
            server.frozen["x"] = float("inf")
        report = server.report()
        assert report is not None
        held.append(report[1])
    assert held == [1, 2, 3, 2, 3, 5]


def checked(**limits: Any) -> tuple[RuleChecker, Loop, EmulatedServer, EmulatedServer]:
    """Return a checker, and two servers of two racks."""
    loop = Loop()
    day = script(hall={"servers": 2, "rack": 1}, limits=limits)
    checker = RuleChecker(day, loop)
    servers = [
        EmulatedServer(
            f"s{n}", day.hall.kinds[0], 1.0, n, "z", day.hall, day.reports, Rack(S), loop, Random(n), checker
        )
        for n in (0, 1)
    ]
    checker.arrived(0, 1, 5 * S)
    return checker, loop, servers[0], servers[1]


def test_the_checker_finds_each_rule_broken() -> None:
    """One answer in time; repeats in rack and window; nothing to a gone server; no cold one tipped."""
    checker, loop, one, two = checked()
    checker.sent(0, 1, one)
    with pytest.raises(RuleViolationError, match="rule 2"):
        checker.sent(0, 1, two)  # another rack, and the first is out
    checker.ended(0, 1, 0, Outcome.RESET)
    with pytest.raises(RuleViolationError, match="rule 2"):
        checker.answered(0, 1, "refused")
    checker, loop, one, two = checked()
    checker.answered(0, 1, "served")
    with pytest.raises(RuleViolationError, match="rule 1"):
        checker.answered(0, 1, "served")
    checker, loop, one, two = checked()
    loop.run(5 * S + 9000)
    with pytest.raises(RuleViolationError, match="rule 1"):
        checker.answered(0, 1, "failed")
    with pytest.raises(RuleViolationError, match="rule 1"):
        checked()[0].overdue(0, 1)
    checker, loop, one, two = checked()
    checker.listed(0, "s0", "draining", 0)
    loop.run(500_000)
    checker.sent(0, 1, one)
    loop.run(500_001)
    checker.ended(0, 1, 0, Outcome.FULL)
    with pytest.raises(RuleViolationError, match="rule 3"):
        checker.sent(0, 1, one)
    checker, loop, one, two = checked()
    loop.run(S)
    one.start()
    checker.listed(0, "s0", "up", one.ready_us)
    with pytest.raises(RuleViolationError, match="rule 4"):
        for _ in range(100):
            one.take(job(Nobody(), 1, 0.3))
    assert checker.tipped == ["s0"] and one.state == "down"
    checker, loop, one, two = checked(second_copies=False)
    checker.sent(0, 1, one)
    with pytest.raises(RuleViolationError, match="two attempts"):
        checker.sent(0, 1, one)


def test_a_broken_rule_stops_the_run_and_is_played_again_from_its_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A policy that sends twice: seed and event are named, and the replay breaks at the same event."""
    from merlinbay.emulator.policies import RandomChoice

    def twice(self: Any, now: int, events: list[Event]) -> list[Action]:
        return [action for found in base(self, now, events) for action in (found, found)]

    base = RandomChoice.handle
    monkeypatch.setattr(RandomChoice, "handle", twice)
    result = CliRunner().invoke(main, ["simulate", "play", "calm", "--policy", "random", "--seed", "9"])
    assert result.exit_code == 3 and "rule 2" in result.output
    again = CliRunner().invoke(main, ["simulate", "replay", "calm", "--policy", "random", "--seed", "9"])
    broken = [line for line in result.output.splitlines() if line.startswith("BROKEN")]
    assert again.exit_code == 3 and broken[0] in again.output and "the same twice" in again.output


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('name = "x"\nmore = 1', "more"),
        ('name = "x"\n[load]\nshare = -1', "load.share: below 0"),
        ('name = "x"\n[[trouble]]\nwhat = "crash"\nat = -3', "trouble[0].at: below 0"),
        ('name = "x"\n[[trouble]]\nwhat = "crash"\nat = 99', "trouble[0].at: the script ends"),
        ('name = "x"\n[[trouble]]\nwhat = "crash"\nat = 1\nservers = ["s99"]', "no server 's99'"),
        ('name = "x"\n[[trouble]]\nwhat = "fire"\nat = 1', "trouble[0].what"),
        ("name = = 1", "line 1"),
        ('name = "x"\n[load]\nshare = [2, 1]', "load.share: a range"),
        ('name = "x"\n[load]\nshare = [1, 2, 3]', "share"),
        ('name = "x"\n[hall]\nservers = 0', "hall.servers"),
        ('name = "x"\n[hall]\nkinds = []', "hall"),
    ],
)
def test_a_script_that_cannot_be_played_is_named_in_one_line(text: str, says: str) -> None:
    """File, key or line, and cause."""
    with pytest.raises(ScenarioError) as found:
        spec.read(text, "evening.toml")
    line = str(found.value)
    assert line.startswith("evening.toml: ") and "\n" not in line
    assert says in line or says in line.replace("`$.", "").replace("[...]", "[0]")


@pytest.mark.parametrize(("servers", "share"), [(1, 0.5), (2, 0.8), (4, 0.8)])
def test_one_server_is_the_queue_of_the_textbook(servers: int, share: float) -> None:
    """M/M/c: the share that waits and the mean wait; a short run, so within a tenth."""
    waits = theory_run(servers, share, 20_000)
    assert np.mean(waits > 1) == pytest.approx(theory.erlang_c(servers, share * servers), rel=0.1)
    assert np.mean(waits) == pytest.approx(theory.mean_wait(servers, share * servers, 10_000), rel=0.12)


def theory_run(slots: int, share: float, jobs: int) -> np.ndarray:
    """Return the waits of jobs at one server, us; the mean run time is 10 ms."""
    from bench.emulator import waits_of

    return waits_of(slots, share, jobs, seed=4)


@settings(max_examples=8, deadline=None, derandomize=True)
@given(
    st.integers(0, 10**6),
    st.sampled_from(["module", "least", "idle"]),
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    "crash",
                    "slowdown",
                    "partition",
                    "deploy",
                    "fast_errors",
                    "rack_loss",
                    "discovery_outage",
                    "node_crash",
                    "burst",
                    "frozen_reports",
                ]
            ),
            st.floats(0.2, 4.0),
            st.floats(0.1, 3.0),
        ),
        max_size=4,
    ),
)
def test_no_mixture_of_troubles_breaks_a_rule(
    seed: int, policy: str, troubles: list[tuple[str, float, float]]
) -> None:
    """Of three policies, on short days of two nodes; the same again on a second run."""
    day = script(
        hall={"servers": 6, "nodes": 2},
        load={"share": 0.7},
        trouble=[
            {
                "what": what,
                "at": at,
                "lasts": lasts,
                "share": 0.4,
                "by": 0.5 if what == "fast_errors" else 2.0,
            }
            for what, at, lasts in troubles
        ],
    )
    result = play(day, seed, policy)
    assert result.broken == ""
    assert result == play(day, seed, policy)


GRID = """name = "t"
scripts = ["calm"]
policies = ["random", "least"]
seeds = 3
[settings]
"seconds" = [3]
"hall.servers" = [3, 4]
"""


def test_an_experiment_goes_on_where_it_was_killed(tmp_path: Path) -> None:
    """No row lost or doubled, the same whether by one endpoint or several, and the summary pairs by seed."""
    (tmp_path / "g.toml").write_text(GRID)
    asked = grid.read(tmp_path / "g.toml")
    whole = Store(tmp_path / "whole.sqlite")
    assert run(asked, whole, workers=2) == 12
    cut = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "merlinbay",
            "experiment",
            "run",
            str(tmp_path / "g.toml"),
            "--results",
            str(tmp_path / "cut.sqlite"),
            "--workers",
            "1",
        ],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    while not (tmp_path / "cut.sqlite").exists() or not rows_of(tmp_path / "cut.sqlite"):
        assert cut.poll() is None or rows_of(tmp_path / "cut.sqlite")
    cut.kill()
    cut.wait()
    half = Store(tmp_path / "cut.sqlite")
    there = len(half.done())
    assert run(asked, half, workers=1) == 12 - there
    assert run(asked, half, workers=1) == 0
    assert rows_of(tmp_path / "cut.sqlite") == rows_of(tmp_path / "whole.sqlite")
    result = CliRunner().invoke(
        main, ["experiment", "compare", *[str(tmp_path / f"{name}.sqlite") for name in ("cut", "whole")]]
    )
    assert result.exit_code == 0 and result.output.count("0.0000 [0.0000, 0.0000] of 3") == 4
    page = CliRunner().invoke(
        main, ["report", str(tmp_path / "cut.sqlite"), "--output", str(tmp_path / "r.html")]
    )
    text = (tmp_path / "r.html").read_text()
    assert (
        page.exit_code == 0
        and text.count("<svg") == 1
        and "least" in text
        and "http://"
        not in text.replace("http://www.w3.org", "")
        .replace("http://purl.org", "")
        .replace("http://creativecommons.org", "")
    )
    for wrong, says in (
        ("scripts = []", "scripts"),
        ('scripts = ["nothing"]', "nothing"),
        ('scripts = ["calm"]\n[settings]\n"hall.x" = [1]', "hall"),
        ('scripts = ["calm"]\npolicies = ["x"]', "no policy"),
    ):
        (tmp_path / "bad.toml").write_text(f'name = "x"\n{wrong}')
        result = CliRunner().invoke(main, ["experiment", "run", str(tmp_path / "bad.toml")])
        assert result.exit_code == 2 and says in result.output and result.output.count("\n") == 1, wrong


def rows_of(path: Path) -> list[Any]:
    """Return all rows of a file of results."""
    try:
        return sorted(sqlite3.connect(path).execute("SELECT * FROM results"))
    except sqlite3.OperationalError:
        return []


def test_intervals_have_the_mean_and_pair_by_seed() -> None:
    """A constant has no width; a paired difference is narrower than its parts."""
    flat = stats.mean_of([0.5] * 9)
    assert (flat.mean, flat.low, flat.high) == (0.5, 0.5, 0.5)
    one = {seed: seed / 10 for seed in range(20)}
    other = {seed: value - 0.1 for seed, value in one.items()}
    found = stats.difference(one, {**other, 99: 5.0})
    assert found.mean == pytest.approx(0.1) and found.high - found.low < 1e-9 and found.count == 20
    whole = stats.mean_of(list(one.values()))
    assert whole.low < whole.mean < whole.high


def test_a_newcomer_s_first_look_and_a_day_s_page(tmp_path: Path) -> None:
    """``simulate`` bare has a table and a verdict; a day's page is whole in itself."""
    result = CliRunner().invoke(main, ["simulate"])
    assert result.exit_code == 0 and "seated in time; chance would" in result.output
    assert "monday" in CliRunner().invoke(main, ["simulate", "list"]).output
    page = tmp_path / "day.html"
    result = CliRunner().invoke(main, ["simulate", "play", "rack-loss", "--report", str(page), "--json"])
    text = page.read_text()
    assert result.exit_code == 0 and text.count("<svg") == 4 and "rack loss" in text
    assert CliRunner().invoke(main, ["simulate", "play", "nowhere"]).exit_code == 2
    assert CliRunner().invoke(main, ["simulate", "play", "calm", "--policy", "x"]).exit_code == 2


def test_the_program_on_sockets_does_as_the_model_in_virtual_time() -> None:
    """The same requests of the same seed, by real processes: rules kept, and the shares near each other."""
    troubles = [
        {"what": "crash", "at": 2.0, "lasts": 1.0, "servers": ["s1"]},
        {"what": "fast_errors", "at": 1.0, "lasts": 2.0, "servers": ["s2"], "by": 1},
        {"what": "deploy", "at": 3.0, "lasts": 1.0, "servers": ["s3"]},
    ]
    hall, callers = {"servers": 6, "nodes": 2}, {"bad": 10.0}
    day = script(hall=hall, load={"share": 0.4}, trouble=troubles, callers=callers)
    virtual, real = play(day, 2), play_live(day, 2)
    assert (virtual.broken, real.broken) == ("", "")
    assert virtual.requests > 200 and abs(virtual.requests - real.requests) <= 3  # at the day's end
    assert real.in_time == pytest.approx(virtual.in_time, abs=0.15)  # a machine under tests is no yardstick
    assert real.refused + real.failed + real.lost < 0.3 * real.requests
    assert real.bad > 30 and real.bad_open == 0


def test_a_recorded_trace_is_played_as_it_stands(tmp_path: Path) -> None:
    """Each line at its second, with its work if it says so; a line that makes no sense is named."""
    path = tmp_path / "evening.csv"
    path.write_text("# second, ms\n0.5, 100\n0.25\n2 50\n")
    result = play(script(load={"trace": str(path)}, callers={"retries": 0.0}), 1)
    assert (result.requests, result.in_time) == (3, 1.0)
    path.write_text("0.5\n-1\n")
    with pytest.raises(ScenarioError, match=r"evening.csv: line 2"):
        play(script(load={"trace": str(path)}), 1)
