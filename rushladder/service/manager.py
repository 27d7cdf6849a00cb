"""One manager: its core, a driver for each gateway, probes, peers, and what its own runtime API asks of
it."""

from __future__ import annotations

import secrets
import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import attrs
from twisted.internet.defer import Deferred

from rushladder.conf.objects import GatewayConfig, ManagerConfig
from rushladder.core.host import Core
from rushladder.core.traffic import TrafficSums
from rushladder.core.roster import Roster
from rushladder.dnsfront.responder import DnsResponder
from rushladder.gateways.driver import GatewayDriver, Log, DriverTimes
from rushladder.gateways.election import HolderElection, HolderState, lease_and_settle_times
from rushladder.guard.waves import Effect
from rushladder.intake.processor import ReportProcessor
from rushladder.interface import Event, Listing, PeerMessage, Probed, ProbeResult
from rushladder.records import Gateway, Server
from rushladder.runtime.endpoint import RuntimeClient
from rushladder.service.persistence import Persistence
from rushladder.store.commands import Journal
from rushladder.timing import TENTHS_PER_SECOND, Clock, DelayedCall, clock_tenths

PERIOD = 1.0  # s between two sums of reports: the module's bucket of time
ERRORS_KEPT = 100  # lines of `show errors`: an hour of one fault every half minute
SAME_AGAIN = 10.0  # s for which a fault that repeats is counted and not logged again


class Prober(Protocol):
    """Asks a collector whether it is well."""

    def probe(self, address: str) -> Deferred[ProbeResult]: ...


class Kicked(Protocol):
    """What stands for a gateway: is told when something is owed to it."""

    def kick(self) -> None: ...


class Words(Protocol):
    """Sends the module's words to the other managers."""

    def send(self, data: bytes) -> None: ...


class Reading(Protocol):
    """A process that reads reports for this manager: is told when the reporters may have changed."""

    pid: int
    starts: int

    def listed(self) -> None: ...

    def stop(self) -> None: ...


@attrs.define
class Fault:
    at: float
    what: str
    many: int = 1


