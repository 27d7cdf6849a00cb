"""Computes a gateway's traffic between two polls from the cumulative counters of `show stat`.

The counters live as long as the gateway's process; a new process starts them at 0, and an operator may clear
them. The mean time of a server is a sliding mean over the last 1,024 txns (HAProxy's guide, `ttime`), from
which the mean of the txns between two polls is derived.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from operator import itemgetter

import attrs

from rushladder.timing import TENTHS_PER_SECOND

SAMPLES = 1024  # window of the sliding mean, as HAProxy's guide states
SETTLED = ("hrsp_1xx", "hrsp_2xx", "hrsp_3xx", "hrsp_4xx")
VOIDED = ("econ", "eresp", "hrsp_5xx", "cli_abrt", "srv_abrt")
COLUMNS = (*SETTLED, *VOIDED, "req_tot", "stot", "ttime")


@attrs.frozen
class Counters:
    """One row of `show stat`: counts since the gateway's start, or since its counters were cleared."""

    settled: int
    voided: int
    arrived: int
    mean_ms: float  # sliding mean

    @property
    def ended(self) -> int:
        return self.settled + self.voided


@attrs.frozen
class TrafficDelta:
    """The txns between two polls; `time` is the sum over the settled ones, in tenths of a millisecond."""

    count: int  # ended, settled or voided
    voided: int
    arrived: int
    time: float


@attrs.frozen
class ProcessIdentity:
    """Identifies a gateway's process by its pid and start time (tenths of a millisecond, reader's clock)."""

    pid: str
    started: int


ZERO = Counters(0, 0, 0, 0.0)


def _integer(text: str) -> int:
    return int(text) if text.isdigit() else 0


def parse_counters(values: Sequence[str]) -> Counters:
    """The counters of a row with its values in the order of COLUMNS; invalid numbers count as 0."""
    settled_columns = len(SETTLED)
    numbers = [_integer(text) for text in values]
    return Counters(
        sum(numbers[:settled_columns]),
        sum(numbers[settled_columns : settled_columns + len(VOIDED)]),
        numbers[-3] or numbers[-2],
        float(numbers[-1]),
    )


def parse_rows(answer: str) -> Iterator[tuple[tuple[str, str], tuple[str, ...]]]:
    """Yields the unparsed values of each (backend, server) of `show stat`, in the order of COLUMNS.

    Columns are found by name, as new proxy versions add some; a missing one reads as empty.
    """
    lines = answer.splitlines()
    start = next((index for index, line in enumerate(lines) if line.startswith("# ")), len(lines))
    if start == len(lines):
        return
    names = lines[start][2:].split(",")
    indices = [names.index(name) if name in names else -1 for name in ("pxname", "svname", *COLUMNS)]
    pick, width = itemgetter(*indices), max(indices) + 1
    for line in lines[start + 1 :]:
        cells = line.split(",")
        if len(cells) < width:
            cells += [""] * (width - len(cells))
        cells.append("")  # read by index -1 for missing columns
        backend, server, *values = pick(cells)
        yield (backend, server), tuple(values)


def mean_of_new_txns(before: Counters, after: Counters, samples: int = SAMPLES) -> float:
    """The mean time (ms) of the txns settled between two readings of a sliding mean; may be negative.

    Up to `samples` txns the sliding mean is the arithmetic mean; after that each new txn has a weight of
    1/samples. Both readings are rounded to whole milliseconds, so the error of a single result is up to
    0.5 ms * samples / (number of new txns); over consecutive polls these errors cancel.
    """
    new = after.settled - before.settled
    if new <= 0:
        return 0.0
    if after.settled <= samples:
        return (after.mean_ms * after.settled - before.mean_ms * before.settled) / new
    kept = (1.0 - 1.0 / samples) ** new
    return (after.mean_ms - before.mean_ms * kept) / (1.0 - kept)


class Meter:
    """Keeps the counters of one gateway's last poll. Bounded by the rows that the gateway has now."""

    def __init__(self) -> None:
        self._rows = dict[tuple[str, str], tuple[str, ...]]()
        self._negative_time = dict[tuple[str, str], float]()
        self._process: ProcessIdentity | None = None
        self._read_at = 0

    def poll(
        self, answer: str, process: ProcessIdentity, now: int
    ) -> tuple[dict[tuple[str, str], TrafficDelta], int]:
        """Returns the traffic by (backend, server) since the last poll, and the time covered (tenths of ms).

        answer: the answer to `show stat`. The first poll covers nothing, as the age of its counters is
        unknown. After a restart, detected by the process identity, the counters count from the start of the
        process. Counters that decreased in the same process were cleared and count from there. An unchanged
        row costs one comparison.
        """
        rows = dict(parse_rows(answer))
        first = self._process is None
        # The uptime has a resolution of one second, so small differences of the start time are no restart.
        restarted = (
            not first
            and self._process is not None
            and (
                process.pid != self._process.pid
                or abs(process.started - self._process.started) > 2 * TENTHS_PER_SECOND
            )
        )
        before = {} if restarted else self._rows
        span = 0 if first else now - max(self._read_at, process.started if restarted else 0)
        deltas = dict[tuple[str, str], TrafficDelta]()
        for key, values in () if first else rows.items():
            if before.get(key) == values:
                continue
            after, old = parse_counters(values), parse_counters(before[key]) if key in before else ZERO
            if after.settled < old.settled or after.voided < old.voided or after.arrived < old.arrived:
                old = ZERO
            if after == old:
                continue
            time = mean_of_new_txns(old, after) * 10 * (
                after.settled - old.settled
            ) + self._negative_time.get(key, 0.0)
            self._negative_time[key] = min(0.0, time)
            deltas[key] = TrafficDelta(
                after.ended - old.ended,
                after.voided - old.voided,
                after.arrived - old.arrived,
                max(0.0, time),
            )
        self._rows, self._process, self._read_at = rows, process, now
        self._negative_time = {
            key: negative for key, negative in self._negative_time.items() if negative and key in rows
        }
        return deltas, max(0, span)
