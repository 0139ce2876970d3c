"""Why an accepted connection has ended. The values are parts of the counters' names."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The first cause of the end of a connection."""

    CLIENT_LEFT = "client_left"  # the client has closed it, or it broke
    RESPONDED = "responded"  # a response has announced the end
    REJECTED = "rejected"  # a request could not be read, or was too large
    READ_AHEAD = "read_ahead"  # too many bytes came behind a request in progress
    MEMORY_SHORT = "memory_short"  # its request was the largest incomplete one when memory was short
    EXPIRED = "expired"  # its client was idle, or too slow, for too long
    EVICTED = "evicted"  # its place was needed for another connection
    DRAINED = "drained"  # the node shuts down, or is in standby
    HANDED_OVER = "handed_over"  # the successor has it
    NODE_ENDED = "node_ended"
    FAILED = "failed"  # a fault of this program, which the listener logs
