"""Tests of the guard: a corpus of good and bad tables, and a model-based test under random changes."""

import math
import unittest
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rushladder.guard.admission import Admission, Close, Gate, Line, Open, Change, Reason, Verdict
from rushladder.guard.limit_shares import limit_shares
from rushladder.guard.projection import LoadProjection, Pool, Server, open_to
from rushladder.guard.history import MAX_KEPT, History
from rushladder.guard.table_guard import TableGuard
from rushladder.guard.waves import Arm, Effect, Stage, Wave
from rushladder.interface import Idempotency, Product

CORPUS = Path(__file__).parent / "guard.corpus"
SECOND = 10_000
INQUIRY, ONCE = Idempotency.INQUIRY_LIKE, Idempotency.ONCE_ONLY
PRODUCTS = {
    "ask": (Product("ask", 5_000, 20_000, 1.0, 0.1, INQUIRY, "all", 0), 60.0),
    "pay": (Product("pay", 10_000, 30_000, 3.0, 0.1, ONCE, "all", 0, writes=True), 30.0),
    "map": (Product("map", 10_000, 30_000, 2.0, 0.1, INQUIRY, "all", 0, models=frozenset({"big"})), 20.0),
    "home": (Product("home", 10_000, 30_000, 2.0, 0.1, INQUIRY, "all", 0, home_only=True), 10.0),
}


class Fleet:
    """Two regions with four servers each and a pool per product and region.

    Servers 1 and 2 are big, 3 is small, 4 is big and has just started.
    """

    def __init__(self) -> None:
        self.projection, self.now = LoadProjection(), 1000 * SECOND
        for zone in "ab":
            for k in (1, 2, 3, 4):
                warm_at = self.now + 10 * SECOND if k == 4 else 0
                self.projection.add_server(
                    Server(
                        f"{zone}{k}",
                        zone,
                        "small" if k == 3 else "big",
                        100.0,
                        400,
                        True,
                        warm_at,
                        0.1,
                        15 * SECOND,
                    )
                )
            for name, (product, demand) in PRODUCTS.items():
                pool = Pool(f"{name}-{zone}", product, zone, 4, demand)
                self.projection.add_pool(pool)
                for k in (1, 2, 4) if name == "map" else (1, 2, 3, 4):
                    self.projection.set_weight(
                        pool, self.projection.servers[f"{zone}{k}"], 1.0 if k == 4 else 10.0
                    )
        self.projection.commit()
        self.guard = Admission(self.projection)
        self.guard.demand_updated_at = self.now

    def apply_setup(self, text: str) -> None:
        words = text.split()
        if words[0] == "demand":
            self.projection.set_demand(self.projection.pools[words[1]], float(words[2]))
        elif words[0] == "connections":
            self.projection.servers[words[1]].connections = int(words[2])
        elif words[0] == "age":
            self.now += int(words[1]) * SECOND
            self.guard.demand_updated_at = self.now
        elif words[0] == "stale":
            self.guard.demand_updated_at = None
        else:
            self.guard.judge([(parse_change(text),)], self.now)

    def verdict_word(self, verdict: Verdict) -> str:
        if not verdict.refused:
            return "accept"
        return verdict.refused[0].reason.value + ("+accept" if verdict.accepted else "")


def parse_change(text: str) -> Change:
    kind, *words = text.split()
    if kind == "line":
        return Line(words[0], words[1], float(words[2]))
    if kind == "gate":
        return Gate(words[0], float(words[1]), int(words[2]))
    return Close(words[0]) if kind == "close" else Open(words[0])


def corpus() -> list[tuple[str, list[str], list[str], str]]:
    rows = [
        [cell.strip() for cell in line.split("|")]
        for line in CORPUS.read_text().splitlines()
        if line[0] != "#"
    ]
    return [
        (
            name,
            [s.strip() for s in setup.split(";") if s.strip()],
            [c.strip() for c in change.split(";")],
            expected,
        )
        for name, setup, change, expected in rows
    ]


def failed_rows(fleet_class: type[Fleet] = Fleet) -> list[str]:
    """The rows of the corpus whose verdict differs from the expected one."""
    failures = list[str]()
    for name, setup, change, expected in corpus():
        fleet = fleet_class()
        for text in setup:
            fleet.apply_setup(text)
        actual = fleet.verdict_word(
            fleet.guard.judge([tuple(parse_change(text) for text in change)], fleet.now)
        )
        if actual != expected:
            failures.append(f"{name}: {actual}, not {expected}")
    return failures


