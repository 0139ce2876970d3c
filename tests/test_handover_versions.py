"""Handover between an earlier version and this one, in both directions.

The packets of the earlier version are the recorded ones in ``tests/golden``, or maps with its field names.
"""

from __future__ import annotations

import array
import base64
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import msgspec
import trio
import trio.testing

from merlinbay.core.messages import (
    AttemptStarted,
    CallbackRelayed,
    MaintenanceRequested,
    Message,
    SnapshotRequested,
)
from merlinbay.counters import Counters
from merlinbay.handover import control_socket, messages
from merlinbay.handover.snapshot_codec import from_encoded, to_encoded
from merlinbay.handover.takeover import Takeover
from merlinbay.log import Log
from tests.net import LIMITS
from tests.stored_forms import GOLDEN

PACKETS: dict[str, bytes] = {
    name.removeprefix("handover."): base64.b64decode(text)
    for name, text in msgspec.json.decode((GOLDEN / "forms.json").read_bytes()).items()
    if name.startswith("handover.")
}
NOW_US = 77_000_000

# The messages that the earlier version sends and reads, field by field.
HELLO = {"type": "Hello", "speaks": 1}
SERVES = {"type": "Serves"}
ENTRY = {
    "server": "text-1",
    "addr": "text-2",
    "zone": "text-3",
    "kind": "text-4",
    "cell": 5,
    "state": "text-6",
    "weight": 7.5,
    "started_us": 8,
}
WORKER = {
    "name": "text-9",
    "ready_at": 10,
    "others": 11.5,
    "others_at": 12,
    "pace": 13.5,
    "paced_at": 14,
    "fails": 15,
    "bench_until": 16,
    "fault": 17,
    "fault_at": 18,
    "heard_at": 19,
    "cold_next": 20,
}
LEARNED = {
    "load": {
        "rate": 2.5,
        "rate_at": 3,
        "trust": 4.5,
        "offered": 5,
        "slots": 6.5,
        "late": 7.5,
        "starts": 8,
        "mean_held": 9.5,
        "mean_run": 10.5,
        "mean_worth": 11.5,
    },
    "kinds": {
        "text-12": {
            "slots": 13.5,
            "pace": 14.5,
            "told": True,
            "counts": 15,
            "queued": 16.5,
            "most": 17.5,
            "part": 18.5,
        }
    },
    "classes": {"text-19": {"run": 20.5, "seen": 21}},
    "banned": {"text-22": 23},
}
STARTED = {"type": "SchedulingStarted", "name": "text-1", "server": "text-2"}
UNCLAIMED = {"type": "Unclaimed", "message": STARTED}
BANNED = {"type": "Banned", "server": "text-1", "on": True}
AWAY = {"type": "Away", "away": True}
EDGE_GIVEN = {"type": "EdgeGiven", "proven": True, "calls_back": True}


class NewProcess:
    """A process of this version, with mocks for its listener and steering, and without a core."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "handover.sock"
        inbox, self.received = trio.open_memory_channel[Message](9)
        self.listener, self.steering, clock = Mock(connections=set()), Mock(is_draining=True), Mock()
        clock.now_us.return_value = NOW_US
        self.takeover = Takeover(
            self.path, inbox, self.listener, self.steering, LIMITS, Counters(), Log(9), clock
        )

    async def check_relayed_to_core(self) -> None:
        """Check that the core has received the messages that the earlier version relayed."""
        assert await self.received.receive() == CallbackRelayed(AttemptStarted("text-1", "text-2"))
        assert await self.received.receive() == MaintenanceRequested("text-1", True, None)


async def read(sock: trio.socket.SocketType) -> Any:
    """Return a packet as the earlier version reads it, a map by its field names."""
    return msgspec.msgpack.decode(await sock.recv(LIMITS.handover_packet_bytes))


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario, which must end within five seconds."""

    async def bounded() -> None:
        with trio.fail_after(5):
            await scenario()

    trio.run(bounded)


def test_recorded_packets_have_the_earlier_field_names() -> None:
    """If the maps of this file were not the earlier version's messages, the other tests would be void."""
    complete = msgspec.msgpack.decode(PACKETS["whole"])
    assert complete["learned"].pop("workers") and complete["learned"] == LEARNED
    assert set(complete) == {"type", "version", "learned", "away", "clock_us"} and complete["type"] == "Whole"
    chunk = {"type": "Part", "entries": [ENTRY], "workers": [WORKER]}
    for name, expected in {
        "hello": HELLO,
        "part": chunk,
        "serves": SERVES,
        "unclaimed": UNCLAIMED,
        "banned": BANNED,
        "away": AWAY,
        "edge-given": EDGE_GIVEN,
    }.items():
        assert msgspec.msgpack.decode(PACKETS[name]) == expected


