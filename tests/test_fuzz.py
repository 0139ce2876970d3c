"""Every call of the front, fuzzed by its schema: only documented answers come back."""

from __future__ import annotations

import json
import math
import re
from typing import Any, get_type_hints

import msgspec
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from merlinbay.clock import Clock
from merlinbay.core.messages import EndpointViewsRequested, Message, RequestArrived, RequestWithdrawn
from merlinbay.counters import Counters
from merlinbay.decision.settings import RequestClass
from merlinbay.drmaa import schema
from merlinbay.drmaa.front import DrmaaFront
from merlinbay.drmaa.listening import RegisterListener
from merlinbay.drmaa.settings import DrmaaSettings, NamedSession
from merlinbay.http.connection import Request, Response
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.notify.settings import EventSettings

CLASSES = [RequestClass("admit", 1, 3_000_000), RequestClass("print", 1, 9_000_000, effect="once")]
SETTINGS = DrmaaSettings(
    front=True,
    memory_unit_kib=1024,
    events=EventSettings(keep=50, to=["0.0.0.0/0"]),
    session=[NamedSession(name="q", backlog=True, jobs=50)],
)


class FakeConnection:
    """What the front needs of a connection."""

    def __init__(self) -> None:
        self.context: object = None
        self.has_served_request = False
        self.answers: list[Response] = []

    def respond(self, response: Response) -> None:
        """Note an answer that comes later."""
        self.answers.append(response)


SENSIBLE = st.fixed_dictionaries(
    {"remoteCommand": st.just("x")},
    optional={
        "jobCategory": st.sampled_from(["admit", "print"]),
        "accountingId": st.sampled_from(["a", "b"]),
        "submitAsHold": st.booleans(),
        "priority": st.integers(-9, 9),
        "minSlots": st.integers(1, 3),
        "startTime": st.sampled_from(["2999-01-01T00:00:00Z", "1999-01-01T00:00:00Z"]),
    },
)


def fits(kind: Any) -> st.SearchStrategy[Any]:
    """Return values that a type of the wire admits, each attribute there or left out."""
    if kind is schema.RunJob:
        return st.one_of(st.fixed_dictionaries({"jobTemplate": SENSIBLE}), every(kind))
    if kind is schema.JobTemplate:
        return st.one_of(SENSIBLE, SENSIBLE, every(kind))
    return every(kind)


