"""Weights as a plain proxy takes them: whole numbers from 0 to 256. Rounding them is a decision.

Rule 1: no line of a pool is lost by rounding. Rule 4: a cold line's part of the pool is never rounded up.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

FULL = 256  # the most that the runtime socket's `set server ... weight` takes
FRESH = 192  # a new scale leaves the greatest line room to grow by a third before all must be sent anew
LEAST = 64  # below, a line of a hundredth of a dozen's pool would be rounded by over a tenth


def rescale(greatest: float, scale: float) -> float:
    """The scale to use for lines up to `greatest`: the one before as long as it still fits.

    A scale that stays lets lines that stay keep their whole numbers, so that they cost no order.
    """
    return scale if LEAST <= greatest * scale <= FULL else FRESH / greatest


def round_pool(lines: Mapping[K, float], cold: Collection[K], scale: float) -> tuple[dict[K, int], float]:
    """The whole weights of a pool's lines, and the scale behind them.

    lines: weights above 0, in any unit; cold: which of them must not get more than their part; scale: the one
    of the last rounding of this pool, 0 at first. Warm lines come out at 1 or more; a cold one may come out
    at 0 while something warm is there.
    """
    wanted = {line: weight for line, weight in lines.items() if weight > 0}
    if not wanted:
        return {}, scale
    scale = rescale(max(wanted.values()), scale)
    warm = {line: max(1, round(weight * scale)) for line, weight in wanted.items() if line not in cold}
    if not warm:  # nothing else is there: what is cold takes all, each at least something
        return {line: max(1, int(weight * scale)) for line, weight in wanted.items()}, scale
    whole = sum(wanted.values())
    rounded = {line: int(weight * scale) for line, weight in wanted.items() if line in cold}
    total, changed = sum(warm.values()) + sum(rounded.values()), True
    while changed:  # each turn lowers some line, and none below 0
        changed = False
        for line, figure in rounded.items():
            most = int(wanted[line] / whole * total)
            if figure > most:
                rounded[line], total, changed = most, total - (figure - most), True
    return {line: warm[line] if line in warm else rounded[line] for line in wanted}, scale
