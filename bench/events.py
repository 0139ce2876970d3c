"""Events a second and their delay with 1 and 100 listeners; what tokens and TLS cost a call; long pages.

``python -m bench.events [deliver|access|pages]``: all in one process and one run, so ratios are what counts.
"""

from __future__ import annotations

import json
import os
import resource
import ssl
import sys
import tempfile
import time
from random import Random

import numpy as np
import trio
import trustme

from merlinbay.access import tokens
from merlinbay.access.grants import Scope
from merlinbay.access.tls import CertificateFiles, Handshakes
from merlinbay.batch.engine import BatchEngine
from merlinbay.batch.jobs import Backlog, Submission
from merlinbay.batch.quota import SessionLimits
from merlinbay.batch.registry import BatchLimits
from merlinbay.batch.timers import TimerQueue
from merlinbay.clock import Clock
from merlinbay.core.messages import Message
from merlinbay.counters import Counters
from merlinbay.decision.settings import RequestClass
from merlinbay.drmaa import listening
from merlinbay.drmaa.front import DrmaaFront
from merlinbay.drmaa.settings import DrmaaSettings, NamedSession
from merlinbay.http.connection import Connection, Request, Response
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.monitor import filters, view
from merlinbay.notify.hub import EventHub, wanted_of
from merlinbay.notify.journal import EventJournal, JobEventKind
from merlinbay.notify.listeners import CallbackBatch
from merlinbay.notify.listeners import ListenerLimits as ListenerBounds
from merlinbay.notify.sender import CallbackSender
from merlinbay.notify.targets import AllowedTargets

SECONDS = 3.0


class Sink:
    """A listener that notes how old events are when they come."""

    def __init__(self) -> None:
        self.ages: list[float] = []

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Take a call-back."""
        now = time.time()
        self.ages += [now - float(event["jobId"]) for event in json.loads(request.body)["events"]]
        return Response(204)

    def client_disconnected(self, connection: Connection) -> None:
        """Pass over it."""


async def deliver(listeners: int, rate: int) -> str:
    """Offer events at a rate; say what was delivered, how late, what was missed, and the memory."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    limits, counters, log, clock, sink = ResourceLimits(), Counters(), Log(5), Clock(), Sink()
    hub = EventHub(
        EventJournal(20_000, 1 << 30, lambda: "s"),
        ListenerBounds(),
        10,
        AllowedTargets.read(["127.0.0.0/8"], ()),
        TimerQueue(),
        lambda: os.urandom(4).hex(),
        Random(1),
    )

    def flush(now: int) -> None:
        for found in hub.take(now):
            if isinstance(found, CallbackBatch):
                sender.send(found)

    sender = CallbackSender(hub.listeners, listening.write_batch, flush, clock, limits, counters, log, 5.0)
    listener = Listener(sink, limits, counters, log)
    sock = await listener.bind("127.0.0.1", 0)
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, sock)
        nursery.start_soon(sender.run)
        await trio.sleep(0.05)
        for number in range(listeners):
            hub.register("q", f"http://127.0.0.1:{port}/{number}", wanted_of([], None), b"k" * 24, "", "")
        began, told = trio.current_time(), 0
        while (past := trio.current_time() - began) < SECONDS:
            while told < past * rate:
                hub.tell("q", JobEventKind.NEW_STATE, f"{time.time():.6f}", "RUNNING", "a", clock.now_us())
                told += 1
            flush(clock.now_us())
            await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    ages = np.array(sink.ages) * 1e3
    missed = sum(found.missed for found in hub.listeners.all.values())
    behind = sum(found.stream.last - found.after for found in hub.listeners.all.values())
    more = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
    return (
        f"{len(ages) / SECONDS:.0f} delivered a second, delay {np.median(ages):.0f} ms median, "
        f"{np.percentile(ages, 99):.0f} ms 99th percentile; {missed} missed and said, {behind} to come; "
        f"{len(hub.journal.order)} events kept; {more:.0f} MB more"
    )


def front_of(gate: tokens.TokenGate | None) -> DrmaaFront:
    """Return a front with a backlog, whose core takes nothing."""
    send, _ = trio.open_memory_channel[Message](1)
    settings = DrmaaSettings(front=True, session=[NamedSession(name="q", backlog=True)])
    return DrmaaFront(
        send,
        Clock(),
        ResourceLimits(),
        Counters(),
        Log(5),
        [RequestClass("print", 1, 9_000_000)],
        settings,
        "n",
        gate,
    )


