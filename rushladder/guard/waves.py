"""Waves: a change goes to a few gateways first, is watched, and widens, holds or is taken back by itself.

The watch is Wald's sequential test: after each period the likelihood of what the changed gateways met, if
they were worse by a stated part, over that if they were like the others; it ends as soon as either is sure
enough. What is bad is a txn that voids or is late; how many were late is told from the mean time, as plain
proxies give no more.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import attrs

# Chance of taking back a good change, and of widening a bad one: once in a hundred changes either way.
WRONG = 0.01
# A rise of bad txns by 5 in 100 is what a wave has to find: half of what an operator would see at once.
HARM = 0.05
# Part of bad txns taken for normal even where none was met: one in 200, so that one alone says little.
LEAST = 0.005
LONG = 300_000  # 30 s in one stage: at 6 txns a second and gateway the test ends in 10 to 15 s
SIZES = (0.1, 0.35, 1.0)  # parts of the gateways: one in ten is enough to see, a third to be sure


class Stage(Enum):
    FIRST = "first wave"
    MORE = "second wave"
    ALL = "all gateways"
    HELD = "held: not sure"
    DONE = "done"
    UNDONE = "taken back"


class Sign(Enum):
    WORSE = "worse, sure enough"
    FINE = "no worse, sure enough"
    UNSURE = "not sure yet"
    LONG = "not sure for too long"


class Effect(Enum):
    NONE = "nothing"
    WIDEN = "more gateways take the change"
    FINISH = "every gateway has it, and it stands"
    HOLD = "no more gateways take it, somebody is told"
    UNDO = "every gateway goes back to what stood before"


@attrs.frozen
class Arm:
    """What gateways met in a period: txns that ended, those voided, and the mean time of the settled ones.

    Times in tenths of a millisecond; sla_time of the product.
    """

    many: float = 0.0
    voided: float = 0.0
    time: float = 0.0
    sla_time: float = 1.0

    @property
    def bad(self) -> float:
        """Voided and late ones; the late ones as if times were spread exponentially about their mean."""
        settled = self.many - self.voided
        mean = self.time / settled if settled > 0 else 0.0
        return self.voided + (settled * math.exp(-self.sla_time / mean) if mean > 0 else 0.0)


class SequentialTest:
    """Wald's sequential test of one stage."""

    def __init__(self) -> None:
        self.ratio, self.txns = 0.0, 0.0

    def period(self, changed: Sequence[Arm], others: Sequence[Arm], before: float) -> Sign:
        """One period of the arms, by product; `before`: the changed gateways' part of bad txns before the
        change."""
        many, bad = sum(arm.many for arm in changed), sum(arm.bad for arm in changed)
        control = sum(arm.many for arm in others)
        rate = sum(arm.bad for arm in others) / control if control else before
        like = min(0.9, max(LEAST, rate, before))  # no better than the others are now, nor than it was
        worse = min(0.95, like + max(HARM, 0.5 * like))
        self.ratio += bad * math.log(worse / like) + (many - bad) * math.log((1 - worse) / (1 - like))
        self.txns += many
        if self.ratio >= math.log((1 - WRONG) / WRONG):
            return Sign.WORSE
        return Sign.FINE if self.ratio <= math.log(WRONG / (1 - WRONG)) else Sign.UNSURE

    def probability_worse(self) -> float:
        """The chance that the changed gateways are worse, if both were as likely at the start."""
        return 1 / (1 + math.exp(-max(-700.0, min(700.0, self.ratio))))


class Wave:
    """One change on its way out. `gateways` are in the order in which they take it."""

    def __init__(self, number: int, gateways: Sequence[str], before: float, now: int) -> None:
        self.number, self._gateways, self._before = number, list(gateways), before
        self.stage, self._since, self.test = Stage.FIRST, now, SequentialTest()
        self._many = self._size(0)

    def _size(self, step: int) -> int:
        return max(1, math.ceil(SIZES[step] * len(self._gateways)))

    @property
    def changed(self) -> list[str]:
        """The gateways that hold the change now."""
        return self._gateways[: self._many]

    @property
    def finished(self) -> bool:
        return self.stage in (Stage.DONE, Stage.UNDONE)

    def period(self, changed: Sequence[Arm], others: Sequence[Arm], now: int) -> Effect:
        sign = self.test.period(changed, others, self._before)
        if sign is Sign.UNSURE and now - self._since >= LONG:
            sign = Sign.LONG
        return self._turn(sign, now)

    def lost(self, gateway: str) -> None:
        """A gateway that left takes the change when it is back, if it stands by then."""
        if gateway in self._gateways:
            self._many -= self._gateways.index(gateway) < self._many
            self._gateways.remove(gateway)
            self._many = max(self._many, min(1, len(self._gateways)))

    def _turn(self, sign: Sign, now: int) -> Effect:
        before = self.stage
        self.stage, effect, step = STAGES[self.stage, sign]
        step(self)
        if self.stage is not before:
            self._since, self.test = now, SequentialTest() if not self.finished else self.test
        return effect

    def _stay(self) -> None:
        pass

    def _more(self) -> None:
        self._many = self._size(1)

    def _all(self) -> None:
        self._many = len(self._gateways)

    def _none(self) -> None:
        self._many = 0


_Row = tuple[Stage, Effect, Callable[[Wave], None]]
STAGES: dict[tuple[Stage, Sign], _Row] = {
    **{(stage, Sign.UNSURE): (stage, Effect.NONE, Wave._stay) for stage in Stage},
    **{(stage, Sign.WORSE): (Stage.UNDONE, Effect.UNDO, Wave._none) for stage in Stage},
    (Stage.FIRST, Sign.FINE): (Stage.MORE, Effect.WIDEN, Wave._more),
    (Stage.MORE, Sign.FINE): (Stage.ALL, Effect.WIDEN, Wave._all),
    (Stage.ALL, Sign.FINE): (Stage.DONE, Effect.FINISH, Wave._all),
    (Stage.HELD, Sign.FINE): (Stage.MORE, Effect.WIDEN, Wave._more),
    (Stage.FIRST, Sign.LONG): (Stage.HELD, Effect.HOLD, Wave._stay),
    (Stage.MORE, Sign.LONG): (Stage.HELD, Effect.HOLD, Wave._stay),
    (Stage.ALL, Sign.LONG): (Stage.DONE, Effect.FINISH, Wave._all),
    (Stage.HELD, Sign.LONG): (Stage.UNDONE, Effect.UNDO, Wave._none),
    **{
        (stage, sign): (stage, Effect.NONE, Wave._stay)
        for stage in (Stage.DONE, Stage.UNDONE)
        for sign in Sign
    },
}
