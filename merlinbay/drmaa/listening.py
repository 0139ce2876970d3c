"""The calls of events: the long poll with a cursor, and listeners that are called back."""

from __future__ import annotations

import secrets

import msgspec

from merlinbay.batch.errors import invalid_argument, unsupported
from merlinbay.batch.jobs import JobSession
from merlinbay.drmaa import schema
from merlinbay.drmaa.answers import Call, ok
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.shared_state import SharedState
from merlinbay.http.connection import Response
from merlinbay.notify import signing
from merlinbay.notify.hub import EventHub, wanted_of
from merlinbay.notify.journal import JournalEntry, JournalPage, SessionStream
from merlinbay.notify.listeners import CallbackBatch, EventListener

KEY = 32
WAIT_MOST = 60.0  # seconds that a poll without a timeout may wait


class RegisterListener(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a registration."""

    url: str
    events: list[str] = []
    cursor: str = ""
    key: str = ""  # whsec_...; none: one is made


_register = msgspec.json.Decoder(RegisterListener).decode


class ListeningCalls:
    """The calls below ``S/events`` and ``S/listeners``."""

    def __init__(self, front: SharedState) -> None:
        self.front = front

    def take(self, incoming: IncomingCall, session: JobSession, parts: list[str]) -> Response | Call:
        """Answer a call. Raises ``DrmaaError``."""
        hub, account = self.front.hub, incoming.grant.account
        if hub is None:
            raise unsupported("events are not kept here")
        match incoming.request.method, parts:
            case "GET", ["events"]:
                return self._poll(incoming, hub, session)
            case "POST", ["listeners"]:
                return self._register(incoming, hub, session)
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
                hub.listeners.rotate(found, key, incoming.now)
                return ok({**listener_info(found), "key": signing.write_key(key)})
        raise unsupported(f"{incoming.request.method} {incoming.request.target[:200]}")

    def _poll(self, incoming: IncomingCall, hub: EventHub, session: JobSession) -> Call:
        limit, timeout = incoming.page_limit(), incoming.timeout()
        wanted = wanted_of(
            incoming.query.get("event", []),
            incoming.grant.account,
            incoming.query.get("job", [""])[0],
        )
        call = incoming.later(self.front.clock)
        hub.poll(
            call,
            session.name,
            incoming.query.get("after", [""])[0],
            limit,
            wanted,
            incoming.until_us(min(WAIT_MOST if timeout is None else timeout, 3600.0)),
            incoming.now,
        )
        return call

    def _register(self, incoming: IncomingCall, hub: EventHub, session: JobSession) -> Response:
        try:
            wish = _register(incoming.request.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise invalid_argument(str(error)) from None
        try:
            key = signing.read_key(wish.key) if wish.key else secrets.token_bytes(KEY)
        except ValueError as error:
            raise invalid_argument(f"key: {error}") from None
        account = incoming.grant.account
        found = hub.register(
            session.name, wish.url, wanted_of(wish.events, account), key, wish.cursor, account or ""
        )
        self.front.counters.add("listeners_registered")
        return ok({**listener_info(found), "key": signing.write_key(key)}, 201)


def listener_info(listener: EventListener) -> dict[str, object]:
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


def event_text(entry: JournalEntry, session: str) -> bytes:
    """Write one event, once."""
    if not entry.text:
        value: dict[str, object] = {
            "number": entry.number,
            "event": entry.news,
            "sessionName": session,
            "jobId": entry.job,
            "jobState": entry.state,
            "time": schema.when(entry.at_us),
        }
        if entry.machine:
            value["machine"] = entry.machine
        if entry.account:
            value["accountingId"] = entry.account
        if entry.members != 1:
            value["members"] = entry.members
        entry.text = schema.write(value)
    return entry.text


def events_of(
    stream: SessionStream, entries: list[JournalEntry], upto: int, missed: int
) -> dict[str, object]:
    """Return what a poll's answer and a call-back have in common."""
    return {
        "sessionName": stream.session,
        "cursor": stream.cursor(upto),
        "missed": missed,
        "events": [msgspec.Raw(event_text(entry, stream.session)) for entry in entries],
    }


def page(stream: SessionStream, found: JournalPage) -> Response:
    """Return a poll's answer."""
    return ok(events_of(stream, found.entries, found.upto, found.missed))


def write_batch(batch: CallbackBatch) -> bytes:
    """Write a call-back's body."""
    stream = batch.listener.stream
    return schema.write(
        {
            "type": "drmaa2.events",
            "listenerId": batch.listener.id,
            **events_of(stream, batch.entries, batch.upto, batch.missed),
        }
    )
