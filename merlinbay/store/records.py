"""Records of the log: versioned, checksummed, each bound to the one before it. No I/O.

The checksum of a record covers its number, its version, its body and the checksum before it: a record that is
missing, doubled, out of its place or altered does not fit. xxh3 finds accidents, not forgers: who can write
the file can write any log.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

VERSION = 1  # of the records that are written; older ones are read as long as they are named here
READ = (1,)
HEAD = struct.Struct("!QQB")  # the checksum before, number, version
START = 0  # the checksum before the first record


@dataclass(frozen=True, slots=True)
class Record:
    """One entry of the log."""

    number: int  # 1, 2, 3 ...
    version: int
    body: bytes
    checksum: int


class CorruptLogError(Exception):
    """The log is not as it was written; the text says from which record on."""


def checksum(before: int, number: int, version: int, body: bytes) -> int:
    """Return a record's checksum."""
    return xxhash.xxh3_64_intdigest(HEAD.pack(before, number, version) + body)


def chain(before: int, first: int, bodies: Iterable[bytes]) -> Iterator[Record]:
    """Make records of bodies, numbered from ``first`` on, that follow on a checksum."""
    for number, body in enumerate(bodies, first):
        before = checksum(before, number, VERSION, body)
        yield Record(number, VERSION, body, before)


def verify(before: int, first: int, records: Iterable[Record]) -> Iterator[Record]:
    """Pass records on as far as they fit. Raises ``CorruptLogError`` at the first that does not."""
    for number, record in enumerate(records, first):
        if record.number != number:
            raise CorruptLogError(f"record {number} is missing; {record.number} comes next")
        if record.version not in READ:
            raise CorruptLogError(
                f"record {number} has version {record.version}, which this program does not read"
            )
        if record.checksum != checksum(before, number, record.version, record.body):
            raise CorruptLogError(f"record {number} is not as it was written")
        before = record.checksum
        yield record
