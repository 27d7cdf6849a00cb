"""A manager as a process: sockets, signals, the log, and the list kept over a restart."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

from twisted.internet import endpoints, reactor as _reactor, threads
from twisted.internet.defer import Deferred

from rushladder.catalog.client import CONNECT_TIMEOUT_SECONDS
from rushladder.conf.grammar import Address
from rushladder.conf.objects import GatewayConfig, ManagerConfig
from rushladder.dnsfront.transports import DnsDatagramProtocol, DnsStreamFactory
from rushladder.intake.agent import AgentStatus
from rushladder.intake.receiver import ReceiverSupervisor, bind_report_socket
from rushladder.intake.ports import AgentCheck, ReportStreams
from rushladder.interface import Availability
from rushladder.peers.link import PeerLink
from rushladder.runtime.endpoint import RuntimeClient, RuntimeFactory
from rushladder.service.api import command_table
from rushladder.service.probing import HealthProber
from rushladder.service.logs import make_log
from rushladder.service.manager import Manager
from rushladder.service.persistence import Persistence
from rushladder.store.files import Disk, FolderLocked
from rushladder.store.log import Log, IncompatibleStore
from rushladder.store.memory import MINORS, fleet_id
from rushladder.store.writer import Writer
from rushladder.timing import clock_tenths

reactor: Any = _reactor
SAVE_EVERY = 0.2  # s between two looks at whether the list has changed: many changes become one write
AGENT_EVERY = 2.0  # s between two agent checks of a server: its answer counts as fresh for five
AGENT_STATES = {"ready": Availability.READY, "drain": Availability.DRAINING, "maint": Availability.GONE}
UDP_READ_BUDGET = 16 * 1024  # bytes of datagrams read before others have their turn: 1 to 2 ms of questions
DNS_MOST = 4096  # bytes of a question: eight times what one with every option takes
HEALTH_PATH = "/health"  # of a collector
DIAL_MOST = 1.0  # s for a connection to a gateway's socket


def client_endpoint(address: Address) -> Any:
    if address.path:
        return endpoints.UNIXClientEndpoint(reactor, address.path, timeout=DIAL_MOST)
    return endpoints.TCP4ClientEndpoint(reactor, address.host, address.port, timeout=DIAL_MOST)


def server_endpoint(address: Address) -> Any:
    if address.path:
        return endpoints.UNIXServerEndpoint(reactor, address.path, mode=0o600)
    if ":" in address.host:
        return endpoints.TCP6ServerEndpoint(reactor, address.port, interface=address.host)
    return endpoints.TCP4ServerEndpoint(reactor, address.port, interface=address.host)


def clear_path(address: Address) -> None:
    """A socket that a killed manager left behind is in the way of the next one."""
    if address.path and Path(address.path).is_socket():
        Path(address.path).unlink()


def dial(site: GatewayConfig, client: RuntimeClient) -> Deferred[Any]:
    dialled: Deferred[Any] = endpoints.connectProtocol(client_endpoint(site.address), client)
    return dialled


class ListFile:
    """The list as it survives a restart: replaced whole, so that no reader meets half of it."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    def read(self) -> tuple[str, float]:
        """Its text, and the seconds since it was written; an empty text if there is none."""
        try:
            return self._path.read_text(), max(0.0, time.time() - self._path.stat().st_mtime)
        except (OSError, UnicodeDecodeError):
            return "", 0.0

    def write(self, text: str) -> None:
        """Raises OSError if it could not be written; what stood there before is still whole then."""
        other = self._path.with_suffix(self._path.suffix + ".new")
        with open(other, "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(other, self._path)


def remember(plan: ManagerConfig) -> tuple[Persistence | None, str]:
    """The memory that a plan names, opened; without one, why. A manager steers without it too."""
    if not plan.memory:
        return None, ""
    try:
        disk = Disk(plan.memory)
        fleet = fleet_id(plan.regions, [product.name for product in plan.products])
        log = Log(disk, fleet, plan.identity.name, MINORS, wall=lambda: int(1000 * time.time()))
        log.open()
    except (OSError, FolderLocked, IncompatibleStore) as trouble:
        return None, str(trouble)
    writer = Writer(log, reactor, threads.deferToThread, lambda why: None)
    return Persistence(log, writer, reactor, time.time), ""


class Service:
    """A manager and its sockets."""

    def __init__(self, plan: ManagerConfig, log: Any) -> None:
        self._plan, self._log = plan, log
        self._file = ListFile(plan.list_file) if plan.list_file else None
        restored, away = self._file.read() if self._file else ("", 0.0)
        memory, why = remember(plan)
        self.manager = Manager(
            plan,
            reactor,
            dial,
            HealthProber(reactor, HEALTH_PATH, CONNECT_TIMEOUT_SECONDS) if plan.may_probe else None,
            log,
            restored,
            away,
            memory=memory,
        )
        if memory is not None:
            memory.writer.on_error = self.manager.fault
            for damage in memory.opened.damage:
                self.manager.fault(f"set aside in {plan.memory}: {damage}")
        elif why:
            self.manager.fault(f"nothing is remembered: {why}")
        self.manager.replaced = reactor.stop

    async def start(self) -> None:
        """Binds every socket, then starts. Raises OSError or Twisted's CannotListenError if one can't be
        bound."""
        table = command_table(self.manager)
        for listener in self._plan.listeners:
            clear_path(listener.address)
            factory = RuntimeFactory(table, listener.level, reactor, on_fault=self.manager.fault)
            await server_endpoint(listener.address).listen(factory)
        if self._plan.peer_listener is not None:
            link = PeerLink(
                self._plan.identity.name,
                int(time.time() * 1000),
                {peer.name: peer for peer in self._plan.peers},
                reactor,
                self.manager.heard,
                self.manager.fault,
            )
            reactor.listenUDP(self._plan.peer_listener.port, link, interface=self._plan.peer_listener.host)
            self.manager.words.append(link)
        if self._plan.dns is not None and self.manager.dns is not None:
            where, front = self._plan.dns.address, self.manager.dns
            port = reactor.listenUDP(
                where.port, DnsDatagramProtocol(front), interface=where.host, maxPacketSize=DNS_MOST
            )
            port.maxThroughput = UDP_READ_BUDGET
            await server_endpoint(where).listen(DnsStreamFactory(front, reactor))
        for kind, where in self._plan.report_listeners:
            if kind == "udp":
                keeper = ReceiverSupervisor(self.manager.desk, bind_report_socket(where), self.manager.fault)
                keeper.start()
                self.manager.lanes.append(keeper)
            else:
                await server_endpoint(where).listen(ReportStreams(self.manager.desk, reactor))
        for site in self._plan.collectors:
            if site.agent is not None:
                self._ask(site.name, site.agent)
        reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self.manager.start()
        self._save()
        self._log.info(
            "manager.started",
            region=self._plan.identity.region,
            gateways=len(self._plan.gateways),
            servers=len(self.manager.roster.listed),
            restored=self.manager.restored,
            recalled=self.manager.memory.recalled if self.manager.memory is not None else 0,
        )

    def _ask(self, name: str, where: Address) -> None:
        """One agent check, and the next after a while, whatever became of it."""
        reactor.callLater(AGENT_EVERY, self._ask, name, where)
        if name not in self.manager.roster.listed:
            return
        check = AgentCheck()

        def said(answer: AgentStatus) -> None:
            self.manager.desk.record_agent_check(name, answer, clock_tenths(reactor))
            state = AGENT_STATES.get(answer.admin or "")
            if state is not None and name in self.manager.roster.listed:
                self.manager.apply_list_change(
                    self.manager.roster.change(name, clock_tenths(reactor), availability=state)
                )

        def unsaid(failure: Any) -> None:
            self.manager.fault(f"agent check of {name}: {failure.value}")

        asked: Deferred[Any] = endpoints.connectProtocol(client_endpoint(where), check)
        asked.addCallback(lambda _: check.answer.addTimeout(DIAL_MOST, reactor))
        asked.addCallbacks(said, unsaid)

    def stop(self) -> Deferred[None] | None:
        for lane in self.manager.lanes:
            lane.stop()
        self.manager.stop()
        memory = self.manager.memory
        if memory is None:
            return None
        self.manager.remember_changes()
        return memory.writer.stop()

    def _save(self) -> None:
        roster = self.manager.roster
        if self._file is not None and (roster.version != self.manager.saved):
            try:
                self._file.write(roster.dump(clock_tenths(reactor)))
                self.manager.saved = roster.version
            except OSError as trouble:
                self.manager.fault(f"the list could not be kept: {trouble}")
        reactor.callLater(SAVE_EVERY, self._save)


def run(plan: ManagerConfig) -> int:
    """Runs a manager until it is told to stop; 0, or 1 if a socket can't be bound."""
    log, failed = make_log(plan.log, manager=plan.identity.name), list[str]()

    def trouble(failure: Any) -> None:
        failed.append(f"{failure.value}")
        reactor.stop()

    def begin() -> None:
        Deferred.fromCoroutine(Service(plan, log).start()).addErrback(trouble)

    reactor.callWhenRunning(begin)
    reactor.run()
    if failed:
        log.error("manager.failed", cause=failed[0])
    return 1 if failed else 0
