"""Which of a peer's words count. Free of I/O."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

import attrs

# 5 s without a word of the life known: then a lower boot time is a clock set back, not a late word.
AGAIN = 50_000


class Verdict(Enum):
    NEW = "new"
    LATE = "late or repeated"
    FOREIGN = "of nobody known"


@attrs.define
class _Life:
    boot: int
    number: int
    heard: int


class Inbox:
    """The last word of each peer; bounded by the peers that are configured."""

    def __init__(self, peers: Collection[str]) -> None:
        self._peers, self._lives = frozenset(peers), dict[str, _Life]()
        self.counts = dict.fromkeys(Verdict, 0)

    def judge(self, peer: str, boot: int, number: int, now: int) -> Verdict:
        """Whether a word is to be believed: from a peer, and later than all that were."""
        verdict = self._judge(peer, boot, number, now)
        self.counts[verdict] += 1
        if verdict is Verdict.NEW:
            self._lives[peer] = _Life(boot, number, now)
        return verdict

    def _judge(self, peer: str, boot: int, number: int, now: int) -> Verdict:
        if peer not in self._peers:
            return Verdict.FOREIGN
        life = self._lives.get(peer)
        if life is None or boot > life.boot:
            return Verdict.NEW
        if boot < life.boot:
            return Verdict.NEW if now - life.heard >= AGAIN else Verdict.LATE
        return Verdict.NEW if number > life.number else Verdict.LATE
