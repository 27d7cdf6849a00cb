"""HTTP probes of workers: one GET request on a connection of its own.

A manager probes each of 200 workers once per control period, and a full HTTP client with its connection pool
and URL handling took most of its processor time. Health probes read only the status line; h11 parses the
response when its body is needed.
"""

from __future__ import annotations

import re
from typing import Any

import h11
from twisted.internet import endpoints, error, protocol
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from rushladder.interface import ProbeResult

RESPONSE_TIMEOUT_SECONDS = 1.0  # the module's control period: a probe ends before the next one is ordered
MAX_REPORT_BYTES = 1024  # ten times a load report of four values with their names
MAX_STATUS_LINE_BYTES = 1024  # ten times a long status line
REJECTED_STATUSES = (429, 503)  # too busy, or draining
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])\b")

Outcome = tuple[ProbeResult, bytes]


def _status_result(code: int) -> ProbeResult:
    if code in REJECTED_STATUSES:
        return ProbeResult.REJECTED
    return ProbeResult.OK if code < 400 else ProbeResult.ERROR


class _HealthProbe(protocol.Protocol):
    """Sends the request and ends the probe with the status line, or when the connection is closed."""

    def __init__(self, request: bytes, done: Deferred[Outcome]) -> None:
        self._request, self._done, self._received = request, done, b""

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        if self._done.called:
            return
        self._received += data
        line, newline, _ = self._received.partition(b"\n")
        if newline or len(self._received) > MAX_STATUS_LINE_BYTES:
            code = STATUS_LINE.match(line)
            self.end(_status_result(int(code[1])) if code else ProbeResult.ERROR)

    def connectionLost(self, reason: Any = None) -> None:
        if not self._done.called:
            self.end(ProbeResult.RESET)

    def end(self, result: ProbeResult, body: bytes = b"") -> None:
        self.close()
        self._done.callback((result, body))

    def close(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()  # a worker that stopped reading must not keep a descriptor in use


class _ReportProbe(_HealthProbe):
    """Like _HealthProbe, but reads the body up to its end, its maximum size or the end of the connection."""

    def __init__(self, request: bytes, done: Deferred[Outcome]) -> None:
        super().__init__(request, done)
        self._http, self._result, self._body = h11.Connection(h11.CLIENT), ProbeResult.RESET, b""
        # Output is discarded: h11 parses a response only after it has produced a request.
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
        self._http.send(h11.EndOfMessage())

    def dataReceived(self, data: bytes) -> None:
        if not self._done.called:
            self._read(data)

    def connectionLost(self, reason: Any = None) -> None:
        if not self._done.called:
            self._read(b"")  # the end of the connection may end the body
        if not self._done.called:
            self._end()

    def _read(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    self._result = _status_result(event.status_code)
                elif isinstance(event, h11.Data):
                    self._body += bytes(event.data)
                if isinstance(event, h11.EndOfMessage) or len(self._body) > MAX_REPORT_BYTES:
                    return self._end()
                if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    return self._end()
        except h11.RemoteProtocolError:
            if data:  # malformed; a connection that ended early keeps the result so far
                self._result = ProbeResult.ERROR
            self._end()

    def _end(self) -> None:
        self.end(self._result, self._body[:MAX_REPORT_BYTES])


class _ProbeFactory(protocol.Factory):
    """Passes one probe's protocol to its connection."""

    noisy = False  # otherwise Twisted logs the start and the end of each probe

    def __init__(self, probe: _HealthProbe) -> None:
        self._probe = probe

    def buildProtocol(self, addr: Any) -> _HealthProbe:
        return self._probe


class Prober:
    """Probes workers at one path. with_body: whether the response's body is needed; connect_timeout: seconds,
    from the settings."""

    def __init__(self, reactor: Any, path: str, with_body: bool, connect_timeout: float) -> None:
        self._reactor, self._path, self._connect_timeout = reactor, path, connect_timeout
        self._probe_class = _ReportProbe if with_body else _HealthProbe

    def probe(self, address: str) -> Deferred[Outcome]:
        """Returns the result and the start of the body within `RESPONSE_TIMEOUT_SECONDS`. Never fails."""
        host, _, port = address.rpartition(":")
        request = f"GET {self._path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()

        def cancel(_: Any) -> None:
            attempt.cancel()
            probe.close()

        done: Deferred[Outcome] = Deferred(cancel)
        probe = self._probe_class(request, done)

        def connect_failed(failure: Failure) -> None:
            if not done.called:
                timed_out = failure.check(error.TimeoutError, CancelledError)
                done.callback((ProbeResult.TIMED_OUT if timed_out else ProbeResult.UNREACHABLE, b""))

        factory: Any = _ProbeFactory(probe)
        attempt = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=self._connect_timeout
        ).connect(factory)
        attempt.addErrback(connect_failed)
        done.addTimeout(RESPONSE_TIMEOUT_SECONDS, self._reactor)
        done.addErrback(lambda failure: (ProbeResult.TIMED_OUT, b""))
        return done


class HealthProber:
    """Probes of which only the result is needed. connect_timeout: seconds."""

    def __init__(self, reactor: Any, path: str, connect_timeout: float) -> None:
        self._prober = Prober(reactor, path, False, connect_timeout)

    def probe(self, address: str) -> Deferred[ProbeResult]:
        """Returns the result within `RESPONSE_TIMEOUT_SECONDS`. Never fails."""
        return self._prober.probe(address).addCallback(lambda outcome: outcome[0])
