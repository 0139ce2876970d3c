"""Counters of what a process sends and receives. ``status`` shows them; scale runs read them per role."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class TrafficCounters:
    """Messages and bytes of one process since its start; bytes include the framing."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0  # messages from full queues, or to peers that are not connected
    connections_opened: int = 0
    connections_refused: int = 0  # failed handshakes, rejected frames, connections over the limit

    def figures(self) -> dict[str, int]:
        """Return the counters by name."""
        return asdict(self)
