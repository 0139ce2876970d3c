"""What both drivers share: how httpx is set up, and what its exceptions mean."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

import httpx

from merlinbay.client.operations import Ask, Failed
from merlinbay.client.policy import Fault

NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)


@dataclass(frozen=True)
class Door:
    """Where the front is, and what is shown there."""

    url: str
    token: str = ""
    ca: str = ""  # PEM: who signs its certificate
    certificate: str = ""  # PEM with key: ours

    def verify(self) -> ssl.SSLContext | bool:
        """Return what its certificate is checked by. Raises ``OSError``."""
        if not self.url.startswith("https:"):
            return True
        context = ssl.create_default_context(cafile=self.ca or None)
        if self.certificate:
            context.load_cert_chain(self.certificate)
        return context

    def headers(self) -> dict[str, str]:
        """Return the headers of every call."""
        found = {"content-type": "application/json"}
        if self.token:
            found["authorization"] = f"Bearer {self.token}"
        return found


def timeout_of(ask: Ask) -> httpx.Timeout:
    """Return the time-outs of one exchange."""
    return httpx.Timeout(ask.timeout, connect=min(ask.timeout, 5.0))


def failed(error: httpx.HTTPError | httpx.InvalidURL) -> Failed:
    """Say what an exception of httpx means for the call."""
    text = f"{type(error).__name__} {error}".strip()
    return Failed(Fault.NOT_SENT if isinstance(error, NOT_SENT) else Fault.LOST, text)
