"""The line-based form: sections, directives, quotes, comments, and values with units. Free of I/O.

One directive a line; a section is opened by its keyword at the start of a line, as in classic daemons. A `#`
outside quotes opens a comment; double quotes hold blanks; a backslash takes the meaning from the next
character.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from ipaddress import ip_network
from typing import Any

import attrs

PER_MS = 10  # times inside are whole tenths of a millisecond
UNITS = {"us": 0.01, "ms": PER_MS, "s": 1000 * PER_MS, "m": 60_000 * PER_MS, "h": 3_600_000 * PER_MS}
LINE_MOST = 4096  # characters: ten times the longest directive that makes sense
LINES_MOST = 200_000  # 100 directives for each of 2,000 gateways and collectors


class InvalidValue(ValueError):
    """What was wrong with a value, and what is allowed."""


@attrs.frozen(order=True)
class Diagnostic:
    """One fault of a configuration, printed as `file:line: what, and what is allowed`."""

    file: str
    line: int
    what: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.what}"


class InvalidConfig(Exception):
    """A configuration that can't be used, with all its faults in the order of their lines."""

    def __init__(self, faults: Sequence[Diagnostic]) -> None:
        super().__init__("\n".join(map(str, sorted(faults))))
        self.errors = sorted(faults)


@attrs.frozen
class Line:
    number: int
    words: tuple[str, ...]


def tokenize(text: str) -> tuple[str, ...]:
    """The words of one line. Raises Unreadable for a quote that does not end.

    >>> words('path "/tmp/a b" # where')
    ('path', '/tmp/a b')
    """
    found, word, started, quoted, place = list[str](), list[str](), False, False, 0
    while place < len(text):
        char = text[place]
        if char == "\\" and place + 1 < len(text):
            place += 1
            word.append(text[place])
            started = True
        elif char == '"':
            quoted, started = not quoted, True
        elif quoted or not (char.isspace() or char == "#"):
            word.append(char)
            started = True
        else:
            if started:
                found.append("".join(word))
                word, started = [], False
            if char == "#":
                break
        place += 1
    if quoted:
        raise InvalidValue('a quote (") is opened and not closed on this line')
    if started:
        found.append("".join(word))
    return tuple(found)


def read_lines(text: str, file: str, faults: list[Diagnostic]) -> Iterator[Line]:
    for place, raw in enumerate(text.splitlines(), 1):
        if place > LINES_MOST:
            faults.append(Diagnostic(file, place, f"the file goes on; {LINES_MOST} lines are allowed"))
            return
        if len(raw) > LINE_MOST:
            faults.append(Diagnostic(file, place, f"{len(raw)} characters; a line holds at most {LINE_MOST}"))
            continue
        if not raw.isprintable() and not raw.replace("\t", " ").isprintable():
            faults.append(
                Diagnostic(file, place, "holds control characters; text, blanks and tabs are allowed")
            )
            continue
        try:
            if found := tokenize(raw):
                yield Line(place, found)
        except InvalidValue as trouble:
            faults.append(Diagnostic(file, place, str(trouble)))


# Readers of values: a word in, the value out, or Unreadable with what is allowed.


def name(word: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9_.:\-]{1,64}", word):
        raise InvalidValue(f"'{word[:80]}' is no name; 1 to 64 letters, digits and _ . : - are allowed")
    return word


def non_empty(word: str) -> str:
    if not word:
        raise InvalidValue("an empty word; text is needed")
    return word


