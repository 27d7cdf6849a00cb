"""Binary framing of records. Each record has a magic number, a length and a checksum. Performs no I/O.

    magic (4) | length of the body (4) | CRC32C of length and body (4) | body
    body: number (8) | kind (1) | minor (1) | flags (1) | length of the key (2) | key | payload

Integers are big-endian. A reader accepts only records whose checksum matches. After damage it resumes at the
next magic number, so that intact records behind a corrupt part of a file are not lost."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c

MAGIC = b"\xf1RL1"  # neither text nor a small integer starts with these bytes
FRAME_HEADER, BODY_HEADER = struct.Struct(">4sII"), struct.Struct(">QBBBH")
# Maximum bytes of a body, enough for a version of 20,000 factors. A greater length is treated as damage.
MAX_BODY_BYTES = 1 << 20
DELETED = 1
HEADER_KIND, FOOTER_KIND = 0, 255


class Record(NamedTuple):
    """A keyed record. The payload is None if the record deletes its key."""

    number: int
    kind: int
    minor: int
    key: str
    payload: bytes | None


class Damage(NamedTuple):
    """A range of bytes that holds no valid record, and why."""

    offset: int
    size: int
    reason: str


def encode_frame(record: Record) -> bytes:
    """Raises ValueError if the record is too long for a reader to accept."""
    key = record.key.encode()
    flags, payload = (DELETED, b"") if record.payload is None else (0, record.payload)
    body = BODY_HEADER.pack(record.number, record.kind, record.minor, flags, len(key)) + key + payload
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a record of {len(body)} bytes; at most {MAX_BODY_BYTES} are allowed")
    length = struct.pack(">I", len(body))
    return MAGIC + length + struct.pack(">I", google_crc32c.value(length + body)) + body


def decode_frames(data: bytes) -> Iterator[Record | Damage]:
    """The records and damaged ranges in the data, in order. Never raises, whatever the data is."""
    offset, damage_start, reason = 0, -1, ""
    while offset < len(data):
        decoded = _decode_frame(data, offset)
        if isinstance(decoded, str):
            if damage_start < 0:
                damage_start, reason = offset, decoded
            offset = data.find(MAGIC, offset + 1)
            offset = len(data) if offset < 0 else offset
            continue
        if damage_start >= 0:
            yield Damage(damage_start, offset - damage_start, reason)
            damage_start = -1
        record, offset = decoded
        yield record
    if damage_start >= 0:
        yield Damage(damage_start, len(data) - damage_start, reason)


def _decode_frame(data: bytes, offset: int) -> tuple[Record, int] | str:
    """The record at an offset and the offset of the next one, or the reason why there is no valid record."""
    if len(data) - offset < FRAME_HEADER.size:
        return "torn: the file ends within a frame header"
    magic, length, crc = FRAME_HEADER.unpack_from(data, offset)
    if magic != MAGIC:
        return "no magic number"
    if not BODY_HEADER.size <= length <= MAX_BODY_BYTES:
        return f"invalid length {length}"
    start = offset + FRAME_HEADER.size
    if start + length > len(data):
        return "torn: the file ends within a frame body"
    if google_crc32c.value(data[offset + 4 : offset + 8] + data[start : start + length]) != crc:
        return "the body has another checksum"
    number, kind, minor, flags, key_length = BODY_HEADER.unpack_from(data, start)
    key_start = start + BODY_HEADER.size
    try:
        key = data[key_start : key_start + key_length].decode()
    except UnicodeDecodeError:
        return "the key is not valid UTF-8"
    payload = None if flags & DELETED else data[key_start + key_length : start + length]
    return Record(number, kind, minor, key, payload), start + length
