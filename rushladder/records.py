"""What a manager stores of each server, proxy and routing table, and the indexes over them.

Nothing is decided here. Times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from enum import Enum
from itertools import count, islice

from rushladder.interface import Backlog, Product, Proxy, Worker
from rushladder.lines import PendingLines
from rushladder.ring import Ring

SECOND = 10_000  # tenths of a millisecond
FIRST_SPLIT_TEAM = 1_000  # split teams are numbered from here, beyond the teams of 12,000 servers in a zone


class ServerState(Enum):
    """Whether a server may get txns."""

    UNAVAILABLE = "unavailable"  # it drains or is gone: withdrawn, whatever tables name it
    SERVING = "serving"
    EXCLUDED = "excluded"  # withdrawn because it fails


class Server(Worker):
    """A worker, and what was measured of it."""

    def __init__(self, name: str, zone: str, model: str, cell: int) -> None:
        super().__init__(name, zone, model, cell)
        self.size = 1.0
        self.state = ServerState.UNAVAILABLE
        self.published_state = ServerState.SERVING  # the one that the proxies were last sent
        self.index = 0  # among the servers of its model in its zone
        self.started_at = self.excluded_until = self.exclusion_time = 0
        self.unavailable_since = 0  # when it was learned that it drains or is gone
        self.is_listed = False  # as ready or draining
        # When the manager that listed it had last forgotten a server, which may be this one.
        self.last_forgotten_at = 0
        self.reset_estimates()

    def reset_estimates(self, factor: float = 1.0, report_count: int = 0) -> None:
        """Discards what was measured. The server gets `factor` of its listed weight, which counts as an
        estimate from `report_count` reports."""
        self.factor, self.speed, self.report_count = factor, 1.0, float(report_count)
        self.hint = 1.0  # the factor by its load reports
        self.tries = dict[str, Ring]()  # by zone of the proxies
        self.bad_probes = self.good_probes = 0

    def recent_totals(self, now: int, buckets: int) -> tuple[float, ...]:
        """Tries, voided ones, settled ones, the sum of the settled ones' times, and settled ones a second."""
        totals = [ring.total(now, buckets) for ring in self.tries.values()]
        tries, voided, settled, time = (sum(sums[k] for sums in totals) for k in range(4))
        return tries, voided, settled, time, sum(SECOND * sums[2] / sums[4] for sums in totals if sums[4])


class Gateway(Proxy):
    """A proxy that has joined: its team, its tables, and the txns that came to it."""

    def start_session(
        self, now: int, products: Sequence[Product], keeps_withdrawals: bool, is_new: bool, seconds: int
    ) -> None:
        """Resets everything as the proxy joins.

        keeps_withdrawals: whether they outlast bindings. is_new: whether no manager has bound it before.
        seconds: for how long reports are kept.
        """
        self.joined_at, self.team, self.tables = now, 0, list[Table]()
        self.keeps_withdrawals, self._is_new = keeps_withdrawals, is_new
        self.cleared_withdrawals = dict[Server, None]()  # servers that this manager has let back here
        self.counted_rate = self.usual_rate  # in its team's sum: the proxy may join with another rate later
        self.arrivals = {product: Ring(SECOND, seconds, 2) for product in products}  # count, time covered
        self.rates, self.rates_key = dict[Product, float](), (-1, 0)  # what the rates were computed for

    def may_shut_out(self, server: Server) -> bool:
        """Whether the proxy may have the server withdrawn without the manager's knowledge: by a former
        manager, or by this one, which has forgotten it since."""
        return (
            self.keeps_withdrawals
            and server not in self.cleared_withdrawals
            and (not self._is_new or self.joined_at < server.last_forgotten_at)
        )

    def add_cleared_withdrawals(self, servers: Collection[Server], named: Collection[Server]) -> None:
        """Records servers that were let back here. named: the servers of its tables; others are dropped."""
        cleared = {**self.cleared_withdrawals, **dict.fromkeys(servers)}
        self.cleared_withdrawals = {server: None for server in cleared if server in named}


class Table:
    """One shared table: the products with the same eligibility, for the proxies of one team of a zone.

    index, split: which of the zone's servers are the team's own. A split team has a `split`-th part of those
    of a whole one.
    """

    def __init__(
        self, number: int, zone: str, team: int, products: Sequence[Product], index: int, split: int
    ) -> None:
        self.number, self.zone, self.team, self.products = number, zone, team, products
        self.index, self.split = index, split
        self.gateways, self.levels = dict[Gateway, None](), dict[Product, float]()
        self.demand, self.planned, self.lines = 0.0, dict[Server, float](), dict[Server, float]()
        self.admission = 1.0  # the part of the demand that the planned servers can take

    def binding_cost(self, whole_lines: int) -> float:
        """The lines of a binding to this table. Products with equal levels share a line.

        whole_lines: of a whole team's table, for an estimate while this one is not planned.
        """
        return 1 + (len(self.lines) or whole_lines / self.split) + len(set(self.levels.values()))


