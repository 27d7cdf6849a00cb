"""Stories of the soak's judge, who has to see each aim that is not kept, and a short soak of the process."""

import subprocess
import sys
import unittest
from pathlib import Path

from rushladder.standins.platform import parse_config_message
from rushladder.trials.soak_judge import SoakJudge

ROOT = Path(__file__).parent.parent
SEEDS, SECONDS = 4, 8  # some fifteen seconds a seed: a run, the drains' grace, and its end


class JudgeStories(unittest.TestCase):
    def setUp(self) -> None:
        self.judge = SoakJudge(grace=4.0, bare=8.0, cap=3, span=10.0)
        self.judge.answered(0.0, 0.5)
        for name in ("w0", "w1"):
            self.judge.entry_sent(0.0, name, "ready")
        self.judge.joined(1.0, 7)

    def broke(self, *words: str) -> None:
        self.assertEqual(len(self.judge.violations), 1, self.judge.violations)
        for word in words:
            self.assertIn(word, self.judge.violations[0].text(3))

    def test_what_is_kept_breaks_nothing(self) -> None:
        self.judge.message(1.1, 7, ["w0", "w1"], ["CONFIG rows=w0:1,w1:1"])
        self.judge.entry_sent(2.0, "w0", "draining")
        for tenth in range(20, 63):
            self.judge.holds(tenth / 10, 7, {"w0", "w1"})
        self.judge.holds(6.4, 7, {"w1"})
        self.judge.stranger(7.0, b"PIN", 2.9)
        self.judge.ended(8.0, 0, False, [])
        self.judge.ended(9.0, None, True, [])
        self.assertEqual(self.judge.violations, [])

    def test_a_drain_after_the_grace_is_told_once_with_seed_second_and_lines(self) -> None:
        self.judge.message(1.1, 7, ["w0"], ["CONFIG rows=w0:1 stamp=4"])
        self.judge.entry_sent(2.0, "w0", "gone")
        for tenth in range(20, 80):
            self.judge.holds(tenth / 10, 7, {"w0", "w1"})
        self.broke("seed 3", "second 6.4", "proxy 7", "w0", "CONFIG rows=w0:1 stamp=4")

    def test_the_grace_begins_with_the_joining_and_waits_for_a_reload(self) -> None:
        self.judge.entry_sent(2.0, "w0", "draining")
        self.judge.joined(5.0, 7)
        self.judge.holds(9.2, 7, {"w0"})
        self.judge.reloaded(6.0)
        self.judge.holds(14.2, 7, {"w0"})
        self.assertEqual(self.judge.violations, [])
        self.judge.holds(14.4, 7, {"w0"})
        self.broke("after the grace")

    def test_a_proxy_without_a_worker_for_long(self) -> None:
        for second in range(2, 12):
            self.judge.holds(second, 7, set())
        self.broke("no worker")

    def test_more_messages_than_the_cap(self) -> None:
        for tenth in range(4):
            self.judge.message(2 + tenth / 10, 7, ["w0"], ["CONFIG"])
        self.broke("4 messages in 10 s of 3")

    def test_an_order_for_a_worker_that_was_never_listed(self) -> None:
        self.judge.message(2.0, 7, ["w0", "w9"], ["CONFIG drop=w9"])
        self.broke("w9", "never listed")

    def test_a_stranger_that_waits(self) -> None:
        self.judge.stranger(9.0, b"GET /", 3.5)
        self.broke("GET /")

    def test_a_start_a_fault_or_an_end_that_should_not_be(self) -> None:
        judge = self.judge
        judge.answered(20.0, 10.5)
        judge.logged(1.0, "Traceback (most recent call last):")
        judge.ended(1.0, 1, False, ["the last line"])
        judge.ended(1.0, None, False, [])
        judge.resources(1.0, 90, 60, 40.0, 100.0)
        judge.resources(1.0, 30, 60, 140.0, 100.0)
        judge.watched(1.0, False)
        self.assertEqual(
            [one.connection for one in judge.violations],
            ["start", "log", "process", "process", "process", "process", "discovery"],
        )

    def test_an_order_is_read_whole_or_not_at_all(self) -> None:
        order = parse_config_message(
            ["CONFIG for=ask replace=1 rows=w0:1.5,w1:0", "CONFIG drop=w2 undrop=w3 stamp=8"]
        )
        self.assertEqual((dict(order.rows), order.replace, order.mark), ({"w0": 1.5, "w1": 0.0}, True, 8))
        self.assertEqual(order.names(), {"w0", "w1", "w2", "w3"})
        for wrong in (["NACK"], ["CONFIG rows=w0"], ["CONFIG stamp=x"], ["CONFIG drop"]):
            with self.assertRaises(ValueError):
                parse_config_message(wrong)


class ShortSoak(unittest.TestCase):
    def test_a_few_seeds_keep_every_aim(self) -> None:
        ran = subprocess.run(
            [sys.executable, "-m", "rushladder", "soak", "--seeds", str(SEEDS), "--seconds", str(SECONDS)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=SEEDS * (SECONDS + 40),
        )
        self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)
        self.assertIn(f"{SEEDS} seeds, 0 broke an aim", ran.stdout)

    def test_bad_options_are_one_line(self) -> None:
        ran = subprocess.run(
            [sys.executable, "-m", "rushladder", "soak", "--seeds", "0"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual((ran.returncode, ran.stderr.count("\n")), (2, 1))


if __name__ == "__main__":
    unittest.main()
