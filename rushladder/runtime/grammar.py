"""The runtime API's line protocol, without I/O: parsers for commands and answers, and their encoders.

The protocol is that of HAProxy's management guide, 9.3 "Unix Socket commands". A line holds one or more
commands separated by `;`. A backslash escapes the next byte. A last word that starts with `<<` opens a
payload, which ends with an empty line, or with the pattern given after `<<`. Every answer ends with an empty
line, followed by a prompt in interactive mode. Both parsers are incremental: the result does not depend on
how the bytes are split, and what they buffer is bounded.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from enum import Enum

import attrs

MAX_LINE_BYTES = 16_384  # HAProxy's default buffer size
MAX_PAYLOAD_BYTES = 131_072  # 4,000 map entries of 32 bytes, far more than any fleet has products
MAX_ANSWER_BYTES = 8_388_608  # 1,000 servers x 10 backends x 600 bytes of statistics, with a margin
PROMPT, PAYLOAD_PROMPT = b"> ", b"+ "
SPECIAL = re.compile(r"[ \t;\\]")


@attrs.frozen
class Command:
    """A command: its words, and the lines of its payload if it has one."""

    words: tuple[str, ...]
    payload: tuple[str, ...] | None = None


@attrs.frozen
class Request:
    """All commands of one line, in order."""

    commands: tuple[Command, ...]


@attrs.frozen
class Overlong:
    """A line or payload over its size limit. Its bytes are skipped; the next line is read as usual."""

    what: str
    limit: int


class State(Enum):
    """Where the command parser stands in its input."""

    LINE = "between commands"
    PAYLOAD = "inside a payload"
    SKIP_LINE = "skipping the rest of an overlong line"
    SKIP_PAYLOAD = "skipping the rest of an overlong payload"


class LineKind(Enum):
    """What the command parser read: its input to the table of transitions."""

    TEXT = "a line of text"
    ENDS_PAYLOAD = "a line that ends a payload"
    OPENS_PAYLOAD = "a line that opens a payload"
    TOO_LONG = "more bytes than the limit"


def split_commands(text: str) -> tuple[tuple[str, ...], ...]:
    """Splits a line into commands, each as its words. Empty commands are left out.

    >>> split_commands(r"set var proc.a str(x\\ y);show info")
    (('set', 'var', 'proc.a', 'str(x y)'), ('show', 'info'))
    """
    commands: list[tuple[str, ...]] = []
    words: list[str] = []
    word: list[str] = []
    in_word = False
    position = 0
    while position < len(text):
        char = text[position]
        if char == "\\" and position + 1 < len(text):
            position += 1
            word.append(text[position])
            in_word = True
        elif char in " \t;":
            if in_word:
                words.append("".join(word))
            word.clear()
            in_word = False
            if char == ";":
                if words:
                    commands.append(tuple(words))
                words.clear()
        else:
            word.append(char)
            in_word = True
        position += 1
    if in_word:
        words.append("".join(word))
    if words:
        commands.append(tuple(words))
    return tuple(commands)


def escape_word(word: str) -> str:
    """Escapes blanks, semicolons and backslashes of a word for use in a line.

    Raises ValueError for what a line can't hold: the empty word and line breaks.
    """
    if not word or "\n" in word or "\r" in word:
        raise ValueError(f"a word of a command can't be empty or hold line breaks: {word!r}")
    return SPECIAL.sub(r"\\\g<0>", word) if SPECIAL.search(word) else word


def encode_commands(commands: Iterable[Command]) -> bytes:
    """Encodes commands as one line. Only the last may have a payload, as its lines follow the line.

    Raises ValueError if the line would exceed its size limit, or if a payload holds an empty line or a line
    break, which would end it early.
    """
    commands = list(commands)
    if any(command.payload is not None for command in commands[:-1]):
        raise ValueError("only the last command of a line can have a payload")
    line = ";".join(" ".join(escape_word(word) for word in command.words) for command in commands)
    payload = commands[-1].payload if commands else None
    if payload is not None:
        if any(not row or "\n" in row or "\r" in row for row in payload):
            raise ValueError("a line of a payload can't be empty or hold line breaks")
        line = "\n".join((line + " <<", *payload, ""))
    data = line.encode() + b"\n"
    if data.index(b"\n") >= MAX_LINE_BYTES:
        raise ValueError(f"a line holds at most {MAX_LINE_BYTES} bytes")
    return data


class CommandParser:
    """Parses what a client sends. `feed` returns the requests that the bytes complete."""

    def __init__(
        self, max_line_bytes: int = MAX_LINE_BYTES, max_payload_bytes: int = MAX_PAYLOAD_BYTES
    ) -> None:
        self._max_line_bytes, self._max_payload_bytes = max_line_bytes, max_payload_bytes
        self._state, self._buffer, self._requests = State.LINE, b"", list[Request | Overlong]()
        self._payload_commands: tuple[tuple[str, ...], ...] = ()
        # An incomplete payload is kept as its bytes: a list of short lines takes a dozen times that.
        self._payload, self._terminator = bytearray(), ""

    @property
    def in_payload(self) -> bool:
        """Whether the next line belongs to a payload."""
        return self._state in (State.PAYLOAD, State.SKIP_PAYLOAD)

    def feed(self, data: bytes) -> list[Request | Overlong]:
        """Returns the requests and overlong inputs that these bytes complete, in the order of the input."""
        self._requests = []
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        for line in lines:
            self._line(line)
        if len(self._buffer) >= self._max_line_bytes:
            self._advance(LineKind.TOO_LONG, "")
            # A placeholder: of an overlong line only its length matters.
            self._buffer = b"-" * (self._max_line_bytes - 1)
        return self._requests

    def _line(self, raw: bytes) -> None:
        text = raw.removesuffix(b"\r").decode(errors="replace")
        if len(raw) >= self._max_line_bytes:
            self._advance(LineKind.TOO_LONG, "")
            return self._advance(LineKind.TEXT, "")
        if self.in_payload:
            return self._advance(LineKind.ENDS_PAYLOAD if text == self._terminator else LineKind.TEXT, text)
        last = text.rsplit(" ", 1)[-1] if " " in text else ""
        self._advance(LineKind.OPENS_PAYLOAD if last.startswith("<<") else LineKind.TEXT, text)

    def _advance(self, kind: LineKind, text: str) -> None:
        self._state, action = TRANSITIONS[self._state, kind]
        action(self, text)

    def _ignore(self, text: str) -> None:
        pass

    def _add_request(self, text: str) -> None:
        self._requests.append(Request(tuple(Command(words) for words in split_commands(text))))

    def _begin_payload(self, text: str) -> None:
        line, self._terminator = text.rsplit(" ", 1)[0], text.rsplit("<<", 1)[1]
        self._payload_commands, self._payload = split_commands(line), bytearray()

    def _add_payload_line(self, text: str) -> None:
        self._payload += text.encode() + b"\n"
        if len(self._payload) > self._max_payload_bytes:
            self._state = State.SKIP_PAYLOAD
            self._payload_too_long(text)

    def _finish_payload(self, text: str) -> None:
        commands = [Command(words) for words in self._payload_commands]
        if commands:
            lines = self._payload.decode().split("\n")[:-1]
            commands[-1] = Command(commands[-1].words, tuple(lines))
        self._requests.append(Request(tuple(commands)))
        self._payload = bytearray()

    def _line_too_long(self, text: str) -> None:
        self._requests.append(Overlong("line", self._max_line_bytes))

    def _payload_too_long(self, text: str) -> None:
        self._payload = bytearray()
        self._requests.append(Overlong("payload", self._max_payload_bytes))


TRANSITIONS: dict[tuple[State, LineKind], tuple[State, Callable[[CommandParser, str], None]]] = {
    (State.LINE, LineKind.TEXT): (State.LINE, CommandParser._add_request),
    (State.LINE, LineKind.ENDS_PAYLOAD): (State.LINE, CommandParser._add_request),
    (State.LINE, LineKind.OPENS_PAYLOAD): (State.PAYLOAD, CommandParser._begin_payload),
    (State.LINE, LineKind.TOO_LONG): (State.SKIP_LINE, CommandParser._line_too_long),
    (State.SKIP_LINE, LineKind.TEXT): (State.LINE, CommandParser._ignore),
    (State.SKIP_LINE, LineKind.OPENS_PAYLOAD): (State.LINE, CommandParser._ignore),
    (State.SKIP_LINE, LineKind.ENDS_PAYLOAD): (State.LINE, CommandParser._ignore),
    (State.SKIP_LINE, LineKind.TOO_LONG): (State.SKIP_LINE, CommandParser._ignore),
    (State.PAYLOAD, LineKind.TEXT): (State.PAYLOAD, CommandParser._add_payload_line),
    (State.PAYLOAD, LineKind.OPENS_PAYLOAD): (State.PAYLOAD, CommandParser._add_payload_line),
    (State.PAYLOAD, LineKind.ENDS_PAYLOAD): (State.LINE, CommandParser._finish_payload),
    (State.PAYLOAD, LineKind.TOO_LONG): (State.SKIP_PAYLOAD, CommandParser._payload_too_long),
    (State.SKIP_PAYLOAD, LineKind.TEXT): (State.SKIP_PAYLOAD, CommandParser._ignore),
    (State.SKIP_PAYLOAD, LineKind.OPENS_PAYLOAD): (State.SKIP_PAYLOAD, CommandParser._ignore),
    (State.SKIP_PAYLOAD, LineKind.ENDS_PAYLOAD): (State.LINE, CommandParser._ignore),
    (State.SKIP_PAYLOAD, LineKind.TOO_LONG): (State.SKIP_PAYLOAD, CommandParser._ignore),
}


class AnswerTooLong(Exception):
    """An answer over the size limit. Later answers can't be delimited, so the connection has to be closed."""


