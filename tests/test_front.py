"""The front over sockets: sessions, backlog, control, arrays and waits, against stand-in schedulers."""

from __future__ import annotations

import base64
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio

from merlinbay import __version__
from merlinbay.http.client import ClientConnection
from merlinbay.http.connection import Request, Response
from tests.net import LIMITS, FakeServer, NodeFixture, ServerBehaviour, node_fixture, run_scenario
from tests.test_drmaa import BOTH, CALL, schedules, submit, taken, takes

Q = "/drmaa2/sessions/q"
QUEUE = (
    BOTH
    + """ask_first = 0.2
ask_gone = 1.0
body_kib = 256
[[drmaa.session]]
name = "q"
backlog = true
"""
)
ONCE: list[dict[str, Any]] = [
    {"name": "admit", "aimUs": 120000, "deadlineUs": 3000000, "worth": 1.0, "effect": "once"}
]


class Scheduler:
    """A stand-in with so many slots; the test says how its calls are answered and when jobs end."""

    def __init__(self, slots: int = 100, answers: dict[str, Response] | None = None) -> None:
        self.slots, self.answers = slots, answers or {}
        self.jobs: dict[str, str] = {}  # by job name
        self.calls: list[tuple[str, str]] = []
        self.wakes = trio.Event()

    async def __call__(self, server: FakeServer, request: Request) -> Response | None:
        """Answer one call."""
        parts = request.target.split("/")
        verb = parts[4] if len(parts) > 4 else "state" if len(parts) > 3 else "runJob"
        job = parts[3].removeprefix("id-") if len(parts) > 3 else ""
        if verb == "runJob":
            running = sum(state in ("QUEUED", "RUNNING") for state in self.jobs.values())
            if running >= self.slots:
                return Response(503, b'{"exception":"TryLaterException","message":"full"}')
            job, answer = taken(request)
            self.jobs[job] = "QUEUED"
        self.calls.append((verb, job))
        self.wakes.set()
        self.wakes = trio.Event()
        if verb == "runJob":
            return answer
        if verb in self.answers:
            return self.answers[verb]
        return Response(200, json.dumps({"jobId": f"id-{job}", "jobState": self.jobs.get(job, "")}).encode())

    async def heard(self, verb: str, number: int = 1) -> str:
        """Wait until a call has come so often; return the last one's job name."""
        while len(found := [job for name, job in self.calls if name == verb]) < number:
            await self.wakes.wait()
        return found[number - 1]


def scene(
    tmp_path: Path,
    body: Callable[[NodeFixture, FakeServer, Scheduler], Awaitable[None]],
    slots: int = 100,
    answers: dict[str, Response] | None = None,
    operator: str = QUEUE,
    **conf: Any,
) -> None:
    """Play with one scheduler."""

    async def whole() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = operator
            scheduler = Scheduler(slots, answers)
            server = s.add_server("s-1", scheduler)
            await s.start(**conf)
            await body(s, server, scheduler)

    run_scenario(whole)


async def queue(s: NodeFixture, **template: object) -> str:
    """Submit to the session with a backlog; return the job's id."""
    status, body = await s.call_json(
        "POST", f"{Q}/jobs", {"jobTemplate": {**CALL["jobTemplate"], **template}}
    )
    assert status == 201, body
    return str(body["jobId"])


async def state(s: NodeFixture, job: str, wanted: str) -> dict[str, Any]:
    """Wait until a job is in a state; return its information."""
    while True:
        info = (await s.call_json("GET", f"{Q}/jobs/{job}"))[1]
        if info["jobState"] == wanted:
            return dict(info)
        assert info["jobState"] not in ("DONE", "FAILED"), info
        await trio.sleep(0.01)


