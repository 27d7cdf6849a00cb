"""Which servers an answer names, so that what clients bring, not how many answers there are, follows the
weights. Free of I/O.

Answers are given in turn (stride): each moves its servers' turns on by the txns a second that its asker is
taken to bring. A cold server's turn is passed over while what it was handed, and what kept answers still
bring, would be above its part (rule 4). Whatever happens, someone open is named (rule 1).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import attrs

from rushladder.structures.weighted_choice import StrideScheduler

SECOND = 10_000
LOOKS = 8  # cold servers passed over for one answer: then only warm ones are looked at
TWICE = (
    2.0  # times its part that one asker may bring to a cold server that has nothing else: a fall is at 2.5
)


@attrs.frozen
class Share:
    """A server's weight in its pool, and whether it is still cold."""

    weight: float
    cold: bool = False


class ServerSelector:
    """One pool's. `standing`: txns a second that kept answers bring to each server, by what was estimated."""

    def __init__(self) -> None:
        self.shares: Mapping[str, Share] = {}
        self.cached_load = dict[str, float]()
        self._warm, self._cold, self._strange = (
            StrideScheduler[str](),
            StrideScheduler[str](),
            StrideScheduler[str](),
        )
        self._ends = deque[tuple[int, dict[str, float]]]()  # seconds in which answers run out, in their order
        self._whole, self.demand, self.cold = 0.0, 0.0, False  # cold: whether any server of the plan is

    def plan(self, shares: Mapping[str, Share], demand: float, settled: bool = True) -> None:
        """What the decisions say now, and the txns a second that are taken to come to the pool. settled:
        whether all that was answered before this start has run out; until then nobody knows what it still
        brings, and cold servers are left out as long as there are warm ones (rule 4)."""
        warm = {name: share for name, share in shares.items() if not share.cold}
        shares, self.demand = shares if settled or not warm else warm, demand
        if shares == self.shares:
            return
        for one, other in ((self._cold, self._warm), (self._warm, self._cold)):
            one.advance_to(
                other.virtual_time if not len(one) else 0.0
            )  # both run by one clock; an empty one stood still
        for name in sorted({*self.shares, *shares}):
            share = shares.get(name, Share(0.0))
            self._warm.set(name, 0.0 if share.cold else share.weight)
            self._cold.set(name, share.weight if share.cold else 0.0)
            self._strange.set(name, 0.0 if share.cold else share.weight)
        self.cold = any(share.cold for share in shares.values())
        self.shares, self._whole = dict(shares), sum(share.weight for share in shares.values())

    def allowance(self, name: str) -> float:
        """The txns a second that the decisions give a server of this pool."""
        return self.demand * self.shares[name].weight / self._whole if self._whole else 0.0

    def pick(
        self, many: int, volume: float, ttl: int, now: int, known: bool = True, weighed: bool = False
    ) -> dict[str, float]:
        """Up to `many` servers for an asker that brings `volume` txns a second for `ttl` seconds, and the
        part of them that each gets; empty only where the pool is. weighed: the answer tells weights (SRV),
        else clients use all alike. One who is not known turns no one's turn but other strangers'."""
        self.expire(now)
        each = volume / max(1, min(many, len(self.shares)))
        stranger = not known and len(self._strange) > 0
        found = (
            self._strange.next_fitting(many, lambda name: True, 0) if stranger else self._turns(many, each)
        )
        if (
            not found and self.shares
        ):  # all are cold, and full: the one with the most room, as rule 1 is first
            found = [
                max(self.shares, key=lambda name: self.allowance(name) - self.cached_load.get(name, 0.0))
            ]
        whole = sum(self.shares[name].weight for name in found)
        parts = {name: self.shares[name].weight / whole if weighed else 1 / len(found) for name in found}
        for name, part in parts.items():
            (self._strange if stranger else self._of(name)).charge(name, volume * part)
        if known:
            self._stand({name: volume * part for name, part in parts.items()}, ttl, now)
        return parts

    def _turns(self, many: int, each: float) -> list[str]:
        cold = (
            self._cold.next_fitting(many, lambda name: self._fits(name, each), LOOKS)
            if len(self._cold)
            else []
        )
        warm = self._warm.next_fitting(many, lambda name: True, 0)
        return sorted([*cold, *warm], key=lambda name: self._of(name).pass_of(name))[:many]

    def _of(self, name: str) -> StrideScheduler[str]:
        return self._cold if self.shares[name].cold else self._warm

    def _fits(self, name: str, each: float) -> bool:
        standing, part = self.cached_load.get(name, 0.0), self.allowance(name)
        return standing + each <= part or (standing == 0.0 and each <= TWICE * part)

    def _stand(self, volumes: Mapping[str, float], ttl: int, now: int) -> None:
        end = (
            now // SECOND + 2 + ttl
        )  # begun seconds, here and where the asker's next cache got the rest of it
        if ttl:
            for place in range(len(self._ends) - 1, -2, -1):
                if place < 0 or self._ends[place][0] < end:
                    self._ends.insert(place + 1, (end, {}))
                    break
                if self._ends[place][0] == end:
                    break
            sums = next(sums for at, sums in self._ends if at == end)
            for name, volume in volumes.items():
                sums[name] = sums.get(name, 0.0) + volume
                self.cached_load[name] = self.cached_load.get(name, 0.0) + volume

    def expire(self, now: int) -> None:
        """Takes off what has run out: at most a life's seconds of sums, each bounded by the pool."""
        while self._ends and self._ends[0][0] <= now // SECOND:
            for name, volume in self._ends.popleft()[1].items():
                left = self.cached_load.get(name, 0.0) - volume
                if left > 1e-9:
                    self.cached_load[name] = left
                else:
                    self.cached_load.pop(name, None)
