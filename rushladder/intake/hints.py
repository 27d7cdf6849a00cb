"""How far a server's report may move its weight: bounded, slow, and by how it has predicted so far. Free of
I/O.

A report that a server is fuller than the others predicts that its txns take longer than theirs. Each period
the prediction is held against the measured latency; how well the two go together is what the report is
worth. A liar, a stuck reading and one that tells of something else are worth nothing within some periods.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

FAR = 0.4  # of a weight, either way, at the most: what measured tries say moves it by up to seven tenths
STEP = 0.05  # a period: eight periods from neutral to the bound, half of the module's own tenth
LEARNS = 0.2  # a period, of the memory of errors: five periods
DOUBT = 0.02  # squared, of a logarithm: differences of a seventh are noise, and prove nothing
FEW = 3  # servers whose reports are fresh, below which there is nothing to compare with
FLOOR = 0.05  # of load, so that all but idle servers do not differ tenfold


@attrs.define
class Trust:
    """How a server's reports went with its measured latency: faded sums of squares and of products, of
    logarithms."""

    both: float = 0.0
    told: float = DOUBT
    met: float = DOUBT
    hint: float = 1.0

    def worth(self) -> float:
        """From 0 to 1: the correlation about the fleet's middle. One that tells too much of the right thing
        is as good as one that tells it in our scale; one that never moves, or moves the other way, is worth
        nothing."""
        return min(1.0, max(0.0, self.both / math.sqrt(self.told * self.met)))


class Hints:
    """One trust a server; bounded by the servers that report."""

    def __init__(self, blind: bool = False) -> None:
        self._trust = dict[str, Trust]()
        self._blind = blind  # takes every report at its word: for measuring what doubt is worth

    def period(
        self, loads: Mapping[str, tuple[float, float]], latency: Mapping[str, float]
    ) -> dict[str, float]:
        """The hints of this period: 1 is neutral, above it more. Servers not named are neutral.

        loads: server -> load, and its say (0 to 1, by age); latency: server -> measured mean over the
        fleet's, where known.
        """
        fresh = sorted(load for load, say in loads.values() if say >= 1.0)
        middle = fresh[len(fresh) // 2] if len(fresh) >= FEW else None
        for name in {*loads, *self._trust}:
            trust = self._trust.setdefault(name, Trust())
            load, say = loads.get(name, (0.0, 0.0))
            wanted = 1.0
            if middle is not None and say > 0:
                fuller = (max(load, FLOOR)) / max(middle, FLOOR)
                self._learn(trust, fuller, latency.get(name), say)
                worth, far = (1.0, 0.9) if self._blind else (trust.worth(), FAR)
                wanted = 1.0 + worth * say * min(far, max(-far, 1.0 / fuller - 1.0))
            step = 1.0 if self._blind else STEP
            trust.hint += min(step, max(-step, wanted - trust.hint))
        for name in [name for name, trust in self._trust.items() if name not in loads and trust.hint == 1.0]:
            del self._trust[name]
        return {name: trust.hint for name, trust in self._trust.items()}

    def worth(self, server: str) -> float:
        return self._trust[server].worth() if server in self._trust else 0.0

    def _learn(self, trust: Trust, fuller: float, measured: float | None, say: float) -> None:
        if measured is None or measured <= 0 or say < 1.0:
            return
        truth, guess = math.log(min(10.0, max(0.1, measured))), math.log(min(10.0, max(0.1, fuller)))
        trust.both += LEARNS * (truth * guess - trust.both)
        trust.told += LEARNS * (guess**2 + DOUBT - trust.told)
        trust.met += LEARNS * (truth**2 + DOUBT - trust.met)
