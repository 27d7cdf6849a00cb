"""Tests of load reports: rate limits, order, ageing, and trust by how well reports predicted latencies."""

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

from rushladder.intake.agent import AgentStatus, InvalidAgentAnswer, parse_agent_answer
from rushladder.intake.datagram_buffer import MAX_PER_SENDER, DatagramBuffer
from rushladder.intake.hints import LAG, MAX_DECREASE, MAX_INCREASE, MAX_STEP, Hints
from rushladder.intake.limits import RateVerdict, ReportLimits
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.intake.ports import ReportStreams
from rushladder.intake.processor import ReportOutcome, ReportProcessor
from rushladder.intake.readings import GONE_AFTER, STALE_AFTER, Reading, ReadingOutcome
from rushladder.intake.receiver import BATCH_INTERVAL, ManagerSide, ReceiverSide
from rushladder.structures.heavy_hitters import HeavyHitters
from rushladder.structures.quantiles import QuantileSketch
from rushladder.structures.timing_wheel import TimingWheel
from rushladder.timing import clock_tenths
from tests.fake_cluster import FakeCluster

SECOND = 10_000


class StructureTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 400_000)), max_size=60),
        st.lists(st.integers(1, 60_000), min_size=1, max_size=20),
    )
    def test_the_timing_wheel_expires_the_same_keys_as_a_heap(
        self, sets: list[tuple[int, int]], steps: list[int]
    ) -> None:
        wheel, times, now = TimingWheel[int](100, 0), dict[int, int](), 0
        remaining = iter(sets)
        for step in steps:
            for _, (key, delay) in zip(range(4), remaining, strict=False):
                wheel.set(key, now + delay)
                times[key] = now + delay
            now += step
            expired = wheel.advance(now)
            due = {key for key, at in times.items() if at // 100 <= now // 100}
            overdue = {key for key in due if times[key] // 100 < now // 100}
            self.assertTrue(overdue <= set(expired) <= due)
            self.assertEqual(len(expired), len(set(expired)))
            for key in expired:
                del times[key]
        self.assertEqual(len(wheel), len(times))

    def test_the_timing_wheel_accepts_times_beyond_its_range(self) -> None:
        wheel = TimingWheel[str](1, 0, levels=2)
        wheel.set("far", 64 * 64 * 5 + 7)
        self.assertEqual(wheel.advance(64 * 64 * 5 + 6), [])
        self.assertEqual(wheel.advance(64 * 64 * 5 + 8), ["far"])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 30), max_size=400), st.integers(2, 12))
    def test_heavy_hitter_counts_are_within_the_error_bound(self, keys: list[int], max_counters: int) -> None:
        keys = [key for key in keys for _ in range(1 + key % 3)]  # some keys are added several at once
        hitters, exact, index = HeavyHitters[int](max_counters), Counter(keys), 0
        while index < len(keys):
            amount = 1 + keys[index] % 3
            hitters.add(keys[index], amount)
            index += amount
        found = {key: (count, error) for key, count, error in hitters.top(max_counters)}
        for key, (count, error) in found.items():
            self.assertTrue(count - error <= exact[key] <= count and error <= len(keys) / max_counters)
        self.assertTrue(
            {key for key, count in exact.items() if count > len(keys) / max_counters} <= set(found)
        )

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(1e-3, 1e5), min_size=1, max_size=200), st.floats(0, 1), st.integers(0, 200))
    def test_merged_quantiles_are_within_the_error_bound(
        self, values: list[float], fraction: float, split: int
    ) -> None:
        sketch, other = QuantileSketch(0.02), QuantileSketch(0.02)
        for index, value in enumerate(values):
            (sketch if index < split else other).add(value)
        sketch.merge(other)
        exact = sorted(values)[math.floor(fraction * (len(values) - 1))]
        self.assertLessEqual(abs(sketch.quantile(fraction) - exact), 0.0201 * exact)


