"""The dispatcher: the one task that calls the decision module and executes the actions that it returns.

Other tasks reach it through messages in its inbox. It processes them in batches. A batch first handles its
messages by type (in ``RequestLifecycle``, ``AttemptLifecycle``, ``RequestControls``, ``EndpointMessages``),
then the timers that are due (``Deadlines``). Both add events to the ``EventBatch``, which the decision module
gets in one call. ``ActionExecutor`` executes the actions that the module returns. Executing them can add
events, so the module is called again until no events are left.

If the decision module raises an exception, the dispatcher logs it and goes on without actions for that call.
Requests that are left open by this fail at their deadline.
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
from merlinbay.core.request_trace import RequestTrace
from merlinbay.core.requests import RequestTable
from merlinbay.core.server_aliases import ServerAliases
from merlinbay.core.timers import Timers
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Action
from merlinbay.decision.events import Event
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


class Dispatcher:
    """Runs batches of messages, events and actions. Only the dispatcher's own task calls its methods."""

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
        aliases = ServerAliases()
        requests = self.requests = RequestTable(limits.finished_request_names, aliases)
        timers = self.timers = Timers()
        batch = self.batch = EventBatch()
        trace = RequestTrace(log)
        class_names = {job_class.name for job_class in balancer.settings.classes}
        request_lifecycle = self.request_lifecycle = RequestLifecycle(
            requests, timers, batch, limits, counters, class_names, trace
        )
        attempt_lifecycle = self.attempt_lifecycle = AttemptLifecycle(
            requests, request_lifecycle, timers, batch, servers, balancer, clock, counters, trace
        )
        self.deadlines = Deadlines(requests, request_lifecycle, attempt_lifecycle, timers, batch, limits)
        self.actions = ActionExecutor(
            requests, request_lifecycle, attempt_lifecycle, timers, batch, servers, discovery, counters, log
        )
        self.endpoints = EndpointMessages(balancer, servers, counters, batch, aliases)
        controls = RequestControls(requests, request_lifecycle, attempt_lifecycle, servers)
        self.handlers: dict[type, Callable[[Any], None]] = {
            **request_lifecycle.handlers,
            **attempt_lifecycle.handlers,
            **controls.handlers,
            **self.endpoints.handlers,
        }

    def add_endpoint_observer(self, observer: EndpointObserver) -> None:
        """Notify an observer of each change to the endpoint list."""
        self.endpoints.observers.append(observer)

    def set_peer_process(self, peer: PeerProcess | None) -> None:
        """Set the node's other process during a handover; None ends the relaying of messages to it."""
        self.attempt_lifecycle.set_peer_process(peer)
        self.endpoints.set_peer_process(peer)

    async def run(self, inbox: trio.MemoryReceiveChannel[Message]) -> None:
        """Run batches until shutdown is requested and all is answered; then briefly reject late requests."""
        end_at = float("inf")
        while trio.current_time() < end_at:
            is_shutting_down = self.request_lifecycle.is_shutting_down
            if is_shutting_down and end_at == float("inf") and self.requests.all_answered():
                end_at = trio.current_time() + self.limits.stop_rejecting_for_s
            self.run_batch(await self._next_messages(inbox, end_at))

    async def _next_messages(self, inbox: trio.MemoryReceiveChannel[Message], end_at: float) -> list[Message]:
        """Wait for a message, a due timer or ``end_at``; return the messages in the inbox by then."""
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
        """Handle messages and due timers, then call the decision module until no events are left."""
        self.batch.begin(self.clock.now_us())
        for message in messages:
            self.handlers[type(message)](message)
        self.deadlines.fire_due()
        while events := self.batch.take():
            for action in self._decide(events):
                self.actions.execute(action)

    def _decide(self, events: list[Event]) -> Iterable[Action]:
        """Return the decision module's actions, or none if it raises an exception."""
        try:
            return self.balancer.handle(self.batch.now_us, events)
        except Exception as error:  # A fault in handling one event must not end the other requests.
            self.counters.add("module_errors")
            trace = "".join(traceback.format_exception(error))
            self.log.event("module_failed", level="error", error=trace)
            return []

    def gauges(self) -> dict[str, float]:
        """Return the number of unanswered requests, and the server slots that attempts hold."""
        return {
            "jobs": float(sum(not request.is_answered for request in self.requests)),
            "slots": round(self.balancer.in_flight_slots, 1),
        }
