"""Response rate limiting with one token bucket for each client prefix and kind of response, without I/O.

Limits what a victim of spoofed queries receives, in number and size: of the responses over the limit every
second one is empty and truncated, so that a real resolver retries over TCP, and the others are dropped.
Clients whose address is verified (by TCP or a server cookie) are not limited here.
"""

from __future__ import annotations

from enum import Enum

import attrs

SECOND = 10_000  # in tenths of a millisecond, the unit of all times here
MAX_BUCKETS = 16_384  # some 3 MiB; a flood from one /24 uses a few
REFILLED_AFTER = 20_000  # 2 s, after which a bucket is certainly full again and may be evicted


class ResponseKind(Enum):
    """Kinds of responses that are limited apart; the value is the limit per second and prefix.

    ANSWER allows for all resolvers of a network, which share a prefix; each queries a name once per TTL.
    ERROR covers floods of queries for random names.
    """

    ANSWER = 50.0
    EMPTY = 20.0
    ERROR = 5.0


class Verdict(Enum):
    """What to do with a response. SLIP: send it empty and truncated."""

    ANSWER = "answered"
    SLIP = "truncated"
    DROP = "dropped"


@attrs.define
class _Bucket:
    tokens: float
    updated: int
    limited: int = 0


class RateLimiter:
    """A bounded table of token buckets. New keys share one bucket while the table is full of active ones."""

    def __init__(self, max_buckets: int = MAX_BUCKETS) -> None:
        self._max_buckets, self._buckets = max_buckets, dict[tuple[str, str, ResponseKind], _Bucket]()
        self._overflow = _Bucket(ResponseKind.ANSWER.value, 0)
        self.counts = dict.fromkeys(Verdict, 0)

    def __len__(self) -> int:
        return len(self._buckets)

    def take(self, prefix: str, name: str, kind: ResponseKind, now: int) -> Verdict:
        """Takes a token for a response. name: the pool or zone, so that random names share a bucket."""
        bucket = self._bucket((prefix, name, kind), now)
        rate = kind.value
        bucket.tokens = min(rate, bucket.tokens + rate * (now - bucket.updated) / SECOND)
        bucket.updated = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            verdict = Verdict.ANSWER
        else:
            bucket.limited += 1
            verdict = Verdict.SLIP if bucket.limited % 2 else Verdict.DROP
        self.counts[verdict] += 1
        return verdict

    def _bucket(self, key: tuple[str, str, ResponseKind], now: int) -> _Bucket:
        bucket = self._buckets.pop(key, None)
        if bucket is None:
            if len(self._buckets) >= self._max_buckets:
                oldest = next(iter(self._buckets))
                if self._buckets[oldest].updated > now - REFILLED_AFTER:
                    return self._overflow
                del self._buckets[oldest]
            bucket = _Bucket(key[2].value, now)
        self._buckets[key] = bucket  # moved to the end: the first one is the least recently used
        return bucket


def client_prefix(address: str) -> str:
    """Returns the network that shares a bucket: a /24 of IPv4 or a /56 of IPv6.

    A client that holds such a network can send from all its addresses.
    """
    if ":" in address:
        from ipaddress import IPv6Address

        return IPv6Address(address.split("%")[0]).packed[:7].hex()
    return address.rpartition(".")[0]
