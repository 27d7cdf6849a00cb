"""A log with snapshots: the newest value of each key, over any crash. Free of I/O but for its folder.

Files: `log-N` segments that are only appended to; `snap-N`, the whole state as it stood before segment N.
To open is to take the newest snapshot that proves whole, then the segments from its number on, in their
order, the last value winning; then a new segment is begun, so that nothing is ever appended behind what may
be torn.

The order of steps is what makes it safe. A batch: append, sync, and only then is it acknowledged. A
snapshot: write `snap-N.new`, sync it, rename, sync the folder, and only then remove what it stands for. One
snapshot and its segments of before are kept, so that one that rots later still has its elder. A failed
write or sync ends the segment: what is in it is unknown, and the batch is written again to the next."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum

import attrs
from google.protobuf.message import DecodeError

from rushladder.store.files import Folder
from rushladder.store.frames import FOOTER_KIND, HEADER_KIND, Damage, Record, encode_frame, decode_frames
from rushladder.store.store_pb2 import Footer, Header

MAJOR, MINOR = 1, 0
SEGMENT = 1 << 20  # bytes after which a segment ends: a second of reading at start, at the most
# times the last snapshot that the segments may hold before the next: each record is written thrice
GROWTH = 2
LEAST = 64 * 1024  # bytes of segments below which no snapshot is worth its syncs
KEYS = 60_000  # of all kinds together: six for each of ten thousand servers
# files set aside that are kept; the oldest goes when there is one more, so that the disk is bounded
ASIDE = 8

Key = tuple[int, str]  # kind, key
# From an older minor version of a kind to the next: payload in, payload out.
Migrations = Mapping[tuple[int, int], Callable[[bytes], bytes]]


class IncompatibleStore(Exception):
    """A folder that is not ours to write in: of another fleet or manager, or of a later major version."""


class FileState(Enum):
    """What a file proved to be when it was read."""

    WHOLE = "whole"
    TORN = "torn at its end"
    DAMAGED = "damaged"
    HEADLESS = "without a header"
    HALF = "a snapshot that is not whole"


# Files that are moved out of the way once what is good of them stands in a new snapshot. A torn end is what a
# crash leaves and holds nothing that was acknowledged.
SET_ASIDE = {FileState.DAMAGED, FileState.HEADLESS, FileState.HALF}


@attrs.frozen
class Found:
    """One file as it was read."""

    name: str
    state: FileState
    records: Sequence[Record]
    first: int
    created: int
    bytes: int
    why: str = ""


@attrs.define
class Opened:
    """What opening found."""

    snapshot: str = ""
    segments: int = 0
    records: int = 0
    skipped: int = 0  # of a newer minor version, or of a kind not known
    gaps: int = 0  # numbers missing between records that are there: acknowledged ones may be lost
    damage: list[str] = attrs.field(factory=list)
    files_read: list[str] = attrs.field(
        factory=list
    )  # files; older ones, which a snapshot stands for, are not
    written_at: int = 0  # ms of the wall clock when the newest file was begun


def read_file(name: str, data: bytes) -> Found:
    """Judges one file. Never raises."""
    records, damage = list[Record](), list[Damage]()
    for part in decode_frames(data):
        if isinstance(part, Damage):
            damage.append(part)
        else:
            records.append(part)
    header = _header(records, damage)
    if header is None and not records and all(part.why.startswith("torn") for part in damage):
        return Found(name, FileState.TORN, (), 0, 0, len(data))  # begun, and not synced
    if header is None:
        return Found(name, FileState.HEADLESS, (), 0, 0, len(data), "its first frame is no header")
    why = "; ".join(f"{one.many} bytes at {one.at}: {one.why}" for one in damage[:3])
    records = records[1:]
    step = FileState.WHOLE
    if name.startswith("snap-"):
        if damage or not records or not _closes(records[-1], len(records) - 1):
            step = FileState.HALF
            why = why or "its last frame is no footer"
        records = records[:-1]
    elif damage:
        last = damage[-1]
        torn = len(damage) == 1 and last.at + last.many == len(data)
        step = FileState.TORN if torn else FileState.DAMAGED
    return Found(name, step, records, header.first, header.created, len(data), why)


def _header(records: Sequence[Record], damage: Sequence[Damage]) -> Header | None:
    if not records or records[0].kind != HEADER_KIND or (damage and damage[0].at == 0):
        return None
    try:
        return Header.FromString(records[0].payload or b"")
    except DecodeError:
        return None


def _closes(record: Record, many: int) -> bool:
    try:
        return record.kind == FOOTER_KIND and Footer.FromString(record.payload or b"").records == many
    except DecodeError:
        return False


def read_header(data: bytes) -> Header | None:
    """The header of a file's bytes; None where they begin with none."""
    first = next(iter(decode_frames(data)), None)
    return _header([first], []) if isinstance(first, Record) else None


