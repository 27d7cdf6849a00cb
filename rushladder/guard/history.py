"""What operators changed of the tables, numbered: who asked, why, what stood before. Free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

import attrs

KEPT = 200  # versions and refusals: weeks of changes by hand, minutes of a runaway script
Key = tuple[str, str]  # product, server
Factors = Mapping[Key, float]  # by how much a line's decided weight is multiplied; 1 is not kept


@attrs.frozen
class Version:
    """One accepted change. `factors` is the whole of what holds with it, so that any version can be gone
    back to."""

    number: int
    parent: int
    who: str
    why: str
    at: int
    factors: dict[Key, float]
    state: str = "standing"


@attrs.frozen
class RefusedChange:
    at: int
    who: str
    what: str


class History:
    """Versions by number; the oldest go once there are too many, but the one that stands is always kept."""

    def __init__(self) -> None:
        self._versions = {0: Version(0, 0, "start", "as the module decides", 0, {})}
        self.current = 0
        self.refused = deque[RefusedChange](maxlen=KEPT)
        self._last = self.refusal_count = 0

    def restore(self, versions: Iterable[Version], stands: int, refused: Iterable[RefusedChange]) -> None:
        """What was kept over a restart. One that is said to stand and is not there leaves the start standing:
        what operators changed may be lost, but is never made up."""
        self._versions.update((version.number, version) for version in versions)
        self.current = stands if stands in self._versions else 0
        self._last = max(self._versions)
        self.refused.extend(refused)
        self.refusal_count = len(self.refused)

    def refused_since(self, many: int) -> list[RefusedChange]:
        """Those after the first so many, as far as they are kept."""
        new = min(self.refusal_count - many, len(self.refused))
        return list(self.refused)[len(self.refused) - new :]

    def __getitem__(self, number: int) -> Version:
        """Raises KeyError for a number that was never given, or is forgotten."""
        return self._versions[number]

    def all(self) -> list[Version]:
        return list(self._versions.values())

    def accept(self, who: str, why: str, factors: Factors, now: int) -> Version:
        """A new version, whose parent is the one that stands; it stands from now on."""
        self._last += 1
        kept = {key: factor for key, factor in factors.items() if factor != 1.0}
        version = Version(self._last, self.current, who, why, now, kept)
        self._versions[version.number] = version
        self.current = version.number
        for number in [number for number in self._versions if number != self.current]:
            if len(self._versions) > KEPT:
                del self._versions[number]
        return version

    def back(self, number: int, state: str) -> Version:
        """The version that stands is taken back to its parent, and says why; raises KeyError."""
        version = self._versions[number]
        self._versions[number] = attrs.evolve(version, state=state)
        if self.current == number:
            self.current = version.parent if version.parent in self._versions else min(self._versions)
        return self._versions[self.current]

    def refuse(self, who: str, what: str, now: int) -> None:
        self.refused.append(RefusedChange(now, who, what))
        self.refusal_count += 1

    def diff(self, one: int, other: int) -> list[tuple[Key, float, float]]:
        """The lines whose factors differ: product and server, before and after. Raises KeyError."""
        before, after = self[one].factors, self[other].factors
        keys = sorted({*before, *after})
        return [
            (key, before.get(key, 1.0), after.get(key, 1.0))
            for key in keys
            if before.get(key, 1.0) != after.get(key, 1.0)
        ]
