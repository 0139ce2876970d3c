"""Who may call: tokens, keys, accounts that cannot see each other, and TLS, also under bad handshakes."""

from __future__ import annotations

import base64
import json
import signal
import ssl
import stat
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import jwt
import pytest
import trio
import trustme
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.access import tokens
from merlinbay.access.grants import Grant, Scope
from merlinbay.access.settings import AccessSettings
from merlinbay.access.tokens import KeyRing, KeyRingError, SigningKey, TokenGate
from merlinbay.batch.errors import DrmaaError
from merlinbay.cli.main import main
from merlinbay.errors import ConfigurationError
from merlinbay.http.client import Reply
from merlinbay.operator_file import read
from tests.net import NodeFixture, free_port, node_fixture, run_scenario
from tests.test_front import Scheduler

NOW_S = 1_800_000_000
RING = KeyRing(
    [
        SigningKey("new", base64.b64encode(b"n" * 32).decode()),
        SigningKey("old", base64.b64encode(b"o" * 32).decode(), NOW_S + 100),
        SigningKey("ended", base64.b64encode(b"e" * 32).decode(), NOW_S - 1),
    ]
)


def made(key: int = 0, **changes: Any) -> str:
    """Return a token; a claim of None is left out."""
    claims = {"sub": "a", "aud": "merlinbay", "exp": NOW_S + 50, "scope": "submit monitor", **changes}
    return jwt.encode(
        {name: value for name, value in claims.items() if value is not None},
        RING.keys[key].raw(),
        algorithm="HS256",
        headers={"kid": RING.keys[key].kid},
    )


def ask(token: str, at_s: float = NOW_S, ring: KeyRing = RING) -> Grant:
    """Have a token checked."""
    return TokenGate(ring).grant({"authorization": f"Bearer {token}"}, int(at_s * 1e6))


def test_a_good_token_grants_what_it_says() -> None:
    """The account, the scopes, and until when: the token's end or its key's."""
    assert ask(made()) == Grant("a", frozenset([Scope.SUBMIT, Scope.MONITOR]), (NOW_S + 50) * 10**6)
    assert ask(made(sub="*")).account is None
    assert ask(made(1, exp=NOW_S + 5000)).until_us == (NOW_S + 100) * 10**6
    assert ask(tokens.issue(RING, "b", [Scope.CONTROL], 9, NOW_S)).scopes == {Scope.CONTROL}


NONE_TOKEN = jwt.encode(
    {"sub": "a", "aud": "merlinbay", "exp": NOW_S + 50, "scope": "submit"},
    "",
    algorithm="none",
    headers={"kid": "new"},
)


@pytest.mark.parametrize(
    "token",
    [
        made(exp=NOW_S),
        made(2),
        made(scope="root"),
        made(scope=None),
        made(exp=None),
        made(sub=""),
        made(sub=3),
        made(aud="other"),
        made(aud=None),
        made(exp="x"),
        made(exp=2**50),
        made(exp=True),
        NONE_TOKEN,
        "",
        "a.b.c",
        "x" * 5000,
        made()[:-3] + "AAA",
        made().rpartition(".")[0] + ".",
        jwt.encode(
            {"sub": "a", "aud": "merlinbay", "exp": NOW_S + 50, "scope": "submit"},
            b"o" * 32,
            headers={"kid": "new"},
        ),
    ],
)
def test_a_bad_token_grants_nothing_and_is_not_told_why(token: str) -> None:
    """Ended, of another key, unsigned, of another audience, without a claim: one answer for all."""
    with pytest.raises(DrmaaError) as found:
        ask(token)
    assert found.value.nobody and str(found.value) in ("the token is not valid", "a bearer token is needed")


@settings(derandomize=True, deadline=None)
@given(st.text())
def test_no_header_breaks_the_gate(text: str) -> None:
    """Whatever stands there, the one exception is raised."""
    with pytest.raises(DrmaaError):
        TokenGate(RING).grant({"authorization": text}, NOW_S * 10**6)
    with pytest.raises(DrmaaError):
        ask(text)


