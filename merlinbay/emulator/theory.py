"""What is known of simple queues: the emulator is measured against it."""

from __future__ import annotations

import math


def erlang_c(servers: int, load: float) -> float:
    """Return the probability that an arrival waits in M/M/c; ``load`` in erlangs, below ``servers``."""
    last = load**servers / math.factorial(servers) * servers / (servers - load)
    return last / (sum(load**n / math.factorial(n) for n in range(servers)) + last)


def mean_wait(servers: int, load: float, run: float) -> float:
    """Return the mean wait in M/M/c, in the unit of the mean run time."""
    return erlang_c(servers, load) * run / (servers - load)


def two_choices(share: float, jobs: int) -> float:
    """Return the share of servers with at least so many jobs, where each job goes to the better of two.

    The fixed point for many servers of one slot at the load ``share`` (Mitzenmacher): share^(2^jobs - 1).
    """
    return float(share ** (2**jobs - 1))
