"""Processes of the replicated configuration: sockets, disk and operators' calls around the cores."""
