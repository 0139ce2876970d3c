"""Front, dispatcher and module together, without sockets: clients, schedulers and the clock in any order."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from datetime import UTC, datetime
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.interfaces import ServerTransport
from merlinbay.core.messages import (
    AttemptControlled,
    AttemptFinished,
    AttemptRecalled,
    AttemptStarted,
    AttemptStatusUnknown,
    AttemptSuspended,
    EndpointListReceived,
    Message,
)
from merlinbay.core.values import ExitDetails, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.outcomes import NEVER_RAN, Outcome
from merlinbay.decision.settings import DispatchLimits, RequestClass, Settings
from merlinbay.drmaa.front import DrmaaFront
from merlinbay.drmaa.settings import DrmaaSettings, NamedSession
from merlinbay.http.connection import Request, Response
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from tests.test_fuzz import FakeConnection, documented

SECOND = 1_000_000
T0 = 1_800_000_000 * SECOND
WINDOW_US = 3 * SECOND  # idempotency window of the class ``keyed``
ENDS = ("DONE", "FAILED")
CLASS = st.sampled_from(["keyed", "once"])
NEWS = [
    "started",
    "started",
    "done",
    "done",
    "failed",
    "exit",
    "full",
    "lost",
    "suspended",
    "unseen",
    "found",
]


class FakeClock:
    """A clock that stands where it is put."""

    def __init__(self) -> None:
        self.now = T0

    def now_us(self) -> int:
        """Return the time."""
        return self.now

    def to_trio(self, at_us: int) -> float:
        """Return the same moment on another clock."""
        return at_us / 1e6


def cell_of(server: str) -> int:
    """Return the cell of one of the servers s-0 to s-3."""
    return int(server.removeprefix("s-")) // 2


class Servers(ServerTransport):
    """Schedulers that do nothing by themselves."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.open: dict[tuple[str, str], ServerAttempt] = {}
        self.recalls: list[ServerAttempt] = []
        self.controls: list[tuple[ServerAttempt, str]] = []
        self.runs: dict[str, list[ServerAttempt]] = defaultdict(list)  # by repeat key: what may have run
        self.given_up: set[ServerAttempt] = set()

    def start(self, attempt: ServerAttempt) -> None:
        """Take an attempt."""
        key = attempt.spec.name, attempt.server
        assert key not in self.open
        earlier = self.runs[attempt.spec.idempotency_key]  # of all offers of the job
        if attempt.spec.job_class == "once":  # it may go out only while nothing of it may have run
            assert not earlier
        if earlier:  # by key: only to servers that know the key, and only while they know it
            first_sent_at_us = min(other.sent_at_us for other in earlier)
            assert {cell_of(other.server) for other in earlier} == {cell_of(attempt.server)}
            assert self.clock.now < first_sent_at_us + WINDOW_US
        self.open[key] = attempt

    def cancel(self, attempt: ServerAttempt) -> None:
        """Note it: what is given up unstarted never starts later in this world."""
        self.given_up.add(attempt)

    def forget(self, attempt: ServerAttempt) -> None:
        """Drop it."""
        self.open.pop((attempt.spec.name, attempt.server), None)

    def recall(self, attempt: ServerAttempt) -> None:
        """Note it."""
        self.recalls.append(attempt)

    def control(self, attempt: ServerAttempt, action: str) -> None:
        """Note it."""
        self.controls.append((attempt, action))

    def check_health(self, server: str) -> None:
        """Pass over it."""

    def update_endpoints(self, scope: str, entries: list[ServiceEntry]) -> None:
        """Pass over it."""


