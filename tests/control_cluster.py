"""A cluster of control processes for tests: real processes, with the rig's proxies between them.

``cluster`` starts the processes and ends them on leaving. Conditions are awaited for up to ``WAIT_S``; after
that, the test fails with the end of every log.
"""

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

WAIT_S = 60.0  # longest wait for a condition, on a machine that is busy with other work
POLL_INTERVAL_S = 0.05  # between two evaluations of a condition
OPERATOR_PORT = 8081
FOLLOWER_HOST_NUMBER = 200  # last part of the address of followers in the test's own process
ZONE = Location("region", "zone")


Scenario = Callable[[Path], Awaitable[None]]
MAX_CONCURRENT_SCENARIOS = 4  # about fifteen processes and 600 MB


def run_side_by_side(scenarios: Sequence[Scenario], folder: Path) -> dict[str, BaseException | None]:
    """Run scenarios, some of them concurrently; return the error or None of each, by its name."""
    errors: dict[str, BaseException | None] = {}

    async def run(scenario: Scenario, limit: trio.Semaphore) -> None:
        name = scenario.__name__
        async with limit:
            try:
                await scenario(folder / name)
            except Exception as error:
                errors[name] = error
            else:
                errors[name] = None

    async def run_all() -> None:
        limit = trio.Semaphore(MAX_CONCURRENT_SCENARIOS)
        async with trio.open_nursery() as nursery:
            for scenario in scenarios:
                nursery.start_soon(run, scenario, limit)

    trio.run(run_all)
    return errors


