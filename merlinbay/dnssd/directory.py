"""Reads the endpoint list of a service from a name server, by DNS-SD (RFC 6763).

The list is queried again whenever the shortest TTL of its records has expired, within the bounds that
``ResourceLimits`` sets, and reported to the inbox when it has changed. A failed query leaves the reported
list as it is and is reported too; querying resumes at the next ``subscribe`` or ``move``. An instance with
invalid records is left out.
"""

from __future__ import annotations

import math

import dns.name
import dns.rdatatype
import trio

from merlinbay.core.messages import EndpointListReceived, Message
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision.events import CallFailure
from merlinbay.dnssd import records
from merlinbay.dnssd.name_server import DnsQueryError, NameServer, QueryAnswer
from merlinbay.dnssd.shared_hosts import ServerList, merge_by_address
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

MAX_ALIASES_LOGGED = 4


class DnsSdDirectory:
    """Reports the whole endpoint list after every change. A server that is not in the list is removed."""

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
        self.reported: ServerList | None = None  # the last reported list
        # Time at which the list is reported once more, because all changes count as notified by then.
        self.confirm_at_s = math.inf
        self.reports_next = False  # the next list is reported even if nothing has changed
        self._subscribed = trio.Event()
        self._query_scope = trio.CancelScope()

    def subscribe(self, first_poll_timeout_us: int = 0) -> None:
        """Start querying, or resume after a failure. The timeout is not used for DNS queries."""
        self._subscribed.set()

    def move(self, nameserver: tuple[str, int], service: str) -> None:
        """Set the name server and the service and query at once; the reported list stays until the answer.

        The list is reported even if it is unchanged, and once more after the time by which all changes count
        as notified.
        """
        self.nameserver, self.service = nameserver, dns.name.from_text(service)
        self.reports_next = True
        notified_in_s = self.limits.reload_notified_in_us / 1e6 + self.limits.confirm_margin_s
        self.confirm_at_s = trio.current_time() + notified_in_s
        self._subscribed.set()
        self._query_scope.cancel()

    def is_up(self, server: str) -> bool:
        """Return whether a server is up in the last reported list; before the first list, all are."""
        if self.reported is None:
            return True
        entry = self.reported.entries.get(server)
        return entry is not None and entry.state == "up"

    async def run(self) -> None:
        """Query until cancelled; wait for ``subscribe`` or ``move`` at the start and after a failure."""
        while True:
            await self._subscribed.wait()
            self._subscribed = trio.Event()
            with trio.CancelScope() as self._query_scope:
                try:
                    while True:
                        await self._refresh()
                except DnsQueryError as error:
                    # Keeps the last reported list, so that an outage does not empty it.
                    self.counters.add("dns_failed")
                    self.log.event("dnssd_failed", level="warning", error=repr(error))
                    await trio.sleep(self.limits.dns_backoff_s)
                    self.reports_next = True
                    await self.inbox.send(EndpointListReceived("refused", failure=CallFailure.UNREACHABLE))

    async def _refresh(self) -> None:
        """Query the list, report it if it has changed or a report is due, and wait until it expires."""
        listed, ttl_s = await self.query_list()
        is_confirmation = trio.current_time() >= self.confirm_at_s
        if listed != self.reported or self.reports_next or is_confirmation:
            self._log_aliases(listed)
            self.reported, self.reports_next = listed, False
            if is_confirmation:
                self.confirm_at_s = math.inf
            entries = list(listed.entries.values())
            await self.inbox.send(
                EndpointListReceived("all", entries, identifies_by_address=True, aliases=listed.aliases)
            )
        self.counters.add("dns_listings")
        interval_s = min(max(ttl_s, self.limits.dns_min_interval_s), self.limits.dns_max_interval_s)
        await trio.sleep_until(min(trio.current_time() + interval_s, self.confirm_at_s))

    def _log_aliases(self, listed: ServerList) -> None:
        """Log the instances that name a server which has its name from another instance, once they change."""
        if listed.aliases != (self.reported.aliases if self.reported is not None else {}):
            first = list(listed.aliases.items())[:MAX_ALIASES_LOGGED]
            names = ",".join(f"{alias!a}={server!a}" for alias, server in first)
            self.log.event("dnssd_aliases", level="warning", number=len(listed.aliases), first=names)

    async def query_list(self) -> tuple[ServerList, float]:
        """Return the servers, and the shortest TTL of the records that they were read from.

        Raises ``DnsQueryError``.
        """
        host, port = self.nameserver
        name_server = NameServer(host, port, self.limits.dns_query_timeout_s)
        pointers, shortest_ttl = await name_server.query(self.service, dns.rdatatype.PTR)
        listed: dict[str, ServiceEntry] = {}
        host_answers: dict[dns.name.Name, QueryAnswer] = {}
        for instance in records.instance_names(pointers)[: self.limits.dns_instances]:
            try:
                entry, ttl = await self._query_entry(name_server, instance, host_answers)
            except records.InvalidRecordError as error:  # the other instances stay listed
                self.counters.add("dns_bad_instances")
                self.log.event(
                    "dnssd_instance_failed", level="warning", instance=str(instance), error=repr(error)
                )
                continue
            listed[entry.server] = entry
            shortest_ttl = min(shortest_ttl, ttl)
        former = self.reported.entries if self.reported is not None else {}
        return merge_by_address(listed.values(), former), float(shortest_ttl)

    async def _query_entry(
        self,
        name_server: NameServer,
        instance: dns.name.Name,
        host_answers: dict[dns.name.Name, QueryAnswer],
    ) -> tuple[ServiceEntry, int]:
        """Return the entry of an instance and the shortest TTL of its records.

        ``host_answers`` has the answers for hosts in this list. A host is asked for once, because a name
        server may answer the same query with another address each time. Raises ``InvalidRecordError`` and
        ``DnsQueryError``.
        """
        services, srv_ttl = await name_server.query(instance, dns.rdatatype.SRV)
        target = records.best_target(services)
        texts, txt_ttl = await name_server.query(instance, dns.rdatatype.TXT)
        if target.target not in host_answers:
            host_answers[target.target] = await name_server.query(target.target, dns.rdatatype.A)
        hosts, host_ttl = host_answers[target.target]
        host = records.first_address(hosts)
        entry = records.service_entry(instance, target, host, records.txt_attributes(texts))
        return entry, min(srv_ttl, txt_ttl, host_ttl)
