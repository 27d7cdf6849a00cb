"""The socket's grammar, free of I/O: commands as a server reads them, answers as a client reads them.

Source: HAProxy's management guide, 9.3 "Unix Socket commands". A line holds one or more commands joined by
`;`; a backslash takes the special meaning from the byte behind it; a last word that starts with `<<` opens a
payload, which an empty line (or the pattern that stands behind `<<`) ends. Every answer ends with an empty
line; in interactive mode a prompt follows it. Both parsers are incremental: however the bytes are cut, the
result is the same, and what they keep is bounded.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from enum import Enum

import attrs

LINE_MOST = 16_384  # bytes of a line: the guide's default buffer
PAYLOAD_MOST = 131_072  # bytes of a payload: 4,000 map entries of 32 bytes, far above any fleet's products
ANSWER_MOST = 8_388_608  # bytes of an answer: 1,000 servers x 10 backends x 600 bytes of statistics and some
PROMPT, MORE = b"> ", b"+ "
SPECIAL = re.compile(r"[ \t;\\]")


@attrs.frozen
class Command:
    """One command: its words, and the lines of its payload if it had one."""

    words: tuple[str, ...]
    payload: tuple[str, ...] | None = None


@attrs.frozen
class Request:
    """All commands of one line, in order."""

    commands: tuple[Command, ...]


@attrs.frozen
class Overlong:
    """A line or payload over its bound. What belongs to it is passed over; the next line is read as usual."""

    what: str
    most: int


class State(Enum):
    LINE = "between commands"
    PAYLOAD = "inside a payload"
    SKIP_LINE = "passing over the rest of an overlong line"
    SKIP_PAYLOAD = "passing over the rest of an overlong payload"


class Sign(Enum):
    TEXT = "a line of text"
    EMPTY = "a line that ends a payload"
    OPENS = "a line that opens a payload"
    TOO_LONG = "more bytes than the bound"


def split_commands(text: str) -> tuple[tuple[str, ...], ...]:
    """The commands of a line, each as its words. Empty commands are left out.

    >>> split(r"set var proc.a str(x\\ y);show info")
    (('set', 'var', 'proc.a', 'str(x y)'), ('show', 'info'))
    """
    commands: list[tuple[str, ...]] = []
    words: list[str] = []
    word: list[str] = []
    started = False
    place = 0
    while place < len(text):
        char = text[place]
        if char == "\\" and place + 1 < len(text):
            place += 1
            word.append(text[place])
            started = True
        elif char in " \t;":
            if started:
                words.append("".join(word))
            word.clear()
            started = False
            if char == ";":
                if words:
                    commands.append(tuple(words))
                words.clear()
        else:
            word.append(char)
            started = True
        place += 1
    if started:
        words.append("".join(word))
    if words:
        commands.append(tuple(words))
    return tuple(commands)


def escape(word: str) -> str:
    """A word as it stands in a line: blanks, semicolons and backslashes keep their face value.

    Raises ValueError for what no line can carry: the empty word, and line breaks.
    """
    if not word or "\n" in word or "\r" in word:
        raise ValueError(f"no word of a command: {word!r}")
    return SPECIAL.sub(r"\\\g<0>", word) if SPECIAL.search(word) else word


def encode_commands(commands: Iterable[Command]) -> bytes:
    """One line that holds the commands; only the last may have a payload, as its lines follow.

    Raises ValueError if the line would be over its bound or a payload could not be told from its end.
    """
    commands = list(commands)
    if any(command.payload is not None for command in commands[:-1]):
        raise ValueError("only the last command of a line can have a payload")
    line = ";".join(" ".join(escape(word) for word in command.words) for command in commands)
    payload = commands[-1].payload if commands else None
    if payload is not None:
        if any(not row or "\n" in row or "\r" in row for row in payload):
            raise ValueError("a payload holds no empty line and no line break")
        line = "\n".join((line + " <<", *payload, ""))
    data = line.encode() + b"\n"
    if data.index(b"\n") >= LINE_MOST:
        raise ValueError(f"a line holds at most {LINE_MOST} bytes")
    return data


class CommandParser:
    """Reads what a client sends. `feed` returns the requests that the bytes complete."""

    def __init__(self, line_most: int = LINE_MOST, payload_most: int = PAYLOAD_MOST) -> None:
        self._line_most, self._payload_most = line_most, payload_most
        self._state, self._rest, self._found = State.LINE, b"", list[Request | Overlong]()
        self._open: tuple[tuple[str, ...], ...] = ()
        self._rows, self._size, self._end = list[str](), 0, ""

    @property
    def in_payload(self) -> bool:
        return self._state in (State.PAYLOAD, State.SKIP_PAYLOAD)

    def feed(self, data: bytes) -> list[Request | Overlong]:
        """The requests, and the faults, that these bytes complete, in the order of the input."""
        self._found = []
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            self._line(line)
        if len(self._rest) >= self._line_most:
            self._turn(Sign.TOO_LONG, "")
            self._rest = b"-" * (self._line_most - 1)  # a placeholder: only that it is overlong counts
        return self._found

    def _line(self, raw: bytes) -> None:
        text = raw.removesuffix(b"\r").decode(errors="replace")
        if len(raw) >= self._line_most:
            self._turn(Sign.TOO_LONG, "")
            return self._turn(Sign.TEXT, "")
        if self.in_payload:
            return self._turn(Sign.EMPTY if text == self._end else Sign.TEXT, text)
        last = text.rsplit(" ", 1)[-1] if " " in text else ""
        self._turn(Sign.OPENS if last.startswith("<<") else Sign.TEXT, text)

    def _turn(self, sign: Sign, text: str) -> None:
        self._state, effect = COMMANDS[self._state, sign]
        effect(self, text)

    def _nothing(self, text: str) -> None:
        pass

    def _request(self, text: str) -> None:
        self._found.append(Request(tuple(Command(words) for words in split_commands(text))))

    def _begin(self, text: str) -> None:
        line, self._end = text.rsplit(" ", 1)[0], text.rsplit("<<", 1)[1]
        self._open, self._rows, self._size = split_commands(line), [], 0

    def _add(self, text: str) -> None:
        self._size += len(text) + 1
        if self._size > self._payload_most:
            self._state = State.SKIP_PAYLOAD
            return self._payload_too_long(text)
        self._rows.append(text)

    def _finish(self, text: str) -> None:
        commands = [Command(words) for words in self._open]
        if commands:
            commands[-1] = Command(commands[-1].words, tuple(self._rows))
        self._found.append(Request(tuple(commands)))
        self._rows = []

    def _line_too_long(self, text: str) -> None:
        self._found.append(Overlong("line", self._line_most))

    def _payload_too_long(self, text: str) -> None:
        self._rows = []
        self._found.append(Overlong("payload", self._payload_most))


COMMANDS: dict[tuple[State, Sign], tuple[State, Callable[[CommandParser, str], None]]] = {
    (State.LINE, Sign.TEXT): (State.LINE, CommandParser._request),
    (State.LINE, Sign.EMPTY): (State.LINE, CommandParser._request),
    (State.LINE, Sign.OPENS): (State.PAYLOAD, CommandParser._begin),
    (State.LINE, Sign.TOO_LONG): (State.SKIP_LINE, CommandParser._line_too_long),
    (State.SKIP_LINE, Sign.TEXT): (State.LINE, CommandParser._nothing),
    (State.SKIP_LINE, Sign.OPENS): (State.LINE, CommandParser._nothing),
    (State.SKIP_LINE, Sign.EMPTY): (State.LINE, CommandParser._nothing),
    (State.SKIP_LINE, Sign.TOO_LONG): (State.SKIP_LINE, CommandParser._nothing),
    (State.PAYLOAD, Sign.TEXT): (State.PAYLOAD, CommandParser._add),
    (State.PAYLOAD, Sign.OPENS): (State.PAYLOAD, CommandParser._add),
    (State.PAYLOAD, Sign.EMPTY): (State.LINE, CommandParser._finish),
    (State.PAYLOAD, Sign.TOO_LONG): (State.SKIP_PAYLOAD, CommandParser._payload_too_long),
    (State.SKIP_PAYLOAD, Sign.TEXT): (State.SKIP_PAYLOAD, CommandParser._nothing),
    (State.SKIP_PAYLOAD, Sign.OPENS): (State.SKIP_PAYLOAD, CommandParser._nothing),
    (State.SKIP_PAYLOAD, Sign.EMPTY): (State.LINE, CommandParser._nothing),
    (State.SKIP_PAYLOAD, Sign.TOO_LONG): (State.SKIP_PAYLOAD, CommandParser._nothing),
}


class AnswerTooLong(Exception):
    """An answer over its bound: nothing behind it can be trusted, the connection has to go."""


class AnswerParser:
    """Reads what a server in interactive mode sends: answers, each ended by an empty line, and prompts.

    `expect` tells how many payload lines a command had: so many times a server that prompts writes `+ `.
    """

    def __init__(self, most: int = ANSWER_MOST) -> None:
        self._most, self._rest, self._lines, self._size = most, b"", list[str](), 0
        self._more = list[int]()
        self._fresh = True

    def expect(self, payload_lines: int = 0) -> None:
        self._more.append(payload_lines)

    def feed(self, data: bytes) -> list[str]:
        """The answers that these bytes complete; each as its lines, every one ended by a line break.

        Raises AnswerTooLong once an answer exceeds its bound.
        """
        found = list[str]()
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        for raw in lines:
            if self._fresh:
                raw = self._unprompted(raw)
            self._fresh = False
            if raw in (b"", b"\r"):
                found.append("".join(self._lines))
                self._lines, self._size, self._fresh = [], 0, True
                if self._more:
                    self._more.pop(0)
                continue
            self._size += len(raw) + 1
            self._lines.append(raw.removesuffix(b"\r").decode(errors="replace") + "\n")
            if self._size > self._most:
                break
        if self._size + len(self._rest) > self._most:
            self._lines, self._rest = [], b""
            raise AnswerTooLong(f"an answer of more than {self._most} bytes")
        return found

    def _unprompted(self, raw: bytes) -> bytes:
        raw = raw.removeprefix(PROMPT)
        for _ in range((self._more[0] if self._more else 0) + 1):
            raw = raw.removeprefix(MORE)
        return raw


def parse_table(answer: str, separator: str | None = ",") -> list[dict[str, str]]:
    """The rows of `show stat` (separator `,`) or `show servers state` (None: blanks), by column name.

    The header is the first line that starts with `# `; rows shorter than it lack their last columns, as
    columns are only ever added at the end. An answer without a header has no rows.
    """
    lines = answer.splitlines()
    for place, line in enumerate(lines):
        if line.startswith("# "):
            names = line[2:].rstrip(separator or " ").split(separator)
            return [dict(zip(names, row.split(separator), strict=False)) for row in lines[place + 1 :] if row]
    return []


def format_csv(names: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """A table in the manner of `show stat`: `# ` and the names, a comma behind each value."""
    header = "# " + ",".join(names) + ",\n"
    return header + "".join(",".join(map(str, row)) + ",\n" for row in rows)


def parse_fields(answer: str) -> dict[str, str]:
    """The `Name: value` lines of `show info`."""
    pairs = (line.split(":", 1) for line in answer.splitlines() if ":" in line)
    return {name.strip(): value.strip() for name, value in pairs}
