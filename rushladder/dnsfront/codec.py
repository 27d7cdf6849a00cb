"""Decodes DNS queries from bytes and encodes answers to bytes, with the classes of twisted.names.

twisted.names treats an OPT record as one of unknown type; its options are parsed here (RFC 6891, 7871, 7873).
"""

from __future__ import annotations

import struct
from typing import Any

from twisted.names import dns

from rushladder.dnsfront.messages import (
    DEFAULT_UDP_SIZE,
    MAX_UDP_SIZE,
    Answer,
    Edns,
    Query,
    Rcode,
    Record,
    Subnet,
    Type,
)

SUBNET_OPTION, COOKIE_OPTION = 8, 10
MAX_TCP_SIZE = 65_535
HEADER_SIZE = 12
PARSE_ERRORS = (
    EOFError,
    ValueError,
    KeyError,
    IndexError,
    struct.error,
    UnicodeError,
    TypeError,
    OverflowError,
)


class MalformedMessage(Exception):
    """A message that can't be parsed. reply: the message to send back; empty for none."""

    def __init__(self, reply: bytes) -> None:
        super().__init__("a DNS message that can't be parsed")
        self.reply = reply


def parse_query(data: bytes) -> Query:
    """Parses a query. Raises MalformedMessage."""
    if len(data) < HEADER_SIZE or data[2] & 0x80:
        raise MalformedMessage(b"")  # no header, or a response: replying to responses could loop for ever
    message: Any = dns.Message()
    try:
        if data[4:6] != b"\0\0":
            _check_name(data)
        message.fromStr(data)
        edns, opt_count = None, 0
        for record in message.additional:
            if record.type == Type.OPT:
                opt_count += 1
                edns = _parse_opt(record, opt_count)
        question = message.queries[0] if message.queries else None
        raw_name: bytes = question.name.name if question is not None else b""
        if len(message.queries) == 0 and not (edns is not None and edns.client_cookie):
            raise ValueError("neither a question nor a cookie")
        name = raw_name.decode("latin-1").lower().rstrip(".")
        return Query(
            message.id,
            message.opCode,
            bool(message.recDes),
            name,
            raw_name,
            question.type if question is not None else 0,
            question.cls if question is not None else 0,
            edns,
            len(message.queries),
        )
    except PARSE_ERRORS:
        opcode, message_id = (data[2] >> 3) & 15, data[:2]
        raise MalformedMessage(message_id + bytes([0x80 | opcode << 3, Rcode.FORMERR]) + bytes(8)) from None


def _check_name(data: bytes) -> None:
    """Raises ValueError for a query name that twisted.names can decode but not encode again.

    These are names with labels over 63 bytes or with a dot in a label, and names over 255 bytes. Compression
    pointers are rejected too, as nothing precedes the name that they could point to.
    """
    offset = HEADER_SIZE
    while (length := data[offset]) != 0:
        label = data[offset + 1 : offset + 1 + length]
        if length > 63 or b"." in label:
            raise ValueError("invalid label in the query name")
        offset += 1 + length
    if offset - HEADER_SIZE >= 255:
        raise ValueError("query name over 255 bytes")


def _parse_opt(record: Any, opt_count: int) -> Edns:
    udp_size, version = record.cls, record.ttl >> 16 & 255
    data: bytes = getattr(record.payload, "data", b"")
    client_cookie = server_cookie = b""
    subnet, malformed, offset = None, opt_count > 1 or bool(record.name.name), 0
    while offset + 4 <= len(data):
        code, length = struct.unpack_from("!HH", data, offset)
        value, offset = data[offset + 4 : offset + 4 + length], offset + 4 + length
        if len(value) < length:
            malformed = True
        elif code == COOKIE_OPTION:
            malformed = malformed or not (length == 8 or 16 <= length <= 40)
            client_cookie, server_cookie = value[:8], value[8:]
        elif code == SUBNET_OPTION:
            subnet = _parse_subnet(value)
            malformed = malformed or subnet is None
    malformed = malformed or offset != len(data)
    return Edns(max(DEFAULT_UDP_SIZE, udp_size), version, client_cookie, server_cookie, subnet, malformed)


