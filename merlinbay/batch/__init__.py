"""Batch jobs as the standard sees them, without any I/O: states, sessions, arrays, and whose turn it is."""
