"""Named counters of the messages and requests that the node handles."""

from __future__ import annotations

import sys
from collections import Counter

from merlinbay.process_memory import resident_bytes


class Counters:
    """Named counters, printed at exit and on SIGUSR1."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, number: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += number

    def print(self) -> None:
        """Print all counters, and the resident memory, on one line of standard error."""
        self.counts["resident_kib"] = resident_bytes() // 1024
        counts = " ".join(f"{name}={number}" for name, number in sorted(self.counts.items()))
        print(f"merlinbay: counters {counts}", file=sys.stderr, flush=True)
