"""The load of each server, averaged over its reports. Performs no I/O.

Reports are ordered by the sender's sequence number, decay by the sender's clock, and become stale by ours.

The weight of a report grows exponentially with the sender's uptime at which it was taken (forward decay:
Cormode, Shkapenyuk, Srivastava and Xu). The sums therefore need no update as time passes, and do not depend
on the order in which reports arrive.
"""

from __future__ import annotations

import math
from enum import Enum

import attrs

# Times are tenths of a millisecond.
# 1 s to decay to 1/e. The error is half of that with 3 s, at one to five reports per second.
DECAY_TIME = 10_000.0
# Sequence numbers up to the newest that are accepted: a second of a fast sender, a minute of a slow one.
WINDOW = 64
# Exponent at which the sums are rescaled. e^50 is far below the maximum of a float.
MAX_EXPONENT = 50.0
STALE_AFTER = 50_000  # 5 s without reports, five periods of a common reporter
GONE_AFTER = 150_000  # over 10 s more, the influence of a reading falls to zero
MAX_AHEAD = 20_000  # 2 s by which a sender's clock may be ahead of ours, counted from its first report
MAX_CLOCK_RATE = 1.01  # how much faster it may run than ours: a hundred times the drift of a bad clock


class ReadingOutcome(Enum):
    """What became of a report."""

    NEW = "new"
    LATE = "older than the newest, still counted"
    DUPLICATE = "duplicate, or too old"
    OLD_INCARNATION = "from an incarnation before the server's last start"
    INVALID = "invalid load, or a clock that ran ahead"


@attrs.define
class Reading:
    """The reading of one server.

    Times are tenths of a millisecond: `uptime` by the server's clock, `last_heard` by ours.
    """

    boot: int = -1
    newest: int = 0
    seen: int = 0  # a bit for each of the WINDOW sequence numbers up to the newest
    uptime: float = 0.0
    last_heard: int = 0
    weight: float = 0.0
    sum: float = 0.0
    landmark: float = 0.0
    first_heard: int = 0  # our time of the incarnation's first report
    first_uptime: float = 0.0  # its uptime in that report

    def value(self) -> float:
        """The weighted mean of the loads, or 0 if there are none."""
        return self.sum / self.weight if self.weight > 0 else 0.0

    def freshness(self, now: int) -> float:
        """1 while the reading is fresh, falling to 0 between STALE_AFTER and GONE_AFTER."""
        if self.boot < 0:
            return 0.0
        return min(1.0, max(0.0, 1.0 - (now - self.last_heard - STALE_AFTER) / (GONE_AFTER - STALE_AFTER)))

    def add(self, boot: int, number: int, uptime: float, load: float, now: int) -> ReadingOutcome:
        """Adds a report. Only a report with a new highest number updates `last_heard`."""
        if not (math.isfinite(load) and 0.0 <= load <= 100.0) or uptime < 0:
            return ReadingOutcome.INVALID
        if boot < self.boot and now - self.last_heard < GONE_AFTER:
            return ReadingOutcome.OLD_INCARNATION
        if boot != self.boot:
            self._start_incarnation(boot, number, uptime, now)
        ahead = number - self.newest
        if ahead > 0:
            # Compared with the first report, not the last one, so that the order of arrival doesn't matter.
            if uptime > self.first_uptime + MAX_CLOCK_RATE * (now - self.first_heard) + MAX_AHEAD:
                return ReadingOutcome.INVALID
            self.seen = (self.seen << min(ahead, WINDOW)) & (2**WINDOW - 1) | 1
            self.newest, self.uptime, self.last_heard = number, max(self.uptime, uptime), now
            outcome = ReadingOutcome.NEW
        else:
            bit = 1 << -ahead
            if -ahead >= WINDOW or self.seen & bit:
                return ReadingOutcome.DUPLICATE
            self.seen |= bit
            outcome = ReadingOutcome.LATE
        self._add_load(uptime, load)
        return outcome

    def _start_incarnation(self, boot: int, number: int, uptime: float, now: int) -> None:
        self.first_heard, self.first_uptime = now, uptime
        self.boot, self.newest, self.seen, self.uptime, self.last_heard = boot, number - 1, 0, uptime, 0
        self.weight, self.sum, self.landmark = 0.0, 0.0, uptime

    def _add_load(self, uptime: float, load: float) -> None:
        exponent = (uptime - self.landmark) / DECAY_TIME
        if exponent > MAX_EXPONENT:  # moves the landmark and scales all sums down alike
            scale = math.exp(-exponent)
            self.weight, self.sum, self.landmark = self.weight * scale, self.sum * scale, uptime
            exponent = 0.0
        weight = math.exp(max(exponent, -MAX_EXPONENT))
        self.weight += weight
        self.sum += weight * load
