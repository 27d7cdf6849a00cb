"""Stories of load reports: bounded, ordered by their senders, aged, and believed by what they predicted."""

import contextlib
import math
import unittest
from collections import Counter
from collections.abc import Callable
from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from rushladder.intake.agent import AgentStatus, InvalidAgentAnswer, read_agent
from rushladder.intake.processor import ReportProcessor, ReportOutcome
from rushladder.intake.hints import FAR, LAG, LESS, STEP, Hints
from rushladder.intake.limits import ReportLimits, RateVerdict
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.intake.datagram_buffer import MAX_PER_SENDER, DatagramBuffer
from rushladder.intake.receiver import BATCH_INTERVAL, Handing, Lane
from rushladder.intake.ports import ReportStreams
from rushladder.intake.readings import GONE, STALE, ReadingOutcome, Reading
from rushladder.structures.heavy_hitters import HeavyHitters
from rushladder.structures.quantiles import QuantileSketch
from rushladder.structures.timing_wheel import TimingWheel
from rushladder.timing import clock_tenths
from tests.fake_cluster import FakeCluster

SECOND = 10_000


class StructureStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 400_000)), max_size=60),
        st.lists(st.integers(1, 60_000), min_size=1, max_size=20),
    )
    def test_the_wheel_expires_what_a_heap_does(self, sets: list[tuple[int, int]], steps: list[int]) -> None:
        wheel, times, now = TimingWheel[int](100, 0), dict[int, int](), 0
        todo = iter(sets)
        for step in steps:
            for _, (key, away) in zip(range(4), todo, strict=False):
                wheel.set(key, now + away)
                times[key] = now + away
            now += step
            gone = wheel.advance(now)
            due = {key for key, at in times.items() if at // 100 <= now // 100}
            late = {key for key in due if times[key] // 100 < now // 100}
            self.assertTrue(late <= set(gone) <= due)
            self.assertEqual(len(gone), len(set(gone)))
            for key in gone:
                del times[key]
        self.assertEqual(len(wheel), len(times))

    def test_the_wheel_holds_times_beyond_its_reach(self) -> None:
        wheel = TimingWheel[str](1, 0, levels=2)
        wheel.set("far", 64 * 64 * 5 + 7)
        self.assertEqual(wheel.advance(64 * 64 * 5 + 6), [])
        self.assertEqual(wheel.advance(64 * 64 * 5 + 8), ["far"])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 30), max_size=400), st.integers(2, 12))
    def test_heavy_hitters_are_off_by_no_more_than_stated(self, keys: list[int], most: int) -> None:
        keys = [key for key in keys for _ in range(1 + key % 3)]  # some are added several at once
        hitters, truth, place = HeavyHitters[int](most), Counter(keys), 0
        while place < len(keys):
            many = 1 + keys[place] % 3
            hitters.add(keys[place], many)
            place += many
        found = {key: (count, over) for key, count, over in hitters.top(most)}
        for key, (count, over) in found.items():
            self.assertTrue(count - over <= truth[key] <= count and over <= len(keys) / most)
        self.assertTrue({key for key, many in truth.items() if many > len(keys) / most} <= set(found))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(1e-3, 1e5), min_size=1, max_size=200), st.floats(0, 1), st.integers(0, 200))
    def test_quantiles_are_off_by_no_more_than_stated_and_merge(
        self, values: list[float], part: float, cut: int
    ) -> None:
        one, other = QuantileSketch(0.02), QuantileSketch(0.02)
        for place, value in enumerate(values):
            (one if place < cut else other).add(value)
        one.merge(other)
        truth = sorted(values)[math.floor(part * (len(values) - 1))]
        self.assertLessEqual(abs(one.quantile(part) - truth), 0.0201 * truth)


