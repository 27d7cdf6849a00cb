"""The line-based configuration syntax: tokens, comments, and parsers for values with units. Free of I/O.

Each line holds one directive. A section starts with its keyword at the beginning of a line. A `#` outside
quotes starts a comment; double quotes keep blanks in a word; a backslash escapes the next character.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from ipaddress import ip_network
from typing import Any

import attrs

PER_MS = 10  # durations are kept as whole tenths of a millisecond
UNIT_FACTORS = {"us": 0.01, "ms": PER_MS, "s": 1000 * PER_MS, "m": 60_000 * PER_MS, "h": 3_600_000 * PER_MS}
MAX_LINE_LENGTH = 4096  # characters: ten times the longest sensible directive
MAX_LINES = 200_000  # 100 directives for each of 2,000 gateways and collectors


class InvalidValue(ValueError):
    """A value that can't be parsed. The text says what is wrong and what is allowed."""


@attrs.frozen(order=True)
class Diagnostic:
    """One error of a configuration, printed as `file:line: message`. The message says what is allowed."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class InvalidConfig(Exception):
    """A configuration that can't be used, with all its errors in the order of their lines."""

    def __init__(self, errors: Sequence[Diagnostic]) -> None:
        super().__init__("\n".join(map(str, sorted(errors))))
        self.errors = sorted(errors)


@attrs.frozen
class Line:
    """A line of a configuration file: its number and its words."""

    number: int
    words: tuple[str, ...]


def tokenize(text: str) -> tuple[str, ...]:
    """Splits a line into words and drops its comment. Raises InvalidValue for an unclosed quote.

    >>> tokenize('path "/tmp/a b" # where')
    ('path', '/tmp/a b')
    """
    found, word, in_word, quoted, position = list[str](), list[str](), False, False, 0
    while position < len(text):
        char = text[position]
        if char == "\\" and position + 1 < len(text):
            position += 1
            word.append(text[position])
            in_word = True
        elif char == '"':
            quoted, in_word = not quoted, True
        elif quoted or not (char.isspace() or char == "#"):
            word.append(char)
            in_word = True
        else:
            if in_word:
                found.append("".join(word))
                word, in_word = [], False
            if char == "#":
                break
        position += 1
    if quoted:
        raise InvalidValue('a quote (") is not closed on this line')
    if in_word:
        found.append("".join(word))
    return tuple(found)


def read_lines(text: str, file: str, errors: list[Diagnostic]) -> Iterator[Line]:
    """Yields the lines that hold words. Appends a diagnostic to `errors` for each line that can't be read."""
    for line_number, raw in enumerate(text.splitlines(), 1):
        if line_number > MAX_LINES:
            errors.append(
                Diagnostic(file, line_number, f"the file is too long; {MAX_LINES} lines are allowed")
            )
            return
        if len(raw) > MAX_LINE_LENGTH:
            errors.append(
                Diagnostic(
                    file,
                    line_number,
                    f"the line has {len(raw)} characters; at most {MAX_LINE_LENGTH} are allowed",
                )
            )
            continue
        if not raw.isprintable() and not raw.replace("\t", " ").isprintable():
            errors.append(
                Diagnostic(
                    file, line_number, "the line holds control characters; text, blanks and tabs are allowed"
                )
            )
            continue
        try:
            if found := tokenize(raw):
                yield Line(line_number, found)
        except InvalidValue as error:
            errors.append(Diagnostic(file, line_number, str(error)))


# Value parsers. Each takes a word and returns the value, or raises InvalidValue saying what is allowed.


def name(word: str) -> str:
    """Parses a name of a section or of something it refers to."""
    if not re.fullmatch(r"[A-Za-z0-9_.:\-]{1,64}", word):
        raise InvalidValue(
            f"'{word[:80]}' is not a valid name; 1 to 64 letters, digits and _ . : - are allowed"
        )
    return word


def non_empty(word: str) -> str:
    if not word:
        raise InvalidValue("an empty word; text is required")
    return word


def duration(word: str) -> int:
    """Parses a duration with its unit (us, ms, s, m, h). Returns tenths of a millisecond."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)", word)
    if not match or float(match[1]) * UNIT_FACTORS[match[2]] > 24 * UNIT_FACTORS["h"]:
        raise InvalidValue(
            f"'{word}' is not a valid time; a number and its unit (us, ms, s, m, h) up to 24h is allowed"
        )
    return round(float(match[1]) * UNIT_FACTORS[match[2]])


def integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Returns a parser for an integer within the limits."""

    def read(word: str) -> int:
        if not re.fullmatch(r"\d{1,12}", word) or not minimum <= int(word) <= maximum:
            raise InvalidValue(
                f"'{word}' is out of range; a whole number from {minimum} to {maximum} is allowed"
            )
        return int(word)

    return read


