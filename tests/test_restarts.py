"""Stories of managers that come back: what they still know, how much it counts, and what they must not do."""

import math
import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, fail, succeed

from rushladder.conf.reader import parse_config as read_plan
from rushladder.runtime.endpoint import Level
from rushladder.runtime.grammar import Command
from rushladder.service.api import command_table
from rushladder.service.manager import Manager
from rushladder.service.persistence import Persistence
from rushladder.standins.folder import Entries, SimulatedFolder, Tail
from rushladder.store.commands import Effect, Journal
from rushladder.store.log import Log
from rushladder.store.memory import (
    DAY,
    DECAYS,
    HOUR,
    EPOCH_MARGIN,
    MINORS,
    MINUTE,
    FRESH_REPORTS,
    SECOND,
    CLOCK_SLACK,
    Aspect,
    Kind,
    ServerKnowledge,
    ServerRecords,
    ListedServer,
    reliability,
    recall_server,
    recall_demand,
    decay_weight,
)
from rushladder.store.store_pb2 import CommandMemory, DemandMemory, ServerMemory
from rushladder.store.writer import Writer
from tests.fake_cluster import FakeCluster, RecordingLog

NOW = 1_700_000_000_000
HERE = ListedServer("a", "m", 0)


def memory(age: int, **more: Any) -> ServerMemory:
    figures: dict[str, Any] = {"pace": 0.5, "factor": 0.4, "region": "a", "model": "m"}
    return ServerMemory(at=NOW - age, **(figures | more))


class AgeStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.sampled_from(Aspect), st.integers(0, 8 * DAY), st.integers(0, 8 * DAY))
    def test_what_is_older_never_counts_for_more(self, aspect: Aspect, one: int, other: int) -> None:
        older, newer = max(one, other), min(one, other)
        self.assertLessEqual(decay_weight(aspect, older), decay_weight(aspect, newer))
        self.assertEqual(decay_weight(aspect, DECAYS[aspect].end), 0.0)
        self.assertEqual(decay_weight(aspect, -CLOCK_SLACK - 1), 0.0)

    def test_a_fresh_memory_counts_as_reports_and_one_a_day_old_for_little(self) -> None:
        fresh, old = recall_server("s", memory(0), HERE, NOW), recall_server("s", memory(DAY), HERE, NOW)
        assert fresh is not None and old is not None
        self.assertEqual((fresh.pace, fresh.factor, fresh.heard), (0.5, 0.4, FRESH_REPORTS))
        self.assertLess(old.heard, 1)
        self.assertGreater(old.pace, 0.9)

    def test_another_machine_a_restart_the_future_and_nonsense_count_for_nothing(self) -> None:
        for kept, standing in (
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
            self.assertIsNone(recall_server("s", kept, standing, NOW))

    def test_one_that_was_out_when_the_manager_died_is_tried_out_again(self) -> None:
        kept = memory(2 * SECOND, out_for=8000, out_until=NOW + 3000, pace=1.0, factor=1.0)
        known = recall_server("s", kept, HERE, NOW)
        assert known is not None
        self.assertAlmostEqual(known.factor, 0.2)
        self.assertGreater(known.out_for, 7000)
        later = recall_server("s", memory(10 * MINUTE, out_for=8000, out_until=NOW, factor=1.0), HERE, NOW)
        assert later is not None
        self.assertEqual((later.factor, later.out_for), (1.0, 0))

    def test_a_server_whose_memories_do_not_come_true_is_remembered_less(self) -> None:
        self.assertEqual((reliability(0, 0), reliability(5, 1)), (1.0, 1.0))
        self.assertLess(reliability(0, 3), 0.3)
        book = ServerRecords({(Kind.SERVER, "s"): memory(0).SerializeToString()})
        book.recall({"s": HERE}, NOW)
        [(_, payload)] = book.update(
            [ServerKnowledge("s", "a", "m", 1.2, 1.0, 2 * FRESH_REPORTS)], NOW + MINUTE
        )
        self.assertEqual(ServerMemory.FromString(payload).wrong, 1.0)
        self.assertEqual(book.update([ServerKnowledge("s", "a", "m", 1.21, 1.0, 30)], NOW + MINUTE), [])

    def test_demand_of_an_hour_ago_counts_for_nothing_and_of_now_for_all(self) -> None:
        for age, busy in ((0, 0.8), (10 * MINUTE, 0.65), (HOUR, None)):
            kept = DemandMemory(at=NOW - age, quiet=150, mix={"x": 0.8, "y": 0.2})
            found = recall_demand(kept, ["x", "y"], NOW)
            self.assertAlmostEqual(found.mix["x"], busy) if found and busy else self.assertIsNone(found)
        self.assertIsNone(recall_demand(DemandMemory(at=NOW, mix={"x": 1.0}), ["x", "y"], NOW))

    @settings(derandomize=True, deadline=None)
    @given(st.floats(), st.floats(), st.floats(), st.integers(0, 2**40), st.integers(-DAY, 9 * DAY))
    def test_whatever_is_kept_comes_back_within_its_bounds(
        self, pace: float, factor: float, right: float, out: int, age: int
    ) -> None:
        kept = memory(age, pace=pace, factor=factor, right=right, wrong=1, out_for=out, out_until=out)
        known = recall_server("s", kept, HERE, NOW)
        if known is not None:
            self.assertTrue(
                0 < known.pace <= 100 and 0 < known.factor <= 100 and 0 <= known.heard <= FRESH_REPORTS
            )


class JournalStories(unittest.TestCase):
    def test_a_repeat_is_answered_from_the_note_and_an_id_means_one_command(self) -> None:
        journal = Journal()
        self.assertIs(journal.begin("a", "commit table", False, NOW), Effect.RUN)
        self.assertIs(journal.begin("a", "commit table", False, NOW), Effect.WAIT)
        journal.record_answer("a", "done\n")
        self.assertIs(journal.begin("a", "commit table", False, NOW), Effect.ANSWER)
        self.assertIs(journal.begin("a", "set server x", True, NOW), Effect.REFUSE)

    def test_one_cut_short_runs_again_only_where_that_changes_nothing(self) -> None:
        kept = [("x", CommandMemory(at=NOW, words="commit table")), ("y", CommandMemory(at=NOW, words="set"))]
        journal = Journal(kept, NOW)
        self.assertIs(journal.begin("x", "commit table", False, NOW), Effect.UNKNOWN)
        self.assertIs(journal.begin("y", "set", True, NOW), Effect.RUN)

    def test_the_journal_is_bounded_in_number_and_age(self) -> None:
        journal = Journal()
        for k in range(1500):
            journal.begin(f"c{k}", "show info", True, NOW + k)
            if k:
                journal.record_answer(f"c{k}", "")
            journal.expire(NOW + k)
        self.assertEqual(len(journal), 1000)
        journal.expire(NOW + 2 * DAY)
        self.assertEqual(len(journal), 1)  # the one that is still running


class Remembered(FakeCluster):
    """A world whose managers keep what they learn on a disk that can lose power."""

    def __init__(self, **more: Any) -> None:
        self.folders, self.wall_ahead, self.fleet = dict[str, SimulatedFolder](), 1.7e9, "fleet"
        super().__init__(**more)

    def wall(self) -> float:
        return self.wall_ahead + self.clock.seconds()

    def start_manager(self, name: str, restored: str = "") -> Manager:
        self.logs[name] = RecordingLog()
        folder = self.folders.setdefault(name, SimulatedFolder())
        log = Log(folder, self.fleet, name, MINORS, wall=lambda: int(1000 * self.wall()))
        log.open()
        writer = Writer(log, self.clock, at_once, lambda why: None)
        remembering = Persistence(log, writer, self.clock, self.wall)
        manager = Manager(
            read_plan(self.config_text(name), "plan"),
            self.clock,
            lambda site, client: self.connect(name, site, client),
            self.prober,
            self.logs[name],
            memory=remembering,
        )
        writer.on_error = manager.fault
        self.managers[name] = manager
        manager.start()
        return manager

    def power_cut(self, name: str, away: float = 1.0) -> Manager:
        """The manager and all that was not synced are gone; it comes back after a while."""
        self.kill(name)
        folder = self.folders[name].after_power_cut(Tail.TORN, Entries.SOME, Random(1))
        self.folders[name] = folder
        self.run(away, 10)
        return self.start_manager(name)

    def say(self, name: str, text: str) -> str:
        table, got = command_table(self.managers[name]), list[str]()
        verb = table.find(tuple(text.split()))
        assert verb is not None
        answer = verb.run(Command(tuple(text.split())), Level.ADMIN)
        if isinstance(answer, str):
            return answer
        Deferred.fromCoroutine(answer).addBoth(lambda found: got.append(str(getattr(found, "value", found))))  # type: ignore[arg-type]
        for _ in range(600):
            if got:
                break
            self.run(0.01)
        return got[0]


def at_once(work: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
    try:
        return succeed(work(*arguments))
    except OSError as trouble:
        return fail(trouble)


class RestartStories(unittest.TestCase):
    def test_learned_speeds_are_there_from_the_first_table_on(self) -> None:
        world = Remembered(servers=6)
        world.service_time = {"s0": 0.45, "s2": 0.15, "s4": 0.15}
        world.run(40, 20)
        before = world.usable_weights("g0", "ask")
        world.power_cut("m0")
        learned = world.managers["m0"].roster["s0"].server
        self.assertLess(learned.factor, 0.75)
        world.run(3, 20)
        again = world.usable_weights("g0", "ask")
        self.assertLess(abs(again["s0"] / sum(again.values()) - before["s0"] / sum(before.values())), 0.06)

    def test_memory_of_a_day_ago_steers_nothing(self) -> None:
        world = Remembered(servers=6)
        world.service_time = {"s0": 0.45}
        world.run(40, 20)
        world.kill("m0")
        world.wall_ahead += 86_400
        manager = world.start_manager("m0")
        self.assertGreater(manager.roster["s0"].server.factor, 0.9)
        self.assertLess(manager.roster["s0"].server.report_count, 1)

    def test_a_clock_set_back_makes_memory_worth_nothing_and_harms_nothing(self) -> None:
        world = Remembered(servers=6)
        world.service_time = {"s0": 0.45}
        world.run(30, 20)
        world.kill("m0")
        world.wall_ahead -= 7200
        manager = world.start_manager("m0")
        world.run(10, 10)
        self.assertEqual(manager.memory.recalled if manager.memory else -1, 0)
        self.assertEqual(world.holder("g0"), "m0")

    def test_drains_stand_after_a_power_cut_and_go_out_with_the_first_message(self) -> None:
        world = Remembered()
        world.run(12, 10)
        world.say("m0", "set server fleet/s0 state drain")
        world.run(0.1)
        at = world.clock.seconds()
        world.gateways["g0"].backends["ask"]["s0"].admin = "ready"  # an operator's own hand
        world.power_cut("m0")
        world.run(8, 10)
        self.assertNotIn("s0", world.usable_weights("g0", "ask"))
        wrote = [
            (when, words)
            for when, site, words, _ in world.sent
            if site == "g0" and when >= at and words[:2] == ("set", "server")
        ]
        drained = next(when for when, words in wrote if words[2:5] == ("ask/s0", "state", "drain"))
        self.assertLess(drained - wrote[0][0], 0.1)  # in the very first message

    def test_a_server_that_was_cold_is_still_cold_after_a_restart(self) -> None:
        world = Remembered(servers=6)
        world.run(20, 10)
        world.say("m0", "set server fleet/s0 state maint")
        world.run(3, 10)
        world.say("m0", "set server fleet/s0 state ready")
        world.run(2, 10)
        world.power_cut("m0")
        core, kept = world.managers["m0"].core, world.managers["m0"].memory
        assert kept is not None
        started = ServerMemory.FromString(kept.log.state[Kind.SERVER, "s0"])
        self.assertEqual((started.cold_starts, started.pace), (1, 1.0))
        self.assertLess(core.ramp(world.managers["m0"].roster["s0"].server), 0.5)
        world.run(5, 10)
        parts = world.usable_weights("g0", "ask")
        self.assertLess(parts.get("s0", 0), 0.8 * max(parts.values()))

    def test_epochs_go_on_even_where_gateway_and_disk_both_forgot(self) -> None:
        world = Remembered()
        world.run(8, 5)
        before = world.managers["m0"].drivers[0].election.epoch
        world.kill("m0")
        world.start_gateway("g0", pid=2)
        world.start_manager("m0")
        world.run(8, 5)
        self.assertGreater(world.managers["m0"].drivers[0].election.epoch, before + EPOCH_MARGIN - 1)

    def test_a_process_that_was_replaced_gives_way_and_sends_nothing_more(self) -> None:
        world = FakeCluster()
        world.run(8, 5)
        old = world.managers["m0"]
        stopped = list[bool]()
        old.replaced = lambda: stopped.append(True)
        new = world.start_manager("m0")
        world.run(12, 5)
        self.assertEqual(stopped, [True])
        self.assertIn("replaced by a later process", old.errors[-1].what)
        self.assertEqual(len(new.core.sessions), 2)
        self.assertFalse(old.core.sessions)

    def test_operators_factors_stand_after_a_restart_and_a_wave_is_taken_back(self) -> None:
        world = Remembered(gateways=4, servers=8)
        world.run(12, 10)
        world.say("m0", "set weight ask/s0 90%")
        world.run(2, 10)
        first = world.managers["m0"].core.table_guard.history.current
        world.say("m0", "set weight ask/s2 30%")
        world.run(1, 10)
        wave = world.managers["m0"].core.table_guard.wave
        assert wave is not None and not wave.finished
        world.power_cut("m0")
        table_guard = world.managers["m0"].core.table_guard
        self.assertEqual(table_guard.history.current, first)
        self.assertEqual((table_guard.factor("ask", "s0"), table_guard.factor("ask", "s2")), (0.9, 1.0))
        self.assertIn("started anew", table_guard.history[wave.number].state)

    def test_a_command_with_an_id_takes_effect_once_over_a_power_cut(self) -> None:
        world = Remembered()
        world.run(10, 5)
        answer = world.say("m0", "once id-1 set weight ask/s0 95%")
        versions = len(world.managers["m0"].core.table_guard.history.all())
        manager = world.power_cut("m0")
        world.run(8, 5)
        self.assertEqual(world.say("m0", "once id-1 set weight ask/s0 95%"), answer)
        self.assertEqual(len(manager.core.table_guard.history.all()), versions)
        self.assertIn("taken by another command", world.say("m0", "once id-1 set weight ask/s0 50%"))
        self.assertIn("Commands_from_record: 1\n", world.say("m0", "show store"))

    def test_on_a_dead_disk_a_command_with_an_id_is_not_carried_out(self) -> None:
        world = Remembered()
        world.run(10, 5)
        world.folders["m0"].read_only = True
        self.assertIn("Not carried out", world.say("m0", "once id-2 set server fleet/s0 state drain"))
        self.assertNotIn(" 8 ", world.say("m0", "show servers state").split("s0")[1][:20])
        world.folders["m0"].read_only = False
        world.run(40, 5)
        self.assertEqual(world.say("m0", "once id-2 set server fleet/s0 state drain"), "")
        world.run(3, 5)
        self.assertNotIn("s0", world.usable_weights("g0", "ask"))

    def test_all_managers_restarted_at_once_make_no_storm_past_the_cap(self) -> None:
        world = Remembered(gateways=4, managers=2, servers=6)
        world.service_time = {"s0": 0.45, "s1": 0.45}
        world.run(30, 20)
        for name in ("m0", "m1"):
            world.kill(name)
        world.run(1, 20)
        at = world.clock.seconds()
        for name in ("m0", "m1"):
            world.start_manager(name)
        world.run(20, 20)
        for name in world.sites:
            writes = [
                when
                for when, site, words, _ in world.sent
                if site == name and when >= at and words[:3] == ("set", "var", "proc.rushladder_wrote")
            ]
            most = max(sum(when <= other < when + 10 for other in writes) for when in writes)
            self.assertLessEqual(most, world.cap)


if __name__ == "__main__":
    unittest.main()