def test_a_token_ends_though_it_is_remembered_and_keys_rotate_under_use() -> None:
    """What was good a moment ago is checked against the time and the ring each time."""
    gate, heads = TokenGate(RING), {"authorization": f"bearer {made()}"}
    assert gate.grant(heads, NOW_S * 10**6).account == "a"
    with pytest.raises(DrmaaError):
        gate.grant(heads, (NOW_S + 50) * 10**6)
    once = tokens.rotated(RING, 20, NOW_S)
    gate.use(once)
    assert gate.grant(heads, NOW_S * 10**6).until_us == (NOW_S + 20) * 10**6
    gate.use(tokens.rotated(once, 20, NOW_S))
    with pytest.raises(DrmaaError):
        gate.grant(heads, NOW_S * 10**6)
    for number in range(tokens.CACHED + 9):
        gate.grant(
            {"authorization": "Bearer " + tokens.issue(gate.ring, f"a{number}", [], 9, NOW_S)}, NOW_S * 10**6
        )
    assert len(gate.cache) == tokens.CACHED


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("", "truncated"),
        ("{}", "keys"),
        ('{"keys":[]}', "no key"),
        ('{"keys":[{"kid":"a","secret":"!"}]}', "base64"),
        ('{"keys":[{"kid":"a","secret":"YWJj"}]}', "less than"),
        ('{"keys":[{"kid":"a"}]}', "secret"),
        ('{"keys":[],"more":1}', "more"),
    ],
)
def test_a_ring_that_cannot_be_used_is_named_in_one_line(text: str, says: str, tmp_path: Path) -> None:
    """With the file's name."""
    path = tmp_path / "keys.json"
    path.write_text(text)
    path.chmod(0o600)
    with pytest.raises(KeyRingError) as found:
        tokens.load(path)
    assert str(path) in str(found.value) and says in str(found.value) and "\n" not in str(found.value)


def test_the_command_line_makes_rotates_and_issues(tmp_path: Path) -> None:
    """And nobody else may read what it writes; a ring that others may read is refused."""
    path, run = tmp_path / "keys.json", CliRunner().invoke
    assert run(main, ["keys", "new", str(path)]).exit_code == 0
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert run(main, ["keys", "new", str(path)]).exit_code == 2
    token = run(main, ["keys", "token", str(path), "--account", "a", "--scope", "submit"]).output.strip()
    assert run(main, ["keys", "rotate", str(path), "--overlap", "60"]).exit_code == 0
    assert ask(token, time.time(), tokens.load(path)).account == "a"
    assert run(main, ["keys", "list", str(path)]).output.count("checks") == 2
    assert "secret" not in run(main, ["keys", "list", str(path)]).output
    assert run(main, ["tls", "new", str(tmp_path / "tls"), "--name", "127.0.0.2"]).exit_code == 0
    first = (tmp_path / "tls" / "server.pem").read_bytes()
    assert run(main, ["tls", "rotate", str(tmp_path / "tls"), "--name", "127.0.0.2"]).exit_code == 0
    assert (tmp_path / "tls" / "server.pem").read_bytes() != first
    assert run(main, ["tls", "client", str(tmp_path / "tls"), "ann"]).exit_code == 0
    path.chmod(0o644)
    assert run(main, ["keys", "list", str(path)]).exit_code == 2


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("", "access: name the token keys"),
        ("access.open = true\naccess.keys = 'k'", "access.open"),
        ("access.open = true\naccess.tls = '127.0.0.1:1'", "access.tls"),
        ("access.open = true\naccess.client_ca = 'x'", "access.client_ca"),
        (
            "access.open = true\naccess.tls = 'x'\naccess.certificate = 'c'\naccess.certificate_key = 'k'",
            "access",
        ),
        ("access.open = true\nevents.to = ['10.0.0.1/8']", "events.to"),
        ("access.open = true\nevents.to = ['10.0.0.0/8:x']", "events.to"),
    ],
)
def test_the_operators_file_says_who_may_call(text: str, says: str, tmp_path: Path) -> None:
    """A front that nobody was said to be kept from does not start."""
    path = tmp_path / "o.toml"
    path.write_text(f"[drmaa]\nfront = true\n{text}\n")
    with pytest.raises(ConfigurationError) as found:
        read(str(path))
    assert f"{path}: drmaa.{says}" in str(found.value)
    assert AccessSettings(open=True).validation_error() == ""


# Over sockets.

TEMPLATE = {"jobTemplate": {"remoteCommand": "x", "submitAsHold": True}}
Body = Callable[[NodeFixture, Callable[..., Awaitable[Reply]], KeyRing], Awaitable[None]]


