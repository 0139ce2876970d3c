"""The replicated configuration without I/O: a log kept by a few voters and distributed to all members."""
