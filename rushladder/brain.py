"""All decisions of a rushladder manager: tables, levels, withdrawals, probes.

An adapter (`benchlink` on the bench, the manager's own network code later) makes one `Manager` a process, gives
`take` every event of a batch and calls `close` at its end. Its interface is `interface.py`.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random

from rushladder.interface import (
    Applied, Arrivals, Availability, Channel, Entry, Event, Guarantee, Host, Joined, Left, LevelUnit,
    Listing, ListKind, PeerWord, Probed, ProbeResult, Product, Proxy, Reminder, Repeat, Retry, Tries, Worker,
)
from rushladder.ring import Ring

SECOND = 10_000


# Where a server stands with this manager. LEFT: it drains or is gone, and is withdrawn whatever tables still name
# it; OUT: withdrawn as sick; TRIAL: let in again with little weight.
Standing = Enum("Standing", "LEFT COLD FIT OUT TRIAL")
# REST: its time out is over and probes answer; SOUND: its weight is back.
Sign = Enum("Sign", "LISTED STARTED LEAVING WARM SICK REST SOUND")
Load = Enum("Load", "CALM SHED EASE")
Heat = Enum("Heat", "HOT MILD COOL")


class Server(Worker):
    """A worker with what this manager has seen of it."""

    def __init__(self, name: str, zone: str, model: str, cell: int) -> None:
        super().__init__(name, zone, model, cell)
        self.size, self.started_at, self.standing = 1.0, 0, Standing.LEFT
        self.factor = self.pace = 1.0  # the part of its listed weight that its health leaves it
        self.out_until, self.out_for = 0, 0
        self.bad_probes = self.good_probes = 0
        self.forget()

    def forget(self) -> None:
        # Buckets as long as a report's period; eight hold the longest window asked for below.
        self.tries = Ring(SECOND, 8, 4)  # many, voided, settled, their time
        self.bad_probes = self.good_probes = 0


class Gateway(Proxy):
    """A proxy with what this manager sent it and heard of it."""

    def __init__(self, name: str, zone: str, usual_rate: float) -> None:
        super().__init__(name, zone, usual_rate)
        self.joined_at = 0
        self.fresh()

    def fresh(self) -> None:
        self.unapplied: deque[tuple[int, float]] = deque()
        self.messages = Ring(SECOND // 2, 24)
        self.came: dict[Product, Ring] = {}


class Outbox:
    """Counts the lines that wait in the channel and the messages to each proxy, for rule 5."""

    # Half the limit: what can't be put off fits twice, so it always finds room beside what waits.
    USED = 0.5
    # Messages of the cap kept free for withdrawals and joins: about one list change in three seconds.
    SPARE = 3

    def __init__(self, host: Host, channel: Channel) -> None:
        self._host, self._channel = host, channel
        self.gateways: dict[Gateway, None] = {}
        self._lines: dict[Gateway, float] = {}
        self._mark = 0
        # Turns no closer than the cap's even pace, or a proxy would be owed more messages than it may get.
        even = channel.cap_span // max(1, channel.message_cap - self.SPARE) if channel.message_cap else 0
        self.beat = max(SECOND, even)

    def line(self, gateways: Sequence[Gateway], count: float = 1) -> None:
        for gateway in gateways:
            self._lines[gateway] = self._lines.get(gateway, 0.0) + count

    def waiting(self) -> float:
        return sum(lines for gateway in self.gateways for _, lines in gateway.unapplied)

    def has_room(self, gateways: Sequence[Gateway], count: float) -> bool:
        """Whether `count` lines to each may still be sent. Lines drain when a proxy says it applied them."""
        now, cap = self._host.now(), self._channel.message_cap
        wanted = len(gateways) * (count + self._channel.head + 1) + sum(self._lines.values())
        if self.waiting() + wanted > self.USED * self._channel.pending_max:
            return False  # a slow channel: more lines would only overrun it (rule 5)
        buckets = self._channel.cap_span // (SECOND // 2) + 1
        return not cap or all(
            gateway in self._lines or gateway.messages.total(now, buckets)[0] < cap - self.SPARE
            for gateway in gateways)

    def close(self) -> None:
        """Marks each message of the batch, so that its lines are known to have drained."""
        sent = [gateway for gateway in self._lines if gateway in self.gateways]
        if sent:
            self._mark = (self._mark + 1) % 65536
            self._host.checkpoint(self._mark, False)
        for gateway in sent:
            gateway.unapplied.append((self._mark, self._lines[gateway] + self._channel.head + 1))
            gateway.messages.add(self._host.now(), 1)
        self._lines.clear()

    def applied(self, event: Applied) -> None:
        gateway = event.proxy
        if isinstance(gateway, Gateway) and any(mark == event.number for mark, _ in gateway.unapplied):
            while gateway.unapplied.popleft()[0] != event.number:
                pass


class Fleet:
    """The servers: what the list says of them, and which of them are sick."""

    def __init__(self, host: Host, outbox: Outbox, products: Sequence[Product], guarantee: Guarantee) -> None:
        self._host, self._outbox, self._products = host, outbox, products
        self._cold_time, self._cold_from = guarantee.cold_time, guarantee.cold_from
        self.servers: dict[Server, None] = {}

    # What the list says.

    def listing(self, event: Listing) -> None:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.worker for entry in event.entries}
            for server in self.servers:
                if server not in named:
                    self._turn(server, Sign.LEAVING)
        for entry in event.entries:
            self._entry(entry)

    def _entry(self, entry: Entry) -> None:
        server = entry.worker
        assert isinstance(server, Server)
        self.servers[server] = None
        if entry.availability is not Availability.READY:
            self._turn(server, Sign.LEAVING)
            return
        server.size = max(entry.size, 1e-3)
        started = entry.started_at != server.started_at
        server.started_at = entry.started_at
        self._turn(server, Sign.STARTED if started and self.ramp(server) < 1 else Sign.LISTED)

    def ramp(self, server: Server) -> float:
        """The part of its size that a starting server surely has. Rule 4: from the list alone, so that all
        managers reckon alike and their proxies together stay below it, whatever each of them sees."""
        if not server.started_at:
            return 1.0
        age = (self._host.now() - server.started_at) / max(1, self._cold_time)
        return min(1.0, self._cold_from + (1 - self._cold_from) * max(0.0, age))

    def in_service(self, products: Sequence[Product] = ()) -> list[Server]:
        return [server for server in self.servers if server.standing in SERVING
                and all(may_run(product, server) for product in products)]

    def capacity(self, server: Server) -> float:
        return server.size * server.factor * self.ramp(server)

    # Standing: a table of state, input, next state, effect.

    def _turn(self, server: Server, sign: Sign) -> None:
        found = STANDINGS.get((server.standing, sign))
        if found is not None:
            server.standing, effect = found
            effect(self, server)

    def _withdraw(self, server: Server) -> None:
        self._host.hold_back(server, True)
        self._outbox.line(list(self._outbox.gateways))

    def _admit(self, server: Server) -> None:
        server.forget()
        self._host.hold_back(server, False)
        self._outbox.line(list(self._outbox.gateways))

    def _begin(self, server: Server) -> None:
        server.factor, server.pace, server.out_for = 1.0, 1.0, 0
        self._admit(server)

    def _exclude(self, server: Server) -> None:
        # Out for 4 s at first: shorter than most troubles last, and half a minute at most, with double the
        # time after each relapse, since a server that fails its trial costs txns at every one.
        server.out_for = min(30 * SECOND, 2 * server.out_for or 4 * SECOND)
        server.out_until = self._host.now() + server.out_for
        server.good_probes = 0
        self._withdraw(server)

    def _try_out(self, server: Server) -> None:
        server.factor = 0.2  # two servings of the tenth it gains a period: enough tries to judge it by
        self._admit(server)

    def _stay(self, server: Server) -> None:
        pass

    # Health, judged by comparison only: where all are slow or void, none is sick.

    def judge(self) -> None:
        now = self._host.now()
        for server in self.servers:
            if server.standing is Standing.COLD and self.ramp(server) >= 1:
                self._turn(server, Sign.WARM)
            # Two answers in a row: one may be luck where a server drops most of what it gets.
            if server.standing is Standing.OUT and now >= server.out_until and server.good_probes >= 2:
                self._turn(server, Sign.REST)
        serving = self.in_service()
        # Four seconds of reports: some 30 tries a server, so that a mean is good to about a seventh.
        seen = {server: server.tries.total(now, 4) for server in serving}
        many, voided, settled, time = (sum(sums[k] for sums in seen.values()) for k in range(4))
        recent = {server: server.tries.total(now, 2) for server in serving}
        answering = sum(server.bad_probes == 0 for server in serving) >= len(serving) / 2
        for server in serving:
            n, v, s, t = seen[server]
            others = (voided - v) / max(1.0, many - n)
            mean = time / settled if settled else 0.0
            ratio = t / s / mean if s >= 5 and mean else 1.0
            # Mostly quick voids where the others have few: sick. One that voids and is slow is only too full,
            # and loses weight below; where voids are common, all are too full.
            by_tries = v >= 4 and v > 0.35 * n and others < 0.1 and ratio < 1.5
            # No answer to probes nor to txns: under load probes wait in the queue, but txns still settle.
            by_probes = server.bad_probes >= 2 and answering and recent[server][2] == 0
            if (by_tries or by_probes) and self._can_spare(server):
                self._turn(server, Sign.SICK)
                continue
            # The companion: a tenth of weight lost a period while well above the table's latency or voids. Listed
            # weights are rough, so the aim is the table's latency over the server's, smoothed over some 7 s.
            if s >= 5:
                server.pace += 0.15 * (min(2.0, 1 / ratio) - server.pace)
            aim = min(1.6, max(0.3, server.pace))
            server.factor += max(-0.1, min(0.1, aim - server.factor))
            if server.factor >= aim:
                self._turn(server, Sign.SOUND)

    def _can_spare(self, server: Server) -> bool:
        """Rule 1: the last line of a product is never withdrawn, and a quarter of the fleet always serves,
        since more than that sick at once is rather the manager's own view that is sick."""
        left = [other for other in self.in_service() if other is not server]
        total = sum(other.size for other in self.servers if other.standing is not Standing.LEFT)
        return sum(other.size for other in left) >= 0.25 * total and all(
            any(may_run(product, other) for other in left) for product in self._products)

    def tries(self, event: Tries) -> None:
        settled = event.many - event.voided
        if isinstance(event.worker, Server):
            event.worker.tries.add(self._host.now(), event.many, event.voided, settled, settled * event.mean)

    def probed(self, event: Probed) -> None:
        server = event.worker
        if not isinstance(server, Server) or event.result is ProbeResult.TURNED_AWAY:
            return  # too many probes at once says nothing of its health
        good = event.result is ProbeResult.OK
        server.good_probes = server.good_probes + 1 if good else 0
        server.bad_probes = 0 if good else server.bad_probes + 1

    def again_for_joiner(self) -> None:
        """Standing tables still name servers that left: each joiner must be told again (rule 3)."""
        for server in self.servers:
            if server.standing in (Standing.LEFT, Standing.OUT):
                self._withdraw(server)


