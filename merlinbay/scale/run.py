"""A scale run: all sizes of a plan, the calibration first, and the file of results."""

from __future__ import annotations

import os
import platform
import signal
import subprocess
import tempfile
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

import msgspec
import trio

from merlinbay.rig.run import first, own_net
from merlinbay.scale import calibration, messages, meters
from merlinbay.scale.layout import ProcessLayout
from merlinbay.scale.limits import unfit
from merlinbay.scale.meters import ProcessReading
from merlinbay.scale.plan import DAY_S, ScalePlan
from merlinbay.scale.processes import HostProcess, ProcessFailedError, real_reading, until_quiet
from merlinbay.scale.registry import ROLES
from merlinbay.scale.results import FORMAT, RoleMeasurement, ScaleRun
from merlinbay.scale.roles import RunFacts, Variant
from merlinbay.scale.step import Idle, SizeStep

IDLE_PROCESSES = 3  # real ones: what one takes varies
ROOT = Path(__file__).parent.parent.parent

Say = Callable[[str], None]


def misfits(plan: ScalePlan) -> dict[int, str]:
    """Return the sizes that do not fit the plan's limits, and why."""
    needs = {role.role: ROLES[role.role].need(role) for role in plan.role}
    found = {size: unfit(plan, size, plan.real_members(), needs) for size in plan.sizes}
    if (wanted := plan.calibration) is not None and not found.get(wanted.size):
        found[wanted.size] = unfit(plan, wanted.size, {wanted.role: wanted.real}, needs)
    return {size: why for size, why in found.items() if why}


def machine() -> str:
    """Return what this machine is, in words."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    names = [
        line.partition(":")[2].strip()
        for line in Path("/proc/cpuinfo").read_text().splitlines()
        if line.startswith("model name")
    ]
    return f"{os.cpu_count()} cores, {pages / 2**30:.0f} GiB, {names[0] if names else platform.machine()}"


def commit() -> str:
    """Return the commit that runs, with a plus sign where files differ from it."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"], cwd=ROOT, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return found.stdout.strip()


def conditions(plan: ScalePlan) -> str:
    """Return in words what the run was under."""
    topology, disturbances = plan.topology, plan.disturbances
    events = (disturbances.failures_a_day + disturbances.restarts_a_day) * disturbances.rate_factor
    parts = [
        f"{topology.regions} regions, {topology.zones} zones; one-way delay in a zone "
        f"{topology.same_zone_ms:g} ms, between zones {topology.same_region_ms:g} ms, "
        f"between regions {topology.between_regions_ms:g} ms, on what hollow members send; no loss",
        f"failures and restarts at {disturbances.rate_factor:g} times "
        f"{disturbances.failures_a_day:g} and {disturbances.restarts_a_day:g} a day"
        + (f", one each {DAY_S / events:.1f} s" if events else ""),
        f"share of members with moving gauges {disturbances.moving_gauges_share:g}",
        f"warm-up {plan.warm_up_s:g} s, measured {plan.measured_s:g} s, seed {plan.seed}",
    ]
    if disturbances.single_death:
        parts.append("one death, measured from it until all agree")
    return "; ".join(parts)


