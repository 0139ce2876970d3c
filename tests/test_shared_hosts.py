"""Servers that have several names: DNS-SD records of one host, and lists that give a server another name."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest
import trio

from merlinbay.core.dispatcher import Dispatcher
from merlinbay.core.messages import AttemptFinished, EndpointListReceived, Message, RequestArrived
from merlinbay.core.values import RequestSpec, ServiceEntry
from merlinbay.counters import Counters
from merlinbay.decision import Balancer
from merlinbay.decision.actions import Dispatch
from merlinbay.decision.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointsChanged,
    RequestReceived,
    UnresolvedAttempt,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import DispatchLimits, RequestClass, Settings
from merlinbay.dnssd.directory import DnsSdDirectory
from merlinbay.dnssd.shared_hosts import ServerList, merge_by_address
from merlinbay.http.connection import Request, Response
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from tests.net import LIMITS, FakeServer, completes_job, free_port, node_fixture, run_scenario
from tests.test_dnssd import SERVICE, NameServer, listen
from tests.test_earlier_attempts import RecordingResponder
from tests.test_world import FakeClock, Servers

SECOND = 1_000_000
X, Y = "127.0.0.9:8081", "127.0.0.9:8082"
A, B = ServiceEntry("a", X, "hall-a", "k", 1), ServiceEntry("b", X, "hall-b", "k", 2)
C = ServiceEntry("c", Y)


def changed(entry: ServiceEntry, **values: object) -> ServiceEntry:
    """Return an entry with other values."""
    return msgspec.structs.replace(entry, **values)


@pytest.mark.parametrize(
    ("listed", "former", "expected"),
    [
        ([A, C], {}, ServerList({"a": A, "c": C})),
        ([A, B, C], {}, ServerList({"a": A, "c": C}, {"b": "a"})),
        ([A, B], {"b": B}, ServerList({"b": B}, {"a": "b"})),
        ([A, B], {"b": changed(B, address=Y)}, ServerList({"a": A}, {"b": "a"})),
        ([B, C], {"a": A}, ServerList({"b": B, "c": C})),
        ([A, changed(B, state="draining")], {}, ServerList({"a": changed(A, state="draining")}, {"b": "a"})),
        ([changed(A, state="draining"), B], {}, ServerList({"a": changed(A, state="draining")}, {"b": "a"})),
        ([A, changed(B, started_at_us=5)], {}, ServerList({"a": changed(A, started_at_us=5)}, {"b": "a"})),
    ],
)
def test_records_of_one_address_make_one_entry(
    listed: list[ServiceEntry], former: dict[str, ServiceEntry], expected: ServerList
) -> None:
    """It keeps its name while a record has it, drains if one record says so, and has the latest start."""
    assert merge_by_address(listed, former) == expected


def record(label: str, host: str = "host-1.example.", port: int = 8081, text: str = "zone=hall-a") -> str:
    """Return the records of an instance but for its host's address."""
    name = f"{label}.{SERVICE}"
    return (
        f'{SERVICE} 1 IN PTR {name}\n{name} 1 IN SRV 0 1 {port} {host}\n{name} 1 IN TXT "{text}" "kind=k"\n'
    )


HOSTS = "host-1.example. 1 IN A 127.0.0.2\nhost-2.example. 1 IN A 127.0.0.2\n"


@pytest.mark.parametrize(
    ("text", "addresses", "aliases"),
    [
        (record("a") + record("b"), {"a": "127.0.0.2:8081"}, {"b": "a"}),
        (record("a") + record("b", "host-2.example."), {"a": "127.0.0.2:8081"}, {"b": "a"}),
        (record("a") + record("b", text="id=z"), {"a": "127.0.0.2:8081"}, {"z": "a"}),
        (record("a") + record("b", port=1), {"a": "127.0.0.2:8081", "b": "127.0.0.2:1"}, {}),
    ],
)
def test_two_records_of_one_host_and_port_are_one_server(
    text: str, addresses: dict[str, str], aliases: dict[str, str]
) -> None:
    """Guards against two entries for one server, which let a request have two attempts there at a time."""

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            send, receive = trio.open_memory_channel[Message](8)
            at = await listen(nursery, NameServer(text + HOSTS))
            directory = DnsSdDirectory(at, SERVICE, send, LIMITS, Counters(), Log(9))
            nursery.start_soon(directory.run)
            directory.subscribe()
            found = await receive.receive()
            assert isinstance(found, EndpointListReceived) and found.aliases == aliases
            assert {entry.server: entry.address for entry in found.entries} == addresses
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