def scene(tmp_path: Path, body: Body, more: str = "") -> None:
    """Play with a front that wants tokens; ``body`` gets a call that bears one."""

    async def whole() -> None:
        async with node_fixture(tmp_path) as s:
            ring, path = KeyRing([tokens.new_key()]), tmp_path / "keys.json"
            tokens.save(path, ring)
            s.operator = (
                f"[drmaa]\nfront = true\nservers = true\n"
                f"access.keys = '{path}'\nevents.keep = 100\n"
                f"reservations.slots = {{ k = 4 }}\n{more}\n"
                "[[drmaa.session]]\nname = 'q'\nbacklog = true\n"
            )
            s.add_server("s-1", Scheduler())
            await s.start()

            async def call(token: str, method: str, target: str, value: object = None) -> Reply:
                return await s.call(
                    method,
                    target,
                    [("authorization", f"Bearer {token}")],
                    b"" if value is None else json.dumps(value).encode(),
                )

            await body(s, call, ring)

    run_scenario(whole)


def token_of(ring: KeyRing, account: str, *scopes: Scope, life: float = 100) -> str:
    """Return a token that is good by the real clock."""
    return tokens.issue(ring, account, scopes or tuple(Scope), int(life), int(time.time()))


def test_nothing_leaks_of_anothers_job_not_even_that_it_is_there(tmp_path: Path) -> None:
    """Every call on it gets the bytes that it gets on a job that never was; lists and events leave it out."""

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        ann, bob, all_of_them = (token_of(ring, name) for name in ("ann", "bob", "*"))
        job = json.loads((await call(ann, "POST", "/drmaa2/sessions/q/jobs", TEMPLATE)).body)["jobId"]
        array = json.loads(
            (
                await call(
                    ann, "POST", "/drmaa2/sessions/q/arrays", {**TEMPLATE, "beginIndex": 1, "endIndex": 3}
                )
            ).body
        )["jobArrayId"]
        await call(ann, "POST", "/drmaa2/sessions", {"sessionName": "anns"})
        base, asked = "/drmaa2/sessions/q", 0
        for real in (job, f"{array}.2", array):
            never = "f" * len(array) + real[len(array) :]
            kind = "arrays" if real == array else "jobs"
            verbs = [
                ("GET", ""),
                ("DELETE", ""),
                *(
                    ("POST", f"/{verb}")
                    for verb in ("hold", "release", "suspend", "resume", "terminate", "reap")
                ),
            ]
            if kind == "jobs":
                verbs += [("GET", f"/{verb}?timeout=0") for verb in ("wait", "waitStarted")]
            for method, verb in verbs:
                one, other = [
                    await call(bob, method, f"{base}/{kind}/{name}{verb}") for name in (real, never)
                ]
                assert one.status == other.status == 404
                assert one.body == other.body.replace(never.encode(), real.encode())
                asked += 1
        assert asked == 28
        any_of = {"jobIds": [job], "timeout": 0}
        assert (await call(bob, "POST", f"{base}/waitAnyTerminated", any_of)).status == 404
        for path, name in (
            ("sessions/q/jobs", "jobs"),
            ("sessions/q/arrays", "jobArrayIds"),
            ("monitor/jobs", "jobs"),
            ("sessions/q/events?timeout=0", "events"),
        ):
            path = f"/drmaa2/{path}"
            assert json.loads((await call(bob, "GET", path)).body)[name] == [], path
            assert json.loads((await call(ann, "GET", path)).body)[name] != [], path
            assert json.loads((await call(all_of_them, "GET", path)).body)[name] != [], path
        assert "anns" not in (await call(bob, "GET", "/drmaa2/sessions")).body.decode()
        assert (await call(bob, "DELETE", "/drmaa2/sessions/anns")).status == 404
        assert "jobs" not in json.loads((await call(bob, "GET", "/drmaa2/sessions/q")).body)
        assert (await call(bob, "DELETE", "/drmaa2/sessions/q")).status == 403
        wish = {"reservationTemplate": {"duration": 60}}
        path = "/drmaa2/reservations"
        theirs, anns = [
            json.loads((await call(who, "POST", path, wish)).body)["reservationId"]
            for who in (all_of_them, ann)
        ]
        for name, status in ((anns, 404), (theirs, 403)):
            assert (await call(bob, "POST", f"/drmaa2/reservations/{name}/terminate")).status == status
        assert json.loads((await call(bob, "GET", "/drmaa2/reservations")).body)["reservationIds"] == [theirs]
        booked = {"jobTemplate": {"remoteCommand": "x", "reservationId": anns}}
        assert (await call(bob, "POST", f"{base}/jobs", booked)).status == 400
        assert (await call(ann, "POST", f"/drmaa2/reservations/{anns}/terminate")).status == 200
        foreign = {"jobTemplate": {"remoteCommand": "x", "accountingId": "ann"}}
        assert (await call(bob, "POST", f"{base}/jobs", foreign)).status == 403
        assert json.loads((await call(ann, "GET", f"{base}/jobs/{job}")).body)["jobOwner"] == "ann"

    scene(tmp_path, body)


