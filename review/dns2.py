"""A small name server for the cases of the second review: the DNS-SD records of one service.

It answers over UDP, with at most 512 bytes as RFC 1035 (4.2.1) says: a longer answer is cut and marked, so
that the client asks again over TCP.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import dns.flags
import dns.message
import dns.rcode
import dns.rrset

from review.lib2 import Case, free_port

SERVICE = "_admit._tcp.hall-a.example."
TTL_S = 1
UDP_BYTES = 512


class NameServer(asyncio.DatagramProtocol):
    """Answers with the records of the instances; the names in ``failing`` get SERVFAIL."""

    def __init__(self, case: Case, host: str = "127.0.0.1") -> None:
        self.case, self.host, self.port = case, host, free_port(host)
        self.instances: dict[str, tuple[str, str, int]] = {}  # label: host name, address and port
        self.texts: dict[str, list[str]] = {}
        self.failing: set[str] = set()
        self.resets = 0  # calls over TCP that are still to be reset unanswered
        self.transport: Any = None

    @property
    def addr(self) -> str:
        """Return its address."""
        return f"{self.host}:{self.port}"

    def add(self, label: str, host: str, addr: str, *texts: str) -> None:
        """Publish an instance of the service."""
        address, _, port = addr.rpartition(":")
        self.instances[label] = (host, address, int(port))
        self.texts[label] = list(texts)
        self.case.note("name server publishes", instance=label, host=host, addr=addr)

    def remove(self, label: str) -> None:
        """Take an instance's records away."""
        del self.instances[label], self.texts[label]
        self.case.note("name server removes", instance=label)

    async def start(self) -> None:
        """Begin to serve."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, self.port))
        await asyncio.start_server(self.serve_tcp, self.host, self.port)

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answer one query over UDP; what does not fit is left out, and the answer says so."""
        query = dns.message.from_wire(data)
        wire = self.answer(query)
        if len(wire) > UDP_BYTES:
            cut = dns.message.make_response(query)
            cut.flags |= dns.flags.TC
            wire = cut.to_wire()
        self.transport.sendto(wire, addr)

    async def serve_tcp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the queries of one connection, or reset it."""
        try:
            while True:
                (length,) = struct.unpack("!H", await reader.readexactly(2))
                query = dns.message.from_wire(await reader.readexactly(length))
                if self.resets:
                    self.resets -= 1
                    self.case.note("name server resets a connection")
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                wire = self.answer(query)
                writer.write(struct.pack("!H", len(wire)) + wire)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def answer(self, query: dns.message.Message) -> bytes:
        """Return the answer to a query."""
        question = query.question[0]
        name, kind = question.name.to_text(), question.rdtype.name
        answer = dns.message.make_response(query)
        found = self.records(name, kind)
        if name in self.failing:
            answer.set_rcode(dns.rcode.SERVFAIL)
        elif found:
            answer.answer.append(dns.rrset.from_text_list(name, TTL_S, "IN", kind, found))
        if kind == "PTR" or name in self.failing:
            told = " ".join(sorted(text.partition(".")[0] for text in found))
            self.case.note(f"name server answers {kind}", rcode=dns.rcode.to_text(answer.rcode()), told=told)
        self.answered(name, kind)
        return answer.to_wire()

    def answered(self, name: str, kind: str) -> None:
        """Take it that an answer was written; a case may replace this."""

    def records(self, name: str, kind: str) -> list[str]:
        """Return the records of a name."""
        if (name, kind) == (SERVICE, "PTR"):
            return [f"{label}.{SERVICE}" for label in self.instances]
        label = name.removesuffix(f".{SERVICE}")
        if label in self.instances and kind in ("SRV", "TXT"):
            host, _, port = self.instances[label]
            texts = self.texts[label] or ["zone=hall-a"]
            return [f"0 1 {port} {host}"] if kind == "SRV" else [" ".join(f'"{text}"' for text in texts)]
        addresses = {host: address for host, address, _ in self.instances.values()}
        return [addresses[name]] if kind == "A" and name in addresses else []
