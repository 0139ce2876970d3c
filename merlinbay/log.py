"""Log lines on standard error, limited to a number of lines a second."""

from __future__ import annotations

import sys
import time


class Log:
    """Prints lines; counts those beyond the limit and prints the count with the next line."""

    def __init__(self, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self.writes_debug = False  # whether events of level ``debug`` are written
        self.second = 0  # the second that ``printed`` counts in
        self.printed = 0
        self.dropped = 0  # since the last line printed

    def event(self, name: str, **values: object) -> None:
        """Print an event with its values. Events of level ``debug`` are written by event logs only."""
        if values.pop("level", "") == "debug":
            return
        self.line(" ".join([name, *(f"{key}={value}" for key, value in values.items())]))

    def line(self, text: str) -> None:
        """Print one line, unless the limit of this second is reached."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.printed = second, 0
        if self.printed >= self.lines_per_s:
            self.dropped += 1
            return
        more = f" ({self.dropped} lines dropped before)" if self.dropped else ""
        self.printed, self.dropped = self.printed + 1, 0
        print(f"merlinbay: {text}{more}", file=sys.stderr, flush=True)
