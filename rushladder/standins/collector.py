"""Stand-in collectors: a queue in front of a few cores, slow while cold, crashing under overload, and with
faults on request.

Work is simulated as elapsed time, not as CPU load: a txn occupies a core for its work divided by the
collector's speed. Each collector answers `GET /PRODUCT/ID?work=MS&left=MS` and `GET /health` on a port of its
own.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet import endpoints
from twisted.internet.protocol import DatagramProtocol
from twisted.web import resource, server

from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.runtime.endpoint import CommandRefused, CommandSpec, CommandTable, Level
from rushladder.runtime.grammar import Command
from rushladder.standins.record import EventRecord

RATE_WINDOW = 2.0  # s over which a collector measures its txn rate: about twenty txns


@attrs.frozen
class CollectorConfig:
    """One collector: its port, its cores and their speed, and its warm-up (times in seconds).

    Created from the JSON fields of the same names.
    """

    name: str
    port: int
    cores: int
    speed: float
    cold: float
    cold_from: float
    fall_multiple: float
    fall_for: float
    starts: bool = True
    reports: str = ""  # how it reports its load: true, idle, stuck or flood; empty: not at all
    address: str = ""  # source address of its load reports
    token: str = ""
    managers: tuple[int, ...] = ()  # ports that it sends load reports to


@attrs.define(eq=False)
class _Txn:
    """A txn that is queued or running."""

    request: Any
    txn_id: str
    product: str
    work: float
    deadline: float
    gone: bool = False  # the client has disconnected


class Collector(resource.Resource):
    """One collector: an HTTP resource that runs txns on simulated cores, with a lifecycle and faults."""

    isLeaf = True

    def __init__(self, config: CollectorConfig, reactor: Any, record: EventRecord) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.config, self._reactor, self._record = config, reactor, record
        self._random = Random(config.port)
        self._queue, self._busy = deque[_Txn](), 0
        self._recent_work = deque[tuple[float, float]]()  # (arrival time, work) within the overload window
        self._slowdown, self._failure_share, self._hanging, self._handshake_cost = 1.0, 0.0, False, 0.0
        self._started, self._incarnation = -1e9, 0
        self._port: Any = None
        self._report_socket: Any = None
        self._reports_sent, self._boot_ms, self._created_at = 0, 0, reactor.seconds()
        self._arrivals = deque[float]()  # times within RATE_WINDOW, for the reported rate
        self._connections = set[Any]()

    # Lifecycle.

    def start(self, warm: bool) -> None:
        """Listens with an empty queue and no faults; does nothing if it runs already."""
        if self._port is not None:
            return
        self._incarnation += 1
        self._started = -1e9 if warm else self._reactor.seconds()
        self._queue.clear()
        self._recent_work.clear()
        self._busy, self._slowdown, self._failure_share, self._hanging = 0, 1.0, 0.0, False
        make_site: Any = server.Site
        site = make_site(self)
        build_protocol = site.buildProtocol

        def build_tracked_connection(addr: Any) -> Any:
            connection = build_protocol(addr)
            self._connections.add(connection)
            if self._handshake_cost:  # a new connection occupies a core before the next txn runs
                self._busy += 1
                self._reactor.callLater(self._handshake_cost, self._release_core, self._incarnation)
            return connection

        site.buildProtocol = build_tracked_connection
        self._port = self._reactor.listenTCP(self.config.port, site, interface="127.0.0.1", backlog=200)
        self._record.log_event("start", name=self.config.name, warm=warm)
        if self.config.reports:
            if self._report_socket is None:
                self._report_socket = self._reactor.listenUDP(
                    0, DatagramProtocol(), interface=self.config.address
                )
            self._reports_sent, self._boot_ms = 0, int(time.time() * 1000)
            self._report(self._incarnation)

    def _report(self, incarnation: int) -> None:
        """Sends a load report twice a second, or a hundred times as often in flood mode."""
        if incarnation != self._incarnation or self._report_socket is None:
            return
        mode, self._reports_sent = self.config.reports, self._reports_sent + 1
        load = (self._busy + len(self._queue)) / self.config.cores
        load = {"idle": 0.0, "stuck": 0.5, "flood": 0.0}.get(mode, load)
        uptime = int(1000 * (self._reactor.seconds() - self._created_at))
        datagram = Envelope(
            server=self.config.name,
            token=bytes.fromhex(self.config.token),
            boot=self._boot_ms,
            number=self._reports_sent,
            uptime=uptime,
            report=OrcaLoadReport(
                application_utilization=min(100.0, load), cpu_utilization=load, rps_fractional=self._rate()
            ),
        ).SerializeToString()
        for port in self.config.managers:
            self._report_socket.write(datagram, ("127.0.0.1", port))
        self._reactor.callLater(0.005 if mode == "flood" else 0.5, self._report, incarnation)

    def _rate(self) -> float:
        """Txns per second over the last RATE_WINDOW seconds."""
        while self._arrivals and self._arrivals[0] < self._reactor.seconds() - RATE_WINDOW:
            self._arrivals.popleft()
        return len(self._arrivals) / RATE_WINDOW

    def crash(self, event: str) -> None:
        """Stops listening and aborts all connections; the crash is recorded as `event`."""
        if self._port is None:
            return
        self._record.log_event(event, name=self.config.name)
        self._port.stopListening()
        self._port = None
        self._incarnation += 1
        for connection in self._connections:
            if connection.transport is not None:
                getattr(connection.transport, "abortConnection", connection.transport.loseConnection)()
        self._connections.clear()

    def set_fault(
        self, slowdown: float | None = None, failure_share: float | None = None, hanging: bool | None = None
    ) -> None:
        self._slowdown = self._slowdown if slowdown is None else slowdown
        self._failure_share = self._failure_share if failure_share is None else failure_share
        self._hanging = self._hanging if hanging is None else hanging
        self._record.log_event(
            "trouble",
            name=self.config.name,
            slow=self._slowdown,
            fails=self._failure_share,
            hangs=self._hanging,
        )

    def ramp(self) -> float:
        """The share of its full speed: cold_from at a cold start, 1 when warm."""
        age: float = (self._reactor.seconds() - self._started) / max(1e-3, self.config.cold)
        return min(1.0, self.config.cold_from + (1 - self.config.cold_from) * age)

    # Requests.

    def render_GET(self, request: Any) -> Any:
        path = request.path.decode().strip("/").split("/")
        if self._hanging:
            return server.NOT_DONE_YET
        if path == ["health"]:
            return b"ok\n"
        product, txn_id = path
        work, time_left = (float(request.args[key][0]) / 1000 for key in (b"work", b"left"))
        now = self._reactor.seconds()
        self._crash_if_overloaded(now, work)
        self._arrivals.append(now)
        if self._port is None:
            return server.NOT_DONE_YET
        if self._random.random() < self._failure_share:
            request.setResponseCode(500)
            return b"failed\n"
        txn = _Txn(request, txn_id, product, work, now + time_left)
        request.notifyFinish().addErrback(lambda _: setattr(txn, "gone", True))
        self._queue.append(txn)
        self._start_next()
        return server.NOT_DONE_YET

    def _crash_if_overloaded(self, now: float, work: float) -> None:
        """Crashes a cold collector that is sent more than fall_multiple times its capacity within the window.

        The trial judge reports such a crash as a violation of rule 4.
        """
        config, ramp = self.config, self.ramp()
        self._recent_work.append((now, work))
        while self._recent_work and self._recent_work[0][0] < now - config.fall_for:
            self._recent_work.popleft()
        max_work = config.fall_multiple * ramp * config.cores * config.speed * config.fall_for
        # Ten txns of slack for random variation.
        if ramp < 1 and sum(item_work for _, item_work in self._recent_work) > max_work + 10 * work:
            self.crash("fell")

    def _start_next(self) -> None:
        while self._queue and self._busy < self.config.cores:
            txn = self._queue.popleft()
            if txn.deadline <= self._reactor.seconds():
                continue
            self._busy += 1
            self._record.log_event("run", name=self.config.name, id=txn.txn_id, product=txn.product)
            duration = txn.work * self._slowdown / (self.config.speed * self.ramp())
            self._reactor.callLater(duration, self._finish, txn, self._incarnation)

    def _release_core(self, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self._busy -= 1
            self._start_next()

    def handshake(self, seconds: float) -> None:
        self._handshake_cost = seconds
        self._record.log_event("trouble", name=self.config.name, handshake=seconds)

    def _finish(self, txn: _Txn, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self._busy -= 1
        if not txn.gone and not self._hanging:
            txn.request.write(b"settled\n")
            txn.request.finish()
        self._start_next()


def fault_commands(collectors: dict[str, Collector]) -> CommandTable:
    """The commands by which a trial injects faults."""

    def find(words: tuple[str, ...]) -> Collector:
        if len(words) < 2 or words[1] not in collectors:
            raise CommandRefused("No such collector.")
        return collectors[words[1]]

    def command_spec(name: str, apply: Callable[[Collector, str], None]) -> CommandSpec:
        def call(command: Command, level: Level) -> str:
            apply(find(command.words), (*command.words, "", "")[2])
            return ""

        return CommandSpec((name,), Level.ADMIN, name, call)

    return CommandTable(
        [
            command_spec("crash", lambda collector, _: collector.crash("crash")),
            command_spec("start", lambda collector, _: collector.start(warm=False)),
            command_spec("slow", lambda collector, argument: collector.set_fault(slowdown=float(argument))),
            command_spec(
                "fail", lambda collector, argument: collector.set_fault(failure_share=float(argument))
            ),
            command_spec("handshake", lambda collector, argument: collector.handshake(float(argument))),
            command_spec("hang", lambda collector, argument: collector.set_fault(hanging=argument == "on")),
        ]
    )


def serve(
    configs: list[CollectorConfig], reactor: Any, record: EventRecord, control: str
) -> dict[str, Collector]:
    """Starts the collectors and the control socket that injects their faults."""
    from rushladder.runtime.endpoint import RuntimeFactory

    collectors = {config.name: Collector(config, reactor, record) for config in configs}
    for collector in collectors.values():
        if collector.config.starts:
            collector.start(warm=True)
    endpoints.UNIXServerEndpoint(reactor, control).listen(
        RuntimeFactory(fault_commands(collectors), Level.ADMIN, reactor)
    )
    return collectors
