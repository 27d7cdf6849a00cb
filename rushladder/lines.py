"""Counts the lines that were ordered and not yet applied, by proxy. All costs are parameters."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Generic, TypeVar

from rushladder.interface import Applied, Proxy

P = TypeVar("P", bound=Proxy)


class PendingLines(Generic[P]):
    """The lines of the current batch, and those of earlier batches until the proxy reports them as applied.

    overhead: lines that each message costs beside its own; rate: lines that leave the channel in a tenth of a
    millisecond; in_transit: lines between the channel and the proxies at that rate; pending_max: lines that
    may be pending.
    """

    def __init__(self, overhead: float, rate: float, in_transit: float, pending_max: float) -> None:
        self._overhead, self._rate, self._in_transit, self._pending_max = (
            overhead,
            rate,
            in_transit,
            pending_max,
        )
        self._mark, self.pending = 0, 0.0
        # The newest batch of which a message was answered, and the same as of the last two periods.
        self._newest_answered, self._answered_before = 0, (0, 0)
        self._batch, self._batch_number = dict[P, float](), 0
        self._unapplied: dict[P, deque[tuple[int, float, int]]] = {}  # mark, lines and number of each batch

    def add(self, proxies: Collection[P], count: float = 1) -> None:
        """Adds `count` lines for each proxy, and a message's overhead for its first lines of the batch."""
        self.pending += self.cost(proxies, count)
        for proxy in proxies:
            self._batch[proxy] = self._batch.get(proxy, self._overhead) + count

    def cost(self, proxies: Collection[P], count: float = 1) -> float:
        """What `add` would add to the pending lines."""
        return len(proxies) * count + self._overhead * sum(proxy not in self._batch for proxy in proxies)

    def end_batch(self) -> int:
        """Ends the batch. Returns the mark for its messages, or 0 if it has none."""
        if not self._batch:
            return 0
        self._mark, self._batch_number = self._mark % 65_000 + 1, self._batch_number + 1
        for proxy, lines in self._batch.items():
            self._unapplied.setdefault(proxy, deque()).append((self._mark, lines, self._batch_number))
        self._batch.clear()
        return self._mark

    def on_applied(self, event: Applied[P]) -> None:
        """The proxy has applied the message with this mark and all before it."""
        unapplied = self._unapplied.get(event.proxy, deque())
        while event.mark in (mark for mark, _, _ in unapplied):
            _, lines, number = unapplied.popleft()
            self.pending, self._newest_answered = self.pending - lines, max(self._newest_answered, number)

    def fits(self, proxies: Collection[P]) -> bool:
        """Whether a line to each keeps the channel's limit."""
        return self.pending + self.cost(proxies) <= self._pending_max

    def drain_time(self, lines: float = 0.0) -> float:
        """The time until the pending lines and `lines` more have left the channel, in tenths of a ms."""
        return max(0.0, self.pending - self._in_transit + lines) / self._rate

    def on_period(self) -> None:
        """Stops counting batches before the newest one that had an answer two periods ago.

        Messages leave in order, so the earlier ones have left too. Without this, a proxy that falls silent
        for good would fill the count until nothing could be sent.
        """
        self._remove_before(self._answered_before[0])
        self._answered_before = self._answered_before[1], self._newest_answered

    def _remove_before(self, number: int) -> None:
        """Removes the batches before `number`, of which a message was answered, but not that batch itself.

        A large batch takes seconds to leave the channel: when it was removed too, it counted as gone while
        thousands of its lines were still pending (rule 5).
        """
        for unapplied in self._unapplied.values():
            while unapplied and unapplied[0][2] < number:
                self.pending -= unapplied.popleft()[1]

    def remove(self, proxy: P) -> None:
        """Removes a proxy that left: its lines are lost, and a late answer no longer changes the count."""
        self.pending -= self._batch.pop(proxy, 0.0) + sum(
            batch[1] for batch in self._unapplied.pop(proxy, ())
        )
