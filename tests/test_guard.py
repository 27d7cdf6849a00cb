"""Stories of the guard: a corpus of good and bad tables, and a slow model beside it under random changes."""

import math
import unittest
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rushladder.guard.admission import Admission, Close, Gate, Line, Open, Part, Reason, Verdict
from rushladder.guard.limit_shares import limit_shares
from rushladder.guard.projection import LoadProjection, Pool, Server, open_to
from rushladder.guard.history import KEPT, History
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
    """Two regions of four servers: 1 and 2 big, 3 small, 4 big and just started; a pool a product and
    region."""

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
        self.guard.demand_at = self.now

    def set_up(self, text: str) -> None:
        words = text.split()
        if words[0] == "demand":
            self.projection.set_demand(self.projection.pools[words[1]], float(words[2]))
        elif words[0] == "connections":
            self.projection.servers[words[1]].connections = int(words[2])
        elif words[0] == "age":
            self.now += int(words[1]) * SECOND
            self.guard.demand_at = self.now
        elif words[0] == "stale":
            self.guard.demand_at = None
        else:
            self.guard.judge([(part(text),)], self.now)

    def word(self, verdict: Verdict) -> str:
        if not verdict.refused:
            return "accept"
        return verdict.refused[0].reason.value + ("+accept" if verdict.accepted else "")


def part(text: str) -> Part:
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
            word,
        )
        for name, setup, change, word in rows
    ]


def wrong(make: type[Fleet] = Fleet) -> list[str]:
    """The rows of the corpus that come out otherwise than they say."""
    found = list[str]()
    for name, setup, change, word in corpus():
        fleet = make()
        for text in setup:
            fleet.set_up(text)
        got = fleet.word(fleet.guard.judge([tuple(part(text) for text in change)], fleet.now))
        if got != word:
            found.append(f"{name}: {got}, not {word}")
    return found


class CorpusStories(unittest.TestCase):
    def test_every_bad_table_is_refused_with_its_reason_and_every_good_one_accepted(self) -> None:
        self.assertGreaterEqual(len(corpus()), 150)
        self.assertEqual(
            {word.split("+")[0] for *_, word in corpus()} - {"accept"}, {r.value for r in Reason}
        )
        self.assertEqual(wrong(), [])


class RefusalStories(unittest.TestCase):
    def test_the_least_change_that_is_told_is_accepted_and_a_tenth_more_is_not(self) -> None:
        fleet = Fleet()
        refusal = fleet.guard.judge([(Line("ask-a", "a4", 40.0),)], fleet.now).refused[0]
        least = float(refusal.least.split()[3])
        self.assertTrue(fleet.guard.judge([(Line("ask-a", "a4", 1.1 * least),)], fleet.now).refused)
        self.assertFalse(fleet.guard.judge([(Line("ask-a", "a4", 0.99 * least),)], fleet.now).refused)

    def test_a_bad_group_falls_whole_and_leaves_its_neighbours(self) -> None:
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

    def test_a_drain_that_would_empty_a_pool_passes_and_the_pool_is_filled(self) -> None:
        fleet = Fleet()
        verdict = fleet.guard.judge([tuple(Close(f"a{k}") for k in (1, 2, 3, 4))], fleet.now)
        self.assertFalse(verdict.refused)
        self.assertEqual({fill.pool for fill in verdict.fills}, {"ask-a", "pay-a", "map-a"})
        self.assertTrue(all(fill.server[0] == "b" and fill.server != "b4" for fill in verdict.fills))
        self.assertEqual(
            fleet.projection.pools["home-a"].many, 0
        )  # nobody there may be asked: rule 1 does not bind

    def test_two_halves_that_are_only_together_fatal_are_each_judged_beside_the_other(self) -> None:
        fleet = Fleet()
        fleet.projection.set_demand(fleet.projection.pools["ask-a"], 130.0)
        first = fleet.guard.judge([(Line("ask-a", "a1", 14.0),)], fleet.now)
        second = fleet.guard.judge([(Line("pay-a", "a1", 25.0),)], fleet.now)
        self.assertEqual((len(first.refused), second.refused[0].reason), (0, Reason.OVER_LIMIT))
        alone = Fleet()
        alone.projection.set_demand(alone.projection.pools["ask-a"], 130.0)
        self.assertFalse(alone.guard.judge([(Line("pay-a", "a1", 25.0),)], alone.now).refused)

    def test_the_modules_own_orders_are_judged_with_a_stale_view_too(self) -> None:
        fleet = Fleet()
        fleet.guard.demand_at = None
        self.assertFalse(fleet.guard.judge([(Line("ask-a", "a1", 12.0),)], fleet.now, trusted=True).refused)
        self.assertTrue(
            fleet.guard.judge([(Line("ask-a", "a1", math.nan),)], fleet.now, trusted=True).refused
        )


