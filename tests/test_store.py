"""Tests of the store: after any crash everything acknowledged is there and nothing that was never written."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from rushladder.standins.folder import Entries, SimulatedFolder, Tail
from rushladder.store.files import Disk, FolderLocked
from rushladder.store.frames import BODY_HEADER, FRAME_HEADER, Damage, Record, decode_frames, encode_frame
from rushladder.store.log import MAX_SET_ASIDE, IncompatibleStore, Log, Migrations, file_number
from rushladder.store.writer import BATCH_DELAY, MIN_RETRY_DELAY, Writer
from rushladder.trials.crashes import explore_crash_points, flip_bits, new_log, run_until_power_cut

RECORDS = st.builds(
    Record,
    st.integers(0, 2**63),
    st.integers(1, 254),
    st.integers(0, 255),
    st.text(max_size=8),
    st.one_of(st.none(), st.binary(max_size=30)),
)


class FrameTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.one_of(RECORDS, st.binary(max_size=20)), max_size=12))
    def test_records_are_decoded_whatever_is_between_them(self, parts: list[Record | bytes]) -> None:
        data = b"".join(part if isinstance(part, bytes) else encode_frame(part) for part in parts)
        decoded = [part for part in decode_frames(data) if isinstance(part, Record)]
        self.assertEqual(decoded, [part for part in parts if not isinstance(part, bytes)])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(RECORDS, min_size=1, max_size=6), st.integers(0), st.integers(0, 7))
    def test_a_flipped_bit_loses_only_the_record_that_contains_it(
        self, records: list[Record], offset: int, bit: int
    ) -> None:
        data = bytearray(b"".join(map(encode_frame, records)))
        data[offset % len(data)] ^= 1 << bit
        parts = list(decode_frames(bytes(data)))
        decoded = [part for part in parts if isinstance(part, Record)]
        self.assertEqual(len(decoded), len(records) - 1)
        self.assertTrue(all(record in records for record in decoded))
        self.assertTrue(any(isinstance(part, Damage) for part in parts))

    def test_a_record_too_long_for_a_reader_is_not_encoded(self) -> None:
        with self.assertRaises(ValueError):
            encode_frame(Record(1, 1, 0, "k", bytes(1 << 20)))


class CrashTests(unittest.TestCase):
    def test_after_a_crash_at_any_point_the_acknowledged_state_is_there_and_nothing_unwritten(self) -> None:
        tried = opened = 0
        for seed in (1, 2):
            counts = explore_crash_points(30, seed)
            tried, opened = tried + counts[0], opened + counts[1]
        self.assertGreater(tried, 2000)
        self.assertGreater(opened, 3 * tried)

    def test_a_bit_that_flips_later_is_detected_and_never_trusted(self) -> None:
        self.assertEqual(flip_bits(25, 3, 200), (200, 200))

    def test_instead_of_a_truncated_snapshot_the_previous_one_is_used(self) -> None:
        folder = SimulatedFolder()
        expected = run_until_power_cut(folder, 40, 5)
        snapshot = max(name for name in folder.names() if name.startswith("snap-"))
        data = folder.read(snapshot)
        for lost in (1, FRAME_HEADER.size + BODY_HEADER.size + 2, len(data) // 2, len(data)):
            other = folder.after_power_cut(Tail.WHOLE, Entries.DONE, Random(1))
            other._files[snapshot].data = other._files[snapshot].synced = data[: len(data) - lost]
            log = new_log(other)
            opened = log.open()
            self.assertEqual(log.state, expected.acknowledged)
            self.assertNotEqual(opened.snapshot, snapshot)

    def test_intact_records_behind_a_corrupt_one_are_kept_and_the_file_is_set_aside(self) -> None:
        folder = SimulatedFolder()
        log = new_log(folder)
        log.open()
        for k in range(3):
            log.put(1, f"k{k}", b"value")
            log.commit()
        name = f"log-{log.segment:016d}"
        data = folder.read(name)
        folder._files[name].data = data.replace(encode_frame(Record(2, 1, 0, "k1", b"value")), b"x" * 30)
        reopened = new_log(folder)
        offset = data.find(b"k1") - FRAME_HEADER.size - BODY_HEADER.size
        self.assertEqual(reopened.open().damage, [f"{name}: damaged: 30 bytes at {offset}: no mark"])
        self.assertEqual(set(reopened.state), {(1, "k0"), (1, "k2")})
        self.assertTrue(next(file for file in folder.names() if file.startswith("aside-")).endswith(name))

    def test_the_size_of_the_store_and_the_number_of_files_set_aside_are_bounded(self) -> None:
        folder = SimulatedFolder()
        for _ in range(MAX_SET_ASIDE + 5):
            log = new_log(folder)
            log.open()
            for turn in range(200):
                log.put(1, f"k{turn % 10}", b"%d" % turn * 8)
                log.commit()
                if log.snapshot_due:
                    log.snapshot()
            name = f"log-{log.segment:016d}"
            folder._files[name].data = b"rubbish" + folder._files[name].data[7:]
        self.assertLess(sum(len(folder.read(name)) for name in folder.names()), 25_000)
        self.assertEqual(len([name for name in folder.names() if name.startswith("aside-")]), MAX_SET_ASIDE)

    def test_a_folder_of_another_fleet_or_manager_is_rejected_and_left_unchanged(self) -> None:
        folder = SimulatedFolder()
        run_until_power_cut(folder, 5, 1)
        before = {name: folder.read(name) for name in folder.names()}
        for fleet, manager in (("other", "m1"), ("fleet", "m2")):
            with self.assertRaises(IncompatibleStore):
                Log(folder, fleet, manager, {1: 0}).open()
        self.assertEqual({name: folder.read(name) for name in folder.names()}, before)

    def test_records_of_newer_minor_versions_are_skipped_and_older_ones_migrated(self) -> None:
        folder = SimulatedFolder()
        log = Log(folder, "fleet", "m1", {1: 2, 2: 0})
        log.open()
        log.put(1, "new", b"v2")
        log.put(2, "old", b"v0")
        log.commit()
        migrations: Migrations = {(2, 0): lambda old: old + b"+1", (2, 1): lambda old: old + b"+2"}
        reopened = Log(folder, "fleet", "m1", {1: 1, 2: 2}, migrations)
        self.assertEqual(reopened.open().skipped, 1)
        self.assertEqual(reopened.state, {(2, "old"): b"v0+1+2"})

    def test_no_pending_change_is_lost_on_a_full_or_read_only_disk(self) -> None:
        folder = SimulatedFolder()
        log = new_log(folder)
        log.open()
        log.put(1, "a", b"1")
        folder.capacity = sum(len(folder.read(name)) for name in folder.names()) + 10
        with self.assertRaises(OSError):
            log.commit()
        folder.capacity, folder.read_only = 0, True
        with self.assertRaises(OSError):
            log.commit()
        folder.read_only = False
        log.put(1, "b", b"2")
        self.assertEqual(log.commit(), 2)
        reopened = new_log(folder.after_power_cut(Tail.LOST, Entries.LOST, Random(1)))
        reopened.open()
        self.assertEqual(reopened.state, {(1, "a"): b"1", (1, "b"): b"2"})


class WriterTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.folder, self.errors = Clock(), SimulatedFolder(), list[str]()
        self.log = new_log(self.folder)
        self.log.open()
        self.slow_writes = list[Callable[[], None]]()

    def run_now(self, work: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
        try:
            return succeed(work(*arguments))
        except OSError as error:
            return fail(error)

    def run_later(self, work: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        self.slow_writes.append(lambda: done.callback(work(*arguments)))
        return done

    def test_a_flush_fires_once_everything_before_it_is_durable(self) -> None:
        writer, fired = Writer(self.log, self.clock, self.run_now, self.errors.append), list[None]()
        for k in range(100):
            writer.put(1, f"k{k % 10}", b"%d" % k)
        writer.flush().addCallback(fired.append)
        self.assertEqual((fired, self.log.synced), ([], 0))
        self.clock.advance(BATCH_DELAY)
        self.assertEqual((fired, self.log.synced, writer.batches), ([None], 10, 1))

    def test_the_queue_for_a_slow_disk_is_bounded_by_the_number_of_keys(self) -> None:
        writer, fired = Writer(self.log, self.clock, self.run_later, self.errors.append), list[None]()
        writer.put(1, "first", b"1")
        self.clock.advance(BATCH_DELAY)
        for k in range(1000):
            writer.put(1, f"k{k % 7}", b"%d" % k)
            self.clock.advance(0.01)
        writer.flush().addCallback(fired.append)
        self.assertEqual((len(writer), len(self.slow_writes)), (7, 1))
        self.slow_writes.pop()()
        self.assertEqual(fired, [])  # the changes that the flush covers are in the next batch
        self.clock.advance(BATCH_DELAY)
        self.slow_writes.pop()()
        self.assertEqual((fired, len(self.log.state)), ([None], 8))

    def test_writes_to_a_failing_disk_are_retried_with_backoff_and_nothing_is_lost(self) -> None:
        writer, fired = Writer(self.log, self.clock, self.run_now, self.errors.append), list[None]()
        self.folder.read_only = True
        writer.put(1, "a", b"old")
        writer.flush().addCallback(fired.append)
        self.clock.pump([0.1] * 100)
        self.assertEqual((len(self.errors), fired, writer.failing), (5, [], True))
        writer.put(1, "a", b"new")
        self.folder.read_only = False
        self.clock.pump([MIN_RETRY_DELAY] * 80)
        self.assertEqual((fired, self.log.state[1, "a"], writer.failing), ([None], b"new", False))

    def test_stop_writes_the_queue_and_does_not_hang_on_a_failing_disk(self) -> None:
        for dead in (False, True):
            writer, done = Writer(self.log, self.clock, self.run_now, self.errors.append), list[None]()
            self.folder.read_only = dead
            writer.put(1, f"last{dead}", b"1")
            writer.stop().addCallback(done.append)
            self.assertEqual(done, [None])
        self.assertIn((1, "lastFalse"), self.log.state)


WRITER_PROCESS = """
import sys
from rushladder.store.files import Disk
from rushladder.store.log import Log
log = Log(Disk(sys.argv[1]), "fleet", "m1", {1: 0}, segment_bytes=4000, min_snapshot_bytes=8000)
log.open()
turn = int(log.state.get((1, "turn"), b"0"))
while True:
    turn += 1
    for k in range(20):
        log.put(1, f"k{k}", b"%d" % turn * 10)
    log.put(1, "turn", b"%d" % turn)
    log.commit()
    print(turn, flush=True)
    if log.snapshot_due:
        log.snapshot()
