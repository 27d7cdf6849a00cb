"""How far the load from DNS clients deviates from the weights when it is split by answers and by load. Plays
the day with skewed clients with both splits at once, several times; prints a table and optionally draws it.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import fmean

import click
import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from rushladder.trials.day import read_day
from rushladder.trials.judge import dns_error, load_records

SERVERS_NAMED = (1, 2, 4)  # servers per answer; both splits of each run at the same time


def measure_error(folder: Path) -> float:
    rows = load_records(folder)
    begins, ends = (
        next(row["t"] for row in rows if row["ev"] == "day" and row["what"] == event)
        for event in ("begins", "ends")
    )
    return dns_error(rows, begins, ends)


@click.command()
@click.option("--day", default="trials/skewed.day", type=click.Path(exists=True, dir_okay=False))
@click.option("--runs", default=2)
@click.option("--out", type=click.Path(dir_okay=False), help="Write a chart to this file.")
def main(day: str, runs: int, out: str | None) -> None:
    text, errors = Path(day).read_text(), dict[tuple[str, int], list[float]]()
    for named in (named for _ in range(runs) for named in SERVERS_NAMED):
        with tempfile.TemporaryDirectory(prefix="rl") as folder:
            running = list[tuple[tuple[str, int], Path, subprocess.Popen[bytes]]]()
            for split in ("answers", "load"):
                file, records = Path(folder, f"{split}{named}.day"), Path(folder, f"{split}{named}")
                file.write_text(
                    text.replace("    load", f"    dns split {split}\n    dns named {named}\n    load", 1)
                )
                read_day(file.read_text(), str(file))
                command = [sys.executable, "-m", "rushladder", "trial", str(file), "--keep", str(records)]
                running.append(
                    ((split, named), records, subprocess.Popen(command, stdout=subprocess.DEVNULL))
                )
            for variant, records, process in running:
                if process.wait():
                    print(f"{variant}: the trial broke a rule or could not be played", file=sys.stderr)
                    continue
                errors.setdefault(variant, []).append(measure_error(records))
    print("| servers named | by answers | by load |\n| --- | --- | --- |")
    for named in SERVERS_NAMED:
        cells = [", ".join(f"{error:.1%}" for error in errors[split, named]) for split in ("answers", "load")]
        print(f"| {named} | {cells[0]} | {cells[1]} |")
    if out:
        for offset, split in ((-0.2, "answers"), (0.2, "load")):
            means = [100 * fmean(errors[split, named]) for named in SERVERS_NAMED]
            pyplot.bar(
                [position + offset for position in range(3)], means, width=0.38, label=f"split by {split}"
            )
        pyplot.xticks(range(3), ["1 named", "2 named", "4 named"])
        pyplot.ylabel("deviation of load from weights (%)")
        pyplot.legend()
        pyplot.savefig(out, dpi=100, bbox_inches="tight")


if __name__ == "__main__":
    main()