async def call(stream: trio.abc.Stream, token: bytes, path: bytes, body: bytes = b"") -> bytes:
    """Have one exchange that succeeds."""
    await stream.send_all(
        b"POST /drmaa2/sessions/q/"
        + path
        + b" HTTP/1.1\r\nhost: x\r\n"
        + b"authorization: Bearer "
        + token
        + b"\r\ncontent-length: %d\r\n\r\n" % len(body)
        + body
    )
    answer = bytes(await stream.receive_some(4096))
    assert answer[9:11] == b"20", answer
    return answer


async def job(stream: trio.abc.Stream, token: bytes) -> None:
    """Submit a job as held, and terminate it."""
    taken = await call(stream, token, b"jobs", b'{"jobTemplate":{"remoteCommand":"x","submitAsHold":true}}')
    name = taken.partition(b'"jobId":"')[2].partition(b'"')[0]
    await call(stream, token, b"jobs/" + name + b"/terminate")


async def access() -> None:
    """Print CPU a job without, with tokens, and over TLS, in slices that take turns."""
    limits, counters, log, ca = ResourceLimits(), Counters(), Log(5), trustme.CA()
    ring = tokens.KeyRing([tokens.new_key()])
    token = tokens.issue(ring, "a", list(Scope), 999, int(time.time())).encode()
    made = ca.issue_cert("127.0.0.1")
    with tempfile.TemporaryDirectory() as folder:
        made.private_key_and_cert_chain_pem.write_to_path(f"{folder}/all.pem")
        shake = Handshakes(CertificateFiles(f"{folder}/all.pem", f"{folder}/all.pem"), 16, 2.0, counters)
    context = ssl.create_default_context()
    ca.configure_trust(context)
    costs: dict[str, list[float]] = {"plain": [], "tokens": [], "tokens and TLS": []}
    async with trio.open_nursery() as nursery:
        streams: dict[str, trio.abc.Stream] = {}
        for name in costs:
            gate = None if name == "plain" else tokens.TokenGate(ring)
            listener = Listener(front_of(gate), limits, counters, log)
            listener.prepare_socket = shake if "TLS" in name else None
            sock = await listener.bind("127.0.0.1", 0)
            nursery.start_soon(listener.serve, sock)
            stream: trio.abc.Stream = await trio.open_tcp_stream("127.0.0.1", sock.getsockname()[1])
            if "TLS" in name:
                assert isinstance(stream, trio.SocketStream)
                stream = trio.SSLStream(stream, context, server_hostname="127.0.0.1")
            streams[name] = stream
        for _ in range(30):
            for name, stream in streams.items():
                began = time.process_time()
                for _ in range(100):
                    await job(stream, token)
                costs[name].append((time.process_time() - began) / 100 * 1e6)
        nursery.cancel_scope.cancel()
    base = float(np.median(costs["plain"]))
    for name, found in costs.items():
        print(
            f"a job, submitted and terminated, {name}: {np.median(found):.0f} us of CPU, both ends "
            f"({np.median(found) / base:.2f})"
        )


def pages() -> None:
    """Print what a page of the monitoring session takes at 100,000 jobs."""
    engine = BatchEngine(BatchLimits(), lambda: os.urandom(8).hex())
    session = engine.create("q", "", SessionLimits(jobs=10**6, size=1 << 40), Backlog(), 0)
    for number in range(100_000):
        engine.submit(session, Submission(b"", "print", account=f"a{number % 1000}", held=True), 0)
    test = filters.compiled('accountingId in ("a1", "a2") and jobState != "DONE"', view.KINDS)
    for after in (0, 50_000, 99_000):
        began = time.perf_counter()
        found, _ = view.page([session], after, 100, lambda job: view.passes(test, job))
        print(f"a page after {after}: {len(found)} jobs in {(time.perf_counter() - began) * 1e3:.1f} ms")


def main() -> None:
    """Print what was asked for."""
    wanted = sys.argv[1:] or ["deliver", "access", "pages"]
    if "deliver" in wanted:
        for listeners, rate in ((1, 2000), (1, 100_000), (100, 20), (100, 1000), (1000, 10_000)):
            found = trio.run(deliver, listeners, rate)
            print(f"{listeners} listeners, {rate} events a second offered: {found}")
    if "access" in wanted:
        trio.run(access)
    if "pages" in wanted:
        pages()


if __name__ == "__main__":
    main()
