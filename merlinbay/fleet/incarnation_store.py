"""The files in a node's data folder: start counter (for incarnations), disk id, and acceptor state.

They are read at the start of the node, and the acceptor state is written before each vote. Each file is
replaced atomically. Errors of the file system are raised as ``OSError``.
"""

from __future__ import annotations

import os
import secrets
from pathlib import Path

import msgspec

from merlinbay.fleet.epochs import AcceptorState

REFUTATION_BITS = 16  # lower bits of an incarnation, which refutations count up within one start


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file durably and atomically. Raises ``OSError``."""
    new = path.with_suffix(".new")
    descriptor = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.write(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(new, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def next_incarnation(folder: str, unix_s: float) -> int:
    """Return the first incarnation of this start, by the counter on disk, or without a folder by the clock.

    The lower bits are left for refutations. If the counter was lost or the clock stepped back, the
    incarnation is too low. The node then learns the higher one by its first push/pull and goes above it.
    Raises ``OSError``.
    """
    if not folder:
        return max(int(unix_s), 1) << REFUTATION_BITS
    path = Path(folder) / "boots"
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        last = int(path.read_text()) if path.exists() else 0
    except ValueError:  # The file was not written by this program.
        last = 0
    write_atomically(path, str(last + 1).encode())
    return (last + 1) << REFUTATION_BITS


def disk_id(folder: str) -> str:
    """Return the id of a data folder, which is drawn at random on its first use. Raises ``OSError``."""
    path = Path(folder) / "disk"
    if not path.exists():
        write_atomically(path, secrets.token_hex(8).encode())
    return path.read_text().strip()


def load_acceptor(path: Path) -> AcceptorState | None:
    """Return the stored acceptor state, or None if there is none.

    Raises ``OSError`` if the file cannot be read, and ``ValueError`` if it is malformed.
    """
    return msgspec.json.decode(path.read_bytes(), type=AcceptorState) if path.exists() else None


def store_acceptor(path: Path, state: AcceptorState) -> None:
    """Store the acceptor state. Raises ``OSError``."""
    write_atomically(path, msgspec.json.encode(state))
