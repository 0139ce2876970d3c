"""Structured log events on standard error by structlog, as JSON or for a console."""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass

import structlog

from merlinbay.log import Log


@dataclass(slots=True)
class EventRate:
    """How often one event was written."""

    second: int  # that ``lines`` counts in
    lines: int = 0  # written in that second
    dropped: int = 0  # since the last one written


class EventLog(Log):
    """Writes events; counts those beyond an event's limit and writes the count with its next one."""

    def __init__(self, lines_per_s: int, output: str, level: str, node: str) -> None:
        super().__init__(lines_per_s)
        self.least_level = logging.getLevelNamesMapping()[level.upper()]
        self.writes_debug = level == "debug"
        self.rates: dict[str, EventRate] = {}  # by event name
        renderer = (
            structlog.processors.JSONRenderer()
            if output == "json"
            else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
        )
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            wrapper_class=structlog.BoundLogger,
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper("iso"),
                renderer,
            ],
        ).bind(node=node)

    def event(self, name: str, **values: object) -> None:
        """Write an event; ``level`` among its values is its level."""
        level = str(values.pop("level", "info"))
        if logging.getLevelNamesMapping()[level.upper()] < self.least_level:
            return
        second = int(time.monotonic())
        rate = self.rates.setdefault(name, EventRate(second))
        if rate.second != second:
            rate.second, rate.lines = second, 0
        if rate.lines >= self.lines_per_s:
            rate.dropped += 1
            return
        if rate.dropped:
            values["dropped_before"] = rate.dropped
        rate.lines, rate.dropped = rate.lines + 1, 0
        getattr(self.logger, level)(name, **values)

    def line(self, text: str) -> None:
        """Write a line that has no event name of its own."""
        self.event("note", text=text)