"""


class DiskTests(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(prefix="rl")
        self.addCleanup(directory.cleanup)
        self.folder = str(Path(directory.name, "store"))

    def test_a_killed_writer_has_stored_everything_that_it_acknowledged(self) -> None:
        acknowledged, random = 0, Random(4)
        for _ in range(8):
            child = subprocess.Popen(
                [sys.executable, "-c", WRITER_PROCESS, self.folder],
                cwd=Path(__file__).parent.parent,
                stdout=subprocess.PIPE,
                text=True,
            )
            assert child.stdout is not None
            acknowledged = max(acknowledged, int(child.stdout.readline()))
            time.sleep(0.05 * random.random())
            os.kill(child.pid, signal.SIGKILL)
            acknowledged = max(
                [acknowledged, *(int(line) for line in child.stdout.read().split("\n")[:-1] if line)]
            )
            child.wait()
            child.stdout.close()
            disk = Disk(self.folder)
            log = Log(disk, "fleet", "m1", {1: 0})
            opened = log.open()
            disk.close()
            turn = int(log.state[1, "turn"])
            self.assertIn(turn, (acknowledged, acknowledged + 1))
            self.assertEqual((opened.gaps, opened.skipped), (0, 0))

    def test_a_folder_has_only_one_writer(self) -> None:
        first = Disk(self.folder)
        with self.assertRaises(FolderLocked):
            Disk(self.folder)
        first.close()
        Disk(self.folder).close()

    def test_a_removed_folder_causes_errors_and_no_crash(self) -> None:
        disk = Disk(self.folder)
        self.addCleanup(disk.close)
        log = Log(disk, "fleet", "m1", {1: 0}, segment_bytes=200)
        log.open()
        for name in disk.names():
            os.unlink(Path(self.folder, name))
        os.unlink(Path(self.folder, "lock"))
        os.rmdir(self.folder)
        failures = 0
        for turn in range(40):
            log.put(1, "k", b"%d" % turn)
            with contextlib.suppress(OSError):
                log.commit()
                continue
            failures += 1
        self.assertGreater(failures, 30)
        self.assertEqual(log.state[1, "k"], b"39")

    def test_files_with_other_names_have_no_number(self) -> None:
        self.assertEqual(
            [
                file_number(name)
                for name in ("log-1", "snap-0000000000000012", "log-00000000000000x2", "notes")
            ],
            [None, 12, None, None],
        )


if __name__ == "__main__":
    unittest.main()