class CorpusTests(unittest.TestCase):
    def test_every_row_of_the_corpus_gets_its_expected_verdict(self) -> None:
        self.assertGreaterEqual(len(corpus()), 150)
        self.assertEqual(
            {expected.split("+")[0] for *_, expected in corpus()} - {"accept"}, {r.value for r in Reason}
        )
        self.assertEqual(failed_rows(), [])


class RefusalTests(unittest.TestCase):
    def test_the_suggested_weight_is_accepted_and_ten_percent_more_is_refused(self) -> None:
        fleet = Fleet()
        refusal = fleet.guard.judge([(Line("ask-a", "a4", 40.0),)], fleet.now).refused[0]
        least = float(refusal.acceptable.split()[3])
        self.assertTrue(fleet.guard.judge([(Line("ask-a", "a4", 1.1 * least),)], fleet.now).refused)
        self.assertFalse(fleet.guard.judge([(Line("ask-a", "a4", 0.99 * least),)], fleet.now).refused)

    def test_a_bad_group_is_refused_as_a_whole_without_effect_on_others(self) -> None:
        fleet = Fleet()
        verdict = fleet.guard.judge(
            [
                (Line("ask-a", "a1", 12.0),),
                (Line("pay-a", "a1", 12.0), Line("pay-a", "a2", -1)),
                (Close("a3"),),
            ],
            fleet.now,
        )
        self.assertEqual((len(verdict.accepted), len(verdict.refused)), (2, 1))
        self.assertEqual(fleet.projection.pools["pay-a"].lines[fleet.projection.servers["a1"]], 10.0)
        self.assertFalse(fleet.projection.servers["a3"].ready)

    def test_a_drain_that_would_empty_a_pool_is_accepted_and_the_pool_filled(self) -> None:
        fleet = Fleet()
        verdict = fleet.guard.judge([tuple(Close(f"a{k}") for k in (1, 2, 3, 4))], fleet.now)
        self.assertFalse(verdict.refused)
        self.assertEqual({fill.pool for fill in verdict.fills}, {"ask-a", "pay-a", "map-a"})
        self.assertTrue(all(fill.server[0] == "b" and fill.server != "b4" for fill in verdict.fills))
        self.assertEqual(
            fleet.projection.pools["home-a"].usable_count, 0
        )  # no server is eligible, so rule 1 does not apply

    def test_a_change_is_judged_together_with_those_accepted_before(self) -> None:
        fleet = Fleet()
        fleet.projection.set_demand(fleet.projection.pools["ask-a"], 130.0)
        first = fleet.guard.judge([(Line("ask-a", "a1", 14.0),)], fleet.now)
        second = fleet.guard.judge([(Line("pay-a", "a1", 25.0),)], fleet.now)
        self.assertEqual((len(first.refused), second.refused[0].reason), (0, Reason.OVER_LIMIT))
        alone = Fleet()
        alone.projection.set_demand(alone.projection.pools["ask-a"], 130.0)
        self.assertFalse(alone.guard.judge([(Line("pay-a", "a1", 25.0),)], alone.now).refused)

    def test_the_modules_orders_are_judged_with_outdated_demand_too(self) -> None:
        fleet = Fleet()
        fleet.guard.demand_updated_at = None
        self.assertFalse(fleet.guard.judge([(Line("ask-a", "a1", 12.0),)], fleet.now, trusted=True).refused)
        self.assertTrue(
            fleet.guard.judge([(Line("ask-a", "a1", math.nan),)], fleet.now, trusted=True).refused
        )


names = st.sampled_from([f"{zone}{k}" for zone in "ab" for k in (1, 2, 3, 4)])
pools = st.sampled_from([f"{product}-{zone}" for zone in "ab" for product in PRODUCTS])
weights = st.sampled_from([0.0, 0.0, 1.0, 5.0, 10.0, 30.0, 200.0])


