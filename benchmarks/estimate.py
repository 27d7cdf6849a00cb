"""Error of the load readings, by the number of reports accepted per second and server. Prints a table and
optionally draws a chart.

    python -m benchmarks.estimate [chart.png]

The simulated loads are a sine wave with jitter. The error is measured against the load without jitter.
"""

from __future__ import annotations

import math
from random import Random

import click
import matplotlib

from rushladder.intake.limits import ReportLimits, RateVerdict
from rushladder.intake.readings import ReadingOutcome, Reading

matplotlib.use("Agg")
from matplotlib import pyplot

# REPORT_RATE: reports that each server sends per second. SECOND: in tenths of a millisecond.
SERVERS, DURATION, REPORT_RATE, SECOND = 30, 60, 40, 10_000


def measure(accepted_rate: float) -> tuple[float, float]:
    """Returns the root mean square error of the readings and the share of reports that was accepted.

    accepted_rate: reports accepted per second of each server.
    """
    rng, limits = Random(5), ReportLimits(accepted_rate, 2, 1e6)
    readings, phases = [Reading() for _ in range(SERVERS)], [rng.uniform(0, 6.28) for _ in range(SERVERS)]
    squared_error, samples, accepted = 0.0, 0, 0
    for tick in range(DURATION * REPORT_RATE):
        now = 1 + tick * SECOND // REPORT_RATE
        for k, reading in enumerate(readings):
            truth = 0.5 + 0.3 * math.sin(now / (20 * SECOND) * 6.28 + phases[k])
            if limits.admit(str(k), now) is RateVerdict.ACCEPTED:
                load = min(1.0, max(0.0, truth + rng.gauss(0, 0.15)))
                accepted += reading.add(1, tick + 1, float(now), load, now) is ReadingOutcome.NEW
            if now > 10 * SECOND:
                squared_error += (reading.value() - truth) ** 2
                samples += 1
    return math.sqrt(squared_error / samples), accepted / (DURATION * REPORT_RATE * SERVERS)


@click.command()
@click.argument("chart", default="")
def main(chart: str) -> None:
    """Prints the table. With CHART, also writes a chart to that file."""
    rows = [(rate, *measure(rate)) for rate in (0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 40.0)]
    print("| accepted per second, of 40 | share accepted | error of the reading |")
    print("| --- | --- | --- |")
    for rate, error, share in rows:
        print(f"| {rate:g} | {share:.1%} | {error:.3f} |")
    if chart:
        figure, axes = pyplot.subplots(figsize=(6, 4))
        axes.plot([row[0] for row in rows], [row[1] for row in rows], marker="o")
        axes.set(
            xscale="log",
            xlabel="reports accepted per second and server, of 40 sent",
            ylabel="RMS error of load",
            title="error caused by sampling",
            ylim=(0, None),
        )
        figure.savefig(chart, dpi=100, bbox_inches="tight")


if __name__ == "__main__":
    main()
