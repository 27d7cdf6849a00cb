"""Tests of the messages between managers: lost, late, repeated and foreign ones are harmless."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from rushladder.conf.grammar import Address
from rushladder.conf.objects import PeerConfig
from rushladder.peers.inbox import CLOCK_SET_BACK_TENTHS, Inbox, Verdict
from rushladder.peers.link import MAGIC, PeerLink
from rushladder.peers.word_pb2 import Word


class FakeTransport:
    """Records the datagrams that are written, and delivers none."""

    def __init__(self) -> None:
        self.sent = list[bytes]()

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append(data)


class PeerLinkTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.received, self.errors = Clock(), list[tuple[int, bytes]](), list[str]()
        self.transport_a = FakeTransport()
        self.a, self.b = (self.make_link(name, other) for name, other in (("m0", "m1"), ("m1", "m0")))
        self.a.transport = self.transport_a  # type: ignore[assignment]

    def make_link(self, name: str, other: str) -> PeerLink:
        config = PeerConfig(other, int(other[1]), Address(host="127.0.0.1", port=1))
        return PeerLink(
            name,
            5,
            {other: config},
            self.clock,
            lambda peer, data: self.received.append((peer, data)),
            self.errors.append,
        )

    def test_messages_are_accepted_once_and_in_order(self) -> None:
        for data in (b"one", b"two", b"three"):
            self.a.send(data)
        first, second, third = self.transport_a.sent
        for datagram in (first, third, second, third, first):
            self.b.datagramReceived(datagram, ("127.0.0.1", 1))
        self.assertEqual(self.received, [(0, b"one"), (0, b"three")])

    def test_restarted_peer_is_accepted_and_its_former_incarnation_is_not(self) -> None:
        inbox = Inbox(["p"])
        self.assertIs(inbox.accept("p", 5, 900, 0), Verdict.NEW)
        self.assertIs(inbox.accept("p", 6, 1, 10), Verdict.NEW)
        self.assertIs(inbox.accept("p", 5, 901, 20), Verdict.LATE)
        # The peer's clock was set back.
        self.assertIs(inbox.accept("p", 5, 1, 20 + CLOCK_SET_BACK_TENTHS), Verdict.NEW)

    def test_foreign_and_too_long_messages_are_reported_and_dropped(self) -> None:
        unknown_peer = Word(mark=MAGIC, manager="m9", boot=1, number=1, data=b"x").SerializeToString()
        for datagram in (b"", b"\xff" * 40, unknown_peer, b"x" * 3000):
            self.b.datagramReceived(datagram, ("127.0.0.1", 1))
        self.assertEqual((self.received, len(self.errors)), ([], 4))
        self.a.send(b"x" * 2000)
        self.assertEqual(self.transport_a.sent, [])

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_datagram_is_handled(self, datagram: bytes) -> None:
        self.b.datagramReceived(datagram, ("127.0.0.1", 1))
        self.assertEqual(self.received, [])


if __name__ == "__main__":
    unittest.main()
