"""Counts the lines written to the proxies' channel by purpose, and estimates how many are queued. No I/O.

The queue is computed from what was written and the channel's rate in the settings, so that it can be compared
with the decision module's own count, which is based on the proxies' acknowledgements.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from rushladder.timing import TENTHS_PER_SECOND


class Purpose(Enum):
    """Why a line is written."""

    HEAD = "head"  # the fixed cost of each message beside its lines
    BINDING = "binding"
    WITHDRAWAL = "withdrawal"
    LEVEL = "level"
    WEIGHT = "weight"
    MARK = "mark"


@attrs.frozen
class ChannelFigures:
    """What was written since the figures were last taken, and the current and the longest queue in lines."""

    lines: Mapping[str, int]
    messages: int
    queue: int
    queue_max: int


class ChannelMeter:
    """lines_per_s: the channel's rate; message_overhead: lines that each message costs beside its own. Times:
    tenths of a millisecond on the caller's clock."""

    def __init__(self, lines_per_s: float, message_overhead: float) -> None:
        self._lines_per_tenth, self._overhead = lines_per_s / TENTHS_PER_SECOND, message_overhead
        self._queue, self._queue_at = 0.0, 0
        self._lines, self._messages, self._queue_max = dict.fromkeys(Purpose, 0.0), 0, 0.0

    def message_written(self, now: int, lines: Mapping[Purpose, int]) -> None:
        """Counts one message with these lines."""
        self._lines[Purpose.HEAD] += self._overhead
        for purpose, count in lines.items():
            self._lines[purpose] += count
        self._messages += 1
        self._queue = self.queue(now) + self._overhead + sum(lines.values())
        self._queue_max = max(self._queue_max, self._queue)

    def queue(self, now: int) -> float:
        """Lines that have not left the channel yet."""
        self._queue = max(0.0, self._queue - self._lines_per_tenth * max(0, now - self._queue_at))
        self._queue_at = max(now, self._queue_at)
        return self._queue

    def take_figures(self, now: int) -> ChannelFigures:
        """Returns the figures and starts new ones."""
        figures = ChannelFigures(
            {purpose.value: round(count) for purpose, count in self._lines.items() if count},
            self._messages,
            round(self.queue(now)),
            round(self._queue_max),
        )
        self._lines, self._messages, self._queue_max = dict.fromkeys(Purpose, 0.0), 0, self._queue
        return figures
