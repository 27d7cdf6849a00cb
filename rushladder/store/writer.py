"""Asynchronous writes to the store: changes are queued in memory and a thread writes them in batches, so that
the control loop never waits for the disk.

Only one batch is being written at a time. Changes queued meanwhile are coalesced by key, so the queue is
bounded by the number of keys the store can hold, however slow the disk is. After a disk error the batch is
retried with exponential backoff, and nothing is dropped."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred

from rushladder.store.log import MAX_KEYS, Key, Log
from rushladder.timing import Clock, DelayedCall

# Seconds for which changes are collected into a batch: at most twenty syncs a second, and an acknowledgement
# is delayed by at most one such interval.
BATCH_DELAY = 0.05
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 0.5, 30.0  # seconds before a failed write is retried

Batch = Mapping[Key, bytes | None]
InThread = Callable[..., Deferred[Any]]


class Writer:
    """Queues changes for one log.

    in_thread: calls a function outside the reactor thread and fires with its result, like `deferToThread`.
    """

    def __init__(self, log: Log, clock: Clock, in_thread: InThread, on_error: Callable[[str], None]) -> None:
        self.log, self._clock, self._in_thread, self.on_error = log, clock, in_thread, on_error
        self._queued = dict[Key, bytes | None]()
        self._flushes, self._flushes_in_batch = list[Deferred[None]](), list[Deferred[None]]()
        self._writing, self._retry_delay = False, 0.0  # the delay is 0 unless the last write failed
        self._next_write: DelayedCall | None = None
        self._stops = list[Deferred[None]]()
        self._stopping = False
        self.batches, self.records, self.refused, self.last = 0, 0, 0, 0.0

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def failing(self) -> bool:
        """Whether the last write failed."""
        return self._retry_delay > 0

    def put(self, kind: int, key: str, payload: bytes | None) -> None:
        """Queues the new value of a key. None deletes the key."""
        name = (kind, key)
        if name not in self._queued and len(self._queued) >= MAX_KEYS:
            self.refused += 1
            return
        self._queued[name] = payload
        self._schedule()

    def flush(self) -> Deferred[None]:
        """Fires once everything queued so far is durable."""
        flushed: Deferred[None] = Deferred()
        if not self._queued and not self._writing:
            flushed.callback(None)
        else:
            self._flushes.append(flushed)
            self._schedule()
        return flushed

    def stop(self) -> Deferred[None]:
        """Writes what is queued and then fires. It also fires if the write fails; there is no retry."""
        self._stopping = True
        stopped: Deferred[None] = Deferred()
        self._stops.append(stopped)
        if self._next_write is not None and self._next_write.active():
            self._next_write.cancel()
        self._write()
        return stopped

    def _schedule(self) -> None:
        if not self._writing and (self._next_write is None or not self._next_write.active()):
            self._next_write = self._clock.callLater(self._retry_delay or BATCH_DELAY, self._write)

    def _write(self) -> None:
        if self._writing:
            return
        batch, self._queued = self._queued, {}
        self._flushes_in_batch, self._flushes = self._flushes, []
        self._writing = True
        self.last = self._clock.seconds()
        written = self._in_thread(write_batch, self.log, batch)
        written.addCallbacks(self._succeeded, self._failed, errbackArgs=(batch,))

    def _succeeded(self, result: tuple[int, int]) -> None:
        records, refused = result
        self.batches += 1
        self.records += records
        self.refused += refused
        self._writing, self._retry_delay = False, 0.0
        flushes, self._flushes_in_batch = self._flushes_in_batch, []
        for flushed in flushes:
            flushed.callback(None)
        self._continue()

    def _failed(self, failure: Any, batch: Batch) -> None:
        """Queues the batch again; newer values take precedence. The log may have it pending as well."""
        self._retry_delay = min(MAX_RETRY_DELAY, 2 * self._retry_delay or MIN_RETRY_DELAY)
        self.on_error(
            f"learned values could not be stored: {failure.value}; next attempt in {self._retry_delay:g} s"
        )
        self._queued = {**batch, **self._queued}
        self._flushes = self._flushes_in_batch + self._flushes
        self._writing, self._flushes_in_batch = False, []
        self._continue()

    def _continue(self) -> None:
        """After a write: fires the stops, or schedules the next write if there is something left to do."""
        if self._stopping and (not self._queued or self.failing):
            stops, self._stops = self._stops, []
            for stopped in stops:
                stopped.callback(None)
        elif self._queued or self._flushes:
            self._schedule() if not self._stopping else self._write()


def write_batch(log: Log, batch: Batch) -> tuple[int, int]:
    """Writes a batch, and a snapshot if one is due. Runs in the thread. Raises OSError.

    Returns the numbers of records written and of changes refused because the store is full.
    """
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
