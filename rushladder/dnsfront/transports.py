"""Where questions arrive: UDP datagrams, and TCP with a length before each message."""

from __future__ import annotations

from collections import Counter
from typing import Any

from twisted.internet import protocol
from twisted.protocols.basic import Int16StringReceiver
from twisted.python.failure import Failure

from rushladder.dnsfront.responder import DnsResponder
from rushladder.runtime.endpoint import CONNECTION_DONE
from rushladder.timing import Clock

QUIET = 10.0  # s without a question after which a connection is closed: RFC 7766 wants a few
MOST, MOST_EACH = 512, 16  # connections in all, and of one address


class DnsDatagramProtocol(protocol.DatagramProtocol):
    def __init__(self, front: DnsResponder) -> None:
        self._front = front

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        answer = self._front.answer(datagram, addr[0])
        wire: Any = self.transport
        if answer and wire is not None:
            wire.write(answer, addr)


class Stream(Int16StringReceiver):
    """One connection; questions are answered in their order."""

    def __init__(self, front: DnsResponder, clock: Clock) -> None:
        self._front, self._clock = front, clock
        self._quiet: Any = None

    def _wire(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        # Answers that are not read stop the questions from being read.
        self._wire().registerProducer(self, True)
        self._wait()

    def stringReceived(self, string: bytes) -> None:
        answer = self._front.answer(string, self._wire().getPeer().host, tcp=True)
        if not answer:
            return self._wire().abortConnection()  # type: ignore[no-any-return]
        self.sendString(answer)  # type: ignore[no-untyped-call]
        self._wait()

    def _wait(self) -> None:
        if self._quiet is not None and self._quiet.active():
            self._quiet.cancel()
        self._quiet = self._clock.callLater(QUIET, self._wire().loseConnection)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        if self._quiet is not None and self._quiet.active():
            self._quiet.cancel()


class DnsStreamFactory(protocol.ServerFactory):
    """Bounded in all and for each address."""

    def __init__(self, front: DnsResponder, clock: Clock) -> None:
        self._front, self._clock, self._open = front, clock, Counter[str]()

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        host = addr.host
        if self._open.total() >= MOST or self._open[host] >= MOST_EACH:
            return None
        self._open[host] += 1
        stream = Stream(self._front, self._clock)
        lost = stream.connectionLost

        def gone(reason: Failure = CONNECTION_DONE) -> None:
            self._open[host] -= 1
            if not self._open[host]:
                del self._open[host]
            lost(reason)

        stream.connectionLost = gone  # type: ignore[method-assign]
        return stream
