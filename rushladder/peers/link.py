"""The UDP side of the words between managers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from google.protobuf.message import DecodeError
from twisted.internet import protocol

from rushladder.conf.objects import PeerConfig
from rushladder.peers.inbox import Inbox, Verdict
from rushladder.peers.word_pb2 import Word
from rushladder.timing import Clock, clock_tenths

MARK = 0x52554C44
MOST = 1200  # bytes of a datagram: fits any path without being cut up


class PeerLink(protocol.DatagramProtocol):
    """Sends own words to every peer and hands the module those that count."""

    def __init__(
        self,
        manager: str,
        boot: int,
        peers: Mapping[str, PeerConfig],
        clock: Clock,
        heard: Callable[[int, bytes], None],
        fault: Callable[[str], None],
    ) -> None:
        self._manager, self._boot, self._peers, self._clock = manager, boot, peers, clock
        self._heard, self._fault, self._number = heard, fault, 0
        self.inbox = Inbox(peers.keys())

    def send(self, data: bytes) -> None:
        self._number += 1
        datagram = Word(
            mark=MARK, manager=self._manager, boot=self._boot, number=self._number, data=data
        ).SerializeToString()
        if len(datagram) > MOST:
            return self._fault(f"a word of {len(datagram)} bytes was not sent; {MOST} are allowed")
        transport: Any = self.transport
        for peer in self._peers.values() if transport is not None else ():
            try:
                transport.write(datagram, (peer.address.host, peer.address.port))
            except OSError as trouble:
                self._fault(f"no word to {peer.name}: {trouble}")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        word = Word()
        try:
            if len(datagram) > MOST:
                raise DecodeError
            word.ParseFromString(datagram)
        except DecodeError:
            word.mark = 0
        if word.mark != MARK:
            self.inbox.counts[Verdict.FOREIGN] += 1
            return self._fault("a foreign datagram at the peers' address")
        verdict = self.inbox.judge(word.manager, word.boot, word.number, clock_tenths(self._clock))
        if verdict is Verdict.NEW:
            self._heard(self._peers[word.manager].number, word.data)
        elif verdict is Verdict.FOREIGN:
            self._fault("a word of a manager that is no peer")

    def connectionRefused(self) -> None:
        """A peer that is down: its words are missed as if lost."""
