"""The receiving lane: a process of its own that reads datagrams, so that a flood takes none of the core on
which a manager's beat runs.

    servers -> UDP socket -> [lane: newest few of each sender] -> pipe -> manager: Desk

The manager binds the socket and keeps it open; the lane inherits it. One gathering is on its way at a time: a
manager that stands still is owed one batch, and finds the newest reports in the next. A lane that dies is
started again after a growing wait, and meanwhile datagrams wait in the socket.
"""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol, reactor as _reactor, stdio
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from rushladder.conf.grammar import Address
from rushladder.intake.processor import MAX_REPORT_BYTES, ReportProcessor, ReportOutcome
from rushladder.intake.datagram_buffer import MAX_PER_SENDER, DatagramBuffer
from rushladder.intake.lane_pb2 import Batch, Sender, Turn
from rushladder.runtime.endpoint import CONNECTION_DONE
from rushladder.timing import Clock, DelayedCall, clock_tenths

reactor: Any = _reactor
BATCH_INTERVAL = 0.05  # s in which datagrams gather: what a reading is older for it, a hundredth of its life
SOCKET = 3  # the file descriptor under which a lane inherits the socket
BUFFER = 4_000_000  # bytes asked of the kernel for datagrams: a third of a second of a large flood
LONGEST_BATCH = 64_000_000  # bytes: some thousand servers' newest reports, each as long as may be
FIRST_WAIT, LONGEST_WAIT = 0.1, 5.0  # s before a dead lane is started again: soon at first
STEADY = 10.0  # s of service after which a death counts as the first


def process_batch(desk: ReportProcessor, batch: Batch, now: int) -> None:
    """One batch into the desk: what was passed over is counted, the rest read, the newest first."""
    desk.counts[ReportOutcome.STRANGER] += batch.strangers
    for sender in batch.senders:
        if sender.passed_over:
            desk.passed_over(sender.address, sender.passed_over)
        for data in sender.reports[:MAX_PER_SENDER]:
            desk.report(sender.address, data, now)


class Lane(Int32StringReceiver):
    """The lane's side of the pipe: gathers, and hands over one gathering for each turn that it is given."""

    MAX_LENGTH = LONGEST_BATCH

    def __init__(self, clock: Clock, ended: Callable[[], None]) -> None:
        self._clock, self._ended = clock, ended
        self.gathering, self._due = DatagramBuffer(frozenset()), False

    def add(self, datagram: bytes, address: str) -> None:
        self.gathering.add(address, datagram)

    def stringReceived(self, string: bytes) -> None:
        turn = Turn.FromString(string)
        if turn.listed:
            self.gathering.knows = frozenset(turn.addresses)
        if not self._due:
            self._due = True
            self._clock.callLater(BATCH_INTERVAL, self._hand_over)

    def _hand_over(self) -> None:
        if not self.gathering and not self.gathering.strangers:
            self._clock.callLater(BATCH_INTERVAL, self._hand_over)
            return
        self._due = False
        batch = Batch(
            senders=[Sender(address=a, passed_over=p, reports=r) for a, p, r in self.gathering.take()],
            strangers=self.gathering.take_strangers(),
        )
        self.sendString(batch.SerializeToString())  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self._ended()


class Door(protocol.DatagramProtocol):
    """The lane's socket."""

    def __init__(self, lane: Lane) -> None:
        self._lane = lane

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self._lane.add(datagram[: MAX_REPORT_BYTES + 1], addr[0])  # enough to tell that it was too long


class Handing(Int32StringReceiver):
    """The manager's side of the pipe."""

    MAX_LENGTH = LONGEST_BATCH

    def __init__(self, desk: ReportProcessor, clock: Clock) -> None:
        self._desk, self._clock, self._told = desk, clock, -1

    def turn(self) -> None:
        """Lets the lane hand over its next gathering, and tells it the list where that has changed."""
        turn, version = Turn(), self._desk.version
        if version != self._told:
            turn.listed, self._told = True, version
            turn.addresses.extend(self._desk.addresses())
        self.sendString(turn.SerializeToString())  # type: ignore[no-untyped-call]

    def stringReceived(self, string: bytes) -> None:
        process_batch(self._desk, Batch.FromString(string), clock_tenths(self._clock))
        self.turn()


class ReceiverSupervisor(protocol.ProcessProtocol):
    """Keeps one lane alive for a bound socket, until it is told to stop."""

    def __init__(self, desk: ReportProcessor, door: socket.socket, on_fault: Callable[[str], None]) -> None:
        self._desk, self._door, self._fault = desk, door, on_fault
        self._wait, self._since, self._stopped = FIRST_WAIT, 0.0, False
        self._handing: Handing | None = None
        self._again: DelayedCall | None = None
        self.pid = self.starts = 0

    def start(self) -> None:
        self.starts += 1
        self._since = reactor.seconds()
        command = [sys.executable, "-m", "rushladder.intake.receiver"]
        ends = {0: "w", 1: "r", 2: 2, SOCKET: self._door.fileno()}
        self.pid = reactor.spawnProcess(self, sys.executable, command, env=None, childFDs=ends).pid

    def listed(self) -> None:
        """The list of reporters may have changed."""
        if self._handing is not None:
            self._handing.turn()

    def stop(self) -> None:
        self._stopped = True
        if self._again is not None and self._again.active():
            self._again.cancel()
        pipes: Any = self.transport
        if pipes is not None and self._handing is not None:
            pipes.loseConnection()  # the lane ends with its input
        self._door.close()

    def connectionMade(self) -> None:
        self._handing = Handing(self._desk, reactor)
        self._handing.makeConnection(self.transport)  # type: ignore[no-untyped-call]
        self._handing.turn()

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        if self._handing is not None:
            self._handing.dataReceived(data)  # type: ignore[no-untyped-call]

    def processEnded(self, reason: Failure) -> None:
        self._handing = None
        if self._stopped:
            return
        if reactor.seconds() - self._since >= STEADY:
            self._wait = FIRST_WAIT
        self._fault(f"the lane for reports ended ({reason.value}); started again in {self._wait:.1f} s")
        self._again = reactor.callLater(self._wait, self.start)
        self._wait = min(LONGEST_WAIT, 2 * self._wait)


def bind_report_socket(where: Address) -> socket.socket:
    """The bound socket. Raises OSError if it can't be bound."""
    door = socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET, socket.SOCK_DGRAM)
    door.setblocking(False)
    door.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
    door.bind((where.host, where.port))
    return door


def main() -> None:
    """The child: serves the inherited socket until its input ends."""
    lane = Lane(reactor, lambda: reactor.running and reactor.stop())
    with socket.socket(fileno=SOCKET) as inherited:
        family = inherited.family
        reactor.adoptDatagramPort(SOCKET, family, Door(lane))
        stdio.StandardIO(lane)
        reactor.run()


if __name__ == "__main__":
    main()
