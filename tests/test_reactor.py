"""Tests of the reactor: what it does first after the process has stood still."""

import socket
import unittest
from collections.abc import Callable
from typing import Any

from twisted.internet.abstract import FileDescriptor

from rushladder.service.reactor import OVERDUE_SECONDS, ReadFirstReactor


class ManualClockReactor(ReadFirstReactor):
    """A reactor whose clock the test sets. It is never run: the test calls its steps."""

    time = 100.0

    def seconds(self) -> float:
        return self.time


class InterruptedPoller:
    """A poller whose first poll a standstill of the process interrupts: it ends late, and with nothing."""

    def __init__(self, poller: Any, stand_still: Callable[[], None]) -> None:
        self._poller, self._stand_still = poller, stand_still
        self.polls = 0

    def poll(self, timeout: float, count: int) -> Any:
        self.polls += 1
        if self.polls == 1:
            self._stand_still()
            return []
        return self._poller.poll(timeout, count)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poller, name)


class Reader(FileDescriptor):
    """Notes that its socket was read."""

    def __init__(self, reactor: Any, sock: socket.socket, steps: list[str]) -> None:
        super().__init__(reactor)
        self._sock, self._steps = sock, steps

    def fileno(self) -> int:
        return self._sock.fileno()

    def doRead(self) -> None:
        self._sock.recv(100)
        self._steps.append("read")


class StandstillTests(unittest.TestCase):
    def setUp(self) -> None:
        self.steps = list[str]()
        self.far, near = socket.socketpair()
        for sock in (self.far, near):
            self.addCleanup(sock.close)
        self.reactor: Any = ManualClockReactor()  # type: ignore[no-untyped-call]
        self.addCleanup(self.reactor._poller.close)
        self.addCleanup(self.reactor.removeAll)
        self.reactor.addReader(Reader(self.reactor, near, self.steps))  # type: ignore[no-untyped-call]
        self.reactor.callLater(1.0, self.steps.append, "timer")

    def turn_with_standstill(self, seconds: float) -> None:
        """One turn of the reactor, during whose poll the process stands still and input arrives."""

        def stand_still() -> None:
            self.reactor.time += seconds
            self.far.sendall(b"x")

        self.reactor._poller = InterruptedPoller(self.reactor._poller, stand_still)
        self.reactor.doIteration(self.reactor.timeout())
        self.reactor.runUntilCurrent()

    def test_input_is_read_before_overdue_timers(self) -> None:
        # Guards against: after a standstill the overdue timers ran before the input that had arrived.
        self.turn_with_standstill(1.0 + 2 * OVERDUE_SECONDS)
        self.assertEqual(self.steps, ["read", "timer"])

    def test_timer_that_is_hardly_late_costs_no_second_poll(self) -> None:
        self.turn_with_standstill(1.0 + OVERDUE_SECONDS / 2)
        self.assertEqual(self.steps, ["timer"])
        self.assertEqual(self.reactor._poller.polls, 1)