class AgentStories(unittest.TestCase):
    def test_answers_as_the_manual_has_them(self) -> None:
        self.assertEqual(read_agent(b"75%\n"), AgentStatus(weight=0.75))
        self.assertEqual(read_agent(b"up 50% maxconn:30\r\nrest"), AgentStatus(0.5, None, True, 30))
        self.assertEqual(read_agent(b"down #disk full"), AgentStatus(up=False, why="disk full"))
        self.assertEqual(read_agent(b"drain,10%\n"), AgentStatus(weight=0.1, admin="drain"))

    def test_unclear_answers_count_for_nothing(self) -> None:
        for bad in (b"75", b"-5%", b"9999%", b"up maybe", b"\xff\xfe", b"x" * 300):
            self.assertRaises(InvalidAgentAnswer, read_agent, bad)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=80))
    def test_any_bytes_are_read_or_refused(self, data: bytes) -> None:
        with contextlib.suppress(InvalidAgentAnswer):
            self.assertTrue((read_agent(data).weight or 0.0) >= 0.0)


class LimitStories(unittest.TestCase):
    def test_a_flood_gains_no_say_and_costs_its_neighbours_nothing(self) -> None:
        limits, taken = ReportLimits(10.0, 5, 1000.0), Counter[str]()
        for tick in range(10 * SECOND // 10):
            now = tick * 10
            for _ in range(5):  # 5,000 a second
                taken["flood"] += limits.admit("flood", now) is RateVerdict.ACCEPTED
            if tick % 200 == 0:
                for k in range(20):
                    taken[f"s{k}"] += limits.admit(f"s{k}", now) is RateVerdict.ACCEPTED
        self.assertLessEqual(taken["flood"], 10 * 10 + 5)
        self.assertEqual({taken[f"s{k}"] for k in range(20)}, {50})
        self.assertEqual(limits.heavy.top(1)[0][0], "flood")

    def test_when_all_send_too_much_each_gets_the_same(self) -> None:
        limits, taken, draw = ReportLimits(100.0, 5, 500.0), Counter[str](), Random(1).random
        for tick in range(5 * SECOND // 10):
            for k in range(100):
                if draw() < (0.5 if k else 1.0):
                    taken[f"s{k}"] += limits.admit(f"s{k}", tick * 10) is RateVerdict.ACCEPTED
        self.assertLess(sum(taken.values()), 1.4 * 5 * 500 + 5 * 100)
        self.assertLessEqual(max(taken.values()) - min(taken.values()), 4)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 3000), max_size=300))
    def test_no_sender_is_ever_taken_more_often_than_its_budget(self, gaps: list[int]) -> None:
        limits, now, taken = ReportLimits(10.0, 5, 1000.0), 0, list[int]()
        for gap in gaps:
            now += gap
            if limits.admit("s", now) is RateVerdict.ACCEPTED:
                taken.append(now)
        for start in taken:
            self.assertLessEqual(sum(start <= at < start + SECOND for at in taken), 10 + 5)


reports = st.lists(
    st.tuples(st.integers(1, 40), st.floats(0, 1)),
    min_size=1,
    max_size=30,
    unique_by=lambda report: report[0],
)


class ReadingStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(reports, st.randoms(use_true_random=False))
    def test_any_order_of_the_same_reports_comes_to_the_same(
        self, some: list[tuple[int, float]], draw: Random
    ) -> None:
        values = list[float]()
        for _ in range(3):
            reading = Reading()
            reading.add(1, 1, 0.0, 0.5, 0)  # of all lives the first report comes first
            for number, load in some:
                reading.add(1, number + 1, 1000.0 * number, load, SECOND * 100)
            values.append(reading.value())
            draw.shuffle(some)
        self.assertTrue(all(math.isclose(value, values[0], rel_tol=1e-9) for value in values), values)

    def test_repeats_and_former_lives_do_not_count_and_a_restart_begins_anew(self) -> None:
        reading = Reading()
        self.assertIs(reading.add(5, 100, 0.0, 0.9, 0), ReadingOutcome.NEW)
        self.assertIs(reading.add(5, 100, 0.0, 0.1, 1), ReadingOutcome.REPEATED)
        self.assertIs(reading.add(5, 99, 0.0, 0.9, 1), ReadingOutcome.LATE)
        self.assertIs(reading.add(6, 1, 0.0, 0.2, 2), ReadingOutcome.NEW)
        self.assertIs(reading.add(5, 101, 9.0, 0.9, 3), ReadingOutcome.OLD_LIFE)
        self.assertEqual(reading.value(), 0.2)
        self.assertIs(reading.add(5, 102, 9.0, 0.9, GONE + 3), ReadingOutcome.NEW)  # its clock was set back

    def test_readings_of_no_number_and_from_the_future_do_not_count(self) -> None:
        reading = Reading()
        reading.add(1, 1, 0.0, 0.5, SECOND)
        for load in (math.nan, math.inf, -1.0, 1e9):
            self.assertIs(reading.add(1, 2, 1.0, load, SECOND), ReadingOutcome.UNREAL)
        self.assertIs(reading.add(1, 2, 3600.0 * SECOND, 0.0, 2 * SECOND), ReadingOutcome.UNREAL)
        self.assertEqual(reading.value(), 0.5)

    def test_a_stale_reading_says_less_and_then_nothing(self) -> None:
        reading = Reading()
        self.assertEqual(reading.freshness(0), 0.0)
        reading.add(1, 1, 0.0, 0.5, SECOND)
        says = [reading.freshness(SECOND + age) for age in (0, STALE, (STALE + GONE) // 2, GONE, 9 * GONE)]
        self.assertEqual(says, [1.0, 1.0, 0.5, 0.0, 0.0])

    def test_after_hours_of_silence_the_sums_are_still_numbers(self) -> None:
        reading = Reading()
        reading.add(1, 1, 0.0, 0.5, 0)
        reading.add(1, 2, 36_000.0 * SECOND, 0.9, 36_000 * SECOND)
        self.assertAlmostEqual(reading.value(), 0.9)


class DeskStories(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = ReportProcessor(0)
        for k in range(4):
            self.desk.register(f"s{k}", f"127.0.1.{k}", bytes([k]) * 8)

    def word(self, k: int, number: int, load: float, boot: int = 1, claims: int | None = None) -> bytes:
        who = k if claims is None else claims
        return Envelope(
            server=f"s{who}",
            token=bytes([k]) * 8,
            boot=boot,
            number=number,
            uptime=1000 * number,
            report=OrcaLoadReport(cpu_utilization=load),
        ).SerializeToString()

    def test_each_fate_is_counted(self) -> None:
        fates = [
            self.desk.report(address, data, SECOND)
            for address, data in (
                ("127.0.1.0", self.word(0, 1, 0.5)),
                ("127.0.1.0", self.word(0, 1, 0.5)),
                ("127.0.1.9", self.word(0, 2, 0.5)),
                ("127.0.1.1", self.word(0, 2, 0.5)),
                ("127.0.1.1", self.word(1, 2, 0.5, claims=2)),
                ("127.0.1.1", b"\xff" * 30),
                ("127.0.1.1", b"x" * 5000),
                ("127.0.1.2", self.word(2, 1, math.nan)),
            )
        ]
        self.assertEqual(
            fates,
            [
                ReportOutcome.TAKEN,
                ReportOutcome.REPEATED,
                ReportOutcome.STRANGER,
                ReportOutcome.FORGED,
                ReportOutcome.FORGED,
                ReportOutcome.MALFORMED,
                ReportOutcome.OVERSIZED,
                ReportOutcome.UNREAL,
            ],
        )
        self.assertEqual(sum(self.desk.counts.values()), 8)

    def test_a_flood_is_turned_away_before_it_is_read_and_memory_stays(self) -> None:
        data = self.word(0, 1, 0.0)
        for turn in range(50_000):
            self.desk.report("127.0.1.0", data, SECOND + turn // 10)
            self.desk.report(f"10.0.{turn % 250}.{turn // 250}", data, SECOND + turn // 10)
        self.assertEqual((len(self.desk.senders), len(self.desk._expiry)), (4, 1))
        self.assertLess(self.desk.counts[ReportOutcome.REPEATED], 30)
        self.assertGreater(self.desk.counts[ReportOutcome.OVER_OWN], 49_900)

    def test_readings_that_end_stop_steering_and_are_forgotten(self) -> None:
        for second in range(1, 40):
            for k, load in enumerate((0.2, 0.5, 0.5, 0.9)):
                self.desk.report(f"127.0.1.{k}", self.word(k, second, load), second * SECOND)
            hints = self.desk.update_hints({"s0": 0.4, "s1": 1.0, "s2": 1.0, "s3": 1.7}, second * SECOND)
        self.assertLess(hints["s3"], 0.95)
        for second in range(40, 80):
            hints = self.desk.update_hints({}, second * SECOND)
        self.assertEqual(hints, {})
        self.assertTrue(all(sender.reading.boot < 0 for sender in self.desk.senders.values()))

    def lane(self, clock: Clock) -> tuple[Lane, Callable[[], None]]:
        """A lane and its manager's side in memory, and what carries bytes between them."""
        lane, handing = Lane(clock, lambda: None), Handing(self.desk, clock)
        wires = StringTransport(), StringTransport()
        lane.makeConnection(wires[0])  # type: ignore[no-untyped-call]
        handing.makeConnection(wires[1])  # type: ignore[no-untyped-call]

        def carry() -> None:
            for wire, other in ((wires[0], handing), (wires[1], lane)):
                data = wire.value()
                wire.clear()
                other.dataReceived(data)  # type: ignore[no-untyped-call]

        handing.turn()
        carry()
        return lane, carry

    def test_a_manager_that_stood_still_reads_the_newest_of_each_sender_first(self) -> None:
        clock = Clock()
        clock.advance(10)
        lane, carry = self.lane(clock)
        lane.add(b"?", "10.9.9.9")
        clock.advance(BATCH_INTERVAL)  # handed over, and not read: the manager stands still
        for number in range(2, 42):  # two seconds of reports, in the order in which they came
            for k in range(4):
                lane.add(self.word(k, number, 0.9 if number < 37 else 0.2), f"127.0.1.{k}")
            clock.advance(BATCH_INTERVAL)
        for _ in range(3):
            carry()
            clock.advance(BATCH_INTERVAL)
        readings = [sender.reading for sender in self.desk.senders.values()]
        self.assertEqual({reading.newest for reading in readings}, {41})
        self.assertTrue(all(reading.value() < 0.25 for reading in readings))
        self.assertEqual(self.desk.counts[ReportOutcome.OVER_OWN], 4 * (40 - MAX_PER_SENDER))

    def test_the_lane_keeps_no_stranger_and_hears_of_changes_of_the_list(self) -> None:
        clock = Clock()
        lane, carry = self.lane(clock)
        for turn in range(1000):
            lane.add(b"?", f"10.9.9.{turn % 250}")
        clock.advance(BATCH_INTERVAL)
        carry()
        self.assertEqual((self.desk.counts[ReportOutcome.STRANGER], len(lane.gathering)), (1000, 0))
        self.desk.forget("s0")
        lane.add(self.word(0, 1, 0.5), "127.0.1.0")  # gathered before the lane knows, and left out after
        clock.advance(BATCH_INTERVAL)
        carry()
        carry()
        lane.add(self.word(0, 2, 0.5), "127.0.1.0")
        self.assertEqual((len(lane.gathering), lane.gathering.strangers), (0, 1))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 9)), max_size=80))
    def test_what_is_gathered_is_each_known_senders_newest(self, came: list[tuple[int, int]]) -> None:
        gathering, by = DatagramBuffer({"a0", "a1", "a2"}), dict[str, list[bytes]]()
        for who, what in came:
            gathering.add(f"a{who}", bytes([what]))
            by.setdefault(f"a{who}", []).append(bytes([what]))
        known = {address: sent for address, sent in by.items() if address in gathering.knows}
        taken = {one.address: one for one in gathering.take()}
        newest = {address: sent[::-1][:MAX_PER_SENDER] for address, sent in known.items()}
        self.assertEqual({a: t.reports for a, t in taken.items()}, newest)
        self.assertTrue(
            all(t.passed_over == max(0, len(known[a]) - MAX_PER_SENDER) for a, t in taken.items())
        )

    def test_a_server_back_after_hours_is_heard_again_from_its_first_report(self) -> None:
        self.desk.report("127.0.1.0", self.word(0, 5, 0.9), SECOND)
        for second in range(2, 30):
            self.desk.update_hints({}, second * SECOND)
        later = 5 * 3600 * SECOND
        fates = [
            self.desk.report("127.0.1.0", self.word(0, number, 0.3), later) for number in (18_000, 18_001)
        ]
        self.assertEqual(fates, [ReportOutcome.TAKEN, ReportOutcome.TAKEN])
        self.assertAlmostEqual(self.desk.senders["s0"].reading.value(), 0.3)

    def test_agent_checks_say_the_same_in_their_own_words(self) -> None:
        for second in range(1, 9):
            self.desk.record_agent_check("s1", read_agent(b"up 30%"), second * SECOND)
        self.assertAlmostEqual(self.desk.senders["s1"].reading.value(), 0.7)

    def test_a_stream_over_its_budget_is_not_read_for_a_while(self) -> None:
        clock, wire = Clock(), StringTransport(peerAddress=IPv4Address("TCP", "127.0.1.0", 9))
        clock.advance(5)
        stream = ReportStreams(self.desk, clock).buildProtocol(None)
        assert stream is not None
        stream.makeConnection(wire)
        for number in range(1, 20):
            word = self.word(0, number, 0.5)
            stream.dataReceived(len(word).to_bytes(4, "big") + word)
        self.assertEqual(wire.producerState, "paused")
        clock.pump([0.25] * 20)  # what was buffered is read as its budget allows
        self.assertEqual(
            (wire.producerState, self.desk.counts[ReportOutcome.TAKEN] < 19), ("producing", True)
        )
        stream.dataReceived((99_999).to_bytes(4, "big"))
        self.assertTrue(wire.disconnected)


class HintStories(unittest.TestCase):
    def play(
        self, tell: dict[str, float], truth: dict[str, float], periods: int = 60
    ) -> tuple[Hints, dict[str, float]]:
        """Loads as told; latencies follow the true loads."""
        hints, mean = Hints(), sum(truth.values()) / len(truth)
        found = dict[str, float]()
        for _ in range(periods):
            found = hints.period(
                {name: (load, 1.0) for name, load in tell.items()},
                {name: load / mean for name, load in truth.items()},
            )
        return hints, found

    def test_true_reports_move_weights_within_their_bound(self) -> None:
        truth = {"a": 0.4, "b": 0.5, "c": 0.5, "d": 0.9}
        hints, found = self.play(truth, truth)
        self.assertGreater(found["a"], 1.05)
        self.assertLess(found["d"], 0.9)
        self.assertTrue(all(-LESS - 1e-9 <= hint - 1 <= FAR + 1e-9 for hint in found.values()))
        self.assertGreater(hints.worth("d"), 0.5)

    def test_a_liar_that_is_always_idle_gains_nothing(self) -> None:
        truth = {"a": 0.5, "b": 0.5, "c": 0.5, "liar": 0.8}
        hints, found = self.play({**truth, "liar": 0.0}, truth)
        self.assertLess(hints.worth("liar"), 0.05)
        self.assertLess(found["liar"], 1.01)

    def test_a_queue_that_shows_in_settled_txns_only_later_is_believed_at_once(self) -> None:
        hints, found = Hints(), dict[str, float]()
        for period in range(30):
            full = 3.0 if period >= 10 else 0.5
            slow = 2.5 if period >= 10 + LAG else 1.0
            found = hints.period(
                {"a": (0.5, 1.0), "b": (0.5, 1.0), "c": (full, 1.0)}, {"a": 0.9, "b": 0.9, "c": slow}
            )
            if period == 12:
                self.assertLess(found["c"], 0.6)  # before its first slow txn settled
        self.assertLess(found["c"], 0.4)
        self.assertGreater(hints.worth("c"), 0.9)

    def test_a_server_that_always_cries_that_it_is_full_is_soon_not_heard(self) -> None:
        hints, found = Hints(), list[float]()
        for _ in range(40):
            loads = {"a": (0.5, 1.0), "b": (0.5, 1.0), "liar": (9.0, 1.0)}
            found.append(hints.period(loads, {"a": 1.0, "b": 1.0, "liar": 0.9})["liar"])
        self.assertLess(min(found), 0.7)
        self.assertGreater(min(found[15:]), 0.95)

    def test_reporters_that_flap_move_their_weights_no_faster_than_others(self) -> None:
        hints, found = Hints(), list[float]()
        for period in range(60):
            loads = {"a": (0.5, 1.0), "b": (0.5, 1.0)}
            loads |= {"c": (0.5, 1.0), "flaps": (2.0, 1.0)} if period % 4 < 2 else {}
            found.append(hints.period(loads, {"a": 1.0, "b": 1.0, "c": 1.0, "flaps": 1.0}).get("flaps", 1.0))
        moves = [abs(after - before) for before, after in pairwise(found)]
        self.assertLessEqual(max(moves), STEP + 1e-9)
        self.assertGreaterEqual(min(found), 1 - 2 * STEP - 1e-9)

    def test_when_all_reports_stop_weights_go_back_slowly(self) -> None:
        truth = {"a": 0.4, "b": 0.5, "c": 0.5, "d": 0.9}
        hints, before = self.play(truth, truth)
        after = hints.period({}, {})
        self.assertTrue(all(abs(after.get(name, 1.0) - before[name]) <= STEP + 1e-9 for name in before))
        for _ in range(20):
            after = hints.period({}, {})
        self.assertEqual(set(after.values()) - {1.0}, set())

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.dictionaries(st.sampled_from("abcdef"), st.tuples(st.floats(0, 100), st.floats(0, 1))),
            max_size=30,
        )
    )
    def test_whatever_is_sent_the_say_is_bounded(self, story: list[dict[str, tuple[float, float]]]) -> None:
        hints, before = Hints(), dict[str, float]()
        for loads in story:
            found = hints.period(loads, dict.fromkeys(loads, 1.3))
            for name, hint in found.items():
                self.assertTrue(-LESS - 1e-9 <= hint - 1.0 <= FAR + 1e-9)
                self.assertLessEqual(abs(hint - before.get(name, 1.0)), STEP + 1e-9)
            before = found


