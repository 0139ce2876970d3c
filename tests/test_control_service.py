"""Control processes: frame authentication, durable log, settings, connections, and scenarios with faults."""

from __future__ import annotations

import threading
from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing

from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.effects import Persist
from merlinbay.control.entries import Change, ChangeApplied
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.settings import WatchServerSettings
from merlinbay.control_service import schema, settings
from merlinbay.control_service.connection import FramedConnection, QueueOverflow
from merlinbay.control_service.dialing import ConnectFailedError, connect
from merlinbay.control_service.durable_log import DurableLog
from merlinbay.control_service.framing import FRAME_LENGTH
from merlinbay.control_service.listening import Acceptor, listen_at
from merlinbay.control_service.local_peer import LocalPeer, TransportLimits
from merlinbay.control_service.sealing import TAG_BYTES, frame_seal
from merlinbay.control_service.voter_host import VoterHost
from merlinbay.errors import ConfigurationError
from merlinbay.fleet.wire import Keys, MessageRejectedError
from merlinbay.log import Log
from merlinbay.store.engine import StorageEngine
from tests.control_cluster import run_side_by_side
from tests.control_scenarios import SCENARIOS

KEY = Keys((b"k" * 16,))
OTHER_KEY = Keys((b"o" * 16,))


def test_frames_are_accepted_once_and_in_order() -> None:
    """Guards against replay: repeated, reordered, altered or foreign frames raise an error."""
    sender = frame_seal(b"key", b"hello", b"1", b"2")
    first, second = sender.seal(b"a"), sender.seal(b"b")
    assert frame_seal(b"key", b"hello", b"1", b"2").open(first) == b"a"
    for frames in ([first, first], [second], [first[:-1] + b"c"]):
        receiver = frame_seal(b"key", b"hello", b"1", b"2")
        with pytest.raises(MessageRejectedError):
            for frame in frames:
                receiver.open(frame)
    for foreign_seal in (
        frame_seal(b"key", b"welcome", b"1", b"2"),
        frame_seal(b"key", b"hello", b"1", b"3"),
        frame_seal(b"other", b"hello", b"1", b"2"),
    ):
        with pytest.raises(MessageRejectedError):
            foreign_seal.open(first)


def test_records_are_read_in_order_from_the_last_full_replacement(tmp_path: Path) -> None:
    """Guards against lost or replaced records after batches, replacements, compaction and reopening.

    One of the replacements lies within a batch.
    """

    async def run() -> None:
        path = tmp_path / "log"
        for opening in range(4):
            log = DurableLog(path, Log(10))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(log.run)
                expected = [] if opening == 0 else [f"all{opening - 1}".encode(), b"tail", b"end"]
                assert log.records() == expected
                await log.append([Persist(b"x"), Persist(b"y")])
                assert log.records() == [*expected, b"x", b"y"]
                await log.append([Persist(b"z"), Persist(f"all{opening}".encode(), True), Persist(b"tail")])
                await log.append([Persist(b"end")])
                nursery.cancel_scope.cancel()

    trio.run(run)


@pytest.mark.parametrize(
    ("key", "value", "cause"),
    [
        ("secrets/x", {}, "unknown prefix"),
        ("teams", {}, "too few"),
        ("teams/a/b", {}, "too many parts"),
        ("teams/a b", {}, "a part is"),
        ("teams/a", {"tasks_running": -1}, "tasks_running"),
        ("teams/a", {"tasks_running": 1, "quota": 2}, "quota"),
        ("limits/a", {"value": float("nan")}, "value"),
        ("configuration/a", {"value": "x" * 70_000}, "at most"),
    ],
)
def test_invalid_keys_and_values_are_rejected(key: str, value: object, cause: str) -> None:
    """Guards against invalid values in the log; the error names the key and the cause."""
    with pytest.raises(schema.InvalidValueError, match=cause) as caught:
        schema.encode_value(key, value)
    assert str(caught.value).startswith(key)


def test_stored_values_include_defaults() -> None:
    """Guards against stored values that change when a default changes: defaults are stored with the value."""
    stored = schema.encode_value("teams/a", {"tasks_running": 5})
    assert schema.decode_value(stored)["share"] == 1.0


