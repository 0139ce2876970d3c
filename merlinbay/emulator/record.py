"""What a day looked like, moment by moment: for reports. Looking changes nothing and draws nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from merlinbay.emulator.loop import Order
from merlinbay.emulator.simulation import DaySimulation

STEP_US = 250_000


@dataclass
class SimulationSamples:
    """Samples of a day."""

    at_s: list[float] = field(default_factory=list)
    # Of each server: held jobs over its slots; -1: it is down.
    load: list[list[float]] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)  # tries, in all so far
    lost: list[int] = field(default_factory=list)
    sends: list[int] = field(default_factory=list)
    free: list[float] = field(default_factory=list)  # share of the slots that are free


def watch(day: DaySimulation) -> SimulationSamples:
    """Have a day recorded while it is played."""
    record = SimulationSamples()

    def look() -> None:
        record.at_s.append(day.loop.now / 1e6)
        record.load.append(
            [
                -1.0
                if server.state == "down"
                else (len(server.running) + len(server.waiting)) / server.kind.slots
                for server in day.servers.values()
            ]
        )
        account = day.callers.account
        record.refused.append(account.refused)
        record.lost.append(account.lost)
        record.sends.append(sum(node.sends for node in day.nodes))
        slots = sum(server.kind.slots for server in day.servers.values())
        record.free.append(
            sum(server.free for server in day.servers.values() if server.state == "up") / slots
        )
        if day.loop.now < day.script.seconds * 1e6:
            day.loop.at(day.loop.now + STEP_US, Order.TIMER, look)

    day.loop.at(0, Order.TIMER, look)
    return record
