"""What a caller may do and see. No I/O.

An account's caller sees its own jobs; of any other it gets the very answer that it gets where there is none.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.timers import NEVER

ANY = "*"  # the account of an operator's token


class Scope(StrEnum):
    """What tokens allow."""

    SUBMIT = "submit"  # jobs, arrays, sessions and reservations
    CONTROL = "control"  # hold, release, suspend, resume, terminate, reap
    MONITOR = "monitor"  # look, wait, and be told


@dataclass(frozen=True, slots=True)
class Grant:
    """What one call may do."""

    account: str | None = None  # None: all accounts
    scopes: frozenset[Scope] = frozenset(Scope)
    until_us: int = NEVER

    def sees(self, account: str | None) -> bool:
        """Tell whether what belongs to an account may be seen; None belongs to everybody."""
        return self.account is None or account is None or self.account == account

    def need(self, scope: Scope) -> None:
        """Raise ``DrmaaError`` unless the scope is granted."""
        if scope not in self.scopes:
            raise DrmaaError("DeniedByDrmsException", f"the token lacks the scope {scope.value!r}")

    def need_all(self) -> None:
        """Raise ``DrmaaError`` unless all accounts are granted."""
        if self.account is not None:
            raise DrmaaError("DeniedByDrmsException", "this is for the operator's tokens")


OPEN = Grant()


class Gate(Protocol):
    """Tells who calls."""

    def grant(self, headers: Mapping[str, str], now_us: int) -> Grant:
        """Return what a call may do. Raises ``DrmaaError``."""


class OpenGate:
    """Lets everybody do everything."""

    def grant(self, headers: Mapping[str, str], now_us: int) -> Grant:
        """Return all."""
        return OPEN


def denied(message: str) -> DrmaaError:
    """Say that nobody known calls."""
    return DrmaaError("DeniedByDrmsException", message, nobody=True)
