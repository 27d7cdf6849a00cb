"""A hierarchical timing wheel: times of expiry that are mostly moved before they come.

Each level has slots of a width that is the level's below times their number. An entry lies in the lowest
level that reaches its time; as time passes, a slot of a higher level is dealt out to the lower ones. Moving
an entry costs two dictionary steps, whatever is in the wheel. After Varghese and Lauck, "Hashed and
Hierarchical Timing Wheels".
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

SLOTS = 64  # a level: 64 x 64 x 64 ticks are 7 hours at a tenth of a second


class TimingWheel(Generic[K]):
    """Entries by key, each with a time. tick: the width of the lowest level's slots; times are whole
    numbers."""

    def __init__(self, tick: int, now: int, levels: int = 3) -> None:
        self._tick, self._turn = tick, now // tick
        self._levels = [[dict[K, int]() for _ in range(SLOTS)] for _ in range(levels)]
        self._where = dict[K, dict[K, int]]()

    def __len__(self) -> int:
        return len(self._where)

    def set(self, key: K, at: int) -> None:
        """The key expires at `at`, and no earlier time counts any more. Past times expire with the next
        advance."""
        self.cancel(key)
        self._place(key, at)

    def cancel(self, key: K) -> None:
        slot = self._where.pop(key, None)
        if slot is not None:
            del slot[key]

    def advance(self, now: int) -> list[K]:
        """The keys whose time has come, in the order of their slots."""
        found, turn = list[K](), now // self._tick
        while self._turn < turn and self._where:
            self._turn += 1
            for level in range(len(self._levels) - 1, 0, -1):
                if self._turn % SLOTS**level == 0:
                    self._deal(level)
            slot = self._levels[0][self._turn % SLOTS]
            due = [key for key, at in slot.items() if at // self._tick <= self._turn]
            for key in due:
                del slot[key], self._where[key]
            found += due
        self._turn = max(self._turn, turn)
        return found

    def _place(self, key: K, at: int) -> None:
        turn = max(at // self._tick, self._turn + 1)
        away = turn - self._turn
        for level, slots in enumerate(self._levels):
            if away < SLOTS ** (level + 1) or level == len(self._levels) - 1:
                # Beyond the last level's reach an entry waits in its farthest slot and is dealt out anew.
                reach = (
                    min(turn, self._turn + SLOTS ** (level + 1) - SLOTS**level)
                    if away >= SLOTS ** (level + 1)
                    else turn
                )
                slot = slots[(reach // SLOTS**level) % SLOTS]
                slot[key] = at
                self._where[key] = slot
                return

    def _deal(self, level: int) -> None:
        slot = self._levels[level][(self._turn // SLOTS**level) % SLOTS]
        entries = list(slot.items())
        slot.clear()
        for key, at in entries:
            if at // self._tick <= self._turn:
                lowest = self._levels[0][self._turn % SLOTS]
                lowest[key] = at
                self._where[key] = lowest
            else:
                self._place(key, at)
