"""Makes service entries from PTR, SRV, TXT and A records. No I/O.

``DnsSdDirectory`` calls it with the answers of the name server. Records that do not make an entry raise
``InvalidRecordError``.
"""

from __future__ import annotations

from collections.abc import Iterable

import dns.message
import dns.name
import dns.rdatatype
from dns.rdtypes.ANY.PTR import PTR
from dns.rdtypes.ANY.TXT import TXT
from dns.rdtypes.IN.A import A
from dns.rdtypes.IN.SRV import SRV

from merlinbay.core.values import ServiceEntry

STATES = ("up", "draining")


class InvalidRecordError(Exception):
    """The records of an instance are missing or invalid, so no entry can be made."""


def rrset_records(
    message: dns.message.Message, name: dns.name.Name, kind: dns.rdatatype.RdataType
) -> tuple[list[object], int]:
    """Return the records of a name in an answer, and their TTL; none and zero if the answer lacks them."""
    rrset = message.get_rrset(message.answer, name, dns.rdataclass.IN, kind)
    return ([], 0) if rrset is None else (list(rrset), int(rrset.ttl))


def instance_names(rdata: Iterable[object]) -> list[dns.name.Name]:
    """Return the instances that PTR records name, sorted so that every node has the same order."""
    return sorted({record.target for record in rdata if isinstance(record, PTR)})


def txt_attributes(rdata: Iterable[object]) -> dict[str, str]:
    """Return the attributes in TXT strings by RFC 6763 section 6.

    Keys are compared without case, and the first value of a key counts. Strings without a key are ignored.
    """
    attributes: dict[str, str] = {}
    for record in rdata:
        for string in record.strings if isinstance(record, TXT) else ():
            key, _, value = string.decode("utf-8", "replace").partition("=")
            if key:
                attributes.setdefault(key.lower(), value)
    return attributes


def best_target(rdata: Iterable[object]) -> SRV:
    """Return the SRV record with the lowest priority value and, among these, the highest weight (RFC 2782).

    Raises ``InvalidRecordError`` if there is none, or if its target says that the service is not offered.
    """
    services = [record for record in rdata if isinstance(record, SRV)]
    if not services or services[0].target == dns.name.root:
        raise InvalidRecordError("expected an SRV record with a target, got none")
    return min(services, key=lambda record: (record.priority, -record.weight, record.target, record.port))


def first_address(rdata: Iterable[object]) -> str:
    """Return the first of the sorted addresses. Raises ``InvalidRecordError`` if there is none."""
    addresses = sorted(str(record.address) for record in rdata if isinstance(record, A))
    if not addresses:
        raise InvalidRecordError("expected an A record for the SRV target, got none")
    return addresses[0]


def service_entry(instance: dns.name.Name, service: SRV, host: str, txt: dict[str, str]) -> ServiceEntry:
    """Return the entry of an instance. Its first label names the server unless TXT has an ``id``.

    An unknown state counts as draining. Raises ``InvalidRecordError`` if ``cell`` or ``started_ms`` is not a
    number.
    """
    state = txt.get("state", "up").lower()
    try:
        return ServiceEntry(
            server=txt.get("id") or instance.labels[0].decode("utf-8", "replace"),
            address=f"{host}:{service.port}",
            zone=txt.get("zone", ""),
            kind=txt.get("kind", ""),
            cell=int(txt.get("cell") or 0),
            state=state if state in STATES else "draining",
            weight=float(service.weight or 1),
            started_at_us=int(txt.get("started_ms") or 0) * 1000,
        )
    except ValueError as error:
        raise InvalidRecordError(str(error)) from None
