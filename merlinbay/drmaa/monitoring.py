"""The calls of the monitoring session (GFD.194, 9): jobs by filter, queues, machines."""

from __future__ import annotations

from merlinbay.batch.errors import invalid_argument, unsupported
from merlinbay.batch.jobs import Job
from merlinbay.core.messages import EndpointViewsRequested
from merlinbay.core.values import EndpointView
from merlinbay.drmaa import info
from merlinbay.drmaa.answers import Call, ok
from merlinbay.drmaa.incoming_call import IncomingCall
from merlinbay.drmaa.reserving import info as reservation_info
from merlinbay.drmaa.schema import when
from merlinbay.drmaa.shared_state import SharedState
from merlinbay.http.connection import Response


class MonitorCalls:
    """The calls below ``/drmaa2/monitor``."""

    def __init__(self, front: SharedState) -> None:
        self.front = front

    def take(self, incoming: IncomingCall, parts: list[str]) -> Response | Call:
        """Answer a call. Raises ``DrmaaError``."""
        match parts:
            case ["jobs"]:
                return self._jobs(incoming)
            case ["queues"]:
                return self._queues(incoming)
            case ["reservations"]:
                return self._reservations(incoming)
            case ["machines"]:
                return self._machines(incoming)
        raise unsupported(f"GET {incoming.request.target[:200]}")

    def _jobs(self, incoming: IncomingCall) -> Response:
        from merlinbay.monitor import filters, view  # Guards against a slow start: a grammar is built

        grant, text = incoming.grant, incoming.query.get("filter", [""])[0]
        try:
            test = filters.compiled(text, view.KINDS) if text else None
        except filters.FilterError as error:
            raise invalid_argument(f"filter: {error}") from None
        after, limit = incoming.page()

        def wanted(job: Job) -> bool:
            return grant.sees(job.what.account) and view.passes(test, job)

        sessions = [found for found in self.front.engine.sessions.values() if grant.sees(found.owner)]
        jobs, then = view.page(sessions, after, limit, wanted)
        full = incoming.query.get("full", [""])[0] == "true"
        rows = [info.job_info(job, self.front.machine) if full else info.job_brief(job) for job in jobs]
        return ok({"jobs": rows, **({"next": then} if then else {})})

    def _queues(self, incoming: IncomingCall) -> Response:
        names, engine = incoming.query.get("name", []), self.front.engine
        rows: list[dict[str, object]] = []
        for name, spec in self.front.rules.classes.items():
            if names and name not in names:
                continue
            row: dict[str, object] = {
                "name": name,
                "effect": spec.effect,
                "aim": spec.aim_us / 1e6,
                "deadline": spec.deadline_us / 1e6,
            }
            if incoming.grant.account is None:
                row["waiting"] = engine.pace.jobs_waiting(name)
            rows.append(row)
        return ok({"queues": rows})

    def _reservations(self, incoming: IncomingCall) -> Response:
        reserving, (after, limit) = (
            self.front.reserving,
            (incoming.query.get("after", [""])[0], incoming.page_limit()),
        )
        if reserving is None:
            raise unsupported("nothing is reserved here")
        found = sorted(
            name
            for name, row in reserving.book.all.items()
            if name > after and incoming.grant.sees(row.account)
        )
        more = {"next": found[limit - 1]} if len(found) > limit else {}
        rows = [reservation_info(reserving.book.all[name]) for name in found[:limit]]
        return ok({"reservations": rows, **more})

    def _machines(self, incoming: IncomingCall) -> Call:
        names = set(incoming.query.get("name", []))
        after, limit = incoming.query.get("after", [""])[0], incoming.page_limit()
        call = incoming.later(self.front.clock)

        def told(machines: list[EndpointView]) -> None:
            found = sorted(
                (row for row in machines if row.name > after and (not names or row.name in names)),
                key=lambda row: row.name,
            )
            more = {"next": found[limit - 1].name} if len(found) > limit else {}
            call.done(ok({"machines": [machine_info(row, incoming.now) for row in found[:limit]], **more}))

        self.front.post(EndpointViewsRequested(told))
        return call


def machine_info(row: EndpointView, now_us: int) -> dict[str, object]:
    """Return MachineInfo (GFD.194, 5.7), as far as it is known, and what the node believes."""
    found: dict[str, object] = {
        "name": row.name,
        "available": row.state == "up" and not row.out_until_us,
        "state": row.state,
        "zone": row.zone,
        "kind": row.kind,
        "slots": round(row.slots, 1),
        "held": row.held,
        "heldByOthers": round(row.others, 1),
        "load": round((row.held + row.others) / max(row.slots, 1), 3),
        "pace": round(row.pace, 3),
        "failures": row.failures,
    }
    if row.cold:
        found["cold"] = True
    if row.out_until_us:
        found["leftOut"] = {"why": row.why, "since": when(row.out_since_us), "until": when(row.out_until_us)}
    return found
