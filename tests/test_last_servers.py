"""Tests of the last servers of a class: they stay in service, or return to it, however they fare (rule 1)."""

import unittest
from dataclasses import replace

from rushladder.interface import Availability, Product
from rushladder.records import Server
from tests.fake_fleet import Fleet
from tests.fake_host import ASK, PAY

HOME_ONLY = replace(PAY, name="home", home_only=True)
ONE_MODEL = replace(PAY, name="model", models=frozenset({"rare"}))


class LastServerTests(unittest.TestCase):
    """One of two servers of a class is excluded as failing; then the other one leaves."""

    def fleet_with_excluded(self, product: Product, hangs: bool) -> tuple[Fleet, Server, Server]:
        fleet = Fleet({"a": 3, "b": 3, "c": 2}, dict.fromkeys("abc", 2), products=(ASK, product))
        failing, other = fleet.servers[-2:]
        failing.model = other.model = "rare"
        fleet.join()
        fleet.run(6)
        if hangs:
            fleet.hung.add(failing)
        else:
            fleet.void_rate[failing] = 0.6
        while failing not in fleet.withdrawn:
            fleet.run(1)
        return fleet, failing, other

    def test_excluded_server_returns_when_the_other_one_of_its_class_leaves(self) -> None:
        # Guards against: that a server is the last one of its class was looked at only as it was excluded; it
        # stayed out for up to 30 s when the others left.
        for product in (HOME_ONLY, ONE_MODEL):
            for state in (Availability.GONE, Availability.DRAINING):
                for hangs in (False, True):
                    with self.subTest(product=product.name, state=state, hangs=hangs):
                        fleet, _, other = self.fleet_with_excluded(product, hangs)
                        fleet.list_servers([other], state=state)
                        fleet.run(2)
                        self.assertEqual(fleet.without_a_line(), [])

    def test_server_that_returns_as_the_last_one_does_not_wait_for_as_much_room_as_others(self) -> None:
        # Guards against: a server was taken back, but proxies without another one were told so only when the
        # channel had room for changes that can wait.
        fleet, failing, other = self.fleet_with_excluded(HOME_ONLY, hangs=False)
        fleet.answers_marks = False  # what is sent from now on waits in the channel
        outbox = fleet.manager._outbox
        outbox.lines.add(fleet.gateways, 50)
        outbox._soft_limit = outbox.lines.pending / 0.7
        fleet.list_servers([other], state=Availability.GONE)
        fleet.run(2)
        self.assertNotIn(failing, fleet.withdrawn)
        self.assertEqual(fleet.without_a_line(), [])


if __name__ == "__main__":
    unittest.main()
