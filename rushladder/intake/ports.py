"""Network protocols for reports: framed TCP streams, which are throttled when they exceed their budget, and
agent checks. Datagrams are received by a separate process, see `receiver`."""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from rushladder.intake.agent import MAX_ANSWER_BYTES, AgentStatus, InvalidAgentAnswer, parse_agent_answer
from rushladder.intake.processor import MAX_REPORT_BYTES, ReportOutcome, ReportProcessor
from rushladder.runtime.endpoint import CONNECTION_DONE
from rushladder.timing import Clock, clock_tenths

PAUSE = 0.2  # seconds for which a stream over its budget is not read, so that TCP slows its sender down


class ReportStream(Int32StringReceiver):
    """A stream of reports, each with a four-byte length prefix."""

    MAX_LENGTH = MAX_REPORT_BYTES

    def __init__(self, processor: ReportProcessor, clock: Clock) -> None:
        self._processor, self._clock = processor, clock

    def _transport(self) -> Any:
        return self.transport

    def stringReceived(self, string: bytes) -> None:
        outcome = self._processor.report(self._transport().getPeer().host, string, clock_tenths(self._clock))
        if outcome in (ReportOutcome.OVER_OWN, ReportOutcome.OVER_ALL):
            self.pauseProducing()  # type: ignore[no-untyped-call]
            self._clock.callLater(PAUSE, self._resume)
        elif outcome in (ReportOutcome.STRANGER, ReportOutcome.FORGED, ReportOutcome.MALFORMED):
            self._transport().abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        self._processor.counts[ReportOutcome.OVERSIZED] += 1
        self._transport().abortConnection()

    def _resume(self) -> None:
        if self.connected:
            self.resumeProducing()  # type: ignore[no-untyped-call]


class ReportStreams(protocol.ServerFactory):
    """Accepts at most two streams per listed server: a restarted server may connect before its old stream is
    found to be dead."""

    def __init__(self, processor: ReportProcessor, clock: Clock) -> None:
        self._processor, self._clock, self._open = processor, clock, 0

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        if self._open >= 2 * max(1, len(self._processor.senders)):
            return None
        self._open += 1
        stream = ReportStream(self._processor, self._clock)
        connection_lost = stream.connectionLost

        def closed(reason: Failure = CONNECTION_DONE) -> None:
            self._open -= 1
            connection_lost(reason)

        stream.connectionLost = closed  # type: ignore[method-assign]
        return stream


class AgentCheck(protocol.Protocol):
    """One request to a server's agent port. The agent sends a line and closes the connection."""

    def __init__(self) -> None:
        self.answer: Deferred[AgentStatus] = Deferred()
        self._data = b""

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        if b"\n" in self._data or len(self._data) > MAX_ANSWER_BYTES:
            self._finish()
            transport: Any = self.transport
            transport.abortConnection()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self._finish()

    def _finish(self) -> None:
        if self.answer.called:
            return
        try:
            self.answer.callback(parse_agent_answer(self._data))
        except InvalidAgentAnswer as error:
            self.answer.errback(error)
