"""How far a server's report may move its weight: bounded, slow, and by how it has predicted so far. Free of
I/O.

A report that a server is fuller than the others predicts that its txns take longer than theirs. Each period
of some periods ago is held against the latency measured since: what a queue holds now shows in settled txns
only later. How well the two go together is what a report is worth. A liar, a stuck reading and one that
tells of something else are worth nothing within some periods.

To say that one is fuller than the others costs nobody else: that is believed at first, and less each time
that no slower txns followed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

import attrs

FAR = 0.4  # of a weight, upwards at the most: more is what a liar wants
LESS = 0.8  # downwards: it costs the one who says so; the module goes no further than three tenths of a pace
STEP = 0.2  # a period: three periods to the bound; the module itself moves a weight by a tenth at the most
LEARNS = 0.2  # a period, of the memory of errors: five periods
WARY = 0.35  # a period, of the memory of claims to be fuller that nothing followed: three periods
DOUBT = 0.02  # squared, of a logarithm: differences of a seventh are noise, and prove nothing
LAG = (
    3  # periods from a load to the latency it leads to: half of the window that is measured over, and the way
)
FULLER = 0.3  # of a logarithm: a third more than the middle is a claim that can be held against it
GRANTED = 1.0  # of a claim to be fuller, before anything is known of the one who makes it
FEW = 3  # servers whose reports are fresh, below which there is nothing to compare with
FLOOR = 0.05  # of load, so that all but idle servers do not differ tenfold


@attrs.define
class Trust:
    """How a server's reports went with its measured latency: faded sums of squares and of products, of
    logarithms."""

    both: float = 0.0
    told: float = DOUBT
    met: float = DOUBT
    cried: float = 0.0  # part of its claims to be fuller that nothing followed
    hint: float = 1.0
    said: deque[float] = attrs.field(factory=lambda: deque(maxlen=LAG + 1))

    def worth(self) -> float:
        """From 0 to 1: the correlation about the fleet's middle. One that tells too much of the right thing
        is as good as one that tells it in our scale; one that never moves, or moves the other way, is worth
        nothing."""
        return min(1.0, max(0.0, self.both / math.sqrt(self.told * self.met)))

    def worth_less(self) -> float:
        """The same of a claim that would cost it weight."""
        return max(self.worth(), GRANTED * (1.0 - self.cried))


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
                far, less = (0.9, 0.9) if self._blind else (FAR * trust.worth(), LESS * trust.worth_less())
                wanted = 1.0 + say * (
                    far * min(1.0, max(0.0, 1.0 / fuller - 1.0))
                    - less * min(1.0, max(0.0, 1.0 - 1.0 / fuller))
                )
            step = 1.0 if self._blind else STEP
            trust.hint += min(step, max(-step, wanted - trust.hint))
        for name in [name for name, trust in self._trust.items() if name not in loads and trust.hint == 1.0]:
            del self._trust[name]
        return {name: trust.hint for name, trust in self._trust.items()}

    @property
    def prior(self) -> float:
        """What a stranger's sums of squares begin with."""
        return DOUBT

    def trust_sums(self) -> dict[str, tuple[float, float, float, float]]:
        """What is worth keeping of each: both, told, met and cried."""
        return {name: (one.both, one.told, one.met, one.cried) for name, one in self._trust.items()}

    def restore(self, server: str, both: float, told: float, met: float, cried: float) -> None:
        self._trust[server] = Trust(both, told, met, cried)

    def worth(self, server: str) -> float:
        return self._trust[server].worth() if server in self._trust else 0.0

    def _learn(self, trust: Trust, fuller: float, measured: float | None, say: float) -> None:
        if say < 1.0:
            trust.said.clear()
            return
        trust.said.append(math.log(min(10.0, max(0.1, fuller))))
        if measured is None or measured <= 0 or len(trust.said) <= LAG:
            return
        truth, guess = math.log(min(10.0, max(0.1, measured))), trust.said[0]
        if guess > FULLER:
            trust.cried += WARY * ((truth <= 0.0) - trust.cried)
        trust.both += LEARNS * (truth * guess - trust.both)
        trust.told += LEARNS * (guess**2 + DOUBT - trust.told)
        trust.met += LEARNS * (truth**2 + DOUBT - trust.met)
