"""Which of the learned values are worth storing, and how much they still count after a restart.

Performs no I/O. Times are milliseconds of a wall clock that the caller passes in.

Each aspect decays with its own half-life and has an end of validity. A restored value counts as much as a
number of reports that is proportional to its weight, so new reports soon outweigh it: the older it is, and
the less earlier restored values of the server were confirmed, the sooner. Values count for nothing if they
are from the future, belong to another machine that now has the name, or are older than the server's last
start."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from enum import Enum, IntEnum
from typing import TypeVar

import attrs
from google.protobuf.message import DecodeError, Message

from rushladder.store.log import Key
from rushladder.store.store_pb2 import DemandMemory, ServerMemory, TrustMemory


class Kind(IntEnum):
    """The kind of a record, as stored. A number is never reused for something else."""

    SERVER = 1
    DEMAND = 2
    GATEWAY = 3
    VERSION = 4
    REFUSED = 5
    TRUST = 6
    COMMAND = 7
    LIST = 8


MINORS: dict[int, int] = dict.fromkeys(Kind, 0)
SECOND, MINUTE, HOUR, DAY = 1000, 60_000, 3_600_000, 86_400_000


def fleet_id(regions: Iterable[str], products: Iterable[str]) -> str:
    """Identifies the fleet that a store belongs to. Other regions or products make another fleet."""
    return f"{','.join(sorted(regions))} {','.join(sorted(products))}"


class Aspect(Enum):
    """A group of learned values that decay at the same rate."""

    PACE = "the speed of a machine"
    EXCLUSION = "a recent exclusion of a server"
    DEMAND = "the mix of requests, and the latency without load"
    TRUST = "the accuracy of a server's own reports"


@attrs.frozen
class Decay:
    """Milliseconds after which a value counts half, and after which it counts nothing."""

    half_life: int
    end: int


DECAYS = {
    # The machine's own speed is constant, but its neighbours change by the hour and its build by the week.
    Aspect.PACE: Decay(6 * HOUR, 7 * DAY),
    # Failures last for seconds to minutes. Within half a minute of a relapse the module doubles the time for
    # which it excludes a server.
    Aspect.EXCLUSION: Decay(30 * SECOND, 5 * MINUTE),
    # On a busy day demand doubles within an hour. The demand of a few minutes ago is a good estimate,
    # yesterday's is none.
    Aspect.DEMAND: Decay(10 * MINUTE, HOUR),
    # The accuracy of reports changes with the server's software.
    Aspect.TRUST: Decay(2 * HOUR, DAY),
}
# How far the wall clock may be set back between two incarnations; time synchronization makes such
# adjustments unannounced.
CLOCK_SLACK = 5 * SECOND
# The number of reports that a fresh value counts for: as many as bring the module's own step to its minimum.
FRESH_REPORTS = 9.0
# A restored pace is confirmed if the measured one is within a fifth of it, half of the spread of machines.
CONFIRMATION_TOLERANCE = 0.2
# Factor applied to the counts of confirmed and refuted values at each restart: about ten restarts matter.
COUNT_DECAY = 0.9
# Weight below which a value is not passed to the module; it corresponds to a hundredth of a report.
MIN_WEIGHT = 0.001
# Added to a gateway's stored epoch, because the records of the latest claims may be lost in a crash. A claim
# takes two seconds, and no crash loses minutes of records.
EPOCH_MARGIN = 100
# Commands whose answers are kept, and for how long: their number, and the bytes of ids, texts and answers.
MAX_COMMANDS, MAX_COMMAND_BYTES, MAX_COMMAND_AGE = 10_000, 4 << 20, DAY
MAX_REFUSALS = 200  # the same as in the guard's own history
# Relative change of a pace or factor that is worth a record, and the age at which an unchanged record is
# written again because its weight decays.
CHANGE_THRESHOLD, REWRITE_AGE = 0.05, 5 * MINUTE


class Validity(Enum):
    """Whether a server's record still applies. The values are shown to operators by `show store`."""

    VALID = "nothing"
    FUTURE = "it is from the future"
    EXPIRED = "it is too old"
    OTHER_MACHINE = "another machine has the name now"
    RESTARTED = "the server has started since"


class Use(Enum):
    """What is restored from a server's record."""

    FULL = "the pace and a recent exclusion"
    NONE = "nothing"


USES = {
    Validity.VALID: Use.FULL,
    Validity.FUTURE: Use.NONE,
    Validity.EXPIRED: Use.NONE,
    Validity.OTHER_MACHINE: Use.NONE,
    Validity.RESTARTED: Use.NONE,
}


