"""The only module that maps the names of the site's settings to the names used in the program.

The ``conf`` on the simulator's wire and the ``settings`` of the configuration file use the same names. A
required setting that is missing, or a malformed one, raises ``ValueError`` with its key.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from merlinbay.decision.settings import (
    EFFECTS,
    GROUPS,
    DispatchLimits,
    RequestClass,
    SafetyMargins,
    Settings,
    Tenant,
)

NUMBER = (int, float)
_REQUIRED: Any = object()


def as_int(value: object, default: int = 0) -> int:
    """Return a finite number as an integer, or the default for any other value."""
    return int(value) if isinstance(value, NUMBER) and math.isfinite(value) else default


def as_float(value: object, default: float = 0.0) -> float:
    """Return a finite number, or the default for any other value."""
    return float(value) if isinstance(value, NUMBER) and math.isfinite(value) else default


def as_text(value: object) -> str:
    """Return a string, or the empty string for any other value."""
    return value if isinstance(value, str) else ""


@dataclass(frozen=True, slots=True)
class SettingsTable:
    """One table of the settings.

    Most methods read one key. They raise ``ValueError`` with the path of the key if it is missing and has no
    default, or if its value has the wrong type.
    """

    values: object
    path: str = ""  # path of the table; empty for the top level of the settings

    def read(self, key: str, kind: type | tuple[type, ...], default: Any = _REQUIRED) -> Any:
        """Return the value of a key, checked for its type."""
        value = self.value(key)
        if value is None and default is not _REQUIRED:
            return default
        is_wrong_bool = isinstance(value, bool) and kind is not bool
        if not isinstance(value, kind) or is_wrong_bool:
            raise ValueError(f"{self.path_of(key)}: {'missing' if value is None else 'malformed'}")
        return value

    def value(self, key: str) -> object:
        """Return the value of a key, of any type, or None if it is missing."""
        return self.values.get(key) if isinstance(self.values, dict) else None

    def path_of(self, key: str) -> str:
        """Return the path of a key for error messages."""
        return f"{self.path}.{key}" if self.path else key

    def flag(self, key: str) -> bool:
        """Return a boolean, or False if it is missing."""
        return bool(self.read(key, bool, False))

    def integer(self, key: str) -> int:
        """Return an integer."""
        return int(self.read(key, int))

    def number(self, key: str, default: float = _REQUIRED) -> float:
        """Return a number."""
        return float(self.read(key, NUMBER, default))

    def microseconds(self, key: str, default: int = _REQUIRED) -> int:
        """Return a duration as an integer; the settings may contain a fraction."""
        return int(self.read(key, NUMBER, default))

    def text(self, key: str, default: str = _REQUIRED) -> str:
        """Return a string."""
        return str(self.read(key, str, default))

    def rows(self, key: str, default: list[object] = _REQUIRED) -> list[object]:
        """Return an array."""
        return list(self.read(key, list, default))

    def texts(self, key: str) -> list[str]:
        """Return an array of strings, empty if it is missing. An element of another type becomes empty."""
        return [as_text(value) for value in self.rows(key, [])]

    def table(self, key: str, default: dict[str, object] = _REQUIRED) -> SettingsTable:
        """Return a table within this one."""
        return SettingsTable(self.read(key, dict, default), self.path_of(key))

    def element(self, key: str, index: int, default: float) -> float:
        """Return a number of an array by its index, or the default if the array is shorter or missing."""
        values = self.rows(key, [])
        return as_float(values[index], default) if index < len(values) else default


def settings_from(conf: object) -> Settings:
    """Read the site's settings. Raises ``ValueError`` with the path of the key and the cause."""
    top = SettingsTable(conf)
    extra = top.table("extra", {})
    limits, safety = top.table("limits"), top.table("safety")
    report, prices = top.table("report", {}), top.table("prices", {})
    doubts: list[str] = []
    classes = [
        _request_class(SettingsTable(row, f"classes[{index}]"), index, extra, doubts)
        for index, row in enumerate(top.rows("classes"))
    ]
    fields = report.texts("fields")
    return Settings(
        classes=classes,
        balancers=max(top.integer("balancers"), 1),  # at least 1, because quotas are divided by it
        me=top.integer("me"),
        zone=top.text("az", ""),
        limits=_dispatch_limits(limits),
        safety=_safety_margins(safety),
        kinds=top.texts("kinds"),
        tenants=[_tenant(SettingsTable(row, "tenants[]")) for row in top.rows("tenants", [])],
        over_share_worth=top.number("overShareWorth", 1.0),
        report_fields=fields if report.value("how") != "off" else [],
        errors_field="err_rps" if "err_rps" in fields else "",
        held_field="active" if "active" in fields else "",
        queued_field="waiting" if "waiting" in fields else "",
        free_slots_field=_field_that_means("free slots", fields, extra),
        free_memory_field=_field_that_means("free memory", fields, extra),
        tells_start=extra.flag("tellsStart"),
        progress_us=extra.microseconds("progressUs", 0),
        queue_order=extra.text("queueOrder", "fifo"),
        must_subscribe=top.text("discovery", "automatic") == "subscribe",
        asks_first=report.text("how", "") == "on_probe",
        probe_price=prices.number("probe", 0.0),
        waste_price=prices.number("waste", 0.0),
        worth_by_work=top.text("worthBy", "") == "work",
        cross_zone_price=prices.number("crossZone", 0.0),
        doubts=doubts,
    )


