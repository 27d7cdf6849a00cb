"""What the channel to the proxies carries, by purpose, and how much of it waits. Free of I/O.

The queue is worked out from what was written and the channel's pace in the settings, so that it can be read
beside the module's own count, which goes by the proxies' answers.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from rushladder.timing import TENTHS_PER_SECOND


class Purpose(Enum):
    """Why a line is written."""

    HEAD = "head"  # what each message costs beside its lines
    BINDING = "binding"
    WITHDRAWAL = "withdrawal"
    LEVEL = "level"
    WEIGHT = "weight"
    MARK = "mark"


@attrs.frozen
class ChannelFigures:
    """What was written since the figures were last taken, and the most lines that waited meanwhile."""

    lines: Mapping[str, int]
    messages: int
    queue: int
    queue_most: int


class ChannelAccount:
    """lines_per_s: the channel's pace; head: lines that a message costs beside its own. Times: tenths of a
    millisecond on the caller's clock."""

    def __init__(self, lines_per_s: float, head: float) -> None:
        self._pace, self._head = lines_per_s / TENTHS_PER_SECOND, head
        self._queue, self._at = 0.0, 0
        self._lines, self._messages, self._most = dict.fromkeys(Purpose, 0.0), 0, 0.0

    def written(self, now: int, lines: Mapping[Purpose, int]) -> None:
        """One message with these lines."""
        self._lines[Purpose.HEAD] += self._head
        for purpose, count in lines.items():
            self._lines[purpose] += count
        self._messages += 1
        self._queue = self.queue(now) + self._head + sum(lines.values())
        self._most = max(self._most, self._queue)

    def queue(self, now: int) -> float:
        """Lines that have not left the channel yet."""
        self._queue = max(0.0, self._queue - self._pace * max(0, now - self._at))
        self._at = max(now, self._at)
        return self._queue

    def take(self, now: int) -> ChannelFigures:
        """The figures, which begin anew."""
        figures = ChannelFigures(
            {purpose.value: round(count) for purpose, count in self._lines.items() if count},
            self._messages,
            round(self.queue(now)),
            round(self._most),
        )
        self._lines, self._messages, self._most = dict.fromkeys(Purpose, 0.0), 0, self._queue
        return figures
