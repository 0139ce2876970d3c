"""Plays a script: processes, proxies, faults, and one history of what every process saw and was told."""

from __future__ import annotations

import base64
import json
import os
import signal
import socket
import time
from pathlib import Path
from random import Random
from typing import Any, TextIO

import msgspec
import trio

from merlinbay.fleet import wire
from merlinbay.fleet.members import Health, MemberState, encode_state
from merlinbay.fleet.messages import Gossip, encode_datagram
from merlinbay.http.client import ClientConnection, ConnectionBrokenError, RequestNotSentError
from merlinbay.limits import ResourceLimits
from merlinbay.rig.processes import Process
from merlinbay.rig.proxy import PORT, Proxies
from merlinbay.rig.script import FaultSchedule, ScheduleStep

LIMITS = ResourceLimits()
STEP_S = 0.25  # between two looks at the members
STARVE_S = 0.4  # one turn of a starved process: it runs for its share of this
MOST_INT = (1 << 64) - 1  # what a packet has room for: nobody could go above it
# Quicker than in service, so that a run is short.
RIG = {"probe": 0.4, "gossip": 0.1, "exchange": 3.0, "gauges": 1.0}


class StepFailedError(Exception):
    """Something that must hold does not; one line."""


def own_net() -> int:
    """Return the second number of a net 127.N that nobody uses."""
    rng = Random(os.getpid() * 1000003 + time.time_ns())
    for _ in range(100):
        number = rng.randrange(16, 250)
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{number}.2.1", PORT))
            except OSError:
                continue
            return number
    raise StepFailedError("no free loopback net")


