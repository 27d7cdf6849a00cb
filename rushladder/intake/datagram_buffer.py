"""Buffers datagrams for a short time and keeps only the newest few of each known sender. Performs no I/O.

Without it, a manager that was stalled would spend each sender's budget on the reports that it missed, and a
flooding sender would cost the decoding of everything that it sends.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterator
from typing import NamedTuple

MAX_PER_SENDER = 5  # newest datagrams kept of a sender, equal to the burst that a sender is allowed


class SenderDatagrams(NamedTuple):
    """The datagrams kept of one sender, newest first, and the number of older ones that they displaced."""

    address: str
    displaced: int
    reports: list[bytes]


class DatagramBuffer:
    """Holds at most MAX_PER_SENDER datagrams for each known address, whatever arrives."""

    def __init__(self, known_addresses: Collection[str]) -> None:
        self.known_addresses, self.unknown_count = known_addresses, 0
        self._kept, self._received = dict[str, deque[bytes]](), Counter[str]()

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, address: str, datagram: bytes) -> None:
        """Keeps a datagram, or counts it in `unknown_count` if its address is unknown."""
        kept = self._kept.get(address)
        if kept is None:
            if address not in self.known_addresses:
                self.unknown_count += 1
                return
            kept = self._kept[address] = deque(maxlen=MAX_PER_SENDER)
        self._received[address] += 1
        kept.append(datagram)

    def take(self) -> Iterator[SenderDatagrams]:
        """Empties the buffer and yields its contents, without senders that are no longer known."""
        taken, self._kept = self._kept, {}
        received, self._received = self._received, Counter()
        for address, kept in taken.items():
            if address in self.known_addresses:
                yield SenderDatagrams(address, received[address] - len(kept), list(reversed(kept)))

    def take_unknown_count(self) -> int:
        """Returns and resets the number of datagrams from unknown addresses."""
        count, self.unknown_count = self.unknown_count, 0
        return count
