"""Fuzzes the DNS packet path. Any bytes must be answered or dropped, answers are bounded, and state does not
grow.

    python -m benchmarks.fuzz_dns -runs=100000 -seed=1        (libFuzzer's options)

The fuzzer is guided by the coverage of rushladder.dnsfront and twisted.names and starts from valid queries.
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


def seed_queries() -> list[bytes]:
    """Valid queries with and without EDNS options, as resolvers send them."""
    queries = list[bytes]()
    for name in NAMES:
        for record_type in (1, 6, 33, 255):
            header, question = (
                struct.pack("!6H", 7, 256, 1, 0, 0, 0),
                name + struct.pack("!2H", record_type, 1),
            )
            queries.append(header + question)
            options = (
                struct.pack("!4H4s", 8, 8, 1, 0x1000, b"\x0a\2\0\0") + struct.pack("!2H", 10, 8) + b"c" * 8
            )
            opt = b"\0" + struct.pack("!HHIH", 41, 1232, 0, len(options)) + options
            queries.append(header[:10] + b"\0\1" + question + opt)
    return queries


def check_packet(data: bytes) -> None:
    responder = DnsFuzzTarget.responder()
    for tcp in (False, True):
        answer = responder.answer(data, "192.0.2.1", tcp)
        if answer and (len(answer) > MAX_UDP_SIZE or not answer[2] & 0x80 or answer[:2] != data[:2]):
            raise AssertionError(f"{data!r}: invalid answer {answer!r}")
    try:
        codec.parse_query(data)
    except codec.MalformedMessage as error:
        if len(error.reply) > 12:
            raise AssertionError(f"{data!r}: the error answer is longer than a header") from None
    if (
        len(responder.rate_limiter) > 8
        or sum(len(pool.resolvers.all()) for pool in responder.pools.values()) > 8
    ):
        raise AssertionError("state grew with the packets of a single sender")


def main() -> None:
    DnsFuzzTarget.responder()
    with tempfile.TemporaryDirectory() as corpus:
        for index, query in enumerate(seed_queries()):
            Path(corpus, str(index)).write_bytes(query)
        atheris.Setup([*sys.argv, corpus], check_packet)
        atheris.Fuzz()


if __name__ == "__main__":
    main()