class Inbox:
    """The dispatcher's inbox: so much fits, and the rest waits in the front's outbox."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def send_nowait(self, message: Message) -> None:
        """Take a message."""
        self.messages.append(message)


class World(RuleBasedStateMachine):
    """Each job has one final state, each call one answer, and the rules of its class are kept."""

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.inbox, counters = FakeClock(), Inbox(), Counters()
        self.servers = Servers(self.clock)
        classes = [
            RequestClass("keyed", 300_000, 4 * SECOND, effect="by_key", group="cell", window_us=WINDOW_US),
            RequestClass("once", 300_000, 4 * SECOND, effect="once"),
        ]
        conf = Settings(
            classes=classes,
            kinds=["k"],
            tells_start=True,
            limits=DispatchLimits(cancelling=True, second_copies=True, send_cap=4, retry_after=True),
        )
        drmaa = DrmaaSettings(
            front=True,
            session=[NamedSession(name="q", backlog=True, jobs=60, wait_most=20)],
            finished=500,
            finished_keep=1000,
        )
        limits = ResourceLimits(max_open_requests=12)
        clock: Any = self.clock
        inbox: Any = self.inbox
        self.front = DrmaaFront(inbox, clock, limits, counters, Log(1), classes, drmaa, "n")
        self.dispatcher = Dispatcher(
            Balancer(conf, 7, T0), clock, limits, counters, Log(1), self.servers, self
        )
        self.rows = [ServiceEntry(f"s-{n}", "", "", "k", cell_of(f"s-{n}")) for n in range(4)]
        self.dispatcher.run_batch([EndpointListReceived("all", self.rows)])
        self.answers: list[tuple[FakeConnection, str]] = []  # of calls that wait
        self.finals: dict[str, str] = {}
        self.parallel: dict[str, int] = {}
        self.counters = counters

    def subscribe(self, first_poll_timeout_us: int = 0) -> None:
        """Be the directory: all is told without being asked."""

    def turn(self) -> None:
        """Let the dispatcher and the front work until nothing is left to do now."""
        while self.inbox.messages:
            messages, self.inbox.messages = self.inbox.messages, []
            self.dispatcher.run_batch(messages)
        for connection, _ in self.answers:
            assert len(connection.answers) <= 1
            for answer in connection.answers:
                self.documented(answer)
        self.answers = [(connection, what) for connection, what in self.answers if not connection.answers]

    def documented(self, answer: Response) -> None:
        """Check an answer; a runJob that failed says so by an exception of its own."""
        if answer.status != 500:
            documented(answer)

    def call(self, method: str, path: str, value: object = None) -> Any:
        """Make a call; return the answer's body, None if it is still to come."""
        connection: Any = FakeConnection()
        body = b"" if value is None else json.dumps(value).encode()
        coroutine = self.front.request(connection, Request(method, f"/drmaa2{path}", {}, body))
        try:
            coroutine.send(None)
            raise AssertionError("a call waits inside the front")
        except StopIteration as stop:
            response = stop.value
        self.answers.append((connection, path))
        if response is not None:
            connection.answers.append(response)
        self.turn()
        return json.loads(connection.answers[0].body) if connection.answers else None

    # Clients.

    @rule(
        session=st.sampled_from(["", "/sessions/q", "/sessions/q"]),
        job_class=CLASS,
        held=st.booleans(),
        start=st.integers(0, 3),
        end=st.integers(0, 8),
    )
    def submit(self, session: str, job_class: str, held: bool, start: int, end: int) -> None:
        """Submit a job."""
        template: dict[str, object] = {"remoteCommand": "x", "jobCategory": job_class}
        if session:
            template["submitAsHold"] = held
            if start:
                template["startTime"] = stamp(self.clock.now + start * SECOND)
        if end:
            template["deadlineTime"] = stamp(self.clock.now + (start + end) * SECOND)
        self.call("POST", f"{session}/jobs", {"jobTemplate": template})

    @rule(members=st.integers(1, 15), parallel=st.integers(0, 3), job_class=CLASS)
    def submit_array(self, members: int, parallel: int, job_class: str) -> None:
        """Submit an array."""
        found = self.call(
            "POST",
            "/sessions/q/arrays",
            {
                "jobTemplate": {"remoteCommand": "x", "jobCategory": job_class},
                "beginIndex": 1,
                "endIndex": members,
                "maxParallel": parallel,
            },
        )
        if "jobArrayId" in found:
            self.parallel[found["jobArrayId"]] = parallel

    def jobs(self) -> list[tuple[str, str]]:
        """Return paths and ids of all jobs that are known."""
        return [
            (path, job_id)
            for name, path in (("default", ""), ("q", "/sessions/q"))
            for job_id in self.front.engine.sessions[name].jobs
        ]

    @rule(
        data=st.data(),
        verb=st.sampled_from(["hold", "release", "suspend", "resume", "terminate", "wait", "waitStarted"]),
    )
    def act(self, data: st.DataObject, verb: str) -> None:
        """Call something on a job."""
        if jobs := self.jobs():
            path, job_id = data.draw(st.sampled_from(jobs))
            self.call("GET" if verb.startswith("wait") else "POST", f"{path}/jobs/{job_id}/{verb}")

    @rule(data=st.data(), verb=st.sampled_from(["hold", "release", "suspend", "resume", "terminate"]))
    def act_on_array(self, data: st.DataObject, verb: str) -> None:
        """Call something on an array."""
        if arrays := list(self.front.engine.sessions["q"].arrays):
            self.call("POST", f"/sessions/q/arrays/{data.draw(st.sampled_from(arrays))}/{verb}")

    @precondition(lambda self: self.servers.open)
    @rule(data=st.data(), losses=st.integers(0, 2), held_us=st.integers(0, 4 * SECOND))
    def lose_hold_and_release(self, data: st.DataObject, losses: int, held_us: int) -> None:
        """Lose a job at its servers, hold its repeat, let the servers give it back, and release it."""
        job_id = data.draw(st.sampled_from(list(self.servers.open.values()))).spec.idempotency_key
        for attempt in list(self.servers.open.values())[:losses]:
            if attempt.spec.idempotency_key == job_id:
                self.ran(attempt)
                self.tell(AttemptFinished(attempt.spec.name, attempt.server, Outcome.RESET))
        self.call("POST", f"/sessions/q/jobs/{job_id}/hold")
        while self.servers.recalls:
            self.answer_server_call(True)
        self.pass_time(held_us)
        self.call("POST", f"/sessions/q/jobs/{job_id}/release")

    @rule(data=st.data())
    def hang_up(self, data: st.DataObject) -> None:
        """Leave a call that waits."""
        if self.answers:
            one = data.draw(st.sampled_from(range(len(self.answers))))
            connection: Any = self.answers.pop(one)[0]
            self.front.client_disconnected(connection)
            self.turn()

    # Schedulers.

    def tell(self, message: Message) -> None:
        """Put a scheduler's news into the inbox."""
        self.inbox.send_nowait(message)
        self.turn()

    @precondition(lambda self: self.servers.open)
    @rule(data=st.data(), news=st.sampled_from(NEWS), again=st.booleans())
    def news(self, data: st.DataObject, news: str, again: bool) -> None:
        """Tell something of a job, perhaps twice."""
        attempt = data.draw(st.sampled_from(list(self.servers.open.values())))
        name, server = attempt.spec.name, attempt.server
        for _ in range(1 + again):
            match news:
                case "started" | "suspended":
                    if (name, server) in self.servers.open:
                        self.ran(attempt)
                    self.tell(
                        AttemptStarted(name, server) if news == "started" else AttemptSuspended(name, server)
                    )
                case "unseen" | "found":
                    self.tell(AttemptStatusUnknown(name, server, news == "found"))
                case _:
                    outcome = {
                        "done": Outcome.OK,
                        "failed": Outcome.ERROR,
                        "exit": Outcome.ERROR,
                        "full": Outcome.FULL,
                        "lost": Outcome.RESET,
                    }[news]
                    if outcome not in NEVER_RAN and (name, server) in self.servers.open:
                        self.ran(attempt)
                    self.tell(
                        AttemptFinished(
                            name,
                            server,
                            outcome,
                            is_unfit=news == "exit",
                            exit_details=ExitDetails(3) if news == "exit" else None,
                        )
                    )

    def ran(self, attempt: ServerAttempt) -> None:
        """Note that an attempt may have run; a held job never does."""
        key = attempt.spec.idempotency_key
        if attempt not in self.servers.runs[key]:
            self.servers.runs[key].append(attempt)
        for session in self.front.engine.sessions.values():
            job = session.jobs.get(key)
            assert job is None or not job.state.value.endswith("_HELD")

    @precondition(lambda self: self.servers.recalls or self.servers.controls)
    @rule(yes=st.booleans())
    def answer_server_call(self, yes: bool) -> None:
        """Answer a recall, or a suspend or resume."""
        if self.servers.recalls:
            attempt = self.servers.recalls.pop(0)
            done = yes and not attempt.has_started
            self.tell(AttemptRecalled(attempt.spec.name, attempt.server, done))
        else:
            attempt, action = self.servers.controls.pop(0)
            self.tell(
                AttemptControlled(
                    attempt.spec.name,
                    attempt.server,
                    action,
                    "" if yes else "UnsupportedOperationException",
                    "no",
                )
            )

    @rule(data=st.data(), state=st.sampled_from(["up", "draining"]))
    def change_list(self, data: st.DataObject, state: str) -> None:
        """Let a scheduler drain, or come back."""
        row = data.draw(st.sampled_from(self.rows))
        self.tell(EndpointListReceived("changes", [ServiceEntry(row.server, "", "", "k", row.cell, state)]))

    @rule(by=st.integers(1, 3 * SECOND))
    def pass_time(self, by: int) -> None:
        """Let time pass, with all that becomes due on the way."""
        until = self.clock.now + by
        for _ in range(10_000):
            due = min(self.front.engine.next_us(), self.dispatcher.timers.next_us() or until, until)
            self.clock.now = max(due, self.clock.now)
            self.front.engine.tick(self.clock.now)
            self.front.flush(self.clock.now)
            self.dispatcher.run_batch([])
            self.turn()
            if self.clock.now >= until:
                return
        raise AssertionError("time stands still")

    @invariant()
    def keeps_its_word(self) -> None:
        """One final state each, no job without somebody who looks after it, bounds and parallels kept."""
        engine = self.front.engine
        out: Counter[str] = Counter()
        for session in engine.sessions.values():
            assert session.quota.jobs <= session.quota.allowance.jobs
            for job in session.jobs.values():
                if job.id in self.finals:
                    assert self.finals[job.id] == job.state.value
                elif job.state.value in ENDS:
                    self.finals[job.id] = job.state.value
                has_request = job.stage.value in ("offered", "placed")
                assert has_request == (job in self.front.edges)
                if has_request:
                    responder = self.front.edges[job]
                    request = self.dispatcher.requests.by_name.get(responder.name)
                    assert request is not None and request.responder is responder and not request.is_answered
                    if job.array is not None:
                        out[job.array.id] += 1
        for array_id, most in self.parallel.items():
            assert not most or out[array_id] <= most
        counts = self.counters.counts
        assert not counts["module_errors"] and len(engine.waits) <= engine.bounds.waits

    def teardown(self) -> None:
        """After all deadlines every job has ended, every call is answered, and nothing is left open."""
        for _ in range(2):
            while self.servers.recalls or self.servers.controls:
                self.answer_server_call(False)
            for array in list(self.front.engine.sessions["q"].arrays):
                self.call("POST", f"/sessions/q/arrays/{array}/release")
            self.pass_time(60 * SECOND)
        assert self.front.engine.jobs == 0 and not len(self.dispatcher.requests) and not self.front.edges
        assert not self.answers and not self.servers.open and not self.front.engine.waits


def stamp(at_us: int) -> str:
    """Return a moment as the binding writes it."""
    return datetime.fromtimestamp(at_us / 1e6, UTC).isoformat()


TestWorld = World.TestCase
TestWorld.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_client_that_hangs_up_before_it_has_the_id_leaves_no_job() -> None:
    """Its job is withdrawn behind the offer, and no scheduler keeps it."""
    world = World()
    connection: Any = FakeConnection()
    body = b'{"jobTemplate":{"remoteCommand":"x"}}'
    coroutine = world.front.request(connection, Request("POST", "/drmaa2/jobs", {}, body))
    try:
        coroutine.send(None)
    except StopIteration as stop:
        assert stop.value is None and connection.context is not None
    world.front.client_disconnected(connection)
    world.turn()
    assert not len(world.dispatcher.requests) and not world.servers.open and world.front.engine.jobs == 0
    assert not connection.answers and world.counters.counts["requests_withdrawn"] == 1
