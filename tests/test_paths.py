"""Stories of the whole path: managers steer gateways over their runtime sockets, all of it in memory."""

import unittest
from functools import cache

from rushladder.runtime.endpoint import Level, CommandRefused
from rushladder.runtime.grammar import Command, parse_fields, parse_table
from rushladder.service.api import command_table
from rushladder.service.manager import Manager
from tests.fake_cluster import FakeCluster, FakeTransport


commands = cache(command_table)  # one table of commands a manager, as its listeners share it


def ctl(manager: Manager, text: str) -> str:
    command = Command(tuple(text.split()))
    verb = commands(manager).find(command.words)
    assert verb is not None, text
    try:
        answer = verb.run(command, Level.ADMIN)
    except CommandRefused as refused:
        return f"refused: {refused}"
    assert isinstance(answer, str)
    return answer


class SteeringStories(unittest.TestCase):
    def test_a_gateway_is_held_filled_and_its_levels_set(self) -> None:
        world = FakeCluster()
        world.run(6, rate=20)
        self.assertEqual({world.holder(name) for name in world.sites}, {"m0"})
        for name in world.sites:
            self.assertTrue(set(world.usable_weights(name, "pay")) - {"s0"})
            self.assertEqual(world.gateways[name].maps["levels"], {"ask": "1000", "pay": "1000"})
            self.assertEqual(world.gateways[name].maps["retries"], {"ask": "1", "pay": "1"})

    def test_when_nothing_changes_nothing_is_sent(self) -> None:
        world = FakeCluster()
        world.run(40, rate=20)
        before = world.clock.seconds()
        world.run(10, rate=20)
        self.assertLess(len(world.change_commands("g0", before)), 12)

    def test_a_drain_told_by_an_operator_reaches_every_gateway_at_once(self) -> None:
        world = FakeCluster(cap=60)
        world.run(6, rate=20)
        self.assertEqual(ctl(world.managers["m0"], "set server fleet/s0 state drain"), "")
        world.run(1.5)
        for name in world.sites:
            self.assertNotIn("s0", world.usable_weights(name, "pay"))
            self.assertTrue(world.usable_weights(name, "pay"))
        self.assertEqual(world.managers["m0"].roster.version, 5)
        ctl(world.managers["m0"], "set server fleet/s0 state drain")  # the same again changes nothing
        self.assertEqual(world.managers["m0"].roster.version, 5)

    def test_a_server_added_by_an_operator_comes_in_cold_and_grows(self) -> None:
        world = FakeCluster()
        world.run(10, rate=40)
        answer = ctl(world.managers["m0"], "add server fleet/s9 127.0.0.1:7009 region a")
        self.assertEqual(answer, "New server registered.\n")
        world.run(4, rate=40)
        early = world.usable_weights("g0", "ask").get("s9", 0) / sum(
            world.usable_weights("g0", "ask").values()
        )
        world.run(25, rate=40)
        late = world.usable_weights("g0", "ask").get("s9", 0) / sum(
            world.usable_weights("g0", "ask").values()
        )
        self.assertLess(early, 0.5 * late)
        self.assertIn(
            "Another server has", ctl(world.managers["m0"], "add server fleet/x 127.0.0.1:7009 region a")
        )

    def test_a_server_that_hangs_is_withdrawn_and_comes_back(self) -> None:
        world = FakeCluster(cap=60)
        world.run(5, rate=20)
        world.prober.failing.add("127.0.0.1:7002")
        world.hung.add("s2")
        world.run(9, rate=20)
        self.assertNotIn("s2", world.usable_weights("g0", "ask"))
        world.prober.failing.clear()
        world.hung.clear()
        world.run(25, rate=20)
        self.assertIn("s2", world.usable_weights("g0", "ask"))

    def test_overload_lowers_the_levels_and_lifts_them_again(self) -> None:
        world = FakeCluster(cap=60)
        world.run(12, rate=20)

        for turn in range(14):
            for state in world.gateways.values():
                for product, lines in state.backends.items():
                    state.received[product] += 60
                    for line in lines.values():
                        for _ in range(10 if line.weight else 0):
                            line.record_settled(0.9 + 0.05 * turn)
            world.run(1)
        low = int(world.gateways["g0"].maps["levels"]["ask"])
        self.assertLess(low, 1000)
        world.run(30, rate=10)
        self.assertGreater(int(world.gateways["g0"].maps["levels"]["ask"]), low)


