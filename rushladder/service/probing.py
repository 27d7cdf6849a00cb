"""Probes: opens a connection to a collector, asks for its health, and names how it ended."""

from __future__ import annotations

from typing import Any

from twisted.internet import endpoints, error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure
from twisted.web.client import Agent, ResponseFailed, readBody
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from rushladder.interface import ProbeResult
from rushladder.service.exchange import ANSWER_MOST, TURNED_AWAY

CONNECT_MOST = 0.3  # s for a connection: a hundred times the way between regions
PATH = "/health"
ENDINGS: tuple[tuple[type[BaseException], ProbeResult], ...] = (
    (error.TimeoutError, ProbeResult.TIMED_OUT),
    (CancelledError, ProbeResult.TIMED_OUT),
    (ConnectError, ProbeResult.UNREACHABLE),
    (ResponseFailed, ProbeResult.RESET),
    (error.ConnectionLost, ProbeResult.RESET),
    (error.ConnectionDone, ProbeResult.RESET),
)


def _timed_out(result: Any, timeout: float) -> Any:
    """A request that is cancelled says that its connection broke; what it was is a time-out."""
    return Failure(error.TimeoutError())


@implementer(IAgentEndpointFactory)
class Numeric:
    """Endpoints for addresses that are numbers already: no resolver, and none of its threads."""

    def __init__(self, reactor: Any, within: float) -> None:
        self._reactor, self._within = reactor, within

    def endpointForURI(self, uri: Any) -> Any:
        return endpoints.TCP4ClientEndpoint(self._reactor, uri.host.decode(), uri.port, timeout=self._within)


def numeric_agent(reactor: Any, within: float) -> Any:
    """An HTTP client for numeric addresses, whose connections take at most `within` seconds."""
    return Agent.usingEndpointFactory(reactor, Numeric(reactor, within))


class HttpProber:
    """One GET on a connection of its own for each probe. path: what is asked for."""

    def __init__(self, reactor: Any, path: str = PATH, agent: Any = None) -> None:
        self._agent = agent or Agent(reactor, connectTimeout=CONNECT_MOST)
        self._reactor, self._path = reactor, path

    def probe(self, address: str) -> Deferred[ProbeResult]:
        asked: Deferred[Any] = self._agent.request(b"GET", f"http://{address}{self._path}".encode())
        asked.addTimeout(ANSWER_MOST, self._reactor, _timed_out)
        asked.addCallbacks(self._answered, self._failed)
        return asked

    def _answered(self, response: Any) -> ProbeResult:
        readBody(response).addErrback(lambda _: None)
        return self._result(response)

    def _result(self, response: Any) -> ProbeResult:
        if response.code in TURNED_AWAY:
            return ProbeResult.TURNED_AWAY
        return ProbeResult.OK if response.code < 400 else ProbeResult.ERROR

    def _failed(self, failure: Failure) -> ProbeResult:
        return next((result for kind, result in ENDINGS if failure.check(kind)), ProbeResult.ERROR)
