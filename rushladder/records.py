"""What a manager keeps of each server, proxy and routing table, and its indexes. Decides nothing."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from enum import Enum

from rushladder.interface import Product, Proxy, Worker
from rushladder.ring import Ring

SECOND = 10_000  # tenths of a millisecond
SERVER_BUCKETS, PROXY_BUCKETS = 12, 12  # seconds of reports that are kept


class Standing(Enum):
    """How a server stands with a manager."""

    LEFT = "left"  # it drains or is gone: withdrawn, whatever tables name it
    SERVING = "serving"
    OUT = "out"  # withdrawn as sick


class Server(Worker):
    """A worker, and what was measured of it."""

    def __init__(self, name: str, zone: str, model: str, cell: int) -> None:
        super().__init__(name, zone, model, cell)
        self.size = 1.0
        self.standing = Standing.LEFT
        self.told = Standing.SERVING  # as the proxies were last told
        self.place = 0  # among the servers of its model in its zone
        self.started_at = self.out_until = self.out_for = 0
        self.listed_at = 0  # when it was first listed
        self.left_at = 0  # when it was learned that it drains or is gone
        self.forget()

    def forget(self, factor: float = 1.0, heard: int = 0) -> None:
        """The record starts anew, with a part of the listed weight and so many reports taken as heard."""
        self.factor, self.pace, self.heard = factor, 1.0, float(heard)
        self.hint = 1.0  # the factor of its load reports
        self.tries = dict[str, Ring]()  # by zone of the proxies
        self.bad_probes = self.good_probes = 0

    def seen(self, now: int, buckets: int) -> tuple[float, ...]:
        """Tries, voided, settled, the settled ones' time, and how many settle a second."""
        totals = [ring.total(now, buckets) for ring in self.tries.values()]
        many, voided, settled, time = (sum(sums[k] for sums in totals) for k in range(4))
        return many, voided, settled, time, sum(SECOND * sums[2] / sums[4] for sums in totals if sums[4])


class Gateway(Proxy):
    """A joined proxy: its team, its tables, and what came to it."""

    def begin(self, now: int, products: Sequence[Product], keeps: bool) -> None:
        self.joined_at, self.team, self.tables = now, 0, list[Table]()
        self.keeps = keeps  # what a former manager withdrew at it
        self.let_back = dict[Server, None]()  # whatever that manager had withdrawn
        self.counted = self.usual_rate  # in its team's sum: the proxy may name another rate as it comes again
        self.came = {product: Ring(SECOND, PROXY_BUCKETS, 2) for product in products}  # many, time covered
        self.rates, self.rated = dict[Product, float](), (-1, 0)  # when they were worked out


class Table:
    """One shared table: the products of like eligibility from the proxies of one team of a zone."""

    def __init__(self, number: int, zone: str, team: int, products: Sequence[Product]) -> None:
        self.number, self.zone, self.team, self.products = number, zone, team, products
        self.gateways, self.gates = dict[Gateway, None](), dict[Product, float]()
        self.want, self.wanted, self.lines = 0.0, dict[Server, float](), dict[Server, float]()


class Proxies:
    """The joined proxies, by zone and team, and those not yet bound, in the order of their joining."""

    def __init__(self) -> None:
        self.joined, self.unbound = dict[Gateway, None](), dict[Gateway, None]()
        self._zones = dict[str, dict[Gateway, None]]()
        self._usual_rates = dict[tuple[str, int], float]()

    def of_zone(self, zone: str) -> Collection[Gateway]:
        return self._zones.get(zone, ())

    def usual_rate(self, zone: str, team: int) -> float:
        """Of the team's proxies together, a second."""
        return self._usual_rates.get((zone, team), 0.0)

    def join(self, gateway: Gateway) -> None:
        self.joined[gateway] = self.unbound[gateway] = None
        self._zones.setdefault(gateway.zone, {})[gateway] = None
        self._usual_rates[gateway.zone, gateway.team] = (
            self.usual_rate(gateway.zone, gateway.team) + gateway.counted)

    def leave(self, gateway: Gateway) -> None:
        self._usual_rates[gateway.zone, gateway.team] -= gateway.counted
        self.unbound.pop(gateway, None)
        for holders in (self.joined, self._zones[gateway.zone],
                        *(table.gateways for table in gateway.tables)):
            del holders[gateway]
