"""The plan's inputs, and what each role needs of them: the types of the files in ``docs/capacity/``."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Literal, TypeVar

import msgspec

from merlinbay.capacity import words
from merlinbay.capacity.formula import FormulaError, evaluate, names

INPUTS_FILE, ROLES_FILE, FAILURES_FILE = "inputs.toml", "roles.toml", "failures.toml"
NO_MODULE = "none"

File = TypeVar("File", bound=msgspec.Struct)


class CapacityPlanError(ValueError):
    """A file of the plan that cannot be used."""


class Input(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number that needs are worked out from: one of ``value`` and ``formula``."""

    name: str
    unit: str
    source: Literal[
        "plan", "taken", "worked out", "earlier"
    ]  # "earlier": a figure of another page, named in why
    value: float | None = None
    formula: str = ""
    why: str = ""


class Measure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value that fits over scale runs predict at ``at``, a formula over the inputs."""

    name: str
    role: str
    metric: str
    at: str
    unit: str
    per: str = ""
    plan: str = "*"  # a pattern over the runs' plan names


class Mechanism(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What carries needs. ``needs`` names the mechanisms that it cannot do without."""

    name: str
    title: str
    module: str  # a path, or "none"
    module_before: str = ""  # at 9484f4e, where it was another one
    needs: tuple[str, ...] = ()
    replaced_by: str = ""  # the mechanism that makes it superfluous once its module is there

    def at(self, before: bool) -> str:
        """Return the module, today or at 9484f4e."""
        return (self.module_before or self.module) if before else self.module


class RoleNeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row: what a role needs of one resource. ``formula`` is over inputs and measures.

    ``otherwise`` is used while a measure of ``formula`` has no fit. Both empty: not known.
    """

    resource: str
    unit: str
    mechanism: str
    formula: str = ""
    otherwise: str = ""
    budget: str = ""  # a formula over the inputs; empty: the plan has none
    budget_is: Literal["most", "least"] = "most"  # "least": a rate that has to be reached
    note: str = ""
    otherwise_note: str = ""  # where ``otherwise`` is used


class CapacityRole(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A role and its rows."""

    name: str
    members: str  # a formula over the inputs
    state: str
    messages: str
    needs: tuple[RoleNeed, ...]


class RolesFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All roles, with the measures and mechanisms that they name."""

    measure: tuple[Measure, ...]
    mechanism: tuple[Mechanism, ...]
    role: tuple[CapacityRole, ...]


class Consequence(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What happens to one role. ``load`` is a formula over inputs and measures whose result is shown.

    ``otherwise`` is used while a measure of ``load`` has no fit. Without a ``mechanism``, none is needed.
    """

    role: str
    what: str
    mechanism: str = ""
    load: str = ""
    otherwise: str = ""
    unit: str = ""


class Failure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A failure of the plan, and what it does to each role."""

    name: str
    size: str  # in words
    consequence: tuple[Consequence, ...]


class InputsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All inputs."""

    input: tuple[Input, ...]


class FailuresFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All failures."""

    failure: tuple[Failure, ...]


class CapacityPlan(msgspec.Struct, frozen=True):
    """The three files together, checked against each other."""

    inputs: tuple[Input, ...]
    roles: RolesFile
    failures: tuple[Failure, ...]

    def values(self, changed: dict[str, float] | None = None) -> dict[str, float]:
        """Return each input's value; ``changed`` ones count before others are worked out from them."""
        found: dict[str, float] = {}
        for one in self.inputs:
            if changed and one.name in changed:
                found[one.name] = changed[one.name]
            elif one.value is not None:
                found[one.name] = one.value
            else:
                found[one.name] = evaluate(one.formula, found)
        return found

    def mechanism(self, name: str) -> Mechanism:
        """Return a mechanism by its name."""
        return next(one for one in self.roles.mechanism if one.name == name)

    def replacement(self, mechanism: Mechanism, before: bool = False) -> Mechanism | None:
        """Return the mechanism that makes another one superfluous, where that one is there."""
        if not mechanism.replaced_by:
            return None
        found = self.mechanism(mechanism.replaced_by)
        return found if found.at(before) != NO_MODULE else None


def read_plan(folder: Path) -> CapacityPlan:
    """Read the files and check that all names in them are there."""
    plan = CapacityPlan(
        _read(folder / INPUTS_FILE, InputsFile).input,
        _read(folder / ROLES_FILE, RolesFile),
        _read(folder / FAILURES_FILE, FailuresFile).failure,
    )
    try:
        _check(plan)
    except FormulaError as error:
        raise CapacityPlanError(str(error)) from error
    return plan


def _read(path: Path, kind: type[File]) -> File:
    try:
        return msgspec.toml.decode(path.read_bytes(), type=kind)
    except (OSError, msgspec.DecodeError) as error:
        raise CapacityPlanError(f"{path}: {error}") from error


def _check(plan: CapacityPlan) -> None:
    """Raise where a formula, a role or a mechanism names what is not there."""
    inputs = set(plan.values())
    measures = {one.name for one in plan.roles.measure}
    mechanisms = {one.name for one in plan.roles.mechanism}
    roles = {one.name for one in plan.roles.role}
    for formula in _input_formulas(plan):
        _known(formula, inputs)
    for formula in _need_formulas(plan):
        _known(formula, inputs | measures)
    for used, known, kind in (
        (set(_mechanisms_used(plan)), mechanisms, "mechanism"),
        ({one.role for failure in plan.failures for one in failure.consequence}, roles, "role"),
    ):
        if used - known:
            raise CapacityPlanError(f"there is no {kind} {min(used - known)!r}")


def _known(formula: str, known: set[str]) -> None:
    for name in sorted(names(formula) - known):
        raise CapacityPlanError(f"{formula!r}: there is no value {name!r}")


def _input_formulas(plan: CapacityPlan) -> Iterator[str]:
    """Yield the formulas that measures may not be in."""
    for measure in plan.roles.measure:
        yield measure.at
    for role in plan.roles.role:
        yield role.members
        yield from (need.budget for need in role.needs if need.budget)
    for text in _texts(plan):
        yield from (formula for formula, _ in words.placeholders(text))


def _need_formulas(plan: CapacityPlan) -> Iterator[str]:
    """Yield the formulas that measures may be in."""
    for role in plan.roles.role:
        for need in role.needs:
            yield from (formula for formula in (need.formula, need.otherwise) if formula)
    for failure in plan.failures:
        for one in failure.consequence:
            yield from (formula for formula in (one.load, one.otherwise) if formula)


def _texts(plan: CapacityPlan) -> Iterator[str]:
    """Yield the texts that placeholders may be in."""
    for role in plan.roles.role:
        yield from (role.state, role.messages, *(need.note for need in role.needs))
        yield from (need.otherwise_note for need in role.needs)
    for failure in plan.failures:
        yield failure.size
        yield from (one.what for one in failure.consequence)


def _mechanisms_used(plan: CapacityPlan) -> Iterator[str]:
    """Yield the name of each mechanism that something names."""
    for mechanism in plan.roles.mechanism:
        yield from mechanism.needs
        yield from filter(None, [mechanism.replaced_by])
    for role in plan.roles.role:
        yield from (need.mechanism for need in role.needs)
    for failure in plan.failures:
        yield from (one.mechanism for one in failure.consequence if one.mechanism)
