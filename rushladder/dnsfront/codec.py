"""DNS messages: bytes in, a question out; an answer in, bytes out. On twisted.names' classes, with no socket.

twisted.names carries an OPT record as any unknown one; its options are read here (RFC 6891, 7871, 7873).
"""

from __future__ import annotations

import struct
from typing import Any

from twisted.names import dns

from rushladder.dnsfront.messages import (
    MAX_UDP_SIZE,
    DEFAULT_UDP_SIZE,
    Answer,
    Edns,
    Question,
    Rcode,
    Record,
    Subnet,
    Type,
)

SUBNET, COOKIE = 8, 10
LONGEST = 65_535
HEADER = 12
BAD = (EOFError, ValueError, KeyError, IndexError, struct.error, UnicodeError, TypeError, OverflowError)


class MalformedMessage(Exception):
    """A message that can't be read; `reply` is what to send back, or empty."""

    def __init__(self, reply: bytes) -> None:
        super().__init__("a message that can't be read")
        self.reply = reply


def parse_query(data: bytes) -> Question:
    """The question of a message. Raises MalformedMessage."""
    if len(data) < HEADER or data[2] & 0x80:
        raise MalformedMessage(b"")  # no header, or an answer: answering those could go round for ever
    message: Any = dns.Message()
    try:
        if data[4:6] != b"\0\0":
            _check_name(data)
        message.fromStr(data)
        edns, opts = None, 0
        for record in message.additional:
            if record.type == Type.OPT:
                opts += 1
                edns = _read_opt(record, opts)
        query = message.queries[0] if message.queries else None
        raw: bytes = query.name.name if query is not None else b""
        if len(message.queries) == 0 and not (edns is not None and edns.cookie):
            raise ValueError("no question")
        name = raw.decode("latin-1").lower().rstrip(".")
        return Question(
            message.id,
            message.opCode,
            bool(message.recDes),
            name,
            raw,
            query.type if query is not None else 0,
            query.cls if query is not None else 0,
            edns,
            len(message.queries),
        )
    except BAD:
        opcode, number = (data[2] >> 3) & 15, data[:2]
        raise MalformedMessage(number + bytes([0x80 | opcode << 3, Rcode.FORMERR]) + bytes(8)) from None


def _check_name(data: bytes) -> None:
    """Raises ValueError for a question's name that twisted.names would read, but could not write again:
    labels over 63 bytes, or with a dot in them, and names over 255 bytes. Pointers have nothing to point
    to here."""
    place = HEADER
    while (length := data[place]) != 0:
        label = data[place + 1 : place + 1 + length]
        if length > 63 or b"." in label:
            raise ValueError("a name that is none")
        place += 1 + length
    if place - HEADER >= 255:
        raise ValueError("a name too long")


def _read_opt(record: Any, many: int) -> Edns:
    size, version = record.cls, record.ttl >> 16 & 255
    data: bytes = getattr(record.payload, "data", b"")
    cookie = returned = b""
    subnet, faulty, place = None, many > 1 or bool(record.name.name), 0
    while place + 4 <= len(data):
        code, length = struct.unpack_from("!HH", data, place)
        value, place = data[place + 4 : place + 4 + length], place + 4 + length
        if len(value) < length:
            faulty = True
        elif code == COOKIE:
            faulty = faulty or not (length == 8 or 16 <= length <= 40)
            cookie, returned = value[:8], value[8:]
        elif code == SUBNET:
            subnet = _read_subnet(value)
            faulty = faulty or subnet is None
    faulty = faulty or place != len(data)
    return Edns(max(DEFAULT_UDP_SIZE, size), version, cookie, returned, subnet, faulty)


def _read_subnet(value: bytes) -> Subnet | None:
    """None where it is not as RFC 7871 has it: no scope in a question, no bits beyond the prefix."""
    if len(value) < 4:
        return None
    family, length, scope = struct.unpack_from("!HBB", value)
    address = value[4:]
    if family not in (1, 2) or length > (32 if family == 1 else 128) or scope:
        return None
    if len(address) != (length + 7) // 8 or (length % 8 and address[-1] & (0xFF >> length % 8)):
        return None
    return Subnet(family, length, address)


def encode_answer(question: Question, answer: Answer, tcp: bool) -> bytes:
    """The answer's bytes; where they do not fit a datagram, it is empty and says that it is truncated."""
    edns = question.edns
    most = LONGEST if tcp else min(MAX_UDP_SIZE, edns.size if edns is not None else DEFAULT_UDP_SIZE)
    data = b"" if answer.truncated else _write(question, answer, False)
    if answer.truncated or len(data) > most:
        data = _write(question, Answer(answer.rcode, scope=answer.scope, cookie=answer.cookie), True)
    return data


def _write(question: Question, answer: Answer, truncated: bool) -> bytes:
    message: Any = dns.Message(
        id=question.id,
        answer=1,
        opCode=question.opcode,
        recDes=int(question.recursion),
        auth=answer.authoritative,
        rCode=answer.rcode & 15,
        trunc=int(truncated),
        maxSize=0,
    )
    if question.many and question.opcode == 0 and answer.rcode is not Rcode.FORMERR:
        message.queries = [dns.Query(question.raw, question.type, question.cls)]
    for section, records in (
        (message.answers, answer.answers),
        (message.authority, answer.authority),
        (message.additional, answer.additional),
    ):
        for record in records:
            # The asker's own spelling comes back in what answers it.
            name = question.raw if record.name == question.name else record.name.encode()
            section.append(dns.RRHeader(name, record.type, dns.IN, record.ttl, _payload(record)))
    if question.edns is not None:
        message.additional.append(_opt(question.edns, answer))
    out: bytes = message.toStr()
    return out


PAYLOADS: dict[Type, Any] = {
    Type.A: dns.Record_A,
    Type.AAAA: dns.Record_AAAA,
    Type.NS: dns.Record_NS,
    Type.SOA: dns.Record_SOA,
    Type.SRV: dns.Record_SRV,
}


def _payload(record: Record) -> Any:
    data: Any = record.data
    make: Any = PAYLOADS.get(record.type)
    if make is not None:
        return make(*data, ttl=record.ttl)
    assert record.type in (Type.HINFO, Type.TXT), record.type
    words = [word.encode() for word in data]
    return dns.Record_HINFO(*words) if record.type is Type.HINFO else dns.Record_TXT(*words)


def _opt(edns: Edns, answer: Answer) -> Any:
    options = b""
    if answer.cookie:
        options += struct.pack("!HH", COOKIE, 8 + len(answer.cookie)) + edns.cookie + answer.cookie
    if edns.subnet is not None and answer.scope is not None:
        subnet = edns.subnet
        options += struct.pack(
            "!HHHBB", SUBNET, 4 + len(subnet.address), subnet.family, subnet.length, answer.scope
        )
        options += subnet.address
    payload: Any = dns.UnknownRecord(options)
    header: Any = dns.RRHeader(b"", Type.OPT, MAX_UDP_SIZE, (answer.rcode >> 4) << 24, payload)
    return header
