"""What each server last said of itself: ordered by its own count, faded by its own clock, stale by ours.
Free of I/O.

A reading's weight grows exponentially with the sender's uptime when it was taken (forward decay: Cormode,
Shkapenyuk, Srivastava and Xu), so that sums need no touching as time passes, and come out the same in
whatever order reports arrive.
"""

from __future__ import annotations

import math
from enum import Enum

import attrs

FADES = 10_000.0  # 1 s to fade to 1/e: half the error of 3 s at one to five readings a second
WINDOW = 64  # numbers under the newest that may still come: a second of a fast sender, a minute of a slow one
LANDMARK = 50.0  # e^50 of growth before the sums are scaled down: far from the end of a float's range
STALE = 50_000  # 5 s of silence: five of a common reporter's periods
GONE = 150_000  # 10 s more, over which a reading's say fades to nothing
AHEAD = 20_000  # 2 s by which a sender's clock may be ahead of ours, counted from its first report
DRIFT = 1.01  # and by how much faster it may run: a hundred times what a bad clock does


class ReadingOutcome(Enum):
    NEW = "new"
    LATE = "late, still counted"
    REPEATED = "repeated, or too late"
    OLD_LIFE = "of a life before the last start"
    UNREAL = "no load, or a clock that ran ahead"


@attrs.define
class Reading:
    """One server's. Times: tenths of a millisecond; uptime by its clock, `heard` by ours."""

    boot: int = -1
    newest: int = 0
    seen: int = 0  # a bit for each of the WINDOW numbers up to the newest
    uptime: float = 0.0
    last_heard: int = 0
    weight: float = 0.0
    sum: float = 0.0
    landmark: float = 0.0
    born_at: int = 0  # when its life was first heard of, and its uptime then
    born_uptime: float = 0.0

    def value(self) -> float:
        """The faded mean of the loads; 0 where there is none."""
        return self.sum / self.weight if self.weight > 0 else 0.0

    def freshness(self, now: int) -> float:
        """1 while it is fresh, falling to 0 once it is gone."""
        if self.boot < 0:
            return 0.0
        return min(1.0, max(0.0, 1.0 - (now - self.last_heard - STALE) / (GONE - STALE)))

    def add(self, boot: int, number: int, uptime: float, load: float, now: int) -> ReadingOutcome:
        """One report. Only what is new moves the time at which the sender was last heard."""
        if not (math.isfinite(load) and 0.0 <= load <= 100.0) or uptime < 0:
            return ReadingOutcome.UNREAL
        if boot < self.boot and now - self.last_heard < GONE:
            return ReadingOutcome.OLD_LIFE
        if boot != self.boot:
            self._born(boot, number, uptime, now)
        ahead = number - self.newest
        if ahead > 0:
            # Against its birth, not its last report: the same for whatever order reports come in.
            if uptime > self.born_uptime + DRIFT * (now - self.born_at) + AHEAD:
                return ReadingOutcome.UNREAL
            self.seen = (self.seen << min(ahead, WINDOW)) & (2**WINDOW - 1) | 1
            self.newest, self.uptime, self.last_heard = number, max(self.uptime, uptime), now
            order = ReadingOutcome.NEW
        else:
            bit = 1 << -ahead
            if -ahead >= WINDOW or self.seen & bit:
                return ReadingOutcome.REPEATED
            self.seen |= bit
            order = ReadingOutcome.LATE
        self._add(uptime, load)
        return order

    def _born(self, boot: int, number: int, uptime: float, now: int) -> None:
        self.born_at, self.born_uptime = now, uptime
        self.boot, self.newest, self.seen, self.uptime, self.last_heard = boot, number - 1, 0, uptime, 0
        self.weight, self.sum, self.landmark = 0.0, 0.0, uptime

    def _add(self, uptime: float, load: float) -> None:
        grown = (uptime - self.landmark) / FADES
        if grown > LANDMARK:  # the landmark moves; all sums shrink alike
            shrink = math.exp(-grown)
            self.weight, self.sum, self.landmark = self.weight * shrink, self.sum * shrink, uptime
            grown = 0.0
        weight = math.exp(max(grown, -LANDMARK))
        self.weight += weight
        self.sum += weight * load