def file_number(name: str) -> int | None:
    """The number of a segment or snapshot; None for any other file."""
    kind, _, digits = name.partition("-")
    return int(digits) if kind in ("log", "snap") and len(digits) == 16 and digits.isdigit() else None


class Log:
    """One folder's state. fleet, manager: whose it is; minors: kind -> the minor version that is written.

    Values are bytes; `put` and `drop` take effect in `state` at once and on disk with `commit`.
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
        segment_bytes: int = SEGMENT,
        min_snapshot_bytes: int = LEAST,
    ) -> None:
        self._longest, self._least = segment_bytes, min_snapshot_bytes
        self._folder, self._fleet, self._manager = folder, fleet, manager
        self._minors, self._migrations, self._wall = minors, migrations or {}, wall
        self.state = dict[Key, bytes]()
        self._pending = dict[Key, bytes | None]()
        self.next, self.segment, self._written = 1, 0, 0
        self.synced, self.snapshots, self.failed = 0, 0, 0
        self._live = 0  # bytes of the segments since the last snapshot
        self._snapshot_bytes = 0
        self._snapshots = deque[int]()  # numbers of those kept, oldest first
        self.opened = Opened()

    # Opening.

    def open(self) -> Opened:
        """Reads the folder, and begins a new segment. Raises Refused and OSError."""
        names = self._folder.names()
        found = self._read_needed(names)
        self._take(names, found)
        for name in names:
            if name.endswith(".new"):
                self._folder.remove(name)  # half a snapshot: what it would have stood for is still there
        numbers = [number for name in names if (number := file_number(name)) is not None]
        self.segment = max(numbers, default=0)
        bad = [one for one in found.values() if one.state in SET_ASIDE]
        self._begin()
        if bad:
            # First what is good of them on new ground, then out of the way, then what is not needed any more.
            self._write_snapshot()
            for one in bad:
                self._aside(one)
            self._clear()
        return self.opened

    def _read_needed(self, names: Sequence[str]) -> dict[str, Found]:
        """Snapshots from the newest on until one is whole, and the segments from its number on."""
        found, since = dict[str, Found](), 0
        for kind in ("snap-", "log-"):
            for name in sorted((name for name in names if name.startswith(kind)), reverse=True):
                number = file_number(name)
                if number is None or number < since:
                    continue
                data = self._folder.read(name)
                self._ours(name, data)
                found[name] = read_file(name, data)
                if kind == "snap-" and found[name].state is FileState.WHOLE:
                    since = number
        return found

    def _ours(self, name: str, data: bytes) -> None:
        header = read_header(data)
        if header is None:
            return  # never trusted, and set aside
        if header.major > MAJOR:
            raise IncompatibleStore(
                f"{name} is of version {header.major}.{header.minor}; up to {MAJOR}.x can be read"
            )
        for what, theirs, ours in (
            ("fleet", header.fleet, self._fleet),
            ("manager", header.manager, self._manager),
        ):
            if theirs != ours:
                raise IncompatibleStore(f"{name} is of {what} {theirs!r}, not of {ours!r}")

    def _take(self, names: Sequence[str], found: Mapping[str, Found]) -> None:
        """The newest whole snapshot, then each segment from its number on."""
        opened = self.opened
        snaps = sorted((one for one in found.values() if one.name.startswith("snap-")), key=lambda f: f.name)
        base = next((one for one in reversed(snaps) if one.state is FileState.WHOLE), None)
        since = 0
        if base is not None:
            opened.snapshot, since, self._snapshot_bytes = base.name, file_number(base.name) or 0, base.bytes
            self._apply(base.records)
            self.next = base.first
        # Elder snapshots stay until two newer ones stand for them, read or not.
        elder = (file_number(name) for name in names if name.startswith("snap-") and name not in found)
        self._snapshots.extend(sorted({since, *(number for number in elder if number is not None)} - {0}))
        logs = sorted((one for one in found.values() if one.name.startswith("log-")), key=lambda f: f.name)
        for one in logs:
            if (file_number(one.name) or 0) >= since:
                opened.segments += 1
                self._live += one.bytes
                self._apply(one.records)
                opened.gaps += max(0, one.first - self.next)
                self.next = max(self.next, one.first)
                numbers = [record.number for record in one.records]
                for number in numbers:
                    # In the last one, what is missing was never acknowledged: power went while it was
                    # written.
                    opened.gaps += max(0, number - self.next) * (one is not logs[-1])
                    self.next = max(self.next, number + 1)
        opened.files_read = sorted(found)
        opened.damage = [f"{one.name}: {one.state.value}: {one.why}" for one in found.values() if one.why]
        opened.written_at = max((one.created for one in found.values()), default=0)

    def _apply(self, records: Iterable[Record]) -> None:
        for record in records:
            key = (record.kind, record.key)
            if record.payload is None:
                self.state.pop(key, None)
                continue
            payload = self._migrated(record)
            if payload is None:
                self.opened.skipped += 1
                continue
            self.opened.records += 1
            self.state[key] = payload

    def _migrated(self, record: Record) -> bytes | None:
        """The payload in today's form; None for what only a later version can read."""
        payload, ours = record.payload, self._minors.get(record.kind)
        if ours is None or record.minor > ours:
            return None
        for minor in range(record.minor, ours):
            step = self._migrations.get((record.kind, minor))
            if step is not None and payload is not None:
                payload = step(payload)
        return payload

    # Writing.

    def put(self, kind: int, key: str, payload: bytes) -> bool:
        """The newest value of a key; False where there is no room for one more key."""
        name = (kind, key)
        if self.state.get(name) == payload:
            return True
        if name not in self.state and len(self.state) >= KEYS:
            return False
        self.state[name] = payload
        self._pending[name] = payload
        return True

    def delete(self, kind: int, key: str) -> None:
        if self.state.pop((kind, key), None) is not None:
            self._pending[kind, key] = None

    @property
    def pending(self) -> int:
        return len(self._pending)

    def commit(self) -> int:
        """Makes all that was put since survive; the number of records. Raises OSError, and all of it is still
        pending."""
        batch = list(self._pending.items())
        if not batch:
            return 0
        data = b"".join(
            encode_frame(Record(self.next + k, kind, self._minors.get(kind, 0), key, payload))
            for k, ((kind, key), payload) in enumerate(batch)
        )
        try:
            if self.segment == 0 or self._written >= self._longest:
                self._begin()
            name = self._name("log", self.segment)
            self._folder.append(name, data)
            self._folder.sync(name)
        except OSError:
            self.failed += 1
            # what the segment holds now is unknown: the next try begins another
            self._written = self._longest
            raise
        self._written += len(data)
        self._live += len(data)
        self.next += len(batch)
        self.synced += len(batch)
        for key, payload in batch:
            if self._pending.get(key, b"") == payload:
                del self._pending[key]
        return len(batch)

    @property
    def snapshot_due(self) -> bool:
        """Whether a snapshot is worth its cost."""
        return self._live > max(self._least, GROWTH * self._snapshot_bytes)

    def snapshot(self) -> None:
        """Commits, begins a segment, and writes the whole state as it stands before it. Raises OSError."""
        self._write_snapshot()
        self._clear()

    def _write_snapshot(self) -> None:
        self.commit()
        self._begin()
        number, state = self.segment, dict(self.state)
        name = self._name("snap", number)
        parts = [self._header()]
        parts += [
            encode_frame(Record(self.next - 1, kind, self._minors.get(kind, 0), key, payload))
            for (kind, key), payload in state.items()
        ]
        footer = Footer(records=len(state)).SerializeToString()
        parts.append(encode_frame(Record(self.next - 1, FOOTER_KIND, 0, "", footer)))
        data = b"".join(parts)
        new = f"{name}.new"
        for half in [half for half in self._folder.names() if half.endswith(".new")]:
            self._folder.remove(half)  # of a try that failed
        self._folder.append(new, data)
        self._folder.sync(new)
        self._folder.rename(new, name)
        self._folder.sync_folder()
        self._snapshots.append(number)
        self.snapshots += 1
        self._live, self._snapshot_bytes = 0, len(data)

    def _clear(self) -> None:
        """Removes what two snapshots stand for already."""
        while len(self._snapshots) > 2:
            self._snapshots.popleft()
        oldest = self._snapshots[0] if len(self._snapshots) == 2 else 0
        for name in self._folder.names():
            number = file_number(name)
            if number is not None and number < oldest:
                self._folder.remove(name)

    def _begin(self) -> None:
        """A new segment, whose name survives before anything in it is acknowledged."""
        self.segment += 1
        name = self._name("log", self.segment)
        self._folder.append(name, self._header())
        self._folder.sync(name)
        self._folder.sync_folder()
        self._written = 0

    def _header(self) -> bytes:
        header = Header(
            major=MAJOR,
            minor=MINOR,
            fleet=self._fleet,
            manager=self._manager,
            created=self._wall(),
            first=self.next,
        )
        return encode_frame(Record(0, HEADER_KIND, 0, "", header.SerializeToString()))

    def _aside(self, one: Found) -> None:
        kept = [name for name in self._folder.names() if name.startswith("aside-")]
        self._folder.rename(one.name, f"aside-{self.segment:016d}-{one.state.name.lower()}-{one.name}")
        for name in sorted(kept)[: max(0, len(kept) + 1 - ASIDE)]:
            self._folder.remove(name)

    @staticmethod
    def _name(kind: str, number: int) -> str:
        return f"{kind}-{number:016d}"
