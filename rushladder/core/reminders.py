"""The reminders that a module asked for, by the time at which they are due."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import count

from rushladder.interface import Reminder


class Reminders:
    def __init__(self) -> None:
        self._due, self._order = list[tuple[int, int, int]](), count()

    def add(self, at: int, token: int) -> None:
        heapq.heappush(self._due, (at, next(self._order), token))

    def due(self, now: int) -> Iterator[Reminder]:
        """Those due by `now`, in the order of their times, then of their asking."""
        while self._due and self._due[0][0] <= now:
            yield Reminder(heapq.heappop(self._due)[2])

    def next(self) -> int | None:
        return self._due[0][0] if self._due else None
