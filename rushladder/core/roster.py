"""The list of collectors as the operators' runtime commands and the configuration tell it."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import attrs

from rushladder.interface import Availability, Entry, Listing, ListKind
from rushladder.records import Server

MOST = 10_000  # collectors: ten times the largest deployment wished for
HEADER = "# rushladder list 1"


class RosterError(Exception):
    """What a change of the list can't be carried out for, in the runtime API's words."""


@attrs.define(eq=False)
class Listed:
    """One collector: the module's object, where it answers, and what is said of it. Times: tenths of a ms."""

    server: Server
    address: str
    size: float
    availability: Availability
    started_at: int
    limit: float = 0.0  # txns a second, stated; 0: none
    connections: int = 0


class Roster:
    """Who exists. Each change that changes something gives the module one event, and a higher version."""

    def __init__(self) -> None:
        self.listed = dict[str, Listed]()
        self.version = 0

    def __getitem__(self, name: str) -> Listed:
        if name not in self.listed:
            raise RosterError("No such server.")
        return self.listed[name]

    def add(
        self,
        name: str,
        region: str,
        model: str,
        size: float,
        address: str,
        started_at: int,
        cell: int = 0,
        limit: float = 0.0,
        connections: int = 0,
    ) -> None:
        """A new collector, ready. The same again changes nothing. Raises RosterError if the name is taken."""
        known = self.listed.get(name)
        if known is None:
            if len(self.listed) >= MOST:
                raise RosterError(f"The list is full; {MOST} servers are allowed.")
            if any(other.address == address for other in self.listed.values()):
                raise RosterError("Another server has this address.")
            self.listed[name] = Listed(
                Server(name, region, model, cell),
                address,
                size,
                Availability.READY,
                started_at,
                limit,
                connections,
            )
            self.version += 1
        elif (known.server.zone, known.server.model, known.address) != (region, model, address):
            raise RosterError("Already exists a server with the same name.")

    def remove(self, name: str) -> Listing[Server]:
        """Takes a collector off the list; like a plain proxy, only one in maintenance. Raises RosterError."""
        known = self[name]
        if known.availability is not Availability.GONE:
            raise RosterError("Only servers in maintenance mode can be deleted.")
        del self.listed[name]
        self.version += 1
        return Listing(ListKind.CHANGES, self.version, [self._entry(known)])

    def change(
        self, name: str, now: int, availability: Availability | None = None, size: float | None = None
    ) -> Listing[Server] | None:
        """What changed, or None if nothing did. One that comes back from being gone has started anew."""
        known = self[name]
        before = (known.availability, known.size)
        if availability is Availability.READY and known.availability is Availability.GONE:
            known.started_at = now
        known.availability = known.availability if availability is None else availability
        known.size = known.size if size is None else size
        if (known.availability, known.size) == before:
            return None
        self.version += 1
        return self.listing_of(name)

    def listing_of(self, name: str) -> Listing[Server]:
        """The event that tells of one collector as it stands."""
        return Listing(ListKind.CHANGES, self.version, [self._entry(self[name])])

    def full(self, kind: ListKind = ListKind.FULL) -> Listing[Server]:
        return Listing(
            kind,
            self.version,
            [
                self._entry(known)
                for known in self.listed.values()
                if kind is not ListKind.FULL or known.availability is not Availability.GONE
            ],
        )

    def _entry(self, known: Listed) -> Entry[Server]:
        return Entry(known.server, known.availability, known.size, known.started_at)

    # The list as it survives a restart: lines of text, the last one a checksum over the others.

    def dump(self, now: int) -> str:
        """All collectors; starts as ages, since clocks of two lives have nothing in common."""
        rows = [HEADER] + [
            " ".join(
                (
                    name,
                    one.server.zone,
                    one.server.model,
                    str(one.server.cell),
                    repr(one.size),
                    one.address,
                    one.availability.name,
                    str(now - one.started_at if one.started_at else -1),
                )
            )
            for name, one in self.listed.items()
        ]
        text = "\n".join(rows) + "\n"
        return text + f"# crc {zlib.crc32(text.encode()):08x}\n"

    def load(self, text: str, now: int, away: int) -> bool:
        """Takes in a dump written `away` ago; False (and nothing taken) if it is not whole."""
        body, _, last = text.rstrip("\n").rpartition("\n")
        body += "\n"
        if not body.startswith(HEADER + "\n") or last != f"# crc {zlib.crc32(body.encode()):08x}":
            return False
        for row in _rows(body):
            name, region, model, cell, size, address, availability, age = row
            started = now - int(age) - away if int(age) >= 0 else 0
            self.listed[name] = Listed(
                Server(name, region, model, int(cell)),
                address,
                float(size),
                Availability[availability],
                started if started > 0 else 0,
            )
        self.version += 1
        return True


def _rows(body: str) -> Iterable[list[str]]:
    return (line.split(" ") for line in body.splitlines()[1:])
