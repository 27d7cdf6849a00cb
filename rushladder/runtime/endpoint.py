"""The socket as Twisted protocols: a server over a table of commands, and a client that counts answers."""

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
from rushladder.timing import Call, Clock

IDLE_MOST = (
    300.0  # s without a command before an interactive connection is closed: ten of an operator's pauses
)
STUCK_MOST = 20.0  # s that a client may leave answers unread: longer than any scheduler or network pause seen
WAITING_MOST = 10_000  # commands of one connection not yet begun: a fleet's list told at once, ten times
CONNECTION_DONE = Failure(protocol.connectionDone)


class Level(IntEnum):
    """What a connection may do, as the guide's `level`."""

    USER = 0
    OPERATOR = 1
    ADMIN = 2


class CommandRefused(Exception):
    """A command that can't be carried out; its text is the answer."""


Handler = Callable[[Command, Level], "str | Awaitable[str]"]


@attrs.frozen
class CommandSpec:
    """One command: the words it starts with, who may use it, a line of help, and what carries it out."""

    words: tuple[str, ...]
    level: Level
    usage: str
    run: Handler


class CommandTable:
    """Finds a command by its leading words, in steps of one look-up a word."""

    def __init__(self, verbs: Sequence[CommandSpec]) -> None:
        self.all = list(verbs)
        self._tree: dict[tuple[str, ...], CommandSpec] = {verb.words: verb for verb in verbs}
        self._longest = max((len(verb.words) for verb in verbs), default=0)

    def find(self, words: tuple[str, ...]) -> CommandSpec | None:
        for many in range(min(self._longest, len(words)), 0, -1):
            if verb := self._tree.get(words[:many]):
                return verb
        return None

    def help(self, level: Level) -> str:
        return "".join(f"  {verb.usage}\n" for verb in self.all if verb.level <= level)


