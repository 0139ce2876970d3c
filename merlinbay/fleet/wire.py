"""Datagrams and frames: MessagePack under an HMAC. No I/O.

``MB`` | version | length of the fleet's name, the name | 16 bytes of HMAC-SHA256 | MessagePack. The HMAC
covers all but itself.
Two keys may be valid while one takes the place of the other: the first signs, both are believed.
"""

from __future__ import annotations

import base64
import hmac
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

VERSION, OLDEST = 1, 1  # of the protocol: spoken, and still understood
MAGIC, TAG = b"MB", 16
DATAGRAM = 1300  # bytes at the most: no packet is cut up on the way
FRAME = 4 * 1024 * 1024  # of a frame on a stream

pack = msgspec.msgpack.encode
_unpack = msgspec.msgpack.Decoder().decode


class MessageRejectedError(Exception):
    """What came is not for us; the text says why in a few words."""


@dataclass(frozen=True)
class Keys:
    """The fleet's keys: the first signs."""

    keys: tuple[bytes, ...]

    @staticmethod
    def load(path: str) -> Keys:
        """Read a file of keys. Raises ``ValueError`` with one line."""
        try:
            lines = [line.strip() for line in Path(path).read_text().splitlines()]
            keys = tuple(base64.b64decode(line, validate=True) for line in lines if line and line[0] != "#")
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from None
        except ValueError:
            raise ValueError(f"{path}: a key is a line of base64") from None
        if not 1 <= len(keys) <= 2 or any(len(key) < 16 for key in keys):
            raise ValueError(f"{path}: one or two keys of 16 bytes and more")
        return Keys(keys)


def _sign(key: bytes, head: bytes, body: bytes) -> bytes:
    return hmac.digest(key, head + body, "sha256")[:TAG]


def seal(keys: Keys, fleet: str, message: dict[str, Any]) -> bytes:
    """Write a message."""
    name, body = fleet.encode(), pack(message)
    head = MAGIC + bytes([VERSION, len(name)]) + name
    return head + _sign(keys.keys[0], head, body) + body


def open_sealed(keys: Keys, fleet: str, data: bytes) -> dict[str, Any]:
    """Read a message. Raises ``MessageRejectedError``."""
    if len(data) < 4 + TAG or data[:2] != MAGIC:
        raise MessageRejectedError("garbage")
    if data[2] < OLDEST:
        raise MessageRejectedError(f"version {data[2]}, {OLDEST} is the oldest that is understood")
    end = 4 + data[3]
    head, tag, body = data[:end], data[end : end + TAG], data[end + TAG :]
    if head[4:] != fleet.encode():
        raise MessageRejectedError(f"of fleet {head[4:].decode(errors='replace')!r}")
    if not any(hmac.compare_digest(tag, _sign(key, head, body)) for key in keys.keys):
        raise MessageRejectedError("key")
    try:
        message = _unpack(body)
    except (msgspec.DecodeError, RecursionError):
        raise MessageRejectedError("garbage under a good key") from None
    if not isinstance(message, dict) or not isinstance(message.get("k"), str):
        raise MessageRejectedError("no message")
    return message
