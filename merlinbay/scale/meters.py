"""What is metered of members and processes, and the arithmetic from readings to a row. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from merlinbay.scale.results import Percentiles, RoleMeasurement

MOST_US = 3600 * 1_000_000  # what the histograms can hold
DIGITS = 3


class Traffic(msgspec.Struct):
    """Bytes and messages of a member. A message is a datagram, a send on a stream, or a receipt from one."""

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0

    def sent(self, size: int) -> None:
        """Count a message sent."""
        self.bytes_sent += size
        self.messages_sent += 1

    def received(self, size: int) -> None:
        """Count a message received."""
        self.bytes_received += size
        self.messages_received += 1

    def since(self, before: Traffic) -> Traffic:
        """Return what was counted after an earlier copy."""
        return Traffic(
            self.bytes_sent - before.bytes_sent,
            self.bytes_received - before.bytes_received,
            self.messages_sent - before.messages_sent,
            self.messages_received - before.messages_received,
        )

    def times(self, factor: float) -> Traffic:
        """Return it multiplied and rounded."""
        return Traffic(*(round(value * factor) for value in msgspec.structs.astuple(self)))

    def plus(self, other: Traffic) -> Traffic:
        """Return the sum."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return Traffic(*(one + two for one, two in pairs))


class ProcessReading(msgspec.Struct, frozen=True):
    """What a process has used up to a moment."""

    at: float  # seconds of the machine's monotonic clock
    cpu_s: float
    memory_bytes: int
    members: int
    base_memory_bytes: int  # before it had members; of a real process: of one without the role


def idle_share(before: ProcessReading, after: ProcessReading) -> float:
    """Return the share of a core that a process without members took."""
    return (after.cpu_s - before.cpu_s) / (after.at - before.at)


def cpu_share(pairs: Sequence[tuple[ProcessReading, ProcessReading]], idle: float) -> float:
    """Return the share of a core that a member took: each process's less an idle one's, over all members."""
    members = sum(after.members for _, after in pairs)
    return max(sum(idle_share(before, after) - idle for before, after in pairs), 0.0) / members


def memory_bytes(readings: Sequence[ProcessReading]) -> int:
    """Return what a member takes: the growth of the processes over their members."""
    growth = sum(reading.memory_bytes - reading.base_memory_bytes for reading in readings)
    return max(round(growth / sum(reading.members for reading in readings)), 0)


def percentiles(seconds: Iterable[float]) -> Percentiles | None:
    """Return the percentiles of some times; None: there are none."""
    histogram = HdrHistogram(1, MOST_US, DIGITS)
    count, most = 0, 0.0
    for value in seconds:
        histogram.record_value(min(max(round(value * 1e6), 1), MOST_US))
        count, most = count + 1, max(most, value)
    if not count:
        return None
    p50, p99, p999 = (histogram.get_value_at_percentile(share) / 1e6 for share in (50, 99, 99.9))
    return Percentiles(count, min(p50, most), min(p99, most), min(p999, most), most)


def row(
    role: str,
    size: int,
    hollow: bool,
    traffic: Sequence[Traffic],
    processes: Sequence[tuple[ProcessReading, ProcessReading]],
    idle: float,
    seconds: float,
    times: dict[str, list[float]],
    counts: dict[str, int],
) -> RoleMeasurement:
    """Put a row together; ``traffic`` has one entry for each member that ran all the time."""
    total = Traffic()
    for one in traffic:
        total = total.plus(one)
    over = seconds * max(len(traffic), 1)
    found = {what: percentiles(values) for what, values in sorted(times.items())}
    return RoleMeasurement(
        role=role,
        size=size,
        members=sum(after.members for _, after in processes),
        hollow=hollow,
        seconds=round(seconds, 3),
        bytes_sent_per_s=total.bytes_sent / over,
        bytes_received_per_s=total.bytes_received / over,
        messages_sent_per_s=total.messages_sent / over,
        messages_received_per_s=total.messages_received / over,
        cpu_share=cpu_share(processes, idle),
        idle_loop_cpu_share=idle,
        memory_bytes=memory_bytes([after for _, after in processes]),
        base_memory_bytes=round(sum(after.base_memory_bytes for _, after in processes) / len(processes)),
        busiest_cpu_share=max(cpu_share([pair], idle) for pair in processes if pair[1].members),
        busiest_bytes_sent_per_s=max((one.bytes_sent for one in traffic), default=0) / seconds,
        times={what: value for what, value in found.items() if value is not None},
        counts=dict(sorted(counts.items())),
    )
