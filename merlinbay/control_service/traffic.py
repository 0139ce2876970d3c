"""What a process sends and receives, counted; ``status`` shows it, and scale runs read it per role."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class TrafficCounters:
    """Messages and bytes of one process since its start, framing included."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0  # from full queues, or for peers that are not connected
    connections_opened: int = 0
    connections_refused: int = 0  # failed handshakes

    def figures(self) -> dict[str, int]:
        """Return the counters by name."""
        return asdict(self)
