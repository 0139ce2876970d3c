"""Authentication of a connection: a handshake under the fleet's keys, then frames under its own keys. No I/O.

The handshake is two sealed messages (``merlinbay.fleet.wire``) that carry a nonce each. Both sides derive one
key per direction from the nonces. A frame's tag covers its position in the stream, so that no frame can be
replayed or reordered, within the connection or on another one. A message that fails a check raises
``MessageRejectedError``. Contents are not encrypted.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from merlinbay.fleet import wire
from merlinbay.fleet.wire import Keys, MessageRejectedError

NONCE_BYTES = 16
TAG_BYTES = 16
HandshakeMessage = TypeVar("HandshakeMessage", "HandshakeHello", "HandshakeWelcome")


class HandshakeHello(msgspec.Struct, frozen=True, tag_field="k", tag="control_hello"):
    """The first message of the handshake, from the side that connects."""

    name: str
    role: str
    nonce: bytes


class HandshakeWelcome(msgspec.Struct, frozen=True, tag_field="k", tag="control_welcome"):
    """The answer of the side that accepts; ``hello_nonce`` binds it to this connection."""

    name: str
    nonce: bytes
    hello_nonce: bytes


def seal_handshake(keys: Keys, fleet: str, message: HandshakeHello | HandshakeWelcome) -> bytes:
    """Return a handshake message, encoded and sealed."""
    return wire.seal(keys, fleet, msgspec.to_builtins(message, builtin_types=(bytes,)))


def open_handshake(
    keys: Keys, fleet: str, data: bytes, kind: type[HandshakeMessage]
) -> tuple[HandshakeMessage, bytes]:
    """Return a handshake message and the key that it was signed with. Raises ``MessageRejectedError``."""
    for key in keys.keys:
        try:
            content = wire.open_sealed(Keys((key,)), fleet, data)
        except MessageRejectedError as error:
            rejection = error
            continue
        try:
            message = msgspec.convert(content, kind, builtin_types=(bytes,))
        except msgspec.ValidationError:
            raise MessageRejectedError("unexpected type of handshake message") from None
        if len(message.nonce) != NONCE_BYTES:
            raise MessageRejectedError("handshake nonce has the wrong length")
        return message, key
    raise rejection


@dataclass(slots=True)
class FrameSeal:
    """Computes and checks the tags of the frames of one direction, in their order."""

    key: bytes
    position: int = 0

    def _tag(self, payload: bytes) -> bytes:
        tag = hmac.digest(self.key, self.position.to_bytes(8, "big") + payload, "sha256")[:TAG_BYTES]
        self.position += 1
        return tag

    def seal(self, payload: bytes) -> bytes:
        """Return the content of the next frame: the tag, then the payload."""
        return self._tag(payload) + payload

    def open(self, content: bytes) -> bytes:
        """Check the tag of the next frame and return its payload. Raises ``MessageRejectedError``."""
        payload = content[TAG_BYTES:]
        if not hmac.compare_digest(self._tag(payload), content[:TAG_BYTES]):
            raise MessageRejectedError("frame has an invalid tag")
        return payload


def frame_seal(key: bytes, direction: bytes, hello_nonce: bytes, welcome_nonce: bytes) -> FrameSeal:
    """Derive the key of one direction: ``hello`` is from the side that connected, ``welcome`` is to it."""
    context = b"merlinbay control frames " + direction + hello_nonce + welcome_nonce
    return FrameSeal(hmac.digest(key, context, "sha256"))
