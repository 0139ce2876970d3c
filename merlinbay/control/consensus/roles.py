"""The roles of a voter and the transitions between them."""

from __future__ import annotations

from enum import Enum


class VoterRole(Enum):
    """The role of a voter. Only a leader accepts proposals and reads."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # asks, without a new term, whether it could win an election
    CANDIDATE = "candidate"
    LEADER = "leader"
    STORAGE_FAILED = "storage_failed"  # final; to recover, a new Voter is built from the stored records


TRANSITIONS: dict[VoterRole, frozenset[VoterRole]] = {
    # At a leadership transfer, a follower becomes a candidate without a preliminary election.
    VoterRole.FOLLOWER: frozenset(
        {VoterRole.FOLLOWER, VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE, VoterRole.STORAGE_FAILED}
    ),
    VoterRole.PRE_CANDIDATE: frozenset(
        {VoterRole.FOLLOWER, VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE, VoterRole.STORAGE_FAILED}
    ),
    VoterRole.CANDIDATE: frozenset(
        {VoterRole.FOLLOWER, VoterRole.PRE_CANDIDATE, VoterRole.LEADER, VoterRole.STORAGE_FAILED}
    ),
    VoterRole.LEADER: frozenset({VoterRole.FOLLOWER, VoterRole.STORAGE_FAILED}),
    VoterRole.STORAGE_FAILED: frozenset(),
}
