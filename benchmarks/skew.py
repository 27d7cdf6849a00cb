"""How far the load of DNS clients is from the weights, by load and by answers: plays the skewed day in each
way at once, several times, prints a table and draws it."""

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

NAMED = (1, 2, 4)  # servers of an answer; the two ways of each are played at once


def error(folder: Path) -> float:
    rows = load_records(folder)
    begins, ends = (
        next(r["t"] for r in rows if r["ev"] == "day" and r["what"] == w) for w in ("begins", "ends")
    )
    return dns_error(rows, begins, ends)


@click.command()
@click.option("--day", default="trials/skewed.day", type=click.Path(exists=True, dir_okay=False))
@click.option("--runs", default=2)
@click.option("--out", type=click.Path(dir_okay=False), help="Draws the table to this file.")
def main(day: str, runs: int, out: str | None) -> None:
    text, found = Path(day).read_text(), dict[tuple[str, int], list[float]]()
    for named in (named for _ in range(runs) for named in NAMED):
        with tempfile.TemporaryDirectory(prefix="rl") as made:
            started = list[tuple[tuple[str, int], Path, subprocess.Popen[bytes]]]()
            for split in ("answers", "load"):
                file, kept = Path(made, f"{split}{named}.day"), Path(made, f"{split}{named}")
                file.write_text(
                    text.replace("    load", f"    dns split {split}\n    dns named {named}\n    load", 1)
                )
                read_day(file.read_text(), str(file))
                command = [sys.executable, "-m", "rushladder", "trial", str(file), "--keep", str(kept)]
                started.append(((split, named), kept, subprocess.Popen(command, stdout=subprocess.DEVNULL)))
            for way, kept, process in started:
                if process.wait():
                    print(f"{way}: a rule was broken, or the day could not be played", file=sys.stderr)
                    continue
                found.setdefault(way, []).append(error(kept))
    print("| servers named | by answers | by load |\n| --- | --- | --- |")
    for named in NAMED:
        cells = [", ".join(f"{one:.1%}" for one in found[split, named]) for split in ("answers", "load")]
        print(f"| {named} | {cells[0]} | {cells[1]} |")
    if out:
        for offset, split in ((-0.2, "answers"), (0.2, "load")):
            means = [100 * fmean(found[split, named]) for named in NAMED]
            pyplot.bar([place + offset for place in range(3)], means, width=0.38, label=f"split by {split}")
        pyplot.xticks(range(3), ["1 named", "2 named", "4 named"])
        pyplot.ylabel("load off its weights (%)")
        pyplot.legend()
        pyplot.savefig(out, dpi=100, bbox_inches="tight")


if __name__ == "__main__":
    main()
