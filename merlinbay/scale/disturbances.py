"""What is done to the members of a run while it is measured, and when exactly: by the plan's schedule."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass

import trio

from merlinbay.scale import messages
from merlinbay.scale.plan import ScalePlan
from merlinbay.scale.processes import HostProcess
from merlinbay.scale.roles import ConfigurationWriter
from merlinbay.scale.schedule import Disturbance, DisturbanceKind, change_moments, schedule

# What the other members observe of what is done, and as which time that is reported.
OBSERVED = {
    DisturbanceKind.FAIL: ("died", "death_detected"),
    DisturbanceKind.RESTART: ("left", "leave_spread"),
}
RETURNED = ("returned", "return_spread")
GAUGE = ("gauge", "gauge_spread")
FORCED = ("force", "time_to_force")
COMMITTED = "time_to_commit"  # from the call of a change until it is answered


@dataclass
class DisturbanceDone:
    """Something that was done."""

    what: str  # that members observe
    subject: str
    name: str  # of the time
    at: float  # by the machine's monotonic clock


class DisturbanceRunner:
    """Does to the hollow members what the plan says, and keeps account of it."""

    def __init__(
        self, plan: ScalePlan, host_of: dict[int, HostProcess], writer: ConfigurationWriter | None
    ) -> None:
        self.plan, self.host_of, self.writer = plan, host_of, writer
        self.done: list[DisturbanceDone] = []
        self.touched: set[int] = set()
        self.counts: Counter[str] = Counter()
        self.commit_times: list[float] = []
        self.written = 0

    async def run(self, members: list[int], seconds: float) -> None:
        """Do all of the plan to ``members``, and wait for what has begun within ``seconds``."""
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for event in schedule(self.plan, members, seconds):
                nursery.start_soon(self._happen, began, event)
            if self.writer is None:
                return
            for at_s in change_moments(self.plan.disturbances, seconds):
                nursery.start_soon(self._change, self.writer, began + at_s)
            if kill_at_s := self.plan.disturbances.kill_leader_at_s:
                nursery.start_soon(self._kill_leader, self.writer, began + kill_at_s)

    async def kill(self, number: int, event: tuple[str, str]) -> None:
        """End a member without a word."""
        self.touched.add(number)
        stopped = await self.host_of[number].call(messages.StopMember(number), messages.OrderDone)
        self._note(event, number, stopped)

    def _note(self, event: tuple[str, str], number: int, done: messages.OrderDone) -> None:
        self.done.append(DisturbanceDone(event[0], f"n{number}", event[1], done.at))

    async def _happen(self, began: float, event: Disturbance) -> None:
        await trio.sleep_until(began + event.at_s)
        self.counts[f"{event.kind.value}s"] += 1
        if event.kind is DisturbanceKind.GAUGE:
            await self._gauge(event.number)
            return
        if event.kind is DisturbanceKind.RESTART:
            await self._leave(event.number)
        else:
            await self.kill(event.number, OBSERVED[event.kind])
        await trio.sleep(event.down_s)
        started = await self.host_of[event.number].call(
            messages.StartMember(event.number), messages.OrderDone
        )
        self._note(RETURNED, event.number, started)

    async def _leave(self, number: int) -> None:
        self.touched.add(number)
        left = await self.host_of[number].call(messages.Act(number, "leave"), messages.OrderDone)
        await self.host_of[number].call(messages.StopMember(number), messages.OrderDone)
        self._note(OBSERVED[DisturbanceKind.RESTART], number, left)

    async def _gauge(self, number: int) -> None:
        value = float(number + 1)
        for other, host in self.host_of.items():
            if other != number and other not in self.touched:
                await host.call(messages.Act(other, "await", f"n{number}={value}"), messages.OrderDone)
        told = await self.host_of[number].call(messages.Act(number, "tell", str(value)), messages.OrderDone)
        self._note(GAUGE, number, told)

    async def _change(self, writer: ConfigurationWriter, at: float) -> None:
        await trio.sleep_until(at)
        self.written += 1
        called = time.monotonic()
        revision = await writer.write(self.written)
        self.commit_times.append(time.monotonic() - called)
        self.done.append(DisturbanceDone(FORCED[0], str(revision), FORCED[1], called))
        self.counts["changes"] += 1

    async def _kill_leader(self, writer: ConfigurationWriter, at: float) -> None:
        await trio.sleep_until(at)
        leader = await writer.leader()
        self.touched.add(leader)
        await self.host_of[leader].call(messages.StopMember(leader), messages.OrderDone)
        self.counts["leaders_killed"] += 1
        await trio.sleep(self.plan.disturbances.failure_down_s)
        await self.host_of[leader].call(messages.StartMember(leader), messages.OrderDone)
