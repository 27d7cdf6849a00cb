"""The host of one decision module: its orders become what each gateway should hold.

Events go in with `take`, the module answers with orders, and orders change shared tables, withdrawals and
levels. A gateway that uses a changed table is noted as owed; its driver asks `message` for the commands
between what it holds and what it should hold, and tells `answered` when they were carried out. Orders that
follow each other before a message goes out fall together, so what waits is bounded by what can be wanted,
not by how often it changed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence


from rushladder.brain import Gateway, Server
from rushladder.gateways.difference import server_commands, sweep_commands
from rushladder.interface import (
    Applied,
    LevelUnit,
    Product,
    Proxy,
    Retry,
    Worker,
)
from rushladder.runtime.grammar import Command

LEVELS_MAP, RETRIES_MAP = "levels", "retries"
PER_MILLE = 1000  # levels as a plain proxy compares them with a whole random number


class Tbl:
    """One shared table: its lines as ordered, those the guard let through, and the whole weights from
    them."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.lines, self.good = dict[Server, float](), dict[Server, float]()
        self.gates = dict[Product, tuple[float, Retry]]()
        self.ports = dict[Port, None]()
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
            named = (self.roster.listed.get(server) for _, server in lines)
        cold = {one.server.name for one in named if one is not None and self.ramp(one.server) < 1}
        commands = server_commands(port.held.lines, lines, cold)
        maps = {
            name: entries
            for name, entries in self.maps(port).items()
            if port.gates_owed and port.held.maps.get(name) != entries and entries
        }
        port.sent_marks, port.marks = port.marks, []
        port.owed, port.gates_owed, port.urgent, port.owed_lines = {}, False, False, 0
        port.sent_lines = len(commands) + sum(len(entries) + 2 for entries in maps.values())
        port.sent_at = max(1, self._now)
        port.went(now, port.sent_lines)
        return Message(tuple(commands), maps)

    def sweep(self, port: Port) -> list[Command]:
        """Commands that rid a gateway of servers that are off the list; none while it is owed something."""
        if port.sent_at or port.owed:
            return []
        used = {(p.name, server.name) for p, tbl in port.tables.items() for server in tbl.lines}
        return sweep_commands(port.held.lines, self.roster.listed, used)

    def maps(self, port: Port) -> dict[str, dict[str, str]]:
        levels, retries = dict[str, str](), dict[str, str]()
        for product, tbl in port.tables.items():
            if product in tbl.gates:
                level, retry = tbl.gates[product]
                levels[product.name] = self.level_text(level)
                retries[product.name] = str(int(retry))
        return {LEVELS_MAP: levels, RETRIES_MAP: retries}

    def level_text(self, level: float) -> str:
        """A level as the map holds it: per mille, or txns a second with up to three decimals."""
        return str(round(PER_MILLE * level)) if self._unit is not LevelUnit.RATE else f"{level:.3f}"

    def answered(self, now: int, port: Port) -> None:
        """The message on its way was carried out. The module hears of its marks with the next batch."""
        elapsed = max(0, now - port.sent_at)
        if port.sent_lines:
            self.applied_in.append(elapsed)
            del self.applied_in[:-1000]  # enough for percentiles of a minute
        marks, port.sent_marks, port.sent_lines, port.sent_at = port.sent_marks, [], 0, 0
        if marks:
            self.take(now, *(Applied(port.gateway, mark, elapsed) for mark in marks))

    def waiting(self) -> tuple[int, int]:
        """Lines ordered and not sent, and lines sent and not answered, over all gateways."""
        ports = self.ports.values()
        return sum(port.owed_lines for port in ports), sum(port.sent_lines for port in ports)

    # The module's orders.

    def _owe(self, tbl: Tbl, products: Sequence[Product] | None = None, urgent: bool = False) -> None:
        for port in tbl.ports:
            self._touched[port] = None
            for product, own in port.tables.items():
                if own is tbl and (products is None or product in products):
                    port.owe(product, urgent)

    def _table(self, number: int) -> Tbl:
        return self._tables.setdefault(number, Tbl(number))

    def now(self) -> int:
        return self._now

    def weigh(self, tbl: int, worker: Worker, weight: float) -> None:
        assert isinstance(worker, Server)
        table = self._table(tbl)
        table.weigh(worker, weight)
        self._changed[table] = None
        self._owe(table)

    def empty(self, tbl: int) -> None:
        table = self._table(tbl)
        for server in list(table.lines):
            table.weigh(server, 0.0)
        table.gates.clear()
        self._changed[table] = None
        self._owe(table)

    def bind(self, proxy: Proxy, tbl: int, products: Sequence[Product]) -> None:
        assert isinstance(proxy, Gateway)
        port, table = self.ports.get(proxy), self._table(tbl)
        if port is None:
            return
        self._touched[port] = None
        for product in products or self.products:
            before = port.tables.get(product)
            port.tables[product] = table
            if before is not None and before is not table and before not in port.tables.values():
                before.ports.pop(port, None)
            port.owe(product, urgent=True)
        table.ports[port] = None
        self._changed[table] = None
        port.gates_owed = True

    def hold_back(self, worker: Worker, out: bool) -> None:
        assert isinstance(worker, Server)
        if out:
            self.withdrawn[worker] = None
        else:
            self.withdrawn.pop(worker, None)
        self._known(worker)
        for table in self._tables.values():
            if worker in table.lines:
                self._owe(table, urgent=out)
        for port in self.ports.values() if out else ():
            for product in port.tables:  # lines of an earlier holder's, not in its table any more
                if (product.name, worker.name) in port.held.lines:
                    self._touched[port] = None
                    port.owe(product, urgent=True)

    def gate(self, tbl: int | None, products: Sequence[Product], level: float, retry: Retry) -> None:
        for table in self._tables.values() if tbl is None else (self._table(tbl),):
            for product in products or self.products:
                zone = next(iter(table.ports)).gateway.zone if table.ports else ""
                if self.warden.gate(str(table.number), product, zone, level, int(retry), self._now) is None:
                    table.gates[product] = level, retry
            for port in table.ports:
                self._touched[port] = None
                port.gates_owed = True
                port.owed_lines += 1

    def checkpoint(self, number: int, everyone: bool) -> None:
        for port in self.ports.values() if everyone else self._touched:
            port.marks.append(number)

    def probe(self, worker: Worker) -> None:
        assert isinstance(worker, Server)
        self.probes.append(worker)

    def tell(self, peer: int | None, data: bytes) -> None:
        self.words.append(data)

    def watch(self, on: bool) -> None:
        """The list comes by itself here: every change is told at once."""

    def ask_list(self) -> None:
        """As for `watch`."""

    def wake(self, after: int, token: int) -> None:
        heapq.heappush(self._wakes, (self._now + max(1, after), next(self._order), token))

    def log(self, words: str) -> None:
        self.notes.append(words)
        del self.notes[:-100]
