"""Answers the DNS queries of one manager, without I/O: bytes in, bytes out.

Each region has a virtual gateway in the core, which treats it as any other gateway: the module sends it
tables, weights and withdrawals and receives its demand. A virtual gateway applies its messages at once. A
query never calls the core but is answered from the last plan, so answers go on while the manager is busy.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from enum import Enum

import attrs

from rushladder.conf.objects import DnsConfig
from rushladder.core.host import LEVELS_MAP, Core, GatewaySession
from rushladder.dnsfront import codec, cookies
from rushladder.dnsfront.answer_builder import (
    AnswerBuilder,
    PoolQuery,
    RegionMap,
    Selection,
    Target,
    dns_label,
)
from rushladder.dnsfront.messages import Answer, Query, Rcode
from rushladder.dnsfront.rate_limit import RateLimiter, ResponseKind, Verdict, client_prefix
from rushladder.dnsfront.resolver_demand import USAGE_SMOOTHING, Resolver, ResolverTable
from rushladder.dnsfront.server_selection import ServerSelector, Share
from rushladder.dnsfront.ttl_policy import TtlPolicy
from rushladder.dnsfront.zone import Node, NodeKind, Zone
from rushladder.gateways.diff import AdminState, GatewayContent, apply_commands
from rushladder.interface import Arrivals, Availability, Event, Idempotency, Joined, Product
from rushladder.records import Gateway
from rushladder.timing import Clock, DelayedCall, clock_tenths

SECOND = 10_000  # in tenths of a millisecond, the unit of all times here
MAX_SERVERS = 8  # per answer: with the additional address records it stays below 512 bytes
MAX_LOAD_RATIO = 4.0  # factor by which the measured load of one period may differ from the expected one
UNPROVEN_DEMAND_FACTOR = 4.0  # times the usual rate: limits the demand that spoofed queries can simulate
GATEWAY_TXN_WINDOW = 4  # s over which gateways' txns to a server are subtracted from the load it reports


class Outcome(Enum):
    """What became of a query; `show dns` prints a counter for each by its name."""

    ANSWERED = "answered"
    EMPTY = "no such name or type"
    REFUSED = "other zone, class or kind of query"
    NO_PLAN = "no plan yet, or no server open"
    MALFORMED = "malformed"
    SLIPPED = "over its prefix's limit, truncated"
    DROPPED = "over its prefix's limit, dropped"


OUTCOMES = {
    Rcode.NOERROR: Outcome.ANSWERED,
    Rcode.NXDOMAIN: Outcome.EMPTY,
    Rcode.SERVFAIL: Outcome.NO_PLAN,
    Rcode.FORMERR: Outcome.MALFORMED,
}


class Pool:
    """One product in one region: the planned servers, the resolvers, and the selection for answers."""

    def __init__(self, product: Product, by_load: bool, usual_rate: float) -> None:
        self.product = product
        self.selector, self.resolvers = (
            ServerSelector(),
            ResolverTable(by_load, ceiling=UNPROVEN_DEMAND_FACTOR * usual_rate),
        )
        self.targets = dict[str, Target]()
        self.level, self.planned, self.query_count = 1000, False, 0
        self._remainder = 0.0

    def arrivals(self, gateway: Gateway, span: int) -> Arrivals[Gateway]:
        """Returns the whole txns of a span; the fraction of a txn that remains is added to the next one."""
        self._remainder += self.resolvers.demand * span / SECOND
        count = int(self._remainder)
        self._remainder -= count
        return Arrivals(gateway, self.product, count, 0, span)


class VirtualGateway:
    """One region's gateway in the core, which only exists in this process."""

    def __init__(
        self, gateway: Gateway, core: Core, clock: Clock, on_change: Callable[[VirtualGateway], None]
    ) -> None:
        self.gateway, self._core, self._clock, self._on_change = gateway, core, clock, on_change
        self.session: GatewaySession | None = None
        self._pending_call: DelayedCall | None = None

    def join(self) -> Event:
        """Adds the gateway to the core and returns the event that says so."""
        self.session = self._core.add_gateway(self.gateway, GatewayContent({}, {}), capped=False)
        return Joined(self.gateway, True)

    def kick(self) -> None:
        """Schedules the next message, to be applied once the core is done with its batch of events."""
        if self._pending_call is None or not self._pending_call.active():
            self._pending_call = self._clock.callLater(0, self._apply_message)

    def _apply_message(self) -> None:
        session, now = self.session, clock_tenths(self._clock)
        if session is None or session.due(now) is None:
            return
        message = self._core.next_message(now, session)
        apply_commands(session.held.lines, message.commands)
        session.held.maps.update({name: dict(entries) for name, entries in message.maps.items()})
        self._core.message_applied(now, session)
        self._on_change(self)


