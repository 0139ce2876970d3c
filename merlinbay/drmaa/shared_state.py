"""What the front shares with the parts that it is made of: they know this, and not the front."""

from __future__ import annotations

from typing import Protocol

from merlinbay.batch.engine import BatchEngine
from merlinbay.batch.jobs import Job
from merlinbay.clock import Clock
from merlinbay.core.messages import Message
from merlinbay.counters import Counters
from merlinbay.drmaa.reserving import ReservationCalls
from merlinbay.drmaa.settings import DrmaaSettings
from merlinbay.drmaa.templates import Rules
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.notify.hub import EventHub


class SharedState(Protocol):
    """The front, to its parts."""

    clock: Clock
    limits: ResourceLimits
    counters: Counters
    log: Log
    settings: DrmaaSettings
    machine: str
    rules: Rules
    engine: BatchEngine
    hub: EventHub | None
    reserving: ReservationCalls | None

    def post(self, message: Message) -> None:
        """Send the owner a message, after those that wait already."""

    def flush(self, now_us: int) -> None:
        """Carry out what the engine wants done."""

    def back(self, job: Job) -> None:
        """Take it that a job is not with the core any more."""

    def forget_edge(self, job: Job) -> None:
        """Take it that a job's request is over."""
