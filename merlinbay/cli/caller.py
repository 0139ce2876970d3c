"""Calls of the DRMAA binding from the command line, and how it ends."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NoReturn

import click

from merlinbay.client.operations import Operations
from merlinbay.client.policy import DrmaaRemoteError, MayHaveRunError
from merlinbay.client.sync import Client

# Documented in docs/CLI.md: what a command exits with.
DONE, JOB_FAILED, TRY_LATER, TIMED_OUT, WRONG_STATE, UNKNOWN, UNREACHABLE, OTHER = 0, 3, 4, 5, 6, 7, 8, 9
EXITS = {
    "TryLaterException": TRY_LATER,
    "OutOfResourceException": TRY_LATER,
    "TimeoutException": TIMED_OUT,
    "InvalidStateException": WRONG_STATE,
    "InvalidSessionException": WRONG_STATE,
}


@dataclass
class Caller:
    """A connection to one front, and the session that is meant."""

    url: str
    session: str
    token: str = ""
    ca: str = ""
    certificate: str = ""
    as_json: bool = False

    def path(self, *parts: str) -> str:
        """Return a path in the session."""
        return Operations(self.session).path(*parts)

    def call(self, method: str, path: str, value: object = None, harmless: bool | None = None) -> Any:
        """Have one call; return the answer's body. Raises ``DrmaaRemoteError`` and ``OSError``."""
        with self.client() as client:
            return client.call(method, path, value, harmless)

    def client(self) -> Client:
        """Return a client of the session."""
        return Client(self.url, self.session, self.token, self.ca, self.certificate)

    def show(self, value: object, text: str) -> None:
        """Print an answer: as it came, or for people."""
        click.echo(json.dumps(value, indent=2) if self.as_json else text)


def end_with(error: DrmaaRemoteError | OSError) -> NoReturn:
    """Say what went wrong in one line, and exit with its code."""
    if isinstance(error, MayHaveRunError):
        click.echo(f"merlinbay: no answer came; it may have been carried out: {error}", err=True)
        sys.exit(UNREACHABLE)
    if isinstance(error, OSError):
        click.echo(f"merlinbay: cannot reach the front: {error}", err=True)
        sys.exit(UNREACHABLE)
    later = f"; come back in {error.retry_after:g} s" if error.retry_after else ""
    click.echo(f"merlinbay: {error.name}: {error}{later}", err=True)
    sys.exit(UNKNOWN if error.missing else EXITS.get(error.name, OTHER))


def table(rows: Iterable[Iterable[object]], heads: list[str]) -> str:
    """Return rows in columns."""
    texts = [heads, *([str("" if cell is None else cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    )
