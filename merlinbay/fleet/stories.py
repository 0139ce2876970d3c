"""Stories by seed: joins, crashes, partitions, loss, pauses, lost disks; what must hold while and after.

While troubles last: nobody is taken for dead who is there, whom the accuser can reach, directly or by a
third, and to whom nothing was done lately; without loss, nobody is even suspected; a death comes round soon.
After: all views are the same, and the last epoch is what is there.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from merlinbay.fleet.effects import Event
from merlinbay.fleet.settings import Fleet
from merlinbay.fleet.simulate import InvariantViolationError, Node, Simulation

TROUBLE = 72.0  # seconds that troubles last at the most
QUIET = 75.0  # seconds after the last trouble by which all views of up to nine nodes are the same
CLEAN = 35.0  # and of these, the last ones without any loss
SPENT = 40.0  # seconds after which nobody believes any more what a trouble had him believe
ROUND = 6.5  # seconds in which a death is known to all, without loss: an exchange of the state, and rounds
GENTLE = 0.4  # share of stories with one trouble that harms nobody else: these are looked at most closely


@dataclass
class Harm:
    """Something is done to a node: others may take it for dead, or it may take others for dead."""

    name: str
    since: float
    until: float
    seen: bool = True  # others may take it for dead
    sees: bool = True  # it may take others for dead


@dataclass
class Watch:
    """Looks at every event of a story."""

    sim: Simulation
    clean: bool  # the network loses and delays nothing
    harms: list[Harm] = field(default_factory=list)
    deaths: dict[str, list[float]] = field(default_factory=dict)  # when each node took another for dead

    def harm(
        self, names: list[str], since: float, until: float, seen: bool = True, sees: bool = True
    ) -> None:
        """Note a trouble of some nodes."""
        self.harms += [Harm(name, since, until, seen, sees) for name in names]

    def excused(self, accuser: str, name: str, at: float) -> bool:
        """Tell whether a trouble explains that one takes another for dead."""
        return any(
            harm.since <= at <= harm.until + SPENT
            and ((harm.seen and harm.name == name) or (harm.sees and harm.name == accuser))
            for harm in self.harms
        )

    def __call__(self, node: Node, event: Event) -> None:
        """Look at one event. Raises ``InvariantViolationError``."""
        if event.what == "died":
            self.deaths.setdefault(event.name, []).append(self.sim.now)
        if event.what != "died" and not (event.what == "suspected" and self.clean):
            return
        other = self.sim.nodes[event.name]
        if other.view is None or other.stopped or other.view.leaving or node.view is None:
            return
        accuser = node.view.members[event.name].claim.by or node.name
        if not self.excused(accuser, event.name, self.sim.now):
            raise InvariantViolationError(
                f"{self.sim.now:.3f}: {node.name} was told that {event.name} {event.what}, by "
                f"{accuser}; nothing was done to either"
            )

    def came_round(self) -> None:
        """Check how soon deaths came round. Raises ``InvariantViolationError``."""
        for name, times in self.deaths.items():
            if max(times) - min(times) > ROUND:
                raise InvariantViolationError(
                    f"the death of {name} came round in {max(times) - min(times):.1f} s"
                )


WHAT = ["kill", "away", "restart", "leave", "part", "one way", "pair", "stop", "loop", "disk"]
FOREVER = 1e9


def troubles(sim: Simulation, watch: Watch, rng: Random, kinds: list[str], number: int) -> None:
    """Plan so many troubles."""
    names = list(sim.nodes)

    def cut(pairs: list[tuple[str, str]], until: float) -> None:
        found = {(sim.nodes[a].addr, sim.nodes[b].addr) for a, b in pairs}
        sim.net.cut |= found
        sim.at(until, sim.net.cut.difference_update, found)

    def restart(node: Node) -> None:
        node.kill()
        node.start()

    spared = rng.choice(names)  # one disk is never lost: where all are, nobody knows of any epoch
    for _ in range(number):
        at, lasts = rng.uniform(8, 45), rng.uniform(1, 25)
        node = sim.nodes[rng.choice(names)]
        one = [node.name]
        match rng.choice(kinds):
            case "kill":
                sim.at(at, node.kill)
                watch.harm(one, at, FOREVER, sees=False)
            case "away":
                sim.at(at, node.kill)
                sim.at(at + lasts, node.come_back)
                watch.harm(one, at, at + lasts, sees=False)
            case "restart":
                sim.at(at, restart, node)
                watch.harm(one, at, at, sees=False)
            case "loop":
                for turn in range(8):
                    sim.at(at + turn * 1.5, restart, node)
                watch.harm(one, at, at + 12, sees=False)
            case "disk" if node.name != spared:
                sim.at(at, node.lose_disk)
                watch.harm(one, at, at, sees=False)
            case "leave":
                sim.at(at, node.leave)
                sim.at(at + 3, node.kill)
                watch.harm(one, at, FOREVER, sees=False)
            case "part":
                side = set(rng.sample(names, rng.randint(1, len(names) - 1)))
                pairs = [(a, b) for a in names for b in names if (a in side) != (b in side)]
                sim.at(at, cut, pairs, at + lasts)
                watch.harm(names, at, at + lasts)
            case "one way":
                pairs = [(node.name, other) for other in rng.sample(names, rng.randint(1, len(names)))]
                sim.at(at, cut, pairs, at + lasts)
                watch.harm(names, at, at + lasts)
            case "pair":
                other = rng.choice([name for name in names if name != node.name])
                sim.at(at, cut, [(node.name, other), (other, node.name)], at + lasts)
                if number > 1:  # alone it harms nobody: both reach a third
                    watch.harm([node.name, other], at, at + lasts)
            case "stop":
                sim.at(at, setattr, node, "stopped", True)
                sim.at(at + lasts, node.resume)
                watch.harm(one, at, at + lasts, sees=False)  # it comes back and accuses nobody


def story(seed: int, check: bool = True) -> Simulation:
    """Play one seed: troubles for a minute, then quiet. Raises ``InvariantViolationError``."""
    rng = Random(f"{seed}/story")
    count = rng.randint(3, 9)
    expect = rng.choice([0, count])
    section = Fleet(name="sim", listen="x", keys="x", data="x", exchange=5.0, expect=expect)
    sim = Simulation(seed, count, section)
    sim.net.loss = rng.choice([0.0, 0.0, 0.05, 0.3])
    sim.net.twice, sim.net.late = rng.choice([0.0, 0.1]), rng.choice([0.0, 0.2])
    watch = Watch(sim, clean=not sim.net.loss and not sim.net.late)
    if check:
        sim.watch = watch
    for node in sim.nodes.values():
        sim.at(rng.random() * rng.choice([0.1, 5.0]), node.start)
    gentle = rng.random() < GENTLE
    if gentle:
        troubles(sim, watch, rng, ["kill", "pair", "stop"], 1)
    else:
        troubles(sim, watch, rng, WHAT if expect else WHAT[:-1], rng.randint(1, 6))
    _run(sim, TROUBLE, 1.0, check)
    sim.net.loss = min(sim.net.loss, 0.05)
    _run(sim, TROUBLE + QUIET - CLEAN, 5.0, check)
    sim.net.loss = 0.0  # guards against a suspicion that a lost packet made just before the look
    _run(sim, TROUBLE + QUIET, 5.0, check)
    if check and gentle and watch.clean:
        watch.came_round()
    if check and (wrong := sim.settled() or sim.agrees()):
        raise InvariantViolationError(f"seed {seed}: {QUIET:g} s after the last trouble {wrong}")
    return sim


def _run(sim: Simulation, until: float, step: float, check: bool) -> None:
    while sim.now < until:
        sim.run(min(sim.now + step, until))
        if check:
            sim.check()
