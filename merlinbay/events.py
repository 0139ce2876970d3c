"""Events on standard error by structlog, as JSON or for a console, so many a second of each name."""

from __future__ import annotations

import logging
import sys
import time

import structlog

from merlinbay.log import Log


class EventLog(Log):
    """Writes events; what is beyond an event's rate is counted and told with its next one."""

    def __init__(self, lines_a_second: int, form: str, level: str, node: str) -> None:
        super().__init__(lines_a_second)
        self.least = logging.getLevelNamesMapping()[level.upper()]
        self.debug = level == "debug"
        self.seen: dict[str, tuple[int, int, int]] = {}  # by event: the second, lines in it, lines dropped
        renderer = (
            structlog.processors.JSONRenderer()
            if form == "json"
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
        if logging.getLevelNamesMapping()[level.upper()] < self.least:
            return
        second = int(time.monotonic())
        at, lines, dropped = self.seen.get(name, (second, 0, 0))
        if at != second:
            lines = 0
        if lines >= self.most:
            self.seen[name] = second, lines, dropped + 1
            return
        if dropped:
            values["dropped_before"] = dropped
        self.seen[name] = second, lines + 1, 0
        getattr(self.logger, level)(name, **values)

    def line(self, text: str) -> None:
        """Write what has no name of its own."""
        self.event("note", text=text)
