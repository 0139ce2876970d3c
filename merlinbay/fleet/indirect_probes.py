"""Probes that this node makes as a helper, on behalf of other members. No I/O.

A target's answer is passed on to the member that asked. If the target does not answer within half a probe
period, that member gets a nack, which shows it that this helper is reachable and the target is not.
"""

from __future__ import annotations

from merlinbay.fleet.gossip import GossipSender
from merlinbay.fleet.messages import Ack, IndirectPing, Nack, Ping
from merlinbay.fleet.outbox import Outbox
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.timers import ViewTimers

ANSWER_SHARE = 0.5  # share of the probe period within which the target has to answer


class IndirectProbes:
    """Forwards pings and their answers."""

    def __init__(
        self, settings: FleetSettings, gossip: GossipSender, outbox: Outbox, timers: ViewTimers
    ) -> None:
        self._settings, self._gossip, self._outbox, self._timers = settings, gossip, outbox, timers
        # The requesters' addresses and sequence numbers by the sequence number of this node's ping.
        self._requests: dict[int, tuple[str, int]] = {}

    def handle_request(self, source: str, request: IndirectPing) -> None:
        """Ping the target of a request."""
        sequence = self._outbox.next_sequence()
        self._requests[sequence] = source, request.sequence
        self._gossip.send(request.target_addr, Ping(sequence, request.target), probed=request.target)
        self._timers.schedule(self._settings.probe * ANSWER_SHARE, self._report_silence, sequence)

    def handle_ack(self, ack: Ack) -> bool:
        """Pass a target's answer on to the requester; return whether it belongs to a request."""
        if (request := self._requests.pop(ack.sequence, None)) is None:
            return False
        requester, sequence = request
        self._gossip.send(requester, Ack(sequence, ack.instance))
        return True

    def _report_silence(self, sequence: int) -> None:
        if (request := self._requests.pop(sequence, None)) is not None:
            self._gossip.send(request[0], Nack(request[1]))

    def abandon(self) -> None:
        """Drop all requests without an answer to the requesters."""
        self._requests.clear()
