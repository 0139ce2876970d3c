"""Plays the clauses and tells how each went: for people, as JUnit XML, and as JSON."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from xml.etree import ElementTree

from merlinbay.conformance.clause import Clause
from merlinbay.conformance.probe import ClauseNotMetError, ClauseSkippedError, ConformanceProbe

KEPT, MISSED, SKIPPED = "kept", "missed", "skipped"


@dataclass(frozen=True)
class ClauseResult:
    """How one clause went."""

    name: str
    section: str
    text: str
    verdict: str
    why: str
    seconds: float


def play(
    probe: ConformanceProbe, clauses: Iterable[Clause], told: Callable[[ClauseResult], None]
) -> list[ClauseResult]:
    """Play all, in order. A clause that fails leaves the others to be played."""
    results = []
    for clause in clauses:
        began, verdict, why = time.monotonic(), KEPT, ""
        try:
            clause.check(probe)
        except ClauseNotMetError as error:
            verdict, why = MISSED, str(error)
        except ClauseSkippedError as error:
            verdict, why = SKIPPED, str(error)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            # An answer without what the binding says is in it.
            verdict, why = MISSED, f"the answer is not as the binding says: {error!r}"
        results.append(
            ClauseResult(
                clause.name, clause.section, clause.text, verdict, why, round(time.monotonic() - began, 3)
            )
        )
        told(results[-1])
    return results


def line(result: ClauseResult) -> str:
    """Return one line for people."""
    why = f": {result.why[:300]}" if result.why else ""
    return f"{result.verdict:8}{result.section} -- {result.text}{why}"


def table(results: list[ClauseResult]) -> str:
    """Return the table at the end: by interface."""
    rows: dict[str, Counter[str]] = {}
    for result in results:
        rows.setdefault(result.section.split(",")[0].split(";")[0], Counter())[result.verdict] += 1
    rows["in all"] = Counter(result.verdict for result in results)
    width = max(map(len, rows))
    head = f"{'':{width}}  {KEPT:>8}{MISSED:>8}{SKIPPED:>9}"
    return "\n".join(
        [
            head,
            *(f"{name:{width}}  {row[KEPT]:8}{row[MISSED]:8}{row[SKIPPED]:9}" for name, row in rows.items()),
        ]
    )


def as_json(url: str, results: list[ClauseResult]) -> str:
    """Return the results as JSON."""
    return json.dumps({"url": url, "results": [asdict(result) for result in results]}, indent=2)


def as_junit(url: str, results: list[ClauseResult]) -> str:
    """Return the results as JUnit XML."""
    counts = Counter(result.verdict for result in results)
    suite = ElementTree.Element(
        "testsuite",
        name="drmaa2",
        tests=str(len(results)),
        hostname=url,
        failures=str(counts[MISSED]),
        skipped=str(counts[SKIPPED]),
        time=f"{sum(result.seconds for result in results):.3f}",
    )
    for result in results:
        case = ElementTree.SubElement(
            suite, "testcase", classname=result.section, name=result.name, time=f"{result.seconds:.3f}"
        )
        if result.verdict != KEPT:
            kind = "failure" if result.verdict == MISSED else "skipped"
            ElementTree.SubElement(case, kind, message=result.why)
    return ElementTree.tostring(suite, encoding="unicode", xml_declaration=True)