def test_sessions_are_objects(tmp_path: Path) -> None:
    """Created, listed, closed, opened and destroyed; each misuse raises its exception."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        async def call(method: str, target: str, value: object = None) -> tuple[int, Any]:
            status, answer = await s.call_json(method, target, value)
            return status, answer.get("exception", answer)

        create = {"sessionName": "minutes", "contact": "c", "settings": {"backlog": True, "waitMost": 9}}
        status, info = await call("POST", "/drmaa2/sessions", create)
        assert status == 201 and info["settings"]["waitMost"] == 9 and info["open"]
        assert await call("POST", "/drmaa2/sessions", create) == (400, "InvalidArgumentException")
        for bad in ({"sessionName": "a b"}, {"sessionName": "a", "settings": {"share": 2}}, {"nonsense": 1}):
            assert await call("POST", "/drmaa2/sessions", bad) == (400, "InvalidArgumentException")
        assert (await call("GET", "/drmaa2/sessions"))[1] == {"sessionNames": ["default", "minutes", "q"]}
        path = "/drmaa2/sessions/minutes"
        status, job = await s.call_json("POST", f"{path}/jobs", CALL)
        held = (
            await s.call_json(
                "POST", f"{path}/jobs", {"jobTemplate": {**CALL["jobTemplate"], "submitAsHold": True}}
            )
        )[1]["jobId"]
        assert (await call("GET", f"/drmaa2/jobs/{job['jobId']}"))[0] == 404  # it is in another session
        assert (await call("POST", f"{path}/close"))[0] == 200
        assert await call("GET", f"{path}/jobs/{held}") == (409, "InvalidSessionException")
        assert (await call("POST", f"{path}/open"))[0] == 200
        assert (await s.call_json("GET", f"{path}/jobs/{held}"))[1]["jobState"] == "QUEUED_HELD"
        assert (await call("DELETE", path))[0] == 200
        assert (await call("GET", path))[0] == 404
        assert await call("DELETE", "/drmaa2/sessions/default") == (400, "InvalidArgumentException")
        about = (await call("GET", "/drmaa2"))[1]
        assert about["drmaaVersion"] == {"major": "2", "minor": "0"}
        assert ".".join(about["drmsVersion"].values()) == __version__.rpartition(".")[0]
        assert (await call("GET", "/drmaa2/supports/BULK_JOBS_MAXPARALLEL"))[1]["supported"] is True
        assert (await call("GET", "/drmaa2/supports/JT_STAGING"))[1]["supported"] is False
        assert await call("GET", "/drmaa2/supports/X") == (400, "InvalidArgumentException")

    scene(tmp_path, body)


def test_refused_jobs_wait_in_the_backlog_where_the_session_opted_in(tmp_path: Path) -> None:
    """One slot and five jobs: all are done, in order; without the opt-in, TryLaterException at once."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        jobs = [await queue(s, jobName=f"n{number}") for number in range(5)]
        await scheduler.heard("runJob")
        status, error = await submit(s)
        if status == 201:  # it was placed, and came back from the scheduler
            status, error = 503, (await s.call_json("GET", f"/drmaa2/jobs/{error['jobId']}/wait"))[1]
        assert (status, error["exception"]) == (503, "TryLaterException") and 0 < error["retryAfter"] <= 2
        for number in range(1, 6):
            name = await scheduler.heard("runJob", number)
            assert name.partition("~")[0] == jobs[number - 1]
            await server.send_notification(name, "RUNNING")
            assert (await s.call_json("GET", f"{Q}/jobs/{jobs[-1]}"))[1]["jobState"] in ("QUEUED", "RUNNING")
            await trio.sleep(0.02)
            scheduler.jobs[name] = "DONE"
            await server.send_notification(name, "DONE", exitStatus=0, output="")
        for job in jobs:
            info = (await s.call_json("GET", f"{Q}/jobs/{job}/wait"))[1]
            assert info["jobState"] == "DONE" and info["allocatedMachines"] == ["s-1"]
            assert info["submissionMachine"] == "n0" and info["wallclockTime"] > 0.01 and info["slots"] == 1

    scene(tmp_path, body, slots=1)


