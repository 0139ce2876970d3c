"""Signatures of call-backs in the form of Standard Webhooks, version 1: HMAC-SHA256 over id, time and body.

https://www.standardwebhooks.com: headers ``webhook-id``, ``webhook-timestamp`` (seconds) and
``webhook-signature`` (``v1,BASE64``, several apart by blanks while keys are changed); keys are written
``whsec_BASE64``.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from collections import OrderedDict
from collections.abc import Iterable, Mapping

PREFIX = "whsec_"
TOLERANCE_S = 300
LEAST, MOST = 24, 64  # bytes of a key


class SignatureError(Exception):
    """A call-back that is not to be believed."""


def write_key(key: bytes) -> str:
    """Write a key."""
    return PREFIX + base64.b64encode(key).decode()


def read_key(text: str) -> bytes:
    """Read a key. Raises ``ValueError``."""
    try:
        key = base64.b64decode(text.removeprefix(PREFIX), validate=True)
    except binascii.Error:
        raise ValueError("a key is whsec_ and base64") from None
    if not LEAST <= len(key) <= MOST:
        raise ValueError(f"a key has {LEAST} to {MOST} bytes")
    return key


def signature(key: bytes, name: str, at_s: int, body: bytes) -> str:
    """Return one signature."""
    return "v1," + base64.b64encode(hmac.digest(key, f"{name}.{at_s}.".encode() + body, "sha256")).decode()


def headers(keys: Iterable[bytes], name: str, at_s: int, body: bytes) -> list[tuple[str, str]]:
    """Return the headers of a call-back: one signature with each key that is valid now."""
    return [
        ("webhook-id", name),
        ("webhook-timestamp", str(at_s)),
        ("webhook-signature", " ".join(signature(key, name, at_s, body) for key in keys)),
    ]


class Verifier:
    """What a listener does with each call-back. Knows what it saw for as long as that could be replayed."""

    def __init__(self, keys: Iterable[bytes], tolerance_s: int = TOLERANCE_S, most: int = 10_000) -> None:
        self.keys, self.tolerance_s, self.most = list(keys), tolerance_s, most
        self.seen: OrderedDict[str, int] = OrderedDict()

    def verify(self, heads: Mapping[str, str], body: bytes, now_s: int) -> bool:
        """Check a call-back. False: it was seen before, which is to be answered 200 and passed over.

        Raises ``SignatureError``.
        """
        name, stamp = heads.get("webhook-id", ""), heads.get("webhook-timestamp", "")
        given = heads.get("webhook-signature", "")
        if not name or not stamp.isdigit() or len(stamp) > 18 or not given:
            raise SignatureError("it is not signed")
        if abs(now_s - int(stamp)) > self.tolerance_s:
            raise SignatureError("its time is too far off")
        good = [signature(key, name, int(stamp), body) for key in self.keys]
        # Guards against timing: every pair is compared, and each in constant time.
        match = [
            hmac.compare_digest(one.encode(), other.encode("utf-8", "replace"))
            for one in good
            for other in given.split()[:8]
        ]
        if not any(match):
            raise SignatureError("no key of ours made the signature")
        while self.seen and (
            len(self.seen) >= self.most or next(iter(self.seen.values())) < now_s - 2 * self.tolerance_s
        ):
            self.seen.popitem(last=False)
        if name in self.seen:
            return False
        self.seen[name] = now_s
        return True
