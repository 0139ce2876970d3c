"""A node's process as the successor of one process and the predecessor of the next.

At its start, a process asks its predecessor for the state, and later it listens for its successor. Either of
them may end at any time; the remaining process then runs the node alone, as without a handover.
"""

from __future__ import annotations

from pathlib import Path

import trio

from merlinbay.clock import Clock
from merlinbay.core.messages import Callback, Message
from merlinbay.counters import Counters
from merlinbay.handover import messages
from merlinbay.handover.predecessor import PredecessorSide
from merlinbay.handover.relayed_messages import RelayedMessages
from merlinbay.handover.successor import SuccessorSide
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


class Takeover:
    """Both sides of this process, and the relay of messages to the other processes (``PeerProcess``)."""

    def __init__(
        self,
        path: Path,
        inbox: trio.MemorySendChannel[Message],
        listener: Listener,
        steering: ClientSteering,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        clock: Clock,
    ) -> None:
        relayed = RelayedMessages(inbox, listener, steering, counters)
        self.as_successor = SuccessorSide(path, relayed, limits, log)
        self.as_predecessor = PredecessorSide(
            path, inbox, listener, steering, relayed, limits, counters, log, clock
        )
        steering.on_operator_request = self._relay_standby

    def relay_callback(self, message: Callback) -> bool:
        """Relay a callback for an unknown request; return whether it was queued for another process."""
        return self._relay(messages.CallbackForward(message))

    def relay_maintenance(self, server: str, on: bool) -> None:
        """Relay that a server was disabled for maintenance or enabled again."""
        self._relay(messages.MaintenanceForward(server, on))

    def relay_sent(self, name: str, server: str) -> None:
        """Relay that a request was sent to a server, so that the other processes do not send it again."""
        self._relay(messages.sent_request(name, server))

    def _relay_standby(self, is_standby: bool) -> None:
        self._relay(messages.StandbyForward(is_standby))

    def _relay(self, message: messages.HandoverMessage) -> bool:
        links = (self.as_successor.predecessor, self.as_predecessor.successor)
        return any([link.post(message) for link in links if link is not None])
