"""Events without sockets: what is kept, who is told what and when, and what a listener may believe."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.batch.errors import DrmaaError
from merlinbay.batch.timers import TimerQueue
from merlinbay.notify import signing
from merlinbay.notify.hub import EventHub, PollAnswer, wanted_of
from merlinbay.notify.journal import EventFilter, EventJournal, JobEventKind, JournalGapError
from merlinbay.notify.listeners import CallbackBatch, EventListener, ListenerLimits
from merlinbay.notify.targets import AllowedTargets, TargetError

ALL = EventFilter()
MS = 1000
OWN = (("10.0.0.1", 8080),)


def made(most: int = 1000, bounds: ListenerLimits | None = None, polls: int = 10) -> EventHub:
    """Return a hub whose ids count up."""
    count = iter(range(10**6))
    allowed = AllowedTargets.read(["10.0.0.0/24", "10.9.0.0/16:9000"], OWN)
    return EventHub(
        EventJournal(most, 10**9, lambda: f"s{next(count)}"),
        bounds or ListenerLimits(),
        polls,
        allowed,
        TimerQueue(),
        lambda: f"l{next(count)}",
        Random(7),
    )


def tell(hub: EventHub, number: int, account: str = "a", session: str = "q") -> None:
    """Have so many jobs change."""
    for job in range(number):
        hub.tell(session, JobEventKind.NEW_STATE, f"j{job}", "RUNNING", account, 1)


def listen(hub: EventHub, port: int = 1, account: str | None = None, cursor: str = "") -> EventListener:
    """Register one."""
    return hub.register("q", f"http://10.0.0.7:{port}/x", wanted_of([], account), b"k" * 24, cursor, "")


def batches(hub: EventHub, now: int = 0) -> list[CallbackBatch]:
    """Return the call-backs that are to be made."""
    return [found for found in hub.take(now) if isinstance(found, CallbackBatch)]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(["a", "b"]), max_size=60),
    st.integers(1, 30),
    st.integers(1, 7),
    st.integers(0, 70),
    st.sampled_from(["a", None]),
)
def test_a_reader_gets_every_kept_event_once_in_order_and_is_told_of_the_rest(
    accounts: list[str], most: int, limit: int, after: int, account: str | None
) -> None:
    """Against a plain list, whatever the bound, the page and the place to begin."""
    journal = EventJournal(most, 10**9, lambda: "s")
    stream = journal.open("q")
    for number, owner in enumerate(accounts):
        journal.add("q", JobEventKind.NEW_STATE, f"j{number}", "QUEUED", owner, number)
    kept = list(enumerate(accounts, 1))[-most:]
    after = min(after, len(accounts))
    got, missed, at = [], 0, after
    while at < stream.last:
        page = stream.since(at, limit, 5, EventFilter(account=account))
        assert page.upto > at and len(page.entries) <= limit
        got += [entry.number for entry in page.entries]
        missed, at = missed + page.missed, page.upto
    assert got == [number for number, owner in kept if number > after and account in (None, owner)]
    assert missed == max(0, len(accounts) - most - after)
    assert len(journal.order) == len(kept)


def test_the_bytes_of_events_are_bounded_too() -> None:
    """Long names of accounts push others out."""
    journal = EventJournal(10**6, 100_000, lambda: "s")
    for number in range(300):
        journal.add("q", JobEventKind.NEW_STATE, f"j{number}", "QUEUED", "x" * 2000, 0)
    assert journal.bytes <= 100_000 and len(journal.order) < 30
    assert journal.dropped == 300 - len(journal.order)


@pytest.mark.parametrize("cursor", ["", "s", "s.", "s.9", "s.-1", "t.1", "s.1x", "s." + "1" * 30])
def test_a_cursor_that_was_never_given_out_is_refused(cursor: str) -> None:
    """Another stream's, a later one, and nonsense."""
    journal = EventJournal(9, 10**9, lambda: "s")
    journal.add("q", JobEventKind.NEW_STATE, "j", "QUEUED", "", 0)
    assert journal.open("q").number("s.1") == 1
    with pytest.raises(JournalGapError):
        journal.open("q").number(cursor)


