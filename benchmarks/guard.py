"""CPU of judging one weight change and one drain: sums that cost what changed, beside recomputing
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
TEAM = 12  # servers of a table, as the module shares large regions out


def fleet(gateways: int, servers: int) -> tuple[LoadProjection, list[Pool], list[Server]]:
    """A pool for each gateway and product (nothing shared: the dearest case), a team's servers in each."""
    book, random = LoadProjection(), Random(1)
    some = [Server(f"c{k}", "a", "m", 1e6) for k in range(servers)]
    for server in some:
        book.add_server(server)
    pools = list[Pool]()
    for k in range(gateways):
        team = random.sample(some, min(TEAM, servers))
        for product in PRODUCTS:
            pool = Pool(f"g{k}/{product.name}", product, "a", 1, 6.0)
            book.add_pool(pool)
            pools.append(pool)
            for server in team:
                book.set_weight(pool, server, random.uniform(5, 15))
    book.commit()
    return book, pools, some


def recomputed(pools: list[Pool], servers: list[Server]) -> bool:
    """The plain way: every pool's shares and every server's load from nothing, and all looked at."""
    loads = dict.fromkeys(servers, 0.0)
    good = True
    for pool in pools:
        usable = {server: weight for server, weight in pool.lines.items() if server.ready}
        total = sum(usable.values())
        good = good and bool(usable) and max(usable.values()) <= 0.6 * total
        for server, weight in usable.items():
            loads[server] += pool.demand * weight / total
    return good and all(load * 1.25 <= server.limit for server, load in loads.items())


def timed(work: Callable[[int], object], many: int) -> float:
    """Milliseconds of CPU for one."""
    began = time.process_time()
    for turn in range(many):
        work(turn)
    return 1000 * (time.process_time() - began) / many


def main() -> None:
    print(
        "| gateways x collectors | recomputed (ms) | weight change (ms) | ratio | drain, back (ms) | ratio |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for gateways, servers in ((48, 30), (161, 99), (1600, 990)):
        book, pools, some = fleet(gateways, servers)
        guard = Admission(book)
        random = Random(2)
        plain = timed(lambda turn, p=pools, s=some: recomputed(p, s), 3 if gateways > 1000 else 20)  # type: ignore[misc]

        def weigh(
            turn: int, guard: Admission = guard, pools: list[Pool] = pools, random: Random = random
        ) -> None:
            pool = random.choice(pools)
            server = random.choice(list(pool.lines))
            assert not guard.judge(
                [(Line(pool.name, server.name, random.uniform(5, 15)),)], 0, trusted=True
            ).refused

        def drain(
            turn: int, book: LoadProjection = book, some: list[Server] = some, random: Random = random
        ) -> None:
            server = random.choice(some)
            book.set_ready(server, False)
            book.set_ready(server, True)
            book.commit()

        change, closing = timed(weigh, 2000), timed(drain, 300)
        print(
            f"| {gateways} x {servers} | {plain:.2f} | {change:.3f} | {plain / change:.0f} | {closing:.3f} | "
            f"{plain / closing:.0f} |"
        )


if __name__ == "__main__":
    main()
