"""Hosts the decision module and turns its orders into the desired state of each gateway.

`process_batch` passes events to the module, which responds with orders that change shared tables, withdrawals
and levels. Every gateway that uses a changed table is marked as pending. Its driver gets the commands that
lead from the current to the desired state with `next_message`, and calls `message_applied` once they have
succeeded. Orders issued before the next message are coalesced, so the backlog is bounded by the size of the
desired state and not by the number of changes.
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
PER_MILLE = 1000  # a plain proxy compares the level with a random integer below 1000


class SharedTable:
    """A table shared by gateways: its lines as ordered, as accepted by the guard, and as integer weights."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.lines, self.accepted_lines = dict[Server, float](), dict[Server, float]()
        self.gates = dict[Product, tuple[float, Retry]]()
        self.sessions = dict[GatewaySession, None]()
        self._rounded, self._scales = dict[tuple[Product, int], dict[Server, int]](), dict[Product, float]()

    def set_weight(self, server: Server, weight: float) -> None:
        """Sets a line as ordered; 0 removes it."""
        if weight:  # not validated here: the guard refuses invalid weights
            self.lines[server] = weight
        else:
            self.lines.pop(server, None)

    def accept(self) -> None:
        """Makes the ordered lines the accepted ones."""
        self.accepted_lines = dict(self.lines)
        self._rounded.clear()

    def rounded_weights(
        self,
        product: Product,
        version: int,
        factor: Callable[[str, str, int | None], float],
        ramp: Callable[[Server], float],
    ) -> dict[Server, int]:
        """The integer weights of a product's accepted lines under a version of the operators' factors.

        Cached until the lines change; versions older than the one before are dropped.
        """
        weights = self._rounded.get((product, version))
        if weights is None:
            lines = {
                server: weight * factor(product.name, server.name, version)
                for server, weight in self.accepted_lines.items()
            }
            cold = {server for server in lines if ramp(server) < 1}
            weights, scale = round_pool(lines, cold, self._scales.get(product, 0.0))
            self._scales[product] = scale
            self._rounded = {key: kept for key, kept in self._rounded.items() if key[1] >= version - 1}
            self._rounded[product, version] = weights
        return weights


class GatewaySession:
    """A joined gateway: the tables it uses, its content, and its pending and unacknowledged updates."""

    def __init__(self, gateway: Gateway, held: GatewayContent, message_cap: MessageCap) -> None:
        self.gateway, self.held, self._message_cap = gateway, held, message_cap
        self.tables = dict[Product, SharedTable]()
        self.pending_products, self.pending_lines, self.urgent = dict[Product, None](), 0, False
        self.gates_pending = False
        self.checkpoints, self.sent_checkpoints = list[int](), list[int]()
        self.sent_lines, self.sent_at = 0, 0
        self.messages = 0

    def mark_pending(self, product: Product, urgent: bool = False) -> None:
        """Marks a product's lines as pending. An urgent message may use the messages reserved by the cap."""
        self.pending_products[product] = None
        self.pending_lines += 1
        self.urgent = self.urgent or urgent

    def due(self, now: int) -> int | None:
        """When the next message may be sent; None if nothing is pending or a message is unacknowledged."""
        if self.sent_at or not (self.pending_products or self.gates_pending or self.checkpoints):
            return None
        return self._message_cap.next(now, self.urgent)

    def record_sent(self, now: int, lines: int) -> None:
        """Counts a message against the cap; an empty one is not sent and not counted."""
        if lines:
            self._message_cap.sent(now)
            self.messages += 1


@attrs.frozen
class Message:
    """The next update of a gateway: server commands in a safe order, and the full new content of the maps."""

    commands: tuple[Command, ...]
    maps: Mapping[str, Mapping[str, str]]


