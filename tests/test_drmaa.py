"""DRMAA-style submission: the whole path, the crossings, and the rules, against stand-in schedulers."""

from __future__ import annotations

import base64
import json
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
import trio

from merlinbay.batch.engine import BatchEngine
from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.jobs import Backlog
from merlinbay.batch.quota import SessionLimits
from merlinbay.batch.registry import BatchLimits, OfferJob
from merlinbay.core.messages import AttemptFinished, AttemptStarted
from merlinbay.core.values import Answer, AnswerStatus, RequestSpec
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import RequestClass
from merlinbay.drmaa import schema, templates
from merlinbay.drmaa.job_client import JobClient
from merlinbay.drmaa.servers import message_of, outcome_of
from merlinbay.http.client import Reply
from merlinbay.http.connection import Request, Response
from merlinbay.limits import ResourceLimits
from tests.net import FakeServer, NodeFixture, completes_job, node_fixture, run_scenario
from tests.test_node import full

FRONT = "[drmaa]\nfront = true\naccess.open = true\n"
BOTH = FRONT + "servers = true\n"
CALL = {"jobTemplate": {"remoteCommand": "transcribe", "args": ["--minutes"]}}
NOW = 1_800_000_000_000_000
CLASSES = [
    RequestClass("admit", 1, 3_000_000, effect="by_key"),
    RequestClass("print", 1, 9_000_000, effect="once"),
]
RULES = templates.Rules({spec.name: spec for spec in CLASSES}, memory_unit_kib=1024)


def spec_of(template: schema.JobTemplate, index: int = 0) -> RequestSpec:
    """Return what the core is offered of a template, of an array member if there is an index."""
    engine = BatchEngine(BatchLimits(), lambda: "j")
    session = engine.create("s", "", SessionLimits(), Backlog(), NOW)
    what = templates.submission(template, RULES, NOW)
    if index:
        engine.submit_array(session, what, index, index, 1, 0, NOW)
    else:
        engine.submit(session, what, NOW)
    offer = engine.take(NOW)[0]
    assert isinstance(offer, OfferJob)
    return templates.job_spec(offer.job, RULES, NOW)


def taken(request: Request) -> tuple[str, Response]:
    """Return a runJob call's job name, and the answer that takes it."""
    job = json.loads(request.body)["jobTemplate"]["jobName"]
    return job, Response(201, json.dumps({"jobId": f"id-{job}", "jobState": "QUEUED"}).encode())


async def schedules(server: FakeServer, request: Request) -> Response | None:
    """Take a job, run it and be done soon."""
    if request.target != "/drmaa2/jobs":
        return Response(200, b"{}")
    job, answer = taken(request)

    async def work() -> None:
        await server.send_notification(job, "RUNNING")
        await trio.sleep(0.1)
        await server.send_notification(
            job, "DONE", exitStatus=0, output=base64.b64encode(b"minutes").decode()
        )

    server.fixture.nursery.start_soon(work)
    return answer


async def takes(server: FakeServer, request: Request) -> Response | None:
    """Take a job and leave its notices to the test."""
    return taken(request)[1] if request.target == "/drmaa2/jobs" else Response(200, b"{}")


async def later(server: FakeServer, request: Request) -> Response | None:
    """Refuse a job: it never ran."""
    return Response(503, b'{"exception":"TryLaterException","message":"full"}')


async def submit(s: NodeFixture, **template: object) -> tuple[int, Any]:
    """Call runJob."""
    return await s.call_json("POST", "/drmaa2/jobs", {"jobTemplate": {**CALL["jobTemplate"], **template}})


def one_end(s: NodeFixture) -> int:
    """Return how many final states and answers the node gave."""
    counts = s.counters.counts
    assert (
        counts["drmaa_jobs_done"] + counts["drmaa_jobs_failed"]
        == counts["answers_served"] + counts["answers_failed"] + counts["requests_withdrawn"]
    )
    return counts["drmaa_jobs_done"] + counts["drmaa_jobs_failed"]