def test_a_poll_waits_for_what_it_wants_and_its_time_ends() -> None:
    """Another account's event and another job's do not wake it; at the end it learns how far it is."""
    hub = made()
    hub.poll("c", "q", "", 9, wanted_of([], "a", "arr"), 500 * MS, 0)
    tell(hub, 2, "b")
    hub.tell("q", JobEventKind.NEW_STATE, "arr.4", "DONE", "b", 0)
    hub.tell("q", JobEventKind.NEW_STATE, "array", "DONE", "a", 0)
    assert hub.take(0) == []
    hub.tell("q", JobEventKind.NEW_STATE, "arr.4", "DONE", "a", 0)
    (answer,) = hub.take(0)
    assert isinstance(answer, PollAnswer) and [e.number for e in answer.page.entries] == [5]
    hub.poll("d", "q", answer.stream.cursor(answer.page.upto), 9, ALL, 500 * MS, 0)
    hub.timers.run(500 * MS)
    (late,) = hub.take(500 * MS)
    assert isinstance(late, PollAnswer) and (late.call, late.page.entries, late.page.upto) == ("d", [], 5)
    assert not hub.polls and not hub.waiting


def test_polls_are_bounded_and_forgotten() -> None:
    """One more than may wait is refused with when to come back; a caller that left makes room."""
    hub = made(polls=2)
    for name in ("c", "d"):
        hub.poll(name, "q", "", 9, ALL, 10**9, 0)
    with pytest.raises(DrmaaError) as refused:
        hub.poll("e", "q", "", 9, ALL, 10**9, 0)
    assert refused.value.name == "TryLaterException" and refused.value.retry_after_us
    hub.forget("c")
    hub.poll("e", "q", "", 9, ALL, 10**9, 0)
    tell(hub, 1)
    assert [answer.call for answer in hub.take(0) if isinstance(answer, PollAnswer)] == ["d", "e"]


def test_a_registration_that_crosses_an_event_gets_it_once() -> None:
    """What came before the registration is not sent, what came after is; a cursor reaches back."""
    hub = made()
    tell(hub, 3)
    late, early = listen(hub, 1), listen(hub, 2, cursor=hub.journal.open("q").cursor(1))
    hub.tell("q", JobEventKind.MIGRATED, "j9", "RUNNING", "a", 0)
    assert {batch.listener: [e.number for e in batch.entries] for batch in batches(hub)} == {
        late: [4],
        early: [2, 3, 4],
    }


def test_a_repeat_is_the_same_call_back_and_order_holds() -> None:
    """Until a batch is taken nothing later goes out; its id and its events do not change."""
    hub = made(bounds=ListenerLimits(batch=2))
    listener = listen(hub)
    tell(hub, 2)
    (first,) = batches(hub)
    tell(hub, 5)
    assert batches(hub) == []  # one at a time
    hub.listeners.failed(first, "x", 0)
    assert batches(hub) == []  # not before its time
    hub.timers.run(10**9)
    (again,) = batches(hub, 10**9)
    assert again.name == first.name == "l1.1-2" and again.entries == first.entries
    numbers = []
    while True:
        numbers += [entry.number for entry in again.entries]
        hub.listeners.delivered(again, 1, 0)
        if not (more := batches(hub)):
            break
        again = more[0]
    assert numbers == [1, 2, 3, 4, 5, 6, 7] and listener.after == 7


def test_what_a_slow_listener_misses_is_said_and_costs_no_memory() -> None:
    """10,000 events for one that does not answer: 50 are kept, and the number of the others is told."""
    hub = made(most=50)
    listener = listen(hub)
    tell(hub, 10_000)
    (batch,) = batches(hub)
    assert (batch.missed, [e.number for e in batch.entries]) == (9950, list(range(9951, 10_001)))
    assert len(hub.journal.order) == 50 and len(hub.journal.open("q").entries) <= 200
    hub.listeners.delivered(batch, 1, 0)
    assert listener.missed == 9950