class Proxies:
    """The joined proxies, by zone and team, and those not yet bound, in the order in which they joined."""

    def __init__(self) -> None:
        self.joined, self.unbound = dict[Gateway, None](), dict[Gateway, None]()
        self._by_zone = dict[str, dict[Gateway, None]]()
        self._usual_rates = dict[tuple[str, int], float]()
        self._member_counts = Counter[tuple[str, int]]()

    def in_zone(self, zone: str) -> Collection[Gateway]:
        return self._by_zone.get(zone, ())

    def usual_rate(self, zone: str, team: int) -> float:
        """The txns a second that usually come to all of the team's proxies together."""
        return self._usual_rates.get((zone, team), 0.0)

    def unbound_by_team(self) -> Counter[tuple[str, int]]:
        """How many proxies of each zone and team are not yet bound."""
        return Counter((gateway.zone, gateway.team) for gateway in self.unbound)

    def member_count(self, zone: str, team: int) -> int:
        return self._member_counts[zone, team]

    def join(self, gateway: Gateway) -> None:
        self._member_counts[gateway.zone, gateway.team] += 1
        self.joined[gateway] = self.unbound[gateway] = None
        self._by_zone.setdefault(gateway.zone, {})[gateway] = None
        self._usual_rates[gateway.zone, gateway.team] = (
            self.usual_rate(gateway.zone, gateway.team) + gateway.counted_rate
        )

    def leave(self, gateway: Gateway) -> None:
        self._member_counts[gateway.zone, gateway.team] -= 1
        self._usual_rates[gateway.zone, gateway.team] -= gateway.counted_rate
        self.unbound.pop(gateway, None)
        for gateways in (
            self.joined,
            self._by_zone[gateway.zone],
            *(table.gateways for table in gateway.tables),
        ):
            del gateways[gateway]


class Teams:
    """The tables of each team, and the numbers of split teams; a zone's whole teams are numbered from 0."""

    def __init__(self, proxies: Proxies, product_groups: Sequence[Sequence[Product]]) -> None:
        self._proxies, self._product_groups = proxies, product_groups
        self.tables = dict[tuple[str, int], list[Table]]()
        self._open_teams = dict[tuple[str, int], list[int]]()  # by zone and split
        self._index_and_split = dict[tuple[str, int], tuple[int, int]]()  # of each split team

    def all_tables(self) -> list[Table]:
        return [table for tables in self.tables.values() for table in tables]

    def unsplit_tables(self) -> None:
        """Lets every table of a split team grow to a whole team's."""
        for table in self.all_tables():
            table.split = 1

    def ensure_tables(self, zone: str, team: int) -> None:
        """Creates the team's tables, one for each group of products, unless they exist."""
        if (zone, team) not in self.tables:
            first = len(self.tables) * len(self._product_groups)
            index, split = self._index_and_split.get((zone, team), (team, 1))
            self.tables[zone, team] = [
                Table(first + offset, zone, team, group, index, split)
                for offset, group in enumerate(self._product_groups)
            ]

    def open_teams(self, zone: str, split: int) -> list[int]:
        """The zone's teams of that split that joiners are assigned to; none once their tables have grown."""
        teams = self._open_teams.get((zone, split), [])
        tables = [table for team in teams for table in self.tables.get((zone, team), ())]
        return teams if all(table.split == split for table in tables) else []

    def open_new_teams(self, zone: str, split: int, team_count: int) -> list[int]:
        """Opens teams of that split, with numbers that no proxy's team has."""
        used = {team for (other, _), teams in self._open_teams.items() if other == zone for team in teams}
        free = (
            team
            for team in count(FIRST_SPLIT_TEAM)
            if team not in used and not self._proxies.member_count(zone, team)
        )
        teams = self._open_teams[zone, split] = list(islice(free, team_count))
        for index, team in enumerate(teams):
            self._index_and_split[zone, team] = index, split
            for table in self.tables.get((zone, team), ()):
                table.index, table.split = index, split
        return teams

    def binding_cost(self, lines: PendingLines[Gateway], whole_lines: int) -> float:
        """The lines of all bindings that are still to be sent. whole_lines: as for `Table.binding_cost`."""
        overhead = lines.cost(self._proxies.unbound, 0)
        return overhead + sum(
            joiners * sum(table.binding_cost(whole_lines) for table in self.tables.get(key, ()))
            for key, joiners in self._proxies.unbound_by_team().items()
        )


def backlog(now: int, proxies: Proxies, servers: Collection[Server], lines: PendingLines[Gateway]) -> Backlog:
    """What a manager with these records still has to order."""
    joiner_waited = next((now - gateway.joined_at for gateway in proxies.unbound), 0)
    unpublished = (
        server
        for server in servers
        if server.state is ServerState.UNAVAILABLE and server.published_state is ServerState.SERVING
    )
    withdrawal_waited = max((now - server.unavailable_since for server in unpublished), default=0)
    return Backlog(len(proxies.unbound), joiner_waited, withdrawal_waited, round(lines.pending))