class LostStories(unittest.TestCase):
    def cut_at(self, world: FakeCluster, words: tuple[str, ...], many: int) -> list[dict[str, str]]:
        """The socket breaks the moment g0 has carried out the `many`th command that starts so."""
        seen, levels = [0], list[dict[str, str]]()
        state, heard = world.gateways["g0"], world.gateways["g0"].on_command

        def cut(got: tuple[str, ...], answer: str) -> None:
            heard(got, answer)
            levels.append(dict(state.maps["levels"]))
            seen[0] += got[: len(words)] == words
            if seen[0] == many and got[: len(words)] == words:
                world.wires["m0", "g0"].muted = True  # the rest of the line, and every answer, is lost
                world.wires["m0", "g0"].abortConnection()

        state.on_command = cut
        return levels

    def test_a_socket_that_drops_between_two_servers_orders_is_read_back(self) -> None:
        for many in (1, 2, 3):
            world = FakeCluster(gateways=1)
            world.run(6, rate=20)
            self.cut_at(world, ("set", "server"), many)
            ctl(world.managers["m0"], "set server fleet/s1 state drain")
            ctl(world.managers["m0"], "add server fleet/s8 127.0.0.1:7008 region a started 1m")
            world.run(9, rate=20)
            rows = parse_table(ctl(world.managers["m0"], "show table g0"))
            self.assertTrue(rows)
            for row in rows:
                line = world.gateways["g0"].backends[row["pxname"]].get(row["svname"])
                self.assertEqual(str(line.weight) if line else "0", row["weight"])
                self.assertEqual((row["held_weight"] or "0"), row["weight"])

    def test_a_socket_that_drops_inside_a_map_leaves_the_old_map_whole(self) -> None:
        full = {"ask": "1000", "pay": "1000"}
        for words, many in ((("prepare",), 1), (("add", "map"), 1), (("add", "map"), 3), (("commit",), 1)):
            world = FakeCluster(gateways=1)
            levels = self.cut_at(world, words, many)
            world.run(14, rate=20)
            self.assertTrue(all(some in ({}, full) for some in levels), words)
            self.assertEqual(world.gateways["g0"].maps["levels"], full, words)

    def test_a_manager_that_returns_changes_nothing_and_lets_in_all(self) -> None:
        world = FakeCluster()
        world.run(15, rate=20)
        before = {
            name: (world.usable_weights(name, "ask"), dict(world.gateways[name].maps["levels"]))
            for name in world.sites
        }
        world.kill("m0")
        world.run(3, rate=20)
        self.assertEqual(
            before,
            {
                name: (world.usable_weights(name, "ask"), dict(world.gateways[name].maps["levels"]))
                for name in world.sites
            },
        )
        since = world.clock.seconds()
        world.start_manager("m0")
        world.run(5, rate=20)
        self.assertEqual({world.holder(name) for name in world.sites}, {"m0"})
        self.assertFalse(
            [
                words
                for name in world.sites
                for words in world.change_commands(name, since)
                if words[0] == "add" and words[1] == "server"
            ]
        )
        self.assertEqual(world.gateways["g0"].maps["levels"], {"ask": "1000", "pay": "1000"})

    def test_a_gateway_that_restarts_is_filled_anew(self) -> None:
        world = FakeCluster()
        world.run(8, rate=20)
        world.wires["m0", "g0"].abortConnection()
        world.down.add("g0")
        world.run(2)
        world.down.clear()
        world.start_gateway("g0", pid=2)
        world.run(8, rate=20)
        self.assertEqual(set(world.usable_weights("g0", "ask")), set(world.usable_weights("g0", "pay")))
        self.assertGreater(len(world.usable_weights("g0", "ask")), 1)


class SweepStories(unittest.TestCase):
    def test_a_server_off_the_list_is_taken_out_of_the_gateways(self) -> None:
        world = FakeCluster(cap=60)
        world.run(8, rate=20)
        ctl(world.managers["m0"], "disable server fleet/s2")
        self.assertEqual(ctl(world.managers["m0"], "del server fleet/s2"), "Server deleted.\n")
        world.gateways["g0"].backends["pay"]["s2"].in_flight = 1  # a txn in hand: the gateway refuses for now
        world.run(95, rate=20)
        self.assertNotIn("s2", world.gateways["g0"].backends["ask"])
        self.assertIn("s2", world.gateways["g0"].backends["pay"])
        world.gateways["g0"].backends["pay"]["s2"].in_flight = 0
        world.run(35, rate=20)
        self.assertNotIn("s2", world.gateways["g0"].backends["pay"])
        self.assertEqual(set(world.gateways["g0"].backends["ask"]) - {"s0", "s1", "s3"}, set())


