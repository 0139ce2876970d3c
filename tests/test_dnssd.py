"""DNS-SD: reading records, querying a fake name server, and a node that uses its answers."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
import dns.zone
import pytest
import trio

from merlinbay.core.messages import EndpointListReceived, Message
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision import CallFailure
from merlinbay.dnssd import records
from merlinbay.dnssd.directory import DnsQueryError, DnsSdDirectory
from merlinbay.log import Log
from tests.net import LIMITS, completes_job, node_fixture, run_scenario

SERVICE = "_drmaa2._tcp.hall-a.example."
INSTANCE_1 = f"""
{SERVICE} 1 IN PTR bridge\\032one.{SERVICE}
bridge\\032one.{SERVICE} 1 IN SRV 0 5 8081 host-1.example.
bridge\\032one.{SERVICE} 2 IN TXT "id=s-1" "zone=hall-a" "KIND=k" "cell=3" "started_ms=7" "id=other" "flag"
host-1.example. 1 IN A 127.0.0.9
"""
INSTANCE_2 = f"""
{SERVICE} 1 IN PTR s-2.{SERVICE}
s-2.{SERVICE} 1 IN SRV 1 0 1 host-1.example.
s-2.{SERVICE} 1 IN SRV 0 7 9000 host-1.example.
s-2.{SERVICE} 1 IN TXT "state=draining"
"""
WITHOUT_ADDRESS = f"""
{SERVICE} 1 IN PTR s-3.{SERVICE}
s-3.{SERVICE} 1 IN SRV 0 0 80 nowhere.example.
s-3.{SERVICE} 1 IN TXT ""
"""
S1 = ServiceEntry("s-1", "127.0.0.9:8081", "hall-a", "k", 3, "up", 5.0, 7000)
S2 = ServiceEntry("s-2", "127.0.0.9:9000", "", "", 0, "draining", 7.0, 0)


class NameServer:
    """A fake name server over UDP: answers from the records in a text, or with an error code."""

    def __init__(self, text: str) -> None:
        self.text, self.rcode = text, dns.rcode.NOERROR

    def answer(self, wire: bytes) -> bytes:
        """Return the response to one query."""
        query = dns.message.from_wire(wire)
        reply, question = dns.message.make_response(query), query.question[0]
        reply.set_rcode(self.rcode)
        rrset: dns.rrset.RRset | None = None
        for line in filter(None, self.text.splitlines()):
            owner, ttl, _, kind, data = line.split(" ", 4)
            if (
                dns.name.from_text(owner) == question.name
                and dns.rdatatype.from_text(kind) == question.rdtype
            ):
                line_records = dns.rrset.from_text(question.name, int(ttl), "IN", kind, data)
                for record in line_records:
                    rrset = rrset or line_records
                    rrset.add(record)
        if rrset is not None:
            reply.answer.append(rrset)
        return reply.to_wire()

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Answer queries until cancelled."""
        while True:
            wire, peer = await sock.recvfrom(4096)
            await sock.sendto(self.answer(wire), peer)


async def listen(nursery: trio.Nursery, server: NameServer) -> tuple[str, int]:
    """Start a fake name server; return its address."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(("127.0.0.1", 0))
    nursery.start_soon(server.serve, sock)
    return "127.0.0.1", sock.getsockname()[1]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", {}),
        (INSTANCE_1, {"s-1": S1}),
        (INSTANCE_1 + INSTANCE_2, {"s-1": S1, "s-2": S2}),
        (INSTANCE_1 + WITHOUT_ADDRESS, {"s-1": S1}),
    ],
)
def test_records_become_entries(text: str, expected: dict[str, ServiceEntry]) -> None:
    """An entry is read from PTR, SRV, TXT and A records; an invalid instance does not hide the others."""

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            send, _ = trio.open_memory_channel[Message](8)
            at = await listen(nursery, NameServer(text))
            directory = DnsSdDirectory(at, SERVICE, send, LIMITS, Counters(), Log(9))
            listed, ttl = await directory.query_list()
            assert (listed, ttl) == (expected, 1.0 if expected else 0.0)
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("strings", "expected"),
    [(("a=1", "A=2"), {"a": "1"}), (("a", "=x", ""), {"a": ""}), (("a=b=c", "é=ü"), {"a": "b=c", "é": "ü"})],
)
def test_txt_strings_become_attributes(strings: tuple[str, ...], expected: dict[str, str]) -> None:
    """RFC 6763 section 6: keys have no case, the first value counts, strings without a key are ignored."""
    data = " ".join('"' + "".join(f"\\{b:03d}" for b in s.encode()) + '"' for s in strings)
    assert records.txt_attributes(dns.rrset.from_text("x.", 1, "IN", "TXT", data)) == expected


def test_list_is_reported_at_a_reload_and_again_when_changes_count_as_notified() -> None:
    """An unchanged list must be reported too.

    A reload sets a time by which all changes count as notified. Without a list after it, that time would
    never be cleared.
    """

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            send, receive = trio.open_memory_channel[Message](8)
            at = await listen(nursery, NameServer(INSTANCE_1 + INSTANCE_2))
            limits = replace(LIMITS, reload_notified_in_us=300_000)
            directory = DnsSdDirectory(at, SERVICE, send, limits, Counters(), Log(9))
            nursery.start_soon(directory.run)
            directory.subscribe()
            assert await receive.receive() == EndpointListReceived("all", [S1, S2])
            moved_at = trio.current_time()
            directory.move(at, SERVICE)
            for min_delay_s, max_delay_s in ((0.0, 0.3), (0.3, 0.8)):
                assert await receive.receive() == EndpointListReceived("all", [S1, S2])
                assert min_delay_s <= trio.current_time() - moved_at < max_delay_s
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


def test_outage_keeps_the_list_and_a_missing_instance_is_removed() -> None:
    """SERVFAIL is reported as refused, without entries; an instance that is no longer named is removed."""

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            send, receive = trio.open_memory_channel[Message](8)
            server = NameServer(INSTANCE_1 + INSTANCE_2)
            at = await listen(nursery, server)
            directory = DnsSdDirectory(at, SERVICE, send, LIMITS, Counters(), Log(9))
            nursery.start_soon(directory.run)
            directory.subscribe()
            assert await receive.receive() == EndpointListReceived("all", [S1, S2])
            server.rcode = dns.rcode.SERVFAIL
            with pytest.raises(DnsQueryError):
                await directory.query_list()
            assert await receive.receive() == EndpointListReceived("refused", failure=CallFailure.UNREACHABLE)
            server.rcode, server.text = dns.rcode.NOERROR, INSTANCE_2 + "host-1.example. 1 IN A 127.0.0.9"
            directory.subscribe()
            assert await receive.receive() == EndpointListReceived("all", [S2])
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


def test_node_finds_its_servers_by_dns_sd(tmp_path: Path) -> None:
    """A server that only the name server lists serves a job; once it is delisted, a job gets status 503."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as s:
            listed_server = s.add_server("s-1", completes_job)
            s.endpoint_rows.clear()
            host, _, at = listed_server.addr.partition(":")
            server = NameServer(
                INSTANCE_1.replace("8081", at)
                .replace("127.0.0.9", host)
                .replace("started_ms=7", "started_ms=0")
            )
            host, port = await listen(s.nursery, server)
            s.operator = f'[dnssd]\nnameserver = "{host}:{port}"\nservice = "{SERVICE}"\n'
            await s.start()
            await trio.sleep(0.1)
            assert (await s.admit("a1")).body == b"s-1:a1"
            server.text = ""
            await trio.sleep(1.2)
            assert (await s.admit("a2")).status == 503

    run_scenario(scenario)
