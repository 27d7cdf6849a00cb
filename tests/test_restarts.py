"""Tests of restarts: which stored state is restored, how much it counts, and that restarts do no harm."""

import math
import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, fail, succeed

from rushladder.conf.reader import parse_config
from rushladder.runtime.endpoint import Level
from rushladder.runtime.grammar import Command
from rushladder.service.api import command_table
from rushladder.service.manager import Manager
from rushladder.service.persistence import Persistence
from rushladder.standins.folder import Entries, SimulatedFolder, Tail
from rushladder.store.commands import Effect, Journal
from rushladder.store.log import Log
from rushladder.store.memory import (
    CLOCK_SLACK,
    DAY,
    DECAYS,
    EPOCH_MARGIN,
    FRESH_REPORTS,
    HOUR,
    MAX_COMMAND_BYTES,
    MAX_COMMANDS,
    MINORS,
    MINUTE,
    SECOND,
    Aspect,
    Kind,
    ListedServer,
    ServerKnowledge,
    ServerRecords,
    decay_weight,
    recall_demand,
    recall_server,
    reliability,
)
from rushladder.store.store_pb2 import CommandMemory, DemandMemory, ServerMemory
from rushladder.store.writer import Writer
from tests.fake_cluster import FakeCluster, RecordingLog

NOW = 1_700_000_000_000
HERE = ListedServer("a", "m", 0)


def memory(age: int, **extra: Any) -> ServerMemory:
    defaults: dict[str, Any] = {"pace": 0.5, "factor": 0.4, "region": "a", "model": "m"}
    return ServerMemory(at=NOW - age, **(defaults | extra))


class DecayTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.sampled_from(Aspect), st.integers(0, 8 * DAY), st.integers(0, 8 * DAY))
    def test_an_older_record_never_counts_more_than_a_newer(
        self, aspect: Aspect, age_a: int, age_b: int
    ) -> None:
        older, newer = max(age_a, age_b), min(age_a, age_b)
        self.assertLessEqual(decay_weight(aspect, older), decay_weight(aspect, newer))
        self.assertEqual(decay_weight(aspect, DECAYS[aspect].end), 0.0)
        self.assertEqual(decay_weight(aspect, -CLOCK_SLACK - 1), 0.0)

    def test_a_fresh_record_counts_as_several_reports_and_a_day_old_one_for_little(self) -> None:
        fresh, old = recall_server("s", memory(0), HERE, NOW), recall_server("s", memory(DAY), HERE, NOW)
        assert fresh is not None and old is not None
        self.assertEqual((fresh.pace, fresh.factor, fresh.heard), (0.5, 0.4, FRESH_REPORTS))
        self.assertLess(old.heard, 1)
        self.assertGreater(old.pace, 0.9)

    def test_records_of_another_machine_an_earlier_start_the_future_or_invalid_values_are_ignored(
        self,
    ) -> None:
        for record, listed in (
            (memory(0, region="b"), HERE),
            (memory(0, model="n"), HERE),
            (memory(0), None),
            (memory(MINUTE), ListedServer("a", "m", NOW - SECOND)),
            (memory(-MINUTE), HERE),
            (memory(8 * DAY), HERE),
            (memory(0, pace=math.nan), HERE),
            (memory(0, pace=0.0), HERE),
            (memory(0, factor=-1.0), HERE),
        ):
            self.assertIsNone(recall_server("s", record, listed, NOW))

    def test_a_server_excluded_when_the_manager_died_is_readmitted_gradually(self) -> None:
        record = memory(2 * SECOND, out_for=8000, out_until=NOW + 3000, pace=1.0, factor=1.0)
        restored = recall_server("s", record, HERE, NOW)
        assert restored is not None
        self.assertAlmostEqual(restored.factor, 0.2)
        self.assertGreater(restored.out_for, 7000)
        later = recall_server("s", memory(10 * MINUTE, out_for=8000, out_until=NOW, factor=1.0), HERE, NOW)
        assert later is not None
        self.assertEqual((later.factor, later.out_for), (1.0, 0))

    def test_records_that_prove_wrong_count_less(self) -> None:
        self.assertEqual((reliability(0, 0), reliability(5, 1)), (1.0, 1.0))
        self.assertLess(reliability(0, 3), 0.3)
        records = ServerRecords({(Kind.SERVER, "s"): memory(0).SerializeToString()})
        records.recall({"s": HERE}, NOW)
        [(_, payload)] = records.update(
            [ServerKnowledge("s", "a", "m", 1.2, 1.0, 2 * FRESH_REPORTS)], NOW + MINUTE
        )
        self.assertEqual(ServerMemory.FromString(payload).wrong, 1.0)
        self.assertEqual(records.update([ServerKnowledge("s", "a", "m", 1.21, 1.0, 30)], NOW + MINUTE), [])

    def test_demand_counts_fully_when_fresh_and_not_at_all_after_an_hour(self) -> None:
        for age, busy in ((0, 0.8), (10 * MINUTE, 0.65), (HOUR, None)):
            record = DemandMemory(at=NOW - age, quiet=150, mix={"x": 0.8, "y": 0.2})
            found = recall_demand(record, ["x", "y"], NOW)
            self.assertAlmostEqual(found.mix["x"], busy) if found and busy else self.assertIsNone(found)
        self.assertIsNone(recall_demand(DemandMemory(at=NOW, mix={"x": 1.0}), ["x", "y"], NOW))

    @settings(derandomize=True, deadline=None)
    @given(st.floats(), st.floats(), st.floats(), st.integers(0, 2**40), st.integers(-DAY, 9 * DAY))
    def test_any_record_is_restored_within_limits(
        self, pace: float, factor: float, right: float, out: int, age: int
    ) -> None:
        record = memory(age, pace=pace, factor=factor, right=right, wrong=1, out_for=out, out_until=out)
        restored = recall_server("s", record, HERE, NOW)
        if restored is not None:
            self.assertTrue(
                0 < restored.pace <= 100
                and 0 < restored.factor <= 100
                and 0 <= restored.heard <= FRESH_REPORTS
            )