names = st.sampled_from([f"{zone}{k}" for zone in "ab" for k in (1, 2, 3, 4)])
pools = st.sampled_from([f"{product}-{zone}" for zone in "ab" for product in PRODUCTS])
weights = st.sampled_from([0.0, 0.0, 1.0, 5.0, 10.0, 30.0, 200.0])


class AgainstTheSlowModel(RuleBasedStateMachine):
    """Keeps plain dictionaries beside the book; after each change both must tell the same."""

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

    def unsafe(self, before: dict[str, dict[str, float]], after: dict[str, dict[str, float]]) -> bool:
        """Recomputed from nothing: whether the change breaks one of the statics."""
        old, new = self.loads(before), self.loads(after)
        for name in after:
            if after[name] == before[name]:
                continue
            usable = {s: w for s, w in after[name].items() if self.ready[s]}
            was = {s: w for s, w in before[name].items() if self.ready[s]}
            if not usable and self.candidates(name):
                return True
            top = max(usable.values()) / sum(usable.values()) if usable else 0.0
            had = max(was.values()) / sum(was.values()) if was else 0.0
            if top > max(0.6, had * 1.01) and len(self.candidates(name)) >= 2:
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
            most = server.limit * server.ramp(self.fleet.now)
            if load > old[name] * 1.001 + 1e-9 and load * 1.25 > most + 1e-9:
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
        wrong_place = any(
            w
            and not open_to(
                self.fleet.projection.pools[p].product,
                self.fleet.projection.servers[s],
                self.fleet.projection.pools[p].zone,
            )
            for (p, s), w in entries.items()
        )
        assert bool(verdict.refused) == (wrong_place or self.unsafe(self.lines, after)), verdict
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
    def back(self, server: str) -> None:
        self.ready[server] = True
        self.fleet.projection.set_ready(self.fleet.projection.servers[server], True)
        self.fleet.projection.commit()

    @rule(pool=pools, rate=st.sampled_from([0.0, 10.0, 60.0, 150.0]))
    def more(self, pool: str, rate: float) -> None:
        self.demand[pool] = rate
        self.fleet.projection.set_demand(self.fleet.projection.pools[pool], rate)
        self.fleet.projection.commit()

    @invariant()
    def the_sums_are_those_of_the_slow_model(self) -> None:
        for name, load in self.loads(self.lines).items():
            assert math.isclose(self.fleet.projection.servers[name].load, load, abs_tol=1e-6), name
        many = {name: sum(self.ready[s] for s in lines) for name, lines in self.lines.items()}
        tight = self.fleet.projection.tightest(3)
        assert [many[pool.name] for pool in tight] == sorted(many.values())[:3]


AgainstTheSlowModel.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
SlowModelStory = AgainstTheSlowModel.TestCase


