"""Tests of weight rounding, holder election, metering and update commands, all without sockets."""

import unittest
from collections.abc import Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from rushladder.gateways.diff import AdminState, Key, Line, apply_commands, read_lines, server_commands
from rushladder.gateways.election import (
    Effect,
    HolderElection,
    HolderState,
    HolderRecord,
    parse_holder_record,
)
from rushladder.gateways.meter import ProcessIdentity, Meter, Counters, mean_of_new_txns
from rushladder.gateways.rounding import MAX_WEIGHT, round_pool
from rushladder.runtime.grammar import Command, format_csv

SECOND = 10_000
pools = st.dictionaries(st.integers(0, 30), st.floats(1e-3, 1e4), min_size=1, max_size=20)


class RoundingTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(pools, st.sets(st.integers(0, 30)), st.floats(0, 1e6))
    def test_rounding_keeps_warm_lines_and_never_raises_cold_shares(
        self, lines: dict[int, float], cold: set[int], scale: float
    ) -> None:
        rounded, scale = round_pool(lines, cold, scale)
        self.assertEqual(set(rounded), set(lines))
        self.assertTrue(all(0 <= weight <= MAX_WEIGHT for weight in rounded.values()))
        self.assertTrue(any(rounded.values()))
        self.assertTrue(all(rounded[line] for line in lines if line not in cold))
        if set(lines) - cold:
            whole, total = sum(lines.values()), sum(rounded.values())
            for line in cold & set(lines):
                self.assertLessEqual(rounded[line] / total, lines[line] / whole + 1e-9)

    @settings(derandomize=True, deadline=None)
    @given(pools, st.floats(0.8, 1.25))
    def test_unchanged_lines_keep_their_integers(self, lines: dict[int, float], factor: float) -> None:
        before, scale = round_pool(lines, (), 0.0)
        smallest = min(lines, key=lambda line: lines[line])
        after, _ = round_pool({**lines, smallest: lines[smallest] * factor}, (), scale)
        self.assertEqual(
            {k: v for k, v in after.items() if k != smallest},
            {k: v for k, v in before.items() if k != smallest},
        )


class SimulatedGateway:
    """A gateway's holder variable, and managers that read it once a second on a common clock."""

    def __init__(self, regions: str) -> None:
        self.now, self.variable, self.regions = 0, "", regions
        self.managers = [self.manager(number) for number in range(len(regions))]
        self.late = list[str]()  # delayed writes of paused managers

    def manager(self, number: int) -> HolderElection:
        return HolderElection(
            f"m{number}", self.regions[number], "a", takeover=40_000, settle=17_500, lease=15_000
        )

    def poll(self, number: int, delay: int = 0) -> Effect:
        asked_at, record = self.now, parse_holder_record(self.variable)
        self.now += delay
        effect = self.managers[number].read(record, asked_at, self.now)
        if effect not in (Effect.NONE, Effect.END):
            self.variable = str(self.managers[number].record())
        return effect

    def second(self, running: set[int]) -> None:
        for number in sorted(running):
            self.poll(number)
        self.now += SECOND

    def senders(self) -> list[int]:
        return [number for number, manager in enumerate(self.managers) if manager.may_send(self.now)]


event_lists = st.lists(
    st.one_of(
        st.tuples(st.just("run"), st.sets(st.integers(0, 2)), st.integers(1, 7)),
        st.tuples(st.just("restart"), st.integers(0, 2), st.just(0)),
        st.tuples(st.just("torn"), st.integers(0, 2), st.just(0)),
        st.tuples(st.just("wipe"), st.just(0), st.just(0)),
        st.tuples(st.just("slow"), st.integers(0, 2), st.integers(1, 30_000)),
        st.tuples(st.just("cut"), st.integers(0, 2), st.just(0)),
    ),
    max_size=25,
)


