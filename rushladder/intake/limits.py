"""Rate limits for load reports: a budget for each sender, and one for all together that is shared fairly.

Each sender has a theoretical arrival time (GCRA: ITU-T I.371). A report is accepted if it does not arrive
before that time, and moves it forward by an interval. If all senders together would exceed the total budget,
the interval is the same for each: the number of senders divided by the total budget. A flood therefore costs
only its sender. Dropping reports is harmless because only the newest reading of a server counts.
Performs no I/O.
"""

from __future__ import annotations

from enum import Enum

from rushladder.structures.heavy_hitters import HeavyHitters

TICKS_PER_SECOND = 10_000  # times are tenths of a millisecond
HEAVY_COUNTERS = 64  # counters for heavy senders; a count is too high by at most a 64th of the total


class RateVerdict(Enum):
    """Whether a report is within the limits."""

    ACCEPTED = "accepted"
    OVER_SENDER_BUDGET = "over the sender's own budget"
    OVER_TOTAL_BUDGET = "over the total budget"


class ReportLimits:
    """own: reports per second of one sender; burst: how many it may send at once; all_: reports per second of
    all senders together."""

    def __init__(self, own: float, burst: int, all_: float) -> None:
        self._own_interval, self._total_interval, self._burst = (
            TICKS_PER_SECOND / own,
            TICKS_PER_SECOND / all_,
            burst,
        )
        self._arrival_times = dict[str, float]()
        self._fair_interval, self._second, self._senders, self._previous_senders = (
            self._own_interval,
            0,
            set[str](),
            0,
        )
        self.counts = dict.fromkeys(RateVerdict, 0)
        self.heavy = HeavyHitters[str](HEAVY_COUNTERS)  # senders with the most rejected reports

    def admit(self, sender: str, now: int) -> RateVerdict:
        """Decides about a report of a known sender. Memory is bounded by the number of known senders."""
        if now // TICKS_PER_SECOND != self._second:
            self._start_second(now // TICKS_PER_SECOND)
        self._senders.add(sender)
        interval = max(
            self._own_interval, self._total_interval * max(len(self._senders), self._previous_senders)
        )
        arrival = self._arrival_times.get(sender, 0.0)
        if now < arrival - interval * (self._burst - 1):
            verdict = (
                RateVerdict.OVER_SENDER_BUDGET
                if interval <= self._own_interval
                else RateVerdict.OVER_TOTAL_BUDGET
            )
            self.heavy.add(sender)
        else:
            verdict = RateVerdict.ACCEPTED
            self._arrival_times[sender] = max(arrival, now) + interval
        self.counts[verdict] += 1
        return verdict

    def forget(self, sender: str) -> None:
        self._arrival_times.pop(sender, None)
        self._senders.discard(sender)

    def _start_second(self, second: int) -> None:
        self._previous_senders = len(self._senders) if second == self._second + 1 else 0
        self._senders.clear()
        self._second = second
