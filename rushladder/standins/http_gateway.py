"""A plain gateway as a process: accepts txns over HTTP, forwards them by its table, and serves its runtime
sockets."""

from __future__ import annotations

import os
from collections.abc import Mapping
from random import Random
from typing import Any

from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.web import client, resource, server

from rushladder.runtime.endpoint import CommandSpec, CommandTable, Level, RuntimeFactory
from rushladder.runtime.grammar import Command
from rushladder.standins.gateway_state import GatewayState, Line
from rushladder.standins.record import EventRecord

EJECT_AFTER, EJECT_FOR = 5, 3.0  # consecutive voids, and seconds of ejection: as the platform's gateways do
CONNECT_TIMEOUT = 0.3
NEVER_RAN = (error.ConnectError,)  # no connection, so no request was sent


class HttpGateway(resource.Resource):
    """Declines, forwards and retries txns as the gateway's table, levels and retry settings say."""

    isLeaf = True

    def __init__(self, state: GatewayState, reactor: Any, record: EventRecord) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._state, self._reactor, self._record = state, reactor, record
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 32
        pool.retryAutomatically = False  # the gateway's retry rule decides on further tries
        self._agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT, pool=pool)
        self.unreachable = frozenset[str]()  # addresses to which connections time out

    def render_GET(self, request: Any) -> Any:
        product, txn_id = request.path.decode().strip("/").split("/")
        work, time_left = (float(request.args[key][0]) / 1000 for key in (b"work", b"left"))
        if not self._state.admits(product):
            request.setResponseCode(429)
            request.setHeader(b"Retry-After", b"1")
            return b"declined, come back after a second\n"
        disconnected: Deferred[Any] = request.notifyFinish()
        deadline = self._reactor.seconds() + time_left
        Deferred.fromCoroutine(self._serve(request, disconnected, product, txn_id, work, deadline))
        return server.NOT_DONE_YET

    async def _serve(
        self,
        request: Any,
        disconnected: Deferred[Any],
        product: str,
        txn_id: str,
        work: float,
        deadline: float,
    ) -> None:
        disconnects = list[bool]()
        disconnected.addErrback(lambda _: disconnects.append(True))
        tried, code = list[Line](), 503
        retry_mode = int(self._state.maps["retries"].get(product, "1"))
        while not disconnects and self._reactor.seconds() < deadline:
            line = self._state.pick(product, tried)
            if line is None:
                self._record.log_event("no-line", product=product, id=txn_id)
                break
            tried.append(line)
            code, may_have_run = await self._try(
                line, product, txn_id, work, deadline - self._reactor.seconds(), len(tried)
            )
            if code < 500 or len(tried) > min(1, retry_mode) or (may_have_run and retry_mode < 2):
                break
        if code >= 500:
            self._state.failed[product] += 1
        if not disconnects:
            request.setResponseCode(code)
            request.write(b"%d\n" % code)
            request.finish()

    async def _try(
        self, line: Line, product: str, txn_id: str, work: float, time_left: float, number: int
    ) -> tuple[int, bool]:
        """One try at a server; returns the response code and whether the txn may have run."""
        began = self._reactor.seconds()
        self._record.log_event("try", id=txn_id, product=product, server=line.name, number=number)
        line.in_flight += 1
        code, may_have_run = 504, True
        try:
            if line.address in self.unreachable:
                raise error.TCPTimedOutError
            url = (
                f"http://{line.address}/{product}/{txn_id}?work={1000 * work:.1f}&left={1000 * time_left:.1f}"
            )
            request: Deferred[Any] = self._agent.request(b"GET", url.encode())
            response = await request.addTimeout(time_left, self._reactor)
            body: Deferred[Any] = client.readBody(response)
            await body.addTimeout(max(0.01, began + time_left - self._reactor.seconds()), self._reactor)
            code = response.code
        except NEVER_RAN:
            code, may_have_run = 503, False
            line.connect_failures += 1
        except Exception:  # a broken connection or no answer in time: the txn may have run
            code, may_have_run = 502, True
        line.in_flight -= 1
        if code < 400:
            line.record_settled(self._reactor.seconds() - began)
        else:
            line.voided += 1
            line.consecutive_voids += 1
            if line.consecutive_voids >= EJECT_AFTER:
                line.ejected_until, line.consecutive_voids = self._reactor.seconds() + EJECT_FOR, 0
        return code, may_have_run


UNRECORDED_COMMANDS = ("show", "get")


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
    """Runs one gateway with a runtime socket per manager.

    standing: the table that it starts with, from server to address.
    """
    state = GatewayState(products, reactor.seconds, os.getpid(), Random(name).random)
    for product in products:
        for server_name, address in standing.items():
            state.add(product, server_name, address)

    def record_command(words: tuple[str, ...], answer: str) -> None:
        if words[0] not in UNRECORDED_COMMANDS:
            record.log_event("cmd", words=words, answer=answer[:60])

    state.on_command = record_command
    gateway = HttpGateway(state, reactor, record)
    make_site: Any = server.Site
    reactor.listenTCP(port, make_site(gateway), interface="127.0.0.1", backlog=200)
    ports = dict[str, Any]()
    connections = dict[str, list[Any]]()

    def open_(path: str) -> None:
        if os.path.exists(path):
            os.unlink(path)
        factory = RuntimeFactory(state.commands, Level.ADMIN, reactor)
        build_protocol, connections[path] = factory.buildProtocol, []

        def build_tracked_connection(addr: Any) -> Any:
            connection = build_protocol(addr)
            connections[path].append(connection)
            return connection

        factory.buildProtocol = build_tracked_connection  # type: ignore[method-assign]
        ports[path] = reactor.listenUNIX(path, factory)

    def abort_connections(path: str) -> None:
        for connection in connections[path]:
            if connection is not None and connection.transport is not None:
                connection.transport.abortConnection()
        connections[path].clear()

    def close(path: str) -> None:
        if path in ports:
            ports.pop(path).stopListening()
        abort_connections(path)

    def streams(command: Command, level: Level) -> str:
        for path in command.words[2:] or sockets:
            if command.words[1] == "open" and path not in ports:
                open_(path)
            elif command.words[1] != "open":
                (close if command.words[1] == "close" else abort_connections)(path)
        record.log_event("streams", what=command.words[1])
        return ""

    def unreachable(command: Command, level: Level) -> str:
        gateway.unreachable = frozenset(command.words[1:])
        record.log_event("cut", addresses=sorted(gateway.unreachable))
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
