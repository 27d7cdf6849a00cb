"""An HTTP client for numeric addresses: what the watch of discovery asks with."""

from __future__ import annotations

from typing import Any

from twisted.internet import endpoints
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_SECONDS = 0.3  # s for a connection: a hundred times the way between regions


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
