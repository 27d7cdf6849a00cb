"""An in-memory folder that simulates power cuts and disk faults.

After a power cut, bytes that were not synced may be lost, truncated, zeroed in blocks or have flipped bits.
Changes of folder entries that were not synced may each be lost or kept.
"""

from __future__ import annotations

import errno
from enum import Enum
from random import Random


class PowerCut(Exception):
    """The simulated power cut; no later operation takes place."""


class Tail(Enum):
    """What a power cut does to a file's unsynced bytes.

    The member names seed the crash tests: a renamed member draws other crash points.
    """

    LOST = "lost"
    WHOLE = "all there"
    TORN = "a part of them"
    HOLES = "blocks of zeros among them"
    FLIPPED = "some bits turned"


class Entries(Enum):
    """What a power cut does to unsynced changes of folder entries (links and unlinks)."""

    LOST = "lost"
    DONE = "all done"
    SOME = "some done, others not"


BLOCK = 16  # bytes of a zeroed block: far smaller than a sector, so that small records are hit too


class _File:
    """The current bytes of a file and those that were synced."""

    def __init__(self, data: bytes = b"") -> None:
        self.synced, self.data = data, data


class SimulatedFolder:
    """An in-memory implementation of `store.files.Folder`.

    cut_at: number of the change at which power is cut (0: never). capacity: total bytes (0: unlimited).
    """

    def __init__(self, cut_at: int = 0, capacity: int = 0) -> None:
        self._files, self._synced_files = dict[str, _File](), dict[str, _File]()
        self._unsynced_changes = list[tuple[str, str, _File | None]]()
        self.changes, self.cut_at, self.capacity, self.read_only = 0, cut_at, capacity, False

    def _change(self) -> None:
        if self.read_only:
            raise OSError(errno.EROFS, "read-only")
        self.changes += 1
        if self.changes == self.cut_at:
            raise PowerCut

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        return self._files[name].data

    def append(self, name: str, data: bytes) -> None:
        available = (
            self.capacity - sum(len(file.data) for file in self._files.values())
            if self.capacity
            else len(data)
        )
        file = self._files.get(name)
        if file is None:
            file = self._files[name] = _File()
            self._unsynced_changes.append(("link", name, file))
        before = file.data
        file.data = before + data[: max(0, available)]
        self._change()
        if available < len(data):
            raise OSError(errno.ENOSPC, "no space")

    def sync(self, name: str) -> None:
        self._change()
        file = self._files[name]
        file.synced = file.data

    def rename(self, name: str, new_name: str) -> None:
        file = self._files[new_name] = self._files.pop(name)
        self._unsynced_changes += [("link", new_name, file), ("unlink", name, None)]
        self._change()

    def remove(self, name: str) -> None:
        del self._files[name]
        self._unsynced_changes.append(("unlink", name, None))
        self._change()

    def sync_folder(self) -> None:
        self._change()
        self._synced_files = dict(self._files)
        self._unsynced_changes.clear()

    def after_power_cut(self, tail: Tail, entries: Entries, random: Random) -> SimulatedFolder:
        """The folder as the next start of the process finds it."""
        names = dict(self._synced_files)
        for action, name, file in self._unsynced_changes:
            if entries is Entries.DONE or (entries is Entries.SOME and random.random() < 0.5):
                if action == "link" and file is not None:
                    names[name] = file
                else:
                    names.pop(name, None)
        folder = SimulatedFolder()
        for name, file in names.items():
            folder._files[name] = _File(file.synced + after_loss(file.data[len(file.synced) :], tail, random))
        folder._synced_files = dict(folder._files)
        return folder

    def flip_bit(self, random: Random) -> str:
        """Flips one bit of a random file, in its synced bytes too; returns the file's name."""
        name = random.choice([name for name, file in self._files.items() if file.data])
        file = self._files[name]
        file.data = file.synced = with_flipped_bit(file.data, random)
        return name


def with_flipped_bit(data: bytes, random: Random) -> bytes:
    """A copy of the data with one random bit flipped."""
    offset = random.randrange(len(data))
    return data[:offset] + bytes([data[offset] ^ (1 << random.randrange(8))]) + data[offset + 1 :]


def after_loss(data: bytes, tail: Tail, random: Random) -> bytes:
    """What remains of unsynced bytes after a power cut."""
    if not data or tail is Tail.LOST:
        return b""
    if tail is Tail.TORN:
        return data[: random.randrange(len(data) + 1)]
    if tail is Tail.FLIPPED:
        return with_flipped_bit(data, random)
    if tail is Tail.HOLES:
        blocks = [data[offset : offset + BLOCK] for offset in range(0, len(data), BLOCK)]
        return b"".join(bytes(len(block)) if random.random() < 0.5 else block for block in blocks)
    return data
