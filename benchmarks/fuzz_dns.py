"""Fuzzes the packet path: any bytes are answered or dropped, answers are bounded, no state grows with them.

    python -m benchmarks.fuzz_dns -runs=100000 -seed=1        (libFuzzer's options)

Guided by which lines of our reader and of twisted.names a packet reaches; started from good questions.
"""

from __future__ import annotations

import struct
import sys
import tempfile
from pathlib import Path

import atheris  # type: ignore[import-not-found,import-untyped,unused-ignore]

with atheris.instrument_imports(include=["rushladder.dnsfront", "twisted.names"]):
    from rushladder.dnsfront import codec

from rushladder.dnsfront.messages import MAX_UDP_SIZE
from tests.test_dns import DnsFuzzTarget

NAMES = (b"\4_ask\4_tcp\3svc\7example\0", b"\3ask\3svc\7example\0", b"\3svc\7example\0")


def seeds() -> list[bytes]:
    """Questions with and without options, as resolvers send them."""
    found = list[bytes]()
    for name in NAMES:
        for kind in (1, 6, 33, 255):
            head, question = struct.pack("!6H", 7, 256, 1, 0, 0, 0), name + struct.pack("!2H", kind, 1)
            found.append(head + question)
            options = (
                struct.pack("!4H4s", 8, 8, 1, 0x1000, b"\x0a\2\0\0") + struct.pack("!2H", 10, 8) + b"c" * 8
            )
            opt = b"\0" + struct.pack("!HHIH", 41, 1232, 0, len(options)) + options
            found.append(head[:10] + b"\0\1" + question + opt)
    return found


def one(data: bytes) -> None:
    front = DnsFuzzTarget.responder()
    for tcp in (False, True):
        answer = front.answer(data, "192.0.2.1", tcp)
        if answer and (len(answer) > MAX_UDP_SIZE or not answer[2] & 0x80 or answer[:2] != data[:2]):
            raise AssertionError(f"{data!r} was answered {answer!r}")
    try:
        codec.parse_query(data)
    except codec.MalformedMessage as unreadable:
        if len(unreadable.reply) > 12:
            raise AssertionError(f"{data!r}: a refusal longer than a header") from None
    if len(front.rate_limiter) > 8 or sum(len(pool.resolvers.all()) for pool in front.pools.values()) > 8:
        raise AssertionError("state grew with packets of one sender")


def main() -> None:
    DnsFuzzTarget.responder()
    with tempfile.TemporaryDirectory() as corpus:
        for place, seed in enumerate(seeds()):
            Path(corpus, str(place)).write_bytes(seed)
        atheris.Setup([*sys.argv, corpus], one)
        atheris.Fuzz()


if __name__ == "__main__":
    main()
