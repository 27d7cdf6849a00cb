"""All decisions of a rushladder manager: tables, levels, withdrawals, probes.

An adapter (`benchlink`; later the manager's network code) makes one `Manager` a process, gives `handle` every
event of a batch and calls `end_batch` at its end. Its interface is `interface.py`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Collection, Sequence
from enum import Enum
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
    Tries,
)
from rushladder.lines import Lines
from rushladder.records import SECOND, SPLIT_TEAMS, Gateway, Proxies, Server, Standing, Table, Teams, backlog
from rushladder.ring import Ring

DOZEN = 12  # servers of a whole team
Sign = Enum("Sign", "LISTED STARTED LEAVING SICK SOUND REACHED")
Load = Enum("Load", "CALM SHED")
Heat = Enum("Heat", "HOT MILD COOL")


class Outbox:
    """The proxies joined, what waits in the channel to them, and the pace of messages, for rules 3 and 5."""

    def __init__(self, channel: Channel, grace: int) -> None:
        # Lines of withdrawals of what left, and of bindings too, that wait: no others before them (rule 3).
        self.withdrawals, self.owed, self.pending_max = 0.0, 0.0, channel.pending_max
        self.proxies, self.pace = Proxies(), channel.lines_per_s / SECOND
        self._bound, travels = grace - channel.max_delay, channel.usual_delay * self.pace
        self.lines = Lines[Gateway](
            channel.message_overhead + 1, self.pace, travels, channel.pending_max
        )  # and its mark
        # The cap's even pace, less three messages for its join and a late beat or two.
        self.beat = max(SECOND, channel.cap_window // max(1, (channel.message_cap or 999) - 3))
        self._short, self._capped = grace < self.beat + channel.max_delay, channel.message_cap > 0
        # Half the limit, and no more than lets a withdrawal behind it arrive within the grace (rules 5, 3).
        self._most = travels + min(
            0.5 * channel.pending_max,
            self.pace * max(0, self._bound - (0 if self._short or not self._capped else self.beat)),
        )

    def at_once(self) -> bool:
        """Whether a change of the list is told as it comes. Where the heads of messages to all proxies take a
        quarter of the channel's second, withdrawals ride on the beat's messages (rules 3 and 5)."""
        heads = self.lines.price(self.proxies.joined, 0)
        return self._short or not (self._capped or heads > 0.25 * SECOND * self.pace)

    def has_room(
        self, gateways: Collection[Gateway], count: float = 1, part: float = 1.0, owed: float = 0.0
    ) -> bool:
        """Whether `count` lines to each may be sent behind what is `owed`. They drain as they are applied."""
        waiting = self.lines.waiting + self.lines.price(gateways, count) + owed
        return not self.lines.waiting or waiting <= min(part * self._most, self.pending_max)

    def presses(self, waited: int, lines: float) -> bool:
        """Whether what can wait for the grace has to go now: what has passed, one more beat, the queue with
        the sum of all that is owed (each alone would find time), and the longest way exceed it (rule 3)."""
        return waited + self.beat + self.lines.queue(lines) >= self._bound

    def split(self) -> int:
        """In how many parts a team is dealt to who joins now: the more of what the channel carries within the
        grace is taken, the shorter are a crowd's tables (rule 3)."""
        taken = self.lines.queue(self.lines.price(self.proxies.unbound, DOZEN)) / max(1, self._bound)
        return 1 + (taken > 0.3) + (taken > 0.6)

    def left(self, gateway: Gateway) -> None:
        self.lines.left(gateway)
        self.proxies.leave(gateway)


