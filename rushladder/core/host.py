"""The host of one decision module: its orders become what each gateway should hold.

Events go in with `take`, the module answers with orders, and orders change shared tables, withdrawals and
levels. A gateway that uses a changed table is noted as owed; its driver asks `message` for the commands
between what it holds and what it should hold, and tells `answered` when they were carried out. Orders that
follow each other before a message goes out fall together, so what waits is bounded by what can be wanted,
not by how often it changed.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random
from typing import Any

import attrs

from rushladder.brain import Manager
from rushladder.core.message_cap import MessageCap
from rushladder.core.reminders import Reminders
from rushladder.core.roster import Roster
from rushladder.gateways.diff import AdminState, GatewayContent, Key, Line, server_commands, sweep_commands
from rushladder.gateways.rounding import round_pool
from rushladder.guard.limit_shares import limit_shares
from rushladder.guard.table_guard import TableGuard
from rushladder.guard.waves import Arm, Effect
from rushladder.interface import (
    Applied,
    Availability,
    Channel,
    Event,
    Guarantee,
    LevelUnit,
    Listing,
    ListKind,
    Product,
    Proxy,
    Retry,
    Worker,
)
from rushladder.records import Gateway, Server
from rushladder.runtime.grammar import Command

LEVELS_MAP, RETRIES_MAP = "levels", "retries"
PER_MILLE = 1000  # levels as a plain proxy compares them with a whole random number


class SharedTable:
    """One shared table: its lines as ordered, those the guard let through, and the whole weights from
    them."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.lines, self.good = dict[Server, float](), dict[Server, float]()
        self.gates = dict[Product, tuple[float, Retry]]()
        self.sessions = dict[GatewaySession, None]()
        self._rounded, self._scales = dict[tuple[Product, int], dict[Server, int]](), dict[Product, float]()

    def weigh(self, server: Server, weight: float) -> None:
        if weight:  # whatever it is: a bad figure is for the guard to refuse
            self.lines[server] = weight
        else:
            self.lines.pop(server, None)

    def accept(self) -> None:
        """The lines as ordered stand from now on."""
        self.good = dict(self.lines)
        self._rounded.clear()

    def rounded(
        self,
        product: Product,
        version: int,
        factor: Callable[[str, str, int | None], float],
        ramp: Callable[[Server], float],
    ) -> dict[Server, int]:
        """The whole weights of a product's lines under a version of the operators' factors; kept until
        they change."""
        found = self._rounded.get((product, version))
        if found is None:
            lines = {
                server: weight * factor(product.name, server.name, version)
                for server, weight in self.good.items()
            }
            cold = {server for server in lines if ramp(server) < 1}
            found, scale = round_pool(lines, cold, self._scales.get(product, 0.0))
            self._scales[product] = scale
            self._rounded = {key: kept for key, kept in self._rounded.items() if key[1] >= version - 1}
            self._rounded[product, version] = found
        return found


class GatewaySession:
    """One joined gateway: which tables it uses, what it holds, what it is owed, what is on its way."""

    def __init__(self, gateway: Gateway, held: GatewayContent, pace: MessageCap) -> None:
        self.gateway, self.held, self._pace = gateway, held, pace
        self.tables = dict[Product, SharedTable]()
        self.owed, self.pending_lines, self.urgent = dict[Product, None](), 0, False
        self.gates_owed = False
        self.marks, self.sent_marks = list[int](), list[int]()
        self.sent_lines, self.sent_at = 0, 0
        self.messages = 0

    def owe(self, product: Product, urgent: bool = False) -> None:
        self.owed[product] = None
        self.pending_lines += 1
        self.urgent = self.urgent or urgent

    def due(self, now: int) -> int | None:
        """When the next message may go, or None if nothing is owed or one is on its way."""
        if self.sent_at or not (self.owed or self.gates_owed or self.marks):
            return None
        return self._pace.next(now, self.urgent)

    def went(self, now: int, lines: int) -> None:
        if lines:
            self._pace.sent(now)
            self.messages += 1


@attrs.frozen
class Message:
    """What one gateway is sent next: server commands in a safe order, and the maps' whole new content."""

    commands: tuple[Command, ...]
    maps: Mapping[str, Mapping[str, str]]


