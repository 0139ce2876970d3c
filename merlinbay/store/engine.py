"""Stores a log of records and its snapshots in one SQLite file.

One table holds the records, another the snapshots. With a write-ahead log and ``synchronous=FULL``, a commit
that has returned is on the disk. Records are never updated; ``compact`` deletes those that the older of the
two last snapshots covers. A failed write raises ``StoreWriteError``, and a file that differs from what was
written raises ``CorruptLogError``. The calls block: ``StoreLog`` runs its writes in a thread.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

from merlinbay.store.records import (
    INITIAL_CHECKSUM,
    CorruptLogError,
    LogRecord,
    chain_records,
    record_checksum,
    verify_records,
)

SCHEMA = """
CREATE TABLE IF NOT EXISTS records (number INTEGER PRIMARY KEY, version INTEGER NOT NULL, body BLOB NOT NULL,
                                    checksum BLOB NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS snapshots (number INTEGER PRIMARY KEY, checksum BLOB NOT NULL, body BLOB NOT NULL,
                                      own BLOB NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS probe (body BLOB NOT NULL) STRICT;
"""
FILE_FORMAT = 0x6D620001  # stored as SQLite's user_version; a file with another value is not opened
READ_BATCH_RECORDS = 1000
PROBE_BYTES = 256 * 1024  # written and deleted to test whether the disk has space
KEPT_SNAPSHOTS = 2  # the older one is used if the last one cannot be read


class StoreWriteError(Exception):
    """Reading or writing the file failed; no record of a failed write was acknowledged.

    The text is that of SQLite or of the operating system.
    """


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The state after all records up to ``number`` have been applied."""

    number: int  # number of the last record that the state includes
    checksum: int  # checksum of the last record that the state includes
    body: bytes


def _encode_checksum(checksum: int) -> bytes:
    return checksum.to_bytes(8, "big")


class StorageEngine:
    """An open store file; ``last_number`` and ``last_checksum`` belong to its last record."""

    def __init__(self, path: Path) -> None:
        """Open or create the file.

        Raises ``StoreWriteError``, and ``CorruptLogError`` if the file is not a log of this format.
        """
        self.path = path
        self.last_number, self.last_checksum = 0, INITIAL_CHECKSUM
        try:
            self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=1.0)
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None
        try:
            self._prepare_file()
        except sqlite3.DatabaseError as error:
            self.db.close()
            if isinstance(error, sqlite3.OperationalError):
                raise StoreWriteError(str(error)) from None
            raise CorruptLogError(str(error)) from None
        except BaseException:
            self.db.close()
            raise

    def _prepare_file(self) -> None:
        file_format = self.db.execute("PRAGMA user_version").fetchone()[0]
        if file_format not in (0, FILE_FORMAT):
            raise CorruptLogError(
                f"the file has format {file_format:#x}; this program reads {FILE_FORMAT:#x}"
            )
        if file_format == 0:
            if self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                raise CorruptLogError("the file is a database of another program")
            # Syncs the directory, so that the entry of a new file survives a power failure.
            directory_fd = os.open(self.path.parent, os.O_RDONLY)
            try:
                os.fsync(directory_fd)
            finally:
                os.close(directory_fd)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=FULL")
        if file_format == 0:
            self.db.executescript(f"BEGIN; {SCHEMA} PRAGMA user_version={FILE_FORMAT}; COMMIT;")
        self._load_last()

    def _load_last(self) -> None:
        row = self.db.execute("SELECT number, checksum FROM records ORDER BY number DESC LIMIT 1").fetchone()
        last_row = (
            row
            or self.db.execute(
                "SELECT number, checksum FROM snapshots ORDER BY number DESC LIMIT 1"
            ).fetchone()
        )
        if last_row is not None:
            self.last_number, self.last_checksum = last_row[0], int.from_bytes(last_row[1], "big")

    def append(self, bodies: list[bytes]) -> int:
        """Write all of the records or none; return the number of the last once they are on the disk.

        Raises ``StoreWriteError``.
        """
        records = list(chain_records(self.last_checksum, self.last_number + 1, bodies))
        try:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                self.db.executemany(
                    "INSERT INTO records VALUES (?, ?, ?, ?)",
                    [
                        (record.number, record.version, record.body, _encode_checksum(record.checksum))
                        for record in records
                    ],
                )
                self.db.execute("COMMIT")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None
        if records:
            self.last_number, self.last_checksum = records[-1].number, records[-1].checksum
        return self.last_number

    def probe(self) -> None:
        """Test whether the file can be written: write ``PROBE_BYTES`` and delete them.

        Raises ``StoreWriteError`` if it cannot.
        """
        try:
            self.db.execute("INSERT INTO probe VALUES (zeroblob(?))", (PROBE_BYTES,))
            self.db.execute("DELETE FROM probe")
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None

    def truncate_after(self, number: int, checksum: int) -> int:
        """Delete all records after the one with this number and checksum; return how many were deleted.

        A commit that was reported as failed may have reached the disk. Its writers were rejected, so its
        records are deleted. Raises ``CorruptLogError`` if the record with this number and checksum is not in
        the log, ``StoreWriteError`` if the deletion fails.
        """
        if self.last_number < number:
            raise CorruptLogError(f"the log ends at record {self.last_number}; {number} were acknowledged")
        snapshot_checksums = {snapshot.number: snapshot.checksum for snapshot in self.snapshots()} | {
            0: INITIAL_CHECKSUM
        }
        row = self.db.execute("SELECT checksum FROM records WHERE number = ?", (number,)).fetchone()
        if (int.from_bytes(row[0], "big") if row else snapshot_checksums.get(number)) != checksum:
            raise CorruptLogError(f"record {number} is not the one that was acknowledged")
        try:
            dropped = self.db.execute("DELETE FROM records WHERE number > ?", (number,)).rowcount
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None
        self.last_number, self.last_checksum = number, checksum
        return dropped

    def read(self, after: int = 0, checksum: int = INITIAL_CHECKSUM) -> Iterator[LogRecord]:
        """Yield the records after number ``after``, whose checksum is ``checksum``; verify each record.

        Raises ``CorruptLogError`` at the first record that does not match, ``StoreWriteError`` if reading
        fails.
        """
        yield from verify_records(checksum, after + 1, self._read_rows(after))

    def _read_rows(self, after: int) -> Iterator[LogRecord]:
        while True:
            try:
                rows = self.db.execute(
                    "SELECT number, version, body, checksum FROM records WHERE number > ?"
                    " ORDER BY number LIMIT ?",
                    (after, READ_BATCH_RECORDS),
                ).fetchall()
            except sqlite3.OperationalError as error:
                raise StoreWriteError(str(error)) from None
            except sqlite3.DatabaseError as error:
                raise CorruptLogError(str(error)) from None
            for number, version, body, checksum in rows:
                yield LogRecord(number, version, body, int.from_bytes(checksum, "big"))
            if len(rows) < READ_BATCH_RECORDS:
                return
            after = rows[-1][0]

    def snapshots(self) -> list[StoreSnapshot]:
        """Return the snapshots whose own checksum matches, the latest first."""
        rows = self.db.execute("SELECT number, checksum, body, own FROM snapshots ORDER BY number DESC")
        return [
            StoreSnapshot(number, int.from_bytes(previous, "big"), body)
            for number, previous, body, checksum in rows
            if record_checksum(int.from_bytes(previous, "big"), number, 0, body)
            == int.from_bytes(checksum, "big")
        ]

    def write_snapshot(self, body: bytes) -> None:
        """Store ``body`` as the state after the last record; earlier snapshots stay.

        Raises ``StoreWriteError``.
        """
        checksum = record_checksum(self.last_checksum, self.last_number, 0, body)
        try:
            self.db.execute(
                "INSERT OR REPLACE INTO snapshots VALUES (?, ?, ?, ?)",
                (self.last_number, _encode_checksum(self.last_checksum), body, _encode_checksum(checksum)),
            )
        except sqlite3.Error as error:
            raise StoreWriteError(str(error)) from None

    def compact(self) -> int:
        """Delete the records that the older of the two last snapshots covers, and all older snapshots.

        Return how many records were deleted; with fewer than two snapshots, none. Raises ``StoreWriteError``.
        """
        kept = self.snapshots()[:KEPT_SNAPSHOTS]
        if len(kept) < KEPT_SNAPSHOTS:
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

    def verify(self) -> tuple[int, int]:
        """Read and verify the whole file; return the numbers of the first and the last record.

        If there are no records, the first number is one above the last. Raises ``CorruptLogError``,
        ``StoreWriteError``.
        """
        try:
            result = self.db.execute("PRAGMA integrity_check").fetchone()[0]
        except sqlite3.DatabaseError as error:
            raise CorruptLogError(str(error)) from None
        if result != "ok":
            raise CorruptLogError(str(result).splitlines()[0])
        first = self.db.execute("SELECT min(number) FROM records").fetchone()[0]
        snapshots = self.snapshots()
        count = self.db.execute("SELECT count(*) FROM snapshots").fetchone()[0]
        if len(snapshots) < count:
            raise CorruptLogError(
                f"{count - len(snapshots)} of {count} snapshots do not match their checksums"
            )
        if first is None:
            return self.last_number + 1, self.last_number
        if first == 1:
            previous = INITIAL_CHECKSUM
        else:
            preceding_snapshots = [snapshot for snapshot in snapshots if snapshot.number == first - 1]
            if not preceding_snapshots:
                raise CorruptLogError(f"records begin at {first}, and no snapshot covers those before")
            previous = preceding_snapshots[0].checksum
        last = first - 1
        for record in self.read(first - 1, previous):
            last = record.number
        return first, last

    def backup(self, path: Path) -> None:
        """Copy a consistent state of the file to ``path``, even while it is being written.

        The copy gets its name only once it is complete. Raises ``StoreWriteError``.
        """
        partial = path.with_name(f"{path.name}.part")
        partial.unlink(missing_ok=True)
        try:
            with closing(sqlite3.connect(partial)) as copy:
                self.db.backup(copy, pages=256)
            with open(partial, "rb") as file:
                os.fsync(file.fileno())
            partial.replace(path)
        except (sqlite3.Error, OSError) as error:
            partial.unlink(missing_ok=True)
            raise StoreWriteError(str(error)) from None

    def close(self) -> None:
        """Close the database connection."""
        self.db.close()
