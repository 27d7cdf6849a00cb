"""Sums over a sliding window of time, in a ring of buckets. All sizes are parameters."""

from __future__ import annotations


class Ring:
    """`fields` sums for each of `count` buckets that cover `width` time each."""

    __slots__ = ("_buckets", "_count", "_stamps", "_width", "_zero")

    def __init__(self, width: int, count: int, fields: int = 1) -> None:
        self._width = width
        self._count = count
        self._zero = (0.0,) * fields
        self._buckets = [list(self._zero) for _ in range(count)]
        self._stamps = [-1] * count

    def add(self, now: int, *values: float) -> None:
        """Adds to the bucket of `now`, which is reset first if it holds an earlier interval."""
        stamp = now // self._width
        index = stamp % self._count
        bucket = self._buckets[index]
        if self._stamps[index] != stamp:
            self._stamps[index] = stamp
            bucket[:] = self._zero
        for k, value in enumerate(values):
            bucket[k] += value

    def total(self, now: int, buckets: int) -> list[float]:
        """The sums over the newest `buckets` buckets, including the one of `now`."""
        newest = now // self._width
        oldest = newest - buckets
        recent = [
            bucket
            for stamp, bucket in zip(self._stamps, self._buckets, strict=True)
            if oldest < stamp <= newest
        ]
        return [sum(column) for column in zip(self._zero, *recent, strict=True)]
