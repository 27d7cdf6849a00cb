"""Rounds weights to the integers from 0 to 256 that a plain proxy accepts.

Rule 1: rounding never removes a line of a pool. Rule 4: a cold line's share of the pool is never rounded up.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

MAX_WEIGHT = 256  # the maximum of the runtime socket's `set server ... weight`
NEW_LARGEST = 192  # under a new scale: it may grow by a third before all lines have to be sent again
MIN_LARGEST = 64  # below it, a line with 1/100 of a pool of twelve would be rounded by more than a tenth


def rescale(largest: float, scale: float) -> float:
    """The scale for weights up to `largest`: the previous one as long as it fits.

    Keeping the scale keeps the integers of unchanged lines, so that they need no command.
    """
    return scale if MIN_LARGEST <= largest * scale <= MAX_WEIGHT else NEW_LARGEST / largest


def round_pool(lines: Mapping[K, float], cold: Collection[K], scale: float) -> tuple[dict[K, int], float]:
    """Returns the integer weights of a pool's lines and the scale used.

    lines: weights above 0 in any unit; cold: lines that must not get more than their share; scale: that of
    the previous rounding of this pool, 0 at first. Warm lines get at least 1; a cold line may get 0 while
    there is a warm one.
    """
    wanted = {line: weight for line, weight in lines.items() if weight > 0}
    if not wanted:
        return {}, scale
    scale = rescale(max(wanted.values()), scale)
    warm = {line: max(1, round(weight * scale)) for line, weight in wanted.items() if line not in cold}
    if not warm:  # the cold lines carry the whole pool, each with at least 1
        return {line: max(1, int(weight * scale)) for line, weight in wanted.items()}, scale
    total_wanted = sum(wanted.values())
    rounded = {line: int(weight * scale) for line, weight in wanted.items() if line in cold}
    total, changed = sum(warm.values()) + sum(rounded.values()), True
    while changed:  # terminates: each pass lowers a line, and none below 0
        changed = False
        for line, value in rounded.items():
            allowed = int(wanted[line] / total_wanted * total)
            if value > allowed:
                rounded[line], total, changed = allowed, total - (value - allowed), True
    return {line: warm[line] if line in warm else rounded[line] for line in wanted}, scale
