"""The operators' calls of a control process: JSON over HTTP.

The leader answers writes and linearizable reads; every other process redirects them. A call with invalid
arguments is answered with status 400.

===============================  ======================================================================
``GET /control/status``          the status of this process
``GET /control/keys/KEY``        one key, linearizable; ``?local=1``: from this process's copy, with its age
``GET /control/keys?prefix=P``   all keys below a prefix, from this process's copy, with their age
``GET /control/watch?after=R``   changes after a revision, as soon as there are any; only at voters
``POST /control/changes``        propose a change; repeat it with the same ``change_id``
``GET, POST /control/voters``    list the voters of the leader; add and remove one
``POST /control/transfer``       transfer the leadership
===============================  ======================================================================
"""

from __future__ import annotations

from itertools import count
from urllib.parse import parse_qs, unquote

import msgspec

from merlinbay.control_service.call_messages import KeyListing, error_answer, json_answer
from merlinbay.control_service.machines import MachineDirectory
from merlinbay.control_service.schema import InvalidValueError
from merlinbay.control_service.status import ProcessStatus
from merlinbay.http.connection import Connection, Request, Response


class InvalidCallError(Exception):
    """A call has invalid arguments. The text names the argument and the cause."""


class OperatorCalls:
    """Handles the calls below ``/control`` that every control process answers."""

    def __init__(self, machines: MachineDirectory) -> None:
        self.machines = machines
        self._next_voter = count()

    def status(self) -> ProcessStatus:
        """Return the process's status."""
        raise NotImplementedError

    async def keys(self) -> KeyListing:
        """Return all keys of this process's copy."""
        raise NotImplementedError

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a call."""
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")[1:]]
        options = {key: values[0] for key, values in parse_qs(query).items()}
        try:
            if (request.method, parts) == ("GET", ["status"]):
                return json_answer(self.status())
            if request.method == "GET" and parts[:1] == ["keys"] and (len(parts) == 1 or "local" in options):
                prefix = "/".join(parts[1:]) or options.get("prefix", "")
                return json_answer(await self._keys_below(prefix, exact=len(parts) > 1))
            return await self.voters_call(request, parts, options)
        except (InvalidValueError, InvalidCallError, msgspec.MsgspecError, ValueError) as error:
            return error_answer(400, str(error), reason="invalid")

    async def _keys_below(self, prefix: str, exact: bool) -> KeyListing:
        listing = await self.keys()
        matching = [
            entry
            for entry in listing.entries
            if entry.key == prefix or (not exact and entry.key.startswith(prefix))
        ]
        return KeyListing(listing.revision, listing.age_s, sorted(matching, key=lambda entry: entry.key))

    async def voters_call(self, request: Request, parts: list[str], options: dict[str, str]) -> Response:
        """Answer a call that needs a voter by redirecting it, to each voter in turn."""
        voters = self.machines.voters_operators()
        if not voters:
            return error_answer(503, "this process knows no operators' address of a voter", retry=False)
        return self.redirect(voters[next(self._next_voter) % len(voters)], request)

    def redirect(self, operator: str, request: Request) -> Response:
        """Redirect the same call to another machine."""
        location = f"http://{operator}{request.target}".encode()
        return Response(307, b"", [(b"location", location)])

    def client_disconnected(self, connection: Connection) -> None:
        """Do nothing: a proposed change is decided even after its caller has disconnected."""
