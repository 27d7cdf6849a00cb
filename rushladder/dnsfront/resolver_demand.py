"""Who asks, and how much each brings: a resolver asks once for thousands of txns. Free of I/O.

Two things tell. How soon a resolver asks again once its answer ran out: with txns at random, the mean wait is
one over their rate. And what the servers say they get: each asker's estimate is corrected by how far the
servers that it was given are over or under what was expected of them, a little each period (the
multiplicative algebraic reconstruction of Gordon, Bender and Herman, used for traffic matrices too).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

import attrs

SECOND = 10_000
MOST = 4096  # askers of a pool that are told apart: beyond, the one that was silent longest is forgotten
LEARNS = 0.1  # of a wait after an answer's end: ten of them, as waits are at random
PULL = 0.05  # of the way to what the waits tell, at each: where no load is measured, that is all there is
GAIN = 0.3  # of what is over or under, a period
FADES = (
    0.1  # a period, of what is averaged: 10 s, over which reports that are late by one or two hardly matter
)
CORRECTED = 256  # of a pool, those who bring most: the others' errors add up to little
FAR = 16.0  # times, by which measured load may correct what the waits tell
SHORTEST = 50.0  # 5 ms: below, a wait tells of the way, and of resolvers that ask ahead, not of the txns
FIRM = 3  # waits after which an asker is known by them alone
SILENT = 300_000  # 30 s: a resolver that was not heard for so long has no demand
SLIGHT = 0.01  # of an asker's time: less at a server is not remembered


@attrs.define(eq=False)
class Resolver:
    """One resolver's dealings with one pool. Times: tenths of a millisecond; rate: txns a second."""

    source: str
    proven: bool = False  # its address is its own: it returned a cookie, or came by TCP
    queries: int = 0
    last_query: int = 0
    waits: int = 0
    mean_wait: float = 0.0
    rate: float = 0.0
    servers: Mapping[str, float] = attrs.field(factory=dict)  # and the part of its txns that each gets
    since: int = 0  # up to when its use of them is counted
    until: int = 0  # when its answer runs out
    used: dict[str, float] = attrs.field(factory=dict)  # seconds at each server in this period
    usual: dict[str, float] = attrs.field(factory=dict)  # part of its time at each, faded

    def known(self) -> bool:
        return self.proven or self.waits >= FIRM

    def count(self, now: int) -> None:
        """Adds the time for which its answer was kept since this was last called."""
        span = (min(now, self.until) - self.since) / SECOND
        if span > 0:
            for name, part in self.servers.items():
                self.used[name] = self.used.get(name, 0.0) + part * span
        self.since = now

    def waited(self, wait: float) -> None:
        """It asked so long after its answer ran out."""
        self.waits += 1
        self.mean_wait += max(LEARNS, 1.0 / self.waits) * (max(SHORTEST, wait) - self.mean_wait)
        told = SECOND / self.mean_wait
        self.rate = told if self.waits <= FIRM else self.rate * (told / self.rate) ** PULL

    def corrected(self, times: float) -> None:
        told = SECOND / self.mean_wait
        self.rate = min(FAR * told, max(told / FAR, self.rate * times**GAIN))


class ResolverTable:
    """Those of one pool, the one heard last at the end. Strangers have a table of their own, so that a flood
    of made-up addresses pushes out nobody who is known."""

    def __init__(self, by_load: bool = True, most: int = MOST, ceiling: float = math.inf) -> None:
        """ceiling: txns a second that those who proved nothing are taken to bring together, at the most."""
        self._by_load, self._most, self._ceiling = by_load, most, ceiling
        self.known, self.strangers = dict[str, Resolver](), dict[str, Resolver]()
        self.demand = 0.0  # txns a second of all, as of the last period

    def record_query(self, source: str, now: int, proven: bool) -> Resolver:
        """A question came. A wait counts only if the answer before it had run out."""
        asker = self.known.pop(source, None) or self.strangers.pop(source, None) or Resolver(source)
        if asker.until and asker.until <= now < asker.until + SILENT:
            asker.waited(float(now - asker.until))
        asker.queries, asker.last_query, asker.proven = asker.queries + 1, now, asker.proven or proven
        table = self.known if asker.known() else self.strangers
        table[source] = asker
        if len(table) > (self._most if asker.known() else self._most // 4):
            del table[next(iter(table))]  # the one that was silent longest
        return asker

    def all(self) -> list[Resolver]:
        return [*self.known.values(), *self.strangers.values()]

    def find(self, source: str) -> Resolver | None:
        return self.known.get(source) or self.strangers.get(source)

    def record_answer(self, asker: Resolver, servers: Mapping[str, float], ttl: int, now: int) -> None:
        asker.count(now)
        asker.servers, asker.since, asker.until = servers, now, now + ttl * SECOND

    def estimated_load(self, asker: Resolver) -> float:
        """The txns a second that it is taken to bring; what a newcomer brings is the middle of the others."""
        if not self._by_load:
            return 1.0
        return asker.rate or (self.demand / max(1, len(self.known)) if self.demand else 1.0)

    def end_period(self, now: int, span: float = 1.0) -> dict[str, float]:
        """Once a period, of `span` seconds: the txns a second that are expected at each server."""
        expected, proven, others = dict[str, float](), 0.0, 0.0
        for asker in self.all():
            asker.count(now)
            for name in {*asker.usual, *asker.used}:
                part = asker.usual.get(name, 0.0)
                part += FADES * (asker.used.get(name, 0.0) / span - part)
                if part >= FADES * SLIGHT:
                    asker.usual[name] = part
                    expected[name] = expected.get(name, 0.0) + part * asker.rate
                else:
                    asker.usual.pop(name, None)
            asker.used.clear()
            if now - asker.last_query < SILENT and asker.proven:
                proven += asker.rate
            elif now - asker.last_query < SILENT:
                others += asker.rate
        self.demand = proven + min(others, self._ceiling)
        return expected

    def correct(self, ratios: Mapping[str, float]) -> None:
        """ratios: what servers get of DNS clients over what was expected there, where it is known."""
        for asker in heapq.nlargest(CORRECTED, self.known.values(), key=lambda one: one.rate):
            some = {name: part for name, part in asker.usual.items() if name in ratios}
            whole = sum(some.values())
            if asker.rate and whole:
                asker.corrected(sum(part * ratios[name] for name, part in some.items()) / whole)
