"""Whether hollow members stand for real ones: ratios of their figures, and what follows for rows. No I/O."""

from __future__ import annotations

import msgspec

from merlinbay.scale.results import RoleMeasurement

TOLERANCE = 0.15  # beyond it a hollow figure is not used as it stands
QUANTITIES = (
    "bytes_sent_per_s",
    "bytes_received_per_s",
    "messages_sent_per_s",
    "messages_received_per_s",
    "cpu_share",
    "memory_bytes",
)


def ratios(real: RoleMeasurement, hollow: RoleMeasurement) -> dict[str, float]:
    """Return real over hollow, for each quantity that both have."""
    found: dict[str, float] = {}
    for quantity in QUANTITIES:
        one, other = getattr(real, quantity), getattr(hollow, quantity)
        if one > 0 and other > 0:
            found[quantity] = round(one / other, 4)
    return found


def unusable(found: dict[str, float]) -> tuple[str, ...]:
    """Return the quantities in which hollow members do not stand for real ones."""
    return tuple(quantity for quantity in QUANTITIES if abs(found.get(quantity, 0.0) - 1) > TOLERANCE)


def calibrated(row: RoleMeasurement, found: dict[str, float], apply: bool) -> RoleMeasurement:
    """Mark a hollow row, or multiply its figures by the ratios."""
    if not row.hollow:
        return row
    if not apply:
        return msgspec.structs.replace(row, ratios=found, unusable=unusable(found))
    changed = {quantity: getattr(row, quantity) * ratio for quantity, ratio in found.items()}
    if "memory_bytes" in changed:
        changed["memory_bytes"] = round(changed["memory_bytes"])
    if "bytes_sent_per_s" in found:
        changed["busiest_bytes_sent_per_s"] = row.busiest_bytes_sent_per_s * found["bytes_sent_per_s"]
    left = tuple(quantity for quantity in unusable(found) if quantity not in found)
    return msgspec.structs.replace(row, **changed, ratios=found, ratios_applied=True, unusable=left)


def lines(role: str, found: dict[str, float], apply: bool) -> list[str]:
    """Return what is printed of a calibration."""
    bad = unusable(found)
    said = []
    for quantity in QUANTITIES:
        ratio = f"{found[quantity]:.3f}" if quantity in found else "not measured"
        verdict = (
            "" if quantity not in bad else ", applied" if apply and quantity in found else ", NOT USABLE"
        )
        said.append(f"calibration {role}: {quantity} real / hollow = {ratio}{verdict}")
    return said