class DnsResponder:
    """The authoritative server of one manager's zone.

    wall_time: returns seconds since 1970. random: returns a number from 0 up to 1. handle_events: passes a
    batch of events to the core. grace, max_delay: see `TtlPolicy`.
    """

    def __init__(
        self,
        config: DnsConfig,
        manager: str,
        region: str,
        regions: Sequence[str],
        core: Core,
        clock: Clock,
        wall_time: Callable[[], float],
        random: Callable[[], float],
        handle_events: Callable[..., None],
        grace: int,
        max_delay: int,
    ) -> None:
        self.config, self._core, self._clock, self._wall_time, self._handle_events = (
            config,
            core,
            clock,
            wall_time,
            handle_events,
        )
        now = clock_tenths(clock)
        self.ttl_policy, self.rate_limiter = TtlPolicy(grace, max_delay, now, random), RateLimiter()
        self.counts, self._serial, self._started = dict.fromkeys(Outcome, 0), int(wall_time()), now
        self.virtual_gateways = [
            VirtualGateway(
                Gateway(f"dns.{manager}.{name}", name, config.usual_rate / len(regions)),
                core,
                clock,
                self._update_plan,
            )
            for name in regions
        ]
        self.pools = {
            (product.name, virtual.gateway.zone): Pool(
                product, config.split_by_load, virtual.gateway.usual_rate / len(core.products)
            )
            for virtual in self.virtual_gateways
            for product in core.products
        }
        self._zone = Zone(config.apex, [p.name for p in core.products], regions, config.hosts)
        # _dns_load: exponential mean of the txns a second that each server gets from DNS clients.
        self._addresses, self._dns_load = dict[str, str](), dict[str, float]()
        self._answer_builder = AnswerBuilder(
            self._zone,
            RegionMap(config.clients, region),
            config.mailbox,
            self._choose,
            self._pool_status,
            self._addresses,
            lambda: self._serial & 0xFFFFFFFF,
            lambda: self.ttl_policy.normal,
        )
        self._client: tuple[str, bool] = ("", False)  # source address, and whether it is proven

    # The plan.

    def start(self) -> None:
        self._handle_events(*(virtual.join() for virtual in self.virtual_gateways))

    def end_period(self, reported: Mapping[str, float]) -> list[Event]:
        """Ends a control period: corrects the estimates and returns the arrivals as events for the core.

        reported: the txns a second that servers report.
        """
        now, events = clock_tenths(self._clock), list[Event]()
        gateway_load = {
            name: listed.server.recent_totals(now, GATEWAY_TXN_WINDOW)[4]
            for name, listed in self._core.roster.listed.items()
        }
        expected = dict[str, float]()  # over all pools, as servers do not report their load by product
        for pool in self.pools.values():
            for name, load in pool.resolvers.end_period(now).items():
                expected[name] = expected.get(name, 0.0) + load
        self._dns_load = {
            name: self._dns_load.get(name, 0.0)
            + USAGE_SMOOTHING * (max(0.0, rate - gateway_load.get(name, 0.0)) - self._dns_load.get(name, 0.0))
            for name, rate in reported.items()
        }
        ratios = {
            name: min(MAX_LOAD_RATIO, max(1 / MAX_LOAD_RATIO, self._dns_load[name] / load))
            for name, load in expected.items()
            if load > 0 and name in self._dns_load
        }
        for virtual in self.virtual_gateways:
            for product in self._core.products:
                pool = self.pools[product.name, virtual.gateway.zone]
                pool.resolvers.correct(ratios)
                events.append(pool.arrivals(virtual.gateway, SECOND))
            self._update_plan(virtual)
        return events

    def list_changed(self) -> None:
        """Removes servers that left the list from all further answers, before the core orders it."""
        for virtual in self.virtual_gateways:
            self._update_plan(virtual)

    def _update_plan(self, virtual: VirtualGateway) -> None:
        session, listed = virtual.session, self._core.roster.listed
        if session is None:
            return
        for product in self._core.products:
            pool, shares, targets = (
                self.pools[product.name, virtual.gateway.zone],
                dict[str, Share](),
                {},
            )
            for (backend, name), line in session.held.lines.items():
                entry = listed.get(name)
                if (
                    backend != product.name
                    or entry is None
                    or not line.weight
                    or line.admin is not AdminState.READY
                ):
                    continue
                if entry.availability is not Availability.READY:
                    continue
                host, _, port = line.address.rpartition(":")
                shares[name] = Share(float(line.weight), self._core.ramp(entry.server) < 1)
                targets[name] = Target(name, host.strip("[]"), int(port), float(line.weight))
            if targets.keys() != pool.targets.keys():
                self._serial = max(self._serial + 1, int(self._wall_time()))
            pool.targets, pool.planned = targets, pool.planned or bool(targets)
            earlier_expired = self.ttl_policy.earlier_answers_expired(clock_tenths(self._clock))
            demand = pool.resolvers.demand or virtual.gateway.usual_rate / len(self._core.products)
            pool.selector.plan(shares, demand, earlier_expired)
            pool.level = int(float(session.held.maps.get(LEVELS_MAP, {}).get(product.name, "1000")))
        self._addresses.clear()
        for name, listing in listed.items():
            if label := dns_label(name):
                self._addresses[label] = listing.address.rpartition(":")[0].strip("[]")

    # Answers.

    def answer(self, data: bytes, source: str, tcp: bool = False) -> bytes:
        """Returns the answer to send; empty if the query is dropped."""
        try:
            query = codec.parse_query(data)
        except codec.MalformedMessage as malformed:
            self.counts[Outcome.MALFORMED] += 1
            if malformed.reply and not tcp and not self._allow(source, "", ResponseKind.ERROR):
                return b""
            return malformed.reply
        server_cookie, proven = self._server_cookie(query, source)
        answer = self._answer(query, source, tcp or proven)
        if answer is None:
            return b""
        return codec.encode_answer(query, attrs.evolve(answer, server_cookie=server_cookie), tcp)

    def _answer(self, query: Query, source: str, proven: bool) -> Answer | None:
        error = self._answer_builder.check_query(query)
        if error is not None:
            if query.question_count == 0 and query.edns is not None and not query.edns.malformed:
                return Answer(Rcode.NOERROR, authoritative=False)  # the query only asks for a cookie
            self.counts[OUTCOMES.get(error, Outcome.REFUSED)] += 1
            if not proven and not self._allow(source, "", ResponseKind.ERROR):
                return None
            return Answer(error, authoritative=False)
        node = self._answer_builder.find_node(query)
        if not proven:
            verdict = self.rate_limiter.take(
                client_prefix(source), *self._limit_key(node), clock_tenths(self._clock)
            )
            if verdict is Verdict.DROP:
                self.counts[Outcome.DROPPED] += 1
                return None
            if verdict is Verdict.SLIP:
                self.counts[Outcome.SLIPPED] += 1
                return Answer(Rcode.NOERROR, truncated=True)
        self._client = source, proven
        answer = self._answer_builder.answer(query, node, source)
        outcome = OUTCOMES.get(answer.rcode, Outcome.REFUSED)
        empty = outcome is Outcome.ANSWERED and not answer.answers
        self.counts[Outcome.EMPTY if empty else outcome] += 1
        return answer

    @staticmethod
    def _limit_key(node: Node) -> tuple[str, ResponseKind]:
        if node.kind in (NodeKind.NONEXISTENT, NodeKind.OUT_OF_ZONE):
            return "", ResponseKind.ERROR
        if node.kind is NodeKind.EMPTY_NON_TERMINAL:
            return "", ResponseKind.EMPTY
        return f"{node.product}/{node.host}", ResponseKind.ANSWER

    def _allow(self, source: str, name: str, kind: ResponseKind) -> bool:
        verdict = self.rate_limiter.take(client_prefix(source), name, kind, clock_tenths(self._clock))
        if verdict is not Verdict.ANSWER:
            self.counts[Outcome.DROPPED] += 1
        return verdict is Verdict.ANSWER

    def _server_cookie(self, query: Query, source: str) -> tuple[bytes, bool]:
        """Returns the server cookie to send, and whether the client returned a valid one."""
        edns = query.edns
        if edns is None or not edns.client_cookie:
            return b"", False
        now = int(self._wall_time())
        if cookies.is_valid(self.config.secret, edns.client_cookie, edns.server_cookie, source, now):
            if not cookies.needs_renewal(edns.server_cookie, now):
                return edns.server_cookie, True
            return cookies.make_server_cookie(self.config.secret, edns.client_cookie, source, now), True
        return cookies.make_server_cookie(self.config.secret, edns.client_cookie, source, now), False

    def _choose(self, pool_query: PoolQuery, weighted: bool) -> Selection | None:
        """Selects servers for the current client.

        A resolver gets the same answer until it expires, so that frequent queries don't affect other clients.
        """
        now, (source, proven) = clock_tenths(self._clock), self._client
        pool = self.pools[pool_query.product, pool_query.region]
        pool.query_count += 1
        if not pool.targets:
            return None
        resolver = pool.resolvers.record_query(source, now, proven)
        # Rounded up, so that the resolver's caches query again only after the answer has expired.
        ttl = -(-(resolver.expires - now) // SECOND)
        if ttl < 1 or not all(name in pool.targets for name in resolver.servers):
            ttl = self._new_answer(pool, resolver, now, weighted)
        return Selection([pool.targets[name] for name in resolver.servers], ttl)

    def _new_answer(self, pool: Pool, resolver: Resolver, now: int, weighted: bool) -> int:
        """Picks the resolver's next servers, and returns the TTL of the answer."""
        load = pool.resolvers.estimated_load(resolver)
        ttl = self.ttl_policy.ttl(pool.selector.cold, now)
        count = self._server_count(pool, load)
        servers = pool.selector.pick(count, load, ttl, now, resolver.identified(), weighted)
        pool.resolvers.record_answer(resolver, servers, ttl, now)
        return ttl

    def _server_count(self, pool: Pool, load: float) -> int:
        """Returns how many servers an answer names.

        It is one for a product whose txns must not run twice (rule 2), and grows with the resolver's fraction
        of the demand for others.
        """
        if pool.product.idempotency is Idempotency.ONCE_ONLY:
            return 1
        fraction = load / pool.resolvers.demand if pool.resolvers.demand else 0.0
        return max(1, min(MAX_SERVERS, max(self.config.min_servers, round(fraction * len(pool.targets)))))

    def _pool_status(self, product: str, region: str) -> list[str]:
        """Returns the strings of a pool's TXT record; none before there is a plan."""
        pool = self.pools[product, region]
        if not pool.planned:
            return []
        cold = sum(share.cold for share in pool.selector.shares.values())
        return [
            f"servers={len(pool.targets)}",
            f"cold={cold}",
            f"level={pool.level}",
            f"ttl={self.ttl_policy.normal}",
            f"repeat={pool.product.idempotency.value}",
        ]
