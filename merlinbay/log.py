"""Log lines on standard error, so many a second at the most."""

from __future__ import annotations

import sys
import time


class Log:
    """Prints lines; those beyond the rate are counted and the count printed with the next one."""

    def __init__(self, lines_a_second: int) -> None:
        self.most = lines_a_second
        self.debug = False  # whether events of that level are written
        self.second = 0
        self.printed = 0
        self.dropped = 0

    def event(self, name: str, **values: object) -> None:
        """Print an event with what belongs to it. Those of level ``debug`` are for event logs only."""
        if values.pop("level", "") == "debug":
            return
        self.line(" ".join([name, *(f"{key}={value}" for key, value in values.items())]))

    def line(self, text: str) -> None:
        """Print one line, unless this second has had its share."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.printed = second, 0
        if self.printed >= self.most:
            self.dropped += 1
            return
        more = f" ({self.dropped} lines dropped before)" if self.dropped else ""
        self.printed, self.dropped = self.printed + 1, 0
        print(f"merlinbay: {text}{more}", file=sys.stderr, flush=True)