class AnswerParser:
    """Parses what a server in interactive mode sends: answers, each ended by an empty line, and prompts.

    `expect` announces how many payload lines a command had: the server writes the prompt `+ ` for each.
    """

    def __init__(self, max_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_bytes, self._buffer, self._lines, self._size = max_bytes, b"", list[str](), 0
        self._payload_prompts = list[int]()
        self._at_answer_start = True

    def expect(self, payload_lines: int = 0) -> None:
        self._payload_prompts.append(payload_lines)

    def feed(self, data: bytes) -> list[str]:
        """Returns the answers that these bytes complete, each as text whose lines all end with a line break.

        Raises AnswerTooLong once an answer exceeds the size limit.
        """
        answers = list[str]()
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        for raw in lines:
            if self._at_answer_start:
                raw = self._without_prompts(raw)
            self._at_answer_start = False
            if raw in (b"", b"\r"):
                answers.append("".join(self._lines))
                self._lines, self._size, self._at_answer_start = [], 0, True
                if self._payload_prompts:
                    self._payload_prompts.pop(0)
                continue
            self._size += len(raw) + 1
            self._lines.append(raw.removesuffix(b"\r").decode(errors="replace") + "\n")
            if self._size > self._max_bytes:
                break
        if self._size + len(self._buffer) > self._max_bytes:
            self._lines, self._buffer = [], b""
            raise AnswerTooLong(f"an answer of more than {self._max_bytes} bytes")
        return answers

    def _without_prompts(self, raw: bytes) -> bytes:
        raw = raw.removeprefix(PROMPT)
        for _ in range((self._payload_prompts[0] if self._payload_prompts else 0) + 1):
            raw = raw.removeprefix(PAYLOAD_PROMPT)
        return raw


def parse_table(answer: str, separator: str | None = ",") -> list[dict[str, str]]:
    """Parses the rows of `show stat` (separator `,`) or `show servers state` (None: blanks) by column name.

    The header is the first line that starts with `# `. A row shorter than the header lacks its last columns,
    as new columns are only ever added at the end. An answer without a header has no rows.
    """
    lines = answer.splitlines()
    for position, line in enumerate(lines):
        if line.startswith("# "):
            names = line[2:].rstrip(separator or " ").split(separator)
            return [
                dict(zip(names, row.split(separator), strict=False)) for row in lines[position + 1 :] if row
            ]
    return []


def format_csv(names: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Formats a table like `show stat`: a header of `# ` and the names, and a comma after each value."""
    header = "# " + ",".join(names) + ",\n"
    return header + "".join(",".join(map(str, row)) + ",\n" for row in rows)


def parse_fields(answer: str) -> dict[str, str]:
    """Parses the `Name: value` lines of `show info`."""
    pairs = (line.split(":", 1) for line in answer.splitlines() if ":" in line)
    return {name.strip(): value.strip() for name, value in pairs}
