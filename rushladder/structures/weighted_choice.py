"""Weighted choice: random (linear search, alias table, Fenwick tree) and in turn (stride scheduling).

Alias table (Walker, Vose): draws in O(1), but is rebuilt at each change. Fenwick tree: draws and changes in
O(log n). Stride scheduling (Waldspurger, Weihl): the next in turn in O(log n). Each key is charged for its
use, so that the keys' shares follow the weights without randomness, whatever the individual costs.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable, Mapping
from itertools import count
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class LinearChoice(Generic[K]):
    """Random choice by a linear search over the weights."""

    def __init__(self, weights: Mapping[K, float]) -> None:
        self._weights = dict(weights)

    def set(self, key: K, weight: float) -> None:
        self._weights[key] = weight

    def draw(self, random: float) -> K:
        """random: from 0 up to, but not including, 1. Raises IndexError if there is no positive weight."""
        remaining = random * sum(self._weights.values())
        for key, weight in self._weights.items():
            if remaining < weight:
                return key
            remaining -= weight
        raise IndexError("there is no key with a positive weight")


class AliasTable(Generic[K]):
    """Random choice in O(1). A change of a weight rebuilds the table."""

    def __init__(self, weights: Mapping[K, float]) -> None:
        self._weights = dict(weights)
        self._build()

    def set(self, key: K, weight: float) -> None:
        self._weights[key] = weight
        self._build()

    def _build(self) -> None:
        keys, total = list(self._weights), sum(self._weights.values())
        scaled = [self._weights[key] * len(keys) / total for key in keys]
        self._keys, self._probabilities, self._aliases = keys, [1.0] * len(keys), list(range(len(keys)))
        small = [index for index, probability in enumerate(scaled) if probability < 1]
        large = [index for index, probability in enumerate(scaled) if probability >= 1]
        while small and large:
            low, high = small.pop(), large[-1]
            self._probabilities[low], self._aliases[low] = scaled[low], high
            scaled[high] -= 1 - scaled[low]
            if scaled[high] < 1:
                small.append(large.pop())

    def draw(self, random: float) -> K:
        """random: from 0 up to, but not including, 1."""
        position = random * len(self._keys)
        index = int(position)
        return self._keys[index if position - index < self._probabilities[index] else self._aliases[index]]


class FenwickTree(Generic[K]):
    """Random choice in O(log n). A weight is changed in O(log n); the set of keys is fixed."""

    def __init__(self, weights: Mapping[K, float]) -> None:
        self._keys = list(weights)
        self._indexes = {key: index for index, key in enumerate(self._keys)}
        self._weights, self._tree = [0.0] * len(self._keys), [0.0] * (len(self._keys) + 1)
        self._top_step = 1 << (len(self._keys).bit_length() - 1) if self._keys else 0
        for key, weight in weights.items():
            self.set(key, weight)

    def set(self, key: K, weight: float) -> None:
        index = self._indexes[key]
        delta, self._weights[index] = weight - self._weights[index], weight
        index += 1
        while index < len(self._tree):
            self._tree[index] += delta
            index += index & -index

    def draw(self, random: float) -> K:
        """random: from 0 up to, but not including, 1."""
        total, index = 0.0, len(self._keys)
        while index:
            total += self._tree[index]
            index &= index - 1
        remaining, step = random * total, self._top_step
        while step:
            if index + step < len(self._tree) and self._tree[index + step] <= remaining:
                index += step
                remaining -= self._tree[index]
            step >>= 1
        return self._keys[min(index, len(self._keys) - 1)]


class StrideScheduler(Generic[K]):
    """Choice in turn. Each key has a pass, the virtual time of its next turn. Charging a key for a cost moves
    its pass forward by the cost divided by its weight.

    The heap may hold outdated entries. It is rebuilt when it has more than twice as many entries as there are
    keys, so its size is bounded.
    """

    def __init__(self) -> None:
        self.weights, self._pass = dict[K, float](), dict[K, float]()
        self._heap, self._order = list[tuple[float, int, K]](), count()
        self.virtual_time = 0.0  # the lowest pass when a key was last charged; new keys start with it

    def __len__(self) -> int:
        return len(self.weights)

    def set(self, key: K, weight: float) -> None:
        """Sets a weight; 0 removes the key. When a weight is changed, the distance from the virtual time to
        the pass is scaled accordingly, so what the key was charged with stays the same."""
        if weight <= 0:
            self.weights.pop(key, None)
            self._pass.pop(key, None)
            return
        before = self.weights.get(key)
        if before == weight:
            return
        self.weights[key] = weight
        ahead = max(0.0, self._pass.get(key, self.virtual_time) - self.virtual_time)
        self._set_pass(key, self.virtual_time + (ahead * before / weight if before else 0.0))

    def first(self) -> tuple[float, K] | None:
        """The lowest pass and its key, or None if there are no keys."""
        while self._heap:
            pass_, _, key = self._heap[0]
            if self._pass.get(key) == pass_:
                return pass_, key
            heapq.heappop(self._heap)
        return None

    def charge(self, key: K, cost: float) -> None:
        """Records that the key was used for this cost."""
        first = self.first()
        if first is not None and key in self.weights:
            self.virtual_time = max(self.virtual_time, first[0])
            self._set_pass(key, self._pass[key] + max(1e-12, cost) / self.weights[key])

    def pass_of(self, key: K) -> float:
        return self._pass[key]

    def advance_to(self, virtual_time: float) -> None:
        """Moves the virtual time forward, so that new keys don't start earlier than this."""
        self.virtual_time = max(self.virtual_time, virtual_time)

    def next_fitting(self, limit: int, fits: Callable[[K], bool], max_skipped: int) -> list[K]:
        """The next keys in turn that fit, at most `limit`. The search ends when more than `max_skipped` keys
        did not fit. The keys are not charged."""
        found, popped, skipped = list[K](), list[tuple[float, int, K]](), 0
        while len(found) < limit and skipped <= max_skipped and self.first() is not None:
            entry = heapq.heappop(self._heap)
            popped.append(entry)
            if fits(entry[2]):
                found.append(entry[2])
            else:
                skipped += 1
        for entry in popped:
            heapq.heappush(self._heap, entry)
        return found

    def _set_pass(self, key: K, pass_: float) -> None:
        self._pass[key] = pass_
        if len(self._heap) > 2 * len(self.weights) + 8:
            self._heap = [(at, next(self._order), name) for name, at in self._pass.items()]
            heapq.heapify(self._heap)
        else:
            heapq.heappush(self._heap, (pass_, next(self._order), key))
