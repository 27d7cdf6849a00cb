"""Runs a manager as a process: its sockets, signals, log, and the list kept over a restart."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

from twisted.internet import endpoints, threads
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred

from rushladder.catalog.client import CONNECT_TIMEOUT_SECONDS
from rushladder.conf.grammar import Address
from rushladder.conf.objects import GatewayConfig, ManagerConfig
from rushladder.dnsfront.transports import DnsDatagramProtocol, DnsStreamFactory
from rushladder.intake.agent import AgentStatus
from rushladder.intake.ports import AgentCheck, ReportStreams
from rushladder.intake.receiver import ReceiverSupervisor, bind_report_socket
from rushladder.interface import Availability
from rushladder.peers.link import PeerLink
from rushladder.runtime.endpoint import RuntimeClient, RuntimeFactory
from rushladder.service.api import command_table
from rushladder.service.logs import make_log
from rushladder.service.manager import Manager
from rushladder.service.persistence import Persistence
from rushladder.service.probing import HealthProber
from rushladder.store.files import Disk, FolderLocked
from rushladder.store.log import IncompatibleStore, Log
from rushladder.store.memory import MINORS, fleet_id
from rushladder.store.writer import Writer
from rushladder.timing import clock_tenths

reactor: Any = _reactor
SAVE_INTERVAL_SECONDS = 0.2  # between two checks whether the list has changed: many changes become one write
AGENT_CHECK_INTERVAL_SECONDS = 2.0  # between two checks of a server; its answer counts as fresh for 5 s
AGENT_STATES = {"ready": Availability.READY, "drain": Availability.DRAINING, "maint": Availability.GONE}
UDP_READ_BUDGET = 16 * 1024  # bytes of datagrams read per turn of the reactor: 1 to 2 ms of queries
MAX_DNS_QUERY_BYTES = 4096  # eight times the size of a query with all options
HEALTH_PATH = "/health"  # of a collector
DIAL_TIMEOUT_SECONDS = 1.0  # for connecting to a gateway or an agent, and for the agent's answer


def client_endpoint(address: Address) -> Any:
    """The Twisted endpoint that connects to an address."""
    if address.path:
        return endpoints.UNIXClientEndpoint(reactor, address.path, timeout=DIAL_TIMEOUT_SECONDS)
    return endpoints.TCP4ClientEndpoint(reactor, address.host, address.port, timeout=DIAL_TIMEOUT_SECONDS)


def server_endpoint(address: Address) -> Any:
    """The Twisted endpoint that listens on an address."""
    if address.path:
        return endpoints.UNIXServerEndpoint(reactor, address.path, mode=0o600)
    if ":" in address.host:
        return endpoints.TCP6ServerEndpoint(reactor, address.port, interface=address.host)
    return endpoints.TCP4ServerEndpoint(reactor, address.port, interface=address.host)


def clear_path(address: Address) -> None:
    """Removes the UNIX socket that a killed manager left behind, as it would prevent binding."""
    if address.path and Path(address.path).is_socket():
        Path(address.path).unlink()


def dial(gateway: GatewayConfig, client: RuntimeClient) -> Deferred[Any]:
    """Connects a client to a gateway's runtime socket."""
    connected: Deferred[Any] = endpoints.connectProtocol(client_endpoint(gateway.address), client)
    return connected