class JournalTests(unittest.TestCase):
    def test_a_repeated_command_is_answered_from_the_journal_and_an_id_belongs_to_one_command(self) -> None:
        journal = Journal()
        self.assertIs(journal.begin("a", "commit table", False, NOW), Effect.RUN)
        self.assertIs(journal.begin("a", "commit table", False, NOW), Effect.WAIT)
        journal.record_answer("a", "done\n")
        self.assertIs(journal.begin("a", "commit table", False, NOW), Effect.ANSWER)
        self.assertIs(journal.begin("a", "set server x", True, NOW), Effect.REFUSE)

    def test_an_interrupted_command_runs_again_only_if_it_is_idempotent(self) -> None:
        records = [
            ("x", CommandMemory(at=NOW, words="commit table")),
            ("y", CommandMemory(at=NOW, words="set")),
        ]
        journal = Journal(records, NOW)
        self.assertIs(journal.begin("x", "commit table", False, NOW), Effect.UNKNOWN)
        self.assertIs(journal.begin("y", "set", True, NOW), Effect.RUN)

    def test_the_journal_is_bounded_and_forgets_no_id_before_its_time(self) -> None:
        # Guards against: an id that a thousand others had followed was forgotten, and its command carried out
        # again; and, without a store, ids that were kept for good.
        for answer, most in (("", MAX_COMMANDS), ("x" * 4096, MAX_COMMAND_BYTES // 4096 + 1)):
            journal, effects = Journal(), list[Effect]()
            for k in range(MAX_COMMANDS + 500):
                effects.append(journal.begin(f"c{k}", "show info", False, NOW + k))
                if k and effects[-1] is Effect.RUN:
                    journal.record_answer(f"c{k}", answer)
                if k % 100 == 0:
                    journal.expire(NOW + k)
            self.assertLessEqual(len(journal), most)
            self.assertEqual(set(effects[len(journal) :]), {Effect.FULL})
            again = {journal.begin(f"c{k}", "show info", False, NOW) for k in range(1, len(journal))}
            self.assertEqual(again, {Effect.ANSWER})
            journal.expire(NOW + 2 * DAY)
            self.assertEqual(len(journal), 1)  # the command that is still running
            self.assertIs(journal.begin("new", "show info", False, NOW + 2 * DAY), Effect.RUN)


class PersistentCluster(FakeCluster):
    """A cluster whose managers store their state on a simulated disk that can lose power."""

    def __init__(self, **extra: Any) -> None:
        self.folders, self.wall_ahead, self.fleet = dict[str, SimulatedFolder](), 1.7e9, "fleet"
        super().__init__(**extra)

    def wall(self) -> float:
        return self.wall_ahead + self.clock.seconds()

    def start_manager(self, name: str, restored: str = "") -> Manager:
        self.logs[name] = RecordingLog()
        folder = self.folders.setdefault(name, SimulatedFolder())
        log = Log(folder, self.fleet, name, MINORS, wall=lambda: int(1000 * self.wall()))
        log.open()
        writer = Writer(log, self.clock, run_immediately, lambda reason: None)
        persistence = Persistence(log, writer, self.clock, self.wall)
        manager = Manager(
            parse_config(self.config_text(name), "plan"),
            self.clock,
            lambda site, client: self.connect(name, site, client),
            self.prober,
            self.logs[name],
            memory=persistence,
        )
        writer.on_error = manager.record_error
        self.managers[name] = manager
        manager.start()
        return manager

    def power_cut(self, name: str, away: float = 1.0) -> Manager:
        """Kills a manager, drops all writes that were not synced, and starts it `away` seconds later."""
        self.kill(name)
        folder = self.folders[name].after_power_cut(Tail.TORN, Entries.SOME, Random(1))
        self.folders[name] = folder
        self.run(away, 10)
        return self.start_manager(name)

    def run_command(self, name: str, text: str) -> str:
        """Runs a command of a manager's runtime API at admin level and returns its answer."""
        table, got = command_table(self.managers[name]), list[str]()
        spec = table.find(tuple(text.split()))
        assert spec is not None
        answer = spec.run(Command(tuple(text.split())), Level.ADMIN)
        if isinstance(answer, str):
            return answer
        Deferred.fromCoroutine(answer).addBoth(lambda found: got.append(str(getattr(found, "value", found))))  # type: ignore[arg-type]
        for _ in range(600):
            if got:
                break
            self.run(0.01)
        return got[0]


def run_immediately(function: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
    try:
        return succeed(function(*arguments))
    except OSError as error:
        return fail(error)


class RestartTests(unittest.TestCase):
    def test_learned_speeds_are_used_from_the_first_table_on(self) -> None:
        cluster = PersistentCluster(servers=6)
        cluster.service_time = {"s0": 0.45, "s2": 0.15, "s4": 0.15}
        cluster.run(40, 20)
        before = cluster.usable_weights("g0", "ask")
        cluster.power_cut("m0")
        learned = cluster.managers["m0"].roster["s0"].server
        self.assertLess(learned.factor, 0.75)
        cluster.run(3, 20)
        again = cluster.usable_weights("g0", "ask")
        self.assertLess(abs(again["s0"] / sum(again.values()) - before["s0"] / sum(before.values())), 0.06)

    def test_state_stored_a_day_ago_has_no_effect(self) -> None:
        cluster = PersistentCluster(servers=6)
        cluster.service_time = {"s0": 0.45}
        cluster.run(40, 20)
        cluster.kill("m0")
        cluster.wall_ahead += 86_400
        manager = cluster.start_manager("m0")
        self.assertGreater(manager.roster["s0"].server.factor, 0.9)
        self.assertLess(manager.roster["s0"].server.report_count, 1)

    def test_after_a_clock_was_set_back_stored_state_is_ignored_without_harm(self) -> None:
        cluster = PersistentCluster(servers=6)
        cluster.service_time = {"s0": 0.45}
        cluster.run(30, 20)
        cluster.kill("m0")
        cluster.wall_ahead -= 7200
        manager = cluster.start_manager("m0")
        cluster.run(10, 10)
        self.assertEqual(manager.memory.recalled if manager.memory else -1, 0)
        self.assertEqual(cluster.holder("g0"), "m0")

    def test_drains_persist_over_a_power_cut_and_are_sent_in_the_first_message(self) -> None:
        cluster = PersistentCluster()
        cluster.run(12, 10)
        cluster.run_command("m0", "set server fleet/s0 state drain")
        cluster.run(0.1)
        at = cluster.clock.seconds()
        cluster.gateways["g0"].backends["ask"]["s0"].admin = "ready"  # changed by hand on the gateway
        cluster.power_cut("m0")
        cluster.run(8, 10)
        self.assertNotIn("s0", cluster.usable_weights("g0", "ask"))
        wrote = [
            (when, words)
            for when, site, words, _ in cluster.sent
            if site == "g0" and when >= at and words[:2] == ("set", "server")
        ]
        drained = next(when for when, words in wrote if words[2:5] == ("ask/s0", "state", "drain"))
        self.assertLess(drained - wrote[0][0], 0.1)  # in the very first message

    def test_a_server_that_was_cold_is_still_cold_after_a_restart(self) -> None:
        cluster = PersistentCluster(servers=6)
        cluster.run(20, 10)
        cluster.run_command("m0", "set server fleet/s0 state maint")
        cluster.run(3, 10)
        cluster.run_command("m0", "set server fleet/s0 state ready")
        cluster.run(2, 10)
        cluster.power_cut("m0")
        core, persistence = cluster.managers["m0"].core, cluster.managers["m0"].memory
        assert persistence is not None
        started = ServerMemory.FromString(persistence.log.state[Kind.SERVER, "s0"])
        self.assertEqual((started.cold_starts, started.pace), (1, 1.0))
        self.assertLess(core.ramp(cluster.managers["m0"].roster["s0"].server), 0.5)
        cluster.run(5, 10)
        parts = cluster.usable_weights("g0", "ask")
        self.assertLess(parts.get("s0", 0), 0.8 * max(parts.values()))

    def test_epochs_increase_even_if_gateway_and_disk_both_lost_them(self) -> None:
        cluster = PersistentCluster()
        cluster.run(8, 5)
        before = cluster.managers["m0"].drivers[0].election.epoch
        cluster.kill("m0")
        cluster.start_gateway("g0", pid=2)
        cluster.start_manager("m0")
        cluster.run(8, 5)
        self.assertGreater(cluster.managers["m0"].drivers[0].election.epoch, before + EPOCH_MARGIN - 1)

    def test_a_replaced_process_stops_and_sends_nothing_more(self) -> None:
        cluster = FakeCluster()
        cluster.run(8, 5)
        old = cluster.managers["m0"]
        stopped = list[bool]()
        old.on_replaced = lambda: stopped.append(True)
        new = cluster.start_manager("m0")
        cluster.run(12, 5)
        self.assertEqual(stopped, [True])
        self.assertIn("replaced by a later process", old.errors[-1].message)
        self.assertEqual(len(new.core.sessions), 2)
        self.assertFalse(old.core.sessions)

    def test_operators_factors_persist_over_a_restart_and_a_wave_is_taken_back(self) -> None:
        cluster = PersistentCluster(gateways=4, servers=8)
        cluster.run(12, 10)
        cluster.run_command("m0", "set weight ask/s0 90%")
        cluster.run(2, 10)
        first = cluster.managers["m0"].core.table_guard.history.current
        cluster.run_command("m0", "set weight ask/s2 30%")
        cluster.run(1, 10)
        wave = cluster.managers["m0"].core.table_guard.wave
        assert wave is not None and not wave.finished
        cluster.power_cut("m0")
        table_guard = cluster.managers["m0"].core.table_guard
        self.assertEqual(table_guard.history.current, first)
        self.assertEqual((table_guard.factor("ask", "s0"), table_guard.factor("ask", "s2")), (0.9, 1.0))
        self.assertIn("started anew", table_guard.history[wave.number].state)

    def test_a_command_with_an_id_takes_effect_once_over_a_power_cut(self) -> None:
        cluster = PersistentCluster()
        cluster.run(10, 5)
        answer = cluster.run_command("m0", "once id-1 set weight ask/s0 95%")
        versions = len(cluster.managers["m0"].core.table_guard.history.all())
        manager = cluster.power_cut("m0")
        cluster.run(8, 5)
        self.assertEqual(cluster.run_command("m0", "once id-1 set weight ask/s0 95%"), answer)
        self.assertEqual(len(manager.core.table_guard.history.all()), versions)
        self.assertIn(
            "taken by another command", cluster.run_command("m0", "once id-1 set weight ask/s0 50%")
        )
        self.assertIn("Commands_from_record: 1\n", cluster.run_command("m0", "show store"))

    def test_a_command_with_an_id_is_not_carried_out_while_the_disk_fails(self) -> None:
        cluster = PersistentCluster()
        cluster.run(10, 5)
        cluster.folders["m0"].read_only = True
        self.assertIn(
            "Not carried out", cluster.run_command("m0", "once id-2 set server fleet/s0 state drain")
        )
        self.assertNotIn(" 8 ", cluster.run_command("m0", "show servers state").split("s0")[1][:20])
        cluster.folders["m0"].read_only = False
        cluster.run(40, 5)
        self.assertEqual(cluster.run_command("m0", "once id-2 set server fleet/s0 state drain"), "")
        cluster.run(3, 5)
        self.assertNotIn("s0", cluster.usable_weights("g0", "ask"))

    def test_restarting_all_managers_at_once_stays_within_the_message_cap(self) -> None:
        cluster = PersistentCluster(gateways=4, managers=2, servers=6)
        cluster.service_time = {"s0": 0.45, "s1": 0.45}
        cluster.run(30, 20)
        for name in ("m0", "m1"):
            cluster.kill(name)
        cluster.run(1, 20)
        at = cluster.clock.seconds()
        for name in ("m0", "m1"):
            cluster.start_manager(name)
        cluster.run(20, 20)
        for name in cluster.gateway_names:
            writes = [
                when
                for when, site, words, _ in cluster.sent
                if site == name and when >= at and words[:3] == ("set", "var", "proc.rushladder_wrote")
            ]
            max_writes = max(sum(when <= later < when + 10 for later in writes) for when in writes)
            self.assertLessEqual(max_writes, cluster.cap)


if __name__ == "__main__":
    unittest.main()
