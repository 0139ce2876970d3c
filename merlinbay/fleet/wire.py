"""The encoding of datagrams and frames: MessagePack, authenticated by an HMAC. No I/O.

The layout is ``MB`` | version | length of the fleet's name, the name | 16 bytes of HMAC-SHA256 | MessagePack.
The HMAC covers all other parts. During a key rotation two keys are valid: the first signs, both verify. A
message that is malformed, not authentic, or of another fleet raises ``MessageRejectedError``.
"""

from __future__ import annotations

import base64
import hmac
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

NEWEST_VERSION, OLDEST_VERSION = 1, 1  # protocol versions that this program supports
MAGIC = b"MB"
HMAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1300  # fits into the usual path MTU, so that datagrams are not fragmented
MAX_FRAME_BYTES = 4 * 1024 * 1024  # limit for a frame on a stream

pack = msgspec.msgpack.encode
_unpack = msgspec.msgpack.Decoder().decode


class MessageRejectedError(Exception):
    """A received message is malformed, not authentic, or of another fleet. The text gives the reason."""


@dataclass(frozen=True)
class Keys:
    """The keys of a fleet: the first signs, all verify."""

    keys: tuple[bytes, ...]

    @staticmethod
    def load(path: str) -> Keys:
        """Read a file with one base64 line per key. Raises ``ValueError`` with the file and the cause."""
        try:
            lines = [line.strip() for line in Path(path).read_text().splitlines()]
            keys = tuple(base64.b64decode(line, validate=True) for line in lines if line and line[0] != "#")
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from None
        except ValueError:
            raise ValueError(f"{path}: each key must be one line of base64") from None
        if not 1 <= len(keys) <= 2 or any(len(key) < 16 for key in keys):
            raise ValueError(f"{path}: the file must have one or two keys of at least 16 bytes")
        return Keys(keys)


def _sign(key: bytes, head: bytes, body: bytes) -> bytes:
    return hmac.digest(key, head + body, "sha256")[:HMAC_BYTES]


def seal(keys: Keys, fleet: str, message: dict[str, Any]) -> bytes:
    """Encode and sign a message."""
    name, body = fleet.encode(), pack(message)
    head = MAGIC + bytes([NEWEST_VERSION, len(name)]) + name
    return head + _sign(keys.keys[0], head, body) + body


def open_sealed(keys: Keys, fleet: str, data: bytes) -> dict[str, Any]:
    """Verify and decode a message. Raises ``MessageRejectedError``."""
    if len(data) < 4 + HMAC_BYTES or data[:2] != MAGIC:
        raise MessageRejectedError("not a message of this protocol")
    if data[2] < OLDEST_VERSION:
        raise MessageRejectedError(f"version {data[2]} is not supported; {OLDEST_VERSION} is the oldest one")
    end = 4 + data[3]
    head, signature, body = data[:end], data[end : end + HMAC_BYTES], data[end + HMAC_BYTES :]
    if head[4:] != fleet.encode():
        raise MessageRejectedError(f"the message is of fleet {head[4:].decode(errors='replace')!r}")
    if not any(hmac.compare_digest(signature, _sign(key, head, body)) for key in keys.keys):
        raise MessageRejectedError("the signature is of no key of this fleet")
    try:
        message = _unpack(body)
    except (msgspec.DecodeError, RecursionError):
        raise MessageRejectedError("the signature is valid, but the content is not MessagePack") from None
    if not isinstance(message, dict) or not isinstance(message.get("k"), str):
        raise MessageRejectedError("the content is not a map with a message kind")
    return message