class ReportingWorld(FakeCluster):
    def config_text(self, name: str) -> str:
        lines = list[str]()
        for line in super().config_text(name).splitlines():
            lines.append(line)
            if line.startswith("collector s"):
                k = int(line.removeprefix("collector s"))
                lines.append(f"    reports 127.0.1.{k} token {(bytes([k]) * 8).hex()}")
        return "\n".join(lines)

    def report(self, number: int, loads: dict[int, float]) -> None:
        for k, load in loads.items():
            word = Envelope(
                server=f"s{k}",
                token=bytes([k]) * 8,
                boot=1,
                number=number,
                uptime=1000 * number,
                report=OrcaLoadReport(application_utilization=load),
            )
            self.managers["m0"].desk.report(
                f"127.0.1.{k}", word.SerializeToString(), clock_tenths(self.clock)
            )


class SteeredByReportsStories(unittest.TestCase):
    def test_when_all_reports_stop_weights_go_back_without_a_storm_past_the_cap(self) -> None:
        world = ReportingWorld(cap=12)
        world.run(6, rate=20)
        world.service_time["s0"] = 0.45
        for number in range(1, 26):
            world.report(number, {0: 1.5, 1: 0.5, 2: 0.5, 3: 0.5})
            world.run(1, rate=20)
        desk, stopped = world.managers["m0"].desk, world.clock.seconds()
        self.assertLess(desk.current_hints["s0"], 0.6)
        before, moves = desk.current_hints["s0"], list[float]()
        for _ in range(30):
            world.run(1, rate=20)
            moves.append(abs(desk.current_hints.get("s0", 1.0) - before))
            before = desk.current_hints.get("s0", 1.0)
        self.assertEqual(before, 1.0)
        self.assertLessEqual(max(moves), STEP + 1e-9)
        for name in world.sites:
            wrote = [
                at
                for at, site, words, _ in world.sent
                if site == name and at >= stopped and words[:3] == ("set", "var", "proc.rushladder_wrote")
            ]
            self.assertLessEqual(max((sum(a <= b < a + 10 for b in wrote) for a in wrote), default=0), 12)
            self.assertGreaterEqual(len(world.usable_weights(name, "pay")), 2)


if __name__ == "__main__":
    unittest.main()
