"""Probes: opens a connection to a collector, asks for its health, and names how it ended."""

from __future__ import annotations

from typing import Any

from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure
from twisted.web.client import Agent, ResponseFailed, readBody

from rushladder.interface import ProbeResult

CONNECT_MOST = 0.3  # s for a connection: a hundred times the way between regions
ANSWER_MOST = 1.0  # s for an answer: the module's beat, so that one probe is over when the next is asked for
PATH = "/health"
TURNED_AWAY = (429, 503)  # too busy, or draining
ENDINGS: tuple[tuple[type[BaseException], ProbeResult], ...] = (
    (error.TimeoutError, ProbeResult.TIMED_OUT),
    (CancelledError, ProbeResult.TIMED_OUT),
    (ConnectError, ProbeResult.UNREACHABLE),
    (ResponseFailed, ProbeResult.RESET),
    (error.ConnectionLost, ProbeResult.RESET),
    (error.ConnectionDone, ProbeResult.RESET),
)


class HttpProber:
    """One `GET /health` on a connection of its own for each probe."""

    def __init__(self, reactor: Any) -> None:
        self._agent, self._reactor = Agent(reactor, connectTimeout=CONNECT_MOST), reactor

    def probe(self, address: str) -> Deferred[ProbeResult]:
        asked: Deferred[Any] = self._agent.request(b"GET", f"http://{address}{PATH}".encode())
        asked.addTimeout(ANSWER_MOST, self._reactor)
        asked.addCallbacks(self._answered, self._failed)
        return asked

    def _answered(self, response: Any) -> ProbeResult:
        readBody(response).addErrback(lambda _: None)
        if response.code in TURNED_AWAY:
            return ProbeResult.TURNED_AWAY
        return ProbeResult.OK if response.code < 400 else ProbeResult.ERROR

    def _failed(self, failure: Failure) -> ProbeResult:
        return next((result for kind, result in ENDINGS if failure.check(kind)), ProbeResult.ERROR)
