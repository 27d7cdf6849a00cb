"""Discovery's answers to listings for the module. Free of I/O.

Nothing that was known is forgotten for an answer that is broken, older or repeated: versions never go
backwards, a full answer replaces, changes amend, and an entry that can't be read leaves its worker as it
stood.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from math import isfinite
from typing import Any

import attrs

from rushladder.core.workers import Workers
from rushladder.interface import Availability, Entry, Listing, ListKind
from rushladder.records import Server

STATES = {"ready": Availability.READY, "draining": Availability.DRAINING, "gone": Availability.GONE}
MOST = 10_000  # workers: ten times the largest deployment wished for
# What each field has to be. Text that goes out again in orders must not hold their separators.
FIELDS: Mapping[str, Callable[[Any], bool]] = {
    "id": lambda value: (
        isinstance(value, str)
        and value.isascii()
        and value.isprintable()
        and bool(value)
        and not set(value) & set(" ,:+=")
    ),
    "addr": lambda value: isinstance(value, str) and value.rpartition(":")[2].isdigit(),
    "zone": lambda value: isinstance(value, str),
    "kind": lambda value: isinstance(value, str),
    "cell": lambda value: isinstance(value, int),
    "state": lambda value: isinstance(value, str) and value in STATES,
    "weight": lambda value: isinstance(value, int | float) and isfinite(value) and value >= 0,
    "started_ms": lambda value: isinstance(value, int | float) and isfinite(value) and value >= 0,
}
DEFAULTS: Mapping[str, Any] = {"cell": 0, "weight": 1.0, "started_ms": 0}


class Faulty(ValueError):
    """An answer that says nothing sure."""


@attrs.define(eq=False)
class Known:
    """One worker on the list: the module's entry, where it answers, and its start in Unix milliseconds."""

    entry: Entry[Server]
    address: str
    started_ms: float


class Catalog:
    """The list as last told. place: a Unix time in milliseconds on the module's clock, in tenths of one."""

    def __init__(
        self, workers: Workers, place: Callable[[float], int], note: Callable[[str, str], None]
    ) -> None:
        self._workers, self._place, self._note = workers, place, note
        self.version, self.known, self.began = 0, dict[str, Known](), False

    def life(self, server: Server) -> tuple[str, float] | None:
        """Where the worker answers, and since which start; None if it is not listed."""
        known = self.known.get(server.name)
        return (known.address, known.started_ms) if known is not None else None

    def read_line(self, line: bytes) -> Listing[Server] | None:
        """One line of a watch, or a whole answer; None if it is empty or tells nothing new. Raises Faulty."""
        if not line.strip():
            return None
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError):
            raise Faulty("not JSON") from None
        return self.told(raw)

    def told(self, raw: Any, cached: bool = False) -> Listing[Server] | None:
        """A decoded answer. cached: the list as it was before the start. Raises Faulty."""
        if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
            raise Faulty("no list of servers")
        version, full = raw.get("version"), raw.get("full", False)
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(full, bool):
            raise Faulty("no version")
        if version < self.version and self.began:
            self._note("list.older", "an answer older than the list")
            return None
        if len(raw["servers"]) > MOST:
            raise Faulty(f"over {MOST} servers")
        entries, named = list[Entry[Server]](), set[str]()
        for one in raw["servers"]:
            entry = self._read(one, named)
            if entry is not None:
                entries.append(entry)
        whole = full or cached
        if whole:
            for name in [name for name in self.known if name not in named]:
                del self.known[name]
            # Entries that can't be read are named too: their workers stay as they stood.
            told = {entry.worker.name for entry in entries}
            entries += [known.entry for name, known in self.known.items() if name not in told]
        self.version, self.began = version, True
        if not whole and not entries:
            return None
        kind = ListKind.CACHED if cached else ListKind.FULL if full else ListKind.CHANGES
        return Listing(kind, version, entries)

    def _read(self, raw: Any, named: set[str]) -> Entry[Server] | None:
        one = {**DEFAULTS, **raw} if isinstance(raw, dict) else {}
        if "id" in one and isinstance(one["id"], str):
            named.add(one["id"])
        for field, good in FIELDS.items():
            if field not in one or isinstance(one[field], bool) or not good(one[field]):
                self._note("list.spoilt", f"an entry's {field}")
                return None
        known, name = self.known.get(one["id"]), one["id"]
        # Placed once: the same start must not look like another one when the clocks have drifted apart.
        same = known is not None and known.started_ms == one["started_ms"]
        started_at = (
            known.entry.started_at
            if known is not None and same
            else (self._place(one["started_ms"]) if one["started_ms"] else 0)
        )
        entry = self._workers.entry(
            name,
            one["zone"],
            one["kind"],
            one["cell"],
            STATES[one["state"]],
            float(one["weight"]),
            started_at,
        )
        if entry.availability is Availability.GONE:
            self.known.pop(name, None)
        elif known is not None or len(self.known) < MOST:
            self.known[name] = Known(entry, one["addr"], one["started_ms"])
        return entry
