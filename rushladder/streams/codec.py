"""Parses and formats the lines of the platform's protocol (its PROTOCOL page). No I/O.

A line is `KIND name=value ...`, terminated by CRLF. Times are milliseconds on the wire and tenths of a
millisecond inside. Input that can't be parsed at all raises `ProtocolError`; a line of a known kind with an
invalid field becomes `Malformed`, so that only that line is dropped. The names used on the wire appear in
this module alone.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs

from rushladder.conf.startup_settings import MICROS_PER_TENTH

LINE_ENDING = b"\r\n"
MAX_MESSAGE_BYTES = 1 << 20  # the protocol's own limit
MAX_MESSAGE_PARTS = 64  # the protocol's own limit
MAX_REPORT_MS = 600_000.0  # upper bound for times in reports: ten minutes, far above any reporting interval
PONG, NACK = b"PONG\r\n", b"NACK\r\n"
MARK_MODULUS = 65_536  # marks wrap around here


class ProtocolError(Exception):
    """The input can't be parsed, and nothing more is read from this connection."""


@attrs.frozen
class Ping:
    """A health check of the manager."""


@attrs.frozen
class Source:
    """Identifies the connection as the collector of a zone."""

    zone: str


@attrs.frozen
class Subscribe:
    """A proxy joins. `weight`: roughly its txns per second; `fresh`: it holds no table from a manager yet."""

    proxy: int
    zone: str
    weight: float
    fresh: bool


@attrs.frozen
class Load:
    """The tries that the proxies of a zone made at one worker. Times: tenths of a millisecond."""

    zone: str
    server: str
    tries: int
    failed: int
    mean: int
    span: int
    load: Mapping[str, float]


@attrs.frozen
class Rate:
    """The txns of one product that arrived at a proxy."""

    proxy: int
    product: str
    tries: int
    failed: int
    span: int


@attrs.frozen
class Ack:
    """A proxy has applied the message that carried `mark`, after `elapsed` tenths of a millisecond."""

    proxy: int
    mark: int
    elapsed: int


@attrs.frozen
class Malformed:
    """A line of a known kind that is ignored: its kind, and what is wrong with it."""

    kind: str
    reason: str


Message = Ping | Source | Subscribe | Load | Rate | Ack | Malformed


# The readers of field values. The text of their ValueError says what is allowed; `parse_line` puts the
# field's name in front of it.


def _integer(maximum: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,12}", text) or int(text) > maximum:
            raise ValueError(f"a whole number from 0 to {maximum}")
        return int(text)

    return read


def _number(text: str) -> float:
    if not re.fullmatch(r"[0-9]{1,15}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?", text):
        raise ValueError("a number not below 0")
    return float(text)


def _milliseconds(text: str) -> int:
    """Converts milliseconds to tenths of a millisecond."""
    value = _number(text)
    if value > MAX_REPORT_MS:
        raise ValueError(f"at most {MAX_REPORT_MS:g} ms")
    return round(value * 1000) // MICROS_PER_TENTH


def _positive_milliseconds(text: str) -> int:
    value = _milliseconds(text)
    if not value:
        raise ValueError("above 0 ms")
    return value


def _name(text: str) -> str:
    if not text:
        raise ValueError("a name that is not empty")
    return text


def _flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError("0 or 1")
    return text == "1"


def _load_values(text: str) -> Mapping[str, float]:
    pairs = [pair.partition(":") for pair in text.split(",") if pair]
    if len(pairs) > 16:
        raise ValueError("a list of at most 16 values")
    return {name: _number(value) for name, _, value in pairs}


def parse_load_report(body: bytes) -> Mapping[str, float]:
    """Parses the body of a probe's response, `name=value` separated by commas; empty if it is malformed."""
    try:
        pairs = [pair.partition("=") for pair in body.decode("ascii").strip().split(",") if pair]
        return {name: _number(value) for name, _, value in pairs[:16]}
    except ValueError:
        return {}


_try_count = _integer(10_000_000)  # per report: a thousand times what a busy worker handles
_proxy_or_mark = _integer(MARK_MODULUS - 1)
# For each kind its message class, and for each field its name on the wire, its reader and its default value.
MESSAGE_FORMATS: Mapping[
    bytes, tuple[Callable[..., Message], tuple[tuple[str, Callable[[str], Any], Any], ...]]
] = {
    b"PING": (Ping, ()),
    b"SOURCE": (Source, (("zone", _name, attrs.NOTHING),)),
    b"SUBSCRIBE": (
        Subscribe,
        (
            ("proxy", _proxy_or_mark, attrs.NOTHING),
            ("zone", _name, attrs.NOTHING),
            ("weight", _number, attrs.NOTHING),
            ("fresh", _flag, False),
        ),
    ),
    b"LOAD": (
        Load,
        (
            ("zone", _name, attrs.NOTHING),
            ("server", _name, attrs.NOTHING),
            ("tries", _try_count, attrs.NOTHING),
            ("failed", _try_count, attrs.NOTHING),
            ("mean_ms", _milliseconds, attrs.NOTHING),
            ("span_ms", _positive_milliseconds, attrs.NOTHING),
            ("load", _load_values, {}),
        ),
    ),
    b"RATE": (
        Rate,
        (
            ("proxy", _proxy_or_mark, attrs.NOTHING),
            ("class", _name, attrs.NOTHING),
            ("tries", _try_count, attrs.NOTHING),
            ("failed", _try_count, attrs.NOTHING),
            ("span_ms", _positive_milliseconds, attrs.NOTHING),
        ),
    ),
    b"ACK": (
        Ack,
        (
            ("proxy", _proxy_or_mark, attrs.NOTHING),
            ("mark", _proxy_or_mark, attrs.NOTHING),
            ("took_ms", _milliseconds, attrs.NOTHING),
        ),
    ),
}
# Kinds that only a manager sends. Received by a manager, they are parsed and ignored.
MANAGER_KINDS = frozenset({b"CONFIG", b"PONG", b"NACK"})
MAX_KIND_BYTES = max(map(len, (*MESSAGE_FORMATS, *MANAGER_KINDS)))
NON_PRINTABLE_BYTE = re.compile(rb"[^\x20-\x7e]")


