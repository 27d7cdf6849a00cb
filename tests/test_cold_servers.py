"""Tests of what cold servers get: never more than they can take, whatever the manager knows (rule 4)."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from rushladder.interface import Availability, LevelUnit, Worker
from rushladder.records import Server
from tests.fake_fleet import Fleet
from tests.fake_host import ASK, PAY, SECOND

CAPACITY = 40.0  # txns a second of a warm server
GUARANTEE = Fleet({"a": 1}, {}).manager_args["guarantee"]


class ColdFleet(Fleet):
    """A fleet whose reports follow from the tables, and that notes how full its cold servers are."""

    def __init__(self, *arguments: object, **keywords: object) -> None:
        self.started_at, self.fullest = dict[Worker, int](), dict[Worker, float]()
        super().__init__(*arguments, **keywords)  # type: ignore[arg-type]

    def tries_at(self, server: Server) -> int:
        return round(min(CAPACITY, self.rates_at_servers()[server]))

    def crash(self, servers: Sequence[Server], seconds: int) -> None:
        """The servers die, and are listed again, cold, after so many seconds: one each second."""
        self.list_servers(servers, state=Availability.GONE)
        self.run(seconds)
        for server in servers:
            self.started_at[server] = self.clock
            self.list_servers([server], started_at=self.clock)
            self.run_watched(1)

    def run_watched(self, seconds: int) -> None:
        """Runs, and notes the greatest part of its present capacity that each cold server gets."""
        for _ in range(seconds):
            self.run(1)
            for server, rate in self.rates_at_servers().items():
                age = (self.clock - self.started_at.get(server, 0)) / GUARANTEE.cold_time
                ramp = min(1.0, GUARANTEE.cold_from + (1 - GUARANTEE.cold_from) * age)
                if ramp < 1:
                    full = rate / (ramp * CAPACITY * self.sizes[server])
                    self.fullest[server] = max(self.fullest.get(server, 0.0), full)


class ColdServerTests(unittest.TestCase):
    def assert_kept(self, fleet: ColdFleet) -> None:
        """No cold server gets what makes it fail."""
        self.assertTrue(fleet.fullest)
        self.assertLess(max(fleet.fullest.values()), GUARANTEE.overload_factor, fleet.fullest)
        self.assertEqual(fleet.without_a_line(), [])

    def test_zone_known_alone_does_not_move_to_its_first_cold_server(self) -> None:
        # Guards against: a manager that knows its own zone's demand alone divided it by what that zone has:
        # its first cold server got all requests of the zone, and warm ones elsewhere none.
        for servers, stay in ((2, 0), (5, 0), (12, 0), (12, 1)):
            with self.subTest(servers=servers, stay=stay):
                fleet = ColdFleet({"a": servers + 1, "b": servers + 1, "c": servers}, {"c": servers})
                fleet.join()
                fleet.run(15)
                fleet.crash([server for server in fleet.servers if server.zone == "c"][stay:], 7)
                fleet.run_watched(GUARANTEE.cold_time // SECOND + 5)
                self.assert_kept(fleet)
                fleet.run(20)
                # Once they are warm, the zone's own servers have it all again, but for lines elsewhere of
                # less than a tenth of an even one, which the plan's hysteresis leaves as they are.
                even = sum(fleet.rates_at_servers().values()) / servers
                elsewhere = [r for s, r in fleet.rates_at_servers().items() if s.zone != "c"]
                self.assertLess(max(elsewhere), 0.1 * even)

    def test_class_that_keeps_to_a_zone_of_cold_servers_is_admitted_in_part(self) -> None:
        # Guards against: a class whose servers are all cold was sent whole to the first one that was listed.
        tied = replace(PAY, name="tied", home_only=True)
        for unit in (LevelUnit.RATIO, LevelUnit.RATE):
            with self.subTest(unit=unit):
                fleet = ColdFleet(
                    {"a": 5, "b": 4, "c": 3}, dict.fromkeys("abc", 2), products=(ASK, tied), level_unit=unit
                )
                fleet.rate = 22  # 0.55 of what the servers can do
                fleet.join()
                fleet.run(15)
                fleet.crash([server for server in fleet.servers if server.zone == "c"], 7)
                fleet.run_watched(GUARANTEE.cold_time // SECOND + 5)
                self.assert_kept(fleet)
                fleet.run(5)
                self.assertAlmostEqual(sum(fleet.rates_at_servers().values()), 6 * 2 * 22)  # all is admitted

    def test_fleet_that_starts_cold_together_admits_what_it_can_take(self) -> None:
        # Guards against: where no server is warm, even use was the demand over what the cold ones can do.
        fleet = ColdFleet({"a": 4, "b": 4}, {"a": 4, "b": 4})
        fleet.rate = 18  # 0.9 of what the servers can do
        fleet.join()
        fleet.run(15)
        fleet.list_servers(fleet.servers, state=Availability.GONE)
        fleet.run(7)
        fleet.started_at = dict.fromkeys(fleet.servers, fleet.clock)
        fleet.list_servers(fleet.servers, started_at=fleet.clock)
        fleet.run_watched(GUARANTEE.cold_time // SECOND + 5)
        self.assert_kept(fleet)
        self.assertAlmostEqual(sum(fleet.rates_at_servers().values()), 8 * 2 * 18)


if __name__ == "__main__":
    unittest.main()
