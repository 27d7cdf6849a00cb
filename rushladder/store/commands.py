"""Deduplication of operator commands that carry an id: each takes effect at most once, even across restarts.

Performs no I/O. Times are wall-clock milliseconds.

A command is journalled before it runs and its answer is journalled afterwards; the caller waits for each of
the two records to be durable before it goes on. A repeat with the same id is answered from the journal. If
the manager died while a command was running, it is unknown whether the command took effect; such a command
is run again only if it is idempotent."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import attrs

from rushladder.store.memory import MAX_COMMAND_AGE, MAX_COMMAND_BYTES, MAX_COMMANDS
from rushladder.store.store_pb2 import CommandMemory

# Characters of an id and of a command's text. The longest command is a version's line of factors.
MAX_ID_LENGTH, MAX_COMMAND_LENGTH = 64, 4096

# Commands that change nothing when run a second time, so that one interrupted by a crash may be run again.
IDEMPOTENT = {
    ("set", "server"),
    ("enable", "server"),
    ("disable", "server"),
    ("add", "server"),
    ("set", "weight"),
}
# Seconds to wait for a journal entry to be durable: longer than the worst sync of a slow disk, shorter than
# a client's patience.
DURABLE_TIMEOUT = 5.0


def is_idempotent(verb: tuple[str, ...]) -> bool:
    """Whether a command may be run again when its first run was interrupted."""
    return verb in IDEMPOTENT or verb[0] == "show"


class State(Enum):
    """What the journal knows about a command id."""

    NEW = "unknown id"
    RUNNING = "running now"
    INTERRUPTED = "started by an earlier incarnation of the manager, answer unknown"
    ANSWERED = "answered"


class Request(Enum):
    """How a request relates to the journal entry with the same id."""

    NOT_IDEMPOTENT = "the same command, and a second run would have an effect"
    IDEMPOTENT = "the same command, and a second run has no effect"
    DIFFERENT = "a different command under the same id"


class Effect(Enum):
    """What to do with a request.

    The last four values complete the answer "Not carried out: ...", which scripts read.
    """

    RUN = "journal the command, run it, journal its answer"
    ANSWER = "reply with the journalled answer"
    WAIT = "it is being carried out"
    UNKNOWN = "it is not known whether it ran"
    REFUSE = "the id is taken by another command"
    FULL = "too many ids of the last day are kept; send it without an id, or later"


EFFECTS: dict[tuple[State, Request], Effect] = {
    (State.NEW, Request.NOT_IDEMPOTENT): Effect.RUN,
    (State.NEW, Request.IDEMPOTENT): Effect.RUN,
    (State.NEW, Request.DIFFERENT): Effect.RUN,  # the earlier entry has expired, so this is a new command
    (State.RUNNING, Request.NOT_IDEMPOTENT): Effect.WAIT,
    (State.RUNNING, Request.IDEMPOTENT): Effect.WAIT,
    (State.INTERRUPTED, Request.NOT_IDEMPOTENT): Effect.UNKNOWN,
    (State.INTERRUPTED, Request.IDEMPOTENT): Effect.RUN,
    (State.ANSWERED, Request.NOT_IDEMPOTENT): Effect.ANSWER,
    (State.ANSWERED, Request.IDEMPOTENT): Effect.ANSWER,
    **{(state, Request.DIFFERENT): Effect.REFUSE for state in State if state is not State.NEW},
}


@attrs.define
class JournalEntry:
    """A command's text, the time it was first received, its state and its answer."""

    command: str
    at: int
    state: State
    answer: str = ""

    def size(self) -> int:
        """The characters that it keeps."""
        return len(self.command) + len(self.answer)

    def payload(self) -> bytes:
        """The entry as it is stored."""
        return CommandMemory(
            at=self.at, words=self.command, answer=self.answer, answered=self.state is State.ANSWERED
        ).SerializeToString()


class Journal:
    """Commands by id. Each is kept for its whole time, so that it can't be carried out again: when the
    journal is full, a command with a new id is refused. A running command is never evicted.

    stored: the records of earlier incarnations; now: the current time.
    """

    def __init__(self, stored: Iterable[tuple[str, CommandMemory]] = (), now: int = 0) -> None:
        self._entries, self._size = dict[str, JournalEntry](), 0
        self.answered_from_journal = self.unknown_outcomes = 0
        for command_id, record in sorted(stored, key=lambda pair: pair[1].at):
            if now - record.at < MAX_COMMAND_AGE:
                state = State.ANSWERED if record.answered else State.INTERRUPTED
                self._add(command_id, JournalEntry(record.words, record.at, state, record.answer))

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, command_id: str) -> JournalEntry:
        return self._entries[command_id]

    def begin(self, command_id: str, command: str, idempotent: bool, now: int) -> Effect:
        """Decides what to do with a request. If the command is to run, it is entered as running."""
        entry = self._entries.get(command_id)
        state = State.NEW if entry is None else entry.state
        request = Request.IDEMPOTENT if idempotent else Request.NOT_IDEMPOTENT
        if entry is not None and entry.command != command:
            request = Request.DIFFERENT
        effect = EFFECTS[state, request]
        if entry is None and (len(self._entries) >= MAX_COMMANDS or self._size >= MAX_COMMAND_BYTES):
            effect = Effect.FULL
        self.answered_from_journal += effect is Effect.ANSWER
        self.unknown_outcomes += effect is Effect.UNKNOWN
        if effect is Effect.RUN:
            self._remove(command_id)
            self._add(command_id, JournalEntry(command, now, State.RUNNING))
        return effect

    def record_answer(self, command_id: str, answer: str) -> JournalEntry:
        """Marks a command as done and keeps its answer for repeats."""
        entry = self._entries[command_id]
        self._size += len(answer) - len(entry.answer)
        entry.state, entry.answer = State.ANSWERED, answer
        return entry

    def cancel(self, command_id: str) -> None:
        """Frees the id of a command that was not run because its entry could not be made durable."""
        self._remove(command_id)

    def expire(self, now: int) -> list[str]:
        """Evicts entries that are too old. Returns their ids."""
        expired = list[str]()
        for command_id, entry in self._entries.items():
            if now - entry.at < MAX_COMMAND_AGE:
                break  # they are in the order of their times
            if entry.state is not State.RUNNING:
                expired.append(command_id)
        for command_id in expired:
            self._remove(command_id)
        return expired

    def _add(self, command_id: str, entry: JournalEntry) -> None:
        self._entries[command_id] = entry
        self._size += len(command_id) + entry.size()

    def _remove(self, command_id: str) -> None:
        entry = self._entries.pop(command_id, None)
        if entry is not None:
            self._size -= len(command_id) + entry.size()
