"""Turns the reported loads into hints: factors by which servers' weights are adjusted. Performs no I/O.

Hints are bounded, change slowly, and are scaled by how well a server's reports have predicted its latency.

A report that a server is more loaded than the others predicts that its txns take longer than theirs. The
reported loads of each period are compared with the latency measured LAG periods later, because a queue shows
in settled txns only after a delay. The correlation of the two is the worth of a server's reports. Within a
few periods it falls to zero for a server that lies, whose reading is stuck, or that reports something else.

A claim to be more loaded than the others only costs the server itself. It is believed at first, and less each
time that its txns turn out not to be slower.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

import attrs

MAX_INCREASE = 0.4  # of a weight; a greater increase would reward lying
# Maximum decrease of a weight. It costs only the server that claims the load, and the module itself does not
# lower a server's factor below 0.3.
MAX_DECREASE = 0.8
# Maximum change per period: the bounds are reached in about three periods. The module itself changes a weight
# by at most a tenth.
MAX_STEP = 0.2
LEARNING_RATE = 0.2  # per period, of the sums behind the worth: about five periods count
CLAIM_LEARNING_RATE = 0.35  # per period, of the share of false claims: about three periods count
# Initial value of the sums of squares of logarithms, and noise floor added to each square: differences of a
# seventh (the root of it) are noise and prove nothing.
PRIOR = 0.02
# Periods between a load and the latency that it causes: half of the window of the latency measurement, plus
# the delay of the reports.
LAG = 3
# Logarithm of the ratio to the median load: a third more counts as a claim to be loaded.
CLAIM_THRESHOLD = 0.3
UNKNOWN_CLAIM_TRUST = 1.0  # how far such a claim is believed while nothing is known about the server
MIN_SERVERS = 3  # with fewer fresh readings there is nothing to compare a load with
MIN_LOAD = 0.05  # lower loads are raised to it, so that almost idle servers don't differ tenfold


@attrs.define
class Trust:
    """How well a server's reports match its measured latency.

    Exponentially decaying sums of squares and products of logarithms, relative to the fleet. They are stored
    as `both`, `told`, `met` and `cried`, in this order.
    """

    products: float = 0.0
    reported_squares: float = PRIOR
    measured_squares: float = PRIOR
    false_claims: float = 0.0  # share of the claims to be more loaded after which txns weren't slower
    hint: float = 1.0
    reported: deque[float] = attrs.field(factory=lambda: deque(maxlen=LAG + 1))

    def worth(self) -> float:
        """The correlation of reports and latencies about the fleet's median, from 0 to 1. Reports that
        exaggerate the right tendency are worth as much as exact ones. Constant reports, or ones of the
        opposite tendency, are worth nothing."""
        return min(1.0, max(0.0, self.products / math.sqrt(self.reported_squares * self.measured_squares)))

    def claim_worth(self) -> float:
        """The worth of a claim that lowers the server's own weight."""
        return max(self.worth(), UNKNOWN_CLAIM_TRUST * (1.0 - self.false_claims))


class Hints:
    """One Trust for each server that reports."""

    def __init__(self, blind: bool = False) -> None:
        self._trust = dict[str, Trust]()
        # Believes every report, for measuring what the trust is worth.
        self._blind = blind

    def update(
        self, loads: Mapping[str, tuple[float, float]], latency: Mapping[str, float]
    ) -> dict[str, float]:
        """Computes the hints of this period: 1 is neutral, more raises a weight. Servers not in the result
        are neutral.

        loads: server -> load and freshness (0 to 1); latency: server -> measured mean latency relative to
        the fleet's, where known.
        """
        fresh = sorted(load for load, freshness in loads.values() if freshness >= 1.0)
        median = fresh[len(fresh) // 2] if len(fresh) >= MIN_SERVERS else None
        for name in {*loads, *self._trust}:
            trust = self._trust.setdefault(name, Trust())
            load, freshness = loads.get(name, (0.0, 0.0))
            target = 1.0
            if median is not None and freshness > 0:
                ratio = (max(load, MIN_LOAD)) / max(median, MIN_LOAD)
                self._learn(trust, ratio, latency.get(name), freshness)
                increase, decrease = (
                    (0.9, 0.9)
                    if self._blind
                    else (MAX_INCREASE * trust.worth(), MAX_DECREASE * trust.claim_worth())
                )
                target = 1.0 + freshness * (
                    increase * min(1.0, max(0.0, 1.0 / ratio - 1.0))
                    - decrease * min(1.0, max(0.0, 1.0 - 1.0 / ratio))
                )
            step = 1.0 if self._blind else MAX_STEP
            trust.hint += min(step, max(-step, target - trust.hint))
        for name in [name for name, trust in self._trust.items() if name not in loads and trust.hint == 1.0]:
            del self._trust[name]
        return {name: trust.hint for name, trust in self._trust.items()}

    @property
    def prior(self) -> float:
        """The initial value of the sums of squares of an unknown server."""
        return PRIOR

    def trust_sums(self) -> dict[str, tuple[float, float, float, float]]:
        """The sums to store for each server, as `restore` takes them."""
        return {
            name: (trust.products, trust.reported_squares, trust.measured_squares, trust.false_claims)
            for name, trust in self._trust.items()
        }

    def restore(
        self,
        server: str,
        products: float,
        reported_squares: float,
        measured_squares: float,
        false_claims: float,
    ) -> None:
        self._trust[server] = Trust(products, reported_squares, measured_squares, false_claims)

    def worth(self, server: str) -> float:
        return self._trust[server].worth() if server in self._trust else 0.0

    def _learn(self, trust: Trust, ratio: float, measured: float | None, freshness: float) -> None:
        """Compares the load reported LAG periods ago with the latency measured now."""
        if freshness < 1.0:
            trust.reported.clear()
            return
        trust.reported.append(math.log(min(10.0, max(0.1, ratio))))
        if measured is None or measured <= 0 or len(trust.reported) <= LAG:
            return
        actual, predicted = math.log(min(10.0, max(0.1, measured))), trust.reported[0]
        if predicted > CLAIM_THRESHOLD:
            trust.false_claims += CLAIM_LEARNING_RATE * ((actual <= 0.0) - trust.false_claims)
        trust.products += LEARNING_RATE * (actual * predicted - trust.products)
        trust.reported_squares += LEARNING_RATE * (predicted**2 + PRIOR - trust.reported_squares)
        trust.measured_squares += LEARNING_RATE * (actual**2 + PRIOR - trust.measured_squares)
