"""The message cap (rule 5): so many messages to one gateway within a span, the last ones kept for what
can't wait."""

from __future__ import annotations

from collections import deque


class MessageCap:
    """The times of the last messages to one gateway; it keeps no more than the cap allows.

    cap: messages within `span` (tenths of a millisecond); 0: no such limit.
    """

    SPARE = 2  # kept for withdrawals: one at once, and one that follows it before the first is a span old

    def __init__(self, cap: int, span: int) -> None:
        self._cap, self._span = cap, span
        self._sent = deque[int](maxlen=cap or 1)

    def next(self, now: int, urgent: bool) -> int:
        """When the next message may go: `now`, or the time at which the cap allows it."""
        if not self._cap:
            return now
        most = self._cap if urgent else max(1, self._cap - self.SPARE)
        if len(self._sent) < most:
            return now
        return max(now, self._sent[-most] + self._span + 1)

    def sent(self, now: int) -> None:
        self._sent.append(now)
