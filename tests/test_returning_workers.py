"""Tests of workers that leave and come back under their ids: no proxy may go on shutting them out."""

import unittest

from tests.fake_platform import FakePlatform

WAIT = 9  # s after the return: the time that a proxy may be without a worker, and a control period


class ReturningWorkerTests(unittest.TestCase):
    def test_worker_that_was_gone_at_a_restart_is_undropped_when_it_returns(self) -> None:
        """Guards against workers that stay shut out for good: the restarted manager has never withdrawn them,
        and took a worker that it sees later for one that no proxy can have withdrawn."""
        for home_only in (False, True):
            with self.subTest(home_only=home_only):
                lost = ["a0", "a1", "a2"]
                platform = FakePlatform(home_only=home_only)
                platform.announce(lost, "gone")
                platform.run(3)
                self.assertTrue(all(proxy.withdrawn for proxy in platform.proxies if proxy.zone == "a"))
                platform.restart_manager(0)
                platform.run(20)
                platform.announce(lost, "ready")
                platform.run(WAIT)
                self.assertEqual(platform.shut_out(), [])
                for proxy in platform.proxies:
                    self.assertTrue(proxy.usable_workers() >= set(lost) or proxy.zone != "a")
