"""Messages between managers as the platform carries them: a datagram holds only the module's bytes, and the
sender is identified by its address."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import protocol

MAX_DATAGRAM_BYTES = 256  # the platform's limit; exceeding it fails the run

HostPort = tuple[str, int]


class RawPeerLink(protocol.DatagramProtocol):
    """peers: the address of each manager by its number, with our own; broadcast: the address that reaches
    all, if there is one. received: takes the sender's number and its bytes. warn: takes the kind and the text
    of a warning."""

    def __init__(
        self,
        me: int,
        peers: Sequence[HostPort],
        broadcast: HostPort | None,
        received: Callable[[int, bytes], None],
        warn: Callable[[str, str], None],
    ) -> None:
        self._me, self._peers, self._broadcast, self._received, self._warn = (
            me,
            peers,
            broadcast,
            received,
            warn,
        )
        self._numbers = {address: number for number, address in enumerate(peers)}

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends to one peer, or to all others if `peer` is None. A message that is too long is not sent."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return self._warn(
                "word.long",
                f"a message of {len(data)} bytes was not sent; at most {MAX_DATAGRAM_BYTES} are allowed",
            )
        if peer is not None:
            addresses = [address for number, address in enumerate(self._peers) if number == peer != self._me]
        elif self._broadcast is not None:
            addresses = [self._broadcast]
        else:
            addresses = [address for number, address in enumerate(self._peers) if number != self._me]
        transport: Any = self.transport
        for address in addresses if transport is not None else ():
            try:
                transport.write(data, address)
            except OSError as error:
                self._warn("word.unsent", str(error.strerror))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        number = self._numbers.get(tuple(addr[:2]))
        if number is None or not datagram or len(datagram) > MAX_DATAGRAM_BYTES:
            return self._warn("word.foreign", "a datagram of an unknown sender, or an empty or too long one")
        if number != self._me:
            self._received(number, datagram)

    def connectionRefused(self) -> None:
        """Does nothing: the peer is down, and its messages are treated as lost."""
