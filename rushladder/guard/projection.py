"""The projected load of all servers, assuming that every pending change has reached the gateways.

A pool is the set of weighted servers that some gateways use for one product, with the demand in txns a
second. A server's load is the sum of its shares of all pools. Updates are incremental: changing a line costs
the lines of its pool, and closing a server the lines of the pools that name it; no update costs the whole
fleet. Changes can be rolled back in reverse order.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from itertools import count

import attrs

from rushladder.interface import Product


@attrs.define(eq=False)
class Server:
    """A server in the projection. Times are in tenths of a millisecond, rates in txns a second; 0: not given.

    limit: the maximum rate from this manager's gateways when warm; connections: its maximum of open ones.
    """

    name: str
    zone: str
    model: str
    limit: float = 0.0
    connections: int = 0
    ready: bool = True  # listed ready, and not withdrawn
    warm_at: int = 0
    cold_from: float = 1.0
    cold_time: int = 1
    load: float = 0.0
    load_by_pool: dict[Pool, float] = attrs.field(factory=dict, repr=False)

    def warm(self, now: int) -> bool:
        return now >= self.warm_at

    def ramp(self, now: int) -> float:
        """The fraction of its capacity that it is guaranteed to have."""
        if self.warm(now):
            return 1.0
        return min(
            1.0, self.cold_from + (1 - self.cold_from) * max(0.0, 1 - (self.warm_at - now) / self.cold_time)
        )


@attrs.define(eq=False)
class Pool:
    """One product of one table: its lines, its demand, and the number of gateways that use it."""

    name: str
    product: Product
    zone: str
    gateways: int = 1
    demand: float = 0.0
    lines: dict[Server, float] = attrs.field(factory=dict, repr=False)
    usable_weight: float = 0.0  # total weight of the lines whose servers are ready
    usable_count: int = 0  # number of those lines

    def share(self, server: Server) -> float:
        weight = self.lines.get(server, 0.0)
        return weight / self.usable_weight if server.ready and self.usable_weight > 0 else 0.0

    def load_by_server(self) -> dict[str, float]:
        """Txns a second to each server, by name."""
        return {server.name: self.demand * self.share(server) for server in self.lines}


class LoadProjection:
    """All pools and servers, with an undo log of the changes since the last `commit`."""

    def __init__(self) -> None:
        self.servers, self.pools = dict[str, Server](), dict[str, Pool]()
        self._undo_log = list[Callable[[], None]]()
        self.changed_pools, self.changed_servers = (
            dict[Pool, None](),
            dict[Server, float](),
        )  # with the load before
        self._heap, self._order = list[tuple[int, int, Pool]](), count()

    # Inventory and demand. These are facts and not subject to admission, so they are not in the undo log.

    def add_server(self, server: Server) -> None:
        self.servers[server.name] = server

    def add_pool(self, pool: Pool) -> None:
        self.pools[pool.name] = pool
        self._push_rank(pool)

    def drop_pool(self, name: str) -> None:
        pool = self.pools.pop(name, None)
        if pool is not None:
            for server in list(pool.lines):
                self._set_server_load(pool, server, 0.0)

    def set_demand(self, pool: Pool, rate: float) -> None:
        """Sets the present demand of a pool, in time proportional to its lines."""
        pool.demand = rate
        self._update_loads(pool)

    # Changes that can be rolled back.

    def set_weight(self, pool: Pool, server: Server, weight: float) -> None:
        """Sets a line; 0 removes it."""
        before = pool.lines.get(server, 0.0)
        if before == weight:
            return
        self._undo_log.append(lambda: self._set_weight(pool, server, before))
        self._set_weight(pool, server, weight)

    def set_ready(self, server: Server, ready: bool) -> None:
        """Sets whether a server may receive traffic."""
        if server.ready is not ready:
            self._undo_log.append(lambda: self._set_ready(server, not ready))
            self._set_ready(server, ready)

    def rollback(self) -> None:
        """Reverts all changes since the last `commit`, the latest first."""
        while self._undo_log:
            self._undo_log.pop()()
        self.changed_pools.clear()
        self.changed_servers.clear()

    def commit(self) -> None:
        """Makes the changes since the last commit permanent."""
        self._undo_log.clear()
        self.changed_pools.clear()
        self.changed_servers.clear()

    # Queries.

    def tightest(self, limit: int) -> list[Pool]:
        """The pools with the fewest usable lines. The cost is amortized: each change adds one heap entry."""
        tightest, entries = list[Pool](), list[tuple[int, int, Pool]]()
        while self._heap and len(tightest) < limit:
            entry = heapq.heappop(self._heap)
            pool = entry[2]
            if entry[0] == pool.usable_count and self.pools.get(pool.name) is pool and pool not in tightest:
                tightest.append(pool)
                entries.append(entry)
        for entry in entries:
            heapq.heappush(self._heap, entry)
        return tightest

    def candidates(self, pool: Pool, now: int) -> Iterator[Server]:
        """The servers that are ready, warm and open to the pool's product from its zone."""
        return (
            server
            for server in self.servers.values()
            if server.ready and server.warm(now) and open_to(pool.product, server, pool.zone)
        )

    # Implementation.

    def _set_weight(self, pool: Pool, server: Server, weight: float) -> None:
        self.changed_pools[pool] = None
        before = pool.lines.get(server, 0.0)
        if server.ready:
            pool.usable_weight += weight - before
            pool.usable_count += (weight > 0) - (before > 0)
        if weight:
            pool.lines[server] = weight
        else:
            pool.lines.pop(server, None)
            self._set_server_load(pool, server, 0.0)
        self._update_loads(pool)
        self._push_rank(pool)

    def _set_ready(self, server: Server, ready: bool) -> None:
        server.ready = ready
        self.changed_servers.setdefault(server, server.load)
        for pool in [pool for pool in server.load_by_pool if server in pool.lines]:
            self.changed_pools[pool] = None
            weight = pool.lines[server]
            pool.usable_weight += weight if ready else -weight
            pool.usable_count += 1 if ready else -1
            self._update_loads(pool)
            self._push_rank(pool)

    def _update_loads(self, pool: Pool) -> None:
        if pool.usable_count == 0:
            pool.usable_weight = 0.0  # clears accumulated rounding errors
        for server in pool.lines:
            self._set_server_load(pool, server, pool.demand * pool.share(server), keep_entry=True)

    def _set_server_load(self, pool: Pool, server: Server, load: float, keep_entry: bool = False) -> None:
        self.changed_servers.setdefault(server, server.load)
        server.load = max(0.0, server.load + load - server.load_by_pool.get(pool, 0.0))
        if load or keep_entry:
            server.load_by_pool[pool] = load
        else:
            server.load_by_pool.pop(pool, None)

    def _push_rank(self, pool: Pool) -> None:
        heapq.heappush(self._heap, (pool.usable_count, next(self._order), pool))
        if len(self._heap) > 64 + 8 * len(self.pools):  # mostly outdated entries
            self._heap = [(pool.usable_count, next(self._order), pool) for pool in self.pools.values()]
            heapq.heapify(self._heap)


def open_to(product: Product, server: Server, zone: str) -> bool:
    """Whether txns of a product may go to a server from a gateway of that zone."""
    return (
        (not product.models or server.model in product.models)
        and (not product.zones or server.zone in product.zones)
        and (not product.home_only or server.zone == zone)
    )
