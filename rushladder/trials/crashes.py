"""Explores all crash points of a run of the store: power is cut at each change of the disk, and unsynced data
is lost in each possible way. What is read back must be the acknowledged state or newer, and must never hold
anything that was not written."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import attrs

from rushladder.standins.folder import Entries, PowerCut, SimulatedFolder, Tail
from rushladder.store.log import Key, Log

FLEET, MANAGER, MINORS = "fleet", "m1", {1: 0, 2: 0, 3: 0}
SEGMENT_BYTES = 700  # so small that a short run begins many segments


class RecoveryError(Exception):
    """The log returned data that was never written, or lost data that it had acknowledged."""


@attrs.define
class ExpectedState:
    """What a run expects to read back: the last acknowledged state, and what was put since."""

    acknowledged: dict[Key, bytes] = attrs.field(factory=dict)
    unacknowledged: dict[Key, list[bytes | None]] = attrs.field(factory=dict)
    ever_written: dict[Key, set[bytes]] = attrs.field(factory=dict)

    def put(self, key: Key, payload: bytes | None) -> None:
        self.unacknowledged.setdefault(key, []).append(payload)
        if payload is not None:
            self.ever_written.setdefault(key, set()).add(payload)

    def acknowledge(self, state: dict[Key, bytes]) -> None:
        self.acknowledged, self.unacknowledged = dict(state), {}

    def check(self, state: dict[Key, bytes], lossy: bool = False) -> None:
        """Raises RecoveryError. lossy: synced bits were flipped, so that older values may come back."""
        for key in {*self.acknowledged, *self.unacknowledged, *state}:
            value = state.get(key)
            if lossy:
                valid = value is None or value in self.ever_written.get(key, ())
            else:
                valid = value == self.acknowledged.get(key) or value in self.unacknowledged.get(key, [])
            if not valid:
                raise RecoveryError(f"{key}: {value!r}; {self.acknowledged.get(key)!r} was acknowledged")


def new_log(folder: SimulatedFolder) -> Log:
    return Log(
        folder, FLEET, MANAGER, MINORS, segment_bytes=SEGMENT_BYTES, min_snapshot_bytes=3 * SEGMENT_BYTES
    )


def apply_batches(log: Log, expected: ExpectedState, batches: int, random: Random) -> None:
    """Puts and deletes in batches, commits each, and takes snapshots when they are due."""
    for batch in range(batches):
        for _ in range(random.randrange(1, 4)):
            key = (random.randrange(1, 4), f"k{random.randrange(12)}")
            if random.random() < 0.15:
                expected.put(key, None)
                log.delete(*key)
            else:
                payload = b"%d-" % batch + bytes(random.randrange(256) for _ in range(random.randrange(40)))
                expected.put(key, payload)
                log.put(*key, payload)
        log.commit()
        expected.acknowledge(log.state)
        if log.snapshot_due:
            log.snapshot()


def run_until_power_cut(
    folder: SimulatedFolder, batches: int, seed: int, expected: ExpectedState | None = None
) -> ExpectedState:
    """One incarnation on a folder, until its end or a power cut."""
    expected = expected or ExpectedState()
    log, random = new_log(folder), Random(seed)
    try:
        log.open()
        expected.check(log.state)
        apply_batches(log, expected, batches, random)
    except PowerCut:
        pass
    return expected


def crash_points(batches: int, seed: int, every: int = 1) -> Iterator[tuple[int, Tail, Entries]]:
    """Each change of the run, combined with each way of losing unsynced data."""
    complete = SimulatedFolder()
    run_until_power_cut(complete, batches, seed)
    for cut_at in range(1, complete.changes + 1, every):
        for tail in Tail:
            for entries in Entries:
                yield cut_at, tail, entries


def explore_crash_points(batches: int, seed: int, every: int = 1) -> tuple[int, int]:
    """Tries all crash points, each with a second incarnation and a second power cut; returns the numbers of
    points and of openings. Raises RecoveryError, which names the point."""
    tried = openings = 0
    for cut_at, tail, entries in crash_points(batches, seed, every):
        random = Random(f"{seed} {cut_at} {tail} {entries}")
        folder = SimulatedFolder(cut_at)
        expected = run_until_power_cut(folder, batches, seed)
        try:
            for incarnation in range(2):
                folder = folder.after_power_cut(tail, entries, random)
                log = new_log(folder)
                log.open()
                expected.check(log.state)
                if log.opened.gaps:
                    raise RecoveryError(f"{log.opened.gaps} numbers are missing")
                # From now on the state that was read back is the expected one, acknowledged or not.
                expected.acknowledge(log.state)
                openings += 1
                folder.cut_at = folder.changes + random.randrange(1, 30) if incarnation == 0 else 0
                expected.unacknowledged = {}
                try:
                    apply_batches(log, expected, 4, random)
                except PowerCut:
                    continue
                second_log = new_log(folder)
                folder.cut_at = 0
                second_log.open()
                expected.check(second_log.state)
                openings += 1
        except (RecoveryError, KeyError, AssertionError, ValueError) as error:
            raise RecoveryError(
                f"seed {seed}, change {cut_at}, {tail.value}, {entries.value}: {error}"
            ) from error
        tried += 1
    return tried, openings


def flip_bits(batches: int, seed: int, count: int) -> tuple[int, int]:
    """Flips one bit of a synced folder, `count` times; returns how often and how many were detected. Raises
    RecoveryError if a value is read back that was never written."""
    detected = 0
    for k in range(count):
        folder, random = SimulatedFolder(), Random(f"{seed} {k}")
        expected = run_until_power_cut(folder, batches, seed)
        name = folder.flip_bit(random)
        log = new_log(folder)
        log.open()
        expected.check(log.state, lossy=True)
        detected += bool(log.opened.damage) or name not in log.opened.files_read
    return count, detected