def number(minimum: float, maximum: float, suffix: str = "") -> Callable[[str], float]:
    """Returns a parser for a decimal number within the limits, with an optional suffix such as `/s`."""

    def read(word: str) -> float:
        digits = word.removesuffix(suffix) if suffix else word
        if not re.fullmatch(r"\d{1,9}(\.\d{1,9})?", digits) or not minimum <= float(digits) <= maximum:
            raise InvalidValue(
                f"'{word}' is out of range; a number from {minimum:g} to {maximum:g}"
                + (f", followed by '{suffix}'," if suffix else "")
                + " is allowed"
            )
        return float(digits)

    return read


def percentage(word: str) -> float:
    """Parses a percentage. Returns a fraction of 1."""
    match = re.fullmatch(r"(\d{1,3}(?:\.\d+)?)%", word)
    if not match or not 0 <= float(match[1]) <= 100:
        raise InvalidValue(f"'{word}' is not a valid percentage; 0% to 100% is allowed")
    return float(match[1]) / 100


def one_of(choices: Mapping[str, Any]) -> Callable[[str], Any]:
    """Returns a parser for one of the words of `choices`, which maps each to its value."""

    def read(word: str) -> Any:
        if word not in choices:
            raise InvalidValue(f"'{word}' is unknown; {', '.join(choices)} are allowed")
        return choices[word]

    return read


@attrs.frozen
class Address:
    """The address of a socket: the path of a UNIX socket, or a host and port."""

    path: str = ""
    host: str = ""
    port: int = 0

    def __str__(self) -> str:
        return f"unix@{self.path}" if self.path else f"{self.host}:{self.port}"


def address(word: str) -> Address:
    """Parses `unix@PATH` or `ADDRESS:PORT`, with an IPv4 or a bracketed IPv6 address."""
    if word.startswith("unix@") and 0 < len(word.removeprefix("unix@").encode()) <= 100:
        return Address(path=word.removeprefix("unix@"))
    return inet(word)


def host(word: str) -> str:
    """Parses an IPv4 or IPv6 address without a port."""
    if re.fullmatch(r"\d{1,3}(?:\.\d{1,3}){3}|[0-9a-fA-F:]{2,39}", word):
        return word
    raise InvalidValue(f"'{word}' is no address; an IPv4 or IPv6 address without a port is allowed")


def network(word: str) -> str:
    """Parses a network, as ADDRESS/LENGTH."""
    try:
        return str(ip_network(word))
    except ValueError:
        raise InvalidValue(
            f"'{word[:80]}' is no network; ADDRESS/LENGTH without host bits is allowed"
        ) from None


def domain(word: str) -> str:
    """Parses a domain name. Returns it in lower case and without a trailing dot."""
    lowered = word.lower().removesuffix(".")
    if len(lowered) <= 200 and all(
        re.fullmatch(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9])?", x) for x in lowered.split(".")
    ):
        return lowered
    raise InvalidValue(
        f"'{word[:80]}' is not a valid domain name; labels of letters, digits and - are allowed"
    )


def name_server(word: str) -> tuple[str, str]:
    """Parses `NAME=ADDRESS`."""
    host_name, separator, host_address = word.partition("=")
    if not separator:
        raise InvalidValue(f"'{word[:80]}' is not a valid name server; NAME=ADDRESS is allowed")
    return domain(host_name), host(host_address)


def token(word: str) -> bytes:
    """Parses a secret of 8 to 64 bytes in hexadecimal. The error text never repeats it."""
    if re.fullmatch(r"(?:[0-9a-fA-F]{2}){8,64}", word):
        return bytes.fromhex(word)
    raise InvalidValue("not a valid token; 16 to 128 hexadecimal digits are allowed")


def inet(word: str) -> Address:
    """Parses `ADDRESS:PORT`, with an IPv4 or a bracketed IPv6 address."""
    match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):(\d{1,5})", word)
    if match and 0 < int(match[2]) < 65_536 and all(int(b) < 256 for b in match[1].split(".") if b.isdigit()):
        return Address(host=match[1].strip("[]"), port=int(match[2]))
    raise InvalidValue(
        f"'{word}' is no address; ADDRESS:PORT, or unix@PATH of up to 100 bytes where a UNIX "
        "socket can be used, is allowed"
    )
