"""Decides everything that a rushladder manager orders: tables, levels, withdrawals and probes.

A host (`rushladder.benchlink` in the simulator, the service on the platform) creates one `Manager` per
process, passes each event of a batch to `handle` and calls `end_batch` after the last one. `interface.py`
defines the events and the orders. All times are in tenths of a millisecond.

Comments cite the operators' rules by number:

1. No proxy is without a worker while one is ready and warm.
2. No txn takes effect twice.
3. Drains are kept within the grace.
4. No cold worker gets so much load that it fails.
5. The channel's limit and the message cap are kept.
"""

from __future__ import annotations

import struct
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random
from statistics import fmean, median_high

from rushladder.interface import (
    Applied,
    Arrivals,
    Availability,
    Backlog,
    Channel,
    Event,
    Guarantee,
    Host,
    Joined,
    LearnedState,
    LearnedWorker,
    Left,
    LevelUnit,
    Listing,
    ListKind,
    PeerMessage,
    Probed,
    ProbeResult,
    Product,
    Reminder,
    Retry,
    TableCoverage,
    Tries,
)
from rushladder.lines import PendingLines
from rushladder.records import (
    FIRST_SPLIT_TEAM,
    SECOND,
    Gateway,
    Proxies,
    Server,
    ServerState,
    Table,
    Teams,
    backlog,
)
from rushladder.ring import Ring

SERVERS_PER_TEAM = 12  # of a team that is not split
MIN_LINE_FRACTION = 0.01  # of a table's demand; a smaller line is not worth its connections
KEPT_LINE_FRACTION = 0.5 * MIN_LINE_FRACTION  # of a line that the table has already
SPREAD_LINES = 3 * SERVERS_PER_TEAM  # of a table, at servers that several tables share
SPREAD_OVERLOAD = 0.25  # of a server's limit; more lines rather than that each carries more
SPLIT_TEAM_LINES = 30  # in a table of a split team, divided by the split
ROOM_MARGIN = 0.1  # of even use, which is not known more precisely; this much more stays near
COLD_OVERLOAD = 0.6  # of the multiple of its capacity at which a cold server fails
UNKNOWN_DEMAND = 1e-3  # txns a second, of a table whose demand is not known
NEGLIGIBLE = 1e-6  # of a table's demand: rounding errors of the sums
LARGE_SURPLUS = 0.6  # of the room in other zones
MAX_OVERCOMMIT_ROUNDS = 20  # each doubles the margin
FORGET_AFTER = 60 * SECOND  # from when a server left until it is forgotten
# Signals drive a server's state (SERVER_TRANSITIONS) and the load state (LOAD_TRANSITIONS). LIMITED means
# not overloaded, but with a level still below 1.
ServerSignal = Enum("ServerSignal", "READY STARTED UNAVAILABLE FAILING RECOVERED NEEDED ZONE_REACHABLE")
LoadState = Enum("LoadState", "NORMAL SHEDDING")
LoadSignal = Enum("LoadSignal", "OVERLOADED LIMITED UNLIMITED")


