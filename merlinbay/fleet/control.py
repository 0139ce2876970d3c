"""The operators' calls: members, events, why one is believed dead, join and leave. HTTP, JSON."""

from __future__ import annotations

from urllib.parse import parse_qs, unquote

import msgspec
import trio

from merlinbay.fleet.agreeing import AgreeingView
from merlinbay.fleet.epochs import Epoch, name_of
from merlinbay.fleet.members import Member
from merlinbay.fleet.net import FleetNet
from merlinbay.http.connection import Connection, Request, Response

JSON = (b"content-type", b"application/json")
WAIT_S = 30.0  # a call for events waits so long for the next one


def _ok(value: object, status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(value), [JSON])


def row(member: Member, now: float) -> dict[str, object]:
    """Return a member's line."""
    claim = member.claim
    return {
        "name": claim.name,
        "health": claim.health.name.lower(),
        "addr": claim.addr,
        "zone": claim.zone,
        "incarnation": claim.incarnation,
        "speaks": list(claim.speaks),
        "draining": claim.draining,
        "tags": claim.tags,
        "gauges": claim.gauges,
        "for_s": round(now - member.since, 1),
    }


class FleetControl:
    """Handles the paths below ``/fleet``."""

    def __init__(self, net: FleetNet) -> None:
        self.net, self.news = net, trio.Event()
        net.changed.append(self._wake)
        self.seen = 0

    def _wake(self) -> None:
        last = self.net.first + len(self.net.events)
        if last != self.seen:
            self.seen = last
            self.news.set()
            self.news = trio.Event()

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a call."""
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")[1:]]
        asked = {key: values[0] for key, values in parse_qs(query).items()}
        view, now = self.net.view, trio.current_time()
        match request.method, parts:
            case "GET", ["members"]:
                rows = [row(member, now) for _, member in sorted(view.members.items())]
                epoch = view.epochs.epoch if isinstance(view, AgreeingView) else Epoch()
                about = {"number": epoch.number, "members": [name_of(one) for one in epoch.members]}
                return _ok(
                    {
                        "me": view.me.name,
                        "local_health": view.sick,
                        "yielded": view.yielded,
                        "epoch": about,
                        "members": rows,
                    }
                )
            case "GET", ["events"]:
                return await self._events(asked.get("after", "0"))
            case "GET", ["explain", name]:
                member = view.members.get(name)
                if member is None:
                    return _ok({"error": f"no member {name!r} is known"}, 404)
                return _ok(
                    {
                        **row(member, now),
                        "confirmed": sorted(member.confirmed),
                        "why": [{"ago_s": round(now - at, 1), "what": text} for at, text in member.why],
                    }
                )
            case "POST", ["join"] if "addr" in asked:
                view.join(asked["addr"])
                self.net.after()
                return _ok({"joining": asked["addr"]})
            case "POST", ["epoch"] if "lose" in asked:
                return self._force(tuple(name for name in asked["lose"].split(",") if name))
            case "POST", ["leave"]:
                view.leave()
                self.net.after()
                return _ok({"left": view.me.name})
        return _ok({"error": "no such call"}, 404)

    def _force(self, lost: tuple[str, ...]) -> Response:
        view = self.net.view
        if not isinstance(view, AgreeingView):
            return _ok({"error": "epochs are off: fleet.data is not set"}, 409)
        try:
            epoch = view.force(lost)
        except ValueError as error:
            return _ok({"error": str(error)}, 409)
        except OSError as error:
            return _ok({"error": f"not stored: {error.strerror}"}, 503)
        self.net.after()
        return _ok({"number": epoch.number, "members": [name_of(one) for one in epoch.members]})

    async def _events(self, after: str) -> Response:
        if not after.isdigit():
            return _ok({"error": "after is a number"}, 400)
        with trio.move_on_after(WAIT_S):
            while int(after) >= self.net.first + len(self.net.events):
                await self.news.wait()
        first, now = max(int(after), self.net.first), trio.current_time()
        found = [
            {"ago_s": round(now - event.at, 2), "what": event.what, "name": event.name, "text": event.text}
            for event in self.net.events[first - self.net.first :]
        ]
        return _ok(
            {
                "next": first + len(found),
                "missed": first - int(after) if int(after) < first else 0,
                "events": found,
            }
        )

    def client_disconnected(self, connection: Connection) -> None:
        """Nothing is kept for a caller."""
