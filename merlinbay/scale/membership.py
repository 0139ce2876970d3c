"""The role ``view-member``: the program's view of the fleet, with its sockets, and its epochs where wanted.

The hollow member is ``fleet.wiring.FleetParts`` as a node has it, without the node around it. The real one is
a process of the program with the rig's configuration. ``settings`` are keys of the operators' section
``fleet``; ``epochs = true`` gives each member a folder that lasts and expects all of them.
"""

from __future__ import annotations

import msgspec
import trio

from merlinbay.core.messages import Message
from merlinbay.core.values import NodeIdentity
from merlinbay.counters import Counters
from merlinbay.decision.settings import RequestClass, Settings
from merlinbay.errors import parse_address
from merlinbay.fleet.members import Health
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.view import View
from merlinbay.fleet.wiring import FleetParts
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.rig.processes import Process
from merlinbay.scale.keys import write_keys
from merlinbay.scale.layout import address_of, zone_of
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

NAME = "view-member"
PORT = 7946
SEEDS = 3
EPOCHS = "epochs"  # the one setting that is none of section ``fleet``
GAUGES = 1_000_000  # a drawn gauge is news nearly always: it differs by over a tenth from the last one
LEAVING_S = 0.2  # that a leaving member still gossips, before it ends
NO_WORK = Settings([RequestClass("none", 1, 1)])  # a hollow member has no core that would read them


def member_name(number: int) -> str:
    """Return a member's name in the fleet, as the rig has them."""
    return f"n{number}"


def fleet_name(run: RunFacts) -> str:
    """Return the fleet's name: the rig's processes take it from their folder."""
    return run.folder.name


def seed_addresses(run: RunFacts) -> list[str]:
    """Return the addresses to join by."""
    return [f"{address_of(run.net, number)}:{PORT}" for number in run.numbers[NAME][:SEEDS]]


def section_keys(plan: RolePlan) -> dict[str, int | float | str | bool]:
    """Return the settings that are keys of section ``fleet``."""
    return {key: value for key, value in plan.settings.items() if key != EPOCHS}


def section_of(plan: RolePlan, run: RunFacts, number: int) -> FleetSettings:
    """Return a member's section of the operators' file. Raises ``msgspec.ValidationError``."""
    epochs = bool(plan.settings.get(EPOCHS))
    about = {
        "name": fleet_name(run),
        "listen": f"{address_of(run.net, number)}:{PORT}",
        "zone": f"z{zone_of(run.topology, number)}",
        "seeds": seed_addresses(run),
        "keys": str(write_keys(run)),
        "data": str(run.folder / f"data-{member_name(number)}") if epochs else "",
        "expect": len(run.numbers[NAME]) if epochs else 0,
    }
    return msgspec.convert({**about, **section_keys(plan)}, FleetSettings)


def members_alive(view: View) -> int:
    """Return how many are there; 0 while one is suspected, or an epoch is of another number of members."""
    active = view.table.active()
    if any(member.health is not Health.ALIVE for member in active):
        return 0
    if view.epochs is not None and len(view.epochs.consensus.epoch.members) != len(active):
        return 0
    return len(active)