class AgentTests(unittest.TestCase):
    def test_answers_from_the_manual_are_parsed(self) -> None:
        self.assertEqual(parse_agent_answer(b"75%\n"), AgentStatus(weight=0.75))
        self.assertEqual(parse_agent_answer(b"up 50% maxconn:30\r\nrest"), AgentStatus(0.5, None, True, 30))
        self.assertEqual(parse_agent_answer(b"down #disk full"), AgentStatus(up=False, why="disk full"))
        self.assertEqual(parse_agent_answer(b"drain,10%\n"), AgentStatus(weight=0.1, admin="drain"))

    def test_invalid_answers_are_rejected(self) -> None:
        for invalid in (b"75", b"-5%", b"9999%", b"up maybe", b"\xff\xfe", b"x" * 300):
            self.assertRaises(InvalidAgentAnswer, parse_agent_answer, invalid)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=80))
    def test_any_bytes_are_parsed_or_rejected(self, data: bytes) -> None:
        with contextlib.suppress(InvalidAgentAnswer):
            self.assertTrue((parse_agent_answer(data).weight or 0.0) >= 0.0)


class LimitTests(unittest.TestCase):
    def test_a_flood_gains_no_influence_and_costs_other_senders_nothing(self) -> None:
        limits, accepted = ReportLimits(10.0, 5, 1000.0), Counter[str]()
        for tick in range(10 * SECOND // 10):
            now = tick * 10
            for _ in range(5):  # 5,000 a second
                accepted["flood"] += limits.admit("flood", now) is RateVerdict.ACCEPTED
            if tick % 200 == 0:
                for k in range(20):
                    accepted[f"s{k}"] += limits.admit(f"s{k}", now) is RateVerdict.ACCEPTED
        self.assertLessEqual(accepted["flood"], 10 * 10 + 5)
        self.assertEqual({accepted[f"s{k}"] for k in range(20)}, {50})
        self.assertEqual(limits.heavy.top(1)[0][0], "flood")

    def test_when_all_senders_exceed_the_total_budget_each_gets_the_same_share(self) -> None:
        limits, accepted, draw = ReportLimits(100.0, 5, 500.0), Counter[str](), Random(1).random
        for tick in range(5 * SECOND // 10):
            for k in range(100):
                if draw() < (0.5 if k else 1.0):
                    accepted[f"s{k}"] += limits.admit(f"s{k}", tick * 10) is RateVerdict.ACCEPTED
        self.assertLess(sum(accepted.values()), 1.4 * 5 * 500 + 5 * 100)
        self.assertLessEqual(max(accepted.values()) - min(accepted.values()), 4)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 3000), max_size=300))
    def test_no_sender_is_ever_accepted_more_often_than_its_budget_allows(self, gaps: list[int]) -> None:
        limits, now, accepted = ReportLimits(10.0, 5, 1000.0), 0, list[int]()
        for gap in gaps:
            now += gap
            if limits.admit("s", now) is RateVerdict.ACCEPTED:
                accepted.append(now)
        for start in accepted:
            self.assertLessEqual(sum(start <= at < start + SECOND for at in accepted), 10 + 5)


reports = st.lists(
    st.tuples(st.integers(1, 40), st.floats(0, 1)),
    min_size=1,
    max_size=30,
    unique_by=lambda report: report[0],
)


class ReadingTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(reports, st.randoms(use_true_random=False))
    def test_the_order_of_reports_does_not_change_the_reading(
        self, loads: list[tuple[int, float]], random: Random
    ) -> None:
        values = list[float]()
        for _ in range(3):
            reading = Reading()
            reading.add(1, 1, 0.0, 0.5, 0)  # the first report of an incarnation arrives first
            for number, load in loads:
                reading.add(1, number + 1, 1000.0 * number, load, SECOND * 100)
            values.append(reading.value())
            random.shuffle(loads)
        self.assertTrue(all(math.isclose(value, values[0], rel_tol=1e-9) for value in values), values)

    def test_duplicates_and_earlier_incarnations_do_not_count_and_a_restart_resets_the_reading(self) -> None:
        reading = Reading()
        self.assertIs(reading.add(5, 100, 0.0, 0.9, 0), ReadingOutcome.NEW)
        self.assertIs(reading.add(5, 100, 0.0, 0.1, 1), ReadingOutcome.DUPLICATE)
        self.assertIs(reading.add(5, 99, 0.0, 0.9, 1), ReadingOutcome.LATE)
        self.assertIs(reading.add(6, 1, 0.0, 0.2, 2), ReadingOutcome.NEW)
        self.assertIs(reading.add(5, 101, 9.0, 0.9, 3), ReadingOutcome.OLD_INCARNATION)
        self.assertEqual(reading.value(), 0.2)
        # The server's clock was set back, so its boot number is lower.
        self.assertIs(reading.add(5, 102, 9.0, 0.9, GONE_AFTER + 3), ReadingOutcome.NEW)

    def test_invalid_loads_and_reports_from_the_future_do_not_count(self) -> None:
        reading = Reading()
        reading.add(1, 1, 0.0, 0.5, SECOND)
        for load in (math.nan, math.inf, -1.0, 1e9):
            self.assertIs(reading.add(1, 2, 1.0, load, SECOND), ReadingOutcome.INVALID)
        self.assertIs(reading.add(1, 2, 3600.0 * SECOND, 0.0, 2 * SECOND), ReadingOutcome.INVALID)
        self.assertEqual(reading.value(), 0.5)

    def test_a_stale_reading_loses_its_influence(self) -> None:
        reading = Reading()
        self.assertEqual(reading.freshness(0), 0.0)
        reading.add(1, 1, 0.0, 0.5, SECOND)
        values = [
            reading.freshness(SECOND + age)
            for age in (0, STALE_AFTER, (STALE_AFTER + GONE_AFTER) // 2, GONE_AFTER, 9 * GONE_AFTER)
        ]
        self.assertEqual(values, [1.0, 1.0, 0.5, 0.0, 0.0])

    def test_the_sums_stay_finite_after_hours_without_reports(self) -> None:
        reading = Reading()
        reading.add(1, 1, 0.0, 0.5, 0)
        reading.add(1, 2, 36_000.0 * SECOND, 0.9, 36_000 * SECOND)
        self.assertAlmostEqual(reading.value(), 0.9)


class ReportProcessorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.processor = ReportProcessor(0)
        for k in range(4):
            self.processor.register(f"s{k}", f"127.0.1.{k}", bytes([k]) * 8)

    def envelope(self, k: int, number: int, load: float, boot: int = 1, claimed: int | None = None) -> bytes:
        """A report with the token of server k, under its name or under that of another one."""
        name = k if claimed is None else claimed
        return Envelope(
            server=f"s{name}",
            token=bytes([k]) * 8,
            boot=boot,
            number=number,
            uptime=1000 * number,
            report=OrcaLoadReport(cpu_utilization=load),
        ).SerializeToString()

    def test_each_outcome_is_counted(self) -> None:
        outcomes = [
            self.processor.report(address, data, SECOND)
            for address, data in (
                ("127.0.1.0", self.envelope(0, 1, 0.5)),
                ("127.0.1.0", self.envelope(0, 1, 0.5)),
                ("127.0.1.9", self.envelope(0, 2, 0.5)),
                ("127.0.1.1", self.envelope(0, 2, 0.5)),
                ("127.0.1.1", self.envelope(1, 2, 0.5, claimed=2)),
                ("127.0.1.1", b"\xff" * 30),
                ("127.0.1.1", b"x" * 5000),
                ("127.0.1.2", self.envelope(2, 1, math.nan)),
            )
        ]
        self.assertEqual(
            outcomes,
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
        self.assertEqual(sum(self.processor.counts.values()), 8)

    def test_a_flood_is_rejected_before_it_is_decoded_and_memory_stays_bounded(self) -> None:
        data = self.envelope(0, 1, 0.0)
        for turn in range(50_000):
            self.processor.report("127.0.1.0", data, SECOND + turn // 10)
            self.processor.report(f"10.0.{turn % 250}.{turn // 250}", data, SECOND + turn // 10)
        self.assertEqual((len(self.processor.senders), len(self.processor._expiry)), (4, 1))
        self.assertLess(self.processor.counts[ReportOutcome.REPEATED], 30)
        self.assertGreater(self.processor.counts[ReportOutcome.OVER_OWN], 49_900)

    def test_readings_without_reports_lose_their_influence_and_are_dropped(self) -> None:
        for second in range(1, 40):
            for k, load in enumerate((0.2, 0.5, 0.5, 0.9)):
                self.processor.report(f"127.0.1.{k}", self.envelope(k, second, load), second * SECOND)
            hints = self.processor.update_hints({"s0": 0.4, "s1": 1.0, "s2": 1.0, "s3": 1.7}, second * SECOND)
        self.assertLess(hints["s3"], 0.95)
        for second in range(40, 80):
            hints = self.processor.update_hints({}, second * SECOND)
        self.assertEqual(hints, {})
        self.assertTrue(all(sender.reading.boot < 0 for sender in self.processor.senders.values()))

    def receiver(self, clock: Clock) -> tuple[ReceiverSide, Callable[[], None]]:
        """A receiver, its connection to the manager in memory, and a function that transfers the bytes."""
        receiver, manager = ReceiverSide(clock, lambda: None), ManagerSide(self.processor, clock)
        transports = StringTransport(), StringTransport()
        receiver.makeConnection(transports[0])  # type: ignore[no-untyped-call]
        manager.makeConnection(transports[1])  # type: ignore[no-untyped-call]

        def transfer() -> None:
            for transport, other in ((transports[0], manager), (transports[1], receiver)):
                data = transport.value()
                transport.clear()
                other.dataReceived(data)  # type: ignore[no-untyped-call]

        manager.request_batch()
        transfer()
        return receiver, transfer

    def test_a_manager_that_was_stalled_reads_the_newest_reports_of_each_sender_first(self) -> None:
        clock = Clock()
        clock.advance(10)
        receiver, transfer = self.receiver(clock)
        receiver.add(b"?", "10.9.9.9")
        clock.advance(BATCH_INTERVAL)  # sent and not read: the manager is stalled
        for number in range(2, 42):  # two seconds of reports, in their order of arrival
            for k in range(4):
                receiver.add(self.envelope(k, number, 0.9 if number < 37 else 0.2), f"127.0.1.{k}")
            clock.advance(BATCH_INTERVAL)
        for _ in range(3):
            transfer()
            clock.advance(BATCH_INTERVAL)
        readings = [sender.reading for sender in self.processor.senders.values()]
        self.assertEqual({reading.newest for reading in readings}, {41})
        self.assertTrue(all(reading.value() < 0.25 for reading in readings))
        self.assertEqual(self.processor.counts[ReportOutcome.OVER_OWN], 4 * (40 - MAX_PER_SENDER))

    def test_the_receiver_drops_unknown_senders_and_follows_changes_of_the_list(self) -> None:
        clock = Clock()
        receiver, transfer = self.receiver(clock)
        for turn in range(1000):
            receiver.add(b"?", f"10.9.9.{turn % 250}")
        clock.advance(BATCH_INTERVAL)
        transfer()
        self.assertEqual((self.processor.counts[ReportOutcome.STRANGER], len(receiver.buffer)), (1000, 0))
        self.processor.forget("s0")
        # Buffered before the receiver knows of the change, and then left out of the batch.
        receiver.add(self.envelope(0, 1, 0.5), "127.0.1.0")
        clock.advance(BATCH_INTERVAL)
        transfer()
        transfer()
        receiver.add(self.envelope(0, 2, 0.5), "127.0.1.0")
        self.assertEqual((len(receiver.buffer), receiver.buffer.unknown_count), (0, 1))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 9)), max_size=80))
    def test_the_buffer_keeps_the_newest_datagrams_of_each_known_sender(
        self, received: list[tuple[int, int]]
    ) -> None:
        buffer, sent_by = DatagramBuffer({"a0", "a1", "a2"}), dict[str, list[bytes]]()
        for sender, byte in received:
            buffer.add(f"a{sender}", bytes([byte]))
            sent_by.setdefault(f"a{sender}", []).append(bytes([byte]))
        known = {address: sent for address, sent in sent_by.items() if address in buffer.known_addresses}
        taken = {datagrams.address: datagrams for datagrams in buffer.take()}
        newest = {address: sent[::-1][:MAX_PER_SENDER] for address, sent in known.items()}
        self.assertEqual({a: t.reports for a, t in taken.items()}, newest)
        self.assertTrue(all(t.displaced == max(0, len(known[a]) - MAX_PER_SENDER) for a, t in taken.items()))

    def test_a_server_that_returns_after_hours_counts_from_its_first_report(self) -> None:
        self.processor.report("127.0.1.0", self.envelope(0, 5, 0.9), SECOND)
        for second in range(2, 30):
            self.processor.update_hints({}, second * SECOND)
        later = 5 * 3600 * SECOND
        outcomes = [
            self.processor.report("127.0.1.0", self.envelope(0, number, 0.3), later)
            for number in (18_000, 18_001)
        ]
        self.assertEqual(outcomes, [ReportOutcome.TAKEN, ReportOutcome.TAKEN])
        self.assertAlmostEqual(self.processor.senders["s0"].reading.value(), 0.3)

    def test_agent_checks_are_processed_like_reports(self) -> None:
        for second in range(1, 9):
            self.processor.record_agent_check("s1", parse_agent_answer(b"up 30%"), second * SECOND)
        self.assertAlmostEqual(self.processor.senders["s1"].reading.value(), 0.7)

    def test_a_stream_over_its_budget_is_paused(self) -> None:
        clock, transport = Clock(), StringTransport(peerAddress=IPv4Address("TCP", "127.0.1.0", 9))
        clock.advance(5)
        stream = ReportStreams(self.processor, clock).buildProtocol(None)
        assert stream is not None
        stream.makeConnection(transport)
        for number in range(1, 20):
            report = self.envelope(0, number, 0.5)
            stream.dataReceived(len(report).to_bytes(4, "big") + report)
        self.assertEqual(transport.producerState, "paused")
        clock.pump([0.25] * 20)  # the buffered reports are processed as the budget allows
        self.assertEqual(
            (transport.producerState, self.processor.counts[ReportOutcome.TAKEN] < 19), ("producing", True)
        )
        stream.dataReceived((99_999).to_bytes(4, "big"))
        self.assertTrue(transport.disconnected)