@pytest.mark.parametrize("gives_back", [True, False])
def test_hold_of_a_placed_job_takes_it_back_or_changes_nothing(tmp_path: Path, gives_back: bool) -> None:
    """Given back: held in the front, and after its release offered anew. Not: InvalidStateException."""
    answers = {} if gives_back else {"recall": Response(409, b'{"exception":"InvalidStateException"}')}

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        job = await queue(s)
        name = await scheduler.heard("runJob")
        status, info = await s.call_json("POST", f"{Q}/jobs/{job}/hold")
        assert scheduler.calls[-1] == ("recall", name)
        if not gives_back:
            assert (status, info["exception"]) == (409, "InvalidStateException")
            assert (await s.call_json("GET", f"{Q}/jobs/{job}"))[1]["jobState"] == "QUEUED"
            return
        assert (status, info["jobState"]) == (200, "QUEUED_HELD")
        await server.send_notification(
            name, "FAILED", terminatingSignal="SIGTERM"
        )  # late, of the offer that is over
        assert (await s.call_json("GET", f"{Q}/jobs/{job}"))[1]["jobState"] == "QUEUED_HELD"
        assert (await s.call_json("POST", f"{Q}/jobs/{job}/hold"))[0] == 409
        assert (await s.call_json("POST", f"{Q}/jobs/{job}/release"))[0] == 200
        again = await scheduler.heard("runJob", 2)
        assert again == f"{job}~2"
        await server.send_notification(again, "DONE", output="")
        assert (await s.call_json("GET", f"{Q}/jobs/{job}/wait"))[1]["jobState"] == "DONE"

    scene(tmp_path, body, answers=answers)


def test_a_copy_that_goes_out_during_a_hold_is_called_back_as_well(tmp_path: Path) -> None:
    """The first scheduler is slow to give back, so a copy goes out: held once neither has it."""

    async def whole() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = QUEUE
            schedulers = {"s-1": Scheduler(), "s-2": Scheduler()}

            async def slow(server: FakeServer, request: Request) -> Response | None:
                if request.target.endswith("/recall"):
                    await trio.sleep(0.2)
                return await schedulers[server.name](server, request)

            for name in schedulers:
                s.add_server(name, slow)
            await s.start()
            job = await queue(s)
            status, info = await s.call_json("POST", f"{Q}/jobs/{job}/hold")
            assert (status, info["jobState"]) == (200, "QUEUED_HELD")
            calls = [
                verb for scheduler in schedulers.values() for verb, _ in scheduler.calls if verb != "state"
            ]
            assert sorted(calls) == ["recall", "recall", "runJob", "runJob"]

    run_scenario(whole)


