"""Settings of DNS-SD in the operator's file."""

from __future__ import annotations

import ipaddress

import msgspec

from merlinbay.errors import ConfigurationError, parse_address


class DnsSd(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Reads the endpoint list by DNS-SD in place of the platform's discovery."""

    nameserver: str  # address of the name server, as ``host:port``
    service: str  # name whose PTR records list the instances of the service

    def validation_error(self) -> str:
        """Return the key and cause of the first problem; empty if there is none."""
        # Imported here, because the schema of the operator's file needs no DNS library.
        import dns.exception
        import dns.name

        try:
            host, _ = parse_address(self.nameserver)
            ipaddress.ip_address(host)
        except ConfigurationError as error:
            return f"nameserver: {error}"
        except ValueError:
            return f"nameserver: expected an IP address and a port, got {self.nameserver!r}"
        try:
            is_root = dns.name.from_text(self.service) == dns.name.root
        except dns.exception.DNSException as error:
            return f"service: expected a domain name, got {self.service!r}: {error}"
        return f"service: expected a domain name, got {self.service!r}" if is_root else ""
