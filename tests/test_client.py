"""The client: what it sends again and what never, on no network and on a bad one."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from random import Random
from typing import Any

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.client import (
    AsyncClient,
    Client,
    DrmaaRemoteError,
    JobTemplate,
    MayHaveRunError,
    Policy,
    UnreachableError,
)
from merlinbay.client.operations import Ask, ClientReply, Failed, Operations, Sleep
from merlinbay.client.policy import Fault

LATER = ClientReply(503, b'{"exception":"TryLaterException","message":"full","retryAfter":2}')
TAKEN = ClientReply(201, b'{"jobId":"j","jobState":"QUEUED"}')
LOST, UNSENT = Failed(Fault.LOST, "lost"), Failed(Fault.NOT_SENT, "unsent")
JOB = JobTemplate(remoteCommand="x")


class World:
    """Carries an operation out by a script; its clock moves by what is slept."""

    def __init__(self, *script: ClientReply | Failed) -> None:
        self.script, self.now = list(script), 0.0
        self.asked: list[Ask] = []
        self.slept: list[float] = []
        self.operations = Operations(rng=Random(1), clock=lambda: self.now)

    def __call__(self, doing: Any) -> Any:
        """Carry it out; what the script lacks counts as unsent."""
        got: ClientReply | Failed | None = None
        while True:
            try:
                step = doing.send(got)
            except StopIteration as end:
                return end.value
            if isinstance(step, Sleep):
                self.slept.append(step.seconds)
                self.now += step.seconds
                got = None
            else:
                self.asked.append(step)
                got = self.script.pop(0) if self.script else UNSENT


def test_a_submission_whose_answer_is_lost_is_not_sent_again() -> None:
    """Unless its class allows; what was never sent is, and a refusal is waited out as it says."""
    world = World(UNSENT, LATER, LOST, TAKEN)
    with pytest.raises(MayHaveRunError):
        world(world.operations.run_job(JOB, within=60))
    assert len(world.asked) == 3 and 2.0 <= world.slept[1] < 2.2
    world = World(UNSENT, LATER, LOST, TAKEN)
    assert world(world.operations.run_job(JOB, within=60, may_repeat=True)) == "j"


@pytest.mark.parametrize(
    ("reply", "within", "tries"),
    [
        (LATER, None, 1),
        (LATER, 1.0, 1),
        (LATER, 9.0, 5),
        (ClientReply(503, b'{"exception":"TryLaterException"}'), 9.0, 1),
        (ClientReply(503, b'{"retryAfter":1000}'), 9999.0, 1),
        (ClientReply(409, b'{"retryAfter":1}'), 9.0, 1),
        (ClientReply(500, b"<html>"), 9.0, 1),
        (ClientReply(503, b'{"retryAfter":"x"}'), 9.0, 1),
        (ClientReply(503, b'{"retryAfter":-1}'), 9.0, 1),
        (ClientReply(200, b"not json"), 9.0, 0),
    ],
)
def test_refusals_are_waited_out_only_within_the_time_and_as_they_say(
    reply: ClientReply, within: float | None, tries: int
) -> None:
    """And no other answer is."""
    world = World(*[reply] * 20)
    if tries == 0:
        assert world(world.operations.call("POST", "/x", within=within)) == {"message": "not json"}
        return
    with pytest.raises(DrmaaRemoteError):
        world(world.operations.call("POST", "/x", within=within))
    assert len(world.asked) == tries


def test_the_network_is_tried_a_few_times_ever_later() -> None:
    """Without a time, five tries; with one, for so long."""
    world = World()
    with pytest.raises(UnreachableError):
        world(world.operations.job_info("j"))
    assert len(world.asked) == Policy().tries
    assert all(a < b * 4 for a, b in zip(world.slept, world.slept[1:], strict=False))
    world = World()
    with pytest.raises(UnreachableError):
        world(world.operations.job_info("j", within=20))
    assert 17 < world.now < 20 and max(world.slept) <= Policy().most


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from([LATER, LOST, UNSENT, TAKEN, ClientReply(500, b"{}")]), max_size=12),
    st.one_of(st.none(), st.floats(0, 30)),
)
def test_whatever_the_network_does_a_lost_submission_is_the_last(
    script: list[ClientReply | Failed], within: float | None
) -> None:
    """After a try that may have run nothing more is sent, and the call ends in its time."""
    world = World(*script)
    with suppress(DrmaaRemoteError, MayHaveRunError, UnreachableError):
        assert world(world.operations.run_job(JOB, within)) == "j"
    sent = script[: len(world.asked)]
    assert LOST not in sent[:-1] and TAKEN not in sent[:-1]
    assert within is None or world.now <= within


def test_a_long_wait_goes_on_over_many_calls_and_a_restart() -> None:
    """Each call lasts 25 s; a broken one is made again; the end is the caller's."""
    timeout = ClientReply(504, b'{"exception":"TimeoutException","message":"x"}')
    done = ClientReply(200, b'{"jobId":"j","jobState":"DONE","exitStatus":0}')
    world = World(timeout, LOST, UNSENT, timeout, LATER, done)
    assert world(world.operations.wait("j")).exitStatus == 0
    assert [ask.path for ask in world.asked] == ["/drmaa2/jobs/j/waitTerminated?timeout=25.000"] * 6
    world = World(*[ClientReply(404, b'{"exception":"InvalidArgumentException"}')])
    with pytest.raises(DrmaaRemoteError) as found:
        world(world.operations.wait("j", timeout=5))
    assert found.value.missing
    world = World(timeout)
    world.operations.clock = iter([0.0, 0.0, 0.0, 6.0, 6.0]).__next__
    with pytest.raises(DrmaaRemoteError):
        world(world.operations.wait_any(["j", "k"], timeout=5))
    assert json.loads(world.asked[0].body or b"") == {"jobIds": ["j", "k"], "timeout": 5.0}


