"""All decisions of a rushladder manager: tables, levels, withdrawals, probes.

An adapter (`benchlink`; later the manager's network code) makes one `Manager` a process, gives `take` every
event of a batch and calls `close` at its end. Its interface is `interface.py`.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable, Collection, Sequence
from enum import Enum
from random import Random
from statistics import fmean, median_high

from rushladder.interface import (
    Applied, Arrivals, Availability, Channel, Event, Guarantee, Host, Joined, Left, LevelUnit, Listing,
    ListKind, PeerWord, Probed, ProbeResult, Product, Proxy, Reminder, Retry, Tries, Worker,
)
from rushladder.ring import Ring

SECOND = 10_000
# LEFT: drains or is gone, withdrawn whatever tables name it; OUT: withdrawn as sick.
Standing = Enum("Standing", "LEFT SERVING OUT")
Sign = Enum("Sign", "LISTED STARTED LEAVING SICK SOUND REACHED")
Load = Enum("Load", "CALM SHED")
Heat = Enum("Heat", "HOT MILD COOL")


class Server(Worker):
    """A worker with what this manager has seen of it."""

    def __init__(self, name: str, zone: str, model: str, cell: int) -> None:
        super().__init__(name, zone, model, cell)
        self.size, self.standing = 1.0, Standing.LEFT
        self.started_at = self.out_until = self.out_for = 0
        self.forget(1.0, 0)

    def forget(self, factor: float, heard: int) -> None:
        """Its record starts anew, with a part of its listed weight and so many reports taken as heard."""
        self.factor, self.pace, self.heard = factor, 1.0, heard
        self.tries: dict[str, Ring] = {}  # by zone of the proxies
        self.bad_probes = self.good_probes = 0

    def seen(self, now: int, buckets: int) -> tuple[float, ...]:
        """Tries, voided, settled, the settled ones' time, and how many settle a second."""
        totals = [ring.total(now, buckets) for ring in self.tries.values()]
        many, voided, settled, time = (sum(sums[k] for sums in totals) for k in range(4))
        return many, voided, settled, time, sum(SECOND * sums[2] / sums[4] for sums in totals if sums[4])

    def may_run(self, product: Product, zone: str) -> bool:
        return (self.model in (product.models or {self.model}) and self.zone in (product.zones or {self.zone})
                and (self.zone == zone or not product.home_only))


class Gateway(Proxy):
    """A proxy with what this manager sent it and heard of it."""

    def begin(self, now: int, products: Sequence[Product]) -> None:
        self.joined_at = now
        self.unapplied: deque[tuple[int, float]] = deque()
        self.came = {product: Ring(SECOND, 6, 2) for product in products}  # many, time covered


