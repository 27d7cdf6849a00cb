"""What a manager learned: what of it is worth keeping, and how much it still counts when it comes back.
Free of I/O; times are milliseconds of a wall clock that is handed in.

Each aspect fades by its half-life and ends. What came back counts for as many reports as its weight says,
so that what is heard outweighs it, soon where it is old, and sooner where what was remembered of a server
before has not come true. Knowledge from the future, of another machine under the same name, or of a life
before the server's last start counts for nothing."""

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
    """As records have it; a number is never used again for something else."""

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
    """Whose memory it is: another set of regions or products is another fleet."""
    return f"{','.join(sorted(regions))} {','.join(sorted(products))}"


class Aspect(Enum):
    """What fades alike."""

    PACE = "how fast a machine is"
    SICK = "that it was sick of late"
    DEMAND = "what is asked for, and how quick answers are on a quiet day"
    TRUST = "how true a server's own reports are"


@attrs.frozen
class Decay:
    """Milliseconds: after half a life it counts half, after its end nothing."""

    half: int
    end: int


DECAYS = {
    # A machine stays as fast as it is, but its neighbours change by the hour and its build by the week.
    Aspect.PACE: Decay(6 * HOUR, 7 * DAY),
    # Troubles last for seconds to minutes; the module doubles the time out within half a minute of a relapse.
    Aspect.SICK: Decay(30 * SECOND, 5 * MINUTE),
    # Demand doubles within an hour on a busy day; a few minutes ago is a good guess, yesterday is none.
    Aspect.DEMAND: Decay(10 * MINUTE, HOUR),
    # A reporter changes with its software.
    Aspect.TRUST: Decay(2 * HOUR, DAY),
}
# The clock may be set by so much between two lives, as time servers do without a word.
CLOCK_SLACK = 5 * SECOND
# Reports that a memory counts for when it is fresh: as many as make the module's own step its smallest.
FRESH_REPORTS = 9.0
# A remembered pace has come true if the measured one is within a fifth of it: half of the spread of machines.
TRUE = 0.2
# Of the count of what came true, kept at each restart: about ten restarts back.
KEEPS = 0.9
# Below this weight nothing is told to the module: a hundredth of a report.
LEAST = 0.001
# By how much a gateway's epoch begins above what is remembered, as claims in a lost tail are not: a claim
# takes two seconds, and no crash loses minutes.
EPOCH_MARGIN = 100
# Commands of which the answer is kept, and for how long: a script that repeats one does so within minutes.
COMMANDS, COMMAND_ENDS = 1000, DAY
REFUSALS = 200  # as the guard's own history keeps
# Change of a pace or factor that is worth a record, and the time after which it is written anyway: it fades.
MOVES, STALE = 0.05, 5 * MINUTE


class Validity(Enum):
    """What is odd about a memory of a server."""

    FINE = "nothing"
    AHEAD = "it is from the future"
    ENDED = "it is too old"
    OTHER = "another machine has the name now"
    RESTARTED = "the server has started since"


class Use(Enum):
    FULL = "its pace, and that it was sick"
    NONE = "nothing"


USES = {
    Validity.FINE: Use.FULL,
    Validity.AHEAD: Use.NONE,
    Validity.ENDED: Use.NONE,
    Validity.OTHER: Use.NONE,
    Validity.RESTARTED: Use.NONE,
}


def decay_weight(aspect: Aspect, age: int) -> float:
    """From 1 (now) to 0; 0 for what is from the future by more than a clock's slack."""
    fade = DECAYS[aspect]
    if age < -CLOCK_SLACK or age >= fade.end:
        return 0.0
    return math.exp2(-max(0, age) / fade.half)


def reliability(right: float, wrong: float) -> float:
    """How far memories of a server have come true: wholly until more have failed than held."""
    return min(1.0, (right + 1.0) / (wrong + 1.0))


@attrs.frozen
class ServerKnowledge:
    """A server as the module knows it, or as it comes back. Times: milliseconds, out_until by the wall
    clock."""

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
    quiet: float
    mix: Mapping[str, float]


@attrs.frozen
class ListedServer:
    """What the list says of a server now; started: by the wall clock, 0 where it is long ago."""

    region: str
    model: str
    started: int


M = TypeVar("M", bound=Message)


def parse_record(message: type[M], payload: bytes) -> M | None:
    """A record's message; None where it is none, which the checksum makes all but impossible."""
    try:
        return message.FromString(payload)
    except DecodeError:
        return None


def sign_of(memory: ServerMemory, standing: ListedServer | None, now: int) -> Validity:
    age = now - memory.at
    if standing is None or (standing.region, standing.model) != (memory.region, memory.model):
        return Validity.OTHER
    if age < -CLOCK_SLACK:
        return Validity.AHEAD
    if age >= DECAYS[Aspect.PACE].end:
        return Validity.ENDED
    return Validity.RESTARTED if standing.started > memory.at else Validity.FINE


def recall_server(
    name: str, memory: ServerMemory, standing: ListedServer | None, now: int
) -> ServerKnowledge | None:
    """What a memory of a server still says; None for nothing."""
    if USES[sign_of(memory, standing, now)] is Use.NONE:
        return None
    age = now - memory.at
    counts = decay_weight(Aspect.PACE, age) * reliability(memory.right, memory.wrong)
    sick = decay_weight(Aspect.SICK, age) if memory.out_for else 0.0
    if max(counts, sick) < LEAST or not _sane(memory):
        return None
    pace, factor, out_for = memory.pace**counts, memory.factor**counts, 0
    if sick >= LEAST:
        out_for = int(memory.out_for * sick)
        if memory.out_until > now:
            # It was out when the manager died: tried out again as if it had just come back.
            factor = min(factor, 0.2 ** min(1.0, 2 * sick))
    return ServerKnowledge(
        name, memory.region, memory.model, pace, factor, FRESH_REPORTS * counts, out_for, memory.out_until
    )


