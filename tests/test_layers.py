"""Imports point down only, and nothing goes round: what is read from the sources."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
LAYERS = [  # from the top; a package may import from its own layer and from those below
    {
        "__main__",
        "cli",
        "conformance",
        "experiment",
        "client",
        "executor",
        "emulator",
        "rig",
        "scale",
        "capacity",
    },
    {"node", "node_components", "node_signals", "simhost"},
    {"config"},
    {"operator_file"},
    {"platform", "drmaa", "fleet", "handover", "control_service"},
    {"http", "dnssd", "batch", "notify", "access", "reserve", "monitor", "store", "control"},
    {"core", "log", "event_log", "site_settings"},
    {"decision", "limits", "counters", "clock", "errors", "process_memory", ""},
]
RANK = {name: rank for rank, layer in enumerate(LAYERS) for name in layer}


def modules() -> dict[str, set[str]]:
    """Return each module's imports from the program, those for types included."""
    files = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
        for path in (ROOT / "merlinbay").rglob("*.py")
    }
    found: dict[str, set[str]] = {}
    for name, path in files.items():
        found[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("merlinbay"):
                whole = [f"{node.module}.{alias.name}" for alias in node.names]
                found[name] |= {one if one in files else str(node.module) for one in whole}
            elif isinstance(node, ast.Import):
                found[name] |= {alias.name for alias in node.names if alias.name in files}
        found[name].discard(name)
    return found


def part(module: str) -> str:
    """Return the package, or the module at the top, that a module belongs to."""
    return ([*module.split("."), ""])[1]


def test_nothing_goes_round() -> None:
    """No module is reached from itself, not even by an import that only the type checker reads."""
    order = list(TopologicalSorter(modules()).static_order())
    assert len(order) > 100


def test_imports_point_down() -> None:
    """Every package has its layer, and none imports from one above."""
    up = [
        f"{name} imports {other}"
        for name, others in modules().items()
        for other in others
        if RANK[part(other)] < RANK[part(name)]
    ]
    assert up == []
