"""The reminders that a decision module has requested, ordered by due time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import count

from rushladder.interface import Reminder


class Reminders:
    """A priority queue of reminders."""

    def __init__(self) -> None:
        self._due, self._order = list[tuple[int, int, int]](), count()

    def add(self, at: int, token: int) -> None:
        heapq.heappush(self._due, (at, next(self._order), token))

    def due(self, now: int) -> Iterator[Reminder]:
        """Removes and yields the reminders due by `now`, by due time and then in the order of request."""
        while self._due and self._due[0][0] <= now:
            yield Reminder(heapq.heappop(self._due)[2])

    def next(self) -> int | None:
        return self._due[0][0] if self._due else None
