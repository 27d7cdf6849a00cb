"""Transports of queries: UDP, and TCP with a length before each message."""

from __future__ import annotations

from collections import Counter
from typing import Any

from twisted.internet import protocol
from twisted.protocols.basic import Int16StringReceiver
from twisted.python.failure import Failure

from rushladder.dnsfront.responder import DnsResponder
from rushladder.runtime.endpoint import CONNECTION_DONE
from rushladder.timing import Clock

IDLE_TIMEOUT = 10.0  # s without a query after which a connection is closed: RFC 7766 asks for a few seconds
MAX_CONNECTIONS, MAX_CONNECTIONS_PER_ADDRESS = 512, 16


class DnsDatagramProtocol(protocol.DatagramProtocol):
    """Answers queries over UDP."""

    def __init__(self, responder: DnsResponder) -> None:
        self._responder = responder

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        answer = self._responder.answer(datagram, addr[0])
        transport: Any = self.transport
        if answer and transport is not None:
            transport.write(answer, addr)


class DnsStreamProtocol(Int16StringReceiver):
    """Answers the queries of one TCP connection in order."""

    def __init__(self, responder: DnsResponder, clock: Clock) -> None:
        self._responder, self._clock = responder, clock
        self._idle_timer: Any = None

    def _transport(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        # While the client does not read its answers, no further queries are read.
        self._transport().registerProducer(self, True)
        self._restart_idle_timer()

    def stringReceived(self, string: bytes) -> None:
        answer = self._responder.answer(string, self._transport().getPeer().host, tcp=True)
        if not answer:
            return self._transport().abortConnection()  # type: ignore[no-any-return]
        self.sendString(answer)  # type: ignore[no-untyped-call]
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()
        self._idle_timer = self._clock.callLater(IDLE_TIMEOUT, self._transport().loseConnection)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()


class DnsStreamFactory(protocol.ServerFactory):
    """Accepts TCP connections up to a total limit and a limit per address."""

    def __init__(self, responder: DnsResponder, clock: Clock) -> None:
        self._responder, self._clock, self._connections = responder, clock, Counter[str]()

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        host = addr.host
        if (
            self._connections.total() >= MAX_CONNECTIONS
            or self._connections[host] >= MAX_CONNECTIONS_PER_ADDRESS
        ):
            return None
        self._connections[host] += 1
        stream = DnsStreamProtocol(self._responder, self._clock)
        close_stream = stream.connectionLost

        def connection_lost(reason: Failure = CONNECTION_DONE) -> None:
            self._connections[host] -= 1
            if not self._connections[host]:
                del self._connections[host]
            close_stream(reason)

        stream.connectionLost = connection_lost  # type: ignore[method-assign]
        return stream