class Manager:
    """Everything of one manager but its sockets, which are handed in.

    connect: dials a gateway with the client it is given. The clock is the only one there is.
    """

    def __init__(
        self,
        plan: ManagerConfig,
        clock: Clock,
        connect: Callable[[GatewayConfig, RuntimeClient], Deferred[Any]],
        prober: Prober | None,
        log: Log,
        restored: str = "",
        away: float = 0.0,
        wall: Callable[[], float] = time.time,
        memory: Persistence | None = None,
    ) -> None:
        self.plan, self.clock, self._log, self._prober = plan, clock, log, prober
        self._random = Random(plan.identity.seed * 1000 + plan.identity.number)
        self.started, self.beats, self.events = clock.seconds(), 0, 0
        self.errors, self._told = deque[Fault](maxlen=ERRORS_KEPT), dict[str, Fault]()
        self.roster, self.memory = Roster(), memory
        self.journal = memory.journal if memory is not None else Journal()
        self.replaced: Callable[[], None] = lambda: None
        now = clock_tenths(clock)
        if memory is not None:
            restored, away = memory.list()
        self.restored = bool(restored) and self.roster.load(restored, now, int(away * TENTHS_PER_SECOND))
        if restored and not self.restored:
            self.fault("the list kept from before is not whole, and was passed over")
        for site in plan.collectors if not self.restored else ():
            self.roster.add(
                site.name,
                site.region,
                site.model,
                site.size,
                str(site.address),
                0,
                site.cell,
                site.limit,
                site.connections,
            )
        for site in plan.collectors:
            if (listed := self.roster.listed.get(site.name)) is not None:
                listed.limit, listed.connections = site.limit, site.connections
        self.saved = self.roster.version
        self.reports, self.words = TrafficSums(), deque[Words](maxlen=1)
        self.desk, self.lanes = ReportProcessor(now, blind=plan.blind), list[Reading]()
        self._reporters()
        self.core = Core(
            plan.identity.seed * 1000 + plan.identity.number,
            self.roster,
            managers=1 + len(plan.peers),
            zones=plan.regions,
            products=plan.products,
            channel=plan.channel,
            guarantee=plan.guarantee,
            level_unit=plan.level_unit,
            may_probe=plan.may_probe and prober is not None,
            now=now,
            guard=plan.guard,
            gateways=[(site.name, site.region, site.usual_rate) for site in plan.gateways],
        )
        hold = plan.holding
        lease, settle = lease_and_settle_times(hold.poll)
        self.drivers = [
            GatewayDriver(
                clock,
                lambda client, site=site: connect(site, client),  # type: ignore[misc]
                Gateway(site.name, site.region, site.usual_rate),
                self.core,
                self.reports,
                HolderElection(
                    plan.identity.name,
                    plan.identity.region,
                    site.region if plan.peers else plan.identity.region,  # alone, it is at home everywhere
                    takeover=hold.takeover,
                    settle=settle,
                    lease=lease,
                    highest_epoch=memory.epoch(site.name) if memory is not None else 0,
                ),
                DriverTimes(hold.poll / TENTHS_PER_SECOND, hold.patience / TENTHS_PER_SECOND),
                self._random.random,
                log,
                self.handle_events,
                self.fault,
                self.give_way,
            )
            for site in plan.gateways
        ]
        self._by_gateway: dict[Gateway, Kicked] = {driver.gateway: driver for driver in self.drivers}
        self.dns = self._dns(wall)
        if self.dns is not None:
            self._by_gateway |= {seat.gateway: seat for seat in self.dns.virtual_gateways}
        if memory is not None:
            memory.restore_guard(self.core.table_guard, now)
            memory.restore_trust(self.desk)
            products = {product.name: product for product in plan.products}
            self.core.take(now, memory.recall(self.roster, products, now))
        self._wake: DelayedCall | None = None
        self._probing = dict[Server, None]()
        self._stopped = False

    def start(self) -> None:
        for driver in self.drivers:
            driver.start()
        if self.dns is not None:
            self.dns.start()
        self._period()
        self.handle_events()

    def stop(self) -> None:
        """Gateways go on with the tables that they hold."""
        if self._stopped:
            return
        self._stopped = True
        for driver in self.drivers:
            driver.stop()
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        self._log.info("manager.stopped", gateways=len(self.core.sessions))

    # Events in, orders out.

    def handle_events(self, *events: Event) -> None:
        """One batch for the module, and what it ordered."""
        if self._stopped:
            return
        self.events += len(events)
        self.core.take(clock_tenths(self.clock), *events)
        self._orders()

    def _orders(self) -> None:
        probes, self.core.probes = self.core.probes, []
        for server in probes:
            self._probe(server)
        words, self.core.peer_messages = self.core.peer_messages, []
        for data in words:
            for sender in self.words:
                sender.send(data)
        for port in self.core.take_pending_sessions():
            self._by_gateway[port.gateway].kick()
        wake = self.core.next_wake()
        if wake is not None:
            if self._wake is not None and self._wake.active():
                self._wake.cancel()
            self._wake = self.clock.callLater(
                max(0.0, wake / TENTHS_PER_SECOND - self.clock.seconds()) + 1e-4, self.handle_events
            )

    def _period(self) -> None:
        if not self._stopped:
            self.beats += 1
            self.clock.callLater(PERIOD, self._period)
            self.core.update_guard_demand()
            effect = self.core.evaluate_wave(self.reports.take_arms())
            if effect is not Effect.NONE and self.core.table_guard.wave is not None:
                wave = self.core.table_guard.wave
                self._log.info(
                    "wave",
                    version=wave.number,
                    effect=effect.value,
                    stage=wave.stage.value,
                    gateways=len(wave.changed),
                    sure=round(wave.test.probability_worse(), 4),
                )
            self.handle_events(*self.reports.take_events(self._hints()), *self._came_by_name())
            self._remember()
            faults, self.core.table_guard.order_errors = self.core.table_guard.order_errors, []
            for what in faults:
                self.fault(what)

    def _remember(self) -> None:
        """What was learned, to the store. A fault there must not cost the module its beat."""
        if self.memory is None:
            return
        try:
            learned, now = self.core.manager.learned_state(), clock_tenths(self.clock)
            self.memory.period(learned, self.roster, self.core.table_guard, self.desk, now)
            for driver in self.drivers:
                if driver.election.state is HolderState.HOLDING:
                    self.memory.held(driver.gateway.name, driver.election.epoch)
        except Exception as trouble:
            self.fault(f"what was learned could not be noted: {type(trouble).__name__}: {trouble}")

    def remember_changes(self) -> None:
        """The list and the operators' factors, at once: an answer says that they stand."""
        if self.memory is not None:
            self.memory.listing(self.roster, clock_tenths(self.clock))
            self.memory.guard(self.core.table_guard)

    def give_way(self) -> None:
        """A later process of this manager's name steers: this one sends nothing more."""
        if not self._stopped:
            self.fault("replaced by a later process of the same name: this one gives way")
            self.stop()
            self.replaced()

    def _dns(self, wall: Callable[[], float]) -> DnsResponder | None:
        plan = self.plan
        if plan.dns is None:
            return None
        return DnsResponder(
            # Where managers share no secret, each knows its own cookies only.
            attrs.evolve(plan.dns, secret=plan.dns.secret or secrets.token_bytes(16)),
            plan.identity.name,
            plan.identity.region,
            plan.regions,
            self.core,
            self.clock,
            wall,
            self._random.random,
            self.handle_events,
            plan.guarantee.drain_grace,
            plan.channel.max_delay,
        )

    def _came_by_name(self) -> list[Event]:
        """What DNS clients brought. A fault there must not cost the module its beat."""
        if self.dns is None:
            return []
        try:
            return self.dns.end_period(self.desk.rates(clock_tenths(self.clock)))
        except Exception as trouble:
            self.fault(f"the DNS front's period failed: {type(trouble).__name__}: {trouble}")
            return []

    def _hints(self) -> dict[str, float]:
        """What servers' own reports say, against what was measured; empty where none reports."""
        now = clock_tenths(self.clock)
        if not self.desk.senders:
            return {}
        seen = {name: listed.server.recent_totals(now, 4) for name, listed in self.roster.listed.items()}
        settled, time = (sum(sums[k] for sums in seen.values()) for k in (2, 3))
        mean = time / settled if settled else 0.0
        latency = {name: sums[3] / sums[2] / mean for name, sums in seen.items() if sums[2] >= 5 and mean}
        return self.desk.update_hints(latency, now)

    def _reporters(self) -> None:
        """Who may report, as the list and the configuration say."""
        sites = {site.name: site for site in self.plan.collectors if site.reports_from or site.agent}
        for name in [name for name in self.desk.senders if name not in self.roster.listed]:
            self.desk.forget(name)
        for name, site in sites.items():
            if name in self.roster.listed:
                self.desk.register(name, site.reports_from or f"agent of {name}", site.token)
        for lane in self.lanes:
            lane.listed()

    def _probe(self, server: Server) -> None:
        listed = self.roster.listed.get(server.name)
        # One probe of a server at a time: a slower answer than a beat says enough when it comes.
        if self._prober is None or listed is None or listed.server is not server or server in self._probing:
            return
        self._probing[server] = None
        asked = clock_tenths(self.clock)

        def done(result: Any) -> None:
            self._probing.pop(server, None)
            found = result if isinstance(result, ProbeResult) else ProbeResult.ERROR
            self.handle_events(Probed(server, found, clock_tenths(self.clock) - asked))

        self._prober.probe(listed.address).addBoth(done)

    def heard(self, peer: int, data: bytes) -> None:
        self.handle_events(PeerMessage(peer, data))

    def apply_list_change(self, event: Listing[Server] | None) -> None:
        """A change of the list that the runtime API made."""
        if event is not None:
            self._log.info(
                "list.changed",
                version=event.version,
                servers=[f"{entry.worker.name}={entry.availability.name}" for entry in event.entries][:20],
            )
            self._reporters()
            if self.dns is not None:
                self.dns.list_changed()
            self.handle_events(event)
            if self.memory is not None:
                self.memory.listing(self.roster, clock_tenths(self.clock))

    def told(self, event: str, **more: Any) -> None:
        """Logs what an operator's command did."""
        self._log.info(event, **more)

    # Faults.

    def fault(self, what: str) -> None:
        """Notes a fault for `show errors`; one that repeats is counted, and logged again after a while."""
        now = self.clock.seconds()
        known = self._told.get(what)
        if known is not None and now - known.at < SAME_AGAIN:
            known.many += 1
            return
        fault = Fault(now, what)
        if known is not None:
            self.errors.remove(known) if known in self.errors else None
            fault.many += known.many
        self.errors.append(fault)
        self._told[what] = fault
        while len(self._told) > ERRORS_KEPT:
            del self._told[next(iter(self._told))]
        self._log.warning("fault", cause=what, many=fault.many)
