"""A plain gateway as a process: takes txns over HTTP, forwards them by its table, and serves its runtime
sockets."""

from __future__ import annotations

import os
from collections.abc import Mapping
from random import Random
from typing import Any

from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.web import client, resource, server

from rushladder.runtime.endpoint import Level, RuntimeFactory, CommandSpec, CommandTable
from rushladder.runtime.grammar import Command
from rushladder.standins.gateway_state import GatewayState, Line
from rushladder.standins.event_record import EventRecord

AWAY_AFTER, AWAY_FOR = 5, 3.0  # voids in a row, and seconds away: as the brief's gateways do
CONNECT_MOST = 0.3
NEVER_RAN = (error.ConnectError,)  # no connection, so nothing was sent


class HttpGateway(resource.Resource):
    isLeaf = True

    def __init__(self, state: GatewayState, reactor: Any, record: EventRecord) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._state, self._reactor, self._record = state, reactor, record
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 32
        pool.retryAutomatically = False  # a further try is the rule's to allow
        self._agent = client.Agent(reactor, connectTimeout=CONNECT_MOST, pool=pool)
        self.cut = frozenset[str]()  # addresses that can't be reached

    def render_GET(self, request: Any) -> Any:
        product, name = request.path.decode().strip("/").split("/")
        work, left = (float(request.args[key][0]) / 1000 for key in (b"work", b"left"))
        if not self._state.admits(product):
            request.setResponseCode(429)
            request.setHeader(b"Retry-After", b"1")
            return b"declined, come back after a second\n"
        gone: Deferred[Any] = request.notifyFinish()
        until = self._reactor.seconds() + left
        Deferred.fromCoroutine(self._serve(request, gone, product, name, work, until))
        return server.NOT_DONE_YET

    async def _serve(
        self, request: Any, gone: Deferred[Any], product: str, name: str, work: float, until: float
    ) -> None:
        away = list[bool]()
        gone.addErrback(lambda _: away.append(True))
        tried, code = list[Line](), 503
        retry = int(self._state.maps["retries"].get(product, "1"))
        while not away and self._reactor.seconds() < until:
            line = self._state.pick(product, tried)
            if line is None:
                self._record.log_event("no-line", product=product, id=name)
                break
            tried.append(line)
            code, ran = await self._try(
                line, product, name, work, until - self._reactor.seconds(), len(tried)
            )
            if code < 500 or len(tried) > min(1, retry) or (ran and retry < 2):
                break
        if code >= 500:
            self._state.failed[product] += 1
        if not away:
            request.setResponseCode(code)
            request.write(b"%d\n" % code)
            request.finish()

    async def _try(
        self, line: Line, product: str, name: str, work: float, left: float, number: int
    ) -> tuple[int, bool]:
        """The answer's code, and whether the txn may have run."""
        began = self._reactor.seconds()
        self._record.log_event("try", id=name, product=product, server=line.name, number=number)
        line.in_flight += 1
        code, ran = 504, True
        try:
            if line.address in self.cut:
                raise error.TCPTimedOutError
            url = f"http://{line.address}/{product}/{name}?work={1000 * work:.1f}&left={1000 * left:.1f}"
            asked: Deferred[Any] = self._agent.request(b"GET", url.encode())
            response = await asked.addTimeout(left, self._reactor)
            reading: Deferred[Any] = client.readBody(response)
            await reading.addTimeout(max(0.01, began + left - self._reactor.seconds()), self._reactor)
            code = response.code
        except NEVER_RAN:
            code, ran = 503, False
            line.connect_failures += 1
        except Exception:  # a broken connection, or no answer in time: it may have run
            code, ran = 502, True
        line.in_flight -= 1
        if code < 400:
            line.record_settled(self._reactor.seconds() - began)
        else:
            line.voided += 1
            line.consecutive_voids += 1
            if line.consecutive_voids >= AWAY_AFTER:
                line.ejected_until, line.consecutive_voids = self._reactor.seconds() + AWAY_FOR, 0
        return code, ran


QUIET = ("show", "get")


def serve(
    name: str,
    port: int,
    sockets: list[str],
    control: str,
    products: list[str],
    standing: Mapping[str, str],
    reactor: Any,
    record: EventRecord,
) -> None:
    """One gateway: `standing` is the table it starts with, server to address; one runtime socket for each
    manager."""
    state = GatewayState(products, reactor.seconds, os.getpid(), Random(name).random)
    for product in products:
        for server_name, address in standing.items():
            state.add(product, server_name, address)

    def heard(words: tuple[str, ...], answer: str) -> None:
        if words[0] not in QUIET:
            record.log_event("cmd", words=words, answer=answer[:60])

    state.on_command = heard
    front = HttpGateway(state, reactor, record)
    make_site: Any = server.Site
    reactor.listenTCP(port, make_site(front), interface="127.0.0.1", backlog=200)
    ports = dict[str, Any]()
    served = dict[str, list[Any]]()

    def open_(path: str) -> None:
        if os.path.exists(path):
            os.unlink(path)
        factory = RuntimeFactory(state.commands, Level.ADMIN, reactor)
        build, served[path] = factory.buildProtocol, []

        def noted(addr: Any) -> Any:
            protocol = build(addr)
            served[path].append(protocol)
            return protocol

        factory.buildProtocol = noted  # type: ignore[method-assign]
        ports[path] = reactor.listenUNIX(path, factory)

    def break_(path: str) -> None:
        for protocol in served[path]:
            if protocol is not None and protocol.transport is not None:
                protocol.transport.abortConnection()
        served[path].clear()

    def close(path: str) -> None:
        if path in ports:
            ports.pop(path).stopListening()
        break_(path)

    def streams(command: Command, level: Level) -> str:
        for path in command.words[2:] or sockets:
            if command.words[1] == "open" and path not in ports:
                open_(path)
            elif command.words[1] != "open":
                (close if command.words[1] == "close" else break_)(path)
        record.log_event("streams", what=command.words[1])
        return ""

    def unreachable(command: Command, level: Level) -> str:
        front.cut = frozenset(command.words[1:])
        record.log_event("cut", addresses=sorted(front.cut))
        return ""

    for path in sockets:
        open_(path)
    reactor.listenUNIX(
        control,
        RuntimeFactory(
            CommandTable(
                [
                    CommandSpec(("streams",), Level.ADMIN, "streams break|close|open [PATH...]", streams),
                    CommandSpec(("unreachable",), Level.ADMIN, "unreachable [ADDRESS...]", unreachable),
                ]
            ),
            Level.ADMIN,
            reactor,
        ),
    )
    record.log_event("gateway", products=products, standing=dict(standing))
