"""Waves: a change is applied to a few gateways first, evaluated, and then widened, held or reverted.

The evaluation is Wald's sequential probability ratio test. Each period updates the likelihood ratio of the
changed gateways' outcomes under two hypotheses: that their share of bad txns is higher by a given amount, and
that it equals that of the other gateways. The test ends as soon as one of them is sufficiently certain. Bad
txns are voided or late ones; the number of late ones is estimated from the mean time, as plain proxies report
no more.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import attrs

# Probability of reverting a good change, and of widening a bad one: one in a hundred changes each.
ERROR_RATE = 0.01
# Minimum increase of the share of bad txns that a wave has to detect: half of what an operator would notice
# at once.
MIN_INCREASE = 0.05
# Share of bad txns assumed as normal even if there were none, so that a single one is weak evidence.
MIN_BAD_SHARE = 0.005
STAGE_TIMEOUT = 300_000  # 30 s; at 6 txns a second per gateway the test ends in 10 to 15 s
STAGE_SHARES = (0.1, 0.35, 1.0)  # of the gateways: a tenth is enough to see an effect, a third to be sure


class Stage(Enum):
    """How far a wave has come. The names are printed by `show wave`."""

    FIRST = "first wave"
    MORE = "second wave"
    ALL = "all gateways"
    HELD = "held: undecided"
    DONE = "done"
    UNDONE = "taken back"


class Decision(Enum):
    """The decision of the sequential test after a period."""

    WORSE = "significantly worse"
    NOT_WORSE = "not worse"
    UNDECIDED = "undecided so far"
    TIMED_OUT = "undecided for too long"


class Effect(Enum):
    """What a period changes for the gateways. The values are logged."""

    NONE = "nothing"
    WIDEN = "more gateways get the change"
    FINISH = "the change is final on all gateways"
    HOLD = "no more gateways get the change; logged for operators"
    UNDO = "all gateways return to the previous version"


@attrs.frozen
class Arm:
    """Outcomes of a group of gateways in a period: txns ended, txns voided, and the settled ones' total time.

    Times are in tenths of a millisecond; sla_time is that of the product.
    """

    count: float = 0.0
    voided: float = 0.0
    time: float = 0.0
    sla_time: float = 1.0

    @property
    def bad(self) -> float:
        """The number of voided and late txns; late ones are estimated from an exponential distribution."""
        settled = self.count - self.voided
        mean = self.time / settled if settled > 0 else 0.0
        return self.voided + (settled * math.exp(-self.sla_time / mean) if mean > 0 else 0.0)


class SequentialTest:
    """Wald's sequential test of one stage."""

    def __init__(self) -> None:
        self.ratio, self.txns = 0.0, 0.0

    def end_period(self, changed: Sequence[Arm], others: Sequence[Arm], share_before: float) -> Decision:
        """Adds one period, with an arm per gateway and product.

        share_before: the changed gateways' share of bad txns before the change.
        """
        count, bad = sum(arm.count for arm in changed), sum(arm.bad for arm in changed)
        control_count = sum(arm.count for arm in others)
        others_share = sum(arm.bad for arm in others) / control_count if control_count else share_before
        # At least the others' present share and the changed gateways' earlier one.
        expected_share = min(0.9, max(MIN_BAD_SHARE, others_share, share_before))
        worse_share = min(0.95, expected_share + max(MIN_INCREASE, 0.5 * expected_share))
        self.ratio += bad * math.log(worse_share / expected_share) + (count - bad) * math.log(
            (1 - worse_share) / (1 - expected_share)
        )
        self.txns += count
        if self.ratio >= math.log((1 - ERROR_RATE) / ERROR_RATE):
            return Decision.WORSE
        return (
            Decision.NOT_WORSE
            if self.ratio <= math.log(ERROR_RATE / (1 - ERROR_RATE))
            else Decision.UNDECIDED
        )

    def probability_worse(self) -> float:
        """The probability that the changed gateways are worse, given equal prior probabilities."""
        return 1 / (1 + math.exp(-max(-700.0, min(700.0, self.ratio))))


