"""Log lines on standard error, limited to a number of lines per second."""

from __future__ import annotations

import sys
import time


class Log:
    """Prints log lines. Lines beyond the limit are dropped, and the next line reports their number."""

    def __init__(self, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self.writes_debug = False  # whether events of level ``debug`` are written
        self.second = 0  # the second to which ``printed`` applies
        self.printed = 0  # lines printed in that second
        self.dropped = 0  # lines dropped since the last printed line

    def event(self, name: str, **values: object) -> None:
        """Print an event with its values. Only event logs write events of level ``debug``."""
        if values.pop("level", "") == "debug":
            return
        self.line(" ".join([name, *(f"{key}={value}" for key, value in values.items())]))

    def line(self, text: str) -> None:
        """Print one line unless the limit for the current second is reached."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.printed = second, 0
        if self.printed >= self.lines_per_s:
            self.dropped += 1
            return
        suffix = f" ({self.dropped} lines dropped before)" if self.dropped else ""
        self.printed, self.dropped = self.printed + 1, 0
        print(f"merlinbay: {text}{suffix}", file=sys.stderr, flush=True)
