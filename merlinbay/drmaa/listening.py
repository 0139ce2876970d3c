"""The calls of events: the long poll with a cursor, and listeners that are called back."""

from __future__ import annotations

import secrets

import msgspec

from merlinbay.batch.errors import invalid_argument, unsupported
from merlinbay.batch.jobs import Session
from merlinbay.drmaa import words
from merlinbay.drmaa.answers import Call, ok
from merlinbay.drmaa.asks import Ask
from merlinbay.drmaa.hall import Hall
from merlinbay.http.connection import Response
from merlinbay.notify import signing
from merlinbay.notify.hub import Hub, wanted_of
from merlinbay.notify.journal import Entry, Page, Stream
from merlinbay.notify.listeners import Batch, Listener

KEY = 32
WAIT_MOST = 60.0  # seconds that a poll without a timeout may wait


class Register(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a registration."""

    url: str
    events: list[str] = []
    cursor: str = ""
    key: str = ""  # whsec_...; none: one is made


_register = msgspec.json.Decoder(Register).decode


class ListeningCalls:
    """The calls below ``S/events`` and ``S/listeners``."""

    def __init__(self, front: Hall) -> None:
        self.front = front

    def take(self, ask: Ask, session: Session, parts: list[str]) -> Response | Call:
        """Answer a call. Raises ``DrmaaError``."""
        hub, account = self.front.hub, ask.grant.account
        if hub is None:
            raise unsupported("events are not kept here")
        match ask.request.method, parts:
            case "GET", ["events"]:
                return self._poll(ask, hub, session)
            case "POST", ["listeners"]:
                return self._register(ask, hub, session)
            case "GET", ["listeners"]:
                return ok(
                    {
                        "listeners": [
                            listener_info(found)
                            for found in hub.listeners.all.values()
                            if found.stream.session == session.name
                            and not found.stream.ended
                            and account in (None, found.owner)
                        ]
                    }
                )
            case "GET", ["listeners", listener_id]:
                return ok(listener_info(hub.listener(session.name, listener_id, account)))
            case "DELETE", ["listeners", listener_id]:
                found = hub.listener(session.name, listener_id, account)
                hub.listeners.remove(found)
                return ok(listener_info(found))
            case "POST", ["listeners", listener_id, "rotate"]:
                found, key = hub.listener(session.name, listener_id, account), secrets.token_bytes(KEY)
                hub.listeners.rotate(found, key, ask.now)
                return ok({**listener_info(found), "key": signing.write_key(key)})
        raise unsupported(f"{ask.request.method} {ask.request.target[:200]}")

    def _poll(self, ask: Ask, hub: Hub, session: Session) -> Call:
        limit, timeout = ask.page_limit(), ask.timeout()
        wanted = wanted_of(ask.query.get("event", []), ask.grant.account, ask.query.get("job", [""])[0])
        call = ask.later(self.front.clock)
        hub.poll(
            call,
            session.name,
            ask.query.get("after", [""])[0],
            limit,
            wanted,
            ask.until_us(min(WAIT_MOST if timeout is None else timeout, 3600.0)),
            ask.now,
        )
        return call

    def _register(self, ask: Ask, hub: Hub, session: Session) -> Response:
        try:
            wish = _register(ask.request.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise invalid_argument(str(error)) from None
        try:
            key = signing.read_key(wish.key) if wish.key else secrets.token_bytes(KEY)
        except ValueError as error:
            raise invalid_argument(f"key: {error}") from None
        account = ask.grant.account
        found = hub.register(
            session.name, wish.url, wanted_of(wish.events, account), key, wish.cursor, account or ""
        )
        self.front.counters.add("listeners_registered")
        return ok({**listener_info(found), "key": signing.write_key(key)}, 201)


def listener_info(listener: Listener) -> dict[str, object]:
    """Return what is told of a listener; never its key."""
    return {
        "listenerId": listener.id,
        "url": listener.url,
        "events": sorted(listener.wanted.news),
        "state": listener.state,
        "cursor": listener.stream.cursor(listener.after),
        "delivered": listener.delivered,
        "missed": listener.missed,
        "failures": listener.failures,
        "lastFailure": listener.why,
        "behind": listener.stream.last - listener.after,
    }


def event_text(entry: Entry, session: str) -> bytes:
    """Write one event, once."""
    if not entry.text:
        value: dict[str, object] = {
            "number": entry.number,
            "event": entry.news,
            "sessionName": session,
            "jobId": entry.job,
            "jobState": entry.state,
            "time": words.when(entry.at_us),
        }
        if entry.machine:
            value["machine"] = entry.machine
        if entry.account:
            value["accountingId"] = entry.account
        if entry.members != 1:
            value["members"] = entry.members
        entry.text = words.write(value)
    return entry.text


def events_of(stream: Stream, entries: list[Entry], upto: int, missed: int) -> dict[str, object]:
    """Return what a poll's answer and a call-back have in common."""
    return {
        "sessionName": stream.session,
        "cursor": stream.cursor(upto),
        "missed": missed,
        "events": [msgspec.Raw(event_text(entry, stream.session)) for entry in entries],
    }


def page(stream: Stream, found: Page) -> Response:
    """Return a poll's answer."""
    return ok(events_of(stream, found.entries, found.upto, found.missed))


def write_batch(batch: Batch) -> bytes:
    """Write a call-back's body."""
    stream = batch.listener.stream
    return words.write(
        {
            "type": "drmaa2.events",
            "listenerId": batch.listener.id,
            **events_of(stream, batch.entries, batch.upto, batch.missed),
        }
    )
