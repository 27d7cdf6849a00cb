"""CPU time of checking one weight change and of one drain: incrementally updated sums against recomputing
everything."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from rushladder.guard.admission import Admission, Line
from rushladder.guard.projection import LoadProjection, Pool, Server
from rushladder.interface import Idempotency, Product

PRODUCTS = [
    Product(name, 10_000, 30_000, 1.0, 0.1, Idempotency.INQUIRY_LIKE, "all", 0) for name in ("x", "y", "z")
]
SERVERS_PER_TABLE = 12  # as in the module's tables, which divide the servers of large regions


def build_fleet(gateways: int, servers: int) -> tuple[LoadProjection, list[Pool], list[Server]]:
    """Builds a pool per gateway and product, each with its own sample of servers.

    No pools are shared, which is the most expensive case.
    """
    projection, rng = LoadProjection(), Random(1)
    all_servers = [Server(f"c{k}", "a", "m", 1e6) for k in range(servers)]
    for server in all_servers:
        projection.add_server(server)
    pools = list[Pool]()
    for k in range(gateways):
        members = rng.sample(all_servers, min(SERVERS_PER_TABLE, servers))
        for product in PRODUCTS:
            pool = Pool(f"g{k}/{product.name}", product, "a", 1, 6.0)
            projection.add_pool(pool)
            pools.append(pool)
            for server in members:
                projection.set_weight(pool, server, rng.uniform(5, 15))
    projection.commit()
    return projection, pools, all_servers


def recompute(pools: list[Pool], servers: list[Server]) -> bool:
    """The baseline: computes every pool's shares and every server's load anew and checks all limits."""
    loads = dict.fromkeys(servers, 0.0)
    within_limits = True
    for pool in pools:
        usable = {server: weight for server, weight in pool.lines.items() if server.ready}
        total = sum(usable.values())
        within_limits = within_limits and bool(usable) and max(usable.values()) <= 0.6 * total
        for server, weight in usable.items():
            loads[server] += pool.demand * weight / total
    return within_limits and all(load * 1.25 <= server.limit for server, load in loads.items())


def cpu_ms(operation: Callable[[int], object], count: int) -> float:
    """Returns the mean CPU time of one call in milliseconds."""
    started = time.process_time()
    for index in range(count):
        operation(index)
    return 1000 * (time.process_time() - started) / count


def main() -> None:
    print(
        "| gateways x collectors | recomputed (ms) | weight change (ms) | ratio | drain, undo (ms) | ratio |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for gateways, servers in ((48, 30), (161, 99), (1600, 990)):
        projection, pools, all_servers = build_fleet(gateways, servers)
        guard = Admission(projection)
        rng = Random(2)
        baseline = cpu_ms(lambda _, p=pools, s=all_servers: recompute(p, s), 3 if gateways > 1000 else 20)  # type: ignore[misc]

        def change_weight(
            index: int, guard: Admission = guard, pools: list[Pool] = pools, rng: Random = rng
        ) -> None:
            pool = rng.choice(pools)
            server = rng.choice(list(pool.lines))
            assert not guard.judge(
                [(Line(pool.name, server.name, rng.uniform(5, 15)),)], 0, trusted=True
            ).refused

        def drain(
            index: int,
            projection: LoadProjection = projection,
            all_servers: list[Server] = all_servers,
            rng: Random = rng,
        ) -> None:
            server = rng.choice(all_servers)
            projection.set_ready(server, False)
            projection.set_ready(server, True)
            projection.commit()

        change_ms, drain_ms = cpu_ms(change_weight, 2000), cpu_ms(drain, 300)
        print(
            f"| {gateways} x {servers} | {baseline:.2f} | {change_ms:.3f} | {baseline / change_ms:.0f} | "
            f"{drain_ms:.3f} | {baseline / drain_ms:.0f} |"
        )


if __name__ == "__main__":
    main()
