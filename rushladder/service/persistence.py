"""Connects a manager to its store: restores state after a restart, and records changes.

`store.memory` and `store.commands` decide what is worth storing and how much a record still counts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred

from rushladder.core.roster import Roster
from rushladder.guard.history import RefusedChange, Version
from rushladder.guard.table_guard import TableGuard
from rushladder.intake.processor import ReportProcessor
from rushladder.interface import LearnedState, LearnedWorker, Product
from rushladder.store.commands import Journal
from rushladder.store.log import Log
from rushladder.store.memory import (
    EPOCH_MARGIN,
    SECOND,
    Kind,
    ListedServer,
    ServerKnowledge,
    ServerRecords,
    Validity,
    parse_record,
    recall_demand,
    recall_trust,
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

PER_MS = 10  # tenths of a millisecond in a millisecond
DEMAND_RECORD_PERIODS = 5  # periods between two records of demand, whose weight halves in ten minutes


class Persistence:
    """The stored state of one manager. clock: the manager's own; wall: the wall clock, in seconds."""

    def __init__(self, log: Log, writer: Writer, clock: Clock, wall: Callable[[], float]) -> None:
        self.log, self.writer, self._clock, self._wall = log, writer, clock, wall
        self.opened = log.opened
        self._records = dict(log.state)
        self.server_records = ServerRecords(self._records)
        now = self.now()
        commands = [(name, memory) for name, memory in self._records_of(Kind.COMMAND, CommandMemory)]
        self.journal = Journal(commands, now)
        self._stored_versions, self._stored_refusals = dict[int, tuple[str, bool, bool]](), 0
        self._stored_epochs, self._stored_trust = dict[str, int](), dict[str, tuple[float, ...]]()
        self._stored_list_version, self._period_count = -1, 0
        self._server_starts = dict[str, int]()
        self.recalled, self.record_counts = 0, dict.fromkeys(Validity, 0)

    def now(self) -> int:
        """The wall-clock time in milliseconds."""
        return int(SECOND * self._wall())

    def _records_of(self, kind: Kind, message: Any) -> list[tuple[str, Any]]:
        found = [
            (key, parse_record(message, payload)) for (k, key), payload in self._records.items() if k == kind
        ]
        return [(key, memory) for key, memory in found if memory is not None]

    # Restoring from the store.

    def restore_list(self) -> tuple[str, float]:
        """Returns the stored list and its age in seconds.

        The list is empty if none is stored, or if its time lies more than 5 s in the future.
        """
        for _, memory in self._records_of(Kind.LIST, ListMemory):
            age = (self.now() - memory.at) / SECOND
            return (memory.text, max(0.0, age)) if age > -5.0 else ("", 0.0)
        return "", 0.0

    def restore_epoch(self, gateway: str) -> int:
        """Returns a lower bound for a gateway's epochs: the stored one plus a margin.

        The margin covers later epochs whose records were lost with a torn end of the log.
        """
        payload = self._records.get((Kind.GATEWAY, gateway))
        memory = parse_record(GatewayMemory, payload) if payload is not None else None
        return memory.epoch + EPOCH_MARGIN if memory is not None else 0

    def restore_learned(self, roster: Roster, products: Mapping[str, Product], now: int) -> LearnedState[Any]:
        """Returns the learned state for the decision module. now: the manager's clock, in tenths of a ms."""
        wall = self.now()
        listed_servers = self._listed_servers(roster, now)
        self.record_counts = self.server_records.count_by_validity(listed_servers, wall)
        workers = list[LearnedWorker[Any]]()
        for known in self.server_records.recall(listed_servers, wall):
            out_until = now + PER_MS * (known.out_until - wall) if known.out_until else 0
            workers.append(
                LearnedWorker(
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
        for _, memory in self._records_of(Kind.DEMAND, DemandMemory):
            demand = recall_demand(memory, products, wall)
        if demand is None:
            return LearnedState(workers, 0.0)
        mix = {products[name]: part for name, part in demand.mix.items()}
        return LearnedState(workers, PER_MS * demand.quiet, mix)

    def restore_guard(self, table_guard: TableGuard, now: int) -> None:
        """Restores the versions of the operators' factors and the refused changes.

        A wave that was under way is taken back.
        """
        wall = self.now()
        versions, current = list[Version](), 0
        for _, memory in self._records_of(Kind.VERSION, VersionMemory):
            at = now - PER_MS * max(0, wall - memory.at)
            factors = {(line.product, line.server): line.factor for line in memory.factors}
            state = "taken back: the manager was started anew" if memory.waving else memory.state
            versions.append(Version(memory.number, memory.parent, memory.who, memory.why, at, factors, state))
            if memory.stands:
                current = memory.parent if memory.waving else memory.number
        refused = [
            RefusedChange(now - PER_MS * max(0, wall - memory.at), memory.who, memory.what)
            for _, memory in sorted(
                self._records_of(Kind.REFUSED, RefusedMemory), key=lambda pair: pair[1].at
            )
        ]
        table_guard.history.restore(versions, current, refused)
        self._stored_refusals = table_guard.history.refusal_count

    def restore_trust(self, desk: ReportProcessor) -> None:
        """Restores how far each server's load reports are trusted."""
        wall = self.now()
        for name, memory in self._records_of(Kind.TRUST, TrustMemory):
            found = recall_trust(memory, desk.hints.prior, wall)
            if found is not None and name in desk.senders:
                desk.hints.restore(name, *found)

    # Writing to the store.

    def store_epoch(self, gateway: str, epoch: int) -> None:
        """Records the epoch under which this manager holds a gateway."""
        if self._stored_epochs.get(gateway) != epoch:
            self._stored_epochs[gateway] = epoch
            self._put(Kind.GATEWAY, gateway, GatewayMemory(at=self.now(), epoch=epoch))

    def store_list(self, roster: Roster, now: int) -> None:
        """Records the list if it has changed, and the cold starts of servers that were started again."""
        if roster.version != self._stored_list_version:
            self._stored_list_version = roster.version
            for name, listed in roster.listed.items():
                previous = self._server_starts.get(name, listed.started_at)
                self._server_starts[name] = listed.started_at
                if listed.started_at != previous and (
                    payload := self.server_records.record_cold_start(name, self.now())
                ):
                    self.writer.put(Kind.SERVER, name, payload)
            for name in self._server_starts.keys() - roster.listed.keys():
                del self._server_starts[name]
            self._put(Kind.LIST, "list", ListMemory(at=self.now(), text=roster.dump(now)))

    def store_guard(self, table_guard: TableGuard) -> None:
        history, wave = table_guard.history, table_guard.wave
        wave_number = wave.number if wave is not None and not wave.finished else -1
        seen = dict[int, tuple[str, bool, bool]]()
        for version in history.all():
            if not version.number:
                continue
            stands = version.number == history.current
            state = seen[version.number] = (version.state, stands, version.number == wave_number)
            if self._stored_versions.get(version.number) != state:
                self._put(Kind.VERSION, str(version.number), _version_record(version, self.now(), *state[1:]))
        for number in self._stored_versions.keys() - seen.keys():
            self.writer.put(Kind.VERSION, str(number), None)
        self._stored_versions = seen
        for refused in history.refused_since(self._stored_refusals):
            self._stored_refusals += 1
            memory = RefusedMemory(at=self.now(), who=refused.who, what=refused.what)
            self._put(Kind.REFUSED, str(self._stored_refusals % 200), memory)

    def store_period(
        self,
        learned: LearnedState[Any],
        roster: Roster,
        table_guard: TableGuard,
        desk: ReportProcessor,
        now: int,
    ) -> None:
        """Once per control period: records what has changed enough since its last record."""
        wall = self.now()
        servers = [
            ServerKnowledge(
                entry.worker.name,
                entry.worker.zone,
                entry.worker.model,
                entry.speed,
                entry.factor,
                entry.report_count,
                entry.exclusion_time // PER_MS,
                wall + (entry.excluded_until - now) // PER_MS if entry.excluded_until else 0,
            )
            for entry in learned.workers
        ]
        for name, payload in self.server_records.update(servers, wall):
            self.writer.put(Kind.SERVER, name, payload)
        for name in self.server_records.forget(set(self.server_records.names()) - roster.listed.keys()):
            self.writer.put(Kind.SERVER, name, None)
        self._period_count += 1
        if self._period_count % DEMAND_RECORD_PERIODS == 0 and learned.calm_latency:
            mix = {product.name: part for product, part in learned.mix.items()}
            self._put(Kind.DEMAND, "all", DemandMemory(at=wall, quiet=learned.calm_latency / PER_MS, mix=mix))
            self._store_trust(desk, wall)
        self.store_guard(table_guard)
        self.store_list(roster, now)
        for name in self.journal.expire(wall):
            self.writer.put(Kind.COMMAND, name, None)

    def _store_trust(self, desk: ReportProcessor, wall: int) -> None:
        found = desk.hints.trust_sums()
        for name, sums in found.items():
            previous = self._stored_trust.get(name)
            if previous is None or max(abs(a - b) for a, b in zip(previous, sums, strict=True)) > 0.02:
                self._stored_trust[name] = sums
                both, told, met, cried = sums
                self._put(Kind.TRUST, name, TrustMemory(at=wall, both=both, told=told, met=met, cried=cried))
        for name in self._stored_trust.keys() - found.keys():
            del self._stored_trust[name]
            self.writer.put(Kind.TRUST, name, None)

    def record_command(self, name: str) -> None:
        """Records a command in its current state in the journal."""
        self.writer.put(Kind.COMMAND, name, self.journal[name].payload())

    def flush(self) -> Deferred[None]:
        """Fires once everything recorded so far is on disk."""
        return self.writer.flush()

    def _put(self, kind: Kind, key: str, message: Any) -> None:
        self.writer.put(kind, key, message.SerializeToString())

    def _listed_servers(self, roster: Roster, now: int) -> dict[str, ListedServer]:
        wall = self.now()
        return {
            name: ListedServer(
                listed.server.zone,
                listed.server.model,
                wall - (now - listed.started_at) // PER_MS if listed.started_at else 0,
            )
            for name, listed in roster.listed.items()
        }


def _version_record(version: Version, at: int, stands: bool, in_wave: bool) -> VersionMemory:
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
        waving=in_wave,
    )
