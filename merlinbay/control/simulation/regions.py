"""The names of the regions, which all scenarios share."""

from __future__ import annotations

REGIONS = ("north", "south", "west")
