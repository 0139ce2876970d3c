"""DNS-SD: reading records, querying a fake name server, and a node that uses its answers."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from functools import partial
from pathlib import Path

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
import dns.zone
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay import operator_file
from merlinbay.core.messages import EndpointListReceived, Message
from merlinbay.core.values import ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision import CallFailure
from merlinbay.dnssd import records
from merlinbay.dnssd.directory import DnsSdDirectory
from merlinbay.dnssd.name_server import DnsQueryError
from merlinbay.dnssd.shared_hosts import ServerList
from merlinbay.errors import ConfigurationError
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


def report(*entries: ServiceEntry) -> EndpointListReceived:
    """Return the report of a list."""
    return EndpointListReceived("all", list(entries), identifies_by_address=True)


class Trouble(Enum):
    """What a fake name server does to a query over TCP in place of answering it."""

    RESET_AT_ONCE = "reset at once"
    RESET = "reset after the query"
    CLOSE = "closed after the query"
    CUT_LENGTH = "closed within the length"
    CUT_ANSWER = "closed within the answer"
    RESET_ANSWER = "reset within the answer"
    DAMAGED = "an answer that is no message"
    OTHER_QUESTION = "an answer to another query"
    SILENT = "silent"
    STOPPED = "stops within the answer"


class NameServer:
    """A fake name server: answers from the records in a text, or with an error code.

    With ``cuts`` it answers over UDP that the answer is cut off, so that it is asked over TCP.
    """

    def __init__(self, text: str, cuts: bool = False) -> None:
        self.text, self.rcode, self.cuts = text, dns.rcode.NOERROR, cuts
        self.trouble: Trouble | None = None
        self.datagram = b""  # answer to each query over UDP, if not empty
        self.stream_queries = 0

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
            answer = self.answer(wire)
            if self.cuts:
                cut = dns.message.make_response(dns.message.from_wire(wire))
                cut.flags |= dns.flags.TC
                answer = cut.to_wire()
            await sock.sendto(self.datagram or answer, peer)

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Answer one query over TCP, or do what ``trouble`` says."""
        trouble = self.trouble
        if trouble is not Trouble.RESET_AT_ONCE:
            query = await stream.receive_some(4096)
            self.stream_queries += 1
            wire = self.answer(query[2:])
            if trouble is Trouble.OTHER_QUESTION:
                other = dns.message.make_query("other.example.", "PTR")
                wire = dns.message.make_response(other).to_wire()
            message = len(wire).to_bytes(2, "big") + wire
            parts = {
                Trouble.CUT_LENGTH: message[:1],
                Trouble.CUT_ANSWER: message[:20],
                Trouble.RESET_ANSWER: message[:20],
                Trouble.STOPPED: message[:20],
                Trouble.DAMAGED: message[:2] + b"\xff" * len(wire),
                Trouble.OTHER_QUESTION: message,
                None: message,
            }
            await stream.send_all(parts.get(trouble, b""))
        if trouble in (Trouble.SILENT, Trouble.STOPPED):
            await trio.sleep_forever()
        if trouble in (Trouble.RESET_AT_ONCE, Trouble.RESET, Trouble.RESET_ANSWER):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()


