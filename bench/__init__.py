"""Benchmarks: whole programs on loopback sockets, measured from outside. None of it runs in CI."""