def decay_weight(aspect: Aspect, age: int) -> float:
    """The weight of a value by its age: 1 if new, falling to 0. 0 if it is further in the future than
    CLOCK_SLACK."""
    decay = DECAYS[aspect]
    if age < -CLOCK_SLACK or age >= decay.end:
        return 0.0
    return math.exp2(-max(0, age) / decay.half_life)


def reliability(right: float, wrong: float) -> float:
    """The weight of a server's record by how often earlier ones were confirmed (`right`) and refuted
    (`wrong`). It is 1 until more were refuted than confirmed."""
    return min(1.0, (right + 1.0) / (wrong + 1.0))


@attrs.frozen
class ServerKnowledge:
    """What the module knows about a server, or what is restored for it.

    heard: the number of reports it is based on. Times are milliseconds; out_until is wall-clock time.
    """

    name: str
    region: str
    model: str
    pace: float
    factor: float
    heard: float
    out_for: int = 0
    out_until: int = 0


@attrs.frozen
class Demand:
    """The latency without load, or 0 if unknown, and the share of each product in the requests."""

    quiet: float
    mix: Mapping[str, float]


@attrs.frozen
class ListedServer:
    """What the server list says about a server now. started: wall-clock time, 0 if long ago."""

    region: str
    model: str
    started: int


M = TypeVar("M", bound=Message)


def parse_record(message: type[M], payload: bytes) -> M | None:
    """A record's message, or None if it can't be decoded. After a matching checksum that is all but
    impossible."""
    try:
        return message.FromString(payload)
    except DecodeError:
        return None


def validity_of(memory: ServerMemory, listed: ListedServer | None, now: int) -> Validity:
    """Compares a server's record with the server list and the clock."""
    age = now - memory.at
    if listed is None or (listed.region, listed.model) != (memory.region, memory.model):
        return Validity.OTHER_MACHINE
    if age < -CLOCK_SLACK:
        return Validity.FUTURE
    if age >= DECAYS[Aspect.PACE].end:
        return Validity.EXPIRED
    return Validity.RESTARTED if listed.started > memory.at else Validity.VALID


def recall_server(
    name: str, memory: ServerMemory, listed: ListedServer | None, now: int
) -> ServerKnowledge | None:
    """What to restore from a server's record, or None if it no longer counts."""
    if USES[validity_of(memory, listed, now)] is Use.NONE:
        return None
    age = now - memory.at
    weight = decay_weight(Aspect.PACE, age) * reliability(memory.right, memory.wrong)
    exclusion_weight = decay_weight(Aspect.EXCLUSION, age) if memory.out_for else 0.0
    if max(weight, exclusion_weight) < MIN_WEIGHT or not _in_range(memory):
        return None
    pace, factor, out_for = memory.pace**weight, memory.factor**weight, 0
    if exclusion_weight >= MIN_WEIGHT:
        out_for = int(memory.out_for * exclusion_weight)
        if memory.out_until > now:
            # The server was excluded when the manager died. It is tried again as if its exclusion had just
            # ended.
            factor = min(factor, 0.2 ** min(1.0, 2 * exclusion_weight))
    return ServerKnowledge(
        name, memory.region, memory.model, pace, factor, FRESH_REPORTS * weight, out_for, memory.out_until
    )


def _in_range(memory: ServerMemory) -> bool:
    """Whether the values are ones that the module can produce. Others weren't written by this program."""
    return (
        math.isfinite(memory.pace)
        and math.isfinite(memory.factor)
        and 0.0 < memory.pace <= 100.0
        and 0.0 < memory.factor <= 100.0
        and memory.right >= 0
        and memory.wrong >= 0
    )


def recall_demand(memory: DemandMemory, products: Iterable[str], now: int) -> Demand | None:
    """The stored demand, moved towards equal shares by its age. None if it no longer counts."""
    weight = decay_weight(Aspect.DEMAND, now - memory.at)
    names = list(products)
    total = sum(memory.mix.get(name, 0.0) for name in names)
    if weight < 0.05 or not math.isfinite(total) or total <= 0 or set(memory.mix) != set(names):
        return None
    equal_share = 1.0 / len(names)
    mix = {name: equal_share + weight * (memory.mix[name] / total - equal_share) for name in names}
    # The latency without load is restored only while its weight is high. A weighted part of it would be a
    # wrong latency.
    quiet = memory.quiet if weight >= 0.5 and math.isfinite(memory.quiet) and memory.quiet > 0 else 0.0
    return Demand(quiet, mix) if min(mix.values()) >= 0 else None


