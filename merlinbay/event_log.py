"""Structured log events on standard error, written by structlog as JSON or for a console."""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass

import structlog

from merlinbay.log import Log


@dataclass(slots=True)
class EventRate:
    """How often an event was written in the current second, and how often it was dropped."""

    second: int  # the second to which ``lines`` applies
    lines: int = 0  # events written in that second
    dropped: int = 0  # events dropped since the last one that was written


class EventLog(Log):
    """Writes events, each event name up to a rate. The next event of a name reports how many were dropped."""

    def __init__(self, lines_per_s: int, output: str, level: str, node: str) -> None:
        super().__init__(lines_per_s)
        self.min_level = logging.getLevelNamesMapping()[level.upper()]
        self.writes_debug = level == "debug"
        self.rates: dict[str, EventRate] = {}  # rates by event name
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
        """Write an event. The value ``level``, if given, sets its level."""
        level = str(values.pop("level", "info"))
        if logging.getLevelNamesMapping()[level.upper()] < self.min_level:
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
        """Write a line that has no event name, as an event ``note``."""
        self.event("note", text=text)
