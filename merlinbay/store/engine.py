"""The file: a log and its snapshots in SQLite. Blocking; ``log`` calls it in a thread of its own.

One table of records, one of snapshots. Write-ahead log with ``synchronous=FULL``: a commit that returns is on
the disk. Nothing is ever changed in place but by ``compact``, which drops what a snapshot holds.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

from merlinbay.store.records import START, CorruptLogError, Record, chain, verify
from merlinbay.store.records import checksum as own_of

SCHEMA = """
CREATE TABLE IF NOT EXISTS records (number INTEGER PRIMARY KEY, version INTEGER NOT NULL, body BLOB NOT NULL,
                                    checksum BLOB NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS snapshots (number INTEGER PRIMARY KEY, checksum BLOB NOT NULL, body BLOB NOT NULL,
                                      own BLOB NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS probe (body BLOB NOT NULL) STRICT;
"""
FORMAT = 0x6D620001  # SQLite's user_version: another program's file, or a later format, is refused
PART = 1000  # records read at a time
PROBE = 256 * 1024  # bytes written to see whether there is room again
KEPT = 2  # snapshots: the one before the last is there if the last cannot be read


class StoreWriteError(Exception):
    """Nothing of it is promised: it could not be written. The text says why."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after so many records."""

    number: int
    checksum: int  # of that record
    body: bytes


def _bytes(checksum: int) -> bytes:
    return checksum.to_bytes(8, "big")


class Engine:
    """One open file."""

    def __init__(self, path: Path) -> None:
        """Open it, or make it.

        Raises ``StoreWriteError``, and ``CorruptLogError`` where it is not a log of ours.
        """
        self.path = path
        self.last, self.checksum = 0, START
        try:
            self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=1.0)
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None
        try:
            self._begin()
        except sqlite3.DatabaseError as error:
            self.db.close()
            if isinstance(error, sqlite3.OperationalError):
                raise StoreWriteError(str(error)) from None
            raise CorruptLogError(str(error)) from None
        except BaseException:
            self.db.close()
            raise

    def _begin(self) -> None:
        known = self.db.execute("PRAGMA user_version").fetchone()[0]
        if known not in (0, FORMAT):
            raise CorruptLogError(f"format {known:#x}, this program reads {FORMAT:#x}")
        if known == 0:
            if self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                raise CorruptLogError("another program's file")
            # Guards against a file that is made but not yet found after a loss of power.
            folder = os.open(self.path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=FULL")
        if known == 0:
            self.db.executescript(f"BEGIN; {SCHEMA} PRAGMA user_version={FORMAT}; COMMIT;")
        row = self.db.execute("SELECT number, checksum FROM records ORDER BY number DESC LIMIT 1").fetchone()
        found = (
            row
            or self.db.execute(
                "SELECT number, checksum FROM snapshots ORDER BY number DESC LIMIT 1"
            ).fetchone()
        )
        if found is not None:
            self.last, self.checksum = found[0], int.from_bytes(found[1], "big")

    def append(self, bodies: list[bytes]) -> int:
        """Write records, all or none, and return the last one's number once they are on the disk."""
        made = list(chain(self.checksum, self.last + 1, bodies))
        try:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                self.db.executemany(
                    "INSERT INTO records VALUES (?, ?, ?, ?)",
                    [(one.number, one.version, one.body, _bytes(one.checksum)) for one in made],
                )
                self.db.execute("COMMIT")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None
        if made:
            self.last, self.checksum = made[-1].number, made[-1].checksum
        return self.last

    def probe(self) -> None:
        """Write something and take it back. Raises ``StoreWriteError``."""
        try:
            self.db.execute("INSERT INTO probe VALUES (zeroblob(?))", (PROBE,))
            self.db.execute("DELETE FROM probe")
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None

    def cut(self, number: int, checksum: int) -> int:
        """Drop what follows on a record; return how many.

        Raises ``CorruptLogError`` where that record is not there.

        Guards against records whose commit was told as failed and is on the disk all the same: nobody was
        promised them.
        """
        if self.last < number:
            raise CorruptLogError(f"it ends at record {self.last}; {number} were promised")
        known = {one.number: one.checksum for one in self.snapshots()} | {0: START}
        row = self.db.execute("SELECT checksum FROM records WHERE number = ?", (number,)).fetchone()
        if (int.from_bytes(row[0], "big") if row else known.get(number)) != checksum:
            raise CorruptLogError(f"record {number} is not the one that was promised")
        try:
            dropped = self.db.execute("DELETE FROM records WHERE number > ?", (number,)).rowcount
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None
        self.last, self.checksum = number, checksum
        return dropped

    def read(self, after: int = 0, checksum: int = START) -> Iterator[Record]:
        """Return the records after one of that checksum. Raises ``CorruptLogError``, ``StoreWriteError``."""
        yield from verify(checksum, after + 1, self._rows(after))

    def _rows(self, after: int) -> Iterator[Record]:
        while True:
            try:
                rows = self.db.execute(
                    "SELECT number, version, body, checksum FROM records WHERE number > ?"
                    " ORDER BY number LIMIT ?",
                    (after, PART),
                ).fetchall()
            except sqlite3.OperationalError as error:
                raise StoreWriteError(str(error)) from None
            except sqlite3.DatabaseError as error:
                raise CorruptLogError(str(error)) from None
            for number, version, body, own in rows:
                yield Record(number, version, body, int.from_bytes(own, "big"))
            if len(rows) < PART:
                return
            after = rows[-1][0]

    def snapshots(self) -> list[Snapshot]:
        """Return the snapshots that are as they were written, the latest first."""
        rows = self.db.execute("SELECT number, checksum, body, own FROM snapshots ORDER BY number DESC")
        return [
            Snapshot(number, int.from_bytes(before, "big"), body)
            for number, before, body, own in rows
            if own_of(int.from_bytes(before, "big"), number, 0, body) == int.from_bytes(own, "big")
        ]

    def snapshot(self, body: bytes) -> None:
        """Keep the state after the last record; the one before the last stays too.

        Raises ``StoreWriteError``.
        """
        own = own_of(self.checksum, self.last, 0, body)
        try:
            self.db.execute(
                "INSERT OR REPLACE INTO snapshots VALUES (?, ?, ?, ?)",
                (self.last, _bytes(self.checksum), body, _bytes(own)),
            )
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None

    def compact(self) -> int:
        """Drop the records that the older of two snapshots holds; return how many.

        Raises ``StoreWriteError``.
        """
        kept = self.snapshots()[:KEPT]
        if len(kept) < KEPT:
            return 0
        oldest = kept[-1].number
        try:
            self.db.execute("BEGIN IMMEDIATE")
            dropped = self.db.execute("DELETE FROM records WHERE number <= ?", (oldest,)).rowcount
            self.db.execute("DELETE FROM snapshots WHERE number < ?", (oldest,))
            self.db.execute("COMMIT")
            self.db.execute("VACUUM")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreWriteError(str(error)) from None
        return dropped

    def check(self) -> tuple[int, int]:
        """Read all of it; return the first and the last record's number.

        Raises ``CorruptLogError``, ``StoreWriteError``.
        """
        try:
            told = self.db.execute("PRAGMA integrity_check").fetchone()[0]
        except sqlite3.DatabaseError as error:
            raise CorruptLogError(str(error)) from None
        if told != "ok":
            raise CorruptLogError(str(told).splitlines()[0])
        first = self.db.execute("SELECT min(number) FROM records").fetchone()[0]
        base = self.snapshots()
        count = self.db.execute("SELECT count(*) FROM snapshots").fetchone()[0]
        if len(base) < count:
            raise CorruptLogError(f"{count - len(base)} of {count} snapshots are not as they were written")
        if first is None:
            return self.last + 1, self.last
        if first == 1:
            before = START
        else:
            fits = [one for one in base if one.number == first - 1]
            if not fits:
                raise CorruptLogError(f"records begin at {first}, and no snapshot holds those before")
            before = fits[0].checksum
        last = first - 1
        for record in self.read(first - 1, before):
            last = record.number
        return first, last

    def backup(self, path: Path) -> None:
        """Copy the file as of one moment, while it is written to. Raises ``StoreWriteError``."""
        fresh = path.with_name(f"{path.name}.part")
        fresh.unlink(missing_ok=True)
        try:
            with closing(sqlite3.connect(fresh)) as other:
                self.db.backup(other, pages=256)
            with open(fresh, "rb") as file:
                os.fsync(file.fileno())
            fresh.replace(path)
        except (sqlite3.Error, OSError) as error:
            fresh.unlink(missing_ok=True)
            raise StoreWriteError(str(error)) from None

    def close(self) -> None:
        """Close it."""
        self.db.close()
