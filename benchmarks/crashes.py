"""A long run of the crash-point explorer, too slow for CI: longer runs, more seeds, and a writer process on a
real folder that is killed hundreds of times.

    python -m benchmarks.crashes --seeds 20 --kills 300
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from random import Random

import click

from rushladder.store.files import Disk
from rushladder.store.log import Log
from rushladder.trials.crashes import explore_crash_points, flip_bits

WRITER_CODE = """
import sys
from rushladder.store.files import Disk
from rushladder.store.log import Log
log = Log(Disk(sys.argv[1]), "fleet", "m1", {1: 0}, segment_bytes=20_000, min_snapshot_bytes=40_000)
log.open()
batch = int(log.state.get((1, "batch"), b"0"))
while True:
    batch += 1
    for k in range(200):
        log.put(1, f"k{k}", b"%d" % batch * 10)
    log.put(1, "batch", b"%d" % batch)
    log.commit()
    print(batch, flush=True)
    if log.snapshot_due:
        log.snapshot()
"""


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--turns", default=120, show_default=True, help="Batches per run.")
@click.option("--every", default=3, show_default=True, help="Crash at every N-th change of the disk.")
@click.option("--kills", default=300, show_default=True)
def main(seeds: int, turns: int, every: int, kills: int) -> None:
    """Prints how many crash points and kills were tried. Fails at the first wrong recovery."""
    points = openings = 0
    for seed in range(100, 100 + seeds):
        explored = explore_crash_points(turns, seed, every)
        points, openings = points + explored[0], openings + explored[1]
    print(f"{points} crash points, {openings} recoveries, none wrong")
    flipped, detected = flip_bits(turns, 7, 50 * seeds)
    print(f"{flipped} flipped bits, {detected} detected or in files that are not read, none accepted")
    with tempfile.TemporaryDirectory() as folder:
        torn, partial_snapshots = kill_writers(folder, kills)
    print(f"{kills} kills, {torn} left a torn write, {partial_snapshots} interrupted a snapshot, none wrong")


def kill_writers(folder: str, kills: int) -> tuple[int, int]:
    """Returns how many kills left a torn write, and how many interrupted a snapshot."""
    committed, torn, partial_snapshots, random = 0, 0, 0, Random(5)
    for _ in range(kills):
        child = subprocess.Popen(
            [sys.executable, "-c", WRITER_CODE, folder], stdout=subprocess.PIPE, text=True
        )
        assert child.stdout is not None
        committed = max(committed, int(child.stdout.readline()))
        time.sleep(0.04 * random.random())
        os.kill(child.pid, signal.SIGKILL)
        committed = max([committed, *(int(line) for line in child.stdout.read().split("\n")[:-1] if line)])
        child.wait()
        child.stdout.close()
        disk = Disk(folder)
        partial_snapshots += any(name.endswith(".new") for name in disk.names())
        log = Log(disk, "fleet", "m1", {1: 0})
        opened = log.open()
        disk.close()
        torn += bool(opened.damage)
        batch = int(log.state[1, "batch"])
        if batch not in (committed, committed + 1) or opened.gaps:
            raise SystemExit(f"batch {committed} was committed, batch {batch} was recovered: {opened}")
    return torn, partial_snapshots


if __name__ == "__main__":
    main()
