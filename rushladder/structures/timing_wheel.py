"""A hierarchical timing wheel, for expiry times that are usually moved before they are reached.

The slots of each level are as wide as the whole level below. An entry is in the lowest level that covers its
time. When time reaches a slot of a higher level, its entries are redistributed to the lower levels. Moving an
entry takes two dictionary operations, however many entries there are. After Varghese and Lauck, "Hashed and
Hierarchical Timing Wheels".
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

SLOTS = 64  # per level; three levels of 64 slots cover 7 hours at a tick of a tenth of a second


class TimingWheel(Generic[K]):
    """Keys with expiry times. Times are integers. tick: the width of the slots of the lowest level."""

    def __init__(self, tick: int, now: int, levels: int = 3) -> None:
        self._tick, self._current_tick = tick, now // tick
        self._levels = [[dict[K, int]() for _ in range(SLOTS)] for _ in range(levels)]
        self._slot_of = dict[K, dict[K, int]]()

    def __len__(self) -> int:
        return len(self._slot_of)

    def set(self, key: K, at: int) -> None:
        """Sets the expiry time of a key, replacing any earlier one. A time in the past expires with the next
        `advance`."""
        self.cancel(key)
        self._insert(key, at)

    def cancel(self, key: K) -> None:
        slot = self._slot_of.pop(key, None)
        if slot is not None:
            del slot[key]

    def advance(self, now: int) -> list[K]:
        """Removes and returns the keys that have expired, in the order of their slots."""
        expired, target = list[K](), now // self._tick
        while self._current_tick < target and self._slot_of:
            self._current_tick += 1
            for level in range(len(self._levels) - 1, 0, -1):
                if self._current_tick % SLOTS**level == 0:
                    self._redistribute(level)
            slot = self._levels[0][self._current_tick % SLOTS]
            due = [key for key, at in slot.items() if at // self._tick <= self._current_tick]
            for key in due:
                del slot[key], self._slot_of[key]
            expired += due
        self._current_tick = max(self._current_tick, target)
        return expired

    def _insert(self, key: K, at: int) -> None:
        tick = max(at // self._tick, self._current_tick + 1)
        distance = tick - self._current_tick
        for level, slots in enumerate(self._levels):
            if distance < SLOTS ** (level + 1) or level == len(self._levels) - 1:
                # An entry beyond the range of the last level waits in its farthest slot and is inserted again
                # when that slot is reached.
                slot_tick = (
                    min(tick, self._current_tick + SLOTS ** (level + 1) - SLOTS**level)
                    if distance >= SLOTS ** (level + 1)
                    else tick
                )
                slot = slots[(slot_tick // SLOTS**level) % SLOTS]
                slot[key] = at
                self._slot_of[key] = slot
                return

    def _redistribute(self, level: int) -> None:
        """Moves the entries of the current slot of a level to the levels below."""
        slot = self._levels[level][(self._current_tick // SLOTS**level) % SLOTS]
        entries = list(slot.items())
        slot.clear()
        for key, at in entries:
            if at // self._tick <= self._current_tick:
                lowest = self._levels[0][self._current_tick % SLOTS]
                lowest[key] = at
                self._slot_of[key] = lowest
            else:
                self._insert(key, at)
