"""Managers and gateways over in-memory transports and one virtual clock, for deterministic tests."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from rushladder.conf.objects import GatewayConfig
from rushladder.conf.reader import parse_config
from rushladder.interface import ProbeResult
from rushladder.runtime.endpoint import CONNECTION_DONE, Level, RuntimeClient, RuntimeFactory, RuntimeServer
from rushladder.service.manager import Manager
from rushladder.standins.gateway_state import GatewayState

CONFIG = """
manager {name}
    region {region}
    grace 4s
    bare 8s
    cold 15s from 20%
    channel-way 5ms longest 50ms
    messages {cap} per 10s
region a
region b
product ask
    sla 500ms
    expiry 2s
    revenue 1
    repeat inquiry-like
product pay
    sla 1s
    expiry 3s
    revenue 3
    repeat once-only
    writes
"""


class FakeTransport:
    """One end of an in-memory connection.

    Data arrives after `delay` seconds, or is lost if the connection has ended by then. A muted end loses what
    it writes.
    """

    def __init__(self, clock: Clock, delay: float) -> None:
        self.clock, self.delay = clock, delay
        self.other: FakeTransport | None = None
        self.protocol: Any = None
        self.open = True
        self.muted = False
        self._reading, self._buffered = True, b""

    def write(self, data: bytes) -> None:
        if self.muted or not self.open:
            return
        if data:
            self.clock.callLater(self.delay, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        if self.other is not None and self.other.open:
            if self.other._reading:
                self.other.protocol.dataReceived(data)
            else:
                self.other._buffered += data

    def pauseProducing(self) -> None:
        self._reading = False

    def resumeProducing(self) -> None:
        self._reading, buffered, self._buffered = True, self._buffered, b""
        if buffered:
            self.protocol.dataReceived(buffered)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Does nothing: writes are never paused."""

    def loseConnection(self) -> None:
        self.clock.callLater(self.delay, self.abortConnection)

    def abortConnection(self) -> None:
        for side in (self, self.other):
            if side is not None and side.open:
                side.open = False
                side.clock.callLater(0, side.protocol.connectionLost, CONNECTION_DONE)