def _request_class(row: SettingsTable, index: int, extra: SettingsTable, doubts: list[str]) -> RequestClass:
    """Read a row of ``classes``. Some of its settings are in arrays of ``extra``, at the index of the row."""
    effect, group = idempotency_of(row, doubts)
    return RequestClass(
        name=row.text("name"),
        aim_us=row.microseconds("aimUs"),
        deadline_us=row.microseconds("deadlineUs"),
        worth=row.number("worth"),
        effect=effect,
        group=group,
        window_us=row.microseconds("windowUs", 0),
        late_worth=row.number("lateWorth", 0.0),
        stretch=extra.element("classStretch", index, as_float(row.read("aimStretch", NUMBER, 0.0))),
        kind=int(extra.element("classKind", index, -1)),
        priority=int(extra.element("classPriority", index, 0)),
        stream=row.flag("stream"),
    )


def idempotency_of(row: SettingsTable, doubts: list[str]) -> tuple[str, str]:
    """Read the effect and group of a class.

    An unknown value that matters counts as effect ``once`` (not idempotent) and is added to ``doubts``.
    """
    effect, group = row.text("effect"), row.text("group", "all")
    if effect not in EFFECTS:
        doubts.append(f"{row.path}.effect: unknown value {effect!r}, taken for 'once'")
        effect = "once"
    if group not in GROUPS:
        if effect == "by_key":
            doubts.append(
                f"{row.path}.group: unknown value {group!r}, the class is taken for one of effect 'once'"
            )
            effect = "once"
        group = "all"  # The group matters only for classes with effect by_key.
    return effect, group


def _dispatch_limits(limits: SettingsTable) -> DispatchLimits:
    return DispatchLimits(
        cancelling=limits.flag("cancelling"),
        probes=limits.flag("probes"),
        peers=limits.flag("peers"),
        retry_after=limits.flag("retryAfter"),
        second_copies=limits.flag("secondCopies"),
        send_cap=limits.integer("sendCap"),
        max_retry_after_us=limits.microseconds("maxRetryAfterUs", 0),
    )


def _safety_margins(safety: SettingsTable) -> SafetyMargins:
    return SafetyMargins(
        drain_grace_us=safety.microseconds("drainGraceUs"),
        cold_from=safety.number("coldFrom"),
        cold_us=safety.microseconds("coldUs"),
        tip_multiple=safety.number("tipMultiple"),
        overload_for_us=safety.microseconds("overloadForUs"),
        answer_slack_us=safety.microseconds("answerSlackUs", 0),
        must_ask_in_us=safety.microseconds("mustAskInUs", 0),
    )


def _tenant(row: SettingsTable) -> Tenant:
    return Tenant(row.text("name"), row.number("quotaPerS"), row.number("share", 1.0))


def _field_that_means(meaning: str, fields: list[str], extra: SettingsTable) -> str:
    """Return the custom report field (``x0`` or ``x1``) to which ``extra`` gives this meaning, or ""."""
    names = {"x0": "reportX0", "x1": "reportX1"}
    return next((field for field in names if field in fields and extra.value(names[field]) == meaning), "")
