"""The module's objects for workers by their names: one object a name for as long as anybody holds it."""

from __future__ import annotations

from weakref import WeakValueDictionary

from rushladder.interface import Availability, Entry
from rushladder.records import Server


class Workers:
    """Shared by every road. A worker that the module, the tables and the list have all let go is forgotten
    here too, so that names which come and go for months take no memory."""

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
        """An entry of the list. `started_at`: tenths of a millisecond on the host's clock; 0: long ago."""
        worker = self._by_name.get(name)
        if worker is None:
            worker = self._by_name[name] = Server(name, zone, model, cell)
        return Entry(worker, availability, size, started_at)