def recall_trust(memory: TrustMemory, prior: float, now: int) -> tuple[float, float, float, float] | None:
    """The stored sums of a server's trust (see `intake.hints`), moved by their age towards those of an
    unknown server. prior: what the sums of squares start with. None if they no longer count."""
    weight = decay_weight(Aspect.TRUST, now - memory.at)
    sums = (memory.both, memory.told, memory.met, memory.cried)
    if weight < MIN_WEIGHT or not all(math.isfinite(value) for value in sums) or min(sums[1:3]) <= 0:
        return None
    products, reported, measured, false_claims = sums
    return (
        weight * products,
        prior + weight * (reported - prior),
        prior + weight * (measured - prior),
        weight * false_claims,
    )


def is_confirmed(restored: ServerKnowledge, measured: ServerKnowledge) -> bool | None:
    """Whether the measured pace confirms the restored one. None until there are enough reports to tell."""
    if measured.heard < restored.heard + FRESH_REPORTS or restored.heard < 1:
        return None
    return abs(math.log(measured.pace / restored.pace)) < CONFIRMATION_TOLERANCE


class ServerRecords:
    """The newest record of each server. Decides which servers have changed enough to be written again."""

    def __init__(self, state: Mapping[Key, bytes]) -> None:
        self._servers = dict[str, ServerMemory]()
        self._unconfirmed = dict[str, ServerKnowledge]()  # restored, and not yet compared with measurements
        for (kind, name), payload in state.items():
            if kind == Kind.SERVER and (memory := parse_record(ServerMemory, payload)) is not None:
                self._servers[name] = memory

    def recall(self, listed: Mapping[str, ListedServer], now: int) -> list[ServerKnowledge]:
        """What to restore for the listed servers. It is compared with their measurements later on."""
        found = list[ServerKnowledge]()
        for name, memory in self._servers.items():
            known = recall_server(name, memory, listed.get(name), now)
            if known is not None:
                found.append(known)
                self._unconfirmed[name] = known
            memory.right *= COUNT_DECAY
            memory.wrong *= COUNT_DECAY
        return found

    def count_by_validity(self, listed: Mapping[str, ListedServer], now: int) -> dict[Validity, int]:
        """The number of records of each validity."""
        counts = dict.fromkeys(Validity, 0)
        for name, memory in self._servers.items():
            counts[validity_of(memory, listed.get(name), now)] += 1
        return counts

    def update(self, servers: Iterable[ServerKnowledge], now: int) -> list[tuple[str, bytes]]:
        """The records to write: servers whose values have changed enough or whose records are getting old."""
        changed = list[tuple[str, bytes]]()
        for known in servers:
            before = self._servers.get(known.name)
            same_machine = before is not None and (before.region, before.model) == (known.region, known.model)
            restored = self._unconfirmed.get(known.name)
            confirmed = is_confirmed(restored, known) if restored is not None else None
            if (
                before is not None
                and same_machine
                and confirmed is None
                and not _worth_writing(before, known, now)
            ):
                continue
            memory = ServerMemory(
                at=now,
                region=known.region,
                model=known.model,
                pace=known.pace,
                factor=known.factor,
                out_for=known.out_for,
                out_until=known.out_until,
            )
            if before is not None and same_machine:
                memory.sick = before.sick + (known.out_until > before.out_until)
                memory.right, memory.wrong = before.right, before.wrong
            if confirmed is not None:
                del self._unconfirmed[known.name]
                memory.right += confirmed
                memory.wrong += not confirmed
            self._servers[known.name] = memory
            changed.append((known.name, memory.SerializeToString()))
        return changed

    def record_cold_start(self, name: str, now: int) -> bytes | None:
        """Resets the record of a server that was started anew, as its speed may differ now. Returns the
        record to write, or None if the server has none."""
        memory = self._servers.get(name)
        if memory is None:
            return None
        memory.cold_starts += 1
        memory.at, memory.pace, memory.factor, memory.out_for, memory.out_until = now, 1.0, 1.0, 0, 0
        self._unconfirmed.pop(name, None)
        return memory.SerializeToString()

    def forget(self, names: Iterable[str]) -> list[str]:
        """Drops servers that were removed from the list for good. Returns those that had a record."""
        gone = [name for name in names if name in self._servers]
        for name in gone:
            del self._servers[name]
            self._unconfirmed.pop(name, None)
        return gone

    def names(self) -> list[str]:
        """The names of all servers that have a record."""
        return list(self._servers)


def _worth_writing(before: ServerMemory, known: ServerKnowledge, now: int) -> bool:
    return (
        abs(known.pace - before.pace) > CHANGE_THRESHOLD * before.pace
        or abs(known.factor - before.factor) > CHANGE_THRESHOLD * before.factor
        or known.out_until != before.out_until
        or now - before.at >= REWRITE_AGE
    )
