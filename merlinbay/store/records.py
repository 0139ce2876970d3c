"""Makes and verifies the records of the log, each versioned and checksummed. No I/O.

The checksum of a record covers its number, its version, its body and the checksum of the record before it. A
record that is missing, duplicated, out of order or altered therefore does not match. xxh3 detects accidental
damage, not forgery: whoever can write the file can write any log.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

RECORD_VERSION = 1  # version of newly written records
READABLE_VERSIONS = (1,)
CHECKSUM_HEADER = struct.Struct("!QQB")  # previous checksum, number, version
INITIAL_CHECKSUM = 0  # the previous checksum of the first record


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of the log."""

    number: int  # position in the log, counted from 1
    version: int  # version of the record format
    body: bytes
    checksum: int  # covers this record and the previous checksum


class CorruptLogError(Exception):
    """The log differs from what was written; the text says where, as far as that is known."""


def record_checksum(previous: int, number: int, version: int, body: bytes) -> int:
    """Return the checksum of a record; ``previous`` is the checksum of the record before it."""
    return xxhash.xxh3_64_intdigest(CHECKSUM_HEADER.pack(previous, number, version) + body)


def chain_records(previous: int, first: int, bodies: Iterable[bytes]) -> Iterator[LogRecord]:
    """Yield records made from bodies, numbered from ``first``.

    ``previous`` is the checksum of the record before them.
    """
    for number, body in enumerate(bodies, first):
        previous = record_checksum(previous, number, RECORD_VERSION, body)
        yield LogRecord(number, RECORD_VERSION, body, previous)


def verify_records(previous: int, first: int, records: Iterable[LogRecord]) -> Iterator[LogRecord]:
    """Yield records while their numbers, versions and checksums match.

    Raises ``CorruptLogError`` at the first record that does not match.
    """
    for number, record in enumerate(records, first):
        if record.number != number:
            raise CorruptLogError(f"record {number} is missing; the next record is {record.number}")
        if record.version not in READABLE_VERSIONS:
            raise CorruptLogError(
                f"record {number} has version {record.version}, which this program does not read"
            )
        if record.checksum != record_checksum(previous, number, record.version, record.body):
            raise CorruptLogError(f"record {number} does not match its checksum")
        previous = record.checksum
        yield record
