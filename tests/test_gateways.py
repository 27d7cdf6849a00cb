"""Stories of rounding, holding, metering and differences, each without any socket."""

import unittest
from collections.abc import Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from rushladder.gateways.diff import AdminState, Key, Line, apply_commands, read_lines, server_commands
from rushladder.gateways.election import Effect, HolderElection, HolderState, Word, read_word
from rushladder.gateways.meter import Birth, Meter, Sums, mean_of_new
from rushladder.gateways.rounding import FULL, round_pool
from rushladder.runtime.grammar import Command, format_csv

SECOND = 10_000
pools = st.dictionaries(st.integers(0, 30), st.floats(1e-3, 1e4), min_size=1, max_size=20)


class RoundingStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(pools, st.sets(st.integers(0, 30)), st.floats(0, 1e6))
    def test_no_warm_line_is_lost_and_no_cold_part_grows(
        self, lines: dict[int, float], cold: set[int], scale: float
    ) -> None:
        rounded, scale = round_pool(lines, cold, scale)
        self.assertEqual(set(rounded), set(lines))
        self.assertTrue(all(0 <= figure <= FULL for figure in rounded.values()))
        self.assertTrue(any(rounded.values()))
        self.assertTrue(all(rounded[line] for line in lines if line not in cold))
        if set(lines) - cold:
            whole, total = sum(lines.values()), sum(rounded.values())
            for line in cold & set(lines):
                self.assertLessEqual(rounded[line] / total, lines[line] / whole + 1e-9)

    @settings(derandomize=True, deadline=None)
    @given(pools, st.floats(0.8, 1.25))
    def test_lines_that_stay_keep_their_whole_numbers(self, lines: dict[int, float], move: float) -> None:
        before, scale = round_pool(lines, (), 0.0)
        some = min(lines, key=lambda line: lines[line])
        after, _ = round_pool({**lines, some: lines[some] * move}, (), scale)
        self.assertEqual(
            {k: v for k, v in after.items() if k != some}, {k: v for k, v in before.items() if k != some}
        )


class Variable:
    """A gateway's variable, and managers that read it once a second on one clock."""

    def __init__(self, regions: str) -> None:
        self.now, self.word, self.regions = 0, "", regions
        self.views = [self.view(number) for number in range(len(regions))]
        self.late = list[str]()  # writes of paused managers that arrive when they wake

    def view(self, number: int) -> HolderElection:
        return HolderElection(
            f"m{number}", self.regions[number], "a", takeover=40_000, settle=17_500, lease=15_000
        )

    def poll(self, number: int, delay: int = 0) -> Effect:
        asked, word = self.now, read_word(self.word)
        self.now += delay
        effect = self.views[number].read(word, asked, self.now)
        if effect not in (Effect.NONE, Effect.END):
            self.word = str(self.views[number].word())
        return effect

    def second(self, awake: set[int]) -> None:
        for number in sorted(awake):
            self.poll(number)
        self.now += SECOND

    def senders(self) -> list[int]:
        return [number for number, view in enumerate(self.views) if view.may_send(self.now)]


steps = st.lists(
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


class HoldingStories(unittest.TestCase):
    def test_the_first_holds_and_the_other_takes_over_once_it_is_silent(self) -> None:
        world = Variable("aa")
        for _ in range(4):
            world.second({0, 1})
        self.assertEqual(world.senders(), [0])
        for _ in range(8):
            world.second({1})
        self.assertEqual(world.senders(), [1])
        self.assertEqual(world.poll(0), Effect.END)  # the one that stood still learns of it and gives up

    def test_a_stale_word_is_written_over_and_its_orders_are_looked_for(self) -> None:
        world = Variable("aa")
        for _ in range(4):
            world.second({0})
        world.word = str(Word(0, "m1", "a", 9))
        self.assertEqual(world.poll(0), Effect.REPAIR)
        self.assertIn("/m0/", world.word)

    def test_a_gateway_that_restarts_is_claimed_anew(self) -> None:
        world = Variable("aa")
        for _ in range(4):
            world.second({0})
        world.word = ""
        self.assertEqual(world.poll(0), Effect.END_CLAIM)
        self.assertEqual(world.senders(), [])

    def test_a_manager_of_the_gateways_region_takes_it_home(self) -> None:
        world = Variable("ba")
        for _ in range(8):
            world.second({0})
        self.assertEqual(world.senders(), [0])
        for _ in range(16):
            world.second({0, 1})
        self.assertEqual(world.senders(), [1])

    def test_a_restarted_manager_takes_its_own_gateway_back_at_once(self) -> None:
        world = Variable("ab")
        for _ in range(4):
            world.second({0})
        world.views[0] = world.view(0)
        self.assertEqual(world.poll(0), Effect.CLAIM)
        for _ in range(3):
            world.second({0, 1})
        self.assertEqual(world.senders(), [0])

    def test_an_answer_older_than_the_lease_is_not_believed(self) -> None:
        world = Variable("aa")
        self.assertEqual(world.poll(0, delay=20_000), Effect.NONE)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.sampled_from(["aaa", "aab", "abb", "bbb"]), steps)
    def test_no_two_send_and_in_the_end_one_holds(
        self, regions: str, story: list[tuple[str, object, int]]
    ) -> None:
        world = Variable(regions)
        for name, who, many in story:
            if name == "run":
                assert isinstance(who, set)
                for _ in range(many):
                    world.second(who)
                    self.assertLessEqual(len(world.senders()), 1)
            elif name == "wipe":
                world.word = ""
                self.assertLessEqual(len(world.senders()), 1)
            elif isinstance(who, int):
                if name == "restart":
                    world.views[who] = world.view(who)
                elif name == "torn":  # it dies between reading and writing
                    before = world.word
                    world.poll(who)
                    world.word, world.views[who] = before, world.view(who)
                elif name == "slow":
                    world.poll(who, delay=many)
                else:
                    world.views[who].lost()
                self.assertLessEqual(len(world.senders()), 1)
        for _ in range(40):
            world.second({0, 1, 2})
        self.assertEqual(len(world.senders()), 1)
        self.assertEqual(sum(view.state is HolderState.HOLDING for view in world.views), 1)


