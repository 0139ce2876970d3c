"""Reads the endpoint list from DNS-SD records (RFC 6763)."""
