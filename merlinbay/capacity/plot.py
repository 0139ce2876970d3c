"""Fits as SVG: the values measured, the chosen form with its interval, up to the plan's size."""

from __future__ import annotations

from pathlib import Path

import matplotlib
import numpy as np

from merlinbay.capacity.fit import Choice

matplotlib.use("svg")  # no screen
matplotlib.rcParams.update({"svg.hashsalt": "merlinbay", "svg.fonttype": "none"})  # the same file each time

import matplotlib.pyplot as plt  # noqa: E402

CURVE_POINTS = 60


def save(path: Path, title: str, choice: Choice, size: float | None = None) -> None:
    """Draw one fit."""
    largest = max([*choice.sizes, *([size] if size is not None else [])])
    curve = np.geomspace(min(choice.sizes), largest, CURVE_POINTS)
    predictions = [choice.predict(float(at)) for at in curve]
    figure, axes = plt.subplots(figsize=(5, 3.2), layout="constrained")
    axes.fill_between(curve, [one.low for one in predictions], [one.high for one in predictions], alpha=0.2)
    axes.plot(curve, [one.value for one in predictions], label=choice.chosen.form.value)
    axes.plot(choice.sizes, choice.values, "o", markersize=4, label="measured")
    axes.set_xscale("log")
    axes.set_xlabel("size")
    axes.set_title(title, fontsize=9)
    axes.legend(fontsize=8)
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
