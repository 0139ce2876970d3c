"""Proposes changes of the configuration to real voters, by the operators' calls, and finds their leader."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import trio

from merlinbay.control_service.call_messages import AppliedAnswer, ChangeRequest
from merlinbay.control_service.status import ProcessStatus
from merlinbay.http.client import ClientConnection, ConnectionBrokenError, Reply, RequestNotSentError
from merlinbay.limits import ResourceLimits
from merlinbay.scale.control_plane import VOTER, name_of, operator_of
from merlinbay.scale.roles import RunFacts

LIMITS = replace(ResourceLimits(), connect_timeout_s=3.0)
ANSWER_S = 5.0
AGAIN_S = 0.05  # after a call that nobody took: a leader is being elected
MOST_BYTES = 1024 * 1024
TEAMS = 660  # of the plan: keys are changed in turn


class ControlWriter:
    """Repeats a change with its id, at one voter after the other, until it is applied."""

    def __init__(self, run: RunFacts) -> None:
        self.voters = {name_of(VOTER, number): number for number in run.numbers[VOTER]}
        self.operators = [operator_of(run, number) for number in run.numbers[VOTER]]
        self.at = self.operators[0]  # who took the last change
        self.repeats = 0

    async def write(self, number: int) -> int:
        """Have a change applied; return its revision."""
        key = f"teams/team-{number % TEAMS}"
        value = {"tasks_running": number % 1000, "accelerators": number % 64, "share": 1.0}
        body = msgspec.json.encode(ChangeRequest(f"scale-{number}", key, value))
        at, turn = self.at, self.operators.index(self.at)
        while True:
            reply = await self._call(at, "POST", "changes", body)
            if reply is not None and reply.status == 200:
                self.at = at
                return msgspec.json.decode(reply.body, type=AppliedAnswer).revision
            self.repeats += 1
            if reply is not None and reply.status == 307:
                at = reply.headers["location"].removeprefix("http://").partition("/")[0]
                continue
            await trio.sleep(AGAIN_S)
            turn = (turn + 1) % len(self.operators)
            at = self.operators[turn]

    async def leader(self) -> int:
        """Return the member that leads; while one is being elected, wait."""
        while True:
            for operator in self.operators:
                reply = await self._call(operator, "GET", "status")
                if reply is None or reply.status != 200:
                    continue
                voting = msgspec.json.decode(reply.body, type=ProcessStatus).voting
                if voting is not None and voting.leader:
                    return self.voters[voting.leader]
            await trio.sleep(AGAIN_S)

    async def _call(self, operator: str, method: str, path: str, body: bytes = b"") -> Reply | None:
        """Make one call; None: no answer came."""
        try:
            with trio.fail_after(ANSWER_S):
                connection = await ClientConnection.connect(operator, LIMITS, MOST_BYTES)
                try:
                    return await connection.exchange(method, f"/control/{path}", [], body)
                finally:
                    connection.close()
        except (OSError, RequestNotSentError, ConnectionBrokenError, trio.TooSlowError):
            return None
