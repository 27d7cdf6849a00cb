"""The clock that the program needs: a Twisted reactor and the virtual clock of tests both provide it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

TENTHS_PER_SECOND = 10_000  # tenths of a millisecond


class DelayedCall(Protocol):
    """A scheduled call, as `Clock.callLater` returns it."""

    def active(self) -> bool: ...

    def cancel(self) -> None: ...


class Clock(Protocol):
    """A monotonic clock in seconds that can call back after a delay."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object) -> Any: ...


def clock_tenths(clock: Clock) -> int:
    """The clock in whole tenths of a millisecond."""
    return int(clock.seconds() * TENTHS_PER_SECOND)
