"""A clause: a check, and the interface and method of GFD.194 that it is about."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from merlinbay.conformance.probe import ConformanceProbe

Check = Callable[[ConformanceProbe], None]


@dataclass(frozen=True)
class Clause:
    """One clause."""

    section: str
    text: str
    check: Check

    @property
    def name(self) -> str:
        """Return its name."""
        return self.check.__name__


class ClauseList(list[Clause]):
    """The clauses of one module, in the order of play."""

    def add(self, section: str) -> Callable[[Check], Check]:
        """Add a check by decorating it; its docstring is the clause."""

        def decorate(check: Check) -> Check:
            self.append(Clause(section, (check.__doc__ or "").strip(), check))
            return check

        return decorate
