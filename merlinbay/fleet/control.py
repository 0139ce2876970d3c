"""The operators' HTTP calls below ``/fleet``, with answers in JSON.

They list members and events, explain a member's health, and order a join, a leave, or a forced epoch.
"""

from __future__ import annotations

from urllib.parse import parse_qs, unquote

import msgspec
import trio

from merlinbay.fleet.epoch_messages import Epoch
from merlinbay.fleet.epochs import node_of
from merlinbay.fleet.members import Member
from merlinbay.fleet.net import FleetNet
from merlinbay.http.connection import Connection, Request, Response

JSON = (b"content-type", b"application/json")
EVENTS_TIMEOUT_S = 30.0  # longest wait of a call for the next event


def _json(value: object, status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(value), [JSON])


def _epoch_row(epoch: Epoch) -> dict[str, object]:
    return {"number": epoch.number, "members": [node_of(voter) for voter in epoch.members]}


def member_row(member: Member, now_s: float) -> dict[str, object]:
    """Return a member as the operators' calls show it."""
    state = member.state
    return {
        "name": state.name,
        "health": state.health.name.lower(),
        "addr": state.addr,
        "zone": state.zone,
        "incarnation": state.incarnation,
        "speaks": list(state.versions),
        "draining": state.is_draining,
        "tags": state.tags,
        "gauges": state.gauges,
        "for_s": round(now_s - member.health_since_s, 1),
    }


class FleetControl:
    """Handles the operators' calls below ``/fleet``."""

    def __init__(self, net: FleetNet) -> None:
        self._net = net
        self._events_added = trio.Event()  # set for new events, and then replaced
        self._event_count = 0
        net.on_change.append(self._notify)

    def _notify(self) -> None:
        """Wake the calls that wait for events if there are new ones."""
        event_count = self._net.first_event_number + len(self._net.events)
        if event_count != self._event_count:
            self._event_count = event_count
            self._events_added.set()
            self._events_added = trio.Event()

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Return the response to a call."""
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")[1:]]
        parameters = {key: values[0] for key, values in parse_qs(query).items()}
        match request.method, parts:
            case "GET", ["members"]:
                return self._members()
            case "GET", ["events"]:
                return await self._events(parameters.get("after", "0"))
            case "GET", ["explain", name]:
                return self._explain(name)
            case "POST", ["join"] if "addr" in parameters:
                self._net.view.join(parameters["addr"])
                self._net.flush()
                return _json({"joining": parameters["addr"]})
            case "POST", ["epoch"] if "lose" in parameters:
                return self._force_epoch(tuple(name for name in parameters["lose"].split(",") if name))
            case "POST", ["leave"]:
                self._net.view.leave()
                self._net.flush()
                return _json({"left": self._net.view.local.name})
        return _json({"error": "no such call"}, 404)

    def _members(self) -> Response:
        view, now_s = self._net.view, trio.current_time()
        epoch = view.epochs.consensus.epoch if view.epochs is not None else Epoch()
        return _json(
            {
                "me": view.local.name,
                "local_health": view.local.health_score,
                "yielded": view.local.is_silenced,
                "epoch": _epoch_row(epoch),
                "members": [member_row(member, now_s) for _, member in sorted(view.table.members.items())],
            }
        )

    def _explain(self, name: str) -> Response:
        member, now_s = self._net.view.table.members.get(name), trio.current_time()
        if member is None:
            return _json({"error": f"no member {name!r} is known"}, 404)
        return _json(
            {
                **member_row(member, now_s),
                "confirmed": sorted(member.accusers),
                "why": [{"ago_s": round(now_s - at_s, 1), "what": text} for at_s, text in member.history],
            }
        )

    def _force_epoch(self, lost: tuple[str, ...]) -> Response:
        epochs = self._net.view.epochs
        if epochs is None:
            return _json({"error": "epochs are off: fleet.data is not set"}, 409)
        try:
            epoch = epochs.force(lost)
        except ValueError as error:
            return _json({"error": str(error)}, 409)
        except OSError as error:
            return _json({"error": f"not stored: {error.strerror}"}, 503)
        self._net.flush()
        return _json(_epoch_row(epoch))

    async def _events(self, after: str) -> Response:
        """Return the events from a number on; if there are none, wait for the next one."""
        if not after.isdigit():
            return _json({"error": "after must be the number of an event"}, 400)
        net, requested = self._net, int(after)
        with trio.move_on_after(EVENTS_TIMEOUT_S):
            while requested >= net.first_event_number + len(net.events):
                await self._events_added.wait()
        first, now_s = max(requested, net.first_event_number), trio.current_time()
        events = [
            {
                "ago_s": round(now_s - event.at_s, 2),
                "what": event.kind,
                "name": event.subject,
                "text": event.text,
            }
            for event in net.events[first - net.first_event_number :]
        ]
        return _json({"next": first + len(events), "missed": max(first - requested, 0), "events": events})

    def client_disconnected(self, connection: Connection) -> None:
        """Do nothing, because no state is kept for a connection."""
