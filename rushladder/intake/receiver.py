"""The receiver: a child process that reads report datagrams, so that a flood does not use the CPU core on
which the manager's control loop runs.

    servers -> UDP socket -> [receiver: newest few of each sender] -> pipe -> manager: ReportProcessor

The manager binds the socket and keeps it open; the receiver inherits it. Only one batch is in transit at a
time: a manager that was stalled gets one old batch and then the newest reports. A receiver that exits is
restarted with exponential backoff; meanwhile datagrams queue in the socket.
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
from rushladder.intake.datagram_buffer import MAX_PER_SENDER, DatagramBuffer
from rushladder.intake.lane_pb2 import Batch, Sender, Turn
from rushladder.intake.processor import MAX_REPORT_BYTES, ReportOutcome, ReportProcessor
from rushladder.runtime.endpoint import CONNECTION_DONE
from rushladder.timing import Clock, DelayedCall, clock_tenths

reactor: Any = _reactor
# Seconds for which datagrams are collected into a batch. A reading gets older by it, a hundredth of the time
# for which it is fresh.
BATCH_INTERVAL = 0.05
SOCKET_FD = 3  # the file descriptor under which the receiver inherits the socket
RECEIVE_BUFFER_BYTES = 4_000_000  # requested from the kernel: a third of a second of a large flood
MAX_BATCH_BYTES = 64_000_000  # the newest reports of some thousand servers at their maximum length
MIN_RESTART_DELAY, MAX_RESTART_DELAY = 0.1, 5.0  # seconds before a receiver that exited is restarted
STEADY_SECONDS = 10.0  # running time after which the restart delay goes back to its minimum


def process_batch(processor: ReportProcessor, batch: Batch, now: int) -> None:
    """Passes a batch to the processor. Displaced reports are counted, the others processed, newest first."""
    processor.counts[ReportOutcome.STRANGER] += batch.strangers
    for sender in batch.senders:
        if sender.passed_over:
            processor.count_displaced(sender.address, sender.passed_over)
        for data in sender.reports[:MAX_PER_SENDER]:
            processor.report(sender.address, data, now)


class ReceiverSide(Int32StringReceiver):
    """The receiver's end of the pipe. Buffers datagrams and sends one batch for each request."""

    MAX_LENGTH = MAX_BATCH_BYTES

    def __init__(self, clock: Clock, on_end: Callable[[], None]) -> None:
        self._clock, self._on_end = clock, on_end
        self.buffer, self._requested = DatagramBuffer(frozenset()), False

    def add(self, datagram: bytes, address: str) -> None:
        self.buffer.add(address, datagram)

    def stringReceived(self, string: bytes) -> None:
        request = Turn.FromString(string)
        if request.listed:
            self.buffer.known_addresses = frozenset(request.addresses)
        if not self._requested:
            self._requested = True
            self._clock.callLater(BATCH_INTERVAL, self._send_batch)

    def _send_batch(self) -> None:
        if not self.buffer and not self.buffer.unknown_count:
            self._clock.callLater(BATCH_INTERVAL, self._send_batch)
            return
        self._requested = False
        batch = Batch(
            senders=[Sender(address=a, passed_over=p, reports=r) for a, p, r in self.buffer.take()],
            strangers=self.buffer.take_unknown_count(),
        )
        self.sendString(batch.SerializeToString())  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self._on_end()


class ReportDatagrams(protocol.DatagramProtocol):
    """The receiver's socket."""

    def __init__(self, receiver: ReceiverSide) -> None:
        self._receiver = receiver

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        # One byte over the maximum is enough for the manager to see that the report is too long.
        self._receiver.add(datagram[: MAX_REPORT_BYTES + 1], addr[0])


class ManagerSide(Int32StringReceiver):
    """The manager's end of the pipe."""

    MAX_LENGTH = MAX_BATCH_BYTES

    def __init__(self, processor: ReportProcessor, clock: Clock) -> None:
        self._processor, self._clock, self._sent_version = processor, clock, -1

    def request_batch(self) -> None:
        """Asks the receiver for its next batch, and sends it the known addresses if they have changed."""
        request, version = Turn(), self._processor.version
        if version != self._sent_version:
            request.listed, self._sent_version = True, version
            request.addresses.extend(self._processor.addresses())
        self.sendString(request.SerializeToString())  # type: ignore[no-untyped-call]

    def stringReceived(self, string: bytes) -> None:
        process_batch(self._processor, Batch.FromString(string), clock_tenths(self._clock))
        self.request_batch()


class ReceiverSupervisor(protocol.ProcessProtocol):
    """Runs a receiver for a bound socket and restarts it when it exits, until `stop` is called."""

    def __init__(
        self, processor: ReportProcessor, bound: socket.socket, on_error: Callable[[str], None]
    ) -> None:
        self._processor, self._socket, self._on_error = processor, bound, on_error
        self._restart_delay, self._started_at, self._stopped = MIN_RESTART_DELAY, 0.0, False
        self._pipe: ManagerSide | None = None
        self._restart: DelayedCall | None = None
        self.pid = self.starts = 0

    def start(self) -> None:
        self.starts += 1
        self._started_at = reactor.seconds()
        command = [sys.executable, "-m", "rushladder.intake.receiver"]
        descriptors = {0: "w", 1: "r", 2: 2, SOCKET_FD: self._socket.fileno()}
        self.pid = reactor.spawnProcess(self, sys.executable, command, env=None, childFDs=descriptors).pid

    def listed(self) -> None:
        """Called when the known addresses may have changed."""
        if self._pipe is not None:
            self._pipe.request_batch()

    def stop(self) -> None:
        self._stopped = True
        if self._restart is not None and self._restart.active():
            self._restart.cancel()
        pipes: Any = self.transport
        if pipes is not None and self._pipe is not None:
            pipes.loseConnection()  # the receiver exits at the end of its input
        self._socket.close()

    def connectionMade(self) -> None:
        self._pipe = ManagerSide(self._processor, reactor)
        self._pipe.makeConnection(self.transport)  # type: ignore[no-untyped-call]
        self._pipe.request_batch()

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        if self._pipe is not None:
            self._pipe.dataReceived(data)  # type: ignore[no-untyped-call]

    def processEnded(self, reason: Failure) -> None:
        self._pipe = None
        if self._stopped:
            return
        if reactor.seconds() - self._started_at >= STEADY_SECONDS:
            self._restart_delay = MIN_RESTART_DELAY
        self._on_error(f"the lane for reports ended ({reason.value}); restart in {self._restart_delay:.1f} s")
        self._restart = reactor.callLater(self._restart_delay, self.start)
        self._restart_delay = min(MAX_RESTART_DELAY, 2 * self._restart_delay)


def bind_report_socket(where: Address) -> socket.socket:
    """A UDP socket bound to the address. Raises OSError if it can't be bound."""
    bound = socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind((where.host, where.port))
    return bound


def main() -> None:
    """Runs in the child process: serves the inherited socket until its input ends."""
    receiver = ReceiverSide(reactor, lambda: reactor.running and reactor.stop())
    with socket.socket(fileno=SOCKET_FD) as inherited:
        family = inherited.family
        reactor.adoptDatagramPort(SOCKET_FD, family, ReportDatagrams(receiver))
        stdio.StandardIO(receiver)
        reactor.run()


if __name__ == "__main__":
    main()