def test_the_whole_path(tmp_path: Path) -> None:
    """From runJob through QUEUED and RUNNING to DONE, with the output, and a status query after it."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            scheduler = s.add_server("s-1", takes)
            await s.start()
            status, body = await submit(
                s, minSlots=1, deadlineTime=(datetime.now(UTC) + timedelta(seconds=2)).isoformat()
            )
            assert (status, body["jobState"]) == (201, "QUEUED")
            job = body["jobId"]
            while not scheduler.received:  # runJob is answered once a scheduler is chosen
                await trio.sleep(0.01)
            call = json.loads(scheduler.received[0][1].body)
            assert call["sessionName"] == "s-1" and call["notify"].endswith("/drmaa2/notifications")
            template = call["jobTemplate"]
            assert (template["remoteCommand"], template["args"]) == ("transcribe", ["--minutes"])
            assert (template["jobName"], template["jobCategory"]) == (job, "admit")
            assert (
                1
                < datetime.fromisoformat(template["deadlineTime"]).timestamp() - datetime.now(UTC).timestamp()
                < 2
            )
            assert await scheduler.send_notification(job, "RUNNING") == 200
            assert (await s.call_json("GET", f"/drmaa2/jobs/{job}"))[1]["jobState"] == "RUNNING"
            assert (await s.call_json("GET", f"/drmaa2/jobs/{job}/wait?timeout=0.05"))[0] == 504
            for _ in range(3):
                assert (
                    await scheduler.send_notification(job, "DONE", output=base64.b64encode(b"text").decode())
                    == 200
                )
            for path in ("/wait", "", "/wait?timeout=1"):
                status, info = await s.call_json("GET", f"/drmaa2/jobs/{job}{path}")
                assert (status, info["jobState"], info["exitStatus"]) == (200, "DONE", 0)
                assert base64.b64decode(info["output"]) == b"text"
            status, error = await s.call_json("POST", f"/drmaa2/jobs/{job}/terminate")
            assert (status, error["exception"]) == (409, "InvalidStateException")
            assert one_end(s) == 1

    run_scenario(scene)


@pytest.mark.parametrize("servers", ["platform", "drmaa"])
@pytest.mark.parametrize("front", ["platform", "drmaa"])
def test_any_front_works_with_any_real_server_side(tmp_path: Path, front: str, servers: str) -> None:
    """The same job through both fronts to both kinds of real server."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH if servers == "drmaa" else FRONT
            server = s.add_server("s-1", schedules if servers == "drmaa" else completes_job)
            await s.start()
            if front == "platform":
                reply = await s.admit("a1")
                assert reply.status == 200
                result = reply.body
                if servers == "drmaa":
                    sent = json.loads(server.received[0][1].body)["jobTemplate"]
                    assert (sent["remoteCommand"], sent["payload"]) == (
                        "/admit?x=1",
                        base64.b64encode(b"seat").decode(),
                    )
                    assert sent["jobEnvironment"] == {"DRMAA2_REPEAT_KEY": "key-a1"}
            else:
                job = (await submit(s))[1]["jobId"]
                info = (await s.call_json("GET", f"/drmaa2/jobs/{job}/wait"))[1]
                assert info["jobState"] == "DONE"
                result = base64.b64decode(info["output"])
                if servers == "platform":
                    request = server.received[0][1]
                    assert (request.target, request.headers["idempotency-key"]) == ("/admit", job)
                    assert json.loads(request.body)["remoteCommand"] == "transcribe"
            name = "a1" if front == "platform" else job
            assert result == (b"minutes" if servers == "drmaa" else f"s-1:{name}".encode())

    run_scenario(scene)


