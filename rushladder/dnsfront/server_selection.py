"""Chooses the servers that an answer names, without I/O.

The load that clients bring follows the weights, not the number of answers: with stride scheduling, each
answer charges its servers the txns a second that the resolver is estimated to bring. A cold server is skipped
while its load, including that of answers still cached, would exceed its allowance (rule 4). As long as a
server is open, an answer names one (rule 1).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import attrs

from rushladder.structures.weighted_choice import StrideScheduler

SECOND = 10_000  # in tenths of a millisecond, the unit of all times here
MAX_COLD_SKIPPED = 8  # cold servers skipped for one answer, before only warm ones are considered
# Times its allowance that one resolver may bring to an otherwise idle cold server; a server fails at 2.5.
COLD_OVERLOAD = 2.0


@attrs.frozen
class Share:
    """A server's weight in its pool, and whether it is still cold."""

    weight: float
    cold: bool = False


class ServerSelector:
    """The servers of one pool.

    cached_load: the estimated txns a second that cached answers bring to each server; cold: whether any
    server of the plan is cold.
    """

    def __init__(self) -> None:
        self.shares: Mapping[str, Share] = {}
        self.cached_load = dict[str, float]()
        self._warm, self._cold, self._unidentified = (
            StrideScheduler[str](),
            StrideScheduler[str](),
            StrideScheduler[str](),
        )
        # The load that ends in each second, as its answers expire, in order of the seconds.
        self._expiring = deque[tuple[int, dict[str, float]]]()
        self._total_weight, self.demand, self.cold = 0.0, 0.0, False

    def plan(self, shares: Mapping[str, Share], demand: float, earlier_expired: bool = True) -> None:
        """Sets the weights, and the expected demand of the pool in txns a second.

        earlier_expired: whether all answers from before this start have expired. Until then their load is
        unknown, and cold servers are left out as long as there are warm ones (rule 4).
        """
        warm = {name: share for name, share in shares.items() if not share.cold}
        shares, self.demand = shares if earlier_expired or not warm else warm, demand
        if shares == self.shares:
            return
        for scheduler, other in ((self._cold, self._warm), (self._warm, self._cold)):
            # Both share one virtual time, which did not advance in a scheduler without servers.
            scheduler.advance_to(other.virtual_time if not len(scheduler) else 0.0)
        for name in sorted({*self.shares, *shares}):
            share = shares.get(name, Share(0.0))
            self._warm.set(name, 0.0 if share.cold else share.weight)
            self._cold.set(name, share.weight if share.cold else 0.0)
            self._unidentified.set(name, 0.0 if share.cold else share.weight)
        self.cold = any(share.cold for share in shares.values())
        self.shares, self._total_weight = dict(shares), sum(share.weight for share in shares.values())

    def allowance(self, name: str) -> float:
        """Returns the txns a second that the weights give a server of this pool."""
        return self.demand * self.shares[name].weight / self._total_weight if self._total_weight else 0.0

    def pick(
        self, count: int, load: float, ttl: int, now: int, identified: bool = True, weighted: bool = False
    ) -> dict[str, float]:
        """Picks up to `count` servers for a resolver and returns the fraction of its load that each gets.

        The result is empty only if the pool is. load: the txns a second that the resolver brings for `ttl`
        seconds. identified: False for a client that may be spoofed, which only advances the scheduler of
        unidentified clients. weighted: the answer has weights (SRV); otherwise clients use all servers alike.
        """
        self.expire(now)
        server_load = load / max(1, min(count, len(self.shares)))
        unidentified = not identified and len(self._unidentified) > 0
        names = (
            self._unidentified.next_fitting(count, lambda name: True, 0)
            if unidentified
            else self._next_in_turn(count, server_load)
        )
        if not names and self.shares:
            # All servers are cold and at their limit. Rule 1 takes precedence: pick the one with most room.
            names = [
                max(self.shares, key=lambda name: self.allowance(name) - self.cached_load.get(name, 0.0))
            ]
        total = sum(self.shares[name].weight for name in names)
        fractions = {name: self.shares[name].weight / total if weighted else 1 / len(names) for name in names}
        for name, fraction in fractions.items():
            (self._unidentified if unidentified else self._scheduler(name)).charge(name, load * fraction)
        if identified:
            self._add_cached_load({name: load * fraction for name, fraction in fractions.items()}, ttl, now)
        return fractions

    def _next_in_turn(self, count: int, server_load: float) -> list[str]:
        cold = (
            self._cold.next_fitting(count, lambda name: self._fits(name, server_load), MAX_COLD_SKIPPED)
            if len(self._cold)
            else []
        )
        warm = self._warm.next_fitting(count, lambda name: True, 0)
        return sorted([*cold, *warm], key=lambda name: self._scheduler(name).pass_of(name))[:count]

    def _scheduler(self, name: str) -> StrideScheduler[str]:
        return self._cold if self.shares[name].cold else self._warm

    def _fits(self, name: str, server_load: float) -> bool:
        cached, allowance = self.cached_load.get(name, 0.0), self.allowance(name)
        return cached + server_load <= allowance or (
            cached == 0.0 and server_load <= COLD_OVERLOAD * allowance
        )

    def _add_cached_load(self, loads: Mapping[str, float], ttl: int, now: int) -> None:
        # Two seconds are added for seconds in progress: the present one, and the one in which a downstream
        # cache of the resolver received the remaining TTL.
        end = now // SECOND + 2 + ttl
        if ttl:
            for index in range(len(self._expiring) - 1, -2, -1):
                if index < 0 or self._expiring[index][0] < end:
                    self._expiring.insert(index + 1, (end, {}))
                    break
                if self._expiring[index][0] == end:
                    break
            expiring = next(expiring for at, expiring in self._expiring if at == end)
            for name, load in loads.items():
                expiring[name] = expiring.get(name, 0.0) + load
                self.cached_load[name] = self.cached_load.get(name, 0.0) + load

    def expire(self, now: int) -> None:
        """Subtracts the load of expired answers.

        The entries are bounded by the seconds of a TTL and the servers of the pool.
        """
        while self._expiring and self._expiring[0][0] <= now // SECOND:
            for name, load in self._expiring.popleft()[1].items():
                left = self.cached_load.get(name, 0.0) - load
                if left > 1e-9:
                    self.cached_load[name] = left
                else:
                    self.cached_load.pop(name, None)
