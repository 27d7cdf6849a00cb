"""A log-structured store with snapshots. It keeps the newest value of each key across crashes.

All I/O goes through the Folder that is passed in.

Files: `log-N` are append-only segments; `snap-N` holds the whole state as it was before segment N. Opening
reads the newest valid snapshot and then, in order, the segments from its number on; the last value of a key
wins. Then a new segment is started, so that nothing is ever appended after a possibly torn record.

Durability rests on the order of steps. A batch is appended and synced before it is acknowledged. A snapshot
is written to `snap-N.new`, synced and renamed, and the folder is synced, before the files that it replaces
are removed. The previous snapshot and its segments are kept as well, so that a snapshot that becomes corrupt
later still has a predecessor. A failed write or sync ends the segment, because its contents are then
unknown; the batch is written again to the next one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum

import attrs
from google.protobuf.message import DecodeError

from rushladder.store.files import Folder
from rushladder.store.frames import FOOTER_KIND, HEADER_KIND, Damage, Record, decode_frames, encode_frame
from rushladder.store.store_pb2 import Footer, Header

MAJOR, MINOR = 1, 0
SEGMENT_BYTES = 1 << 20  # size at which a segment ends; reading one at startup takes at most a second
# A snapshot is due when the segments hold this many times the size of the last one, so each record is
# written about three times.
SNAPSHOT_GROWTH = 2
MIN_SNAPSHOT_BYTES = 64 * 1024  # below this size of the segments, a snapshot is not worth its syncs
MAX_KEYS = 60_000  # over all kinds: six for each of ten thousand servers
# Number of damaged files that are kept aside. The oldest is removed beyond that, to bound disk usage.
MAX_SET_ASIDE = 8

Key = tuple[int, str]  # kind, key
# (kind, minor version) -> function that converts a payload to the next minor version.
Migrations = Mapping[tuple[int, int], Callable[[bytes], bytes]]


class IncompatibleStore(Exception):
    """The folder belongs to another fleet or manager, or has a later major version. It is left unchanged."""


class FileState(Enum):
    """The condition of a file. Names and values are shown to operators and used in file names."""

    WHOLE = "whole"
    TORN = "torn at its end"
    DAMAGED = "damaged"
    HEADLESS = "without a header"
    HALF = "an incomplete snapshot"


# States of files that are set aside once their intact records are in a new snapshot. A torn end is not among
# them: a crash leaves it behind, and it holds nothing that was acknowledged.
SET_ASIDE = {FileState.DAMAGED, FileState.HEADLESS, FileState.HALF}


@attrs.frozen
class StoreFile:
    """The contents of one file. first: the record number from its header; why: what is wrong with it."""

    name: str
    state: FileState
    records: Sequence[Record]
    first: int
    created: int
    bytes: int
    why: str = ""


@attrs.define
class OpenResult:
    """What was found when the store was opened."""

    snapshot: str = ""
    segments: int = 0
    records: int = 0
    skipped: int = 0  # records of a later minor version or an unknown kind
    gaps: int = 0  # missing numbers between existing records; acknowledged records may be lost
    damage: list[str] = attrs.field(factory=list)
    # Names of the files read. Older files that a snapshot supersedes are not read.
    files_read: list[str] = attrs.field(factory=list)
    written_at: int = 0  # wall-clock ms at which the newest file was created


def read_file(name: str, data: bytes) -> StoreFile:
    """Decodes a file and classifies its condition. Never raises."""
    records, damage = list[Record](), list[Damage]()
    for part in decode_frames(data):
        if isinstance(part, Damage):
            damage.append(part)
        else:
            records.append(part)
    header = _header(records, damage)
    if header is None and not records and all(part.reason.startswith("torn") for part in damage):
        return StoreFile(name, FileState.TORN, (), 0, 0, len(data))  # created, but its header was not synced
    if header is None:
        return StoreFile(name, FileState.HEADLESS, (), 0, 0, len(data), "its first frame is not a header")
    why = "; ".join(f"{part.size} bytes at {part.offset}: {part.reason}" for part in damage[:3])
    records = records[1:]
    state = FileState.WHOLE
    if name.startswith("snap-"):
        if damage or not records or not _is_footer(records[-1], len(records) - 1):
            state = FileState.HALF
            why = why or "its last frame is not a footer with the right count"
        records = records[:-1]
    elif damage:
        last = damage[-1]
        torn = len(damage) == 1 and last.offset + last.size == len(data)
        state = FileState.TORN if torn else FileState.DAMAGED
    return StoreFile(name, state, records, header.first, header.created, len(data), why)


def _header(records: Sequence[Record], damage: Sequence[Damage]) -> Header | None:
    if not records or records[0].kind != HEADER_KIND or (damage and damage[0].offset == 0):
        return None
    try:
        return Header.FromString(records[0].payload or b"")
    except DecodeError:
        return None


def _is_footer(record: Record, count: int) -> bool:
    """Whether the record is the footer of a snapshot of `count` records."""
    try:
        return record.kind == FOOTER_KIND and Footer.FromString(record.payload or b"").records == count
    except DecodeError:
        return False


def read_header(data: bytes) -> Header | None:
    """The header at the start of a file's data, or None if there is none."""
    first = next(iter(decode_frames(data)), None)
    return _header([first], []) if isinstance(first, Record) else None


