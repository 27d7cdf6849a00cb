"""Heavy hitters in bounded memory, by the Space-Saving algorithm (Metwally, Agrawal, El Abbadi).

With `max_counters` counters, a count is too high by at most the total divided by `max_counters`. Every key
with a greater share is certain to be among the counted ones.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class HeavyHitters(Generic[K]):
    """Counts by key. Keys with equal counts share a bucket, so adding takes a few dictionary operations."""

    def __init__(self, max_counters: int) -> None:
        self._max_counters, self.total = max_counters, 0
        self._counts, self._errors = dict[K, int](), dict[K, int]()
        self._buckets = dict[int, dict[K, None]]()

    def add(self, key: K, amount: int = 1) -> None:
        self.total += amount
        if key in self._counts:
            self._move(key, self._counts[key] + amount)
            return
        error = 0
        if len(self._counts) >= self._max_counters:
            error = min(self._buckets)  # there are at most as many buckets as counters
            evicted = next(iter(self._buckets[error]))
            self._remove(evicted)
            del self._counts[evicted], self._errors[evicted]
        self._errors[key] = error
        self._insert(key, error + amount)

    def top(self, limit: int) -> list[tuple[K, int, int]]:
        """Key, count, and by how much the count may be too high. Highest count first."""
        keys = sorted(self._counts, key=lambda key: -self._counts[key])[:limit]
        return [(key, self._counts[key], self._errors[key]) for key in keys]

    def _move(self, key: K, count: int) -> None:
        self._remove(key)
        self._insert(key, count)

    def _remove(self, key: K) -> None:
        bucket = self._buckets[self._counts[key]]
        del bucket[key]
        if not bucket:
            del self._buckets[self._counts[key]]

    def _insert(self, key: K, count: int) -> None:
        self._counts[key] = count
        self._buckets.setdefault(count, {})[key] = None
