"""The suite holds for our own endpoint, and finds each of the broken ones."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from xml.etree import ElementTree

import pytest

from bench.mutants import MUTANTS, survivors
from merlinbay.conformance.clauses import CLAUSES
from tests.test_cli import Local


@pytest.fixture(scope="module")
def local(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Local]:
    """Start a front with room for all at once."""
    found = Local(tmp_path_factory.mktemp("jobs"), slots=40)
    try:
        yield found
    finally:
        found.process.kill()
        found.process.wait()


def test_our_own_endpoint_keeps_every_clause(local: Local, tmp_path: Path) -> None:
    """None missed, none skipped; the report is one that build servers read."""
    result = local("conformance", "--format", "junit", "--output", str(tmp_path / "report.xml"))
    suite = ElementTree.parse(tmp_path / "report.xml").getroot()
    assert result.exit_code == 0, result.output
    assert (suite.get("tests"), suite.get("failures"), suite.get("skipped")) == (str(len(CLAUSES)), "0", "0")
    assert [case.get("name") for case in suite] == [clause.name for clause in CLAUSES]


def test_every_mutant_is_found_by_its_clause(local: Local) -> None:
    """Each breaks one thing; the clause that is about it says so."""
    found = survivors(f"http://127.0.0.1:{local.port}", MUTANTS)
    assert len(found) >= 20
    assert [mutant.name for mutant in MUTANTS if mutant.clause not in found[mutant.name]] == []


def test_a_missed_clause_ends_the_command_with_3(local: Local, monkeypatch: pytest.MonkeyPatch) -> None:
    """And the report names it; an endpoint that is not there misses all."""
    result = local("conformance", "--only", "names_itself", "--format", "json")
    report = json.loads(result.stdout)
    assert result.exit_code == 0 and [row["verdict"] for row in report["results"]] == ["kept", "kept"]
    monkeypatch.setattr(local, "port", 1)
    result = local("conformance", "--only", "names_itself")
    assert result.exit_code == 3 and "missed" in result.output and "ConnectError" in result.output
    assert local("conformance", "--only", "nonsense").exit_code == 2
