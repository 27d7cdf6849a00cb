"""What the program needs of a clock that can call back: a reactor has it, and so has a test's virtual
clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

TENTHS_PER_SECOND = 10_000  # tenths of a millisecond in a second


class DelayedCall(Protocol):
    def active(self) -> bool: ...

    def cancel(self) -> None: ...


class Clock(Protocol):
    """Seconds of a clock that never runs backwards, and calls after a while."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object) -> Any: ...


def clock_tenths(clock: Clock) -> int:
    """The clock in whole tenths of a millisecond."""
    return int(clock.seconds() * TENTHS_PER_SECOND)