def row(settled: int, mean: int, voided: int = 0) -> str:
    return format_csv(
        ("pxname", "svname", "stot", "eresp", "hrsp_2xx", "ttime", "later"),
        [("p", "s", settled, voided, settled, mean, "x")],
    )


class MeterStories(unittest.TestCase):
    def test_differences_and_the_first_poll_that_covers_nothing(self) -> None:
        meter, birth = Meter(), Birth("1", 0)
        self.assertEqual(meter.poll(row(100, 50), birth, SECOND), ({}, 0))
        met, span = meter.poll(row(110, 60, 2), birth, 2 * SECOND)
        self.assertEqual((met["p", "s"].many, met["p", "s"].voided, span), (12, 2, SECOND))
        self.assertAlmostEqual(met["p", "s"].time, (110 * 60 - 100 * 50) * 10)

    def test_a_restart_counts_from_the_start_and_cleared_sums_from_there(self) -> None:
        meter = Meter()
        meter.poll(row(100, 50), Birth("1", 0), 10 * SECOND)
        met, span = meter.poll(row(7, 40), Birth("2", 105_000), 11 * SECOND)
        self.assertEqual((met["p", "s"].many, span), (7, 5_000))
        met, span = meter.poll(row(3, 40), Birth("2", 105_000), 12 * SECOND)
        self.assertEqual((met["p", "s"].many, span), (3, SECOND))

    def test_more_in_the_new_process_than_in_the_old_is_still_a_restart(self) -> None:
        meter = Meter()
        meter.poll(row(5, 50), Birth("1", 0), 10 * SECOND)
        met, _ = meter.poll(row(9, 40), Birth("2", 100_000), 11 * SECOND)
        self.assertEqual(met["p", "s"].many, 9)

    @settings(derandomize=True, deadline=None)
    @given(st.floats(50, 2000), st.integers(4, 60), st.integers(1100, 9000))
    def test_the_mean_of_the_newest_comes_out_of_the_sliding_one(
        self, level: float, new: int, old: int
    ) -> None:
        sliding = 300.0
        for _ in range(new):
            sliding += (level - sliding) / 1024
        before, after = Sums(old, 0, 0, 300.0), Sums(old + new, 0, 0, sliding)
        self.assertAlmostEqual(mean_of_new(before, after), level, delta=1e-3 * level)

    def test_rounding_errors_cancel_over_polls(self) -> None:
        meter, birth, sliding, time = Meter(), Birth("1", 0), 300.0, 0.0
        for turn in range(200):
            for _ in range(10 if turn else 0):
                sliding += (400.0 - sliding) / 1024
            met, _ = meter.poll(row(2000 + 10 * turn, round(sliding)), birth, turn * SECOND)
            time += sum(one.time for one in met.values())
        self.assertAlmostEqual(time / 1990 / 10, 400.0, delta=40.0)


lines = st.dictionaries(
    st.tuples(st.sampled_from("pq"), st.sampled_from("abcde")),
    st.builds(Line, st.sampled_from(["h:1", "h:2"]), st.integers(0, 256), st.sampled_from(AdminState)),
    max_size=10,
)


def usable(held: Mapping[Key, Line], backend: str) -> bool:
    return any(
        key[0] == backend and line.weight and line.admin is AdminState.READY for key, line in held.items()
    )


class DifferenceStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lines, lines, st.sets(st.sampled_from("abcde")))
    def test_each_step_is_safe_and_the_end_is_what_is_wanted(
        self, held: dict[Key, Line], wanted: dict[Key, Line], cold: set[str]
    ) -> None:
        now, whole = dict(held), {p: usable(held, p) and usable({**held, **wanted}, p) for p in "pq"}
        for command in server_commands(held, wanted, cold):
            apply_commands(now, [command])
            self.assertTrue(all(usable(now, backend) for backend, kept in whole.items() if kept), command)
        for key, line in wanted.items():
            if key in held or (line.weight and line.admin is AdminState.READY):
                self.assertEqual(now[key], line)
        self.assertEqual(server_commands(now, wanted, cold), [])

    def test_a_new_server_carries_nothing_before_its_weight_stands(self) -> None:
        self.assertEqual(
            [
                " ".join(c.words)
                for c in server_commands({}, {("p", "a"): Line("h:1", 5, AdminState.READY)}, ())
            ],
            ["add server p/a h:1 weight 0", "set server p/a weight 5", "set server p/a state ready"],
        )

    def test_what_is_cold_is_raised_last(self) -> None:
        held = {("p", name): Line("h:1", 5, AdminState.READY) for name in "ab"}
        wanted = {("p", "a"): Line("h:1", 9, AdminState.READY), ("p", "b"): Line("h:1", 90, AdminState.READY)}
        self.assertEqual(
            server_commands(held, wanted, {"a"})[-1], Command(("set", "server", "p/a", "weight", "9"))
        )

    def test_the_dump_of_a_gateway_is_read_and_bad_rows_are_passed_over(self) -> None:
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