def test_a_host_whose_answers_take_turns_is_one_server_within_a_list() -> None:
    """A name server may answer with one of several addresses in turn; each list asks for a host once."""

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            send, _ = trio.open_memory_channel[Message](8)
            server = NameServer(record("a") + record("b") + "host-1.example. 1 IN A 127.0.0.2")
            answer, turn = server.answer, iter(range(10))

            def answer_in_turn(wire: bytes) -> bytes:
                server.text = server.text.rpartition(".")[0] + f".{2 + next(turn)}"
                return answer(wire)

            server.answer = answer_in_turn  # type: ignore[method-assign]
            at = await listen(nursery, server)
            directory = DnsSdDirectory(at, SERVICE, send, LIMITS, Counters(), Log(9))
            listed, _ = await directory.query_list()
            assert list(listed.entries) == ["a"] and listed.aliases == {"b": "a"}
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


# The decision module: whatever the names, a request does not go to a server twice.


def balancer(*rows: EndpointEntry, seed: int = 1, effect: str = "by_key") -> Balancer:
    """Return a balancer with these endpoints, which may send a request four times."""
    spec = RequestClass("c", 100_000, 9 * SECOND, effect=effect, window_us=9 * SECOND)
    limits = DispatchLimits(cancelling=True, second_copies=True, send_cap=4, retry_after=True)
    made = Balancer(Settings(classes=[spec], kinds=["k"], tells_start=True, limits=limits), seed, SECOND)
    made.handle(SECOND, [EndpointsChanged("all", list(rows))])
    return made


def at(name: str, address: str) -> EndpointEntry:
    """Return an endpoint's entry."""
    return EndpointEntry(name, "z", "k", address=address)


@pytest.mark.parametrize("effect", ["by_key", "repeatable"])
@pytest.mark.parametrize("ending", [None, Outcome.RESET, Outcome.TIMEOUT, Outcome.FULL, Outcome.ERROR])
@pytest.mark.parametrize("later", [[at("new", X)], [at("new", X), at("c", Y)], [at("old", X), at("new", X)]])
def test_a_server_that_is_renamed_gets_no_second_attempt(
    later: list[EndpointEntry], ending: Outcome | None, effect: str
) -> None:
    """Guards against a second attempt beside the first: they were told apart by the server's name alone."""
    for seed in range(20):
        made = balancer(at("old", X), seed=seed, effect=effect)
        sent: list[str] = []

        def handle(now_us: int, *events: object, into: list[str] = sent, made: Balancer = made) -> None:
            actions = made.handle(now_us, list(events))  # type: ignore[arg-type]
            into += [action.endpoint for action in actions if isinstance(action, Dispatch)]

        handle(SECOND, RequestReceived(1, "c", 8 * SECOND))
        assert sent == ["old"]
        handle(SECOND + 1000, EndpointsChanged("all", later))
        if ending is not None:
            handle(2 * SECOND, AttemptEnded(1, 0, ending, SECOND, endpoint="old"))
        assert sent[1:] in ([], ["c"])
        for name in ("old", "new"):
            endpoint = made.parts.endpoints.by_name.get(name)
            request = made.parts.requests.by_id.get(1)
            assert endpoint is None or request is None or request.was_sent_to(endpoint)


@pytest.mark.parametrize(("address", "expected"), [(X, {"c"}), (Y, {"new"}), ("", {"new", "c"})])
def test_a_later_offer_avoids_the_address_of_an_earlier_one(address: str, expected: set[str]) -> None:
    """An attempt that may have run is told with its address; one without an address bars its name alone."""
    sent: set[str] = set()
    for seed in range(40):
        earlier = UnresolvedAttempt("old", "z", 0, SECOND, address)
        made = balancer(at("new", X), at("c", Y), seed=seed)
        actions = made.handle(SECOND, [RequestReceived(1, "c", 8 * SECOND, earlier_attempts=(earlier,))])
        sent |= {action.endpoint for action in actions if isinstance(action, Dispatch)}
    assert sent == expected


def test_an_attempt_is_told_with_its_address_at_the_dispatch() -> None:
    """A later list may give the server's name to another address."""
    made = balancer(at("old", X))
    made.handle(SECOND, [RequestReceived(1, "c", 8 * SECOND)])
    made.handle(2 * SECOND, [EndpointsChanged("changes", [at("old", Y), at("new", X)])])
    unresolved = made.unresolved_attempt(1, 0)
    assert unresolved is not None and unresolved.address == X
    request = made.parts.requests.by_id[1]
    assert request.was_sent_to(made.parts.endpoints.by_name["new"])