def test_scopes_and_strangers(tmp_path: Path) -> None:
    """A call without a token is nobody's (401), one beyond its scopes is denied (403), and both say so."""

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        taken = await call(token_of(ring, "a"), "POST", "/drmaa2/sessions/q/jobs", TEMPLATE)
        job = json.loads(taken.body)["jobId"]
        looks, acts = token_of(ring, "a", Scope.MONITOR), token_of(ring, "a", Scope.CONTROL)
        for target in ("", "/q/jobs", f"/q/jobs/{job}/hold", "/q/arrays"):
            assert (await call(looks, "POST", f"/drmaa2/sessions{target}", TEMPLATE)).status == 403, target
        for target in (f"jobs/{job}", f"jobs/{job}/wait", "jobs", "events", "listeners"):
            assert (await call(acts, "GET", f"/drmaa2/sessions/q/{target}")).status == 403, target
        assert (await call(acts, "GET", "/drmaa2/monitor/machines")).status == 403
        reply = await s.call("GET", "/drmaa2/sessions/q/jobs")
        assert (reply.status, reply.headers["www-authenticate"]) == (401, "Bearer")
        assert (await s.admit("platform-1", 200)).status != 401  # the platform's side has no tokens

    scene(tmp_path, body)


def test_a_token_that_ends_in_the_middle_of_a_wait_ends_the_wait(tmp_path: Path) -> None:
    """With 401 and no word of the job, though the job has not moved; so does a poll for events."""

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        long = token_of(ring, "a")
        job = json.loads((await call(long, "POST", "/drmaa2/sessions/q/jobs", TEMPLATE)).body)["jobId"]
        short, replies = token_of(ring, "a", life=2), []

        async def wait(target: str) -> None:
            replies.append(await call(short, "GET", f"/drmaa2/sessions/q/{target}"))

        cursor = json.loads((await call(long, "GET", "/drmaa2/sessions/q/events?after=now")).body)["cursor"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait, f"jobs/{job}/wait")
            nursery.start_soon(wait, f"events?after={cursor}&timeout=20")
        assert [reply.status for reply in replies] == [401, 401]
        assert not any(job.encode() in reply.body for reply in replies)

    scene(tmp_path, body)


def test_machines_are_shown_as_the_module_believes_them(tmp_path: Path) -> None:
    """Each with its state and pace, paged by name; queues and jobs beside them."""

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        token = token_of(ring, "*")
        found = json.loads((await call(token, "GET", "/drmaa2/monitor/machines")).body)["machines"]
        assert [(row["name"], row["state"], row["available"], row["held"]) for row in found] == [
            ("s-1", "up", True, 0)
        ]
        after = json.loads((await call(token, "GET", "/drmaa2/monitor/machines?after=s-1")).body)
        assert after == {"machines": []}
        queues = json.loads((await call(token, "GET", "/drmaa2/monitor/queues")).body)["queues"]
        assert [row["name"] for row in queues] == ["admit"]
        bad = await call(token, "GET", "/drmaa2/monitor/jobs?filter=jobState%20==%203")
        assert bad.status == 400 and b"column 13" in bad.body

    scene(tmp_path, body)