@contextmanager
def bad_front(*answers: bytes) -> Iterator[tuple[str, list[bytes]]]:
    """Listen, and give each connection's first request the next answer, which may be none; then hang up."""
    seen: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve() -> None:
            for answer in answers:
                try:
                    taken, _ = server.accept()
                except OSError:
                    return
                with taken:
                    seen.append(taken.recv(65536))
                    taken.sendall(answer)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield f"http://127.0.0.1:{server.getsockname()[1]}", seen
        thread.join(5)


def answer(status: int, body: bytes) -> bytes:
    """Return an answer's bytes."""
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\nconnection: close\r\n\r\n"
    return head.encode() + body


def test_on_sockets_both_clients_know_what_was_sent() -> None:
    """A connection that ends without an answer, one cut in the middle, and none at all."""
    for cut in (b"", answer(201, TAKEN.body)[:40], b"nonsense\r\n\r\n"):
        with bad_front(cut, cut, answer(201, TAKEN.body)) as (url, seen), Client(url, token="t") as client:
            with pytest.raises(MayHaveRunError):
                client.run_job(JOB, within=5)
            assert len(seen) == 1 and b"authorization: Bearer t" in seen[0]
            assert client.run_job(JOB, within=5, may_repeat=True) == "j"

    async def scene(url: str) -> None:
        async with AsyncClient(url) as client:
            with pytest.raises(MayHaveRunError):
                await client.run_job(JOB, within=5)
            info = await client.job_info("j")  # looking again is harmless
            assert (info.jobId, info.exitStatus) == ("j", 3)

    with bad_front(b"", b"", answer(200, b'{"jobId":"j","jobState":"DONE","exitStatus":3}')) as (url, _):
        trio.run(scene, url)
    with socket.create_server(("127.0.0.1", 0)) as server:
        gone = f"http://127.0.0.1:{server.getsockname()[1]}"
    with Client(gone, policy=Policy(tries=2)) as client, pytest.raises(UnreachableError):
        client.run_job(JOB)