class Fleet:
    """The servers: what the list says of them, and which of them are sick."""

    def __init__(self, host: Host, products: Sequence[Product], guarantee: Guarantee, probes: bool) -> None:
        self._host, self._products, self._may_probe = host, products, probes
        self._cold_time, self._cold_from = guarantee.cold_time, guarantee.cold_from
        self.servers, self.jammed = dict[Server, None](), True  # jammed until reports tell

    def listing(self, event: Listing[Server]) -> None:
        if event.kind is not ListKind.CHANGES:
            named = {entry.worker for entry in event.entries}
            for absent in [server for server in self.servers if server not in named]:
                self._turn(absent, Sign.LEAVING)
        for entry in event.entries:
            if (server := entry.worker) not in self.servers:
                server.place = sum((server.zone, server.model) == (s.zone, s.model) for s in self.servers)
                self.servers[server], server.listed_at = None, self._host.now()
            restarted, ready = entry.started_at != server.started_at, entry.availability is Availability.READY
            server.size, server.started_at = max(entry.size, 1e-3), entry.started_at
            started = Sign.STARTED if restarted and self.ramp(server) < 1 else Sign.LISTED
            self._turn(server, started if ready else Sign.LEAVING)

    def ramp(self, server: Server) -> float:
        """What a starting server surely has: from the list alone, so that managers together keep rule 4."""
        age = (self._host.now() - server.started_at) / max(1, self._cold_time) if server.started_at else 1.0
        return min(1.0, self._cold_from + (1 - self._cold_from) * max(0.0, age))

    def in_service(self) -> list[Server]:
        return [server for server in self.servers if server.standing is Standing.SERVING]

    def _turn(self, server: Server, sign: Sign) -> None:  # STANDINGS: state, input, next state, effect
        if (server.standing, sign) in STANDINGS:
            server.standing, effect = STANDINGS[server.standing, sign]
            effect(self, server)

    def _reset(self, server: Server) -> None:
        server.out_until = server.out_for = server.left_at = 0
        server.forget()

    def _leave(self, server: Server) -> None:
        left_at = server.left_at or self._host.now()
        self._reset(server)
        server.left_at = left_at

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
            if self._may_probe and server.standing is not Standing.LEFT:
                self._host.probe(server)
        seen = {server: server.recent_totals(now, 3 + demand.cycle()) for server in self.in_service()}
        many, voided, settled, time = (sum(sums[k] for sums in seen.values()) for k in range(4))
        # A manager whose proxies use one zone's servers would not see that all of those are slow.
        demand.heard_of = (settled, time)
        settled, time = map(sum, zip((settled, time), *(told[:2] for told in demand.told()), strict=True))
        self.jammed = voided >= 0.25 * many
        for server, (n, v, s, t, _) in seen.items():
            ratio = t / s / (time / settled) if s >= 5 and t else 1.0
            # Mostly quick voids where the others have few: sick. Slow voids mean too full, and cost weight;
            # slow for itself, or a server slow by nature would always be taken for too full.
            by_tries = v >= 4 and v > 0.35 * n and voided - v < 0.1 * (many - n) and ratio * server.pace < 1.5
            # In a jam all probes fail: blaming one after the other would push over the rest.
            mute = server.bad_probes >= 2 and not (
                self.jammed or server.recent_totals(now, 1 + demand.cycle())[2]
            )
            # Rule 1: never the last one for a product of its zone.
            if (by_tries or mute) and all(
                any(product.is_eligible(s, server.zone) for s in self.in_service() if s is not server)
                for product in self._products
                if product.is_eligible(server, server.zone)
            ):
                self._turn(server, Sign.SICK)
                continue
            # A tenth a period towards the table's latency over its own, as listed weights are rough. While
            # cold, quick answers to a few txns are no sign of speed (rule 4).
            server.report_count += s >= 5
            step = max(0.1, 1 / (1 + server.report_count))
            server.pace += step * (min(2.0, 1 / ratio) - server.pace) * (s >= 5)
            aim = min(1.6 if self.ramp(server) >= 1 else 1.0, max(0.3, server.pace * server.hint))
            server.factor += max(-step, min(step, aim - server.factor))

    def tries(self, event: Tries[Server]) -> None:
        settled = event.count - event.voided
        # Bounded and weighed by whoever takes reports in; a wire that has none gives no hint.
        event.worker.hint = event.load.get("hint", 1.0)
        event.worker.tries.setdefault(event.zone, Ring(SECOND, 12, 5)).add(
            self._host.now(), event.count, event.voided, settled, settled * event.mean_latency, event.span
        )

    def remembered(self, event: LearnedState[Server]) -> None:
        """From before a restart: it counts as so many reports, so that what is heard outweighs it. Never
        over one that has started anew, nor above its listed weight: what was, may have changed (rule 4)."""
        for was in event.workers:
            if (server := was.worker) in self.servers and self.ramp(server) >= 1 and not server.report_count:
                server.pace, server.factor, server.report_count = (
                    was.speed,
                    min(1.0, was.factor),
                    was.report_count,
                )
                server.out_for, server.out_until = was.exclusion_time, was.excluded_until

    def learned(self) -> list[LearnedWorker[Server]]:
        return [
            LearnedWorker(s, s.pace, s.factor, s.report_count, s.out_for, s.out_until)
            for s in self.servers
            if s.report_count or s.out_for
        ]

    def probed(self, event: Probed[Server]) -> None:
        server, good = event.worker, event.result is ProbeResult.OK
        if event.result is not ProbeResult.REJECTED:  # too many at once says nothing of its health
            server.good_probes = good * (server.good_probes + 1)
            server.bad_probes = (not good) * (server.bad_probes + 1)

    def reached(self, zone: str) -> None:
        home = [server for server in self.servers if server.zone == zone]
        for server in home if all(server.standing is not Standing.SERVING for server in home) else ():
            self._turn(server, Sign.REACHED)


STANDINGS: dict[tuple[Standing, Sign], tuple[Standing, Callable[[Fleet, Server], None]]] = {
    (Standing.LEFT, Sign.LISTED): (Standing.SERVING, Fleet._reset),
    (Standing.SERVING, Sign.SICK): (Standing.OUT, Fleet._exclude),
    (Standing.OUT, Sign.SOUND): (Standing.SERVING, Fleet._try_out),
    (Standing.OUT, Sign.REACHED): (Standing.SERVING, Fleet._reset),
    **{(standing, Sign.STARTED): (Standing.SERVING, Fleet._reset) for standing in Standing},
    **{(standing, Sign.LEAVING): (Standing.LEFT, Fleet._leave) for standing in Standing},
}