class Runner:
    """One run of one plan."""

    def __init__(self, plan: ScalePlan, name: str, out: Path, say: Say) -> None:
        self.plan, self.name, self.out, self.say = plan, name, out, say
        self.idle = Idle()
        self.rows: list[RoleMeasurement] = []
        self.ratios: dict[str, dict[str, float]] = {}
        self.loads: list[str] = []
        self.incomplete: list[str] = []
        self.began = time.monotonic()
        self.started = datetime.now(UTC).isoformat(timespec="seconds")

    async def play(self, sizes: list[int], folder: Path) -> None:
        """Play all sizes; the file is written after each, so that a run that is cut short leaves one."""
        try:
            await self._watch_idle(folder / "idle")
            await self._calibrate(folder / "calibration")
            for size in sizes:
                rows = await self._step(
                    size, self.plan.real_members(), folder / f"size-{size}", self.plan.measured_s
                )
                self.rows += [self._marked(row) for row in rows]
                self.write()
        except ProcessFailedError as error:
            self.incomplete.append(str(error))
        except BaseExceptionGroup as group:
            failed = group.subgroup(ProcessFailedError)
            if failed is None:
                raise
            self.incomplete.append(str(first(failed)))
        self.write()

    async def _watch_idle(self, folder: Path) -> None:
        """Measure an empty hollow process, and real ones without the role, as members are measured."""
        folder.mkdir(parents=True)
        role = self.plan.role[0]
        run = RunFacts(
            127, 0, self.plan.seed, folder, self.plan.topology, self.plan.disturbances, {role.role: []}
        )
        host = HostProcess(ProcessLayout(role, ()))
        setup = messages.Setup(
            run.net, 0, run.seed, str(folder), run.topology, run.disturbances, run.numbers, role, []
        )
        try:
            await host.start(setup)
            before = await host.call(messages.GetReading(), messages.Reading)
            await trio.sleep(self.plan.idle_s)
            after = await host.call(messages.GetReading(), messages.Reading)
            self.idle.hollow = meters.idle_share(before.process, after.process)
        finally:
            await host.end()
        real = set(self.plan.real_members())
        if self.plan.calibration is not None:
            real.add(self.plan.calibration.role)
        for name in sorted(real):
            await self._watch_real_idle(folder, name)

    async def _watch_real_idle(self, folder: Path, name: str) -> None:
        """Measure what the program takes without the role, and in memory with the role but no others."""
        without = await self._watch_real(folder, name, Variant.WITHOUT_ROLE)
        shares = [meters.idle_share(one, two) for one, two in without]
        self.idle.real[name] = sum(shares) / len(shares)
        alone = await self._watch_real(folder, name, Variant.ALONE)
        self.idle.real_memory[name] = sum(two.memory_bytes for _, two in alone) // len(alone)

    async def _watch_real(
        self, folder: Path, name: str, variant: Variant
    ) -> list[tuple[ProcessReading, ProcessReading]]:
        role = next(role for role in self.plan.role if role.role == name)
        numbers = list(range(IDLE_PROCESSES))
        run = RunFacts(
            own_net(), 0, self.plan.seed, folder, self.plan.topology, self.plan.disturbances, {name: numbers}
        )
        members = [ROLES[name].real(role, run, number, variant) for number in numbers]
        try:
            for member in members:
                member.start()
            await until_quiet([member.pid for member in members])
            before = [real_reading(member.pid, 0) for member in members]
            await trio.sleep(self.plan.idle_s)
            after = [real_reading(member.pid, 0) for member in members]
        finally:
            for member in members:
                member.kill()
        return list(zip(before, after, strict=True))

    async def _calibrate(self, folder: Path) -> None:
        wanted = self.plan.calibration
        if wanted is None:
            return
        rows = await self._step(wanted.size, {wanted.role: wanted.real}, folder, wanted.measured_s)
        real = next(row for row in rows if row.role == wanted.role and not row.hollow)
        hollow = next(row for row in rows if row.role == wanted.role and row.hollow)
        self.ratios[wanted.role] = calibration.ratios(real, hollow)
        for line in calibration.lines(wanted.role, self.ratios[wanted.role], wanted.apply_ratio):
            self.say(line)
        marked = msgspec.structs.replace(
            hollow,
            ratios=self.ratios[wanted.role],
            unusable=calibration.unusable(self.ratios[wanted.role]),
            counts={**hollow.counts, "calibration": 1},
        )
        self.rows += [msgspec.structs.replace(real, counts={**real.counts, "calibration": 1}), marked]
        self.write()

    def _marked(self, row: RoleMeasurement) -> RoleMeasurement:
        wanted = self.plan.calibration
        if wanted is None or row.role not in self.ratios:
            return row
        return calibration.calibrated(row, self.ratios[row.role], wanted.apply_ratio)

    async def _step(
        self, size: int, real: dict[str, int], folder: Path, measured_s: float
    ) -> list[RoleMeasurement]:
        load = os.getloadavg()[0]
        rows = await SizeStep(self.plan, size, real, self.idle, folder, measured_s).play()
        self.loads.append(f"{size}: {load:.1f} to {os.getloadavg()[0]:.1f}")
        for row in rows:
            self.say(line_of(row))
        return rows

    def write(self) -> None:
        """Write what has been measured so far."""
        found = ScaleRun(
            FORMAT,
            self.name,
            commit(),
            machine(),
            self.started,
            round(time.monotonic() - self.began, 1),
            f"{conditions(self.plan)}; load of the machine by size, others' work included: "
            + ", ".join(self.loads),
            tuple(self.rows),
            "; ".join(self.incomplete),
        )
        self.out.parent.mkdir(parents=True, exist_ok=True)
        fresh = self.out.with_suffix(".new")
        fresh.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
        fresh.replace(self.out)


def line_of(row: RoleMeasurement) -> str:
    """Return a row in one line."""
    kind = "hollow" if row.hollow else "real"
    times = "".join(
        f"; {name} p50 {one.p50:.2f} p99 {one.p99:.2f} p99.9 {one.p999:.2f} most {one.most:.2f} s"
        f" ({one.count})"
        for name, one in row.times.items()
    )
    full = row.counts.get("processes_over_their_core", 0)
    return (
        f"{row.role} {row.size} ({row.members} {kind}): sent {row.bytes_sent_per_s:,.0f} B/s in "
        f"{row.messages_sent_per_s:.1f}/s, busiest {row.busiest_bytes_sent_per_s:,.0f} B/s, "
        f"cpu {100 * row.cpu_share:.3f} %, memory {row.memory_bytes / 1024:,.0f} KiB{times}"
        + (f"; {full} PROCESSES AT THEIR LIMIT" if full else "")
    )


def play(plan: ScalePlan, name: str, sizes: list[int], out: Path, say: Say) -> str:
    """Play a plan's sizes; return why it was cut short; empty: it was not. The results are in ``out``."""
    # Guards against processes that outlive a run that is told to end: SIGTERM ends it as Ctrl-C does.
    before = signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    runner = Runner(plan, name, out, say)
    left = [size for size in plan.sizes if size not in sizes]
    if left:
        runner.incomplete.append(f"sizes not run: {', '.join(map(str, left))}")
    try:
        with tempfile.TemporaryDirectory(prefix="merlinbay-scale-") as made:
            trio.run(runner.play, sizes, Path(made))
    finally:
        signal.signal(signal.SIGTERM, before)
    return "; ".join(runner.incomplete)
