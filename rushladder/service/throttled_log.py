"""A rate-limited log of warnings: the first of a kind is logged at once, repeated ones as a count."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rushladder.timing import Clock

REPEAT_INTERVAL_SECONDS = 10.0  # between two log lines of a kind; the second has the count since the first
MAX_KINDS = 64  # further kinds are counted together as "others"


class ThrottledLog:
    """Logs warnings of a limited number of kinds, each kind at most once per interval."""

    def __init__(self, log: Any, clock: Clock) -> None:
        self._log, self._clock = log, clock
        self.counts, self._logged = dict[str, int](), dict[str, tuple[float, int]]()

    def warn(self, kind: str, reason: str) -> None:
        if kind not in self.counts and len(self.counts) >= MAX_KINDS:
            kind = "others"
        count = self.counts[kind] = self.counts.get(kind, 0) + 1
        logged_at, logged_count = self._logged.get(kind, (-REPEAT_INTERVAL_SECONDS, 0))
        if self._clock.seconds() - logged_at >= REPEAT_INTERVAL_SECONDS:
            self._logged[kind] = self._clock.seconds(), count
            self._log.warning(kind, why=reason[-1500:], many=count - logged_count)

    def totals(self) -> Mapping[str, int]:
        """Returns how many warnings of each kind there have been."""
        return dict(self.counts)
