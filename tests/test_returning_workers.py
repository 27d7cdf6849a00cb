"""Tests of workers that leave and come back under their ids: no proxy may go on shutting them out."""

import unittest
from collections.abc import Callable, Collection, Mapping

from rushladder.brain import FORGET_AFTER
from tests.fake_host import SECOND
from tests.fake_platform import FakePlatform, PlainProxy

WAIT = 9  # s after the return: the time that a proxy may be without a worker, and a control period
HOUR = 3600
FORGOTTEN = FORGET_AFTER // SECOND + 5  # s after which a manager has forgotten a worker that left
LOST = {"a zone": ("a0", "a1", "a2"), "a worker": ("b1",)}


def fail_and_go(platform: FakePlatform, names: Collection[str]) -> None:
    """The workers fail first, so that the manager withdraws them itself."""
    platform.failing.update(names)
    platform.run(6)
    platform.announce(names, "gone")


def drain_and_go(platform: FakePlatform, names: Collection[str]) -> None:
    platform.announce(names, "draining")
    platform.run(3)
    platform.announce(names, "gone")


def restart_proxies(platform: FakePlatform) -> None:
    for proxy in platform.proxies:
        platform.leave(proxy)
        proxy.restart()
    platform.rejoin()


def open_second_streams(platform: FakePlatform) -> None:
    """Each proxy opens a new stream before the end of its old one is seen."""
    for proxy in platform.proxies:
        assert proxy.manager is not None
        platform.join(proxy, proxy.manager)


def move_and_return(platform: FakePlatform) -> None:
    platform.rejoin(1)
    platform.run(13)
    platform.rejoin(0)


def restart_and_move(platform: FakePlatform) -> None:
    platform.restart_manager(0)
    platform.run(12)
    platform.rejoin(1)


def move_and_return_to_a_new_process(platform: FakePlatform) -> None:
    platform.rejoin(1)
    platform.restart_manager(0)
    platform.run(12)
    platform.rejoin(0)


LEAVING: Mapping[str, Callable[[FakePlatform, Collection[str]], None]] = {
    "gone": lambda platform, names: platform.announce(names, "gone"),
    "draining": lambda platform, names: platform.announce(names, "draining"),
    "draining, then gone": drain_and_go,
    "missing from a whole list": lambda platform, names: platform.announce_without(names),
    "failing, then gone": fail_and_go,
}
CHANGES: Mapping[str, Callable[[FakePlatform], None]] = {
    "none": lambda platform: None,
    "streams break": lambda platform: platform.rejoin(),
    "streams break for two seconds": lambda platform: platform.rejoin(away=2),
    "second streams": open_second_streams,
    "proxies restart": restart_proxies,
    "proxies move": lambda platform: platform.rejoin(1),
    "proxies move and return": move_and_return,
    "manager restarts": lambda platform: platform.restart_manager(0),
    "manager restarts, proxies move": restart_and_move,
    "proxies move and return to a new process": move_and_return_to_a_new_process,
}


class ReturningWorkerTests(unittest.TestCase):
    def come_back(self, platform: FakePlatform, names: Collection[str]) -> None:
        platform.failing.difference_update(names)
        platform.announce(names, "ready")

    def assert_used(self, platform: FakePlatform, names: Collection[str]) -> None:
        """No ready worker is shut out, and those that returned are used in their zone."""
        self.assertEqual(platform.shut_out(), [])
        for proxy in platform.proxies:
            at_home = {name for name in names if name[0] == proxy.zone}
            self.assertGreaterEqual(proxy.usable_workers(), at_home, f"proxy {proxy.number}")

    def test_worker_that_was_gone_at_a_restart_is_undropped_when_it_returns(self) -> None:
        """Guards against workers that stay shut out for good: the restarted manager has never withdrawn them,
        and took a worker that it sees later for one that no proxy can have withdrawn."""
        for home_only in (False, True):
            with self.subTest(home_only=home_only):
                lost = LOST["a zone"]
                platform = FakePlatform(home_only=home_only)
                platform.announce(lost, "gone")
                platform.run(3)
                self.assertTrue(all(proxy.withdrawn for proxy in platform.proxies if proxy.zone == "a"))
                platform.restart_manager(0)
                platform.run(20)
                self.come_back(platform, lost)
                platform.run(WAIT)
                self.assert_used(platform, lost)

    def test_worker_that_was_forgotten_is_undropped_when_it_returns(self) -> None:
        """Guards against workers that stay shut out for good after more than a minute away: the manager had
        forgotten them with their withdrawal, which the proxies keep."""
        for kind, lost in LOST.items():
            with self.subTest(kind):
                platform = FakePlatform()
                platform.announce(lost, "gone")
                platform.run(FORGOTTEN)
                self.come_back(platform, lost)
                platform.run(WAIT)
                self.assert_used(platform, lost)

    def test_returning_worker_is_used_whatever_changes_while_it_is_away(self) -> None:
        """Guards against the same in every way of leaving, for seconds and for over a minute, whatever
        happens to the proxies' streams and managers meanwhile."""
        for leaving, leave in LEAVING.items():
            for change_name, change in CHANGES.items():
                for away in (2, FORGOTTEN):
                    with self.subTest(leaving=leaving, change=change_name, away=away):
                        lost = LOST["a zone" if leaving == "gone" else "a worker"]
                        platform = FakePlatform()
                        leave(platform, lost)
                        platform.run(2)
                        change(platform)
                        platform.run(away - 2)
                        self.come_back(platform, lost)
                        platform.run(WAIT)
                        self.assert_used(platform, lost)

    def test_returning_worker_is_used_whatever_changes_just_after_its_return(self) -> None:
        for change_name, change in CHANGES.items():
            for delay in (0, 1):
                with self.subTest(change=change_name, delay=delay):
                    platform = FakePlatform(message_cap=0)
                    platform.announce(LOST["a worker"], "gone")
                    platform.run(FORGOTTEN)
                    self.come_back(platform, LOST["a worker"])
                    platform.run(delay)
                    change(platform)
                    platform.run(WAIT)
                    self.assert_used(platform, LOST["a worker"])

    def test_returning_worker_is_used_after_an_hour(self) -> None:
        for change_name in ("none", "manager restarts"):
            with self.subTest(change=change_name):
                platform = FakePlatform()
                platform.announce(LOST["a worker"], "gone")
                platform.run(HOUR // 2)
                CHANGES[change_name](platform)
                platform.run(HOUR // 2)
                self.come_back(platform, LOST["a worker"])
                platform.run(WAIT)
                self.assert_used(platform, LOST["a worker"])

    def test_forgotten_withdrawals_cost_lines_only_of_servers_listed_later(self) -> None:
        """A proxy that joined without withdrawals gets no undrop of servers that never left."""
        platform = FakePlatform()
        messages = list[str]()
        record_messages(platform.proxies[1], messages)
        platform.announce(("b1",), "gone")
        platform.run(FORGOTTEN)
        platform.announce(("b1", "b9"), "ready")
        platform.run(3 * WAIT)
        undropped = [line.partition("undrop=")[2].split(" ")[0] for line in messages if "undrop=" in line]
        self.assertEqual(sorted(",".join(undropped).split(",")), ["b1", "b9"])


def record_messages(proxy: PlainProxy, messages: list[str]) -> None:
    """Adds the lines of each message to the proxy to `messages`."""
    receive = proxy.receive

    def record(stream: object, data: bytes) -> None:
        messages.extend(data.decode().splitlines())
        receive(stream, data)  # type: ignore[arg-type]

    proxy.receive = record  # type: ignore[method-assign]


if __name__ == "__main__":
    unittest.main()
