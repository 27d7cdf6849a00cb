"""How many reports are taken in: a budget for each sender and one for all, kept fair. Free of I/O.

Each sender has a theoretical arrival time (GCRA: ITU-T I.371): a report is taken if it does not come before
it, and moves it on by an interval. When all together would be over their budget the interval is the same
for all who send: the budget over their number. So a flood costs its sender only, and what is dropped is
fair: only the newest reading of a server counts.
"""

from __future__ import annotations

from enum import Enum

from rushladder.structures.heavy_hitters import HeavyHitters

TENTHS = 10_000
HEAVY = 64  # counters of heavy senders: a count is over by a 64th of all at the most


class RateVerdict(Enum):
    ACCEPTED = "taken"
    OVER_SENDER_BUDGET = "over its own budget"
    OVER_TOTAL_BUDGET = "over the budget of all"


class ReportLimits:
    """own: reports a second of one sender; burst: how many may come at once; all_: reports a second of all
    together."""

    def __init__(self, own: float, burst: int, all_: float) -> None:
        self._own, self._all, self._burst = TENTHS / own, TENTHS / all_, burst
        self._times = dict[str, float]()
        self._fair, self._second, self._senders, self._before = self._own, 0, set[str](), 0
        self.counts = dict.fromkeys(RateVerdict, 0)
        self.heavy = HeavyHitters[str](HEAVY)

    def admit(self, sender: str, now: int) -> RateVerdict:
        """Whether a report of a known sender is to be read. Memory is bounded by the senders that are
        known."""
        if now // TENTHS != self._second:
            self._begin(now // TENTHS)
        self._senders.add(sender)
        fair = max(self._own, self._all * max(len(self._senders), self._before))
        due = self._times.get(sender, 0.0)
        if now < due - fair * (self._burst - 1):
            verdict = RateVerdict.OVER_SENDER_BUDGET if fair <= self._own else RateVerdict.OVER_TOTAL_BUDGET
            self.heavy.add(sender)
        else:
            verdict = RateVerdict.ACCEPTED
            self._times[sender] = max(due, now) + fair
        self.counts[verdict] += 1
        return verdict

    def forget(self, sender: str) -> None:
        self._times.pop(sender, None)
        self._senders.discard(sender)

    def _begin(self, second: int) -> None:
        self._before = len(self._senders) if second == self._second + 1 else 0
        self._senders.clear()
        self._second = second