@pytest.mark.parametrize("able", [True, False])
def test_suspend_and_resume_at_the_scheduler(tmp_path: Path, able: bool) -> None:
    """Done there, and shown; where the scheduler cannot, the state is unchanged and that is said."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        job = await queue(s)
        name = await scheduler.heard("runJob")
        assert (await s.call_json("POST", f"{Q}/jobs/{job}/suspend"))[1][
            "exception"
        ] == "InvalidStateException"
        await server.send_notification(name, "RUNNING")
        await state(s, job, "RUNNING")
        status, info = await s.call_json("POST", f"{Q}/jobs/{job}/suspend")
        if not able:
            assert (status, info["exception"]) == (405, "UnsupportedOperationException")
            await state(s, job, "RUNNING")
            return
        assert (status, info["jobState"]) == (200, "SUSPENDED")
        assert (await s.call_json("POST", f"{Q}/jobs/{job}/resume"))[1]["jobState"] == "RUNNING"
        await server.send_notification(name, "SUSPENDED")  # by somebody at the scheduler
        await state(s, job, "SUSPENDED")
        await server.send_notification(name, "RUNNING")
        await state(s, job, "RUNNING")
        await server.send_notification(name, "DONE", output="")
        await server.send_notification(name, "RUNNING")
        assert (await s.call_json("GET", f"{Q}/jobs/{job}"))[1]["jobState"] == "DONE"

    scene(tmp_path, body, answers={} if able else {"suspend": Response(405, b"{}")})


LOST: list[tuple[dict[str, object], str, str]] = [
    ({"jobState": "DONE", "exitStatus": 0, "output": base64.b64encode(b"x").decode()}, "DONE", ""),
    ({"jobState": "FAILED", "exitStatus": 4, "annotation": "no"}, "FAILED", "no"),
    ({"jobState": "RUNNING"}, "RUNNING", ""),
    ({}, "FAILED", "failed; it may have run"),
]  # restarted: it knows no job


@pytest.mark.parametrize(("told", "ends", "note"), LOST)
def test_a_lost_notification_is_found_by_asking(
    tmp_path: Path, told: dict[str, object], ends: str, note: str
) -> None:
    """Well before the deadline of 3 s; a job that nobody knows any more may have run, and runs no more."""
    answer = Response(200, json.dumps({"jobId": "1", **told}).encode()) if told else Response(404, b"{}")

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        with trio.fail_after(1.5):
            job = await queue(s)
            info = (
                await state(s, job, ends)
                if ends == "RUNNING"
                else (await s.call_json("GET", f"{Q}/jobs/{job}/wait"))[1]
            )
        assert (info["jobState"], info.get("annotation", "")) == (ends, note)
        await trio.sleep(0.2)
        assert [verb for verb, _ in scheduler.calls].count("runJob") == 1

    operator = QUEUE.replace("ask_gone = 1.0", "ask_gone = 30.0")
    scene(tmp_path, body, answers={"state": answer}, operator=operator, classes=ONCE)


def test_a_scheduler_that_cannot_be_asked_leaves_the_state_undetermined(tmp_path: Path) -> None:
    """UNDETERMINED while it is silent; what it says later counts; silent for too long, the job has failed."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        first, second = await queue(s), await queue(s)
        name = await scheduler.heard("runJob")
        await scheduler.heard("runJob", 2)
        await server.send_notification(name, "RUNNING")
        await state(s, first, "UNDETERMINED")
        await server.send_notification(name, "RUNNING")
        await state(s, first, "RUNNING")
        await server.send_notification(name, "DONE", output="")
        assert (await s.call_json("GET", f"{Q}/jobs/{first}/wait"))[1]["jobState"] == "DONE"
        info = (await s.call_json("GET", f"{Q}/jobs/{second}/wait"))[1]
        assert (info["jobState"], info["exception"]) == ("FAILED", "InternalException")

    scene(tmp_path, body, answers={"state": Response(500, b"")}, classes=ONCE)


@pytest.mark.parametrize("started", [False, True])
def test_a_drain_hands_back_only_what_never_ran(tmp_path: Path, started: bool) -> None:
    """A queued job goes elsewhere; one that told of its start counts as one that may have run."""

    async def whole() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = QUEUE
            schedulers = {}
            for number in (1, 2):
                schedulers[f"s-{number}"] = play_of = Scheduler()
                s.add_server(f"s-{number}", play_of)
            await s.start(classes=ONCE)
            job = await queue(s)
            server = (await state(s, job, "QUEUED"))["allocatedMachines"][0]
            await schedulers[server].heard("runJob")
            standin = next(found for found in s.servers if found.name == server)
            if started:
                await standin.send_notification(job, "RUNNING")
            s.update_server(server, state="DRAINING")
            await trio.sleep(0.1)
            await standin.send_notification(job, "FAILED", exception="TryLaterException")
            other = "s-2" if server == "s-1" else "s-1"
            if started:
                assert (await s.call_json("GET", f"{Q}/jobs/{job}/wait"))[1][
                    "exception"
                ] == "InternalException"
                assert not schedulers[other].calls
            else:
                with trio.fail_after(1):
                    await schedulers[other].heard("runJob")

    run_scenario(whole)


