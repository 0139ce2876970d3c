"""The one task that owns the decision module: takes messages, calls the module, and executes its actions.

Each batch handles messages (by their type, in ``RequestLifecycle``, ``AttemptLifecycle``, ``RequestControls``
and ``EndpointMessages``), then due timers (``Deadlines``), and gives the events of both to the module
(``EventBatch``). ``ActionExecutor`` executes what it returns, until no events are left.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from typing import Any

import trio

from merlinbay.clock import Clock
from merlinbay.core.action_executor import ActionExecutor
from merlinbay.core.attempt_lifecycle import AttemptLifecycle
from merlinbay.core.controls import RequestControls
from merlinbay.core.deadlines import Deadlines
from merlinbay.core.endpoint_messages import EndpointMessages
from merlinbay.core.event_batch import EventBatch
from merlinbay.core.interfaces import EndpointDiscovery, EndpointObserver, PeerProcess, ServerTransport
from merlinbay.core.messages import Message
from merlinbay.core.request_lifecycle import RequestLifecycle
from merlinbay.core.requests import RequestTable
from merlinbay.core.timers import Timers
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action
from merlinbay.decision.events import Event
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


class Dispatcher:
    """Runs batches of messages, events and actions. Only its own task calls it."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        servers: ServerTransport,
        discovery: EndpointDiscovery,
    ) -> None:
        self.balancer, self.clock, self.limits = balancer, clock, limits
        self.counters, self.log = counters, log
        requests = self.requests = RequestTable(limits.finished_request_names)
        timers = self.timers = Timers()
        batch = self.batch = EventBatch()
        class_names = {job_class.name for job_class in balancer.settings.classes}
        received = self.request_lifecycle = RequestLifecycle(
            requests, timers, batch, limits, counters, class_names
        )
        attempts = self.attempt_lifecycle = AttemptLifecycle(
            requests, received, timers, batch, servers, balancer, clock, counters
        )
        self.deadlines = Deadlines(requests, received, attempts, timers, batch, limits)
        self.actions = ActionExecutor(
            requests, received, attempts, timers, batch, servers, discovery, counters, log
        )
        self.endpoints = EndpointMessages(balancer, servers, counters, batch)
        controls = RequestControls(requests, received, attempts, servers)
        self.handlers: dict[type, Callable[[Any], None]] = {
            **received.handlers,
            **attempts.handlers,
            **controls.handlers,
            **self.endpoints.handlers,
        }

    def add_endpoint_observer(self, observer: EndpointObserver) -> None:
        """Notify an observer of changes of the endpoint list."""
        self.endpoints.observers.append(observer)

    def set_peer_process(self, peer: PeerProcess | None) -> None:
        """Work beside the process that this one replaces, or that replaces it."""
        self.attempt_lifecycle.set_peer_process(peer)
        self.endpoints.set_peer_process(peer)

    async def run(self, inbox: trio.MemoryReceiveChannel[Message]) -> None:
        """Run batches until shut down, and for a moment after the last request is answered."""
        end_at = float("inf")
        while trio.current_time() < end_at:
            is_shutting_down = self.request_lifecycle.is_shutting_down
            if is_shutting_down and end_at == float("inf") and self.requests.all_answered():
                end_at = trio.current_time() + self.limits.stop_rejecting_for_s
            self.run_batch(await self._next_messages(inbox, end_at))

    async def _next_messages(self, inbox: trio.MemoryReceiveChannel[Message], end_at: float) -> list[Message]:
        """Wait for a message, a due timer or the end; return all messages that are there."""
        messages: list[Message] = []
        due_at_us = self.timers.next_us()
        wake_at = end_at if due_at_us is None else min(end_at, self.clock.to_trio(due_at_us))
        with trio.move_on_at(wake_at):
            messages.append(await inbox.receive())
        try:
            while len(messages) < self.limits.inbox_messages:
                messages.append(inbox.receive_nowait())
        except trio.WouldBlock:
            pass
        return messages

    def run_batch(self, messages: list[Message]) -> None:
        """Handle messages and due timers, in one call of the module and those that follow from it."""
        self.batch.begin(self.clock.now_us())
        for message in messages:
            self.handlers[type(message)](message)
        self.deadlines.fire_due()
        while events := self.batch.take():
            for action in self._decide(events):
                self.actions.execute(action)

    def _decide(self, events: list[Event]) -> Iterable[Action]:
        """Return the module's actions; none if it fails."""
        try:
            return self.balancer.handle(self.batch.now_us, events)
        except Exception as error:  # Guards against one bad event that would end every other request.
            self.counters.add("module_errors")
            trace = "".join(traceback.format_exception(error))
            self.log.event("module_failed", level="error", error=trace)
            return []

    def gauges(self) -> dict[str, float]:
        """Return the requests not yet answered, and the slots of servers that they hold."""
        return {
            "jobs": float(sum(not request.is_answered for request in self.requests)),
            "slots": round(self.balancer.in_flight_slots, 1),
        }
