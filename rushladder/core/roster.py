"""The list of collectors, as defined by the configuration and by operators' runtime commands."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import attrs

from rushladder.interface import Availability, Entry, Listing, ListKind
from rushladder.records import Server

MAX_SERVERS = 10_000  # ten times the largest planned deployment
HEADER = "# rushladder list 1"


class RosterError(Exception):
    """A change of the list that is refused; the text is the runtime API's answer."""


@attrs.define(eq=False)
class ListedServer:
    """One collector: the decision module's object, its address and listed state. Times: tenths of a ms."""

    server: Server
    address: str
    size: float
    availability: Availability
    started_at: int
    limit: float = 0.0  # stated limit in txns a second; 0: none
    connections: int = 0


class Roster:
    """The collectors that exist. Each effective change raises the version and gives the module one event."""

    def __init__(self) -> None:
        self.listed = dict[str, ListedServer]()
        self.version = 0

    def __getitem__(self, name: str) -> ListedServer:
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
        """Adds a collector in state ready; adding the same again changes nothing.

        Raises RosterError if the name or address belongs to another collector, or the list is full.
        """
        known = self.listed.get(name)
        if known is None:
            if len(self.listed) >= MAX_SERVERS:
                raise RosterError(f"The list is full; {MAX_SERVERS} servers are allowed.")
            if any(other.address == address for other in self.listed.values()):
                raise RosterError("Another server has this address.")
            self.listed[name] = ListedServer(
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
        """Removes a collector; like a plain proxy, only one in maintenance mode. Raises RosterError."""
        known = self[name]
        if known.availability is not Availability.GONE:
            raise RosterError("Only servers in maintenance mode can be deleted.")
        del self.listed[name]
        self.version += 1
        return Listing(ListKind.CHANGES, self.version, [self._entry(known)])

    def change(
        self, name: str, now: int, availability: Availability | None = None, size: float | None = None
    ) -> Listing[Server] | None:
        """Changes a collector and returns the event, or None if nothing changed.

        A collector that returns from maintenance counts as restarted.
        """
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
        """The event with the present state of one collector."""
        return Listing(ListKind.CHANGES, self.version, [self._entry(self[name])])

    def full(self, kind: ListKind = ListKind.FULL) -> Listing[Server]:
        """The event with the whole list; a listing of kind FULL leaves out collectors that are gone."""
        return Listing(
            kind,
            self.version,
            [
                self._entry(known)
                for known in self.listed.values()
                if kind is not ListKind.FULL or known.availability is not Availability.GONE
            ],
        )

    def _entry(self, known: ListedServer) -> Entry[Server]:
        return Entry(known.server, known.availability, known.size, known.started_at)

    # Serialization for restarts: lines of text, the last of which is a checksum of the others.

    def dump(self, now: int) -> str:
        """Serializes all collectors; start times are stored as ages, as two incarnations share no clock."""
        rows = [HEADER] + [
            " ".join(
                (
                    name,
                    listed.server.zone,
                    listed.server.model,
                    str(listed.server.cell),
                    repr(listed.size),
                    listed.address,
                    listed.availability.name,
                    str(now - listed.started_at if listed.started_at else -1),
                )
            )
            for name, listed in self.listed.items()
        ]
        text = "\n".join(rows) + "\n"
        return text + f"# crc {zlib.crc32(text.encode()):08x}\n"

    def load(self, text: str, now: int, downtime: int) -> bool:
        """Loads a dump written `downtime` ago; returns False and changes nothing if it is damaged."""
        body, _, last = text.rstrip("\n").rpartition("\n")
        body += "\n"
        if not body.startswith(HEADER + "\n") or last != f"# crc {zlib.crc32(body.encode()):08x}":
            return False
        for row in _rows(body):
            name, region, model, cell, size, address, availability, age = row
            started = now - int(age) - downtime if int(age) >= 0 else 0
            self.listed[name] = ListedServer(
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
