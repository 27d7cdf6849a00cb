"""Elects the manager that holds a gateway, by means of a record in a variable of the gateway's process.

The record is `epoch/manager/region/heartbeat`. The holder increments the heartbeat at each reading. A manager
that sees an unchanged record for the takeover time claims the gateway with the next epoch, waits until the
claim has settled, and holds the gateway once it reads its own record back. The highest epoch wins; a record
with a lower epoch that arrives late is overwritten, and what its author may have ordered is reverted. Clocks
need not agree; each only has to run at a constant rate.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum

import attrs


@attrs.frozen
class HolderRecord:
    """The content of the gateway's variable."""

    epoch: int
    manager: str
    region: str
    heartbeat: int

    def __str__(self) -> str:
        return f"{self.epoch}/{self.manager}/{self.region}/{self.heartbeat}"


def parse_holder_record(text: str) -> HolderRecord | None:
    """Parses the text of the variable; returns None if it is empty or has another format."""
    match = re.fullmatch(r"(\d{1,15})/([\w.:\-]{1,64})/([\w.:\-]{1,64})/(\d{1,15})", text)
    return HolderRecord(int(match[1]), match[2], match[3], int(match[4])) if match else None


class HolderState(Enum):
    """The state of one manager towards one gateway."""

    AWAY = "no connection"
    WATCHING = "held by another manager or by none yet"
    CLAIMING = "claim written, not yet settled"
    HOLDING = "held"
    REPLACED = "held by a later process of the same name; this one sends nothing any more"


class Observation(Enum):
    """What a reading of the variable, or the loss of the connection, means for this manager."""

    DISCONNECTED = "the connection was lost"
    FREE = "there is no record, or one of an earlier incarnation of this manager"
    OWN = "own record, not yet settled"
    SETTLED = "own record, written at least the settle time ago"
    OTHER = "record of another live manager that is not to be challenged"
    SILENT = "record of another manager, unchanged for the takeover time"
    OTHER_REGION = "a manager of another region holds a gateway of this manager's region"
    STALE = "record of another manager with a lower epoch"
    REPLACED = "own name with a higher epoch, which this process never used"


class Effect(Enum):
    """What the caller has to do after a reading, in the order given."""

    NONE = "nothing"
    CLAIM = "write the own record"
    BEGIN = "write the own record, read the gateway's content and begin to control it"
    HEARTBEAT = "write the own record with the next heartbeat"
    REPAIR = "write the own record and read the gateway's content back"
    END = "stop sending: the gateway is no longer held"
    END_CLAIM = "stop sending, as the gateway lost its content; write a claim"


POLL_INTERVAL = 10_000  # 1 s between two readings: the decision module's time bucket
TAKEOVER_TIMEOUT = 40_000  # 4 s without a heartbeat: three missed readings and one in reserve
ANSWER_TIMEOUT = 20_000  # 2 s for an answer: twice the longest stall observed at gateways
# 10 s before a manager takes back a gateway of its region: longer than a manager's start, so that one that
# flaps takes none back.
HOME_RETURN_DELAY = 100_000


def lease_and_settle_times(poll: int) -> tuple[int, int]:
    """Returns the lease (how long a reading is valid) and the settle time of claims for a poll interval.

    The lease is 1.5 polls, so that one late answer has no effect. The settle time is longer than the lease,
    so that a manager that acted on an older reading has seen the claim by then. Both are shorter than the
    takeover time of four polls.
    """
    return poll * 3 // 2, poll * 7 // 4