class HoldingStories(unittest.TestCase):
    def test_each_manager_holds_the_gateways_of_its_region_and_the_other_takes_over(self) -> None:
        world = FakeCluster(managers=2)
        world.run(8, rate=20)
        self.assertEqual((world.holder("g0"), world.holder("g1")), ("m0", "m1"))
        world.kill("m1")
        world.run(10, rate=20)
        self.assertEqual((world.holder("g0"), world.holder("g1")), ("m0", "m0"))
        world.start_manager("m1")
        world.run(20, rate=20)
        self.assertEqual((world.holder("g0"), world.holder("g1")), ("m0", "m1"))
        self.assertEqual(len(world.managers["m0"].core.sessions), 1)

    def test_a_stale_managers_late_write_is_undone(self) -> None:
        world = FakeCluster(managers=2)
        world.run(8, rate=20)
        state = world.gateways["g0"]
        before = world.usable_weights("g0", "pay")
        for line in state.backends["pay"].values():  # what a manager that stood still for long might send
            line.weight = 1 if line.name == "s0" else 0
        state.variables["proc.rushladder_wrote"] = "1/m1/b/77"
        world.run(2.5, rate=20)
        self.assertEqual(set(world.usable_weights("g0", "pay")), set(before))

    def test_a_gateway_of_a_silent_link_is_left_and_its_demand_still_counts(self) -> None:
        world = FakeCluster()
        world.run(8, rate=20)
        wire = world.wires["m0", "g1"]
        assert wire.other is not None
        wire.other.muted = True  # it still hears and acts, but nothing of it is heard
        world.down.add("g1")
        world.run(4, rate=20)
        self.assertEqual([port.gateway.name for port in world.managers["m0"].core.sessions.values()], ["g0"])
        self.assertIn("no answer within", ctl(world.managers["m0"], "show errors"))


class BadPeerStories(unittest.TestCase):
    def garbage(self, text: bytes) -> FakeCluster:
        world = FakeCluster()
        world.run(6, rate=20)
        wire = world.wires["m0", "g1"]
        assert wire.other is not None

        def shape(name: str, near: FakeTransport) -> None:
            if name == "g1":
                assert near.other is not None
                near.other.write = lambda data: near.clock.callLater(0.01, near.protocol.dataReceived, text)  # type: ignore[assignment, method-assign]

        world.on_connect = shape
        wire.abortConnection()
        world.run(6, rate=20)
        world.on_connect = lambda name, near: None
        self.assertEqual([port.gateway.name for port in world.managers["m0"].core.sessions.values()], ["g0"])
        world.run(10, rate=20)
        self.assertEqual(len(world.managers["m0"].core.sessions), 2)
        return world

    def test_garbage_costs_the_connection_and_nothing_else(self) -> None:
        self.garbage(b"\x00\xff what? \n\n\n\n")

    def test_an_answer_of_megabytes_costs_the_connection_and_nothing_else(self) -> None:
        self.garbage(b"x" * 9_000_000)

    def test_a_gateway_that_refuses_is_asked_again_ever_more_slowly(self) -> None:
        world = FakeCluster(gateways=1)
        del world.gateways["g0"].backends["pay"]
        world.run(30, rate=5)
        refused = [words for _, _, words, answer in world.sent if answer.startswith("No such backend")]
        self.assertTrue(0 < len(refused) < 120)
        self.assertTrue(len(world.usable_weights("g0", "ask")) > 1)
        self.assertIn("No such backend", ctl(world.managers["m0"], "show errors"))


class ChannelStories(unittest.TestCase):
    def test_no_gateway_is_sent_more_messages_than_the_cap(self) -> None:
        world = FakeCluster(cap=8)
        world.run(4, rate=20)
        for turn in range(60):
            state = ("drain", "ready")[turn % 2]
            ctl(world.managers["m0"], f"set server fleet/s{turn % 3} state {state}")
            world.run(0.5, rate=20)
        for name in world.sites:
            wrote = [
                at
                for at, site, words, _ in world.sent
                if site == name and words[:3] == ("set", "var", "proc.rushladder_wrote")
            ]
            self.assertLessEqual(max(sum(at <= other < at + 10 for other in wrote) for at in wrote), 8)

    def test_a_slow_gateway_gets_one_message_at_a_time_and_all_that_it_missed(self) -> None:
        world = FakeCluster(cap=60)
        world.run(6, rate=20)
        for wire in world.wires.values():
            assert wire.other is not None
            wire.other.delay = 0.9
        for turn in range(10):
            ctl(
                world.managers["m0"],
                f"set server fleet/s{turn % 2} state {('drain', 'ready')[turn // 2 % 2]}",
            )
            world.run(0.5, rate=20)
            self.assertLessEqual(
                max(driver.unanswered_commands() for driver in world.managers["m0"].drivers), 70
            )
        world.run(8, rate=20)
        for name in world.sites:
            usable = world.usable_weights(name, "pay")
            self.assertEqual({"s0", "s1"} & set(usable), set(), usable)


