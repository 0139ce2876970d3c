"""The view with its epochs: they ask by frames, and exchanges of the state tell the last one. No I/O."""

from __future__ import annotations

from random import Random
from typing import Any

from merlinbay.fleet import wire
from merlinbay.fleet.effects import Exchange
from merlinbay.fleet.epochs import Epoch, Epochs, identity, name_of
from merlinbay.fleet.members import Claim, Health
from merlinbay.fleet.settings import Fleet
from merlinbay.fleet.view import View

TURN_S = 0.5  # between two looks at who is there


class VoteNotStoredError(Exception):
    """A vote could not be stored, so it was not given."""


class AgreeingView(View):
    """A view whose node takes part in epochs."""

    def __init__(
        self, section: Fleet, keys: wire.Keys, me: Claim, rng: Random, now: float, epochs: Epochs
    ) -> None:
        super().__init__(section, keys, me, rng, now)
        self.epochs = epochs
        self.asked: dict[int, str] = {}  # frames to voters that are out

    def start(self) -> None:
        """Begin."""
        super().start()
        self._at(TURN_S, self._turn)

    def _turn(self) -> None:
        self._at(TURN_S * (0.5 + self.rng.random()), self._turn)
        if self.leaving or self.yielded or not (self.section.expect or self.epochs.epoch.number):
            return
        self.epochs.tick(self.now, self._there(), self.section.settle)
        self._carry()

    def _there(self) -> dict[str, bool]:
        """Return the voters that are there, and whether each is to be a member."""
        return {
            identity(member.name, member.claim.disk): not member.claim.draining
            for member in self.here()
            if member.health is Health.ALIVE and member.claim.disk
        }

    def force(self, lost: tuple[str, ...]) -> Epoch:
        """Form the next epoch of those who are there, as operators say. Raises as ``Epochs.force``."""
        found = self.epochs.force(tuple(name for name, good in self._there().items() if good), lost)
        self._event("epoch_forced", self.me.name, f"{found.number}, without {', '.join(lost)}")
        self._carry()
        return found

    def _carry(self) -> None:
        """Send what the epochs ask, and tell what was chosen."""
        out, self.epochs.out = self.epochs.out, []
        for name, message in out:
            member = self.members.get(name_of(name))
            if member is not None and identity(member.name, member.claim.disk) == name:
                self.seq += 1
                self.asked[self.seq] = name
                sealed = wire.seal(self.keys, self.section.name, message)
                self.out.append(Exchange(member.claim.addr, sealed, self.seq))
        chosen, self.epochs.chosen = self.epochs.chosen, []
        for epoch in chosen:
            self._event("epoch", self.me.name, f"{epoch.number}: {', '.join(map(name_of, epoch.members))}")
        clash, self.epochs.clash = self.epochs.clash, None
        if clash is not None:
            self._event("epoch_clash", self.me.name, f"{clash.number} is also {', '.join(clash.members)}")

    def frame(self, now: float, source: str, data: bytes) -> bytes:
        """Take a frame; return the answer. Raises ``Refused``, and ``VoteNotStoredError``."""
        message = wire.open_sealed(self.keys, self.section.name, data)
        if message["k"] != "epoch":
            answer = super().frame(now, source, data)
            self._told(message)
            return answer
        self.now = max(self.now, now)
        try:
            vote = self.epochs.request(message)
        except OSError as error:
            raise VoteNotStoredError(error.strerror) from None
        answer = wire.seal(self.keys, self.section.name, vote)
        self._carry()
        return answer

    def exchanged(self, now: float, token: int, data: bytes | None) -> None:
        """Take what came back of an exchange or a vote."""
        message: dict[str, Any] | None = None
        if data is not None:
            try:
                message = wire.open_sealed(self.keys, self.section.name, data)
            except wire.MessageRejectedError:
                message = None
        name = self.asked.pop(token, None)
        if name is not None:
            self.now = max(self.now, now)
            self.epochs.answered(name, message)
            self._carry()
            return
        super().exchanged(now, token, data)
        if message is not None:
            self._told(message)

    def _told(self, message: dict[str, Any]) -> None:
        self.epochs.learn(message.get("e"))
        self._carry()

    def _more_state(self) -> dict[str, Any]:
        epoch = self.epochs.epoch
        return {"e": [epoch.number, list(epoch.members)]}
