"""Rules against repeated attempts broken one at a time, for ``python -m bench.duplicates mutants``.

Each mutant replaces a method or a value of the node while cases are played; the node itself is not changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from merlinbay.core import attempt_lifecycle
from merlinbay.core.attempt_lifecycle import AttemptLifecycle
from merlinbay.core.attempts import ServerAttempt
from merlinbay.core.messages import AttemptProgress
from merlinbay.core.requests import RequestTable
from merlinbay.decision import balancer, outcomes
from merlinbay.decision.eligibility import Eligibility
from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.outcomes import NEVER_RAN, Outcome
from merlinbay.decision.request_state import Attempt, TrackedRequest
from merlinbay.decision.settings import Idempotency
from merlinbay.http.client import ClientConnection, Reply
from merlinbay.http.pool import ConnectionPool, PooledServer
from merlinbay.http.pooled_transport import PooledServerTransport
from merlinbay.platform import replies
from merlinbay.platform.replies import JobReply


@dataclass(frozen=True)
class Mutant:
    """A broken rule: what is replaced by what."""

    name: str
    patches: tuple[tuple[Any, str, Any], ...]

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Break the rule within the block."""
        with ExitStack() as stack:
            for target, attribute, replacement in self.patches:
                stack.enter_context(patch.object(target, attribute, replacement))
            yield


_may_repeat = Eligibility._may_repeat
_may_begin = Eligibility.may_begin
_keep = ConnectionPool._keep
_exchange = PooledServerTransport.exchange
_classify = replies.classify


def repeats_at_any_time(
    self: Eligibility, request: TrackedRequest, others: list[Attempt], now_us: int
) -> bool:
    """Take no notice of the window, neither at the decision nor at the last look."""
    return _may_repeat(self, request, others, min([now_us, *(other.dispatched_at_us for other in others)]))


def counts_from_the_latest(
    self: Eligibility, request: TrackedRequest, others: list[Attempt], now_us: int
) -> bool:
    """Have the window begin anew with each attempt."""
    return _may_repeat(self, request, others[::-1], now_us)


def any_group(self: Eligibility, request: TrackedRequest, unresolved: Attempt, zone: str, cell: int) -> bool:
    """Take every endpoint for one that drops repeats."""
    return True


def no_group(self: Eligibility, request: TrackedRequest) -> list[Endpoint] | None:
    """Look for endpoints everywhere."""
    return None


def once_is_repeatable(self: TrackedRequest) -> Idempotency:
    """Take jobs that must run once for repeatable ones."""
    declared = self.class_state.spec.idempotency
    return Idempotency.ALWAYS if declared is Idempotency.NONE else declared


def key_goes_unread(self: TrackedRequest) -> Idempotency:
    """Go by the class alone, whether or not the job carries a key."""
    return self.class_state.spec.idempotency


def never_ran_after_all(outcome: int, started: bool) -> bool:
    """Take a hand-back for a proof, whatever was reported before."""
    return outcome in NEVER_RAN


def looks_for_the_client_only(self: ServerAttempt) -> bool:
    """Ask before the first byte whether the client is still there, and nothing else."""
    return not self.has_ended and (self.responder is None or not self.responder.has_disconnected())


def looks_at_the_old_time(self: Eligibility, request_id: int, number: int, now_us: int) -> bool:
    """Have the last look judge the window by when the attempt was decided on."""
    request = self._requests.by_id.get(request_id)
    is_known = request is not None and number < len(request.attempts)
    decided_us = request.attempts[number].dispatched_at_us if request and is_known else now_us
    return _may_begin(self, request_id, number, decided_us)


def keeps_without_quarantine(
    self: ConnectionPool,
    name: str,
    server: PooledServer,
    connection: ClientConnection,
    quarantined_until: float,
) -> None:
    """Use a connection again at once."""
    _keep(self, name, server, connection, 0.0)


def refuses_anything(self: Eligibility, request: TrackedRequest, wait_us: int = 0) -> bool:
    """Refuse jobs that may have run."""
    return True


