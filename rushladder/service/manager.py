"""One manager: its core, a driver for each gateway, probes, peers, and the operations of its runtime API."""

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
from rushladder.core.roster import Roster
from rushladder.core.traffic import TrafficSums
from rushladder.dnsfront.responder import DnsResponder
from rushladder.gateways.driver import DriverTimes, GatewayDriver, Log
from rushladder.gateways.election import HolderElection, HolderState, lease_and_settle_times
from rushladder.guard.waves import Effect
from rushladder.intake.processor import ReportProcessor
from rushladder.interface import Event, Listing, PeerMessage, Probed, ProbeResult
from rushladder.records import Gateway, Server
from rushladder.runtime.endpoint import RuntimeClient
from rushladder.service.persistence import Persistence
from rushladder.store.commands import Journal
from rushladder.timing import TENTHS_PER_SECOND, Clock, DelayedCall, clock_tenths

# Control period. Traffic is summed over it; it is the width of the decision module's time buckets.
PERIOD_SECONDS = 1.0
MAX_ERRORS = 100  # errors in `show errors`: an hour of one every half minute
REPEAT_INTERVAL_SECONDS = 10.0  # a repeated error is counted, and logged at most once in this time


class Prober(Protocol):
    """Probes the health of a collector."""

    def probe(self, address: str) -> Deferred[ProbeResult]: ...


class GatewayOwner(Protocol):
    """Delivers lines to a gateway. `kick` notifies it that there are lines to send."""

    def kick(self) -> None: ...


class PeerSender(Protocol):
    """Sends the decision module's messages to the other managers."""

    def send(self, data: bytes) -> None: ...


class ReportReceiver(Protocol):
    """A process that receives load reports for this manager.

    `listed` notifies it that the list of permitted senders may have changed.
    """

    pid: int
    starts: int

    def listed(self) -> None: ...

    def stop(self) -> None: ...


@attrs.define
class RecordedError:
    """An error for `show errors`. at: when it was last logged; count: how often it occurred."""

    at: float
    message: str
    count: int = 1