BASE = 'name = "a"\nkeys = "k"\nlisten = "127.0.0.1:1"\n'
VOTER = '[voter]\ndata = "d"\ninitial = ["a"]\n'


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        ("name = 1", "name"),
        (BASE + "colour = 1", "colour"),
        (BASE, "upstreams: needed by a follower"),
        (BASE + 'upstreams = ["b"]', "upstreams: b: not in machines"),
        (BASE + '[voter]\ndata = "d"', "initial"),
        (BASE + '[voter]\ndata = "d"\ninitial = []', "voter.initial"),
        (BASE + '[voter]\ndata = "d"\ninitial = ["a", "b", "a"]', "voter.initial"),
        (BASE + VOTER + "election = 0.39", "voter.election"),
        (BASE + VOTER + '[machines.a]\naddress = "x"', "machines.a.address"),
        (BASE + VOTER + "[relay]", "relay: a voter serves"),
        ("name = \n", "line 1"),
    ],
)
def test_invalid_file_gives_one_line_with_file_key_and_cause(tmp_path: Path, text: str, cause: str) -> None:
    """Guards against errors that do not tell an operator which key of which file is invalid."""
    path = tmp_path / "control.toml"
    path.write_text(text)
    with pytest.raises(ConfigurationError) as caught:
        settings.read(str(path))
    assert str(caught.value).startswith(str(path))
    assert cause in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_example_file_describes_a_voter() -> None:
    """Guards against an example file that a process rejects, as operators copy it."""
    file = settings.read(str(Path(__file__).parent.parent / "deploy" / "control.toml"))
    assert file.role() == "voter"
    assert set(file.voter.initial if file.voter else []) < set(file.machines)