SERVING = (Standing.COLD, Standing.FIT, Standing.TRIAL)
STANDINGS: dict[tuple[Standing, Sign], tuple[Standing, Callable[[Fleet, Server], None]]] = {
    (Standing.LEFT, Sign.LISTED): (Standing.FIT, Fleet._begin),
    (Standing.LEFT, Sign.STARTED): (Standing.COLD, Fleet._begin),
    (Standing.COLD, Sign.WARM): (Standing.FIT, Fleet._stay),
    (Standing.FIT, Sign.STARTED): (Standing.COLD, Fleet._begin),
    (Standing.TRIAL, Sign.STARTED): (Standing.COLD, Fleet._begin),
    (Standing.OUT, Sign.STARTED): (Standing.COLD, Fleet._begin),
    (Standing.COLD, Sign.STARTED): (Standing.COLD, Fleet._begin),
    (Standing.FIT, Sign.SICK): (Standing.OUT, Fleet._exclude),
    (Standing.COLD, Sign.SICK): (Standing.OUT, Fleet._exclude),
    (Standing.TRIAL, Sign.SICK): (Standing.OUT, Fleet._exclude),
    (Standing.OUT, Sign.REST): (Standing.TRIAL, Fleet._try_out),
    (Standing.TRIAL, Sign.SOUND): (Standing.FIT, Fleet._stay),
    **{(standing, Sign.LEAVING): (Standing.LEFT, Fleet._withdraw)
       for standing in (Standing.COLD, Standing.FIT, Standing.OUT, Standing.TRIAL)},
}


