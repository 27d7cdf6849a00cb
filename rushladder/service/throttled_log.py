"""Faults as a bounded log tells them: the first of its kind at once, then a count now and then."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rushladder.timing import Clock

REPEAT_INTERVAL_SECONDS = 10.0  # s until a kind of fault is logged again, with how often it was met meanwhile
MAX_KINDS = 64  # kinds that are told apart; the rest count together


class ThrottledLog:
    def __init__(self, log: Any, clock: Clock) -> None:
        self._log, self._clock = log, clock
        self.counts, self._told = dict[str, int](), dict[str, tuple[float, int]]()

    def note(self, kind: str, why: str) -> None:
        if kind not in self.counts and len(self.counts) >= MAX_KINDS:
            kind = "others"
        many = self.counts[kind] = self.counts.get(kind, 0) + 1
        at, before = self._told.get(kind, (-REPEAT_INTERVAL_SECONDS, 0))
        if self._clock.seconds() - at >= REPEAT_INTERVAL_SECONDS:
            self._told[kind] = self._clock.seconds(), many
            self._log.warning(kind, why=why[-1500:], many=many - before)

    def totals(self) -> Mapping[str, int]:
        return dict(self.counts)