class ListFile:
    """The file that keeps the list over a restart. It is replaced atomically, never written in place."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    def read(self) -> tuple[str, float]:
        """Returns the text and the seconds since it was written; an empty text if it can't be read."""
        try:
            return self._path.read_text(), max(0.0, time.time() - self._path.stat().st_mtime)
        except (OSError, UnicodeDecodeError):
            return "", 0.0

    def write(self, text: str) -> None:
        """Writes the text. Raises OSError on failure, which leaves the old content intact."""
        temporary = self._path.with_suffix(self._path.suffix + ".new")
        with open(temporary, "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)


def open_persistence(config: ManagerConfig) -> tuple[Persistence | None, str]:
    """Opens the store that a configuration names. Returns it, or None and the reason why it can't be opened.

    A manager also works without a store.
    """
    if not config.memory:
        return None, ""
    try:
        disk = Disk(config.memory)
        fleet = fleet_id(config.regions, [product.name for product in config.products])
        log = Log(disk, fleet, config.identity.name, MINORS, wall=lambda: int(1000 * time.time()))
        log.open()
    except (OSError, FolderLocked, IncompatibleStore) as error:
        return None, str(error)
    writer = Writer(log, reactor, threads.deferToThread, lambda reason: None)
    return Persistence(log, writer, reactor, time.time), ""


class Service:
    """A manager and its sockets."""

    def __init__(self, config: ManagerConfig, log: Any) -> None:
        self._config, self._log = config, log
        self._list_file = ListFile(config.list_file) if config.list_file else None
        restored, age = self._list_file.read() if self._list_file else ("", 0.0)
        memory, reason = open_persistence(config)
        self.manager = Manager(
            config,
            reactor,
            dial,
            HealthProber(reactor, HEALTH_PATH, CONNECT_TIMEOUT_SECONDS) if config.may_probe else None,
            log,
            restored,
            age,
            memory=memory,
        )
        if memory is not None:
            memory.writer.on_error = self.manager.record_error
            for damage in memory.opened.damage:
                self.manager.record_error(f"set aside in {config.memory}: {damage}")
        elif reason:
            self.manager.record_error(f"the store can't be used, nothing is remembered: {reason}")
        self.manager.on_replaced = reactor.stop

    async def start(self) -> None:
        """Binds all sockets, then starts the manager.

        Raises OSError or Twisted's CannotListenError if a socket can't be bound.
        """
        table = command_table(self.manager)
        for listener in self._config.listeners:
            clear_path(listener.address)
            factory = RuntimeFactory(table, listener.level, reactor, on_error=self.manager.record_error)
            await server_endpoint(listener.address).listen(factory)
        if self._config.peer_listener is not None:
            link = PeerLink(
                self._config.identity.name,
                int(time.time() * 1000),
                {peer.name: peer for peer in self._config.peers},
                reactor,
                self.manager.receive_peer_message,
                self.manager.record_error,
            )
            reactor.listenUDP(
                self._config.peer_listener.port, link, interface=self._config.peer_listener.host
            )
            self.manager.peer_senders.append(link)
        if self._config.dns is not None and self.manager.dns is not None:
            address, front = self._config.dns.address, self.manager.dns
            port = reactor.listenUDP(
                address.port,
                DnsDatagramProtocol(front),
                interface=address.host,
                maxPacketSize=MAX_DNS_QUERY_BYTES,
            )
            port.maxThroughput = UDP_READ_BUDGET
            await server_endpoint(address).listen(DnsStreamFactory(front, reactor))
        for transport, address in self._config.report_listeners:
            if transport == "udp":
                receiver = ReceiverSupervisor(
                    self.manager.desk, bind_report_socket(address), self.manager.record_error
                )
                receiver.start()
                self.manager.lanes.append(receiver)
            else:
                await server_endpoint(address).listen(ReportStreams(self.manager.desk, reactor))
        for collector in self._config.collectors:
            if collector.agent is not None:
                self._check_agent(collector.name, collector.agent)
        reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self.manager.start()
        self._save_list()
        self._log.info(
            "manager.started",
            region=self._config.identity.region,
            gateways=len(self._config.gateways),
            servers=len(self.manager.roster.listed),
            restored=self.manager.restored,
            recalled=self.manager.memory.recalled if self.manager.memory is not None else 0,
        )

    def _check_agent(self, name: str, address: Address) -> None:
        """Runs an agent check and schedules the next one, whatever the outcome."""
        reactor.callLater(AGENT_CHECK_INTERVAL_SECONDS, self._check_agent, name, address)
        if name not in self.manager.roster.listed:
            return
        check = AgentCheck()

        def on_answer(answer: AgentStatus) -> None:
            self.manager.desk.record_agent_check(name, answer, clock_tenths(reactor))
            state = AGENT_STATES.get(answer.admin or "")
            if state is not None and name in self.manager.roster.listed:
                self.manager.apply_list_change(
                    self.manager.roster.change(name, clock_tenths(reactor), availability=state)
                )

        def on_failure(failure: Any) -> None:
            self.manager.record_error(f"agent check of {name}: {failure.value}")

        asked: Deferred[Any] = endpoints.connectProtocol(client_endpoint(address), check)
        asked.addCallback(lambda _: check.answer.addTimeout(DIAL_TIMEOUT_SECONDS, reactor))
        asked.addCallbacks(on_answer, on_failure)

    def stop(self) -> Deferred[None] | None:
        """Stops the manager. Returns a Deferred that fires once the store has written everything."""
        for receiver in self.manager.lanes:
            receiver.stop()
        self.manager.stop()
        memory = self.manager.memory
        if memory is None:
            return None
        self.manager.store_changes()
        return memory.writer.stop()

    def _save_list(self) -> None:
        roster = self.manager.roster
        if self._list_file is not None and (roster.version != self.manager.saved_version):
            try:
                self._list_file.write(roster.dump(clock_tenths(reactor)))
                self.manager.saved_version = roster.version
            except OSError as error:
                self.manager.record_error(f"the list could not be saved: {error}")
        reactor.callLater(SAVE_INTERVAL_SECONDS, self._save_list)


def run(config: ManagerConfig) -> int:
    """Runs a manager until it is stopped. Returns the exit status: 1 if a socket can't be bound, else 0."""
    log, errors = make_log(config.log, manager=config.identity.name), list[str]()

    def on_start_failure(failure: Any) -> None:
        errors.append(f"{failure.value}")
        reactor.stop()

    def start_service() -> None:
        Deferred.fromCoroutine(Service(config, log).start()).addErrback(on_start_failure)

    reactor.callWhenRunning(start_service)
    reactor.run()
    if errors:
        log.error("manager.failed", cause=errors[0])
    return 1 if errors else 0
