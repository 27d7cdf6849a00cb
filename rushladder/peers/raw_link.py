"""Words between managers as the platform carries them: the module's bytes alone, the sender known by
address."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import protocol

MOST = 256  # bytes of a datagram: the platform's limit, which the run must not break

Place = tuple[str, int]


class RawPeerLink(protocol.DatagramProtocol):
    """peers: an address for each manager by its number, our own among them; everyone: the one that reaches
    all. heard: takes a peer's number and bytes."""

    def __init__(
        self,
        me: int,
        peers: Sequence[Place],
        everyone: Place | None,
        heard: Callable[[int, bytes], None],
        note: Callable[[str, str], None],
    ) -> None:
        self._me, self._peers, self._everyone, self._heard, self._note = me, peers, everyone, heard, note
        self._numbers = {place: number for number, place in enumerate(peers)}

    def tell(self, peer: int | None, data: bytes) -> None:
        """To one, or to all others. A word that is too long is not sent."""
        if len(data) > MOST:
            return self._note("word.long", f"a word of {len(data)} bytes was not sent; {MOST} are allowed")
        if peer is not None:
            places = [place for number, place in enumerate(self._peers) if number == peer != self._me]
        elif self._everyone is not None:
            places = [self._everyone]
        else:
            places = [place for number, place in enumerate(self._peers) if number != self._me]
        transport: Any = self.transport
        for place in places if transport is not None else ():
            try:
                transport.write(data, place)
            except OSError as trouble:
                self._note("word.unsent", str(trouble.strerror))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        number = self._numbers.get(tuple(addr[:2]))
        if number is None or not datagram or len(datagram) > MOST:
            return self._note("word.foreign", "a datagram of nobody known, empty or too long")
        if number != self._me:
            self._heard(number, datagram)

    def connectionRefused(self) -> None:
        """A peer that is down: its words are missed as if lost."""
