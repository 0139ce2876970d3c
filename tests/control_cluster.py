"""A cluster of control processes for tests: real processes, with the rig's proxies between them."""

from __future__ import annotations

import base64
import json
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import httpx
import trio

from merlinbay.control.entries import StateSnapshot
from merlinbay.control.fanout.messages import NO_GENERATION, Generation
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control.fanout.topology import Location, Upstream
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.fleet.wire import Keys
from merlinbay.rig.proxy import PORT, Proxies
from merlinbay.rig.run import own_net
from merlinbay.rig.script import LinkFaults

WAIT_S = 60.0  # until something has to have happened, on a machine that is busy with other things
LOOK_S = 0.05
OPERATOR_PORT = 8081
SPARE = 200  # last number of the address of followers in the test's own process
ZONE = Location("region", "zone")


Scenario = Callable[[Path], Awaitable[None]]
SIDE_BY_SIDE = 4  # scenarios at a time: some fifteen processes, 600 MB


def run_side_by_side(scenarios: Sequence[Scenario], folder: Path) -> dict[str, BaseException | None]:
    """Run scenarios, some at a time; return what each failed with, by its name."""
    found: dict[str, BaseException | None] = {}

    async def run(scenario: Scenario, limit: trio.Semaphore) -> None:
        name = scenario.__name__
        async with limit:
            try:
                await scenario(folder / name)
            except Exception as error:
                found[name] = error
            else:
                found[name] = None

    async def run_all() -> None:
        limit = trio.Semaphore(SIDE_BY_SIDE)
        async with trio.open_nursery() as nursery:
            for scenario in scenarios:
                nursery.start_soon(run, scenario, limit)

    trio.run(run_all)
    return found


@dataclass
class Machine:
    """One control process."""

    name: str
    address: str  # its own
    shown: str  # where the others reach it: a proxy
    folder: Path
    text: str
    process: subprocess.Popen[bytes] | None = None

    @property
    def operator(self) -> str:
        """Return where its operators' calls are taken."""
        return f"{self.address}:{OPERATOR_PORT}"

    def start(self) -> None:
        """Start it."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(self.text)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "merlinbay", "control", "serve", "--config", str(path)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Delete what it has stored."""
        shutil.rmtree(self.folder / self.name)


@dataclass
class Cluster:
    """All machines of a test, and calls of them."""

    folder: Path
    voters: list[Machine]
    relays: list[Machine]
    spare_addresses: list[str]  # for followers
    proxies: Proxies
    nursery: trio.Nursery
    client: httpx.AsyncClient
    keys: Keys
    random: Random
    followers: list[FollowerHost] = field(default_factory=list)

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return self.voters + self.relays

    def cut(self, sender: Machine, receiver: Machine) -> None:
        """Carry nothing more from one machine to another."""
        self.proxies.cut.add((self.machines.index(sender), self.machines.index(receiver)))

    def heal(self) -> None:
        """Carry everything again."""
        self.proxies.cut.clear()

    async def call(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: object = None,
        timeout: float = 5.0,
        redirects: bool = True,
    ) -> tuple[int, dict[str, Any]]:
        """Make one call; 599 where no answer comes."""
        try:
            url = f"http://{machine.operator}/control/{path}"
            found = await self.client.request(
                method, url, json=body, timeout=timeout, follow_redirects=redirects
            )
            return found.status_code, json.loads(found.content or b"{}")
        except (httpx.HTTPError, ValueError) as error:
            return 599, {"error": repr(error)}

    async def status(self, machine: Machine) -> dict[str, Any] | None:
        """Return a machine's status; None: it does not answer."""
        code, found = await self.call(machine, "GET", "status", timeout=2.0)
        return found if code == 200 else None

    async def until(self, what: str, holds: Callable[[], Any]) -> Any:
        """Wait until an asynchronous condition is true and return its value."""
        with trio.move_on_after(WAIT_S):
            while True:
                found = await holds()
                if found:
                    return found
                await trio.sleep(LOOK_S)
        raise AssertionError(f"{what}: not within {WAIT_S} s\n{self.logs()}")

    def logs(self) -> str:
        """Return the end of every log."""
        parts = []
        for machine in self.machines:
            path = self.folder / f"{machine.name}.log"
            if path.exists():
                parts.append(f"{machine.name}: {path.read_text(errors='replace')[-1500:]}")
        return "\n".join(parts)

    async def leader(self, among: list[Machine] | None = None, not_in: tuple[Machine, ...] = ()) -> Machine:
        """Wait for a leader that another voter follows in the same term."""

        async def found() -> Machine | None:
            candidates = [one for one in among or self.voters if one not in not_in]
            views = [(one, await self.status(one)) for one in candidates]
            voting = {one.name: view["voting"] for one, view in views if view is not None}
            for one in candidates:
                own = voting.get(one.name)
                if own is None or own["state"] != "leader":
                    continue
                for name, other in voting.items():
                    if name != one.name and (other["leader"], other["term"]) == (one.name, own["term"]):
                        return one
            return None

        leader: Machine = await self.until("a leader", found)
        return leader

    async def change(
        self, key: str, value: object, change_id: str, among: list[Machine] | None = None
    ) -> int:
        """Have a change applied, repeated with its id until it is; return its revision."""
        machines = among or self.voters
        attempt = 0

        async def applied() -> int:
            nonlocal attempt
            attempt += 1
            body = {"change_id": change_id, "key": key, "value": value}
            code, found = await self.call(machines[attempt % len(machines)], "POST", "changes", body)
            assert code in (200, 503, 599), found
            return int(found["revision"]) if code == 200 else 0

        revision: int = await self.until(f"change {change_id}", applied)
        return revision

    async def local(self, machine: Machine) -> dict[str, Any]:
        """Return all keys that a machine has: its answer without the age."""
        code, found = await self.call(machine, "GET", "keys?prefix=")
        return {"revision": found["revision"], "entries": found["entries"]} if code == 200 else {}

    async def same_state(self, machines: list[Machine], revision: int) -> dict[str, Any]:
        """Wait until machines have the same keys at a revision or later; return them."""

        async def same() -> dict[str, Any] | None:
            states = [await self.local(one) for one in machines]
            ready = states[0] and states[0]["revision"] >= revision
            return states[0] if ready and all(state == states[0] for state in states) else None

        state: dict[str, Any] = await self.until(f"revision {revision} at all", same)
        return state

    def follow(
        self,
        name: str,
        upstreams: list[Machine],
        generation: Generation = NO_GENERATION,
        saved: StateSnapshot | None = None,
    ) -> FollowerHost:
        """Start a follower in this process."""
        local_peer = LocalPeer(name, "follower", "test", self.keys, bind=self.spare_addresses[0])
        known = [
            Upstream(one.name, f"{one.shown}:{PORT}", ZONE, 1 if one in self.relays else 0)
            for one in upstreams
        ]
        host = FollowerHost(
            local_peer,
            ZONE,
            known,
            FollowerSettings(move_spread=0.5),
            Random(self.random.random()),
            self.nursery,
            generation=generation,
            saved=saved,
        )
        self.followers.append(host)
        host.start()
        return host


