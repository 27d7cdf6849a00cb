"""The long run of the crash-point explorer, outside CI: longer lives, more seeds, and a writer that is
killed hundreds of times on a real folder.

python -m benchmarks.crashes --seeds 20 --kills 300"""

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

CHILD = """
import sys
from rushladder.store.files import Disk
from rushladder.store.log import Log
log = Log(Disk(sys.argv[1]), "fleet", "m1", {1: 0}, segment_bytes=20_000, min_snapshot_bytes=40_000)
log.open()
turn = int(log.state.get((1, "turn"), b"0"))
while True:
    turn += 1
    for k in range(200):
        log.put(1, f"k{k}", b"%d" % turn * 10)
    log.put(1, "turn", b"%d" % turn)
    log.commit()
    print(turn, flush=True)
    if log.snapshot_due:
        log.snapshot()
"""


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--turns", default=120, show_default=True, help="Batches of a life.")
@click.option("--every", default=3, show_default=True, help="One change of the disk in so many is a crash.")
@click.option("--kills", default=300, show_default=True)
def main(seeds: int, turns: int, every: int, kills: int) -> None:
    """Prints how many points and kills were tried; fails at the first that is wrong."""
    tried = opened = 0
    for seed in range(100, 100 + seeds):
        some = explore_crash_points(turns, seed, every)
        tried, opened = tried + some[0], opened + some[1]
    print(f"{tried} crash points, {opened} openings, none wrong")
    many, noticed = flip_bits(turns, 7, 50 * seeds)
    print(f"{many} turned bits, {noticed} noticed or in files not read, none trusted")
    with tempfile.TemporaryDirectory() as folder:
        torn, halves = killed(folder, kills)
    print(f"{kills} kills, {torn} left a torn end, {halves} came inside a snapshot, none wrong")


def killed(folder: str, kills: int) -> tuple[int, int]:
    said, torn, halves, random = 0, 0, 0, Random(5)
    for _ in range(kills):
        child = subprocess.Popen([sys.executable, "-c", CHILD, folder], stdout=subprocess.PIPE, text=True)
        assert child.stdout is not None
        said = max(said, int(child.stdout.readline()))
        time.sleep(0.04 * random.random())
        os.kill(child.pid, signal.SIGKILL)
        said = max([said, *(int(line) for line in child.stdout.read().split("\n")[:-1] if line)])
        child.wait()
        child.stdout.close()
        disk = Disk(folder)
        halves += any(name.endswith(".new") for name in disk.names())
        log = Log(disk, "fleet", "m1", {1: 0})
        found = log.open()
        disk.close()
        torn += bool(found.damage)
        turn = int(log.state[1, "turn"])
        if turn not in (said, said + 1) or found.gaps:
            raise SystemExit(f"{said} was said, {turn} came back, {found}")
    return torn, halves


if __name__ == "__main__":
    main()