class Demand:
    """What comes to this manager's proxies, and what its peers say comes to theirs."""

    def __init__(self, host: Host, outbox: Outbox, products: Sequence[Product], zones: Sequence[str]) -> None:
        self._host, self._outbox, self._products = host, outbox, products
        self._keys = [(zone, product) for zone in zones for product in products]
        self._word = f"<{2 + len(self._keys)}f"
        self._departed: list[tuple[int, list[float]]] = []
        self._told: dict[int, tuple[int, tuple[float, ...]]] = {}
        self._covers, self.heard_of, self._turn = float(SECOND), (0.0, 0.0), 0
        self.smoothed, self.now = dict.fromkeys(products, 0.0), dict.fromkeys(products, 0.0)
        # Each one's part; until heard, none for products tied to models, whose servers would be kept idle.
        self.mix = {p: (not p.models) / (sum(not q.models for q in products) or 1) for p in products}

    def arrivals(self, event: Arrivals[Gateway]) -> None:
        if event.proxy in self._outbox.proxies.joined:
            event.proxy.arrivals[event.product].add(self._host.now(), event.count, event.span)
            event.proxy.rated = -1, 0
            self._covers += 0.02 * (event.span - self._covers)

    def cycle(self) -> int:
        """Seconds in which all reports come round: a fixed window would take a part for the whole."""
        return max(1, min(8, round(self._covers / SECOND)))

    def rates(self, gateway: Gateway) -> dict[Product, float]:
        """By product; worked out once for each time and mix."""
        now, cycle = self._host.now(), self.cycle()
        if gateway.rated not in ((now, self._turn), (now, -1)):
            # Not a whole window heard yet. Taken for idle, the proxies of a lost manager would decline all.
            fresh = now < gateway.joined_at + (3 + cycle) * SECOND
            gateway.rated = now, self._turn if fresh else -1
            # By the time that the lines cover, not by the clock: they come late, merged, and out of step.
            sums = {} if fresh else {p: ring.total(now, 2 + cycle) for p, ring in gateway.arrivals.items()}
            gateway.rates = (
                {p: gateway.usual_rate * part for p, part in self.mix.items()}
                if fresh
                else {p: SECOND * many / max(1.0, covers) for p, (many, covers) in sums.items()}
            )
        return gateway.rates

    def left(self, gateway: Gateway) -> None:
        self._departed.append((self._host.now(), [self.rates(gateway)[p] for p in self._products]))

    def period(self) -> None:
        """The design's smoothing: alpha 0.3, and 5 s in which a departed proxy's demand still counts."""
        self._departed = [left for left in self._departed if left[0] >= self._host.now() - 5 * SECOND]
        own = [self.rates(gateway) for gateway in self._outbox.proxies.joined]
        for place, product in enumerate(self._products):
            now = self.now[product] = sum(rates[product] for rates in own) + sum(
                rates[place] for _, rates in self._departed
            )
            before = self.smoothed[product] or now
            self.smoothed[product] = before + 0.3 * (now - before)
        if total := sum(self.smoothed.values()):
            self.mix = {product: rate / total for product, rate in self.smoothed.items()}
            self._turn += 1

    def word(self) -> bytes:
        return struct.pack(self._word, *self.heard_of, *self.own().values())

    def heard(self, event: PeerMessage) -> None:
        if len(event.data) == struct.calcsize(self._word):
            self._told[event.peer] = self._host.now(), struct.unpack(self._word, event.data)

    def told(self) -> list[tuple[float, ...]]:  # a peer is gone once three words are missed
        return [rates for at, rates in self._told.values() if at > self._host.now() - 3 * SECOND]

    def own(self) -> dict[tuple[str, Product], float]:
        own = {
            zone: [self.rates(gateway) for gateway in self._outbox.proxies.of_zone(zone)]
            for zone, _ in self._keys
        }
        return {(zone, product): sum(rates[product] for rates in own[zone]) for zone, product in self._keys}

    def away(self) -> dict[tuple[str, Product], float]:
        return {key: sum(told[2 + place] for told in self.told()) for place, key in enumerate(self._keys)}