class Core:
    """One manager without its sockets. Every `now` is the manager's clock in tenths of a millisecond."""

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
        self._level_unit, self._cold_time = level_unit, guarantee.cold_time
        self._tables, self.withdrawn = dict[int, SharedTable](), dict[Server, None]()
        self.table_guard, self._changed_tables = (
            TableGuard(Random(seed).random, guard),
            dict[SharedTable, None](),
        )
        self._cold_from, self._gateways, self._held_gateways = (
            guarantee.cold_from,
            tuple(gateways),
            frozenset[str](),
        )
        self.sessions = dict[Gateway, GatewaySession]()
        self._touched_sessions, self._pending_sessions = (
            dict[GatewaySession, None](),
            dict[GatewaySession, None](),
        )
        self._reminders = Reminders()
        self.probes, self.peer_messages, self.log_lines = list[Server](), list[bytes](), list[str]()
        self.apply_times = list[int]()  # time from sending a message to its success; readers clear it
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
            watches_list=False,
            may_send_to_peers=managers > 1,
            slices=0,
        )
        for listed in roster.listed.values():
            self._update_guard_server(listed.server)
        self.process_batch(now, roster.full(ListKind.CACHED))

    # Input.

    def process_batch(self, now: int, *events: Event) -> None:
        """Passes one batch of events to the module, and then the reminders that are due by `now`."""
        self._now = max(now, self._now)
        for event in events:
            self.manager.handle(event)
            if isinstance(event, Listing):
                self._on_listing(event)
        for reminder in self._reminders.due(self._now):
            self.manager.handle(reminder)
        self.manager.end_batch()
        self._check_changed_tables()
        self._pending_sessions |= self._touched_sessions
        self._touched_sessions.clear()

    def take_pending_sessions(self) -> list[GatewaySession]:
        """The gateways that have received orders since the last call."""
        pending, self._pending_sessions = list(self._pending_sessions), {}
        return [session for session in pending if self.sessions.get(session.gateway) is session]

    def next_wake(self) -> int | None:
        """When the next reminder is due, or None."""
        return self._reminders.next()

    def add_gateway(self, gateway: Gateway, held: GatewayContent, capped: bool = True) -> GatewaySession:
        """Adds a gateway that this manager now holds; the caller passes the Joined event to `process_batch`.

        capped: whether the message cap applies; False for gateways that are not reached over a socket.
        """
        self.remove_gateway(gateway)
        session = GatewaySession(
            gateway, held, MessageCap(self._channel.message_cap if capped else 0, self._channel.cap_window)
        )
        self.sessions[gateway] = session
        return session

    def remove_gateway(self, gateway: Gateway) -> None:
        """Removes a gateway that this manager no longer holds."""
        session = self.sessions.pop(gateway, None)
        if session is not None:
            self.table_guard.remove_gateway(gateway.name)
            self._touched_sessions.pop(session, None)
            self._pending_sessions.pop(session, None)
            for table in session.tables.values():
                table.sessions.pop(session, None)

    def reset_held_content(self, session: GatewaySession, held: GatewayContent) -> None:
        """Records the content read from a gateway and marks all lines as pending; equal ones are not sent."""
        session.held = held
        session.sent_at, session.sent_lines = 0, 0
        session.checkpoints, session.sent_checkpoints = session.sent_checkpoints + session.checkpoints, []
        for product in session.tables:
            session.mark_pending(product)
        session.gates_pending = bool(session.tables)

    def _check_changed_tables(self) -> None:
        """Submits each changed table to the guard; one that is refused keeps its last accepted lines."""
        changed, self._changed_tables = self._changed_tables, {}
        for table in changed:
            products = list(
                dict.fromkeys(
                    p for session in table.sessions for p, bound in session.tables.items() if bound is table
                )
            )
            if not products:
                table.accept()  # unused so far: the guard checks it once a gateway is bound to it
                continue
            lines = {
                server.name: weight
                for server, weight in table.lines.items()
                if server.name in self.table_guard.projection.servers
            }
            zone = next(iter(table.sessions)).gateway.zone
            if self.table_guard.check_table(str(table.number), products, zone, lines, self._now) is None:
                table.accept()

    def update_guard_demand(self) -> None:
        """Passes the measured demand of each table and this manager's limit shares to the guard."""
        held = frozenset(gateway.name for gateway in self.sessions)
        if self._gateways and held != self._held_gateways:
            self._held_gateways = held
            servers = {
                name: listed.server.zone for name, listed in self.roster.listed.items() if listed.limit
            }
            self.table_guard.set_limit_shares(limit_shares(servers, self._gateways, held))
        sums = dict[tuple[SharedTable, Product], float]()
        for session in self.sessions.values():
            for product, table in session.tables.items():
                count, covered = session.gateway.arrivals[product].total(self._now, 4)
                rate = (
                    10_000 * count / covered if covered else session.gateway.usual_rate / len(self.products)
                )
                level = (
                    table.gates.get(product, (1.0, Retry.UNSENT))[0]
                    if self._level_unit is LevelUnit.RATIO
                    else 1.0
                )
                sums[table, product] = sums.get((table, product), 0.0) + min(1.0, level) * rate
        for (table, product), rate in sums.items():
            zone = next(iter(table.sessions)).gateway.zone
            self.table_guard.update_demand(str(table.number), product, zone, rate, self._now)

    def evaluate_wave(self, arms: Mapping[str, Sequence[Arm]]) -> Effect:
        """Evaluates one period of the wave in progress; marks all gateways as pending if the wave changes."""
        effect = self.table_guard.end_period(arms, self._now)
        if effect in (Effect.WIDEN, Effect.UNDO):
            self.mark_all_pending()
        return effect

    def gateways_using(self, keys: Collection[tuple[str, str]]) -> list[str]:
        """The gateways whose tables name one of the (product, server) pairs."""
        names = list[str]()
        for session in self.sessions.values():
            pairs = {
                (product.name, server.name)
                for product, table in session.tables.items()
                for server in table.accepted_lines
            }
            if not pairs.isdisjoint(keys):
                names.append(session.gateway.name)
        return names

    def mark_all_pending(self) -> None:
        """Marks all lines of all gateways as pending; a message is only sent where they differ."""
        for session in self.sessions.values():
            for product in session.tables:
                session.mark_pending(product)
            self._pending_sessions[session] = None

    def _update_guard_server(self, server: Server) -> None:
        """Updates the guard's record of a server."""
        listed = self.roster.listed.get(server.name)
        if listed is None or listed.server is not server:
            return self.table_guard.remove_server(server.name)
        ready = listed.availability is Availability.READY and server not in self.withdrawn
        self.table_guard.update_server(
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

    def _on_listing(self, event: Listing[Any]) -> None:
        for entry in event.entries:
            self._update_guard_server(entry.worker)
        known = {entry.worker for entry in event.entries}
        for server in [
            server
            for server in self.withdrawn
            if server not in known and server.name not in self.roster.listed
        ]:
            if not any(server in table.lines for table in self._tables.values()):
                del self.withdrawn[server]  # unlisted and in no table: no longer needed

    # Output.

    def ramp(self, server: Server) -> float:
        """1.0 for a server that is warm according to the list, less for a cold one.

        Callers only compare the result with 1.
        """
        age = self._now - server.started_at
        return 1.0 if not server.started_at or age >= self._cold_time else age / self._cold_time

    def desired_lines(self, session: GatewaySession, product: Product) -> dict[Key, Line]:
        """The lines that the gateway should hold for a product; lines not in its table get weight 0."""
        table = session.tables[product]
        lines = dict[Key, Line]()
        version = self.table_guard.version_of(session.gateway.name)
        for server, weight in table.rounded_weights(
            product, version, self.table_guard.factor, self.ramp
        ).items():
            listed = self.roster.listed.get(server.name)
            if listed is not None and listed.server is server:
                lines[product.name, server.name] = Line(
                    listed.address, weight, AdminState.DRAIN if server in self.withdrawn else AdminState.READY
                )
        for (backend, name), line in session.held.lines.items():
            if backend == product.name and (backend, name) not in lines:
                known = self.roster.listed.get(name)
                # The module forgets the withdrawal of a server that has been gone for long.
                gone = known is None or known.availability is Availability.GONE
                withdrawn = gone or (known is not None and known.server in self.withdrawn)
                admin = AdminState.DRAIN if withdrawn and line.admin is AdminState.READY else line.admin
                lines[backend, name] = Line(line.address, 0, admin)
        return lines

    def next_message(self, now: int, session: GatewaySession) -> Message:
        """Takes the pending updates of a gateway.

        The message counts as unacknowledged until `message_applied` or `reset_held_content` is called.
        """
        self._now = max(now, self._now)
        lines = dict[Key, Line]()
        for product in session.pending_products:
            lines |= self.desired_lines(session, product)
        named = (self.roster.listed.get(server) for _, server in lines)
        cold = {listed.server.name for listed in named if listed is not None and self.ramp(listed.server) < 1}
        commands = server_commands(session.held.lines, lines, cold)
        maps = {
            name: entries
            for name, entries in self.maps(session).items()
            if session.gates_pending and session.held.maps.get(name) != entries and entries
        }
        session.sent_checkpoints, session.checkpoints = session.checkpoints, []
        session.pending_products, session.gates_pending, session.urgent, session.pending_lines = (
            {},
            False,
            False,
            0,
        )
        session.sent_lines = len(commands) + sum(len(entries) + 2 for entries in maps.values())
        session.sent_at = max(1, self._now)
        session.record_sent(now, session.sent_lines)
        return Message(tuple(commands), maps)

    def sweep(self, session: GatewaySession) -> list[Command]:
        """Commands that remove unlisted servers from a gateway; empty while updates are pending."""
        if session.sent_at or session.pending_products:
            return []
        used = {(p.name, server.name) for p, table in session.tables.items() for server in table.lines}
        return sweep_commands(session.held.lines, self.roster.listed, used)

    def maps(self, session: GatewaySession) -> dict[str, dict[str, str]]:
        """The desired content of the levels and retries maps of a gateway."""
        levels, retries = dict[str, str](), dict[str, str]()
        for product, table in session.tables.items():
            if product in table.gates:
                level, retry = table.gates[product]
                levels[product.name] = self.format_level(level)
                retries[product.name] = str(int(retry))
        return {LEVELS_MAP: levels, RETRIES_MAP: retries}

    def format_level(self, level: float) -> str:
        """A level as written to the map: per mille, or txns a second with three decimals."""
        return str(round(PER_MILLE * level)) if self._level_unit is not LevelUnit.RATE else f"{level:.3f}"

    def message_applied(self, now: int, session: GatewaySession) -> None:
        """Records that the last message has been applied, and reports its checkpoints to the module."""
        elapsed = max(0, now - session.sent_at)
        if session.sent_lines:
            self.apply_times.append(elapsed)
            del self.apply_times[:-1000]  # enough for the percentiles of one minute
        checkpoints, session.sent_checkpoints, session.sent_lines, session.sent_at = (
            session.sent_checkpoints,
            [],
            0,
            0,
        )
        if checkpoints:
            self.process_batch(
                now, *(Applied(session.gateway, checkpoint, elapsed) for checkpoint in checkpoints)
            )

    def line_counts(self) -> tuple[int, int]:
        """The lines ordered but not sent, and those sent but not acknowledged, summed over all gateways."""
        sessions = self.sessions.values()
        return sum(session.pending_lines for session in sessions), sum(
            session.sent_lines for session in sessions
        )

    # Orders of the decision module (the Host interface).

    def _mark_table_pending(
        self, table: SharedTable, products: Sequence[Product] | None = None, urgent: bool = False
    ) -> None:
        for session in table.sessions:
            self._touched_sessions[session] = None
            for product, bound in session.tables.items():
                if bound is table and (products is None or product in products):
                    session.mark_pending(product, urgent)

    def _table(self, number: int) -> SharedTable:
        return self._tables.setdefault(number, SharedTable(number))

    def now(self) -> int:
        return self._now

    def set_weight(self, table_number: int, worker: Worker, weight: float) -> None:
        assert isinstance(worker, Server)
        table = self._table(table_number)
        table.set_weight(worker, weight)
        self._changed_tables[table] = None
        self._mark_table_pending(table)

    def clear_table(self, table_number: int) -> None:
        table = self._table(table_number)
        for server in list(table.lines):
            table.set_weight(server, 0.0)
        table.gates.clear()
        self._changed_tables[table] = None
        self._mark_table_pending(table)

    def bind(self, proxy: Proxy, table_number: int, products: Sequence[Product]) -> None:
        assert isinstance(proxy, Gateway)
        session, table = self.sessions.get(proxy), self._table(table_number)
        if session is None:
            return
        self._touched_sessions[session] = None
        for product in products or self.products:
            before = session.tables.get(product)
            session.tables[product] = table
            if before is not None and before is not table and before not in session.tables.values():
                before.sessions.pop(session, None)
            session.mark_pending(product, urgent=True)
        table.sessions[session] = None
        self._changed_tables[table] = None
        session.gates_pending = True

    def set_withdrawn(self, worker: Worker, withdrawn: bool) -> None:
        assert isinstance(worker, Server)
        if withdrawn:
            self.withdrawn[worker] = None
        else:
            self.withdrawn.pop(worker, None)
        self._update_guard_server(worker)
        for table in self._tables.values():
            if worker in table.lines:
                self._mark_table_pending(table, urgent=withdrawn)
        for session in self.sessions.values() if withdrawn else ():
            for product in session.tables:  # lines left by an earlier holder that are no longer in its table
                if (product.name, worker.name) in session.held.lines:
                    self._touched_sessions[session] = None
                    session.mark_pending(product, urgent=True)

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        """Does nothing: withdrawals left at a gateway are found when its content is read back."""

    def set_level(
        self, table_number: int | None, products: Sequence[Product], level: float, retry: Retry
    ) -> None:
        for table in self._tables.values() if table_number is None else (self._table(table_number),):
            for product in products or self.products:
                zone = next(iter(table.sessions)).gateway.zone if table.sessions else ""
                if (
                    self.table_guard.check_gate(
                        str(table.number), product, zone, level, int(retry), self._now
                    )
                    is None
                ):
                    table.gates[product] = level, retry
            for session in table.sessions:
                self._touched_sessions[session] = None
                session.gates_pending = True
                session.pending_lines += 1

    def checkpoint(self, mark: int, all_proxies: bool) -> None:
        for session in self.sessions.values() if all_proxies else self._touched_sessions:
            session.checkpoints.append(mark)

    def probe(self, worker: Worker) -> None:
        assert isinstance(worker, Server)
        self.probes.append(worker)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self.peer_messages.append(data)

    def watch_list(self, enabled: bool) -> None:
        """Does nothing: changes of the list are always reported at once."""

    def request_list(self) -> None:
        """Does nothing, as `watch_list`."""

    def wake(self, after: int, token: int) -> None:
        self._reminders.add(self._now + max(1, after), token)

    def log(self, text: str) -> None:
        self.log_lines.append(text)
        del self.log_lines[:-100]