class HolderElectionTests(unittest.TestCase):
    def test_another_manager_takes_over_when_the_holder_stops(self) -> None:
        gateway = SimulatedGateway("aa")
        for _ in range(4):
            gateway.second({0, 1})
        self.assertEqual(gateway.senders(), [0])
        for _ in range(8):
            gateway.second({1})
        self.assertEqual(gateway.senders(), [1])
        self.assertEqual(gateway.poll(0), Effect.END)  # the stalled manager gives up

    def test_a_stale_record_is_overwritten_and_the_content_read_back(self) -> None:
        gateway = SimulatedGateway("aa")
        for _ in range(4):
            gateway.second({0})
        gateway.variable = str(HolderRecord(0, "m1", "a", 9))
        self.assertEqual(gateway.poll(0), Effect.REPAIR)
        self.assertIn("/m0/", gateway.variable)

    def test_a_restarted_gateway_is_claimed_again(self) -> None:
        gateway = SimulatedGateway("aa")
        for _ in range(4):
            gateway.second({0})
        gateway.variable = ""
        self.assertEqual(gateway.poll(0), Effect.END_CLAIM)
        self.assertEqual(gateway.senders(), [])

    def test_a_manager_of_the_gateways_region_takes_it_back(self) -> None:
        gateway = SimulatedGateway("ba")
        for _ in range(8):
            gateway.second({0})
        self.assertEqual(gateway.senders(), [0])
        for _ in range(16):
            gateway.second({0, 1})
        self.assertEqual(gateway.senders(), [1])

    def test_a_restarted_manager_reclaims_its_own_gateway_at_once(self) -> None:
        gateway = SimulatedGateway("ab")
        for _ in range(4):
            gateway.second({0})
        gateway.managers[0] = gateway.manager(0)
        self.assertEqual(gateway.poll(0), Effect.CLAIM)
        for _ in range(3):
            gateway.second({0, 1})
        self.assertEqual(gateway.senders(), [0])

    def test_an_answer_older_than_the_lease_is_ignored(self) -> None:
        gateway = SimulatedGateway("aa")
        self.assertEqual(gateway.poll(0, delay=20_000), Effect.NONE)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.sampled_from(["aaa", "aab", "abb", "bbb"]), event_lists)
    def test_never_two_senders_and_finally_one_holder(
        self, regions: str, events: list[tuple[str, object, int]]
    ) -> None:
        gateway = SimulatedGateway(regions)
        for name, who, count in events:
            if name == "run":
                assert isinstance(who, set)
                for _ in range(count):
                    gateway.second(who)
                    self.assertLessEqual(len(gateway.senders()), 1)
            elif name == "wipe":
                gateway.variable = ""
                self.assertLessEqual(len(gateway.senders()), 1)
            elif isinstance(who, int):
                if name == "restart":
                    gateway.managers[who] = gateway.manager(who)
                elif name == "torn":  # the manager dies between reading and writing
                    before = gateway.variable
                    gateway.poll(who)
                    gateway.variable, gateway.managers[who] = before, gateway.manager(who)
                elif name == "slow":
                    gateway.poll(who, delay=count)
                else:
                    gateway.managers[who].connection_lost()
                self.assertLessEqual(len(gateway.senders()), 1)
        for _ in range(40):
            gateway.second({0, 1, 2})
        self.assertEqual(len(gateway.senders()), 1)
        self.assertEqual(sum(manager.state is HolderState.HOLDING for manager in gateway.managers), 1)


def row(settled: int, mean: int, voided: int = 0) -> str:
    return format_csv(
        ("pxname", "svname", "stot", "eresp", "hrsp_2xx", "ttime", "later"),
        [("p", "s", settled, voided, settled, mean, "x")],
    )


