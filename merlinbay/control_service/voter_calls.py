"""The operators' calls at a voter.

The leader answers writes and linearizable reads; the other voters redirect them to the leader. While no
leader is known, such a call is answered with status 503 and may be repeated.
"""

from __future__ import annotations

import msgspec
import trio

from merlinbay.control.entries import Change, ChangeApplied, ChangeRejected, ChangeResult
from merlinbay.control.keyspace import Keyspace
from merlinbay.control_service.call_messages import (
    AppliedAnswer,
    ChangeRequest,
    KeyListing,
    VoterListing,
    VotersRequest,
    error_answer,
    json_answer,
    key_entry,
)
from merlinbay.control_service.machines import MachineDirectory
from merlinbay.control_service.operator_calls import InvalidCallError, OperatorCalls
from merlinbay.control_service.schema import encode_value
from merlinbay.control_service.settings import ControlFile
from merlinbay.control_service.status import ProcessStatus, rounded, voter_status
from merlinbay.control_service.voter_host import VoterHost
from merlinbay.http.connection import Request, Response

WATCH_TIMEOUT_S = 20.0  # a watch call is answered after this time even if nothing has changed
CHANGE_ID_BYTES = 128


class VoterCalls(OperatorCalls):
    """The operators' calls that a voter answers."""

    def __init__(self, host: VoterHost, machines: MachineDirectory, file: ControlFile) -> None:
        super().__init__(machines)
        self.host = host
        self._file = file

    def status(self) -> ProcessStatus:
        """Return the process's status."""
        operators = self.machines.operators(self.host.voter.voters)
        return voter_status(self.host, self._file.region, self._file.zone, operators)

    async def keys(self) -> KeyListing:
        """Return all keys of this voter's copy."""
        age = rounded(self.host.watches.age())
        return await self.host.watches.read_local(lambda keyspace: _all_keys(keyspace, age))

    async def voters_call(self, request: Request, parts: list[str], options: dict[str, str]) -> Response:
        """Answer the call as the leader, or redirect it to the leader."""
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
                return json_answer(AppliedAnswer(self.host.watches.store.revision))
        return error_answer(404, "unknown path or method")

    async def _read(self, key: str, request: Request) -> Response:
        answer = await self.host.read(key)
        if answer.failed:
            return self._to_leader(answer.leader, request)
        entries = [] if answer.value is None else [key_entry(answer.value)]
        return json_answer(KeyListing(answer.revision, 0.0, entries))

    async def _change(self, proposed: ChangeRequest, request: Request) -> Response:
        if not 1 <= len(proposed.change_id.encode()) <= CHANGE_ID_BYTES:
            raise InvalidCallError(f"change_id: a length of 1 to {CHANGE_ID_BYTES} bytes is expected")
        value = None if proposed.value is None else encode_value(proposed.key, proposed.value)
        change = Change(proposed.change_id, proposed.key, value, proposed.expected_revision)
        return self._result(await self.host.propose(change), request)

    async def _list_voters(self, request: Request) -> Response:
        """List the voters. Only the leader answers, as a removed voter may lack later configurations."""
        confirmed = await self.host.read("machines")
        if confirmed.failed:
            return self._to_leader(confirmed.leader, request)
        voter = self.host.voter
        return json_answer(VoterListing(voter.name, voter.term, voter.voters, voter.joining))

    async def _voters(self, proposed: VotersRequest, request: Request) -> Response:
        """Change the voters. A repeated call has no further effect."""
        if proposed.add is None and proposed.remove is None:
            raise InvalidCallError("add or remove is expected to name a voter")
        confirmed = await self.host.read(f"machines/{proposed.add}")
        if confirmed.failed:
            return self._to_leader(confirmed.leader, request)
        # Checked after the read: only a confirmed leader is sure to have an address that was set just before.
        if proposed.add is not None and not self.machines.address_of(proposed.add):
            raise InvalidCallError(
                f"no address of {proposed.add} is known: set machines/{proposed.add} first"
            )
        voter = self.host.voter
        if proposed.add in voter.joining:
            return error_answer(503, f"{proposed.add} is joining", retry=True, reason="joining")
        add = None if proposed.add in voter.voters and proposed.add != proposed.remove else proposed.add
        remove = proposed.remove if proposed.remove in voter.voters else None
        if add is not None or remove is not None:
            return self._result(await self.host.change_voters(add, remove), request)
        if voter.commit_index < voter.last_index:
            return error_answer(
                503, "the last change of voters is not committed yet", retry=True, reason="joining"
            )
        return json_answer(AppliedAnswer(self.host.watches.store.revision))

    def _result(self, result: ChangeResult, request: Request) -> Response:
        if isinstance(result, ChangeApplied):
            return json_answer(AppliedAnswer(result.revision))
        if not isinstance(result, ChangeRejected):
            return error_answer(
                503,
                "the result of the change is unknown: repeat the call with the same change_id, if any",
                retry=True,
                reason="uncertain",
            )
        match result.reason:
            case "conflict":
                error = f"the key is at revision {result.current_revision}"
                return error_answer(409, error, reason="conflict", current_revision=result.current_revision)
            case "invalid":
                return error_answer(400, result.detail, reason="invalid")
            case "not_leader":
                return self._to_leader(result.leader, request)
            case _:
                error = f"the change cannot be accepted now: {result.reason} {result.detail}".strip()
                return error_answer(503, error, retry=True, reason=result.reason)

    def _to_leader(self, leader: str, request: Request) -> Response:
        operator = self.machines.operator_of(leader) if leader else ""
        if leader == self.host.voter.name or not operator:
            return error_answer(503, "no leader is known here at present", retry=True, reason="no_quorum")
        return self.redirect(operator, request)

    async def _watch(self, after: int) -> Response:
        with trio.move_on_after(WATCH_TIMEOUT_S):
            while self.host.watches.store.revision <= after:
                await self.host.advanced.wait()
        age = rounded(self.host.watches.age())
        return json_answer(
            await self.host.watches.read_local(lambda keyspace: _changed(keyspace, after, age))
        )


def _all_keys(keyspace: Keyspace, age: float | None) -> KeyListing:
    state = keyspace.state()
    return KeyListing(state.revision, age, [key_entry(entry) for entry in state.entries])


def _changed(keyspace: Keyspace, after: int, age: float | None) -> KeyListing:
    delta = keyspace.delta_after(min(after, keyspace.revision))
    if delta is None:
        return _all_keys(keyspace, age)
    return KeyListing(delta.revision, age, [key_entry(entry) for entry in delta.entries], whole=False)