def every(kind: Any) -> st.SearchStrategy[Any]:
    """Return values that a type admits, whether they mean something or not."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        hints, fields = get_type_hints(kind), msgspec.structs.fields(kind)
        found = {field.name: fits(hints[field.name]) for field in fields}
        needed = {field.name: found.pop(field.name) for field in fields if field.required}
        return st.fixed_dictionaries(needed, optional=found)
    if kind is Any:
        return st.none()
    if kind in (int, float, int | None):
        return st.one_of(
            st.integers(-3, 12),
            st.integers(),
            st.floats(allow_nan=False) if kind is float else st.just(1) if kind is int else st.none(),
        )
    return st.from_type(kind)


def bodies(kind: type) -> st.SearchStrategy[bytes]:
    """Return bodies of a call: by its type, by its type with a value exchanged, and any bytes."""
    good = fits(kind).map(msgspec.to_builtins)
    odd: st.SearchStrategy[Any] = st.one_of(
        st.none(), st.integers(), st.floats(), st.text(max_size=9), st.lists(st.integers(), max_size=2)
    )

    def mutate(pair: tuple[Any, list[int], Any]) -> Any:
        value, path, new = pair
        whole = at = {"": value}
        for step in path:
            keys = [key for key in at if isinstance(at[key], dict) and at[key]]
            if not keys:
                break
            at = at[keys[step % len(keys)]]
        key = list(at)[path[0] % len(at)] if at else "x"
        at[key] = new
        return whole.get("")

    mutated = st.tuples(good, st.lists(st.integers(0, 9), min_size=1, max_size=3), odd).map(mutate)
    written = st.one_of(good, mutated).map(lambda value: json.dumps(value, default=str).encode())
    return st.one_of(good.map(msgspec.json.encode), written, st.binary(max_size=40))


IDS = st.sampled_from(["x", "default", "q", "%2e%2e", "a.1", "a.99999999999", "job"])
QUERIES = st.sampled_from(
    [
        "",
        "?timeout=0",
        "?timeout=nan",
        "?timeout=-1",
        "?timeout=inf",
        "?state=DONE",
        "?state=X",
        "?limit=-1",
        "?after=x",
        "?limit=1e9",
        "?&&=",
        "?after=now",
        "?event=X",
        "?filter=slots%3E0",
        "?filter=(",
        "?name=x",
        "?full=true",
    ]
)
VERBS = ["", "/hold", "/release", "/suspend", "/resume", "/terminate", "/reap", "/wait", "/waitStarted"]
KNOWN = st.tuples(
    st.sampled_from(["", "/sessions/q"]),
    st.sampled_from(["/jobs", "/arrays"]),
    st.sampled_from(["/job", ""]),
    st.sampled_from(VERBS),
).map("".join)
PATHS = st.lists(
    st.one_of(
        IDS,
        st.sampled_from(
            ["jobs", "arrays", "sessions", "hold", "wait", "open", "close", "waitAnyStarted", "supports", "X"]
        ),
    ),
    max_size=6,
).map(lambda parts: "/" + "/".join(parts))
CALLS = st.one_of(
    st.tuples(st.just("POST"), st.sampled_from(["/jobs", "/sessions/q/jobs"]), bodies(schema.RunJob)),
    st.tuples(
        st.just("POST"), st.sampled_from(["/arrays", "/sessions/q/arrays"]), bodies(schema.RunBulkJobs)
    ),
    st.tuples(st.just("POST"), st.just("/sessions"), bodies(schema.CreateSession)),
    st.tuples(
        st.just("POST"), st.sampled_from(["/listeners", "/sessions/q/listeners"]), bodies(RegisterListener)
    ),
    st.tuples(
        st.just("GET"),
        st.tuples(
            st.sampled_from(
                ["/events", "/sessions/q/events", "/monitor/jobs", "/monitor/queues", "/monitor/machines"]
            ),
            QUERIES,
        ).map("".join),
        st.just(b""),
    ),
    st.tuples(
        st.just("POST"),
        st.sampled_from(["/waitAnyStarted", "/sessions/q/waitAnyTerminated"]),
        bodies(schema.WaitAny),
    ),
    st.tuples(
        st.sampled_from(["GET", "POST", "DELETE", "PUT", "HEAD"]),
        st.tuples(st.one_of(PATHS, KNOWN), QUERIES).map("".join),
        st.just(b""),
    ),
)


@settings(max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(CALLS, min_size=10, max_size=30), st.randoms(use_true_random=False))
def test_only_documented_answers(calls: list[tuple[str, str, bytes]], rng: Any) -> None:
    """2xx with JSON, or one of the standard's exceptions with its own status; never a fault of ours."""

    async def scene() -> None:
        send, _receive = trio.open_memory_channel[Message](3)
        front = DrmaaFront(send, Clock(), ResourceLimits(), Counters(), Log(1), CLASSES, SETTINGS, "n")
        for method, path, body in calls:
            ids = [job_id for session in front.engine.sessions.values() for job_id in session.jobs]
            ids += [array_id for session in front.engine.sessions.values() for array_id in session.arrays]
            if ids:
                path = re.sub("/job(?=[/?]|$)", f"/{rng.choice(ids)}", path)
            connection = FakeConnection()
            request = Request(method, f"/drmaa2{path}", {}, body)
            response = await front.request(connection, request)  # type: ignore[arg-type]
            for answer in [*connection.answers, *([response] if response is not None else [])]:
                documented(answer)
            if response is None and rng.random() < 0.5:
                call = connection.context
                front.client_disconnected(connection)  # type: ignore[arg-type]
                assert call is not None and call not in front.engine.waits
                assert front.hub is not None and call not in front.hub.polls
        for name in [job.id for job in front.engine.sessions["default"].jobs.values() if not job.ended]:
            connection, waits = FakeConnection(), len(front.engine.waits)
            wait: Any = connection
            if await front.request(wait, Request("GET", f"/drmaa2/jobs/{name}/wait", {}, b"")) is None:
                front.client_disconnected(wait)
            assert len(front.engine.waits) == waits
        for message in list(front.outbox):
            assert isinstance(message, RequestArrived | RequestWithdrawn | EndpointViewsRequested)
        for session in front.engine.sessions.values():
            assert session.quota.jobs <= (50 if session.name == "q" else session.quota.allowance.jobs)
        assert front.engine.jobs >= sum(
            not job.ended for session in front.engine.sessions.values() for job in session.jobs.values()
        )

    trio.run(scene)


def documented(answer: Response) -> None:
    """Check one answer."""
    value = json.loads(answer.body)
    if answer.status < 300:
        assert answer.status in (200, 201) and isinstance(value, dict)
        return
    assert answer.status == schema.STATUSES[value["exception"]] or (
        answer.status == 404 and value["exception"] == "InvalidArgumentException"
    )
    assert value["exception"] != "InternalException" and isinstance(value["message"], str)
    if value["exception"] == "TryLaterException":
        assert math.isfinite(value["retryAfter"]) and value["retryAfter"] > 0
