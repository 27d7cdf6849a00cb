"""The one fake host of the stories: a clock, a list of orders, and short ways to tell a manager things."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from rushladder.brain import Manager
from rushladder.interface import (
    Applied,
    Arrivals,
    Availability,
    Channel,
    Entry,
    Event,
    Guarantee,
    Idempotency,
    Joined,
    Left,
    LevelUnit,
    Listing,
    ListKind,
    Probed,
    ProbeResult,
    Product,
    Reminder,
    Tries,
    Worker,
)
from rushladder.records import Gateway, Server

SECOND = 10_000
ASK = Product("ask", 5_000, 20_000, 1.0, 0.1, Idempotency.INQUIRY_LIKE, "all", 50_000)
PAY = Product("pay", 10_000, 30_000, 3.0, 0.1, Idempotency.ONCE_ONLY, "all", 50_000, writes=True)


class FakeHost:
    """Writes down each order as (name, *arguments); `run` lets time pass, with reports of steady traffic."""

    def __init__(
        self,
        servers: int = 6,
        gateways: int = 4,
        zones: Sequence[str] = ("a", "b"),
        cap: int = 0,
        pending: float = 2000.0,
        products: Sequence[Product] = (ASK, PAY),
        **more: Any,
    ) -> None:
        self.clock, self.applies, self.per_second, self.covers = 1000 * SECOND, True, 10, 1
        self.settles = 20  # tries a second that end at each server
        self.orders: list[tuple[Any, ...]] = []
        self._due: list[tuple[int, Event]] = []
        self.slow: dict[Server, float] = {}
        self.void: dict[Server, float] = {}
        self.hung: set[Server] = set()
        self.mute: set[Gateway] = set()  # they answer no mark
        self.busy: dict[Gateway, int] = {}
        self.products, self.joined = products, set[Gateway]()
        self.servers = [Server(f"s{k}", zones[k % len(zones)], "m", 0) for k in range(servers)]
        self.gateways = [Gateway(f"g{k}", zones[k % len(zones)], 10.0) for k in range(gateways)]
        settings: dict[str, Any] = {
            "managers": 1,
            "zones": zones,
            "products": products,
            "channel": Channel(1500.0, pending, 3.0, cap, 10 * SECOND, 2000, 5000),
            "guarantee": Guarantee(80_000, 40_000, 150_000, 0.2, 3.0, 20_000, 100_000, False),
            "level_unit": LevelUnit.RATIO,
            "asks_list": False,
            "may_probe": True,
            "may_tell": False,
            "slices": 0,
        }
        self.manager_args = settings | more
        self.manager = Manager(self, 7, **self.manager_args)
        self.roster(ListKind.FULL, *self.servers)

    def give(self, *events: Event) -> list[tuple[Any, ...]]:
        """Gives one batch and returns the orders that answer it."""
        before = len(self.orders)
        for event in events:
            self.manager.handle(event)
        self.manager.end_batch()
        return self.orders[before:]

    def roster(
        self, kind: ListKind, *servers: Server, started_at: int = 0, state: Availability = Availability.READY
    ) -> list[tuple[Any, ...]]:
        return self.give(Listing(kind, 1, [Entry(server, state, 1.0, started_at) for server in servers]))

    def join(self, *gateways: Gateway) -> list[tuple[Any, ...]]:
        self.joined.update(gateways or self.gateways)
        return self.give(*(Joined(gateway, True) for gateway in gateways or self.gateways))

    def leave(self, gateway: Gateway) -> list[tuple[Any, ...]]:
        self.joined.discard(gateway)
        return self.give(Left(gateway))

    def run(self, seconds: int) -> list[tuple[Any, ...]]:
        before = len(self.orders)
        for _ in range(seconds):
            self.clock += SECOND
            turn, span = self.clock // SECOND, self.covers  # each line comes once in `covers` seconds
            came: list[Event] = [
                Arrivals(gateway, product, span * self.busy.get(gateway, self.per_second), 0, span * SECOND)
                for place, gateway in enumerate(self.gateways)
                if gateway in self.joined
                for product in self.products
                if (place + turn) % span == 0
            ]
            for place, server in enumerate(self.servers):
                many = span * self.settles
                voided = many if server in self.hung else round(many * self.void.get(server, 0.0))
                mean = round(1500 * self.slow.get(server, 1.0)) if voided < many else 0
                if (place + turn) % span == 0:
                    came.append(Tries(server, server.zone, many, voided, span * SECOND, mean))
            self.give(*came, *self.due())
        return self.orders[before:]

    def due(self) -> list[Event]:
        return [event for at, event in self._due if at <= self.clock]

    def named(self, name: str, orders: Sequence[tuple[Any, ...]] | None = None) -> Sequence[tuple[Any, ...]]:
        return [order[1:] for order in (self.orders if orders is None else orders) if order[0] == name]

    def table_weights(self, tbl: int) -> dict[Worker, float]:
        """The table as its proxies hold it."""
        lines = {worker: weight for number, worker, weight in self.named("set_weight") if number == tbl}
        return {worker: weight for worker, weight in lines.items() if weight}

    def now(self) -> int:
        return self.clock

    def wake(self, after: int, token: int) -> None:
        self._later(after, Reminder(token))

    def probe(self, worker: Worker) -> None:
        result = ProbeResult.TIMED_OUT if worker in self.hung else ProbeResult.OK
        self._later(100, Probed(worker, result, 100))

    def checkpoint(self, number: int, everyone: bool) -> None:
        self.orders.append(("checkpoint", number))
        for gateway in self.gateways if self.applies else []:
            if gateway in self.joined and gateway not in self.mute:
                self._later(2000, Applied(gateway, number, 2000))

    def _later(self, after: int, event: Event) -> None:
        self._due = [(at, other) for at, other in self._due if at > self.clock]
        self._due.append((self.clock + after, event))

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: self.orders.append((name, *arguments))
