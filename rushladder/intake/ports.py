"""Where reports arrive: UDP datagrams, a framed TCP stream that is slowed down when it is too fast, and
agent checks."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from rushladder.intake.agent import LONGEST as AGENT_LONGEST
from rushladder.intake.agent import Agent, Unclear, read_agent
from rushladder.intake.desk import LONGEST, Desk, Fate
from rushladder.runtime.endpoint import DONE
from rushladder.timing import Clock, tenths

GATHER = (
    0.05  # s in which datagrams gather, so that after a standstill the newest of each sender is read first
)
KEPT = 5  # newest datagrams of a sender in that time: a sender's whole burst
PAUSE = 0.2  # s that a stream over its budget is not read: TCP then slows its sender down


class Datagrams(protocol.DatagramProtocol):
    """The newest few of each listed sender are kept for a moment, then given to the desk, newest first: a
    manager that stood still would else spend each sender's budget on what it missed."""

    def __init__(self, desk: Desk, clock: Clock) -> None:
        self._desk, self._clock = desk, clock
        self._waiting, self._came = dict[str, deque[bytes]](), Counter[str]()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        waiting = self._waiting.get(addr[0])
        if waiting is None:
            if not self._desk.knows(addr[0]):
                self._desk.counts[Fate.STRANGER] += 1
                return
            if not self._waiting:
                self._clock.callLater(GATHER, self._give)
            waiting = self._waiting[addr[0]] = deque(maxlen=KEPT)
        self._came[addr[0]] += 1
        waiting.append(datagram)

    def _give(self) -> None:
        taken, self._waiting, now = self._waiting, {}, tenths(self._clock)
        came, self._came = self._came, Counter()
        for address, waiting in taken.items():
            if came[address] > KEPT:
                self._desk.passed_over(address, came[address] - KEPT)
            while waiting:
                self._desk.report(address, waiting.pop(), now)


class Stream(Int32StringReceiver):
    """Reports, each behind its length in four bytes."""

    MAX_LENGTH = LONGEST

    def __init__(self, desk: Desk, clock: Clock) -> None:
        self._desk, self._clock = desk, clock

    def _transport(self) -> Any:
        return self.transport

    def stringReceived(self, string: bytes) -> None:
        fate = self._desk.report(self._transport().getPeer().host, string, tenths(self._clock))
        if fate in (Fate.OVER_OWN, Fate.OVER_ALL):
            self.pauseProducing()  # type: ignore[no-untyped-call]
            self._clock.callLater(PAUSE, self._again)
        elif fate in (Fate.STRANGER, Fate.FORGED, Fate.MALFORMED):
            self._transport().abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        self._desk.counts[Fate.OVERSIZED] += 1
        self._transport().abortConnection()

    def _again(self) -> None:
        if self.connected:
            self.resumeProducing()  # type: ignore[no-untyped-call]


class Streams(protocol.ServerFactory):
    """Two streams a listed server at the most, for one that restarts before its old stream is noticed."""

    def __init__(self, desk: Desk, clock: Clock) -> None:
        self._desk, self._clock, self._open = desk, clock, 0

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        if self._open >= 2 * max(1, len(self._desk.senders)):
            return None
        self._open += 1
        stream = Stream(self._desk, self._clock)
        lost = stream.connectionLost

        def gone(reason: Failure = DONE) -> None:
            self._open -= 1
            lost(reason)

        stream.connectionLost = gone  # type: ignore[method-assign]
        return stream


class AgentCheck(protocol.Protocol):
    """One question to a server's agent port: it answers a line and closes."""

    def __init__(self) -> None:
        self.answer: Deferred[Agent] = Deferred()
        self._data = b""

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        if b"\n" in self._data or len(self._data) > AGENT_LONGEST:
            self._end()
            transport: Any = self.transport
            transport.abortConnection()

    def connectionLost(self, reason: Failure = DONE) -> None:
        self._end()

    def _end(self) -> None:
        if self.answer.called:
            return
        try:
            self.answer.callback(read_agent(self._data))
        except Unclear as unclear:
            self.answer.errback(unclear)
