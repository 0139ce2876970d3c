"""Events over sockets: the long poll, signed call-backs; listeners dead, slow, moved, or ourselves."""

from __future__ import annotations

import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio

from merlinbay.http.connection import Request, Response
from merlinbay.notify import signing
from tests.net import CONF, FakeServer, NodeFixture, ServerBehaviour
from tests.test_drmaa import CALL, FRONT
from tests.test_front import Q, Scheduler, queue, scene, state

OPERATOR = (
    FRONT
    + """servers = true
events.keep = {keep}
events.to = ["127.0.0.2/32"]
events.timeout = 0.3
events.slow = 0.1
events.again = 0.05
events.again_most = 0.2
events.connections = 6
[[drmaa.session]]
name = "q"
backlog = true
"""
)
Body = Callable[[NodeFixture, FakeServer, Scheduler], Awaitable[None]]


class Listening:
    """A stand-in listener: what it was sent, and whether that was signed."""

    def __init__(self, s: NodeFixture, play: ServerBehaviour | None = None) -> None:
        self.stand = FakeServer(s, "listener", play or self.take)
        s.nursery.start_soon(self.stand.listen)
        self.verifier = signing.Verifier([])
        self.events: list[dict[str, Any]] = []
        self.bodies: list[dict[str, Any]] = []
        self.refuse = 0
        self.change = trio.Event()

    async def register(self, s: NodeFixture, **more: object) -> dict[str, Any]:
        """Have it called back for the session."""
        wish = {"url": f"http://{self.stand.addr}/hook", **more}
        status, info = await s.call_json("POST", f"{Q}/listeners", wish)
        assert status == 201, info
        self.verifier.keys.append(signing.read_key(info["key"]))
        return dict(info)

    async def take(self, stand: FakeServer, request: Request) -> Response:
        """Check a call-back and note its events."""
        new = self.verifier.verify(request.headers, request.body, int(time.time()))
        if self.refuse:
            self.refuse -= 1
            self.verifier.seen.clear()
            return Response(500)
        body = json.loads(request.body)
        if new:
            self.bodies.append(body)
            self.events += body["events"]
        self.change.set()
        self.change = trio.Event()
        return Response(204)

    async def until(self, state: str, job: str) -> list[str]:
        """Wait for a job's state; return what was told of the job."""
        while not any((event["jobState"], event["jobId"]) == (state, job) for event in self.events):
            await self.change.wait()
        return [f"{event['event']} {event['jobState']}" for event in self.events if event["jobId"] == job]


async def runs(s: NodeFixture, server: FakeServer, scheduler: Scheduler, job: str) -> None:
    """Have a job run to its end."""
    await scheduler.heard("runJob", len(scheduler.jobs) or 1)
    await server.send_notification(job, "RUNNING")
    await server.send_notification(job, "DONE", exitStatus=0)


WHOLE = ["NEW_STATE QUEUED", "ATTRIBUTE_CHANGE QUEUED", "NEW_STATE RUNNING", "NEW_STATE DONE"]


def test_a_jobs_life_is_told_in_order_by_poll_and_by_call_back(tmp_path: Path) -> None:
    """Signed, and once though the listener first fails; the poll has the same events, a filter some."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        listening = Listening(s)
        listening.refuse = 2
        await listening.register(s)
        some = Listening(s)
        await some.register(s, events=["ATTRIBUTE_CHANGE"])
        start = (await s.call_json("GET", f"{Q}/events?after=now"))[1]["cursor"]
        found: list[dict[str, Any]] = []

        async def poll() -> None:
            cursor = start
            while not any(event["jobState"] == "DONE" for event in found):
                status, page = await s.call_json("GET", f"{Q}/events?after={cursor}&timeout=5")
                assert status == 200 and page["missed"] == 0
                found.extend(page["events"])
                cursor = page["cursor"]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll)
            job = await queue(s)
            await runs(s, server, scheduler, job)
        assert await listening.until("DONE", job) == WHOLE
        assert [event["number"] for event in found] == [event["number"] for event in listening.events]
        assert [event["event"] for event in some.events] == ["ATTRIBUTE_CHANGE"]
        assert s.counters.counts["call_backs_failed"] == 2
        page = (await s.call_json("GET", f"{Q}/events?after={start}&event=ATTRIBUTE_CHANGE&job={job}"))[1]
        assert [event["machine"] for event in page["events"]] == ["s-1"]

    scene(tmp_path, body, operator=OPERATOR.format(keep=1000))


def test_dead_slow_and_moved_listeners_cost_the_good_one_nothing(tmp_path: Path) -> None:
    """One never answers, one does so late, one sends elsewhere, one is gone for good: each alone suffers."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        async def never(stand: FakeServer, request: Request) -> Response:
            await trio.sleep_forever()
            raise AssertionError

        async def slowly(stand: FakeServer, request: Request) -> Response:
            await trio.sleep(0.15)
            return Response(200)

        async def moved(stand: FakeServer, request: Request) -> Response:
            return Response(301, headers=[(b"location", f"http://{good.stand.addr}/other".encode())])

        async def gone(stand: FakeServer, request: Request) -> Response:
            return Response(410)

        good = Listening(s)
        others = [Listening(s, play) for play in (never, never, never, slowly, moved, gone)]
        infos = [await one.register(s) for one in [good, *others]]
        for _ in range(15):
            job = await queue(s)
            await runs(s, server, scheduler, job)
            with trio.fail_after(1):
                assert await good.until("DONE", job) == WHOLE
        assert set(good.stand.targets()) == {"/hook"}  # no redirection was followed
        listed: dict[str, Any] = {}
        while len(listed) != 6 or not all(row["delivered"] or row["failures"] for row in listed.values()):
            await trio.sleep(0.02)  # until each has had its turn, and one has gone
            rows = (await s.call_json("GET", f"{Q}/listeners"))[1]["listeners"]
            listed = {row["listenerId"]: row for row in rows}
        assert infos[-1]["listenerId"] not in listed
        assert listed[infos[1]["listenerId"]]["lastFailure"].startswith("no answer")
        assert listed[infos[5]["listenerId"]]["lastFailure"] == "status 301"
        assert listed[infos[0]["listenerId"]]["delivered"] == 60
        assert all("key" not in row for row in listed.values())
        assert (await s.call_json("DELETE", f"{Q}/listeners/{infos[1]['listenerId']}"))[0] == 200
        assert (await s.call_json("GET", f"{Q}/listeners/{infos[1]['listenerId']}"))[0] == 404

    scene(tmp_path, body, operator=OPERATOR.format(keep=1000))


