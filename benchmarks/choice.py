"""Weighted choice at three sizes and rates of weight changes. Prints nanoseconds of CPU time per choice."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from rushladder.structures.weighted_choice import AliasTable, FenwickTree, LinearChoice, StrideScheduler

CHOICES = 20_000


def build_stride(weights: dict[int, float]) -> tuple[Callable[[float], object], Callable[[int, float], None]]:
    scheduler = StrideScheduler[int]()
    for key, weight in weights.items():
        scheduler.set(key, weight)

    def choose(random_value: float) -> int:
        key = scheduler.next_fitting(1, lambda _: True, 0)[0]
        scheduler.charge(key, 1.0 + random_value)
        return key

    return choose, scheduler.set


def build_linear_stride(
    weights: dict[int, float],
) -> tuple[Callable[[float], object], Callable[[int, float], None]]:
    """Baseline of the stride scheduler: a linear search for the smallest pass value."""
    current, passes = dict(weights), dict.fromkeys(weights, 0.0)

    def choose(random_value: float) -> int:
        key = min(passes, key=lambda candidate: passes[candidate])
        passes[key] += (1.0 + random_value) / current[key]
        return key

    return choose, current.__setitem__


def sampler_builder(
    sampler_type: type[LinearChoice[int]] | type[AliasTable[int]] | type[FenwickTree[int]],
) -> Callable[[dict[int, float]], tuple[Callable[[float], object], Callable[[int, float], None]]]:
    def build(weights: dict[int, float]) -> tuple[Callable[[float], object], Callable[[int, float], None]]:
        sampler = sampler_type(weights)
        return sampler.draw, sampler.set

    return build


VARIANTS = {
    "random, linear": sampler_builder(LinearChoice),
    "random, alias": sampler_builder(AliasTable),
    "random, Fenwick": sampler_builder(FenwickTree),
    "stride, linear": build_linear_stride,
    "stride, heap": build_stride,
}


def main() -> None:
    print("| servers | choices per change | " + " | ".join(VARIANTS) + " |")
    print("| --- " * (2 + len(VARIANTS)) + "|")
    for servers in (30, 99, 1000):
        for change_interval in (1, 10, 1000):
            cells = list[str]()
            for build in VARIANTS.values():
                rng = Random(servers)
                choose, set_weight = build({key: rng.uniform(0.1, 10) for key in range(servers)})
                random_values = [rng.random() for _ in range(CHOICES)]
                started = time.process_time_ns()
                for index, random_value in enumerate(random_values):
                    if index % change_interval == 0:
                        set_weight(index % servers, 0.1 + 10 * random_value)
                    choose(random_value)
                cells.append(f"{(time.process_time_ns() - started) / CHOICES:.0f}")
            print(f"| {servers} | {change_interval} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
