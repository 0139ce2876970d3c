"""Calls of the DRMAA binding from the command line, and how it ends."""

from __future__ import annotations

import http.client
import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NoReturn
from urllib.parse import quote, urlsplit

import click

# Documented in docs/CLI.md: what a command exits with.
DONE, JOB_FAILED, TRY_LATER, TIMED_OUT, WRONG_STATE, UNKNOWN, UNREACHABLE, OTHER = 0, 3, 4, 5, 6, 7, 8, 9
EXITS = {"TryLaterException": TRY_LATER, "OutOfResourceException": TRY_LATER, "TimeoutException": TIMED_OUT,
         "InvalidStateException": WRONG_STATE, "InvalidSessionException": WRONG_STATE}


class Raised(Exception):
    """The front answered with one of the standard's exceptions."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(str(body.get("message", f"status {status}")))
        self.name = str(body.get("exception", f"HTTP {status}"))
        self.missing, self.retry_after = status == 404, body.get("retryAfter")


@dataclass
class Caller:
    """A connection to one front, and the session that is meant."""

    url: str
    session: str
    as_json: bool = False

    def path(self, *parts: str) -> str:
        """Return a path in the session."""
        start = "/drmaa2" if self.session == "default" else f"/drmaa2/sessions/{quote(self.session, '')}"
        return "/".join([start, *(quote(part, "") for part in parts)])

    def call(self, method: str, path: str, value: object = None) -> Any:
        """Have one exchange; return the answer's body. Raises ``Raised`` and ``OSError``."""
        split = urlsplit(self.url)
        connection = http.client.HTTPConnection(split.hostname or "", split.port or 80)
        try:
            connection.request(method, path, None if value is None else json.dumps(value),
                               {"content-type": "application/json"})
            answer = connection.getresponse()
            body = answer.read()
        except http.client.HTTPException as error:
            raise OSError(f"{type(error).__name__} {error}") from None
        finally:
            connection.close()
        try:
            found = json.loads(body) if body else {}
        except ValueError:
            found = {"message": body[:200].decode(errors="replace")}
        if answer.status >= 300:
            raise Raised(answer.status, found if isinstance(found, dict) else {})
        return found

    def show(self, value: object, text: str) -> None:
        """Print an answer: as it came, or for people."""
        click.echo(json.dumps(value, indent=2) if self.as_json else text)


def end_with(error: Raised | OSError) -> NoReturn:
    """Say what went wrong in one line, and exit with its code."""
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
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
                     for row in texts)
