"""What KNOWN-RED.txt lets pass, and what it does not."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    assert True\n"
RED = "tests/test_x.py::test_red | pytest, no seed | a fault | 1\n"
COMMAND = "- | python -m bench.soak one 7 . | a lost job | 2\n"


@pytest.mark.parametrize(
    ("listed", "code", "says"),
    [
        (None, 1, "1 failed, 1 passed"),
        (RED, 0, "known red: tests/test_x.py::test_red: a fault (issue 1)"),
        (RED + COMMAND * 3, 0, "known red: python -m bench.soak one 7 .: a lost job (issue 2)"),
        (COMMAND, 1, "1 failed, 1 passed"),
        (RED + COMMAND.replace("soak", "gone"), 4, "KNOWN-RED.txt:2: not a command of this repository"),
        (RED + COMMAND.replace("python -m", "./"), 4, "KNOWN-RED.txt:2: not a command of this repository"),
        (RED + RED.replace("red", "green"), 1, "XPASS(strict)"),
        (RED + RED.replace("red", "gone"), 4, "there is no test tests/test_x.py::test_gone"),
        (RED + RED.replace("_x", "_y"), 4, "there is no test tests/test_y.py::test_red"),
        (RED * 4, 4, "more than 3 tests"),
        (RED + "tests/test_x.py::test_green\n", 4, "KNOWN-RED.txt:2: not TEST | COMMAND AND SEED |"),
        (
            "tests/test_x.py::test_red | a fault | issue 1\n",
            4,
            "KNOWN-RED.txt:1: not TEST | COMMAND AND SEED |",
        ),
        ("", 4, "lists nothing"),
    ],
)
def test_the_list_hides_no_more_than_it_says(
    tmp_path: Path, listed: str | None, code: int, says: str
) -> None:
    """A listed test that fails is printed and let pass; all else fails the run."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tmp_path / "tests" / "test_x.py").write_text(TESTS)
    (tmp_path / "bench").mkdir()
    (tmp_path / "bench" / "soak.py").write_text("")
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ran.returncode == code and says in ran.stdout + ran.stderr, ran.stdout + ran.stderr
