"""The book of slots with 100,000 reservations: ``python -m bench.reservations``. No sockets, one seed."""

from __future__ import annotations

import contextlib
import random
import resource
import time

import numpy as np

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.timers import TimerQueue
from merlinbay.reserve.calendar import Reservation, ReservationCalendar, ReservationLimits, ReservationSpec

SERVERS, SLOTS, MOST, S = 200, 64, 100_000, 1_000_000


def main() -> None:
    """Fill the book, then time each kind of call on the full one."""
    rng, timers, count = random.Random(3), TimerQueue(), iter(range(10**9))
    book = ReservationCalendar(
        ReservationLimits(most=10**6, share=1.0, ahead_us=10**15, length_us=10**13),
        timers,
        lambda: f"r{next(count)}",
        lambda found, what: None,
    )
    for number in range(SERVERS):
        book.server(f"s{number}", SLOTS, True, 0)
    span, refused = MOST * 40, 0
    made: list[Reservation] = []
    took: list[float] = []
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    while len(made) < MOST:
        start, length = rng.randrange(1, span), rng.randrange(60, 3600)
        began = time.perf_counter()
        try:
            made.append(
                book.reserve(ReservationSpec(rng.randrange(1, 9), 9, start * S, 0, length * S), None, "d", 0)
            )
        except DrmaaError:
            refused += 1
        took.append(time.perf_counter() - began)
    used = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
    print(f"{MOST} reservations on {SERVERS} servers of {SLOTS} slots: {used:.0f} MB, {refused} refused")

    def told(name: str, times: list[float]) -> None:
        found = np.array(times) * 1e6
        print(f"{name}: {np.median(found):.0f} us median, {np.percentile(found, 99):.0f} us 99th percentile")

    told("reserve, the first thousand", took[:1000])
    told("reserve, the last thousand", took[-1000:])
    slides, extends, ends = [], [], []
    for found in rng.sample(made, 1000):
        began = time.perf_counter()
        book.reserve(ReservationSpec(4, 4, found.start_us, found.start_us + 7200 * S, 600 * S), None, "d", 0)
        slides.append(time.perf_counter() - began)
        began = time.perf_counter()
        with contextlib.suppress(DrmaaError):
            book.extend(found, found.end_us + 60 * S, 0)
        extends.append(time.perf_counter() - began)
        began = time.perf_counter()
        book.terminate(found, 0)
        ends.append(time.perf_counter() - began)
    told("reserve in a sliding window", slides)
    told("extend", extends)
    told("terminate", ends)
    began = time.perf_counter()
    holds = len(book.servers["s0"].holds)
    book.server("s0", SLOTS, False, 0)
    print(f"a server with {holds} reservations drains: {(time.perf_counter() - began) * 1e3:.0f} ms")


if __name__ == "__main__":
    main()
