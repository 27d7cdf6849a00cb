"""An HTTP client for numeric addresses, used for the watch of discovery."""

from __future__ import annotations

from typing import Any

from twisted.internet import endpoints
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_SECONDS = 0.3  # a hundred times the latency between regions


@implementer(IAgentEndpointFactory)
class NumericEndpointFactory:
    """Creates endpoints for numeric addresses without a resolver and its threads."""

    def __init__(self, reactor: Any, connect_timeout: float) -> None:
        self._reactor, self._connect_timeout = reactor, connect_timeout

    def endpointForURI(self, uri: Any) -> Any:
        return endpoints.TCP4ClientEndpoint(
            self._reactor, uri.host.decode(), uri.port, timeout=self._connect_timeout
        )


def numeric_agent(reactor: Any, connect_timeout: float) -> Any:
    """An HTTP client for numeric addresses. connect_timeout: seconds."""
    return Agent.usingEndpointFactory(reactor, NumericEndpointFactory(reactor, connect_timeout))
