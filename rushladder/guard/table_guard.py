"""The guard of one manager: keeps the load projection current, checks tables and rolls changes out in waves.

Each table that the decision module orders is checked as a whole. A refused table indicates a bug in the
module: the last accepted table stays in use and service continues. Operators change factors, which multiply
the weights that the module has chosen for a server and product.
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

MAX_DIRECT_MOVE = 0.02  # share of all txns that a change may move without a wave: below the noise of a period
MEMORY_DECAY = 0.9  # per period, of the recorded share of bad txns: remembers about ten periods


class Denied(Exception):
    """A refused change, with the reason and what would be accepted."""


@attrs.define
class _Baseline:
    """A gateway's decaying numbers of ended and of bad txns, recorded while no wave is in progress."""

    count: float = 0.0
    bad: float = 0.0


class TableGuard:
    """The guard of one manager. Bounded by its servers, tables and gateways."""

    def __init__(self, random: Callable[[], float], guard: str = "on") -> None:
        self.projection, self.history = LoadProjection(), History()
        self.admission = Admission(self.projection)
        self.admission.lenient, self._waves = guard == "off", guard == "on"
        self.wave: Wave | None = None
        self._random, self._baselines = random, dict[str, _Baseline]()
        self._module_weights = dict[str, dict[str, float]]()  # pool -> server -> weight, without factors
        self._stated_limits, self._limit_shares = dict[str, float](), dict[str, float]()
        self._unlisted = dict[str, None]()  # no longer listed, but still in a table
        self.order_errors = list[str]()  # refused orders of the module, until a reader clears them

    # Servers and demand.

    def update_server(
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
        """Updates a server's record. Making it unavailable is a drain, which is never refused."""
        record = self.projection.servers.get(name)
        if record is None or (record.zone, record.model) != (zone, model):
            record = Server(name, zone, model)
            self.projection.add_server(record)
        self._unlisted.pop(name, None)
        self._stated_limits[name] = limit
        record.limit, record.connections = limit * self._limit_shares.get(name, 1.0), connections
        record.cold_from, record.cold_time = cold_from, max(1, cold_time)
        record.warm_at = started_at + cold_time if started_at else 0
        if record.ready is not ready:
            self.projection.set_ready(record, ready)
            self.projection.commit()

    def remove_server(self, name: str) -> None:
        """Closes a server that is no longer listed; its lines disappear as the tables change."""
        record = self.projection.servers.get(name)
        if record is not None:
            self._unlisted[name] = None
            if record.ready:
                self.admission.judge([(Close(name),)], 0)

    def _drop_unlisted(self) -> None:
        """Forgets unlisted servers that no table names, so that changing names do not accumulate."""
        for name in [name for name in self._unlisted if not self.projection.servers[name].load_by_pool]:
            del self.projection.servers[name], self._unlisted[name]
            self._stated_limits.pop(name, None)
            self._limit_shares.pop(name, None)

    def pool(self, table: str, product: Product, zone: str) -> Pool:
        """The pool of a table and product; created if it does not exist."""
        name = f"{product.name}@{table}"
        pool = self.projection.pools.get(name)
        if pool is None:
            pool = Pool(name, product, zone, 0)
            self.projection.add_pool(pool)
        return pool

    def update_demand(self, table: str, product: Product, zone: str, rate: float, now: int) -> None:
        """Sets the present demand at a table's gateways in txns a second."""
        pool = self.pool(table, product, zone)
        if not math.isclose(pool.demand, rate, rel_tol=0.02, abs_tol=0.01):
            self.projection.set_demand(pool, rate)
            self.projection.commit()
        self.admission.demand_updated_at = now

    def set_limit_shares(self, shares: Mapping[str, float]) -> None:
        """Sets the share of each server's stated limit that is safe to use whatever other managers do."""
        self._limit_shares = dict(shares)
        for name, server in self.projection.servers.items():
            server.limit = self._stated_limits.get(name, 0.0) * self._limit_shares.get(name, 1.0)

    def _overloaded_server(self) -> str:
        """Describes a server that now exceeds its limit because of an operator's factor and grown demand."""
        for product, name in self._version(None).factors:
            server = self.projection.servers.get(name)
            if server is not None and server.limit and server.load > server.limit:
                figures = f"{server.load:.1f} txns a second now, over its {server.limit:.1f}"
                return f"{name} is sent {figures} ({product})"
        return ""

    # Orders of the decision module.

    def check_table(
        self, table: str, products: Sequence[Product], zone: str, lines: Mapping[str, float], now: int
    ) -> Refusal | None:
        """Checks a table as a whole, with the lines of all its products; returns the refusal, if any."""
        changes = list[Line]()
        for product in products:
            pool = self.pool(table, product, zone)
            current = {server.name: weight for server, weight in pool.lines.items()}
            for server in {**current, **lines}:
                wanted = lines.get(server, 0.0) * self.factor(product.name, server)
                if wanted != current.get(server, 0.0):
                    changes.append(Line(pool.name, server, wanted))
        if not changes:
            return None
        verdict = self.admission.judge([tuple(changes)], now, trusted=True)
        if verdict.refused:
            self.order_errors.append(
                f"own order for table {table} refused, the last accepted one stays: {verdict.refused[0]}"
            )
            del self.order_errors[:-20]
            return verdict.refused[0]
        for product in products:
            self._module_weights[f"{product.name}@{table}"] = dict(lines)
        return None

    def check_gate(
        self, table: str, product: Product, zone: str, level: float, retry: int, now: int
    ) -> Refusal | None:
        """Checks a level and retry rule that the module ordered; returns the refusal, if any."""
        pool = self.pool(table, product, zone)
        verdict = self.admission.judge([(Gate(pool.name, level, retry),)], now, trusted=True)
        if verdict.refused:
            self.order_errors.append(f"own level for {pool.name} refused: {verdict.refused[0]}")
        return verdict.refused[0] if verdict.refused else None

    # Factors.

    def factor(self, product: str, server: str, version: int | None = None) -> float:
        """The factor of a product and server in a version; None: the current version."""
        return self._version(version).factors.get((product, server), 1.0)

    def _version(self, number: int | None) -> Version:
        return self.history[self.history.current if number is None else number]

    def version_of(self, gateway: str) -> int:
        """The version a gateway has: during a wave, only the wave's gateways have the new one."""
        wave = self.wave
        if wave is None or wave.finished or gateway in wave.changed:
            return self.history.current
        return self.history[wave.number].parent

    def propose(
        self, who: str, why: str, changes: Sequence[tuple[Key, float]], gateways: Sequence[str], now: int
    ) -> Version:
        """Judges an operator's change of factors as a whole. Raises Denied with the reason.

        gateways: the held gateways affected. A change that moves more than MAX_DIRECT_MOVE goes out in waves.
        """
        if self.wave is not None and not self.wave.finished:
            raise self._deny(
                who,
                f"version {self.wave.number} is still on its way ({self.wave.stage.value}); wait for "
                "it, or roll it back",
                now,
            )
        seen = set[Key]()
        products = {pool.product.name for pool in self.projection.pools.values()}
        for key, factor in changes:
            if key in seen:
                raise self._deny(
                    who, f"duplicate: {'/'.join(key)} is given twice; one entry would be accepted", now
                )
            if key[0] not in products or key[1] not in self.projection.servers:
                raise self._deny(
                    who, f"unknown: {'/'.join(key)}; a product and server in use would be accepted", now
                )
            if not 0.0 <= factor <= 100.0:
                raise self._deny(
                    who, f"out of range: {factor:g}; a factor from 0 to 100 would be accepted", now
                )
            seen.add(key)
        factors = {**self._version(None).factors, **dict(changes)}
        return self._accept(who, why, factors, gateways, now)

    def resize(self, who: str, server: str, ratio: float, now: int) -> None:
        """Judges a change of a listed size by a ratio, as if every line changed with it. Raises Denied."""
        record = self.projection.servers.get(server)
        lines = tuple(
            Line(pool.name, server, weight * ratio)
            for pool in self.projection.pools.values()
            if record is not None and (weight := pool.lines.get(record, 0.0)) and not math.isclose(ratio, 1.0)
        )
        refusal = self.admission.dry_run(lines, now) if lines else None
        if refusal is not None:
            raise self._deny(who, str(refusal), now)

    def rollback(self, who: str, number: int, gateways: Sequence[str], now: int) -> Version:
        """Returns to a version, judged like any change unless it is the parent of a wave in progress."""
        if self.wave is not None and not self.wave.finished:
            if number != self.history[self.wave.number].parent:
                raise self._deny(
                    who, f"version {self.wave.number} is still on its way; roll back to its parent first", now
                )
            self._revert("rolled back by an operator", now)
            return self._version(None)
        try:
            factors = self.history[number].factors
        except KeyError:
            raise self._deny(
                who, f"unknown: no version {number}; one of the history would be accepted", now
            ) from None
        return self._accept(who, f"rollback to {number}", factors, gateways, now)

    def _accept(
        self, who: str, why: str, factors: Mapping[Key, float], gateways: Sequence[str], now: int
    ) -> Version:
        before = {name: dict(pool.load_by_server()) for name, pool in self._pools_of(factors).items()}
        verdict = (
            self.admission.judge([self._changed_lines(factors)], now)
            if self._changed_lines(factors)
            else None
        )
        if verdict is not None and verdict.refused:
            raise self._deny(who, str(verdict.refused[0]), now)
        version = self.history.accept(who, why, factors, now)
        if self._waves and self._moved_share(before) > MAX_DIRECT_MOVE and len(gateways) > 1:
            order = sorted(gateways, key=lambda _: self._random())
            self.wave = Wave(version.number, order, self._baseline_bad_share(order), now)
        return version

    def _pools_of(self, factors: Mapping[Key, float]) -> dict[str, Pool]:
        changed = {key[0] for key in {*factors, *self._version(None).factors}}
        return {name: pool for name, pool in self.projection.pools.items() if pool.product.name in changed}

    def _changed_lines(self, factors: Mapping[Key, float]) -> tuple[Line, ...]:
        changed = list[Line]()
        for name, pool in self._pools_of(factors).items():
            for server, weight in self._module_weights.get(name, {}).items():
                wanted = weight * factors.get((pool.product.name, server), 1.0)
                if wanted != pool.lines.get(self.projection.servers[server], 0.0):
                    changed.append(Line(name, server, wanted))
        return tuple(changed)

    def _moved_share(self, before: Mapping[str, Mapping[str, float]]) -> float:
        """The share of all txns that go to another server than before."""
        total = sum(pool.demand for pool in self.projection.pools.values()) or 1.0
        moved = 0.0
        for name, loads in before.items():
            after = self.projection.pools[name].load_by_server()
            moved += (
                sum(abs(after.get(server, 0.0) - loads.get(server, 0.0)) for server in {*after, *loads}) / 2
            )
        return moved / total

    def _deny(self, who: str, what: str, now: int) -> Denied:
        self.history.refuse(who, what, now)
        return Denied(what)

    # Waves.

    def end_period(self, arms_by_gateway: Mapping[str, Sequence[Arm]], now: int) -> Effect:
        """Evaluates the last period's outcomes and returns the effect on the wave."""
        self._drop_unlisted()
        for name, arms in arms_by_gateway.items():
            baseline = self._baselines.setdefault(name, _Baseline())
            if self.wave is None or self.wave.finished:
                baseline.count = MEMORY_DECAY * baseline.count + sum(arm.count for arm in arms)
                baseline.bad = MEMORY_DECAY * baseline.bad + sum(arm.bad for arm in arms)
        wave = self.wave
        if wave is None or wave.finished:
            return Effect.NONE
        changed = [arm for name in wave.changed for arm in arms_by_gateway.get(name, ())]
        others = [arm for name, arms in arms_by_gateway.items() if name not in wave.changed for arm in arms]
        effect = wave.end_period(changed, others, now)
        if not wave.finished and (overloaded := self._overloaded_server()):
            self._revert(f"taken back: {overloaded}", now)
            return Effect.UNDO
        if effect is Effect.UNDO:
            self._revert(
                f"taken back: {wave.test.probability_worse():.1%} probability that it is worse"
                if wave.test.ratio > 0
                else "taken back: undecided for too long",
                now,
            )
        return effect

    def _baseline_bad_share(self, gateways: Sequence[str]) -> float:
        baselines = [self._baselines[name] for name in gateways if name in self._baselines]
        count = sum(baseline.count for baseline in baselines)
        return sum(baseline.bad for baseline in baselines) / count if count else 0.0

    def remove_gateway(self, gateway: str) -> None:
        """Forgets a gateway that left, also in the wave in progress."""
        self._baselines.pop(gateway, None)
        if self.wave is not None and not self.wave.finished:
            self.wave.remove_gateway(gateway)

    def _revert(self, why: str, now: int) -> None:
        assert self.wave is not None
        self.history.revert(self.wave.number, why)
        self.wave.stage = Stage.UNDONE
        # The previous weights are restored without a check: admission must not prevent a rollback.
        for name, pool in self.projection.pools.items():
            for server, weight in self._module_weights.get(name, {}).items():
                self.projection.set_weight(
                    pool, self.projection.servers[server], weight * self.factor(pool.product.name, server)
                )
        self.projection.commit()