@pytest.mark.parametrize("gave_up", ["terminate", "deadline"])
def test_a_status_query_after_the_client_gave_up(tmp_path: Path, gave_up: str) -> None:
    """The job's late DONE changes nothing: every query finds the one FAILED."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            scheduler = s.add_server("s-1", takes)
            await s.start()
            until = datetime.now(UTC) + timedelta(seconds=0.5)
            job = (await submit(s, deadlineTime=until.isoformat()))[1]["jobId"]
            await scheduler.send_notification(job, "RUNNING")
            if gave_up == "terminate":
                status, info = await s.call_json("POST", f"/drmaa2/jobs/{job}/terminate")
                assert (status, info["annotation"]) == (200, "terminated")
            else:
                info = (await s.call_json("GET", f"/drmaa2/jobs/{job}/wait"))[1]
                assert info["exception"] == "TimeoutException"
                assert datetime.now(UTC) < until + timedelta(seconds=0.3)
            assert await scheduler.send_notification(job, "DONE", output="") == 200
            await trio.sleep(0.1)
            first, second = [await s.call_json("GET", f"/drmaa2/jobs/{job}") for _ in range(2)]
            assert first == second == (200, info) and info["jobState"] == "FAILED"
            assert scheduler.targets().count(f"/drmaa2/jobs/id-{job}/terminate") == 1
            assert one_end(s) == 1

    run_scenario(scene)


@pytest.mark.parametrize("first", ["terminate", "notice", "together"])
def test_a_cancel_that_crosses_a_start_notice(tmp_path: Path, first: str) -> None:
    """Whichever is first, the job ends FAILED once, and its scheduler is told once."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            scheduler = s.add_server("s-1", takes)
            await s.start()
            job = (await submit(s))[1]["jobId"]
            async with trio.open_nursery() as nursery:
                calls = [
                    lambda: s.call_json("POST", f"/drmaa2/jobs/{job}/terminate"),
                    lambda: scheduler.send_notification(job, "RUNNING"),
                ]
                for call in calls if first != "notice" else reversed(calls):
                    nursery.start_soon(call)
                    if first != "together":
                        await trio.sleep(0.05)
            await scheduler.send_notification(job, "DONE", output="")
            await trio.sleep(0.1)
            info = (await s.call_json("GET", f"/drmaa2/jobs/{job}"))[1]
            assert (info["jobState"], info["annotation"]) == ("FAILED", "terminated")
            assert scheduler.targets().count(f"/drmaa2/jobs/id-{job}/terminate") == 1
            assert one_end(s) == 1

    run_scenario(scene)


def test_a_cancel_that_crosses_run_job_ends_the_job_once_its_id_is_known(tmp_path: Path) -> None:
    """The client hangs up before the scheduler's 201: the job must not run on unknown."""

    async def slow(server: FakeServer, request: Request) -> Response | None:
        if request.target == "/drmaa2/jobs":
            await trio.sleep(0.4)
        return await takes(server, request)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            scheduler = s.add_server("s-1", slow)
            await s.start()
            with trio.move_on_after(0.2):
                await s.admit("a1")
            await trio.sleep(0.5)
            assert scheduler.targets() == ["/drmaa2/jobs", "/drmaa2/jobs/id-a1/terminate"]

    run_scenario(scene)