def file_number(name: str) -> int | None:
    """The number of a segment or snapshot, or None for any other file."""
    kind, _, digits = name.partition("-")
    return int(digits) if kind in ("log", "snap") and len(digits) == 16 and digits.isdigit() else None


class Log:
    """The state of one folder. Values are bytes.

    `put` and `delete` change `state` at once and the disk with the next `commit`.

    fleet, manager: the owner of the folder; minors: kind -> the minor version that is written; wall: the
    wall clock in milliseconds.
    """

    def __init__(
        self,
        folder: Folder,
        fleet: str,
        manager: str,
        minors: Mapping[int, int],
        migrations: Migrations | None = None,
        wall: Callable[[], int] = lambda: 0,
        *,
        segment_bytes: int = SEGMENT_BYTES,
        min_snapshot_bytes: int = MIN_SNAPSHOT_BYTES,
    ) -> None:
        self._segment_bytes, self._min_snapshot_bytes = segment_bytes, min_snapshot_bytes
        self._folder, self._fleet, self._manager = folder, fleet, manager
        self._minors, self._migrations, self._wall = minors, migrations or {}, wall
        self.state = dict[Key, bytes]()
        self._pending = dict[Key, bytes | None]()
        self.next_number, self.segment, self._written = 1, 0, 0
        self.synced, self.snapshots, self.failed = 0, 0, 0
        self._bytes_since_snapshot = 0  # total size of the segments since the last snapshot
        self._snapshot_bytes = 0
        self._snapshots = deque[int]()  # numbers of the snapshots that are kept, oldest first
        self.opened = OpenResult()

    # Opening.

    def open(self) -> OpenResult:
        """Reads the folder and starts a new segment. Raises IncompatibleStore and OSError."""
        names = self._folder.names()
        files = self._read_needed(names)
        self._load(names, files)
        for name in names:
            if name.endswith(".new"):
                self._folder.remove(name)  # an incomplete snapshot; the files it would replace still exist
        numbers = [number for name in names if (number := file_number(name)) is not None]
        self.segment = max(numbers, default=0)
        bad = [file for file in files.values() if file.state in SET_ASIDE]
        self._start_segment()
        if bad:
            # The intact records go into a snapshot before the damaged files are moved and old ones removed.
            self._write_snapshot()
            for file in bad:
                self._set_aside(file)
            self._remove_old_files()
        return self.opened

    def _read_needed(self, names: Sequence[str]) -> dict[str, StoreFile]:
        """Reads snapshots, newest first, up to the first whole one, and the segments from its number on."""
        files, since = dict[str, StoreFile](), 0
        for kind in ("snap-", "log-"):
            for name in sorted((name for name in names if name.startswith(kind)), reverse=True):
                number = file_number(name)
                if number is None or number < since:
                    continue
                data = self._folder.read(name)
                self._check_owner(name, data)
                files[name] = read_file(name, data)
                if kind == "snap-" and files[name].state is FileState.WHOLE:
                    since = number
        return files

    def _check_owner(self, name: str, data: bytes) -> None:
        """Raises IncompatibleStore if the file is of a later major version, another fleet or manager."""
        header = read_header(data)
        if header is None:
            return  # none of it is used, and the file is set aside
        if header.major > MAJOR:
            raise IncompatibleStore(
                f"{name} has version {header.major}.{header.minor}; at most {MAJOR}.x can be read"
            )
        for what, actual, expected in (
            ("fleet", header.fleet, self._fleet),
            ("manager", header.manager, self._manager),
        ):
            if actual != expected:
                raise IncompatibleStore(f"{name} belongs to {what} {actual!r}, not to {expected!r}")

    def _load(self, names: Sequence[str], files: Mapping[str, StoreFile]) -> None:
        """Applies the newest whole snapshot, then each segment from its number on."""
        opened = self.opened
        snapshots = sorted(
            (file for file in files.values() if file.name.startswith("snap-")), key=lambda f: f.name
        )
        base = next((file for file in reversed(snapshots) if file.state is FileState.WHOLE), None)
        since = 0
        if base is not None:
            opened.snapshot, since, self._snapshot_bytes = base.name, file_number(base.name) or 0, base.bytes
            self._apply(base.records)
            self.next_number = base.first
        # Snapshots older than the base were not read. They still count as kept until two newer ones exist.
        older = (file_number(name) for name in names if name.startswith("snap-") and name not in files)
        self._snapshots.extend(sorted({since, *(number for number in older if number is not None)} - {0}))
        segments = sorted(
            (file for file in files.values() if file.name.startswith("log-")), key=lambda f: f.name
        )
        for segment in segments:
            if (file_number(segment.name) or 0) >= since:
                opened.segments += 1
                self._bytes_since_snapshot += segment.bytes
                self._apply(segment.records)
                opened.gaps += max(0, segment.first - self.next_number)
                self.next_number = max(self.next_number, segment.first)
                numbers = [record.number for record in segment.records]
                for number in numbers:
                    # Numbers missing from the last segment are no gap: they were being written when power
                    # failed and were never acknowledged.
                    opened.gaps += max(0, number - self.next_number) * (segment is not segments[-1])
                    self.next_number = max(self.next_number, number + 1)
        opened.files_read = sorted(files)
        opened.damage = [
            f"{file.name}: {file.state.value}: {file.why}" for file in files.values() if file.why
        ]
        opened.written_at = max((file.created for file in files.values()), default=0)

    def _apply(self, records: Iterable[Record]) -> None:
        for record in records:
            key = (record.kind, record.key)
            if record.payload is None:
                self.state.pop(key, None)
                continue
            payload = self._migrate(record)
            if payload is None:
                self.opened.skipped += 1
                continue
            self.opened.records += 1
            self.state[key] = payload

    def _migrate(self, record: Record) -> bytes | None:
        """The payload in the current minor version, or None if only a later version can read it."""
        payload, current = record.payload, self._minors.get(record.kind)
        if current is None or record.minor > current:
            return None
        for minor in range(record.minor, current):
            migration = self._migrations.get((record.kind, minor))
            if migration is not None and payload is not None:
                payload = migration(payload)
        return payload

    # Writing.

    def put(self, kind: int, key: str, payload: bytes) -> bool:
        """Sets the value of a key. Returns False if the key is new and the store is full."""
        name = (kind, key)
        if self.state.get(name) == payload:
            return True
        if name not in self.state and len(self.state) >= MAX_KEYS:
            return False
        self.state[name] = payload
        self._pending[name] = payload
        return True

    def delete(self, kind: int, key: str) -> None:
        if self.state.pop((kind, key), None) is not None:
            self._pending[kind, key] = None

    @property
    def pending(self) -> int:
        """The number of keys that the next commit writes."""
        return len(self._pending)

    def commit(self) -> int:
        """Makes all changes since the last commit durable. Returns the number of records written.

        Raises OSError; all changes are then still pending.
        """
        batch = list(self._pending.items())
        if not batch:
            return 0
        data = b"".join(
            encode_frame(Record(self.next_number + k, kind, self._minors.get(kind, 0), key, payload))
            for k, ((kind, key), payload) in enumerate(batch)
        )
        try:
            if self.segment == 0 or self._written >= self._segment_bytes:
                self._start_segment()
            name = self._file_name("log", self.segment)
            self._folder.append(name, data)
            self._folder.sync(name)
        except OSError:
            self.failed += 1
            # The contents of the segment are unknown now, so the next attempt starts another one.
            self._written = self._segment_bytes
            raise
        self._written += len(data)
        self._bytes_since_snapshot += len(data)
        self.next_number += len(batch)
        self.synced += len(batch)
        for key, payload in batch:
            if self._pending.get(key, b"") == payload:
                del self._pending[key]
        return len(batch)

    @property
    def snapshot_due(self) -> bool:
        """Whether the segments have grown enough to be worth a snapshot."""
        return self._bytes_since_snapshot > max(
            self._min_snapshot_bytes, SNAPSHOT_GROWTH * self._snapshot_bytes
        )

    def snapshot(self) -> None:
        """Commits, starts a new segment and writes the state before it as a snapshot. Raises OSError."""
        self._write_snapshot()
        self._remove_old_files()

    def _write_snapshot(self) -> None:
        self.commit()
        self._start_segment()
        number, state = self.segment, dict(self.state)
        name = self._file_name("snap", number)
        parts = [self._encoded_header()]
        parts += [
            encode_frame(Record(self.next_number - 1, kind, self._minors.get(kind, 0), key, payload))
            for (kind, key), payload in state.items()
        ]
        footer = Footer(records=len(state)).SerializeToString()
        parts.append(encode_frame(Record(self.next_number - 1, FOOTER_KIND, 0, "", footer)))
        data = b"".join(parts)
        new = f"{name}.new"
        for leftover in [leftover for leftover in self._folder.names() if leftover.endswith(".new")]:
            self._folder.remove(leftover)  # from an attempt that failed
        self._folder.append(new, data)
        self._folder.sync(new)
        self._folder.rename(new, name)
        self._folder.sync_folder()
        self._snapshots.append(number)
        self.snapshots += 1
        self._bytes_since_snapshot, self._snapshot_bytes = 0, len(data)

    def _remove_old_files(self) -> None:
        """Removes the files older than the last two snapshots."""
        while len(self._snapshots) > 2:
            self._snapshots.popleft()
        oldest = self._snapshots[0] if len(self._snapshots) == 2 else 0
        for name in self._folder.names():
            number = file_number(name)
            if number is not None and number < oldest:
                self._folder.remove(name)

    def _start_segment(self) -> None:
        """Creates the next segment. Its folder entry is durable before any record in it is acknowledged."""
        self.segment += 1
        name = self._file_name("log", self.segment)
        self._folder.append(name, self._encoded_header())
        self._folder.sync(name)
        self._folder.sync_folder()
        self._written = 0

    def _encoded_header(self) -> bytes:
        header = Header(
            major=MAJOR,
            minor=MINOR,
            fleet=self._fleet,
            manager=self._manager,
            created=self._wall(),
            first=self.next_number,
        )
        return encode_frame(Record(0, HEADER_KIND, 0, "", header.SerializeToString()))

    def _set_aside(self, file: StoreFile) -> None:
        """Renames a damaged file to `aside-...` and removes the oldest such file above the maximum."""
        kept = [name for name in self._folder.names() if name.startswith("aside-")]
        self._folder.rename(file.name, f"aside-{self.segment:016d}-{file.state.name.lower()}-{file.name}")
        for name in sorted(kept)[: max(0, len(kept) + 1 - MAX_SET_ASIDE)]:
            self._folder.remove(name)

    @staticmethod
    def _file_name(kind: str, number: int) -> str:
        return f"{kind}-{number:016d}"
