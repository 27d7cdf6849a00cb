"""The platform's lines (its PROTOCOL page): bytes to typed messages and back. Free of I/O.

A line is `KIND name=value ...`, ended by CRLF. Times on the wire are milliseconds; inside, tenths of one.
What can't be read raises `Unreadable`; a readable line with a bad field becomes `Spoilt`, so that it can be
dropped alone. The outside words are kept in this file.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs

from rushladder.conf.startup_settings import MICROS_PER_TENTH

ENDING = b"\r\n"
MOST = 1 << 20  # bytes of a message: the protocol's own limit
PARTS = 64  # parts of a message: likewise
LONGEST = 600_000.0  # ms that a report may speak of: ten minutes, far beyond any gathering
PONG, NACK = b"PONG\r\n", b"NACK\r\n"
MARKS = 65_536


class Unreadable(Exception):
    """Nothing more can be read from this sender."""


@attrs.frozen
class Ping:
    pass


@attrs.frozen
class Source:
    """A collector names its zone."""

    zone: str


@attrs.frozen
class Subscribe:
    """A proxy joins; `weight`: roughly its txns a second; `fresh`: it holds no table that was ordered."""

    proxy: int
    zone: str
    weight: float
    fresh: bool


@attrs.frozen
class Load:
    """What the proxies of a zone met at a worker. Times: tenths of a millisecond."""

    zone: str
    server: str
    tries: int
    failed: int
    mean: int
    span: int
    load: Mapping[str, float]


@attrs.frozen
class Rate:
    """What came to a proxy of one product."""

    proxy: int
    product: str
    tries: int
    failed: int
    span: int


@attrs.frozen
class Ack:
    proxy: int
    mark: int
    took: int


@attrs.frozen
class Spoilt:
    """A readable line that says nothing sure: its kind, and what is wrong with it."""

    kind: str
    why: str


Message = Ping | Source | Subscribe | Load | Rate | Ack | Spoilt


def _whole(most: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,12}", text) or int(text) > most:
            raise ValueError(f"a whole number up to {most}")
        return int(text)

    return read


def _number(text: str) -> float:
    if not re.fullmatch(r"[0-9]{1,15}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?", text):
        raise ValueError("a number from 0")
    return float(text)


def _span(text: str) -> int:
    """Milliseconds in, tenths of one out."""
    value = _number(text)
    if value > LONGEST:
        raise ValueError(f"up to {LONGEST:g} ms")
    return round(value * 1000) // MICROS_PER_TENTH


def _covered(text: str) -> int:
    value = _span(text)
    if not value:
        raise ValueError("above 0")
    return value


def _name(text: str) -> str:
    if not text:
        raise ValueError("a name")
    return text


def _yes(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError("0 or 1")
    return text == "1"


def _load(text: str) -> Mapping[str, float]:
    pairs = [pair.partition(":") for pair in text.split(",") if pair]
    if len(pairs) > 16:
        raise ValueError("up to 16 values")
    return {name: _number(value) for name, _, value in pairs}


def load_report(body: bytes) -> Mapping[str, float]:
    """The body of a probe's answer, `name=value` by commas; empty if it says nothing sure."""
    try:
        pairs = [pair.partition("=") for pair in body.decode("ascii").strip().split(",") if pair]
        return {name: _number(value) for name, _, value in pairs[:16]}
    except ValueError:
        return {}


MANY = _whole(10_000_000)  # tries in one report: a thousand times what a busy worker meets
NUMBER = _whole(MARKS - 1)
# Kind: the message, and for each of its fields the word's name, the reader, and the value when it is absent.
KINDS: Mapping[bytes, tuple[Callable[..., Message], tuple[tuple[str, Callable[[str], Any], Any], ...]]] = {
    b"PING": (Ping, ()),
    b"SOURCE": (Source, (("zone", _name, attrs.NOTHING),)),
    b"SUBSCRIBE": (
        Subscribe,
        (
            ("proxy", NUMBER, attrs.NOTHING),
            ("zone", _name, attrs.NOTHING),
            ("weight", _number, attrs.NOTHING),
            ("fresh", _yes, False),
        ),
    ),
    b"LOAD": (
        Load,
        (
            ("zone", _name, attrs.NOTHING),
            ("server", _name, attrs.NOTHING),
            ("tries", MANY, attrs.NOTHING),
            ("failed", MANY, attrs.NOTHING),
            ("mean_ms", _span, attrs.NOTHING),
            ("span_ms", _covered, attrs.NOTHING),
            ("load", _load, {}),
        ),
    ),
    b"RATE": (
        Rate,
        (
            ("proxy", NUMBER, attrs.NOTHING),
            ("class", _name, attrs.NOTHING),
            ("tries", MANY, attrs.NOTHING),
            ("failed", MANY, attrs.NOTHING),
            ("span_ms", _covered, attrs.NOTHING),
        ),
    ),
    b"ACK": (
        Ack,
        (
            ("proxy", NUMBER, attrs.NOTHING),
            ("mark", NUMBER, attrs.NOTHING),
            ("took_ms", _span, attrs.NOTHING),
        ),
    ),
}
# Kinds of the protocol that are a manager's to say; heard from others they are readable and of no use.
OURS = frozenset({b"CONFIG", b"PONG", b"NACK"})
LONGEST_KIND = max(map(len, (*KINDS, *OURS)))
ODD = re.compile(rb"[^\x20-\x7e]")