def test_an_array_over_the_wire(tmp_path: Path) -> None:
    """No more than maxParallel are out; after its terminate none is sent, and all are taken back."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        call = {**CALL, "beginIndex": 1, "endIndex": 10_000, "maxParallel": 3}
        status, array = await s.call_json("POST", f"{Q}/arrays", call)
        assert (status, array["members"], array["left"]) == (201, 10_000, 10_000)
        path = f"{Q}/arrays/{array['jobArrayId']}"
        for number in range(1, 8):
            name = await scheduler.heard("runJob", number)
            index = int(name.partition("~")[0].removeprefix(array["jobArrayId"] + "."))
            assert index <= number + 2  # those that are out together may come in any order
            await trio.sleep(0.02)
            alive = [job for job, told in scheduler.jobs.items() if told == "QUEUED"]
            assert len(alive) <= 3
            scheduler.jobs[name] = "DONE"
            await server.send_notification(name, "RUNNING")
            await server.send_notification(name, "DONE", output="")
        assert (await s.call_json("GET", f"{path}"))[1]["states"]["DONE"] == 7
        sent = sum(verb == "runJob" for verb, _ in scheduler.calls)
        status, array = await s.call_json("POST", f"{path}/terminate")
        assert status == 200 and array["states"] == {"DONE": 7, "FAILED": 9993} and array["left"] == 0
        after = sum(verb == "runJob" for verb, _ in scheduler.calls)
        await trio.sleep(0.3)
        runs = [job for verb, job in scheduler.calls if verb == "runJob"]
        assert sent <= after <= sent + 3 and len(runs) == after
        ended = [job for verb, job in scheduler.calls if verb == "terminate"]
        assert sorted(ended) == sorted(runs[7:])
        assert (await s.call_json("POST", f"{path}/hold"))[1]["exception"] == "InvalidStateException"
        member = (await s.call_json("GET", f"{Q}/jobs/{array['jobArrayId']}.5000"))[1]
        assert (member["jobState"], member["annotation"]) == ("FAILED", "terminated")
        assert (await s.call_json("DELETE", path))[0] == 200 and (await s.call_json("GET", path))[0] == 404
        status, error = await s.call_json("POST", "/drmaa2/arrays", call)
        assert (status, error["exception"]) == (405, "UnsupportedOperationException")

    scene(tmp_path, body)


def test_wait_any_over_5000_jobs_asked_again_after_its_connection_broke(tmp_path: Path) -> None:
    """One is reaped meanwhile; the broken wait leaves nothing behind, though waits are few."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        call = {**CALL, "beginIndex": 1, "endIndex": 5000, "maxParallel": 1}
        array = (await s.call_json("POST", f"{Q}/arrays", call))[1]["jobArrayId"]
        jobs = [f"{array}.{number}" for number in range(1, 5001)]
        await s.call_json("POST", f"{Q}/jobs/{jobs[9]}/terminate")
        assert (await s.call_json("DELETE", f"{Q}/jobs/{jobs[9]}"))[0] == 200
        del jobs[9]
        wait = json.dumps({"jobIds": jobs}).encode()
        for _ in range(30):  # limits.waits is 15 here
            connection = await ClientConnection.connect(f"127.0.0.2:{s.port}", LIMITS)
            with trio.move_on_after(0.02):
                await connection.exchange("POST", f"{Q}/waitAnyTerminated", [], wait)
            connection.close()
        infos: list[Any] = []

        async def ask() -> None:
            infos.append((await s.call_json("POST", f"{Q}/waitAnyTerminated", {"jobIds": jobs}))[1])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            await server.send_notification(jobs[0], "DONE", output="")
        assert (infos[0]["jobId"], infos[0]["jobState"]) == (jobs[0], "DONE")
        status, error = await s.call_json("POST", f"{Q}/waitAnyStarted", {"jobIds": ["x"], "timeout": 0})
        assert (status, error["exception"]) == (404, "InvalidArgumentException")
        status, error = await s.call_json(
            "POST", f"{Q}/waitAnyStarted", {"jobIds": jobs[100:], "timeout": 0.05}
        )
        assert (status, error["exception"]) == (504, "TimeoutException")

    scene(tmp_path, body)


