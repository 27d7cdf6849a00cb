"""Tests that the soak's judge detects each kind of violation, and a short soak of a real manager process."""

import subprocess
import sys
import unittest
from pathlib import Path

from rushladder.standins.platform import parse_config_message
from rushladder.trials.soak_judge import SoakJudge

ROOT = Path(__file__).parent.parent
SEEDS, SECONDS = 4, 8  # about fifteen seconds per seed: the run, the drains' grace, and the end


class JudgeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.judge = SoakJudge(grace=4.0, bare=8.0, cap=3, span=10.0)
        self.judge.process_ready(0.0, 0.5)
        for name in ("w0", "w1"):
            self.judge.entry_sent(0.0, name, "ready")
        self.judge.stream_joined(1.0, 7)

    def assert_violation(self, *parts: str) -> None:
        self.assertEqual(len(self.judge.violations), 1, self.judge.violations)
        for part in parts:
            self.assertIn(part, self.judge.violations[0].text(3))

    def test_a_correct_manager_has_no_violations(self) -> None:
        self.judge.message(1.1, 7, ["w0", "w1"], ["CONFIG rows=w0:1,w1:1"])
        self.judge.entry_sent(2.0, "w0", "draining")
        for tenth in range(20, 63):
            self.judge.check_workers(tenth / 10, 7, {"w0", "w1"})
        self.judge.check_workers(6.4, 7, {"w1"})
        self.judge.unidentified_client(7.0, b"PIN", 2.9)
        self.judge.process_ended(8.0, 0, False, [])
        self.judge.process_ended(9.0, None, True, [])
        self.assertEqual(self.judge.violations, [])

    def test_a_drain_after_the_grace_is_reported_once_with_seed_second_and_lines(self) -> None:
        self.judge.message(1.1, 7, ["w0"], ["CONFIG rows=w0:1 stamp=4"])
        self.judge.entry_sent(2.0, "w0", "gone")
        for tenth in range(20, 80):
            self.judge.check_workers(tenth / 10, 7, {"w0", "w1"})
        self.assert_violation("seed 3", "second 6.4", "proxy 7", "w0", "CONFIG rows=w0:1 stamp=4")

    def test_the_grace_starts_when_a_proxy_joins_and_is_suspended_by_a_reload(self) -> None:
        self.judge.entry_sent(2.0, "w0", "draining")
        self.judge.stream_joined(5.0, 7)
        self.judge.check_workers(9.2, 7, {"w0"})
        self.judge.reloaded(6.0)
        self.judge.check_workers(14.2, 7, {"w0"})
        self.assertEqual(self.judge.violations, [])
        self.judge.check_workers(14.4, 7, {"w0"})
        self.assert_violation("after the grace")

    def test_a_proxy_without_a_worker_for_long(self) -> None:
        for second in range(2, 12):
            self.judge.check_workers(second, 7, set())
        self.assert_violation("no worker")

    def test_a_ready_worker_that_a_proxy_shuts_out_for_long(self) -> None:
        for second in range(2, 10):
            self.judge.check_shut_out(second, 7, {"w0", "w9"})  # w9 is not listed
        self.judge.stream_joined(10.0, 7)  # its time starts again
        self.judge.check_shut_out(10.1, 7, {"w0", "w1"})
        self.judge.check_shut_out(12.0, 7, {"w1"})  # w0 was let back
        self.judge.check_shut_out(12.1, 7, {"w0", "w1"})
        self.judge.check_shut_out(18.3, 7, {"w0", "w1"})
        self.assertEqual(self.judge.violations, [])
        self.judge.check_shut_out(18.5, 7, {"w0", "w1"})
        self.assert_violation("proxy 7", "still shuts out w1")

    def test_more_messages_than_the_cap(self) -> None:
        for tenth in range(4):
            self.judge.message(2 + tenth / 10, 7, ["w0"], ["CONFIG"])
        self.assert_violation("4 messages in 10 s, 3 allowed")

    def test_a_message_for_a_worker_that_was_never_listed(self) -> None:
        self.judge.message(2.0, 7, ["w0", "w9"], ["CONFIG drop=w9"])
        self.assert_violation("w9", "never listed")

    def test_an_unidentified_client_that_waits(self) -> None:
        self.judge.unidentified_client(9.0, b"GET /", 3.5)
        self.assert_violation("GET /")

    def test_a_slow_start_a_logged_error_or_an_unexpected_end(self) -> None:
        judge = self.judge
        judge.process_ready(20.0, 10.5)
        judge.logged(1.0, "Traceback (most recent call last):")
        judge.process_ended(1.0, 1, False, ["the last line"])
        judge.process_ended(1.0, None, False, [])
        judge.resources(1.0, 90, 60, 40.0, 100.0)
        judge.resources(1.0, 30, 60, 140.0, 100.0)
        judge.discovery_watched(1.0, False)
        self.assertEqual(
            [violation.connection for violation in judge.violations],
            ["start", "log", "process", "process", "process", "process", "discovery"],
        )

    def test_a_malformed_message_is_rejected_whole(self) -> None:
        message = parse_config_message(
            ["CONFIG for=ask replace=1 rows=w0:1.5,w1:0", "CONFIG drop=w2 undrop=w3 stamp=8"]
        )
        self.assertEqual(
            (dict(message.rows), message.replace, message.mark), ({"w0": 1.5, "w1": 0.0}, True, 8)
        )
        self.assertEqual(message.names(), {"w0", "w1", "w2", "w3"})
        for malformed in (["NACK"], ["CONFIG rows=w0"], ["CONFIG stamp=x"], ["CONFIG drop"]):
            with self.assertRaises(ValueError):
                parse_config_message(malformed)


class ShortSoakTests(unittest.TestCase):
    def test_a_few_seeds_have_no_violations(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "rushladder", "soak", "--seeds", str(SEEDS), "--seconds", str(SECONDS)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=SEEDS * (SECONDS + 40),
        )
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)
        self.assertIn(f"{SEEDS} seeds, 0 broke an aim", completed.stdout)

    def test_invalid_options_get_one_line(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "rushladder", "soak", "--seeds", "0"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual((completed.returncode, completed.stderr.count("\n")), (2, 1))


if __name__ == "__main__":
    unittest.main()
