"""Stories of the store: over any crash what was acknowledged is there, and nothing is trusted that is not
true."""

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
from rushladder.store.frames import BODY, HEAD, Damage, Record, encode_frame, decode_frames
from rushladder.store.log import ASIDE, Log, Migrations, IncompatibleStore, file_number
from rushladder.store.writer import FIRST_WAIT, GATHER, Writer
from rushladder.trials.crashes import explore_crash_points, new_log, flip_bits, run_until_power_cut

RECORDS = st.builds(
    Record,
    st.integers(0, 2**63),
    st.integers(1, 254),
    st.integers(0, 255),
    st.text(max_size=8),
    st.one_of(st.none(), st.binary(max_size=30)),
)


class FrameStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.one_of(RECORDS, st.binary(max_size=20)), max_size=12))
    def test_records_are_read_back_whatever_stands_between_them(self, parts: list[Record | bytes]) -> None:
        data = b"".join(part if isinstance(part, bytes) else encode_frame(part) for part in parts)
        read = [part for part in decode_frames(data) if isinstance(part, Record)]
        self.assertEqual(read, [part for part in parts if not isinstance(part, bytes)])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(RECORDS, min_size=1, max_size=6), st.integers(0), st.integers(0, 7))
    def test_a_turned_bit_costs_the_record_it_is_in_and_no_other(
        self, records: list[Record], at: int, bit: int
    ) -> None:
        data = bytearray(b"".join(map(encode_frame, records)))
        data[at % len(data)] ^= 1 << bit
        parts = list(decode_frames(bytes(data)))
        read = [part for part in parts if isinstance(part, Record)]
        self.assertEqual(len(read), len(records) - 1)
        self.assertTrue(all(record in records for record in read))
        self.assertTrue(any(isinstance(part, Damage) for part in parts))

    def test_a_record_too_long_to_be_read_is_not_written(self) -> None:
        with self.assertRaises(ValueError):
            encode_frame(Record(1, 1, 0, "k", bytes(1 << 20)))


