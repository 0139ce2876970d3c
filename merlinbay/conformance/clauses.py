"""All clauses, in the order of play.

Jobs are ``true``, ``sh`` and ``sleep``: the endpoint's machines run them. Nothing is checked by how long it
took, but that a wait does not end before its time.
"""

from __future__ import annotations

from merlinbay.conformance import (
    array_clauses,
    job_clauses,
    monitoring_clauses,
    session_clauses,
    template_clauses,
)
from merlinbay.conformance.clause import Clause

CLAUSES: list[Clause] = [
    *session_clauses.CLAUSES,
    *template_clauses.CLAUSES,
    *job_clauses.CLAUSES,
    *array_clauses.CLAUSES,
    *monitoring_clauses.CLAUSES,
]
