"""Where reports arrive: a framed TCP stream that is slowed down when it is too fast, and agent checks.
Datagrams have a process of their own (`lane`)."""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from rushladder.intake.agent import LONGEST as AGENT_LONGEST
from rushladder.intake.agent import AgentStatus, InvalidAgentAnswer, read_agent
from rushladder.intake.processor import MAX_REPORT_BYTES, ReportProcessor, ReportOutcome
from rushladder.runtime.endpoint import CONNECTION_DONE
from rushladder.timing import Clock, clock_tenths

PAUSE = 0.2  # s that a stream over its budget is not read: TCP then slows its sender down


class Stream(Int32StringReceiver):
    """Reports, each behind its length in four bytes."""

    MAX_LENGTH = MAX_REPORT_BYTES

    def __init__(self, desk: ReportProcessor, clock: Clock) -> None:
        self._desk, self._clock = desk, clock

    def _transport(self) -> Any:
        return self.transport

    def stringReceived(self, string: bytes) -> None:
        fate = self._desk.report(self._transport().getPeer().host, string, clock_tenths(self._clock))
        if fate in (ReportOutcome.OVER_OWN, ReportOutcome.OVER_ALL):
            self.pauseProducing()  # type: ignore[no-untyped-call]
            self._clock.callLater(PAUSE, self._again)
        elif fate in (ReportOutcome.STRANGER, ReportOutcome.FORGED, ReportOutcome.MALFORMED):
            self._transport().abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        self._desk.counts[ReportOutcome.OVERSIZED] += 1
        self._transport().abortConnection()

    def _again(self) -> None:
        if self.connected:
            self.resumeProducing()  # type: ignore[no-untyped-call]


class ReportStreams(protocol.ServerFactory):
    """Two streams a listed server at the most, for one that restarts before its old stream is noticed."""

    def __init__(self, desk: ReportProcessor, clock: Clock) -> None:
        self._desk, self._clock, self._open = desk, clock, 0

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        if self._open >= 2 * max(1, len(self._desk.senders)):
            return None
        self._open += 1
        stream = Stream(self._desk, self._clock)
        lost = stream.connectionLost

        def gone(reason: Failure = CONNECTION_DONE) -> None:
            self._open -= 1
            lost(reason)

        stream.connectionLost = gone  # type: ignore[method-assign]
        return stream


class AgentCheck(protocol.Protocol):
    """One question to a server's agent port: it answers a line and closes."""

    def __init__(self) -> None:
        self.answer: Deferred[AgentStatus] = Deferred()
        self._data = b""

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        if b"\n" in self._data or len(self._data) > AGENT_LONGEST:
            self._end()
            transport: Any = self.transport
            transport.abortConnection()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self._end()

    def _end(self) -> None:
        if self.answer.called:
            return
        try:
            self.answer.callback(read_agent(self._data))
        except InvalidAgentAnswer as unclear:
            self.answer.errback(unclear)