def may_run(product: Product, server: Server) -> bool:
    return (not product.models or server.model in product.models) and (
        not product.zones or server.zone in product.zones)


class Demand:
    """What comes to this manager's proxies, and what its peers say comes to theirs."""

    WINDOW = 3  # seconds: the shortest that evens out reports which arrive late and in lumps
    STALE = 3 * SECOND  # three lost words in a row: the peer is gone, not the word

    def __init__(self, host: Host, outbox: Outbox, products: Sequence[Product], zones: Sequence[str]) -> None:
        self._host, self._outbox, self._products, self._zones = host, outbox, products, zones
        self._began = host.now()
        self._departed: deque[tuple[int, dict[Product, float]]] = deque()
        self._told: dict[int, tuple[int, list[float]]] = {}
        self.smoothed: dict[Product, float] = dict.fromkeys(products, 0.0)
        self.own_part = 1.0

    def arrivals(self, event: Arrivals) -> None:
        if isinstance(event.proxy, Gateway):
            ring = event.proxy.came.setdefault(event.product, Ring(SECOND, 8))
            ring.add(self._host.now(), event.many)

    def rate(self, gateway: Gateway, product: Product) -> float:
        ring = gateway.came.get(product)
        if ring is None:
            return 0.0
        return ring.total(self._host.now(), self.WINDOW)[0] / self.WINDOW

    def left(self, gateway: Gateway) -> None:
        self._departed.append((self._host.now(), {p: self.rate(gateway, p) for p in self._products}))

    def period(self) -> None:
        """The design's smoothing: alpha 0.3, and 5 s in which a departed proxy's demand still counts."""
        while self._departed and self._departed[0][0] < self._host.now() - 5 * SECOND:
            self._departed.popleft()
        joined = gone = 0.0
        for product in self._products:
            here = sum(self.rate(gateway, product) for gateway in self._outbox.gateways)
            away = sum(rates[product] for _, rates in self._departed)
            joined, gone = joined + here, gone + away
            before = self.smoothed[product]
            self.smoothed[product] = before + 0.3 * (here + away - before) if before else here + away
        self.own_part = joined / (joined + gone) if joined else 1.0

    def own(self, zone: str, product: Product) -> float:
        return sum(self.rate(gateway, product) for gateway in self._outbox.gateways if gateway.zone == zone)

    def word(self) -> bytes:
        """For peers: own demand by zone and product, in tenths of a txn a second."""
        rates = [self.own(zone, product) for zone in self._zones for product in self._products]
        return struct.pack(f"<{len(rates)}H", *(min(65535, round(rate * 10)) for rate in rates))

    def heard(self, event: PeerWord) -> None:
        count = len(self._zones) * len(self._products)
        if len(event.data) == 2 * count:
            rates = struct.unpack(f"<{count}H", event.data)
            self._told[event.peer] = (self._host.now(), [rate / 10 for rate in rates])

    def all(self, zone: str, product: Product) -> float:
        place = self._zones.index(zone) * len(self._products) + self._products.index(product)
        told = sum(rates[place] for at, rates in self._told.values() if at > self._host.now() - self.STALE)
        return self.own(zone, product) + told