def test_jobs_are_listed_in_pages_by_state(tmp_path: Path) -> None:
    """In order of submission; reaped ones are gone; a bad page is refused."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        jobs = [await queue(s, submitAsHold=True) for _ in range(5)]
        page = (await s.call_json("GET", f"{Q}/jobs?limit=3"))[1]
        rest = (await s.call_json("GET", f"{Q}/jobs?limit=3&after={page['next']}"))[1]
        assert [row["jobId"] for row in page["jobs"] + rest["jobs"]] == jobs and "next" not in rest
        await s.call_json("POST", f"{Q}/jobs/{jobs[2]}/terminate")
        assert (await s.call_json("POST", f"{Q}/jobs/{jobs[1]}/reap"))[1][
            "exception"
        ] == "InvalidStateException"
        failed = (await s.call_json("GET", f"{Q}/jobs?state=FAILED"))[1]["jobs"]
        assert [row["jobId"] for row in failed] == [jobs[2]]
        await s.call_json("POST", f"{Q}/jobs/{jobs[2]}/reap")
        assert (await s.call_json("GET", f"{Q}/jobs/{jobs[2]}"))[0] == 404
        for bad in ("limit=0", "limit=x", "state=LOST"):
            assert (await s.call_json("GET", f"{Q}/jobs?{bad}"))[0] == 400

    scene(tmp_path, body)


def test_candidate_machines_bind_a_job_to_them(tmp_path: Path) -> None:
    """Of 12 schedulers the named one gets it; where it drains, the job is refused, not sent elsewhere."""

    async def whole() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            for number in range(12):
                s.add_server(f"s-{number}", takes)
            await s.start()
            for _ in range(2):
                assert (await submit(s, candidateMachines=["s-7"]))[0] == 201
            await trio.sleep(0.05)
            assert {server.name for server in s.servers if server.received} == {"s-7"}
            s.update_server("s-7", state="DRAINING")
            await trio.sleep(0.2)
            assert (await submit(s, candidateMachines=["s-7"]))[1]["exception"] == "TryLaterException"

    run_scenario(whole)


def test_plain_jobs_and_the_platform_go_on_beside_a_full_backlog(tmp_path: Path) -> None:
    """Offers are few while all is full; a client that has no backlog is served beside hundreds that wait."""

    async def body(s: NodeFixture, server: FakeServer, scheduler: Scheduler) -> None:
        for _ in range(5):
            await s.call_json("POST", f"{Q}/arrays", {**CALL, "beginIndex": 1, "endIndex": 400})
        await trio.sleep(0.3)
        assert 0 < len(scheduler.jobs) <= 2 and s.counters.counts["drmaa_offers"] < 60

        async def work() -> None:
            while True:
                for name in [name for name, told in scheduler.jobs.items() if told == "QUEUED"]:
                    scheduler.jobs[name] = "DONE"
                    await server.send_notification(name, "RUNNING")
                    await server.send_notification(name, "DONE", output="")
                await trio.sleep(0.05)

        s.nursery.start_soon(work)
        served = 0
        with trio.fail_after(10):
            while served < 3:
                status, answer = await s.call_json("POST", "/drmaa2/jobs", CALL)
                if status == 201:
                    info = (await s.call_json("GET", f"/drmaa2/jobs/{answer['jobId']}/wait"))[1]
                    served += info["jobState"] == "DONE"
                await trio.sleep(0.01)

    scene(tmp_path, body, slots=2)


def test_jobs_run_to_their_end_at_stand_ins_of_every_kind(tmp_path: Path) -> None:
    """Forty jobs of a backlog over two schedulers, one of which refuses every other call."""
    count = 0

    async def moody(server: FakeServer, request: Request) -> Response | None:
        nonlocal count
        count += request.target == "/drmaa2/jobs"
        if request.target == "/drmaa2/jobs" and count % 2:
            return Response(503, b'{"exception":"TryLaterException"}')
        return await schedules(server, request)

    async def whole() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = QUEUE
            plays: list[ServerBehaviour] = [schedules, moody]
            for number, one in enumerate(plays):
                s.add_server(f"s-{number}", one)
            await s.start()
            jobs = [await queue(s) for _ in range(40)]
            ends = [(await s.call_json("GET", f"{Q}/jobs/{job}/wait"))[1]["jobState"] for job in jobs]
            assert ends == ["DONE"] * 40
            assert s.counters.counts["drmaa_jobs_done"] == 40 == s.counters.counts["answers_served"]

    run_scenario(whole)