class GuardStories(unittest.TestCase):
    def world(self) -> FakeCluster:
        world = FakeCluster(gateways=10, servers=8, cap=60)
        world.run(14, rate=20)
        return world

    def carried(self, world: FakeCluster, server: str) -> list[float]:
        """The server's part of each gateway's pool of `pay`."""
        pools = [world.usable_weights(name, "pay") for name in world.sites]
        return [pool.get(server, 0) / sum(pool.values()) for pool in pools]

    def test_a_table_that_points_everything_at_one_collector_is_refused_with_its_reason(self) -> None:
        world = self.world()
        manager, before = world.managers["m0"], [world.usable_weights(name, "pay") for name in world.sites]
        self.assertEqual(ctl(manager, "prepare table"), "New version created: 1\n")
        for k in range(1, 8):
            ctl(manager, f"add table @1 pay/s{k} 0%")
        answer = ctl(manager, "commit table @1 only s0")
        self.assertTrue(answer.startswith("refused: Refused: "), answer)
        self.assertIn("would be accepted", answer)
        world.run(3, rate=20)
        self.assertEqual(before, [world.usable_weights(name, "pay") for name in world.sites])
        self.assertIn("operator:", ctl(manager, "show table refused"))

    def test_a_listed_size_that_would_draw_everything_is_refused_and_a_sound_one_is_not(self) -> None:
        manager = self.world().managers["m0"]
        self.assertIn("takes-over", ctl(manager, "set server fleet/s0 weight 1000"))
        self.assertEqual(manager.roster["s0"].size, 1.0)
        self.assertEqual(ctl(manager, "set server fleet/s0 weight 1.5"), "")

    def test_a_good_change_goes_out_in_waves_and_stands_and_can_be_rolled_back(self) -> None:
        world = self.world()
        manager = world.managers["m0"]
        self.assertEqual(ctl(manager, "set weight pay/s0 50%"), "Version 1 goes out in waves.\n")
        self.assertIn("still on its way", ctl(manager, "set weight pay/s2 50%"))
        before = self.carried(world, "s0")
        world.run(2.5, rate=20)
        changed = [a < 0.8 * b for a, b in zip(self.carried(world, "s0"), before, strict=True) if b]
        self.assertEqual(sum(changed), 1)
        world.run(60, rate=20)
        self.assertIn("stage=done", ctl(manager, "show wave"))
        after = self.carried(world, "s0")
        self.assertTrue(all(a < 0.8 * b for a, b in zip(after, before, strict=True) if b))
        self.assertIn("1 0", ctl(manager, "show table history"))
        self.assertEqual(
            ctl(manager, "show table diff 0 1"), "# pxname svname before after\npay s0 100% 50%\n"
        )
        ctl(manager, "rollback to 0")
        world.run(60, rate=20)
        self.assertTrue(all(abs(a - b) < 0.1 for a, b in zip(self.carried(world, "s0"), before, strict=True)))

    def test_a_change_that_shifts_txns_to_a_slow_collector_is_taken_back_from_its_first_wave(self) -> None:
        world = self.world()
        manager = world.managers["m0"]
        world.service_time["s2"] = 1.4  # nobody has seen it yet: hardly a txn goes there
        self.assertEqual(ctl(manager, "set weight ask/s2 400%"), "Version 1 goes out in waves.\n")
        world.run(30, rate=20)
        self.assertIn("stage=undone", ctl(manager, "show wave"))
        self.assertIn("taken_back", ctl(manager, "show table history"))
        reached = {
            name
            for at, name, words, _ in world.sent
            if words[:3] == ("set", "server", "ask/s2") and words[3] == "weight" and int(words[4]) > 230
        }
        self.assertLessEqual(len(reached), 4)

    def test_a_wave_whose_manager_is_lost_is_undone_by_its_successor(self) -> None:
        world = FakeCluster(gateways=6, servers=8, cap=60, managers=2)
        world.run(10, rate=20)
        before = self.carried(world, "s0")
        ctl(world.managers["m0"], "set weight pay/s0 30%")
        world.run(2.5, rate=20)
        self.assertTrue(any(a < 0.6 * b for a, b in zip(self.carried(world, "s0"), before, strict=True)))
        world.kill("m0")
        world.run(12, rate=20)
        self.assertEqual({world.holder(name) for name in world.sites}, {"m1"})
        self.assertTrue(all(a >= 0.6 * b for a, b in zip(self.carried(world, "s0"), before, strict=True)))

    def test_a_drain_never_waits_for_a_wave_nor_for_the_guard(self) -> None:
        world = self.world()
        manager = world.managers["m0"]
        ctl(manager, "set weight pay/s0 50%")
        ctl(manager, "set server fleet/s2 state drain")
        world.run(2.2, rate=20)
        self.assertFalse(any("s2" in world.usable_weights(name, "pay") for name in world.sites))

    def test_the_modules_own_bad_order_is_a_fault_and_the_last_good_table_stays(self) -> None:
        world = self.world()
        manager, before = world.managers["m0"], world.usable_weights("g0", "pay")
        number, table_ = next((n, t) for n, t in manager.core._tables.items() if t.sessions)
        manager.core.set_weight(number, next(iter(table_.lines)), float("inf"))
        manager.handle_events()
        world.run(1.5, rate=20)
        self.assertIn("own order for table", ctl(manager, "show errors"))
        self.assertEqual(set(world.usable_weights("g0", "pay")), set(before))

    def test_bad_words_are_refused_by_name(self) -> None:
        manager = self.world().managers["m0"]
        for text, reason in (
            ("set weight pay/none 50%", "unknown"),
            ("set weight none/s0 50%", "unknown"),
            ("set weight pay 50%", "Require"),
            ("set weight pay/s0 -5%", "out of range"),
            ("set weight pay/s0 nan%", "out of range"),
            ("add table @9 pay/s0 50%", "Unknown version"),
            ("rollback to 7", "unknown"),
            ("rollback to x", "Require"),
            ("show table diff 0 9", "No such version"),
            ("commit table @3", "Unknown version"),
        ):
            self.assertIn(reason, ctl(manager, text), text)