class HolderElection:
    """One manager's view of one gateway.

    takeover, settle and lease are in tenths of a millisecond. settle must exceed the holder's longest pause
    between two readings; lease is how long a reading of the own record permits sending; highest_epoch is the
    highest epoch known from an earlier run, or 0.
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
        self._manager, self._region, self._is_home = manager, region, region == gateway_region
        self._gateway_region, self._takeover, self._settle, self._lease = (
            gateway_region,
            takeover,
            settle,
            lease,
        )
        self.state, self.epoch, self._heartbeat, self._highest = HolderState.AWAY, 0, 0, highest_epoch
        self._last_record: HolderRecord | None = None
        self._unchanged_since = self._claimed_at = self._confirmed_at = self._watching_since = 0

    def record(self) -> HolderRecord:
        """The own record as it is to be written now."""
        return HolderRecord(self.epoch, self._manager, self._region, self._heartbeat)

    def may_send(self, now: int) -> bool:
        """Whether commands may be sent: the gateway is held, as a reading within the lease has confirmed."""
        return self.state is HolderState.HOLDING and now <= self._confirmed_at + self._lease

    def connection_lost(self) -> Effect:
        """Processes the loss of the connection to the gateway."""
        return self._transition(Observation.DISCONNECTED, 0)

    def read(self, record: HolderRecord | None, asked_at: int, now: int) -> Effect:
        """Processes a reading of the variable that was requested at `asked_at` and arrived at `now`."""
        if now - asked_at > self._lease:
            return Effect.NONE  # this manager stalled in between: the reading may be outdated
        if self.state is HolderState.AWAY:
            self.state, self._last_record, self._unchanged_since, self._watching_since = (
                HolderState.WATCHING,
                record,
                now,
                now,
            )
        if record != self._last_record:
            self._last_record, self._unchanged_since = record, now
        self._highest = max(self._highest, record.epoch if record else 0)
        observation = self._classify(record, now)
        if observation in (Observation.OWN, Observation.SETTLED):
            self._confirmed_at = asked_at
        return self._transition(observation, now)

    def _classify(self, record: HolderRecord | None, now: int) -> Observation:
        silent = now - self._unchanged_since >= self._takeover
        if record is None:
            # A manager of another region first leaves the gateway to managers of the gateway's region.
            return (
                Observation.FREE
                if self._is_home or silent or self.state is not HolderState.WATCHING
                else Observation.OTHER
            )
        if record.manager == self._manager:
            if self.state in (HolderState.CLAIMING, HolderState.HOLDING) and record.epoch > self.epoch:
                return Observation.REPLACED
            if self.state is HolderState.WATCHING or record.epoch != self.epoch:
                return Observation.FREE  # an earlier incarnation of this manager: nobody else holds it
            return Observation.SETTLED if now - self._claimed_at >= self._settle else Observation.OWN
        if self.state in (HolderState.CLAIMING, HolderState.HOLDING) and record.epoch < self.epoch:
            return Observation.STALE
        if silent:
            return Observation.SILENT
        other_region = (
            self._is_home
            and record.region != self._gateway_region
            and now - self._watching_since >= HOME_RETURN_DELAY
        )
        return Observation.OTHER_REGION if other_region else Observation.OTHER

    def _transition(self, observation: Observation, now: int) -> Effect:
        self.state, effect, update = TRANSITIONS[self.state, observation]
        update(self, now)
        return effect

    def _no_action(self, now: int) -> None:
        pass

    def _start_claim(self, now: int) -> None:
        self.epoch, self._heartbeat, self._claimed_at = self._highest + 1, 0, now
        self._highest = self.epoch

    def _increment_heartbeat(self, now: int) -> None:
        self._heartbeat += 1

    def _start_watching(self, now: int) -> None:
        self._unchanged_since = self._watching_since = now


_Transition = tuple[HolderState, Effect, Callable[[HolderElection, int], None]]
TRANSITIONS: dict[tuple[HolderState, Observation], _Transition] = {
    **{
        (state, Observation.DISCONNECTED): (HolderState.AWAY, Effect.NONE, HolderElection._no_action)
        for state in HolderState
    },
    (HolderState.HOLDING, Observation.DISCONNECTED): (
        HolderState.AWAY,
        Effect.END,
        HolderElection._no_action,
    ),
    (HolderState.WATCHING, Observation.FREE): (
        HolderState.CLAIMING,
        Effect.CLAIM,
        HolderElection._start_claim,
    ),
    (HolderState.WATCHING, Observation.SILENT): (
        HolderState.CLAIMING,
        Effect.CLAIM,
        HolderElection._start_claim,
    ),
    (HolderState.WATCHING, Observation.OTHER_REGION): (
        HolderState.CLAIMING,
        Effect.CLAIM,
        HolderElection._start_claim,
    ),
    (HolderState.WATCHING, Observation.OTHER): (HolderState.WATCHING, Effect.NONE, HolderElection._no_action),
    (HolderState.CLAIMING, Observation.FREE): (
        HolderState.CLAIMING,
        Effect.CLAIM,
        HolderElection._start_claim,
    ),
    (HolderState.CLAIMING, Observation.OWN): (HolderState.CLAIMING, Effect.NONE, HolderElection._no_action),
    (HolderState.CLAIMING, Observation.SETTLED): (
        HolderState.HOLDING,
        Effect.BEGIN,
        HolderElection._increment_heartbeat,
    ),
    (HolderState.CLAIMING, Observation.OTHER): (
        HolderState.WATCHING,
        Effect.NONE,
        HolderElection._start_watching,
    ),
    (HolderState.CLAIMING, Observation.SILENT): (
        HolderState.WATCHING,
        Effect.NONE,
        HolderElection._start_watching,
    ),
    (HolderState.CLAIMING, Observation.OTHER_REGION): (
        HolderState.WATCHING,
        Effect.NONE,
        HolderElection._start_watching,
    ),
    (HolderState.CLAIMING, Observation.STALE): (
        HolderState.CLAIMING,
        Effect.CLAIM,
        HolderElection._start_claim,
    ),
    (HolderState.HOLDING, Observation.FREE): (
        HolderState.CLAIMING,
        Effect.END_CLAIM,
        HolderElection._start_claim,
    ),
    (HolderState.HOLDING, Observation.OWN): (
        HolderState.HOLDING,
        Effect.HEARTBEAT,
        HolderElection._increment_heartbeat,
    ),
    (HolderState.HOLDING, Observation.SETTLED): (
        HolderState.HOLDING,
        Effect.HEARTBEAT,
        HolderElection._increment_heartbeat,
    ),
    (HolderState.HOLDING, Observation.OTHER): (
        HolderState.WATCHING,
        Effect.END,
        HolderElection._start_watching,
    ),
    (HolderState.HOLDING, Observation.SILENT): (
        HolderState.WATCHING,
        Effect.END,
        HolderElection._start_watching,
    ),
    (HolderState.HOLDING, Observation.OTHER_REGION): (
        HolderState.WATCHING,
        Effect.END,
        HolderElection._start_watching,
    ),
    (HolderState.HOLDING, Observation.STALE): (
        HolderState.HOLDING,
        Effect.REPAIR,
        HolderElection._increment_heartbeat,
    ),
    (HolderState.CLAIMING, Observation.REPLACED): (
        HolderState.REPLACED,
        Effect.END,
        HolderElection._no_action,
    ),
    (HolderState.HOLDING, Observation.REPLACED): (
        HolderState.REPLACED,
        Effect.END,
        HolderElection._no_action,
    ),
    **{
        (HolderState.REPLACED, observation): (HolderState.REPLACED, Effect.NONE, HolderElection._no_action)
        for observation in Observation
    },
}