class Levels:
    """The design's overload shares, with the least that keeps them from spiralling down."""

    def __init__(self, host: Host, outbox: Outbox, fleet: Fleet, demand: Demand) -> None:
        self._host, self._outbox, self._fleet, self._demand, self._usual = host, outbox, fleet, demand, 0.0
        self._load, self._shares, self._budget = Load.CALM, dict[Product, float](), 0.0  # 0: all is let in
        self._since = 0  # when the first of its proxies joined
        self._plain = self._latency = self.quiet = self._bar = self._held = self._best = 0.0

    def period(self) -> None:
        self._demand.period()
        self._load, effect = LOADS[self._load, self._heat()]  # state, input, next state, effect
        effect(self)

    def _heat(self) -> Heat:
        """Overload as the design words it, but by the median server: a few sick ones are no lost capacity."""
        # All of a cycle for the sum; but the median of those heard last is as good, and fresher.
        now, serving = self._host.now(), self._fleet.in_service()
        whole, seen = (
            [sums for server in serving if (sums := server.recent_totals(now, buckets))[0] >= 3]
            for buckets in (1 + self._demand.cycle(), 2)
        )
        self._settled = sum(sums[4] for sums in whole)
        # The design's scaling by own proxies: one that comes or goes takes its part of the budget along.
        before, self._usual = self._usual, sum(gateway.usual_rate for gateway in self._outbox.proxies.joined)
        self._since = self._since if before else now
        part = self._usual / before if before else 1.0
        self._budget, self._best = part * self._budget, part * self._best
        # The best of late, fading: own declines and client retries lower successes, not what servers can do.
        self._best = max(self._settled, 0.975 * self._best)
        if now < self._since + (2 + self._demand.cycle()) * SECOND:
            # A round of reports is not in yet: taking what is for all that servers do, a manager that started
            # anew under load declined nine tenths.
            self._best = max(self._best, self._usual)
        voids = median_high([sums[1] / sums[0] for sums in seen] or [0.0])
        before = self._plain
        self._plain = median_high([sums[3] / sums[2] for sums in seen if sums[2]] or [0.0])
        # Led by its change where it nears the bar, as reports come a beat or two late; below, that is noise.
        self._latency = self._plain + (self._plain - before) * (self._plain > 0.75 * self._bar)
        # Twice the quiet average, yet at least 0.35 of the SLA time: below that hardly a txn is late.
        self._bar = max(2 * self.quiet, 0.35 * sum(p.sla_time * m for p, m in self._demand.mix.items()))
        held = fmean([sums[4] * sums[3] / sums[2] for sums in seen if sums[2]] or [0.0])
        if self._load is Load.CALM and self._latency < self._bar:
            self.quiet += (0.05 if self.quiet else 1.0) * (self._plain - self.quiet)
            self._held = max(held, 0.975 * self._held)
        # Voids alone are no lack of capacity, nor is latency while servers hold no more (rate times latency)
        # than in calm times: txns are slow by themselves, and declines would not help, but spiral down.
        if self._latency > self._bar and (voids > 0.05 or held > self._held):
            return Heat.HOT
        return Heat.COOL if all(self.level(product) >= 1 for product in self._shares) else Heat.MILD

    def _lift(self) -> None:
        self._budget = 0.0

    def _impose(self) -> None:
        # What waits beyond the bar has to be settled from the budget too: by the reserve alone a queue stands
        # for many seconds. Led, as one that shrinks needs no cut on top.
        self._share(0.9 * self._settled * min(1.0, self._bar / max(1e-9, self._latency)))

    def _ease(self) -> None:
        # From the budget in force, as what was let in is heard late. Fast up to what the servers last did
        # less the reserve, then slowly, as the limit must be near.
        most = 1.5 if self._budget < 0.9 * self._best else 1.05
        self._share(most * max(self._budget, self._settled))

    def _share(self, budget: float) -> None:
        # Never under 0.65 of the best: latency tells of queues that may be gone by now.
        self._budget = max(budget, 0.65 * self._best)
        self._shares = {p: max(0.05, part) * self._budget for p, part in self._demand.mix.items()}

    def sheds(self) -> bool:
        return self._load is Load.SHED

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