@dataclass
class Machine:
    """One control process, its addresses and its files."""

    name: str
    address: str  # address at which the process itself listens
    shown: str  # address of the proxy through which the others reach it
    folder: Path
    text: str  # its configuration file
    process: subprocess.Popen[bytes] | None = None

    @property
    def operator(self) -> str:
        """Return the address for operators' calls."""
        return f"{self.address}:{OPERATOR_PORT}"

    def start(self) -> None:
        """Write the configuration file and start the process."""
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
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Delete the stored data of the process."""
        shutil.rmtree(self.folder / self.name)


@dataclass
class Cluster:
    """All machines of a test, and the calls that a test makes to them."""

    folder: Path
    voters: list[Machine]
    relays: list[Machine]
    spare_addresses: list[str]  # addresses for followers in the test's own process
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
        """Stop all messages from one machine to another."""
        self.proxies.cut.add((self.machines.index(sender), self.machines.index(receiver)))

    def heal(self) -> None:
        """Remove all cuts."""
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
        """Make one call; return its status and answer, or 599 if no valid answer comes."""
        try:
            url = f"http://{machine.operator}/control/{path}"
            response = await self.client.request(
                method, url, json=body, timeout=timeout, follow_redirects=redirects
            )
            return response.status_code, json.loads(response.content or b"{}")
        except (httpx.HTTPError, ValueError) as error:
            return 599, {"error": repr(error)}

    async def status(self, machine: Machine) -> dict[str, Any] | None:
        """Return a machine's status, or None if it does not answer."""
        code, status = await self.call(machine, "GET", "status", timeout=2.0)
        return status if code == 200 else None

    async def until(self, description: str, holds: Callable[[], Any]) -> Any:
        """Wait until an asynchronous condition is true and return its value."""
        with trio.move_on_after(WAIT_S):
            while True:
                value = await holds()
                if value:
                    return value
                await trio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"{description}: not within {WAIT_S} s\n{self.logs()}")

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

        async def followed_leader() -> Machine | None:
            candidates = [machine for machine in among or self.voters if machine not in not_in]
            views = [(candidate, await self.status(candidate)) for candidate in candidates]
            voting = {candidate.name: view["voting"] for candidate, view in views if view is not None}
            for candidate in candidates:
                own = voting.get(candidate.name)
                if own is None or own["state"] != "leader":
                    continue
                for name, other in voting.items():
                    if name != candidate.name and (other["leader"], other["term"]) == (
                        candidate.name,
                        own["term"],
                    ):
                        return candidate
            return None

        leader: Machine = await self.until("a leader", followed_leader)
        return leader

    async def change(
        self, key: str, value: object, change_id: str, among: list[Machine] | None = None
    ) -> int:
        """Repeat a change with the same id until it is applied; return its revision."""
        machines = among or self.voters
        attempt = 0

        async def applied() -> int:
            nonlocal attempt
            attempt += 1
            body = {"change_id": change_id, "key": key, "value": value}
            code, answer = await self.call(machines[attempt % len(machines)], "POST", "changes", body)
            assert code in (200, 503, 599), answer
            return int(answer["revision"]) if code == 200 else 0

        revision: int = await self.until(f"change {change_id}", applied)
        return revision

    async def local(self, machine: Machine) -> dict[str, Any]:
        """Return all keys of a machine: its answer without the age."""
        code, answer = await self.call(machine, "GET", "keys?prefix=")
        return {"revision": answer["revision"], "entries": answer["entries"]} if code == 200 else {}

    async def same_state(self, machines: list[Machine], revision: int) -> dict[str, Any]:
        """Wait until the machines have the same keys at the revision or a later one; return them."""

        async def same() -> dict[str, Any] | None:
            states = [await self.local(machine) for machine in machines]
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
        """Start a follower in the test's own process."""
        local_peer = LocalPeer(name, "follower", "test", self.keys, bind=self.spare_addresses[0])
        configured_upstreams = [
            Upstream(machine.name, f"{machine.shown}:{PORT}", ZONE, 1 if machine in self.relays else 0)
            for machine in upstreams
        ]
        host = FollowerHost(
            local_peer,
            ZONE,
            configured_upstreams,
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
        initial = json.dumps([voter.name for voter in machines[:voters]])
        lines += ["[voter]", f'data = "{machine.folder / machine.name}"', f"initial = {initial}"]
        lines.append(f"compact_after = {compact_after}")
    else:
        lines += [f"upstreams = {json.dumps([voter.name for voter in machines[:voters]])}", "[relay]"]
    for number, listed in enumerate(machines):
        lines += [
            f"[machines.{listed.name}]",
            f'address = "{listed.shown}:{PORT}"',
            f'operator = "{listed.operator}"',
        ]
        lines.append(f"tier = {int(number >= voters)}")
    return "\n".join(lines) + "\n"


def reserve_net(machines: int) -> tuple[int, socket.socket]:
    """Return the number N of an unused net 127.N, and the socket that keeps it reserved.

    Checks every address that a cluster uses, because other runs on the machine may use other addresses of a
    net than the rig does.
    """
    for _ in range(100):
        net = own_net()
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{net}.9.9", PORT))
            for part in (1, 2):
                for host in [*range(1, machines + 1), FOLLOWER_HOST_NUMBER]:
                    _check_free(f"127.{net}.{part}.{host}")
        except OSError:
            reservation.close()
            continue
        return net, reservation
    raise AssertionError("no unused loopback net in 100 attempts")


def _check_free(address: str) -> None:
    """Raise ``OSError`` if another process uses a port of the address."""
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
    """Start machines and proxies; end all of them on leaving."""
    folder.mkdir(parents=True, exist_ok=True)
    keys = folder / "keys"
    secret = b"s" * 32
    keys.write_text(base64.b64encode(secret).decode() + "\n")
    net, reservation = reserve_net(voters + relays)
    names = [f"v{number}" for number in range(voters)] + [f"r{number}" for number in range(relays)]
    machines = [
        Machine(name, f"127.{net}.1.{number}", f"127.{net}.2.{number}", folder, "")
        for number, name in enumerate(names, 1)
    ]
    for machine in machines:
        machine.text = _text(machine, machines, voters, keys, compact_after)
    spare = f"127.{net}.1.{FOLLOWER_HOST_NUMBER}"
    random = Random(len(names))
    proxies = Proxies(
        [member.address for member in machines] + [spare],
        [member.shown for member in machines] + [f"127.{net}.2.{FOLLOWER_HOST_NUMBER}"],
        random,
        LinkFaults(),
    )
    async with (
        AsyncExitStack() as stack,
        trio.open_nursery() as nursery,
        httpx.AsyncClient(follow_redirects=True, trust_env=False) as client,
    ):
        stack.enter_context(reservation)
        await nursery.start(proxies.run)
        running_cluster = Cluster(
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
            yield running_cluster
        finally:
            for machine in machines:
                machine.kill()
            nursery.cancel_scope.cancel()
