"""The roles of the replicated configuration: ``control-voter``, ``control-relay`` and ``control-follower``.

A voter or relay is all of a control process but its signals: its file, its host, its disk, the operators'
calls. With ``members_per_process = 1`` it has a process of its own. A follower is ``FollowerHost``, as a node
has it; its real counterpart is ``merlinbay control follower``. ``settings`` are keys
of the voter's and relay's sections, and of ``FollowerSettings``.
"""

from __future__ import annotations

import json
import subprocess
import sys

import msgspec
import trio

from merlinbay.control.fanout.effects import StateAdvanced
from merlinbay.control.fanout.settings import FollowerSettings
from merlinbay.control_service import wiring
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.process import CALL_LIMITS
from merlinbay.control_service.settings import MachineSection, load_keys
from merlinbay.counters import Counters
from merlinbay.errors import parse_address
from merlinbay.http.routes import Routes
from merlinbay.http.server import Listener
from merlinbay.log import Log
from merlinbay.scale import control_plane
from merlinbay.scale.control_plane import FOLLOWER, RELAY, VOTER
from merlinbay.scale.control_writer import ControlWriter
from merlinbay.scale.keys import write_keys
from merlinbay.scale.layout import address_of
from merlinbay.scale.plan import RolePlan
from merlinbay.scale.roles import (
    ConfigurationWriter,
    HollowMember,
    MemberContext,
    MemberNeed,
    RealMember,
    RunFacts,
    Variant,
)

FORCED = "force"  # a revision that is in force at a member
LEAVING_S = 0.5  # that a leaving process still sends its watches elsewhere
NOWHERE = MachineSection(address="127.0.0.9:9", tier=1)  # nobody listens there: a follower that is alone


class ControlProcessMember:
    """A voter or relay."""

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.file = control_plane.control_file(context.plan, context.run, context.number)
        self.parts: wiring.ProcessParts | None = None

    async def run(self, started: trio.Event) -> None:
        """Serve until cancelled."""
        file, log = self.file, Log(0)
        local_peer = LocalPeer(file.name, file.role(), file.fleet, load_keys(file.keys), file.bind_address())
        async with trio.open_nursery() as nursery:
            if file.voter is not None:
                parts = await wiring.voter_parts(file, file.voter, local_peer, log)
            else:
                parts = await wiring.relay_parts(file, local_peer, nursery)
            listener = Listener(Routes([("/control", parts.calls)]), CALL_LIMITS, Counters(), log)
            sock = await listener.bind(*parse_address(file.operator))
            nursery.start_soon(listener.serve, sock)
            parts.start(nursery)
            self.parts = parts
            started.set()

    def progress(self) -> int:
        """Return 1 once a voter knows a leader, or a relay holds a watch."""
        if self.parts is None:
            return 0
        status = self.parts.calls.status()
        return int(bool(status.voting.leader if status.voting is not None else status.upstream))

    async def act(self, action: str, text: str) -> float:
        """Leave on purpose."""
        at = trio.current_time()
        if action != "leave":
            raise ValueError(f"a control process cannot {action}")
        assert self.parts is not None
        self.parts.leave()
        await trio.sleep(LEAVING_S)
        return at


class FollowerMember:
    """A follower, without the node around it."""

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.revision = 0
        self.host: FollowerHost | None = None

    async def run(self, started: trio.Event) -> None:
        """Follow until cancelled."""
        context, run = self.context, self.context.run
        name = control_plane.name_of(FOLLOWER, context.number)
        keys = load_keys(str(write_keys(run)))
        local_peer = LocalPeer(name, "follower", run.folder.name, keys, context.address)
        async with trio.open_nursery() as nursery:
            self.host = FollowerHost(
                local_peer,
                control_plane.location_of(run, context.number),
                control_plane.watched_by(run, context.number),
                msgspec.convert(context.plan.settings, FollowerSettings),
                context.random,
                nursery,
                self._advanced,
            )
            self.host.start()
            started.set()
            await trio.sleep_forever()

    def _advanced(self, effect: StateAdvanced) -> None:
        """Write down every revision that is in force by this step: deltas are coalesced."""
        now = trio.current_time()
        for revision in range(self.revision + 1, effect.revision + 1):
            self.context.observe(FORCED, str(revision), now)
        self.revision = max(self.revision, effect.revision)

    def progress(self) -> int:
        """Return 1 while it holds a watch."""
        return int(self.host is not None and self.host.core.upstream is not None)

    async def act(self, action: str, text: str) -> float:
        """Leave on purpose."""
        at = trio.current_time()
        if action != "leave":
            raise ValueError(f"{FOLLOWER} cannot {action}")
        assert self.host is not None
        self.host.stop()
        return at


class RealFollower:
    """A process of the program with a follower's file: ``merlinbay control follower``."""

    def __init__(self, run: RunFacts, number: int, variant: Variant) -> None:
        self.address = address_of(run.net, number)
        name = control_plane.name_of(FOLLOWER, number)
        alone = variant is not Variant.MEMBER
        machines = {"nowhere": NOWHERE} if alone else control_plane.upstreams_of(run, number)
        location = control_plane.location_of(run, number)
        about = {
            "name": name,
            "fleet": run.folder.name,
            "region": location.region,
            "zone": location.zone,
            "bind": self.address,
            "keys": str(write_keys(run)),
            "upstreams": list(machines),
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in about.items()]
        for machine_name, machine in machines.items():
            lines.append(f"[machines.{machine_name}]")
            found = msgspec.structs.asdict(machine)
            lines += [f"{key} = {json.dumps(value)}" for key, value in found.items()]
        self.path = run.folder / f"{variant.value}-{name}.toml"
        self.path.write_text("\n".join(lines) + "\n")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it."""
        command = [sys.executable, "-B", "-m", "merlinbay", "control", "follower", "--config", str(self.path)]
        with open(self.path.with_suffix(".log"), "ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def kill(self) -> None:
        """End it and wait for that."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process is not None
        return self.process.pid


class ControlRole:
    """One of the three roles."""

    meshed = False

    def __init__(self, name: str, need: MemberNeed) -> None:
        self.name, self._need = name, need

    def need(self, plan: RolePlan) -> MemberNeed:
        """Return what a member takes."""
        return self._need

    def target(self, plan: RolePlan, members: int) -> int:
        """Every voter knows a leader, every relay and follower holds a watch."""
        return 1

    def member(self, context: MemberContext) -> HollowMember:
        """Make a member in this process."""
        return FollowerMember(context) if self.name == FOLLOWER else ControlProcessMember(context)

    def real(self, plan: RolePlan, run: RunFacts, number: int, variant: Variant) -> RealMember:
        """Make a node that follows; voters and relays have their own process as they are."""
        if self.name != FOLLOWER:
            raise ValueError(f"{self.name}: give it members_per_process = 1")
        return RealFollower(run, number, variant)

    def writer(self, run: RunFacts) -> ConfigurationWriter | None:
        """Return who proposes changes: beside the voters."""
        return ControlWriter(run) if self.name == VOTER else None


MIB = 1024 * 1024
CONTROL_ROLES = (
    ControlRole(VOTER, MemberNeed(8 * MIB, cores=0.05)),
    ControlRole(RELAY, MemberNeed(8 * MIB, cores=0.02, cores_a_member=2e-5)),
    ControlRole(FOLLOWER, MemberNeed(64 * 1024, cores=0.0005)),
)
