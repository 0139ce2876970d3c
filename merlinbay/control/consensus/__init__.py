"""Raft (Ongaro 2014) without I/O: the parts that ``merlinbay.control.voter`` is put together from."""