def test_a_thousand_dead_listeners_cost_the_good_one_nothing() -> None:
    """Each round the good one's events go out, whatever the dead hold; those come back ever less often."""
    hub = made(bounds=ListenerLimits(quick=2, trial=4))
    good = listen(hub, 1)
    tell(hub, 1)
    (batch,) = batches(hub)
    hub.listeners.delivered(batch, 1, 0)
    dead = [listen(hub, port) for port in range(2, 1001)]
    held: list[CallbackBatch] = []
    tries = 0
    for step in range(300):
        now = step * 100 * MS
        for batch in held[:2]:  # a dead one holds its place for a while
            hub.listeners.failed(batch, "no answer", now)
        held = held[2:]
        hub.timers.run(now)
        tell(hub, 1)
        out = batches(hub, now)
        assert [b.listener for b in out if b.listener is good]
        for batch in out:
            if batch.listener is good:
                hub.listeners.delivered(batch, 1, now)
            else:
                tries += 1
                held.append(batch)
        assert len(held) <= 4
    assert good.delivered == 301 and len(dead) == 999 and tries > 300


def test_failures_are_repeated_later_and_later_and_given_up() -> None:
    """Half a second, doubling, drawn apart; the listener's wish counts; after its time it is dropped."""
    hub = made(bounds=ListenerLimits(again_us=500 * MS, again_most_us=8000 * MS, give_up_us=60_000 * MS))
    listener, now, waits = listen(hub), 0, []
    tell(hub, 1)
    while out := batches(hub, now):
        hub.listeners.failed(out[0], "x", now)
        if listener.id not in hub.listeners.all:
            break
        waits.append(listener.due_us - now)
        now = listener.due_us
        hub.timers.run(now)
    assert all(250 * MS * min(2**n, 16) <= wait <= 500 * MS * min(2**n, 16) for n, wait in enumerate(waits))
    assert now >= 60_000 * MS and hub.listeners.dropped == 1 and not hub.listeners.of
    asked = listen(hub)
    tell(hub, 1)
    hub.listeners.failed(batches(hub, now)[0], "x", now, wait_us=5000 * MS)
    assert asked.due_us == now + 5000 * MS
    hub.timers.run(asked.due_us)
    hub.listeners.failed(batches(hub, now)[0], "gone", now, gone=True)
    assert asked.id not in hub.listeners.all


def test_a_destroyed_session_ends_polls_and_listeners_get_the_rest() -> None:
    """The last events go out, then the listener goes; a session of the same name is another."""
    hub = made()
    listener = listen(hub)
    hub.poll("c", "q", "", 9, wanted_of([], "nobody"), 10**9, 0)
    tell(hub, 1)
    old = hub.journal.open("q").cursor(1)
    hub.close("q")
    answer, batch = hub.take(0)
    assert isinstance(answer, PollAnswer) and answer.call == "c" and isinstance(batch, CallbackBatch)
    hub.listeners.delivered(batch, 1, 0)
    assert listener.id not in hub.listeners.all
    with pytest.raises(DrmaaError):
        hub.poll("d", "q", old, 9, ALL, 0, 0)


def test_both_keys_sign_while_they_are_changed() -> None:
    """A receiver with either key believes it, until the old one's time is over."""
    hub = made(bounds=ListenerLimits(overlap_us=1000 * MS))
    listener = listen(hub)
    hub.listeners.rotate(listener, b"n" * 24, 0)
    for now, old_good in ((0, True), (1000 * MS, False)):
        tell(hub, 1)
        (batch,) = batches(hub, now)
        heads = dict(signing.headers(batch.keys, batch.name, 100, b"body"))
        assert signing.Verifier([b"n" * 24]).verify(heads, b"body", 100)
        if old_good:
            assert signing.Verifier([b"k" * 24]).verify(heads, b"body", 100)
        else:
            with pytest.raises(signing.SignatureError):
                signing.Verifier([b"k" * 24]).verify(heads, b"body", 100)
        hub.listeners.delivered(batch, 1, now)


