"""Tells whether an endpoint keeps the standard: ``merlinbay conformance --url ...``. docs/CONFORMANCE.md."""
