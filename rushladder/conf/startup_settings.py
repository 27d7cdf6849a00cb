"""Converts the settings that a manager gets at its start into the decision module's keyword arguments.

The simulator sends these settings in its first message, and the platform has them in a manager's
configuration file. Their times are microseconds; the module's are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Any

from rushladder.interface import Channel, Guarantee, Idempotency, LevelUnit, Product, Retry

MICROS_PER_TENTH = 100  # microseconds per tenth of a millisecond
IDEMPOTENCY = {
    "retryable": Idempotency.INQUIRY_LIKE,
    "dedup": Idempotency.REFERENCED,
    "fragile": Idempotency.ONCE_ONLY,
}
LEVEL_UNITS = {"ratio": LevelUnit.RATIO, "rps": LevelUnit.RATE, "silent": LevelUnit.IGNORED}


class SettingsError(ValueError):
    """The settings can't be used; says which field, and what is allowed."""


def micros_to_tenths(micros: float) -> int:
    """Converts microseconds to whole tenths of a millisecond, rounded down."""
    return int(micros) // MICROS_PER_TENTH


def manager_arguments(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the keyword arguments of a manager's decision module. Raises SettingsError."""
    try:
        return _manager_arguments(settings)
    except KeyError as missing:
        raise SettingsError(f"lacks {missing}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"cannot be read: {error}") from None


def _manager_arguments(settings: Mapping[str, Any]) -> dict[str, Any]:
    family, guarantees, limits = settings["family_info"], settings["guarantees"], settings["limits"]
    return {
        "managers": int(settings["group_size"]),
        "zones": tuple(str(zone) for zone in settings["azs"]),
        "products": _products(settings["lanes"], family),
        "channel": Channel(
            lines_per_s=_positive(family, "egress_per_s"),
            pending_max=float(family["pending_max"]),
            message_overhead=float(family["head"]),
            message_cap=int(family.get("update_cap", 0)),
            cap_window=micros_to_tenths(family.get("counted_over", 0)),
            usual_delay=micros_to_tenths(family["propagation"]),
            max_delay=micros_to_tenths(family["push_delay_max"]),
        ),
        "guarantee": Guarantee(
            no_worker_limit=micros_to_tenths(family["bare"]),
            drain_grace=micros_to_tenths(guarantees["drain_grace"]),
            cold_time=micros_to_tenths(guarantees["cold"]),
            cold_from=float(guarantees["cold_from"]),
            overload_factor=float(guarantees["overload_factor"]),
            overload_duration=micros_to_tenths(guarantees["overload_for"]),
            list_retry_within=micros_to_tenths(guarantees.get("ask_within", 0)),
            dropped_stay_open=bool(guarantees.get("dropped_stay_open", False)),
        ),
        "level_unit": LEVEL_UNITS[family["throttle_by"]],
        "asks_list": settings["membership_mode"] == "subscribe",
        "may_probe": bool(limits["probes"]),
        "may_tell": bool(limits["may_tell"]),
        "slices": int(family["key_ranges"]),
        "usual": Retry(int(family.get("base_mode", 0))),
    }


def _positive(family: Mapping[str, Any], field: str) -> float:
    """Reads a number that is used as a divisor: 0 would raise in the first batch. Raises SettingsError."""
    value = float(family[field])
    if not 0 < value < inf:
        raise SettingsError(f"family_info.{field} should be a finite number above 0")
    return value


def _products(lanes: list[Mapping[str, Any]], family: Mapping[str, Any]) -> tuple[Product, ...]:
    writers = family.get("writers") or [False] * len(lanes)
    zone_bound = family.get("zone_bound") or [False] * len(lanes)
    return tuple(
        Product(
            name=str(lane["name"]),
            sla_time=micros_to_tenths(lane["target"]),
            expiry=micros_to_tenths(lane["deadline"]),
            revenue=float(lane["points"]),
            late_revenue_fraction=float(lane.get("late_worth", 0.0)),
            idempotency=IDEMPOTENCY[lane["idempotency"]],
            dedup_group=str(lane.get("group", "all")),
            dedup_window=micros_to_tenths(lane.get("repeat_window", 0)),
            writes=bool(writers[index]),
            home_only=bool(zone_bound[index]),
            models=frozenset(lane.get("only_kinds") or ()),
            zones=frozenset(lane.get("only_zones") or ()),
        )
        for index, lane in enumerate(lanes)
    )
