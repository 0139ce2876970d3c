"""What earlier programs have stored or send is read, and what is written now is what they read.

The examples under ``tests/golden`` were written by the program before its types were renamed.
"""

from __future__ import annotations

import base64
import shutil
import sqlite3
from pathlib import Path

import msgspec
import pytest

from merlinbay.experiment.store import Store
from merlinbay.fleet import members, wire
from merlinbay.store.engine import StorageEngine
from tests import stored_forms
from tests.stored_forms import CELL, CLAIM, FORMS, GOLDEN, KEYS, SEALED

EXAMPLES: dict[str, bytes] = {
    name: base64.b64decode(text)
    for name, text in msgspec.json.decode((GOLDEN / "forms.json").read_bytes()).items()
}


def tables(path: Path) -> list[tuple[str, str]]:
    """Return the tables of a file as they were created."""
    with sqlite3.connect(path) as db:
        return list(db.execute("SELECT name, sql FROM sqlite_master WHERE type = 'table' ORDER BY name"))


def test_every_example_has_its_type() -> None:
    """None is left behind by a rename."""
    assert set(FORMS) == set(EXAMPLES) - {"fleet.claim", "fleet.sealed"}


@pytest.mark.parametrize("name", [name for name, form in FORMS.items() if form.encoding != "names"])
def test_an_example_is_read_and_written_as_it_was(name: str) -> None:
    """Every field of it is known, by the same name and in the same order."""
    assert FORMS[name].encode(FORMS[name].decode(EXAMPLES[name])) == EXAMPLES[name]


@pytest.mark.parametrize("name", FORMS)
def test_a_type_has_no_other_fields_than_its_example(name: str) -> None:
    """What is written now by the same rule is the same: nothing was added that older programs refuse."""
    assert stored_forms.example(FORMS[name]) == EXAMPLES[name]


def test_a_claim_is_read_and_written_as_it_was() -> None:
    """Members of both versions are in one fleet while it is upgraded."""
    assert members.decode_state(msgspec.msgpack.decode(EXAMPLES["fleet.claim"])) == CLAIM
    assert wire.pack(members.encode_state(CLAIM)) == EXAMPLES["fleet.claim"]


def test_a_sealed_message_is_read_and_written_as_it_was() -> None:
    """Its head, its signature and its body."""
    assert wire.open_sealed(KEYS, "north", EXAMPLES["fleet.sealed"]) == SEALED
    assert wire.seal(KEYS, "north", SEALED) == EXAMPLES["fleet.sealed"]


def test_a_log_on_disk_is_read_and_continued(tmp_path: Path) -> None:
    """Records, the chain of their checksums, a snapshot; a new file has the same tables."""
    shutil.copy(GOLDEN / "store.db", tmp_path / "store.db")
    engine = StorageEngine(tmp_path / "store.db")
    assert engine.verify() == (1, 3)
    assert [record.body for record in engine.read()] == [b"first", b"second", b"third"]
    assert [snapshot.body for snapshot in engine.snapshots()] == [b"state after two"]
    assert engine.append([b"fourth"]) == 4
    engine.close()
    stored_forms.make_store(tmp_path / "new.db")
    assert tables(tmp_path / "new.db") == tables(GOLDEN / "store.db")


def test_results_on_disk_are_read(tmp_path: Path) -> None:
    """An experiment goes on in a file of an earlier program; a new file has the same table."""
    shutil.copy(GOLDEN / "results.db", tmp_path / "results.db")
    store = Store(tmp_path / "results.db")
    assert store.done() == {CELL.key}
    assert store.column("figure", "monday", "{}", "module")[3] == 0.0  # it names a broken rule
    store.close()
    stored_forms.make_results(tmp_path / "new.db")
    assert tables(tmp_path / "new.db") == tables(GOLDEN / "results.db")
    with sqlite3.connect(tmp_path / "new.db") as new, sqlite3.connect(GOLDEN / "results.db") as old:
        rows = "SELECT * FROM results"
        assert new.execute(rows).fetchall() == old.execute(rows).fetchall()
