"""Who holds a gateway: one manager at a time, told by a word in a variable of the gateway's process.

The word is `epoch/manager/region/beat`. A holder raises the beat at each reading; a manager that sees the
beat stand still for the takeover time claims the gateway with the next epoch, waits until its claim has
settled, and holds it once it reads its own word back. The highest epoch wins; a lower one that comes late
is written over and what its author may have ordered is undone. Nothing is assumed of clocks but that each
runs at its own even pace.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum

import attrs


@attrs.frozen
class Word:
    """What stands in the gateway's variable."""

    epoch: int
    manager: str
    region: str
    beat: int

    def __str__(self) -> str:
        return f"{self.epoch}/{self.manager}/{self.region}/{self.beat}"


def read_word(text: str) -> Word | None:
    """The word of a variable's text, or None where none (or none of ours) stands there."""
    match = re.fullmatch(r"(\d{1,15})/([\w.:\-]{1,64})/([\w.:\-]{1,64})/(\d{1,15})", text)
    return Word(int(match[1]), match[2], match[3], int(match[4])) if match else None


class HolderState(Enum):
    AWAY = "no connection"
    WATCHING = "another holds it, or nobody yet"
    CLAIMING = "own claim written, not yet settled"
    HOLDING = "held"
    REPLACED = "a later process of this manager's name holds it: nothing is sent any more"


class Sign(Enum):
    LOST = "the connection broke"
    FREE = "nobody's word stands there"
    MINE = "the own word"
    SETTLED = "the own word, long enough to be sure"
    OTHERS = "another's word, alive and not to be challenged"
    SILENT = "another's word that has stood still for the takeover time"
    FOREIGN = "a manager of another region holds a gateway of the own"
    STALE = "another's word of a lower epoch than the own"
    REPLACED = "the own name with a higher epoch, which this process never gave"


class Effect(Enum):
    """What the caller has to do after a reading; in this order where it is several things."""

    NONE = "nothing"
    CLAIM = "write the own word"
    BEGIN = "it is held from now on: read back and steer"
    BEAT = "write the own word with its next beat"
    REPAIR = "write the own word, and read back what it holds"
    END = "it is lost: send nothing more"
    END_CLAIM = "it is lost with all it held; write a claim"


POLL_INTERVAL = 10_000  # 1 s between two readings: the module's bucket of time
TAKEOVER_TIMEOUT = 40_000  # 4 s of silence: three readings missed, and one to spare
ANSWER_TIMEOUT = 20_000  # 2 s for an answer: twice a stall that gateways were seen to make
HOMING = 100_000  # 10 s: longer than a manager's start takes, so that a flapping one takes nothing back


def lease_and_settle_times(poll: int) -> tuple[int, int]:
    """How long a reading is believed, and how long a claim settles, for readings a poll apart.

    A reading outlives one poll and a half, so that one late answer costs nothing; a claim settles later
    than that, so that whoever acted on an older reading has seen it. Both are shorter than a takeover of
    four polls.
    """
    return poll * 3 // 2, poll * 7 // 4


class HolderElection:
    """One manager's view of one gateway.

    takeover, settle and lease are in tenths of a millisecond; settle must exceed the holder's longest pause
    between two readings, lease is the time for which the last reading of the own word allows sending;
    highest_epoch is an epoch that was in use before, as far as that is known.
    """

    def __init__(
        self,
        manager: str,
        region: str,
        gateway_region: str,
        *,
        takeover: int,
        settle: int,
        lease: int,
        highest_epoch: int = 0,
    ) -> None:
        self._manager, self._region, self._home = manager, region, region == gateway_region
        self._gateway_region, self._takeover, self._settle, self._lease = (
            gateway_region,
            takeover,
            settle,
            lease,
        )
        self.state, self.epoch, self._beat, self._highest = HolderState.AWAY, 0, 0, highest_epoch
        self._seen: Word | None = None
        self._since = self._claimed = self._confirmed = self._watched = 0

    def word(self) -> Word:
        """The own word as it is to be written now."""
        return Word(self.epoch, self._manager, self._region, self._beat)

    def may_send(self, now: int) -> bool:
        """Whether orders may go out: held, and seen to be so a short while ago."""
        return self.state is HolderState.HOLDING and now <= self._confirmed + self._lease

    def lost(self) -> Effect:
        return self._turn(Sign.LOST, 0)

    def read(self, word: Word | None, asked: int, now: int) -> Effect:
        """A reading of the variable that was asked for at `asked` and came at `now`."""
        if now - asked > self._lease:
            return Effect.NONE  # the manager stood still meanwhile: what it read may be long gone
        if self.state is HolderState.AWAY:
            self.state, self._seen, self._since, self._watched = HolderState.WATCHING, word, now, now
        if word != self._seen:
            self._seen, self._since = word, now
        self._highest = max(self._highest, word.epoch if word else 0)
        sign = self._sign(word, now)
        if sign in (Sign.MINE, Sign.SETTLED):
            self._confirmed = asked
        return self._turn(sign, now)

    def _sign(self, word: Word | None, now: int) -> Sign:
        still = now - self._since >= self._takeover
        if word is None:
            # One of another region leaves it to those of its own for a while.
            return Sign.FREE if self._home or still or self.state is not HolderState.WATCHING else Sign.OTHERS
        if word.manager == self._manager:
            if self.state in (HolderState.CLAIMING, HolderState.HOLDING) and word.epoch > self.epoch:
                return Sign.REPLACED
            if self.state is HolderState.WATCHING or word.epoch != self.epoch:
                return Sign.FREE  # of an earlier life of this manager: nobody else holds it
            return Sign.SETTLED if now - self._claimed >= self._settle else Sign.MINE
        if self.state in (HolderState.CLAIMING, HolderState.HOLDING) and word.epoch < self.epoch:
            return Sign.STALE
        if still:
            return Sign.SILENT
        foreign = self._home and word.region != self._gateway_region and now - self._watched >= HOMING
        return Sign.FOREIGN if foreign else Sign.OTHERS

    def _turn(self, sign: Sign, now: int) -> Effect:
        self.state, effect, keep = TRANSITIONS[self.state, sign]
        keep(self, now)
        return effect

    def _nothing(self, now: int) -> None:
        pass

    def _claim(self, now: int) -> None:
        self.epoch, self._beat, self._claimed = self._highest + 1, 0, now
        self._highest = self.epoch

    def _next_beat(self, now: int) -> None:
        self._beat += 1

    def _watch(self, now: int) -> None:
        self._since = self._watched = now