class HollowViewMember:
    """One member of the view, without the node around it."""

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        section = section_of(context.plan, context.run, context.number)
        facts = NodeIdentity(
            member_name(context.number), parse_address(section.listen), NO_WORK, ResourceLimits()
        )
        send, self.inbox = trio.open_memory_channel[Message](1024)
        self.parts = FleetParts(section, facts, send, Counters(), Log(0))
        self.parts.net.on_change.append(self._look)
        self.seen = 0  # events that have been looked at
        self.awaited: dict[str, float] = {}  # members whose gauge is to come to this value
        self.moving = context.random.random() < context.run.disturbances.moving_gauges_share
        self.marker: float | None = None
        self.parts.gauges = self._gauges

    def _gauges(self) -> dict[str, float]:
        """Return the gauges; moving ones are news at every turn, as where tasks start and end."""
        found = {"jobs": 0.0, "slots": 0.0}
        if self.moving:
            found["jobs"] = float(self.context.random.randrange(GAUGES))
        if self.marker is not None:
            found["marker"] = self.marker
        return found

    async def run(self, started: trio.Event) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain)
            await self.parts.listen(nursery)
            started.set()

    async def _drain(self) -> None:
        """Take what the core would: how many balancers there are."""
        async for _ in self.inbox:
            pass

    def _look(self) -> None:
        """Write down what the view has told since the last look."""
        net = self.parts.net
        for event in net.events[max(self.seen - net.first_event_number, 0) :]:
            self.context.observe(event.kind, event.subject, event.at_s)
        self.seen = net.first_event_number + len(net.events)
        for name, value in list(self.awaited.items()):
            member = net.view.table.members.get(name)
            if member is not None and member.state.gauges.get("marker") == value:
                self.context.observe("gauge", name, trio.current_time())
                del self.awaited[name]

    def progress(self) -> int:
        """Return how many the view has, as ``members_alive``."""
        return members_alive(self.parts.view)

    async def act(self, action: str, text: str) -> float:
        """Leave on purpose; tell a gauge; await another member's gauge."""
        at = trio.current_time()
        match action:
            case "leave":
                after = self.parts.leave()
                await trio.sleep(LEAVING_S)
                after()
            case "tell":
                self.marker = float(text)
                self.parts.view.update(gauges=self._gauges())
                self.parts.net.flush()
            case "await":
                name, _, value = text.partition("=")
                self.awaited[name] = float(value)
            case _:
                raise ValueError(f"{NAME} cannot {action}")
        return at


class RealViewMember:
    """A process of the program with the rig's configuration."""

    def __init__(self, plan: RolePlan, run: RunFacts, number: int, variant: Variant) -> None:
        self.address = address_of(run.net, number)
        keys: dict[str, int | float] = {}
        for key, value in section_keys(plan).items():
            if isinstance(value, str):
                raise ValueError(f"role.settings.{key}: a real member takes numbers only")
            keys[key] = value
        epochs = bool(plan.settings.get(EPOCHS))
        if epochs:
            keys["expect"] = len(run.numbers[NAME])
        folder = run.folder / f"{variant.value}-{member_name(number)}"
        seeds = seed_addresses(run) if variant is Variant.MEMBER else []
        path = write_keys(run)
        self.process = Process(number, folder, self.address, self.address, seeds, path, keys, epochs)
        operator = folder / "operator.toml"  # its one section is ``fleet``
        if variant is Variant.WITHOUT_ROLE:
            operator.write_text("")
        else:
            operator.write_text(operator.read_text() + f'zone = "z{zone_of(run.topology, number)}"\n')

    def start(self) -> None:
        """Start it."""
        self.process.start()

    def kill(self) -> None:
        """End it and wait for that."""
        self.process.kill()

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process.process is not None
        return self.process.process.pid


class ViewMemberRole:
    """Members of the view of the fleet."""

    name = NAME
    meshed = True

    def need(self, plan: RolePlan) -> MemberNeed:
        """Return what a member takes: its table of the others, and its turns of gossip over them."""
        return MemberNeed(300_000, 1_500.0, 0.002, 6e-6)

    def target(self, plan: RolePlan, members: int) -> int:
        """Every member sees all others."""
        return members

    def member(self, context: MemberContext) -> HollowMember:
        """Make a hollow member."""
        return HollowViewMember(context)

    def real(self, plan: RolePlan, run: RunFacts, number: int, variant: Variant) -> RealMember:
        """Make a process of the program."""
        return RealViewMember(plan, run, number, variant)

    def writer(self, run: RunFacts) -> ConfigurationWriter | None:
        """Nobody: the view has no configuration."""
        return None
