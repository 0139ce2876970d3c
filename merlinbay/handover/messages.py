"""What the two processes of a node tell each other: one packet each, in msgpack."""

from __future__ import annotations

import msgspec

from merlinbay.core.messages import AttemptFinished, AttemptProgress, AttemptStarted
from merlinbay.core.values import ServiceEntry
from merlinbay.decision.handover_snapshot import HandoverSnapshot
from merlinbay.handover.snapshot_codec import EncodedEndpoint, EncodedSnapshot, to_encoded

SPEAKS = 1  # raised when words change their meaning; another number's process is not replaced but stopped
PART = 200  # entries, or workers, in one packet


class Hello(msgspec.Struct, tag=True, frozen=True):
    """The new process asks for what the old one has."""

    speaks: int


class Part(msgspec.Struct, tag=True, frozen=True):
    """Some of what is known of real servers."""

    entries: list[ServiceEntry] = []
    workers: list[EncodedEndpoint] = []


class Whole(msgspec.Struct, tag=True, frozen=True):
    """The rest of it; with it the old process has told all."""

    version: int | None  # of discovery's list
    learned: EncodedSnapshot  # without the workers, which came in parts
    away: bool  # whether clients are sent away
    clock_us: int = 0  # the clock of all times in it; 0: an older program, which does not tell


class Serves(msgspec.Struct, tag=True, frozen=True):
    """The new process takes clients."""


class Unclaimed(msgspec.Struct, tag=True, frozen=True):
    """A call-back for no request of ours."""

    message: AttemptStarted | AttemptProgress | AttemptFinished


class Banned(msgspec.Struct, tag=True, frozen=True):
    """Operators took a real server out, or put it back."""

    server: str
    on: bool


class Away(msgspec.Struct, tag=True, frozen=True):
    """Operators send clients away, or take them back."""

    away: bool


class EdgeGiven(msgspec.Struct, tag=True, frozen=True):
    """An edge connection without a request under way; its descriptor comes along."""

    proven: bool
    calls_back: bool


Word = Hello | Part | Whole | Serves | Unclaimed | Banned | Away | EdgeGiven

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Word).decode


def told(
    version: int | None,
    entries: list[ServiceEntry],
    snapshot: HandoverSnapshot,
    away: bool,
    clock_us: int = 0,
) -> list[Word]:
    """Return the words that tell all, in packets of a bounded size."""
    learned = to_encoded(snapshot)
    workers, learned.endpoints = learned.endpoints, []
    words: list[Word] = [Part(entries=entries[at : at + PART]) for at in range(0, len(entries), PART)]
    words += [Part(workers=workers[at : at + PART]) for at in range(0, len(workers), PART)]
    return [*words, Whole(version, learned, away, clock_us)]
