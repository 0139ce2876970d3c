"""The operators' calls of a control process: HTTP, JSON. Writes and reads are the leader's; others redirect.

===============================  ======================================================================
``GET /control/status``          this process's own view
``GET /control/keys/KEY``        one key, linearizable; ``?local=1``: this process's own, with its age
``GET /control/keys?prefix=P``   all keys below a prefix, this process's own, with their age
``GET /control/watch?after=R``   what changed after a revision, as soon as something has; a voter's call
``POST /control/changes``        propose a change; a repeat has the same ``change_id``
``GET, POST /control/voters``    the voters, as the leader has them; add and remove one
``POST /control/transfer``       hand leadership over
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
    """A call with invalid arguments; the text names argument and cause."""


class OperatorCalls:
    """The calls that every control process answers. Handles ``/control``."""

    def __init__(self, machines: MachineDirectory) -> None:
        self.machines = machines
        self._next_voter = count()

    def status(self) -> ProcessStatus:
        """Return the process's status."""
        raise NotImplementedError

    async def keys(self) -> KeyListing:
        """Return all keys of this process."""
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
        found = await self.keys()
        kept = [
            one for one in found.entries if one.key == prefix or (not exact and one.key.startswith(prefix))
        ]
        return KeyListing(found.revision, found.age_s, sorted(kept, key=lambda one: one.key))

    async def voters_call(self, request: Request, parts: list[str], options: dict[str, str]) -> Response:
        """Answer a call that needs a voter: redirect to the voters in turn."""
        voters = self.machines.voters_operators()
        if not voters:
            return error_answer(503, "no voter's operator address is known here", retry=False)
        return self.redirect(voters[next(self._next_voter) % len(voters)], request)

    def redirect(self, operator: str, request: Request) -> Response:
        """Redirect the same call to another machine."""
        location = f"http://{operator}{request.target}".encode()
        return Response(307, b"", [(b"location", location)])

    def client_disconnected(self, connection: Connection) -> None:
        """Do nothing when the caller disconnects: a proposed change is decided all the same."""