@pytest.mark.parametrize(("operator", "server"), [(BOTH, later), (FRONT, full)])
def test_a_refusal_is_try_later_with_when_to_come_back(tmp_path: Path, operator: str, server: Any) -> None:
    """Refused by all schedulers, unstarted: FAILED at once, with TryLaterException and a time."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = operator
            s.add_server("s-1", server)
            await s.start()
            job = (await submit(s))[1]["jobId"]
            with trio.fail_after(1):
                info = (await s.call_json("GET", f"/drmaa2/jobs/{job}/wait"))[1]
            assert (info["jobState"], info["exception"]) == ("FAILED", "TryLaterException")
            assert 0 < info["retryAfter"] <= 2

    run_scenario(scene)


def test_a_job_refused_unsent_is_no_job(tmp_path: Path) -> None:
    """With every gate shut, runJob itself raises TryLaterException, and nothing was sent."""

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            scheduler = s.add_server("s-1", takes, state="DRAINING")
            await s.start()
            reply = await s.call("POST", "/drmaa2/jobs", body=json.dumps(CALL).encode())
            error = json.loads(reply.body)
            assert (reply.status, error["exception"]) == (503, "TryLaterException")
            assert 0 < error["retryAfter"] <= 2
            assert float(reply.headers["retry-after"]) == pytest.approx(error["retryAfter"], abs=0.001)
            assert scheduler.received == []

    run_scenario(scene)


def test_repeats_and_drains_are_kept_with_schedulers(tmp_path: Path) -> None:
    """A killed job goes out again in its cell only; a draining scheduler gets nothing new."""

    async def kills(server: FakeServer, request: Request) -> Response | None:
        job, answer = taken(request)
        server.fixture.nursery.start_soon(
            lambda: server.send_notification(job, "FAILED", terminatingSignal="SIGKILL")
        )
        return answer

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = BOTH
            schedulers = [
                s.add_server("s-1", kills),
                s.add_server("s-2", kills),
                s.add_server("s-3", kills, cell=1),
            ]
            await s.start()
            job = (await submit(s))[1]["jobId"]
            info = (await s.call_json("GET", f"/drmaa2/jobs/{job}/wait"))[1]
            assert (info["jobState"], info["exception"]) == ("FAILED", "InternalException")
            cells = [{0: 0, 1: 0, 2: 1}[n] for n, scheduler in enumerate(schedulers) if scheduler.received]
            assert len(set(cells)) == 1 and max(len(scheduler.received) for scheduler in schedulers) == 1
            for name in ("s-1", "s-2", "s-3"):
                s.update_server(name, state="DRAINING")
            await trio.sleep(0.5)
            before = sum(len(scheduler.received) for scheduler in schedulers)
            assert (await submit(s))[0] == 503
            assert sum(len(scheduler.received) for scheduler in schedulers) == before

    run_scenario(scene)


@pytest.mark.parametrize(
    ("operator", "limits"),
    [(BOTH + "finished = 2\n", ResourceLimits()), (BOTH, ResourceLimits(finished_output_bytes=20))],
)
def test_finished_jobs_are_kept_within_bounds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, operator: str, limits: ResourceLimits
) -> None:
    """Of many, or large ones, the oldest is forgotten: its id is no job any more."""
    monkeypatch.setattr("merlinbay.config.limits_from", lambda *_: limits)

    async def scene() -> None:
        async with node_fixture(tmp_path) as s:
            s.operator = operator
            s.add_server("s-1", schedules)
            await s.start()
            jobs = []
            for _ in range(3):
                jobs.append((await submit(s))[1]["jobId"])
                await s.call_json("GET", f"/drmaa2/jobs/{jobs[-1]}/wait")
            found = [await s.call_json("GET", f"/drmaa2/jobs/{job}") for job in jobs]
            assert [status for status, _ in found] == [404, 200, 200]
            assert found[0][1]["exception"] == "InvalidArgumentException"

    run_scenario(scene)


BAD = [
    (b"{", "InvalidArgumentException"),
    (b"{}", "InvalidArgumentException"),
    (b'{"jobTemplate":{}}', "InvalidArgumentException"),
    (b'{"jobTemplate":{"remoteCommand":"x","nonsense":1}}', "InvalidArgumentException"),
    (b'{"jobTemplate":{"remoteCommand":"x","minSlots":"2"}}', "InvalidArgumentException"),
    (b'{"jobTemplate":{"remoteCommand":"x","submitAsHold":true}}', "UnsupportedAttributeException"),
    (b'{"jobTemplate":{"remoteCommand":"x","queueName":"q"}}', "InvalidArgumentException"),
    (b'{"jobTemplate":{"remoteCommand":"x"},"notify":"http://x"}', "UnsupportedOperationException"),
]


@pytest.mark.parametrize(("body", "name"), BAD)
def test_a_bad_call_raises(body: bytes, name: str) -> None:
    """Each with the standard's exception."""
    with pytest.raises(DrmaaError) as caught:
        template = schema.read_run_job(body)
        engine = BatchEngine(BatchLimits(), lambda: "j")
        session = engine.create("s", "", SessionLimits(), None, NOW)
        engine.submit(session, templates.submission(template, RULES, NOW), NOW)
    assert caught.value.name == name