def zone_of_now(self: Attempt) -> str:
    """Return the zone that the list says now."""
    return self.endpoint.zone


def cell_of_now(self: Attempt) -> int:
    """Return the cell that the list says now."""
    return self.endpoint.cell


def forget_value(self: Attempt, value: object) -> None:
    """Keep nothing of the moment of the send."""


async def broken_is_unsent(self: PooledServerTransport, *args: Any, **named: Any) -> Reply | Outcome:
    """Take a connection that broke before the 202 for one that never came up."""
    result = await _exchange(self, *args, **named)
    return Outcome.CONNECT_FAILED if result is Outcome.RESET else result


def bare_503_refuses(reply: Reply) -> JobReply:
    """Take every 503 for a proof that the job never ran."""
    return JobReply.NOT_PROCESSED if reply.status == 503 else _classify(reply)


def unnamed_status_fails(reply: Reply) -> JobReply:
    """Take a status that the protocol does not name for the attempt's end."""
    found = _classify(reply)
    return JobReply.FAILED if found is JobReply.UNKNOWN else found


def progress_goes_unheard(self: AttemptLifecycle, message: AttemptProgress) -> None:
    """Take no notice of progress, from which it follows that the job has started."""


def forgets_names(self: RequestTable, name: str) -> bool:
    """Know the names of open requests only."""
    return name in self.by_name


def never_ran_too(outcome: Outcome) -> tuple[tuple[Any, str, Any], ...]:
    """Count another outcome as proof that an attempt never ran, wherever that is asked."""
    wrong = NEVER_RAN | {outcome}
    return ((outcomes, "NEVER_RAN", wrong), (attempt_lifecycle, "NEVER_RAN", wrong))


MUTANTS = (
    Mutant("window: none", ((Eligibility, "_may_repeat", repeats_at_any_time),)),
    Mutant("window: from the latest attempt", ((Eligibility, "_may_repeat", counts_from_the_latest),)),
    Mutant(
        "group: any", ((Eligibility, "_is_in_scope", any_group), (Eligibility, "scope_of_repeat", no_group))
    ),
    Mutant("effect: once is repeatable", ((TrackedRequest, "idempotency", property(once_is_repeatable)),)),
    Mutant(
        "effect: a job without its key is keyed",
        ((TrackedRequest, "idempotency", property(key_goes_unread)),),
    ),
    Mutant("outcome: a reset never ran", never_ran_too(Outcome.RESET)),
    Mutant("outcome: an error never ran", never_ran_too(Outcome.ERROR)),
    Mutant(
        "outcome: returned after a start never ran",
        ((balancer, "never_ran", never_ran_after_all), (attempt_lifecycle, "never_ran", never_ran_after_all)),
    ),
    Mutant("outcome: progress is no start", ((AttemptLifecycle, "_on_progress", progress_goes_unheard),)),
    Mutant(
        "outcome: broken before the 202 is unsent", ((PooledServerTransport, "exchange", broken_is_unsent),)
    ),
    Mutant("answer: a bare 503 is a refusal", ((replies, "classify", bare_503_refuses),)),
    Mutant("answer: an unnamed status is an end", ((replies, "classify", unnamed_status_fails),)),
    Mutant("last look: for the client only", ((ServerAttempt, "may_begin", looks_for_the_client_only),)),
    Mutant("last look: not at the window", ((Eligibility, "may_begin", looks_at_the_old_time),)),
    Mutant(
        "stray answer: connections have no quarantine", ((ConnectionPool, "_keep", keeps_without_quarantine),)
    ),
    Mutant("refusal: of a job that may have run", ((Eligibility, "may_reject", refuses_anything),)),
    Mutant(
        "cell and zone: of now, not of the send",
        (
            (Attempt, "zone", property(zone_of_now, forget_value)),
            (Attempt, "cell", property(cell_of_now, forget_value)),
        ),
    ),
    Mutant("name: used again after its request is over", ((RequestTable, "has_used", forgets_names),)),
)
