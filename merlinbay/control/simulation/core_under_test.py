"""Starts the consensus core as the code under test, and reads its state for the checks.

The settings make compaction frequent and batches small, so that a short run meets both.
"""

from __future__ import annotations

import hashlib
from dataclasses import replace
from random import Random
from typing import cast

import msgspec

from merlinbay.control.consensus.messages import VoteRequest, VoteResponse, decode
from merlinbay.control.consensus.settings import VoterSettings
from merlinbay.control.entries import StateSnapshot
from merlinbay.control.simulation.ports import (
    CoreUnderTest,
    LogExtent,
    LogView,
    ObservedEntry,
    ObservedVote,
    VoterPort,
    VoterStart,
)
from merlinbay.control.voter import Voter, VoterRole

ONE_ENTRY_BATCH_BYTES = 150  # size of a batch that has no room for two entries


def settings_of(seed: int, first_voters: tuple[str, ...]) -> VoterSettings:
    """Draw how often a voter compacts and how small its batches are; its times are those of a real voter."""
    random = Random(f"control settings {seed}")
    keep = random.choice((0, 5, 20))
    return VoterSettings(
        initial_voters=first_voters,
        compact_after_entries=keep + random.choice((5, 20, 200)),
        keep_entries=keep,
        history_revisions=random.choice((5, 30, 1000)),
        max_change_bytes=64,
        max_batch_bytes=random.choice((ONE_ENTRY_BATCH_BYTES, 512, 4096)),
        max_messages_in_flight=random.choice((1, 8)),
    )


def raft(seed: int, one_entry_a_message: bool = False) -> CoreUnderTest:
    """Return the core under test with the settings of a seed.

    With ``one_entry_a_message``, a leader sends each entry in a message of its own, one at a time.
    """

    def start(boot: VoterStart) -> VoterPort:
        settings = settings_of(seed, boot.first_voters)
        if one_entry_a_message:
            settings = replace(settings, max_batch_bytes=ONE_ENTRY_BATCH_BYTES, max_messages_in_flight=1)
        return Voter(boot.name, settings, boot.records, boot.random, boot.now)

    return CoreUnderTest(start, _snapshot, _leading_term, _voters, _admitted, _extent, _log, _vote)


def _snapshot(voter: VoterPort) -> StateSnapshot:
    return cast(Voter, voter).keyspace.state()


def _leading_term(voter: VoterPort) -> int | None:
    raft_voter = cast(Voter, voter)
    return raft_voter.term if raft_voter.role is VoterRole.LEADER else None


def _voters(voter: VoterPort) -> frozenset[str]:
    return frozenset(cast(Voter, voter).voters)


def _admitted(voter: VoterPort) -> bool:
    return cast(Voter, voter)._raft.is_member


def _extent(voter: VoterPort) -> LogExtent:
    raft_voter = cast(Voter, voter)
    log = raft_voter._raft.log
    return LogExtent(log.last_index, log.last_term, raft_voter.commit_index)


def _log(voter: VoterPort, index: int) -> LogView:
    raft_voter = cast(Voter, voter)
    log = raft_voter._raft.log
    first = max(index, log.base_index + 1)
    entries = tuple(
        ObservedEntry(entry.index, entry.term, _content(entry.command)) for entry in log.entries_from(first)
    )
    return LogView(
        term=raft_voter.term,
        first_index=first,
        state_digest=raft_voter.keyspace.digest(),
        previous_term=log.term_at(first - 1),
        entries=entries,
    )


def _vote(sender: str, message: bytes) -> ObservedVote | None:
    if b"vote" not in message:  # the tags of vote requests and vote responses contain it
        return None
    envelope = decode(message)
    voter = f"{sender}/{envelope.incarnation}"
    match envelope.message:
        case VoteRequest(pre=False, term=term):
            return ObservedVote(voter, term, voter)  # a candidate votes for itself
        case VoteResponse(pre=False, granted=True, term=term, candidate=candidate):
            return ObservedVote(voter, term, f"{candidate.name}/{candidate.incarnation}")
        case _:
            return None


def _content(command: msgspec.Struct) -> bytes:
    return hashlib.blake2b(msgspec.msgpack.encode(command), digest_size=8).digest()
