"""Rules against repeated attempts broken one at a time, for ``python -m bench.duplicates mutants``.

Each mutant replaces a method or a value of the node while cases are played; the node itself is not changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

ENDLESS_US = 10**12


@dataclass(frozen=True)
class Mutant:
    """A broken rule: what is replaced by what."""

    name: str
    patches: tuple[tuple[Any, str, Any], ...]

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Break the rule within the block."""
        with ExitStack() as stack:
            for target, attribute, replacement in self.patches:
                stack.enter_context(patch.object(target, attribute, replacement))
            yield


MUTANTS: tuple[Mutant, ...] = ()
