"""A disk that loses power: what was not synced may be lost, torn, full of holes or flipped, and what was
done to the folder may be there or not, each for itself, until the folder is synced."""

from __future__ import annotations

import errno
from enum import Enum
from random import Random


class PowerCut(Exception):
    """Power went; nothing after it happens."""


class Tail(Enum):
    """What becomes of a file's bytes that were not synced."""

    LOST = "lost"
    WHOLE = "all there"
    TORN = "a part of them"
    HOLES = "blocks of zeros among them"
    FLIPPED = "some bits turned"


class Entries(Enum):
    """What becomes of changes of the folder that were not synced."""

    LOST = "lost"
    DONE = "all done"
    SOME = "some done, others not"


BLOCK = 16  # bytes of a hole: far smaller than a sector, so that small records are hit too


class _File:
    def __init__(self, data: bytes = b"") -> None:
        self.synced, self.data = data, data


class SimulatedFolder:
    """In memory; as `store.files.Folder`. cut: the number of the change at which power goes (0: never).
    full: bytes that it takes in all (0: any number)."""

    def __init__(self, cut_at: int = 0, capacity: int = 0) -> None:
        self._files, self._survive = dict[str, _File](), dict[str, _File]()
        self._changes = list[tuple[str, str, _File | None]]()
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
        room = (
            self.capacity - sum(len(file.data) for file in self._files.values())
            if self.capacity
            else len(data)
        )
        file = self._files.get(name)
        if file is None:
            file = self._files[name] = _File()
            self._changes.append(("link", name, file))
        before = file.data
        file.data = before + data[: max(0, room)]
        self._change()
        if room < len(data):
            raise OSError(errno.ENOSPC, "no space")

    def sync(self, name: str) -> None:
        self._change()
        file = self._files[name]
        file.synced = file.data

    def rename(self, name: str, other: str) -> None:
        file = self._files[other] = self._files.pop(name)
        self._changes += [("link", other, file), ("unlink", name, None)]
        self._change()

    def remove(self, name: str) -> None:
        del self._files[name]
        self._changes.append(("unlink", name, None))
        self._change()

    def sync_folder(self) -> None:
        self._change()
        self._survive = dict(self._files)
        self._changes.clear()

    def after_power_cut(self, tail: Tail, entries: Entries, random: Random) -> SimulatedFolder:
        """The folder as the next start finds it."""
        names = dict(self._survive)
        for what, name, file in self._changes:
            if entries is Entries.DONE or (entries is Entries.SOME and random.random() < 0.5):
                if what == "link" and file is not None:
                    names[name] = file
                else:
                    names.pop(name, None)
        found = SimulatedFolder()
        for name, file in names.items():
            found._files[name] = _File(file.synced + left(file.data[len(file.synced) :], tail, random))
        found._survive = dict(found._files)
        return found

    def flip_bit(self, random: Random) -> str:
        """Turns a bit of something that was synced long ago; returns the file's name."""
        name = random.choice([name for name, file in self._files.items() if file.data])
        file = self._files[name]
        file.data = file.synced = turned(file.data, random)
        return name


def turned(data: bytes, random: Random) -> bytes:
    at = random.randrange(len(data))
    return data[:at] + bytes([data[at] ^ (1 << random.randrange(8))]) + data[at + 1 :]


def left(data: bytes, tail: Tail, random: Random) -> bytes:
    """What is left of bytes that were not synced."""
    if not data or tail is Tail.LOST:
        return b""
    if tail is Tail.TORN:
        return data[: random.randrange(len(data) + 1)]
    if tail is Tail.FLIPPED:
        return turned(data, random)
    if tail is Tail.HOLES:
        blocks = [data[at : at + BLOCK] for at in range(0, len(data), BLOCK)]
        return b"".join(bytes(len(block)) if random.random() < 0.5 else block for block in blocks)
    return data
