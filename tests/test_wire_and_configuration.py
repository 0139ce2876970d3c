"""Decoding of the platform's wire, the operator's file and the resource limits."""

from __future__ import annotations

import contextlib
import socket
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.access.settings import AccessSettings
from merlinbay.config import read_operator_file
from merlinbay.core.values import ServiceEntry
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.settings import RequestClass, SafetyMargins, Settings
from merlinbay.dnssd.settings import DnsSd
from merlinbay.drmaa.settings import DrmaaSettings
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.http.client import Reply
from merlinbay.limits import limits_from
from merlinbay.platform import messages
from merlinbay.platform.replies import OUTCOMES, JobReply, classify, is_conclusive
from tests.net import ROOT

HEADERS = {
    "x-request-id": "9b1f",
    "x-priority-class": "admit",
    "x-timeout-ms": "4998",
    "idempotency-key": "k",
    "x-attrs": "slots=1,memory=0.638",
}

JOBS: list[tuple[str, dict[str, str], dict[str, Any] | None]] = [
    (
        "/admit?x=1",
        {},
        {
            "name": "9b1f",
            "job_class": "admit",
            "time_budget_us": 4_998_000,
            "slots": 1.0,
            "memory": 0.638,
            "idempotency_key": "k",
            "target": "/admit?x=1",
            "is_retry": False,
        },
    ),
    ("/admit", {"x-priority-class": ""}, {"job_class": "admit"}),
    ("/admit", {"x-priority-class": "seat"}, None),
    ("/admit", {"x-priority-class": "Admit"}, None),
    (
        "/admit",
        {"x-retried": "1", "x-route-key": "r", "x-cost": "1200.5"},
        {"is_retry": True, "affinity_key": "r", "duration_hint_us": 1200},
    ),
    ("/admit", {"x-attrs": "odd,slots = 2 ,new=x"}, {"slots": 2.0, "memory": 0.0}),
    ("/admit", {"x-request-id": ""}, None),
    ("/admit", {"x-request-id": "a" * 65}, None),
    ("/admit", {"x-request-id": "a/../b"}, None),
    ("/admit", {"x-request-id": "\xe9"}, None),
    ("/admit", {"x-timeout-ms": ""}, None),
    ("/admit", {"x-timeout-ms": "0"}, None),
    ("/admit", {"x-timeout-ms": "1e3"}, None),
    ("/admit", {"x-timeout-ms": "9" * 30}, None),
    ("/admit", {"x-attrs": "slots=many"}, None),
    ("/admit", {"x-attrs": "slots=nan"}, None),
    ("/admit", {"x-attrs": "memory=-1"}, None),
    ("/admit", {"x-cost": "inf"}, None),
]


@pytest.mark.parametrize(("target", "changes", "expected"), JOBS)
def test_request_headers_become_a_request_spec(
    target: str, changes: dict[str, str], expected: dict[str, Any] | None
) -> None:
    """Headers become a request spec. Where none is expected, the request is answered with 400."""
    if expected is None:
        with pytest.raises(messages.BadRequestError):
            messages.request_spec(target, {**HEADERS, **changes}, b"", 7)
    else:
        spec = messages.request_spec(target, {**HEADERS, **changes}, b"", 7)
        assert {name: getattr(spec, name) for name in expected} == expected
        assert spec.arrived_at_us == 7


@pytest.mark.parametrize(
    ("status", "headers", "expected", "outcome"),
    [
        (202, {}, JobReply.TAKEN, None),
        (503, {"x-not-processed": "1"}, JobReply.NOT_PROCESSED, Outcome.FULL),
        (504, {"x-not-processed": "1"}, JobReply.NOT_PROCESSED, Outcome.FULL),
        (503, {}, JobReply.UNKNOWN, Outcome.ERROR),
        (503, {"x-not-processed": "0"}, JobReply.UNKNOWN, Outcome.ERROR),
        (504, {}, JobReply.UNKNOWN, Outcome.ERROR),
        (500, {"x-not-processed": "1"}, JobReply.FAILED, Outcome.ERROR),
        (200, {}, JobReply.UNKNOWN, Outcome.ERROR),
        (302, {}, JobReply.UNKNOWN, Outcome.ERROR),
        (501, {}, JobReply.UNKNOWN, Outcome.ERROR),
        (404, {"x-not-processed": "1"}, JobReply.REJECTED, Outcome.ERROR),
        (429, {}, JobReply.REJECTED, Outcome.ERROR),
    ],
)
def test_server_response_becomes_an_outcome(
    status: int, headers: dict[str, str], expected: JobReply, outcome: Outcome | None
) -> None:
    """Only 503 and 504 with the header prove that a job never ran. Unlisted statuses leave it unknown."""
    reply = Reply(status, headers, b"")
    assert classify(reply) is expected and OUTCOMES.get(expected) is outcome
    assert is_conclusive(reply) == (expected not in (JobReply.UNKNOWN, JobReply.REJECTED))


@pytest.mark.parametrize(
    ("state", "expected"),
    [("SERVING", "up"), ("DRAINING", "draining"), ("DELETED", "removed"), ("NEW", "draining")],
)
def test_listing_becomes_entries(state: str, expected: str) -> None:
    """Id and address are separate fields. A server with an unknown state counts as draining."""
    listing = messages.read_listing(
        msgspec.json.encode(
            {
                "version": 4,
                "full": False,
                "servers": [
                    {
                        "id": "s-1",
                        "addr": "127.0.0.9:1",
                        "zone": "a",
                        "kind": "k",
                        "cell": 3,
                        "state": state,
                        "weight": 2.5,
                        "started_ms": 12,
                        "new": 1,
                    }
                ],
            }
        )
    )
    assert messages.entries(listing) == [
        ServiceEntry("s-1", "127.0.0.9:1", "a", "k", 3, expected, 2.5, 12_000)
    ]


