"""An experiment as a TOML file: a grid of scripts, policies, settings and seeds. No I/O but reading it."""

from __future__ import annotations

import hashlib
import itertools
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec

from merlinbay import __version__
from merlinbay.emulator import policies, spec
from merlinbay.emulator.spec import Scenario, ScenarioError


class Grid(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The file."""

    name: str
    scripts: Annotated[list[str], msgspec.Meta(min_length=1)]
    policies: list[str] = msgspec.field(default_factory=lambda: ["module"])
    seeds: Annotated[int, msgspec.Meta(ge=1)] = 10
    first_seed: int = 1
    settings: dict[str, list[Any]] = {}  # a script's key, as "hall.servers", and the values that it takes


@dataclass(frozen=True)
class Cell:
    """One day of the grid."""

    script: str  # its name
    settings: str  # JSON of what was changed
    policy: str
    seed: int
    print: str  # fingerprint of the script as played, so that results of another one are not taken for its

    @property
    def key(self) -> tuple[str, str, str, int, str]:
        """Return what makes it the same day."""
        return self.script, self.settings, self.policy, self.seed, self.print


def read(path: Path) -> Grid:
    """Read an experiment. Raises ``ScenarioError`` with one line."""
    try:
        grid = msgspec.convert(tomllib.loads(path.read_text()), Grid)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    for name in grid.policies:
        if name not in policies.NAMES:
            raise ScenarioError(
                f"{path}: policies: no policy {name!r}; there are {', '.join(policies.NAMES)}"
            )
    for cell in itertools.islice(cells(grid), 1):
        script_of(cell.script, cell.settings)
    for script in grid.scripts:
        for changed in changes(grid):
            script_of(script, changed)
    return grid


def changes(grid: Grid) -> list[str]:
    """Return every combination of settings, as JSON."""
    names = sorted(grid.settings)
    return [
        msgspec.json.encode(dict(zip(names, values, strict=True))).decode()
        for values in itertools.product(*(grid.settings[name] for name in names))
    ]


def script_of(name: str, changed: str) -> Scenario:
    """Return a script with settings changed. Raises ``ScenarioError``."""
    value = msgspec.to_builtins(spec.load(name))
    for key, new in msgspec.json.decode(changed).items():
        at: Any = value
        rest = key.split(".")
        for part in rest[:-1]:
            at = at.get(part) if isinstance(at, dict) else None
        if not isinstance(at, dict):
            raise ScenarioError(f"{name}: settings: no key {key!r}")
        at[rest[-1]] = new
    return spec.read_value(value, f"{name}: settings {changed}")


def cells(grid: Grid) -> Iterator[Cell]:
    """Yield every day, seed by seed, so that an interrupted run has whole pairs."""
    prints = {
        (script, changed): hashlib.sha256(
            __version__.encode() + msgspec.json.encode(script_of(script, changed))
        ).hexdigest()[:16]
        for script in grid.scripts
        for changed in changes(grid)
    }
    for seed in range(grid.first_seed, grid.first_seed + grid.seeds):
        for (script, changed), mark in prints.items():
            for policy in grid.policies:
                yield Cell(script, changed, policy, seed, mark)