class MeterTests(unittest.TestCase):
    def test_deltas_and_that_the_first_poll_covers_nothing(self) -> None:
        meter, process = Meter(), ProcessIdentity("1", 0)
        self.assertEqual(meter.poll(row(100, 50), process, SECOND), ({}, 0))
        deltas, span = meter.poll(row(110, 60, 2), process, 2 * SECOND)
        self.assertEqual((deltas["p", "s"].count, deltas["p", "s"].voided, span), (12, 2, SECOND))
        self.assertAlmostEqual(deltas["p", "s"].time, (110 * 60 - 100 * 50) * 10)

    def test_restarts_and_cleared_counters_count_from_zero(self) -> None:
        meter = Meter()
        meter.poll(row(100, 50), ProcessIdentity("1", 0), 10 * SECOND)
        deltas, span = meter.poll(row(7, 40), ProcessIdentity("2", 105_000), 11 * SECOND)
        self.assertEqual((deltas["p", "s"].count, span), (7, 5_000))
        deltas, span = meter.poll(row(3, 40), ProcessIdentity("2", 105_000), 12 * SECOND)
        self.assertEqual((deltas["p", "s"].count, span), (3, SECOND))

    def test_a_restart_is_detected_even_if_counters_grew(self) -> None:
        meter = Meter()
        meter.poll(row(5, 50), ProcessIdentity("1", 0), 10 * SECOND)
        deltas, _ = meter.poll(row(9, 40), ProcessIdentity("2", 100_000), 11 * SECOND)
        self.assertEqual(deltas["p", "s"].count, 9)

    @settings(derandomize=True, deadline=None)
    @given(st.floats(50, 2000), st.integers(4, 60), st.integers(1100, 9000))
    def test_the_mean_of_new_txns_is_derived_from_the_sliding_mean(
        self, level: float, new: int, old: int
    ) -> None:
        sliding = 300.0
        for _ in range(new):
            sliding += (level - sliding) / 1024
        before, after = Counters(old, 0, 0, 300.0), Counters(old + new, 0, 0, sliding)
        self.assertAlmostEqual(mean_of_new_txns(before, after), level, delta=1e-3 * level)

    def test_rounding_errors_cancel_over_polls(self) -> None:
        meter, process, sliding, time = Meter(), ProcessIdentity("1", 0), 300.0, 0.0
        for poll_number in range(200):
            for _ in range(10 if poll_number else 0):
                sliding += (400.0 - sliding) / 1024
            deltas, _ = meter.poll(
                row(2000 + 10 * poll_number, round(sliding)), process, poll_number * SECOND
            )
            time += sum(delta.time for delta in deltas.values())
        self.assertAlmostEqual(time / 1990 / 10, 400.0, delta=40.0)


lines = st.dictionaries(
    st.tuples(st.sampled_from("pq"), st.sampled_from("abcde")),
    st.builds(Line, st.sampled_from(["h:1", "h:2"]), st.integers(0, 256), st.sampled_from(AdminState)),
    max_size=10,
)


def has_usable_line(held: Mapping[Key, Line], backend: str) -> bool:
    return any(
        key[0] == backend and line.weight and line.admin is AdminState.READY for key, line in held.items()
    )


class DiffTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lines, lines, st.sets(st.sampled_from("abcde")))
    def test_every_step_is_safe_and_the_result_is_as_wanted(
        self, held: dict[Key, Line], wanted: dict[Key, Line], cold: set[str]
    ) -> None:
        now, whole = (
            dict(held),
            {p: has_usable_line(held, p) and has_usable_line({**held, **wanted}, p) for p in "pq"},
        )
        for command in server_commands(held, wanted, cold):
            apply_commands(now, [command])
            self.assertTrue(
                all(has_usable_line(now, backend) for backend, kept in whole.items() if kept), command
            )
        for key, line in wanted.items():
            if key in held or (line.weight and line.admin is AdminState.READY):
                self.assertEqual(now[key], line)
        self.assertEqual(server_commands(now, wanted, cold), [])

    def test_a_new_server_is_enabled_after_its_weight_is_set(self) -> None:
        self.assertEqual(
            [
                " ".join(c.words)
                for c in server_commands({}, {("p", "a"): Line("h:1", 5, AdminState.READY)}, ())
            ],
            ["add server p/a h:1 weight 0", "set server p/a weight 5", "set server p/a state ready"],
        )

    def test_cold_servers_are_raised_last(self) -> None:
        held = {("p", name): Line("h:1", 5, AdminState.READY) for name in "ab"}
        wanted = {("p", "a"): Line("h:1", 9, AdminState.READY), ("p", "b"): Line("h:1", 90, AdminState.READY)}
        self.assertEqual(
            server_commands(held, wanted, {"a"})[-1], Command(("set", "server", "p/a", "weight", "9"))
        )

    def test_the_server_state_is_parsed_and_bad_rows_are_skipped(self) -> None:
        text = (
            "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_port\n"
            "3 p 1 a 127.0.0.1 2 0 7 81\n3 p 2 b 127.0.0.1 2 8 7 82\n3 p 3 c 127.0.0.1 x x x\n"
        )
        self.assertEqual(
            read_lines(text),
            {
                ("p", "a"): Line("127.0.0.1:81", 7, AdminState.READY),
                ("p", "b"): Line("127.0.0.1:82", 7, AdminState.DRAIN),
            },
        )


if __name__ == "__main__":
    unittest.main()
