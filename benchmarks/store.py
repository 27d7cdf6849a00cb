"""What keeping costs: records a second and the time of a batch, against one JSON file that is rewritten and
renamed; reading back by size; and how long a compaction takes. Everything on the folder that is given, with
real syncs."""

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

BEATS = 200
CHANGED = 0.05  # part of the servers whose record changes a beat: a busy second of a larger fleet


def payload(draw: Random) -> bytes:
    pace, factor = draw.random() + 0.5, draw.random() + 0.5
    memory = ServerMemory(at=1_700_000_000_000, region="gent-1", model="large", pace=pace, factor=factor)
    return memory.SerializeToString()


class Json:
    """The plain way: everything in one file, written whole beside, synced, renamed."""

    def __init__(self, folder: str) -> None:
        self._path, self._state = Path(folder, "state.json"), dict[str, str]()

    def write(self, batch: dict[str, bytes]) -> None:
        self._state |= {key: value.hex() for key, value in batch.items()}
        other = self._path.with_suffix(".new")
        with open(other, "w") as file:
            json.dump(self._state, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(other, self._path)
        handle = os.open(self._path.parent, os.O_RDONLY)
        os.fsync(handle)
        os.close(handle)

    def read(self) -> int:
        return len(json.loads(self._path.read_text()))


def part(values: list[float], of: float) -> float:
    """Milliseconds."""
    return 1000 * sorted(values)[int(of * (len(values) - 1))]


@click.command()
@click.option("--chart", type=click.Path(dir_okay=False), help="Writes a chart of the batches' times.")
def main(chart: str | None) -> None:
    """Prints the tables of docs/performance.md."""
    print("| servers | way | batch p50 (ms) | p99 (ms) | CPU a batch (ms) | bytes written a batch |")
    print("| --- | --- | --- | --- | --- | --- |")
    shown = dict[str, float]()
    for servers in (10, 99, 990, 9900):
        for way in ("plain", "log"):
            with tempfile.TemporaryDirectory() as folder:
                shown[f"{servers} {way}"] = batches(folder, servers, way)
    print("\n| records | plain read (ms) | log read (ms) | compaction (ms) | on disk (KiB) |")
    print("| --- | --- | --- | --- | --- |")
    for servers in (99, 990, 9900, 49_500):
        with tempfile.TemporaryDirectory() as folder:
            recovery(folder, servers)
    beats()
    framing()
    if chart:
        draw_chart(chart, shown)


def draw_chart(path: str, shown: dict[str, float]) -> None:
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    sizes = list(dict.fromkeys(name.split()[0] for name in shown))
    for offset, way in ((-0.2, "plain"), (0.2, "log")):
        places = [place + offset for place in range(len(sizes))]
        axes.bar(places, [shown[f"{size} {way}"] for size in sizes], width=0.38, label=way)
    axes.set(title="a batch on disk, p99 (ms)", yscale="log", xlabel="servers, a twentieth changed a batch")
    axes.set_xticks(range(len(sizes)), sizes)
    axes.legend()
    figure.savefig(path, dpi=100, bbox_inches="tight")


def batches(folder: str, servers: int, way: str) -> float:
    draw = Random(1)
    names = [f"collector-{k}" for k in range(servers)]
    log, plain = Log(Disk(folder), "fleet", "m1", MINORS), Json(folder)
    log.open()
    start = {name: payload(draw) for name in names}
    write_batch(log, {(int(Kind.SERVER), name): value for name, value in start.items()})
    plain.write(start)
    took, cpu, sizes = list[float](), time.process_time(), list[int]()
    for _ in range(BEATS):
        batch = {name: payload(draw) for name in draw.sample(names, max(1, round(CHANGED * servers)))}
        began = time.perf_counter()
        if way == "log":
            write_batch(log, {(int(Kind.SERVER), name): value for name, value in batch.items()})
        else:
            plain.write(batch)
        took.append(time.perf_counter() - began)
        sizes.append(
            sum(len(value) + 40 for value in batch.values())
            if way == "log"
            else Path(folder, "state.json").stat().st_size
        )
    cpu = 1000 * (time.process_time() - cpu) / BEATS
    figures = (part(took, 0.5), part(took, 0.99), cpu, sum(sizes) / BEATS)
    print(f"| {servers} | {way} | " + " | ".join(f"{figure:.2f}" for figure in figures) + " |")
    return figures[1]


def recovery(folder: str, servers: int) -> None:
    draw, disk = Random(2), Disk(folder)
    log, plain = Log(disk, "fleet", "m1", MINORS), Json(folder)
    log.open()
    state = {f"collector-{k}": payload(draw) for k in range(servers)}
    plain.write(state)
    write_batch(log, {(int(Kind.SERVER), name): value for name, value in state.items()})
    began = time.perf_counter()
    log.snapshot()
    compacted = time.perf_counter() - began
    for _ in range(20):
        some = draw.sample(list(state), max(1, servers // 20))
        write_batch(log, {(int(Kind.SERVER), name): payload(draw) for name in some})
    size = sum(len(disk.read(name)) for name in disk.names() if name != "state.json") / 1024
    disk.close()
    began = time.perf_counter()
    plain.read()
    plainly = time.perf_counter() - began
    again = Log(Disk(folder), "fleet", "m1", MINORS)
    began = time.perf_counter()
    again.open()
    took = time.perf_counter() - began
    assert len(again.state) == servers
    print(f"| {servers} | {1000 * plainly:.1f} | {1000 * took:.1f} | {1000 * compacted:.1f} | {size:.0f} |")


def beats() -> None:
    """What a beat itself spends on noting what moved; the disk is the thread's."""
    print("\n| servers | noting a beat p50 (ms) | p99 (ms) |")
    print("| --- | --- | --- |")
    for servers in (99, 990, 9900):
        draw, book, took = Random(4), ServerRecords({}), list[float]()
        known = [ServerKnowledge(f"collector-{k}", "gent-1", "large", 1.0, 1.0, 9.0) for k in range(servers)]
        for beat in range(BEATS):
            for k in draw.sample(range(servers), round(CHANGED * servers)):
                known[k] = attrs.evolve(known[k], pace=0.5 + draw.random())
            began = time.perf_counter()
            book.update(known, 1_700_000_000_000 + 1000 * beat)
            took.append(time.perf_counter() - began)
        print(f"| {servers} | {part(took[1:], 0.5):.2f} | {part(took[1:], 0.99):.2f} |")


def framing() -> None:
    record = Record(1, 1, 0, "collector-17", payload(Random(3)))
    many, began = 50_000, time.perf_counter()
    data = b"".join(encode_frame(record) for _ in range(many))
    wrote = time.perf_counter() - began
    began = time.perf_counter()
    read = sum(1 for _ in decode_frames(data))
    took = time.perf_counter() - began
    print(f"\n{many / wrote:.0f} records a second framed, {read / took:.0f} read and proven")


if __name__ == "__main__":
    main()
