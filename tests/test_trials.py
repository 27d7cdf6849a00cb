"""Stories of the judge, who has to see each broken rule, and one whole bad day with real processes on
loopback."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from rushladder.conf.grammar import InvalidConfig
from rushladder.conf.reader import parse_config
from rushladder.trials.day import Day, read_day
from rushladder.trials.judge import judge, load_records

ROOT = Path(__file__).parent.parent
TEXT = """
day small
    length 20s
    plan bare 3s
    plan grace 2s
    plan cold 5s from 20%
    plan messages 4 per 10s
product pay
    sla 1s
    expiry 3s
    revenue 3
    late 10%
    repeat once-only
    share 100%
    work 100ms
manager m1
    region a
gateway g1
    region a
collector c1
    region a
collector c2
    region a
events
    at 2s collector c1,c2 crash for 1s
"""
Row = dict[str, Any]


def row(t: float, who: str, ev: str, **more: Any) -> Row:
    return {"t": t, "who": who, "ev": ev, **more}


def cmd(t: float, text: str, answer: str = "") -> Row:
    return row(t, "g1", "cmd", words=text.split(), answer=answer)


class JudgeStories(unittest.TestCase):
    def broken(self, *rows: Row) -> list[tuple[int, str]]:
        whole = [
            row(0, "g1", "gateway", products=["pay"], standing={"c1": "h:1", "c2": "h:2"}),
            row(1, "trial", "day", what="begins"),
            *rows,
            row(21, "trial", "day", what="ends"),
        ]
        found = judge(self.day(), sorted(whole, key=lambda one: float(one["t"])))
        return [(one.rule, one.where) for one in found.violations]

    def day(self) -> Day:
        return read_day(TEXT, "day")

    def wrote(self, t: float, number: int, manager: str = "m1") -> Row:
        return cmd(t, f"set var proc.rushladder_wrote str(1/{manager}/a/{number})")

    def test_a_good_day_breaks_nothing(self) -> None:
        self.assertEqual(
            self.broken(self.wrote(2, 1), row(3, "g1", "try", id="pay-1", product="pay", server="c1")), []
        )

    def test_rule_1_a_pool_that_is_empty_for_long(self) -> None:
        empty = [cmd(4, "set server pay/c1 weight 0"), cmd(4, "set server pay/c2 state drain")]
        self.assertEqual(self.broken(*empty), [(1, "g1")])
        self.assertEqual(self.broken(*empty, cmd(6, "set server pay/c2 state ready")), [])

    def test_rule_1_does_not_bind_while_nobody_is_listed_ready(self) -> None:
        gone = [row(3, "trial", "listed", manager="m1", name=name, state="maint") for name in ("c1", "c2")]
        self.assertEqual(
            self.broken(*gone, cmd(4, "set server pay/c1 weight 0"), cmd(4, "set server pay/c2 weight 0")), []
        )

    def test_rule_2_a_once_only_txn_that_runs_twice(self) -> None:
        runs = [row(5, "collectors", "run", name=name, id="pay-7", product="pay") for name in ("c1", "c2")]
        self.assertEqual(self.broken(*runs), [(2, "c2")])

    def test_rule_3_a_try_after_the_grace(self) -> None:
        told = row(5, "trial", "listed", manager="m1", name="c1", state="drain")
        late = row(7.5, "g1", "try", id="pay-1", product="pay", server="c1")
        self.assertEqual(self.broken(self.wrote(2, 1), told, late), [(3, "g1")])
        self.assertEqual(self.broken(self.wrote(2, 1), told, {**late, "t": 6.5}), [])
        self.assertEqual(self.broken(self.wrote(2, 1, "m2"), told, late), [])  # its manager was never told
        self.assertEqual(self.broken(self.wrote(6, 1), told, late), [])  # held for too short a while
        self.assertEqual(
            self.broken(
                self.wrote(2, 1),
                told,
                row(6, "trial", "listed", manager="m1", name="c1", state="ready"),
                late,
            ),
            [],
        )

    def test_rule_3_a_resolver_may_keep_a_name_for_the_grace_and_no_longer(self) -> None:
        def sent(t: float, **more: object) -> Row:
            known = {"id": "x", "product": "pay", "server": "c1", "number": 1, "resolver": "r", "region": "a"}
            return row(t, "r", "try", **{**known, "front": "m1", "ignores": False, **more})

        told = row(5, "trial", "listed", manager="m1", name="c1", state="drain", answer="")
        self.assertEqual(self.broken(told, sent(6.9)), [])
        self.assertEqual(self.broken(told, sent(7.1)), [(3, "r")])
        self.assertEqual(self.broken(told, sent(7.1, ignores=True), sent(7.2, front="m2")), [])

    def test_rule_1_a_resolver_that_gets_no_name_for_long(self) -> None:
        def answer(t: float, what: str) -> Row:
            return row(t, "r", what, resolver="r", product="pay")

        self.assertEqual(self.broken(answer(2, "unanswered"), answer(8, "unanswered")), [])  # no plan yet
        rows = [answer(2, "answered"), answer(4, "unanswered"), answer(6, "unanswered")]
        self.assertEqual(self.broken(*rows), [])
        self.assertEqual(self.broken(*rows, answer(7.5, "unanswered")), [(1, "r")])

    def test_rule_4_a_cold_collector_that_falls(self) -> None:
        self.assertEqual(self.broken(row(5, "collectors", "fell", name="c2")), [(4, "c2")])

    def test_rule_5_messages_over_the_cap(self) -> None:
        self.assertEqual(self.broken(*(self.wrote(5 + k, k) for k in range(4))), [])
        self.assertIn((5, "g1"), self.broken(*(self.wrote(5 + k, k) for k in range(5))))

    def test_the_service_counts_revenue_in_time(self) -> None:
        rows = [row(0, "t", "day", what="begins"), row(9, "t", "day", what="ends")]
        for name, code, took in (("a", 200, 0.5), ("b", 200, 2.0), ("c", 429, 0.1), ("d", 599, 3.0)):
            rows += [
                row(2, "clients", "ask", id=name, product="pay"),
                row(6, "clients", "told", id=name, product="pay", code=code, took=took),
            ]
        verdict = judge(self.day(), sorted(rows, key=lambda one: float(one["t"])))
        self.assertAlmostEqual(verdict.service, 1.1 / 4)
        self.assertAlmostEqual(verdict.declined, 1 / 4)

    def test_records_cut_off_are_read_up_to_the_cut_and_half_a_day_is_no_verdict(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "x.jsonl").write_text(
                json.dumps(row(1, "trial", "day", what="begins")) + '\n{"t": 2, "wh'
            )
            rows = load_records(Path(folder))
        self.assertEqual(len(rows), 1)
        self.assertRaises(ValueError, judge, self.day(), rows)

    def test_faults_of_a_day_are_told_with_their_lines(self) -> None:
        text = (
            TEXT.replace("crash for 1s", "sing").replace("at 2s", "at 2").replace("share 100%", "share 100")
        )
        with self.assertRaises(InvalidConfig) as caught:
            read_day(text, "d")
        self.assertEqual([fault.line for fault in caught.exception.errors], [8, 25])

    def test_all_shipped_days_and_examples_are_good(self) -> None:
        for file in sorted((ROOT / "trials").glob("*.day")):
            self.assertEqual(read_day(file.read_text(), str(file)).name, file.stem)
        for file in sorted((ROOT / "examples").glob("*.conf")):
            plan = parse_config(file.read_text(), str(file))
            self.assertTrue(plan.gateways or plan.dns)


class WholeDayStory(unittest.TestCase):
    def test_bad_days_keep_every_rule_by_gateways_and_by_names(self) -> None:
        for day in ("collect-burst", "resolvers"):
            self.play(f"trials/{day}.day")

    def play(self, file: str) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "rushladder", "trial", file],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        self.assertEqual((done.returncode, done.stdout.count("kept  "), done.stderr), (0, 5, ""), done.stdout)


class CommandLineStories(unittest.TestCase):
    def call(self, *words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "rushladder", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def test_a_day_needs_charts_only_for_its_report(self) -> None:
        """`rushladder trial DAY` ended in "ModuleNotFoundError: No module named 'matplotlib'" where only
        requirements.txt was installed, as the charts were imported for every day."""
        hidden = (
            "import sys; sys.modules['matplotlib'] = None; sys.argv = ['rushladder', *sys.argv[1:]];"
            "from rushladder.cli.main import main; main()"
        )
        for more, code, said in (
            ((), 2, "nowhere.day:0: can't be read"),
            (("--report", "charts"), 2, "install rushladder[charts]"),
        ):
            ran = subprocess.run(
                [sys.executable, "-c", hidden, "trial", "nowhere.day", *more],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            self.assertEqual((ran.returncode, ran.stderr.count("\n")), (code, 1), ran.stderr)
            self.assertIn(said, ran.stderr)

    def test_bad_input_gets_one_line_and_exit_2(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
            file.write("manager m\n    regionn x\n")
            file.flush()
            done = self.call("check", file.name)
        self.assertEqual(done.returncode, 2)
        self.assertIn(f"{file.name}:2: 'regionn' is unknown in manager;", done.stderr)
        for words in (
            ("check", "/none"),
            ("run", "/none"),
            ("ctl", "-s", "unix@/none/x", "show info"),
            ("ctl", "-s", "nowhere", "show info"),
            ("trial", "/none"),
        ):
            done = self.call(*words)
            self.assertEqual(
                (done.returncode, len(done.stderr.splitlines()), done.stdout), (2, 1, ""), done.stderr
            )


if __name__ == "__main__":
    unittest.main()
