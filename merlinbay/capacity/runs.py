"""Scale runs as they lie in a folder, and the values of one metric of one role over the sizes in them."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from fnmatch import fnmatch
from pathlib import Path
from statistics import median

import msgspec

from merlinbay.scale.results import FORMAT, RoleMeasurement, ScaleRun

RATE_METRICS = (
    "bytes_sent_per_s",
    "bytes_received_per_s",
    "busiest_bytes_sent_per_s",
    "messages_sent_per_s",
    "messages_received_per_s",
    "cpu_share",
)
MEMORY, BASE_MEMORY = "memory_bytes", "base_memory_bytes"
METRICS = (*RATE_METRICS, MEMORY, BASE_MEMORY)
COUNTS = "counts."  # how metrics begin that are one of the counts
CALIBRATION = "calibration"  # the count that marks rows of that step
TOLERANCE = 0.15  # the most that hollow and real members may differ by and still count as alike


class ScaleRunError(ValueError):
    """A file that is not a scale run, or a metric that there is none of."""


@dataclass(frozen=True)
class RunFile:
    """A run and the name of its file."""

    name: str
    run: ScaleRun


@dataclass(frozen=True)
class Point:
    """One value of a metric."""

    run: str  # the file's name
    size: int
    hollow: bool
    value: float
    calibration: bool  # of the step that puts real members beside hollow ones
    corrected: bool  # the run has already multiplied it by the ratio to real ones
    base_bytes: int  # what was taken off a process's memory


@dataclass(frozen=True)
class Metric:
    """What is read from a role's rows.

    ``name`` is a field of ``RoleMeasurement``, ``times.NAME.PERCENTILE`` or ``counts.NAME``. With ``per``, a
    rate is turned into a value for each of these counts, for example processor seconds a change.
    """

    name: str
    per: str = ""

    def of(self, row: RoleMeasurement) -> float | None:
        """Return the value of a row, or None where the row lacks it."""
        value = self._read(row)
        if value is None or not self.per:
            return value
        count = row.counts.get(self.per, 0)
        total = value if self.name.startswith(COUNTS) else value * row.seconds
        return total / count if count else None

    def _read(self, row: RoleMeasurement) -> float | None:
        if self.name.startswith(COUNTS):
            return row.counts.get(self.name.removeprefix(COUNTS))
        if self.name.startswith("times."):
            _, kind, percentile = self.name.split(".")
            times = row.times.get(kind)
            return None if times is None else float(getattr(times, percentile))
        if self.name not in METRICS:
            raise ScaleRunError(f"there is no metric {self.name!r}")
        return float(getattr(row, self.name))


@dataclass(frozen=True)
class Series:
    """The values of one metric of one role that a fit is made of, and how real members compare."""

    points: tuple[Point, ...]
    calibration: Calibration | None

    @property
    def runs(self) -> tuple[str, ...]:
        """Return the files that the values come from."""
        return tuple(sorted({point.run for point in self.points}))


@dataclass(frozen=True)
class Calibration:
    """Real beside hollow members of the same role at the same sizes.

    Where memory was measured with what a process holds on its own, which is the same at any size, the
    difference is added. All else is multiplied by the ratio.
    """

    sizes: tuple[int, ...]
    ratio: float  # real over hollow, the median over the sizes
    difference: float  # real less hollow, the median over the sizes
    corrected: bool  # the values have been multiplied by the ratio in the run
    whole_process: bool  # of memory: the real members' has what a process holds on its own

    @property
    def alike(self) -> bool:
        """Say whether hollow figures may be used as they are."""
        return abs(self.ratio - 1) <= TOLERANCE


def read_run(path: Path) -> RunFile:
    """Read one file."""
    try:
        run = msgspec.json.decode(path.read_bytes(), type=ScaleRun)
    except (OSError, msgspec.DecodeError) as error:
        raise ScaleRunError(f"{path}: {error}") from error
    if run.format != FORMAT:
        raise ScaleRunError(f"{path}: its format is {run.format}, but {FORMAT} is read")
    return RunFile(path.name, run)


def read_folder(folder: Path) -> list[RunFile]:
    """Read all runs of a folder, in the order of their names; none where there is no folder."""
    return [read_run(path) for path in sorted(folder.glob("*.json"))]


def series(files: Iterable[RunFile], plan: str, role: str, metric: Metric) -> Series:
    """Return a role's values in the runs whose plan matches a pattern: the hollow members', if any."""
    points = list(_points(files, plan, role, metric))
    hollow = [point for point in points if point.hollow]
    real = [point for point in points if not point.hollow]
    corrected = [point for point in hollow if point.corrected]
    measured = [point for point in hollow if not point.calibration]  # that step has other conditions
    return Series(tuple(corrected or measured or real), _calibrate(hollow, real))


def _points(files: Iterable[RunFile], plan: str, role: str, metric: Metric) -> Iterable[Point]:
    for file in files:
        if not fnmatch(file.run.plan, plan or "*"):
            continue
        for row in file.run.rows:
            value = metric.of(row) if row.role == role else None
            if value is not None and math.isfinite(value):
                yield Point(
                    file.name,
                    row.size,
                    row.hollow,
                    value,
                    bool(row.counts.get(CALIBRATION)),
                    row.ratios_applied,
                    row.base_memory_bytes,
                )


def _by_size(points: Sequence[Point]) -> dict[int, float]:
    """Return the median at each size."""
    found = defaultdict[int, list[float]](list)
    for point in points:
        found[point.size].append(point.value)
    return {size: median(values) for size, values in found.items()}


def _calibrate(hollow: Sequence[Point], real: Sequence[Point]) -> Calibration | None:
    """Compare the two kinds at the sizes that both were measured at: in steps made for it, if any."""
    steps = [point for point in hollow if point.calibration]
    ours, theirs = _by_size(steps or hollow), _by_size(real)
    sizes = tuple(sorted(size for size in ours.keys() & theirs.keys() if ours[size] > 0))
    if not sizes:
        return None
    return Calibration(
        sizes,
        _median_over(sizes, lambda size: theirs[size] / ours[size]),
        _median_over(sizes, lambda size: theirs[size] - ours[size]),
        any(point.corrected for point in hollow),
        not any(point.base_bytes for point in real),
    )


def _median_over(sizes: Sequence[int], value: Callable[[int], float]) -> float:
    return median(value(size) for size in sizes)
