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
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from merlinbay.control.entries import Change, ChangeApplied, ChangeRejected, ChangeResult, KeyValue
from merlinbay.control.keyspace import Keyspace
from merlinbay.control_service.machines import Machines
from merlinbay.control_service.schema import InvalidValueError, decode_value, encode_value
from merlinbay.control_service.status import ProcessStatus, rounded
from merlinbay.control_service.voter_host import VoterHost
from merlinbay.http.connection import Connection, Request, Response

JSON = (b"content-type", b"application/json")
WATCH_S = 20.0  # a call for changes waits so long for the next one
CHANGE_ID_BYTES = 128


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change, as operators propose it. ``value`` null deletes the key."""

    change_id: str
    key: str
    value: Any = None
    expected_revision: int | None = None


class VotersRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change of voters: one is added, removed, or takes another's place."""

    add: str | None = None
    remove: str | None = None


class Voters(msgspec.Struct):
    """The voters, as the leader has them."""

    leader: str
    term: int
    voters: tuple[str, ...]
    joining: tuple[str, ...]  # that catch up to become voters


class Applied(msgspec.Struct):
    """A change's answer."""

    revision: int


class Entry(msgspec.Struct):
    """One key for people; ``value`` null: deleted or absent."""

    key: str
    value: Any
    revision: int


class Entries(msgspec.Struct):
    """Keys as of a revision. ``age_s``: for how long they may be out of date; 0: they are the latest."""

    revision: int
    age_s: float | None
    entries: list[Entry]
    whole: bool = True  # all keys, not only those that changed


class Problem(msgspec.Struct):
    """Why a call came to nothing, and whether the same call may do later."""

    error: str
    retry: bool = False
    reason: str = ""
    current_revision: int = 0


class InvalidCallError(Exception):
    """A call that cannot be understood."""


def _answer(value: msgspec.Struct, status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(value), [JSON])


def _problem(status: int, error: str, **more: Any) -> Response:
    return _answer(Problem(error, **more), status)


def entry(found: KeyValue) -> Entry:
    """Return a key for people."""
    return Entry(found.key, None if found.value is None else decode_value(found.value), found.revision)


