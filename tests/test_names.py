"""Names: a class name stands for one thing in the whole program; earlier names are aliases or gone.

That exceptions end in ``Error`` is the linter's check (N818).
"""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

import pytest

from merlinbay import client

PROGRAM = Path(__file__).parent.parent / "merlinbay"
# Aliases in the Python client, for one release more.
EARLIER = {
    "DrmaaRemote": "DrmaaRemoteError",
    "MayHaveRun": "MayHaveRunError",
    "Unreachable": "UnreachableError",
}


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
    assert (gone | set(EARLIER)) & set(classes()) == set()


@pytest.mark.parametrize(("earlier", "name"), EARLIER.items())
def test_the_client_keeps_its_exceptions_earlier_names(earlier: str, name: str) -> None:
    """A program that catches an exception by its earlier name goes on working."""
    assert getattr(client, earlier) is getattr(client, name)
    assert getattr(client, name).__name__ == name
    assert {earlier, name} <= set(client.__all__)
