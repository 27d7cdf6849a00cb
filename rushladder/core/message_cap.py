"""The message cap (rule 5): limits the messages to one gateway per time span, with some reserved for
withdrawals."""

from __future__ import annotations

from collections import deque


class MessageCap:
    """A sliding-window rate limiter; keeps the send times of at most `cap` messages.

    cap: the maximum of messages within `span` (tenths of a millisecond); 0: unlimited.
    """

    # Messages reserved for withdrawals: one sent at once, and one that follows before the first has expired.
    RESERVED = 2

    def __init__(self, cap: int, span: int) -> None:
        self._cap, self._span = cap, span
        self._sent = deque[int](maxlen=cap or 1)

    def next(self, now: int, urgent: bool) -> int:
        """The earliest time at which the next message may be sent."""
        if not self._cap:
            return now
        limit = self._cap if urgent else max(1, self._cap - self.RESERVED)
        if len(self._sent) < limit:
            return now
        return max(now, self._sent[-limit] + self._span + 1)

    def sent(self, now: int) -> None:
        self._sent.append(now)