class OperatorCalls:
    """What every control process answers: its status, and where the voters are. Handles ``/control``."""

    def __init__(self, machines: Machines) -> None:
        self.machines = machines
        self._next_voter = count()

    def status(self) -> ProcessStatus:
        """Return the process's own view."""
        raise NotImplementedError

    async def keys(self) -> Entries:
        """Return all keys that this process has."""
        raise NotImplementedError

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Answer a call."""
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")[1:]]
        options = {key: values[0] for key, values in parse_qs(query).items()}
        try:
            if (request.method, parts) == ("GET", ["status"]):
                return _answer(self.status())
            if request.method == "GET" and parts[:1] == ["keys"] and (len(parts) == 1 or "local" in options):
                prefix = "/".join(parts[1:]) or options.get("prefix", "")
                return _answer(await self._keys_below(prefix, exact=len(parts) > 1))
            return await self.voters_call(request, parts, options)
        except (InvalidValueError, InvalidCallError, msgspec.MsgspecError, ValueError) as error:
            return _problem(400, str(error), reason="invalid")

    async def _keys_below(self, prefix: str, exact: bool) -> Entries:
        found = await self.keys()
        kept = [
            one for one in found.entries if one.key == prefix or (not exact and one.key.startswith(prefix))
        ]
        return Entries(found.revision, found.age_s, sorted(kept, key=lambda one: one.key))

    async def voters_call(self, request: Request, parts: list[str], options: dict[str, str]) -> Response:
        """Answer a call that a voter has to answer: here, send the caller to the voters in turn."""
        voters = self.machines.voters_operators()
        if not voters:
            return _problem(503, "no voter's operator address is known here", retry=False)
        return self.redirect(voters[next(self._next_voter) % len(voters)], request)

    def redirect(self, operator: str, request: Request) -> Response:
        """Send the caller to another machine with the same call."""
        location = f"http://{operator}{request.target}".encode()
        return Response(307, b"", [(b"location", location)])

    def client_disconnected(self, connection: Connection) -> None:
        """Take it that the caller hung up: what was proposed is decided all the same."""


class VoterCalls(OperatorCalls):
    """The calls that need a voter."""

    def __init__(self, host: VoterHost, machines: Machines) -> None:
        super().__init__(machines)
        self.host = host

    async def keys(self) -> Entries:
        """Return all keys that this voter has."""
        age = rounded(self.host.watches.age())
        return await self.host.watches.local(lambda keyspace: _all_keys(keyspace, age))

    async def voters_call(self, request: Request, parts: list[str], options: dict[str, str]) -> Response:
        """Answer as the leader, or send the caller there."""
        match request.method, parts:
            case "GET", ["keys", *_] if parts[1:]:
                return await self._read("/".join(parts[1:]), request)
            case "GET", ["watch"]:
                return await self._watch(int(options.get("after", "0")))
            case "POST", ["changes"]:
                return await self._change(msgspec.json.decode(request.body, type=ChangeRequest), request)
            case "GET", ["voters"]:
                return await self._list_voters(request)
            case "POST", ["voters"]:
                return await self._voters(msgspec.json.decode(request.body, type=VotersRequest), request)
            case "POST", ["transfer"]:
                if self.host.voter.leader != self.host.voter.name:
                    return self._to_leader(self.host.voter.leader, request)
                self.host.transfer_leadership()
                return _answer(Applied(self.host.watches.store.revision))
        return _problem(404, "no such call")

    async def _read(self, key: str, request: Request) -> Response:
        done = await self.host.read(key)
        if done.failed:
            return self._to_leader(done.leader, request)
        found = [] if done.value is None else [entry(done.value)]
        return _answer(Entries(done.revision, 0.0, found))

    async def _change(self, wanted: ChangeRequest, request: Request) -> Response:
        if not 1 <= len(wanted.change_id.encode()) <= CHANGE_ID_BYTES:
            raise InvalidCallError(f"change_id: 1 to {CHANGE_ID_BYTES} bytes")
        value = None if wanted.value is None else encode_value(wanted.key, wanted.value)
        change = Change(wanted.change_id, wanted.key, value, wanted.expected_revision)
        return self._result(await self.host.propose(change), request)

    async def _list_voters(self, request: Request) -> Response:
        """Answer as the leader: who was removed may have missed what came after."""
        confirmed = await self.host.read("machines")
        if confirmed.failed:
            return self._to_leader(confirmed.leader, request)
        voter = self.host.voter
        return _answer(Voters(voter.name, voter.term, voter.voters, voter.joining))

    async def _voters(self, wanted: VotersRequest, request: Request) -> Response:
        """Change the voters. A repeat of what was done already, or is under way, does nothing further."""
        if wanted.add is None and wanted.remove is None:
            raise InvalidCallError("nobody to add or to remove")
        confirmed = await self.host.read(f"machines/{wanted.add}")
        if confirmed.failed:
            return self._to_leader(confirmed.leader, request)
        # Only now: another voter than the leader may not have the address yet that was set just before.
        if wanted.add is not None and not self.machines.address_of(wanted.add):
            raise InvalidCallError(f"no address of {wanted.add} is known: set machines/{wanted.add} first")
        voter = self.host.voter
        if wanted.add in voter.joining:
            return _problem(503, f"{wanted.add} is joining", retry=True, reason="joining")
        add = None if wanted.add in voter.voters and wanted.add != wanted.remove else wanted.add
        remove = wanted.remove if wanted.remove in voter.voters else None
        if add is not None or remove is not None:
            return self._result(await self.host.change_voters(add, remove), request)
        if voter.commit_index < voter.last_index:
            return _problem(503, "the last change of voters is not committed", retry=True, reason="joining")
        return _answer(Applied(self.host.watches.store.revision))

    def _result(self, result: ChangeResult, request: Request) -> Response:
        if isinstance(result, ChangeApplied):
            return _answer(Applied(result.revision))
        if not isinstance(result, ChangeRejected):
            return _problem(503, "undecided: repeat it with its id", retry=True, reason="uncertain")
        match result.reason:
            case "conflict":
                error = f"the key is at revision {result.current_revision}"
                return _problem(409, error, reason="conflict", current_revision=result.current_revision)
            case "invalid":
                return _problem(400, result.detail, reason="invalid")
            case "not_leader":
                return self._to_leader(result.leader, request)
            case _:
                error = f"not taken now: {result.reason} {result.detail}".strip()
                return _problem(503, error, retry=True, reason=result.reason)

    def _to_leader(self, leader: str, request: Request) -> Response:
        operator = self.machines.operator_of(leader) if leader else ""
        if leader == self.host.voter.name or not operator:
            return _problem(503, "no leader is known here at present", retry=True, reason="no_quorum")
        return self.redirect(operator, request)

    async def _watch(self, after: int) -> Response:
        with trio.move_on_after(WATCH_S):
            while self.host.watches.store.revision <= after:
                await self.host.advanced.wait()
        age = rounded(self.host.watches.age())
        return _answer(await self.host.watches.local(lambda keyspace: _changed(keyspace, after, age)))


def _all_keys(keyspace: Keyspace, age: float | None) -> Entries:
    state = keyspace.state()
    return Entries(state.revision, age, [entry(one) for one in state.entries])


def _changed(keyspace: Keyspace, after: int, age: float | None) -> Entries:
    delta = keyspace.delta_after(min(after, keyspace.revision))
    if delta is None:
        return _all_keys(keyspace, age)
    return Entries(delta.revision, age, [entry(one) for one in delta.entries], whole=False)