@implementer(interfaces.IPushProducer)
class RuntimeServer(protocol.Protocol):
    """One connection to a runtime socket. Commands are answered one after the other, in order.

    A client that does not read gets no more answers until it does: reading stops with writing.
    """

    def __init__(
        self,
        verbs: CommandTable,
        level: Level,
        clock: Clock,
        on_fault: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._verbs, self._level, self._clock, self._on_fault = verbs, level, clock, on_fault
        self._parser, self._todo = CommandParser(), deque[Command | Overlong]()
        self._interactive = self._prompts = self._busy = self._paused = self._closing = False
        self._limit: Call | None = None

    def connectionMade(self) -> None:
        self._transport().registerProducer(self, True)
        self._wait(IDLE_MOST)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self._todo.clear()
        self._closing = True
        self._wait(None)

    def dataReceived(self, data: bytes) -> None:
        for found in self._parser.feed(data):
            commands = (found,) if isinstance(found, Overlong) else found.commands or (Command(()),)
            self._todo.extend(commands)
            # The first line alone tells the mode: one line, its answers and the end; or a prompt after each.
            self._interactive |= any(c.words[:1] == ("prompt",) for c in commands if isinstance(c, Command))
            if len(self._todo) > WAITING_MOST:
                self._on_fault(f"more than {WAITING_MOST} commands waiting on one connection")
                return self._transport().abortConnection()  # type: ignore[no-any-return]
            if not self._interactive:
                self._closing = True
                self._transport().pauseProducing()
                break
        if self._prompts and self._parser.in_payload:
            self._transport().write(b"+ ")
        self._work()

    def pauseProducing(self) -> None:
        self._paused = True
        self._transport().pauseProducing()
        self._wait(STUCK_MOST)

    def resumeProducing(self) -> None:
        self._paused = False
        if not self._closing:
            self._transport().resumeProducing()
        self._wait(IDLE_MOST)
        self._work()

    def stopProducing(self) -> None:
        self._closing = True

    def _transport(self) -> Any:
        return self.transport

    def _wait(self, seconds: float | None) -> None:
        if self._limit is not None and self._limit.active():
            self._limit.cancel()
        self._limit = None
        if seconds is not None:
            self._limit = self._clock.callLater(seconds, self._transport().abortConnection)

    def _work(self) -> None:
        while self._todo and not self._busy and not self._paused:
            item = self._todo.popleft()
            if isinstance(item, Overlong):
                self._on_fault(f"a {item.what} over {item.most} bytes")
                self._answer(f"The {item.what} is over {item.most} bytes and was passed over.\n")
                continue
            self._busy = True
            self._run(item).addCallback(self._done)
        if self._closing and not self._todo and not self._busy:
            self._transport().loseConnection()

    def _done(self, text: str) -> None:
        self._busy = False
        self._answer(text)
        self._work()

    def _answer(self, text: str) -> None:
        if text and not text.endswith("\n"):
            text += "\n"
        self._transport().write(text.encode() + (b"\n> " if self._prompts else b"\n"))
        if not self._paused:
            self._wait(IDLE_MOST)

    def _run(self, command: Command) -> Deferred[str]:
        words = command.words
        if not words:
            return defer.succeed("")
        if words[0] in ("quit", "exit"):
            self._closing = True
            self._todo.clear()
            return defer.succeed("")
        if words[0] == "prompt":
            self._prompts = not self._prompts
            return defer.succeed("")
        if words[0] == "help":
            return defer.succeed(
                "The following commands are valid at this level:\n" + self._verbs.help(self._level)
            )
        verb = self._verbs.find(words)
        if verb is None:
            return defer.succeed(
                f"Unknown command: '{words[0][:64]}', but maybe one of the following ones is a "
                f"better match:\n{self._verbs.help(self._level)}"
            )
        if verb.level > self._level:
            return defer.succeed("Permission denied\n")
        return defer.maybeDeferred(self._call, verb, command).addErrback(self._failed)

    def _call(self, verb: CommandSpec, command: Command) -> Any:
        found = verb.run(command, self._level)
        return found if isinstance(found, str) else Deferred.fromCoroutine(found)  # type: ignore[arg-type]

    def _failed(self, failure: Failure) -> str:
        if failure.check(CommandRefused):
            return f"{failure.value}\n"
        self._on_fault(f"{failure.type.__name__ if failure.type else 'fault'}: {failure.value}")
        return "Internal error, see the log.\n"


class RuntimeFactory(protocol.ServerFactory):
    """Servers over one table of commands; at most `most` connections, the next ones are turned away."""

    def __init__(
        self,
        verbs: CommandTable,
        level: Level,
        clock: Clock,
        max_connections: int = 100,
        on_fault: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._verbs, self._level, self._clock, self._max_connections, self._on_fault = (
            verbs,
            level,
            clock,
            max_connections,
            on_fault,
        )
        self._open = 0

    def buildProtocol(self, addr: interfaces.IAddress | None) -> protocol.Protocol | None:
        if self._open >= self._max_connections:
            self._on_fault("too many connections to the runtime socket")
            return None
        self._open += 1
        server = RuntimeServer(self._verbs, self._level, self._clock, self._on_fault)
        lost = server.connectionLost

        def gone(reason: Failure = CONNECTION_DONE) -> None:
            self._open -= 1
            lost(reason)

        server.connectionLost = gone  # type: ignore[method-assign]
        return server


class NoAnswer(Exception):
    """The other side did not answer within its limit."""


class RuntimeClient(protocol.Protocol):
    """A client in interactive mode. `ask` sends one line of commands and fires with their answers.

    Answers come in the order of the commands, so one counter is all the matching there is. A side that is
    silent for `patience` seconds, or answers with more than the bound, is disconnected: what it would say
    later could not be told from another command's answer.
    """

    def __init__(
        self, clock: Clock, patience: float, on_lost: Callable[[str], None] = lambda why: None
    ) -> None:
        self._clock, self._patience, self._on_lost = clock, patience, on_lost
        self._parser, self._asked = AnswerParser(), deque[tuple[int, list[str], Deferred[list[str]]]]()
        self._limit: Call | None = None
        self.open, self._why = False, "closed by the other side"
        self.greeting: Deferred[list[str]] | None = None

    def connectionMade(self) -> None:
        self.open = True
        self.greeting = self.send(Command(("prompt",)))

    def send(self, *commands: Command) -> Deferred[list[str]]:
        """The answers, one a command, in order. Fails with Silent once the connection is lost."""
        if not self.open:
            return defer.fail(NoAnswer(self._why))
        try:
            data = encode_commands(commands)
        except ValueError as fault:
            return defer.fail(fault)
        answers: Deferred[list[str]] = Deferred()
        for command in commands:
            self._parser.expect(len(command.payload or ()) + 1 if command.payload is not None else 0)
        self._asked.append((len(commands), [], answers))
        if self._limit is None:
            self._limit = self._clock.callLater(self._patience, self._silent)
        self._transport().write(data)
        return answers

    def _transport(self) -> Any:
        return self.transport

    def waiting(self) -> int:
        """Commands sent and not yet answered."""
        return sum(many - len(got) for many, got, _ in self._asked)

    def dataReceived(self, data: bytes) -> None:
        try:
            found = self._parser.feed(data)
        except AnswerTooLong as fault:
            return self.drop(str(fault))
        for answer in found:
            if not self._asked:
                return self.drop("an answer to no command")
            many, got, answers = self._asked[0]
            got.append(answer)
            if len(got) == many:
                self._asked.popleft()
                self._again()
                answers.callback(got)

    def drop(self, why: str) -> None:
        """Ends the connection at once."""
        if self.open:
            self._why = why
            self._transport().abortConnection()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        self.open = False
        self._again()
        asked, self._asked = self._asked, deque()
        for _, _, answers in asked:
            answers.errback(NoAnswer(self._why))
        self._on_lost(self._why)

    def _again(self) -> None:
        if self._limit is not None and self._limit.active():
            self._limit.cancel()
        self._limit = (
            self._clock.callLater(self._patience, self._silent) if self._asked and self.open else None
        )

    def _silent(self) -> None:
        self._limit = None
        self.drop(f"no answer within {self._patience:g} s")
