"""Turns the settings of a manager's start into what the module's parts ask for, in our words and times.

Both roads read them here: the simulator's first message holds them, and so does a manager's configuration on
the platform. Their times are microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Any

from rushladder.interface import Channel, Guarantee, Idempotency, LevelUnit, Product, Retry

MICROS_PER_TENTH = 100  # microseconds for each tenth of a millisecond inside
REPEATS = {
    "retryable": Idempotency.INQUIRY_LIKE,
    "dedup": Idempotency.REFERENCED,
    "fragile": Idempotency.ONCE_ONLY,
}
UNITS = {"ratio": LevelUnit.RATIO, "rps": LevelUnit.RATE, "silent": LevelUnit.IGNORED}


class SettingsError(ValueError):
    """The settings are not what their description allows."""


def micros_to_tenths(micros: float) -> int:
    return int(micros) // MICROS_PER_TENTH


def manager_arguments(boot: Mapping[str, Any]) -> dict[str, Any]:
    """The keyword arguments of a manager. Raises SettingsError with the reason."""
    try:
        return _manager_arguments(boot)
    except KeyError as missing:
        raise SettingsError(f"lacks {missing}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as trouble:
        raise SettingsError(f"cannot be read: {trouble}") from None


def _manager_arguments(boot: Mapping[str, Any]) -> dict[str, Any]:
    fam, rules, limits = boot["family_info"], boot["guarantees"], boot["limits"]
    return {
        "managers": int(boot["group_size"]),
        "zones": tuple(str(zone) for zone in boot["azs"]),
        "products": _products(boot["lanes"], fam),
        "channel": Channel(
            lines_per_s=_above_0(fam, "egress_per_s"),
            pending_max=float(fam["pending_max"]),
            message_overhead=float(fam["head"]),
            message_cap=int(fam.get("update_cap", 0)),
            cap_window=micros_to_tenths(fam.get("counted_over", 0)),
            usual_delay=micros_to_tenths(fam["propagation"]),
            max_delay=micros_to_tenths(fam["push_delay_max"]),
        ),
        "guarantee": Guarantee(
            no_worker_limit=micros_to_tenths(fam["bare"]),
            drain_grace=micros_to_tenths(rules["drain_grace"]),
            cold_time=micros_to_tenths(rules["cold"]),
            cold_from=float(rules["cold_from"]),
            overload_factor=float(rules["overload_factor"]),
            overload_duration=micros_to_tenths(rules["overload_for"]),
            list_retry_within=micros_to_tenths(rules.get("ask_within", 0)),
            dropped_stay_open=bool(rules.get("dropped_stay_open", False)),
        ),
        "level_unit": UNITS[fam["throttle_by"]],
        "asks_list": boot["membership_mode"] == "subscribe",
        "may_probe": bool(limits["probes"]),
        "may_tell": bool(limits["may_tell"]),
        "slices": int(fam["key_ranges"]),
        "usual": Retry(int(fam.get("base_mode", 0))),
    }


def _above_0(fam: Mapping[str, Any], field: str) -> float:
    """A figure that is divided by: 0 would end the first batch in a traceback. Raises SettingsError."""
    value = float(fam[field])
    if not 0 < value < inf:
        raise SettingsError(f"family_info.{field} should be above 0")
    return value


def _products(lanes: list[Mapping[str, Any]], fam: Mapping[str, Any]) -> tuple[Product, ...]:
    writers = fam.get("writers") or [False] * len(lanes)
    bound = fam.get("zone_bound") or [False] * len(lanes)
    return tuple(
        Product(
            name=str(lane["name"]),
            sla_time=micros_to_tenths(lane["target"]),
            expiry=micros_to_tenths(lane["deadline"]),
            revenue=float(lane["points"]),
            late_revenue_fraction=float(lane.get("late_worth", 0.0)),
            idempotency=REPEATS[lane["idempotency"]],
            dedup_group=str(lane.get("group", "all")),
            dedup_window=micros_to_tenths(lane.get("repeat_window", 0)),
            writes=bool(writers[place]),
            home_only=bool(bound[place]),
            models=frozenset(lane.get("only_kinds") or ()),
            zones=frozenset(lane.get("only_zones") or ()),
        )
        for place, lane in enumerate(lanes)
    )
