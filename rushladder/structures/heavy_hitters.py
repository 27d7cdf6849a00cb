"""Heavy hitters in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi).

With `most` counters, a count is over by at most all that was counted, divided by `most`; whoever sent more
than that is surely among them.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class HeavyHitters(Generic[K]):
    """Counts by key, in buckets of equal counts, so that adding one is a few dictionary steps."""

    def __init__(self, most: int) -> None:
        self._most, self.total = most, 0
        self._count, self._over = dict[K, int](), dict[K, int]()
        self._buckets = dict[int, dict[K, None]]()

    def add(self, key: K, many: int = 1) -> None:
        self.total += many
        if key in self._count:
            self._move(key, self._count[key] + many)
            return
        over = 0
        if len(self._count) >= self._most:
            over = min(self._buckets)  # of no more buckets than counters
            gone = next(iter(self._buckets[over]))
            self._take(gone)
            del self._count[gone], self._over[gone]
        self._over[key] = over
        self._put(key, over + many)

    def top(self, many: int) -> list[tuple[K, int, int]]:
        """Key, count, and by how much the count may be over; the greatest first."""
        some = sorted(self._count, key=lambda key: -self._count[key])[:many]
        return [(key, self._count[key], self._over[key]) for key in some]

    def _move(self, key: K, count: int) -> None:
        self._take(key)
        self._put(key, count)

    def _take(self, key: K) -> None:
        bucket = self._buckets[self._count[key]]
        del bucket[key]
        if not bucket:
            del self._buckets[self._count[key]]

    def _put(self, key: K, count: int) -> None:
        self._count[key] = count
        self._buckets.setdefault(count, {})[key] = None
