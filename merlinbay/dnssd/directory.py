"""Queries a name server for a service's instances, again whenever the shortest TTL has expired."""

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
    """Reports the whole endpoint list after every change. A server that the list lacks is removed."""

    def __init__(
        self,
        nameserver: tuple[str, int],
        service: str,
        inbox: trio.MemorySendChannel[Message],
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.nameserver, self.service = nameserver, dns.name.from_text(service)
        self.inbox, self.limits, self.counters, self.log = inbox, limits, counters, log
        self.reported: dict[str, ServiceEntry] | None = None  # the list by server, as reported last
        self.confirm_at_s = math.inf  # then the list is reported once more: all changes count as notified
        self.reports_next = False  # the next list is reported even if nothing has changed
        self._subscribed = trio.Event()
        self._query_scope = trio.CancelScope()

    def subscribe(self, first_poll_timeout_us: int = 0) -> None:
        """Begin to query, or go on after a failure. The timeout is not used here."""
        self._subscribed.set()

    def move(self, nameserver: tuple[str, int], service: str) -> None:
        """Query at once, be it another name server or another service; the known list stays until then."""
        self.nameserver, self.service = nameserver, dns.name.from_text(service)
        self.reports_next = True
        notified_in_s = self.limits.reload_notified_in_us / 1e6 + self.limits.confirm_margin_s
        self.confirm_at_s = trio.current_time() + notified_in_s
        self._subscribed.set()
        self._query_scope.cancel()

    def is_up(self, server: str) -> bool:
        """Return whether a server is up by the list as reported last; all are, until there is one."""
        if self.reported is None:
            return True
        entry = self.reported.get(server)
        return entry is not None and entry.state == "up"

    async def run(self) -> None:
        """Query until cancelled."""
        while True:
            await self._subscribed.wait()
            self._subscribed = trio.Event()
            with trio.CancelScope() as self._query_scope:
                try:
                    while True:
                        await self._refresh()
                except (DnsQueryError, OSError, dns.exception.DNSException, trio.TooSlowError) as error:
                    # Guards against an outage that empties the list: the list as reported last stays.
                    self.counters.add("dns_failed")
                    self.log.event("dnssd_failed", level="warning", error=repr(error))
                    await trio.sleep(self.limits.dns_backoff_s)
                    self.reports_next = True
                    await self.inbox.send(EndpointListReceived("refused", failure=CallFailure.UNREACHABLE))

    async def _refresh(self) -> None:
        """Query the list, report it if it has changed, and wait until it expires."""
        listed, ttl_s = await self.query_list()
        is_confirmation = trio.current_time() >= self.confirm_at_s
        if listed != self.reported or self.reports_next or is_confirmation:
            self.reported, self.reports_next = listed, False
            if is_confirmation:
                self.confirm_at_s = math.inf
            await self.inbox.send(EndpointListReceived("all", list(listed.values())))
        self.counters.add("dns_listings")
        interval_s = min(max(ttl_s, self.limits.dns_min_interval_s), self.limits.dns_max_interval_s)
        await trio.sleep_until(min(trio.current_time() + interval_s, self.confirm_at_s))

    async def query_list(self) -> tuple[dict[str, ServiceEntry], float]:
        """Return the entries by server, and the shortest TTL of the records that they come from."""
        found, shortest = await self._query(self.service, dns.rdatatype.PTR)
        listed: dict[str, ServiceEntry] = {}
        for instance in records.instance_names(found)[: self.limits.dns_instances]:
            try:
                entry, ttl = await self._query_entry(instance)
            except records.InvalidRecordError as error:  # one invalid instance hides no other
                self.counters.add("dns_bad_instances")
                self.log.event(
                    "dnssd_instance_failed", level="warning", instance=str(instance), error=repr(error)
                )
                continue
            listed[entry.server] = entry
            shortest = min(shortest, ttl)
        return listed, float(shortest)

    async def _query_entry(self, instance: dns.name.Name) -> tuple[ServiceEntry, int]:
        """Return the entry of one instance and its shortest TTL. Raises ``InvalidRecordError``."""
        services, srv_ttl = await self._query(instance, dns.rdatatype.SRV)
        target = records.best_target(services)
        texts, txt_ttl = await self._query(instance, dns.rdatatype.TXT)
        hosts, host_ttl = await self._query(target.target, dns.rdatatype.A)
        host = records.first_address(hosts)
        entry = records.service_entry(instance, target, host, records.txt_attributes(texts))
        return entry, min(srv_ttl, txt_ttl, host_ttl)

    async def _query(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> tuple[list[object], int]:
        """Return the records of a name and their TTL. Raises ``DnsQueryError``, and errors of the network."""
        host, port = self.nameserver
        query = dns.message.make_query(name, kind)
        answer, _ = await dns.asyncquery.udp_with_fallback(
            query, host, timeout=self.limits.dns_query_timeout_s, port=port
        )
        if answer.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise DnsQueryError(f"{name}: {dns.rcode.to_text(answer.rcode())}")
        return records.records(answer, name, kind)
