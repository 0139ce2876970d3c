"""Queries to a name server, over UDP, and over TCP for an answer that UDP cuts off.

``DnsSdDirectory`` makes one for each list that it reads. However a query fails, it raises ``DnsQueryError``:
the library's own errors differ by transport (``OSError`` for a datagram, ``trio.BrokenResourceError`` and
``EOFError`` for a stream, ``ValueError`` for an address) and do not leave this module.
"""

from __future__ import annotations

from dataclasses import dataclass

import dns.asyncquery
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from merlinbay.dnssd import records

QueryAnswer = tuple[list[object], int]
"""The records of a name, and their TTL in seconds."""


class DnsQueryError(Exception):
    """A query has failed: no whole answer came, it cannot be read, or it has an error code."""


@dataclass(frozen=True, slots=True)
class NameServer:
    """One name server."""

    host: str
    port: int
    timeout_s: float  # for the exchange over UDP, and for one over TCP that may follow

    async def query(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> QueryAnswer:
        """Return the records of a name and their TTL. Raises ``DnsQueryError``."""
        answer = await self._exchange(name, kind)
        if answer.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise DnsQueryError(f"the query for {name} was answered with {dns.rcode.to_text(answer.rcode())}")
        return records.rrset_records(answer, name, kind)

    async def _exchange(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> dns.message.Message:
        try:
            query = dns.message.make_query(name, kind)
            answer, _ = await dns.asyncquery.udp_with_fallback(
                query, self.host, timeout=self.timeout_s, port=self.port
            )
        except Exception as error:  # Whatever the library raises concerns this query alone.
            raise DnsQueryError(f"the query for {name} has failed: {error!r}") from error
        return answer
