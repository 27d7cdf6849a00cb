"""Draws the rows that `benchmarks.fleet` printed: order to applied and CPU, beside the plain way.

python -m benchmarks.fleet 6 10 >> rows; ...; python -m benchmarks.chart rows chart.png
"""

from __future__ import annotations

from pathlib import Path

import click
import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot


@click.command()
@click.argument("rows", type=click.Path(exists=True, dir_okay=False))
@click.argument("out", type=click.Path(dir_okay=False))
def main(rows: str, out: str) -> None:
    """Reads table rows, writes a PNG."""
    cells = [
        [cell.strip() for cell in line.strip("| \n").split("|")]
        for line in Path(rows).read_text().splitlines()
        if " x " in line
    ]
    sizes = list(dict.fromkeys(row[0] for row in cells))
    figure, charts = pyplot.subplots(1, 2, figsize=(10, 4))
    for axes, column, title in zip(
        charts, (6, 5), ("order to applied, median (ms)", "CPU of a busy second (ms)"), strict=True
    ):
        for offset, way in ((-0.2, "plain"), (0.2, "difference")):
            points = {row[0]: float(row[column]) for row in cells if row[1] == way}
            axes.bar(
                [place + offset for place, size in enumerate(sizes) if size in points],
                [points[size] for size in sizes if size in points],
                width=0.38,
                label=way,
            )
        axes.set(title=title, yscale="log", xlabel="gateways x collectors")
        axes.set_xticks(range(len(sizes)), sizes)
        axes.legend()
    figure.savefig(out, dpi=100, bbox_inches="tight")


if __name__ == "__main__":
    main()
