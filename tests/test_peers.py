"""Stories of the words between managers: what is lost, late, repeated or foreign does no harm."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from rushladder.conf.grammar import Address
from rushladder.conf.objects import PeerConfig
from rushladder.peers.inbox import AGAIN, Inbox, Verdict
from rushladder.peers.link import MARK, PeerLink
from rushladder.peers.word_pb2 import Word


class Net:
    """Takes what is written; delivers nothing by itself."""

    def __init__(self) -> None:
        self.sent = list[bytes]()

    def write(self, data: bytes, where: tuple[str, int]) -> None:
        self.sent.append(data)


class PeerStories(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.heard, self.faults = Clock(), list[tuple[int, bytes]](), list[str]()
        self.net = Net()
        self.a, self.b = (self.link(name, other) for name, other in (("m0", "m1"), ("m1", "m0")))
        self.a.transport = self.net  # type: ignore[assignment]

    def link(self, name: str, other: str) -> PeerLink:
        site = PeerConfig(other, int(other[1]), Address(host="127.0.0.1", port=1))
        return PeerLink(
            name,
            5,
            {other: site},
            self.clock,
            lambda n, data: self.heard.append((n, data)),
            self.faults.append,
        )

    def test_words_count_once_and_in_order(self) -> None:
        for word in (b"one", b"two", b"three"):
            self.a.send(word)
        first, second, third = self.net.sent
        for datagram in (first, third, second, third, first):
            self.b.datagramReceived(datagram, ("127.0.0.1", 1))
        self.assertEqual(self.heard, [(0, b"one"), (0, b"three")])

    def test_a_restarted_peer_is_heard_and_its_former_life_is_not(self) -> None:
        inbox = Inbox(["p"])
        self.assertIs(inbox.judge("p", 5, 900, 0), Verdict.NEW)
        self.assertIs(inbox.judge("p", 6, 1, 10), Verdict.NEW)
        self.assertIs(inbox.judge("p", 5, 901, 20), Verdict.LATE)
        self.assertIs(inbox.judge("p", 5, 1, 20 + AGAIN), Verdict.NEW)  # its clock was set back

    def test_foreign_words_and_words_too_long_are_told_and_dropped(self) -> None:
        stranger = Word(mark=MARK, manager="m9", boot=1, number=1, data=b"x").SerializeToString()
        for datagram in (b"", b"\xff" * 40, stranger, b"x" * 3000):
            self.b.datagramReceived(datagram, ("127.0.0.1", 1))
        self.assertEqual((self.heard, len(self.faults)), ([], 4))
        self.a.send(b"x" * 2000)
        self.assertEqual(self.net.sent, [])

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_datagram_is_survived(self, datagram: bytes) -> None:
        self.b.datagramReceived(datagram, ("127.0.0.1", 1))
        self.assertEqual(self.heard, [])


if __name__ == "__main__":
    unittest.main()