def _parse_subnet(value: bytes) -> Subnet | None:
    """Returns None if the option violates RFC 7871: a scope in a query, or bits set beyond the prefix."""
    if len(value) < 4:
        return None
    family, length, scope = struct.unpack_from("!HBB", value)
    address = value[4:]
    if family not in (1, 2) or length > (32 if family == 1 else 128) or scope:
        return None
    if len(address) != (length + 7) // 8 or (length % 8 and address[-1] & (0xFF >> length % 8)):
        return None
    return Subnet(family, length, address)


def encode_answer(query: Query, answer: Answer, tcp: bool) -> bytes:
    """Encodes an answer; one that does not fit the datagram is sent empty, with the truncation bit set."""
    edns = query.edns
    max_size = (
        MAX_TCP_SIZE if tcp else min(MAX_UDP_SIZE, edns.udp_size if edns is not None else DEFAULT_UDP_SIZE)
    )
    data = b"" if answer.truncated else _encode(query, answer, False)
    if answer.truncated or len(data) > max_size:
        data = _encode(
            query, Answer(answer.rcode, scope=answer.scope, server_cookie=answer.server_cookie), True
        )
    return data


def _encode(query: Query, answer: Answer, truncated: bool) -> bytes:
    message: Any = dns.Message(
        id=query.id,
        answer=1,
        opCode=query.opcode,
        recDes=int(query.recursion),
        auth=answer.authoritative,
        rCode=answer.rcode & 15,
        trunc=int(truncated),
        maxSize=0,
    )
    if query.question_count and query.opcode == 0 and answer.rcode is not Rcode.FORMERR:
        message.queries = [dns.Query(query.raw_name, query.qtype, query.qclass)]
    for section, records in (
        (message.answers, answer.answers),
        (message.authority, answer.authority),
        (message.additional, answer.additional),
    ):
        for record in records:
            # Records of the query name keep the spelling of the query.
            name = query.raw_name if record.name == query.name else record.name.encode()
            section.append(dns.RRHeader(name, record.type, dns.IN, record.ttl, _payload(record)))
    if query.edns is not None:
        message.additional.append(_opt(query.edns, answer))
    data: bytes = message.toStr()
    return data


PAYLOADS: dict[Type, Any] = {
    Type.A: dns.Record_A,
    Type.AAAA: dns.Record_AAAA,
    Type.NS: dns.Record_NS,
    Type.SOA: dns.Record_SOA,
    Type.SRV: dns.Record_SRV,
}


def _payload(record: Record) -> Any:
    data: Any = record.data
    payload_class: Any = PAYLOADS.get(record.type)
    if payload_class is not None:
        return payload_class(*data, ttl=record.ttl)
    assert record.type in (Type.HINFO, Type.TXT), record.type
    strings = [string.encode() for string in data]
    return dns.Record_HINFO(*strings) if record.type is Type.HINFO else dns.Record_TXT(*strings)


def _opt(edns: Edns, answer: Answer) -> Any:
    options = b""
    if answer.server_cookie:
        options += (
            struct.pack("!HH", COOKIE_OPTION, 8 + len(answer.server_cookie))
            + edns.client_cookie
            + answer.server_cookie
        )
    if edns.subnet is not None and answer.scope is not None:
        subnet = edns.subnet
        options += struct.pack(
            "!HHHBB", SUBNET_OPTION, 4 + len(subnet.address), subnet.family, subnet.length, answer.scope
        )
        options += subnet.address
    payload: Any = dns.UnknownRecord(options)
    header: Any = dns.RRHeader(b"", Type.OPT, MAX_UDP_SIZE, (answer.rcode >> 4) << 24, payload)
    return header
