"""How the DRMAA parts that are on are put together."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import trio

from merlinbay.clock import Clock
from merlinbay.core.messages import Message
from merlinbay.core.values import NodeIdentity
from merlinbay.counters import Counters
from merlinbay.drmaa.front import DrmaaFront
from merlinbay.drmaa.servers import DrmaaServers, NotificationHandler
from merlinbay.drmaa.settings import DrmaaSettings
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.http.connection import Handler
from merlinbay.http.memory_budget import MemoryBudget
from merlinbay.http.pool import ConnectionPool
from merlinbay.http.routes import Routes
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

if TYPE_CHECKING:
    from merlinbay.access.tls import Handshakes
    from merlinbay.access.tokens import KeyRing, TokenGate

NOTIFICATIONS = "/drmaa2/notifications"


class DrmaaParts:
    """The front, the schedulers' notifications and the schedulers' side, as far as they are on."""

    def __init__(
        self,
        settings: DrmaaSettings,
        facts: NodeIdentity,
        inbox: trio.MemorySendChannel[Message],
        clock: Clock,
        counters: Counters,
        log: Log,
    ) -> None:
        self.settings, self.facts, self.inbox = settings, facts, inbox
        self.clock, self.counters, self.log = clock, counters, log
        self.listeners: list[Listener] = []
        self.at = f"{facts.listen[0]}:{facts.listen[1]}"
        self.tokens: TokenGate | None = None
        self.handshakes: Handshakes | None = None
        access = settings.access
        if settings.front and access.keys:
            from merlinbay.access.tokens import TokenGate  # Guards against PyJWT where nobody needs it.

            self.tokens = TokenGate(self._keys())
        elif settings.front:
            log.event("front_open", level="warning", says="everybody may do everything on the front")
        if settings.front and access.tls:
            self.handshakes = self._certificates()
        own = (facts.listen, parse_address(access.tls)) if access.tls else (facts.listen,)
        self.front = (
            DrmaaFront(
                inbox,
                clock,
                facts.limits,
                counters,
                log,
                facts.settings.classes,
                settings,
                facts.name,
                self.tokens,
                own,
            )
            if settings.front
            else None
        )
        self.notifications = NotificationHandler(inbox, counters) if settings.servers else None

    def routes(self, platform: Handler) -> Handler:
        """Return the listener's handler."""
        handlers: list[tuple[str, Handler]] = []
        if self.notifications is not None:
            handlers.append((NOTIFICATIONS, self.notifications))
        if self.front is not None and (self.handshakes is None or self.settings.access.plain):
            handlers.append(("/drmaa2", self.front))
        return Routes([*handlers, ("/", platform)]) if handlers else platform

    def _keys(self) -> KeyRing:
        from merlinbay.access.tokens import KeyRingError, load

        try:
            return load(Path(self.settings.access.keys))
        except KeyRingError as error:
            raise ConfigurationError(f"drmaa.access.keys: {error}") from None

    def _certificates(self) -> Handshakes:
        from merlinbay.access.tls import CertificateError, CertificateFiles, Handshakes

        access = self.settings.access
        try:
            return Handshakes(
                CertificateFiles(access.certificate, access.certificate_key, access.client_ca),
                access.handshakes,
                access.handshake,
                self.counters,
            )
        except CertificateError as error:
            raise ConfigurationError(f"drmaa.access.certificate: {error}") from None

    def reload(self) -> None:
        """Read keys and certificates again.

        Raises ``ConfigurationError``; what cannot be used changes nothing.
        """
        keys = self._keys() if self.tokens is not None else None
        if self.handshakes is not None:
            self.handshakes.context = self._certificates().context
        if self.tokens is not None and keys is not None:
            self.tokens.use(keys)

    async def listen(self, nursery: trio.Nursery, limits: ResourceLimits, budget: MemoryBudget) -> None:
        """Serve the front over TLS as well. Raises ``ConfigurationError``."""
        if self.handshakes is None or self.front is None:
            return
        listener = Listener(Routes([("/drmaa2", self.front)]), limits, self.counters, self.log, budget)
        listener.prepare_socket = self.handshakes
        host, port = parse_address(self.settings.access.tls)
        try:
            sock = await listener.bind(host, port)
        except OSError as error:
            raise ConfigurationError(f"cannot listen at {host}:{port}: {error.strerror}") from None
        nursery.start_soon(listener.serve, sock)
        self.listeners.append(listener)

    def close_idle(self) -> None:
        """End what stands idle on the TLS listener: the node stops."""
        for listener in self.listeners:
            listener.close_idle()

    def stop(self) -> None:
        """Tell the clients of what waits, shortly before the node refuses all."""
        if self.front is not None:
            self.front.stop()

    def start(self, nursery: trio.Nursery, pool: ConnectionPool) -> DrmaaServers | None:
        """Start what runs by itself; return the real servers' side, if it speaks the binding."""
        if self.front is not None:
            nursery.start_soon(self.front.run)
        if self.notifications is None:
            return None
        servers = self.notifications.servers = DrmaaServers(
            nursery,
            pool,
            self.inbox,
            self.clock,
            self.facts.limits,
            self.counters,
            self.log,
            f"http://{self.at}{NOTIFICATIONS}",
            self.settings.asking(),
        )
        nursery.start_soon(servers.run)
        return servers


def wire(
    settings: DrmaaSettings,
    facts: NodeIdentity,
    inbox: trio.MemorySendChannel[Message],
    clock: Clock,
    counters: Counters,
    log: Log,
) -> DrmaaParts:
    """Make the parts that the section turns on. Raises ``ConfigurationError``."""
    return DrmaaParts(settings, facts, inbox, clock, counters, log)
