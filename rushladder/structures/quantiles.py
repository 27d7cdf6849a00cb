"""Quantiles with a bounded relative error in bounded memory, mergeable: buckets that grow by a constant
factor.

After Masson, Rim and Lee, "DDSketch": a value lies in the bucket of its logarithm, so a quantile is off by
at most `error` of itself. Values under the least count as 0; at most `most` buckets are kept, the lowest
fall together.
"""

from __future__ import annotations

import math

LEAST = 1e-6


class QuantileSketch:
    def __init__(self, error: float = 0.02, most: int = 512) -> None:
        self._log, self._error, self._most = math.log((1 + error) / (1 - error)), error, most
        self.buckets, self.zeros, self.many = dict[int, int](), 0, 0

    def add(self, value: float, many: int = 1) -> None:
        self.many += many
        if value < LEAST:
            self.zeros += many
            return
        place = math.ceil(math.log(value) / self._log)
        self.buckets[place] = self.buckets.get(place, 0) + many
        self._bound()

    def merge(self, other: QuantileSketch) -> None:
        """As if all that the other was given had been given to this one. Both must have the same error."""
        if other._error != self._error:
            raise ValueError("sketches of different errors can't be merged")
        for place, many in other.buckets.items():
            self.buckets[place] = self.buckets.get(place, 0) + many
        self.zeros += other.zeros
        self.many += other.many
        self._bound()

    def quantile(self, part: float) -> float:
        """The value under which `part` of all lie; 0 if there are none."""
        rank = part * max(0, self.many - 1)
        seen = float(self.zeros)
        if seen > rank or not self.buckets:
            return 0.0
        for place in sorted(self.buckets):
            seen += self.buckets[place]
            if seen > rank:
                break
        return 2 * math.exp(place * self._log) / (1 + math.exp(self._log))

    def _bound(self) -> None:
        if len(self.buckets) > self._most:
            first, second = sorted(self.buckets)[:2]
            self.buckets[second] += self.buckets.pop(first)
