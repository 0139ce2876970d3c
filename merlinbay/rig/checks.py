"""What a history shows: deaths that were none, and incarnations that went back."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def read(path: Path) -> list[dict[str, Any]]:
    """Return a history's lines."""
    return [json.loads(line) for line in path.read_text().splitlines()]


HARMS = ("kill", "restart", "stop", "starve", "leave", "cut", "lie")


def touched(history: list[dict[str, Any]]) -> set[str]:
    """Return the nodes that the script did something to that others may take for a death."""
    found: set[str] = set()
    for line in history:
        if line["node"] == "rig" and line["what"] in HARMS:
            found |= {f"n{number}" for number in [*line["nodes"], *line["to"]]}
            if line["what"] == "cut" and not line["to"]:
                return {line["node"] for line in history} | found | {f"n{number}" for number in range(60)}
    return found


def wrong(history: list[dict[str, Any]], spared: frozenset[str] = frozenset()) -> list[str]:
    """Return what must not be in a history: one line each.

    A member that nothing was done to is said to be dead, or somebody in ``spared`` is.
    """
    excused = touched(history) - spared
    found = []
    for line in history:
        if line["what"] == "told" and line["event"] == "died" and line["of"] not in excused:
            found.append(f"{line['t']}: {line['node']} takes {line['of']} for dead: {line['text']}")
    return found


def detection(history: list[dict[str, Any]]) -> dict[str, list[float]]:
    """Return for each killed node how long after the kill each survivor said that it is dead. Seconds."""
    killed = {
        f"n{number}": line["t"]
        for line in history
        if line["node"] == "rig" and line["what"] == "kill"
        for number in line["nodes"]
    }
    found: dict[str, list[float]] = {name: [] for name in killed}
    for line in history:
        if line["what"] != "told" or line["event"] != "died" or line["of"] not in killed:
            continue
        if line["at"] >= killed[line["of"]]:
            found[line["of"]].append(round(line["at"] - killed[line["of"]], 2))
    return found
