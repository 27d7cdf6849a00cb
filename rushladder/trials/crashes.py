"""Every crash point of a recorded run of the store: power goes at each change of the disk, and whatever was
not synced is left in each way there is. What is read back must be what was acknowledged, or newer; never
anything that was not written."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import attrs

from rushladder.standins.folder import Entries, Folder, PowerCut, Tail
from rushladder.store.log import Key, Log

FLEET, MANAGER, MINORS = "fleet", "m1", {1: 0, 2: 0, 3: 0}
SMALL = 700  # bytes of a segment, so that a short run begins many


class Wrong(Exception):
    """Something was trusted that is not true, or lost that was acknowledged."""


@attrs.define
class Told:
    """What a run was told: the state at its last acknowledgement, and what was put since."""

    sure: dict[Key, bytes] = attrs.field(factory=dict)
    since: dict[Key, list[bytes | None]] = attrs.field(factory=dict)
    ever: dict[Key, set[bytes]] = attrs.field(factory=dict)

    def put(self, key: Key, payload: bytes | None) -> None:
        self.since.setdefault(key, []).append(payload)
        if payload is not None:
            self.ever.setdefault(key, set()).add(payload)

    def acknowledged(self, state: dict[Key, bytes]) -> None:
        self.sure, self.since = dict(state), {}

    def judge(self, state: dict[Key, bytes], lossy: bool = False) -> None:
        """Raises Wrong. lossy: synced bytes were turned, so that older values may come back."""
        for key in {*self.sure, *self.since, *state}:
            value = state.get(key)
            if lossy:
                fair = value is None or value in self.ever.get(key, ())
            else:
                fair = value == self.sure.get(key) or value in self.since.get(key, [])
            if not fair:
                raise Wrong(f"{key}: {value!r}; {self.sure.get(key)!r} was acknowledged")


def new_log(folder: Folder) -> Log:
    return Log(folder, FLEET, MANAGER, MINORS, segment_bytes=SMALL, min_snapshot_bytes=3 * SMALL)


def work(log: Log, told: Told, turns: int, random: Random) -> None:
    """Puts, drops, commits, and snapshots as they are due."""
    for turn in range(turns):
        for _ in range(random.randrange(1, 4)):
            key = (random.randrange(1, 4), f"k{random.randrange(12)}")
            if random.random() < 0.15:
                told.put(key, None)
                log.delete(*key)
            else:
                payload = b"%d-" % turn + bytes(random.randrange(256) for _ in range(random.randrange(40)))
                told.put(key, payload)
                log.put(*key, payload)
        log.commit()
        told.acknowledged(log.state)
        if log.snapshot_due:
            log.snapshot()


def run(folder: Folder, turns: int, seed: int, told: Told | None = None) -> Told:
    """One life on a folder, until its end or a power cut."""
    told = told or Told()
    log, random = new_log(folder), Random(seed)
    try:
        log.open()
        told.judge(log.state)
        work(log, told, turns, random)
    except PowerCut:
        pass
    return told


def points(turns: int, seed: int, every: int = 1) -> Iterator[tuple[int, Tail, Entries]]:
    """Each change of the run, with each way of losing what was not synced."""
    whole = Folder()
    run(whole, turns, seed)
    for cut in range(1, whole.changes + 1, every):
        for tail in Tail:
            for entries in Entries:
                yield cut, tail, entries


def explore(turns: int, seed: int, every: int = 1) -> tuple[int, int]:
    """Tries all points, each with a second life and a second cut; the numbers of points and of openings.
    Raises Wrong, naming the point."""
    tried = opened = 0
    for cut, tail, entries in points(turns, seed, every):
        random = Random(f"{seed} {cut} {tail} {entries}")
        folder = Folder(cut)
        told = run(folder, turns, seed)
        try:
            for life in range(2):
                folder = folder.after_power(tail, entries, random)
                log = new_log(folder)
                log.open()
                told.judge(log.state)
                if log.opened.gaps:
                    raise Wrong(f"{log.opened.gaps} numbers are missing")
                # What was read back is what holds from now on, acknowledged or not.
                told.acknowledged(log.state)
                opened += 1
                folder.cut = folder.changes + random.randrange(1, 30) if life == 0 else 0
                told.since = {}
                try:
                    work(log, told, 4, random)
                except PowerCut:
                    continue
                again = new_log(folder)
                folder.cut = 0
                again.open()
                told.judge(again.state)
                opened += 1
        except (Wrong, KeyError, AssertionError, ValueError) as wrong:
            raise Wrong(f"seed {seed}, change {cut}, {tail.value}, {entries.value}: {wrong}") from wrong
        tried += 1
    return tried, opened


def rot(turns: int, seed: int, many: int) -> tuple[int, int]:
    """Turns one bit of a folder that was synced, `many` times; how many were noticed. Raises Wrong where a
    value is trusted that was never written."""
    noticed = 0
    for k in range(many):
        folder, random = Folder(), Random(f"{seed} {k}")
        told = run(folder, turns, seed)
        name = folder.rot(random)
        log = new_log(folder)
        log.open()
        told.judge(log.state, lossy=True)
        noticed += bool(log.opened.damage) or name not in log.opened.files_read
    return many, noticed
