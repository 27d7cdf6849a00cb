"""One GET on a connection of its own: what the platform's probes are made of.

A manager probes each of 200 workers once a beat, and an HTTP client with its pool, URLs and steps was the
greatest part of its processor time. Whether a worker is well stands in the first line of its answer, so a
probe of health reads no more; h11 reads an answer whose body is wanted.
"""

from __future__ import annotations

import re
from typing import Any

import h11
from twisted.internet import endpoints, error, protocol
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from rushladder.interface import ProbeResult

ANSWER_MOST = 1.0  # s for an answer: the module's beat, so that one probe is over when the next is asked for
REPORT_MOST = 1024  # bytes of a load report: ten times four values with their names
LINE_MOST = 1024  # bytes of an answer's first line: ten times a long one
TURNED_AWAY = (429, 503)  # too busy, or draining
FIRST = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])\b")

Found = tuple[ProbeResult, bytes]


def _said(code: int) -> ProbeResult:
    if code in TURNED_AWAY:
        return ProbeResult.REJECTED
    return ProbeResult.OK if code < 400 else ProbeResult.ERROR


class _Health(protocol.Protocol):
    """Asks once connected, and is done with the answer's first line, or the connection's end."""

    def __init__(self, request: bytes, done: Deferred[Found]) -> None:
        self._request, self._done, self._rest = request, done, b""

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        if self._done.called:
            return
        self._rest += data
        line, ended, _ = self._rest.partition(b"\n")
        if ended or len(self._rest) > LINE_MOST:
            code = FIRST.match(line)
            self.end(_said(int(code[1])) if code else ProbeResult.ERROR)

    def connectionLost(self, reason: Any = None) -> None:
        if not self._done.called:
            self.end(ProbeResult.RESET)

    def end(self, result: ProbeResult, body: bytes = b"") -> None:
        self.close()
        self._done.callback((result, body))

    def close(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()  # at once: a worker that reads no more must not keep a descriptor


class _Report(_Health):
    """The same, to the end of the answer's body, its cut, or the connection's end."""

    def __init__(self, request: bytes, done: Deferred[Found]) -> None:
        super().__init__(request, done)
        self._http, self._result, self._body = h11.Connection(h11.CLIENT), ProbeResult.RESET, b""
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))  # awaits its answer
        self._http.send(h11.EndOfMessage())

    def dataReceived(self, data: bytes) -> None:
        if not self._done.called:
            self._read(data)

    def connectionLost(self, reason: Any = None) -> None:
        if not self._done.called:
            self._read(b"")  # an answer may end with its connection
        if not self._done.called:
            self._end()

    def _read(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    self._result = _said(event.status_code)
                elif isinstance(event, h11.Data):
                    self._body += bytes(event.data)
                if isinstance(event, h11.EndOfMessage) or len(self._body) > REPORT_MOST:
                    return self._end()
                if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    return self._end()
        except h11.RemoteProtocolError:
            if data:  # what can't be read; a connection that ended in the middle says only that
                self._result = ProbeResult.ERROR
            self._end()

    def _end(self) -> None:
        self.end(self._result, self._body[:REPORT_MOST])


class _Dial(protocol.Factory):
    noisy = False  # a line of log for each probe's beginning and end

    def __init__(self, wire: _Health) -> None:
        self._wire = wire

    def buildProtocol(self, addr: Any) -> _Health:
        return self._wire


class Prober:
    """Probes workers at one path. report: whether the answer's body is wanted; within: seconds for a
    connection, as the settings have it."""

    def __init__(self, reactor: Any, path: str, report: bool, within: float) -> None:
        self._reactor, self._path, self._within = reactor, path, within
        self._kind = _Report if report else _Health

    def probe(self, address: str) -> Deferred[Found]:
        """Its result and the start of the answer's body, by `ANSWER_MOST` at the latest. Never fails."""
        host, _, port = address.rpartition(":")
        request = f"GET {self._path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()

        def give_up(_: Any) -> None:
            dial.cancel()
            wire.close()

        done: Deferred[Found] = Deferred(give_up)
        wire = self._kind(request, done)

        def undialled(failure: Failure) -> None:
            if not done.called:
                late = failure.check(error.TimeoutError, CancelledError)
                done.callback((ProbeResult.TIMED_OUT if late else ProbeResult.UNREACHABLE, b""))

        factory: Any = _Dial(wire)
        dial = endpoints.TCP4ClientEndpoint(self._reactor, host, int(port), timeout=self._within).connect(
            factory
        )
        dial.addErrback(undialled)
        done.addTimeout(ANSWER_MOST, self._reactor)
        done.addErrback(lambda failure: (ProbeResult.TIMED_OUT, b""))
        return done


class HealthProber:
    """Probes where the result alone counts. within: seconds for a connection."""

    def __init__(self, reactor: Any, path: str, within: float) -> None:
        self._prober = Prober(reactor, path, False, within)

    def probe(self, address: str) -> Deferred[ProbeResult]:
        """Its result, by `ANSWER_MOST` at the latest. Never fails."""
        return self._prober.probe(address).addCallback(lambda found: found[0])
