"""How long an answer may be kept. Free of I/O.

What a resolver holds is a table that no one can withdraw, so the rules set its life, and what a short one
costs in questions is paid.
"""

from __future__ import annotations

from collections.abc import Callable

SECOND = 10_000
USE = 10_000  # 1 s from the end of a kept answer to the last txn begun with it: resolvers count whole seconds
MOST = 30  # s: above it a pool's weights, not its drains, would bind
COLD = 1  # s, of an answer that names a cold server: its part is set anew each beat (rule 4)


class TtlPolicy:
    """grace: in which a drain is to be kept; way: the longest one from the list to an answer; both in
    tenths of a millisecond."""

    def __init__(self, grace: int, way: int, now: int, draw: Callable[[], float]) -> None:
        self.normal = max(0, min(MOST, (grace - way - USE) // SECOND))
        self._until, self._draw = now + self.normal * SECOND, draw

    def of(self, cold: bool, now: int) -> int:
        """The TTL of an answer, in whole seconds; 0 where the grace leaves no room to keep one (rule 3).

        Resolvers that ask all at once, as after a restart, are spread over the first life, so that they do
        not ask all at once again.
        """
        usual = min(self.normal, COLD) if cold else self.normal
        if now < self._until and usual > 1:
            return 1 + int(self._draw() * usual)
        return usual

    def settled(self, now: int) -> bool:
        """Whether what was answered before this manager's start has run out."""
        return now >= self._until