class Outbox:
    """The joined proxies, the lines pending in the channel to them, and when messages may go (rules 3, 5)."""

    def __init__(self, channel: Channel, grace: int) -> None:
        # Lines that still have to be sent to withdraw unavailable servers, and the sum of those and of
        # bindings. Everything else goes after them (rule 3).
        self.withdrawal_lines, self.priority_lines, self.pending_max = 0.0, 0.0, channel.pending_max
        self.proxies, self.lines_per_tenth = Proxies(), channel.lines_per_s / SECOND
        self._max_wait, in_transit = grace - channel.max_delay, channel.usual_delay * self.lines_per_tenth
        # Each message has one line more than the overhead, for its mark.
        self.lines = PendingLines[Gateway](
            channel.message_overhead + 1, self.lines_per_tenth, in_transit, channel.pending_max
        )
        # The capped messages spread evenly over the cap's window, less three that are kept for the proxy's
        # join and for one or two late periods.
        self.period = max(SECOND, channel.cap_window // max(1, (channel.message_cap or 999) - 3))
        self._short_grace, self._capped = grace < self.period + channel.max_delay, channel.message_cap > 0
        # Half of the channel's limit, and no more than lets a withdrawal queued behind it arrive within the
        # grace (rules 5, 3).
        self._soft_limit = in_transit + min(
            0.5 * channel.pending_max,
            self.lines_per_tenth
            * max(0, self._max_wait - (0 if self._short_grace or not self._capped else self.period)),
        )

    def publishes_at_once(self) -> bool:
        """Whether a change of the list is published as it arrives, not with the next period's messages.

        It waits where messages are capped, or where the overhead of a message to every proxy takes more than
        a quarter of what the channel carries in a second (rules 3 and 5). It never waits where the grace is
        shorter than a period and the longest delay.
        """
        overhead = self.lines.cost(self.proxies.joined, 0)
        return self._short_grace or not (self._capped or overhead > 0.25 * SECOND * self.lines_per_tenth)

    def has_room(
        self, gateways: Collection[Gateway], count: float = 1, fraction: float = 1.0, ahead: float = 0.0
    ) -> bool:
        """Whether `count` lines to each gateway may be sent now, behind `ahead` lines that go first.

        fraction: how much of the soft limit they may fill; an empty channel always has room. The channel
        drains as proxies report that they applied their lines.
        """
        pending = self.lines.pending + self.lines.cost(gateways, count) + ahead
        return not self.lines.pending or pending <= min(fraction * self._soft_limit, self.pending_max)

    def must_send_now(self, waited: int, lines: float) -> bool:
        """Whether something that may wait for up to the grace has to be sent now (rule 3).

        It is due once the time waited, one more period, the time to drain the queue and `lines` more, and the
        longest delay add up to the grace. `lines` are all priority lines together: each withdrawal or binding
        alone would still find time to wait.
        """
        return waited + self.period + self.lines.drain_time(lines) >= self._max_wait

    def split_count(self) -> int:
        """In how many parts a team's servers are split for proxies that join now.

        The more of the channel's capacity within the grace the pending joins take, the shorter the tables of
        a reconnect storm (rule 3).
        """
        used = self.lines.drain_time(self.lines.cost(self.proxies.unbound, SERVERS_PER_TEAM)) / max(
            1, self._max_wait
        )
        return 1 + (used > 0.3) + (used > 0.6)

    def remove(self, gateway: Gateway) -> None:
        """Removes a proxy that left, with its pending lines."""
        self.lines.remove(gateway)
        self.proxies.leave(gateway)


class Fleet:
    """The servers: which are in service, by the list and by their health."""

    def __init__(self, host: Host, products: Sequence[Product], guarantee: Guarantee, probes: bool) -> None:
        self._host, self._products, self._may_probe = host, products, probes
        self._cold_time, self._cold_from = guarantee.cold_time, guarantee.cold_from
        self.overload_factor = guarantee.overload_factor
        self.servers, self.congested = dict[Server, None](), True  # congested until reports show otherwise
        self._last_forgotten_at = self._listed_at = 0  # _listed_at: when the last list was told

    def on_listing(self, event: Listing[Server]) -> None:
        """Takes over a list. A server that a full list lacks is unavailable."""
        self._listed_at = self._host.now() - event.waited
        if event.kind is not ListKind.CHANGES:
            named = {entry.worker for entry in event.entries}
            for absent in [server for server in self.servers if server not in named]:
                absent.is_listed = False
                self._transition(absent, ServerSignal.UNAVAILABLE)
        for entry in event.entries:
            if (server := entry.worker) not in self.servers:
                server.index = sum((server.zone, server.model) == (s.zone, s.model) for s in self.servers)
                self.servers[server], server.last_forgotten_at = None, self._last_forgotten_at
            server.is_listed = entry.availability is not Availability.GONE
            restarted, ready = entry.started_at != server.started_at, entry.availability is Availability.READY
            server.size, server.started_at = max(entry.size, 1e-3), entry.started_at
            signal = ServerSignal.STARTED if restarted and self.ramp(server) < 1 else ServerSignal.READY
            self._transition(server, signal if ready else ServerSignal.UNAVAILABLE)
        self._take_back_needed()

    def _take_back_needed(self) -> None:
        """Takes back excluded servers for each product that has no other one in service in a zone (rule 1).

        A server is excluded only while others serve its products. When these leave, it has to do what it can.
        """
        excluded = [server for server in self.servers if server.state is ServerState.EXCLUDED]
        for zone in dict.fromkeys(server.zone for server in excluded):
            for product in self._products:
                if any(product.is_eligible(server, zone) for server in self.in_service()):
                    continue
                eligible = [server for server in excluded if product.is_eligible(server, zone)]
                answering = [server for server in eligible if server.good_probes]
                for server in answering or eligible:
                    self._transition(server, ServerSignal.NEEDED)

    def forget(self, server: Server) -> None:
        """Forgets a server that has left, with its withdrawal.

        The host may keep withdrawals by name for good, so they are undone. Proxies that keep them themselves
        are let back when a server is listed that may be this one (`Gateway.may_shut_out`).
        """
        self._host.set_withdrawn(server, False)
        server.published_state = ServerState.SERVING
        del self.servers[server]
        self._last_forgotten_at = self._host.now()

    def ramp(self, server: Server) -> float:
        """The part of its capacity that a starting server certainly has.

        It follows from the list alone, so that all managers agree on it and keep rule 4 together.
        """
        age = (self._host.now() - server.started_at) / max(1, self._cold_time) if server.started_at else 1.0
        return min(1.0, self._cold_from + (1 - self._cold_from) * max(0.0, age))

    def in_service(self) -> list[Server]:
        """The servers that may get txns."""
        return [server for server in self.servers if server.state is ServerState.SERVING]

    def _transition(self, server: Server, signal: ServerSignal) -> None:
        """Applies SERVER_TRANSITIONS; a signal without an entry for the server's state is ignored."""
        if (server.state, signal) in SERVER_TRANSITIONS:
            server.state, effect = SERVER_TRANSITIONS[server.state, signal]
            effect(self, server)

    def _reset(self, server: Server) -> None:
        server.excluded_until = server.exclusion_time = server.unavailable_since = 0
        server.reset_estimates()

    def _on_unavailable(self, server: Server) -> None:
        unavailable_since = server.unavailable_since or self._listed_at
        self._reset(server)
        server.unavailable_since = unavailable_since

    def _exclude(self, server: Server) -> None:
        # 4 s at first, which is shorter than most faults last. A relapse within 30 s doubles the time, up to
        # 30 s, because each failed trial costs txns.
        previous = server.exclusion_time * (self._host.now() < server.excluded_until + 30 * SECOND)
        server.exclusion_time = min(30 * SECOND, 2 * previous or 4 * SECOND)
        server.excluded_until = self._host.now() + server.exclusion_time
        server.good_probes = 0 if self._may_probe else 2  # without probes, time alone brings it back

    def _start_trial(self, server: Server) -> None:
        # A fifth of the weight is enough to judge the server by. Counting as nine reports, it regains a
        # tenth of the weight per period.
        server.reset_estimates(0.2, 9)

    def check_health(self, demand: Demand) -> None:
        """Excludes failing servers, takes back recovered ones, updates weight factors, sends probes.

        A server is judged by comparison with the others only: where all are slow or fail, none is excluded.
        """
        now = self._host.now()
        for server in self.servers:
            # Two successful probes in a row: one may be luck where a server drops most requests.
            if now >= server.excluded_until and server.good_probes >= 2:
                self._transition(server, ServerSignal.RECOVERED)
            if self._may_probe and server.state is not ServerState.UNAVAILABLE:
                self._host.probe(server)
        totals = {
            server: server.recent_totals(now, 3 + demand.report_cycle()) for server in self.in_service()
        }
        count, voided, settled, time = (sum(sums[k] for sums in totals.values()) for k in range(4))
        # Peers' totals are added: a manager whose proxies use one zone's servers only would not see that all
        # of those are slow.
        demand.own_totals = (settled, time)
        settled, time = map(
            sum, zip((settled, time), *(report[:2] for report in demand.peer_reports()), strict=True)
        )
        self.congested = voided >= 0.25 * count
        for server, (n, v, s, t, _) in totals.items():
            ratio = t / s / (time / settled) if s >= 5 and t else 1.0
            # Failing: mostly voided tries, and quick ones, where the other servers have few. Slow voided
            # tries mean an overloaded server, which only costs it weight. Slow is by the server's own
            # standard, or one that is slow by nature would always count as overloaded.
            fails_tries = (
                v >= 4 and v > 0.35 * n and voided - v < 0.1 * (count - n) and ratio * server.speed < 1.5
            )
            # Under congestion all probes fail: excluding one server after the other would overload the rest.
            fails_probes = server.bad_probes >= 2 and not (
                self.congested or server.recent_totals(now, 1 + demand.report_cycle())[2]
            )
            # Rule 1: the last server for a product of its zone is never excluded.
            if (fails_tries or fails_probes) and all(
                any(product.is_eligible(s, server.zone) for s in self.in_service() if s is not server)
                for product in self._products
                if product.is_eligible(server, server.zone)
            ):
                self._transition(server, ServerSignal.FAILING)
                continue
            # Listed weights are rough, so the speed moves by a tenth per period (faster while reports are
            # few) towards the fleet's latency over the server's own. A cold server's factor stays at 1 at
            # most: quick answers to a few txns are no sign of speed (rule 4).
            server.report_count += s >= 5
            step = max(0.1, 1 / (1 + server.report_count))
            server.speed += step * (min(2.0, 1 / ratio) - server.speed) * (s >= 5)
            target = min(1.6 if self.ramp(server) >= 1 else 1.0, max(0.3, server.speed * server.hint))
            server.factor += max(-step, min(step, target - server.factor))

    def on_tries(self, event: Tries[Server]) -> None:
        """Adds reported tries to the server's sums for the zone of the proxies."""
        settled = event.count - event.voided
        # Whoever receives load reports bounds and weighs the hint; a protocol without reports gives none.
        event.worker.hint = event.load.get("hint", 1.0)
        event.worker.tries.setdefault(event.zone, Ring(SECOND, 12, 5)).add(
            self._host.now(), event.count, event.voided, settled, settled * event.mean_latency, event.span
        )

    def on_learned_state(self, event: LearnedState[Server]) -> None:
        """Restores estimates from before a restart of this manager.

        They count as a number of reports, so that new reports outweigh them. They are not restored to a
        server that is still cold from a new start or has reported since, and no factor exceeds 1: the server
        may have changed (rule 4).
        """
        for learned in event.workers:
            if (
                (server := learned.worker) in self.servers
                and self.ramp(server) >= 1
                and not server.report_count
            ):
                server.speed, server.factor, server.report_count = (
                    learned.speed,
                    min(1.0, learned.factor),
                    learned.report_count,
                )
                server.exclusion_time, server.excluded_until = learned.exclusion_time, learned.excluded_until

    def learned_workers(self) -> list[LearnedWorker[Server]]:
        """The estimates of all servers that have any."""
        return [
            LearnedWorker(s, s.speed, s.factor, s.report_count, s.exclusion_time, s.excluded_until)
            for s in self.servers
            if s.report_count or s.exclusion_time
        ]

    def on_probed(self, event: Probed[Server]) -> None:
        """Counts the successful and the failed probes in a row."""
        server, good = event.worker, event.result is ProbeResult.OK
        if event.result is not ProbeResult.REJECTED:  # too many requests at once say nothing of its health
            server.good_probes = good * (server.good_probes + 1)
            server.bad_probes = (not good) * (server.bad_probes + 1)

    def on_zone_reachable(self, zone: str) -> None:
        """Takes back the excluded servers of a zone of which none serves."""
        home = [server for server in self.servers if server.zone == zone]
        for server in home if all(server.state is not ServerState.SERVING for server in home) else ():
            self._transition(server, ServerSignal.ZONE_REACHABLE)


# (state, signal) -> (next state, effect)
SERVER_TRANSITIONS: dict[
    tuple[ServerState, ServerSignal], tuple[ServerState, Callable[[Fleet, Server], None]]
] = {
    (ServerState.UNAVAILABLE, ServerSignal.READY): (ServerState.SERVING, Fleet._reset),
    (ServerState.SERVING, ServerSignal.FAILING): (ServerState.EXCLUDED, Fleet._exclude),
    (ServerState.EXCLUDED, ServerSignal.RECOVERED): (ServerState.SERVING, Fleet._start_trial),
    (ServerState.EXCLUDED, ServerSignal.NEEDED): (ServerState.SERVING, Fleet._start_trial),
    (ServerState.EXCLUDED, ServerSignal.ZONE_REACHABLE): (ServerState.SERVING, Fleet._reset),
    **{(state, ServerSignal.STARTED): (ServerState.SERVING, Fleet._reset) for state in ServerState},
    **{
        (state, ServerSignal.UNAVAILABLE): (ServerState.UNAVAILABLE, Fleet._on_unavailable)
        for state in ServerState
    },
}


class Demand:
    """The rates of txns that come to this manager's proxies, and to its peers' proxies by their messages."""

    def __init__(self, host: Host, outbox: Outbox, products: Sequence[Product], zones: Sequence[str]) -> None:
        self._host, self._outbox, self._products = host, outbox, products
        self._keys = [(zone, product) for zone in zones for product in products]
        self._message_format = f"<{2 + len(self._keys)}f"
        self._departed: list[tuple[int, list[float]]] = []
        self._peer_reports: dict[int, tuple[int, tuple[float, ...]]] = {}
        # own_totals: settled tries at this manager's servers and their summed latency.
        self._report_span, self.own_totals, self._mix_version = float(SECOND), (0.0, 0.0), 0
        self.smoothed, self.current = dict.fromkeys(products, 0.0), dict.fromkeys(products, 0.0)
        # Each product's part of the demand. Until reports arrive, products tied to models have none, as
        # their servers would be kept idle for it.
        self.mix = {p: (not p.models) / (sum(not q.models for q in products) or 1) for p in products}

    def on_arrivals(self, event: Arrivals[Gateway]) -> None:
        """Adds reported arrivals, and tracks the usual span of reports."""
        if event.proxy in self._outbox.proxies.joined:
            event.proxy.arrivals[event.product].add(self._host.now(), event.count, event.span)
            event.proxy.rates_key = -1, 0
            self._report_span += 0.02 * (event.span - self._report_span)

    def report_cycle(self) -> int:
        """The seconds within which everyone reports once.

        Windows cover at least a cycle: a fixed window could miss some reports and take their part for all.
        """
        return max(1, min(8, round(self._report_span / SECOND)))

    def rates(self, gateway: Gateway) -> dict[Product, float]:
        """Txns a second of each product at this gateway; computed once for each time and mix."""
        now, cycle = self._host.now(), self.report_cycle()
        if gateway.rates_key not in ((now, self._mix_version), (now, -1)):
            # Before a whole window of reports is in, the usual rate counts. Taken for idle, the proxies of a
            # lost manager would decline everything.
            is_new = now < gateway.joined_at + (3 + cycle) * SECOND
            gateway.rates_key = now, self._mix_version if is_new else -1
            # Per time that the reports cover, not per time of the clock: reports come late, merged and out
            # of step.
            sums = {} if is_new else {p: ring.total(now, 2 + cycle) for p, ring in gateway.arrivals.items()}
            gateway.rates = (
                {p: gateway.usual_rate * part for p, part in self.mix.items()}
                if is_new
                else {p: SECOND * count / max(1.0, span) for p, (count, span) in sums.items()}
            )
        return gateway.rates

    def on_left(self, gateway: Gateway) -> None:
        """Remembers the demand of a proxy that leaves."""
        self._departed.append((self._host.now(), [self.rates(gateway)[p] for p in self._products]))

    def update(self) -> None:
        """Smooths the demand of a period as the design specifies: alpha 0.3, and a departed proxy's demand
        counts for 5 s more."""
        self._departed = [entry for entry in self._departed if entry[0] >= self._host.now() - 5 * SECOND]
        own = [self.rates(gateway) for gateway in self._outbox.proxies.joined]
        for index, product in enumerate(self._products):
            current = self.current[product] = sum(rates[product] for rates in own) + sum(
                rates[index] for _, rates in self._departed
            )
            previous = self.smoothed[product] or current
            self.smoothed[product] = previous + 0.3 * (current - previous)
        if total := sum(self.smoothed.values()):
            self.mix = {product: rate / total for product, rate in self.smoothed.items()}
            self._mix_version += 1

    def peer_message(self) -> bytes:
        """What peers are sent each period: the own totals and the own rates by zone and product."""
        return struct.pack(self._message_format, *self.own_totals, *self.own_rates().values())

    def on_peer_message(self, event: PeerMessage) -> None:
        """Stores a peer's message; one of another length is ignored."""
        if len(event.data) == struct.calcsize(self._message_format):
            self._peer_reports[event.peer] = self._host.now(), struct.unpack(self._message_format, event.data)

    def peer_reports(self) -> list[tuple[float, ...]]:
        """The last message of each peer; one whose last three are missing counts as gone."""
        return [report for at, report in self._peer_reports.values() if at > self._host.now() - 3 * SECOND]

    def own_rates(self) -> dict[tuple[str, Product], float]:
        """Txns a second at this manager's proxies, by zone and product."""
        own = {
            zone: [self.rates(gateway) for gateway in self._outbox.proxies.in_zone(zone)]
            for zone, _ in self._keys
        }
        return {(zone, product): sum(rates[product] for rates in own[zone]) for zone, product in self._keys}

    def peer_rates(self) -> dict[tuple[str, Product], float]:
        """Txns a second at all peers' proxies, by zone and product."""
        return {
            key: sum(report[2 + index] for report in self.peer_reports())
            for index, key in enumerate(self._keys)
        }


class Levels:
    """Admission levels under overload: each product's share of a budget of txns, as the design specifies,
    with a lower bound that keeps the budget from spiralling down."""

    def __init__(self, host: Host, outbox: Outbox, fleet: Fleet, demand: Demand) -> None:
        self._host, self._outbox, self._fleet, self._demand, self._usual_rate = (
            host,
            outbox,
            fleet,
            demand,
            0.0,
        )
        # A budget of 0 admits everything.
        self._state, self._shares, self._budget = LoadState.NORMAL, dict[Product, float](), 0.0
        self._joined_since = 0  # when the first of its proxies joined
        # The greatest rate for a unit of capacity that warm servers near the own proxies have settled lately.
        self.proven_use = 0.0
        # The median server's latency, that with its last change added, its average in calm times, its limit;
        # a server's txns in flight in calm times; the best recent rate.
        self._median = self._latency = self.calm_latency = self._limit = self._calm_txns = self._best = 0.0

    def update(self) -> None:
        """Updates the demand and, by LOAD_TRANSITIONS, the budget."""
        self._demand.update()
        self._state, effect = LOAD_TRANSITIONS[self._state, self._assess()]
        effect(self)

    def _assess(self) -> LoadSignal:
        """Detects overload as the design specifies it, but by the median server: a few failing servers are no
        lack of capacity."""
        # The settled rate needs a whole report cycle. For the median, the servers that reported last are as
        # good and fresher.
        now, serving = self._host.now(), self._fleet.in_service()
        cycle_totals = {s: s.recent_totals(now, 1 + self._demand.report_cycle()) for s in serving}
        latest = [sums for server in serving if (sums := server.recent_totals(now, 2))[0] >= 3]
        self._settled_rate = sum(sums[4] for sums in cycle_totals.values() if sums[0] >= 3)
        # As the design specifies, the budget scales with the own proxies: one that comes or goes takes its
        # part along.
        before, self._usual_rate = (
            self._usual_rate,
            sum(gateway.usual_rate for gateway in self._outbox.proxies.joined),
        )
        self._joined_since = self._joined_since if before else now
        scale = self._usual_rate / before if before else 1.0
        self._budget, self._best = scale * self._budget, scale * self._best
        # The best recent rate, fading by 2.5 % per period: own declines and client retries lower the settled
        # rate, but not what the servers can do.
        self._best = max(self._settled_rate, 0.975 * self._best)
        if now < self._joined_since + (2 + self._demand.report_cycle()) * SECOND:
            # Until a cycle of reports is in, at least the usual rate counts. A manager that restarted under
            # load took the first reports for all that the servers could do, and declined nine tenths.
            self._best = max(self._best, self._usual_rate)
        self.proven_use = max(self._settled_use(cycle_totals), 0.975 * self.proven_use)
        void_fraction = median_high([sums[1] / sums[0] for sums in latest] or [0.0])
        previous = self._median
        self._median = median_high([sums[3] / sums[2] for sums in latest if sums[2]] or [0.0])
        # Near the limit the last change is added, because reports come one or two periods late. Well below
        # the limit the change is noise.
        self._latency = self._median + (self._median - previous) * (self._median > 0.75 * self._limit)
        # Twice the average of calm times, but at least 0.35 of the SLA time: below that hardly a txn is late.
        self._limit = max(
            2 * self.calm_latency, 0.35 * sum(p.sla_time * part for p, part in self._demand.mix.items())
        )
        in_flight = fmean([sums[4] * sums[3] / sums[2] for sums in latest if sums[2]] or [0.0])
        if self._state is LoadState.NORMAL and self._latency < self._limit:
            self.calm_latency += (0.05 if self.calm_latency else 1.0) * (self._median - self.calm_latency)
            self._calm_txns = max(in_flight, 0.975 * self._calm_txns)
        # Voided tries alone are no lack of capacity. Neither is latency while servers have no more txns in
        # hand (rate times latency) than in calm times: then the txns themselves are slow, and declining some
        # would not help but spiral down.
        if self._latency > self._limit and (void_fraction > 0.05 or in_flight > self._calm_txns):
            return LoadSignal.OVERLOADED
        return (
            LoadSignal.UNLIMITED
            if all(self.level(product) >= 1 for product in self._shares)
            else LoadSignal.LIMITED
        )

    def _settled_use(self, totals: Mapping[Server, Sequence[float]]) -> float:
        """The rate for a unit of capacity that warm servers settle, in the zones of the own proxies."""
        near = [
            server
            for server in totals
            if self._fleet.ramp(server) >= 1 and self._outbox.proxies.in_zone(server.zone)
        ]
        # One on trial after an exclusion has a small factor, and for some time reports of its former txns.
        capacity = sum(server.size * max(1.0, server.factor) for server in near)
        return sum(totals[server][4] for server in near) / (capacity or 1.0)

    def _remove_limits(self) -> None:
        self._budget = 0.0

    def _shed(self) -> None:
        # With a reserve of a tenth alone a queue would stand for many seconds, so the budget also shrinks by
        # what the latency exceeds its limit. The latency with its last change counts: a queue that already
        # shrinks needs no further cut.
        self._set_budget(0.9 * self._settled_rate * min(1.0, self._limit / max(1e-9, self._latency)))

    def _relax(self) -> None:
        # Grows from the budget in force, because reports of what it admitted come late: by half per period up
        # to the servers' best recent rate less the reserve, then by a twentieth, as the limit must be near.
        growth = 1.5 if self._budget < 0.9 * self._best else 1.05
        self._set_budget(growth * max(self._budget, self._settled_rate))

    def _set_budget(self, budget: float) -> None:
        # Never under 0.65 of the best rate: latency shows queues that may be gone by now.
        self._budget = max(budget, 0.65 * self._best)
        self._shares = {p: max(0.05, part) * self._budget for p, part in self._demand.mix.items()}

    def is_shedding(self) -> bool:
        return self._state is LoadState.SHEDDING

    def level(self, product: Product) -> float:
        """The part of the product's txns that is admitted."""
        demand = self._demand.current[product]
        return min(1.0, self._shares[product] / demand) if self._budget and demand else 1.0


# (state, signal) -> (next state, effect)
LOAD_TRANSITIONS: dict[tuple[LoadState, LoadSignal], tuple[LoadState, Callable[[Levels], None]]] = {
    (LoadState.NORMAL, LoadSignal.OVERLOADED): (LoadState.SHEDDING, Levels._shed),
    (LoadState.NORMAL, LoadSignal.UNLIMITED): (LoadState.NORMAL, Levels._remove_limits),
    (LoadState.SHEDDING, LoadSignal.OVERLOADED): (LoadState.SHEDDING, Levels._shed),
    (LoadState.SHEDDING, LoadSignal.LIMITED): (LoadState.SHEDDING, Levels._relax),
    (LoadState.SHEDDING, LoadSignal.UNLIMITED): (LoadState.NORMAL, Levels._remove_limits),
}


class Allocation:
    """The demand that a plan has placed at each server so far, and the room that is left there.

    Rates are in txns a second. No table gets a line that carries less than `MIN_LINE_FRACTION` of its demand.
    That is decided before anything is placed: taken out afterwards, such lines left their demand to servers
    without room for it, or a table without a line (rule 1).
    """

    def __init__(self, tables: Iterable[Table]) -> None:
        self._load, self._absorbed = defaultdict[Server, float](float), defaultdict[Table, float](float)
        self._limits, self._room = dict[Server, float](), dict[Server, float]()
        self._unplaced = dict[Table, float]()
        for table in tables:
            table.planned, self._unplaced[table] = {}, table.demand

    def set_limits(self, limits: dict[Server, float]) -> None:
        """Sets the rate that each server may get from all tables together; one without a limit gets no more
        than it has."""
        self._limits = limits
        self._room = {s: limit - self._load[s] for s, limit in limits.items() if limit > self._load[s]}

    def room(self, servers: Iterable[Server]) -> float:
        """What these servers may still get together."""
        return sum(self._room.get(server, 0.0) for server in servers)

    def unplaced(self, table: Table) -> float:
        """The part of the table's demand that has no server yet."""
        return self._unplaced[table]

    def is_short(self, table: Table) -> bool:
        """Whether the table lacks more than its lines may get beyond what is placed at them."""
        missing = self._unplaced[table] + self._absorbed[table]
        return missing > (ROOM_MARGIN + NEGLIGIBLE) * table.demand

    def fill(self, table: Table, servers: Collection[Server]) -> None:
        """Places what the table lacks at as few of the servers as have room for it: first those that have a
        line, then those with the most room.

        What the servers with too little room for a line would get goes to the table's lines, up to
        `ROOM_MARGIN` of its demand.
        """
        if self._unplaced[table] <= 0:
            return
        by_preference = sorted(servers, key=lambda s: (s not in table.lines, -self._room.get(s, 0.0)))
        for server in by_preference:
            part = min(self._unplaced[table], self._room.get(server, 0.0))
            if self._is_worth_a_line(table, server, part, len(table.planned)):
                self._place(table, server, part)
        unused = min(self.room(servers), ROOM_MARGIN * table.demand - self._absorbed[table])
        absorbed = max(0.0, min(self._unplaced[table], unused))
        self._absorbed[table] += absorbed
        self._unplaced[table] -= absorbed

    def spread(self, table: Table, servers: Iterable[Server], needed_room: float = inf) -> None:
        """Places what the table lacks at a number of the servers, in proportion to their room.

        needed_room: the room at which they are enough, if they are no fewer than a team has. Servers that
        have a line go first, then those with the least load.
        """
        if self._unplaced[table] <= 0:
            return
        by_preference = sorted(
            (server for server in servers if self._room.get(server, 0.0) > 0),
            key=lambda s: (s not in table.planned, s not in table.lines, -self._room[s] / self._limits[s]),
        )
        candidates, room, stretched = list[Server](), 0.0, 0.0
        for server in by_preference:
            has_room = room >= needed_room and len(candidates) >= SERVERS_PER_TEAM
            if has_room or (len(candidates) >= SPREAD_LINES and stretched >= self._unplaced[table]):
                break
            candidates.append(server)
            room += self._room[server]
            stretched += self._room[server] + SPREAD_OVERLOAD * self._limits[server]
        chosen = self._worth_a_line(table, candidates)
        fraction = min(1.0, self._unplaced[table] / max(1e-9, self.room(chosen)))
        for server in chosen:
            self._place(table, server, fraction * self._room[server])

    def _worth_a_line(self, table: Table, candidates: Collection[Server]) -> list[Server]:
        """Those of the candidates with the most room, as many as get enough each if they share what the table
        lacks."""
        chosen, room, lines = list[Server](), 0.0, len(table.planned)
        for server in sorted(candidates, key=lambda s: (s not in table.planned, -self._room[s])):
            part = min(1.0, self._unplaced[table] / (room + self._room[server])) * self._room[server]
            if not self._is_worth_a_line(table, server, part, lines):
                break
            chosen.append(server)
            room, lines = room + self._room[server], lines + (server not in table.planned)
        return chosen

    def _is_worth_a_line(self, table: Table, server: Server, part: float, lines: int) -> bool:
        """Whether the table, which has so many lines, gets one for this part of its demand. Those of split
        teams are kept short."""
        if server in table.planned:
            return part > 0
        has_place = table.split == 1 or lines < SPLIT_TEAM_LINES // table.split
        least = KEPT_LINE_FRACTION if server in table.lines else MIN_LINE_FRACTION
        return has_place and part >= least * table.demand

    def _place(self, table: Table, server: Server, part: float) -> None:
        table.planned[server] = table.planned.get(server, 0.0) + part
        self._load[server] += part
        self._unplaced[table] -= part
        self._room[server] -= part


class Planner:
    """Decides which servers each table names, and how much of its demand each of them gets."""

    def __init__(
        self,
        outbox: Outbox,
        fleet: Fleet,
        demand: Demand,
        levels: Levels,
        teams: Teams,
        zones: Sequence[str],
    ) -> None:
        self._outbox, self._fleet, self._demand, self._levels = outbox, fleet, demand, levels
        self._teams, self._zones = teams, zones
        self._team_counts = dict[str, int]()

    def team_count(self, zone: str) -> int:
        """In how many teams a zone's proxies and servers are shared out, a dozen servers to each.

        Each line costs every proxy a connection and messages, so a proxy gets its team's servers only.
        Proxies are assigned once, so the number stays until it is off by three quarters, as in a release. The
        teams of a zone without servers share out those of other zones: it has as many as a zone has on
        average, or as it had.
        """
        available = [s for s in self._fleet.servers if s.state is not ServerState.UNAVAILABLE]
        in_zone = sum(server.zone == zone for server in available) / SERVERS_PER_TEAM
        count = self._team_counts.get(zone, 0)
        if not in_zone:
            average = len(available) / len(self._zones) / SERVERS_PER_TEAM
            count = max(1, count, round(average))
        elif not count or abs(in_zone - count) > 0.75:
            count = max(1, round(in_zone))
        self._team_counts[zone] = count
        return count

    def plan(self) -> None:
        """Plans every table's weights, the nearest servers first.

        A team's demand goes to its own servers up to even use of the fleet, the rest to the other servers of
        its zone, then to other zones. What has no room anywhere is shared beyond even use.
        """
        capacity = {s: s.size * s.factor * self._fleet.ramp(s) for s in self._fleet.in_service()}
        team_counts = {zone: self.team_count(zone) for zone in self._zones}
        self._set_demands(team_counts)
        eligible = self._eligible_servers(capacity)
        own, peers = self._demand.own_rates(), self._demand.peer_rates()
        active_zones = {zone for zone, product in own if own[zone, product] + peers[zone, product] > 0}
        known = sum(size for server, size in capacity.items() if server.zone in active_zones) or 1.0
        demand = max(UNKNOWN_DEMAND, sum(own.values()) + sum(peers.values()))
        use = demand / known
        safe_use = self._safe_use(demand, capacity)
        # While shedding, cold servers get less, because overload may become congestion within a period.
        spared = 0.7 if self._levels.is_shedding() else 1.0
        cold = {s: size for s, size in capacity.items() if self._fleet.ramp(s) < 1}
        even = {s: (spared * min(use, safe_use) if s in cold else use) * size for s, size in capacity.items()}
        allocation = Allocation(eligible)
        # Nothing spills to zones without known demand. Under congestion only warm servers get any: proxies
        # avoid full servers, and would all turn to a cold one (rule 4).
        allocation.set_limits(
            {
                s: (1 + ROOM_MARGIN) * rate
                for s, rate in even.items()
                if s.zone in active_zones and self._fleet.ramp(s) >= self._fleet.congested
            }
        )
        self._place_in_zone(allocation, eligible, team_counts)
        self._place_elsewhere(allocation, eligible)
        self._overcommit(allocation, eligible, even)
        cold_limit = (1 + ROOM_MARGIN) * spared * safe_use
        self._set_admission(eligible, {server: cold_limit * size for server, size in cold.items()})
        for table in eligible:
            self._set_scale(table)

    def _safe_use(self, demand: float, servers: Collection[Server]) -> float:
        """The rate for a unit of its present capacity that a cold one of the servers surely stands (rule 4).

        The known demand may be that of one zone, and what that zone has of capacity cold. So it is spread
        over the whole fleet as if that were warm, times what a cold server stands, unless warm servers have
        shown that they can do more.
        """
        warm_capacity = sum(server.size * server.factor for server in servers) or 1.0
        stands = COLD_OVERLOAD * self._fleet.overload_factor
        return max(stands * demand / warm_capacity, self._levels.proven_use)

    def _planned_tables(self) -> list[Table]:
        """The tables of all whole teams, and of the split teams that have proxies."""
        proxies = self._outbox.proxies
        return [
            table
            for table in self._teams.all_tables()
            if table.team < FIRST_SPLIT_TEAM or proxies.member_count(table.zone, table.team)
        ]

    def _set_demands(self, team_counts: Mapping[str, int]) -> None:
        """Sets the demand of each planned table: that of its own proxies, and its part of the peers'."""
        members = {key: list[Gateway]() for key in self._teams.tables}
        for gateway in self._outbox.proxies.joined:
            members[gateway.zone, gateway.team].append(gateway)
        # Whole teams are those of all managers. One beyond the present count has the proxies that joined
        # before the zone lost servers.
        whole_teams = {
            (zone, team)
            for zone, team in members
            if team < FIRST_SPLIT_TEAM and (team < team_counts[zone] or members[zone, team])
        }
        whole_team_counts = Counter(zone for zone, _ in whole_teams)
        peers = self._demand.peer_rates()
        for table in self._planned_tables():
            key = table.zone, table.team
            own_rates = [rates[p] for rates in map(self._demand.rates, members[key]) for p in table.products]
            peer_rate = sum(peers[table.zone, product] for product in table.products)
            peer_demand = peer_rate / whole_team_counts[table.zone] if key in whole_teams else 0.0
            table.demand = max(UNKNOWN_DEMAND, peer_demand + sum(own_rates))

    def _eligible_servers(self, servers: Collection[Server]) -> dict[Table, list[Server]]:
        """Those of the servers that each planned table may name. Tables with the fewest come first, as they
        choose first."""
        eligible = {
            table: [s for s in servers if table.products[0].is_eligible(s, table.zone)]
            for table in self._planned_tables()
        }
        return {table: eligible[table] for table in sorted(eligible, key=lambda table: len(eligible[table]))}

    @staticmethod
    def _place_in_zone(
        allocation: Allocation, eligible: Mapping[Table, list[Server]], team_counts: Mapping[str, int]
    ) -> None:
        """Places demand at the servers of each table's team, then at the others of its zone."""
        home = {table: [s for s in servers if s.zone == table.zone] for table, servers in eligible.items()}
        for table, servers in home.items():
            step = table.split * team_counts[table.zone]
            allocation.spread(table, [s for s in servers if (s.index - table.index) % step == 0])
        for table, servers in home.items():
            if table.planned:
                allocation.fill(table, servers)
            else:
                allocation.spread(table, servers)

    def _place_elsewhere(self, allocation: Allocation, eligible: Mapping[Table, list[Server]]) -> None:
        """Places demand beyond the room of each table's zone at servers of other zones.

        What spills goes to as few servers as have room for it. A large surplus goes to all servers of other
        zones: filled one by one, the few that get it would be the slowest. The tables share them out, as each
        line costs every proxy of its table messages.
        """
        away = {table: [s for s in servers if s.zone != table.zone] for table, servers in eligible.items()}
        # Summed in a fixed order: managers with the same events decide the same, to the last digit.
        free = allocation.room(dict.fromkeys(server for servers in away.values() for server in servers))
        surplus = sum(allocation.unplaced(table) for table, servers in away.items() if servers)
        shares = self._room_shares(allocation, away)
        for table, servers in away.items():
            if not table.planned or surplus > LARGE_SURPLUS * free:
                allocation.spread(table, servers, shares[table])
            else:
                allocation.fill(table, servers)

    def _overcommit(
        self,
        allocation: Allocation,
        eligible: Mapping[Table, list[Server]],
        even: Mapping[Server, float],
    ) -> None:
        """Raises what each server may get until all demand is placed, at warm servers where there are any.

        A table that lacks little is left as it is: its lines get that much more.
        """
        margin = ROOM_MARGIN
        for _ in range(MAX_OVERCOMMIT_ROUNDS):
            servers = {
                table: [s for s in among if self._fleet.ramp(s) >= 1] or among
                for table, among in eligible.items()
                if among and allocation.is_short(table)
            }
            if not servers:
                break
            margin *= 2
            allocation.set_limits({server: (1 + margin) * rate for server, rate in even.items()})
            shares = self._room_shares(allocation, servers)
            for table, among in servers.items():
                allocation.spread(table, among, shares[table])

    @staticmethod
    def _room_shares(
        allocation: Allocation, servers: Mapping[Table, Collection[Server]]
    ) -> dict[Table, float]:
        """The part of the room at its servers that each table may use, by how much it lacks."""
        surplus = sum(map(allocation.unplaced, servers)) or 1.0
        return {t: allocation.unplaced(t) / surplus * allocation.room(servers[t]) for t in servers}

    @staticmethod
    def _set_admission(tables: Iterable[Table], cold_limits: Mapping[Server, float]) -> None:
        """Sets the part of its demand that each table may admit: less than all where every server of its plan
        is cold and would get more than its limit (rule 4).

        cold_limits: the rate that each cold server may get.
        """
        limited, load, other_load = list[Table](), Counter[Server](), Counter[Server]()
        for table in tables:
            table.admission = 1.0
            is_limited = table.demand > UNKNOWN_DEMAND and table.planned.keys() <= cold_limits.keys()
            limited += [table] * is_limited
            (load if is_limited else other_load).update(table.planned)
        for table in limited:
            admitted = [max(0.0, cold_limits[s] - other_load[s]) / load[s] for s in table.planned if load[s]]
            table.admission = min([1.0, *admitted])

    @staticmethod
    def _set_scale(table: Table) -> None:
        """Scales the planned weights to the lines that stay, so that these need no change where others come
        or go; a table without such lines has 100 in all."""
        total = sum(table.planned.values())
        planned = {server: 100 * part / total for server, part in table.planned.items()}
        kept = [(table.lines[s], part) for s, part in planned.items() if s in table.lines]
        scale = sum(line for line, _ in kept) / sum(part for _, part in kept) if kept else 1.0
        table.planned = {server: scale * part for server, part in planned.items()}


@dataclass(frozen=True)
class TableMoves:
    """The lines of one table that a plan changes."""

    table: Table
    changed: Sequence[Server]
    urgency: float  # the part of the soft limit that they may fill; 0: they may wait
    extent: float  # the sum of the moves over that of the weights


class Tables:
    """The shared tables: binds proxies to them, and decides when changes are sent to the proxies."""

    def __init__(
        self,
        host: Host,
        outbox: Outbox,
        fleet: Fleet,
        demand: Demand,
        levels: Levels,
        products: Sequence[Product],
        zones: Sequence[str],
        unit: LevelUnit,
        default_retry: Retry,
    ) -> None:
        self._host, self._outbox, self._fleet, self._demand = host, outbox, fleet, demand
        self._levels, self._unit, self._zones = levels, unit, zones
        # Lines of moves sent beyond half of the channel's pace, and when that was last updated. While there
        # is debt, moves that are not urgent wait.
        self._move_debt, self._move_debt_at = 0.0, 0
        # The level of a table for which none was set. Setting it would cost each joiner lines (rule 3).
        self._default_level = (
            0.0 if default_retry is not Retry.UNSENT else 1e6 if unit is LevelUnit.RATE else 1.0
        )
        self._planned_at = 0
        eligibility = [(product.models, product.zones, product.home_only) for product in products]
        self._teams = Teams(
            outbox.proxies,
            [
                [product for product, other in zip(products, eligibility, strict=True) if other == kind]
                for kind in dict.fromkeys(eligibility)
            ],
        )
        self._tables = self._teams.tables
        self._planner = Planner(outbox, fleet, demand, levels, self._teams, zones)

    def assign_team(self, gateway: Gateway) -> None:
        """Chooses the team of a proxy that joins: the one with the lowest usual rate, in a reconnect storm
        among split teams, whose tables are shorter."""
        zone, split = gateway.zone, self._outbox.split_count()
        teams: Sequence[int] = range(self._planner.team_count(zone))
        if split > 1 and not (teams := self._teams.open_teams(zone, split)):
            teams = self._teams.open_new_teams(zone, split, split * self._planner.team_count(zone))
            self._planned_at = 0  # what their tables hold is out of date
        gateway.team = min(teams, key=lambda team: self._outbox.proxies.usual_rate(zone, team))

    def bind_joined(self, fraction: float = 1.0) -> None:
        """Binds proxies that joined, as the channel drains: a reconnect storm would fill it (rule 5).

        Those that join together are planned for together: a table made for the first of them would fit none.
        """
        unbound, joined_by = self._outbox.proxies.unbound, self._host.now() - SECOND // 32
        joiners = self._outbox.proxies.unbound_by_team()
        if unbound and self._outbox.must_send_now(
            joined_by - next(iter(unbound)).joined_at, self._outbox.priority_lines
        ):
            fraction = 2.0  # up to the channel's limit, less what withdrawals need of it
        withdrawals = self._outbox.withdrawal_lines * (fraction > 1)
        for gateway in [gateway for gateway in unbound if gateway.joined_at <= joined_by]:
            if not self._outbox.has_room([gateway], 1, fraction, withdrawals):
                break  # nor for any other: planning for them would cost time and bind nobody
            key = gateway.zone, gateway.team
            if key not in self._tables or (
                not self._tables[key][0].gateways and self._planned_at < joined_by
            ):
                # Without a recent plan the joiner could be bound to a table without lines (rule 1). Tables
                # that proxies already use stay as they are: written each time that proxies join, they cost
                # their proxies more messages than the cap allows (rule 5).
                self.refresh(False)
            for table in self._tables[key] if joiners[key] else ():
                self._drop_unavailable(table, joiners[key])
            joiners[key] = 0
            cost = sum(table.binding_cost(SERVERS_PER_TEAM) for table in self._tables[key])
            if self._outbox.has_room([gateway], cost, fraction, withdrawals):
                del unbound[gateway]
                gateway.tables = self._tables[key]
                self._outbox.lines.add([gateway], cost)
                for table in gateway.tables:
                    table.gateways[gateway] = None
                    self._host.bind(gateway, table.number, table.products)

    def _drop_unavailable(self, table: Table, joiners: int) -> None:
        """Takes unavailable servers out of a table before proxies are bound to it, where that costs less.

        Such a server costs each joiner two lines. Taking it out costs one line, and the overhead of a
        message, at each gateway that is already bound (rule 3).
        """
        unavailable = [server for server in table.lines if server.state is ServerState.UNAVAILABLE]
        is_cheaper = self._outbox.lines.cost(table.gateways, len(unavailable)) <= 2 * len(
            unavailable
        ) * joiners and self._outbox.has_room(table.gateways, len(unavailable))
        for server in unavailable if is_cheaper and len(unavailable) < len(table.lines) else ():
            del table.lines[server]
            self._host.set_weight(table.number, server, 0.0)
            self._outbox.lines.add(table.gateways)

    def refresh(self, include_bound: bool = True) -> None:
        """Plans all tables and sends what differs.

        include_bound: also withdrawals, and changes of tables that proxies use, which cost messages to them.
        """
        for key in [
            *((zone, team) for zone in self._zones for team in range(self._planner.team_count(zone))),
            *self._outbox.proxies.unbound_by_team(),
        ]:
            self._teams.ensure_tables(*key)
        if include_bound:
            self._publish_withdrawals()
            if not self._outbox.priority_lines and self._outbox.lines.drain_time() < SECOND:
                self._teams.unsplit_tables()  # all joiners are bound: their tables may grow with other moves
        self._planner.plan()
        self._planned_at = self._host.now()
        self._send_changes(include_bound)
        self._forget_departed()

    def _forget_departed(self) -> None:
        """Forgets servers that left the list `FORGET_AFTER` ago, unless a table still names them.

        A server may come back under its name while proxies still have it withdrawn. Kept for good, the names
        would fill memory.
        """
        named = {server for table in self._teams.all_tables() for server in table.lines}
        for server in [
            s
            for s in self._fleet.servers
            if s.state is s.published_state is ServerState.UNAVAILABLE
            and not s.is_listed
            and s.unavailable_since < self._host.now() - FORGET_AFTER
            and s not in named
        ]:
            self._fleet.forget(server)

    def clear_stale_withdrawals(self) -> None:
        """Undoes withdrawals at proxies that this manager does not know of: those of a former manager, and
        its own of servers that it has forgotten.

        It cannot see which those are, so each line of the proxy's tables is cleared once: with messages that
        are sent anyway, as far as there is room, or where the channel has little else to carry. This includes
        lines of servers that it sees for the first time: a server that returns under its id after the
        manager's start looks like a new one.
        """
        lines, outbox = self._outbox.lines, self._outbox
        has_room = outbox.has_room((), 0, 0.7, outbox.priority_lines)
        # One whose withdrawal waits is left as it is: the proxy may have shut it out already.
        in_service = {
            key: {
                s: None
                for table in tables
                for s in table.lines
                if s.state is s.published_state is ServerState.SERVING
            }
            for key, tables in self._tables.items()
        }
        for gateway in [gateway for gateway in outbox.proxies.joined if gateway.tables] if has_room else ():
            named = in_service[gateway.zone, gateway.team]
            servers = [server for server in named if gateway.may_shut_out(server)]
            if not servers:
                continue
            fraction = 0.2
            if lines.cost([gateway]) <= 1:
                # A proxy that may have no worker goes first (rule 1). To others one worker more is as a move.
                certain = named.keys() - servers
                fraction = 0.4 if all(certain & table.lines.keys() for table in gateway.tables) else 0.7
            if outbox.has_room([gateway], len(servers), fraction, outbox.priority_lines):
                self._host.clear_stale_withdrawals(gateway, servers)
                lines.add([gateway], len(servers))
                gateway.add_cleared_withdrawals(servers, named)

    def coverage(self) -> TableCoverage:
        """Which tables that proxies are bound to leave them without a server in service."""
        used = [table for table in self._teams.all_tables() if table.gateways]
        in_service = dict.fromkeys(self._fleet.in_service())
        usable = {s for s in in_service if s.published_state is ServerState.SERVING}
        unserved = [
            table
            for table in used
            if usable.isdisjoint(table.lines)
            and any(table.products[0].is_eligible(s, table.zone) for s in in_service)
        ]
        unplanned = sum(in_service.keys().isdisjoint(table.planned) for table in unserved)
        return TableCoverage(len(used), len(unserved), unplanned)

    def _holders(self, server: Server) -> Collection[Gateway]:
        """The gateways that use a table with a line of this server."""
        return dict.fromkeys(
            gateway
            for table in self._teams.all_tables()
            if server in table.lines
            for gateway in table.gateways
        )

    def _publish_withdrawals(self) -> None:
        """Publishes changes of servers' states, first those of unavailable ones, the earliest first."""
        outbox, servers = self._outbox, self._fleet.servers
        unavailable = sorted(
            (
                s
                for s in servers
                if s.state is ServerState.UNAVAILABLE and s.published_state is ServerState.SERVING
            ),
            key=lambda server: server.unavailable_since,
        )
        outbox.priority_lines, outbox.withdrawal_lines = (
            self._teams.binding_cost(outbox.lines, SERVERS_PER_TEAM),
            0.0,
        )
        if unavailable:
            self._withdraw_unavailable(unavailable)
            outbox.priority_lines += outbox.withdrawal_lines
        changed = [s for s in servers if s.state is not s.published_state and s not in unavailable]
        unserved = self._unserved_tables() if changed else []
        for server in changed:
            # Excluding a failing server waits for room. Taking a server back also waits for the room of its
            # weight's lines (rule 4), unless proxies have no other (rule 1).
            holders = self._holders(server)
            count = 3 if server.state is ServerState.SERVING else 1
            is_needed = any(server in table.lines for table in unserved)
            fraction, ahead = (1.0, 0.0) if is_needed else (0.6, outbox.priority_lines)
            if outbox.has_room(holders, count, fraction, ahead):
                self._publish_state(server, holders)

    def _unserved_tables(self) -> list[Table]:
        """The tables that proxies are bound to and whose servers they have all been told not to use."""
        return [
            table
            for table in self._teams.all_tables()
            if table.gateways and all(s.published_state is not ServerState.SERVING for s in table.lines)
        ]

    def _withdraw_unavailable(self, unavailable: Sequence[Server]) -> None:
        """Withdraws unavailable servers, all together, as most of a message is its overhead.

        A joiner applies withdrawals once it is bound, so bindings go before withdrawals that can wait. What
        would exceed the channel's limit waits until the channel has drained (rule 5).
        """
        outbox, holders = self._outbox, {server: self._holders(server) for server in unavailable}
        union = {gateway: None for gateways in holders.values() for gateway in gateways}
        outbox.withdrawal_lines = outbox.lines.cost(union, 0) + sum(
            len(gateways) for gateways in holders.values()
        )
        if (
            outbox.proxies.unbound
            or outbox.lines.pending + outbox.withdrawal_lines > 0.9 * outbox.pending_max
        ):
            if not outbox.must_send_now(
                self._host.now() - unavailable[0].unavailable_since,
                outbox.priority_lines + outbox.withdrawal_lines,
            ):
                return
            self.bind_joined(1.6)  # first, even beyond the soft limit: after the withdrawals it was too late
            holders = {server: self._holders(server) for server in unavailable}
            outbox.priority_lines = self._teams.binding_cost(outbox.lines, SERVERS_PER_TEAM)
        outbox.withdrawal_lines = 0.0
        for server in unavailable:
            if outbox.lines.fits(holders[server]):
                self._publish_state(server, holders[server])
            else:
                outbox.withdrawal_lines += outbox.lines.cost(holders[server])

    def _publish_state(self, server: Server, holders: Collection[Gateway]) -> None:
        self._host.set_withdrawn(server, server.state is not ServerState.SERVING)
        self._outbox.lines.add(holders)
        server.published_state = server.state

    def _send_changes(self, include_bound: bool) -> None:
        """Sends what the plan changes: levels first, then weights, table by table.

        Weights of cold servers (rule 4) and the greatest moves go first. Moves take half of the channel's
        pace at most: small ones cost more in orders and delay than they gain.
        """
        moves = list[TableMoves]()
        for table in [table for table in self._teams.all_tables() if include_bound or not table.gateways]:
            self._send_levels(table)
            moves.append(self._moves(table))
        self._move_debt = max(
            0.0,
            self._move_debt - 0.5 * self._outbox.lines_per_tenth * (self._host.now() - self._move_debt_at),
        )
        self._move_debt_at, pending = self._host.now(), self._outbox.lines.pending
        for of_table in sorted(moves, key=lambda moves: (moves.urgency, moves.extent), reverse=True):
            self._send_moves(of_table)
            # At most the lines of a second: without this bound the urgent moves of a long release delayed all
            # others by ten more seconds.
            self._move_debt = min(
                self._move_debt + self._outbox.lines.pending - pending, SECOND * self._outbox.lines_per_tenth
            )
            pending = self._outbox.lines.pending

    def _send_levels(self, table: Table) -> None:
        """Sends the levels of a table that have changed by a tenth, as far as there is room."""
        by_level = dict[float, list[Product]]()
        for product in table.products:
            level = self._published_level(table, product)
            before = table.levels.get(product, self._default_level)
            # The last step to full admission is always sent: left out as small, proxies would decline for
            # good.
            if abs(level - before) > 0.1 * before or before < 1 <= level:
                by_level.setdefault(level, []).append(product)
        for level, products in by_level.items():
            # A fifth of the room is kept: levels that changed every period left a table without a line
            # (rule 1). What protects cold servers may use all that the channel has (rule 4).
            fraction = 0.8 if table.admission >= 1 else 2.0
            if not table.gateways or self._outbox.has_room(
                table.gateways, 1, fraction, self._outbox.priority_lines
            ):
                # No try after one that may have run (rule 2). Such retries by proxies that lost their manager
                # would also feed congestion.
                self._host.set_level(table.number, products, level, Retry.UNSENT)
                self._outbox.lines.add(table.gateways)
                table.levels.update(dict.fromkeys(products, level))

    def _moves(self, table: Table) -> TableMoves:
        """The lines of a table that the plan changes by enough, in the order in which they are sent.

        Hysteresis: moves under a tenth, of the line itself or of an even one, are left out. An empty plan
        changes nothing: the last lines stay until there are others (rule 1).
        """
        ramp = self._fleet.ramp
        moves = {
            server: table.planned.get(server, 0.0) - table.lines.get(server, 0.0)
            for server in {**table.lines, **table.planned}
            if table.planned
        }
        total = sum(table.planned.values())
        changed = sorted(
            (
                server
                for server, move in moves.items()
                if (move < 0 and ramp(server) < 1)
                or abs(move) > 0.1 * max(table.lines.get(server, 0.0), total / len(table.planned))
            ),
            key=lambda s: (s.published_state is not ServerState.SERVING, ramp(s), -abs(moves[s])),
        )
        # Urgent: where most of a table was withdrawn, the rest gets everything, which overloads a cold server
        # (rule 4).
        serving = {s: part for s, part in table.lines.items() if s.published_state is ServerState.SERVING}
        has_cold = any(ramp(server) < 1 for server in (*changed, *serving))
        urgency = 0.7 * (has_cold or total > 2 * sum(serving.values())) if serving else 1.0
        extent = sum(abs(moves[server]) for server in changed) / max(1e-9, total)
        return TableMoves(table, changed, urgency, extent)

    def _send_moves(self, moves: TableMoves) -> None:
        """Sends the changed lines of a table, as far as there is room."""
        table, lines = moves.table, self._outbox.lines
        ahead = 0 if moves.urgency else self._outbox.priority_lines
        for server in moves.changed:
            # A new line of the table's zone may use as much room as an urgent one: the levels of a long
            # overload left it none.
            is_new = 0.7 * (server.zone == table.zone and server not in table.lines)
            # Room is kept for joins and for tables without a line (rules 1, 3), then for cold servers
            # (rule 4). Moves that ride along with a message that goes out anyway, such as one with levels,
            # cost no second overhead.
            rides_along = 0.7 * (lines.cost(table.gateways) <= len(table.gateways))
            fraction = max(moves.urgency, is_new, rides_along) or 0.4
            may_move = moves.urgency or is_new or not self._move_debt
            # A line that nobody has yet costs nothing. Left out, joiners that press would be bound to a table
            # without it.
            if not table.gateways or (may_move and self._outbox.has_room(table.gateways, 1, fraction, ahead)):
                table.lines[server] = table.planned.get(server, 0.0)
                self._host.set_weight(table.number, server, round(table.lines[server], 3))
                lines.add(table.gateways)
        table.lines = {server: weight for server, weight in table.lines.items() if weight}

    def _published_level(self, table: Table, product: Product) -> float:
        """A product's level as a ratio, or as the rate for each of the table's proxies."""
        level = min(self._levels.level(product), table.admission)
        if self._unit is not LevelUnit.RATE:
            return round(level, 3)
        # The one rate with which the proxies together admit their share: what idle proxies do not use of it
        # is left to the busy ones.
        rates = sorted(self._demand.rates(gateway)[product] for gateway in table.gateways)
        for cap in rates if level < 1 else ():
            if (admitted := sum(min(rate, cap) for rate in rates)) >= level * sum(rates) > 0:
                return round(max(0.01, cap * level * sum(rates) / admitted), 3)
        return 1e6  # a rate that no proxy reaches: everything is admitted


class Manager:
    """One manager: passes events to its parts, and runs the control loop once a period."""

    PERIOD, RETRY_LIST, BIND = 1, 2, 3  # tokens of its reminders

    def __init__(
        self,
        host: Host,
        seed: int,
        *,
        managers: int,
        zones: Sequence[str],
        may_probe: bool,
        products: Sequence[Product],
        channel: Channel,
        guarantee: Guarantee,
        level_unit: LevelUnit,
        watches_list: bool,
        may_send_to_peers: bool,
        slices: int,
        default_retry: Retry = Retry.NEVER,
    ) -> None:
        self._host, self._random, self._products = host, Random(seed).random, products
        self._sends_to_peers, self._list_retry_within, self._list_failures = (
            may_send_to_peers and managers > 1,
            guarantee.list_retry_within,
            0,
        )
        self._outbox = Outbox(channel, guarantee.drain_grace)
        self._fleet = Fleet(host, products, guarantee, may_probe)
        self._demand = Demand(host, self._outbox, products, zones)
        self._levels = Levels(host, self._outbox, self._fleet, self._demand)
        self._tables = Tables(
            host,
            self._outbox,
            self._fleet,
            self._demand,
            self._levels,
            products,
            zones,
            level_unit,
            default_retry,
        )
        self._handlers: dict[type, Callable[..., None]] = (
            {}
            if slices
            else {
                Listing: self._on_listing,
                Reminder: self._on_reminder,
                Probed: self._fleet.on_probed,
                Left: self._on_left,
                PeerMessage: self._demand.on_peer_message,
                Joined: self._on_joined,
                Applied: self._outbox.lines.on_applied,
                LearnedState: self._on_learned_state,
                Arrivals: self._demand.on_arrivals,
                Tries: self._fleet.on_tries,
            }
        )
        if not slices:  # tables of slices are not supported yet: the manager orders nothing
            # Managers that start together run their periods apart, so that their orders are spread out.
            host.wake(1 + int(self._random() * self._outbox.period), self.PERIOD)
            if watches_list:
                host.watch_list(True)

    def handle(self, event: Event) -> None:
        """Takes one event of a batch; one of a type without a handler is ignored."""
        if handler := self._handlers.get(type(event)):
            handler(event)

    def backlog(self) -> Backlog:
        """What this manager still has to order."""
        return backlog(self._host.now(), self._outbox.proxies, self._fleet.servers, self._outbox.lines)

    def table_coverage(self) -> TableCoverage:
        """Which tables leave their proxies without a server in service. Costs a walk over all tables."""
        return self._tables.coverage()

    def learned_state(self) -> LearnedState[Server]:
        """The estimates that are worth keeping over a restart."""
        return LearnedState(self._fleet.learned_workers(), self._levels.calm_latency, dict(self._demand.mix))

    def _on_learned_state(self, event: LearnedState[Server]) -> None:
        self._fleet.on_learned_state(event)
        self._levels.calm_latency = self._levels.calm_latency or event.calm_latency
        self._demand.mix.update(event.mix)

    def end_batch(self) -> None:
        """Ends a batch of events: binds proxies that joined and marks the messages with a checkpoint."""
        self._tables.bind_joined()
        if mark := self._outbox.lines.end_batch():
            self._host.checkpoint(mark, False)

    def _on_listing(self, event: Listing[Server]) -> None:
        self._list_failures = self._list_failures + 1 if event.kind is ListKind.FAILED else 0
        if self._list_failures:
            # Asked again after a wait that doubles and differs by manager, but within the time that the rules
            # allow (rule 3).
            wait = min(self._list_retry_within // 4, SECOND // 4 << min(self._list_failures, 7))
            return self._host.wake(1 + int(wait * (0.5 + self._random())), self.RETRY_LIST)
        self._fleet.on_listing(event)
        if self._outbox.publishes_at_once():  # else next period: a message for each change would pass the cap
            self._tables.refresh()

    def _on_reminder(self, event: Reminder) -> None:
        if event.token == self.RETRY_LIST:
            self._host.watch_list(True)
        if event.token == self.PERIOD:
            self._host.wake(self._outbox.period, self.PERIOD)  # first: an exception must not end the loop
            self._outbox.lines.on_period()
            self._fleet.check_health(self._demand)
            self._levels.update()
            self._tables.refresh()
            self._tables.clear_stale_withdrawals()
            if self._sends_to_peers:
                self._host.send_to_peer(None, self._demand.peer_message())

    def _on_joined(self, event: Joined[Gateway]) -> None:
        gateway = event.proxy
        self._on_left(Left(gateway))  # it may join again before its lost connection was noticed
        gateway.start_session(
            self._host.now(), self._products, event.keeps_withdrawals, event.initial_table_only, 12
        )
        self._tables.assign_team(gateway)
        self._outbox.proxies.join(gateway)
        # A zone whose servers were excluded because it was cut off serves its own proxies at once.
        self._fleet.on_zone_reachable(gateway.zone)
        self._host.wake(SECOND // 32, self.BIND)  # by then those that join together have joined

    def _on_left(self, event: Left[Gateway]) -> None:
        if event.proxy in self._outbox.proxies.joined:
            self._demand.on_left(event.proxy)
            self._outbox.remove(event.proxy)