TEMPLATES: list[tuple[dict[str, Any], dict[str, Any] | str | None]] = [
    ({}, {"job_class": "admit", "time_budget_us": 3_000_000, "slots": 1.0, "tenant": ""}),
    ({"jobCategory": "print", "rerunnable": False}, {"job_class": "print", "time_budget_us": 9_000_000}),
    ({"minSlots": 2, "maxSlots": 4, "accountingId": "t"}, {"slots": 2.0, "tenant": "t"}),
    ({"deadlineTime": schema.when(NOW + 1_500_000)}, {"time_budget_us": 1_500_000}),
    ({"deadlineTime": schema.when(NOW + 60_000_000)}, {"time_budget_us": 3_000_000}),
    ({"deadlineTime": schema.when(NOW - 1)}, None),
    ({"deadlineTime": datetime(2027, 1, 15)}, None),
    ({"jobCategory": "nonsense"}, None),
    ({"rerunnable": False}, None),
    ({"remoteCommand": ""}, None),
    ({"minSlots": 0}, None),
    ({"minSlots": 3, "maxSlots": 2}, None),
    ({"queueName": "print"}, {"job_class": "print"}),
    ({"queueName": "print", "jobCategory": "admit"}, None),
    ({"minPhysMemory": 2048}, {"memory": 2.0}),
    ({"minPhysMemory": -1}, None),
    ({"candidateMachines": ["s-1", "s-2"]}, {"allowed_servers": ("s-1", "s-2")}),
    ({"candidateMachines": ["m"] * 257}, None),
    ({"priority": 101}, None),
    ({"resourceLimits": {"CPU_TIME": 5}}, {"slots": 1.0}),
    ({"resourceLimits": {"CPU_TIME": -5}}, None),
    ({"resourceLimits": {"PATIENCE": 5}}, None),
    ({"payload": b"x", "inputPath": "/in"}, None),
    ({"startTime": schema.when(NOW + 9), "deadlineTime": schema.when(NOW + 8)}, None),
    *(({name: "x"}, "UnsupportedAttributeException") for name in templates.UNSUPPORTED),
]


@pytest.mark.parametrize(("attributes", "expected"), TEMPLATES)
def test_a_template_becomes_a_job(attributes: dict[str, Any], expected: dict[str, Any] | str | None) -> None:
    """Attribute by attribute; None: InvalidArgumentException."""
    template = schema.JobTemplate(**{"remoteCommand": "x", **attributes})
    if not isinstance(expected, dict):
        with pytest.raises(DrmaaError, match=r".") as caught:
            templates.submission(template, RULES, NOW)
        assert caught.value.name == (expected or "InvalidArgumentException")
    else:
        spec = spec_of(template)
        assert {name: getattr(spec, name) for name in expected} == expected


def test_an_array_member_knows_its_index() -> None:
    """In the paths where the standard lets it stand, and in the environment; other texts are left alone."""
    template = schema.JobTemplate(
        "run $DRMAA2_INDEX$", inputPath="/in/$DRMAA2_INDEX$", outputPath="/out", jobEnvironment={"A": "1"}
    )
    spec = spec_of(template, 7)
    sent = templates.template_for(spec, NOW)
    assert (spec.name, sent.inputPath, sent.outputPath) == ("j.7", "/in/7", "/out")
    assert sent.remoteCommand == "run $DRMAA2_INDEX$"
    assert sent.jobEnvironment == {"A": "1", "DRMAA2_INDEX": "7", "DRMAA2_REPEAT_KEY": "j.7"}


