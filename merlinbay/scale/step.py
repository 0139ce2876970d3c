"""One size of a run: processes are started, come to rest, are disturbed and read. Makes the size's rows."""

from __future__ import annotations

import time
from array import array
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import trio

from merlinbay.rig.run import own_net
from merlinbay.scale import messages, meters
from merlinbay.scale.disturbances import COMMITTED, OBSERVED, DisturbanceRunner
from merlinbay.scale.layout import ProcessLayout, address_of, layout
from merlinbay.scale.meters import ProcessReading, Traffic
from merlinbay.scale.plan import RolePlan, ScalePlan
from merlinbay.scale.processes import HostProcess, ProcessFailedError, real_reading
from merlinbay.scale.registry import ROLES
from merlinbay.scale.results import RoleMeasurement
from merlinbay.scale.roles import RealMember, RunFacts, Variant
from merlinbay.scale.schedule import DisturbanceKind

LOOK_S = 0.5  # between two looks at how far the members are
MISSING = "_missing"  # how many members have not observed what was done, of a count's name
RoleTimes = dict[str, dict[str, list[float]]]  # by role and name
FULL_SHARE = 0.85  # of a core: a hollow process above it is late, and its times are not the members'


@dataclass
class MeterSnapshot:
    """All processes at one moment."""

    hosts: list[messages.Reading]
    real: dict[str, list[ProcessReading]]


@dataclass
class Idle:
    """What processes take without the role."""

    hollow: float = 0.0  # of a core
    real: dict[str, float] = field(default_factory=dict)  # by role,
    real_memory: dict[str, int] = field(default_factory=dict)