class LoadProjectionComparison(RuleBasedStateMachine):
    """Compares the load projection with plain dictionaries that are recomputed after each change."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.lines = {
            name: {s.name: w for s, w in pool.lines.items()}
            for name, pool in self.fleet.projection.pools.items()
        }
        self.ready = {name: True for name in self.fleet.projection.servers}
        self.demand = {name: pool.demand for name, pool in self.fleet.projection.pools.items()}

    def loads(self, lines: dict[str, dict[str, float]]) -> dict[str, float]:
        loads = dict.fromkeys(self.ready, 0.0)
        for name, pool in lines.items():
            usable = {server: weight for server, weight in pool.items() if self.ready[server]}
            for server, weight in usable.items():
                loads[server] += self.demand[name] * weight / sum(usable.values())
        return loads

    def candidates(self, name: str) -> list[str]:
        pool = self.fleet.projection.pools[name]
        return [
            s.name
            for s in self.fleet.projection.servers.values()
            if self.ready[s.name] and s.warm(self.fleet.now) and open_to(pool.product, s, pool.zone)
        ]

    def violates_a_check(
        self, before: dict[str, dict[str, float]], after: dict[str, dict[str, float]]
    ) -> bool:
        """Whether the change violates one of the checks, recomputed from scratch."""
        old, new = self.loads(before), self.loads(after)
        for name in after:
            if after[name] == before[name]:
                continue
            usable = {s: w for s, w in after[name].items() if self.ready[s]}
            usable_before = {s: w for s, w in before[name].items() if self.ready[s]}
            if not usable and self.candidates(name):
                return True
            top = max(usable.values()) / sum(usable.values()) if usable else 0.0
            top_before = max(usable_before.values()) / sum(usable_before.values()) if usable_before else 0.0
            if top > max(0.6, top_before * 1.01) and len(self.candidates(name)) >= 2:
                return True
            for s in after[name]:
                if (
                    not open_to(
                        self.fleet.projection.pools[name].product,
                        self.fleet.projection.servers[s],
                        self.fleet.projection.pools[name].zone,
                    )
                    and s not in before[name]
                ):
                    return True
        for name, load in new.items():
            server = self.fleet.projection.servers[name]
            allowed = server.limit * server.ramp(self.fleet.now)
            if load > old[name] * 1.001 + 1e-9 and load * 1.25 > allowed + 1e-9:
                return True
        return False

    @rule(entries=st.dictionaries(st.tuples(pools, names), weights, min_size=1, max_size=4))
    def change(self, entries: dict[tuple[str, str], float]) -> None:
        after = {name: dict(lines) for name, lines in self.lines.items()}
        for (pool, server), weight in entries.items():
            after[pool].pop(server, None)
            if weight:
                after[pool][server] = weight
        verdict = self.fleet.guard.judge(
            [tuple(Line(p, s, w) for (p, s), w in entries.items())], self.fleet.now
        )
        not_eligible = any(
            w
            and not open_to(
                self.fleet.projection.pools[p].product,
                self.fleet.projection.servers[s],
                self.fleet.projection.pools[p].zone,
            )
            for (p, s), w in entries.items()
        )
        assert bool(verdict.refused) == (not_eligible or self.violates_a_check(self.lines, after)), verdict
        if not verdict.refused:
            self.lines = after

    @rule(server=names)
    def drain(self, server: str) -> None:
        verdict = self.fleet.guard.judge([(Close(server),)], self.fleet.now)
        assert not verdict.refused
        self.ready[server] = False
        for fill in verdict.fills:
            self.lines[fill.pool][fill.server] = fill.weight

    @rule(server=names)
    def reopen(self, server: str) -> None:
        self.ready[server] = True
        self.fleet.projection.set_ready(self.fleet.projection.servers[server], True)
        self.fleet.projection.commit()

    @rule(pool=pools, rate=st.sampled_from([0.0, 10.0, 60.0, 150.0]))
    def set_demand(self, pool: str, rate: float) -> None:
        self.demand[pool] = rate
        self.fleet.projection.set_demand(self.fleet.projection.pools[pool], rate)
        self.fleet.projection.commit()

    @invariant()
    def loads_match_the_recomputed_ones(self) -> None:
        for name, load in self.loads(self.lines).items():
            assert math.isclose(self.fleet.projection.servers[name].load, load, abs_tol=1e-6), name
        count = {name: sum(self.ready[s] for s in lines) for name, lines in self.lines.items()}
        tight = self.fleet.projection.tightest(3)
        assert [count[pool.name] for pool in tight] == sorted(count.values())[:3]


LoadProjectionComparison.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
LoadProjectionTest = LoadProjectionComparison.TestCase


class MutationTests(unittest.TestCase):
    """Disables checks and changes parameters of Admission; the corpus must detect each case."""

    def test_each_disabled_check_is_detected(self) -> None:
        random = Random(1)
        disabled = [
            name
            for name in (
                "_check_known",
                "_check_value",
                "_check_open",
                "_check_retry",
                "_check_not_empty",
                "_check_max_share",
                "_check_cold_allowance",
                "_check_limit",
                "_check_connections",
            )
        ]
        random.shuffle(disabled)
        import rushladder.guard.admission as module

        tables = ("CHANGE_CHECKS", "POOL_CHECKS", "SERVER_CHECKS")
        kept = {table: getattr(module, table) for table in tables}
        for name in disabled:
            check = getattr(Admission, name)
            for table in tables:
                setattr(module, table, tuple(one for one in kept[table] if one is not check))
            try:
                detected = bool(failed_rows())
            except KeyError:
                detected = True  # an unknown name was accepted
            finally:
                for table in tables:
                    setattr(module, table, kept[table])
            self.assertTrue(detected, name)

    def test_each_wrong_parameter_is_detected(self) -> None:
        for overrides in (
            {"max_share": 0.99},
            {"max_share": 0.3},
            {"headroom": 1.0},
            {"headroom": 3.0},
            {"connection_time": 0.0},
            {"connection_time": 20.0},
        ):

            class Broken(Fleet):
                def __init__(self, parameters: dict[str, float] = overrides) -> None:
                    super().__init__()
                    self.guard = Admission(self.projection, **parameters)
                    self.guard.demand_updated_at = self.now

            self.assertTrue(failed_rows(Broken), overrides)


class LimitSharesTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.floats(0.1, 50), st.integers(0, 2)), min_size=1, max_size=12
        )
    )
    def test_the_shares_of_all_managers_add_up_to_one(self, some: list[tuple[str, float, int]]) -> None:
        gateways = [(f"g{k}", region, rate) for k, (region, rate, _) in enumerate(some)]
        servers = {f"{region}{k}": region for region in "abc" for k in range(2)}
        parts = [
            limit_shares(
                servers, gateways, frozenset(f"g{k}" for k, one in enumerate(some) if one[2] == manager)
            )
            for manager in range(3)
        ]
        for name in servers:
            self.assertAlmostEqual(sum(part[name] for part in parts), 1.0)

    def test_a_manager_gets_most_of_the_limits_in_its_own_region(self) -> None:
        parts = limit_shares(
            {"a1": "a", "b1": "b"}, [("g1", "a", 10.0), ("g2", "b", 10.0)], frozenset({"g1"})
        )
        self.assertEqual(parts, {"a1": 0.8, "b1": 0.2})


class TableGuardTests(unittest.TestCase):
    def test_removed_servers_leave_no_records(self) -> None:
        table_guard = TableGuard(Random(1).random)
        for number in range(500):
            table_guard.update_server(
                f"s{number}",
                "a",
                "big",
                limit=40.0,
                connections=0,
                ready=True,
                started_at=0,
                cold_time=1,
                cold_from=1.0,
            )
            table_guard.remove_server(f"s{number}")
            table_guard.end_period({}, number)
        self.assertEqual((len(table_guard.projection.servers), len(table_guard._stated_limits)), (0, 0))

    def test_a_wave_is_reverted_when_demand_exceeds_a_limit(self) -> None:
        table_guard, product = TableGuard(Random(1).random), PRODUCTS["ask"][0]
        for k in range(4):
            table_guard.update_server(
                f"s{k}",
                "a",
                "big",
                limit=40.0,
                connections=0,
                ready=True,
                started_at=0,
                cold_time=1,
                cold_from=1.0,
            )
        table_guard.update_demand("0", product, "a", 60.0, 1)
        self.assertIsNone(table_guard.check_table("0", [product], "a", {f"s{k}": 10.0 for k in range(4)}, 1))
        table_guard.propose("ops", "more for s0", [(("ask", "s0"), 2.0)], [f"g{k}" for k in range(9)], 1)
        self.assertEqual(table_guard.version_of("none of the wave"), 0)
        table_guard.update_demand("0", product, "a", 120.0, 2)
        self.assertIs(table_guard.end_period({}, 2), Effect.UNDO)
        self.assertEqual((table_guard.history.current, table_guard.factor("ask", "s0")), (0, 1.0))
        self.assertIn("over its 40.0", table_guard.history[1].state)


class WaveTests(unittest.TestCase):
    SLA = 20_000.0

    def arm(self, random: Random, count: int, bad: float, mean: float = 2_000.0) -> Arm:
        voided = sum(random.random() < bad for _ in range(count))
        return Arm(count, voided, mean * (count - voided), self.SLA)

    def simulate(
        self, seed: int, changed_bad: float, other_bad: float, mean: float = 2_000.0
    ) -> tuple[Wave, list[Effect]]:
        random, wave, effects = (
            Random(seed),
            Wave(1, [f"g{k}" for k in range(10)], other_bad, 0),
            list[Effect](),
        )
        for second in range(1, 240):
            count = 8 * len(wave.changed)
            effects.append(
                wave.end_period(
                    [self.arm(random, count, changed_bad, mean)],
                    [self.arm(random, 80 - count, other_bad)],
                    second * SECOND,
                )
            )
            if wave.finished:
                break
        return wave, effects

    def test_a_good_change_reaches_all_gateways(self) -> None:
        wave, effects = self.simulate(1, 0.02, 0.02)
        self.assertEqual(
            [effect for effect in effects if effect is not Effect.NONE],
            [Effect.WIDEN, Effect.WIDEN, Effect.FINISH],
        )
        self.assertEqual((wave.stage, len(wave.changed)), (Stage.DONE, 10))

    def test_a_bad_change_is_reverted_in_the_first_stage(self) -> None:
        wave, effects = self.simulate(1, 0.3, 0.02)
        self.assertEqual([effect for effect in effects if effect is not Effect.NONE], [Effect.UNDO])
        self.assertLess(len(effects), 10)
        self.assertGreater(wave.test.probability_worse(), 0.98)

    def test_a_change_that_slows_a_pool_is_reverted_without_voided_txns(self) -> None:
        wave, _ = self.simulate(1, 0.0, 0.0, mean=9_000.0)
        self.assertIs(wave.stage, Stage.UNDONE)

    def test_errors_on_all_gateways_are_not_attributed_to_the_change(self) -> None:
        self.assertIs(self.simulate(3, 0.3, 0.3)[0].stage, Stage.DONE)

    def test_without_txns_a_wave_is_held_and_then_reverted(self) -> None:
        wave, effects = Wave(1, ["g1", "g2"], 0.01, 0), list[Effect]()
        for second in range(1, 80):
            effects.append(wave.end_period([], [], second * SECOND))
        self.assertEqual(
            [effect for effect in effects if effect is not Effect.NONE], [Effect.HOLD, Effect.UNDO]
        )

    def test_the_error_rates_are_as_stated(self) -> None:
        good = sum(self.simulate(seed, 0.02, 0.02)[0].stage is Stage.UNDONE for seed in range(60))
        bad = sum(self.simulate(seed, 0.09, 0.02)[0].stage is Stage.DONE for seed in range(60))
        self.assertLessEqual(good, 4)
        self.assertLessEqual(bad, 4)

    def test_a_gateway_that_left_is_removed_from_the_wave(self) -> None:
        wave = Wave(1, ["g1", "g2", "g3"], 0.01, 0)
        wave.remove_gateway("g1")
        self.assertEqual(wave.changed, ["g2"])


class HistoryTests(unittest.TestCase):
    def test_versions_have_numbers_parents_and_differences(self) -> None:
        history = History()
        history.accept("ops", "less for c1", {("pay", "c1"): 0.5}, 1)
        history.accept("ops", "and c2", {("pay", "c1"): 0.5, ("ask", "c2"): 2.0}, 2)
        self.assertEqual([(v.number, v.parent) for v in history.all()], [(0, 0), (1, 0), (2, 1)])
        self.assertEqual(history.diff(1, 2), [(("ask", "c2"), 1.0, 2.0)])
        self.assertEqual(history.revert(2, "taken back: worse").number, 1)
        self.assertRaises(KeyError, history.diff, 1, 9)

    def test_the_oldest_versions_are_dropped_but_never_the_current_one(self) -> None:
        history = History()
        for number in range(1000):
            history.accept("script", "", {("pay", "c1"): 1.0 + number}, number)
        self.assertLessEqual(len(history.all()), MAX_KEPT)
        self.assertEqual(history[history.current].factors, {("pay", "c1"): 1000.0})


if __name__ == "__main__":
    unittest.main()
