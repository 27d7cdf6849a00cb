"""Between one manager and its store: hands back what was learned before a restart, and notes what changes.

What is worth keeping and how much it still counts is decided in `store.memory` and `store.commands`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred

from rushladder.core.roster import Roster
from rushladder.guard.history import Refused, Version
from rushladder.guard.warden import Warden
from rushladder.intake.desk import Desk
from rushladder.interface import Learned, Product, Remembered
from rushladder.store.commands import Journal
from rushladder.store.log import Log
from rushladder.store.memory import (
    LEAP,
    SECOND,
    Kind,
    Known,
    Notebook,
    Sign,
    Standing,
    read,
    recalled_demand,
    recalled_trust,
)
from rushladder.store.store_pb2 import (
    CommandMemory,
    DemandMemory,
    GatewayMemory,
    LineFactor,
    ListMemory,
    RefusedMemory,
    TrustMemory,
    VersionMemory,
)
from rushladder.store.writer import Writer
from rushladder.timing import Clock

PER_MS = 10  # tenths of a millisecond
DEMAND_EVERY = 5  # periods between two records of demand: it is worth half after ten minutes


class Persistence:
    """One manager's memory. wall: seconds; the clock is the manager's own."""

    def __init__(self, log: Log, writer: Writer, clock: Clock, wall: Callable[[], float]) -> None:
        self.log, self.writer, self._clock, self._wall = log, writer, clock, wall
        self.opened = log.opened
        self._kept = dict(log.state)
        self.notebook = Notebook(self._kept)
        now = self.now()
        commands = [(name, memory) for name, memory in self._all(Kind.COMMAND, CommandMemory)]
        self.journal = Journal(commands, now)
        self._versions, self._refused = dict[int, tuple[str, bool, bool]](), 0
        self._epochs, self._trusts = dict[str, int](), dict[str, tuple[float, ...]]()
        self._listed, self._periods = -1, 0
        self._starts = dict[str, int]()
        self.recalled, self.signs = 0, dict.fromkeys(Sign, 0)

    def now(self) -> int:
        """Milliseconds of the wall clock."""
        return int(SECOND * self._wall())

    def _all(self, kind: Kind, message: Any) -> list[tuple[str, Any]]:
        found = [(key, read(message, payload)) for (k, key), payload in self._kept.items() if k == kind]
        return [(key, memory) for key, memory in found if memory is not None]

    # Back from the store.

    def list(self) -> tuple[str, float]:
        """The list as it stood, and seconds since then; empty where none is kept, or it is from the
        future."""
        for _, memory in self._all(Kind.LIST, ListMemory):
            away = (self.now() - memory.at) / SECOND
            return (memory.text, max(0.0, away)) if away > -5.0 else ("", 0.0)
        return "", 0.0

    def epoch(self, gateway: str) -> int:
        """The least that the gateway's epochs were, and a leap for those that were lost with a tail."""
        payload = self._kept.get((Kind.GATEWAY, gateway))
        memory = read(GatewayMemory, payload) if payload is not None else None
        return memory.epoch + LEAP if memory is not None else 0

    def recall(self, roster: Roster, products: Mapping[str, Product], now: int) -> Remembered[Any]:
        """For the module. now: the manager's clock in tenths of a millisecond."""
        wall = self.now()
        standings = self._standings(roster, now)
        self.signs = self.notebook.signs(standings, wall)
        workers = list[Learned[Any]]()
        for known in self.notebook.recall(standings, wall):
            out_until = now + PER_MS * (known.out_until - wall) if known.out_until else 0
            workers.append(
                Learned(
                    roster.listed[known.name].server,
                    known.pace,
                    known.factor,
                    known.heard,
                    PER_MS * known.out_for,
                    max(0, out_until),
                )
            )
        self.recalled = len(workers)
        demand = None
        for _, memory in self._all(Kind.DEMAND, DemandMemory):
            demand = recalled_demand(memory, products, wall)
        if demand is None:
            return Remembered(workers, 0.0)
        mix = {products[name]: part for name, part in demand.mix.items()}
        return Remembered(workers, PER_MS * demand.quiet, mix)

    def restore_guard(self, warden: Warden, now: int) -> None:
        """Versions of the operators' factors, what was refused, and a wave under way taken back."""
        wall = self.now()
        versions, stands = list[Version](), 0
        for _, memory in self._all(Kind.VERSION, VersionMemory):
            at = now - PER_MS * max(0, wall - memory.at)
            factors = {(one.product, one.server): one.factor for one in memory.factors}
            state = "taken back: the manager was started anew" if memory.waving else memory.state
            versions.append(Version(memory.number, memory.parent, memory.who, memory.why, at, factors, state))
            if memory.stands:
                stands = memory.parent if memory.waving else memory.number
        refused = [
            Refused(now - PER_MS * max(0, wall - memory.at), memory.who, memory.what)
            for _, memory in sorted(self._all(Kind.REFUSED, RefusedMemory), key=lambda pair: pair[1].at)
        ]
        warden.history.restore(versions, stands, refused)
        self._refused = warden.history.refusals

    def restore_trust(self, desk: Desk) -> None:
        wall = self.now()
        for name, memory in self._all(Kind.TRUST, TrustMemory):
            found = recalled_trust(memory, desk.hints.doubt, wall)
            if found is not None and name in desk.senders:
                desk.hints.restore(name, *found)

    # Into the store.

    def held(self, gateway: str, epoch: int) -> None:
        if self._epochs.get(gateway) != epoch:
            self._epochs[gateway] = epoch
            self._put(Kind.GATEWAY, gateway, GatewayMemory(at=self.now(), epoch=epoch))

    def listing(self, roster: Roster, now: int) -> None:
        if roster.version != self._listed:
            self._listed = roster.version
            for name, one in roster.listed.items():
                before = self._starts.get(name, one.started_at)
                self._starts[name] = one.started_at
                if one.started_at != before and (payload := self.notebook.started(name, self.now())):
                    self.writer.put(Kind.SERVER, name, payload)
            for name in self._starts.keys() - roster.listed.keys():
                del self._starts[name]
            self._put(Kind.LIST, "list", ListMemory(at=self.now(), text=roster.dump(now)))

    def guard(self, warden: Warden) -> None:
        history, wave = warden.history, warden.wave
        waving = wave.number if wave is not None and not wave.over else -1
        seen = dict[int, tuple[str, bool, bool]]()
        for version in history.all():
            if not version.number:
                continue
            stands = version.number == history.current
            state = seen[version.number] = (version.state, stands, version.number == waving)
            if self._versions.get(version.number) != state:
                self._put(Kind.VERSION, str(version.number), _version(version, self.now(), *state[1:]))
        for number in self._versions.keys() - seen.keys():
            self.writer.put(Kind.VERSION, str(number), None)
        self._versions = seen
        for refused in history.refused_since(self._refused):
            self._refused += 1
            memory = RefusedMemory(at=self.now(), who=refused.who, what=refused.what)
            self._put(Kind.REFUSED, str(self._refused % 200), memory)

    def period(self, learned: Remembered[Any], roster: Roster, warden: Warden, desk: Desk, now: int) -> None:
        """Once a period: what has moved enough to be worth a record."""
        wall = self.now()
        servers = [
            Known(
                one.worker.name,
                one.worker.zone,
                one.worker.model,
                one.pace,
                one.factor,
                one.heard,
                one.out_for // PER_MS,
                wall + (one.out_until - now) // PER_MS if one.out_until else 0,
            )
            for one in learned.workers
        ]
        for name, payload in self.notebook.learned(servers, wall):
            self.writer.put(Kind.SERVER, name, payload)
        for name in self.notebook.forget(set(self.notebook.known()) - roster.listed.keys()):
            self.writer.put(Kind.SERVER, name, None)
        self._periods += 1
        if self._periods % DEMAND_EVERY == 0 and learned.quiet:
            mix = {product.name: part for product, part in learned.mix.items()}
            self._put(Kind.DEMAND, "all", DemandMemory(at=wall, quiet=learned.quiet / PER_MS, mix=mix))
            self._trust(desk, wall)
        self.guard(warden)
        self.listing(roster, now)
        for name in self.journal.fade(wall):
            self.writer.put(Kind.COMMAND, name, None)

    def _trust(self, desk: Desk, wall: int) -> None:
        found = desk.hints.trusts()
        for name, figures in found.items():
            before = self._trusts.get(name)
            if before is None or max(abs(a - b) for a, b in zip(before, figures, strict=True)) > 0.02:
                self._trusts[name] = figures
                both, told, met, cried = figures
                self._put(Kind.TRUST, name, TrustMemory(at=wall, both=both, told=told, met=met, cried=cried))
        for name in self._trusts.keys() - found.keys():
            del self._trusts[name]
            self.writer.put(Kind.TRUST, name, None)

    def noted(self, name: str) -> None:
        """A command as it stands in the journal now."""
        self.writer.put(Kind.COMMAND, name, self.journal[name].payload())

    def sure(self) -> Deferred[None]:
        return self.writer.sure()

    def _put(self, kind: Kind, key: str, message: Any) -> None:
        self.writer.put(kind, key, message.SerializeToString())

    def _standings(self, roster: Roster, now: int) -> dict[str, Standing]:
        wall = self.now()
        return {
            name: Standing(
                one.server.zone,
                one.server.model,
                wall - (now - one.started_at) // PER_MS if one.started_at else 0,
            )
            for name, one in roster.listed.items()
        }


def _version(version: Version, at: int, stands: bool, waving: bool) -> VersionMemory:
    return VersionMemory(
        at=at,
        number=version.number,
        parent=version.parent,
        who=version.who,
        why=version.why,
        state=version.state,
        factors=[
            LineFactor(product=product, server=server, factor=factor)
            for (product, server), factor in version.factors.items()
        ],
        stands=stands,
        waving=waving,
    )