class Wave:
    """The staged rollout of one version. `gateways` are in the order in which they get it."""

    def __init__(self, number: int, gateways: Sequence[str], share_before: float, now: int) -> None:
        self.number, self._gateways, self._share_before = number, list(gateways), share_before
        self.stage, self._stage_since, self.test = Stage.FIRST, now, SequentialTest()
        self._changed_count = self._size(0)

    def _size(self, step: int) -> int:
        return max(1, math.ceil(STAGE_SHARES[step] * len(self._gateways)))

    @property
    def changed(self) -> list[str]:
        """The gateways that have the change now."""
        return self._gateways[: self._changed_count]

    @property
    def finished(self) -> bool:
        """Whether the wave is done or reverted."""
        return self.stage in (Stage.DONE, Stage.UNDONE)

    def end_period(self, changed: Sequence[Arm], others: Sequence[Arm], now: int) -> Effect:
        """Adds the outcomes of one period and advances the stage by the decision of the test."""
        decision = self.test.end_period(changed, others, self._share_before)
        if decision is Decision.UNDECIDED and now - self._stage_since >= STAGE_TIMEOUT:
            decision = Decision.TIMED_OUT
        return self._transition(decision, now)

    def remove_gateway(self, gateway: str) -> None:
        """Removes a gateway that left; it gets the change on its return if that is accepted by then."""
        if gateway in self._gateways:
            self._changed_count -= self._gateways.index(gateway) < self._changed_count
            self._gateways.remove(gateway)
            self._changed_count = max(self._changed_count, min(1, len(self._gateways)))

    def _transition(self, decision: Decision, now: int) -> Effect:
        before = self.stage
        self.stage, effect, action = TRANSITIONS[self.stage, decision]
        action(self)
        if self.stage is not before:
            self._stage_since, self.test = now, SequentialTest() if not self.finished else self.test
        return effect

    def _keep_gateways(self) -> None:
        pass

    def _second_stage(self) -> None:
        self._changed_count = self._size(1)

    def _all_gateways(self) -> None:
        self._changed_count = len(self._gateways)

    def _no_gateways(self) -> None:
        self._changed_count = 0


_Transition = tuple[Stage, Effect, Callable[[Wave], None]]
TRANSITIONS: dict[tuple[Stage, Decision], _Transition] = {
    **{(stage, Decision.UNDECIDED): (stage, Effect.NONE, Wave._keep_gateways) for stage in Stage},
    **{(stage, Decision.WORSE): (Stage.UNDONE, Effect.UNDO, Wave._no_gateways) for stage in Stage},
    (Stage.FIRST, Decision.NOT_WORSE): (Stage.MORE, Effect.WIDEN, Wave._second_stage),
    (Stage.MORE, Decision.NOT_WORSE): (Stage.ALL, Effect.WIDEN, Wave._all_gateways),
    (Stage.ALL, Decision.NOT_WORSE): (Stage.DONE, Effect.FINISH, Wave._all_gateways),
    (Stage.HELD, Decision.NOT_WORSE): (Stage.MORE, Effect.WIDEN, Wave._second_stage),
    (Stage.FIRST, Decision.TIMED_OUT): (Stage.HELD, Effect.HOLD, Wave._keep_gateways),
    (Stage.MORE, Decision.TIMED_OUT): (Stage.HELD, Effect.HOLD, Wave._keep_gateways),
    (Stage.ALL, Decision.TIMED_OUT): (Stage.DONE, Effect.FINISH, Wave._all_gateways),
    (Stage.HELD, Decision.TIMED_OUT): (Stage.UNDONE, Effect.UNDO, Wave._no_gateways),
    **{
        (stage, decision): (stage, Effect.NONE, Wave._keep_gateways)
        for stage in (Stage.DONE, Stage.UNDONE)
        for decision in Decision
    },
}
