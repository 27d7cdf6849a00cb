"""Collectors: queues before a few cores, started cold, that fall over when pushed; and troubles on request.

Work is time, not load on this machine: a core is busy for a txn's work over its speed. Each collector answers
`GET /PRODUCT/ID?work=MS&left=MS` on a port of its own, and `GET /health`.
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
from rushladder.runtime.endpoint import Level, CommandRefused, CommandSpec, CommandTable
from rushladder.runtime.grammar import Command
from rushladder.standins.event_record import EventRecord


RATED = 2.0  # s over which a collector counts what it gets: a score of txns


@attrs.frozen
class CollectorConfig:
    """What one collector is: where it answers, its cores and their speed, and how it starts (seconds)."""

    name: str
    port: int
    cores: int
    speed: float
    cold: float
    cold_from: float
    fall_multiple: float
    fall_for: float
    starts: bool = True
    reports: str = ""  # true, idle, stuck or flood; empty: none
    address: str = ""  # that its reports come from
    token: str = ""
    managers: tuple[int, ...] = ()  # ports to report to


@attrs.define(eq=False)
class _Txn:
    request: Any
    name: str
    product: str
    work: float
    until: float
    gone: bool = False


class Collector(resource.Resource):
    isLeaf = True

    def __init__(self, build: CollectorConfig, reactor: Any, record: EventRecord) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.build, self._reactor, self._record = build, reactor, record
        self._random = Random(build.port)
        self._queue, self._busy = deque[_Txn](), 0
        self._sent = deque[tuple[float, float]]()  # times and work of what came within the window of rule 4
        self._slow, self._fails, self._hangs, self._shakes = 1.0, 0.0, False, 0.0
        self._started, self._life = -1e9, 0
        self._port: Any = None
        self._wire: Any = None
        self._told, self._boot, self._begun = 0, 0, reactor.seconds()
        self._came = deque[float]()  # times of the txns of the last seconds, for the rate that it reports
        self._channels = set[Any]()

    # Its life.

    def start(self, warm: bool) -> None:
        if self._port is not None:
            return
        self._life += 1
        self._started = -1e9 if warm else self._reactor.seconds()
        self._queue.clear()
        self._sent.clear()
        self._busy, self._slow, self._fails, self._hangs = 0, 1.0, 0.0, False
        make_site: Any = server.Site
        site = make_site(self)
        build = site.buildProtocol

        def noted(addr: Any) -> Any:
            channel = build(addr)
            self._channels.add(channel)
            if self._shakes:  # a new connection costs a core its time before the next txn
                self._busy += 1
                self._reactor.callLater(self._shakes, self._free, self._life)
            return channel

        site.buildProtocol = noted
        self._port = self._reactor.listenTCP(self.build.port, site, interface="127.0.0.1", backlog=200)
        self._record.log_event("start", name=self.build.name, warm=warm)
        if self.build.reports:
            if self._wire is None:
                self._wire = self._reactor.listenUDP(0, DatagramProtocol(), interface=self.build.address)
            self._told, self._boot = 0, int(time.time() * 1000)
            self._report(self._life)

    def _report(self, life: int) -> None:
        """Twice a second; a flooder a hundred times as often."""
        if life != self._life or self._wire is None:
            return
        how, self._told = self.build.reports, self._told + 1
        load = (self._busy + len(self._queue)) / self.build.cores
        load = {"idle": 0.0, "stuck": 0.5, "flood": 0.0}.get(how, load)
        uptime = int(1000 * (self._reactor.seconds() - self._begun))
        data = Envelope(
            server=self.build.name,
            token=bytes.fromhex(self.build.token),
            boot=self._boot,
            number=self._told,
            uptime=uptime,
            report=OrcaLoadReport(
                application_utilization=min(100.0, load), cpu_utilization=load, rps_fractional=self._rate()
            ),
        ).SerializeToString()
        for port in self.build.managers:
            self._wire.write(data, ("127.0.0.1", port))
        self._reactor.callLater(0.005 if how == "flood" else 0.5, self._report, life)

    def _rate(self) -> float:
        """Txns a second over the last RATED seconds."""
        while self._came and self._came[0] < self._reactor.seconds() - RATED:
            self._came.popleft()
        return len(self._came) / RATED

    def crash(self, why: str) -> None:
        if self._port is None:
            return
        self._record.log_event(why, name=self.build.name)
        self._port.stopListening()
        self._port = None
        self._life += 1
        for channel in self._channels:
            if channel.transport is not None:
                getattr(channel.transport, "abortConnection", channel.transport.loseConnection)()
        self._channels.clear()

    def trouble(
        self, slow: float | None = None, fails: float | None = None, hangs: bool | None = None
    ) -> None:
        self._slow = self._slow if slow is None else slow
        self._fails = self._fails if fails is None else fails
        self._hangs = self._hangs if hangs is None else hangs
        self._record.log_event(
            "trouble", name=self.build.name, slow=self._slow, fails=self._fails, hangs=self._hangs
        )

    def ramp(self) -> float:
        age: float = (self._reactor.seconds() - self._started) / max(1e-3, self.build.cold)
        return min(1.0, self.build.cold_from + (1 - self.build.cold_from) * age)

    # Its work.

    def render_GET(self, request: Any) -> Any:
        path = request.path.decode().strip("/").split("/")
        if self._hangs:
            return server.NOT_DONE_YET
        if path == ["health"]:
            return b"ok\n"
        product, name = path
        work, left = (float(request.args[key][0]) / 1000 for key in (b"work", b"left"))
        now = self._reactor.seconds()
        self._push(now, work)
        self._came.append(now)
        if self._port is None:
            return server.NOT_DONE_YET
        if self._random.random() < self._fails:
            request.setResponseCode(500)
            return b"failed\n"
        txn = _Txn(request, name, product, work, now + left)
        request.notifyFinish().addErrback(lambda _: setattr(txn, "gone", True))
        self._queue.append(txn)
        self._next()
        return server.NOT_DONE_YET

    def _push(self, now: float, work: float) -> None:
        """Rule 4: a cold one that is sent over so many times what it can do within the window falls over."""
        build, ramp = self.build, self.ramp()
        self._sent.append((now, work))
        while self._sent and self._sent[0][0] < now - build.fall_for:
            self._sent.popleft()
        most = build.fall_multiple * ramp * build.cores * build.speed * build.fall_for
        # A little slack for chance: ten txns more than that.
        if ramp < 1 and sum(some for _, some in self._sent) > most + 10 * work:
            self.crash("fell")

    def _next(self) -> None:
        while self._queue and self._busy < self.build.cores:
            txn = self._queue.popleft()
            if txn.until <= self._reactor.seconds():
                continue
            self._busy += 1
            self._record.log_event("run", name=self.build.name, id=txn.name, product=txn.product)
            took = txn.work * self._slow / (self.build.speed * self.ramp())
            self._reactor.callLater(took, self._end, txn, self._life)

    def _free(self, life: int) -> None:
        if life == self._life:
            self._busy -= 1
            self._next()

    def handshake(self, seconds: float) -> None:
        self._shakes = seconds
        self._record.log_event("trouble", name=self.build.name, handshake=seconds)

    def _end(self, txn: _Txn, life: int) -> None:
        if life != self._life:
            return
        self._busy -= 1
        if not txn.gone and not self._hangs:
            txn.request.write(b"settled\n")
            txn.request.finish()
        self._next()


def verbs(collectors: dict[str, Collector]) -> CommandTable:
    """How a trial brings troubles about."""

    def find(words: tuple[str, ...]) -> Collector:
        if len(words) < 2 or words[1] not in collectors:
            raise CommandRefused("No such collector.")
        return collectors[words[1]]

    def verb(word: str, run: Callable[[Collector, str], None]) -> CommandSpec:
        def call(command: Command, level: Level) -> str:
            run(find(command.words), (*command.words, "", "")[2])
            return ""

        return CommandSpec((word,), Level.ADMIN, word, call)

    return CommandTable(
        [
            verb("crash", lambda one, _: one.crash("crash")),
            verb("start", lambda one, _: one.start(warm=False)),
            verb("slow", lambda one, word: one.trouble(slow=float(word))),
            verb("fail", lambda one, word: one.trouble(fails=float(word))),
            verb("handshake", lambda one, word: one.handshake(float(word))),
            verb("hang", lambda one, word: one.trouble(hangs=word == "on")),
        ]
    )


def serve(
    builds: list[CollectorConfig], reactor: Any, record: EventRecord, control: str
) -> dict[str, Collector]:
    from rushladder.runtime.endpoint import RuntimeFactory

    collectors = {build.name: Collector(build, reactor, record) for build in builds}
    for collector in collectors.values():
        if collector.build.starts:
            collector.start(warm=True)
    endpoints.UNIXServerEndpoint(reactor, control).listen(
        RuntimeFactory(verbs(collectors), Level.ADMIN, reactor)
    )
    return collectors
