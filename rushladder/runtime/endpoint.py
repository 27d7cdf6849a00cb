"""The runtime API as Twisted protocols: a server that runs commands of a table, and a client.

The client matches answers to commands by their order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from enum import IntEnum
from typing import Any

import attrs
from twisted.internet import defer, interfaces, protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from zope.interface import implementer

from rushladder.runtime.grammar import (
    AnswerParser,
    AnswerTooLong,
    Command,
    CommandParser,
    Overlong,
    encode_commands,
)
from rushladder.timing import Clock, DelayedCall

# Seconds without a command before an interactive connection is closed: ten times an operator's usual pause.
IDLE_TIMEOUT = 300.0
# Seconds that a client may leave answers unread: longer than any scheduler or network pause seen.
UNREAD_TIMEOUT = 20.0
# Commands of one connection not yet started: ten times what a fleet's whole list takes when sent at once.
MAX_QUEUED_COMMANDS = 10_000
CONNECTION_DONE = Failure(protocol.connectionDone)


class Level(IntEnum):
    """What a connection is allowed to do, as HAProxy's `level`."""

    USER = 0
    OPERATOR = 1
    ADMIN = 2


class CommandRefused(Exception):
    """A command that can't be carried out. Its text is the answer that the client gets."""


Handler = Callable[[Command, Level], "str | Awaitable[str]"]


@attrs.frozen
class CommandSpec:
    """A command of the API: the words it starts with, the level it needs, its help line and its handler."""

    words: tuple[str, ...]
    level: Level
    usage: str
    run: Handler


class CommandTable:
    """The commands of an API, found by their leading words. The longest match wins."""

    def __init__(self, commands: Sequence[CommandSpec]) -> None:
        self.all = list(commands)
        self._by_words: dict[tuple[str, ...], CommandSpec] = {spec.words: spec for spec in commands}
        self._max_words = max((len(spec.words) for spec in commands), default=0)

    def find(self, words: tuple[str, ...]) -> CommandSpec | None:
        """Returns the command whose words start the given ones, or None."""
        for count in range(min(self._max_words, len(words)), 0, -1):
            if spec := self._by_words.get(words[:count]):
                return spec
        return None

    def help(self, level: Level) -> str:
        """Returns the help lines of the commands that a level may use."""
        return "".join(f"  {spec.usage}\n" for spec in self.all if spec.level <= level)