class SizeStep:
    """One size."""

    def __init__(
        self, plan: ScalePlan, size: int, real: dict[str, int], idle: Idle, folder: Path, measured_s: float
    ) -> None:
        self.plan, self.size, self.idle, self.measured_s = plan, size, idle, measured_s
        # The role that the sizes are about: it is disturbed, and what is done is to be observed by it.
        self.open_role = next((role for role in plan.role if not role.members), plan.role[-1])
        self.net = own_net()
        hollow, self.alone = layout(plan, size, real)
        self.hosts = [HostProcess(one) for one in hollow]
        self.host_of = {number: host for host in self.hosts for number in host.layout.numbers}
        self.numbers = {
            role.role: sorted(
                [number for one in hollow if one.role is role for number in one.numbers]
                + self.alone[role.role]
            )
            for role in plan.role
        }
        self.run = RunFacts(self.net, size, plan.seed, folder, plan.topology, plan.disturbances, self.numbers)
        folder.mkdir(parents=True)
        self.real: dict[int, RealMember] = {}
        writers = [ROLES[role.role].writer(self.run) for role in plan.role]
        writer = next((one for one in writers if one is not None), None)
        self.happenings = DisturbanceRunner(plan, self.host_of, writer)
        self.counts = self.happenings.counts

    async def play(self) -> list[RoleMeasurement]:
        """Play it; return the rows.

        Raises ``ProcessFailedError``; every process has ended when it returns.
        """
        try:
            await self._start()
            await self._settle(gone=0)
            await trio.sleep(self.plan.warm_up_s)
            if self.plan.disturbances.single_death:
                return await self._one_death()
            return await self._measure()
        finally:
            for host in self.hosts:
                await host.end()
            for member in self.real.values():
                member.kill()

    # Start.

    async def _start(self) -> None:
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(host.start, self._setup(host.layout))
        for role in self.plan.role:
            began = trio.current_time()
            for turn, number in enumerate(self.numbers[role.role]):
                await trio.sleep_until(began + turn * self.size / self.plan.start_budget)
                await self._start_member(role, number)

    def _setup(self, one: ProcessLayout) -> messages.Setup:
        watched = [address_of(self.net, number) for alone in self.alone.values() for number in alone]
        run = self.run
        return messages.Setup(
            run.net,
            run.size,
            run.seed,
            str(run.folder),
            run.topology,
            run.disturbances,
            run.numbers,
            one.role,
            watched,
        )

    async def _start_member(self, role: RolePlan, number: int) -> None:
        if (host := self.host_of.get(number)) is not None:
            await host.call(messages.StartMember(number), messages.OrderDone)
            return
        self.real[number] = ROLES[role.role].real(role, self.run, number, Variant.MEMBER)
        self.real[number].start()

    async def _settle(self, gone: int) -> None:
        """Wait until all members have come to their role's target. Raises ``ProcessFailedError``."""
        began = trio.current_time()
        while True:
            behind = 0
            for host in self.hosts:
                role = host.layout.role
                target = ROLES[role.role].target(role, len(self.numbers[role.role]) - gone)
                found = await host.call(messages.GetProgress(), messages.ProgressReading)
                behind += sum(progress != target for progress in found.members.values())
            if not behind:
                return
            if trio.current_time() - began > self.plan.settle_most_s:
                limit = f"settle_most_s = {self.plan.settle_most_s:g}"
                raise ProcessFailedError(
                    f"size {self.size}: {behind} members have not come to rest within {limit}"
                )
            await trio.sleep(LOOK_S)

    # Measured part.

    async def _snapshot(self) -> MeterSnapshot:
        hosts = [await host.call(messages.GetReading(), messages.Reading) for host in self.hosts]
        real = {
            role: [
                real_reading(self.real[number].pid, self.idle.real_memory.get(role, 0)) for number in numbers
            ]
            for role, numbers in self.alone.items()
        }
        return MeterSnapshot(hosts, real)

    async def _record(self) -> None:
        for host in self.hosts:
            await host.call(messages.StartRecording(), messages.OrderDone)

    async def _measure(self) -> list[RoleMeasurement]:
        await self._record()
        before = await self._snapshot()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.happenings.run, self._touchable(), self.measured_s)
            await trio.sleep(self.measured_s)
            after = await self._snapshot()
        return self._rows(before, after, await self._drained())

    async def _drained(self) -> RoleTimes:
        """Return all times, once every member has observed everything or ``drain_s`` is over."""
        end, wait = trio.current_time() + self.plan.drain_s, LOOK_S
        while True:
            times = await self._times()
            left = end - trio.current_time()
            if left <= 0 or not any(self.counts[name] for name in self.counts if name.endswith(MISSING)):
                return times
            await trio.sleep(min(wait, left))
            wait *= 2

    def _touchable(self) -> list[int]:
        """Return the members that may be disturbed: hollow ones of the role that takes what is left."""
        role = next((role for role in self.plan.role if not role.members), self.plan.role[-1])
        first = set(self.numbers[role.role][:3])  # those that others join by
        return [
            number for number in self.numbers[role.role] if number in self.host_of and number not in first
        ]

    async def _times(self) -> RoleTimes:
        """Return by role how long each thing that was done took to be observed, by every member that did."""
        found: RoleTimes = {}
        counts: Counter[str] = Counter()
        for role in self.plan.role:
            hosts = [host for host in self.hosts if host.layout.role is role]
            seen = await self._observed(hosts)
            members = {number for host in hosts for number in host.layout.numbers}
            observers = len(members - self.happenings.touched)
            times = found[role.role] = {}
            for (what, _), moments in seen.items():
                counts[f"observed_{what}"] += len(moments)
            for done in self.happenings.done:
                if role.role != self.open_role.role:
                    continue
                values = [at - done.at for at in seen.get((done.what, done.subject), []) if at >= done.at]
                counts[f"{done.name}{MISSING}"] += max(observers - len(values), 0)
                times.setdefault(done.name, []).extend(values)
        self.counts.update({name: count - self.counts[name] for name, count in counts.items()})
        if self.happenings.commit_times:
            found[self.plan.role[0].role][COMMITTED] = self.happenings.commit_times
        return found

    async def _observed(self, hosts: list[HostProcess]) -> dict[tuple[str, str], list[float]]:
        """Return when members of some processes observed what about whom."""
        seen: dict[tuple[str, str], list[float]] = {}
        for host in hosts:
            answer = await host.call(messages.GetObservations(), messages.Observations)
            for what, about in answer.times.items():
                for subject, packed in about.items():
                    values = array("d")
                    values.frombytes(packed)
                    seen.setdefault((what, subject), []).extend(values)
        return seen

    # Rows.

    def _rows(self, before: MeterSnapshot, after: MeterSnapshot, times: RoleTimes) -> list[RoleMeasurement]:
        rows: list[RoleMeasurement] = []
        for role in self.plan.role:
            pairs = [
                (one, two)
                for host, one, two in zip(self.hosts, before.hosts, after.hosts, strict=True)
                if host.layout.role is role
            ]
            if pairs:
                rows.append(self._hollow_row(role, pairs, times[role.role]))
            if self.alone[role.role]:
                rows.append(self._real_row(role, before, after))
        return rows

    def _hollow_row(
        self,
        role: RolePlan,
        pairs: list[tuple[messages.Reading, messages.Reading]],
        times: dict[str, list[float]],
    ) -> RoleMeasurement:
        seconds = sum(two.process.at - one.process.at for one, two in pairs) / len(pairs)
        traffic = [
            found.since(one.members[number])
            for one, two in pairs
            for number, found in two.members.items()
            if number not in self.happenings.touched
        ]
        processes = [(one.process, two.process) for one, two in pairs]
        full = sum(meters.idle_share(one, two) > FULL_SHARE for one, two in processes)
        counts = {**self.counts, "processes": len(pairs), "processes_over_their_core": full}
        hollow = role.members_per_process > 1  # else it is a process of its own
        return meters.row(
            role.role, self.size, hollow, traffic, processes, self.idle.hollow, seconds, times, counts
        )

    def _real_row(self, role: RolePlan, before: MeterSnapshot, after: MeterSnapshot) -> RoleMeasurement:
        processes = list(zip(before.real[role.role], after.real[role.role], strict=True))
        seconds = sum(two.at - one.at for one, two in processes) / len(processes)
        real, all_members = len(self.alone[role.role]), len(self.numbers[role.role])
        unseen = (all_members - 1) / (all_members - real) if ROLES[role.role].meshed else 1.0
        traffic = [self._seen_of(number, before, after).times(unseen) for number in self.alone[role.role]]
        idle = self.idle.real.get(role.role, 0.0)
        return meters.row(
            role.role, self.size, False, traffic, processes, idle, seconds, {}, {"processes": len(processes)}
        )

    def _seen_of(self, number: int, before: MeterSnapshot, after: MeterSnapshot) -> Traffic:
        """Return what hollow members saw of a real one's traffic."""
        address, total = address_of(self.net, number), Traffic()
        for one, two in zip(before.hosts, after.hosts, strict=True):
            total = total.plus(two.watched[address].since(one.watched[address]))
        return total

    # One death.

    async def _one_death(self) -> list[RoleMeasurement]:
        """Measure idle for a while, then from one death until all others agree that it is over."""
        await self._record()
        start = await self._snapshot()
        await trio.sleep(self.measured_s)
        before = await self._snapshot()
        victim = self._touchable()[-1]
        self.counts["deaths"] += 1
        began = time.monotonic()
        await self.happenings.kill(victim, OBSERVED[DisturbanceKind.FAIL])
        await self._settle(gone=1)
        agreed_at = time.monotonic()
        after = await self._snapshot()
        times = await self._times()
        times[self.open_role.role]["all_agree"] = [agreed_at - began]
        self._count_busiest(start, before, after, victim)
        return self._rows(before, after, times)

    def _count_busiest(
        self, start: MeterSnapshot, before: MeterSnapshot, after: MeterSnapshot, victim: int
    ) -> None:
        """Count what the busiest member sent for the death, and what it sends in as long a time without."""
        most, usual = 0, 0
        for first, one, two in zip(start.hosts, before.hosts, after.hosts, strict=True):
            span = (two.process.at - one.process.at) / (one.process.at - first.process.at)
            for number, traffic in two.members.items():
                sent = traffic.since(one.members[number]).bytes_sent
                if number != victim and sent > most:
                    most = sent
                    usual = one.members[number].since(first.members[number]).times(span).bytes_sent
        self.counts["busiest_bytes_for_death"] = most
        self.counts["busiest_bytes_without"] = usual
