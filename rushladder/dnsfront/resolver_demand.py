"""Estimates how many txns each resolver brings, without I/O: one query may stand for thousands of them.

There are two sources. The first is how soon a resolver queries again after its answer expired: if txns arrive
at random, the mean wait is the reciprocal of their rate. The second is the load that servers report: in each
period a resolver's estimate is corrected in part by the ratio of measured to expected load at the servers
that it was given (the multiplicative algebraic reconstruction of Gordon, Bender and Herman, which is used for
traffic matrices too).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

import attrs

SECOND = 10_000  # in tenths of a millisecond, the unit of all times here
MAX_RESOLVERS = 4096  # tracked in a pool; beyond it the one that has been silent longest is evicted
WAIT_SMOOTHING = 0.1  # weight of a new wait in the mean, over some ten of them, as single waits are random
# Exponent of the correction towards the rate that the waits give, per wait. Without measured load it is the
# only correction.
WAIT_CORRECTION = 0.05
LOAD_CORRECTION = 0.3  # exponent of the ratio of measured to expected load, per period
USAGE_SMOOTHING = 0.1  # per period: means over 10 s, which reports late by a period or two hardly affect
MAX_CORRECTED = 256  # resolvers of a pool corrected per period, by rate; the others' errors add up to little
MAX_CORRECTION = 16.0  # factor by which measured load may move the rate from the one that the waits give
MIN_WAIT = 50.0  # 5 ms; shorter waits show network delay and resolvers that prefetch, not the rate of txns
MIN_WAITS = 3  # waits after which a resolver counts as identified without a proven address
SILENT_AFTER = 300_000  # 30 s without a query after which a resolver has no demand
MIN_USAGE = 0.01  # fraction of a resolver's time at a server below which it is not remembered


@attrs.define(eq=False)
class Resolver:
    """One resolver's use of one pool. Times are in tenths of a millisecond, the rate in txns a second."""

    source: str
    proven: bool = False  # the address is not spoofed: the client returned a cookie, or used TCP
    queries: int = 0
    last_query: int = 0
    wait_count: int = 0
    mean_wait: float = 0.0
    rate: float = 0.0
    servers: Mapping[str, float] = attrs.field(factory=dict)  # of its answer, with their fraction of txns
    counted_until: int = 0  # time up to which the use of the servers is counted
    expires: int = 0  # when its answer expires
    usage: dict[str, float] = attrs.field(factory=dict)  # seconds at each server in this period
    mean_usage: dict[str, float] = attrs.field(factory=dict)  # exponential mean of the usage

    def identified(self) -> bool:
        return self.proven or self.wait_count >= MIN_WAITS

    def count_usage(self, now: int) -> None:
        """Adds the time for which its answer has been cached since the last call."""
        span = (min(now, self.expires) - self.counted_until) / SECOND
        if span > 0:
            for name, fraction in self.servers.items():
                self.usage[name] = self.usage.get(name, 0.0) + fraction * span
        self.counted_until = now

    def record_wait(self, wait: float) -> None:
        """Records the time from the expiry of an answer to the next query, and updates the rate."""
        self.wait_count += 1
        self.mean_wait += max(WAIT_SMOOTHING, 1.0 / self.wait_count) * (max(MIN_WAIT, wait) - self.mean_wait)
        wait_rate = SECOND / self.mean_wait
        self.rate = (
            wait_rate
            if self.wait_count <= MIN_WAITS
            else self.rate * (wait_rate / self.rate) ** WAIT_CORRECTION
        )

    def correct(self, ratio: float) -> None:
        """Corrects the rate by the ratio of measured to expected load."""
        wait_rate = SECOND / self.mean_wait
        self.rate = min(
            MAX_CORRECTION * wait_rate, max(wait_rate / MAX_CORRECTION, self.rate * ratio**LOAD_CORRECTION)
        )


