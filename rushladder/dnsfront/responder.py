"""The DNS front of one manager: a seat in the core for each region, and answers from what the seats hold.

A seat is a gateway that the core steers as any other: the module gives it tables, weights and withdrawals,
and hears of the demand that comes by it. What it should hold, it holds at once. An answer never asks the
core: it comes from the last plan, so it goes on when the manager is busy. Free of I/O: bytes in, bytes out.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from enum import Enum

import attrs

from rushladder.conf.objects import DnsConfig
from rushladder.core.host import LEVELS_MAP, Core, GatewaySession
from rushladder.dnsfront import codec, cookies
from rushladder.dnsfront.answer_builder import AnswerBuilder, PoolQuery, Selection, Regions, Target, label
from rushladder.dnsfront.resolver_demand import FADES, Resolver, ResolverTable
from rushladder.dnsfront.ttl_policy import TtlPolicy
from rushladder.dnsfront.rate_limit import Kind as Limited
from rushladder.dnsfront.rate_limit import RateLimiter, Verdict, prefix
from rushladder.dnsfront.messages import Answer, Question, Rcode
from rushladder.dnsfront.server_selection import Share, ServerSelector
from rushladder.dnsfront.zone import Kind, Place, Zone
from rushladder.gateways.diff import AdminState, GatewayContent, apply_commands
from rushladder.interface import Arrivals, Availability, Event, Idempotency, Joined, Product
from rushladder.records import Gateway
from rushladder.timing import Clock, DelayedCall, clock_tenths

SECOND = 10_000
MOST_NAMED = 8  # servers of an answer: with additional addresses under 512 bytes
MOST_OVER = 4.0  # times, that one period's measure may be over or under what is expected
UNPROVEN = (
    4.0  # times the usual, that askers who proved nothing may seem to bring: spoofing makes no overload
)
FRESH = 4  # seconds over which the gateways' own txns to a server are taken off what it says it gets


class Fate(Enum):
    """What became of a question; each is counted."""

    ANSWERED = "answered"
    EMPTY = "no such name or type"
    REFUSED = "of another zone, class or kind"
    NO_PLAN = "no plan yet, or nobody open"
    MALFORMED = "not readable"
    SLIPPED = "over its prefix's limit, truncated"
    DROPPED = "over its prefix's limit, dropped"


FATES = {
    Rcode.NOERROR: Fate.ANSWERED,
    Rcode.NXDOMAIN: Fate.EMPTY,
    Rcode.SERVFAIL: Fate.NO_PLAN,
    Rcode.FORMERR: Fate.MALFORMED,
}


class Pool:
    """What one product and region get: the plan, who asks, and how answers are split."""

    def __init__(self, product: Product, by_load: bool, usual: float) -> None:
        self.product = product
        self.selector, self.resolvers = ServerSelector(), ResolverTable(by_load, ceiling=UNPROVEN * usual)
        self.targets = dict[str, Target]()
        self.level, self.planned, self.query_count = 1000, False, 0
        self._part = 0.0

    def arrivals(self, seat: Gateway, span: int) -> Arrivals[Gateway]:
        """The txns of a span; what is less than one is kept for the next."""
        self._part += self.resolvers.demand * span / SECOND
        many = int(self._part)
        self._part -= many
        return Arrivals(seat, self.product, many, 0, span)


class VirtualGateway:
    """One region's place among the core's gateways."""

    def __init__(
        self, gateway: Gateway, core: Core, clock: Clock, changed: Callable[[VirtualGateway], None]
    ) -> None:
        self.gateway, self._core, self._clock, self._changed = gateway, core, clock, changed
        self.port: GatewaySession | None = None
        self._later: DelayedCall | None = None

    def begin(self) -> Event:
        self.port = self._core.add_gateway(self.gateway, GatewayContent({}, {}), capped=False)
        return Joined(self.gateway, True)

    def kick(self) -> None:
        """Something is owed: held as soon as the batch that ordered it is over."""
        if self._later is None or not self._later.active():
            self._later = self._clock.callLater(0, self._hold)

    def _hold(self) -> None:
        port, now = self.port, clock_tenths(self._clock)
        if port is None or port.due(now) is None:
            return
        message = self._core.next_message(now, port)
        apply_commands(port.held.lines, message.commands)
        port.held.maps.update({name: dict(entries) for name, entries in message.maps.items()})
        self._core.message_applied(now, port)
        self._changed(self)


class DnsResponder:
    """All of one manager's DNS. `give` hands the core a batch of events."""

    def __init__(
        self,
        site: DnsConfig,
        manager: str,
        region: str,
        regions: Sequence[str],
        core: Core,
        clock: Clock,
        wall: Callable[[], float],
        draw: Callable[[], float],
        give: Callable[..., None],
        grace: int,
        way: int,
    ) -> None:
        self.site, self._core, self._clock, self._wall, self._give = site, core, clock, wall, give
        now = clock_tenths(clock)
        self.ttl_policy, self.rate_limiter = TtlPolicy(grace, way, now, draw), RateLimiter()
        self.counts, self._serial, self._begun = dict.fromkeys(Fate, 0), int(wall()), now
        self.virtual_gateways = [
            VirtualGateway(
                Gateway(f"dns.{manager}.{name}", name, site.usual_rate / len(regions)),
                core,
                clock,
                self._replan,
            )
            for name in regions
        ]
        self.pools = {
            (product.name, seat.gateway.zone): Pool(
                product, site.split_by_load, seat.gateway.usual_rate / len(core.products)
            )
            for seat in self.virtual_gateways
            for product in core.products
        }
        self._zone = Zone(site.apex, [p.name for p in core.products], regions, site.hosts)
        self._addresses, self._met = (
            dict[str, str](),
            dict[str, float](),
        )  # txns a second of DNS clients, faded
        self._answer_builder = AnswerBuilder(
            self._zone,
            Regions(site.clients, region),
            site.mailbox,
            self._choose,
            self._tells,
            self._addresses,
            lambda: self._serial & 0xFFFFFFFF,
            lambda: self.ttl_policy.normal,
        )
        self._asker: tuple[str, bool] = ("", False)

    # The plan.

    def start(self) -> None:
        self._give(*(seat.begin() for seat in self.virtual_gateways))

    def end_period(self, reported: Mapping[str, float]) -> list[Event]:
        """Once a period: estimates are corrected, and the core is told what came. reported: txns a second
        that servers say they get."""
        now, events = clock_tenths(self._clock), list[Event]()
        own = {
            name: listed.server.recent_totals(now, FRESH)[4]
            for name, listed in self._core.roster.listed.items()
        }
        expected = dict[str, float]()  # by all pools: what a server gets is not told by product
        for pool in self.pools.values():
            for name, volume in pool.resolvers.end_period(now).items():
                expected[name] = expected.get(name, 0.0) + volume
        self._met = {
            name: self._met.get(name, 0.0)
            + FADES * (max(0.0, rate - own.get(name, 0.0)) - self._met.get(name, 0.0))
            for name, rate in reported.items()
        }
        ratios = {
            name: min(MOST_OVER, max(1 / MOST_OVER, self._met[name] / volume))
            for name, volume in expected.items()
            if volume > 0 and name in self._met
        }
        for seat in self.virtual_gateways:
            for product in self._core.products:
                pool = self.pools[product.name, seat.gateway.zone]
                pool.resolvers.correct(ratios)
                events.append(pool.arrivals(seat.gateway, SECOND))
            self._replan(seat)
        return events

    def list_changed(self) -> None:
        """The list changed: what left it is in no further answer, whatever the core is still to order."""
        for seat in self.virtual_gateways:
            self._replan(seat)

    def _replan(self, seat: VirtualGateway) -> None:
        port, listed = seat.port, self._core.roster.listed
        if port is None:
            return
        for product in self._core.products:
            pool, shares, targets = self.pools[product.name, seat.gateway.zone], dict[str, Share](), {}
            for (backend, name), line in port.held.lines.items():
                known = listed.get(name)
                if (
                    backend != product.name
                    or known is None
                    or not line.weight
                    or line.admin is not AdminState.READY
                ):
                    continue
                if known.availability is not Availability.READY:
                    continue
                host, _, number = line.address.rpartition(":")
                shares[name] = Share(float(line.weight), self._core.ramp(known.server) < 1)
                targets[name] = Target(name, host.strip("[]"), int(number), float(line.weight))
            if targets.keys() != pool.targets.keys():
                self._serial = max(self._serial + 1, int(self._wall()))
            pool.targets, pool.planned = targets, pool.planned or bool(targets)
            settled = self.ttl_policy.settled(clock_tenths(self._clock))
            demand = pool.resolvers.demand or seat.gateway.usual_rate / len(self._core.products)
            pool.selector.plan(shares, demand, settled)
            pool.level = int(float(port.held.maps.get(LEVELS_MAP, {}).get(product.name, "1000")))
        self._addresses.clear()
        for name, one in listed.items():
            if low := label(name):
                self._addresses[low] = one.address.rpartition(":")[0].strip("[]")

    # Answers.

    def answer(self, data: bytes, source: str, tcp: bool = False) -> bytes:
        """What to send back; nothing for what is dropped."""
        try:
            question = codec.parse_query(data)
        except codec.MalformedMessage as unreadable:
            self.counts[Fate.MALFORMED] += 1
            if unreadable.reply and not tcp and not self._lets(source, "", Limited.ERROR):
                return b""
            return unreadable.reply
        cookie, proven = self._cookie(question, source)
        made = self._answer(question, source, tcp or proven)
        if made is None:
            return b""
        return codec.encode_answer(question, attrs.evolve(made, cookie=cookie), tcp)

    def _answer(self, question: Question, source: str, proven: bool) -> Answer | None:
        bad = self._answer_builder.screen(question)
        if bad is not None:
            if question.many == 0 and question.edns is not None and not question.edns.faulty:
                return Answer(Rcode.NOERROR, authoritative=False)  # a cookie is asked for, nothing else
            self.counts[FATES.get(bad, Fate.REFUSED)] += 1
            if not proven and not self._lets(source, "", Limited.ERROR):
                return None
            return Answer(bad, authoritative=False)
        place = self._answer_builder.place(question)
        if not proven:
            verdict = self.rate_limiter.take(prefix(source), *self._limit(place), clock_tenths(self._clock))
            if verdict is Verdict.DROP:
                self.counts[Fate.DROPPED] += 1
                return None
            if verdict is Verdict.SLIP:
                self.counts[Fate.SLIPPED] += 1
                return Answer(Rcode.NOERROR, truncated=True)
        self._asker = source, proven
        made = self._answer_builder.answer(question, place, source)
        fate = FATES.get(made.rcode, Fate.REFUSED)
        empty = fate is Fate.ANSWERED and not made.answers
        self.counts[Fate.EMPTY if empty else fate] += 1
        return made

    @staticmethod
    def _limit(place: Place) -> tuple[str, Limited]:
        if place.kind in (Kind.NOTHING, Kind.OUTSIDE):
            return "", Limited.ERROR
        if place.kind is Kind.EMPTY:
            return "", Limited.EMPTY
        return f"{place.product}/{place.host}", Limited.ANSWER

    def _lets(self, source: str, name: str, kind: Limited) -> bool:
        verdict = self.rate_limiter.take(prefix(source), name, kind, clock_tenths(self._clock))
        if verdict is not Verdict.ANSWER:
            self.counts[Fate.DROPPED] += 1
        return verdict is Verdict.ANSWER

    def _cookie(self, question: Question, source: str) -> tuple[bytes, bool]:
        """The server cookie to give back, and whether the asker returned one of ours."""
        edns = question.edns
        if edns is None or not edns.cookie:
            return b"", False
        now = int(self._wall())
        if cookies.holds(self.site.secret, edns.cookie, edns.returned, source, now):
            if not cookies.stale(edns.returned, now):
                return edns.returned, True
            return cookies.make(self.site.secret, edns.cookie, source, now), True
        return cookies.make(self.site.secret, edns.cookie, source, now), False

    def _choose(self, asked: PoolQuery, weighed: bool) -> Selection | None:
        """One asker gets one answer until it runs out: asking often changes nothing for anyone."""
        now, (source, proven) = clock_tenths(self._clock), self._asker
        pool = self.pools[asked.product, asked.region]
        pool.query_count += 1
        if not pool.targets:
            return None
        asker = pool.resolvers.record_query(source, now, proven)
        kept = -(-(asker.until - now) // SECOND)  # rounded up: the same caches ask when it has run out
        if kept < 1 or not all(name in pool.targets for name in asker.servers):
            kept = self._anew(pool, asker, now, weighed)
        return Selection([pool.targets[name] for name in asker.servers], kept)

    def _anew(self, pool: Pool, asker: Resolver, now: int, weighed: bool) -> int:
        """The asker's next answer, and its life."""
        volume = pool.resolvers.estimated_load(asker)
        ttl = self.ttl_policy.of(pool.selector.cold, now)
        many = self._many(pool, volume)
        servers = pool.selector.pick(many, volume, ttl, now, asker.known(), weighed)
        pool.resolvers.record_answer(asker, servers, ttl, now)
        return ttl

    def _many(self, pool: Pool, volume: float) -> int:
        """How many servers an answer names: one for a product that must not run twice (rule 2), else more
        to who brings a large part."""
        if pool.product.idempotency is Idempotency.ONCE_ONLY:
            return 1
        part = volume / pool.resolvers.demand if pool.resolvers.demand else 0.0
        return max(1, min(MOST_NAMED, max(self.site.min_servers, round(part * len(pool.targets)))))

    def _tells(self, product: str, region: str) -> list[str]:
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
