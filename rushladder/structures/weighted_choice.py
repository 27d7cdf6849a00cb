"""Choosing by weight: by chance (alias table, Fenwick tree) and in turn (stride).

Alias: Walker and Vose, a draw in O(1), built anew at each change. Fenwick: a draw and a change in O(log n).
Stride: Waldspurger and Weihl, the next in turn in O(log n); each pays what it was used for, so that what
everyone gets follows the weights without chance, whatever the sizes of what is given out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable, Mapping
from itertools import count
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class LinearChoice(Generic[K]):
    """The plain way: a walk over all weights."""

    def __init__(self, weights: Mapping[K, float]) -> None:
        self._weights = dict(weights)

    def set(self, key: K, weight: float) -> None:
        self._weights[key] = weight

    def draw(self, chance: float) -> K:
        """chance: from 0 up to 1. Raises IndexError where there is no weight."""
        left = chance * sum(self._weights.values())
        for key, weight in self._weights.items():
            if left < weight:
                return key
            left -= weight
        raise IndexError("no weight to choose by")


class AliasTable(Generic[K]):
    def __init__(self, weights: Mapping[K, float]) -> None:
        self._weights = dict(weights)
        self._build()

    def set(self, key: K, weight: float) -> None:
        self._weights[key] = weight
        self._build()

    def _build(self) -> None:
        keys, total = list(self._weights), sum(self._weights.values())
        scaled = [self._weights[key] * len(keys) / total for key in keys]
        self._keys, self._keep, self._other = keys, [1.0] * len(keys), list(range(len(keys)))
        small = [place for place, part in enumerate(scaled) if part < 1]
        large = [place for place, part in enumerate(scaled) if part >= 1]
        while small and large:
            low, high = small.pop(), large[-1]
            self._keep[low], self._other[low] = scaled[low], high
            scaled[high] -= 1 - scaled[low]
            if scaled[high] < 1:
                small.append(large.pop())

    def draw(self, chance: float) -> K:
        spot = chance * len(self._keys)
        place = int(spot)
        return self._keys[place if spot - place < self._keep[place] else self._other[place]]


class FenwickTree(Generic[K]):
    def __init__(self, weights: Mapping[K, float]) -> None:
        self._keys = list(weights)
        self._places = {key: place for place, key in enumerate(self._keys)}
        self._weights, self._tree = [0.0] * len(self._keys), [0.0] * (len(self._keys) + 1)
        self._top = 1 << (len(self._keys).bit_length() - 1) if self._keys else 0
        for key, weight in weights.items():
            self.set(key, weight)

    def set(self, key: K, weight: float) -> None:
        place = self._places[key]
        delta, self._weights[place] = weight - self._weights[place], weight
        place += 1
        while place < len(self._tree):
            self._tree[place] += delta
            place += place & -place

    def draw(self, chance: float) -> K:
        total, place = 0.0, len(self._keys)
        while place:
            total += self._tree[place]
            place &= place - 1
        left, step = chance * total, self._top
        while step:
            if place + step < len(self._tree) and self._tree[place + step] <= left:
                place += step
                left -= self._tree[place]
            step >>= 1
        return self._keys[min(place, len(self._keys) - 1)]


class StrideScheduler(Generic[K]):
    """Each key has a time at which its turn comes; using it for a cost moves that on by cost over weight.

    What the heap holds and no longer counts is bounded: it is rebuilt when it is twice the keys.
    """

    def __init__(self) -> None:
        self.weights, self._turn = dict[K, float](), dict[K, float]()
        self._heap, self._order = list[tuple[float, int, K]](), count()
        self.virtual_time = 0.0  # the first turn when one was last taken: where newcomers begin

    def __len__(self) -> int:
        return len(self.weights)

    def set(self, key: K, weight: float) -> None:
        """A weight above 0, or 0 to take the key out. One that is changed keeps what it is ahead, in its
        own measure."""
        if weight <= 0:
            self.weights.pop(key, None)
            self._turn.pop(key, None)
            return
        before = self.weights.get(key)
        if before == weight:
            return
        self.weights[key] = weight
        ahead = max(0.0, self._turn.get(key, self.virtual_time) - self.virtual_time)
        self._put(key, self.virtual_time + (ahead * before / weight if before else 0.0))

    def first(self) -> tuple[float, K] | None:
        """Whose turn is next, and when."""
        while self._heap:
            turn, _, key = self._heap[0]
            if self._turn.get(key) == turn:
                return turn, key
            heapq.heappop(self._heap)
        return None

    def charge(self, key: K, cost: float) -> None:
        """It was used for so much."""
        first = self.first()
        if first is not None and key in self.weights:
            self.virtual_time = max(self.virtual_time, first[0])
            self._put(key, self._turn[key] + max(1e-12, cost) / self.weights[key])

    def pass_of(self, key: K) -> float:
        return self._turn[key]

    def advance_to(self, now: float) -> None:
        """Newcomers begin no sooner than this."""
        self.virtual_time = max(self.virtual_time, now)

    def next_fitting(self, many: int, fits: Callable[[K], bool], looks: int) -> list[K]:
        """The next `many` that fit, in turn; at most `looks` that do not fit are passed over. They are not
        used yet."""
        found, aside, passed = list[K](), list[tuple[float, int, K]](), 0
        while len(found) < many and passed <= looks and self.first() is not None:
            entry = heapq.heappop(self._heap)
            aside.append(entry)
            if fits(entry[2]):
                found.append(entry[2])
            else:
                passed += 1
        for entry in aside:
            heapq.heappush(self._heap, entry)
        return found

    def _put(self, key: K, turn: float) -> None:
        self._turn[key] = turn
        if len(self._heap) > 2 * len(self.weights) + 8:
            self._heap = [(at, next(self._order), name) for name, at in self._turn.items()]
            heapq.heapify(self._heap)
        else:
            heapq.heappush(self._heap, (turn, next(self._order), key))
