"""Lines ordered and not yet applied, counted for each proxy. Purely mechanical: costs are passed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Generic, TypeVar

from rushladder.interface import Applied, Proxy

P = TypeVar("P", bound=Proxy)


class Lines(Generic[P]):
    """Lines of the batch in hand, and of earlier batches until the proxy says that it applied them."""

    def __init__(self, head: float) -> None:
        self._head, self._mark = head, 0
        self.waiting, self.newest = 0.0, 0  # newest: the latest batch of which a message was answered
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
        while event.number in (mark for mark, _, _ in sent):
            _, lines, number = sent.popleft()
            self.waiting, self.newest = self.waiting - lines, max(self.newest, number)

    def passed(self, number: int) -> None:
        """All messages up to this batch have left the channel, answered or not."""
        for sent in self._sent.values():
            while sent and sent[0][2] <= number:
                self.waiting -= sent.popleft()[1]

    def left(self, proxy: P) -> None:
        """What is under way to it is lost; a late word of it drains nothing twice."""
        self.waiting -= self._batch.pop(proxy, 0.0) + sum(sent[1] for sent in self._sent.pop(proxy, ()))