NOTES: list[tuple[str, str, dict[str, Any], Outcome | str | None]] = [
    ("NEW_STATE", "RUNNING", {}, "started"),
    ("NEW_STATE", "QUEUED", {}, None),
    ("MIGRATED", "RUNNING", {}, None),
    ("NEW_STATE", "DONE", {"output": b"x"}, Outcome.OK),
    ("NEW_STATE", "FAILED", {"exitStatus": 1}, Outcome.ERROR),
    ("NEW_STATE", "FAILED", {"exception": "TryLaterException"}, Outcome.FULL),
    ("NEW_STATE", "FAILED", {"terminatingSignal": "SIGKILL"}, Outcome.RESET),
]


@pytest.mark.parametrize(("event", "state", "info", "expected"), NOTES)
def test_a_notification_becomes_an_outcome(
    event: str, state: str, info: dict[str, Any], expected: Outcome | str | None
) -> None:
    """State by state."""
    message = message_of(
        schema.Notification(event, "s-1", "j", state, "id", schema.JobInfo("id", state, **info))
    )
    if expected is None:
        assert message is None
    elif expected == "started":
        assert message == AttemptStarted("j", "s-1")
    else:
        assert isinstance(message, AttemptFinished) and message.outcome is expected
        assert message.result == info.get("output", b"")
        assert message.is_unfit == ("exitStatus" in info)  # it ran to its end: no other scheduler gets it


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (201, b'{"jobId":"7","jobState":"QUEUED"}', (Outcome.OK, "7")),
        (201, b"x", (Outcome.ERROR, "")),
        (503, b'{"exception":"TryLaterException"}', (Outcome.FULL, "")),
        (503, b'{"exception":"OutOfResourceException"}', (Outcome.FULL, "")),
        (400, b'{"exception":"InvalidArgumentException"}', (Outcome.ERROR, "")),
        (500, b"", (Outcome.ERROR, "")),
    ],
)
def test_a_run_job_answer_becomes_an_outcome(status: int, body: bytes, expected: tuple[Outcome, str]) -> None:
    """Only what the scheduler says it refused counts as never run."""
    assert outcome_of(Reply(status, {}, body)) == expected


def test_values_of_the_core_know_no_wire() -> None:
    """The core imports neither front, and its values are made without one."""
    core = Path(schema.__file__).parent.parent / "core"
    text = "".join(path.read_text() for path in core.glob("*.py"))
    assert not [
        name
        for name in ("http", "platform", "drmaa", "dnssd", "json")
        if f"merlinbay.{name}" in text or f"import {name}" in text
    ]
    assert RequestSpec("j", "c", 0, 1).time_budget_us == 1 and Answer(AnswerStatus.FAILED).retry_after_us == 0


@pytest.mark.parametrize(
    ("effect", "may_have_run", "offered_again"),
    [
        ("repeatable", True, True),
        ("by_key", False, True),
        ("by_key", True, False),
        ("once", False, True),
        ("once", True, False),
    ],
)
def test_a_refused_job_that_may_have_run_is_offered_again_only_if_safe(
    effect: str, may_have_run: bool, offered_again: bool
) -> None:
    """Its next offer could come when servers have forgotten the key of this one."""
    front, job = Mock(), Mock(ended=False, job_class="c")
    front.rules.classes = {
        "c": RequestClass("c", 1000, 9_000_000, effect=effect, group="all", window_us=400_000)
    }
    front.clock.now_us.return_value, front.limits = 1_000, ResourceLimits()
    client = JobClient(front, job, RequestSpec("j", "c", 0, 9_000_000))
    client.answer(Answer(AnswerStatus.REJECTED, may_have_run=may_have_run))
    assert (front.engine.refused.call_count, front.engine.failed.call_count) == (
        (1, 0) if offered_again else (0, 1)
    )
