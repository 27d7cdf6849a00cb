"""Decoded DNS queries and answers, independent of the wire format and of sockets.

The numbers are those of RFC 1035, 2782, 6891 and 7873.
"""

from __future__ import annotations

from enum import IntEnum

import attrs


class Type(IntEnum):
    """Resource record types, and the types that only a query may have."""

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
    """Response codes; those above 15 need EDNS."""

    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    BADVERS = 16
    BADCOOKIE = 23


IN, ANY_CLASS = 1, 255
DEFAULT_UDP_SIZE = 512  # bytes of a UDP answer to a client without EDNS
MAX_UDP_SIZE = 1232  # bytes of any UDP answer: larger ones may be fragmented on the way


@attrs.frozen
class Subnet:
    """An EDNS client subnet option (RFC 7871).

    family: 1 (IPv4) or 2 (IPv6); length: source prefix length in bits; address: the bytes of the prefix.
    """

    family: int
    length: int
    address: bytes


@attrs.frozen
class Edns:
    """The OPT record of a query.

    client_cookie: the client's 8 bytes; server_cookie: the server cookie that the client returned;
    malformed: an option could not be parsed.
    """

    udp_size: int = DEFAULT_UDP_SIZE
    version: int = 0
    client_cookie: bytes = b""
    server_cookie: bytes = b""
    subnet: Subnet | None = None
    malformed: bool = False


@attrs.frozen
class Query:
    """A DNS query.

    name: the query name in lower case, without the trailing dot; raw_name: the name as received. Both are
    empty in a query without a question, which only asks for a cookie.
    """

    id: int
    opcode: int
    recursion: bool
    name: str
    raw_name: bytes
    qtype: int
    qclass: int
    edns: Edns | None = None
    question_count: int = 1


@attrs.frozen
class Record:
    """A resource record to send. data: the RDATA fields of its type (for example four of an SRV)."""

    name: str
    type: Type
    ttl: int
    data: tuple[object, ...]


@attrs.frozen
class Answer:
    """The answer to a query, by section.

    scope: scope prefix length of the client subnet option; None if the query had no such option.
    """

    rcode: Rcode
    answers: tuple[Record, ...] = ()
    authority: tuple[Record, ...] = ()
    additional: tuple[Record, ...] = ()
    authoritative: bool = True
    truncated: bool = False
    scope: int | None = None
    server_cookie: bytes = b""
