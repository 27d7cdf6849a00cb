"""Choosing by weight at three sizes, a weight changed every so many choices: nanoseconds of CPU a choice."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from rushladder.structures.weighted_choice import AliasTable, FenwickTree, LinearChoice, StrideScheduler

MANY = 20_000


def stride(weights: dict[int, float]) -> tuple[Callable[[float], object], Callable[[int, float], None]]:
    turns = StrideScheduler[int]()
    for key, weight in weights.items():
        turns.set(key, weight)

    def choose(chance: float) -> int:
        key = turns.next_fitting(1, lambda _: True, 0)[0]
        turns.charge(key, 1.0 + chance)
        return key

    return choose, turns.set


def turns_linear(
    weights: dict[int, float],
) -> tuple[Callable[[float], object], Callable[[int, float], None]]:
    """The plain way to choose in turn: the least of all turns."""
    some, turn = dict(weights), dict.fromkeys(weights, 0.0)

    def choose(chance: float) -> int:
        key = min(turn, key=lambda one: turn[one])
        turn[key] += (1.0 + chance) / some[key]
        return key

    return choose, some.__setitem__


def drawn(
    kind: type[LinearChoice[int]] | type[AliasTable[int]] | type[FenwickTree[int]],
) -> Callable[[dict[int, float]], tuple[Callable[[float], object], Callable[[int, float], None]]]:
    def build(weights: dict[int, float]) -> tuple[Callable[[float], object], Callable[[int, float], None]]:
        made = kind(weights)
        return made.draw, made.set

    return build


WAYS = {
    "draw, walk": drawn(LinearChoice),
    "draw, alias": drawn(AliasTable),
    "draw, Fenwick": drawn(FenwickTree),
    "in turn, walk": turns_linear,
    "in turn, stride": stride,
}


def main() -> None:
    print("| servers | a change every | " + " | ".join(WAYS) + " |")
    print("| --- " * (2 + len(WAYS)) + "|")
    for servers in (30, 99, 1000):
        for every in (1, 10, 1000):
            cells = list[str]()
            for way in WAYS.values():
                draw = Random(servers)
                choose, change = way({key: draw.uniform(0.1, 10) for key in range(servers)})
                chances = [draw.random() for _ in range(MANY)]
                began = time.process_time_ns()
                for turn, chance in enumerate(chances):
                    if turn % every == 0:
                        change(turn % servers, 0.1 + 10 * chance)
                    choose(chance)
                cells.append(f"{(time.process_time_ns() - began) / MANY:.0f}")
            print(f"| {servers} | {every} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