@pytest.mark.parametrize(
    ("row", "state", "reported_names"),
    [
        ({"state": "NEW"}, "draining", ["s-1"]),
        ({"addr": ""}, "draining", ["s-1"]),
        ({"state": "DELETED", "addr": ""}, "removed", []),
        ({"state": "DRAINING"}, "draining", []),
        ({}, "up", []),
    ],
)
def test_malformed_entry_is_reported_by_name(
    row: dict[str, str], state: str, reported_names: list[str]
) -> None:
    """An unknown state or missing address affects only its entry. A deleted server needs no address."""
    listing = messages.read_listing(
        msgspec.json.encode(
            {
                "version": 4,
                "full": False,
                "servers": [
                    {"id": "s-1", "addr": "127.0.0.9:1", **row},
                    {"id": "s-2", "addr": "127.0.0.9:2"},
                ],
            }
        )
    )
    assert [text.partition(":")[0] for text in messages.malformed_entries(listing)] == reported_names
    assert [entry.state for entry in messages.entries(listing)] == [state, "up"]


@pytest.mark.parametrize(("result", "expected"), [("é", "é".encode()), ("", b""), ({"a": 1}, b'{"a":1}')])
def test_result_becomes_a_response_body(result: Any, expected: bytes) -> None:
    """A text result is the body itself; other results are encoded as JSON."""
    assert messages.result_bytes(result) == expected


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@pytest.mark.parametrize("sockets", [64, 256, 1024, 65536])
def test_descriptors_are_divided(sockets: int, memory_mb: int) -> None:
    """Clients and servers leave descriptors to the rest, and requests leave connections to call-backs."""
    settings = Settings(
        [RequestClass("admit", 1, 5_000_000)], safety=SafetyMargins(must_ask_in_us=10_000_000)
    )
    limits = limits_from(sockets, memory_mb, settings, 120_000, 10_000_000, 20_000)
    assert limits.client_connections + limits.server_connections + 32 <= sockets
    assert 0 < limits.max_open_requests < limits.client_connections
    assert 0 < limits.drmaa_waits < limits.client_connections
    assert (limits.connect_timeout_s, limits.pool_idle_timeout_s < 10, limits.stop_timeout_s) == (
        0.12,
        True,
        3.65,
    )
    # All steps of the shutdown fit before its timeout, which ends before SIGKILL.
    steps = (
        limits.stop_serving_for_s
        + limits.stop_responses_for_us / 1e6
        + limits.stop_rejecting_for_s
        + limits.stop_close_timeout_s
    )
    assert steps <= limits.stop_timeout_s + 1e-9 < 3.7
    assert limits.watch_wait_s + limits.watch_slack_s < 10


def test_operator_file_turns_the_drmaa_front_on() -> None:
    """The file in deploy/ turns the front on; without a file, everything is off."""
    operator = read_operator_file(str(ROOT / "deploy" / "drmaa.toml"))
    assert operator is not None
    assert operator.drmaa == DrmaaSettings(front=True, servers=True, access=AccessSettings(open=True))
    assert isinstance(operator.dnssd, DnsSd) and parse_address(operator.dnssd.nameserver) == (
        "127.0.0.1",
        5353,
    )
    assert read_operator_file("") is None and not DrmaaSettings().front and not DrmaaSettings().servers


@pytest.mark.parametrize(
    "text", ["a..b:80", ".a:80", f"{'x' * 64}.example:80", "a\0b:80", "a:\u00b2", "a:" + "1" * 5000]
)
def test_an_address_that_no_socket_takes_is_a_configuration_error(text: str) -> None:
    """Guards against a crash: such an address, also of another member, raised ``ValueError`` when used."""
    with pytest.raises(ConfigurationError, match="expected an address of the form host:port") as caught:
        parse_address(text)
    assert len(str(caught.value).splitlines()) == 1


@settings(derandomize=True, database=None)
@given(st.text(max_size=80), st.one_of(st.integers(0, 70_000).map(str), st.text(max_size=3)))
def test_an_address_that_is_accepted_raises_no_error_but_oserror(host: str, port: str) -> None:
    """What ``parse_address`` lets through, a socket takes or refuses by ``OSError``."""
    with contextlib.suppress(ConfigurationError, OSError):
        socket.getaddrinfo(*parse_address(f"{host}:{port}"), flags=socket.AI_NUMERICHOST)


@pytest.mark.parametrize(
    "text",
    [
        "[drmaa",
        "[drmaa]\nfront = 3\n",
        "[dnssd]\n",
        "[nonsense]\n",
        '[dnssd]\nnameserver = "x"\nservice = "y"\n',
        None,
    ],
)
def test_bad_operator_file_gives_a_one_line_error(tmp_path: Path, text: str | None) -> None:
    """The error is a single line that is not empty."""
    path = tmp_path / "operator.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigurationError) as caught:
        read_operator_file(str(path))
    assert len(str(caught.value).splitlines()) == 1 and str(caught.value)
