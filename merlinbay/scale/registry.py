"""The roles that a plan can name."""

from __future__ import annotations

from merlinbay.scale.membership import ViewMemberRole
from merlinbay.scale.roles import Role

ROLES: dict[str, Role] = {role.name: role for role in (ViewMemberRole(),)}
NAMES = frozenset(ROLES)