# The core: each of a server's names leads to it.


def dispatcher_with_servers() -> tuple[Dispatcher, Servers]:
    """Return a dispatcher that has no list yet, and its servers."""
    clock = FakeClock()
    clock.now = SECOND
    core_clock: Any = clock
    servers = Servers(clock)
    dispatcher = Dispatcher(balancer(), core_clock, ResourceLimits(), Counters(), Log(1), servers, Mock())
    return dispatcher, servers


def test_a_request_for_a_server_by_any_of_its_names_goes_there() -> None:
    """Guards against a job that waits for ever for a machine which the list calls by its other name."""
    dispatcher, servers = dispatcher_with_servers()
    entries = [ServiceEntry("a", X, kind="k"), ServiceEntry("c", Y, kind="k")]
    dispatcher.run_batch(
        [EndpointListReceived("all", entries, identifies_by_address=True, aliases={"b": "a"})]
    )
    for name in ("a", "b"):
        spec = RequestSpec(
            f"j-{name}", "c", SECOND, 4 * SECOND, idempotency_key=name, allowed_servers=(name,)
        )
        dispatcher.run_batch([RequestArrived(spec, RecordingResponder())])
    assert set(servers.open) == {("j-a", "a"), ("j-b", "a")}
    assert dispatcher.requests.find_attempt("j-b", "b") is servers.open["j-b", "a"]


@pytest.mark.parametrize(("by_address", "expected"), [(True, set()), (False, {("j", "new")})])
def test_the_list_says_whether_an_address_tells_the_server(
    by_address: bool, expected: set[tuple[str, str]]
) -> None:
    """With DNS-SD an address is one server, whatever its name; on the platform the id tells."""
    dispatcher, servers = dispatcher_with_servers()

    def listed(name: str) -> EndpointListReceived:
        entry = ServiceEntry(name, X, kind="k")
        return EndpointListReceived("all", [entry], identifies_by_address=by_address)

    spec = RequestSpec("j", "c", SECOND, 4 * SECOND, idempotency_key="j")
    dispatcher.run_batch([listed("old"), RequestArrived(spec, RecordingResponder())])
    assert set(servers.open) == {("j", "old")}
    dispatcher.run_batch([listed("new"), AttemptFinished("j", "old", Outcome.RESET)])
    assert set(servers.open) == expected


# Whole nodes.


async def takes_job(server: FakeServer, request: Request) -> Response | None:
    """Accept a job and say no more."""
    return Response(202)


def test_a_host_with_two_records_gets_a_job_once_and_may_use_either_name(tmp_path: Path) -> None:
    """Guards against a copy at the server that has the job, and against call-backs by its other name."""

    async def scenario() -> None:
        async with node_fixture(tmp_path) as s:
            server = s.add_server("s-1", takes_job)
            s.endpoint_rows.clear()
            text = record("alias", port=int(server.addr.rpartition(":")[2]))
            names = NameServer(text + text.replace("alias", "s-1") + HOSTS)
            host, port = await listen(s.nursery, names)
            s.operator = f'[dnssd]\nnameserver = "{host}:{port}"\nservice = "{SERVICE}"\n'
            s.admin_port = free_port()
            await s.start()
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(s.admit, f"j{number}", 1500)
            posts = [sent.headers["x-request-id"] for _, sent in server.received if sent.method == "POST"]
            assert len(posts) == len(set(posts)) > 0, posts
            server.behaviour = completes_job  # it calls itself s-1, and the list calls it "alias"
            with trio.fail_after(10):
                while (await s.admit(f"k{trio.current_time()}")).status != 200:
                    await trio.sleep(0.2)
            assert (await s.admin_call("maint-on s-1")).startswith("SUCCESS")
            assert (await s.admit("m1")).status == 503
            names.text = text.replace("alias", "s-1") + HOSTS  # The record that named the server goes.
            await trio.sleep(1.5)
            assert (await s.admit("m2")).status == 503
            assert (await s.admin_call("maint-off s-1")).startswith("SUCCESS")
            with trio.fail_after(10):  # It comes back as one that has just started.
                while (await s.admit(f"n{trio.current_time()}")).status != 200:
                    await trio.sleep(0.2)

    run_scenario(scenario)
