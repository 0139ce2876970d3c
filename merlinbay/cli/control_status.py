"""``merlinbay control status``: what several control processes tell of themselves, added up and printed."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import msgspec

from merlinbay.cli.caller import table
from merlinbay.control.fanout.status import ForceStatus, force_status, merge
from merlinbay.control_service.status import ProcessStatus, VotingStatus

ASKED_AT_ONCE = 8
NAMES_SHOWN = 16  # of followers that lack the revision
COUNTS_KEPT = 64


@dataclass(frozen=True)
class Overview:
    """All that could be asked, and who could not."""

    processes: list[ProcessStatus]
    unreachable: list[str]
    revision: int
    leader: str  # empty: none that a majority of what was asked confirms
    term: int
    force: ForceStatus
    complete: bool  # all voters answered, so that all followers are counted

    def as_json(self) -> dict[str, Any]:
        """Return it for programs."""
        return {
            "revision": self.revision,
            "leader": self.leader,
            "term": self.term,
            "in_force": {**msgspec.to_builtins(self.force), "lacking": self.force.lacking},
            "complete": self.complete,
            "unreachable": self.unreachable,
            "processes": msgspec.to_builtins(self.processes),
        }


def gather(first: dict[str, Any], ask: Callable[[str], dict[str, Any] | None], expected: int) -> Overview:
    """Ask all machines that the first one knows, and add up their answers."""
    known = msgspec.convert(first, ProcessStatus)
    others = {name: address for name, address in known.operators.items() if name != known.name}
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        answers = list(pool.map(ask, others.values()))
    processes, unreachable = [known], []
    for name, answer in zip(others, answers, strict=True):
        if answer is None:
            unreachable.append(name)
        else:
            processes.append(msgspec.convert(answer, ProcessStatus))
    return _overview(processes, unreachable, expected)


def _overview(processes: list[ProcessStatus], unreachable: list[str], expected: int) -> Overview:
    voting = {one.name: one.voting for one in processes if one.voting is not None}
    leader, term = _leader(voting)
    revision = max(one.revision for one in processes)
    # Relays' summaries flow up to the voters: adding up the voters' counts every follower once.
    below = merge([one.below for one in processes if one.voting is not None], COUNTS_KEPT, COUNTS_KEPT)
    newest = max(voting.values(), key=lambda one: one.commit_index, default=None)
    complete = newest is not None and all(name in voting for name in newest.voters)
    force = force_status(below, revision, expected)
    return Overview(
        sorted(processes, key=lambda one: (one.role != "voter", one.name)),
        sorted(unreachable),
        revision,
        leader,
        term,
        force,
        complete,
    )


def _leader(voting: dict[str, VotingStatus]) -> tuple[str, int]:
    """Return the leader of the highest term that leads by its own word, and the term."""
    leading = {name: one.term for name, one in voting.items() if one.state == "leader"}
    term = max((one.term for one in voting.values()), default=0)
    leader = max(leading, key=lambda name: leading[name], default="")
    return leader, leading.get(leader, term)


def lines(overview: Overview) -> list[str]:
    """Return the overview for people."""
    leader = f"leader {overview.leader}" if overview.leader else "no leader"
    result = [f"{leader}, term {overview.term}, revision {overview.revision}"]
    result.append(_force_line(overview))
    if overview.force.laggards:
        names = [f"{one.member} ({one.revision})" for one in overview.force.laggards[:NAMES_SHOWN]]
        result.append(f"lack it, oldest first: {', '.join(names)}")
    if overview.force.absent:
        names = [f"{one.member} ({one.revision})" for one in overview.force.absent[:NAMES_SHOWN]]
        result.append(f"lost a short time ago: {', '.join(names)}")
    result.append(_table(overview))
    if overview.unreachable:
        result.append(f"unreachable: {', '.join(overview.unreachable)}")
    return result


def _force_line(overview: Overview) -> str:
    force = overview.force
    missing = "" if overview.complete else "; not all voters answered, so some followers are not counted"
    return (
        f"in force at {force.in_force} of {max(force.followers, force.expected)} followers, "
        f"lacking at {force.lacking}, oldest revision {force.oldest}{missing}"
    )


def _table(overview: Overview) -> str:
    heads = ["NAME", "ROLE", "STATE", "TERM", "REGION", "ZONE", "REVISION", "AGE", "WATCHES", "UPSTREAM", ""]
    return table([_row(one) for one in overview.processes], heads)


def _row(one: ProcessStatus) -> list[object]:
    voting = one.voting
    age = "never" if one.age_s is None else f"{one.age_s:.1f} s"
    state, term, note = ("", "", "")
    if voting is not None:
        state, term, note = voting.state, str(voting.term), voting.storage
    return [
        one.name,
        one.role,
        state,
        term,
        one.region,
        one.zone,
        one.revision,
        age,
        one.watches,
        one.upstream,
        note,
    ]
