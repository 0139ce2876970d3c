"""A small name server for the cases of the second review: the DNS-SD records of one service, over UDP."""

from __future__ import annotations

import asyncio
from typing import Any

import dns.message
import dns.rcode
import dns.rrset

from review.lib2 import Case, free_port

SERVICE = "_admit._tcp.hall-a.example."
TTL_S = 1


class NameServer(asyncio.DatagramProtocol):
    """Answers with the records of the instances; the names in ``failing`` get SERVFAIL."""

    def __init__(self, case: Case, host: str = "127.0.0.1") -> None:
        self.case, self.host, self.port = case, host, free_port(host)
        self.instances: dict[str, tuple[str, str, int]] = {}  # label: host name, address and port
        self.texts: dict[str, list[str]] = {}
        self.failing: set[str] = set()
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

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answer one query."""
        query = dns.message.from_wire(data)
        question = query.question[0]
        name, kind = question.name.to_text(), question.rdtype.name
        answer = dns.message.make_response(query)
        found = self.records(name, kind)
        if name in self.failing:
            answer.set_rcode(dns.rcode.SERVFAIL)
        elif found:
            answer.answer.append(dns.rrset.from_text_list(name, TTL_S, "IN", kind, found))
        self.transport.sendto(answer.to_wire(), addr)
        if kind == "PTR" or name in self.failing:
            told = " ".join(sorted(text.partition(".")[0] for text in found))
            self.case.note(f"name server answers {kind}", rcode=dns.rcode.to_text(answer.rcode()), told=told)
        self.answered(name, kind)

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