class Outbox:
    """Counts the lines that wait in the channel, and sets the pace of messages, for rule 5."""

    def __init__(self, host: Host, channel: Channel) -> None:
        self._host, self._channel, self._mark = host, channel, 0
        self.gateways: dict[Gateway, None] = {}
        self._lines: dict[Gateway, float] = {}
        self._lags = Ring(SECOND, 6, 2)
        # No closer than the cap's even pace, less three for its join and a late beat or two.
        self.beat = max(SECOND, channel.cap_span // max(1, (channel.message_cap or 999) - 3))

    def joined(self, zone: str) -> list[Gateway]:
        return [gateway for gateway in self.gateways if gateway.zone == zone]

    def line(self, gateways: Collection[Gateway], count: float = 1) -> None:
        self._lines.update({gateway: self._lines.get(gateway, 0.0) + count for gateway in gateways})

    def has_room(self, zone: str, count: float) -> bool:
        """Whether `count` lines to each there may be sent. Lines drain when a proxy says it applied them."""
        waiting = sum(lines for gateway in self.gateways for _, lines in gateway.unapplied)
        waiting += len(self.joined(zone)) * (count + self._channel.head + 1) + sum(self._lines.values())
        # Half the limit: what can't be put off fits twice, and so finds room even on a slow channel (rule 5).
        return waiting <= 0.5 * self._channel.pending_max

    def close(self) -> None:
        """Marks each message of the batch, so that its lines are known to have drained."""
        sent = [gateway for gateway in self._lines if gateway in self.gateways]
        if sent:
            self._mark = (self._mark + 1) % 65536
            self._host.checkpoint(self._mark, False)
        for gateway in sent:
            gateway.unapplied.append((self._mark, self._lines[gateway] + self._channel.head + 1))
        self._lines.clear()

    def stalled(self) -> float:
        """By how much orders take effect late on average, past the usual way and a quarter."""
        many, time = self._lags.total(self._host.now(), 4)
        return max(0.0, time / max(1.0, many) - 1.25 * self._channel.usual_way)

    def applied(self, event: Applied[Gateway]) -> None:
        self._lags.add(self._host.now(), 1, event.elapsed)
        waiting = event.proxy.unapplied
        while event.number in (mark for mark, _ in waiting):
            waiting.popleft()


class Fleet:
    """The servers: what the list says of them, and which of them are sick."""

    def __init__(self, host: Host, outbox: Outbox, products: Sequence[Product], guarantee: Guarantee,
                 may_probe: bool) -> None:
        self._host, self._outbox, self._products, self._may_probe = host, outbox, products, may_probe
        self._cold_time, self._cold_from = guarantee.cold_time, guarantee.cold_from
        self.servers, self.jammed = dict[Server, None](), True  # until reports tell
        self._holds = dict[Server, bool]()  # withdrawals and releases still to be told

    def listing(self, event: Listing[Server]) -> None:
        if event.kind is not ListKind.CHANGES:
            named = {entry.worker for entry in event.entries}
            for absent in [server for server in self.servers if server not in named]:
                self._turn(absent, Sign.LEAVING)
        for entry in event.entries:
            self.servers[server := entry.worker] = None
            if entry.availability is Availability.READY:
                restarted = entry.started_at != server.started_at
                server.size, server.started_at = max(entry.size, 1e-3), entry.started_at
                self._turn(server, Sign.STARTED if restarted and self.ramp(server) < 1 else Sign.LISTED)
            else:
                self._turn(server, Sign.LEAVING)

    def ramp(self, server: Server) -> float:
        """What a starting server surely has: from the list alone, so that managers together keep rule 4."""
        age = (self._host.now() - server.started_at) / max(1, self._cold_time) if server.started_at else 1.0
        return min(1.0, self._cold_from + (1 - self._cold_from) * max(0.0, age))

    def in_service(self) -> list[Server]:
        return [server for server in self.servers if server.standing is Standing.SERVING]

    def capacity(self) -> dict[Server, float]:
        return {server: server.size * server.factor * self.ramp(server) for server in self.in_service()}

    def _turn(self, server: Server, sign: Sign) -> None:  # STANDINGS: state, input, next state, effect
        if (server.standing, sign) in STANDINGS:
            server.standing, effect = STANDINGS[server.standing, sign]
            effect(self, server)
            self._holds[server] = server.standing is not Standing.SERVING

    def tell(self) -> None:
        while self._holds:
            self._host.hold_back(*self._holds.popitem())
            self._outbox.line(self._outbox.gateways)

    def _reset(self, server: Server) -> None:
        server.out_until = server.out_for = 0
        server.forget(1.0, 0)

    def _exclude(self, server: Server) -> None:
        # 4 s at first, shorter than most troubles last; doubled at a relapse, as failed trials cost txns.
        again = server.out_for * (self._host.now() < server.out_until + 30 * SECOND)
        server.out_for = min(30 * SECOND, 2 * again or 4 * SECOND)
        server.out_until = self._host.now() + server.out_for
        server.good_probes = 0 if self._may_probe else 2  # without probes, time alone brings it back

    def _try_out(self, server: Server) -> None:
        server.forget(0.2, 9)  # a trial: weight enough to judge it by, and regained by a tenth a period

    def judge(self, demand: Demand) -> None:
        """Health, by comparison only: where all are slow or void, none is sick. Sends the next probes too."""
        now = self._host.now()
        for server in self.servers:
            # Two answers in a row: one may be luck where a server drops most of what it gets.
            if now >= server.out_until and server.good_probes >= 2:
                self._turn(server, Sign.SOUND)
        serving = self.in_service()
        # Four seconds of reports: some 30 tries a server, so that a mean is good to about a seventh.
        seen = {server: server.seen(now, 4) for server in serving}
        many, voided, settled, time = (sum(sums[k] for sums in seen.values()) for k in range(4))
        # A manager whose proxies use one zone's servers would not see that all of those are slow.
        demand.heard_of = (settled, time)
        settled, time = map(sum, zip((settled, time), *(told[:2] for told in demand.told()), strict=True))
        self.jammed = voided >= 0.25 * many
        # Probes blame a server while half its zone answers, or a whole zone, cut off, while another does.
        # In a jam they fail everywhere: blaming one after the other would push over the rest.
        listed = [server for server in self.servers if server.standing is not Standing.LEFT]
        for server in listed if self._may_probe else ():
            self._host.probe(server)
        good = {zone: fmean(not s.bad_probes for s in listed if s.zone == zone)
                for zone in dict.fromkeys(s.zone for s in listed)}
        blamed = [zone for zone in good if good[zone] >= 0.5 or (not good[zone] and max(good.values()) > 0.7)]
        for server, (n, v, s, t, _) in seen.items():
            ratio = t / s / (time / settled) if s >= 5 and t else 1.0
            # Mostly quick voids where the others have few: sick. Slow voids mean too full, and cost weight.
            by_tries = v >= 4 and v > 0.35 * n and voided - v < 0.1 * (many - n) and ratio < 1.5
            # No answer to probes nor to txns: under load probes wait in the queue, but txns still settle.
            by_probes = server.bad_probes >= 2 and server.zone in blamed and not server.seen(now, 2)[2]
            if (by_tries or by_probes) and all(any(  # rule 1: never the last one for a product of its zone
                    other is not server and other.may_run(product, server.zone)
                    for other in self.in_service()) for product in self._products
                    if server.may_run(product, server.zone)):
                self._turn(server, Sign.SICK)
                continue
            # The companion: a tenth of weight lost a period while above the table's latency, and restored. As
            # listed weights are rough, the aim is the table's latency over the server's, smoothed over 10 s.
            if s >= 5:
                server.heard += 1
                server.pace += max(0.1, 1 / (1 + server.heard)) * (min(2.0, 1 / ratio) - server.pace)
            # While cold, quick answers to a few txns are no sign of speed (rule 4).
            aim = min(1.6 if self.ramp(server) >= 1 else 1.0, max(0.3, server.pace))
            step = max(0.1, 1 / (1 + server.heard))
            server.factor += max(-step, min(step, aim - server.factor))

    def tries(self, event: Tries[Server]) -> None:
        settled = event.many - event.voided
        event.worker.tries.setdefault(event.zone, Ring(SECOND, 6, 5)).add(
            self._host.now(), event.many, event.voided, settled, settled * event.mean, event.covers)

    def probed(self, event: Probed[Server]) -> None:
        server = event.worker
        if event.result is ProbeResult.OK:
            server.good_probes, server.bad_probes = server.good_probes + 1, 0
        elif event.result is not ProbeResult.TURNED_AWAY:  # too many at once says nothing of its health
            server.good_probes, server.bad_probes = 0, server.bad_probes + 1

    def joined(self, gateway: Gateway) -> None:
        """A proxy that joins from a zone withdrawn as cut off can use its servers at once; and as standing
        tables still name servers that left, each joiner must be told again (rule 3)."""
        cut = gateway.zone not in [server.zone for server in self.in_service()]
        for server in self.servers:
            if cut and server.zone == gateway.zone:
                self._turn(server, Sign.REACHED)
            if cut or server.standing is not Standing.SERVING:
                self._host.hold_back(server, server.standing is not Standing.SERVING)
                self._outbox.line([gateway])


STANDINGS: dict[tuple[Standing, Sign], tuple[Standing, Callable[[Fleet, Server], None]]] = {
    (Standing.LEFT, Sign.LISTED): (Standing.SERVING, Fleet._reset),
    (Standing.SERVING, Sign.SICK): (Standing.OUT, Fleet._exclude),
    (Standing.OUT, Sign.SOUND): (Standing.SERVING, Fleet._try_out),
    (Standing.OUT, Sign.REACHED): (Standing.SERVING, Fleet._reset),
    **{(standing, Sign.STARTED): (Standing.SERVING, Fleet._reset) for standing in Standing},
    **{(standing, Sign.LEAVING): (Standing.LEFT, Fleet._reset) for standing in Standing},
}


class Demand:
    """What comes to this manager's proxies, and what its peers say comes to theirs."""

    WINDOW = 3  # seconds of reports that even out lumps; as many without a word, and the peer is gone

    def __init__(self, host: Host, outbox: Outbox, products: Sequence[Product], zones: Sequence[str]) -> None:
        self._host, self._outbox, self._products, self._zones = host, outbox, products, zones
        self._departed: deque[tuple[int, list[float]]] = deque()
        self._told: dict[int, tuple[int, list[float]]] = {}
        self.heard_of = (0.0, 0.0)
        self.smoothed, self.now = dict.fromkeys(products, 0.0), dict.fromkeys(products, 0.0)
        # Each one's part; until heard, none for products tied to models, whose servers would be kept idle.
        self.mix = {p: (not p.models) / (sum(not q.models for q in products) or 1) for p in products}

    def arrivals(self, event: Arrivals[Gateway]) -> None:
        if event.proxy in self._outbox.gateways:
            event.proxy.came[event.product].add(self._host.now(), event.many, event.covers)

    def rate(self, gateway: Gateway, product: Product) -> float:
        if self._host.now() < gateway.joined_at + (self.WINDOW + 1) * SECOND:
            # Not a whole window heard yet. Taken for idle, the proxies of a lost manager would decline all.
            return gateway.usual_rate * self.mix[product]
        # By the time that the lines cover, not by the clock: they come late, merged, and out of step with it.
        many, covers = gateway.came[product].total(self._host.now(), self.WINDOW)
        return SECOND * many / max(1.0, covers)

    def left(self, gateway: Gateway) -> None:
        self._departed.append((self._host.now(), [self.rate(gateway, p) for p in self._products]))

    def period(self) -> None:
        """The design's smoothing: alpha 0.3, and 5 s in which a departed proxy's demand still counts."""
        while self._departed and self._departed[0][0] < self._host.now() - 5 * SECOND:
            self._departed.popleft()
        for place, product in enumerate(self._products):
            here = sum(self.rate(gateway, product) for gateway in self._outbox.gateways)
            away = sum(rates[place] for _, rates in self._departed)
            before, self.now[product] = self.smoothed[product], here + away
            self.smoothed[product] = before + 0.3 * (here + away - before) if before else here + away
        if total := sum(self.smoothed.values()):
            self.mix = {product: rate / total for product, rate in self.smoothed.items()}

    def word(self) -> bytes:
        """For peers: tries settled, their time, and own demand a second by zone and product."""
        return b"".join(struct.pack("<f", value) for value in (*self.heard_of, *self.own().values()))

    def heard(self, event: PeerWord) -> None:
        if len(event.data) == 4 * (2 + len(self._zones) * len(self._products)):
            values = [value for (value,) in struct.iter_unpack("<f", event.data)]
            self._told[event.peer] = (self._host.now(), values)

    def told(self) -> list[list[float]]:
        return [rates for at, rates in self._told.values() if at > self._host.now() - self.WINDOW * SECOND]

    def own(self) -> dict[tuple[str, Product], float]:
        return {(zone, product): sum(self.rate(gateway, product) for gateway in self._outbox.joined(zone))
                for zone in self._zones for product in self._products}

    def everywhere(self) -> dict[tuple[str, Product], float]:
        """Demand by zone and product, own and told."""
        own, told = self.own(), [rates[2:] for rates in self.told()]
        return dict(zip(own, map(sum, zip(own.values(), *told, strict=True)), strict=True))


class Levels:
    """The design's overload shares, with the least that keeps them from spiralling down."""

    def __init__(self, host: Host, outbox: Outbox, fleet: Fleet, demand: Demand,
                 products: Sequence[Product]) -> None:
        self._host, self._outbox, self._fleet, self._demand = host, outbox, fleet, demand
        self._products, self._usual = products, 0.0
        self._load, self._shares = Load.CALM, dict[Product, float]()
        self._plain = self._quiet = self._latency = self._bar = self._best = 0.0
        self._settled = self._budget = 0.0  # no budget: all is let in

    def period(self) -> None:
        """A fresh manager lets all in for the design's one period: no report has come by its first."""
        self._demand.period()
        self._load, effect = LOADS[self._load, self._heat()]  # state, input, next state, effect
        effect(self)

    def _heat(self) -> Heat:
        """Overload as the design words it, but by the median server: a few sick ones are no lost capacity."""
        seen = [sums for server in self._fleet.in_service()
                if (sums := server.seen(self._host.now(), 2))[0] >= 3]
        self._settled = sum(sums[4] for sums in seen)
        # The design's scaling by own proxies: one that comes or goes takes its part of the budget along.
        before, self._usual = self._usual, sum(gateway.usual_rate for gateway in self._outbox.gateways)
        part = self._usual / before if before else 1.0
        self._budget, self._best = part * self._budget, part * self._best
        # The best of late, fading: own declines and client retries lower successes, not what servers can do.
        self._best = max(self._settled, 0.975 * self._best)
        voids = median_high([sums[1] / sums[0] for sums in seen] or [0.0])
        latency = median_high([sums[3] / sums[2] for sums in seen if sums[2]] or [0.0])
        # Proxies that stand still measure their own stall: it is no lack of capacity, and orders meet it too.
        before, self._plain = self._plain, max(0.0, latency - self._outbox.stalled())
        # Led by its change where it nears the bar, as reports come a beat or two late; below, that is noise.
        self._latency = max(0.0, 2 * self._plain - before) if self._plain > 0.75 * self._bar else self._plain
        sla = sum(product.sla_time * part for product, part in self._demand.mix.items())
        # Twice the quiet average, yet at least 0.35 of the SLA time: below that hardly a txn is late.
        self._bar = max(2 * self._quiet, 0.35 * sla)
        if self._load is Load.CALM and self._latency < self._bar:
            self._quiet += (0.05 if self._quiet else 1.0) * (self._plain - self._quiet)
        # Voids alone are no lack of capacity: where txns settle fast, something else loses the others.
        if self._latency > (0.6 if voids > 0.05 else 1.0) * self._bar:
            return Heat.HOT
        return Heat.COOL if all(self.level(product) >= 1 for product in self._products) else Heat.MILD

    def _lift(self) -> None:
        self._budget = 0.0

    def _impose(self) -> None:
        # The design's reserve, and more the longer the queues are, so that they drain in 4 s: some reports.
        lean = 1 + (0.8 * self._bar - self._latency) / (4 * SECOND)
        self._share(max(0.5, min(0.9, lean)) * self._settled)

    def _ease(self) -> None:
        # From the budget in force, as what was let in is heard late and thinned, and would hold it down. Fast
        # up to what the servers last did less the reserve, then slowly, as the limit must be near.
        most = 1.25 if self._budget < 0.9 * self._best else 1.05
        self._share(min(most, self._bar / max(1.0, self._latency)) * max(self._budget, self._settled))

    def _share(self, budget: float) -> None:
        # Never under 0.65 of the best (tried 0.6 to 0.8): latency tells of queues that may be gone by now.
        self._budget = max(budget, 0.65 * self._best)
        self._shares = {p: max(0.05, part) * self._budget for p, part in self._demand.mix.items()}

    def level(self, product: Product) -> float:
        demand = self._demand.now[product]
        return min(1.0, self._shares[product] / demand) if self._budget and demand else 1.0


LOADS: dict[tuple[Load, Heat], tuple[Load, Callable[[Levels], None]]] = {
    (Load.CALM, Heat.HOT): (Load.SHED, Levels._impose),
    (Load.CALM, Heat.COOL): (Load.CALM, Levels._lift),
    (Load.SHED, Heat.HOT): (Load.SHED, Levels._impose),
    (Load.SHED, Heat.MILD): (Load.SHED, Levels._ease),
    (Load.SHED, Heat.COOL): (Load.CALM, Levels._lift),
}


class Table:
    """One shared table: the products of like eligibility from the proxies of one zone."""

    def __init__(self, number: int, zone: str, products: Sequence[Product]) -> None:
        self.number, self.zone, self.products = number, zone, products
        self.wanted, self.lines = dict[Server, float](), dict[Server, float]()
        self.gates: dict[Product, float] = {}


class Tables:
    """What stands in the shared tables, and when changes go out."""

    def __init__(self, host: Host, outbox: Outbox, fleet: Fleet, demand: Demand, levels: Levels,
                 products: Sequence[Product], zones: Sequence[str], unit: LevelUnit) -> None:
        self._host, self._outbox, self._fleet, self._demand = host, outbox, fleet, demand
        self._levels, self._unit = levels, unit
        groups: dict[tuple[object, ...], list[Product]] = {}
        for product in products:
            groups.setdefault((product.models, product.zones, product.home_only), []).append(product)
        self._tables = [Table(place * len(groups) + k, zone, group)
                        for place, zone in enumerate(zones) for k, group in enumerate(groups.values())]

    def join(self, gateway: Gateway) -> None:
        self._plan()  # a table not yet planned for this demand could bind a joiner to no line (rule 1)
        for table in self._tables:
            if table.zone == gateway.zone:
                if not table.lines:  # else at the beat: each join would cost all others a message (rule 5)
                    self._send(table)
                self._host.bind(gateway, table.number, table.products)
                self._outbox.line([gateway], 1 + len(table.lines) + len(table.gates))

    def refresh(self) -> None:
        self._plan()
        for table in self._tables:
            if self._outbox.has_room(table.zone, len(table.wanted) + len(table.products)):
                self._send(table)

    def _plan(self) -> None:
        """Home first: a zone's demand goes to its own servers up to the even use; only the rest crosses."""
        capacity = self._fleet.capacity()
        demand = self._demand.everywhere()
        heard = {zone for (zone, _), rate in demand.items() if rate > 0}
        known = sum(size for server, size in capacity.items() if server.zone in heard) or 1.0
        use = max(1e-3, sum(demand.values())) / known
        # Rule 4: in a jam proxies avoid full servers, and would turn to a cold one all at once.
        warm = {server: size for server, size in capacity.items() if self._fleet.ramp(server) >= 1}
        # Nothing spills to zones unheard of. A tenth over even use stays home: it is known no better.
        room = {server: 1.1 * use * size for server, size in (
            warm if self._fleet.jammed else capacity).items() if server.zone in heard}
        # The products with the fewest servers choose first.
        order = sorted(((table, [s for s in capacity if s.may_run(table.products[0], table.zone)])
                        for table in self._tables), key=lambda item: len(item[1]))
        wants = {table: max(1e-3, sum(demand[table.zone, p] for p in table.products)) for table, _ in order}
        for table, may in order:
            table.wanted = {}
            self._pour(wants[table], [s for s in may if s.zone == table.zone], room, table.wanted)
        for table, may in order:
            for left in (room, dict(warm), dict(capacity)):  # what has room, then whatever there is
                self._pour(wants[table] - sum(table.wanted.values()), may, left, table.wanted)
            # A line under a hundredth of its table costs a connection and carries nothing.
            total = sum(table.wanted.values())
            table.wanted = {s: 100 * part / total for s, part in table.wanted.items() if part > 0.01 * total}

    @staticmethod
    def _pour(want: float, servers: Sequence[Server], room: dict[Server, float],
              flow: dict[Server, float]) -> None:
        free = sum(room.get(server, 0.0) for server in servers)
        for server in [server for server in servers if server in room and want > 0 and free > 0]:
            part = min(1.0, want / free) * room[server]
            flow[server] = flow.get(server, 0.0) + part
            room[server] -= part

    def _send(self, table: Table) -> None:
        gateways = self._outbox.joined(table.zone)
        # Rule 1: an empty plan changes nothing; the last lines stay until there are others.
        for server in {**table.lines, **table.wanted} if table.wanted else ():
            weight = table.wanted.get(server, 0.0)
            if self._differs(table.lines.get(server, 0.0), weight):
                self._host.weigh(table.number, server, round(weight, 3))
                self._outbox.line(gateways)
                table.lines[server] = weight
        table.lines = {server: weight for server, weight in table.lines.items() if weight}
        for product in table.products:
            figure, before = self._figure(table, product), table.gates.get(product, 0.0)
            # The last step to full always goes out: held back as a small change, it would decline for good.
            if self._differs(before, figure) or before < 1 <= figure:
                # No try after one that may have run: rule 2, and proxies without a manager would feed jams.
                self._host.gate(table.number, [product], figure, Retry.UNSENT)
                self._outbox.line(gateways)
                table.gates[product] = figure

    def _differs(self, before: float, after: float) -> bool:
        # The document's hysteresis of a tenth.
        return before != after and (not before or not after or abs(after - before) > 0.1 * before)

    def _figure(self, table: Table, product: Product) -> float:
        level = self._levels.level(product)
        if self._unit is not LevelUnit.RATE:
            return round(level, 3)
        # The one rate at which the table's proxies let in their share: idle ones leave theirs to the busy.
        rates = sorted(self._demand.rate(gateway, product) for gateway in self._outbox.joined(table.zone))
        share, count = level * sum(rates), len(rates)
        for place, rate in enumerate(rates if level < 1 else ()):
            if share and rate * (count - place) >= share:
                return round(max(0.01, share / (count - place)), 3)
            share -= rate
        return 1e6  # a rate that no proxy reaches: everything is let in


class Manager:
    """One manager: hands events to its parts, and wakes itself once a beat."""

    BEAT, ASK = 1, 2  # what a reminder is for

    def __init__(self, host: Host, seed: int, *, managers: int, zones: Sequence[str], may_probe: bool,
                 products: Sequence[Product], channel: Channel, guarantee: Guarantee, level_unit: LevelUnit,
                 asks_list: bool, may_tell: bool, slices: int) -> None:
        self._host, self._draw, self._products = host, Random(seed).random, products
        self._may_tell, self._ask_within, self._failures = may_tell and managers > 1, guarantee.ask_within, 0
        self._outbox = Outbox(host, channel)
        self._at_once = not channel.message_cap or (
            guarantee.drain_grace < self._outbox.beat + channel.longest_way)
        self._fleet = Fleet(host, self._outbox, products, guarantee, may_probe)
        self._demand = Demand(host, self._outbox, products, zones)
        self._levels = Levels(host, self._outbox, self._fleet, self._demand, products)
        self._tables = Tables(host, self._outbox, self._fleet, self._demand, self._levels, products, zones,
                              level_unit)
        self._handlers: dict[type, Callable[..., None]] = {} if slices else {
            Listing: self._listing, Reminder: self._reminder, Probed: self._fleet.probed,
            PeerWord: self._demand.heard, Joined: self._joined, Left: self._left, Tries: self._fleet.tries,
            Arrivals: self._demand.arrivals, Applied: self._outbox.applied,
        }
        if not slices:  # tables of slices are not this module's yet: it stays silent
            # Managers started together beat apart, so that their orders do not land all at once.
            host.wake(1 + int(self._draw() * self._outbox.beat), self.BEAT)
            if asks_list:
                host.watch(True)

    def take(self, event: Event) -> None:
        if type(event) in self._handlers:
            self._handlers[type(event)](event)

    def close(self) -> None:
        self._outbox.close()

    def _listing(self, event: Listing[Server]) -> None:
        self._failures = self._failures + 1 if event.kind is ListKind.FAILED else 0
        if not self._failures:
            self._fleet.listing(event)
            # Else at the beat: list changes come one by one, and a message for each would pass the cap.
            return self._act() if self._at_once else None
        # Asked again after a doubling wait that differs by manager, well inside the time that binds (rule 3).
        wait = min(self._ask_within // 4, SECOND // 4 << min(self._failures, 7))
        return self._host.wake(1 + int(wait * (0.5 + self._draw())), self.ASK)

    def _reminder(self, event: Reminder) -> None:
        if event.token == self.ASK:
            return self._host.watch(True)
        self._fleet.judge(self._demand)
        self._levels.period()
        self._act()
        if self._may_tell:
            self._host.tell(None, self._demand.word())
        return self._host.wake(self._outbox.beat, self.BEAT)

    def _act(self) -> None:
        self._fleet.tell()
        self._tables.refresh()  # in one message: a release must not come before a cold server's little weight

    def _joined(self, event: Joined[Gateway]) -> None:
        gateway = event.proxy
        gateway.begin(self._host.now(), self._products)
        self._outbox.gateways[gateway] = None
        self._fleet.joined(gateway)
        self._tables.join(gateway)

    def _left(self, event: Left[Gateway]) -> None:
        if event.proxy in self._outbox.gateways:
            self._demand.left(event.proxy)
            del self._outbox.gateways[event.proxy]
