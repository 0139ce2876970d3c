"""The fleet's days in virtual time: what the gate lets pass, and worse builds that have to fall behind."""

from __future__ import annotations

import math
from dataclasses import replace
from statistics import mean

import pytest
from click.testing import CliRunner

from merlinbay.cli.main import main
from merlinbay.decision.actions import Action
from merlinbay.decision.discovery_polling import DiscoveryPolling
from merlinbay.decision.endpoint_lease import EndpointLease
from merlinbay.decision.events import CallFailure
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.emulator import gate
from merlinbay.emulator.simulation import SimulationResult

PLAN, BROKEN = DiscoveryPolling._plan_poll, DiscoveryPolling.poll_failed


def played(name: str, seed: int = 1) -> SimulationResult:
    """Play a day as its script says."""
    return gate.one((f"fleet-{name}", "module", seed, 0, 0, 0))


@pytest.fixture(scope="module")
def true() -> dict[str, SimulationResult]:
    """Play this build."""
    return {name: played(name) for name in ("calm", "roll", "herd", "zone", "silent")}


@pytest.mark.parametrize("name", ["calm", "roll", "zone", "silent"])
def test_this_build_passes_the_gate(true: dict[str, SimulationResult], name: str) -> None:
    """Two hundred nodes and thirty servers, 22 s: no rule broken, and the share that the terms want."""
    others = [gate.one((f"fleet-{name}", policy, 1, 0, 0, 0)) for policy in gate.POLICIES[1:]]
    day = gate.Played(f"fleet-{name}", true[name], *others)
    assert day.failure == ""
    assert day.score > 0.5 and day.module.in_time > day.random.in_time


def no_spread(self: DiscoveryPolling, now: int, width: float) -> list[Action]:
    """Call discovery at once, always."""
    self.next_poll_at_us = now
    return self.poll_if_due(now)


def unbounded(self: DiscoveryPolling, now: int, width: float) -> list[Action]:
    """Spread the calls by their number alone, as it was before the rules' time to ask was kept to."""
    lease, self.lease = self.lease, EndpointLease(0, 0)
    actions = PLAN(self, now, width)
    self.lease = lease
    return actions


def test_calls_spread_beyond_the_time_to_ask_cost_service_and_without_the_lease_break_the_rule(
    monkeypatch: pytest.MonkeyPatch, true: dict[str, SimulationResult]
) -> None:
    """The fault that the bench found at full size: nodes that have not asked count as told."""
    monkeypatch.setattr(DiscoveryPolling, "_plan_poll", unbounded)
    refusing = played("zone")
    assert refusing.broken == "" and refusing.figure < true["zone"].figure - 0.1
    monkeypatch.setattr(EndpointLease, "is_usable", lambda self, now: True)
    worse = played("zone")
    assert worse.broken.startswith("rule 3") and true["zone"].broken == ""
    day = gate.Played("fleet-zone", worse, true["zone"], true["zone"], true["zone"])
    assert day.score == 0 and day.failure == worse.broken


def anew(
    self: DiscoveryPolling, now: int, heard_at: int = -1, failure: CallFailure = CallFailure.BROKEN
) -> list[Action]:
    """Give what failed four times the time to ask, ten seconds here, as the older pages do."""
    BROKEN(self, now)
    self.lease.expires_at_us, self.next_poll_at_us = now + 40_000_000, -1
    return PLAN(self, now, math.inf)


def test_a_whole_new_time_to_ask_after_a_silent_watch_breaks_the_rule_on_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The fault of the issue on leaving servers, of deployments whose lists are asked for."""
    monkeypatch.setattr(DiscoveryPolling, "poll_failed", anew)
    assert played("silent").broken.startswith("rule 3")


@pytest.mark.parametrize("name", ["roll", "herd"])
def test_calls_without_a_spread_rank_below(
    monkeypatch: pytest.MonkeyPatch, true: dict[str, SimulationResult], name: str
) -> None:
    """All nodes ask at once, again and again: those that restart stay with an old list."""
    monkeypatch.setattr(DiscoveryPolling, "_plan_poll", no_spread)
    assert played(name).figure < true[name].figure - 0.03


def test_gates_by_own_counts_alone_rank_below_on_the_zone_day(
    monkeypatch: pytest.MonkeyPatch, true: dict[str, SimulationResult]
) -> None:
    """Scaled by all balancers, whatever reports show: nodes with more than their share refuse."""
    monkeypatch.setattr(LoadEstimates, "peer_count", lambda self: self._context.settings.balancers - 1)
    worse = played("zone")
    assert worse.figure < true["zone"].figure - 0.01 and worse.refused > 1.5 * true["zone"].refused


HERD_SEEDS = (1, 2, 3, 4)


def test_gates_by_own_counts_alone_rank_below_on_herd_days(
    monkeypatch: pytest.MonkeyPatch, true: dict[str, SimulationResult]
) -> None:
    """As on the zone day, in the mean of some days: on one alone, chance is larger than the margin."""
    builds = [true["herd"], *(played("herd", seed) for seed in HERD_SEEDS[1:])]
    monkeypatch.setattr(LoadEstimates, "peer_count", lambda self: self._context.settings.balancers - 1)
    worse = [played("herd", seed) for seed in HERD_SEEDS]
    margin = mean(result.figure for result in builds) - mean(result.figure for result in worse)
    assert margin > 0.01
    assert sum(result.refused for result in worse) > 1.5 * sum(result.refused for result in builds)


def test_the_terms(true: dict[str, SimulationResult]) -> None:
    """Half of what sees late; on the calm day nearly what chance or that reaches, whichever is lower."""
    one = true["calm"]

    def day(name: str, module: float, chance: float, late: float) -> gate.Played:
        return gate.Played(
            name, replace(one, in_time=module), replace(one, in_time=chance), replace(one, in_time=late), one
        )

    assert day("fleet-roll", 0.5, 0.9, 0.98).failure == ""
    assert day("fleet-roll", 0.48, 0.9, 0.98).failure == "0.480 in time, 0.490 wanted"
    assert day("fleet-calm", 0.79, 0.85, 0.98).failure == "0.790 in time, 0.800 wanted"
    assert day("fleet-calm", 0.79, 0.95, 0.88).failure == ""


def test_the_command_says_whether_a_version_passes() -> None:
    """A table, a line, and 0; a day that there is not: one line, and 2."""
    small = ["simulate", "fleet", "--nodes", "12", "--servers", "8", "--seconds", "14", "--processes", "2"]
    found = CliRunner().invoke(main, [*small, "--day", "split"])
    assert found.exit_code == 0, found.output
    assert "fleet-split" in found.output and "GATE passed" in found.output
    assert CliRunner().invoke(main, ["simulate", "fleet", "--day", "nothing"]).exit_code == 2
