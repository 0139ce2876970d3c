"""Asks a name server for a service's instances, again whenever the least TTL has run out."""

from __future__ import annotations

import math

import dns.asyncquery
import dns.exception
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import trio

from merlinbay.core.messages import EndpointListReceived, Message
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.events import CallFailure
from merlinbay.dnssd import records
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


class DnsQueryError(Exception):
    """The name server gave no usable answer."""


class DnsSdDirectory:
    """Tells the whole list after every change. A name that it lacks is removed."""

    def __init__(
        self,
        server: tuple[str, int],
        service: str,
        inbox: trio.MemorySendChannel[Message],
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.server, self.service = server, dns.name.from_text(service)
        self.inbox, self.limits, self.counters, self.log = inbox, limits, counters, log
        self.last: dict[str, ServiceEntry] | None = None  # what was told
        self.asked = trio.Event()
        self.watch = trio.CancelScope()
        self.confirm_at = math.inf  # then the list is told once more: all counts as notified
        self.failed = False  # or cut short: the next look that works is told, whatever it finds

    def subscribe(self, first_poll_timeout_us: int = 0) -> None:
        """Begin to ask, or go on after a failure."""
        self.asked.set()

    def move(self, server: tuple[str, int], service: str) -> None:
        """Ask at once, be it another name server or for another service; what is known stays until then."""
        self.server, self.service = server, dns.name.from_text(service)
        self.failed = True
        told_s = self.limits.reload_notified_in_us / 1e6 + self.limits.confirm_margin_s
        self.confirm_at = trio.current_time() + told_s
        self.asked.set()
        self.watch.cancel()

    def is_up(self, server: str) -> bool:
        """Tell whether a real server is up by what was heard last; all are, until something was."""
        entry = self.last.get(server) if self.last is not None else None
        return self.last is None or (entry is not None and entry.state == "up")

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await self.asked.wait()
            self.asked = trio.Event()
            with trio.CancelScope() as self.watch:
                try:
                    while True:
                        listed, ttl = await self.look()
                        due = trio.current_time() >= self.confirm_at
                        if listed != self.last or self.failed or due:
                            self.last, self.failed = listed, False
                            self.confirm_at = math.inf if due else self.confirm_at
                            await self.inbox.send(EndpointListReceived("all", list(listed.values())))
                        self.counters.add("dns_listings")
                        wait = min(max(ttl, self.limits.dns_min_interval_s), self.limits.dns_max_interval_s)
                        until = min(trio.current_time() + wait, self.confirm_at)
                        await trio.sleep_until(until)
                except (DnsQueryError, OSError, dns.exception.DNSException, trio.TooSlowError) as error:
                    # Guards against an outage that empties the list: what was heard last still stands.
                    self.counters.add("dns_failed")
                    self.log.event("dnssd_failed", level="warning", error=repr(error))
                    await trio.sleep(self.limits.dns_backoff_s)
                    self.failed = True
                    await self.inbox.send(EndpointListReceived("refused", failure=CallFailure.UNREACHABLE))

    async def look(self) -> tuple[dict[str, ServiceEntry], float]:
        """Return the entries by name, and the least TTL of all that they rest on."""
        found, least = await self._query(self.service, dns.rdatatype.PTR)
        listed: dict[str, ServiceEntry] = {}
        for instance in records.instances(found)[: self.limits.dns_instances]:
            try:
                services, srv_ttl = await self._query(instance, dns.rdatatype.SRV)
                target = records.best_target(services)
                texts, txt_ttl = await self._query(instance, dns.rdatatype.TXT)
                hosts, host_ttl = await self._query(target.target, dns.rdatatype.A)
                entry = records.entry(instance, target, records.address(hosts), records.attributes(texts))
            except records.InvalidRecordError as error:  # one bad instance hides no other
                self.counters.add("dns_bad_instances")
                self.log.event(
                    "dnssd_instance_failed", level="warning", instance=str(instance), error=repr(error)
                )
                continue
            listed[entry.server] = entry
            least = min(least, srv_ttl, txt_ttl, host_ttl)
        return listed, float(least)

    async def _query(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> tuple[list[object], int]:
        host, port = self.server
        query = dns.message.make_query(name, kind)
        answer, _ = await dns.asyncquery.udp_with_fallback(
            query, host, timeout=self.limits.dns_query_timeout_s, port=port
        )
        if answer.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise DnsQueryError(f"{name}: {dns.rcode.to_text(answer.rcode())}")
        return records.records(answer, name, kind)
