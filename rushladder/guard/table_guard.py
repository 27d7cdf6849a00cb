"""One manager's guard: keeps the book true to what the core holds, judges each table, and takes changes out
in waves.

The module's own tables are judged as a whole, each by itself; one that is refused is a fault of ours: the
last good one stays and service goes on. Operators change factors: by how much the decided weight of a
server is multiplied for a product.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

import attrs

from rushladder.guard.admission import Admission, Close, Gate, Line, Refusal
from rushladder.guard.projection import LoadProjection, Pool, Server
from rushladder.guard.history import History, Key, Version
from rushladder.guard.waves import Arm, Effect, Stage, Wave
from rushladder.interface import Product

MOVES = 0.02  # part of all txns that a change may move without a wave: less than a period's own noise
FADES = 0.9  # a period, of the memory of how many txns were bad before: about ten periods


class Denied(Exception):
    """A change that was refused, with the reason and the least that would be accepted."""


@attrs.define
class _Before:
    many: float = 0.0
    bad: float = 0.0


class TableGuard:
    """The guard of one manager. Bounded by its servers, tables and gateways."""

    def __init__(self, draw: Callable[[], float], guard: str = "on") -> None:
        self.projection, self.history = LoadProjection(), History()
        self.admission = Admission(self.projection)
        self.admission.lenient, self._waves = guard == "off", guard == "on"
        self.wave: Wave | None = None
        self._draw, self._before = draw, dict[str, _Before]()
        self._plain = dict[str, dict[str, float]]()  # pool -> server -> weight as the module decided it
        self._stated, self._parts = dict[str, float](), dict[str, float]()
        self._gone = dict[str, None]()  # off the list, and not yet out of every table
        self.order_errors = list[str]()  # own orders that were refused, since last taken

    # Facts.

    def server(
        self,
        name: str,
        zone: str,
        model: str,
        *,
        limit: float,
        connections: int,
        ready: bool,
        started_at: int,
        cold_time: int,
        cold_from: float,
    ) -> None:
        """A server as it is listed and withdrawn now. One that closes is a drain, which always passes."""
        known = self.projection.servers.get(name)
        if known is None or (known.zone, known.model) != (zone, model):
            known = Server(name, zone, model)
            self.projection.add_server(known)
        self._gone.pop(name, None)
        self._stated[name] = limit
        known.limit, known.connections = limit * self._parts.get(name, 1.0), connections
        known.cold_from, known.cold_time = cold_from, max(1, cold_time)
        known.warm_at = started_at + cold_time if started_at else 0
        if known.ready is not ready:
            self.projection.set_ready(known, ready)
            self.projection.commit()

    def forget(self, name: str) -> None:
        """A server that is off the list: its lines go as the tables change."""
        known = self.projection.servers.get(name)
        if known is not None:
            self._gone[name] = None
            if known.ready:
                self.admission.judge([(Close(name),)], 0)

    def _sweep(self) -> None:
        """Drops what is off the list once no table names it: names come and go for years."""
        for name in [name for name in self._gone if not self.projection.servers[name].parts]:
            del self.projection.servers[name], self._gone[name]
            self._stated.pop(name, None)
            self._parts.pop(name, None)

    def pool(self, table: str, product: Product, zone: str) -> Pool:
        name = f"{product.name}@{table}"
        found = self.projection.pools.get(name)
        if found is None:
            found = Pool(name, product, zone, 0)
            self.projection.add_pool(found)
        return found

    def demand(self, table: str, product: Product, zone: str, rate: float, now: int) -> None:
        """Txns a second that come to a table's gateways now."""
        pool = self.pool(table, product, zone)
        if not math.isclose(pool.demand, rate, rel_tol=0.02, abs_tol=0.01):
            self.projection.set_demand(pool, rate)
            self.projection.commit()
        self.admission.demand_at = now

    def allot(self, parts: Mapping[str, float]) -> None:
        """Which part of each server's stated limit this manager may use: what it is safe to use whatever
        others do."""
        self._parts = dict(parts)
        for name, server in self.projection.servers.items():
            server.limit = self._stated.get(name, 0.0) * self._parts.get(name, 1.0)

    def _outgrown(self) -> str:
        """A server that an operator's change sends more than its limit by now, as demand has grown since."""
        for product, name in self._version(None).factors:
            server = self.projection.servers.get(name)
            if server is not None and server.limit and server.load > server.limit:
                figures = f"{server.load:.1f} txns a second by now, over its {server.limit:.1f}"
                return f"{name} is sent {figures} ({product})"
        return ""

    # The module's orders.

    def table(
        self, table: str, products: Sequence[Product], zone: str, lines: Mapping[str, float], now: int
    ) -> Refusal | None:
        """Whether a whole table may go out; if not, why. Its products' lines stand or fall together."""
        parts = list[Line]()
        for product in products:
            pool = self.pool(table, product, zone)
            have = {server.name: weight for server, weight in pool.lines.items()}
            for server in {**have, **lines}:
                wanted = lines.get(server, 0.0) * self.factor(product.name, server)
                if wanted != have.get(server, 0.0):
                    parts.append(Line(pool.name, server, wanted))
        if not parts:
            return None
        verdict = self.admission.judge([tuple(parts)], now, trusted=True)
        if verdict.refused:
            self.order_errors.append(
                f"own order for table {table} refused, the last good one stays: {verdict.refused[0]}"
            )
            del self.order_errors[:-20]
            return verdict.refused[0]
        for product in products:
            self._plain[f"{product.name}@{table}"] = dict(lines)
        return None

    def gate(
        self, table: str, product: Product, zone: str, level: float, retry: int, now: int
    ) -> Refusal | None:
        pool = self.pool(table, product, zone)
        verdict = self.admission.judge([(Gate(pool.name, level, retry),)], now, trusted=True)
        if verdict.refused:
            self.order_errors.append(f"own level for {pool.name} refused: {verdict.refused[0]}")
        return verdict.refused[0] if verdict.refused else None

    # Factors.

    def factor(self, product: str, server: str, version: int | None = None) -> float:
        return self._version(version).factors.get((product, server), 1.0)

    def _version(self, number: int | None) -> Version:
        return self.history[self.history.current if number is None else number]

    def version_of(self, gateway: str) -> int:
        """Which version a gateway holds: while a wave is out, only its gateways have the new one."""
        wave = self.wave
        if wave is None or wave.finished or gateway in wave.changed:
            return self.history.current
        return self.history[wave.number].parent

    def propose(
        self, who: str, why: str, changes: Sequence[tuple[Key, float]], gateways: Sequence[str], now: int
    ) -> Version:
        """An operator's change of factors, judged as one. Raises Denied with the reason.

        gateways: all that are held. A change that moves more than a part of the traffic goes out in waves.
        """
        if self.wave is not None and not self.wave.finished:
            raise self._denied(
                who,
                f"version {self.wave.number} is still on its way ({self.wave.stage.value}); wait for "
                "it, or roll it back",
                now,
            )
        seen = set[Key]()
        products = {pool.product.name for pool in self.projection.pools.values()}
        for key, factor in changes:
            if key in seen:
                raise self._denied(
                    who, f"duplicate: {'/'.join(key)} stands twice; one entry would be accepted", now
                )
            if key[0] not in products or key[1] not in self.projection.servers:
                raise self._denied(
                    who, f"unknown: {'/'.join(key)}; a product and server in use would be accepted", now
                )
            if not 0.0 <= factor <= 100.0:
                raise self._denied(
                    who, f"out of range: {factor:g}; a factor from 0 to 100 would be accepted", now
                )
            seen.add(key)
        factors = {**self._version(None).factors, **dict(changes)}
        return self._accept(who, why, factors, gateways, now)

    def resize(self, who: str, server: str, ratio: float, now: int) -> None:
        """A listed size is to change so many times: judged as if each line followed it. Raises Denied."""
        known = self.projection.servers.get(server)
        lines = tuple(
            Line(pool.name, server, weight * ratio)
            for pool in self.projection.pools.values()
            if known is not None and (weight := pool.lines.get(known, 0.0)) and not math.isclose(ratio, 1.0)
        )
        refusal = self.admission.test(lines, now) if lines else None
        if refusal is not None:
            raise self._denied(who, str(refusal), now)

    def rollback(self, who: str, number: int, gateways: Sequence[str], now: int) -> Version:
        """Back to a version; judged like any change, unless it is the one before a wave that is still out."""
        if self.wave is not None and not self.wave.finished:
            if number != self.history[self.wave.number].parent:
                raise self._denied(
                    who, f"version {self.wave.number} is still on its way; roll back to its parent first", now
                )
            self._undo("rolled back by hand", now)
            return self._version(None)
        try:
            factors = self.history[number].factors
        except KeyError:
            raise self._denied(
                who, f"unknown: no version {number}; one of the history would be accepted", now
            ) from None
        return self._accept(who, f"rollback to {number}", factors, gateways, now)

    def _accept(
        self, who: str, why: str, factors: Mapping[Key, float], gateways: Sequence[str], now: int
    ) -> Version:
        before = {name: dict(pool.parts_now()) for name, pool in self._pools_of(factors).items()}
        verdict = self.admission.judge([self._lines(factors)], now) if self._lines(factors) else None
        if verdict is not None and verdict.refused:
            raise self._denied(who, str(verdict.refused[0]), now)
        version = self.history.accept(who, why, factors, now)
        if self._waves and self._moved(before) > MOVES and len(gateways) > 1:
            order = sorted(gateways, key=lambda _: self._draw())
            self.wave = Wave(version.number, order, self._bad_before(order), now)
        return version

    def _pools_of(self, factors: Mapping[Key, float]) -> dict[str, Pool]:
        changed = {key[0] for key in {*factors, *self._version(None).factors}}
        return {name: pool for name, pool in self.projection.pools.items() if pool.product.name in changed}

    def _lines(self, factors: Mapping[Key, float]) -> tuple[Line, ...]:
        found = list[Line]()
        for name, pool in self._pools_of(factors).items():
            for server, weight in self._plain.get(name, {}).items():
                wanted = weight * factors.get((pool.product.name, server), 1.0)
                if wanted != pool.lines.get(self.projection.servers[server], 0.0):
                    found.append(Line(name, server, wanted))
        return tuple(found)

    def _moved(self, before: Mapping[str, Mapping[str, float]]) -> float:
        """The part of all txns that go elsewhere than before."""
        total = sum(pool.demand for pool in self.projection.pools.values()) or 1.0
        moved = 0.0
        for name, parts in before.items():
            after = self.projection.pools[name].parts_now()
            moved += (
                sum(abs(after.get(server, 0.0) - parts.get(server, 0.0)) for server in {*after, *parts}) / 2
            )
        return moved / total

    def _denied(self, who: str, what: str, now: int) -> Denied:
        self.history.refuse(who, what, now)
        return Denied(what)

    # Waves.

    def period(self, met: Mapping[str, Sequence[Arm]], now: int) -> Effect:
        """What each gateway met in the last period; says what became of the wave."""
        self._sweep()
        for name, arms in met.items():
            before = self._before.setdefault(name, _Before())
            if self.wave is None or self.wave.finished:
                before.many = FADES * before.many + sum(arm.many for arm in arms)
                before.bad = FADES * before.bad + sum(arm.bad for arm in arms)
        wave = self.wave
        if wave is None or wave.finished:
            return Effect.NONE
        changed = [arm for name in wave.changed for arm in met.get(name, ())]
        others = [arm for name, arms in met.items() if name not in wave.changed for arm in arms]
        effect = wave.period(changed, others, now)
        if not wave.finished and (outgrown := self._outgrown()):
            self._undo(f"taken back: {outgrown}", now)
            return Effect.UNDO
        if effect is Effect.UNDO:
            self._undo(
                f"taken back: {wave.test.probability_worse():.1%} sure that it is worse"
                if wave.test.ratio > 0
                else "taken back: not sure for too long",
                now,
            )
        return effect

    def _bad_before(self, gateways: Sequence[str]) -> float:
        some = [self._before[name] for name in gateways if name in self._before]
        many = sum(one.many for one in some)
        return sum(one.bad for one in some) / many if many else 0.0

    def left(self, gateway: str) -> None:
        self._before.pop(gateway, None)
        if self.wave is not None and not self.wave.finished:
            self.wave.lost(gateway)

    def _undo(self, why: str, now: int) -> None:
        assert self.wave is not None
        self.history.back(self.wave.number, why)
        self.wave.stage = Stage.UNDONE
        # What stood before is put back without being judged: a change that is taken back may not be kept out.
        for name, pool in self.projection.pools.items():
            for server, weight in self._plain.get(name, {}).items():
                self.projection.set_weight(
                    pool, self.projection.servers[server], weight * self.factor(pool.product.name, server)
                )
        self.projection.commit()
