"""A Twisted reactor that reads its sockets before it runs timers that are long overdue.

A process that was stopped, or got no processor time, finds overdue timers and unread input when it goes on.
Twisted runs the timers first. A timeout would then end a connection whose answer has arrived, and a periodic
decision would miss the news that waits in a socket.
"""

from __future__ import annotations

import sys
from math import inf
from typing import Any

from twisted.internet.main import installReactor

if sys.platform == "linux":
    from twisted.internet.epollreactor import EPollReactor as PlatformReactor
else:
    from twisted.internet.pollreactor import PollReactor as PlatformReactor

OVERDUE_SECONDS = 0.25  # a timer that is later than this missed input that arrived in the meantime


class ReadFirstReactor(PlatformReactor):
    """The platform's usual reactor, with one more poll of the sockets after a standstill."""

    _next_timer_at = inf  # when the poll should have ended at the latest, in seconds of the reactor's clock

    def doIteration(self, delay: float | None) -> None:
        """Reads and writes what is ready, and waits for it for up to `delay` seconds; None: without a
        limit."""
        self._next_timer_at = inf if delay is None else self.seconds() + delay
        super().doIteration(delay)  # type: ignore[no-untyped-call]

    def runUntilCurrent(self) -> None:
        """Runs the timers that are due."""
        if self.seconds() > self._next_timer_at + OVERDUE_SECONDS:
            self.doIteration(0)
        super().runUntilCurrent()


def install_reactor() -> Any:
    """Makes a new reactor of this class the process's reactor, and returns it.

    Raises twisted.internet.error.ReactorAlreadyInstalledError if the process has one already.
    """
    reactor = ReadFirstReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)
    return reactor
