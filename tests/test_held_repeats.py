"""Jobs that may have run and come back to the front: their earlier offers bind the later ones."""

from __future__ import annotations

import json
from typing import Any

import pytest

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import AttemptFinished, AttemptRecalled, AttemptStarted
from merlinbay.decision.outcomes import Outcome
from tests.test_world import SECOND, WINDOW_US, World, cell_of

JOBS = "/sessions/q/jobs"


class LostJob:
    """A keyed job whose first attempt was lost, and whose repeat waits at another server of the cell."""

    def __init__(self, starts: bool = True, in_array: bool = False) -> None:
        self.world = World()
        template = {"remoteCommand": "x", "jobCategory": "keyed"}
        if in_array:
            call = {"jobTemplate": template, "beginIndex": 1, "endIndex": 1, "maxParallel": 1}
            self.array = (
                f"/sessions/q/arrays/{self.world.call('POST', '/sessions/q/arrays', call)['jobArrayId']}"
            )
            (self.id,) = self.world.front.engine.sessions["q"].jobs
        else:
            self.id = self.world.call("POST", JOBS, {"jobTemplate": template})["jobId"]
        self.first = self.attempt()
        self.first_sent_at_us = self.world.clock.now
        self.world.ran(self.first)
        if starts:
            self.world.tell(AttemptStarted(self.first.spec.name, self.first.server))
        self.world.pass_time(SECOND // 100)
        self.lose(self.first)

    def attempt(self) -> ServerAttempt:
        """Return the one open attempt."""
        (attempt,) = self.world.servers.open.values()
        return attempt

    def lose(self, attempt: ServerAttempt) -> None:
        """Let a server lose an attempt that may have run."""
        self.world.tell(AttemptFinished(attempt.spec.name, attempt.server, Outcome.RESET))

    def give_back(self, given_back: bool = True) -> None:
        """Let the servers answer the recalls that are under way."""
        while self.world.servers.recalls:
            attempt = self.world.servers.recalls.pop(0)
            self.world.tell(AttemptRecalled(attempt.spec.name, attempt.server, given_back))

    def call(self, verb: str, target: str = "") -> Any:
        """Call something on the job, or on its array, and let its server give it back if it is asked to."""
        connection: Any = None
        answer = self.world.call("POST", f"{target or f'{JOBS}/{self.id}'}/{verb}")
        if answer is None:
            connection = self.world.answers[-1][0]
            self.give_back()
            (response,) = connection.answers
            answer = response.body
        return answer if isinstance(answer, dict) else json.loads(answer)

    def info(self) -> dict[str, Any]:
        """Return what a client is told of the job."""
        return dict(self.world.call("GET", f"{JOBS}/{self.id}"))

    def pass_until_after_first_send(self, by_us: int) -> None:
        """Let time pass until so long after the first attempt was sent."""
        self.world.pass_time(self.first_sent_at_us + by_us - self.world.clock.now)


@pytest.mark.parametrize("in_array", [False, True])
@pytest.mark.parametrize("starts", [True, False])
def test_a_held_repeat_is_not_sent_after_its_idempotency_window(starts: bool, in_array: bool) -> None:
    """Guards against a job that runs twice: lost, held, and released when servers have forgotten its key."""
    job = LostJob(starts, in_array)
    target = job.array if in_array else ""
    assert "exception" not in job.call("hold", target)
    job.pass_until_after_first_send(WINDOW_US)
    job.call("release", target)
    job.world.pass_time(10 * SECOND)
    assert job.info()["jobState"] == "FAILED"


@pytest.mark.parametrize("starts", [True, False])
def test_a_held_repeat_is_told_until_when_it_may_be_sent_and_then_that_it_failed(starts: bool) -> None:
    """Guards against a client that is told of a held job though the job can never go on."""
    job = LostJob(starts)
    held = "REQUEUED_HELD" if starts else "QUEUED_HELD"
    told = job.call("hold")
    assert told["jobState"] == held and "allocatedMachines" not in told
    job.pass_until_after_first_send(WINDOW_US - 1)
    assert job.info()["jobState"] == held and "may be sent again until" in job.info()["jobSubState"]
    job.pass_until_after_first_send(WINDOW_US)
    info = job.info()
    assert (info["jobState"], info["exception"]) == ("FAILED", "InternalException")
    assert "the time in which it may be sent again has passed" in info["annotation"]
    assert job.call("release")["exception"] == "InvalidStateException"


def test_a_repeat_that_is_released_in_its_window_stays_with_the_servers_that_know_its_key() -> None:
    """Guards against a released repeat in another group, or at the server that lost the job."""
    job = LostJob()
    repeat = job.attempt()
    assert job.call("hold")["jobState"] == "REQUEUED_HELD"
    job.pass_until_after_first_send(WINDOW_US - SECOND // 100)
    assert job.call("release")["jobState"] == "REQUEUED"
    again = job.attempt()
    assert again.spec.name == f"{job.id}~2" and again.spec.idempotency_key == job.id
    assert cell_of(again.server) == cell_of(job.first.server)
    assert again.server == repeat.server != job.first.server


def test_a_released_repeat_that_is_lost_as_well_ends_the_job() -> None:
    """Guards against a third send: both servers that know the key have had the job."""
    job = LostJob()
    job.call("hold")
    job.pass_until_after_first_send(2 * SECOND)
    job.call("release")
    job.lose(job.attempt())
    assert job.info()["jobState"] == "FAILED" and not job.world.servers.open


def test_a_refusal_of_the_second_offer_knows_that_the_job_may_have_run() -> None:
    """Guards against a job that waits on as if it had never run, because its second offer never ran."""
    job = LostJob()
    job.call("hold")
    job.call("release")
    repeat = job.attempt()
    job.world.tell(AttemptFinished(repeat.spec.name, repeat.server, Outcome.FULL))
    info = job.info()
    assert (info["jobState"], info["exception"]) == ("FAILED", "InternalException")


def test_a_loss_while_the_hold_is_under_way_is_known_to_the_held_job() -> None:
    """Guards against the crossing: the recall is out, the job is lost, and its repeat is recalled."""
    world = World()
    template = {"remoteCommand": "x", "jobCategory": "keyed"}
    job_id = world.call("POST", JOBS, {"jobTemplate": template})["jobId"]
    (first,) = world.servers.open.values()
    sent_at_us = world.clock.now
    assert world.call("POST", f"{JOBS}/{job_id}/hold") is None
    world.ran(first)
    world.tell(AttemptFinished(first.spec.name, first.server, Outcome.RESET))
    (repeat,) = world.servers.open.values()
    world.tell(AttemptRecalled(repeat.spec.name, repeat.server, True))
    info = world.call("GET", f"{JOBS}/{job_id}")
    assert info["jobState"] == "QUEUED_HELD" and "may be sent again until" in info["jobSubState"]
    world.pass_time(sent_at_us + WINDOW_US - world.clock.now)
    assert world.call("GET", f"{JOBS}/{job_id}")["jobState"] == "FAILED"


def test_a_job_that_is_done_is_not_told_as_one_whose_fate_is_unknown() -> None:
    """Guards against a served attempt that counts as one that only may have run."""
    world = World()
    template = {"remoteCommand": "x", "jobCategory": "keyed"}
    job_id = world.call("POST", JOBS, {"jobTemplate": template})["jobId"]
    (attempt,) = world.servers.open.values()
    world.ran(attempt)
    world.tell(AttemptFinished(attempt.spec.name, attempt.server, Outcome.OK))
    job = world.front.engine.sessions["q"].jobs[job_id]
    assert job.ended and not job.may_have_run and not job.unresolved


def test_a_job_that_its_servers_gave_back_unstarted_is_held_without_an_end() -> None:
    """Guards against a hedge that was recalled as well counting as an attempt that may have run."""
    world = World()
    template = {"remoteCommand": "x", "jobCategory": "keyed"}
    job_id = world.call("POST", JOBS, {"jobTemplate": template})["jobId"]
    world.pass_time(2 * SECOND)
    assert len(world.servers.open) > 1
    assert world.call("POST", f"{JOBS}/{job_id}/hold") is None
    for attempt in list(world.servers.open.values()):
        world.tell(AttemptRecalled(attempt.spec.name, attempt.server, True))
    world.pass_time(10 * SECOND)
    assert world.call("GET", f"{JOBS}/{job_id}")["jobSubState"] == "held in the front"
    assert world.call("POST", f"{JOBS}/{job_id}/release")["jobState"] == "QUEUED" and world.servers.open
