"""``merlinbay operate``: one call of a node in service, at the address where operators call."""

from __future__ import annotations

import socket
import sys

import click

from merlinbay.cli.caller import OTHER, UNREACHABLE
from merlinbay.errors import ConfigurationError, parse_address

MOST = 4096  # bytes of an answer


@click.command()
@click.option("--at", envvar="MERLINBAY_ADMIN", required=True, help="The node's admin_addr, host:port.")
@click.option("--timeout", default=2.0, show_default=True, help="Seconds that the answer is waited for.")
@click.argument("call")
@click.argument("id", required=False, default="")
def operate(at: str, timeout: float, call: str, id: str) -> None:
    """Make one CALL: status, standby, active, maint-on ID, maint-off ID."""
    try:
        with socket.create_connection(parse_address(at), timeout=timeout) as sock:
            sock.sendall(f"{call} {id}".strip().encode() + b"\n")
            answer = b""
            while b"\n" not in answer and len(answer) < MOST and (more := sock.recv(MOST)):
                answer += more
    except (OSError, ConfigurationError) as error:
        click.echo(f"merlinbay: cannot reach the node at {at}: {error}", err=True)
        sys.exit(UNREACHABLE)
    text = answer.decode("utf-8", "replace").strip()
    click.echo(text)
    if not text.startswith("SUCCESS"):
        sys.exit(OTHER)
