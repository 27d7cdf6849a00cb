"""Response rate limiting: token buckets by prefix and kind of answer, in a bounded table. Free of I/O.

A spoofed sender's victim gets no more than a trickle, of answers no longer than the questions: every second
answer over the limit is empty and truncated, which leads a real resolver to TCP, the others are dropped.
Whoever has shown that its address is its own (TCP, or a server cookie) is not limited here.
"""

from __future__ import annotations

from enum import Enum

import attrs

SECOND = 10_000
MOST = 16_384  # buckets: some 3 MiB; what a /24 floods with takes a few
IDLE = 20_000  # 2 s after which a bucket is surely full again, and may go


class Kind(Enum):
    """What is answered, and how many of it a second and prefix. A resolver asks a name once a TTL; a whole
    network's resolvers share a prefix. Errors are what floods of made-up names get."""

    ANSWER = 50.0
    EMPTY = 20.0
    ERROR = 5.0


class Verdict(Enum):
    ANSWER = "answered"
    SLIP = "truncated"
    DROP = "dropped"


@attrs.define
class _Bucket:
    tokens: float
    at: int
    slips: int = 0


class RateLimiter:
    """One table for all. Newcomers that find it full of live buckets share one bucket among them."""

    def __init__(self, most: int = MOST) -> None:
        self._most, self._buckets = most, dict[tuple[str, str, Kind], _Bucket]()
        self._rest = _Bucket(Kind.ANSWER.value, 0)
        self.counts = dict.fromkeys(Verdict, 0)

    def __len__(self) -> int:
        return len(self._buckets)

    def take(self, prefix: str, name: str, kind: Kind, now: int) -> Verdict:
        """name: the pool or zone that is asked for, so that made-up names share theirs."""
        bucket = self._bucket((prefix, name, kind), now)
        rate = kind.value
        bucket.tokens = min(rate, bucket.tokens + rate * (now - bucket.at) / SECOND)
        bucket.at = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            verdict = Verdict.ANSWER
        else:
            bucket.slips += 1
            verdict = Verdict.SLIP if bucket.slips % 2 else Verdict.DROP
        self.counts[verdict] += 1
        return verdict

    def _bucket(self, key: tuple[str, str, Kind], now: int) -> _Bucket:
        found = self._buckets.pop(key, None)
        if found is None:
            if len(self._buckets) >= self._most:
                oldest = next(iter(self._buckets))
                if self._buckets[oldest].at > now - IDLE:
                    return self._rest
                del self._buckets[oldest]
            found = _Bucket(key[2].value, now)
        self._buckets[key] = found  # at the end: the first is the one that was used longest ago
        return found


def prefix(address: str) -> str:
    """The network that shares a bucket: a /24, or a /56 of IPv6, as whoever holds one can use all of it."""
    if ":" in address:
        from ipaddress import IPv6Address

        return IPv6Address(address.split("%")[0]).packed[:7].hex()
    return address.rpartition(".")[0]
