"""Tests of the planned tables: which servers a table names, and how much of the demand each of them gets."""

import struct
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from rushladder.interface import (
    Availability,
    Channel,
    ListKind,
    PeerMessage,
    TableCoverage,
)
from rushladder.records import FIRST_SPLIT_TEAM
from tests.fake_fleet import Fleet
from tests.fake_host import ASK, PAY, SECOND, FakeHost

# A server may get a tenth more than its even part as a margin of the plan and a quarter more where tables are
# kept short; moves under a tenth are left out.
MOST_OF_EVEN = 1.1 * 1.25 * 1.1
MOST_SHARED_LINES = 36  # three teams' servers, for a table whose zone has none
TEAM_LINES = 12


class ZonesWithoutServers(unittest.TestCase):
    """Proxies of a zone that has no servers, or too few, use those of other zones, however many these are."""

    def assert_served(self, fleet: Fleet, most: float = MOST_OF_EVEN) -> None:
        self.assertEqual(fleet.without_a_line(), [])
        self.assertEqual(fleet.empty_bindings, [])
        self.assertLessEqual(max(fleet.parts_of_even().values()), most)

    def review_fleet(self) -> Fleet:
        fleet = Fleet({"a": 44, "b": 78, "c": 78}, {"a": 12, "b": 24, "c": 24})
        fleet.join()
        fleet.run(12)
        return fleet

    def test_zone_that_loses_all_servers_among_two_hundred(self) -> None:
        # Guards against: a line under a hundredth was left out of a plan, and with more than a hundred
        # servers of like room in the other zones every line was: no proxy of the zone had a server.
        fleet = self.review_fleet()
        fleet.lose("a")
        fleet.run(4)
        self.assert_served(fleet)
        self.assertEqual(fleet.manager.table_coverage().unserved, 0)

    def test_zone_that_keeps_few_servers_does_not_overload_them(self) -> None:
        # Guards against: of a plan with a few larger lines only these stayed, and got all of the demand.
        for stay in (1, 2, 5, 10, 20, 43):
            with self.subTest(stay=stay):
                fleet = self.review_fleet()
                fleet.lose("a", stay)
                fleet.run(8)
                self.assert_served(fleet)

    def test_zone_that_never_had_a_server(self) -> None:
        # Guards against: the first order to its proxies replaced their standing table by one without rows.
        fleet = Fleet({"b": 78, "c": 78}, {"a": 12, "b": 24, "c": 24})
        fleet.join()
        fleet.run(8)
        self.assert_served(fleet)

    def test_zone_without_servers_whose_proxies_join_before_all_others(self) -> None:
        fleet = Fleet({"b": 78, "c": 78}, {"a": 12, "b": 24, "c": 24})
        fleet.join(*[gateway for gateway in fleet.gateways if gateway.zone == "a"])
        fleet.run(3)
        self.assertEqual(fleet.without_a_line(), [])
        self.assertEqual(fleet.empty_bindings, [])
        fleet.join(*[gateway for gateway in fleet.gateways if gateway.zone != "a"])
        fleet.run(30)
        self.assert_served(fleet)

    def test_zone_that_loses_its_servers_step_by_step_while_proxies_join_again(self) -> None:
        # Guards against: a zone of few servers has few teams, and kept that number without any: all proxies
        # that joined then got one table, whose three dozen lines carried the whole zone.
        fleet = self.review_fleet()
        for stay in (20, 5, 0):
            fleet.lose("a", stay)
            fleet.run(2)
        of_zone = [gateway for gateway in fleet.gateways if gateway.zone == "a"]
        for gateway in of_zone:
            fleet.leave(gateway)
        fleet.join(*of_zone)
        fleet.run(8)
        self.assert_served(fleet)

    def test_number_of_servers_elsewhere(self) -> None:
        for elsewhere in (99, 100, 101, 200, 400):
            with self.subTest(elsewhere=elsewhere):
                fleet = Fleet({"a": 30, "b": elsewhere}, {"a": 9, "b": 60})
                fleet.join()
                fleet.run(8)
                fleet.lose("a")
                fleet.run(8)
                self.assert_served(fleet)

    def test_servers_of_different_size(self) -> None:
        fleet = Fleet(
            {"a": 44, "b": 78, "c": 78},
            {"a": 12, "b": 24, "c": 24},
            size=lambda index: 0.5 if index % 5 else 4.0,
        )
        fleet.join()
        fleet.run(12)
        fleet.lose("a")
        fleet.run(8)
        self.assert_served(fleet)

    def test_servers_that_are_all_cold(self) -> None:
        fleet = Fleet({"a": 44, "b": 78, "c": 78}, {"a": 12, "b": 24, "c": 24})
        fleet.list_servers([s for s in fleet.servers if s.zone != "a"], started_at=fleet.clock)
        fleet.list_servers([s for s in fleet.servers if s.zone == "a"], state=Availability.GONE)
        fleet.join()
        fleet.run(4)
        self.assertEqual(fleet.without_a_line(), [])
        self.assertEqual(fleet.empty_bindings, [])

    def test_class_of_some_servers_only(self) -> None:
        chosen = frozenset({"b"})
        tied = replace(PAY, name="tied", zones=chosen)
        fleet = Fleet({"a": 44, "b": 120, "c": 36}, {"a": 12, "b": 24, "c": 12}, products=(ASK, tied))
        fleet.join()
        fleet.run(8)
        fleet.lose("a")
        fleet.run(8)
        self.assertEqual(fleet.without_a_line(), [])
        self.assertEqual(fleet.empty_bindings, [])

    def test_zone_that_comes_back_is_used_again(self) -> None:
        fleet = self.review_fleet()
        before = {proxy: dict(tables) for proxy, tables in fleet.bound.items()}
        fleet.lose("a")
        fleet.run(5)
        fleet.list_servers([s for s in fleet.servers if s.zone == "a"], started_at=fleet.clock)
        fleet.run(60)
        self.assert_served(fleet)
        self.assertEqual(fleet.bound, before)
        self.assertTrue(all(server.zone == "a" for server in fleet.usable(0)))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        servers=st.tuples(*[st.integers(0, 130)] * 3).filter(any),
        gateways=st.tuples(*[st.integers(0, 20)] * 3).filter(any),
        lost=st.sampled_from("abc"),
        stay=st.integers(0, 4),
    )
    def test_no_proxy_is_left_without_a_line(
        self, servers: tuple[int, ...], gateways: tuple[int, ...], lost: str, stay: int
    ) -> None:
        zones = "abc"
        fleet = Fleet(dict(zip(zones, servers, strict=True)), dict(zip(zones, gateways, strict=True)))
        fleet.join()
        fleet.run(5)
        self.assertEqual(fleet.without_a_line(), [])
        self.assertEqual(fleet.empty_bindings, [])
        fleet.lose(lost, stay)
        if not any(server.is_listed for server in fleet.servers):
            return
        fleet.run(8)
        self.assertEqual(fleet.without_a_line(), [])


