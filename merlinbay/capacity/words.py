"""Quantities in words, to three digits, the same on every machine."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping, Sequence

from merlinbay.capacity.fit import Estimate
from merlinbay.capacity.formula import evaluate

PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))
UNITS_WITH_PREFIX = ("B", "B/s")
SECONDS = "s"
SMALL_TIMES = ((1e-3, "ms"), (1e-6, "us"))
CORE = "core"
PLACEHOLDER = re.compile(r"\{([^{}:]+):([^{}]*)\}")  # {formula:unit}


def number(value: float) -> str:
    """Return a number to three digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value:g}"
    digits = 2 - math.floor(math.log10(abs(value)))
    rounded = round(value, digits)
    if abs(rounded) >= 1000:
        return f"{rounded:,.0f}"
    if abs(rounded) < 1e-4:
        return f"{rounded:.3g}"
    return f"{rounded:.{max(digits, 0)}f}".rstrip("0").rstrip(".") if digits > 0 else f"{rounded:.0f}"


def quantity(value: float, unit: str) -> str:
    """Return a value with its unit: shares of a core as percent, bytes with k, M or G."""
    if unit == CORE:
        return f"{number(value * 100)} % of a core"
    if unit in UNITS_WITH_PREFIX:
        for factor, prefix in PREFIXES:
            if abs(value) >= factor * 0.9995:
                return f"{number(value / factor)} {prefix}{unit}"
    if unit == SECONDS and 0 < abs(value) < 1:
        factor, prefix = next((one for one in SMALL_TIMES if abs(value) >= one[0]), SMALL_TIMES[-1])
        return f"{number(value / factor)} {prefix}"
    return f"{number(value)}{unit}" if unit.startswith("/") else f"{number(value)} {unit}".strip()


def interval(estimate: Estimate, unit: str) -> str:
    """Return a value, with its interval where it has one."""
    value = quantity(estimate.value, unit)
    if estimate.low == estimate.high:
        return value
    return f"{value} ({quantity(estimate.low, unit)} to {quantity(estimate.high, unit)})"


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return a table in Markdown."""
    lines = [header, ["---"] * len(header), *rows]
    return ["| " + " | ".join(cell.replace("|", "\\|") or " " for cell in line) + " |" for line in lines]


def placeholders(text: str) -> list[tuple[str, str]]:
    """Return the formulas in a text, each with its unit."""
    return PLACEHOLDER.findall(text)


def filled(text: str, values: Mapping[str, float]) -> str:
    """Return a text with its formulas worked out."""
    return PLACEHOLDER.sub(lambda found: quantity(evaluate(found[1], values), found[2]), text)
