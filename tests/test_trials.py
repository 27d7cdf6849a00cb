"""Tests that the trial judge detects each broken rule, whole days with real processes on loopback, and the
command line's handling of invalid input."""

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
Record = dict[str, Any]


def record(t: float, who: str, ev: str, **fields: Any) -> Record:
    return {"t": t, "who": who, "ev": ev, **fields}


def cmd(t: float, text: str, answer: str = "") -> Record:
    return record(t, "g1", "cmd", words=text.split(), answer=answer)


class JudgeTests(unittest.TestCase):
    def broken_rules(self, *rows: Record) -> list[tuple[int, str]]:
        records = [
            record(0, "g1", "gateway", products=["pay"], standing={"c1": "h:1", "c2": "h:2"}),
            record(1, "trial", "day", what="begins"),
            *rows,
            record(21, "trial", "day", what="ends"),
        ]
        verdict = judge(self.day(), sorted(records, key=lambda entry: float(entry["t"])))
        return [(violation.rule, violation.where) for violation in verdict.violations]

    def day(self) -> Day:
        return read_day(TEXT, "day")

    def wrote(self, t: float, number: int, manager: str = "m1") -> Record:
        return cmd(t, f"set var proc.rushladder_wrote str(1/{manager}/a/{number})")

    def test_a_good_day_has_no_violations(self) -> None:
        self.assertEqual(
            self.broken_rules(
                self.wrote(2, 1), record(3, "g1", "try", id="pay-1", product="pay", server="c1")
            ),
            [],
        )

    def test_rule_1_a_pool_that_is_empty_for_too_long(self) -> None:
        empty = [cmd(4, "set server pay/c1 weight 0"), cmd(4, "set server pay/c2 state drain")]
        self.assertEqual(self.broken_rules(*empty), [(1, "g1")])
        self.assertEqual(self.broken_rules(*empty, cmd(6, "set server pay/c2 state ready")), [])

    def test_rule_1_does_not_apply_while_no_collector_is_listed_ready(self) -> None:
        gone = [record(3, "trial", "listed", manager="m1", name=name, state="maint") for name in ("c1", "c2")]
        self.assertEqual(
            self.broken_rules(
                *gone, cmd(4, "set server pay/c1 weight 0"), cmd(4, "set server pay/c2 weight 0")
            ),
            [],
        )

    def test_rule_2_a_once_only_txn_that_runs_twice(self) -> None:
        runs = [record(5, "collectors", "run", name=name, id="pay-7", product="pay") for name in ("c1", "c2")]
        self.assertEqual(self.broken_rules(*runs), [(2, "c2")])

    def test_rule_3_a_try_after_the_grace(self) -> None:
        listed = record(5, "trial", "listed", manager="m1", name="c1", state="drain")
        late = record(7.5, "g1", "try", id="pay-1", product="pay", server="c1")
        self.assertEqual(self.broken_rules(self.wrote(2, 1), listed, late), [(3, "g1")])
        self.assertEqual(self.broken_rules(self.wrote(2, 1), listed, {**late, "t": 6.5}), [])
        self.assertEqual(
            self.broken_rules(self.wrote(2, 1, "m2"), listed, late), []
        )  # m2, which holds the gateway, never learned of the drain
        self.assertEqual(
            self.broken_rules(self.wrote(6, 1), listed, late), []
        )  # the manager took the gateway less than the grace before
        self.assertEqual(
            self.broken_rules(
                self.wrote(2, 1),
                listed,
                record(6, "trial", "listed", manager="m1", name="c1", state="ready"),
                late,
            ),
            [],
        )

    def test_rule_3_a_resolver_may_keep_a_name_for_the_grace_and_no_longer(self) -> None:
        def sent(t: float, **overrides: object) -> Record:
            fields = {
                "id": "x",
                "product": "pay",
                "server": "c1",
                "number": 1,
                "resolver": "r",
                "region": "a",
            }
            return record(t, "r", "try", **{**fields, "front": "m1", "ignores": False, **overrides})

        listed = record(5, "trial", "listed", manager="m1", name="c1", state="drain", answer="")
        self.assertEqual(self.broken_rules(listed, sent(6.9)), [])
        self.assertEqual(self.broken_rules(listed, sent(7.1)), [(3, "r")])
        self.assertEqual(self.broken_rules(listed, sent(7.1, ignores=True), sent(7.2, front="m2")), [])

    def test_rule_1_a_resolver_without_an_answer_for_too_long(self) -> None:
        def answer(t: float, event: str) -> Record:
            return record(t, "r", event, resolver="r", product="pay")

        self.assertEqual(
            self.broken_rules(answer(2, "unanswered"), answer(8, "unanswered")), []
        )  # no answer was ever given
        records = [answer(2, "answered"), answer(4, "unanswered"), answer(6, "unanswered")]
        self.assertEqual(self.broken_rules(*records), [])
        self.assertEqual(self.broken_rules(*records, answer(7.5, "unanswered")), [(1, "r")])

    def test_rule_4_a_cold_collector_that_crashes_under_load(self) -> None:
        self.assertEqual(self.broken_rules(record(5, "collectors", "fell", name="c2")), [(4, "c2")])

    def test_rule_5_messages_over_the_cap(self) -> None:
        self.assertEqual(self.broken_rules(*(self.wrote(5 + k, k) for k in range(4))), [])
        self.assertIn((5, "g1"), self.broken_rules(*(self.wrote(5 + k, k) for k in range(5))))

    def test_the_service_counts_revenue_in_time(self) -> None:
        records = [record(0, "t", "day", what="begins"), record(9, "t", "day", what="ends")]
        for name, code, took in (("a", 200, 0.5), ("b", 200, 2.0), ("c", 429, 0.1), ("d", 599, 3.0)):
            records += [
                record(2, "clients", "ask", id=name, product="pay"),
                record(6, "clients", "told", id=name, product="pay", code=code, took=took),
            ]
        verdict = judge(self.day(), sorted(records, key=lambda entry: float(entry["t"])))
        self.assertAlmostEqual(verdict.service, 1.1 / 4)
        self.assertAlmostEqual(verdict.declined, 1 / 4)

    def test_truncated_records_are_read_up_to_the_cut_and_half_a_day_has_no_verdict(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "x.jsonl").write_text(
                json.dumps(record(1, "trial", "day", what="begins")) + '\n{"t": 2, "wh'
            )
            records = load_records(Path(folder))
        self.assertEqual(len(records), 1)
        self.assertRaises(ValueError, judge, self.day(), records)

    def test_errors_in_a_day_file_are_reported_with_their_lines(self) -> None:
        text = (
            TEXT.replace("crash for 1s", "sing").replace("at 2s", "at 2").replace("share 100%", "share 100")
        )
        with self.assertRaises(InvalidConfig) as caught:
            read_day(text, "d")
        self.assertEqual([error.line for error in caught.exception.errors], [8, 25])

    def test_all_shipped_days_and_examples_are_valid(self) -> None:
        for file in sorted((ROOT / "trials").glob("*.day")):
            self.assertEqual(read_day(file.read_text(), str(file)).name, file.stem)
        for file in sorted((ROOT / "examples").glob("*.conf")):
            config = parse_config(file.read_text(), str(file))
            self.assertTrue(config.gateways or config.dns)


