"""Reports as one HTML page each, with plots as SVG inside: nothing is fetched, so it can be kept."""

from __future__ import annotations

import html
import io
import math
from collections.abc import Iterable

import matplotlib
import numpy as np

from merlinbay.emulator.record import STEP_US, SimulationSamples
from merlinbay.emulator.simulation import DaySimulation, SimulationResult
from merlinbay.experiment import stats
from merlinbay.experiment.store import Store

matplotlib.use("svg")  # no screen
matplotlib.rcParams.update(
    {"svg.hashsalt": "merlinbay", "font.size": 9, "axes.spines.top": False, "axes.spines.right": False}
)
import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem }
h1 { font-size: 1.5rem } h2 { font-size: 1.15rem; margin-top: 2rem }
table { border-collapse: collapse; margin: .5rem 0 }
td, th { padding: .25rem .75rem; border-bottom: 1px solid #d8dee4; text-align: right }
td:first-child, th:first-child { text-align: left }
figure { margin: 1rem 0 } figcaption { color: #57606a; font-size: .9rem }
svg { max-width: 100%; height: auto }
.bad { color: #b42318; font-weight: 600 }
"""
BLUE, RED, GREY = "#2f6fde", "#c4432b", "#8b949e"


def svg(figure: Figure, caption: str) -> str:
    """Return a plot as part of a page."""
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    body = text.getvalue()
    return f"<figure>{body[body.index('<svg') :]}<figcaption>{html.escape(caption)}</figcaption></figure>"


def rows(heads: list[str], lines: Iterable[Iterable[object]]) -> str:
    """Return a table."""

    def cells(line: Iterable[object], tag: str) -> str:
        return "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in line)

    return (
        f"<table><tr>{cells(heads, 'th')}</tr>"
        + "".join(f"<tr>{cells(line, 'td')}</tr>" for line in lines)
        + "</table>"
    )


def page(title: str, parts: Iterable[str]) -> str:
    """Return a whole page."""
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(title)}</h1>{''.join(parts)}</html>"
    )


def shade(axes: Axes, day: DaySimulation) -> None:
    """Mark when something was wrong."""
    for mark in day.marks:
        axes.axvspan(
            mark.at_us / 1e6, max(mark.until_us, mark.at_us + 200_000) / 1e6, color=RED, alpha=0.08, lw=0
        )


def by_second(day: DaySimulation) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
    """Return seconds, the share in time of the requests first made in each, and their number."""
    account, count = day.callers.account, math.ceil(day.script.seconds)
    asked, good = np.zeros(count), np.zeros(count)
    for at, ok in zip(account.first_us, account.in_time, strict=True):
        second = min(at // 1_000_000, count - 1)
        asked[second] += 1
        good[second] += ok
    share = np.divide(good, asked, out=np.full(count, np.nan), where=asked > 0)
    return np.arange(count), share, asked


def day_page(day: DaySimulation, record: SimulationSamples, result: SimulationResult) -> str:
    """Return the report of one day, for the operator after an incident."""
    seconds, share, asked = by_second(day)
    figure, axes = plt.subplots(figsize=(9, 2.6))
    shade(axes, day)
    axes.plot(seconds, share, color=BLUE, lw=1.6)
    axes.set(ylim=(0, 1.03), xlim=(0, day.script.seconds), xlabel="second", ylabel="seated in time")
    parts = [
        f"<p>{html.escape(day.script.about)}</p>",
        rows(
            ["", "figure", "in time", "worst 10 s", "refused", "failed", "lost", "median", "99 %"],
            [
                [
                    f"{result.policy}, seed {result.seed}",
                    f"{result.figure:.3f}",
                    f"{result.in_time:.1%}",
                    f"{result.worst:.1%}",
                    result.refused,
                    result.failed,
                    result.lost,
                    f"{result.half_ms:.0f} ms",
                    f"{result.late_ms:.0f} ms",
                ]
            ],
        ),
    ]
    if result.broken:
        parts.append(f"<p class=bad>A rule was broken: {html.escape(result.broken)}</p>")
    parts += [
        "<h2>What went wrong</h2>",
        rows(
            ["what", "from", "to", "at"],
            [
                [
                    mark.what.replace("_", " "),
                    f"{mark.at_us / 1e6:.1f} s",
                    f"{mark.until_us / 1e6:.1f} s",
                    mark.about,
                ]
                for mark in day.marks
            ],
        )
        if day.marks
        else "<p>Nothing.</p>",
        "<h2>Callers</h2>",
        svg(
            figure,
            "Share of the callers of each second who were seated in time; shaded: something was wrong.",
        ),
    ]
    figure, axes = plt.subplots(figsize=(9, 2.2))
    shade(axes, day)
    axes.plot(seconds, asked, color=GREY, lw=1.2, label="asked for")
    refused = np.diff(np.array([0, *record.refused])[:: record_a_second()])
    axes.plot(np.arange(1, len(refused) + 1), refused, color=RED, lw=1.2, label="refused")
    axes.set(xlim=(0, day.script.seconds), xlabel="second", ylabel="a second")
    axes.legend(frameon=False, loc="lower right", bbox_to_anchor=(1, 1), ncols=2)
    parts.append(svg(figure, "Requests asked for, and tries refused, a second."))
    took = np.sort([found for found in day.callers.account.took_us if found >= 0]) / 1000
    if len(took):
        figure, axes = plt.subplots(figsize=(9, 2.2))
        axes.plot(100 * np.arange(1, len(took) + 1) / len(took), took, color=BLUE, lw=1.6)
        axes.set(yscale="log", xlabel="percentile", ylabel="ms until seated", xlim=(0, 100))
        parts.append(svg(figure, "How long it took until callers were seated, of those who were."))
    parts += ["<h2>Servers</h2>", heat(day, record)]
    return page(f"{day.script.name}: {result.in_time:.1%} seated in time", parts)


def record_a_second() -> int:
    """Return how many samples a record has of each second."""
    return 1_000_000 // STEP_US


def heat(day: DaySimulation, record: SimulationSamples) -> str:
    """Return each server's load over time."""
    load = np.array(record.load).T
    figure, axes = plt.subplots(figsize=(9, 0.22 * len(load) + 1))
    shown = np.ma.masked_less(load, 0)
    colours = matplotlib.colormaps["viridis"].with_extremes(bad=RED)
    image = axes.imshow(
        shown,
        aspect="auto",
        cmap=colours,
        vmin=0,
        vmax=2,
        interpolation="nearest",
        extent=(0, record.at_s[-1], len(load) - 0.5, -0.5),
    )
    axes.set(yticks=range(len(load)), yticklabels=list(day.servers), xlabel="second")
    figure.colorbar(image, ax=axes, label="jobs a slot", pad=0.01)
    return svg(
        figure, "Jobs that each server holds, over its slots: 1 is full, above that some wait; red: down."
    )


def grid_page(store: Store, title: str) -> str:
    """Return the report of an experiment."""
    parts = []
    groups = store.groups()
    for script in dict.fromkeys(group[0] for group in groups):
        mine = [group for group in groups if group[0] == script]
        found = [
            (
                group,
                {
                    name: stats.mean_of(list(store.column(name, *group).values()))
                    for name in ("in_time", "worst", "figure", "refused")
                },
            )
            for group in mine
        ]
        labels = [
            f"{policy} {settings if settings != '{}' else ''}".strip() for (_, settings, policy), _ in found
        ]
        figure, axes = plt.subplots(figsize=(9, 0.32 * len(found) + 1))
        for name, colour, shift in (("in_time", BLUE, -0.12), ("worst", RED, 0.12)):
            values = [interval[name] for _, interval in found]
            axes.errorbar(
                [value.mean for value in values],
                np.arange(len(found)) + shift,
                fmt="o",
                color=colour,
                ms=4,
                xerr=[
                    [value.mean - value.low for value in values],
                    [value.high - value.mean for value in values],
                ],
                label="in time" if name == "in_time" else "worst 10 s",
            )
        axes.set(yticks=range(len(found)), yticklabels=labels, xlabel="share of callers")
        axes.invert_yaxis()
        axes.legend(frameon=False, loc="lower left")
        parts += [
            f"<h2>{html.escape(script)}</h2>",
            svg(figure, "Means over the seeds, with 95 % intervals."),
            rows(
                ["policy", "in time", "worst 10 s", "figure", "refused a day"],
                [
                    [
                        label,
                        *(interval[name] for name in ("in_time", "worst", "figure")),
                        f"{interval['refused'].mean:.0f}",
                    ]
                    for label, (_, interval) in zip(labels, found, strict=True)
                ],
            ),
        ]
    for broken in store.broken():
        parts.append(f"<p class=bad>A rule was broken: {html.escape(' '.join(map(str, broken)))}</p>")
    return page(title, parts)
