"""Turns the settings of a manager's start into what the module's parts ask for, in our words and times.

Both roads read them here: the simulator's first message holds them, and so does a manager's configuration on
the platform. Their times are microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Any

from rushladder.interface import Channel, Guarantee, Idempotency, LevelUnit, Product, Retry

PER_TENTH = 100  # microseconds for each tenth of a millisecond inside
REPEATS = {
    "retryable": Idempotency.INQUIRY_LIKE,
    "dedup": Idempotency.REFERENCED,
    "fragile": Idempotency.ONCE_ONLY,
}
UNITS = {"ratio": LevelUnit.RATIO, "rps": LevelUnit.RATE, "silent": LevelUnit.IGNORED}


class Unfit(ValueError):
    """The settings are not what their description allows."""


def tenths(micros: float) -> int:
    return int(micros) // PER_TENTH


def birth(boot: Mapping[str, Any]) -> dict[str, Any]:
    """The keyword arguments of a manager. Raises Unfit with the reason."""
    try:
        return _birth(boot)
    except KeyError as missing:
        raise Unfit(f"lacks {missing}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as trouble:
        raise Unfit(f"cannot be read: {trouble}") from None


def _birth(boot: Mapping[str, Any]) -> dict[str, Any]:
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
            cap_window=tenths(fam.get("counted_over", 0)),
            usual_delay=tenths(fam["propagation"]),
            max_delay=tenths(fam["push_delay_max"]),
        ),
        "guarantee": Guarantee(
            no_worker_limit=tenths(fam["bare"]),
            drain_grace=tenths(rules["drain_grace"]),
            cold_time=tenths(rules["cold"]),
            cold_from=float(rules["cold_from"]),
            overload_factor=float(rules["overload_factor"]),
            overload_duration=tenths(rules["overload_for"]),
            list_retry_within=tenths(rules.get("ask_within", 0)),
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
    """A figure that is divided by: 0 would end the first batch in a traceback. Raises Unfit."""
    value = float(fam[field])
    if not 0 < value < inf:
        raise Unfit(f"family_info.{field} should be above 0")
    return value


def _products(lanes: list[Mapping[str, Any]], fam: Mapping[str, Any]) -> tuple[Product, ...]:
    writers = fam.get("writers") or [False] * len(lanes)
    bound = fam.get("zone_bound") or [False] * len(lanes)
    return tuple(
        Product(
            name=str(lane["name"]),
            sla_time=tenths(lane["target"]),
            expiry=tenths(lane["deadline"]),
            revenue=float(lane["points"]),
            late_revenue_fraction=float(lane.get("late_worth", 0.0)),
            idempotency=REPEATS[lane["idempotency"]],
            dedup_group=str(lane.get("group", "all")),
            dedup_window=tenths(lane.get("repeat_window", 0)),
            writes=bool(writers[place]),
            home_only=bool(bound[place]),
            models=frozenset(lane.get("only_kinds") or ()),
            zones=frozenset(lane.get("only_zones") or ()),
        )
        for place, lane in enumerate(lanes)
    )