async def listen(nursery: trio.Nursery, server: NameServer) -> tuple[str, int]:
    """Start a fake name server over UDP and TCP; return its address."""
    [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = int(listener.socket.getsockname()[1])
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(("127.0.0.1", port))
    nursery.start_soon(server.serve, sock)
    nursery.start_soon(partial(trio.serve_listeners, server.serve_stream, [listener]))
    return "127.0.0.1", port


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
            assert (listed, ttl) == (ServerList(expected), 1.0 if expected else 0.0)
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
            assert await receive.receive() == report(S1, S2)
            moved_at = trio.current_time()
            directory.move(at, SERVICE)
            for min_delay_s, max_delay_s in ((0.0, 0.3), (0.3, 0.8)):
                assert await receive.receive() == report(S1, S2)
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
            assert await receive.receive() == report(S1, S2)
            server.rcode = dns.rcode.SERVFAIL
            with pytest.raises(DnsQueryError):
                await directory.query_list()
            assert await receive.receive() == EndpointListReceived("refused", failure=CallFailure.UNREACHABLE)
            server.rcode, server.text = dns.rcode.NOERROR, INSTANCE_2 + "host-1.example. 1 IN A 127.0.0.9"
            directory.subscribe()
            assert await receive.receive() == report(S2)
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


async def survives_failed_queries(
    server: NameServer, begin: Callable[[], None], end: Callable[[], None]
) -> None:
    """Let queries fail from ``begin`` to ``end``: the list stays, one line says why, and it is read again."""
    async with trio.open_nursery() as nursery:
        send, receive = trio.open_memory_channel[Message](8)
        at = await listen(nursery, server)
        limits, counters, log = replace(LIMITS, dns_query_timeout_s=0.3), Counters(), Log(99)
        lines: list[str] = []
        log.line = lines.append  # type: ignore[assignment, method-assign]
        directory = DnsSdDirectory(at, SERVICE, send, limits, counters, log)
        nursery.start_soon(directory.run)
        directory.subscribe()
        with trio.fail_after(20):
            assert await receive.receive() == report(S1, S2)
            begin()
            for failures in (1, 2):
                refused = EndpointListReceived("refused", failure=CallFailure.UNREACHABLE)
                assert await receive.receive() == refused and directory.is_up("s-1")
                assert counters.counts["dns_failed"] == failures == len(lines)
                assert lines[-1].startswith("dnssd_failed") and SERVICE.rstrip(".") in lines[-1]
                if failures == 2:
                    end()
                directory.subscribe()
            assert await receive.receive() == report(S1, S2)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("trouble", Trouble)
def test_a_query_over_tcp_that_fails_ends_neither_the_directory_nor_the_list(trouble: Trouble) -> None:
    """Guards against a crash: a stream that was reset or cut raised what ``run`` did not catch."""

    async def scenario() -> None:
        server = NameServer(INSTANCE_1 + INSTANCE_2, cuts=True)
        await survives_failed_queries(
            server, lambda: setattr(server, "trouble", trouble), lambda: setattr(server, "trouble", None)
        )
        assert server.stream_queries

    run_scenario(scenario)


@pytest.mark.parametrize("datagram", [b"\0", b"\x81" * 12, b"\x81" * 600, bytes(12)])
def test_a_damaged_answer_over_udp_ends_neither_the_directory_nor_the_list(datagram: bytes) -> None:
    """An answer that cannot be read, or is none to the query, is a failed query like any other."""

    async def scenario() -> None:
        server = NameServer(INSTANCE_1 + INSTANCE_2)
        await survives_failed_queries(
            server, lambda: setattr(server, "datagram", datagram), lambda: setattr(server, "datagram", b"")
        )

    run_scenario(scenario)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(
    kind=st.sampled_from(["PTR", "SRV", "TXT", "A"]),
    damage=st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), min_size=1, max_size=4),
)
def test_no_bytes_in_an_answer_raise_anything_but_the_typed_errors(
    kind: str, damage: list[tuple[int, int]]
) -> None:
    """Answers with drawn bytes replaced make entries, or ``DnsQueryError``."""

    async def scenario() -> None:
        server = NameServer(INSTANCE_1 + INSTANCE_2)
        whole = server.answer

        def damaged(wire: bytes) -> bytes:
            answer = bytearray(whole(wire))
            if dns.message.from_wire(wire).question[0].rdtype == dns.rdatatype.from_text(kind):
                for place, value in damage:
                    answer[2 + place % (len(answer) - 2)] = value  # not in the query's number
            return bytes(answer)

        server.answer = damaged  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            send, _ = trio.open_memory_channel[Message](8)
            limits = replace(LIMITS, dns_query_timeout_s=0.05)
            at = await listen(nursery, server)
            with contextlib.suppress(DnsQueryError):
                await DnsSdDirectory(at, SERVICE, send, limits, Counters(), Log(0)).query_list()
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


def test_a_node_serves_on_while_its_name_server_resets_connections(tmp_path: Path) -> None:
    """Guards against a crash: the reset of one connection to the name server ended the node."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as s:
            host, _, at = s.add_server("s-1", completes_job).addr.partition(":")
            s.endpoint_rows.clear()
            text = INSTANCE_1.replace("8081", at).replace("127.0.0.9", host).replace("=7", "=0")
            server = NameServer(text, cuts=True)
            s.operator = '[dnssd]\nnameserver = "{}:{}"\nservice = "{}"\n'.format(
                *await listen(s.nursery, server), SERVICE
            )
            await s.start()
            await trio.sleep(0.1)
            assert (await s.admit("a1")).body == b"s-1:a1"
            queries, server.trouble = server.stream_queries, Trouble.RESET
            with trio.fail_after(10):
                while server.stream_queries == queries:
                    await trio.sleep(0.05)
            server.trouble = None
            await trio.sleep(0.3)
            assert (await s.admit("a2")).body == b"s-1:a2"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("section", "problem"),
    [
        ('nameserver = "localhost:53"\nservice = "a.example."', "dnssd.nameserver: expected an IP address"),
        ('nameserver = "127.0.0.1"\nservice = "a.example."', "dnssd.nameserver: expected an address"),
        ('nameserver = "127.0.0.1:53"\nservice = "a..example."', "dnssd.service: expected a domain name"),
        (f'nameserver = "127.0.0.1:53"\nservice = "{"a" * 64}.example."', "dnssd.service: expected"),
        ('nameserver = "127.0.0.1:53"\nservice = ""', "dnssd.service: expected a domain name"),
    ],
)
def test_a_name_that_cannot_be_queried_is_one_line_of_the_operator_file(
    section: str, problem: str, tmp_path: Path
) -> None:
    """Guards against a crash at SIGHUP or at the first query: the name was parsed there only."""
    path = tmp_path / "operator.toml"
    path.write_text(f"[dnssd]\n{section}\n")
    with pytest.raises(ConfigurationError, match=problem) as caught:
        operator_file.read(str(path))
    assert "\n" not in str(caught.value)


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
