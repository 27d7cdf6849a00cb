"""Draws the rows that `benchmarks.fleet` prints: apply time and CPU use, with and without `--plain`.

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
    """Reads table rows from ROWS and writes a PNG to OUT."""
    cells = [
        [cell.strip() for cell in line.strip("| \n").split("|")]
        for line in Path(rows).read_text().splitlines()
        if " x " in line
    ]
    sizes = list(dict.fromkeys(row[0] for row in cells))
    figure, panels = pyplot.subplots(1, 2, figsize=(10, 4))
    for axes, column, title in zip(
        panels, (6, 5), ("change to applied, median (ms)", "CPU per busy second (ms)"), strict=True
    ):
        for offset, variant in ((-0.2, "plain"), (0.2, "difference")):
            points = {row[0]: float(row[column]) for row in cells if row[1] == variant}
            axes.bar(
                [position + offset for position, size in enumerate(sizes) if size in points],
                [points[size] for size in sizes if size in points],
                width=0.38,
                label=variant,
            )
        axes.set(title=title, yscale="log", xlabel="gateways x collectors")
        axes.set_xticks(range(len(sizes)), sizes)
        axes.legend()
    figure.savefig(out, dpi=100, bbox_inches="tight")


if __name__ == "__main__":
    main()
