"""The UDP socket for messages between managers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from google.protobuf.message import DecodeError
from twisted.internet import protocol

from rushladder.conf.objects import PeerConfig
from rushladder.peers.inbox import Inbox, Verdict
from rushladder.peers.word_pb2 import Word
from rushladder.timing import Clock, clock_tenths

MAGIC = 0x52554C44  # the `mark` of each datagram: "RULD"
MAX_DATAGRAM_BYTES = 1200  # fits any path without fragmentation


class PeerLink(protocol.DatagramProtocol):
    """Sends own messages to every peer, and passes the accepted ones of others to the decision module."""

    def __init__(
        self,
        manager: str,
        boot: int,
        peers: Mapping[str, PeerConfig],
        clock: Clock,
        received: Callable[[int, bytes], None],
        report_error: Callable[[str], None],
    ) -> None:
        self._manager, self._boot, self._peers, self._clock = manager, boot, peers, clock
        self._received, self._report_error, self._number = received, report_error, 0
        self.inbox = Inbox(peers.keys())

    def send(self, data: bytes) -> None:
        self._number += 1
        datagram = Word(
            mark=MAGIC, manager=self._manager, boot=self._boot, number=self._number, data=data
        ).SerializeToString()
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return self._report_error(
                f"a message of {len(datagram)} bytes was not sent; at most {MAX_DATAGRAM_BYTES} are allowed"
            )
        transport: Any = self.transport
        for peer in self._peers.values() if transport is not None else ():
            try:
                transport.write(datagram, (peer.address.host, peer.address.port))
            except OSError as error:
                self._report_error(f"a message to peer {peer.name} was not sent: {error}")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        message = Word()
        try:
            if len(datagram) > MAX_DATAGRAM_BYTES:
                raise DecodeError
            message.ParseFromString(datagram)
        except DecodeError:
            message.mark = 0
        if message.mark != MAGIC:
            self.inbox.counts[Verdict.FOREIGN] += 1
            return self._report_error("a foreign datagram was received at the address for peers")
        verdict = self.inbox.accept(message.manager, message.boot, message.number, clock_tenths(self._clock))
        if verdict is Verdict.NEW:
            self._received(self._peers[message.manager].number, message.data)
        elif verdict is Verdict.FOREIGN:
            self._report_error("a message was received from a manager that is not a configured peer")

    def connectionRefused(self) -> None:
        """Does nothing: the peer is down, and its messages are treated as lost."""
