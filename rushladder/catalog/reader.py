"""Turns discovery's answers into listings for the decision module. No I/O.

An answer that is malformed, outdated or repeated removes nothing that is known: versions never go backwards,
a full answer replaces the list, changes update it, and a malformed entry leaves its worker unchanged.
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
MAX_WORKERS = 10_000  # ten times the largest deployment that is planned for
# The check of each field. An id is sent in orders, so it must not contain their separators.
FIELD_CHECKS: Mapping[str, Callable[[Any], bool]] = {
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


class AnswerError(ValueError):
    """An answer that can't be used."""


@attrs.define(eq=False)
class KnownWorker:
    """One worker on the list: the module's entry, its address, and its start in Unix milliseconds."""

    entry: Entry[Server]
    address: str
    started_ms: float


class Catalog:
    """The list of workers as last received.

    to_module_time: converts a Unix time in milliseconds to the module's clock, in tenths of a millisecond.
    warn: takes the kind and the text of a warning.
    """

    def __init__(
        self, workers: Workers, to_module_time: Callable[[float], int], warn: Callable[[str, str], None]
    ) -> None:
        self._workers, self._to_module_time, self._warn = workers, to_module_time, warn
        self.version, self.known, self._has_list = 0, dict[str, KnownWorker](), False

    def incarnation(self, server: Server) -> tuple[str, float] | None:
        """The worker's address and start time, which identify its process; None if it is not listed."""
        known = self.known.get(server.name)
        return (known.address, known.started_ms) if known is not None else None

    def read_line(self, line: bytes) -> Listing[Server] | None:
        """Applies one line of a watch, or a whole answer; None if it is empty or brings nothing new. Raises
        AnswerError."""
        if not line.strip():
            return None
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError):
            raise AnswerError("the answer should be JSON") from None
        return self.update(raw)

    def update(self, raw: Any, cached: bool = False) -> Listing[Server] | None:
        """Applies a decoded answer; None if it brings nothing new. cached: it is the list from before the
        start. Raises AnswerError."""
        if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
            raise AnswerError("servers should be a list")
        version, full = raw.get("version"), raw.get("full", False)
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(full, bool):
            raise AnswerError("version should be a whole number, and full true or false")
        if version < self.version and self._has_list:
            self._warn("list.older", "the answer is older than the known list")
            return None
        if len(raw["servers"]) > MAX_WORKERS:
            raise AnswerError(f"servers should have at most {MAX_WORKERS} entries")
        entries, named = list[Entry[Server]](), set[str]()
        for raw_entry in raw["servers"]:
            entry = self._read_entry(raw_entry, named)
            if entry is not None:
                entries.append(entry)
        replaces = full or cached
        if replaces:
            for name in [name for name in self.known if name not in named]:
                del self.known[name]
            # `named` includes malformed entries, whose workers stay unchanged.
            parsed = {entry.worker.name for entry in entries}
            entries += [known.entry for name, known in self.known.items() if name not in parsed]
        self.version, self._has_list = version, True
        if not replaces and not entries:
            return None
        kind = ListKind.CACHED if cached else ListKind.FULL if full else ListKind.CHANGES
        return Listing(kind, version, entries)

    def _read_entry(self, raw: Any, named: set[str]) -> Entry[Server] | None:
        """Parses one entry and adds its id to `named`; None if it is malformed."""
        fields = {**DEFAULTS, **raw} if isinstance(raw, dict) else {}
        if "id" in fields and isinstance(fields["id"], str):
            named.add(fields["id"])
        for field, is_valid in FIELD_CHECKS.items():
            if field not in fields or isinstance(fields[field], bool) or not is_valid(fields[field]):
                self._warn("list.spoilt", f"an entry is ignored: its {field} is missing or malformed")
                return None
        known, name = self.known.get(fields["id"]), fields["id"]
        # The start is converted once: after a drift between the clocks the same start must not look like
        # another.
        same_start = known is not None and known.started_ms == fields["started_ms"]
        started_at = (
            known.entry.started_at
            if known is not None and same_start
            else (self._to_module_time(fields["started_ms"]) if fields["started_ms"] else 0)
        )
        entry = self._workers.entry(
            name,
            fields["zone"],
            fields["kind"],
            fields["cell"],
            STATES[fields["state"]],
            float(fields["weight"]),
            started_at,
        )
        if entry.availability is Availability.GONE:
            self.known.pop(name, None)
        elif known is not None or len(self.known) < MAX_WORKERS:
            self.known[name] = KnownWorker(entry, fields["addr"], fields["started_ms"])
        return entry