class Echo:
    """A listener that sends every message back."""

    def __init__(self, keys: Keys, limits: TransportLimits) -> None:
        self.local_peer = LocalPeer("server", "relay", "fleet", keys, limits=limits)
        self.address = ""

    async def serve(self, connection: FramedConnection) -> None:
        """Send messages back until the connection ends."""
        connection.on_message = connection.send
        await connection.run()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled."""
        listening = await listen_at("127.0.0.1:0")
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"
        task_status.started()
        await Acceptor(self.local_peer, lambda role: QueueOverflow.CLOSE, self.serve).run(listening)


def test_messages_are_exchanged_and_wrong_keys_are_rejected() -> None:
    """Guards against peers with a wrong key or fleet, and against lost messages during a key change.

    Each side has the same two keys in another order, as while one replaces the other. The message sizes
    lie around that of a batch and go up to the frame limit.
    """

    async def run() -> None:
        limits = TransportLimits(frame_bytes=300_000, keepalive_s=0.05)
        echo = Echo(Keys((b"n" * 16, b"k" * 16)), limits)
        async with trio.open_nursery() as nursery:
            await nursery.start(echo.run)
            client = LocalPeer("client", "follower", "fleet", Keys((b"k" * 16, b"n" * 16)), limits=limits)
            connection = await connect(client, echo.address, QueueOverflow.CLOSE)
            assert connection.peer == "server"
            send, receive = trio.open_memory_channel[bytes](10)
            connection.on_message = send.send_nowait
            nursery.start_soon(connection.run)
            for size in (1, 299_984, 3):
                connection.send(b"m" * size)
            assert [len(await receive.receive()) for _ in range(3)] == [1, 299_984, 3]
            for rejected_peer in (
                LocalPeer("client", "follower", "fleet", OTHER_KEY),
                LocalPeer("client", "follower", "other", KEY),
            ):
                with pytest.raises(ConnectFailedError):
                    await connect(rejected_peer, echo.address, QueueOverflow.CLOSE)
            assert echo.local_peer.traffic.connections_refused == 2
            assert client.traffic.messages_received == 3
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_full_queue_drops_the_oldest_message_or_closes_the_connection() -> None:
    """Guards against unbounded queues and against gaps in a watch.

    Consensus messages may be dropped, as their protocol repeats them; a watch has to reconnect and resume.
    """

    async def run() -> None:
        limits = TransportLimits(queue_frames=2)
        echo = Echo(KEY, limits)
        async with trio.open_nursery() as nursery:
            await nursery.start(echo.run)
            local_peer = LocalPeer("client", "voter", "fleet", KEY, limits=limits)
            lossy = await connect(local_peer, echo.address, QueueOverflow.DROP_OLDEST)
            for message in (b"1", b"2", b"3"):
                lossy.send(message)
            send, receive = trio.open_memory_channel[bytes](10)
            lossy.on_message = send.send_nowait
            nursery.start_soon(lossy.run)
            assert [await receive.receive() for _ in range(2)] == [b"2", b"3"]
            strict = await connect(local_peer, echo.address, QueueOverflow.CLOSE)
            for message in (b"1", b"2", b"3"):
                strict.send(message)
            await strict.run()
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_silent_peer_is_disconnected_and_keepalives_prevent_it() -> None:
    """Guards against connections to dead peers: they close without frames, and idle peers send empty ones."""

    async def run() -> None:
        echo = Echo(KEY, TransportLimits(idle_timeout_s=0.5))
        async with trio.open_nursery() as nursery:
            await nursery.start(echo.run)
            silent = LocalPeer("silent", "follower", "fleet", KEY, limits=TransportLimits(keepalive_s=1000.0))
            connection = await connect(silent, echo.address, QueueOverflow.CLOSE)
            with trio.fail_after(60):
                await connection.run()
            alive = LocalPeer("alive", "follower", "fleet", KEY, limits=TransportLimits(keepalive_s=0.02))
            nursery.start_soon((await connect(alive, echo.address, QueueOverflow.CLOSE)).run)
            with trio.fail_after(60):
                while alive.traffic.bytes_sent < 5 * (FRAME_LENGTH.size + TAG_BYTES):
                    await trio.sleep(0.02)
            assert alive.traffic.messages_sent == 0
            assert echo.local_peer.traffic.messages_received == 0
            nursery.cancel_scope.cancel()

    trio.run(run)


class GatedEngine(StorageEngine):
    """A storage engine whose writes wait until the test sets ``gate``."""

    gate = threading.Event()
    writing = threading.Event()

    def append(self, bodies: list[bytes]) -> int:
        """Write once ``gate`` is set."""
        self.writing.set()
        assert self.gate.wait(60)
        return super().append(bodies)


def test_no_answer_or_read_shows_state_before_it_is_on_the_disk(tmp_path: Path) -> None:
    """Guards against answers and reads that show a change which a crash would lose.

    A single voter commits by its own record alone. The test holds back the write of that record.
    """

    async def run() -> None:
        gate, writing = GatedEngine.gate, GatedEngine.writing
        gate.set()
        host = VoterHost(
            LocalPeer("v0", "voter", "test", KEY),
            VoterSettings(initial_voters=("v0",)),
            DurableLog(tmp_path / "log", Log(10), GatedEngine),
            lambda name: "",
            Generation(1, "test"),
            WatchServerSettings(),
            lambda: Random(1),
            Log(10),
        )
        completed: list[str] = []

        async def applied(change_id: str) -> bool:
            return isinstance(await host.propose(Change(change_id, "teams/a", b"{}")), ChangeApplied)

        async def propose() -> None:
            assert await applied("second")
            completed.append("answer")

        async def read() -> None:
            assert await host.watches.read_local(lambda keyspace: keyspace.revision) == 2
            completed.append("read")

        async with trio.open_nursery() as nursery:
            await nursery.start(host.run, await listen_at("127.0.0.1:0"))
            with trio.fail_after(60):
                while not await applied("first"):  # the records of the election precede it on the disk
                    await trio.sleep(0.02)
            gate.clear()
            writing.clear()
            nursery.start_soon(propose)
            await trio.to_thread.run_sync(writing.wait, 60)
            nursery.start_soon(read)
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert completed == []
            gate.set()
            with trio.fail_after(60):
                while len(completed) < 2:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    trio.run(run)


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory: pytest.TempPathFactory) -> dict[str, BaseException | None]:
    """Run all scenarios; return the failure of each, None if it passed."""
    return run_side_by_side(SCENARIOS, tmp_path_factory.mktemp("control"))


@pytest.mark.parametrize("name", [scenario.__name__ for scenario in SCENARIOS])
def test_scenario(outcomes: dict[str, BaseException | None], name: str) -> None:
    """Checks one scenario of real processes with faults between them; its docstring says what has to hold."""
    failure = outcomes[name]
    if failure is not None:
        raise failure