class WholeDayTests(unittest.TestCase):
    def test_days_with_faults_have_no_violations_through_gateways_and_dns(self) -> None:
        for day in ("collect-burst", "resolvers"):
            self.play(f"trials/{day}.day")

    def play(self, file: str) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "rushladder", "trial", file],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        self.assertEqual(
            (completed.returncode, completed.stdout.count("kept  "), completed.stderr),
            (0, 5, ""),
            completed.stdout,
        )


class CommandLineTests(unittest.TestCase):
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
        """Guards against importing the charts for every day: `rushladder trial DAY` then ended in
        "ModuleNotFoundError: No module named 'matplotlib'" if only requirements.txt was installed."""
        without_matplotlib = (
            "import sys; sys.modules['matplotlib'] = None; sys.argv = ['rushladder', *sys.argv[1:]];"
            "from rushladder.cli.main import main; main()"
        )
        for options, code, message in (
            ((), 2, "nowhere.day:0: can't be read"),
            (("--report", "charts"), 2, "install rushladder[charts]"),
        ):
            completed = subprocess.run(
                [sys.executable, "-c", without_matplotlib, "trial", "nowhere.day", *options],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            self.assertEqual(
                (completed.returncode, completed.stderr.count("\n")), (code, 1), completed.stderr
            )
            self.assertIn(message, completed.stderr)

    def test_invalid_input_gets_one_line_and_exit_code_2(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
            file.write("manager m\n    regionn x\n")
            file.flush()
            completed = self.call("check", file.name)
        self.assertEqual(completed.returncode, 2)
        self.assertIn(f"{file.name}:2: 'regionn' is unknown in manager;", completed.stderr)
        for words in (
            ("check", "/none"),
            ("run", "/none"),
            ("ctl", "-s", "unix@/none/x", "show info"),
            ("ctl", "-s", "nowhere", "show info"),
            ("trial", "/none"),
        ):
            completed = self.call(*words)
            self.assertEqual(
                (completed.returncode, len(completed.stderr.splitlines()), completed.stdout),
                (2, 1, ""),
                completed.stderr,
            )


if __name__ == "__main__":
    unittest.main()
