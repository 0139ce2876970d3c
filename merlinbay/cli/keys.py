"""``merlinbay keys`` and ``merlinbay tls``: make, rotate and look at what the front checks callers by."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import NoReturn

import click

from merlinbay.access.grants import ANY, Scope
from merlinbay.access.tokens import KeyRing, KeyRingError, issue, load, new_key, rotated, save
from merlinbay.cli.caller import table

PATH = click.Path(path_type=Path, dir_okay=False)


def stop(error: Exception) -> NoReturn:
    """Say what is wrong in one line; nothing was changed."""
    click.echo(f"merlinbay: {error}", err=True)
    sys.exit(2)


def ring_of(path: Path) -> KeyRing:
    """Read a ring, or end."""
    try:
        return load(path)
    except KeyRingError as error:
        stop(error)


@click.group()
def keys() -> None:
    """Make and rotate the keys of tokens, and make tokens."""


@keys.command("new")
@click.argument("file", type=PATH)
def new_ring(file: Path) -> None:
    """Make FILE with one key, readable by you alone."""
    if file.exists():
        stop(KeyRingError(f"{file}: exists; rotate it instead"))
    try:
        save(file, KeyRing([new_key()]))
    except OSError as error:
        stop(KeyRingError(f"{file}: {error.strerror}"))
    click.echo(f"{file}: 1 key")


@keys.command()
@click.argument("file", type=PATH)
@click.option(
    "--overlap",
    default=86_400,
    show_default=True,
    type=click.IntRange(0),
    help="Seconds for which the old key's tokens stay good.",
)
def rotate(file: Path, overlap: int) -> None:
    """Put a new key first. Then send the node SIGHUP."""
    ring = rotated(ring_of(file), overlap, int(time.time()))
    save(file, ring)
    click.echo(f"{file}: {ring.keys[0].kid} signs; {ring.keys[1].kid} checks for {overlap} s more")


@keys.command("list")
@click.argument("file", type=PATH)
def list_keys(file: Path) -> None:
    """List the keys by their ids, never the secrets."""
    now = int(time.time())
    rows = []
    for number, key in enumerate(ring_of(file).keys):
        use = "signs and checks" if number == 0 else "checks"
        rows.append((key.kid, "has ended" if 0 < key.until <= now else use, max(key.until - now, 0) or ""))
    click.echo(table(rows, ["KEY", "USE", "SECONDS LEFT"]))


@keys.command()
@click.argument("file", type=PATH)
@click.option("--account", required=True, help=f"Whose jobs it is for; {ANY!r}: an operator's, for all.")
@click.option(
    "--scope",
    "scopes",
    multiple=True,
    type=click.Choice([scope.value for scope in Scope]),
    help="Repeatable; all by default.",
)
@click.option("--life", default=86_400, show_default=True, type=click.IntRange(1), help="Seconds.")
def token(file: Path, account: str, scopes: tuple[str, ...], life: int) -> None:
    """Print a token, signed by the first key of FILE."""
    click.echo(
        issue(
            ring_of(file), account, [Scope(scope) for scope in scopes] or list(Scope), life, int(time.time())
        )
    )


@click.group()
def tls() -> None:
    """Make certificates for the front: an authority of your own, and what it signs."""


def write(path: Path, data: bytes) -> None:
    """Write a file that only its owner may read, in one step."""
    beside = path.with_name(f".{path.name}.new")
    with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
    os.replace(beside, path)


@tls.command("new")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.option("--name", "names", multiple=True, required=True, help="Host name or address; repeatable.")
def new_authority(folder: Path, names: tuple[str, ...]) -> None:
    """Make an authority in FOLDER, and a server's certificate of it."""
    import trustme  # Guards against a slow command line: it brings the cryptography library.

    if (folder / "ca.key").exists():
        stop(KeyRingError(f"{folder}: has an authority; rotate its certificate instead"))
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    ca = trustme.CA()
    write(folder / "ca.pem", ca.cert_pem.bytes())
    write(folder / "ca.key", ca.private_key_pem.bytes())
    server(folder, ca, names)


def server(folder: Path, ca: object, names: tuple[str, ...]) -> None:
    """Write a server's certificate and key; a reload between the two fails, and keeps what it has."""
    import trustme

    assert isinstance(ca, trustme.CA)
    made = ca.issue_cert(*names)
    write(folder / "server.key", made.private_key_pem.bytes())
    write(folder / "server.pem", b"".join(part.bytes() for part in made.cert_chain_pems))
    click.echo(f"{folder}: server.pem for {', '.join(names)}; clients trust ca.pem")


@tls.command("rotate")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--name", "names", multiple=True, required=True, help="Host name or address; repeatable.")
def rotate_certificate(folder: Path, names: tuple[str, ...]) -> None:
    """Make the server's certificate anew, of the same authority. Then send the node SIGHUP."""
    server(folder, authority(folder), names)


@tls.command("client")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.argument("name")
def client_certificate(folder: Path, name: str) -> None:
    """Make a client's certificate, for fronts with client_ca."""
    import trustme

    ca = authority(folder)
    assert isinstance(ca, trustme.CA)
    made = ca.issue_cert(common_name=name)
    write(folder / f"{name}.pem", made.private_key_and_cert_chain_pem.bytes())
    click.echo(f"{folder}: {name}.pem, with its key")


def authority(folder: Path) -> object:
    """Read the authority back, or end."""
    import trustme

    try:
        return trustme.CA.from_pem((folder / "ca.pem").read_bytes(), (folder / "ca.key").read_bytes())
    except (OSError, ValueError) as error:
        stop(KeyRingError(f"{folder}: no authority: {error}"))