def _sane(memory: ServerMemory) -> bool:
    """Whether the figures are such as a module can have: whoever wrote others was not one of ours."""
    return (
        math.isfinite(memory.pace)
        and math.isfinite(memory.factor)
        and 0.0 < memory.pace <= 100.0
        and 0.0 < memory.factor <= 100.0
        and memory.right >= 0
        and memory.wrong >= 0
    )


def recall_demand(memory: DemandMemory, products: Iterable[str], now: int) -> Demand | None:
    """What was asked for, drawn towards nothing known (even parts) by its age; None where it says nothing."""
    counts = decay_weight(Aspect.DEMAND, now - memory.at)
    names = list(products)
    total = sum(memory.mix.get(name, 0.0) for name in names)
    if counts < 0.05 or not math.isfinite(total) or total <= 0 or set(memory.mix) != set(names):
        return None
    even = 1.0 / len(names)
    mix = {name: even + counts * (memory.mix[name] / total - even) for name in names}
    # The quiet latency is only taken while it is as good as heard: as a part of itself it would be a lie.
    quiet = memory.quiet if counts >= 0.5 and math.isfinite(memory.quiet) and memory.quiet > 0 else 0.0
    return Demand(quiet, mix) if min(mix.values()) >= 0 else None


def recall_trust(memory: TrustMemory, doubt: float, now: int) -> tuple[float, float, float, float] | None:
    """both, told, met and cried, faded towards what a stranger has (`doubt`)."""
    counts = decay_weight(Aspect.TRUST, now - memory.at)
    figures = (memory.both, memory.told, memory.met, memory.cried)
    if counts < LEAST or not all(math.isfinite(figure) for figure in figures) or min(figures[1:3]) <= 0:
        return None
    both, told, met, cried = figures
    return counts * both, doubt + counts * (told - doubt), doubt + counts * (met - doubt), counts * cried


def came_true(remembered: ServerKnowledge, measured: ServerKnowledge) -> bool | None:
    """Whether a remembered pace has come true; None while too little was heard to tell."""
    if measured.heard < remembered.heard + FRESH_REPORTS or remembered.heard < 1:
        return None
    return abs(math.log(measured.pace / remembered.pace)) < TRUE


class ServerRecords:
    """What is to be written: the newest of each thing, and only where it has changed enough to matter."""

    def __init__(self, state: Mapping[Key, bytes]) -> None:
        self._servers = dict[str, ServerMemory]()
        self._remembered = dict[str, ServerKnowledge]()
        for (kind, name), payload in state.items():
            if kind == Kind.SERVER and (memory := parse_record(ServerMemory, payload)) is not None:
                self._servers[name] = memory

    def recall(self, standings: Mapping[str, ListedServer], now: int) -> list[ServerKnowledge]:
        """What the servers of the list come back with; remembered, to see later whether it was true."""
        found = list[ServerKnowledge]()
        for name, memory in self._servers.items():
            known = recall_server(name, memory, standings.get(name), now)
            if known is not None:
                found.append(known)
                self._remembered[name] = known
            memory.right *= KEEPS
            memory.wrong *= KEEPS
        return found

    def count_by_validity(self, standings: Mapping[str, ListedServer], now: int) -> dict[Validity, int]:
        """How many memories there are of each sign."""
        counts = dict.fromkeys(Validity, 0)
        for name, memory in self._servers.items():
            counts[sign_of(memory, standings.get(name), now)] += 1
        return counts

    def update(self, servers: Iterable[ServerKnowledge], now: int) -> list[tuple[str, bytes]]:
        """The records of servers whose knowledge has moved, or is about to grow old."""
        changed = list[tuple[str, bytes]]()
        for known in servers:
            before = self._servers.get(known.name)
            same = before is not None and (before.region, before.model) == (known.region, known.model)
            remembered = self._remembered.get(known.name)
            judged = came_true(remembered, known) if remembered is not None else None
            if before is not None and same and judged is None and not _moved(before, known, now):
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
            if before is not None and same:
                memory.sick = before.sick + (known.out_until > before.out_until)
                memory.right, memory.wrong = before.right, before.wrong
            if judged is not None:
                del self._remembered[known.name]
                memory.right += judged
                memory.wrong += not judged
            self._servers[known.name] = memory
            changed.append((known.name, memory.SerializeToString()))
        return changed

    def record_cold_start(self, name: str, now: int) -> bytes | None:
        """A cold start of a server that is known: its speed is that of another process now."""
        memory = self._servers.get(name)
        if memory is None:
            return None
        memory.cold_starts += 1
        memory.at, memory.pace, memory.factor, memory.out_for, memory.out_until = now, 1.0, 1.0, 0, 0
        self._remembered.pop(name, None)
        return memory.SerializeToString()

    def forget(self, names: Iterable[str]) -> list[str]:
        """Servers that are off the list for good."""
        gone = [name for name in names if name in self._servers]
        for name in gone:
            del self._servers[name]
            self._remembered.pop(name, None)
        return gone

    def names(self) -> list[str]:
        return list(self._servers)


def _moved(before: ServerMemory, known: ServerKnowledge, now: int) -> bool:
    return (
        abs(known.pace - before.pace) > MOVES * before.pace
        or abs(known.factor - before.factor) > MOVES * before.factor
        or known.out_until != before.out_until
        or now - before.at >= STALE
    )
