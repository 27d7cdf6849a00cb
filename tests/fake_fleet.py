"""A fake host for one manager of a large fleet, which keeps what the proxies hold."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from rushladder.interface import (
    Availability,
    Channel,
    Entry,
    LevelUnit,
    Listing,
    ListKind,
    Product,
    Proxy,
    Retry,
    Worker,
)
from rushladder.records import Gateway, Server
from tests.fake_host import ASK, PAY, SECOND, FakeHost

WIDE_CHANNEL = Channel(8000.0, 12_000.0, 3.0, 12, 10 * SECOND, 2000, 5000)


class Fleet(FakeHost):
    """A large fleet: how many servers and proxies each zone has. Keeps what the proxies hold."""

    def __init__(
        self,
        servers: dict[str, int],
        gateways: dict[str, int],
        size: Callable[[int], float] = lambda index: 1.0,
        products: Sequence[Product] = (ASK, PAY),
        channel: Channel = WIDE_CHANNEL,
        **overrides: Any,
    ) -> None:
        self.tables, self.bound = dict[int, dict[Worker, float]](), dict[Proxy, dict[Product, int]]()
        self.withdrawn, self.rows, self.empty_bindings = set[Worker](), 0, list[Proxy]()
        self.sizes, self.levels = dict[Worker, float](), dict[tuple[int | None, Product], float]()
        super().__init__(
            zones=tuple({**servers, **gateways}),
            server_zones=[zone for zone, count in servers.items() for _ in range(count)],
            gateway_zones=[zone for zone, count in gateways.items() for _ in range(count)],
            products=products,
            channel=channel,
            **overrides,
        )
        self.sizes = {server: size(index) for index, server in enumerate(self.servers)}
        self.list_servers(self.servers, ListKind.FULL)

    def list_servers(
        self,
        servers: Sequence[Server],
        kind: ListKind = ListKind.CHANGES,
        state: Availability = Availability.READY,
        started_at: int = 0,
    ) -> None:
        self.deliver(Listing(kind, 1, [Entry(s, state, self.sizes[s], started_at) for s in servers]))

    def lose(self, zone: str, stay: int = 0) -> None:
        """All servers of the zone but `stay` leave the list."""
        gone = [server for server in self.servers if server.zone == zone][stay:]
        self.list_servers(gone, state=Availability.GONE)

    # Orders.

    def set_weight(self, table: int, server: Worker, weight: float) -> None:
        lines = self.tables.setdefault(table, {})
        lines[server] = weight
        self.tables[table] = {other: kept for other, kept in lines.items() if kept}
        self.rows += sum(table in products.values() for products in self.bound.values())

    def bind(self, proxy: Proxy, table: int, products: Sequence[Product]) -> None:
        self.bound.setdefault(proxy, {}).update(dict.fromkeys(products, table))
        if not self.usable(table):
            self.empty_bindings.append(proxy)

    def set_withdrawn(self, server: Worker, withdrawn: bool) -> None:
        (self.withdrawn.add if withdrawn else self.withdrawn.discard)(server)

    def set_level(
        self, table: int | None, products: Sequence[Product], level: float, retry: Retry = Retry.UNSENT
    ) -> None:
        for product in products or self.products:
            self.levels[table, product] = level

    # What the proxies do with what they hold.

    def admitted_rate(self, proxy: Proxy, table: int, product: Product) -> float:
        """The txns a second of the product that the proxy lets in."""
        assert isinstance(proxy, Gateway)
        rate = self.rates.get(proxy, self.rate)
        level = self.levels.get((table, product))
        if level is None:
            return rate
        return min(rate, level) if self.manager_args["level_unit"] is LevelUnit.RATE else rate * level

    def rates_at_servers(self) -> dict[Worker, float]:
        """The txns a second that the proxies send to each server."""
        rates: dict[Worker, float] = {server: 0.0 for server in self.servers}
        for proxy, tables in self.bound.items():
            for product, table in tables.items():
                lines, sent = self.usable(table), self.admitted_rate(proxy, table, product)
                for server, weight in lines.items():
                    rates[server] += sent * weight / sum(lines.values())
        return rates

    def usable(self, table: int) -> dict[Worker, float]:
        return {s: w for s, w in self.tables.get(table, {}).items() if s not in self.withdrawn}

    def without_a_line(self) -> list[Proxy]:
        return [p for p, tables in self.bound.items() for table in tables.values() if not self.usable(table)]

    def most_lines(self) -> int:
        return max(len(self.usable(table)) for tables in self.bound.values() for table in tables.values())

    def parts_of_even(self) -> dict[Worker, float]:
        """What each listed server gets, over its even part by size of what all get."""
        load = Counter[Worker]()
        for tables in self.bound.values():
            for table in tables.values():
                lines = self.usable(table)
                for server, weight in lines.items():
                    load[server] += weight / sum(lines.values())  # type: ignore[assignment]
        listed = [server for server in self.servers if server.is_listed]
        even = load.total() / sum(self.sizes[server] for server in listed)
        return {server: load[server] / self.sizes[server] / even for server in listed}