class Manager:
    """A manager without its sockets, which are passed in.

    connect: connects the given client to a gateway; restored: the list of servers kept from an earlier run,
    age: the seconds since it was written (both are taken from `memory` if there is one). `clock` does all
    timing; `wall` only serves the DNS front, for zone serials and cookies.
    """

    def __init__(
        self,
        config: ManagerConfig,
        clock: Clock,
        connect: Callable[[GatewayConfig, RuntimeClient], Deferred[Any]],
        prober: Prober | None,
        log: Log,
        restored: str = "",
        age: float = 0.0,
        wall: Callable[[], float] = time.time,
        memory: Persistence | None = None,
    ) -> None:
        self.config, self.clock, self._log, self._prober = config, clock, log, prober
        self._random = Random(config.identity.seed * 1000 + config.identity.number)
        self.started, self.periods, self.events = clock.seconds(), 0, 0
        self.errors, self._last_errors = deque[RecordedError](maxlen=MAX_ERRORS), dict[str, RecordedError]()
        self.roster, self.memory = Roster(), memory
        self.journal = memory.journal if memory is not None else Journal()
        self.on_replaced: Callable[[], None] = lambda: None
        now = clock_tenths(clock)
        if memory is not None:
            restored, age = memory.restore_list()
        self.restored = bool(restored) and self.roster.load(restored, now, int(age * TENTHS_PER_SECOND))
        if restored and not self.restored:
            self.record_error("the stored list is not complete and was ignored")
        for collector in config.collectors if not self.restored else ():
            self.roster.add(
                collector.name,
                collector.region,
                collector.model,
                collector.size,
                str(collector.address),
                0,
                collector.cell,
                collector.limit,
                collector.connections,
            )
        for collector in config.collectors:
            if (listed := self.roster.listed.get(collector.name)) is not None:
                listed.limit, listed.connections = collector.limit, collector.connections
        self.saved_version = self.roster.version
        self.reports, self.peer_senders = TrafficSums(), deque[PeerSender](maxlen=1)
        self.desk, self.lanes = ReportProcessor(now, blind=config.trust_reports), list[ReportReceiver]()
        self._update_report_senders()
        self.core = Core(
            config.identity.seed * 1000 + config.identity.number,
            self.roster,
            managers=1 + len(config.peers),
            zones=config.regions,
            products=config.products,
            channel=config.channel,
            guarantee=config.guarantee,
            level_unit=config.level_unit,
            may_probe=config.may_probe and prober is not None,
            now=now,
            guard=config.guard,
            gateways=[(gateway.name, gateway.region, gateway.usual_rate) for gateway in config.gateways],
        )
        times = config.holding
        lease, settle = lease_and_settle_times(times.poll_interval)
        self.drivers = [
            GatewayDriver(
                clock,
                lambda client, gateway=gateway: connect(gateway, client),  # type: ignore[misc]
                Gateway(gateway.name, gateway.region, gateway.usual_rate),
                self.core,
                self.reports,
                HolderElection(
                    config.identity.name,
                    config.identity.region,
                    # Without peers, every gateway counts as one of the manager's own region.
                    gateway.region if config.peers else config.identity.region,
                    takeover=times.takeover_timeout,
                    settle=settle,
                    lease=lease,
                    highest_epoch=memory.restore_epoch(gateway.name) if memory is not None else 0,
                ),
                DriverTimes(
                    times.poll_interval / TENTHS_PER_SECOND, times.answer_timeout / TENTHS_PER_SECOND
                ),
                self._random.random,
                log,
                self.handle_events,
                self.record_error,
                self.step_down,
            )
            for gateway in config.gateways
        ]
        self._by_gateway: dict[Gateway, GatewayOwner] = {driver.gateway: driver for driver in self.drivers}
        self.dns = self._build_dns_front(wall)
        if self.dns is not None:
            self._by_gateway |= {seat.gateway: seat for seat in self.dns.virtual_gateways}
        if memory is not None:
            memory.restore_guard(self.core.table_guard, now)
            memory.restore_trust(self.desk)
            products = {product.name: product for product in config.products}
            self.core.take(now, memory.restore_learned(self.roster, products, now))
        self._wake_call: DelayedCall | None = None
        self._probes_in_flight = dict[Server, None]()
        self._stopped = False

    def start(self) -> None:
        """Starts the drivers, the DNS front and the control loop."""
        for driver in self.drivers:
            driver.start()
        if self.dns is not None:
            self.dns.start()
        self._run_period()
        self.handle_events()

    def stop(self) -> None:
        """Stops all activity. Gateways keep using the tables that they times."""
        if self._stopped:
            return
        self._stopped = True
        for driver in self.drivers:
            driver.stop()
        if self._wake_call is not None and self._wake_call.active():
            self._wake_call.cancel()
        self._log.info("manager.stopped", gateways=len(self.core.sessions))

    # Events for the decision module, and the orders that it gives.

    def handle_events(self, *events: Event) -> None:
        """Passes one batch of events to the decision module and carries out its orders."""
        if self._stopped:
            return
        self.events += len(events)
        self.core.take(clock_tenths(self.clock), *events)
        self._carry_out_orders()

    def _carry_out_orders(self) -> None:
        probes, self.core.probes = self.core.probes, []
        for server in probes:
            self._start_probe(server)
        messages, self.core.peer_messages = self.core.peer_messages, []
        for data in messages:
            for sender in self.peer_senders:
                sender.send(data)
        for session in self.core.take_pending_sessions():
            self._by_gateway[session.gateway].kick()
        wake_at = self.core.next_wake()
        if wake_at is not None:
            if self._wake_call is not None and self._wake_call.active():
                self._wake_call.cancel()
            self._wake_call = self.clock.callLater(
                max(0.0, wake_at / TENTHS_PER_SECOND - self.clock.seconds()) + 1e-4, self.handle_events
            )

    def _run_period(self) -> None:
        if not self._stopped:
            self.periods += 1
            self.clock.callLater(PERIOD_SECONDS, self._run_period)
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
            self.handle_events(*self.reports.take_events(self._load_hints()), *self._dns_events())
            self._store_learned()
            errors, self.core.table_guard.order_errors = self.core.table_guard.order_errors, []
            for message in errors:
                self.record_error(message)

    def _store_learned(self) -> None:
        """Writes the learned state to the store. An error there must not stop the control loop."""
        if self.memory is None:
            return
        try:
            learned, now = self.core.manager.learned_state(), clock_tenths(self.clock)
            self.memory.store_period(learned, self.roster, self.core.table_guard, self.desk, now)
            for driver in self.drivers:
                if driver.election.state is HolderState.HOLDING:
                    self.memory.store_epoch(driver.gateway.name, driver.election.epoch)
        except Exception as error:
            self.record_error(f"the learned state could not be stored: {type(error).__name__}: {error}")

    def store_changes(self) -> None:
        """Stores the list and the operators' factors now, before a command that changed them is answered."""
        if self.memory is not None:
            self.memory.store_list(self.roster, clock_tenths(self.clock))
            self.memory.store_guard(self.core.table_guard)

    def step_down(self) -> None:
        """Stops this process, as a later one with the same manager name has taken over."""
        if not self._stopped:
            self.record_error("replaced by a later process of the same name: this one stops")
            self.stop()
            self.on_replaced()

    def _build_dns_front(self, wall: Callable[[], float]) -> DnsResponder | None:
        config = self.config
        if config.dns is None:
            return None
        return DnsResponder(
            # Without a shared secret, each manager accepts only the DNS cookies that it issued itself.
            attrs.evolve(config.dns, secret=config.dns.secret or secrets.token_bytes(16)),
            config.identity.name,
            config.identity.region,
            config.regions,
            self.core,
            self.clock,
            wall,
            self._random.random,
            self.handle_events,
            config.guarantee.drain_grace,
            config.channel.max_delay,
        )

    def _dns_events(self) -> list[Event]:
        """Returns the traffic of DNS clients as events. An error there must not stop the control loop."""
        if self.dns is None:
            return []
        try:
            return self.dns.end_period(self.desk.rates(clock_tenths(self.clock)))
        except Exception as error:
            self.record_error(f"the DNS front's period failed: {type(error).__name__}: {error}")
            return []

    def _load_hints(self) -> dict[str, float]:
        """Returns the hints of servers' load reports, checked against latency; empty if no server reports."""
        now = clock_tenths(self.clock)
        if not self.desk.senders:
            return {}
        totals = {name: listed.server.recent_totals(now, 4) for name, listed in self.roster.listed.items()}
        settled, time = (sum(sums[k] for sums in totals.values()) for k in (2, 3))
        mean = time / settled if settled else 0.0
        latency = {name: sums[3] / sums[2] / mean for name, sums in totals.items() if sums[2] >= 5 and mean}
        return self.desk.update_hints(latency, now)

    def _update_report_senders(self) -> None:
        """Updates the permitted senders of load reports from the list and the configuration."""
        collectors = {
            collector.name: collector
            for collector in self.config.collectors
            if collector.reports_from or collector.agent
        }
        for name in [name for name in self.desk.senders if name not in self.roster.listed]:
            self.desk.forget(name)
        for name, collector in collectors.items():
            if name in self.roster.listed:
                self.desk.register(name, collector.reports_from or f"agent of {name}", collector.token)
        for receiver in self.lanes:
            receiver.listed()

    def _start_probe(self, server: Server) -> None:
        listed = self.roster.listed.get(server.name)
        # One probe of a server at a time: an answer slower than a period still counts when it arrives.
        if (
            self._prober is None
            or listed is None
            or listed.server is not server
            or server in self._probes_in_flight
        ):
            return
        self._probes_in_flight[server] = None
        sent_at = clock_tenths(self.clock)

        def done(result: Any) -> None:
            self._probes_in_flight.pop(server, None)
            probe_result = result if isinstance(result, ProbeResult) else ProbeResult.ERROR
            self.handle_events(Probed(server, probe_result, clock_tenths(self.clock) - sent_at))

        self._prober.probe(listed.address).addBoth(done)

    def receive_peer_message(self, peer: int, data: bytes) -> None:
        self.handle_events(PeerMessage(peer, data))

    def apply_list_change(self, event: Listing[Server] | None) -> None:
        """Logs, applies and stores a change of the list that the runtime API or an agent check made."""
        if event is not None:
            self._log.info(
                "list.changed",
                version=event.version,
                servers=[f"{entry.worker.name}={entry.availability.name}" for entry in event.entries][:20],
            )
            self._update_report_senders()
            if self.dns is not None:
                self.dns.list_changed()
            self.handle_events(event)
            if self.memory is not None:
                self.memory.store_list(self.roster, clock_tenths(self.clock))

    def log_event(self, event: str, **fields: Any) -> None:
        """Logs the effect of an operator's command."""
        self._log.info(event, **fields)

    # Errors.

    def record_error(self, message: str) -> None:
        """Records an error for `show errors`. A repeated one is counted, and logged again after a while."""
        now = self.clock.seconds()
        earlier = self._last_errors.get(message)
        if earlier is not None and now - earlier.at < REPEAT_INTERVAL_SECONDS:
            earlier.count += 1
            return
        error = RecordedError(now, message)
        if earlier is not None:
            self.errors.remove(earlier) if earlier in self.errors else None
            error.count += earlier.count
        self.errors.append(error)
        self._last_errors[message] = error
        while len(self._last_errors) > MAX_ERRORS:
            del self._last_errors[next(iter(self._last_errors))]
        self._log.warning("fault", cause=message, many=error.count)
