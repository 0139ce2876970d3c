"""The roles that a plan can name."""

from __future__ import annotations

from merlinbay.scale.control_roles import CONTROL_ROLES
from merlinbay.scale.membership import ViewMemberRole
from merlinbay.scale.roles import MemberRole

ROLES: dict[str, MemberRole] = {role.name: role for role in (ViewMemberRole(), *CONTROL_ROLES)}
NAMES = frozenset(ROLES)
