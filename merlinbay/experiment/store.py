"""Results in SQLite: one row a day, written whole or not at all, so that a run that was killed goes on."""

from __future__ import annotations

import sqlite3
from dataclasses import asdict, fields
from pathlib import Path

from merlinbay.emulator.simulation import SimulationResult
from merlinbay.experiment.grid import Cell

COLUMNS = [field.name for field in fields(SimulationResult) if field.name not in ("script", "seed", "policy")]
KEY = ["script", "settings", "policy", "seed", "print"]


class Store:
    """One file of results."""

    def __init__(self, path: Path) -> None:
        self.db = sqlite3.connect(path)
        self.db.execute("PRAGMA journal_mode = WAL")
        columns = ", ".join([*KEY, *COLUMNS, "figure"])
        self.db.execute(f"CREATE TABLE IF NOT EXISTS results ({columns}, PRIMARY KEY ({', '.join(KEY)}))")

    def done(self) -> set[tuple[str, str, str, int, str]]:
        """Return the days that are there."""
        return set(self.db.execute(f"SELECT {', '.join(KEY)} FROM results"))

    def add(self, cell: Cell, result: SimulationResult) -> None:
        """Write a day; one that is there already stays as it is."""
        values = asdict(result)
        row = [*cell.key, *(values[name] for name in COLUMNS), result.figure]
        with self.db:
            self.db.execute(f"INSERT OR IGNORE INTO results VALUES ({', '.join('?' * len(row))})", row)

    def column(self, name: str, script: str, settings: str, policy: str) -> dict[int, float]:
        """Return a column by seed. ``name`` is one of ours, never a user's."""
        if name not in (*COLUMNS, "figure"):
            raise KeyError(name)
        return dict(
            self.db.execute(
                f"SELECT seed, {name} FROM results WHERE script = ? AND settings = ? AND policy = ?",
                (script, settings, policy),
            )
        )

    def groups(self) -> list[tuple[str, str, str]]:
        """Return scripts, settings and policies that there are results of."""
        return list(self.db.execute("SELECT DISTINCT script, settings, policy FROM results ORDER BY 1, 2, 3"))

    def broken(self) -> list[tuple[str, str, str, int, str]]:
        """Return the days on which a rule was broken, and which."""
        return list(
            self.db.execute(
                "SELECT script, settings, policy, seed, broken FROM results "
                "WHERE broken != '' ORDER BY 1, 2, 3, 4"
            )
        )

    def close(self) -> None:
        """Close the file."""
        self.db.close()