class MutationStory(unittest.TestCase):
    """Broken versions of the admission, each of which the corpus must catch."""

    def test_each_broken_check_is_caught(self) -> None:
        seeded = Random(1)
        broken = [
            name
            for name in (
                "_known",
                "_figure",
                "_open",
                "_further",
                "_empty",
                "_over",
                "_cold",
                "_limit",
                "_connections",
            )
        ]
        seeded.shuffle(broken)
        import rushladder.guard.admission as module

        tables = ("READING", "POOL_LOOKS", "SERVER_LOOKS")
        kept = {table: getattr(module, table) for table in tables}
        for name in broken:
            check = getattr(Admission, name)
            for table in tables:
                setattr(module, table, tuple(one for one in kept[table] if one is not check))
            try:
                caught = bool(wrong())
            except KeyError:
                caught = True  # an unknown name got through
            finally:
                for table in tables:
                    setattr(module, table, kept[table])
            self.assertTrue(caught, name)

    def test_each_broken_figure_is_caught(self) -> None:
        for more in (
            {"takes_over": 0.99},
            {"takes_over": 0.3},
            {"headroom": 1.0},
            {"headroom": 3.0},
            {"connections_per_txn": 0.0},
            {"connections_per_txn": 20.0},
        ):

            class Broken(Fleet):
                def __init__(self, figures: dict[str, float] = more) -> None:
                    super().__init__()
                    self.guard = Admission(self.projection, **figures)
                    self.guard.demand_at = self.now

            self.assertTrue(wrong(Broken), more)


class AllotmentStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.floats(0.1, 50), st.integers(0, 2)), min_size=1, max_size=12
        )
    )
    def test_the_parts_of_all_managers_add_up_to_one(self, some: list[tuple[str, float, int]]) -> None:
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

    def test_a_manager_has_most_of_the_servers_of_its_own_region(self) -> None:
        parts = limit_shares(
            {"a1": "a", "b1": "b"}, [("g1", "a", 10.0), ("g2", "b", 10.0)], frozenset({"g1"})
        )
        self.assertEqual(parts, {"a1": 0.8, "b1": 0.2})


