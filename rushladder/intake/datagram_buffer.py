"""What is kept of the datagrams of a moment: the newest few of each listed sender. Free of I/O.

A manager that stood still would else spend each sender's budget on what it missed, and a flooder would
cost the decoding of all that it sends.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterator
from typing import NamedTuple

MAX_PER_SENDER = 5  # newest datagrams of a sender in a gathering: a sender's whole burst


class Gathered(NamedTuple):
    """One sender's part: how many older ones its newest pushed out, and those, the newest first."""

    address: str
    passed_over: int
    reports: list[bytes]


class DatagramBuffer:
    """Bounded by KEPT datagrams for each address in `knows`, whatever arrives."""

    def __init__(self, knows: Collection[str]) -> None:
        self.knows, self.strangers = knows, 0
        self._waiting, self._came = dict[str, deque[bytes]](), Counter[str]()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, address: str, datagram: bytes) -> None:
        waiting = self._waiting.get(address)
        if waiting is None:
            if address not in self.knows:
                self.strangers += 1
                return
            waiting = self._waiting[address] = deque(maxlen=MAX_PER_SENDER)
        self._came[address] += 1
        waiting.append(datagram)

    def take(self) -> Iterator[Gathered]:
        """All that was gathered since the last take; senders that are no longer known are left out."""
        taken, self._waiting = self._waiting, {}
        came, self._came = self._came, Counter()
        for address, waiting in taken.items():
            if address in self.knows:
                yield Gathered(address, came[address] - len(waiting), list(reversed(waiting)))

    def take_strangers(self) -> int:
        many, self.strangers = self.strangers, 0
        return many
