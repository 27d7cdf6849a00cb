"""Cost of the store, with real syncs in a temporary folder: time and CPU time of writing a batch, against a
baseline that rewrites and renames one JSON file; time to read back by size; time of a compaction; records per
second.
"""

from __future__ import annotations

import json
import os
import tempfile
import time
from pathlib import Path
from random import Random

import attrs
import click
import matplotlib

from rushladder.store.files import Disk
from rushladder.store.frames import Record, encode_frame, decode_frames
from rushladder.store.log import Log
from rushladder.store.memory import MINORS, Kind, ServerKnowledge, ServerRecords
from rushladder.store.store_pb2 import ServerMemory
from rushladder.store.writer import write_batch

BATCHES = 200
CHANGED = 0.05  # share of the servers whose record changes per batch, as in a busy second of a larger fleet


def random_payload(rng: Random) -> bytes:
    pace, factor = rng.random() + 0.5, rng.random() + 0.5
    memory = ServerMemory(at=1_700_000_000_000, region="gent-1", model="large", pace=pace, factor=factor)
    return memory.SerializeToString()


class JsonFile:
    """The baseline: all records in one file, which is written to a new file, synced and renamed."""

    def __init__(self, folder: str) -> None:
        self._path, self._state = Path(folder, "state.json"), dict[str, str]()

    def write(self, batch: dict[str, bytes]) -> None:
        self._state |= {key: value.hex() for key, value in batch.items()}
        new_path = self._path.with_suffix(".new")
        with open(new_path, "w") as file:
            json.dump(self._state, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self._path)
        directory = os.open(self._path.parent, os.O_RDONLY)
        os.fsync(directory)
        os.close(directory)

    def read(self) -> int:
        return len(json.loads(self._path.read_text()))


def percentile_ms(values: list[float], quantile: float) -> float:
    """Returns a quantile of times in seconds, in milliseconds."""
    return 1000 * sorted(values)[int(quantile * (len(values) - 1))]


@click.command()
@click.option("--chart", type=click.Path(dir_okay=False), help="Write a chart of batch times to this file.")
def main(chart: str | None) -> None:
    """Prints the store's tables of docs/performance.md."""
    print("| servers | format | batch p50 (ms) | p99 (ms) | CPU per batch (ms) | bytes written per batch |")
    print("| --- | --- | --- | --- | --- | --- |")
    p99_times = dict[str, float]()
    for servers in (10, 99, 990, 9900):
        for variant in ("plain", "log"):
            with tempfile.TemporaryDirectory() as folder:
                p99_times[f"{servers} {variant}"] = measure_batches(folder, servers, variant)
    print("\n| records | baseline read (ms) | log read (ms) | compaction (ms) | on disk (KiB) |")
    print("| --- | --- | --- | --- | --- |")
    for servers in (99, 990, 9900, 49_500):
        with tempfile.TemporaryDirectory() as folder:
            measure_recovery(folder, servers)
    measure_updates()
    measure_framing()
    if chart:
        draw_chart(chart, p99_times)


def draw_chart(path: str, p99_times: dict[str, float]) -> None:
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    sizes = list(dict.fromkeys(name.split()[0] for name in p99_times))
    for offset, variant in ((-0.2, "plain"), (0.2, "log")):
        positions = [position + offset for position in range(len(sizes))]
        axes.bar(positions, [p99_times[f"{size} {variant}"] for size in sizes], width=0.38, label=variant)
    axes.set(title="writing a batch, p99 (ms)", yscale="log", xlabel="servers, 5% of them changed per batch")
    axes.set_xticks(range(len(sizes)), sizes)
    axes.legend()
    figure.savefig(path, dpi=100, bbox_inches="tight")


