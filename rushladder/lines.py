"""Lines ordered and not yet applied, counted for each proxy. Purely mechanical: costs are passed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Generic, TypeVar

from rushladder.interface import Applied, Proxy

P = TypeVar("P", bound=Proxy)


class Lines(Generic[P]):
    """Lines of the batch in hand, and of earlier batches until the proxy says that it applied them.

    head: lines of a message beside its own; pace: lines that leave the channel in a tenth of a millisecond;
    travels: lines on their way from it to the proxies at that pace; most: lines that may wait in it.
    """

    def __init__(self, head: float, pace: float, travels: float, most: float) -> None:
        self._head, self._pace, self._travels, self._most = head, pace, travels, most
        self._mark, self.waiting = 0, 0.0
        self._newest, self._answered = 0, (0, 0)  # batches of which a message was answered; by the last beats
        self._batch, self._number = dict[P, float](), 0
        self._sent: dict[P, deque[tuple[int, float, int]]] = {}

    def add(self, proxies: Collection[P], count: float = 1) -> None:
        """`count` lines for each, and the head of the message if it is their first of the batch."""
        self.waiting += self.price(proxies, count)
        for proxy in proxies:
            self._batch[proxy] = self._batch.get(proxy, self._head) + count

    def price(self, proxies: Collection[P], count: float = 1) -> float:
        return len(proxies) * count + self._head * sum(proxy not in self._batch for proxy in proxies)

    def close(self) -> int:
        """Ends the batch: the number to mark its messages with, or 0 if it has none."""
        if not self._batch:
            return 0
        self._mark, self._number = self._mark % 65_000 + 1, self._number + 1
        for proxy, lines in self._batch.items():
            self._sent.setdefault(proxy, deque()).append((self._mark, lines, self._number))
        self._batch.clear()
        return self._mark

    def applied(self, event: Applied[P]) -> None:
        """The proxy has applied the message with this mark and all before it."""
        sent = self._sent.get(event.proxy, deque())
        while event.mark in (mark for mark, _, _ in sent):
            _, lines, number = sent.popleft()
            self.waiting, self._newest = self.waiting - lines, max(self._newest, number)

    def fits(self, proxies: Collection[P]) -> bool:
        """Whether a line to each keeps the channel's limit."""
        return self.waiting + self.price(proxies) <= self._most

    def queue(self, lines: float = 0.0) -> float:
        """The time until `lines` more than wait now have left the channel, in tenths of a millisecond."""
        return max(0.0, self.waiting - self._travels + lines) / self._pace

    def beat(self) -> None:
        """Messages leave one after the other, so those sent before one that was answered two beats ago have
        left too: a proxy that fell silent for good would fill the count until nothing could be sent."""
        self._passed(self._answered[0])
        self._answered = self._answered[1], self._newest

    def _passed(self, number: int) -> None:
        """One message of this batch was answered, so all of the batches before it have left the channel,
        answered or not. Not those of the batch itself: a great one takes seconds to leave, and was taken for
        gone while thousands of its lines still waited (rule 5)."""
        for sent in self._sent.values():
            while sent and sent[0][2] < number:
                self.waiting -= sent.popleft()[1]

    def left(self, proxy: P) -> None:
        """What is under way to it is lost; a late word of it drains nothing twice."""
        self.waiting -= self._batch.pop(proxy, 0.0) + sum(sent[1] for sent in self._sent.pop(proxy, ()))
