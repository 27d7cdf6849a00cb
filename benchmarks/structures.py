"""Wheel, heavy hitters, quantiles and batch decoding, each beside the plain way: nanoseconds of CPU an
operation."""

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

MANY = 200_000


def cost(work: Callable[[], None]) -> float:
    began = time.process_time_ns()
    work()
    return (time.process_time_ns() - began) / MANY


def expiry(keys: int) -> tuple[float, float]:
    """Each report moves its server's expiry by 5 s; a tenth of a second passes each 2,000 reports."""
    draw = Random(1)
    some = [draw.randrange(keys) for _ in range(MANY)]

    def wheel() -> None:
        times = TimingWheel[int](1000, 0)
        for turn, key in enumerate(some):
            now = turn // 2
            times.set(key, now + 50_000)
            if turn % 2000 == 0:
                times.advance(now)

    def heap() -> None:  # a heap with entries left behind, thrown out as they come up
        times, latest = list[tuple[int, int]](), dict[int, int]()
        for turn, key in enumerate(some):
            now = turn // 2
            latest[key] = now + 50_000
            heapq.heappush(times, (now + 50_000, key))
            if turn % 2000 == 0:
                while times and times[0][0] <= now:
                    at, gone = heapq.heappop(times)
                    if latest.get(gone) == at:
                        del latest[gone]

    return cost(heap), cost(wheel)


def heavy(keys: int) -> tuple[float, float]:
    draw = Random(2)
    some = [int(keys * draw.random() ** 3) for _ in range(MANY)]

    def sketch() -> None:
        hitters = HeavyHitters[int](64)
        for key in some:
            hitters.add(key)

    def plain() -> None:
        counter = Counter[int]()
        for key in some:
            counter[key] += 1

    return cost(plain), cost(sketch)


def quantile(keys: int) -> tuple[float, float]:
    draw = Random(3)
    some = [draw.lognormvariate(0, 1) for _ in range(MANY)]

    def sketch() -> None:
        quantiles = QuantileSketch()
        for value in some:
            quantiles.add(value)

    def plain() -> None:  # all values, sorted as they come
        values = list[float]()
        for value in some[: MANY // 4]:
            insort(values, value)

    return 4 * cost(plain), cost(sketch)


def decoding(keys: int) -> tuple[float, float]:
    """Whole envelopes, beside looking at the sender's budget first and reading one in ten."""
    data = Envelope(
        server="c17",
        token=b"x" * 8,
        boot=1_700_000_000_000,
        number=77,
        uptime=12_345,
        report=OrcaLoadReport(cpu_utilization=0.5, application_utilization=0.6, eps=0.1, rps_fractional=33.0),
    ).SerializeToString()
    word = Envelope()

    def plain() -> None:
        for _ in range(MANY):
            Envelope().ParseFromString(data)

    def sampled() -> None:
        for turn in range(MANY):
            if turn % 10 == 0:
                word.ParseFromString(data)

    return cost(plain), cost(sampled)


def main() -> None:
    print("| what | plain (ns) | ours (ns) | plain / ours |")
    print("| --- | --- | --- | --- |")
    for name, work in (
        ("expiry moved: heap, wheel", expiry),
        ("heavy senders: Counter, Space-Saving", heavy),
        ("quantiles: sorted list, sketch", quantile),
        ("reports read: all, a tenth", decoding),
    ):
        for keys in (99, 990) if work in (expiry, heavy) else (0,):
            plain, ours = work(keys)
            title = f"{name}, {keys} servers" if keys else name
            print(f"| {title} | {plain:.0f} | {ours:.0f} | {plain / ours:.2f} |")


if __name__ == "__main__":
    main()