def test_handover_from_an_earlier_version(tmp_path: Path) -> None:
    """The successor reads the earlier version's state, call-backs, bans, standby and connections."""

    async def scenario() -> None:
        new = NewProcess(tmp_path)
        successor = new.takeover.as_successor

        async def run_predecessor(listening: trio.socket.SocketType) -> None:
            sock, _ = await listening.accept()
            with sock:
                assert await read(sock) == HELLO
                await sock.send(PACKETS["part"])
                await sock.send(PACKETS["whole"])
                assert await read(sock) == SERVES
                for name in ("unclaimed", "banned", "away"):
                    await sock.send(PACKETS[name])
                rights = array.array("i", [client.fileno()]).tobytes()
                await sock.sendmsg([PACKETS["edge-given"]], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])

        with await control_socket.listen(new.path) as listening:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_predecessor, listening)
                inherited = await successor.inherit()
                await successor.follow()  # returns once the earlier process has ended
        assert inherited is not None
        assert (inherited.list_version, inherited.is_standby, inherited.clock_us) == (1, True, 36)
        assert msgspec.to_builtins(inherited.entries) == [ENTRY]
        assert msgspec.to_builtins(to_encoded(inherited.snapshot)) == {**LEARNED, "workers": [WORKER]}
        await new.check_relayed_to_core()
        new.steering.set_draining.assert_called_once_with(True, relayed=True)
        ((sock, is_proven, calls_back),) = (call.args for call in new.listener.add_connection.call_args_list)
        assert (is_proven, calls_back) == (True, True)
        assert os.fstat(sock.fileno()).st_ino == os.fstat(client.fileno()).st_ino
        sock.close()
        assert successor.predecessor is None

    client, peer = socket.socketpair()
    with client, peer:
        run(scenario)


def test_handover_to_an_earlier_version(tmp_path: Path) -> None:
    """The earlier version reads the state, relayed messages and connections by its own field names.

    The messages that it relays reach the core of this version.
    """

    async def scenario() -> None:
        new = NewProcess(tmp_path)
        predecessor = new.takeover.as_predecessor
        golden = msgspec.msgpack.decode(PACKETS["part"], type=messages.StateChunk)
        learned = msgspec.msgpack.decode(PACKETS["whole"], type=messages.StateComplete).learned
        learned.endpoints = golden.endpoints
        async with trio.open_nursery() as nursery:
            await nursery.start(predecessor.await_successors, lambda: (4, golden.entries))
            sock = await control_socket.connect(new.path)
            assert sock is not None
            await sock.send(PACKETS["hello"])
            request = await new.received.receive()
            assert isinstance(request, SnapshotRequested)
            request.reply(from_encoded(learned))
            assert await read(sock) == {"type": "Part", "entries": [ENTRY], "workers": []}
            assert await read(sock) == {"type": "Part", "entries": [], "workers": [WORKER]}
            learned_map = {**LEARNED, "workers": []}
            complete = {
                "type": "Whole",
                "version": 4,
                "learned": learned_map,
                "away": True,
                "clock_us": NOW_US,
            }
            assert await read(sock) == complete
            assert await predecessor.hand_over() is False  # The successor does not serve yet.
            for name in ("serves", "unclaimed", "banned", "away"):
                await sock.send(PACKETS[name])
            await new.check_relayed_to_core()
            await trio.testing.wait_all_tasks_blocked()
            new.steering.set_draining.assert_called_once_with(True, relayed=True)
            assert new.takeover.relay_callback(AttemptStarted("text-1", "text-2"))
            new.takeover.relay_maintenance("text-1", True)
            new.steering.on_operator_request(True)
            assert [await read(sock) for _ in range(3)] == [UNCLAIMED, BANNED, AWAY]
            assert await predecessor.hand_over() is True
            (transfer,) = new.listener.hand_over.call_args.args
            client, _ = pair = socket.socketpair()
            assert transfer(Mock(stream=Mock(raw=client), has_served_request=True, carries_callbacks=True))
            data, extra, _, _ = await sock.recvmsg(LIMITS.handover_packet_bytes, socket.CMSG_SPACE(4))
            assert msgspec.msgpack.decode(data) == EDGE_GIVEN
            descriptor = array.array("i", extra[0][2][:4])[0]
            assert os.fstat(descriptor).st_ino == os.fstat(client.fileno()).st_ino
            os.close(descriptor)
            for open_socket in (*pair, sock):
                open_socket.close()
            nursery.cancel_scope.cancel()

    run(scenario)