def test_the_signature_is_that_of_the_published_form() -> None:
    """The example of the Standard Webhooks specification's reference libraries."""
    key = signing.read_key("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw")
    body = b'{"test": 2432232314}'
    assert signing.signature(key, "msg_p5jXN8AQM9LWM0D4loKWxJek", 1614265330, body) == (
        "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="
    )


@pytest.mark.parametrize(
    "change",
    [
        {"webhook-id": "other"},
        {"webhook-timestamp": "101"},
        {"webhook-timestamp": "99999"},
        {"webhook-id": ""},
        {"webhook-timestamp": "-1"},
        {"webhook-signature": ""},
        {"webhook-signature": "v1,AAAA"},
        {"webhook-signature": "v1,\u00e9"},
    ],
)
def test_what_is_not_signed_by_us_is_not_believed(change: dict[str, str]) -> None:
    """Nor what was changed, is old, or comes twice."""
    verifier = signing.Verifier([b"k" * 24])
    heads = dict(signing.headers([b"k" * 24], "id", 100, b"body"))
    assert verifier.verify(heads, b"body", 100)
    assert not verifier.verify(heads, b"body", 110)  # replayed
    with pytest.raises(signing.SignatureError):
        verifier.verify(heads, b"body!", 100)
    with pytest.raises(signing.SignatureError):
        verifier.verify({**heads, **change}, b"body", 100)


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from(["webhook-id", "webhook-timestamp", "webhook-signature"]), st.text()),
    st.binary(),
)
def test_no_header_breaks_the_verifier(heads: dict[str, str], body: bytes) -> None:
    """Whatever comes, nothing but the one exception is raised, and nothing is believed."""
    with pytest.raises(signing.SignatureError):
        signing.Verifier([b"k" * 24]).verify(heads, body, 100)


def test_a_verifier_forgets_only_what_is_too_old_to_be_replayed() -> None:
    """Its memory is bounded."""
    verifier = signing.Verifier([b"k" * 24], most=100)
    for number in range(500):
        heads = dict(signing.headers([b"k" * 24], f"m{number}", 100 + number * 10, b""))
        assert verifier.verify(heads, b"", 100 + number * 10)
    assert len(verifier.seen) <= 100


@pytest.mark.parametrize(
    ("url", "addr"),
    [
        ("http://10.0.0.7:81/x?y=1", "10.0.0.7:81"),
        ("http://10.0.0.7", "10.0.0.7:80"),
        ("http://10.9.3.3:9000/", "10.9.3.3:9000"),
        ("http://10.9.3.3:9001/", ""),
        ("http://10.0.1.7/", ""),
        ("https://10.0.0.7/", ""),
        ("http://host/", ""),
        ("http://10.0.0.1:8080/drmaa2", ""),
        ("http://0.0.0.0:8080/", ""),
        ("http://u:p@10.0.0.7/", ""),
        ("http://10.0.0.7:99999/", ""),
        ("http://10.0.0.7/#a", ""),
        ("http://10.0.0.7/a b", ""),
        ("", ""),
        ("http://10.0.0.7/\r\nx: y", ""),
        ("http://[::1]/", ""),
        ("http://012.0.0.7/", ""),
        ("file:///etc/passwd", ""),
        ("http://10.0.0.7/" + "x" * 3000, ""),
    ],
)
def test_call_backs_go_only_where_the_operator_allows(url: str, addr: str) -> None:
    """Never to the node's own address, never to a name."""
    allowed = AllowedTargets.read(["10.0.0.0/24", "10.9.0.0/16:9000", "0.0.0.0/32"], OWN)
    if addr:
        assert allowed.target(url).addr == addr
    else:
        with pytest.raises(TargetError):
            allowed.target(url)
