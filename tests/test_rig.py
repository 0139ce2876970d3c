"""The view of the fleet by real processes with faults between them: the rig's scripts but the long one."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from merlinbay.rig import checks, script

ROOT = Path(__file__).parent.parent
SCRIPTS = [
    "crash",
    "partition",
    "pair",
    "stopped",
    "lossy",
    "keys",
    "epochs",
    "forced",
    "again",
    "liar",
    "parts",
]
WRONG = """
name = "wrong"
nodes = 3
[[step]]
at = 0
do = "settled"
[[step]]
at = 0.5
do = "cut"
nodes = [0]
[[step]]
at = 6
do = "settled"
within = 1
"""


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return where all runs write."""
    return tmp_path_factory.mktemp("rig")


@pytest.fixture(scope="module")
def runs(folder: Path) -> Iterator[dict[str, subprocess.Popen[str]]]:
    """Start all runs side by side: each has addresses of its own."""
    (folder / "wrong.toml").write_text(WRONG)
    names = {**{name: name for name in SCRIPTS}, "wrong": str(folder / "wrong.toml")}
    found = {
        name: subprocess.Popen(
            [sys.executable, "-B", "-m", "merlinbay", "rig", "run", what, "--folder", str(folder / name)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for name, what in names.items()
    }
    yield found
    for process in found.values():
        if process.poll() is None:
            process.terminate()
            process.wait()


@pytest.mark.parametrize("name", SCRIPTS)
def test_what_a_script_wants_holds(runs: dict[str, subprocess.Popen[str]], name: str) -> None:
    """Its own terms, and that nobody is taken for dead to whom nothing was done."""
    said, _ = runs[name].communicate(timeout=120)
    assert runs[name].returncode == 0, said
    assert "all held" in said


def test_who_is_told_to_end_drains_and_leaves(runs: dict[str, subprocess.Popen[str]], folder: Path) -> None:
    """At SIGTERM the others hear that it takes nothing new, then that it left; and what each node holds."""
    assert runs["crash"].wait(timeout=120) == 0
    history = checks.read(folder / "crash" / "history.jsonl")
    told = {(line["event"], line["text"]) for line in history if line.get("of") == "n3"}
    assert ("changed", "draining") in told and any(event == "left" for event, _ in told)
    last = [line["gauges"] for line in history if line["what"] == "is settled"][-1]
    assert {tuple(sorted(gauges)) for name, gauges in last.items() if name in ("n0", "n1", "n2")} == {
        ("jobs", "slots")
    }


def test_a_run_that_is_told_to_end_ends_its_nodes(tmp_path: Path) -> None:
    """No process of it is left."""
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "merlinbay", "rig", "run", "pair", "--folder", str(tmp_path / "run")],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    history = tmp_path / "run" / "history.jsonl"
    while process.poll() is None and not (history.exists() and '"up"' in history.read_text()):
        time.sleep(0.1)
    process.terminate()
    process.wait(timeout=20)
    left = [path for path in Path("/proc").glob("[0-9]*/environ") if str(tmp_path) in environment(path)]
    assert left == []


def environment(path: Path) -> str:
    """Return a process's environment, nothing where it may not be read or is gone."""
    try:
        return path.read_bytes().decode(errors="replace")
    except OSError:
        return ""


def test_a_run_in_which_something_does_not_hold_fails(runs: dict[str, subprocess.Popen[str]]) -> None:
    """One is cut off, and all are said to be there: the rig says who lacks whom, and exits with 3."""
    said, _ = runs["wrong"].communicate(timeout=120)
    assert runs["wrong"].returncode == 3
    assert "not settled within 1 s: n" in said and "lacks ['n" in said


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("nodes = 3", "missing required field `name`"),
        ('name = "x"\nnodes = 0', "`$.nodes`"),
        ('name = "x"\n[[step]]\nat = 1\ndo = "explode"', "`$.step[0].do`"),
        ('name = "x"\nnodes = 2\n[[step]]\nat = 1\ndo = "kill"\nnodes = [2]', "step[0].nodes: there are 2"),
        ('name = "x"\n[[step]]\nat = 2\ndo = "heal"\n[[step]]\nat = 1\ndo = "heal"', "step[1].at: before"),
    ],
)
def test_a_bad_script_is_one_line(text: str, says: str) -> None:
    """It names the file, the key and the cause."""
    with pytest.raises(script.FaultScheduleError) as caught:
        script.read(text, "file.toml")
    assert str(caught.value).startswith("file.toml: ") and says in str(caught.value)
    assert "\n" not in str(caught.value)


def test_a_death_of_one_to_whom_nothing_was_done_is_found() -> None:
    """And one that was killed is not; how long each survivor took is read from the history."""
    history = [
        json.loads(line)
        for line in (
            '{"t": 1, "node": "rig", "what": "kill", "nodes": [2], "to": []}',
            '{"t": 4, "node": "n0", "what": "told", "at": 3.5, "event": "died", "of": "n2", "text": ""}',
            '{"t": 5, "node": "n0", "what": "told", "at": 4.5, "event": "died", "of": "n1", "text": "why"}',
        )
    ]
    assert checks.wrong(history) == ["5: n0 takes n1 for dead: why"]
    assert checks.detection(history) == {"n2": [2.5]}
