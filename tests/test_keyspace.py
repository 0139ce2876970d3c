"""Tests of the replicated state, with fixed changes and with generated histories of changes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinbay.control import keyspace as module
from merlinbay.control.entries import Change, ChangeApplied, ChangeRejected, Delta, KeyValue
from merlinbay.control.keyspace import Keyspace, SnapshotError

changes = st.lists(
    st.builds(
        Change,
        change_id=st.integers(0, 30).map(str),
        key=st.sampled_from(["a", "b", "c", "d"]),
        value=st.none() | st.binary(max_size=2),
        expected_revision=st.none() | st.integers(0, 12),
    ),
    max_size=40,
)


def built(history: list[Change], keep: int | None = None) -> Keyspace:
    """Return the state after a history, compacted after each change where ``keep`` is given."""
    keyspace = Keyspace()
    for change in history:
        keyspace.apply(change)
        if keep is not None:
            keyspace.compact(keep)
    return keyspace


def live(keyspace: Keyspace) -> dict[str, KeyValue]:
    """Return the keys that exist."""
    return {entry.key: entry for entry in keyspace.state().entries}


@given(changes, st.integers(0, 40), st.integers(0, 40))
def test_a_base_with_its_delta_is_the_state(history: list[Change], at: int, keep: int) -> None:
    """At each revision that is not compacted; and a delta has each key once, in the order of revisions."""
    base, whole = built(history[:at]), built(history, keep)
    delta = whole.delta_after(base.revision)
    if base.revision < whole.compacted_revision:
        assert delta is None
        return
    assert delta is not None and (delta.after_revision, delta.revision) == (base.revision, whole.revision)
    revisions = [entry.revision for entry in delta.entries]
    assert revisions == sorted(set(revisions)) and len({entry.key for entry in delta.entries}) == len(
        revisions
    )
    state = live(base) | {entry.key: entry for entry in delta.entries}
    assert {key: entry for key, entry in state.items() if entry.value is not None} == live(whole)


@given(changes, st.integers(0, 40), st.integers(0, 3))
def test_replicas_agree_whatever_they_compacted_or_restored(
    history: list[Change], at: int, keep: int
) -> None:
    """The same results and digest from the first change as from a snapshot in the middle."""
    whole = Keyspace()
    results = [whole.apply(change) for change in history]
    other = Keyspace.restore(built(history[:at], keep).snapshot())
    other.compact(keep)
    assert [other.apply(change) for change in history[at:]] == results[at:]
    assert other.digest() == whole.digest()
    assert Keyspace.restore(other.snapshot()).digest() == whole.digest()


@given(changes)
def test_a_history_told_twice_changes_nothing(history: list[Change]) -> None:
    """Each repeat gets the first answer."""
    keyspace = Keyspace()
    first: dict[str, object] = {}
    for change in history:
        first.setdefault(change.change_id, keyspace.apply(change))
    before = keyspace.digest()
    assert all(keyspace.apply(change) == first[change.change_id] for change in history)
    assert keyspace.digest() == before


def test_compare_and_set() -> None:
    """A change that expects another revision than the key's last one would overwrite an unseen change.

    A key that was deleted or never existed has revision 0.
    """
    keyspace = Keyspace()
    assert keyspace.apply(Change("1", "k", b"x", 1)) == ChangeRejected("conflict", current_revision=0)
    assert keyspace.apply(Change("2", "k", b"x", 0)) == ChangeApplied(1)
    assert keyspace.apply(Change("3", "k", b"y", 0)) == ChangeRejected("conflict", current_revision=1)
    assert keyspace.apply(Change("4", "other", b"")) == ChangeApplied(2)
    assert keyspace.apply(Change("5", "k", None, 1)) == ChangeApplied(3)
    assert keyspace.get("k") is None and keyspace.get("other") == KeyValue("other", b"", 2)
    assert keyspace.apply(Change("6", "k", b"z", 3)) == ChangeRejected("conflict", current_revision=0)
    assert keyspace.apply(Change("7", "k", b"z", 0)) == ChangeApplied(4)
    # A change that was rejected once is never applied, even if its expected revision is now the right one.
    assert keyspace.apply(Change("1", "k", b"x", 4)) == ChangeRejected("conflict", current_revision=0)


def test_delta_contains_older_key_that_was_written_again() -> None:
    """A key that existed before the base of a delta belongs to the delta if it was written again since."""
    keyspace = built([Change("1", "a", b"1"), Change("2", "b", b"2"), Change("3", "a", b"3")])
    assert keyspace.delta_after(2) == Delta(2, 3, (KeyValue("a", b"3", 3),))
    assert keyspace.delta_after(1) == Delta(1, 3, (KeyValue("b", b"2", 2), KeyValue("a", b"3", 3)))


def test_kept_change_ids_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Change ids are kept for a number of revisions.

    Their number is bounded too, since rejected changes make no revision.
    """
    monkeypatch.setattr(module, "DEDUPE_REVISIONS", 5)
    monkeypatch.setattr(module, "DEDUPE_IDS", 10)
    keyspace = built([Change(f"{number}", "k", b"") for number in range(20)])
    assert keyspace.apply(Change("15", "k", b"")) == ChangeApplied(16)
    assert keyspace.apply(Change("14", "k", b"")) == ChangeApplied(21)
    for number in range(100):
        keyspace.apply(Change(f"rejected-{number}", "k", b"", 1))
    assert len(keyspace._decisions) == 10


@pytest.mark.parametrize(("revision", "known"), [(0, False), (4, False), (5, True), (9, True), (10, False)])
def test_no_delta_after_compacted_or_future_revision(revision: int, known: bool) -> None:
    """A delta after a compacted revision would lack deleted keys; one after a future revision has no base."""
    keyspace = built([Change(f"{number}", f"{number}", None) for number in range(9)], keep=4)
    assert (keyspace.delta_after(revision) is not None) is known
    assert keyspace.state().entries == () and len(keyspace._entries) == 4


@pytest.mark.parametrize("data", [b"", b"junk", Keyspace().snapshot() + b"x", b"\x95\x02\x00\x00\x90\x90"])
def test_restore_rejects_invalid_snapshot(data: bytes) -> None:
    """Bytes that are no snapshot, or one of another version, must not become a state."""
    with pytest.raises(SnapshotError):
        Keyspace.restore(data)
