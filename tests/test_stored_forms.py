"""Stored and sent data stays compatible with earlier versions of the program, in both directions.

The examples under ``tests/golden`` were written by the program before its types were renamed. A renamed field
or a changed order would make data of earlier versions unreadable, or new data unreadable to them.
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
    """Return the names of the tables in a file and the statements that created them."""
    with sqlite3.connect(path) as db:
        return list(db.execute("SELECT name, sql FROM sqlite_master WHERE type = 'table' ORDER BY name"))


def test_every_example_has_a_type() -> None:
    """A rename must not leave an example without a type that reads it."""
    assert set(FORMS) == set(EXAMPLES) - {"fleet.claim", "fleet.sealed"}


@pytest.mark.parametrize("name", [name for name, form in FORMS.items() if form.encoding != "names"])
def test_example_is_decoded_and_encoded_unchanged(name: str) -> None:
    """The type has every field of the example, with the same name and in the same order."""
    assert FORMS[name].encode(FORMS[name].decode(EXAMPLES[name])) == EXAMPLES[name]


@pytest.mark.parametrize("name", FORMS)
def test_type_has_only_the_fields_of_its_example(name: str) -> None:
    """An example built now is the same as the recorded one: no field was added that older programs reject."""
    assert stored_forms.example(FORMS[name]) == EXAMPLES[name]


def test_member_state_is_decoded_and_encoded_unchanged() -> None:
    """A fleet has members of both versions while it is being upgraded."""
    assert members.decode_state(msgspec.msgpack.decode(EXAMPLES["fleet.claim"])) == CLAIM
    assert wire.pack(members.encode_state(CLAIM)) == EXAMPLES["fleet.claim"]


def test_sealed_message_is_opened_and_sealed_unchanged() -> None:
    """The header, the signature and the body of the message are the same as before."""
    assert wire.open_sealed(KEYS, "north", EXAMPLES["fleet.sealed"]) == SEALED
    assert wire.seal(KEYS, "north", SEALED) == EXAMPLES["fleet.sealed"]


def test_log_file_of_an_earlier_version_is_read_and_continued(tmp_path: Path) -> None:
    """Records, their chained checksums and a snapshot are read; a new file has the same tables."""
    shutil.copy(GOLDEN / "store.db", tmp_path / "store.db")
    engine = StorageEngine(tmp_path / "store.db")
    assert engine.verify() == (1, 3)
    assert [record.body for record in engine.read()] == [b"first", b"second", b"third"]
    assert [snapshot.body for snapshot in engine.snapshots()] == [b"state after two"]
    assert engine.append([b"fourth"]) == 4
    engine.close()
    stored_forms.make_store(tmp_path / "new.db")
    assert tables(tmp_path / "new.db") == tables(GOLDEN / "store.db")


def test_result_file_of_an_earlier_version_is_read(tmp_path: Path) -> None:
    """An experiment resumes with an earlier program's result file; a new file has the same table and rows."""
    shutil.copy(GOLDEN / "results.db", tmp_path / "results.db")
    store = Store(tmp_path / "results.db")
    assert store.done() == {CELL.key}
    # The figure is 0 because the recorded result names a broken rule.
    assert store.column("figure", "monday", "{}", "module")[3] == 0.0
    store.close()
    stored_forms.make_results(tmp_path / "new.db")
    assert tables(tmp_path / "new.db") == tables(GOLDEN / "results.db")
    with sqlite3.connect(tmp_path / "new.db") as new, sqlite3.connect(GOLDEN / "results.db") as old:
        rows = "SELECT * FROM results"
        assert new.execute(rows).fetchall() == old.execute(rows).fetchall()
