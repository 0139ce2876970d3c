"""Bearer tokens (JSON Web Tokens, HS256, by PyJWT) and the ring of keys that makes and checks them.

The ring is a file: ``{"keys":[{"kid":"k1","secret":"BASE64","until":0},...]}``. The first key makes tokens;
every key that has not ended checks them, so tokens of the key before the last go on being good for a while.
"""

from __future__ import annotations

import base64
import binascii
import os
import secrets
import stat
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import jwt
import msgspec

from merlinbay.access.grants import ANY, Grant, Scope, denied

LEAST = 32  # bytes of a secret: as long as what the hash returns (RFC 7518, 3.2)
TOKEN_MOST, CACHED = 4096, 1024
AUDIENCE = "merlinbay"


class KeyRingError(Exception):
    """The ring cannot be used; the text is one line."""


class SigningKey(msgspec.Struct, forbid_unknown_fields=True):
    """One key as the file has it."""

    kid: str
    secret: str  # base64
    until: int = 0  # Unix time, seconds, from which it checks no token; 0: none

    def raw(self) -> bytes:
        """Return the secret's bytes. Raises ``KeyRingError``."""
        try:
            found = base64.b64decode(self.secret, validate=True)
        except binascii.Error:
            raise KeyRingError(f"key {self.kid!r}: the secret is not base64") from None
        if len(found) < LEAST:
            raise KeyRingError(f"key {self.kid!r}: the secret has less than {LEAST} bytes")
        return found


class KeyRing(msgspec.Struct, forbid_unknown_fields=True):
    """The keys, the newest first."""

    keys: list[SigningKey]

    def check(self) -> None:
        """Raise ``KeyRingError`` if it cannot be used."""
        if not self.keys:
            raise KeyRingError("there is no key")
        if len({key.kid for key in self.keys}) < len(self.keys):
            raise KeyRingError("two keys have one kid")
        for key in self.keys:
            key.raw()


def load(path: Path) -> KeyRing:
    """Read a ring. Raises ``KeyRingError``."""
    try:
        with path.open("rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(1 << 20)
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            raise KeyRingError(f"{path}: others may read it (mode {stat.S_IMODE(mode):04o}); chmod 600")
        ring = msgspec.json.decode(data, type=KeyRing)
        ring.check()
    except OSError as error:
        raise KeyRingError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise KeyRingError(f"{path}: {error}") from None
    except KeyRingError as error:
        raise error if str(error).startswith(str(path)) else KeyRingError(f"{path}: {error}") from None
    return ring


def save(path: Path, ring: KeyRing) -> None:
    """Write a ring in one step: a reader finds the old one or the new one, whole."""
    ring.check()
    beside = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
    try:
        with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(ring)) + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except BaseException:
        beside.unlink(missing_ok=True)
        raise


def new_key() -> SigningKey:
    """Make a key."""
    return SigningKey(secrets.token_hex(4), base64.b64encode(secrets.token_bytes(LEAST)).decode())


def rotated(ring: KeyRing, overlap_s: int, now_s: int) -> KeyRing:
    """Put a new key first. The old first one ends after the overlap; those before it go."""
    old = msgspec.structs.replace(ring.keys[0], until=now_s + overlap_s)
    return KeyRing([new_key(), old])


def issue(ring: KeyRing, account: str, scopes: Iterable[Scope], life_s: int, now_s: int) -> str:
    """Make a token with the first key."""
    key = ring.keys[0]
    claims = {
        "sub": account,
        "aud": AUDIENCE,
        "iat": now_s,
        "exp": now_s + life_s,
        "scope": " ".join(sorted(scopes)),
        "jti": secrets.token_hex(8),
    }
    return jwt.encode(claims, key.raw(), algorithm="HS256", headers={"kid": key.kid})


@dataclass
class TokenGate:
    """Checks bearer tokens against a ring."""

    ring: KeyRing
    cache: OrderedDict[str, tuple[SigningKey, Grant]] = field(default_factory=OrderedDict)

    def use(self, ring: KeyRing) -> None:
        """Check against another ring from now on."""
        self.ring = ring
        self.cache.clear()

    def grant(self, headers: Mapping[str, str], now_us: int) -> Grant:
        """Return what the call's token allows. Raises ``DrmaaError``; never says which part was wrong."""
        kind, _, token = headers.get("authorization", "").partition(" ")
        if kind.lower() != "bearer" or not token:
            raise denied("a bearer token is needed")
        token = token.strip()
        found = self.cache.get(token)
        if found is None:
            found = self._read(token)
            # Guards against a cache that strangers fill: only good tokens are kept.
            self.cache[token] = found
            if len(self.cache) > CACHED:
                self.cache.popitem(last=False)
        key, grant = found
        if now_us >= grant.until_us or 0 < key.until * 1_000_000 <= now_us:
            raise denied("the token is not valid")
        return Grant(
            grant.account,
            grant.scopes,
            min(grant.until_us, key.until * 1_000_000) if key.until else grant.until_us,
        )

    def _read(self, token: str) -> tuple[SigningKey, Grant]:
        bad = denied("the token is not valid")
        if len(token) > TOKEN_MOST:
            raise bad
        try:
            kid = jwt.get_unverified_header(token).get("kid")
            key = next((key for key in self.ring.keys if key.kid == kid), None)
            if key is None:
                raise bad
            # The times are checked by the node's own clock, which never jumps.
            claims = jwt.decode(
                token,
                key.raw(),
                algorithms=["HS256"],
                audience=AUDIENCE,
                options={
                    "require": ["sub", "exp", "scope", "aud"],
                    "verify_exp": False,
                    "verify_iat": False,
                    "verify_nbf": False,
                },
            )
            account, until, words = claims["sub"], claims["exp"], claims["scope"]
            if not (
                isinstance(account, str)
                and account
                and isinstance(words, str)
                and isinstance(until, int)
                and 0 < until < 2**40
            ):
                raise bad
            scopes = frozenset(Scope(word) for word in words.split())
        except (jwt.PyJWTError, ValueError, TypeError, RecursionError, UnicodeError):
            raise bad from None
        return key, Grant(None if account == ANY else account, scopes, until * 1_000_000)
