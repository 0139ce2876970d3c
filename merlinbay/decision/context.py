"""What all parts of the balancer share: the time, the settings, the random numbers and the actions."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable
from random import Random

from merlinbay.decision.actions import Action
from merlinbay.decision.settings import Settings

# Fraction of the golden ratio: its multiples modulo 1 divide any run of balancer numbers evenly.
GOLDEN_FRACTION = (math.sqrt(5) - 1) / 2


class Context:
    """The state that belongs to no single part. Only ``Balancer`` moves it on."""

    def __init__(self, settings: Settings, rng: Random, now_us: int) -> None:
        self.settings = settings
        self.rng = rng
        self.now_us = now_us
        self.process_started_at_us = now_us
        self._actions: list[Action] = []

    def advance(self, now_us: int) -> None:
        """Move the time on. A clock that goes back stands still."""
        self.now_us = max(self.now_us, now_us)

    def emit(self, action: Action) -> None:
        """Add an action to those that ``Balancer.handle`` returns."""
        self._actions.append(action)

    def emit_all(self, actions: Iterable[Action]) -> None:
        """Add several actions, in order."""
        self._actions.extend(actions)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def set_balancer_count(self, count: int, number: int) -> None:
        """Take the number of balancers that share the work, and which of them this one is."""
        self.settings = dataclasses.replace(self.settings, balancers=max(count, 1), me=number)