class Tables:
    """What stands in the shared tables, and when changes go out."""

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
        usual: Retry,
    ) -> None:
        self._host, self._outbox, self._fleet, self._demand = host, outbox, fleet, demand
        self._levels, self._unit, self._zones = levels, unit, zones
        self._debt, self._paid = 0.0, 0
        # What a table that sets none has anyway is not set: lines of each joiner (rule 3).
        self._unset = 0.0 if usual is not Retry.UNSENT else 1e6 if unit is LevelUnit.RATE else 1.0
        self._split, self._planned = dict[str, int](), 0
        eligible = [(product.models, product.zones, product.home_only) for product in products]
        self._teams = Teams(
            outbox.proxies,
            [
                [product for product, other in zip(products, eligible, strict=True) if other == kind]
                for kind in dict.fromkeys(eligible)
            ],
        )
        self._tables = self._teams.tables

    def _count(self, zone: str) -> int:
        """Large zones are shared out by the dozen: a line costs each proxy a connection and messages. Proxies
        are dealt once, so the number stays until it is off by three quarters, as in a release."""
        dozens = sum(s.zone == zone and s.standing is not Standing.LEFT for s in self._fleet.servers) / DOZEN
        if abs(dozens - self._split.get(zone, -1)) > 0.75:
            self._split[zone] = max(1, round(dozens))
        return self._split[zone]

    def assign(self, gateway: Gateway) -> None:
        zone, split = gateway.zone, self._outbox.split()
        teams: Sequence[int] = range(self._count(zone))
        if split > 1 and not (teams := self._teams.open(zone, split)):
            teams = self._teams.open_new(zone, split, split * self._count(zone))
            self._planned = 0  # what their tables hold is of an earlier time
        gateway.team = min(teams, key=lambda team: self._outbox.proxies.usual_rate(zone, team))

    def join(self, part: float = 1.0) -> None:
        """Binds who has joined, as the channel drains: a fleet that joins at once would fill it (rule 5). Who
        joins together is planned for together: a table made for the first of them fits none."""
        unbound, ready = self._outbox.proxies.unbound, self._host.now() - SECOND // 32
        many = self._outbox.proxies.unbound_by_team()
        if unbound and self._outbox.presses(ready - next(iter(unbound)).joined_at, self._outbox.owed):
            part = 2.0  # up to the channel's limit, less what withdrawals need of it
        withdrawals = self._outbox.withdrawals * (part > 1)
        for gateway in [gateway for gateway in unbound if gateway.joined_at <= ready]:
            if not self._outbox.has_room([gateway], 1, part, withdrawals):
                break  # nor for any other: planning for them would cost time and bind nobody
            key = gateway.zone, gateway.team
            if key not in self._tables or (not self._tables[key][0].gateways and self._planned < ready):
                # Not planned of late: it could bind a joiner to no line (rule 1). Held tables stay as they
                # are: written at each turn of joiners, their proxies got more messages than may (rule 5).
                self.refresh(False)
            for table in self._tables[key] if many[key] else ():
                self._leave_out(table, many[key])
            many[key] = 0
            cost = sum(table.binding(DOZEN) for table in self._tables[key])
            if self._outbox.has_room([gateway], cost, part, withdrawals):
                del unbound[gateway]
                gateway.tables = self._tables[key]
                self._outbox.lines.add([gateway], cost)
                for table in gateway.tables:
                    table.gateways[gateway] = None
                    self._host.bind(gateway, table.number, table.products)

    def _leave_out(self, table: Table, joiners: int) -> None:
        """A server that left costs each joiner two lines, or one and a head at each who is bound to take it
        out: bindings leave it out where that is less (rule 3)."""
        left = [server for server in table.lines if server.standing is Standing.LEFT]
        less = self._outbox.lines.price(table.gateways, len(left)) <= 2 * len(
            left
        ) * joiners and self._outbox.has_room(table.gateways, len(left))
        for server in left if less and len(left) < len(table.lines) else ():
            del table.lines[server]
            self._host.set_weight(table.number, server, 0.0)
            self._outbox.lines.add(table.gateways)

    def refresh(self, held: bool = True) -> None:
        """Plans, and sends what differs; held: also of tables that proxies hold, which takes messages."""
        for key in [
            *((zone, team) for zone in self._zones for team in range(self._count(zone))),
            *self._outbox.proxies.unbound_by_team(),
        ]:
            self._teams.add(*key)
        self._planned = self._host.now()
        if held:
            self._withdraw()
            if not self._outbox.owed and self._outbox.lines.queue() < SECOND:
                self._teams.make_whole()  # the crowd is told: its tables grow as other moves do
        self._plan()
        self._send(held)
        self._forget()

    def _forget(self) -> None:
        """One that left is kept for a minute, as it may come back under its name while proxies still shut it
        out, and as long as a table names it; for good, names would fill memory."""
        named = {server for table in self._teams.all_tables() for server in table.lines}
        for server in [
            s
            for s in self._fleet.servers
            if s.standing is s.told is Standing.LEFT
            and s.left_at < self._host.now() - 60 * SECOND
            and s not in named
        ]:
            del self._fleet.servers[server]

    def clear_stale_withdrawals(self) -> None:
        """A proxy keeps what a former manager withdrew, which no figure of ours shows: each line is let back
        once, with messages that go out anyway or where the channel has little else to carry."""
        lines, keeps = self._outbox.lines, [g for g in self._outbox.proxies.joined if g.keeps and g.tables]
        for gateway in keeps if self._outbox.has_room((), 0, 0.7, self._outbox.owed) else ():
            latest = gateway.joined_at + 10 * SECOND  # what is listed later, no former manager knew
            named = dict.fromkeys(server for table in gateway.tables for server in table.lines)
            servers = [
                server
                for server in named
                if server.told is Standing.SERVING
                and server.listed_at <= latest
                and server not in gateway.cleared_withdrawals
            ]
            part = 0.7 if lines.price([gateway]) <= 1 else 0.2
            if servers and self._outbox.has_room([gateway], len(servers), part, self._outbox.owed):
                self._host.clear_stale_withdrawals(gateway, servers)
                lines.add([gateway], len(servers))
                gateway.cleared_withdrawals.update(dict.fromkeys(servers))
                gateway.cleared_withdrawals = {
                    server: None for server in gateway.cleared_withdrawals if server in named
                }

    def _holders(self, server: Server) -> Collection[Gateway]:
        return dict.fromkeys(
            gateway
            for table in self._teams.all_tables()
            if server in table.lines
            for gateway in table.gateways
        )

    def _withdraw(self) -> None:
        outbox, servers = self._outbox, self._fleet.servers
        left = sorted(
            (s for s in servers if s.standing is Standing.LEFT and s.told is Standing.SERVING),
            key=lambda server: server.left_at,
        )
        outbox.owed, outbox.withdrawals = self._teams.bindings(outbox.lines, DOZEN), 0.0
        if left:
            self._withdraw_left(left)
            outbox.owed += outbox.withdrawals
        for server in [s for s in servers if s.standing is not s.told and s not in left]:
            # A sick one waits for room, a release also for that of its weight's lines (rule 4).
            holders = self._holders(server)
            count = 3 if server.standing is Standing.SERVING else 1
            if outbox.has_room(holders, count, 0.6, outbox.owed):
                self._tell(server, holders)

    def _withdraw_left(self, left: Sequence[Server]) -> None:
        """Together, as most of a message is its head. A joiner heeds them once it is bound, so binding goes
        before what can wait; what would pass the channel's limit waits for it to drain (rule 5)."""
        outbox, holders = self._outbox, {server: self._holders(server) for server in left}
        union = {gateway: None for some in holders.values() for gateway in some}
        outbox.withdrawals = outbox.lines.price(union, 0) + sum(len(some) for some in holders.values())
        if outbox.proxies.unbound or outbox.lines.waiting + outbox.withdrawals > 0.9 * outbox.pending_max:
            if not outbox.presses(self._host.now() - left[0].left_at, outbox.owed + outbox.withdrawals):
                return
            self.join(1.6)  # before them, room or not: behind them they were bound too late
            holders = {server: self._holders(server) for server in left}
            outbox.owed = self._teams.bindings(outbox.lines, DOZEN)
        outbox.withdrawals = 0.0
        for server in left:
            if outbox.lines.fits(holders[server]):
                self._tell(server, holders[server])
            else:
                outbox.withdrawals += outbox.lines.price(holders[server])

    def _tell(self, server: Server, holders: Collection[Gateway]) -> None:
        self._host.set_withdrawn(server, server.standing is not Standing.SERVING)
        self._outbox.lines.add(holders)
        server.told = server.standing

    def _plan(self) -> None:
        """Home first: a team's demand goes to its own servers up to even use, then its zone's, then far."""
        own, away, ramp = self._demand.own(), self._demand.away(), self._fleet.ramp
        capacity = {s: s.size * s.factor * ramp(s) for s in self._fleet.in_service()}
        heard = {zone for zone, product in own if own[zone, product] + away[zone, product] > 0}
        known = sum(size for server, size in capacity.items() if server.zone in heard) or 1.0
        use = max(1e-3, sum(own.values()) + sum(away.values())) / known
        # Nothing spills to zones unheard of. A tenth over even use stays home: it is known no better. In a
        # jam only the warm get any: proxies avoid full servers, and would all turn to a cold one (rule 4).
        # Overload may tip into one within a beat.
        room = {
            s: 1.1 * use * size * (0.7 if ramp(s) < 1 and self._levels.sheds() else 1.0)
            for s, size in capacity.items()
            if s.zone in heard and ramp(s) >= self._fleet.jammed
        }
        teams = {zone: self._count(zone) for zone in self._zones}
        crews = {key: list[Gateway]() for key in self._tables}
        for gateway in self._outbox.proxies.joined:
            crews[gateway.zone, gateway.team].append(gateway)
        may = {
            table: [s for s in capacity if table.products[0].is_eligible(s, table.zone)]
            for table in self._teams.all_tables()
            if table.team < SPLIT_TEAMS or crews[table.zone, table.team]
        }
        tables = sorted(may, key=lambda table: len(may[table]))  # those with the fewest servers choose first
        for table in tables:
            members, whole = crews[table.zone, table.team], table.team < SPLIT_TEAMS
            told = whole * sum(away[table.zone, product] for product in table.products) / teams[table.zone]
            table.wanted, table.want = (
                {},
                max(
                    1e-3,
                    told
                    + sum(
                        rates[product]
                        for rates in map(self._demand.rates, members)
                        for product in table.products
                    ),
                ),
            )
        tiers: tuple[Callable[[Table, Server], bool], ...] = (
            lambda t, s: s.zone == t.zone and (s.place - t.index) % (t.split * teams[s.zone]) == 0,
            lambda t, s: s.zone == t.zone,
            lambda t, s: s.zone != t.zone,
        )
        for near in tiers:
            for table in tables:
                # What spills goes to as few as have room for it, first those that have a line.
                some = sorted((s for s in may[table] if near(table, s)), key=lambda s: s not in table.lines)
                # Far, a large surplus goes to all: filled to the brim, few servers would be the slowest.
                left, free = table.want - sum(table.wanted.values()), sum(room.get(s, 0.0) for s in some)
                even = not table.wanted or (left > 0.6 * free and all(s.zone != table.zone for s in some))
                for each in [some] if even else [[server] for server in some if room.get(server)]:
                    self._pour(table, each, room)
        for table in tables:
            for least in (1, 0):  # where none has room, what is warm, or else whatever there is
                self._pour(table, [server for server in may[table] if ramp(server) >= least], dict(capacity))
            total = sum(table.wanted.values())  # a line under a hundredth costs a connection for nothing
            table.wanted = {s: 100 * part / total for s, part in table.wanted.items() if part > 0.01 * total}
            if table.split > 1:  # short, by leaving out what carries least
                most = sorted(table.wanted, key=lambda s: -table.wanted[s])[: 30 // table.split]
                table.wanted = {s: part for s, part in table.wanted.items() if s in most}
            # In the scale of the lines that stay, so that these need no change where others come or go.
            stay = [(table.lines[s], part) for s, part in table.wanted.items() if s in table.lines]
            scale = sum(line for line, _ in stay) / sum(part for _, part in stay) if stay else 1.0
            table.wanted = {server: scale * part for server, part in table.wanted.items()}

    @staticmethod
    def _pour(table: Table, servers: Sequence[Server], room: dict[Server, float]) -> None:
        want = table.want - sum(table.wanted.values())
        free = sum(room.get(s, 0.0) for s in servers) if want > 0 else 0.0
        for server in [server for server in servers if server in room] if free > 0 else ():
            part = min(1.0, want / free) * room[server]
            table.wanted[server] = table.wanted.get(server, 0.0) + part
            room[server] -= part

    def _send(self, held: bool) -> None:
        """Levels first; then weights table by table, those of cold servers (rule 4) and the greatest moves
        first, for half of the channel's pace: what small moves gain, they cost in orders and lag."""
        turns, ramp = list[tuple[float, float, Table, list[Server]]](), self._fleet.ramp
        for table in [table for table in self._teams.all_tables() if held or not table.gateways]:
            figures = dict[float, list[Product]]()
            for product in table.products:
                figure, before = self._figure(table, product), table.gates.get(product, self._unset)
                # The last step to full always goes out: held back as small, it would decline for good. A
                # fifth of the room is kept: levels of each beat left a table without a line (rule 1).
                if abs(figure - before) > 0.1 * before or before < 1 <= figure:
                    figures.setdefault(figure, []).append(product)
            for figure, products in figures.items():
                if self._outbox.has_room(table.gateways, 1, 0.8, self._outbox.owed):
                    # No try after one that may have run: rule 2, and lost proxies would feed jams.
                    self._host.set_level(table.number, products, figure, Retry.UNSENT)
                    self._outbox.lines.add(table.gateways)
                    table.gates.update(dict.fromkeys(products, figure))
            # Hysteresis of a tenth, of the line itself or of the even one. An empty plan changes nothing: the
            # last lines stay until there are others (rule 1).
            moves = {
                server: table.wanted.get(server, 0.0) - table.lines.get(server, 0.0)
                for server in {**table.lines, **table.wanted}
                if table.wanted
            }
            whole = sum(table.wanted.values())
            some = sorted(
                (
                    server
                    for server, move in moves.items()
                    if (move < 0 and ramp(server) < 1)
                    or abs(move) > 0.1 * max(table.lines.get(server, 0.0), whole / len(table.wanted))
                ),
                key=lambda s: (s.told is not Standing.SERVING, ramp(s), -abs(moves[s])),
            )
            # Where most of a table left, the rest gets all, which pushes a cold server over (rule 4).
            rest = {s: part for s, part in table.lines.items() if s.told is Standing.SERVING}
            cold = any(ramp(server) < 1 for server in (*some, *rest))
            urgent = 0.7 * (cold or whole > 2 * sum(rest.values())) if rest else 1.0
            turns.append((urgent, sum(abs(moves[s]) for s in some) / max(1e-9, whole), table, some))
        self._debt = max(0.0, self._debt - 0.5 * self._outbox.pace * (self._host.now() - self._paid))
        self._paid, queued = self._host.now(), self._outbox.lines.waiting
        for urgent, _, table, some in sorted(turns, key=lambda turn: turn[:2], reverse=True):
            room, owed = self._outbox.has_room, 0 if urgent else self._outbox.owed
            for server in some:
                # A new server's line goes along with the levels of a long overload, which left it no room.
                comes = 0.7 * (server.zone == table.zone and server not in table.lines)
                # Room is kept for joins and tables without a line (rules 1, 3), then for cold ones (rule 4).
                # A message that goes out anyway costs no second head: moves ride along with its levels.
                rides = 0.7 * (self._outbox.lines.price(table.gateways) <= len(table.gateways))
                part = max(urgent, comes, rides) or 0.4
                if (urgent or comes or not self._debt) and room(table.gateways, 1, part, owed):
                    table.lines[server] = table.wanted.get(server, 0.0)
                    self._host.set_weight(table.number, server, round(table.lines[server], 3))
                    self._outbox.lines.add(table.gateways)
            table.lines = {server: weight for server, weight in table.lines.items() if weight}
            # No more than a second's lines: urgent ones of a long release held up all others for ten more.
            self._debt = min(self._debt + self._outbox.lines.waiting - queued, SECOND * self._outbox.pace)
            queued = self._outbox.lines.waiting

    def _figure(self, table: Table, product: Product) -> float:
        level = self._levels.level(product)
        if self._unit is not LevelUnit.RATE:
            return round(level, 3)
        # The one rate at which the table's proxies let in their share: idle ones leave theirs to the busy.
        rates = sorted(self._demand.rates(gateway)[product] for gateway in table.gateways)
        for most in rates if level < 1 else ():
            if (settles := sum(min(rate, most) for rate in rates)) >= level * sum(rates) > 0:
                return round(max(0.01, most * level * sum(rates) / settles), 3)
        return 1e6  # a rate that no proxy reaches: everything is let in


class Manager:
    """One manager: hands events to its parts, and wakes itself once a beat."""

    BEAT, ASK, BIND = 1, 2, 3  # what a reminder is for

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
        asks_list: bool,
        may_tell: bool,
        slices: int,
        usual: Retry = Retry.NEVER,
    ) -> None:
        self._host, self._draw, self._products = host, Random(seed).random, products
        self._may_tell, self._ask_within, self._failures = (
            may_tell and managers > 1,
            guarantee.list_retry_within,
            0,
        )
        self._outbox = Outbox(channel, guarantee.drain_grace)
        self._fleet = Fleet(host, products, guarantee, may_probe)
        self._demand = Demand(host, self._outbox, products, zones)
        self._levels = Levels(host, self._outbox, self._fleet, self._demand)
        self._tables = Tables(
            host, self._outbox, self._fleet, self._demand, self._levels, products, zones, level_unit, usual
        )
        self._handlers: dict[type, Callable[..., None]] = (
            {}
            if slices
            else {
                Listing: self._listing,
                Reminder: self._reminder,
                Probed: self._fleet.probed,
                Left: self._left,
                PeerMessage: self._demand.heard,
                Joined: self._joined,
                Applied: self._outbox.lines.applied,
                LearnedState: self._remembered,
                Arrivals: self._demand.arrivals,
                Tries: self._fleet.tries,
            }
        )
        if not slices:  # tables of slices are not this module's yet: it stays silent
            # Managers started together beat apart, so that their orders do not land all at once.
            host.wake(1 + int(self._draw() * self._outbox.beat), self.BEAT)
            if asks_list:
                host.watch_list(True)

    def handle(self, event: Event) -> None:
        if handler := self._handlers.get(type(event)):
            handler(event)

    def backlog(self) -> Backlog:
        return backlog(self._host.now(), self._outbox.proxies, self._fleet.servers, self._outbox.lines)

    def learned_state(self) -> LearnedState[Server]:
        """What is worth keeping over a restart."""
        return LearnedState(self._fleet.learned(), self._levels.quiet, dict(self._demand.mix))

    def _remembered(self, event: LearnedState[Server]) -> None:
        self._fleet.remembered(event)
        self._levels.quiet = self._levels.quiet or event.calm_latency
        self._demand.mix.update(event.mix)

    def end_batch(self) -> None:
        self._tables.join()
        if mark := self._outbox.lines.close():
            self._host.checkpoint(mark, False)

    def _listing(self, event: Listing[Server]) -> None:
        self._failures = self._failures + 1 if event.kind is ListKind.FAILED else 0
        if self._failures:
            # Asked again after a doubling wait that differs by manager, inside the time that binds (rule 3).
            wait = min(self._ask_within // 4, SECOND // 4 << min(self._failures, 7))
            return self._host.wake(1 + int(wait * (0.5 + self._draw())), self.ASK)
        self._fleet.listing(event)
        if self._outbox.at_once():  # else at the beat: a message for each of many changes would pass the cap
            self._tables.refresh()

    def _reminder(self, event: Reminder) -> None:
        if event.token == self.ASK:
            self._host.watch_list(True)
        if event.token == self.BEAT:
            self._host.wake(self._outbox.beat, self.BEAT)  # first: a fault must not end the beat
            self._outbox.lines.beat()
            self._fleet.judge(self._demand)
            self._levels.period()
            self._tables.refresh()
            self._tables.clear_stale_withdrawals()
            if self._may_tell:
                self._host.send_to_peer(None, self._demand.word())

    def _joined(self, event: Joined[Gateway]) -> None:
        gateway = event.proxy
        self._left(Left(gateway))  # it may come again before its break was noticed
        gateway.begin(self._host.now(), self._products, event.keeps_withdrawals, 12)
        self._tables.assign(gateway)
        self._outbox.proxies.join(gateway)
        self._fleet.reached(gateway.zone)  # a zone withdrawn as cut off serves its own proxies at once
        self._host.wake(SECOND // 32, self.BIND)  # by then those that join together have joined

    def _left(self, event: Left[Gateway]) -> None:
        if event.proxy in self._outbox.proxies.joined:
            self._demand.left(event.proxy)
            self._outbox.left(event.proxy)
