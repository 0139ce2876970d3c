"""The view of each endpoint that operators are shown, with the keys of the JSON of the command line.

``Balancer`` builds the views when they are asked for.
"""

from __future__ import annotations

from typing import Any

from merlinbay.decision.endpoint_state import Endpoint
from merlinbay.decision.load_estimates import LoadEstimates
from merlinbay.decision.outcomes import Outcome
from merlinbay.decision.warm_up import WarmUp


def ejection_reason(last_failure: int, consecutive_failures: int) -> str:
    """Return why an endpoint is ejected, as text for operators."""
    # An endpoint that has failed no request may be ejected for not answering a health check.
    if not last_failure:
        return "no answer to a health check"
    outcome = Outcome(last_failure).name.lower().replace("_", " ")
    return f"{outcome}, {consecutive_failures} in a row"


def endpoint_view(endpoint: Endpoint, load: LoadEstimates, warm_up: WarmUp, now_us: int) -> dict[str, Any]:
    """Return the slots and state of one endpoint and, if it is ejected, since when, until when and why."""
    failures = endpoint.failures
    is_ejected = failures.ejected_until_us > now_us
    reason = ""
    if is_ejected:
        reason = ejection_reason(failures.last_failure, failures.consecutive_failures)
    return {
        "name": endpoint.name,
        "zone": endpoint.zone,
        "kind": endpoint.kind.name,
        "state": endpoint.state,
        "slots": endpoint.kind.capacity.slots,
        "held": endpoint.in_flight.in_flight_slots,
        "others": load.peer_slots(endpoint),
        "pace": endpoint.run_time.pace,
        "failures": failures.consecutive_failures,
        "cold": warm_up.is_warming(endpoint),
        "out_since_us": failures.last_failure_at_us if is_ejected else 0,
        "out_until_us": failures.ejected_until_us if is_ejected else 0,
        "why": reason,
    }