class BindingsWithLines(unittest.TestCase):
    """A binding takes away the table that the proxy has, so it comes with lines where there is a server."""

    def test_joiners_that_are_bound_ahead_of_withdrawals(self) -> None:
        # Guards against: withdrawals that press bind the joiners of a storm first, and so before the plan of
        # that period: their split teams' tables had no line yet.
        fleet = Fleet(
            {"a": 44, "b": 78, "c": 78},
            {"a": 120, "b": 40, "c": 40},
            channel=Channel(1000.0, 6000.0, 3.0, 12, 10 * SECOND, 2000, 5000),
        )
        fleet.lose("a")
        fleet.join()
        self.assertTrue(any(gateway.team >= FIRST_SPLIT_TEAM for gateway in fleet.gateways), "none is split")
        fleet.run(1)
        self.assertEqual(len(fleet.bound), 200)
        self.assertEqual(fleet.empty_bindings, [])
        self.assertEqual(fleet.without_a_line(), [])
        fleet.run(11)
        self.assertEqual(fleet.without_a_line(), [])
        # Most of the demand has no server in its zone, and tables of split teams are shorter.
        self.assertLessEqual(max(fleet.parts_of_even().values()), 2.0)

    def test_joiners_that_are_bound_while_the_channel_is_full(self) -> None:
        # Guards against: lines of a table that nobody holds cost nothing, but waited for room in the channel,
        # while the joiners who press were bound to that table beyond it.
        fleet = Fleet({"a": 24}, {"a": 120}, channel=Channel(1500.0, 2000.0, 3.0, 0, 10 * SECOND, 2000, 5000))
        fleet.answers_marks = False
        fleet.join(*fleet.gateways[:100])
        fleet.run(2)
        fleet.join(*fleet.gateways[100:])
        self.assertTrue(any(gateway.team >= FIRST_SPLIT_TEAM for gateway in fleet.gateways), "none is split")
        fleet.run(6)
        self.assertGreater(len(fleet.bound), 100)
        self.assertEqual(fleet.empty_bindings, [])