_Row = tuple[HolderState, Effect, Callable[[HolderElection, int], None]]
TRANSITIONS: dict[tuple[HolderState, Sign], _Row] = {
    **{(state, Sign.LOST): (HolderState.AWAY, Effect.NONE, HolderElection._nothing) for state in HolderState},
    (HolderState.HOLDING, Sign.LOST): (HolderState.AWAY, Effect.END, HolderElection._nothing),
    (HolderState.WATCHING, Sign.FREE): (HolderState.CLAIMING, Effect.CLAIM, HolderElection._claim),
    (HolderState.WATCHING, Sign.SILENT): (HolderState.CLAIMING, Effect.CLAIM, HolderElection._claim),
    (HolderState.WATCHING, Sign.FOREIGN): (HolderState.CLAIMING, Effect.CLAIM, HolderElection._claim),
    (HolderState.WATCHING, Sign.OTHERS): (HolderState.WATCHING, Effect.NONE, HolderElection._nothing),
    (HolderState.CLAIMING, Sign.FREE): (HolderState.CLAIMING, Effect.CLAIM, HolderElection._claim),
    (HolderState.CLAIMING, Sign.MINE): (HolderState.CLAIMING, Effect.NONE, HolderElection._nothing),
    (HolderState.CLAIMING, Sign.SETTLED): (HolderState.HOLDING, Effect.BEGIN, HolderElection._next_beat),
    (HolderState.CLAIMING, Sign.OTHERS): (HolderState.WATCHING, Effect.NONE, HolderElection._watch),
    (HolderState.CLAIMING, Sign.SILENT): (HolderState.WATCHING, Effect.NONE, HolderElection._watch),
    (HolderState.CLAIMING, Sign.FOREIGN): (HolderState.WATCHING, Effect.NONE, HolderElection._watch),
    (HolderState.CLAIMING, Sign.STALE): (HolderState.CLAIMING, Effect.CLAIM, HolderElection._claim),
    (HolderState.HOLDING, Sign.FREE): (HolderState.CLAIMING, Effect.END_CLAIM, HolderElection._claim),
    (HolderState.HOLDING, Sign.MINE): (HolderState.HOLDING, Effect.BEAT, HolderElection._next_beat),
    (HolderState.HOLDING, Sign.SETTLED): (HolderState.HOLDING, Effect.BEAT, HolderElection._next_beat),
    (HolderState.HOLDING, Sign.OTHERS): (HolderState.WATCHING, Effect.END, HolderElection._watch),
    (HolderState.HOLDING, Sign.SILENT): (HolderState.WATCHING, Effect.END, HolderElection._watch),
    (HolderState.HOLDING, Sign.FOREIGN): (HolderState.WATCHING, Effect.END, HolderElection._watch),
    (HolderState.HOLDING, Sign.STALE): (HolderState.HOLDING, Effect.REPAIR, HolderElection._next_beat),
    (HolderState.CLAIMING, Sign.REPLACED): (HolderState.REPLACED, Effect.END, HolderElection._nothing),
    (HolderState.HOLDING, Sign.REPLACED): (HolderState.REPLACED, Effect.END, HolderElection._nothing),
    **{
        (HolderState.REPLACED, sign): (HolderState.REPLACED, Effect.NONE, HolderElection._nothing)
        for sign in Sign
    },
}
