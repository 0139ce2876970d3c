"""The state that all parts of the balancer share: the time, the settings, random numbers and the actions."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable
from random import Random

from merlinbay.decision.actions import Action
from merlinbay.decision.settings import Settings

# Fraction of the golden ratio. Its multiples modulo 1 spread any sequence of consecutive numbers evenly.
GOLDEN_FRACTION = (math.sqrt(5) - 1) / 2


class Context:
    """Owns the state that belongs to no single part. Only ``Balancer`` advances it and takes the actions."""

    def __init__(self, settings: Settings, rng: Random, now_us: int) -> None:
        self.settings = settings
        self.rng = rng
        self.now_us = now_us
        self.process_started_at_us = now_us
        self._actions: list[Action] = []

    def advance(self, now_us: int) -> None:
        """Set the present time. A clock that goes back counts as stopped."""
        self.now_us = max(self.now_us, now_us)

    def emit(self, action: Action) -> None:
        """Add an action to those that ``Balancer.handle`` returns."""
        self._actions.append(action)

    def emit_all(self, actions: Iterable[Action]) -> None:
        """Add several actions, in order."""
        self._actions.extend(actions)

    def take_actions(self) -> list[Action]:
        """Remove and return the actions added since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def set_balancer_count(self, count: int, number: int) -> None:
        """Set the number of balancers that share the work, and the number of this one."""
        self.settings = dataclasses.replace(self.settings, balancers=max(count, 1), me=number)