def read_line(line: bytes) -> Message:
    """One line without its ending. Raises Unreadable if it has no known kind or isn't plain text."""
    kind, *words = line.split(b" ")
    if ODD.search(line):
        raise Unreadable("bytes that are no text")
    if kind in OURS:
        return Spoilt(kind.decode(), "not for a manager")
    if kind not in KINDS:
        raise Unreadable("an unknown kind")
    build, fields = KINDS[kind]
    given = dict[str, str]()
    for word in filter(None, words):
        name, equals, value = word.decode().partition("=")
        if not equals or name in given:
            return Spoilt(kind.decode(), "a word without a value, or twice")
        given[name] = value
    found = []
    for name, read, absent in fields:
        try:
            found.append(read(given[name]) if name in given else absent)
        except ValueError as wanted:
            return Spoilt(kind.decode(), f"{name} should be {wanted}")
        if found[-1] is attrs.NOTHING:
            return Spoilt(kind.decode(), f"{name} is missing")
    message = build(*found)
    # Of `RATE` this may be: what came in one span may fail in the next. Seen on a calm day, where all is
    # good.
    if isinstance(message, Load) and message.failed > message.tries:
        return Spoilt(kind.decode(), "failed is above tries")
    return message


class Reader:
    """Bytes in pieces of any size to lines. Its only state is the unread rest.

    most: bytes of a line beyond which nothing more is read.
    """

    def __init__(self, most: int = MOST) -> None:
        self.most, self._rest = most, b""

    def feed(self, data: bytes) -> list[bytes]:
        """The whole lines that `data` ends. Raises Unreadable when what is left can't become a line; the
        lines before it are then in the exception's second argument."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        found = [line.removesuffix(b"\r") for line in lines]
        # A rest is judged before its end comes, as some never ends: by its length, its bytes and its kind.
        head = self._rest.removesuffix(b"\r")
        kind = head[: LONGEST_KIND + 1].split(b" ")[0]
        known = any(
            word.startswith(kind) if b" " not in head[: LONGEST_KIND + 1] else word == kind
            for word in (*KINDS, *OURS)
        )
        if len(head) > self.most or ODD.search(head) or (head and not known):
            raise Unreadable("a message that can't end well", found)
        if any(len(line) > self.most for line in found):
            raise Unreadable("a message that is too long", [])
        return found


def figure(value: float) -> str:
    """A number as the platform reads it: no exponent, no digits without meaning."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


def config(
    products: Sequence[str] = (),
    replace: bool = False,
    rows: Sequence[tuple[str, float]] = (),
    gate: tuple[float, int] | None = None,
    drop: Sequence[str] = (),
    undrop: Sequence[str] = (),
    stamp: int | None = None,
) -> str:
    """One part of an order, without its ending. `gate`: the level and the way of trying again."""
    words = ["CONFIG"]
    if products:
        words.append("for=" + "+".join(products))
    if replace:
        words.append("replace=1")
    if rows:
        words.append("rows=" + ",".join(f"{name}:{figure(weight)}" for name, weight in rows))
    if gate is not None:
        words.append(f"gate={figure(gate[0])} again={gate[1]}")
    if drop:
        words.append("drop=" + ",".join(drop))
    if undrop:
        words.append("undrop=" + ",".join(undrop))
    if stamp is not None:
        words.append(f"stamp={stamp}")
    return " ".join(words)


def whole(parts: Sequence[str]) -> bytes:
    """The parts of one message, each but the last saying that another follows."""
    return b"".join(
        part.encode() + (b" part=1" if place < len(parts) else b"") + ENDING
        for place, part in enumerate(parts, 1)
    )
