"""DNS-SD: records read, a stand-in name server asked, and a node that works from its answers."""

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
ONE = f"""
{SERVICE} 1 IN PTR bridge\\032one.{SERVICE}
bridge\\032one.{SERVICE} 1 IN SRV 0 5 8081 host-1.example.
bridge\\032one.{SERVICE} 2 IN TXT "id=s-1" "zone=hall-a" "KIND=k" "cell=3" "started_ms=7" "id=other" "flag"
host-1.example. 1 IN A 127.0.0.9
"""
TWO = f"""
{SERVICE} 1 IN PTR s-2.{SERVICE}
s-2.{SERVICE} 1 IN SRV 1 0 1 host-1.example.
s-2.{SERVICE} 1 IN SRV 0 7 9000 host-1.example.
s-2.{SERVICE} 1 IN TXT "state=draining"
"""
BROKEN = f"""
{SERVICE} 1 IN PTR s-3.{SERVICE}
s-3.{SERVICE} 1 IN SRV 0 0 80 nowhere.example.
s-3.{SERVICE} 1 IN TXT ""
"""
S1 = ServiceEntry("s-1", "127.0.0.9:8081", "hall-a", "k", 3, "up", 5.0, 7000)
S2 = ServiceEntry("s-2", "127.0.0.9:9000", "", "", 0, "draining", 7.0, 0)


class NameServer:
    """A stand-in: answers from a text of records over UDP, or fails."""

    def __init__(self, text: str) -> None:
        self.text, self.rcode = text, dns.rcode.NOERROR

    def answer(self, wire: bytes) -> bytes:
        """Answer one query."""
        query = dns.message.from_wire(wire)
        reply, asked = dns.message.make_response(query), query.question[0]
        reply.set_rcode(self.rcode)
        found: dns.rrset.RRset | None = None
        for line in filter(None, self.text.splitlines()):
            owner, ttl, _, kind, data = line.split(" ", 4)
            if dns.name.from_text(owner) == asked.name and dns.rdatatype.from_text(kind) == asked.rdtype:
                more = dns.rrset.from_text(asked.name, int(ttl), "IN", kind, data)
                for record in more:
                    found = found or more
                    found.add(record)
        if found is not None:
            reply.answer.append(found)
        return reply.to_wire()

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Answer for ever."""
        while True:
            wire, peer = await sock.recvfrom(4096)
            await sock.sendto(self.answer(wire), peer)


async def listen(nursery: trio.Nursery, server: NameServer) -> tuple[str, int]:
    """Start a stand-in; return its address."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(("127.0.0.1", 0))
    nursery.start_soon(server.serve, sock)
    return "127.0.0.1", sock.getsockname()[1]


@pytest.mark.parametrize(
    ("text", "expected"),
    [("", {}), (ONE, {"s-1": S1}), (ONE + TWO, {"s-1": S1, "s-2": S2}), (ONE + BROKEN, {"s-1": S1})],
)
def test_records_become_entries(text: str, expected: dict[str, ServiceEntry]) -> None:
    """PTR, SRV, TXT and A together; a broken instance hides no other."""

    async def scene() -> None:
        async with trio.open_nursery() as nursery:
            send, _ = trio.open_memory_channel[Message](8)
            at = await listen(nursery, NameServer(text))
            directory = DnsSdDirectory(at, SERVICE, send, LIMITS, Counters(), Log(9))
            listed, ttl = await directory.query_list()
            assert (listed, ttl) == (expected, 1.0 if expected else 0.0)
            nursery.cancel_scope.cancel()

    run_scenario(scene)


@pytest.mark.parametrize(
    ("strings", "expected"),
    [(("a=1", "A=2"), {"a": "1"}), (("a", "=x", ""), {"a": ""}), (("a=b=c", "é=ü"), {"a": "b=c", "é": "ü"})],
)
def test_txt_strings(strings: tuple[str, ...], expected: dict[str, str]) -> None:
    """Section 6: no case in keys, the first counts, missing keys are passed over."""
    data = " ".join('"' + "".join(f"\\{b:03d}" for b in s.encode()) + '"' for s in strings)
    assert records.txt_attributes(dns.rrset.from_text("x.", 1, "IN", "TXT", data)) == expected


def test_a_new_configuration_has_the_list_told_at_once_and_when_all_counts_as_notified() -> None:
    """Though nothing has changed: else the moment that it has set would never be lifted."""

    async def scene() -> None:
        async with trio.open_nursery() as nursery:
            send, receive = trio.open_memory_channel[Message](8)
            at = await listen(nursery, NameServer(ONE + TWO))
            limits = replace(LIMITS, reload_notified_in_us=300_000)
            directory = DnsSdDirectory(at, SERVICE, send, limits, Counters(), Log(9))
            nursery.start_soon(directory.run)
            directory.subscribe()
            assert await receive.receive() == EndpointListReceived("all", [S1, S2])
            moved_at = trio.current_time()
            directory.move(at, SERVICE)
            for least, most in ((0.0, 0.3), (0.3, 0.8)):
                assert await receive.receive() == EndpointListReceived("all", [S1, S2])
                assert least <= trio.current_time() - moved_at < most
            nursery.cancel_scope.cancel()

    run_scenario(scene)


def test_an_outage_keeps_the_list_and_a_gone_name_is_removed() -> None:
    """SERVFAIL is told as refused, with no entries; once a name is gone, the list lacks it."""

    async def scene() -> None:
        async with trio.open_nursery() as nursery:
            send, receive = trio.open_memory_channel[Message](8)
            server = NameServer(ONE + TWO)
            at = await listen(nursery, server)
            directory = DnsSdDirectory(at, SERVICE, send, LIMITS, Counters(), Log(9))
            nursery.start_soon(directory.run)
            directory.subscribe()
            assert await receive.receive() == EndpointListReceived("all", [S1, S2])
            server.rcode = dns.rcode.SERVFAIL
            with pytest.raises(DnsQueryError):
                await directory.query_list()
            assert await receive.receive() == EndpointListReceived("refused", failure=CallFailure.UNREACHABLE)
            server.rcode, server.text = dns.rcode.NOERROR, TWO + "host-1.example. 1 IN A 127.0.0.9"
            directory.subscribe()
            assert await receive.receive() == EndpointListReceived("all", [S2])
            nursery.cancel_scope.cancel()

    run_scenario(scene)


def test_a_node_finds_its_servers_by_dns_sd(tmp_path: Path) -> None:
    """A job is served by a server that only the name server lists; once its name is gone, it is refused."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            real = s.add_server("s-1", completes_job)
            s.endpoint_rows.clear()
            host, _, at = real.addr.partition(":")
            server = NameServer(
                ONE.replace("8081", at).replace("127.0.0.9", host).replace("started_ms=7", "started_ms=0")
            )
            host, port = await listen(s.nursery, server)
            s.operator = f'[dnssd]\nnameserver = "{host}:{port}"\nservice = "{SERVICE}"\n'
            await s.start()
            await trio.sleep(0.1)
            assert (await s.admit("a1")).body == b"s-1:a1"
            server.text = ""
            await trio.sleep(1.2)
            assert (await s.admit("a2")).status == 503

    run_scenario(scene)