class Tls:
    """A front over TLS, its authority, and a client that trusts that."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port, self.ca = folder, free_port(), trustme.CA()
        self.issue()

    def issue(self) -> None:
        """Make the server's certificate anew."""
        made = self.ca.issue_cert("127.0.0.2")
        made.private_key_pem.write_to_path(self.folder / "server.key")
        (self.folder / "server.pem").write_bytes(b"".join(part.bytes() for part in made.cert_chain_pems))

    @property
    def section(self) -> str:
        """Return the operator's lines."""
        return (
            f"access.tls = '127.0.0.2:{self.port}'\naccess.certificate = '{self.folder}/server.pem'\n"
            f"access.certificate_key = '{self.folder}/server.key'\naccess.handshakes = 16\n"
        )

    async def connect(self, client: trustme.LeafCert | None = None) -> trio.SSLStream[trio.SocketStream]:
        """Open a connection."""
        context = ssl.create_default_context()
        self.ca.configure_trust(context)
        if client is not None:
            client.configure_cert(context)
        stream = await trio.open_tcp_stream("127.0.0.2", self.port)
        secure = trio.SSLStream(stream, context, server_hostname="127.0.0.2", https_compatible=True)
        await secure.do_handshake()
        return secure

    @staticmethod
    async def ask(stream: trio.SSLStream[trio.SocketStream], token: str) -> bytes:
        """Have one exchange; return its first bytes."""
        await stream.send_all(
            b"GET /drmaa2/sessions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer "
            + token.encode()
            + b"\r\n\r\n"
        )
        return bytes(await stream.receive_some(4096))


async def hang_up(s: NodeFixture) -> str:
    """Send SIGHUP; return the counter that grew."""
    counts = s.counters.counts
    before = {name: counts[name] for name in ("reloads", "reloads_bad")}
    signal.raise_signal(signal.SIGHUP)
    while True:
        await trio.sleep(0.01)
        for name, number in before.items():
            if counts[name] > number:
                return name


def test_certificates_and_keys_are_read_anew_without_a_dropped_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At SIGHUP: the open connection goes on, the next sees the new certificate; a bad one is not used."""
    tls = Tls(tmp_path)
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setenv("LB_OPERATOR", str(tmp_path / "operator.toml"))

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        token = token_of(ring, "a")
        open_one = await tls.connect()
        assert (await tls.ask(open_one, token)).startswith(b"HTTP/1.1 200")
        before = open_one.getpeercert(binary_form=True)
        assert (await call(token, "GET", "/drmaa2/sessions")).status == 404  # not on the platform's listener
        tls.issue()
        tokens.save(tmp_path / "keys.json", tokens.rotated(ring, 100, 0))
        assert await hang_up(s) == "reloads"
        assert (await tls.connect()).getpeercert(binary_form=True) != before
        assert (await tls.ask(open_one, token)).startswith(b"HTTP/1.1 401")  # its key ended long ago
        (tmp_path / "server.pem").write_text("nonsense")
        assert await hang_up(s) == "reloads_bad"
        await tls.connect()

    scene(tmp_path, body, tls.section)


def test_half_open_handshakes_by_the_hundred_keep_no_usual_client_out(tmp_path: Path) -> None:
    """Those that begin and say nothing more make room for others, oldest first."""
    tls = Tls(tmp_path)

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        token, half = token_of(ring, "a"), []
        for number in range(120):
            stream = await trio.open_tcp_stream("127.0.0.2", tls.port)
            await stream.send_all(b"\x16\x03\x01\x02\x00" if number % 2 else b"")
            half.append(stream)
            if number % 10 == 9:
                with trio.fail_after(1.5):
                    usual = await tls.connect()
                    assert (await tls.ask(usual, token)).startswith(b"HTTP/1.1 200")
                await trio.aclose_forcefully(usual)
        assert s.counters.counts["tls_handshakes"] == 12
        assert s.counters.counts["tls_handshakes_evicted"] > 50
        for stream in half:
            await stream.aclose()

    scene(tmp_path, body, tls.section)


def test_where_clients_show_certificates_strangers_do_not_get_in(tmp_path: Path) -> None:
    """One of the authority's gets in; none, and another authority's, do not."""
    tls = Tls(tmp_path)
    tls.ca.cert_pem.write_to_path(tmp_path / "ca.pem")

    async def body(s: NodeFixture, call: Callable[..., Awaitable[Reply]], ring: KeyRing) -> None:
        token = token_of(ring, "a")
        good = await tls.connect(tls.ca.issue_cert(common_name="ann"))
        assert (await tls.ask(good, token)).startswith(b"HTTP/1.1 200")
        for bad in (None, trustme.CA().issue_cert(common_name="ann")):
            with pytest.raises((trio.BrokenResourceError, AssertionError)):
                assert await tls.ask(await tls.connect(bad), token)

    scene(tmp_path, body, f"{tls.section}access.client_ca = '{tmp_path}/ca.pem'\n")
