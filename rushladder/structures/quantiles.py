"""A mergeable quantile sketch with bounded relative error and bounded memory.

After Masson, Rim and Lee, "DDSketch": the width of the buckets grows by a constant factor and a value falls
into the bucket of its logarithm, so a quantile is off by at most `error` relative to its value. Values below
MIN_VALUE count as 0. If there are more than `max_buckets` buckets, the lowest ones are merged.
"""

from __future__ import annotations

import math

MIN_VALUE = 1e-6


class QuantileSketch:
    """error: maximum relative error of a quantile; max_buckets: maximum number of buckets."""

    def __init__(self, error: float = 0.02, max_buckets: int = 512) -> None:
        self._log_growth, self._error, self._max_buckets = (
            math.log((1 + error) / (1 - error)),
            error,
            max_buckets,
        )
        self.buckets, self.zeros, self.count = dict[int, int](), 0, 0

    def add(self, value: float, count: int = 1) -> None:
        self.count += count
        if value < MIN_VALUE:
            self.zeros += count
            return
        index = math.ceil(math.log(value) / self._log_growth)
        self.buckets[index] = self.buckets.get(index, 0) + count
        self._limit_buckets()

    def merge(self, other: QuantileSketch) -> None:
        """Adds all values of another sketch. Raises ValueError unless both have the same error."""
        if other._error != self._error:
            raise ValueError("sketches with different errors can't be merged")
        for index, count in other.buckets.items():
            self.buckets[index] = self.buckets.get(index, 0) + count
        self.zeros += other.zeros
        self.count += other.count
        self._limit_buckets()

    def quantile(self, fraction: float) -> float:
        """The value below which `fraction` of all values lie. 0 if there are none."""
        rank = fraction * max(0, self.count - 1)
        seen = float(self.zeros)
        if seen > rank or not self.buckets:
            return 0.0
        for index in sorted(self.buckets):
            seen += self.buckets[index]
            if seen > rank:
                break
        return 2 * math.exp(index * self._log_growth) / (1 + math.exp(self._log_growth))

    def _limit_buckets(self) -> None:
        if len(self.buckets) > self._max_buckets:
            first, second = sorted(self.buckets)[:2]
            self.buckets[second] += self.buckets.pop(first)
