"""What a node keeps on disk: the boot counter, and what it has promised about epochs."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

import msgspec

from merlinbay.fleet.epochs import Kept


def write_safely(path: Path, data: bytes) -> None:
    """Put a file in the place of the old one, whole or not at all. Raises ``OSError``."""
    fresh = path.with_suffix(".new")
    descriptor = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.write(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def next_boot(folder: str, unix_s: float) -> int:
    """Return the incarnation of this start: counted on disk, or by the clock where there is none.

    Sixteen bits are left for refutations within one life. A counter that was lost, or a clock that stepped
    back, gives too low a one: the fleet tells so at the first exchange, and the node goes above it.
    """
    if not folder:
        return max(int(unix_s), 1) << 16
    path = Path(folder) / "boots"
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        last = int(path.read_text()) if path.exists() else 0
    except ValueError:  # half written by something else than us: start over
        last = 0
    write_safely(path, str(last + 1).encode())
    return (last + 1) << 16


def disk_of(folder: str) -> str:
    """Return what this folder was named when it was made; a new one is named now. Raises ``OSError``."""
    path = Path(folder) / "disk"
    if not path.exists():
        write_safely(path, secrets.token_hex(8).encode())
    return path.read_text().strip()


def load_kept(path: Path) -> Kept | None:
    """Read what was promised; None: nothing was. Raises ``OSError`` and ``ValueError``."""
    return msgspec.json.decode(path.read_bytes(), type=Kept) if path.exists() else None


def store_kept(path: Path, kept: Kept) -> None:
    """Keep what is about to be promised. Raises ``OSError``."""
    write_safely(path, msgspec.json.encode(kept))
