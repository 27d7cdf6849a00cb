"""The TTL of answers, without I/O.

An answer in a resolver's cache can't be withdrawn. The grace of a drain and the cold limit therefore set the
TTL, and the additional queries that a short TTL causes are accepted.
"""

from __future__ import annotations

from collections.abc import Callable

SECOND = 10_000  # in tenths of a millisecond, the unit of all times here
LAST_USE = 10_000  # 1 s from the expiry of an answer to the last txn that uses it: TTLs count whole seconds
MAX_TTL = 30  # s: beyond it the weights of a pool would limit the TTL, not its drains
COLD_TTL = 1  # s, of an answer that names a cold server: its weight changes in every control period (rule 4)


class TtlPolicy:
    """Computes the TTLs of one manager's answers.

    grace: time in which a drain has to take effect; max_delay: the longest time from a change of the list to
    an answer that respects it; both in tenths of a millisecond. random: returns a number from 0 up to 1.
    """

    def __init__(self, grace: int, max_delay: int, now: int, random: Callable[[], float]) -> None:
        self.normal = max(0, min(MAX_TTL, (grace - max_delay - LAST_USE) // SECOND))
        self._startup_end, self._random = now + self.normal * SECOND, random

    def ttl(self, cold: bool, now: int) -> int:
        """Returns the TTL of an answer in seconds; 0 if the grace is too short for caching (rule 3).

        During the first TTL after a start the result is random: resolvers that all query at once, as after a
        restart, then don't do so again when their answers expire.
        """
        ttl = min(self.normal, COLD_TTL) if cold else self.normal
        if now < self._startup_end and ttl > 1:
            return 1 + int(self._random() * ttl)
        return ttl

    def earlier_answers_expired(self, now: int) -> bool:
        """Whether all answers from before this manager's start have expired."""
        return now >= self._startup_end