class Core:
    """One manager without its sockets. `now` of every call is its clock, in tenths of a millisecond."""

    def __init__(
        self,
        seed: int,
        roster: Roster,
        *,
        managers: int,
        zones: Sequence[str],
        products: Sequence[Product],
        channel: Channel,
        guarantee: Guarantee,
        level_unit: LevelUnit,
        may_probe: bool,
        now: int,
        guard: str = "on",
        gateways: Sequence[tuple[str, str, float]] = (),
    ) -> None:
        self._now, self.roster, self.products, self._channel = now, roster, products, channel
        self._unit, self._cold_time = level_unit, guarantee.cold_time
        self._tables, self.withdrawn = dict[int, SharedTable](), dict[Server, None]()
        self.table_guard, self._changed = TableGuard(Random(seed).random, guard), dict[SharedTable, None]()
        self._cold_from, self._gateways, self._held = guarantee.cold_from, tuple(gateways), frozenset[str]()
        self.sessions = dict[Gateway, GatewaySession]()
        self._touched, self._ready = dict[GatewaySession, None](), dict[GatewaySession, None]()
        self._reminders = Reminders()
        self.probes, self.peer_messages, self.notes = list[Server](), list[bytes](), list[str]()
        self.apply_times = list[int]()  # order-to-applied times since they were last taken
        self.manager = Manager(
            self,
            seed,
            managers=managers,
            zones=tuple(zones),
            may_probe=may_probe,
            products=tuple(products),
            channel=channel,
            guarantee=guarantee,
            level_unit=level_unit,
            asks_list=False,
            may_tell=managers > 1,
            slices=0,
        )
        for listed in roster.listed.values():
            self._known(listed.server)
        self.take(now, roster.full(ListKind.CACHED))

    # What comes in.

    def take(self, now: int, *events: Event) -> None:
        """One batch of events; whatever reminders are due by `now` come first."""
        self._now = max(now, self._now)
        for reminder in self._reminders.due(self._now):
            self.manager.handle(reminder)
        for event in events:
            self.manager.handle(event)
            if isinstance(event, Listing):
                self._listing(event)
        self.manager.end_batch()
        self._judge()
        self._ready |= self._touched
        self._touched.clear()

    def take_pending_sessions(self) -> list[GatewaySession]:
        """The gateways that something was ordered for since this was last called."""
        ready, self._ready = list(self._ready), {}
        return [session for session in ready if self.sessions.get(session.gateway) is session]

    def next_wake(self) -> int | None:
        return self._reminders.next()

    def add_gateway(self, gateway: Gateway, held: GatewayContent, capped: bool = True) -> GatewaySession:
        """A gateway that this manager holds from now on; the caller gives the module its Joined with
        `take`. capped: messages to it count, as they cross a socket."""
        self.remove_gateway(gateway)
        session = GatewaySession(
            gateway, held, MessageCap(self._channel.message_cap if capped else 0, self._channel.cap_window)
        )
        self.sessions[gateway] = session
        return session

    def remove_gateway(self, gateway: Gateway) -> None:
        session = self.sessions.pop(gateway, None)
        if session is not None:
            self.table_guard.left(gateway.name)
            self._touched.pop(session, None)
            self._ready.pop(session, None)
            for tbl in session.tables.values():
                tbl.sessions.pop(session, None)

    def read_back(self, session: GatewaySession, held: GatewayContent) -> None:
        """What the gateway really holds: all of it is owed again, as far as it differs."""
        session.held = held
        session.sent_at, session.sent_lines = 0, 0
        session.marks, session.sent_marks = session.sent_marks + session.marks, []
        for product in session.tables:
            session.owe(product)
        session.gates_owed = bool(session.tables)

    def _judge(self) -> None:
        """Each table that changed passes the guard whole, or stays as it was."""
        changed, self._changed = self._changed, {}
        for table in changed:
            products = list(
                dict.fromkeys(
                    p for session in table.sessions for p, own in session.tables.items() if own is table
                )
            )
            if not products:
                table.accept()  # nobody uses it yet: it is judged once somebody is bound to it
                continue
            lines = {
                server.name: weight
                for server, weight in table.lines.items()
                if server.name in self.table_guard.projection.servers
            }
            zone = next(iter(table.sessions)).gateway.zone
            if self.table_guard.table(str(table.number), products, zone, lines, self._now) is None:
                table.accept()

    def update_guard_demand(self) -> None:
        """The guard hears what comes to each table, as the module has measured it, and which limits are
        its own."""
        held = frozenset(gateway.name for gateway in self.sessions)
        if self._gateways and held != self._held:
            self._held = held
            servers = {
                name: listed.server.zone for name, listed in self.roster.listed.items() if listed.limit
            }
            self.table_guard.allot(limit_shares(servers, self._gateways, held))
        sums = dict[tuple[SharedTable, Product], float]()
        for session in self.sessions.values():
            for product, table in session.tables.items():
                many, covers = session.gateway.arrivals[product].total(self._now, 4)
                rate = 10_000 * many / covers if covers else session.gateway.usual_rate / len(self.products)
                level = (
                    table.gates.get(product, (1.0, Retry.UNSENT))[0] if self._unit is LevelUnit.RATIO else 1.0
                )
                sums[table, product] = sums.get((table, product), 0.0) + min(1.0, level) * rate
        for (table, product), rate in sums.items():
            zone = next(iter(table.sessions)).gateway.zone
            self.table_guard.demand(str(table.number), product, zone, rate, self._now)

    def evaluate_wave(self, met: Mapping[str, Sequence[Arm]]) -> Effect:
        """A period of the wave that is out; gateways that its verdict concerns are owed their lines."""
        effect = self.table_guard.period(met, self._now)
        if effect in (Effect.WIDEN, Effect.UNDO):
            self.mark_all_pending()
        return effect

    def gateways_using(self, keys: Collection[tuple[str, str]]) -> list[str]:
        """The gateways whose tables name one of the (product, server) pairs."""
        found = list[str]()
        for session in self.sessions.values():
            names = {
                (product.name, server.name)
                for product, table in session.tables.items()
                for server in table.good
            }
            if not names.isdisjoint(keys):
                found.append(session.gateway.name)
        return found

    def mark_all_pending(self) -> None:
        """Every gateway's lines may differ from what it holds; a message is only sent where they do."""
        for session in self.sessions.values():
            for product in session.tables:
                session.owe(product)
            self._ready[session] = None

    def _known(self, server: Server) -> None:
        """The guard's view of a server."""
        listed = self.roster.listed.get(server.name)
        if listed is None or listed.server is not server:
            return self.table_guard.forget(server.name)
        ready = listed.availability is Availability.READY and server not in self.withdrawn
        self.table_guard.server(
            server.name,
            server.zone,
            server.model,
            limit=listed.limit,
            connections=listed.connections,
            ready=ready,
            started_at=listed.started_at,
            cold_time=self._cold_time,
            cold_from=self._cold_from,
        )

    def _listing(self, event: Listing[Any]) -> None:
        for entry in event.entries:
            self._known(entry.worker)
        known = {entry.worker for entry in event.entries}
        for server in [
            server
            for server in self.withdrawn
            if server not in known and server.name not in self.roster.listed
        ]:
            if not any(server in tbl.lines for tbl in self._tables.values()):
                del self.withdrawn[server]  # off the list and in no table: nothing is left to withdraw

    # What goes out.

    def ramp(self, server: Server) -> float:
        """1 once a server is warm by the list; less before (only whether it is below 1 is used)."""
        age = self._now - server.started_at
        return 1.0 if not server.started_at or age >= self._cold_time else age / self._cold_time

    def desired_lines(self, session: GatewaySession, product: Product) -> dict[Key, Line]:
        """The lines that the gateway should hold for a product, with 0 for what it holds beyond its table."""
        tbl = session.tables[product]
        lines = dict[Key, Line]()
        version = self.table_guard.version_of(session.gateway.name)
        for server, weight in tbl.rounded(product, version, self.table_guard.factor, self.ramp).items():
            listed = self.roster.listed.get(server.name)
            if listed is not None and listed.server is server:
                lines[product.name, server.name] = Line(
                    listed.address, weight, AdminState.DRAIN if server in self.withdrawn else AdminState.READY
                )
        for (backend, name), line in session.held.lines.items():
            if backend == product.name and (backend, name) not in lines:
                known = self.roster.listed.get(name)
                out = known is None or known.server in self.withdrawn
                admin = AdminState.DRAIN if out and line.admin is AdminState.READY else line.admin
                lines[backend, name] = Line(line.address, 0, admin)
        return lines

    def next_message(self, now: int, session: GatewaySession) -> Message:
        """Takes what the gateway is owed. It is on its way until `answered` or `read_back`."""
        self._now = max(now, self._now)
        lines = dict[Key, Line]()
        for product in session.owed:
            lines |= self.desired_lines(session, product)
        named = (self.roster.listed.get(server) for _, server in lines)
        cold = {one.server.name for one in named if one is not None and self.ramp(one.server) < 1}
        commands = server_commands(session.held.lines, lines, cold)
        maps = {
            name: entries
            for name, entries in self.maps(session).items()
            if session.gates_owed and session.held.maps.get(name) != entries and entries
        }
        session.sent_marks, session.marks = session.marks, []
        session.owed, session.gates_owed, session.urgent, session.pending_lines = {}, False, False, 0
        session.sent_lines = len(commands) + sum(len(entries) + 2 for entries in maps.values())
        session.sent_at = max(1, self._now)
        session.went(now, session.sent_lines)
        return Message(tuple(commands), maps)

    def sweep(self, session: GatewaySession) -> list[Command]:
        """Commands that rid a gateway of servers that are off the list; none while it is owed something."""
        if session.sent_at or session.owed:
            return []
        used = {(p.name, server.name) for p, tbl in session.tables.items() for server in tbl.lines}
        return sweep_commands(session.held.lines, self.roster.listed, used)

    def maps(self, session: GatewaySession) -> dict[str, dict[str, str]]:
        levels, retries = dict[str, str](), dict[str, str]()
        for product, tbl in session.tables.items():
            if product in tbl.gates:
                level, retry = tbl.gates[product]
                levels[product.name] = self.format_level(level)
                retries[product.name] = str(int(retry))
        return {LEVELS_MAP: levels, RETRIES_MAP: retries}

    def format_level(self, level: float) -> str:
        """A level as the map holds it: per mille, or txns a second with up to three decimals."""
        return str(round(PER_MILLE * level)) if self._unit is not LevelUnit.RATE else f"{level:.3f}"

    def message_applied(self, now: int, session: GatewaySession) -> None:
        """The message on its way was carried out. The module hears of its marks with the next batch."""
        elapsed = max(0, now - session.sent_at)
        if session.sent_lines:
            self.apply_times.append(elapsed)
            del self.apply_times[:-1000]  # enough for percentiles of a minute
        marks, session.sent_marks, session.sent_lines, session.sent_at = session.sent_marks, [], 0, 0
        if marks:
            self.take(now, *(Applied(session.gateway, mark, elapsed) for mark in marks))

    def line_counts(self) -> tuple[int, int]:
        """Lines ordered and not sent, and lines sent and not answered, over all gateways."""
        sessions = self.sessions.values()
        return sum(session.pending_lines for session in sessions), sum(
            session.sent_lines for session in sessions
        )

    # The module's orders.

    def _owe(self, tbl: SharedTable, products: Sequence[Product] | None = None, urgent: bool = False) -> None:
        for session in tbl.sessions:
            self._touched[session] = None
            for product, own in session.tables.items():
                if own is tbl and (products is None or product in products):
                    session.owe(product, urgent)

    def _table(self, number: int) -> SharedTable:
        return self._tables.setdefault(number, SharedTable(number))

    def now(self) -> int:
        return self._now

    def set_weight(self, tbl: int, worker: Worker, weight: float) -> None:
        assert isinstance(worker, Server)
        table = self._table(tbl)
        table.weigh(worker, weight)
        self._changed[table] = None
        self._owe(table)

    def clear_table(self, tbl: int) -> None:
        table = self._table(tbl)
        for server in list(table.lines):
            table.weigh(server, 0.0)
        table.gates.clear()
        self._changed[table] = None
        self._owe(table)

    def bind(self, proxy: Proxy, tbl: int, products: Sequence[Product]) -> None:
        assert isinstance(proxy, Gateway)
        session, table = self.sessions.get(proxy), self._table(tbl)
        if session is None:
            return
        self._touched[session] = None
        for product in products or self.products:
            before = session.tables.get(product)
            session.tables[product] = table
            if before is not None and before is not table and before not in session.tables.values():
                before.sessions.pop(session, None)
            session.owe(product, urgent=True)
        table.sessions[session] = None
        self._changed[table] = None
        session.gates_owed = True

    def set_withdrawn(self, worker: Worker, out: bool) -> None:
        assert isinstance(worker, Server)
        if out:
            self.withdrawn[worker] = None
        else:
            self.withdrawn.pop(worker, None)
        self._known(worker)
        for table in self._tables.values():
            if worker in table.lines:
                self._owe(table, urgent=out)
        for session in self.sessions.values() if out else ():
            for product in session.tables:  # lines of an earlier holder's, not in its table any more
                if (product.name, worker.name) in session.held.lines:
                    self._touched[session] = None
                    session.owe(product, urgent=True)

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        """What a gateway holds is read back, and differs until it is as wanted."""

    def set_level(self, tbl: int | None, products: Sequence[Product], level: float, retry: Retry) -> None:
        for table in self._tables.values() if tbl is None else (self._table(tbl),):
            for product in products or self.products:
                zone = next(iter(table.sessions)).gateway.zone if table.sessions else ""
                if (
                    self.table_guard.gate(str(table.number), product, zone, level, int(retry), self._now)
                    is None
                ):
                    table.gates[product] = level, retry
            for session in table.sessions:
                self._touched[session] = None
                session.gates_owed = True
                session.pending_lines += 1

    def checkpoint(self, number: int, everyone: bool) -> None:
        for session in self.sessions.values() if everyone else self._touched:
            session.marks.append(number)

    def probe(self, worker: Worker) -> None:
        assert isinstance(worker, Server)
        self.probes.append(worker)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self.peer_messages.append(data)

    def watch_list(self, on: bool) -> None:
        """The list comes by itself here: every change is told at once."""

    def request_list(self) -> None:
        """As for `watch_list`."""

    def wake(self, after: int, token: int) -> None:
        self._reminders.add(self._now + max(1, after), token)

    def log(self, words: str) -> None:
        self.notes.append(words)
        del self.notes[:-100]
