"""Questions and answers as the planning sees them: no bytes, no sockets.

Numbers: RFC 1035, 2782, 6891, 7873.
"""

from __future__ import annotations

from enum import IntEnum

import attrs


class Type(IntEnum):
    A = 1
    NS = 2
    CNAME = 5
    SOA = 6
    HINFO = 13
    TXT = 16
    AAAA = 28
    SRV = 33
    OPT = 41
    IXFR = 251
    AXFR = 252
    ANY = 255


class Rcode(IntEnum):
    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    BADVERS = 16
    BADCOOKIE = 23


IN, ANY_CLASS = 1, 255
DEFAULT_UDP_SIZE = 512  # bytes of a UDP answer to one who says nothing else
MAX_UDP_SIZE = 1232  # bytes of any UDP answer: what passes networks unfragmented


@attrs.frozen
class Subnet:
    """A client subnet option: family 1 (IPv4) or 2 (IPv6), prefix length in bits, the address' bytes."""

    family: int
    length: int
    address: bytes


@attrs.frozen
class Edns:
    """What the asker's OPT record says. cookie: the client's 8 bytes; returned: the server cookie it gave
    back."""

    size: int = DEFAULT_UDP_SIZE
    version: int = 0
    cookie: bytes = b""
    returned: bytes = b""
    subnet: Subnet | None = None
    faulty: bool = False  # an option that can't be read


@attrs.frozen
class Question:
    """name: lower case, without the last dot; raw: as it came; empty where none was asked (cookie only)."""

    id: int
    opcode: int
    recursion: bool
    name: str
    raw: bytes
    type: int
    cls: int
    edns: Edns | None = None
    many: int = 1  # questions in the message


@attrs.frozen
class Record:
    """One record to give: data as its type has it (address; host; SOA's seven; strings; SRV's four)."""

    name: str
    type: Type
    ttl: int
    data: tuple[object, ...]


@attrs.frozen
class Answer:
    """scope: bits of the client subnet that the answer was chosen by; None where it was not asked."""

    rcode: Rcode
    answers: tuple[Record, ...] = ()
    authority: tuple[Record, ...] = ()
    additional: tuple[Record, ...] = ()
    authoritative: bool = True
    truncated: bool = False
    scope: int | None = None
    cookie: bytes = b""
