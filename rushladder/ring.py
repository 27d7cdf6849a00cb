"""Sums over time in fixed buckets, used again in a ring. Purely mechanical: sizes are passed in."""

from __future__ import annotations


class Ring:
    """`fields` sums for each of `count` buckets of `width` time."""

    __slots__ = ("_cells", "_count", "_stamps", "_width", "_zero")

    def __init__(self, width: int, count: int, fields: int = 1) -> None:
        self._width = width
        self._count = count
        self._zero = (0.0,) * fields
        self._cells = [list(self._zero) for _ in range(count)]
        self._stamps = [-1] * count

    def add(self, now: int, *values: float) -> None:
        """Adds to the bucket of `now`, emptying it first if it last served an earlier round."""
        stamp = now // self._width
        place = stamp % self._count
        cell = self._cells[place]
        if self._stamps[place] != stamp:
            self._stamps[place] = stamp
            cell[:] = self._zero
        for k, value in enumerate(values):
            cell[k] += value

    def total(self, now: int, buckets: int) -> list[float]:
        """Sums over the newest `buckets`, the one of `now` included."""
        newest = now // self._width
        oldest = newest - buckets
        found = [
            cell for stamp, cell in zip(self._stamps, self._cells, strict=True) if oldest < stamp <= newest
        ]
        return [sum(column) for column in zip(self._zero, *found, strict=True)]