def parse_line(line: bytes) -> Message:
    """Parses one line without its ending. Raises ProtocolError if it isn't ASCII text of a known kind."""
    kind, *pairs = line.split(b" ")
    if NON_PRINTABLE_BYTE.search(line):
        raise ProtocolError("bytes that are not printable ASCII")
    if kind in MANAGER_KINDS:
        return Malformed(kind.decode(), "only a manager sends this kind of message")
    if kind not in MESSAGE_FORMATS:
        raise ProtocolError("unknown kind of message")
    build, fields = MESSAGE_FORMATS[kind]
    given = dict[str, str]()
    for pair in filter(None, pairs):
        name, equals, value = pair.decode().partition("=")
        if not equals or name in given:
            return Malformed(kind.decode(), "a field without a value, or given twice")
        given[name] = value
    values = []
    for name, read, default in fields:
        try:
            values.append(read(given[name]) if name in given else default)
        except ValueError as allowed:
            return Malformed(kind.decode(), f"{name} should be {allowed}")
        if values[-1] is attrs.NOTHING:
            return Malformed(kind.decode(), f"{name} is missing")
    message = build(*values)
    # `RATE` isn't checked: a txn that arrived in one span may fail in the next, so `failed` can exceed
    # `tries` even on a day without faults.
    if isinstance(message, Load) and message.failed > message.tries:
        return Malformed(kind.decode(), "failed is above tries")
    return message


class LineReader:
    """Splits a byte stream into lines. Its only state is the incomplete last line.

    max_line_bytes: a longer line is a protocol error.
    """

    def __init__(self, max_line_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_line_bytes, self._rest = max_line_bytes, b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that `data` completes. Raises ProtocolError if the remainder can't become a valid
        line; the complete lines before it are the exception's second argument."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        complete = [line.removesuffix(b"\r") for line in lines]
        # The incomplete line is checked at once, by length, bytes and kind: its end may never come.
        head = self._rest.removesuffix(b"\r")
        kind = head[: MAX_KIND_BYTES + 1].split(b" ")[0]
        known = any(
            valid.startswith(kind) if b" " not in head[: MAX_KIND_BYTES + 1] else valid == kind
            for valid in (*MESSAGE_FORMATS, *MANAGER_KINDS)
        )
        if len(head) > self.max_line_bytes or NON_PRINTABLE_BYTE.search(head) or (head and not known):
            raise ProtocolError("an incomplete line that can't become a valid message", complete)
        if any(len(line) > self.max_line_bytes for line in complete):
            raise ProtocolError("a message that is too long", [])
        return complete


def format_number(value: float) -> str:
    """Formats a number for the wire: no exponent, no trailing zeros."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


def format_config(
    products: Sequence[str] = (),
    replace: bool = False,
    rows: Sequence[tuple[str, float]] = (),
    gate: tuple[float, int] | None = None,
    drop: Sequence[str] = (),
    undrop: Sequence[str] = (),
    stamp: int | None = None,
) -> str:
    """Formats one `CONFIG` line without its ending. `gate`: the admission level and the retry mode."""
    fields = ["CONFIG"]
    if products:
        fields.append("for=" + "+".join(products))
    if replace:
        fields.append("replace=1")
    if rows:
        fields.append("rows=" + ",".join(f"{name}:{format_number(weight)}" for name, weight in rows))
    if gate is not None:
        fields.append(f"gate={format_number(gate[0])} again={gate[1]}")
    if drop:
        fields.append("drop=" + ",".join(drop))
    if undrop:
        fields.append("undrop=" + ",".join(undrop))
    if stamp is not None:
        fields.append(f"stamp={stamp}")
    return " ".join(fields)


def join_parts(parts: Sequence[str]) -> bytes:
    """Joins the parts of one message; each but the last says that another one follows."""
    return b"".join(
        part.encode() + (b" part=1" if number < len(parts) else b"") + LINE_ENDING
        for number, part in enumerate(parts, 1)
    )