class WardenStories(unittest.TestCase):
    def test_names_that_come_and_go_leave_nothing_behind(self) -> None:
        table_guard = TableGuard(Random(1).random)
        for turn in range(500):
            table_guard.server(
                f"s{turn}",
                "a",
                "big",
                limit=40.0,
                connections=0,
                ready=True,
                started_at=0,
                cold_time=1,
                cold_from=1.0,
            )
            table_guard.forget(f"s{turn}")
            table_guard.period({}, turn)
        self.assertEqual((len(table_guard.projection.servers), len(table_guard._stated)), (0, 0))

    def test_a_change_that_demand_has_outgrown_on_its_way_is_taken_back(self) -> None:
        table_guard, product = TableGuard(Random(1).random), PRODUCTS["ask"][0]
        for k in range(4):
            table_guard.server(
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
        table_guard.demand("0", product, "a", 60.0, 1)
        self.assertIsNone(table_guard.table("0", [product], "a", {f"s{k}": 10.0 for k in range(4)}, 1))
        table_guard.propose("ops", "more for s0", [(("ask", "s0"), 2.0)], [f"g{k}" for k in range(9)], 1)
        self.assertEqual(table_guard.version_of("none of the wave"), 0)
        table_guard.demand("0", product, "a", 120.0, 2)
        self.assertIs(table_guard.period({}, 2), Effect.UNDO)
        self.assertEqual((table_guard.history.current, table_guard.factor("ask", "s0")), (0, 1.0))
        self.assertIn("over its 40.0", table_guard.history[1].state)


class WaveStories(unittest.TestCase):
    SLA = 20_000.0

    def arm(self, draw: Random, many: int, bad: float, mean: float = 2_000.0) -> Arm:
        voided = sum(draw.random() < bad for _ in range(many))
        return Arm(many, voided, mean * (many - voided), self.SLA)

    def play(
        self, seed: int, changed_bad: float, other_bad: float, mean: float = 2_000.0
    ) -> tuple[Wave, list[Effect]]:
        draw, wave, effects = (
            Random(seed),
            Wave(1, [f"g{k}" for k in range(10)], other_bad, 0),
            list[Effect](),
        )
        for second in range(1, 240):
            many = 8 * len(wave.changed)
            effects.append(
                wave.period(
                    [self.arm(draw, many, changed_bad, mean)],
                    [self.arm(draw, 80 - many, other_bad)],
                    second * SECOND,
                )
            )
            if wave.finished:
                break
        return wave, effects

    def test_a_good_change_widens_to_all_and_stands(self) -> None:
        wave, effects = self.play(1, 0.02, 0.02)
        self.assertEqual(
            [effect for effect in effects if effect is not Effect.NONE],
            [Effect.WIDEN, Effect.WIDEN, Effect.FINISH],
        )
        self.assertEqual((wave.stage, len(wave.changed)), (Stage.DONE, 10))

    def test_a_bad_change_is_taken_back_from_its_first_gateways(self) -> None:
        wave, effects = self.play(1, 0.3, 0.02)
        self.assertEqual([effect for effect in effects if effect is not Effect.NONE], [Effect.UNDO])
        self.assertLess(len(effects), 10)
        self.assertGreater(wave.test.probability_worse(), 0.98)

    def test_a_slow_pool_is_taken_back_though_nothing_voids(self) -> None:
        wave, _ = self.play(1, 0.0, 0.0, mean=9_000.0)
        self.assertIs(wave.stage, Stage.UNDONE)

    def test_trouble_that_strikes_all_gateways_alike_is_not_laid_to_the_change(self) -> None:
        self.assertIs(self.play(3, 0.3, 0.3)[0].stage, Stage.DONE)

    def test_without_txns_it_holds_and_in_the_end_goes_back(self) -> None:
        wave, effects = Wave(1, ["g1", "g2"], 0.01, 0), list[Effect]()
        for second in range(1, 80):
            effects.append(wave.period([], [], second * SECOND))
        self.assertEqual(
            [effect for effect in effects if effect is not Effect.NONE], [Effect.HOLD, Effect.UNDO]
        )

    def test_the_wrong_verdicts_are_as_rare_as_stated(self) -> None:
        good = sum(self.play(seed, 0.02, 0.02)[0].stage is Stage.UNDONE for seed in range(60))
        bad = sum(self.play(seed, 0.09, 0.02)[0].stage is Stage.DONE for seed in range(60))
        self.assertLessEqual(good, 4)
        self.assertLessEqual(bad, 4)

    def test_a_gateway_that_is_lost_leaves_the_wave(self) -> None:
        wave = Wave(1, ["g1", "g2", "g3"], 0.01, 0)
        wave.lost("g1")
        self.assertEqual(wave.changed, ["g2"])


class HistoryStories(unittest.TestCase):
    def test_versions_have_numbers_parents_and_differences(self) -> None:
        history = History()
        history.accept("ops", "less for c1", {("pay", "c1"): 0.5}, 1)
        history.accept("ops", "and c2", {("pay", "c1"): 0.5, ("ask", "c2"): 2.0}, 2)
        self.assertEqual([(v.number, v.parent) for v in history.all()], [(0, 0), (1, 0), (2, 1)])
        self.assertEqual(history.diff(1, 2), [(("ask", "c2"), 1.0, 2.0)])
        self.assertEqual(history.back(2, "taken back: worse").number, 1)
        self.assertRaises(KeyError, history.diff, 1, 9)

    def test_a_runaway_script_forgets_the_oldest_and_never_what_stands(self) -> None:
        history = History()
        for turn in range(1000):
            history.accept("script", "", {("pay", "c1"): 1.0 + turn}, turn)
        self.assertLessEqual(len(history.all()), KEPT)
        self.assertEqual(history[history.current].factors, {("pay", "c1"): 1000.0})


if __name__ == "__main__":
    unittest.main()
