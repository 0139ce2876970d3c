"""Checks that the decisions keep the four rules under the settings of each deployment in ``deploy/sites``."""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random
from typing import Any

import pytest

from merlinbay.decision import Balancer
from merlinbay.decision.actions import LogNotice
from merlinbay.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointsChanged,
    ExecutionStarted,
    RequestReceived,
)
from merlinbay.decision.outcomes import Outcome
from merlinbay.site_settings import settings_from
from tests.support import Checker

SITES = sorted((Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
FIELDS = {"inflight": "active", "queue": "waiting", "eps": "err_rps", "util": "cpu"}


def site_configuration(path: Path, ask: bool) -> dict[str, Any]:
    """Return the configuration of a deployment's node as in the protocol, with the worst of each range."""
    site = tomllib.loads(path.read_text())
    allow, rules, tier, kinds = site["allow"], site["rules"], site["tier"][0], site["tier"][0]["kind"]
    return {
        "balancers": 4,
        "me": 1,
        "az": site["net"]["zones"][0],
        "kinds": [kind["name"] for kind in kinds],
        "discovery": "subscribe" if site["discovery"]["mode"] == "ask" else "automatic",
        "classes": [
            {
                "name": row["name"],
                "aimUs": row["aim_ms"] * 1000,
                "deadlineUs": row["deadline_ms"] * 1000,
                "worth": float(row["worth"]),
                "lateWorth": row["late_worth"],
                "effect": EFFECTS[row["effect"]],
                "group": row.get("group", "all"),
                "windowUs": row.get("window_ms", 0) * 1000,
            }
            for row in site["class"]
        ],
        "limits": {
            "cancelling": allow["cancel"],
            "secondCopies": allow["second_copies"],
            "sendCap": allow["max_attempts"],
            "retryAfter": allow["retry_after"],
            "maxRetryAfterUs": site["clients"]["max_retry_after_ms"] * 1000,
            "probes": allow["probes"],
        },
        "report": {"how": "inline", "fields": [FIELDS.get(name, name) for name in tier["report"]["fields"]]},
        "extra": {"tellsStart": site["fam"]["tells_start"], "reportX0": "free slots"},
        "prices": {"crossZone": site["prices"]["cross_zone"], "probe": site["prices"]["probe"]},
        "safety": {
            "drainGraceUs": rules["drain_grace_ms"] * 1000,
            "tipMultiple": rules["fall_multiple"],
            "overloadForUs": rules["fall_ms"] * 1000,
            "coldFrom": min(k["cold_from"][0] for k in kinds),
            "coldUs": int(max(k["cold_s"][1] for k in kinds) * 1e6),
        }
        | ({"mustAskInUs": 10_000_000} if ask else {}),
    }


def test_deployments_cover_all_effects() -> None:
    """The other tests must not run on an empty folder, or on deployments that lack an effect."""
    assert len(SITES) >= 2
    effects = {row["effect"] for path in SITES for row in tomllib.loads(path.read_text())["class"]}
    assert effects == set(EFFECTS)


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
@pytest.mark.parametrize("ask", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_the_rules_are_kept_under_the_settings_of_each_deployment(path: Path, ask: bool, seed: int) -> None:
    """No rule may be broken by requests of all classes, any outcomes, changing lists and leaving clients."""
    conf, rng = settings_from(site_configuration(path, ask)), Random(seed)
    check = Checker(conf, Balancer(conf, seed, 1_000_000))
    rows = [EndpointEntry(f"w{n}", conf.zone, conf.kinds[n % len(conf.kinds)], n // 3) for n in range(9)]
    check.deliver(EndpointsChanged("all", rows))
    outcomes = [outcome for outcome in Outcome if outcome is not Outcome.MOOT]
    progress_share = (0.2, 0.01)[seed % 2]  # With the lower share, attempts outlast the idempotency windows.
    for number in range(400):
        check.pass_time(rng.randrange(1, 60_000))
        cls = rng.choice(conf.classes)
        check.deliver(RequestReceived(number, cls.name, rng.randrange(cls.deadline_us // 4, cls.deadline_us)))
        for request_id, request in list(check.requests.items()):
            for i, attempt in enumerate(request.attempts):
                if not attempt.outcome and rng.random() < progress_share:
                    if rng.random() < 0.4:
                        check.deliver(ExecutionStarted(request_id, i))
                    else:
                        outcome = Outcome.OK if rng.random() < 0.6 else rng.choice(outcomes)
                        final = request.is_settled or outcome == Outcome.OK
                        check.deliver(
                            AttemptEnded(request_id, i, outcome, 1000, final, None, attempt.endpoint)
                        )
            if not request.is_settled and rng.random() < 0.01:
                check.deliver(ClientDisconnected(request_id))
        if rng.random() < 0.1:
            row = rng.choice(rows)
            check.deliver(
                EndpointsChanged(
                    "changes",
                    [
                        EndpointEntry(
                            row.endpoint,
                            row.zone,
                            row.kind,
                            row.cell,
                            rng.choice(["up", "draining", "removed"]),
                            1.0,
                            rng.choice([0, check.now]),
                        )
                    ],
                )
            )
        if rng.random() < 0.05:
            check.deliver(EndpointsChanged("refused", [], check.now - 1_000_000))
    check.finish()
    assert check.broken == []


@pytest.mark.parametrize(
    ("row", "effect", "doubt"),
    [
        ({"effect": "idempotent"}, "once", "classes[0].effect: unknown value 'idempotent', taken for 'once'"),
        (
            {"effect": "by_key", "group": "rack"},
            "once",
            "classes[0].group: unknown value 'rack', the class is taken for one of effect 'once'",
        ),
        ({"effect": "repeatable", "group": "rack"}, "repeatable", ""),
        ({"effect": "by_key", "group": "zone"}, "by_key", ""),
    ],
)
def test_a_class_with_an_unknown_effect_is_not_repeated(row: dict[str, str], effect: str, doubt: str) -> None:
    """Requests must not be repeated because a value of the settings is unknown.

    The node starts, logs the unknown value, and takes the class for one that must not be repeated.
    """
    conf = site_configuration(SITES[0], False)
    conf["classes"][0].update(row)
    settings = settings_from(conf)
    doubts = [doubt] if doubt else []
    assert (settings.classes[0].effect, settings.doubts) == (effect, doubts)
    actions = Balancer(settings, 1, 0).handle(0, [])
    assert [action.text for action in actions if isinstance(action, LogNotice)] == doubts
