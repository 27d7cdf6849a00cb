"""Records as bytes: each behind a mark, its length and a checksum. Free of I/O.

    mark (4) | length of the body (4) | CRC32C of length and body (4) | body
    body: number (8) | kind (1) | minor (1) | flags (1) | length of the key (2) | key | payload

All figures are big-endian. A reader takes what its checksum proves and nothing else; after damage it looks
for the next mark, so that a good tail behind a corrupt middle is not lost."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c

MARK = b"\xf1RL1"  # no text and no small number begins with it
HEAD, BODY = struct.Struct(">4sII"), struct.Struct(">QBBBH")
LONGEST = 1 << 20  # bytes of a body: a version of 20,000 factors; a longer length is damage
DELETED = 1
HEADER_KIND, FOOTER_KIND = 0, 255


class Record(NamedTuple):
    """payload: None where the key was taken back."""

    number: int
    kind: int
    minor: int
    key: str
    payload: bytes | None


class Damage(NamedTuple):
    """Bytes that are no record: where they begin, how many, and why."""

    at: int
    many: int
    why: str


def encode_frame(record: Record) -> bytes:
    """Raises ValueError for a record that no reader would take."""
    key = record.key.encode()
    flags, payload = (DELETED, b"") if record.payload is None else (0, record.payload)
    body = BODY.pack(record.number, record.kind, record.minor, flags, len(key)) + key + payload
    if len(body) > LONGEST:
        raise ValueError(f"a record of {len(body)} bytes; {LONGEST} are allowed")
    length = struct.pack(">I", len(body))
    return MARK + length + struct.pack(">I", google_crc32c.value(length + body)) + body


def decode_frames(data: bytes) -> Iterator[Record | Damage]:
    """What stands in the bytes, in their order. Never raises, whatever they are."""
    at, bad_from, why = 0, -1, ""
    while at < len(data):
        found = _read(data, at)
        if isinstance(found, str):
            if bad_from < 0:
                bad_from, why = at, found
            at = data.find(MARK, at + 1)
            at = len(data) if at < 0 else at
            continue
        if bad_from >= 0:
            yield Damage(bad_from, at - bad_from, why)
            bad_from = -1
        record, at = found
        yield record
    if bad_from >= 0:
        yield Damage(bad_from, len(data) - bad_from, why)


def _read(data: bytes, at: int) -> tuple[Record, int] | str:
    """The record at a place and where the next begins, or why there is none."""
    if len(data) - at < HEAD.size:
        return "torn: the end of the file in a head"
    mark, length, crc = HEAD.unpack_from(data, at)
    if mark != MARK:
        return "no mark"
    if not BODY.size <= length <= LONGEST:
        return f"a length of {length}"
    start = at + HEAD.size
    if start + length > len(data):
        return "torn: the end of the file in a body"
    if google_crc32c.value(data[at + 4 : at + 8] + data[start : start + length]) != crc:
        return "another checksum"
    number, kind, minor, flags, key_length = BODY.unpack_from(data, start)
    key_at = start + BODY.size
    try:
        key = data[key_at : key_at + key_length].decode()
    except UnicodeDecodeError:
        return "a key that is no text"
    payload = None if flags & DELETED else data[key_at + key_length : start + length]
    return Record(number, kind, minor, key, payload), start + length