def _text(machine: Machine, machines: list[Machine], voters: int, keys: Path, compact_after: int) -> str:
    index = machines.index(machine)
    lines = [
        f'name = "{machine.name}"',
        'fleet = "test"',
        f'listen = "{machine.address}:{PORT}"',
        f'operator = "{machine.operator}"',
        f'keys = "{keys}"',
    ]
    if index < voters:
        initial = json.dumps([one.name for one in machines[:voters]])
        lines += ["[voter]", f'data = "{machine.folder / machine.name}"', f"initial = {initial}"]
        lines.append(f"compact_after = {compact_after}")
    else:
        lines += [f"upstreams = {json.dumps([one.name for one in machines[:voters]])}", "[relay]"]
    for number, one in enumerate(machines):
        lines += [f"[machines.{one.name}]", f'address = "{one.shown}:{PORT}"', f'operator = "{one.operator}"']
        lines.append(f"tier = {int(number >= voters)}")
    return "\n".join(lines) + "\n"


def reserve_net(machines: int) -> tuple[int, socket.socket]:
    """Return the second number of a net 127.N of which nobody uses anything, and what keeps it reserved.

    Guards against other runs on the machine, whose addresses in a net may be others than the rig's.
    """
    for _ in range(100):
        net = own_net()
        held = socket.socket()
        try:
            held.bind((f"127.{net}.9.9", PORT))
            for part in (1, 2):
                for host in [*range(1, machines + 1), SPARE]:
                    _check_free(f"127.{net}.{part}.{host}")
        except OSError:
            held.close()
            continue
        return net, held
    raise AssertionError("no free loopback net")


def _check_free(address: str) -> None:
    """Raise ``OSError`` where somebody uses the address."""
    for kind, port in (
        (socket.SOCK_STREAM, PORT),
        (socket.SOCK_DGRAM, PORT),
        (socket.SOCK_STREAM, OPERATOR_PORT),
    ):
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((address, port))


@asynccontextmanager
async def cluster(
    folder: Path, voters: int = 3, relays: int = 0, compact_after: int = 4096, start: bool = True
) -> AsyncIterator[Cluster]:
    """Start machines and proxies; all have ended on leaving."""
    folder.mkdir(parents=True, exist_ok=True)
    keys = folder / "keys"
    secret = b"s" * 32
    keys.write_text(base64.b64encode(secret).decode() + "\n")
    net, held = reserve_net(voters + relays)
    names = [f"v{number}" for number in range(voters)] + [f"r{number}" for number in range(relays)]
    machines = [
        Machine(name, f"127.{net}.1.{number}", f"127.{net}.2.{number}", folder, "")
        for number, name in enumerate(names, 1)
    ]
    for machine in machines:
        machine.text = _text(machine, machines, voters, keys, compact_after)
    spare = f"127.{net}.1.{SPARE}"
    random = Random(len(names))
    proxies = Proxies(
        [one.address for one in machines] + [spare],
        [one.shown for one in machines] + [f"127.{net}.2.{SPARE}"],
        random,
        LinkFaults(),
    )
    async with (
        AsyncExitStack() as stack,
        trio.open_nursery() as nursery,
        httpx.AsyncClient(follow_redirects=True, trust_env=False) as client,
    ):
        stack.enter_context(held)
        await nursery.start(proxies.run)
        found = Cluster(
            folder,
            machines[:voters],
            machines[voters:],
            [spare],
            proxies,
            nursery,
            client,
            Keys((secret,)),
            random,
        )
        try:
            for machine in machines if start else []:
                machine.start()
            yield found
        finally:
            for machine in machines:
                machine.kill()
            nursery.cancel_scope.cancel()
