"""Who asks, and how much each brings: a resolver asks once for thousands of txns. Free of I/O.

Two things tell. How soon a resolver asks again once its answer ran out: with txns at random, the mean wait is
one over their rate. And what the servers say they get: each asker's estimate is corrected by how far the
servers that it was given are over or under what was expected of them, a little each period (the
multiplicative algebraic reconstruction of Gordon, Bender and Herman, used for traffic matrices too).
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

SECOND = 10_000
MOST = 4096  # askers of a pool that are told apart: beyond, the one that was silent longest is forgotten
LEARNS = 0.3  # of a wait after an answer's end: three of them
GAIN = 0.3  # of what is over or under, a period
FAR = 16.0  # times, by which measured load may correct what the waits tell
SHORTEST = 50.0  # 5 ms: below, a wait tells of the way, and of resolvers that ask ahead, not of the txns
FIRM = 3  # waits after which an asker is known by them alone
SILENT = 300_000  # 30 s: a resolver that was not heard for so long has no demand


@attrs.define(eq=False)
class Asker:
    """One resolver's dealings with one pool. Times: tenths of a millisecond."""

    source: str
    proven: bool = False  # its address is its own: it returned a cookie, or came by TCP
    asked: int = 0
    last: int = 0
    waits: int = 0
    wait: float = 0.0
    factor: float = 1.0
    servers: Mapping[str, float] = attrs.field(factory=dict)  # and the part of its txns that each gets
    until: int = 0  # when its answer runs out
    ttl: int = 0

    def known(self) -> bool:
        return self.proven or self.waits >= FIRM


class Askers:
    """Those of one pool, the one heard last at the end."""

    def __init__(self, by_load: bool = True, most: int = MOST) -> None:
        self._by_load, self._most = by_load, most
        self.all = dict[str, Asker]()
        self.demand = 0.0  # txns a second of all, as of the last period

    def heard(self, source: str, now: int, proven: bool) -> Asker:
        """A question came. A wait counts only if the answer before it had run out."""
        asker = self.all.pop(source, None)
        if asker is None:
            if len(self.all) >= self._most:
                self._forget(now)
            asker = Asker(source, last=now)
        elif asker.until and now >= asker.until and now - asker.until < SILENT:
            wait = max(SHORTEST, float(now - asker.until))
            asker.waits += 1
            asker.wait += max(LEARNS, 1.0 / asker.waits) * (wait - asker.wait)
        self.all[source] = asker
        asker.asked, asker.last, asker.proven = asker.asked + 1, now, asker.proven or proven
        return asker

    def volume(self, asker: Asker) -> float:
        """The txns a second that it is taken to bring; what a newcomer brings is the middle of the others."""
        if not self._by_load:
            return 1.0
        if not asker.waits:
            return self._middle()
        return asker.factor * SECOND / asker.wait

    def period(self, measured: Mapping[str, float], now: int) -> None:
        """Once a period. measured: txns a second that DNS clients bring to each server, where it is known."""
        live = [
            (asker, self.volume(asker))
            for asker in self.all.values()
            if asker.waits and now - asker.last < SILENT
        ]
        expected = dict[str, float]()
        for asker, volume in live:
            for name, part in asker.servers.items():
                expected[name] = expected.get(name, 0.0) + volume * part
        ratios = {
            name: min(4.0, max(0.25, measured[name] / volume))
            for name, volume in expected.items()
            if name in measured and volume > 0
        }
        for asker, _ in live if self._by_load else ():
            some = {name: part for name, part in asker.servers.items() if name in ratios}
            if whole := sum(some.values()):
                asker.factor *= (sum(part * ratios[name] for name, part in some.items()) / whole) ** GAIN
                asker.factor = min(FAR, max(1 / FAR, asker.factor))
        self.demand = sum(volume for _, volume in live) if self._by_load else sum(measured.values())

    def _middle(self) -> float:
        return self.demand / len(self.all) if self.demand and self.all else 1.0

    def _forget(self, now: int) -> None:
        """The one that was silent longest goes; of those that are as silent, one that proved nothing."""
        names = list(self.all)[:8]
        gone = next((name for name in names if not self.all[name].known()), names[0])
        del self.all[gone]
