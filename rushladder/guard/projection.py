"""What will hold once everything on its way has arrived, in sums that cost what changed.

A pool is what some gateways use for one product: lines of servers by weight, and the txns a second that
come to it. A server's load is the sum of its parts of all pools. Changing a line costs the lines of its
pool; a server that closes, the lines of the pools that name it; nothing costs the fleet. Every change can
be taken back in the order it came.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from itertools import count

import attrs

from rushladder.interface import Product


@attrs.define(eq=False)
class Server:
    """A server as the guard sees it. Times: tenths of a millisecond; rates: txns a second; 0: none stated.

    limit: what it may be sent by this manager's gateways when warm; connections: open ones it accepts.
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
    parts: dict[Pool, float] = attrs.field(factory=dict, repr=False)

    def warm(self, now: int) -> bool:
        return now >= self.warm_at

    def ramp(self, now: int) -> float:
        """The part of its capacity that it surely has."""
        if self.warm(now):
            return 1.0
        return min(
            1.0, self.cold_from + (1 - self.cold_from) * max(0.0, 1 - (self.warm_at - now) / self.cold_time)
        )


@attrs.define(eq=False)
class Pool:
    """One table of one product: its lines, what comes to it, and how many gateways use it."""

    name: str
    product: Product
    zone: str
    gateways: int = 1
    demand: float = 0.0
    lines: dict[Server, float] = attrs.field(factory=dict, repr=False)
    usable: float = 0.0  # weight of the lines that can be picked
    many: int = 0  # how many those are

    def share(self, server: Server) -> float:
        weight = self.lines.get(server, 0.0)
        return weight / self.usable if server.ready and self.usable > 0 else 0.0

    def parts_now(self) -> dict[str, float]:
        """Txns a second to each server, by name."""
        return {server.name: self.demand * self.share(server) for server in self.lines}


class LoadProjection:
    """All pools and servers, with a journal of what was changed since the last `keep`."""

    def __init__(self) -> None:
        self.servers, self.pools = dict[str, Server](), dict[str, Pool]()
        self._journal = list[Callable[[], None]]()
        self.touched_pools, self.touched_servers = dict[Pool, None](), dict[Server, float]()  # load before
        self._heap, self._order = list[tuple[int, int, Pool]](), count()

    # Who there is. These are facts, not changes to be judged: they are not in the journal.

    def add_server(self, server: Server) -> None:
        self.servers[server.name] = server

    def add_pool(self, pool: Pool) -> None:
        self.pools[pool.name] = pool
        self._rank(pool)

    def drop_pool(self, name: str) -> None:
        pool = self.pools.pop(name, None)
        if pool is not None:
            for server in list(pool.lines):
                self._part(pool, server, 0.0)

    def set_demand(self, pool: Pool, rate: float) -> None:
        """What comes to a pool now. Costs its lines."""
        pool.demand = rate
        self._spread(pool)

    # Changes, each of which can be taken back.

    def set_weight(self, pool: Pool, server: Server, weight: float) -> None:
        """Sets a line; 0 removes it."""
        before = pool.lines.get(server, 0.0)
        if before == weight:
            return
        self._journal.append(lambda: self._weigh(pool, server, before))
        self._weigh(pool, server, weight)

    def set_ready(self, server: Server, ready: bool) -> None:
        """Whether a server can be picked."""
        if server.ready is not ready:
            self._journal.append(lambda: self._open(server, not ready))
            self._open(server, ready)

    def rollback(self) -> None:
        """Takes back everything since the last `keep`, the latest first."""
        while self._journal:
            self._journal.pop()()
        self.touched_pools.clear()
        self.touched_servers.clear()

    def commit(self) -> None:
        self._journal.clear()
        self.touched_pools.clear()
        self.touched_servers.clear()

    # Questions.

    def tightest(self, many: int) -> list[Pool]:
        """The pools with the fewest servers to pick. Amortised: each change leaves one entry behind."""
        found, again = list[Pool](), list[tuple[int, int, Pool]]()
        while self._heap and len(found) < many:
            entry = heapq.heappop(self._heap)
            pool = entry[2]
            if entry[0] == pool.many and self.pools.get(pool.name) is pool and pool not in found:
                found.append(pool)
                again.append(entry)
        for entry in again:
            heapq.heappush(self._heap, entry)
        return found

    def candidates(self, pool: Pool, now: int) -> Iterator[Server]:
        """The servers that are ready, warm and open to the pool's product from its zone."""
        return (
            server
            for server in self.servers.values()
            if server.ready and server.warm(now) and open_to(pool.product, server, pool.zone)
        )

    # How.

    def _weigh(self, pool: Pool, server: Server, weight: float) -> None:
        self.touched_pools[pool] = None
        before = pool.lines.get(server, 0.0)
        if server.ready:
            pool.usable += weight - before
            pool.many += (weight > 0) - (before > 0)
        if weight:
            pool.lines[server] = weight
        else:
            pool.lines.pop(server, None)
            self._part(pool, server, 0.0)
        self._spread(pool)
        self._rank(pool)

    def _open(self, server: Server, ready: bool) -> None:
        server.ready = ready
        self.touched_servers.setdefault(server, server.load)
        for pool in [pool for pool in server.parts if server in pool.lines]:
            self.touched_pools[pool] = None
            weight = pool.lines[server]
            pool.usable += weight if ready else -weight
            pool.many += 1 if ready else -1
            self._spread(pool)
            self._rank(pool)

    def _spread(self, pool: Pool) -> None:
        if pool.many == 0:
            pool.usable = 0.0  # no rounding error of many sums may pass for a line
        for server in pool.lines:
            self._part(pool, server, pool.demand * pool.share(server), keep=True)

    def _part(self, pool: Pool, server: Server, part: float, keep: bool = False) -> None:
        self.touched_servers.setdefault(server, server.load)
        server.load = max(0.0, server.load + part - server.parts.get(pool, 0.0))
        if part or keep:
            server.parts[pool] = part
        else:
            server.parts.pop(pool, None)

    def _rank(self, pool: Pool) -> None:
        heapq.heappush(self._heap, (pool.many, next(self._order), pool))
        if len(self._heap) > 64 + 8 * len(self.pools):  # mostly entries that hold no more
            self._heap = [(one.many, next(self._order), one) for one in self.pools.values()]
            heapq.heapify(self._heap)


def open_to(product: Product, server: Server, zone: str) -> bool:
    """Whether txns of a product may go to a server from a gateway of that zone."""
    return (
        (not product.models or server.model in product.models)
        and (not product.zones or server.zone in product.zones)
        and (not product.home_only or server.zone == zone)
    )
