"""``merlinbay store``: verify, dump, back up, restore and compact a store's file."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click

from merlinbay.cli.caller import JOB_FAILED, OTHER, UNKNOWN

if TYPE_CHECKING:
    from merlinbay.store.engine import StorageEngine

FILE = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))


@contextmanager
def opened(file: Path) -> Iterator[StorageEngine]:
    """Open an existing file; exit with one line if that fails or the file is corrupt."""
    from merlinbay.store.engine import StorageEngine, StoreWriteError
    from merlinbay.store.records import CorruptLogError

    if not file.exists():
        click.echo(f"merlinbay: {file}: no such file", err=True)
        sys.exit(UNKNOWN)
    try:
        engine = StorageEngine(file)
        try:
            yield engine
        finally:
            engine.close()
    except CorruptLogError as error:
        click.echo(f"merlinbay: {file}: {error}", err=True)
        sys.exit(JOB_FAILED)
    except StoreWriteError as error:
        click.echo(f"merlinbay: {file}: {error}", err=True)
        sys.exit(OTHER)


@click.group()
def store() -> None:
    """Look after the file that a node keeps its promises in."""


@store.command()
@FILE
def check(file: Path) -> None:
    """Read all of it: every record and snapshot as it was written, none missing. Exit 3: not so."""
    with opened(file) as engine:
        first, last = engine.verify()
        click.echo(
            f"records {first} to {last}, snapshots at "
            f"{', '.join(str(one.number) for one in engine.snapshots()) or 'none'}: all as written"
        )


@store.command()
@FILE
@click.option("--after", default=0, help="Only what follows on this record.")
def dump(file: Path, after: int) -> None:
    """Print the records, a line of JSON each."""
    with opened(file) as engine:
        first, _ = engine.verify()
        base = {one.number: one.checksum for one in engine.snapshots()}
        for record in engine.read(first - 1, base.get(first - 1, 0)):
            if record.number > after:
                click.echo(
                    json.dumps(
                        {
                            "number": record.number,
                            "version": record.version,
                            "body": record.body.decode("utf-8", "backslashreplace"),
                        }
                    )
                )


@store.command()
@FILE
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
def backup(file: Path, to: Path) -> None:
    """Copy it as of one moment, while a node writes to it."""
    with opened(file) as engine:
        engine.backup(to)
    with opened(to) as copy:
        click.echo(f"{to}: records to {copy.verify()[1]}")


@store.command()
@click.argument("copy", type=click.Path(dir_okay=False, path_type=Path))
@FILE
def restore(copy: Path, file: Path) -> None:
    """Put a copy where no file is; it is read to its end first."""
    if file.exists():
        click.echo(f"merlinbay: {file} is there; move it away first", err=True)
        sys.exit(OTHER)
    with opened(copy) as engine:
        last = engine.verify()[1]
        engine.backup(file)
    click.echo(f"{file}: records to {last}")


@store.command()
@FILE
def compact(file: Path) -> None:
    """Drop the records that two snapshots hold."""
    with opened(file) as engine:
        engine.verify()
        before = file.stat().st_size
        dropped = engine.compact()
    click.echo(f"{dropped} records dropped, {before - file.stat().st_size:,} bytes")
