"""Operators' commands that carry an id: each takes effect once, whatever repeats it, over restarts too.
Free of I/O; times are milliseconds of a wall clock.

A command is noted before it runs and its answer after; both survive before the next step is taken. A repeat
with the same id is answered from the note. Of one that was begun when the manager died it is not known
whether it ran: it is run again only where a second run changes nothing."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import attrs

from rushladder.store.memory import COMMAND_ENDS, COMMANDS
from rushladder.store.store_pb2 import CommandMemory

MAX_ID_LENGTH, MAX_COMMAND_LENGTH = (
    64,
    4096,
)  # characters of an id, and of a command's words: a version's line of factors

# Commands that change nothing the second time: one cut short by a crash may be carried out again.
IDEMPOTENT = {
    ("set", "server"),
    ("enable", "server"),
    ("disable", "server"),
    ("add", "server"),
    ("set", "weight"),
}
DURABLE_TIMEOUT = 5.0  # s for a note to survive: a slow disk's worst sync, and less than a client's patience


def is_idempotent(verb: tuple[str, ...]) -> bool:
    return verb in IDEMPOTENT or verb[0] == "show"


class State(Enum):
    NEW = "never heard of"
    RUNNING = "being carried out now"
    CUT_SHORT = "begun in an earlier life, no answer known"
    ANSWERED = "answered"


class Sign(Enum):
    ONCE = "the same words, and a second run would change something"
    REPEATABLE = "the same words, and a second run changes nothing"
    OTHER = "other words under the same id"


class Effect(Enum):
    RUN = "note it, run it, note the answer"
    ANSWER = "answer from the note"
    WAIT = "it is being carried out"
    UNKNOWN = "it is not known whether it ran"
    REFUSE = "the id is taken by another command"


EFFECTS: dict[tuple[State, Sign], Effect] = {
    (State.NEW, Sign.ONCE): Effect.RUN,
    (State.NEW, Sign.REPEATABLE): Effect.RUN,
    (State.NEW, Sign.OTHER): Effect.RUN,  # forgotten by now: a new command
    (State.RUNNING, Sign.ONCE): Effect.WAIT,
    (State.RUNNING, Sign.REPEATABLE): Effect.WAIT,
    (State.CUT_SHORT, Sign.ONCE): Effect.UNKNOWN,
    (State.CUT_SHORT, Sign.REPEATABLE): Effect.RUN,
    (State.ANSWERED, Sign.ONCE): Effect.ANSWER,
    (State.ANSWERED, Sign.REPEATABLE): Effect.ANSWER,
    **{(state, Sign.OTHER): Effect.REFUSE for state in State if state is not State.NEW},
}


@attrs.define
class Noted:
    words: str
    at: int
    state: State
    answer: str = ""

    def payload(self) -> bytes:
        return CommandMemory(
            at=self.at, words=self.words, answer=self.answer, answered=self.state is State.ANSWERED
        ).SerializeToString()


class Journal:
    """Commands by id, bounded in number and age; one that is being carried out is never forgotten."""

    def __init__(self, kept: Iterable[tuple[str, CommandMemory]] = (), now: int = 0) -> None:
        self._noted = dict[str, Noted]()
        self.answered_from_journal = self.unknown_outcomes = 0
        for name, memory in sorted(kept, key=lambda pair: pair[1].at):
            if now - memory.at < COMMAND_ENDS:
                state = State.ANSWERED if memory.answered else State.CUT_SHORT
                self._noted[name] = Noted(memory.words, memory.at, state, memory.answer)

    def __len__(self) -> int:
        return len(self._noted)

    def __getitem__(self, name: str) -> Noted:
        return self._noted[name]

    def begin(self, name: str, words: str, idempotent: bool, now: int) -> Effect:
        """What to do with a command that came under an id; where it is to run, it is noted as running."""
        noted = self._noted.get(name)
        state = State.NEW if noted is None else noted.state
        sign = Sign.REPEATABLE if idempotent else Sign.ONCE
        if noted is not None and noted.words != words:
            sign = Sign.OTHER
        effect = EFFECTS[state, sign]
        self.answered_from_journal += effect is Effect.ANSWER
        self.unknown_outcomes += effect is Effect.UNKNOWN
        if effect is Effect.RUN:
            self._noted[name] = Noted(words, now, State.RUNNING)
        return effect

    def record_answer(self, name: str, answer: str) -> Noted:
        noted = self._noted[name]
        noted.state, noted.answer = State.ANSWERED, answer
        return noted

    def cancel(self, name: str) -> None:
        """It could not be noted, and was not run: the id is free again."""
        self._noted.pop(name, None)

    def expire(self, now: int) -> list[str]:
        """Forgets what is too old or too much; the ids that are gone."""
        done = [name for name, noted in self._noted.items() if noted.state is not State.RUNNING]
        over = max(0, len(self._noted) - COMMANDS)
        gone = [name for k, name in enumerate(done) if k < over or now - self._noted[name].at >= COMMAND_ENDS]
        for name in gone:
            del self._noted[name]
        return gone