def measure_batches(folder: str, servers: int, variant: str) -> float:
    """Prints a row of the first table and returns the p99."""
    rng = Random(1)
    names = [f"collector-{k}" for k in range(servers)]
    log, baseline = Log(Disk(folder), "fleet", "m1", MINORS), JsonFile(folder)
    log.open()
    start = {name: random_payload(rng) for name in names}
    write_batch(log, {(int(Kind.SERVER), name): value for name, value in start.items()})
    baseline.write(start)
    times, cpu, sizes = list[float](), time.process_time(), list[int]()
    for _ in range(BATCHES):
        batch = {name: random_payload(rng) for name in rng.sample(names, max(1, round(CHANGED * servers)))}
        started = time.perf_counter()
        if variant == "log":
            write_batch(log, {(int(Kind.SERVER), name): value for name, value in batch.items()})
        else:
            baseline.write(batch)
        times.append(time.perf_counter() - started)
        sizes.append(
            sum(len(value) + 40 for value in batch.values())
            if variant == "log"
            else Path(folder, "state.json").stat().st_size
        )
    cpu = 1000 * (time.process_time() - cpu) / BATCHES
    columns = (percentile_ms(times, 0.5), percentile_ms(times, 0.99), cpu, sum(sizes) / BATCHES)
    print(f"| {servers} | {variant} | " + " | ".join(f"{column:.2f}" for column in columns) + " |")
    return columns[1]


def measure_recovery(folder: str, servers: int) -> None:
    rng, disk = Random(2), Disk(folder)
    log, baseline = Log(disk, "fleet", "m1", MINORS), JsonFile(folder)
    log.open()
    state = {f"collector-{k}": random_payload(rng) for k in range(servers)}
    baseline.write(state)
    write_batch(log, {(int(Kind.SERVER), name): value for name, value in state.items()})
    started = time.perf_counter()
    log.snapshot()
    compaction = time.perf_counter() - started
    for _ in range(20):
        changed = rng.sample(list(state), max(1, servers // 20))
        write_batch(log, {(int(Kind.SERVER), name): random_payload(rng) for name in changed})
    size = sum(len(disk.read(name)) for name in disk.names() if name != "state.json") / 1024
    disk.close()
    started = time.perf_counter()
    baseline.read()
    baseline_time = time.perf_counter() - started
    reopened = Log(Disk(folder), "fleet", "m1", MINORS)
    started = time.perf_counter()
    reopened.open()
    log_time = time.perf_counter() - started
    assert len(reopened.state) == servers
    print(
        f"| {servers} | {1000 * baseline_time:.1f} | {1000 * log_time:.1f} | {1000 * compaction:.1f} | "
        f"{size:.0f} |"
    )


def measure_updates() -> None:
    """Time that a tick spends on collecting changed records. They are written to disk by another thread."""
    print("\n| servers | update per tick p50 (ms) | p99 (ms) |")
    print("| --- | --- | --- |")
    for servers in (99, 990, 9900):
        rng, records, times = Random(4), ServerRecords({}), list[float]()
        known = [ServerKnowledge(f"collector-{k}", "gent-1", "large", 1.0, 1.0, 9.0) for k in range(servers)]
        for tick in range(BATCHES):
            for k in rng.sample(range(servers), round(CHANGED * servers)):
                known[k] = attrs.evolve(known[k], pace=0.5 + rng.random())
            started = time.perf_counter()
            records.update(known, 1_700_000_000_000 + 1000 * tick)
            times.append(time.perf_counter() - started)
        print(f"| {servers} | {percentile_ms(times[1:], 0.5):.2f} | {percentile_ms(times[1:], 0.99):.2f} |")


def measure_framing() -> None:
    record = Record(1, 1, 0, "collector-17", random_payload(Random(3)))
    count, started = 50_000, time.perf_counter()
    data = b"".join(encode_frame(record) for _ in range(count))
    encode_time = time.perf_counter() - started
    started = time.perf_counter()
    decoded = sum(1 for _ in decode_frames(data))
    decode_time = time.perf_counter() - started
    print(f"\n{count / encode_time:.0f} records/s encoded, {decoded / decode_time:.0f} decoded and checked")


if __name__ == "__main__":
    main()
