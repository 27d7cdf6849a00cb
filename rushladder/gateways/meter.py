"""What a gateway met between two polls: differences of the sums that `show stat` gives since its start.

Sums run on as long as the gateway's process does; they start at 0 with a new process and wherever an operator
clears them. The mean time of a server is a sliding one over the last 1,024 txns (the guide, `ttime`), so
the mean of the few between two polls is computed back from it.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from operator import itemgetter

import attrs

from rushladder.timing import TENTHS_PER_SECOND

SAMPLES = 1024  # over which the sliding mean runs: the guide's figure
SETTLED = ("hrsp_1xx", "hrsp_2xx", "hrsp_3xx", "hrsp_4xx")
VOIDED = ("econ", "eresp", "hrsp_5xx", "cli_abrt", "srv_abrt")
COLUMNS = (*SETTLED, *VOIDED, "req_tot", "stot", "ttime")


@attrs.frozen
class Sums:
    """One row of `show stat`: since the gateway's start, or since its sums were cleared."""

    settled: int
    voided: int
    came: int
    mean: float  # ms, sliding

    @property
    def ended(self) -> int:
        return self.settled + self.voided


@attrs.frozen
class Met:
    """What ended between two polls; `time` is the sum over the settled ones, in tenths of a millisecond."""

    many: int
    voided: int
    came: int
    time: float


@attrs.frozen
class Birth:
    """Which process it is: its number and when it started, in tenths of a millisecond of the reader's
    clock."""

    pid: str
    started: int


ZERO = Sums(0, 0, 0, 0.0)


def _figure(text: str) -> int:
    return int(text) if text.isdigit() else 0


def read_sums(figures: Sequence[str]) -> Sums:
    """The sums of a row's figures in the order of COLUMNS. Raises nothing: what is no number counts as 0."""
    many = len(SETTLED)
    some = [_figure(text) for text in figures]
    return Sums(sum(some[:many]), sum(some[many : many + len(VOIDED)]), some[-3] or some[-2], float(some[-1]))


def read_rows(answer: str) -> Iterator[tuple[tuple[str, str], tuple[str, ...]]]:
    """The figures of each (backend, server) of `show stat`, in the order of COLUMNS, as they are written.

    Columns are found by name, as proxies add some with each version; a missing one reads as empty.
    """
    lines = answer.splitlines()
    start = next((place for place, line in enumerate(lines) if line.startswith("# ")), len(lines))
    if start == len(lines):
        return
    names = lines[start][2:].split(",")
    places = [names.index(name) if name in names else -1 for name in ("pxname", "svname", *COLUMNS)]
    pick, width = itemgetter(*places), max(places) + 1
    for line in lines[start + 1 :]:
        cells = line.split(",")
        if len(cells) < width:
            cells += [""] * (width - len(cells))
        cells.append("")  # stands for the columns that are missing
        backend, server, *figures = pick(cells)
        yield (backend, server), tuple(figures)


def mean_of_new(before: Sums, after: Sums, samples: int = SAMPLES) -> float:
    """The mean time (ms) of the txns settled between two readings of a sliding mean; it may come out below 0.

    While fewer than `samples` were ever seen the sliding mean is the plain one; later each new txn takes
    one part in `samples` of it. Both readings are rounded to whole milliseconds, so a single result is good
    to half a millisecond times samples over the number of txns; over consecutive polls these errors cancel.
    """
    new = after.settled - before.settled
    if new <= 0:
        return 0.0
    if after.settled <= samples:
        return (after.mean * after.settled - before.mean * before.settled) / new
    kept = (1.0 - 1.0 / samples) ** new
    return (after.mean - before.mean * kept) / (1.0 - kept)


class Meter:
    """The sums of one gateway's last poll. Bounded by the rows that the gateway has now."""

    def __init__(self) -> None:
        self._rows = dict[tuple[str, str], tuple[str, ...]]()
        self._debt = dict[tuple[str, str], float]()
        self._birth: Birth | None = None
        self._read = 0

    def poll(self, answer: str, birth: Birth, now: int) -> tuple[dict[tuple[str, str], Met], int]:
        """What each (backend, server) met since the last poll, and the time covered (tenths of a ms).

        answer: that of `show stat`. The first poll of all covers nothing: how long its sums took is not
        known. A restart shows in the process, and its sums count from the start; sums that fell in the same
        process were cleared, and count from there. A row that has not changed costs one comparison.
        """
        rows = dict(read_rows(answer))
        first = self._birth is None
        # The start is read off a clock of whole seconds: a second's difference is none.
        restarted = (
            not first
            and self._birth is not None
            and (
                birth.pid != self._birth.pid
                or abs(birth.started - self._birth.started) > 2 * TENTHS_PER_SECOND
            )
        )
        before = {} if restarted else self._rows
        span = 0 if first else now - max(self._read, birth.started if restarted else 0)
        found = dict[tuple[str, str], Met]()
        for key, figures in () if first else rows.items():
            if before.get(key) == figures:
                continue
            after, old = read_sums(figures), read_sums(before[key]) if key in before else ZERO
            if after.settled < old.settled or after.voided < old.voided or after.came < old.came:
                old = ZERO
            if after == old:
                continue
            time = mean_of_new(old, after) * 10 * (after.settled - old.settled) + self._debt.get(key, 0.0)
            self._debt[key] = min(0.0, time)
            found[key] = Met(
                after.ended - old.ended, after.voided - old.voided, after.came - old.came, max(0.0, time)
            )
        self._rows, self._birth, self._read = rows, birth, now
        self._debt = {key: debt for key, debt in self._debt.items() if debt and key in rows}
        return found, max(0, span)
