"""Between a manager and its log: what is put waits in memory, and a thread writes it in batches, so that
the beat never waits for the disk.

One batch is on its way at a time; what is put meanwhile falls together by key, so what waits is bounded by
what can be kept, however slow the disk. A disk that fails is tried again after a growing wait, and nothing
is dropped."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred

from rushladder.store.log import KEYS, Key, Log
from rushladder.timing import Clock, DelayedCall

GATHER = 0.05  # s in which puts gather: twenty syncs a second at the most, and an answer waits for one
FIRST_WAIT, LONGEST_WAIT = 0.5, 30.0  # s before a disk that failed is tried again

Batch = Mapping[Key, bytes | None]
InThread = Callable[..., Deferred[Any]]


class Writer:
    """in_thread: calls a function off the reactor, and fires with its result, as `deferToThread` does."""

    def __init__(self, log: Log, clock: Clock, in_thread: InThread, on_error: Callable[[str], None]) -> None:
        self.log, self._clock, self._in_thread, self.on_error = log, clock, in_thread, on_error
        self._waiting = dict[Key, bytes | None]()
        self._acks, self._written = list[Deferred[None]](), list[Deferred[None]]()
        self._busy, self._wait = False, 0.0  # until the next try, where the last one failed
        self._later: DelayedCall | None = None
        self._done = list[Deferred[None]]()
        self._stopping = False
        self.batches, self.records, self.refused, self.last = 0, 0, 0, 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def failing(self) -> bool:
        """Whether the disk has failed and not yet been seen to work again."""
        return self._wait > 0

    def put(self, kind: int, key: str, payload: bytes | None) -> None:
        """To be kept; None takes a key back."""
        name = (kind, key)
        if name not in self._waiting and len(self._waiting) >= KEYS:
            self.refused += 1
            return
        self._waiting[name] = payload
        self._soon()

    def flush(self) -> Deferred[None]:
        """Fires once all that was put so far survives a power cut."""
        ack: Deferred[None] = Deferred()
        if not self._waiting and not self._busy:
            ack.callback(None)
        else:
            self._acks.append(ack)
            self._soon()
        return ack

    def stop(self) -> Deferred[None]:
        """Writes what waits, then fires; once, whatever the disk does."""
        self._stopping = True
        done: Deferred[None] = Deferred()
        self._done.append(done)
        if self._later is not None and self._later.active():
            self._later.cancel()
        self._write()
        return done

    def _soon(self) -> None:
        if not self._busy and (self._later is None or not self._later.active()):
            self._later = self._clock.callLater(self._wait or GATHER, self._write)

    def _write(self) -> None:
        if self._busy:
            return
        batch, self._waiting = self._waiting, {}
        self._written, self._acks = self._acks, []
        self._busy = True
        self.last = self._clock.seconds()
        written = self._in_thread(write_batch, self.log, batch)
        written.addCallbacks(self._wrote, self._failed, errbackArgs=(batch,))

    def _wrote(self, result: tuple[int, int]) -> None:
        records, refused = result
        self.batches += 1
        self.records += records
        self.refused += refused
        self._busy, self._wait = False, 0.0
        acks, self._written = self._written, []
        for ack in acks:
            ack.callback(None)
        self._ended()

    def _failed(self, failure: Any, batch: Batch) -> None:
        """The batch is pending in the log, or goes back under what came since."""
        self._wait = min(LONGEST_WAIT, 2 * self._wait or FIRST_WAIT)
        self.on_error(f"what was learned could not be kept: {failure.value}; tried again in {self._wait:g} s")
        self._waiting = {**batch, **self._waiting}
        self._acks = self._written + self._acks
        self._busy, self._written = False, []
        self._ended()

    def _ended(self) -> None:
        if self._stopping and (not self._waiting or self.failing):
            done, self._done = self._done, []
            for one in done:
                one.callback(None)
        elif self._waiting or self._acks:
            self._soon() if not self._stopping else self._write()


def write_batch(log: Log, batch: Batch) -> tuple[int, int]:
    """In the thread: one batch, and a snapshot where one is due. Raises OSError."""
    refused = 0
    for (kind, key), payload in batch.items():
        if payload is None:
            log.delete(kind, key)
        else:
            refused += not log.put(kind, key, payload)
    records = log.commit()
    if log.snapshot_due:
        log.snapshot()
    return records, refused
