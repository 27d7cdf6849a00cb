"""Timing wheel, heavy hitters, quantile sketch and sampled decoding, each against a simple baseline. Prints
nanoseconds of CPU time per operation.
"""

from __future__ import annotations

import heapq
import time
from bisect import insort
from collections import Counter
from collections.abc import Callable
from random import Random

from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.structures.heavy_hitters import HeavyHitters
from rushladder.structures.quantiles import QuantileSketch
from rushladder.structures.timing_wheel import TimingWheel

OPERATIONS = 200_000


def cpu_ns(function: Callable[[], None]) -> float:
    """Returns the CPU time per operation."""
    started = time.process_time_ns()
    function()
    return (time.process_time_ns() - started) / OPERATIONS


def measure_expiry(keys: int) -> tuple[float, float]:
    """Each report postpones its server's expiry to 5 s later. 2,000 reports arrive in a tenth of a second."""
    rng = Random(1)
    reports = [rng.randrange(keys) for _ in range(OPERATIONS)]

    def wheel() -> None:
        timing_wheel = TimingWheel[int](1000, 0)
        for index, key in enumerate(reports):
            now = index // 2
            timing_wheel.set(key, now + 50_000)
            if index % 2000 == 0:
                timing_wheel.advance(now)

    def heap() -> None:
        # Superseded entries stay in the heap until they are due.
        entries, latest = list[tuple[int, int]](), dict[int, int]()
        for index, key in enumerate(reports):
            now = index // 2
            latest[key] = now + 50_000
            heapq.heappush(entries, (now + 50_000, key))
            if index % 2000 == 0:
                while entries and entries[0][0] <= now:
                    expires, expired = heapq.heappop(entries)
                    if latest.get(expired) == expires:
                        del latest[expired]

    return cpu_ns(heap), cpu_ns(wheel)


def measure_heavy_hitters(keys: int) -> tuple[float, float]:
    rng = Random(2)
    senders = [int(keys * rng.random() ** 3) for _ in range(OPERATIONS)]

    def sketch() -> None:
        hitters = HeavyHitters[int](64)
        for sender in senders:
            hitters.add(sender)

    def baseline() -> None:
        counter = Counter[int]()
        for sender in senders:
            counter[sender] += 1

    return cpu_ns(baseline), cpu_ns(sketch)


def measure_quantiles(keys: int) -> tuple[float, float]:
    rng = Random(3)
    samples = [rng.lognormvariate(0, 1) for _ in range(OPERATIONS)]

    def sketch() -> None:
        quantiles = QuantileSketch()
        for value in samples:
            quantiles.add(value)

    def baseline() -> None:
        values = list[float]()  # all values, kept sorted
        for value in samples[: OPERATIONS // 4]:
            insort(values, value)

    return 4 * cpu_ns(baseline), cpu_ns(sketch)


def measure_decoding(keys: int) -> tuple[float, float]:
    """Decoding every envelope against one in ten, as after a check of the sender's budget."""
    data = Envelope(
        server="c17",
        token=b"x" * 8,
        boot=1_700_000_000_000,
        number=77,
        uptime=12_345,
        report=OrcaLoadReport(cpu_utilization=0.5, application_utilization=0.6, eps=0.1, rps_fractional=33.0),
    ).SerializeToString()
    envelope = Envelope()

    def baseline() -> None:
        for _ in range(OPERATIONS):
            Envelope().ParseFromString(data)

    def sampled() -> None:
        for index in range(OPERATIONS):
            if index % 10 == 0:
                envelope.ParseFromString(data)

    return cpu_ns(baseline), cpu_ns(sampled)


def main() -> None:
    print("| operation | baseline (ns) | chosen (ns) | baseline / chosen |")
    print("| --- | --- | --- | --- |")
    for name, benchmark in (
        ("expiry postponed: heap, timing wheel", measure_expiry),
        ("heavy senders: Counter, Space-Saving", measure_heavy_hitters),
        ("quantiles: sorted list, sketch", measure_quantiles),
        ("reports decoded: all, one in ten", measure_decoding),
    ):
        for keys in (99, 990) if benchmark in (measure_expiry, measure_heavy_hitters) else (0,):
            baseline, chosen = benchmark(keys)
            title = f"{name}, {keys} servers" if keys else name
            print(f"| {title} | {baseline:.0f} | {chosen:.0f} | {baseline / chosen:.2f} |")


if __name__ == "__main__":
    main()