class HintTests(unittest.TestCase):
    def run_periods(
        self, reported: dict[str, float], actual: dict[str, float], periods: int = 60
    ) -> tuple[Hints, dict[str, float]]:
        """Runs periods with the reported loads and with latencies proportional to the actual loads."""
        hints, mean = Hints(), sum(actual.values()) / len(actual)
        found = dict[str, float]()
        for _ in range(periods):
            found = hints.update(
                {name: (load, 1.0) for name, load in reported.items()},
                {name: load / mean for name, load in actual.items()},
            )
        return hints, found

    def test_accurate_reports_change_weights_within_the_bounds(self) -> None:
        actual = {"a": 0.4, "b": 0.5, "c": 0.5, "d": 0.9}
        hints, found = self.run_periods(actual, actual)
        self.assertGreater(found["a"], 1.05)
        self.assertLess(found["d"], 0.9)
        self.assertTrue(
            all(-MAX_DECREASE - 1e-9 <= hint - 1 <= MAX_INCREASE + 1e-9 for hint in found.values())
        )
        self.assertGreater(hints.worth("d"), 0.5)

    def test_a_server_that_always_claims_to_be_idle_gains_nothing(self) -> None:
        actual = {"a": 0.5, "b": 0.5, "c": 0.5, "liar": 0.8}
        hints, found = self.run_periods({**actual, "liar": 0.0}, actual)
        self.assertLess(hints.worth("liar"), 0.05)
        self.assertLess(found["liar"], 1.01)

    def test_a_report_of_a_queue_is_believed_before_the_queue_shows_in_settled_txns(self) -> None:
        hints, found = Hints(), dict[str, float]()
        for period in range(30):
            load = 3.0 if period >= 10 else 0.5
            latency = 2.5 if period >= 10 + LAG else 1.0
            found = hints.update(
                {"a": (0.5, 1.0), "b": (0.5, 1.0), "c": (load, 1.0)}, {"a": 0.9, "b": 0.9, "c": latency}
            )
            if period == 12:
                self.assertLess(found["c"], 0.6)  # before its first slow txn has settled
        self.assertLess(found["c"], 0.4)
        self.assertGreater(hints.worth("c"), 0.9)

    def test_a_server_that_always_claims_to_be_overloaded_is_soon_ignored(self) -> None:
        hints, found = Hints(), list[float]()
        for _ in range(40):
            loads = {"a": (0.5, 1.0), "b": (0.5, 1.0), "liar": (9.0, 1.0)}
            found.append(hints.update(loads, {"a": 1.0, "b": 1.0, "liar": 0.9})["liar"])
        self.assertLess(min(found), 0.7)
        self.assertGreater(min(found[15:]), 0.95)

    def test_the_weight_of_a_flapping_reporter_changes_no_faster_than_others(self) -> None:
        hints, found = Hints(), list[float]()
        for period in range(60):
            loads = {"a": (0.5, 1.0), "b": (0.5, 1.0)}
            loads |= {"c": (0.5, 1.0), "flaps": (2.0, 1.0)} if period % 4 < 2 else {}
            found.append(hints.update(loads, {"a": 1.0, "b": 1.0, "c": 1.0, "flaps": 1.0}).get("flaps", 1.0))
        moves = [abs(after - before) for before, after in pairwise(found)]
        self.assertLessEqual(max(moves), MAX_STEP + 1e-9)
        self.assertGreaterEqual(min(found), 1 - 2 * MAX_STEP - 1e-9)

    def test_when_all_reports_stop_weights_return_to_neutral_slowly(self) -> None:
        actual = {"a": 0.4, "b": 0.5, "c": 0.5, "d": 0.9}
        hints, before = self.run_periods(actual, actual)
        after = hints.update({}, {})
        self.assertTrue(all(abs(after.get(name, 1.0) - before[name]) <= MAX_STEP + 1e-9 for name in before))
        for _ in range(20):
            after = hints.update({}, {})
        self.assertEqual(set(after.values()) - {1.0}, set())

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.dictionaries(st.sampled_from("abcdef"), st.tuples(st.floats(0, 100), st.floats(0, 1))),
            max_size=30,
        )
    )
    def test_hints_are_bounded_whatever_is_reported(
        self, periods: list[dict[str, tuple[float, float]]]
    ) -> None:
        hints, before = Hints(), dict[str, float]()
        for loads in periods:
            found = hints.update(loads, dict.fromkeys(loads, 1.3))
            for name, hint in found.items():
                self.assertTrue(-MAX_DECREASE - 1e-9 <= hint - 1.0 <= MAX_INCREASE + 1e-9)
                self.assertLessEqual(abs(hint - before.get(name, 1.0)), MAX_STEP + 1e-9)
            before = found


