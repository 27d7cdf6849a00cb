"""Decides which messages of a peer are accepted. No I/O."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

import attrs

# 5 s, in tenths of a millisecond. If nothing of the known incarnation was accepted for so long, a lower boot
# time means that the sender's clock was set back, and not that the message is late.
CLOCK_SET_BACK_TENTHS = 50_000


class Verdict(Enum):
    """Whether a message is accepted; only NEW ones are."""

    NEW = "new"
    LATE = "late or repeated"
    FOREIGN = "of an unknown sender"


@attrs.define
class _Incarnation:
    """The current process of a peer: its boot time, and its last accepted message's number and time."""

    boot: int
    number: int
    accepted_at: int


class Inbox:
    """Keeps the last accepted message of each peer; its size is bounded by the peers in the configuration."""

    def __init__(self, peers: Collection[str]) -> None:
        self._peers, self._incarnations = frozenset(peers), dict[str, _Incarnation]()
        self.counts = dict.fromkeys(Verdict, 0)

    def accept(self, peer: str, boot: int, number: int, now: int) -> Verdict:
        """Accepts a message if it is of a known peer and newer than all that were accepted; counts the
        verdict."""
        verdict = self._verdict(peer, boot, number, now)
        self.counts[verdict] += 1
        if verdict is Verdict.NEW:
            self._incarnations[peer] = _Incarnation(boot, number, now)
        return verdict

    def _verdict(self, peer: str, boot: int, number: int, now: int) -> Verdict:
        if peer not in self._peers:
            return Verdict.FOREIGN
        known = self._incarnations.get(peer)
        if known is None or boot > known.boot:
            return Verdict.NEW
        if boot < known.boot:
            return Verdict.NEW if now - known.accepted_at >= CLOCK_SET_BACK_TENTHS else Verdict.LATE
        return Verdict.NEW if number > known.number else Verdict.LATE