class FaultInjectionRun:
    """One run."""

    def __init__(self, script: FaultSchedule, folder: Path, former: Path | None = None) -> None:
        self.script, self.folder = script, folder
        self.rng = Random(script.seed)
        net = own_net()
        self.real = [f"127.{net}.1.{number + 1}" for number in range(script.nodes)]
        self.shown = [f"127.{net}.2.{number + 1}" for number in range(script.nodes)]
        self.keys = folder / "keys"
        self.secrets = [self._secret()]
        folder.mkdir(parents=True, exist_ok=True)
        self._write_keys()
        seeds = [f"{addr}:{PORT}" for addr in self.shown[:3]]
        self.processes = [
            Process(
                number,
                folder / f"n{number}",
                self.real[number],
                self.shown[number],
                seeds,
                self.keys,
                {**RIG, **script.fleet},
                script.data,
                former if number % 2 else None,
            )
            for number in range(script.nodes)
        ]
        self.proxies = Proxies(self.real, self.shown, self.rng, script.net)
        self.began = 0.0
        self.history: TextIO = open(folder / "history.jsonl", "w", buffering=1)  # noqa: SIM115
        self.wanted = {process.name for process in self.processes}  # who should be there
        self.gauges: dict[str, dict[str, float]] = {}  # of each node, as one of them told it last

    def _secret(self) -> str:
        return base64.b64encode(self.rng.randbytes(32)).decode()

    def _write_keys(self) -> None:
        fresh = self.keys.with_suffix(".new")
        fresh.write_text("\n".join(self.secrets) + "\n")
        fresh.replace(self.keys)

    def note(self, node: str, what: str, **more: Any) -> None:
        """Write a line of the history."""
        line = {"t": round(trio.current_time() - self.began, 3), "node": node, "what": what, **more}
        self.history.write(json.dumps(line) + "\n")

    async def play(self) -> None:
        """Play the script. Raises ``StepFailedError``; every process has ended when it returns."""
        self.began = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.proxies.run)
                for process in self.processes:
                    process.start()
                    nursery.start_soon(self._watch, process)
                    nursery.start_soon(self._starve, process)
                await self._until_up()
                self.began = trio.current_time()
                self.note("rig", "up")
                for step in self.script.step:
                    await trio.sleep_until(self.began + step.at)
                    self.note("rig", step.do, **msgspec.to_builtins(step))
                    await self._do(step)
                nursery.cancel_scope.cancel()
        finally:
            for process in self.processes:
                process.kill()
            self.history.close()

    async def _until_up(self) -> None:
        for process in self.processes:
            with trio.move_on_after(30) as scope:
                while await self.call(process, "GET", "members") is None:
                    if not process.running:
                        log = (process.folder / "log").read_text(errors="replace").strip().splitlines()
                        raise StepFailedError(f"{process.name} did not start: {log[-1] if log else 'no log'}")
                    await trio.sleep(0.05)
            if scope.cancelled_caught:
                raise StepFailedError(f"{process.name} did not come up within 30 s")

    async def call(self, process: Process, method: str, path: str) -> Any:
        """Have one call of a node's operators' address; None: it does not answer."""
        try:
            with trio.fail_after(3 if path.startswith("events") is False else 40):
                connection = await ClientConnection.connect(process.control, LIMITS, 4 * 1024 * 1024)
                try:
                    reply = await connection.exchange(method, f"/fleet/{path}", [])
                finally:
                    connection.close()
            return json.loads(reply.body) if reply.status == 200 else None
        except (OSError, RequestNotSentError, ConnectionBrokenError, trio.TooSlowError, ValueError):
            return None

    async def _watch(self, process: Process) -> None:
        """Write down what a node tells, life after life."""
        after = 0
        while True:
            found = await self.call(process, "GET", f"events?after={after}")
            if found is None:
                await trio.sleep(0.2)
                if not process.running:
                    after = 0
                continue
            for event in found["events"]:
                at = round(trio.current_time() - self.began - event["ago_s"], 2)
                self.note(
                    process.name, "told", at=at, event=event["what"], of=event["name"], text=event["text"]
                )
            after = found["next"]

    async def _starve(self, process: Process) -> None:
        """Let a process run for its share of the time only."""
        while True:
            if process.starved and process.running:
                process.signal(signal.SIGSTOP)
                await trio.sleep(STARVE_S * (1 - process.starved))
                process.signal(signal.SIGCONT)
                await trio.sleep(STARVE_S * process.starved)
            else:
                await trio.sleep(STARVE_S)

    async def _do(self, step: ScheduleStep) -> None:
        """Carry out a step of the schedule. Raises ``StepFailedError`` where what must hold does not."""
        chosen = [self.processes[number] for number in step.nodes]
        names = {process.name for process in chosen}
        if step.do in ("kill", "leave", "term", "stop"):
            await self._end(step.do, chosen)
            self.wanted -= names
        elif step.do in ("start", "restart"):
            await self._restart(step, chosen)
            self.wanted |= names
        elif step.do == "cont":
            for process in chosen:
                process.signal(signal.SIGCONT)
            self.wanted |= names
        elif step.do in ("settled", "agree", "epoch", "force"):
            await self._expect(step, chosen)
        elif step.do in ("cut", "heal", "net", "reset", "replay"):
            await self._disturb_links(step)
        else:
            self._disturb_processes(step, chosen)

    async def _end(self, how: str, chosen: list[Process]) -> None:
        """End processes, or stop them, one way or another."""
        for process in chosen:
            if how == "kill":
                process.kill()
            elif how == "leave":
                await self.call(process, "POST", "leave")
            else:
                process.signal(signal.SIGTERM if how == "term" else signal.SIGSTOP)

    async def _restart(self, step: ScheduleStep, chosen: list[Process]) -> None:
        """Kill and start processes, so many times with a pause between."""
        for number in range(step.times):
            await trio.sleep(step.every if number else 0)
            for process in chosen:
                process.kill()
                process.start()

    async def _expect(self, step: ScheduleStep, chosen: list[Process]) -> None:
        """Wait for what must come to hold."""
        match step.do:
            case "settled":
                await self._settled(step)
            case "agree":
                await self._agree(step)
            case "epoch":
                await self._epoch(step)
            case _:
                await self._force_epoch(step, chosen[0])

    async def _force_epoch(self, step: ScheduleStep, process: Process) -> None:
        lost = ",".join(f"n{number}" for number in step.to)
        if await self.call(process, "POST", f"epoch?lose={lost}") is None:
            raise StepFailedError(f"at {step.at:g} s, {process.name} does not force an epoch without {lost}")

    async def _disturb_links(self, step: ScheduleStep) -> None:
        """Cut, heal or worsen links between processes."""
        match step.do:
            case "cut":
                to = step.to or [number for number in range(self.script.nodes) if number not in step.nodes]
                found = {(a, b) for a in step.nodes for b in to}
                self.proxies.cut |= found if step.one_way else found | {(b, a) for a, b in found}
            case "heal":
                self.proxies.cut.clear()
            case "net":
                self.proxies.net = step.net or self.script.net
            case "reset":
                self.proxies.reset()
            case _:
                await self.proxies.replay()

    def _disturb_processes(self, step: ScheduleStep, chosen: list[Process]) -> None:
        """Disturb processes that go on, or what they are told."""
        match step.do:
            case "wipe":
                for process in chosen:
                    process.wipe()
            case "starve":
                for process in chosen:
                    process.starved = step.by
                    process.signal(signal.SIGCONT)
            case "clock":
                for process in chosen:
                    process.clock = step.by
            case "keys":
                self.secrets = [self._secret(), self.secrets[0]] if step.by >= 0 else self.secrets[:1]
                self._write_keys()
                for process in chosen or self.processes:
                    process.signal(signal.SIGHUP)
            case "garbage":
                self._garbage()
            case "lie":
                self._lie([process.name for process in chosen])

    def _garbage(self) -> None:
        """Send every node what no member would: noise, too much, and an old packet's shape."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for addr in self.real:
                for data in (
                    b"",
                    self.rng.randbytes(60),
                    b"MB\x01\x03rig" + self.rng.randbytes(400),
                    bytes(9000),
                ):
                    sock.sendto(data, (addr, PORT))
                with socket.socket() as stream:
                    stream.settimeout(1)
                    try:
                        stream.connect((addr, PORT))
                        stream.sendall(b"\xff\xff\xff\xff" + self.rng.randbytes(100))
                    except OSError:
                        continue

    def _lie(self, names: list[str]) -> None:
        """Tell every node, under a good key, that some are dead: far ahead, and absurdly far."""
        keys = wire.Keys.load(str(self.keys))
        deaths = [
            MemberState(name, Health.DEAD, number, accuser="n0")
            for name in names
            for number in (1 << 50, MOST_INT)
        ]
        gossip = encode_datagram(Gossip(), [msgspec.Raw(wire.pack(encode_state(death))) for death in deaths])
        data = wire.seal(keys, self.folder.name, gossip)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for addr in self.real:
                sock.sendto(data, (addr, PORT))

    async def views(self) -> dict[str, dict[str, str]]:
        """Return what each node that should be there sees: members that count as there, and how they are."""
        found = {}
        for process in self.processes:
            if process.name in self.wanted:
                answer = await self.call(process, "GET", "members")
                for one in answer["members"] if answer else []:
                    self.gauges[one["name"]] = one["gauges"]
                found[process.name] = (
                    {
                        one["name"]: one["health"]
                        for one in answer["members"]
                        if one["health"] in ("alive", "suspect")
                    }
                    if answer
                    else {}
                )
        return found

    async def _settled(self, step: ScheduleStep) -> None:
        """Wait until all see exactly those that are there, all of them alive. Raises ``StepFailedError``."""
        end, wrong = trio.current_time() + step.within, "nobody is left"
        while trio.current_time() < end:
            views, wrong = await self.views(), ""
            for name, view in views.items():
                if set(view) != self.wanted or set(view.values()) - {"alive"}:
                    lacks, more = sorted(self.wanted - set(view)), sorted(set(view) - self.wanted)
                    ill = sorted(one for one, health in view.items() if health != "alive")
                    wrong = f"{name} lacks {lacks}, sees {more} too many, suspects {ill}"
            if not wrong:
                self.note("rig", "is settled", gauges=self.gauges)
                return
            await trio.sleep(STEP_S)
        raise StepFailedError(f"at {step.at:g} s, not settled within {step.within:g} s: {wrong}")

    async def _agree(self, step: ScheduleStep) -> None:
        """Wait until the nodes of a side see just that side. Raises ``StepFailedError``."""
        side, end = {f"n{number}" for number in step.nodes}, trio.current_time() + step.within
        wrong: dict[str, list[str]] = {}
        while trio.current_time() < end:
            views = await self.views()
            wrong = {name: sorted(views[name]) for name in side & set(views) if set(views[name]) != side}
            if not wrong:
                self.note("rig", "agrees")
                return
            await trio.sleep(STEP_S)
        raise StepFailedError(f"at {step.at:g} s, {sorted(side)} do not see just themselves: {wrong}")

    async def _epoch(self, step: ScheduleStep) -> None:
        """Wait until nodes are at an epoch of just these members. Raises ``StepFailedError``."""
        members = [f"n{number}" for number in sorted(step.to or step.nodes)]
        end, wrong = trio.current_time() + step.within, ""
        while trio.current_time() < end:
            wrong = ""
            for process in [self.processes[number] for number in step.nodes]:
                answer = await self.call(process, "GET", "members")
                epoch = answer["epoch"] if answer else {"number": 0, "members": []}
                if epoch["members"] != members:
                    wrong = f"{process.name} is at epoch {epoch['number']}, {epoch['members']}"
            if not wrong:
                self.note("rig", "is at an epoch", members=members)
                return
            await trio.sleep(STEP_S)
        raise StepFailedError(f"at {step.at:g} s, no epoch of {members} within {step.within:g} s: {wrong}")


def play(script: FaultSchedule, folder: Path, former: Path | None = None) -> str:
    """Play a script; return why it failed; empty: it did not. The history is in ``folder``.

    With ``former``, every second node is that folder's program.
    """
    rig = FaultInjectionRun(script, folder, former)
    # Guards against nodes that outlive a run that is told to end: SIGTERM ends it as Ctrl-C does.
    before = signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        trio.run(rig.play)
    except BaseExceptionGroup as group:
        found = group.subgroup(StepFailedError)
        if found is None:
            raise
        return str(first(found))
    except StepFailedError as error:
        return str(error)
    finally:
        signal.signal(signal.SIGTERM, before)
    return ""


def first(group: BaseExceptionGroup[Any]) -> BaseException:
    """Return the innermost first exception of a group."""
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
