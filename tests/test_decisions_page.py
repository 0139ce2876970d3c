"""``docs/DECISIONS.md`` names files, functions and dependencies as they are."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
DECISION = ROOT / "merlinbay" / "decision"
PAGE = (ROOT / "docs" / "DECISIONS.md").read_text()
TREES = {path.name: ast.parse(path.read_text()) for path in DECISION.glob("*.py")}
UNDRAWN = {"Context", "Snapshots", "Parts", "Balancer"}


def constructed_with() -> dict[str, set[str]]:
    """Return the parts that each part's constructor takes."""
    classes = [node for tree in TREES.values() for node in tree.body if isinstance(node, ast.ClassDef)]
    names = {node.name for node in classes}
    found: dict[str, set[str]] = {}
    for node in classes:
        for line in node.body:
            if isinstance(line, ast.FunctionDef) and line.name == "__init__":
                taken = [ast.unparse(one.annotation) for one in line.args.args if one.annotation]
                found[node.name] = names & set(taken)
    return found


def test_the_drawing_shows_who_asks_whom() -> None:
    """Each part with what its constructor takes; the shared context is left out."""
    arrows = re.findall(r"(\w+) +-> ([\w, ]+)", PAGE.split("```")[1])
    drawn = {name: set(asked.split(", ")) for name, asked in arrows}
    drawn.pop("DiscoveryPolling")  # a dataclass: its fields are its constructor's
    asking = {
        name: taken - {"Context"}
        for name, taken in constructed_with().items()
        if name not in UNDRAWN and taken - {"Context"}
    }
    assert drawn == asking


def test_each_named_function_is_in_its_file() -> None:
    """In the tables, a name behind a file's belongs to that file."""
    rows = 0
    for cell in re.findall(r"^\| [^|]* \| ([^|]*`\w+\.py`[^|]*) \|", PAGE, flags=re.MULTILINE):
        for path, rest in re.findall(r"`(\w+\.py)`:? ?((?:(?!`\w+\.py`).)*)", cell):
            names = {node.name for node in ast.walk(TREES[path]) if hasattr(node, "name")}
            names |= {node.id for node in ast.walk(TREES[path]) if isinstance(node, ast.Name)}
            for name in re.findall(r"`([\w.]+)`", rest):
                assert set(name.split(".")) <= names, f"{path}: {name}"
                rows += 1
    assert rows > 50