class Levels:
    """The design's overload shares, with the least that keeps them from spiralling down."""

    PERIOD = 2 * SECOND  # the design's

    def __init__(self, host: Host, fleet: Fleet, demand: Demand, products: Sequence[Product],
                 retry_wait: float) -> None:
        self._host, self._fleet, self._demand, self._products = host, fleet, demand, products
        self._retry_wait = retry_wait
        self._due = host.now() + self.PERIOD  # a fresh manager lets all in for one period
        self.load = Load.CALM
        self.shares: dict[Product, float] = {}  # empty: everything is let in
        self._quiet = self._ratio = self._best = self._budget = 0.0

    def period(self) -> None:
        now = self._host.now()
        if now < self._due:
            return
        self._due = now + self.PERIOD
        self._demand.period()
        heat, settled = self._heat(now)
        # The best of late, forgotten by a twentieth a period: own declines and client retries lower successes
        # without lowering what the servers can do, and levels would follow them down.
        self._best = max(settled, 0.95 * self._best)
        self.load, effect = LOADS[self.load, heat]
        effect(self, settled)

    def _heat(self, now: int) -> tuple[Heat, float]:
        """Overload as the design words it, but by the median server: a few sick ones are no lost capacity."""
        seen = [(sums, server) for server in self._fleet.in_service()
                if (sums := server.tries.total(now, 3))[0] >= 3]
        settled = sum(sums[2] for sums, _ in seen) / 3
        if not seen:
            return Heat.COOL, settled
        voids = sorted(sums[1] / sums[0] for sums, _ in seen)[len(seen) // 2]
        times = sorted(sums[3] / sums[2] for sums, _ in seen if sums[2])
        latency = times[len(times) // 2] if times else 0.0
        demand = sum(self._demand.smoothed.values()) or 1.0
        sla = sum(p.sla_time * rate for p, rate in self._demand.smoothed.items()) / demand
        # Twice the quiet average, yet at least two fifths of the SLA time: below that no txn is late.
        bar = max(2 * self._quiet, 0.4 * sla)
        self._ratio = latency / bar if bar else 0.0
        if self.load is Load.CALM and self._ratio < 1:
            self._quiet += 0.1 * (latency - self._quiet) if self._quiet else latency
        if voids > 0.05 or self._ratio > 1:
            return Heat.HOT, settled
        return (Heat.COOL if self._ratio < 0.75 else Heat.MILD), settled

    # Load: a table of state, input, next state, effect.

    def _lift(self, settled: float) -> None:
        self.shares = {}

    def _hold(self, settled: float) -> None:
        self._divide(self._budget)

    def _impose(self, settled: float) -> None:
        # 0.9 is the design's reserve; more is held back the longer the queues are, or they would not drain.
        reserve = min(0.4, 0.1 * max(1.0, 2 * self._ratio - 1))
        self._budget = (1 - reserve) * max(settled, 0.7 * self._best) * self._demand.own_part
        self._divide(self._budget)

    def _ease(self, settled: float) -> None:
        self._budget = 1.15 * max(self._budget, settled)
        self._divide(self._budget)
        if all(share >= self._demand.smoothed[p] for p, share in self.shares.items()):
            self.load = Load.CALM
            self._lift(settled)

    def _divide(self, budget: float) -> None:
        demand = self._demand.smoothed
        total = sum(demand.values()) or 1.0
        self.shares = {p: max(0.05 * budget, budget * demand[p] / total) for p in self._products}

    def level(self, product: Product) -> float:
        demand = self._demand.smoothed[product]
        if product not in self.shares or demand <= 0:
            return 1.0
        return min(1.0, self.shares[product] / demand)

    def retry(self, product: Product) -> Retry:
        """A further try where the product's repeat rule allows it (rule 2); under load only where the first
        surely never ran, as more tries feed the overload."""
        return Retry.UNSENT


LOADS: dict[tuple[Load, Heat], tuple[Load, Callable[[Levels, float], None]]] = {
    (Load.CALM, Heat.HOT): (Load.SHED, Levels._impose),
    (Load.CALM, Heat.MILD): (Load.CALM, Levels._lift),
    (Load.CALM, Heat.COOL): (Load.CALM, Levels._lift),
    (Load.SHED, Heat.HOT): (Load.SHED, Levels._impose),
    (Load.SHED, Heat.MILD): (Load.SHED, Levels._hold),
    (Load.SHED, Heat.COOL): (Load.EASE, Levels._ease),
    (Load.EASE, Heat.HOT): (Load.SHED, Levels._impose),
    (Load.EASE, Heat.MILD): (Load.EASE, Levels._hold),
    (Load.EASE, Heat.COOL): (Load.EASE, Levels._ease),
}


class Table:
    """One shared table: the products of like eligibility from the proxies of one zone."""

    def __init__(self, number: int, zone: str, products: Sequence[Product]) -> None:
        self.number, self.zone, self.products = number, zone, products
        self.gateways: dict[Gateway, None] = {}
        self.lines: dict[Server, float] = {}
        self.gates: dict[Product, tuple[float, Retry]] = {}


class Tables:
    """What stands in the shared tables, and when changes go out."""

    HYSTERESIS = 0.1  # the document's
    FULL_RATE = 1e6  # a rate that no proxy reaches: everything is let in

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
        if not any(table.lines for table in self._tables):
            self._plan()
        for table in self._tables:
            if table.zone == gateway.zone:
                table.gateways[gateway] = None
                self._send(table)
                self._host.bind(gateway, table.number, table.products)
                self._outbox.line([gateway], 1 + len(table.lines) + len(table.gates))

    def left(self, gateway: Gateway) -> None:
        for table in self._tables:
            table.gateways.pop(gateway, None)

    def refresh(self) -> None:
        self._plan()
        for table in self._tables:
            if self._outbox.has_room(list(table.gateways), len(self._wanted[table]) + len(table.products)):
                self._send(table)

    def _plan(self) -> None:
        """Home first: each zone's demand goes to its own servers up to the fleet's even use, and only what is
        over crosses zones. Listed weights, less what health and starting up take, are the capacities."""
        capacity = {server: self._fleet.capacity(server) for server in self._fleet.in_service()}
        flows: dict[Table, dict[Server, float]] = {}
        wants = self._demands(capacity)
        use = sum(wants.values()) / (sum(capacity.values()) or 1.0)
        # A tenth over even use stays home: demand is known no better than that.
        room = {server: 1.1 * use * size for server, size in capacity.items()}
        open_to = {table: [s for s in capacity if may_run(table.products[0], s)] for table in self._tables}
        order = sorted(self._tables, key=lambda table: len(open_to[table]))
        for table in order:
            home = [server for server in open_to[table] if server.zone == table.zone]
            flows[table] = self._pour(wants[table], home, room)
        for table in order:
            rest = wants[table] - sum(flows[table].values())
            if rest > 0.02 * wants[table] and not (table.products[0].home_only and flows[table]):
                for server, flow in self._pour(rest, open_to[table], room).items():
                    flows[table][server] = flows[table].get(server, 0.0) + flow
                rest = wants[table] - sum(flows[table].values())
            if rest > 0.02 * wants[table]:
                total = sum(capacity[server] for server in open_to[table]) or 1.0
                for server in open_to[table]:
                    share = rest * capacity[server] / total
                    flows[table][server] = flows[table].get(server, 0.0) + share
        self._wanted = {}
        for table, flow in flows.items():
            total = sum(flow.values()) or 1.0
            # A line under a hundredth of its table costs a connection and carries nothing.
            self._wanted[table] = {s: 100 * part / total for s, part in flow.items() if part > 0.01 * total}

    def _demands(self, capacity: dict[Server, float]) -> dict[Table, float]:
        """By table; a zone of which nothing is heard is taken to be as busy as the rest."""
        wants = {table: sum(self._demand.all(table.zone, product) for product in table.products)
                 for table in self._tables}
        heard = {table.zone for table, want in wants.items() if want > 0}
        sizes = {zone: sum(size for server, size in capacity.items() if server.zone == zone)
                 for zone in dict.fromkeys(table.zone for table in self._tables)}
        known = sum(size for zone, size in sizes.items() if zone in heard)
        per_size = sum(wants.values()) / known if known else 1.0
        kinds = len(self._tables) // len(sizes)
        for table in self._tables:
            if table.zone not in heard:
                wants[table] = max(1e-3, per_size * sizes[table.zone] / kinds)
        return wants

    @staticmethod
    def _pour(want: float, servers: Sequence[Server], room: dict[Server, float]) -> dict[Server, float]:
        free = sum(room[server] for server in servers)
        part = min(1.0, want / free) if free > 0 else 0.0
        flow = {server: part * room[server] for server in servers if part * room[server] > 0}
        for server, taken in flow.items():
            room[server] -= taken
        return flow

    def _send(self, table: Table) -> None:
        wanted, gateways = self._wanted[table], list(table.gateways)
        changed = [server for server in {**table.lines, **wanted}
                   if self._differs(table.lines.get(server, 0.0), wanted.get(server, 0.0))]
        # Rule 1: an empty plan changes nothing; the last lines stay until there are others.
        for server in changed if wanted else []:
            weight = wanted.get(server, 0.0)
            self._host.weigh(table.number, server, round(weight, 3))
            self._outbox.line(gateways)
            if weight:
                table.lines[server] = weight
            else:
                del table.lines[server]
        for product in table.products:
            gate = (self._figure(table, product), self._levels.retry(product))
            before = table.gates.get(product)
            # The last step to full always goes out: held back as a small change, it would decline for good.
            if before is None or before[1] is not gate[1] or self._differs(before[0], gate[0]) or (
                    before[0] < 1 <= gate[0]):
                self._host.gate(table.number, [product], gate[0], gate[1])
                self._outbox.line(gateways)
                table.gates[product] = gate

    def _differs(self, before: float, after: float) -> bool:
        if before == after:
            return False
        return not before or not after or abs(after - before) > self.HYSTERESIS * before

    def _figure(self, table: Table, product: Product) -> float:
        level = self._levels.level(product)
        if self._unit is not LevelUnit.RATE:
            return round(level, 3)
        return self.FULL_RATE if level >= 1 else self._water(table, product, level)

    def _water(self, table: Table, product: Product, level: float) -> float:
        """The one rate a proxy at which the table's proxies together let in their share: those with less
        demand leave theirs to the busy ones, where an equal split would leave it unused."""
        rates = sorted(self._demand.rate(gateway, product) for gateway in table.gateways)
        share, count = level * sum(rates), len(rates)
        for place, rate in enumerate(rates):
            if rate * (count - place) >= share:
                return round(max(0.01, share / (count - place)), 3)
            share -= rate
        return self.FULL_RATE


class Manager:
    """One manager: hands events to its parts, and wakes itself once a beat."""

    BEAT, ASK = 1, 2  # what a reminder is for

    def __init__(self, host: Host, seed: int, *, me: int, managers: int, zone: str, zones: Sequence[str],
                 products: Sequence[Product], channel: Channel, guarantee: Guarantee, level_unit: LevelUnit,
                 retry_wait: float, asks_list: bool, may_probe: bool, may_tell: bool, slices: int) -> None:
        self._host, self._draw = host, Random(seed).random
        self._asks_list, self._may_probe, self._may_tell = asks_list, may_probe, may_tell and managers > 1
        self._ask_within, self._failures, self._idle = guarantee.ask_within, 0, slices > 0
        self._outbox = Outbox(host, channel)
        self._fleet = Fleet(host, self._outbox, products, guarantee)
        self._demand = Demand(host, self._outbox, products, zones)
        self._levels = Levels(host, self._fleet, self._demand, products, retry_wait)
        self._tables = Tables(host, self._outbox, self._fleet, self._demand, self._levels, products, zones,
                              level_unit)
        self._handlers: dict[type, Callable[..., None]] = {
            Listing: self._listing, Reminder: self._reminder, Probed: self._fleet.probed,
            PeerWord: self._demand.heard, Joined: self._joined, Left: self._left, Tries: self._fleet.tries,
            Arrivals: self._demand.arrivals, Applied: self._outbox.applied,
        }
        if not self._idle:
            # Managers started together beat apart, so that their orders do not land all at once.
            host.wake(1 + int(self._draw() * self._outbox.beat), self.BEAT)
            if asks_list:
                host.watch(True)

    def take(self, event: Event) -> None:
        handler = self._handlers.get(type(event))
        if handler is not None and not self._idle:
            handler(event)

    def close(self) -> None:
        self._outbox.close()

    def _listing(self, event: Listing) -> None:
        if event.kind is ListKind.FAILED:
            # Asked again after a wait that doubles and differs by manager, lest all call at once; well inside
            # the time after which a manager is deemed told what it never heard (rule 3).
            wait = min(self._ask_within // 4, SECOND // 2 << min(self._failures, 6))
            self._failures += 1
            self._host.wake(1 + int(wait * (0.5 + self._draw())), self.ASK)
            return
        self._failures = 0
        self._fleet.listing(event)

    def _reminder(self, event: Reminder) -> None:
        if event.token == self.ASK:
            self._host.watch(True)
        elif event.token == self.BEAT:
            self._beat()

    def _beat(self) -> None:
        self._fleet.judge()
        self._levels.period()
        self._tables.refresh()
        if self._may_probe:
            for server in self._fleet.servers:
                if server.standing is not Standing.LEFT:
                    self._host.probe(server)
        if self._may_tell:
            self._host.tell(None, self._demand.word())
        self._host.wake(self._outbox.beat, self.BEAT)

    def _joined(self, event: Joined) -> None:
        gateway = event.proxy
        assert isinstance(gateway, Gateway)
        gateway.fresh()
        self._outbox.gateways[gateway] = None
        self._tables.join(gateway)
        self._fleet.again_for_joiner()

    def _left(self, event: Left) -> None:
        gateway = event.proxy
        assert isinstance(gateway, Gateway)
        if gateway in self._outbox.gateways:
            self._demand.left(gateway)
            del self._outbox.gateways[gateway]
            self._tables.left(gateway)
