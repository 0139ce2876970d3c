"""The site's settings, as the simulator's wire and the node's configuration name them, read once for both."""

from __future__ import annotations

import math
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


def int_of(value: object, default: int = 0) -> int:
    """Return a number as a whole one; the default for what is none."""
    return int(value) if isinstance(value, (int, float)) and math.isfinite(value) else default


def num_of(value: object, default: float = 0.0) -> float:
    """Return a number; the default for what is none."""
    return float(value) if isinstance(value, (int, float)) and math.isfinite(value) else default


def str_of(value: object) -> str:
    """Return a text; the empty one for what is none."""
    return value if isinstance(value, str) else ""


_REQUIRED: Any = object()


def get_of(table: object, path: str, kind: type | tuple[type, ...], default: Any = _REQUIRED) -> Any:
    """Read one setting, raising ``ValueError`` with its path where it is missing or of a wrong type."""
    name = path.rsplit(".", 1)[-1]
    value = table.get(name) if isinstance(table, dict) else None
    if value is None and default is not _REQUIRED:
        return default
    wrong_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or wrong_bool:
        raise ValueError(f"{path}: {'missing' if value is None else 'malformed'}")
    return value


NUMBER = (int, float)


def repeats_of(row: object, at: str, doubts: list[str]) -> tuple[str, str]:
    """Read a class's effect and group. What this version does not know counts as unsafe to repeat."""
    effect = get_of(row, f"{at}.effect", str)
    group = get_of(row, f"{at}.group", str, "all")
    if effect not in EFFECTS:
        doubts.append(f"{at}.effect: unknown value {effect!r}, taken for 'once'")
        effect = "once"
    if group not in GROUPS:
        if effect == "by_key":
            doubts.append(f"{at}.group: unknown value {group!r}, the class is taken for one of effect 'once'")
            effect = "once"
        group = "all"  # which counts for keyed classes only
    return effect, group


def settings_from(conf: object) -> Settings:
    """Translate the ``conf`` of a ``Create``."""
    extra = get_of(conf, "extra", dict, {})
    limits = get_of(conf, "limits", dict)
    safety = get_of(conf, "safety", dict)
    report = get_of(conf, "report", dict, {})
    prices = get_of(conf, "prices", dict, {})
    rows = get_of(conf, "classes", list)

    def per_class(name: str, at: int, default: float) -> float:
        values = get_of(extra, f"extra.{name}", list, [])
        return num_of(values[at], default) if at < len(values) else default

    classes = []
    doubts: list[str] = []
    for i, row in enumerate(rows):
        at = f"classes[{i}]"
        effect, group = repeats_of(row, at, doubts)
        classes.append(
            RequestClass(
                name=get_of(row, f"{at}.name", str),
                aim_us=int(get_of(row, f"{at}.aimUs", NUMBER)),
                deadline_us=int(get_of(row, f"{at}.deadlineUs", NUMBER)),
                worth=float(get_of(row, f"{at}.worth", NUMBER)),
                effect=effect,
                group=group,
                window_us=int(get_of(row, f"{at}.windowUs", NUMBER, 0)),
                late_worth=float(get_of(row, f"{at}.lateWorth", NUMBER, 0.0)),
                stretch=per_class("classStretch", i, num_of(get_of(row, f"{at}.aimStretch", NUMBER, 0.0))),
                kind=int(per_class("classKind", i, -1)),
                priority=int(per_class("classPriority", i, 0)),
                stream=get_of(row, f"{at}.stream", bool, False),
            )
        )
    fields = [str_of(name) for name in get_of(report, "report.fields", list, [])]

    def meaning(text: str) -> str:
        return next((x for x in ("x0", "x1") if x in fields and extra.get(f"reportX{x[1]}") == text), "")

    return Settings(
        classes=classes,
        balancers=max(get_of(conf, "balancers", int), 1),  # Guards against a count of 0: shares divide by it
        me=get_of(conf, "me", int),
        zone=get_of(conf, "az", str, ""),
        limits=DispatchLimits(
            cancelling=get_of(limits, "limits.cancelling", bool, False),
            probes=get_of(limits, "limits.probes", bool, False),
            peers=get_of(limits, "limits.peers", bool, False),
            retry_after=get_of(limits, "limits.retryAfter", bool, False),
            second_copies=get_of(limits, "limits.secondCopies", bool, False),
            send_cap=get_of(limits, "limits.sendCap", int),
            max_retry_after_us=int(get_of(limits, "limits.maxRetryAfterUs", NUMBER, 0)),
        ),
        safety=SafetyMargins(
            drain_grace_us=int(get_of(safety, "safety.drainGraceUs", NUMBER)),
            cold_from=float(get_of(safety, "safety.coldFrom", NUMBER)),
            cold_us=int(get_of(safety, "safety.coldUs", NUMBER)),
            tip_multiple=float(get_of(safety, "safety.tipMultiple", NUMBER)),
            overload_for_us=int(get_of(safety, "safety.overloadForUs", NUMBER)),
            answer_slack_us=int(get_of(safety, "safety.answerSlackUs", NUMBER, 0)),
            must_ask_in_us=int(get_of(safety, "safety.mustAskInUs", NUMBER, 0)),
        ),
        kinds=[str_of(name) for name in get_of(conf, "kinds", list, [])],
        tenants=[
            Tenant(
                get_of(row, "tenants[].name", str),
                float(get_of(row, "tenants[].quotaPerS", NUMBER)),
                float(get_of(row, "tenants[].share", NUMBER, 1.0)),
            )
            for row in get_of(conf, "tenants", list, [])
        ],
        over_share_worth=float(get_of(conf, "overShareWorth", NUMBER, 1.0)),
        report_fields=fields if report.get("how") != "off" else [],
        errors_field="err_rps" if "err_rps" in fields else "",
        held_field="active" if "active" in fields else "",
        queued_field="waiting" if "waiting" in fields else "",
        free_slots_field=meaning("free slots"),
        free_memory_field=meaning("free memory"),
        tells_start=get_of(extra, "extra.tellsStart", bool, False),
        progress_us=int(get_of(extra, "extra.progressUs", NUMBER, 0)),
        queue_order=get_of(extra, "extra.queueOrder", str, "fifo"),
        must_subscribe=get_of(conf, "discovery", str, "automatic") == "subscribe",
        asks_first=get_of(report, "report.how", str, "") == "on_probe",
        probe_price=float(get_of(prices, "prices.probe", NUMBER, 0.0)),
        waste_price=float(get_of(prices, "prices.waste", NUMBER, 0.0)),
        worth_by_work=get_of(conf, "worthBy", str, "") == "work",
        cross_zone_price=float(get_of(prices, "prices.crossZone", NUMBER, 0.0)),
        doubts=doubts,
    )
