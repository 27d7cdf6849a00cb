"""The one way to the disk: a folder of files that are appended to, synced and renamed. Everything above is
free of I/O and can be given another folder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class FolderLocked(Exception):
    """Another process writes in this folder."""


class Folder(Protocol):
    """Names are plain file names. All methods raise OSError where the disk does not do what was asked."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """Creates the file where there is none. What was appended survives only once synced."""

    def sync(self, name: str) -> None: ...

    def rename(self, name: str, other: str) -> None:
        """Replaces `other`. Survives only once the folder is synced, as creating and removing do."""

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...


class Disk:
    """A real folder, locked for one writer as long as it is open.

    Raises Locked, and OSError where the folder can't be made, opened or locked.
    """

    def __init__(self, path: str, lock: bool = True) -> None:
        self._path = Path(path)
        self._open = dict[str, int]()
        self._lock = -1
        if lock:
            self._path.mkdir(mode=0o700, exist_ok=True)
            self._lock = os.open(self._path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self._lock)
                self._lock = -1
                raise FolderLocked(f"{path}: another process writes here") from None

    def close(self) -> None:
        for handle in self._open.values():
            os.close(handle)
        self._open.clear()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._path) if name != "lock")

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        handle = self._open.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            handle = self._open[name] = os.open(self._path / name, flags, 0o600)
        while data:
            data = data[os.write(handle, data) :]

    def sync(self, name: str) -> None:
        os.fsync(self._open[name])

    def rename(self, name: str, other: str) -> None:
        self._close(name)
        self._close(other)
        os.replace(self._path / name, self._path / other)

    def remove(self, name: str) -> None:
        self._close(name)
        os.unlink(self._path / name)

    def sync_folder(self) -> None:
        handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _close(self, name: str) -> None:
        if name in self._open:
            os.close(self._open.pop(name))
