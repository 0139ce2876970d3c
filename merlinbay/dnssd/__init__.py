"""Service entries from DNS-SD records (RFC 6763)."""