class CrashStories(unittest.TestCase):
    def test_at_every_crash_point_what_was_acknowledged_is_there_and_nothing_else(self) -> None:
        tried = opened = 0
        for seed in (1, 2):
            some = explore_crash_points(30, seed)
            tried, opened = tried + some[0], opened + some[1]
        self.assertGreater(tried, 2000)
        self.assertGreater(opened, 3 * tried)

    def test_a_bit_that_turns_later_is_noticed_and_never_trusted(self) -> None:
        self.assertEqual(flip_bits(25, 3, 200), (200, 200))

    def test_a_snapshot_that_lost_its_end_is_not_trusted_and_its_elder_is(self) -> None:
        folder = SimulatedFolder()
        told = run_until_power_cut(folder, 40, 5)
        snap = max(name for name in folder.names() if name.startswith("snap-"))
        data = folder.read(snap)
        for many in (1, HEAD.size + BODY.size + 2, len(data) // 2, len(data)):
            other = folder.after_power_cut(Tail.WHOLE, Entries.DONE, Random(1))
            other._files[snap].data = other._files[snap].synced = data[: len(data) - many]
            log = new_log(other)
            opened = log.open()
            self.assertEqual(log.state, told.acknowledged)
            self.assertNotEqual(opened.snapshot, snap)

    def test_a_good_tail_behind_a_corrupt_middle_is_kept_and_the_file_set_aside(self) -> None:
        folder = SimulatedFolder()
        log = new_log(folder)
        log.open()
        for k in range(3):
            log.put(1, f"k{k}", b"value")
            log.commit()
        name = f"log-{log.segment:016d}"
        data = folder.read(name)
        folder._files[name].data = data.replace(encode_frame(Record(2, 1, 0, "k1", b"value")), b"x" * 30)
        again = new_log(folder)
        at = data.find(b"k1") - HEAD.size - BODY.size
        self.assertEqual(again.open().damage, [f"{name}: damaged: 30 bytes at {at}: no mark"])
        self.assertEqual(set(again.state), {(1, "k0"), (1, "k2")})
        self.assertTrue(next(one for one in folder.names() if one.startswith("aside-")).endswith(name))

    def test_the_disk_holds_a_bounded_part_and_no_more_than_some_files_aside(self) -> None:
        folder = SimulatedFolder()
        for _ in range(ASIDE + 5):
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
        self.assertEqual(len([name for name in folder.names() if name.startswith("aside-")]), ASIDE)

    def test_a_foreign_folder_is_refused_and_left_as_it_is(self) -> None:
        folder = SimulatedFolder()
        run_until_power_cut(folder, 5, 1)
        before = {name: folder.read(name) for name in folder.names()}
        for fleet, manager in (("other", "m1"), ("fleet", "m2")):
            with self.assertRaises(IncompatibleStore):
                Log(folder, fleet, manager, {1: 0}).open()
        self.assertEqual({name: folder.read(name) for name in folder.names()}, before)

    def test_newer_minor_versions_are_skipped_whole_and_older_ones_migrated(self) -> None:
        folder = SimulatedFolder()
        log = Log(folder, "fleet", "m1", {1: 2, 2: 0})
        log.open()
        log.put(1, "new", b"v2")
        log.put(2, "old", b"v0")
        log.commit()
        steps: Migrations = {(2, 0): lambda old: old + b"+1", (2, 1): lambda old: old + b"+2"}
        back = Log(folder, "fleet", "m1", {1: 1, 2: 2}, steps)
        self.assertEqual(back.open().skipped, 1)
        self.assertEqual(back.state, {(2, "old"): b"v0+1+2"})

    def test_a_full_or_read_only_disk_loses_nothing_that_waits(self) -> None:
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
        after = new_log(folder.after_power_cut(Tail.LOST, Entries.LOST, Random(1)))
        after.open()
        self.assertEqual(after.state, {(1, "a"): b"1", (1, "b"): b"2"})


class WriterStories(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.folder, self.faults = Clock(), SimulatedFolder(), list[str]()
        self.log = new_log(self.folder)
        self.log.open()
        self.slow = list[Callable[[], None]]()

    def at_once(self, work: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
        try:
            return succeed(work(*arguments))
        except OSError as trouble:
            return fail(trouble)

    def later(self, work: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        self.slow.append(lambda: done.callback(work(*arguments)))
        return done

    def test_an_acknowledgement_comes_once_all_before_it_survives(self) -> None:
        writer, sure = Writer(self.log, self.clock, self.at_once, self.faults.append), list[None]()
        for k in range(100):
            writer.put(1, f"k{k % 10}", b"%d" % k)
        writer.flush().addCallback(sure.append)
        self.assertEqual((sure, self.log.synced), ([], 0))
        self.clock.advance(GATHER)
        self.assertEqual((sure, self.log.synced, writer.batches), ([None], 10, 1))

    def test_what_waits_for_a_slow_disk_is_bounded_by_its_keys(self) -> None:
        writer, sure = Writer(self.log, self.clock, self.later, self.faults.append), list[None]()
        writer.put(1, "first", b"1")
        self.clock.advance(GATHER)
        for k in range(1000):
            writer.put(1, f"k{k % 7}", b"%d" % k)
            self.clock.advance(0.01)
        writer.flush().addCallback(sure.append)
        self.assertEqual((len(writer), len(self.slow)), (7, 1))
        self.slow.pop()()
        self.assertEqual(sure, [])  # what it waits for is in the next batch
        self.clock.advance(GATHER)
        self.slow.pop()()
        self.assertEqual((sure, len(self.log.state)), ([None], 8))

    def test_a_disk_that_fails_is_tried_again_later_and_later_and_loses_nothing(self) -> None:
        writer, sure = Writer(self.log, self.clock, self.at_once, self.faults.append), list[None]()
        self.folder.read_only = True
        writer.put(1, "a", b"old")
        writer.flush().addCallback(sure.append)
        self.clock.pump([0.1] * 100)
        self.assertEqual((len(self.faults), sure, writer.failing), (5, [], True))
        writer.put(1, "a", b"new")
        self.folder.read_only = False
        self.clock.pump([FIRST_WAIT] * 80)
        self.assertEqual((sure, self.log.state[1, "a"], writer.failing), ([None], b"new", False))

    def test_stopping_writes_what_waits_and_does_not_hang_on_a_dead_disk(self) -> None:
        for dead in (False, True):
            writer, done = Writer(self.log, self.clock, self.at_once, self.faults.append), list[None]()
            self.folder.read_only = dead
            writer.put(1, f"last{dead}", b"1")
            writer.stop().addCallback(done.append)
            self.assertEqual(done, [None])
        self.assertIn((1, "lastFalse"), self.log.state)


KILLED = """
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


class DiskStories(unittest.TestCase):
    def setUp(self) -> None:
        held = tempfile.TemporaryDirectory(prefix="rl")
        self.addCleanup(held.cleanup)
        self.folder = str(Path(held.name, "store"))

    def test_killed_in_the_middle_of_anything_it_has_what_it_said_it_has(self) -> None:
        said, random = 0, Random(4)
        for _ in range(8):
            child = subprocess.Popen(
                [sys.executable, "-c", KILLED, self.folder],
                cwd=Path(__file__).parent.parent,
                stdout=subprocess.PIPE,
                text=True,
            )
            assert child.stdout is not None
            said = max(said, int(child.stdout.readline()))
            time.sleep(0.05 * random.random())
            os.kill(child.pid, signal.SIGKILL)
            said = max([said, *(int(line) for line in child.stdout.read().split("\n")[:-1] if line)])
            child.wait()
            child.stdout.close()
            disk = Disk(self.folder)
            log = Log(disk, "fleet", "m1", {1: 0})
            opened = log.open()
            disk.close()
            turn = int(log.state[1, "turn"])
            self.assertIn(turn, (said, said + 1))
            self.assertEqual((opened.gaps, opened.skipped), (0, 0))

    def test_one_writer_a_folder(self) -> None:
        first = Disk(self.folder)
        with self.assertRaises(FolderLocked):
            Disk(self.folder)
        first.close()
        Disk(self.folder).close()

    def test_a_folder_that_is_gone_is_an_error_and_not_the_end(self) -> None:
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

    def test_names_that_are_not_ours_are_let_alone(self) -> None:
        self.assertEqual(
            [
                file_number(name)
                for name in ("log-1", "snap-0000000000000012", "log-00000000000000x2", "notes")
            ],
            [None, 12, None, None],
        )


if __name__ == "__main__":
    unittest.main()
