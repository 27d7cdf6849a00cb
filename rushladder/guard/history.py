"""The numbered history of operators' changes: who made each change, why, and what it replaced."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

import attrs

MAX_KEPT = 200  # versions and refusals: weeks of manual changes, or minutes of a runaway script
Key = tuple[str, str]  # product, server
Factors = Mapping[Key, float]  # multipliers of the weights chosen by the decision module; 1 is not stored


@attrs.frozen
class Version:
    """An accepted change. `factors` is the complete set in force, so that any version can be restored."""

    number: int
    parent: int
    who: str
    why: str
    at: int
    factors: dict[Key, float]
    state: str = "standing"


@attrs.frozen
class RefusedChange:
    """An operator's change that was refused: when, by whom, and the reason."""

    at: int
    who: str
    what: str


class History:
    """Versions by number. The oldest are dropped beyond MAX_KEPT, but never the current one."""

    def __init__(self) -> None:
        self._versions = {0: Version(0, 0, "start", "as the module decides", 0, {})}
        self.current = 0
        self.refused = deque[RefusedChange](maxlen=MAX_KEPT)
        self._last = self.refusal_count = 0

    def restore(self, versions: Iterable[Version], stands: int, refused: Iterable[RefusedChange]) -> None:
        """Restores the history after a restart.

        If the current version is missing, version 0 becomes current: operators' changes may be lost, but are
        never invented.
        """
        self._versions.update((version.number, version) for version in versions)
        self.current = stands if stands in self._versions else 0
        self._last = max(self._versions)
        self.refused.extend(refused)
        self.refusal_count = len(self.refused)

    def refused_since(self, seen: int) -> list[RefusedChange]:
        """The refusals after the first `seen`, as far as they are kept."""
        new = min(self.refusal_count - seen, len(self.refused))
        return list(self.refused)[len(self.refused) - new :]

    def __getitem__(self, number: int) -> Version:
        """Raises KeyError for a number that was never assigned or has been dropped."""
        return self._versions[number]

    def all(self) -> list[Version]:
        return list(self._versions.values())

    def accept(self, who: str, why: str, factors: Factors, now: int) -> Version:
        """Adds a version with the current one as its parent, and makes it current."""
        self._last += 1
        stored = {key: factor for key, factor in factors.items() if factor != 1.0}
        version = Version(self._last, self.current, who, why, now, stored)
        self._versions[version.number] = version
        self.current = version.number
        for number in [number for number in self._versions if number != self.current]:
            if len(self._versions) > MAX_KEPT:
                del self._versions[number]
        return version

    def revert(self, number: int, state: str) -> Version:
        """Reverts a version to its parent and records the reason as its state; raises KeyError."""
        version = self._versions[number]
        self._versions[number] = attrs.evolve(version, state=state)
        if self.current == number:
            self.current = version.parent if version.parent in self._versions else min(self._versions)
        return self._versions[self.current]

    def refuse(self, who: str, what: str, now: int) -> None:
        """Records a refused change."""
        self.refused.append(RefusedChange(now, who, what))
        self.refusal_count += 1

    def diff(self, first: int, second: int) -> list[tuple[Key, float, float]]:
        """The keys whose factors differ between two versions, with both factors. Raises KeyError."""
        before, after = self[first].factors, self[second].factors
        keys = sorted({*before, *after})
        return [
            (key, before.get(key, 1.0), after.get(key, 1.0))
            for key in keys
            if before.get(key, 1.0) != after.get(key, 1.0)
        ]
