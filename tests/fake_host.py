"""A fake host for one manager: a virtual clock, the orders given so far, and helpers that send events."""

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
    """Records each order as (name, *arguments); `run` advances the clock, with reports of steady traffic."""

    def __init__(
        self,
        servers: int = 6,
        gateways: int = 4,
        zones: Sequence[str] = ("a", "b"),
        cap: int = 0,
        pending: float = 2000.0,
        products: Sequence[Product] = (ASK, PAY),
        server_zones: Sequence[str] = (),
        gateway_zones: Sequence[str] = (),
        **overrides: Any,
    ) -> None:
        """server_zones, gateway_zones: the zone of each one, in place of a number of them in all zones in
        turn."""
        self.clock, self.answers_marks, self.rate, self.report_span = 1000 * SECOND, True, 10, 1
        self.tries_per_server = 20  # tries a second at each server
        self.orders: list[tuple[Any, ...]] = []
        self._due: list[tuple[int, Event]] = []
        self.slowdown: dict[Server, float] = {}
        self.void_rate: dict[Server, float] = {}
        self.hung: set[Server] = set()
        self.silent: set[Gateway] = set()  # gateways that answer no mark
        self.rates: dict[Gateway, int] = {}
        self.products, self.joined = products, set[Gateway]()
        server_zones = server_zones or [zones[k % len(zones)] for k in range(servers)]
        gateway_zones = gateway_zones or [zones[k % len(zones)] for k in range(gateways)]
        self.servers = [Server(f"s{k}", zone, "m", 0) for k, zone in enumerate(server_zones)]
        self.gateways = [Gateway(f"g{k}", zone, 10.0) for k, zone in enumerate(gateway_zones)]
        settings: dict[str, Any] = {
            "managers": 1,
            "zones": zones,
            "products": products,
            "channel": Channel(1500.0, pending, 3.0, cap, 10 * SECOND, 2000, 5000),
            "guarantee": Guarantee(80_000, 40_000, 150_000, 0.2, 3.0, 20_000, 100_000, False),
            "level_unit": LevelUnit.RATIO,
            "watches_list": False,
            "may_probe": True,
            "may_send_to_peers": False,
            "slices": 0,
        }
        self.manager_args = settings | overrides
        self.manager = Manager(self, 7, **self.manager_args)
        self.send_listing(ListKind.FULL, *self.servers)

    def deliver(self, *events: Event) -> list[tuple[Any, ...]]:
        """Sends one batch of events and returns the orders that it caused."""
        before = len(self.orders)
        for event in events:
            self.manager.handle(event)
        self.manager.end_batch()
        return self.orders[before:]

    def send_listing(
        self, kind: ListKind, *servers: Server, started_at: int = 0, state: Availability = Availability.READY
    ) -> list[tuple[Any, ...]]:
        return self.deliver(Listing(kind, 1, [Entry(server, state, 1.0, started_at) for server in servers]))

    def join(self, *gateways: Gateway) -> list[tuple[Any, ...]]:
        self.joined.update(gateways or self.gateways)
        return self.deliver(*(Joined(gateway, True) for gateway in gateways or self.gateways))

    def leave(self, gateway: Gateway) -> list[tuple[Any, ...]]:
        self.joined.discard(gateway)
        return self.deliver(Left(gateway))

    def run(self, seconds: int) -> list[tuple[Any, ...]]:
        """Advances the clock second by second and returns the orders of that time."""
        before = len(self.orders)
        for _ in range(seconds):
            self.clock += SECOND
            second, span = self.clock // SECOND, self.report_span  # each report comes once in `span` seconds
            events: list[Event] = [
                Arrivals(gateway, product, span * self.rates.get(gateway, self.rate), 0, span * SECOND)
                for index, gateway in enumerate(self.gateways)
                if gateway in self.joined
                for product in self.products
                if (index + second) % span == 0
            ]
            for index, server in enumerate(self.servers):
                count = span * self.tries_at(server)
                voided = count if server in self.hung else round(count * self.void_rate.get(server, 0.0))
                mean = round(1500 * self.slowdown.get(server, 1.0)) if voided < count else 0
                if (index + second) % span == 0:
                    events.append(Tries(server, server.zone, count, voided, span * SECOND, mean))
            self.deliver(*events, *self.due_events())
        return self.orders[before:]

    def tries_at(self, server: Server) -> int:
        """The tries a second at a server, as the collectors report them."""
        return self.tries_per_server

    def due_events(self) -> list[Event]:
        return [event for at, event in self._due if at <= self.clock]

    def orders_named(
        self, name: str, orders: Sequence[tuple[Any, ...]] | None = None
    ) -> Sequence[tuple[Any, ...]]:
        return [order[1:] for order in (self.orders if orders is None else orders) if order[0] == name]

    def table_weights(self, table_number: int) -> dict[Worker, float]:
        """The lines of a table as its proxies hold them."""
        lines = {
            worker: weight
            for number, worker, weight in self.orders_named("set_weight")
            if number == table_number
        }
        return {worker: weight for worker, weight in lines.items() if weight}

    def now(self) -> int:
        return self.clock

    def wake(self, after: int, token: int) -> None:
        self._schedule(after, Reminder(token))

    def probe(self, worker: Worker) -> None:
        result = ProbeResult.TIMED_OUT if worker in self.hung else ProbeResult.OK
        self._schedule(100, Probed(worker, result, 100))

    def checkpoint(self, mark: int, all_proxies: bool) -> None:
        self.orders.append(("checkpoint", mark))
        for gateway in self.gateways if self.answers_marks else []:
            if gateway in self.joined and gateway not in self.silent:
                self._schedule(2000, Applied(gateway, mark, 2000))

    def _schedule(self, after: int, event: Event) -> None:
        self._due = [(at, other) for at, other in self._due if at > self.clock]
        self._due.append((self.clock + after, event))

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: self.orders.append((name, *arguments))