def test_our_own_address_and_others_are_refused(tmp_path: Path) -> None:
    """Whatever the way it is written; so are bad keys, events and cursors."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        for url in (
            f"http://127.0.0.2:{s.port}/drmaa2/jobs",
            f"http://0.0.0.0:{s.port}/",
            "http://10.0.0.1/",
        ):
            assert (await s.call_json("POST", f"{Q}/listeners", {"url": url}))[0] == 403, url
        listening = Listening(s)
        url = f"http://{listening.stand.addr}/"
        for more in ({"key": "whsec_x"}, {"events": ["x"]}, {"more": 1}):
            assert (await s.call_json("POST", f"{Q}/listeners", {"url": url, **more}))[0] == 400, more
        assert (await s.call_json("POST", f"{Q}/listeners", {"url": url, "cursor": "a.1"}))[0] == 404
        assert (await s.call_json("GET", f"{Q}/events?after=a.1"))[0] == 404
        for query in ("limit=0", "timeout=-1", "event=x", "limit=1x"):
            assert (await s.call_json("GET", f"{Q}/events?{query}"))[0] == 400, query
        assert listening.stand.received == []

    scene(tmp_path, body, operator=OPERATOR.format(keep=1000))


def test_a_gap_is_said_and_a_key_rotates_under_load(tmp_path: Path) -> None:
    """Of a listener that was away, and of a poll with an old cursor; both keys verify meanwhile."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        listening = Listening(s)
        start = (await s.call_json("GET", f"{Q}/events?after=now"))[1]["cursor"]
        info = await listening.register(s)
        listening.refuse = 3
        for _ in range(30):
            await queue(s, submitAsHold=True)
        page = (await s.call_json("GET", f"{Q}/events?after={start}"))[1]
        assert page["missed"] == 10 and len(page["events"]) == 20
        while sum(len(b["events"]) + b["missed"] for b in listening.bodies) < 30:
            await listening.change.wait()
        key = (await s.call_json("POST", f"{Q}/listeners/{info['listenerId']}/rotate"))[1]["key"]
        job = await queue(s, submitAsHold=True)
        assert await listening.until("QUEUED_HELD", job) == ["NEW_STATE QUEUED_HELD"]  # by the old key
        listening.verifier.keys = [signing.read_key(key)]
        await s.call_json("POST", f"{Q}/jobs/{job}/terminate")
        assert await listening.until("FAILED", job) == ["NEW_STATE QUEUED_HELD", "NEW_STATE FAILED"]
        _status, array = await s.call_json(
            "POST",
            f"{Q}/arrays",
            {"jobTemplate": {**CALL["jobTemplate"], "submitAsHold": True}, "beginIndex": 1, "endIndex": 500},
        )
        await s.call_json("POST", f"{Q}/arrays/{array['jobArrayId']}/terminate")
        await listening.until("FAILED", array["jobArrayId"])
        assert [e["members"] for e in listening.events if e["jobId"] == array["jobArrayId"]] == [500]

    scene(tmp_path, body, operator=OPERATOR.format(keep=20))


def test_a_job_that_is_lost_and_starts_elsewhere_has_migrated(tmp_path: Path) -> None:
    """The event names the machine that it runs on now."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        other_scheduler = Scheduler()
        other = s.add_server("s-2", other_scheduler)
        heard = s.counters.counts["entries_all"]
        s.update_server("s-2")
        while s.counters.counts["entries_all"] < heard + 2:  # Guards against a loss with nowhere to go yet.
            await trio.sleep(0.01)
        job = await queue(s)
        while not (
            first := [
                (one, two)
                for one, two in ((server, other), (other, server))
                if job in (scheduler if one is server else other_scheduler).jobs
            ]
        ):
            await trio.sleep(0.01)
        here, there = first[0]
        await here.send_notification(job, "RUNNING")
        await state(s, job, "RUNNING")
        await here.send_notification(job, "FAILED", terminatingSignal="SIGKILL")
        found = scheduler if there is server else other_scheduler
        while not any(name.startswith(job) for name in found.jobs):
            await trio.sleep(0.01)
        await there.send_notification(next(name for name in found.jobs if name.startswith(job)), "RUNNING")
        await state(s, job, "RUNNING")
        events = (await s.call_json("GET", f"{Q}/events?event=MIGRATED"))[1]["events"]
        assert [(event["jobId"], event["machine"]) for event in events] == [(job, there.name)]

    # Guards against a hedge of a job whose start comes late: it would use up the server that the retry needs.
    no_hedges = {**CONF["limits"], "secondCopies": False}
    scene(tmp_path, body, operator=OPERATOR.format(keep=1000), limits=no_hedges)
