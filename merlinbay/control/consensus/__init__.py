"""Raft (Ongaro 2014) without I/O: the parts of which ``merlinbay.control.voter`` consists."""
