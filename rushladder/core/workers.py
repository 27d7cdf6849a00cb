"""The decision module's worker objects by name: one object per name for as long as it is referenced."""

from __future__ import annotations

from weakref import WeakValueDictionary

from rushladder.interface import Availability, Entry
from rushladder.records import Server


class Workers:
    """Maps worker names to shared objects through weak references.

    Every input of the process uses the same instance. A worker that the module, the tables and the list no
    longer reference is dropped, so that changing names do not accumulate in memory over months.
    """

    def __init__(self) -> None:
        self._by_name = WeakValueDictionary[str, Server]()

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Server | None:
        return self._by_name.get(name)

    def entry(
        self,
        name: str,
        zone: str,
        model: str,
        cell: int,
        availability: Availability,
        size: float,
        started_at: int,
    ) -> Entry[Server]:
        """Builds a list entry. `started_at`: tenths of a millisecond on the host's clock; 0: long ago."""
        worker = self._by_name.get(name)
        if worker is None:
            worker = self._by_name[name] = Server(name, zone, model, cell)
        return Entry(worker, availability, size, started_at)