@implementer(interfaces.IPushProducer)
class RuntimeServer(protocol.Protocol):
    """One connection to a runtime socket. Commands run one at a time, in order.

    Once the client stops reading, no further commands are read or run until it reads again.
    """

    def __init__(
        self,
        table: CommandTable,
        level: Level,
        clock: Clock,
        on_error: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._table, self._level, self._clock, self._on_error = table, level, clock, on_error
        self._parser, self._queue = CommandParser(), deque[Command | Overlong]()
        self._interactive = self._prompting = self._busy = self._paused = self._closing = False
        self._timer: DelayedCall | None = None

    def connectionMade(self) -> None:
        self._transport().registerProducer(self, True)
        self._set_timeout(IDLE_TIMEOUT)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self._queue.clear()
        self._closing = True
        self._set_timeout(None)

    def dataReceived(self, data: bytes) -> None:
        for parsed in self._parser.feed(data):
            commands = (parsed,) if isinstance(parsed, Overlong) else parsed.commands or (Command(()),)
            self._queue.extend(commands)
            # The first line decides the mode: with `prompt` the connection becomes interactive, otherwise it
            # is closed after the answers to this line.
            self._interactive |= any(c.words[:1] == ("prompt",) for c in commands if isinstance(c, Command))
            if len(self._queue) > MAX_QUEUED_COMMANDS:
                self._on_error(f"more than {MAX_QUEUED_COMMANDS} commands queued on one connection")
                return self._transport().abortConnection()  # type: ignore[no-any-return]
            if not self._interactive:
                self._closing = True
                self._transport().pauseProducing()
                break
        if self._prompting and self._parser.in_payload:
            self._transport().write(b"+ ")
        self._process_queue()

    def pauseProducing(self) -> None:
        self._paused = True
        self._transport().pauseProducing()
        self._set_timeout(UNREAD_TIMEOUT)

    def resumeProducing(self) -> None:
        self._paused = False
        if not self._closing:
            self._transport().resumeProducing()
        self._set_timeout(IDLE_TIMEOUT)
        self._process_queue()

    def stopProducing(self) -> None:
        self._closing = True

    def _transport(self) -> Any:
        return self.transport

    def _set_timeout(self, seconds: float | None) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if seconds is not None:
            self._timer = self._clock.callLater(seconds, self._transport().abortConnection)

    def _process_queue(self) -> None:
        while self._queue and not self._busy and not self._paused:
            item = self._queue.popleft()
            if isinstance(item, Overlong):
                self._on_error(f"a {item.what} over {item.limit} bytes")
                self._answer(f"The {item.what} is over {item.limit} bytes and was ignored.\n")
                continue
            self._busy = True
            self._execute(item).addCallback(self._finish_command)
        if self._closing and not self._queue and not self._busy:
            self._transport().loseConnection()

    def _finish_command(self, text: str) -> None:
        self._busy = False
        self._answer(text)
        self._process_queue()

    def _answer(self, text: str) -> None:
        if text and not text.endswith("\n"):
            text += "\n"
        self._transport().write(text.encode() + (b"\n> " if self._prompting else b"\n"))
        if not self._paused:
            self._set_timeout(IDLE_TIMEOUT)

    def _execute(self, command: Command) -> Deferred[str]:
        words = command.words
        if not words:
            return defer.succeed("")
        if words[0] in ("quit", "exit"):
            self._closing = True
            self._queue.clear()
            return defer.succeed("")
        if words[0] == "prompt":
            self._prompting = not self._prompting
            return defer.succeed("")
        if words[0] == "help":
            return defer.succeed(
                "The following commands are valid at this level:\n" + self._table.help(self._level)
            )
        spec = self._table.find(words)
        if spec is None:
            return defer.succeed(
                f"Unknown command: '{words[0][:64]}', but maybe one of the following ones is a "
                f"better match:\n{self._table.help(self._level)}"
            )
        if spec.level > self._level:
            return defer.succeed("Permission denied\n")
        return defer.maybeDeferred(self._invoke, spec, command).addErrback(self._error_answer)

    def _invoke(self, spec: CommandSpec, command: Command) -> Any:
        answer = spec.run(command, self._level)
        return answer if isinstance(answer, str) else Deferred.fromCoroutine(answer)  # type: ignore[arg-type]

    def _error_answer(self, failure: Failure) -> str:
        if failure.check(CommandRefused):
            return f"{failure.value}\n"
        self._on_error(f"{failure.type.__name__ if failure.type else 'error'}: {failure.value}")
        return "Internal error, see the log.\n"


class RuntimeFactory(protocol.ServerFactory):
    """Serves one table of commands to at most `max_connections` clients; further connections are refused."""

    def __init__(
        self,
        table: CommandTable,
        level: Level,
        clock: Clock,
        max_connections: int = 100,
        on_error: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._table, self._level, self._clock, self._max_connections, self._on_error = (
            table,
            level,
            clock,
            max_connections,
            on_error,
        )
        self._connections = 0

    def buildProtocol(self, addr: interfaces.IAddress | None) -> protocol.Protocol | None:
        if self._connections >= self._max_connections:
            self._on_error("too many connections to the runtime socket")
            return None
        self._connections += 1
        server = RuntimeServer(self._table, self._level, self._clock, self._on_error)
        lost = server.connectionLost

        def connection_lost(reason: Failure = CONNECTION_DONE) -> None:
            self._connections -= 1
            lost(reason)

        server.connectionLost = connection_lost  # type: ignore[method-assign]
        return server


class NoAnswer(Exception):
    """The server did not answer: the time limit passed or the connection was lost."""


class RuntimeClient(protocol.Protocol):
    """A client in interactive mode. `send` writes one line of commands and fires with their answers.

    Answers arrive in the order of the commands and carry no id, so they are matched by counting. A server
    that sends no answer for `timeout` seconds, or one over the size limit, is disconnected: its later answers
    could no longer be matched to commands.
    """

    def __init__(
        self, clock: Clock, timeout: float, on_lost: Callable[[str], None] = lambda reason: None
    ) -> None:
        self._clock, self._timeout, self._on_lost = clock, timeout, on_lost
        self._parser, self._pending = AnswerParser(), deque[tuple[int, list[str], Deferred[list[str]]]]()
        self._timer: DelayedCall | None = None
        self.open, self._close_reason = False, "connection closed by the server"
        self.greeting: Deferred[list[str]] | None = None

    def connectionMade(self) -> None:
        self.open = True
        self.greeting = self.send(Command(("prompt",)))

    def send(self, *commands: Command) -> Deferred[list[str]]:
        """Returns one answer for each command, in order. Fails with NoAnswer once the connection is lost."""
        if not self.open:
            return defer.fail(NoAnswer(self._close_reason))
        try:
            data = encode_commands(commands)
        except ValueError as error:
            return defer.fail(error)
        answers: Deferred[list[str]] = Deferred()
        for command in commands:
            self._parser.expect(len(command.payload or ()) + 1 if command.payload is not None else 0)
        self._pending.append((len(commands), [], answers))
        if self._timer is None:
            self._timer = self._clock.callLater(self._timeout, self._timed_out)
        self._transport().write(data)
        return answers

    def _transport(self) -> Any:
        return self.transport

    def waiting(self) -> int:
        """Returns the number of commands sent and not yet answered."""
        return sum(count - len(received) for count, received, _ in self._pending)

    def dataReceived(self, data: bytes) -> None:
        try:
            parsed = self._parser.feed(data)
        except AnswerTooLong as error:
            return self.drop(str(error))
        for answer in parsed:
            if not self._pending:
                return self.drop("answer without a command")
            count, received, answers = self._pending[0]
            received.append(answer)
            if len(received) == count:
                self._pending.popleft()
                self._restart_timer()
                answers.callback(received)

    def drop(self, reason: str) -> None:
        """Aborts the connection."""
        if self.open:
            self._close_reason = reason
            self._transport().abortConnection()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self.open = False
        self._restart_timer()
        pending, self._pending = self._pending, deque()
        for _, _, answers in pending:
            answers.errback(NoAnswer(self._close_reason))
        self._on_lost(self._close_reason)

    def _restart_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = (
            self._clock.callLater(self._timeout, self._timed_out) if self._pending and self.open else None
        )

    def _timed_out(self) -> None:
        self._timer = None
        self.drop(f"no answer within {self._timeout:g} s")