class ApiStories(unittest.TestCase):
    def test_the_api_shows_what_stands(self) -> None:
        world = FakeCluster()
        world.run(8, rate=20)
        manager = world.managers["m0"]
        facts = parse_fields(ctl(manager, "show info"))
        self.assertEqual(
            (facts["GatewaysHeld"], facts["Servers"], facts["CommandsUnanswered"]), ("2", "4", "0")
        )
        rows = {(row["pxname"], row["svname"]): row for row in parse_table(ctl(manager, "show stat"))}
        self.assertEqual(rows["fleet", "s0"]["status"], "UP")
        self.assertAlmostEqual(float(rows["pay", "BACKEND"]["req_rate"]), 40, delta=8)
        self.assertEqual(len(parse_table(ctl(manager, "show servers state"), None)), 4)
        self.assertIn("g0/ask 1000", ctl(manager, "show map levels"))
        self.assertIn("g1: region=b stand=holding", ctl(manager, "show sess"))
        self.assertEqual(ctl(manager, "show backend").split()[2:], ["fleet", "ask", "pay"])

    def test_bad_changes_are_refused_with_a_reason(self) -> None:
        manager = FakeCluster().managers["m0"]
        for text, reason in (
            ("set server fleet/none state drain", "No such server"),
            ("set server x/s0 state drain", "No such backend"),
            ("set server s0 state drain", "Require"),
            ("set server fleet/s0 state up", "expects"),
            ("set server fleet/s0 weight nan", "out of range"),
            ("set server fleet/s0 weight -1", "out of range"),
            ("add server fleet/z 1.2.3:4 region a", "no address"),
            ("add server fleet/z 127.0.0.1:9 region q", "region"),
            ("add server fleet/z 127.0.0.1:9", "usage"),
            ("del server fleet/s0", "maintenance"),
            ("set server fleet/s0", "missing"),
            ("show table g9", "No such gateway"),
        ):
            self.assertIn(reason, ctl(manager, text), text)
        self.assertEqual(manager.roster.version, 4)

    def test_the_list_survives_a_restart_and_half_of_it_is_not_believed(self) -> None:
        world = FakeCluster()
        manager = world.managers["m0"]
        ctl(manager, "set server fleet/s1 state maint")
        ctl(manager, "set server fleet/s2 weight 2.5")
        text = manager.roster.dump(int(world.clock.seconds() * 10_000))
        world.kill("m0")
        back = world.start_manager("m0", restored=text)
        self.assertEqual(
            (back.restored, back.roster["s1"].availability.name, back.roster["s2"].size), (True, "GONE", 2.5)
        )
        for cut in (10, len(text) // 2, len(text) - 3):
            world.kill("m0")
            back = world.start_manager("m0", restored=text[:cut])
            self.assertEqual((back.restored, len(back.roster.listed)), (False, 4))


if __name__ == "__main__":
    unittest.main()
