"""The regions of all scenarios."""

from __future__ import annotations

REGIONS = ("north", "south", "west")