class ResolverTable:
    """The resolvers of one pool, least recently heard first.

    Unidentified clients have a table of their own, so that a flood from spoofed addresses evicts no
    identified resolver. demand: txns a second of all resolvers, as of the last period.
    """

    def __init__(
        self, by_load: bool = True, max_resolvers: int = MAX_RESOLVERS, ceiling: float = math.inf
    ) -> None:
        """ceiling: the txns a second that all resolvers with unproven addresses may add to the demand."""
        self._by_load, self._max_resolvers, self._ceiling = by_load, max_resolvers, ceiling
        self.identified, self.unidentified = dict[str, Resolver](), dict[str, Resolver]()
        self.demand = 0.0

    def record_query(self, source: str, now: int, proven: bool) -> Resolver:
        """Records a query. The wait before it counts only if the resolver's previous answer had expired."""
        resolver = (
            self.identified.pop(source, None) or self.unidentified.pop(source, None) or Resolver(source)
        )
        if resolver.expires and resolver.expires <= now < resolver.expires + SILENT_AFTER:
            resolver.record_wait(float(now - resolver.expires))
        resolver.queries, resolver.last_query, resolver.proven = (
            resolver.queries + 1,
            now,
            resolver.proven or proven,
        )
        table = self.identified if resolver.identified() else self.unidentified
        table[source] = resolver
        if len(table) > (self._max_resolvers if resolver.identified() else self._max_resolvers // 4):
            del table[next(iter(table))]  # the one that has been silent longest
        return resolver

    def all(self) -> list[Resolver]:
        return [*self.identified.values(), *self.unidentified.values()]

    def find(self, source: str) -> Resolver | None:
        return self.identified.get(source) or self.unidentified.get(source)

    def record_answer(self, resolver: Resolver, servers: Mapping[str, float], ttl: int, now: int) -> None:
        """Records the servers of an answer, with the fraction of the resolver's txns that each gets."""
        resolver.count_usage(now)
        resolver.servers, resolver.counted_until, resolver.expires = servers, now, now + ttl * SECOND

    def estimated_load(self, resolver: Resolver) -> float:
        """Returns the txns a second that a resolver is estimated to bring; for a new one, the mean of all."""
        if not self._by_load:
            return 1.0
        return resolver.rate or (self.demand / max(1, len(self.identified)) if self.demand else 1.0)

    def end_period(self, now: int, span: float = 1.0) -> dict[str, float]:
        """Ends a period of `span` seconds and returns the txns a second that are expected at each server."""
        expected, proven, unproven = dict[str, float](), 0.0, 0.0
        for resolver in self.all():
            resolver.count_usage(now)
            for name in {*resolver.mean_usage, *resolver.usage}:
                usage = resolver.mean_usage.get(name, 0.0)
                usage += USAGE_SMOOTHING * (resolver.usage.get(name, 0.0) / span - usage)
                if usage >= USAGE_SMOOTHING * MIN_USAGE:
                    resolver.mean_usage[name] = usage
                    expected[name] = expected.get(name, 0.0) + usage * resolver.rate
                else:
                    resolver.mean_usage.pop(name, None)
            resolver.usage.clear()
            if now - resolver.last_query < SILENT_AFTER and resolver.proven:
                proven += resolver.rate
            elif now - resolver.last_query < SILENT_AFTER:
                unproven += resolver.rate
        self.demand = proven + min(unproven, self._ceiling)
        return expected

    def correct(self, ratios: Mapping[str, float]) -> None:
        """Corrects the rates. ratios: measured over expected load of DNS clients, by server where known."""
        for resolver in heapq.nlargest(MAX_CORRECTED, self.identified.values(), key=lambda one: one.rate):
            usage = {name: fraction for name, fraction in resolver.mean_usage.items() if name in ratios}
            total = sum(usage.values())
            if resolver.rate and total:
                resolver.correct(sum(fraction * ratios[name] for name, fraction in usage.items()) / total)
