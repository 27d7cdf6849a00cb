"""What a manager keeps of each server, proxy and routing table, and its indexes. Decides nothing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from enum import Enum
from itertools import count, islice

from rushladder.interface import Backlog, Product, Proxy, Worker
from rushladder.lines import Lines
from rushladder.ring import Ring

SECOND = 10_000  # tenths of a millisecond
SPLIT_TEAMS = 1_000  # the number of the first split team: beyond those of 12,000 servers in a zone


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
        self.factor, self.pace, self.report_count = factor, 1.0, float(heard)
        self.hint = 1.0  # the factor of its load reports
        self.tries = dict[str, Ring]()  # by zone of the proxies
        self.bad_probes = self.good_probes = 0

    def recent_totals(self, now: int, buckets: int) -> tuple[float, ...]:
        """Tries, voided, settled, the settled ones' time, and how many settle a second."""
        totals = [ring.total(now, buckets) for ring in self.tries.values()]
        many, voided, settled, time = (sum(sums[k] for sums in totals) for k in range(4))
        return many, voided, settled, time, sum(SECOND * sums[2] / sums[4] for sums in totals if sums[4])


class Gateway(Proxy):
    """A joined proxy: its team, its tables, and what came to it."""

    def begin(self, now: int, products: Sequence[Product], keeps: bool, seconds: int) -> None:
        """It joins anew. seconds: of reports that are kept."""
        self.joined_at, self.team, self.tables = now, 0, list[Table]()
        self.keeps = keeps  # what a former manager withdrew at it
        self.cleared_withdrawals = dict[Server, None]()  # whatever that manager had withdrawn
        self.counted = self.usual_rate  # in its team's sum: the proxy may name another rate as it comes again
        self.arrivals = {product: Ring(SECOND, seconds, 2) for product in products}  # many, time covered
        self.rates, self.rated = dict[Product, float](), (-1, 0)  # when they were worked out


class Table:
    """One shared table: the products of like eligibility from the proxies of one team of a zone.

    index, split: which of the zone's servers are the team's own; a split team has that part of a whole one's.
    """

    def __init__(
        self, number: int, zone: str, team: int, products: Sequence[Product], index: int, split: int
    ) -> None:
        self.number, self.zone, self.team, self.products = number, zone, team, products
        self.index, self.split = index, split
        self.gateways, self.gates = dict[Gateway, None](), dict[Product, float]()
        self.want, self.wanted, self.lines = 0.0, dict[Server, float](), dict[Server, float]()

    def binding(self, whole: int) -> float:
        """Lines of a binding to it; levels that are alike are told in one. whole: of a whole team's table, as
        long as this one is not planned."""
        return 1 + (len(self.lines) or whole / self.split) + len(set(self.gates.values()))


class Proxies:
    """The joined proxies, by zone and team, and those not yet bound, in the order of their joining."""

    def __init__(self) -> None:
        self.joined, self.unbound = dict[Gateway, None](), dict[Gateway, None]()
        self._zones = dict[str, dict[Gateway, None]]()
        self._usual_rates = dict[tuple[str, int], float]()
        self._members = Counter[tuple[str, int]]()

    def of_zone(self, zone: str) -> Collection[Gateway]:
        return self._zones.get(zone, ())

    def usual_rate(self, zone: str, team: int) -> float:
        """Of the team's proxies together, a second."""
        return self._usual_rates.get((zone, team), 0.0)

    def unbound_by_team(self) -> Counter[tuple[str, int]]:
        return Counter((gateway.zone, gateway.team) for gateway in self.unbound)

    def members(self, zone: str, team: int) -> int:
        return self._members[zone, team]

    def join(self, gateway: Gateway) -> None:
        self._members[gateway.zone, gateway.team] += 1
        self.joined[gateway] = self.unbound[gateway] = None
        self._zones.setdefault(gateway.zone, {})[gateway] = None
        self._usual_rates[gateway.zone, gateway.team] = (
            self.usual_rate(gateway.zone, gateway.team) + gateway.counted
        )

    def leave(self, gateway: Gateway) -> None:
        self._members[gateway.zone, gateway.team] -= 1
        self._usual_rates[gateway.zone, gateway.team] -= gateway.counted
        self.unbound.pop(gateway, None)
        for holders in (
            self.joined,
            self._zones[gateway.zone],
            *(table.gateways for table in gateway.tables),
        ):
            del holders[gateway]


class Teams:
    """The tables of each team, and the numbers of split teams; a zone's whole teams are numbered from 0."""

    def __init__(self, proxies: Proxies, groups: Sequence[Sequence[Product]]) -> None:
        self._proxies, self._groups = proxies, groups
        self.tables = dict[tuple[str, int], list[Table]]()
        self._open = dict[tuple[str, int], list[int]]()
        self._parts = dict[tuple[str, int], tuple[int, int]]()  # index and split of each split team

    def all_tables(self) -> list[Table]:
        return [table for tables in self.tables.values() for table in tables]

    def make_whole(self) -> None:
        """No table is split any longer: each may grow to a whole team's."""
        for table in self.all_tables():
            table.split = 1

    def add(self, zone: str, team: int) -> None:
        """Makes the team's tables, one for each group of products, unless they are there."""
        if (zone, team) not in self.tables:
            first = len(self.tables) * len(self._groups)
            index, split = self._parts.get((zone, team), (team, 1))
            self.tables[zone, team] = [
                Table(first + place, zone, team, group, index, split)
                for place, group in enumerate(self._groups)
            ]

    def open(self, zone: str, split: int) -> list[int]:
        """The zone's teams of that split to which joiners are dealt, if their tables are still short."""
        teams = self._open.get((zone, split), [])
        tables = [table for team in teams for table in self.tables.get((zone, team), ())]
        return teams if all(table.split == split for table in tables) else []

    def open_new(self, zone: str, split: int, many: int) -> list[int]:
        """So many teams of that split under numbers that no proxy has."""
        taken = {team for (other, _), teams in self._open.items() if other == zone for team in teams}
        free = (
            team for team in count(SPLIT_TEAMS) if team not in taken and not self._proxies.members(zone, team)
        )
        teams = self._open[zone, split] = list(islice(free, many))
        for index, team in enumerate(teams):
            self._parts[zone, team] = index, split
            for table in self.tables.get((zone, team), ()):
                table.index, table.split = index, split
        return teams

    def bindings(self, lines: Lines[Gateway], whole: int) -> float:
        """Lines of all bindings that wait. whole: as for one of them."""
        heads = lines.price(self._proxies.unbound, 0)
        return heads + sum(
            many * sum(table.binding(whole) for table in self.tables.get(key, ()))
            for key, many in self._proxies.unbound_by_team().items()
        )


def backlog(now: int, proxies: Proxies, servers: Collection[Server], lines: Lines[Gateway]) -> Backlog:
    """What a manager with these records still has to order."""
    joiner_waited = next((now - gateway.joined_at for gateway in proxies.unbound), 0)
    not_told = (
        server for server in servers if server.standing is Standing.LEFT and server.told is Standing.SERVING
    )
    withdrawal_waited = max((now - server.left_at for server in not_told), default=0)
    return Backlog(len(proxies.unbound), joiner_waited, withdrawal_waited, round(lines.waiting))