class RecordingLog:
    """Records each log event with its fields."""

    def __init__(self) -> None:
        self.events = list[tuple[str, dict[str, Any]]]()

    def info(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    warning = info


class FakeProber:
    """Probes succeed, except to the addresses in `failing`."""

    def __init__(self) -> None:
        self.failing = set[str]()

    def probe(self, address: str) -> Deferred[ProbeResult]:
        return succeed(ProbeResult.TIMED_OUT if address in self.failing else ProbeResult.OK)


class FakeCluster:
    """Gateways and managers by name. Every manager's configuration lists all servers."""

    def __init__(self, gateways: int = 2, managers: int = 1, servers: int = 4, cap: int = 12) -> None:
        self.clock, self.prober, self.cap, self.manager_count = Clock(), FakeProber(), cap, managers
        self.clock.advance(1000)
        self.gateway_names = [f"g{k}" for k in range(gateways)]
        self.gateways, self.traffic = dict[str, GatewayState](), dict[str, int]()
        # Commands to the gateways' sockets: time, gateway, words and answer.
        self.sent = list[tuple[float, str, tuple[str, ...], str]]()
        self.connections = dict[tuple[str, str], FakeTransport]()
        self.service_time = dict[str, float]()  # seconds that a txn takes at a server
        self.down, self.hung, self.delay = set[str](), set[str](), 0.002
        # Called with the near end of each new connection, to change how its ends behave.
        self.on_connect: Callable[[str, FakeTransport], None] = lambda name, connection: None
        self.random = Random(3).random
        for name in self.gateway_names:
            self.start_gateway(name)
        self.servers = servers
        self.managers = dict[str, Manager]()
        self.logs = dict[str, RecordingLog]()
        for k in range(managers):
            self.start_manager(f"m{k}")

    def config_text(self, name: str) -> str:
        """A manager's configuration file."""
        text = CONFIG.format(name=name, region="ab"[int(name[1]) % 2], cap=self.cap)
        for k, site in enumerate(self.gateway_names):
            text += f"gateway {site}\n    region {'ab'[k % 2]}\n    socket unix@/none/{site}\n"
            text += "    usual 20/s\n"
        for k in range(self.servers):
            text += f"collector s{k}\n    region {'ab'[k % 2]}\n    address 127.0.0.1:{7000 + k}\n"
        for k in range(self.manager_count):
            text += f"peer m{k}\n    address 127.0.0.1:{7900 + k}\n" if f"m{k}" != name else ""
        return text

    def start_gateway(self, name: str, pid: int = 1) -> GatewayState:
        state = self.gateways[name] = GatewayState(("ask", "pay"), self.clock.seconds, pid, self.random)
        for product in state.backends:  # an initial table, as the proxy's own file has it
            state.add(product, "s0", "127.0.0.1:7000")
        state.on_command = lambda words, answer: self.sent.append((self.clock.seconds(), name, words, answer))
        return state

    def start_manager(self, name: str, restored: str = "") -> Manager:
        self.logs[name] = RecordingLog()
        manager = Manager(
            parse_config(self.config_text(name), "plan"),
            self.clock,
            lambda site, client: self.connect(name, site, client),
            self.prober,
            self.logs[name],
            restored,
        )
        self.managers[name] = manager
        manager.start()
        return manager

    def kill(self, name: str) -> None:
        """Kills a manager: its connections break, and it sends nothing more."""
        manager = self.managers.pop(name)
        manager._stopped = True
        for driver in manager.drivers:
            driver._stopped = True
        for (owner, _), connection in self.connections.items():
            if owner == name and connection.open:
                connection.abortConnection()

    def connect(self, manager: str, site: GatewayConfig, client: RuntimeClient) -> Deferred[Any]:
        connected: Deferred[Any] = Deferred()
        if site.name in self.down:
            self.clock.callLater(self.delay, connected.errback, Failure(ConnectionError("refused")))
            return connected
        near, far = FakeTransport(self.clock, self.delay), FakeTransport(self.clock, self.delay)
        near.other, far.other = far, near
        factory = RuntimeFactory(self.gateways[site.name].commands, Level.ADMIN, self.clock)
        server = factory.buildProtocol(None)
        assert isinstance(server, RuntimeServer)
        near.protocol, far.protocol = client, server
        self.connections[manager, site.name] = near
        self.on_connect(site.name, near)
        server.makeConnection(far)  # type: ignore[no-untyped-call]
        client.makeConnection(near)  # type: ignore[no-untyped-call]
        self.clock.callLater(0, connected.callback, client)
        return connected

    def run(self, seconds: float, rate: int = 0) -> None:
        """Advances the clock in steps of 10 ms. rate: txns of each product a second at each gateway."""
        steps = round(seconds * 100)
        for step in range(steps):
            self.clock.advance(0.01)
            if rate and step % 100 == 0:
                for state in self.gateways.values():
                    for product in state.backends:
                        for _ in range(rate):
                            line = state.pick(product) if state.admits(product) else None
                            if line is not None and line.name in self.hung:
                                line.voided += 1
                            elif line is not None:
                                line.record_settled(self.service_time.get(line.name, 0.15))

    def change_commands(self, name: str, since: float = 0.0) -> list[tuple[str, ...]]:
        """The commands that changed the gateway's servers or maps since a time."""
        return [
            words
            for at, site, words, _ in self.sent
            if site == name
            and at >= since
            and (words[0] in ("add", "del", "prepare", "commit") or words[:2] == ("set", "server"))
        ]

    def usable_weights(self, name: str, product: str) -> dict[str, int]:
        """The weights of the lines that the gateway uses for a product."""
        return {
            line.name: line.weight
            for line in self.gateways[name].backends[product].values()
            if line.weight and line.admin == "ready"
        }

    def holder(self, name: str) -> str:
        """The manager that holds the gateway."""
        return self.gateways[name].variables.get("proc.rushladder_holder", "//").split("/")[1]
