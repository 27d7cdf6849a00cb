"""How far readings are from the truth, by how many reports of a server are taken in: prints a table, draws
a chart.

python -m benchmarks.estimate [chart.png]. Loads swing and jitter; the truth is each load without its jitter.
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

SERVERS, SECONDS, SENT, TENTHS = 30, 60, 40, 10_000  # SENT: reports a second of each server


def errors(own: float) -> tuple[float, float]:
    """Root mean square error of the readings, and the part of reports that was read."""
    draw, limits = Random(5), ReportLimits(own, 2, 1e6)
    readings, phases = [Reading() for _ in range(SERVERS)], [draw.uniform(0, 6.28) for _ in range(SERVERS)]
    total, many, read = 0.0, 0, 0
    for tick in range(SECONDS * SENT):
        now = 1 + tick * TENTHS // SENT
        for k, reading in enumerate(readings):
            truth = 0.5 + 0.3 * math.sin(now / (20 * TENTHS) * 6.28 + phases[k])
            if limits.admit(str(k), now) is RateVerdict.ACCEPTED:
                load = min(1.0, max(0.0, truth + draw.gauss(0, 0.15)))
                read += reading.add(1, tick + 1, float(now), load, now) is ReadingOutcome.NEW
            if now > 10 * TENTHS:
                total += (reading.value() - truth) ** 2
                many += 1
    return math.sqrt(total / many), read / (SECONDS * SENT * SERVERS)


@click.command()
@click.argument("chart", default="")
def main(chart: str) -> None:
    """Writes a chart to CHART if one is named."""
    rows = [(own, *errors(own)) for own in (0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 40.0)]
    print("| taken a second of 40 | part read | error of the reading |")
    print("| --- | --- | --- |")
    for own, error, part in rows:
        print(f"| {own:g} | {part:.1%} | {error:.3f} |")
    if chart:
        figure, axes = pyplot.subplots(figsize=(6, 4))
        axes.plot([row[0] for row in rows], [row[1] for row in rows], marker="o")
        axes.set(
            xscale="log",
            xlabel="reports taken a second and server, of 40 sent",
            ylabel="rms error of load",
            title="what sampling costs",
            ylim=(0, None),
        )
        figure.savefig(chart, dpi=100, bbox_inches="tight")


if __name__ == "__main__":
    main()
