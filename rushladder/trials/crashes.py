"""Every crash point of a recorded run of the store: power goes at each change of the disk, and whatever was
not synced is left in each way there is. What is read back must be what was acknowledged, or newer; never
anything that was not written."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import attrs

from rushladder.standins.folder import Entries, SimulatedFolder, PowerCut, Tail
from rushladder.store.log import Key, Log

FLEET, MANAGER, MINORS = "fleet", "m1", {1: 0, 2: 0, 3: 0}
SEGMENT_BYTES = 700  # bytes of a segment, so that a short run begins many


class RecoveryError(Exception):
    """Something was trusted that is not true, or lost that was acknowledged."""


@attrs.define
class ExpectedState:
    """What a run was told: the state at its last acknowledgement, and what was put since."""

    acknowledged: dict[Key, bytes] = attrs.field(factory=dict)
    unacknowledged: dict[Key, list[bytes | None]] = attrs.field(factory=dict)
    ever_written: dict[Key, set[bytes]] = attrs.field(factory=dict)

    def put(self, key: Key, payload: bytes | None) -> None:
        self.unacknowledged.setdefault(key, []).append(payload)
        if payload is not None:
            self.ever_written.setdefault(key, set()).add(payload)

    def acknowledge(self, state: dict[Key, bytes]) -> None:
        self.acknowledged, self.unacknowledged = dict(state), {}

    def judge(self, state: dict[Key, bytes], lossy: bool = False) -> None:
        """Raises Wrong. lossy: synced bytes were turned, so that older values may come back."""
        for key in {*self.acknowledged, *self.unacknowledged, *state}:
            value = state.get(key)
            if lossy:
                fair = value is None or value in self.ever_written.get(key, ())
            else:
                fair = value == self.acknowledged.get(key) or value in self.unacknowledged.get(key, [])
            if not fair:
                raise RecoveryError(f"{key}: {value!r}; {self.acknowledged.get(key)!r} was acknowledged")


def new_log(folder: SimulatedFolder) -> Log:
    return Log(
        folder, FLEET, MANAGER, MINORS, segment_bytes=SEGMENT_BYTES, min_snapshot_bytes=3 * SEGMENT_BYTES
    )


def work(log: Log, expected: ExpectedState, turns: int, random: Random) -> None:
    """Puts, drops, commits, and snapshots as they are due."""
    for turn in range(turns):
        for _ in range(random.randrange(1, 4)):
            key = (random.randrange(1, 4), f"k{random.randrange(12)}")
            if random.random() < 0.15:
                expected.put(key, None)
                log.delete(*key)
            else:
                payload = b"%d-" % turn + bytes(random.randrange(256) for _ in range(random.randrange(40)))
                expected.put(key, payload)
                log.put(*key, payload)
        log.commit()
        expected.acknowledge(log.state)
        if log.snapshot_due:
            log.snapshot()


def run_until_power_cut(
    folder: SimulatedFolder, turns: int, seed: int, expected: ExpectedState | None = None
) -> ExpectedState:
    """One life on a folder, until its end or a power cut."""
    expected = expected or ExpectedState()
    log, random = new_log(folder), Random(seed)
    try:
        log.open()
        expected.judge(log.state)
        work(log, expected, turns, random)
    except PowerCut:
        pass
    return expected


def crash_points(turns: int, seed: int, every: int = 1) -> Iterator[tuple[int, Tail, Entries]]:
    """Each change of the run, with each way of losing what was not synced."""
    whole = SimulatedFolder()
    run_until_power_cut(whole, turns, seed)
    for cut in range(1, whole.changes + 1, every):
        for tail in Tail:
            for entries in Entries:
                yield cut, tail, entries


def explore_crash_points(turns: int, seed: int, every: int = 1) -> tuple[int, int]:
    """Tries all points, each with a second life and a second cut; the numbers of points and of openings.
    Raises Wrong, naming the point."""
    tried = opened = 0
    for cut, tail, entries in crash_points(turns, seed, every):
        random = Random(f"{seed} {cut} {tail} {entries}")
        folder = SimulatedFolder(cut)
        expected = run_until_power_cut(folder, turns, seed)
        try:
            for incarnation in range(2):
                folder = folder.after_power_cut(tail, entries, random)
                log = new_log(folder)
                log.open()
                expected.judge(log.state)
                if log.opened.gaps:
                    raise RecoveryError(f"{log.opened.gaps} numbers are missing")
                # What was read back is what holds from now on, acknowledged or not.
                expected.acknowledge(log.state)
                opened += 1
                folder.cut_at = folder.changes + random.randrange(1, 30) if incarnation == 0 else 0
                expected.unacknowledged = {}
                try:
                    work(log, expected, 4, random)
                except PowerCut:
                    continue
                again = new_log(folder)
                folder.cut_at = 0
                again.open()
                expected.judge(again.state)
                opened += 1
        except (RecoveryError, KeyError, AssertionError, ValueError) as wrong:
            raise RecoveryError(
                f"seed {seed}, change {cut}, {tail.value}, {entries.value}: {wrong}"
            ) from wrong
        tried += 1
    return tried, opened


def flip_bits(turns: int, seed: int, count: int) -> tuple[int, int]:
    """Turns one bit of a folder that was synced, `many` times; how many were noticed. Raises Wrong where a
    value is trusted that was never written."""
    detected = 0
    for k in range(count):
        folder, random = SimulatedFolder(), Random(f"{seed} {k}")
        expected = run_until_power_cut(folder, turns, seed)
        name = folder.flip_bit(random)
        log = new_log(folder)
        log.open()
        expected.judge(log.state, lossy=True)
        detected += bool(log.opened.damage) or name not in log.opened.files_read
    return count, detected
