"""The store's only access to the disk: a folder of files that are appended to, synced and renamed.

The modules above perform no I/O of their own, so tests can pass another implementation of Folder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class FolderLocked(Exception):
    """Another process holds the lock of this folder."""


class Folder(Protocol):
    """File operations within one folder. Names are plain file names. All methods raise OSError on failure."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and creates it if needed. The data is durable only after `sync`."""

    def sync(self, name: str) -> None: ...

    def rename(self, name: str, other: str) -> None:
        """Renames a file, replacing `other`. Like creating and removing files, it is durable only after
        `sync_folder`."""

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...


class Disk:
    """A folder on disk. With `lock`, it is locked for a single writer until it is closed.

    Raises FolderLocked, and OSError if the folder can't be created, opened or locked.
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
        """Closes all files and releases the lock."""
        for descriptor in self._open.values():
            os.close(descriptor)
        self._open.clear()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._path) if name != "lock")

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        descriptor = self._open.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            descriptor = self._open[name] = os.open(self._path / name, flags, 0o600)
        while data:
            data = data[os.write(descriptor, data) :]

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
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _close(self, name: str) -> None:
        if name in self._open:
            os.close(self._open.pop(name))
