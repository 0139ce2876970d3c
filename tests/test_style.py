"""Checks the sources of ``decision/``: size, independence of deployments and wire, one owner for each field.

Every file of ``decision/`` is checked. These checks replace an earlier one, that the single file ``rules.py``
had under 500 non-blank lines.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

DECISION = Path(__file__).parent.parent / "merlinbay" / "decision"
FILES = sorted(DECISION.glob("*.py"))
STATE_FILES = ("endpoint_state.py", "request_state.py")
MAX_FILE_LINES, MAX_FUNCTION_LINES, MAX_LINE = 300, 40, 110
MUTATING_METHODS = {
    "append",
    "appendleft",
    "extend",
    "insert",
    "pop",
    "popleft",
    "clear",
    "remove",
    "update",
    "add",
}
FOREIGN_NAMES = [  # names of deployments, classes, places and wire messages
    "jedalnicek",
    "teorica",
    "derwent",
    "tas-signing",
    "bratislava",
    "kosice",
    "bilbao",
    "hobart",
    "allergen",
    "kitchen",
    "verify",
    "sign-release",
    "next-question",
    "practice-set",
    "menu-",
    "gen-a",
    "PushBack",
    "CallOff",
    "EndFailed",
    "msgId",
    "scheduler_",
    "wallUs",
    "plaines",
    "lisboa",
]


def too_long(text: str) -> list[str]:
    """Return the names of the functions of a file that are too long, docstrings included."""
    return [
        node.name
        for node in ast.walk(ast.parse(text))
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))
        and (node.end_lineno or 0) - node.lineno + 1 > MAX_FUNCTION_LINES
    ]


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_length(path: Path) -> None:
    """A file must have under 300 lines, a function at most 40 lines, and a line at most 110 characters."""
    lines = path.read_text().splitlines()
    assert len(lines) < MAX_FILE_LINES
    assert too_long(path.read_text()) == []
    assert max(map(len, lines)) <= MAX_LINE


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_names_no_deployment_and_no_wire_message(path: Path) -> None:
    """The module must not depend on a deployment: no name of one, of a class, place or message occurs."""
    text = path.read_text().lower()
    assert [word for word in FOREIGN_NAMES if word.lower() in text] == []
    assert "msgspec" not in text and "simhost" not in text


def test_interface_is_named_at_the_top() -> None:
    """The first line of ``balancer.py`` names the interface, so that a reader finds it at once."""
    head = (DECISION / "balancer.py").read_text().splitlines()[0]
    assert "``settings``, ``events``, ``actions``" in head


# Ownership.


def fields_of(text: str) -> list[str]:
    """Return the names of the fields of all records in a file."""
    return [
        line.target.id
        for node in ast.parse(text).body
        if isinstance(node, ast.ClassDef)
        for line in node.body
        if isinstance(line, ast.AnnAssign) and isinstance(line.target, ast.Name)
    ]


def changed(node: ast.AST) -> Iterator[ast.expr]:
    """Yield the expressions that a node assigns to, deletes or changes in place."""
    if isinstance(node, ast.Assign):
        yield from node.targets
    elif isinstance(node, (ast.AugAssign, ast.AnnAssign)):
        yield node.target
    elif isinstance(node, ast.Delete):
        yield from node.targets
    elif isinstance(node, (ast.For, ast.comprehension)):
        yield node.target
    elif (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in MUTATING_METHODS
    ):
        yield node.func.value
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "setattr":
        yield ast.Attribute(value=node.args[0], attr="*", ctx=ast.Store())


def attributes(target: ast.expr) -> Iterator[ast.Attribute]:
    """Yield the attributes that a target writes."""
    if isinstance(target, (ast.Tuple, ast.List)):
        for element in target.elts:
            yield from attributes(element)
    elif isinstance(target, (ast.Starred, ast.Subscript)):
        yield from attributes(target.value)
    elif isinstance(target, ast.Attribute):
        yield target


def is_self(value: ast.expr) -> bool:
    """Return whether an expression is ``self``."""
    return isinstance(value, ast.Name) and value.id == "self"


def writers(text: str, name: str) -> Iterator[tuple[str, ast.Attribute]]:
    """Yield the attributes that a file writes, each with the class that writes it, else the file's name."""
    owner: dict[ast.AST, str] = {}
    tree = ast.parse(text)
    for part in tree.body:
        if isinstance(part, ast.ClassDef):
            owner |= dict.fromkeys(ast.walk(part), part.name)
    for node in ast.walk(tree):
        for target in changed(node):
            for attribute in attributes(target):
                yield owner.get(node, name), attribute


def written_by_two(files: dict[str, str], state: tuple[str, ...] = STATE_FILES) -> list[str]:
    """Return the fields of state records that more than one class writes, and writes to fields of parts.

    Fields are told apart by their names alone, so two records' fields of the same name count as one.
    """
    fields = [field for name in state for field in fields_of(files[name])]
    faults = list[str]()
    seen: dict[str, set[str]] = {}
    for name, text in files.items():
        for owner, attribute in writers(text, name):
            if is_self(attribute.value):
                continue
            if attribute.attr not in fields:
                faults.append(f"{owner} writes {ast.unparse(attribute)}")
            seen.setdefault(attribute.attr, set()).add(owner)
    return sorted(
        faults + [f"{field}: {sorted(owners)}" for field, owners in seen.items() if len(owners) > 1]
    )


def private_uses(text: str) -> list[str]:
    """Return the uses of another object's private attributes."""
    return [
        ast.unparse(node)
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Attribute)
        and node.attr.startswith("_")
        and not node.attr.startswith("__")
        and not is_self(node.value)
    ]


SOURCES = {path.name: path.read_text() for path in FILES}


def test_no_field_is_written_by_two_classes() -> None:
    """Only its owner's methods may write a record's field, and only a part itself its own fields."""
    assert written_by_two(SOURCES) == []


@pytest.mark.parametrize("name", sorted(SOURCES))
def test_no_part_uses_private_attributes_of_another(name: str) -> None:
    """Parts may use only the public attributes and methods of other parts."""
    assert private_uses(SOURCES[name]) == []


@pytest.mark.parametrize(
    "line",
    [
        "endpoint.failures.ejected_until_us = 0",
        "a, (endpoint.failures.ejected_until_us, b) = 1, (2, 3)",
        "request.attempts.append(1)",
        "request.is_done |= True",
        "self._load.smoothed_in_flight = 0.0",
        "self.requests.by_id[3] = None",
        "del self._requests.by_id[3]",
        "self.timers._due.clear()",
        "setattr(endpoint, 'zone', 'a')",
        "for endpoint.zone in 'ab': pass",
    ],
)
def test_the_check_finds_each_write_from_outside(line: str) -> None:
    """The check must not miss any form of statement that writes another part's field."""
    intruder = f"class Intruder:\n    def change(self):\n        {line}\n"
    assert any("Intruder" in fault for fault in written_by_two({**SOURCES, "intruder.py": intruder}))