def duration(word: str) -> int:
    """A time with its unit (us, ms, s, m, h), in tenths of a millisecond."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)", word)
    if not match or float(match[1]) * UNITS[match[2]] > 24 * UNITS["h"]:
        raise InvalidValue(
            f"'{word}' is no time; a number and its unit (us, ms, s, m, h) up to 24h is allowed"
        )
    return round(float(match[1]) * UNITS[match[2]])


def integer(least: int, most: int) -> Callable[[str], int]:
    def read(word: str) -> int:
        if not re.fullmatch(r"\d{1,12}", word) or not least <= int(word) <= most:
            raise InvalidValue(f"'{word}' is out of range; a whole number from {least} to {most} is allowed")
        return int(word)

    return read


def number(least: float, most: float, suffix: str = "") -> Callable[[str], float]:
    def read(word: str) -> float:
        bare = word.removesuffix(suffix) if suffix else word
        if not re.fullmatch(r"\d{1,9}(\.\d{1,9})?", bare) or not least <= float(bare) <= most:
            raise InvalidValue(
                f"'{word}' is out of range; a number from {least:g} to {most:g}"
                + (f", with '{suffix}' behind it," if suffix else "")
                + " is allowed"
            )
        return float(bare)

    return read


def percentage(word: str) -> float:
    """A percentage, as a part of one."""
    match = re.fullmatch(r"(\d{1,3}(?:\.\d+)?)%", word)
    if not match or not 0 <= float(match[1]) <= 100:
        raise InvalidValue(f"'{word}' is no part; 0% to 100% is allowed")
    return float(match[1]) / 100


def one_of(choices: Mapping[str, Any]) -> Callable[[str], Any]:
    def read(word: str) -> Any:
        if word not in choices:
            raise InvalidValue(f"'{word}' is unknown; {', '.join(choices)} are allowed")
        return choices[word]

    return read


@attrs.frozen
class Address:
    """Where a socket is: a path of a UNIX socket, or a loopback address and port."""

    path: str = ""
    host: str = ""
    port: int = 0

    def __str__(self) -> str:
        return f"unix@{self.path}" if self.path else f"{self.host}:{self.port}"


def address(word: str) -> Address:
    """`unix@PATH` or `ADDRESS:PORT`, IPv4 or a bracketed IPv6 address."""
    if word.startswith("unix@") and 0 < len(word.removeprefix("unix@").encode()) <= 100:
        return Address(path=word.removeprefix("unix@"))
    return inet(word)


def host(word: str) -> str:
    """An IPv4 or IPv6 address without a port."""
    if re.fullmatch(r"\d{1,3}(?:\.\d{1,3}){3}|[0-9a-fA-F:]{2,39}", word):
        return word
    raise InvalidValue(f"'{word}' is no address; an IPv4 or IPv6 address without a port is allowed")


def network(word: str) -> str:
    """A network, as ADDRESS/LENGTH."""
    try:
        return str(ip_network(word))
    except ValueError:
        raise InvalidValue(
            f"'{word[:80]}' is no network; ADDRESS/LENGTH, no bits beyond it, is allowed"
        ) from None


def domain(word: str) -> str:
    """A domain name, in lower case and without the last dot."""
    low = word.lower().removesuffix(".")
    if len(low) <= 200 and all(
        re.fullmatch(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9])?", x) for x in low.split(".")
    ):
        return low
    raise InvalidValue(f"'{word[:80]}' is no domain name; labels of letters, digits and - are allowed")


def name_server(word: str) -> tuple[str, str]:
    """`NAME=ADDRESS`."""
    title, sign, where = word.partition("=")
    if not sign:
        raise InvalidValue(f"'{word[:80]}' is no name server; NAME=ADDRESS is allowed")
    return domain(title), host(where)


def token(word: str) -> bytes:
    """A secret of 8 to 64 bytes, in hexadecimal."""
    if re.fullmatch(r"(?:[0-9a-fA-F]{2}){8,64}", word):
        return bytes.fromhex(word)
    raise InvalidValue("a token that can't be read; 16 to 128 hexadecimal digits are allowed")


def inet(word: str) -> Address:
    match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):(\d{1,5})", word)
    if match and 0 < int(match[2]) < 65_536 and all(int(b) < 256 for b in match[1].split(".") if b.isdigit()):
        return Address(host=match[1].strip("[]"), port=int(match[2]))
    raise InvalidValue(
        f"'{word}' is no address; ADDRESS:PORT, or unix@PATH of up to 100 bytes where a UNIX socket "
        "will do, is allowed"
    )