class ReportingCluster(FakeCluster):
    """A cluster whose servers may send load reports."""

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
            envelope = Envelope(
                server=f"s{k}",
                token=bytes([k]) * 8,
                boot=1,
                number=number,
                uptime=1000 * number,
                report=OrcaLoadReport(application_utilization=load),
            )
            self.managers["m0"].report_processor.report(
                f"127.0.1.{k}", envelope.SerializeToString(), clock_tenths(self.clock)
            )


class SteeringByReportsTests(unittest.TestCase):
    def test_when_all_reports_stop_weights_return_without_exceeding_the_write_cap(self) -> None:
        cluster = ReportingCluster(cap=12)
        cluster.run(6, rate=20)
        cluster.service_time["s0"] = 0.45
        for number in range(1, 26):
            cluster.report(number, {0: 1.5, 1: 0.5, 2: 0.5, 3: 0.5})
            cluster.run(1, rate=20)
        processor, stopped = cluster.managers["m0"].report_processor, cluster.clock.seconds()
        self.assertLess(processor.current_hints["s0"], 0.6)
        before, moves = processor.current_hints["s0"], list[float]()
        for _ in range(30):
            cluster.run(1, rate=20)
            moves.append(abs(processor.current_hints.get("s0", 1.0) - before))
            before = processor.current_hints.get("s0", 1.0)
        self.assertEqual(before, 1.0)
        self.assertLessEqual(max(moves), MAX_STEP + 1e-9)
        for name in cluster.gateway_names:
            wrote = [
                at
                for at, site, words, _ in cluster.sent
                if site == name and at >= stopped and words[:3] == ("set", "var", "proc.rushladder_wrote")
            ]
            self.assertLessEqual(max((sum(a <= b < a + 10 for b in wrote) for a in wrote), default=0), 12)
            self.assertGreaterEqual(len(cluster.usable_weights(name, "pay")), 2)


if __name__ == "__main__":
    unittest.main()
