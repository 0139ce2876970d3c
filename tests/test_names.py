"""Names: a class name stands for one thing in the whole program, and exceptions say that they are errors."""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

PROGRAM = Path(__file__).parent.parent / "merlinbay"
EARLIER = {"DrmaaRemote", "MayHaveRun", "Unreachable"}  # aliases in the Python client, for one release more


def classes() -> dict[str, list[str]]:
    """Return the modules that define each class."""
    found: dict[str, list[str]] = defaultdict(list)
    for path in PROGRAM.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                found[node.name].append(str(path.relative_to(PROGRAM)))
    return found


def test_a_class_name_stands_for_one_thing() -> None:
    """A reader who has met a name in one module does not meet another thing under it elsewhere."""
    assert {name: where for name, where in classes().items() if len(where) > 1} == {}


def test_no_class_goes_by_an_earlier_name() -> None:
    """The names that the glossary replaces are not given out again."""
    gone = {
        "Owner",
        "Edge",
        "Place",
        "Refuse",
        "Worker",
        "WorkerEntry",
        "Safety",
        "Note",
        "Tell",
        "Ledger",
        "Claim",
    }
    assert (gone | EARLIER) & set(classes()) == set()