class DemandOfPeers(unittest.TestCase):
    """What peers tell of a zone's demand is shared out among the zone's teams."""

    def test_peer_demand_is_planned_once_when_a_zone_has_fewer_teams(self) -> None:
        # Guards against: a zone that lost servers was counted as fewer teams, and each of the former ones was
        # planned with the part of one of the few: the demand of the peers' proxies counted up to five times.
        products, peer_rate = (ASK, PAY), 200.0
        host = FakeHost(
            zones=("a", "b"),
            server_zones="a" * 60 + "b" * 60,
            gateway_zones="a" * 10 + "b" * 10,
            cap=12,
            pending=6000.0,
            managers=2,
            may_send_to_peers=True,
        )
        host.join()
        host.run(8)  # until reports tell of the own demand
        for stay in (60, 30, 10, 0):
            with self.subTest(stay=stay):
                gone = [server for server in host.servers if server.zone == "a"][stay:]
                host.send_listing(ListKind.CHANGES, *gone, state=Availability.GONE)
                for _ in range(4):
                    host.run(1)
                    host.deliver(PeerMessage(1, struct.pack("<6f", 0.0, 0.0, *[peer_rate] * 4)))
                own = sum(host.rate for gateway in host.gateways if gateway.zone == "a" for _ in products)
                tables = host.manager._tables._teams.all_tables()
                planned = sum(
                    table.demand for table in tables if table.zone == "a" and table.team < FIRST_SPLIT_TEAM
                )
                self.assertAlmostEqual(planned, own + peer_rate * len(products), delta=1.0)


class CostOfTables(unittest.TestCase):
    """Each line of a table costs the channel a line for each of its proxies."""

    def test_tables_of_a_lost_zone_share_out_the_servers_elsewhere(self) -> None:
        fleet = Fleet({"a": 100, "b": 100}, {"a": 100, "b": 100})
        fleet.join()
        fleet.run(12)
        rows = fleet.rows
        fleet.lose("a")
        fleet.run(4)
        # As many lines as their own servers had, and those of the lost ones that are taken out.
        self.assertLessEqual(fleet.rows - rows, 100 * 2 * (TEAM_LINES + 1))
        self.assertEqual(fleet.without_a_line(), [])

    def test_table_that_is_alone_with_its_surplus_stays_short(self) -> None:
        fleet = Fleet({"a": 12, "b": 94, "c": 94}, {"a": 4, "b": 28, "c": 28})
        fleet.join()
        fleet.run(12)
        fleet.lose("a")
        fleet.run(8)
        self.assertLessEqual(fleet.most_lines(), MOST_SHARED_LINES)

    def test_steady_demand_changes_no_line(self) -> None:
        for servers in ({"a": 44, "b": 78, "c": 78}, {"a": 0, "b": 78, "c": 78}, {"a": 50, "b": 990}):
            with self.subTest(servers=servers):
                fleet = Fleet(servers, {"a": 6, "b": 60, "c": 12} if "c" in servers else {"a": 6, "b": 60})
                fleet.join()
                fleet.run(20)
                rows = fleet.rows
                fleet.run(20)
                self.assertEqual(fleet.rows, rows)


class CoverageOfTables(unittest.TestCase):
    """The figures that tell an operator whether proxies are left without a server, and why."""

    def test_tables_whose_servers_all_left_count_until_the_next_plan(self) -> None:
        host = FakeHost(cap=12)
        host.join()
        host.run(3)
        self.assertEqual(host.manager.table_coverage(), TableCoverage(used=2, unserved=0, unplanned=0))
        gone = [server for server in host.servers if server.zone == "a"]
        host.send_listing(ListKind.CHANGES, *gone, state=Availability.GONE)
        self.assertEqual(host.manager.table_coverage(), TableCoverage(used=2, unserved=1, unplanned=1))
        host.run(3)
        self.assertEqual(host.manager.table_coverage(), TableCoverage(used=2, unserved=0, unplanned=0))

    def test_tables_without_an_eligible_server_do_not_count(self) -> None:
        host = FakeHost(cap=12)
        host.join()
        host.run(3)
        host.send_listing(ListKind.CHANGES, *host.servers, state=Availability.GONE)
        self.assertEqual(host.manager.table_coverage(), TableCoverage(used=2, unserved=0, unplanned=0))


if __name__ == "__main__":
    unittest.main()
