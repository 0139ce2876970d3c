"""The effects of the consensus core, which its host carries out in the order of the list.

The core does no I/O, reads no clock and draws no randomness of its own: time comes with each call, in
seconds of a monotonic clock, and a ``random.Random`` comes with the constructor. A host calls ``receive``,
``tick``, ``propose`` or ``read`` and then ``take_effects()``; ``next_deadline()`` says when ``tick`` is due.
"""

from __future__ import annotations

import msgspec

from merlinbay.control.entries import ChangeResult, KeyValue


class Persist(msgspec.Struct, frozen=True):
    """Append ``record`` to the durable log. All later effects of the list wait until it is on the disk.

    At a start, the core is built from the durable records in order. If ``replaces_all`` is set, the record is
    a snapshot, and the records before it are no longer needed.
    """

    record: bytes
    replaces_all: bool = False


class SendMessage(msgspec.Struct, frozen=True):
    """Send ``message`` to voter ``receiver``. It may be lost, delayed, duplicated or reordered."""

    receiver: str
    message: bytes


class ProposalDone(msgspec.Struct, frozen=True):
    """The result of the change proposed with ``token``."""

    token: int
    result: ChangeResult


class ReadDone(msgspec.Struct, frozen=True):
    """The result of the linearizable read with ``token``; ``failed`` if this voter cannot answer it now."""

    token: int
    value: KeyValue | None
    revision: int
    failed: bool = False
    leader: str = ""


class RevisionAdvanced(msgspec.Struct, frozen=True):
    """The applied state has reached ``revision``, so that watches at this voter can be served."""

    revision: int


VoterEffect = Persist | SendMessage | ProposalDone | ReadDone | RevisionAdvanced
