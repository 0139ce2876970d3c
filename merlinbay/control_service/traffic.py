"""What a host sends and receives, counted; scale runs read these figures per role."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Messages and bytes of one host, framing included."""

    role: str
    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0  # from full queues, or for peers that are not connected
    connections_opened: int = 0
    connections_refused: int = 0  # failed handshakes

    def figures(self) -> dict[str, int]:
        """Return the counters by name."""
        return {name: getattr(self, name) for name in self.__slots__ if name != "role"}
