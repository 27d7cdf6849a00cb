"""Tests of .ci/verdict.py: which failures it ignores, and which it never does."""

import contextlib
import importlib.util
import io
import tempfile
import unittest
from pathlib import Path
from typing import Any

VERDICT_FILE = Path(__file__).parent.parent / ".ci/verdict.py"
spec = importlib.util.spec_from_file_location("verdict", VERDICT_FILE)
assert spec is not None and spec.loader is not None
verdict: Any = importlib.util.module_from_spec(spec)
spec.loader.exec_module(verdict)

TEST = "tests.test_ci.VerdictTests.test_all_passed"
OTHER_TEST = "tests.test_ci.VerdictTests.test_any_other_failure_fails"


def unittest_output(*failed: str, tests: int = 9, skipped: int = 0) -> str:
    """Returns the output of a unittest run in which the tests `failed` fail."""
    headings = [f"FAIL: {name.rpartition('.')[2]} ({name}) (said=b'(x)')\nTraceback" for name in failed]
    result_line = "FAILED (failures=1" if failed else "OK (" if skipped else "OK"
    result_line += (", " if failed else "") + f"skipped={skipped})" if skipped else ")" if failed else ""
    return "\n".join(["..F", *headings, f"Ran {tests} tests in 1.2s", "", result_line, ""])


class VerdictTests(unittest.TestCase):
    def test_all_passed(self) -> None:
        self.assertEqual(verdict.evaluate(unittest_output(), {}, 0), (["9 passed, 0 failed"], True))
        self.assertEqual(
            verdict.evaluate(unittest_output(skipped=2), {}, 0), (["7 passed, 0 failed, 2 skipped"], True)
        )

    def test_a_listed_failure_is_printed_and_counts_as_skipped(self) -> None:
        listed = verdict.parse_known_failures(
            f"{TEST} | its own, seed 7 | a real fault | 28\n", verdict.test_exists
        )
        # The test is named twice: two of its subtests failed.
        lines, passes = verdict.evaluate(unittest_output(TEST, TEST), listed, 1)
        self.assertTrue(passes)
        self.assertEqual(
            lines,
            [
                f"known red, passed over: {TEST} | its own, seed 7 | a real fault | 28",
                "8 passed, 0 failed, 1 skipped",
            ],
        )
        self.assertIn("did not fail", verdict.evaluate(unittest_output(), listed, 0)[0][0])

    def test_any_other_failure_fails(self) -> None:
        lines, passes = verdict.evaluate(unittest_output(TEST, OTHER_TEST), {TEST: "listed"}, 1)
        self.assertEqual(
            (lines[1:], passes), ([f"failed: {OTHER_TEST}", "7 passed, 1 failed, 1 skipped"], False)
        )
        self.assertFalse(verdict.evaluate("Ran 9 tests in 1s\n\nFAILED (errors=1)\n", {TEST: "listed"}, 1)[1])
        self.assertFalse(verdict.evaluate(unittest_output(), {}, 139)[1])  # it crashed at exit

    def test_a_run_without_tests_or_without_closing_lines_fails(self) -> None:
        for output in ("", "Ran 0 tests in 0.0s\n\nOK\n", "Ran 9 tests in 1s\n", "Segmentation fault\n"):
            self.assertFalse(verdict.evaluate(output, {}, 0)[1], output)

    def test_a_malformed_entry_is_reported_with_its_line(self) -> None:
        too_many = "".join(f"tests.test_ci.VerdictTests.test_{k} | x | y | 1\n" for k in range(11))
        for text, why in (
            (f"{TEST}: why 28", "should be"),
            (f"{TEST} | x | why | soon", "should be"),
            (f"{TEST} | x |  | 28", "should be"),
            (f"{TEST} |  | why | 28", "should be"),
            (f"{TEST} | why | 28", "should be"),
            (f"{TEST} | x | y | 28 | z", "should be"),
            (f" | x | {TEST} | 28", "should be"),
            (f"{TEST} | x | a | 1\n{TEST} | y | b | 1", "twice"),
            (f"- | x | {TEST} | 1\n- | x | {TEST} | 2", "twice"),
        ):
            with self.assertRaisesRegex(verdict.Malformed, rf"KNOWN-RED.txt:\d: .*{why}.*{TEST}"):
                verdict.parse_known_failures(text, verdict.test_exists)
        with self.assertRaisesRegex(verdict.Malformed, "over 10 entries"):
            verdict.parse_known_failures(too_many, lambda name: True)
        with self.assertRaisesRegex(verdict.Malformed, "no such test"):
            verdict.parse_known_failures(
                "tests.test_ci.VerdictTests.test_gone | x | y | 1", verdict.test_exists
            )

    def test_an_entry_without_a_test_is_printed_and_ignores_no_failure(self) -> None:
        line = "- | lbreal SITE --rough herd+mass --seed 7 | rule 5 broken | 32"
        listed = verdict.parse_known_failures(line + "\n", verdict.test_exists)
        self.assertEqual(
            verdict.evaluate(unittest_output(), listed, 0),
            ([f"known red, seen by the bench alone: {line}", "9 passed, 0 failed"], True),
        )
        self.assertFalse(verdict.evaluate(unittest_output(TEST), listed, 1)[1])

    def test_main_reads_its_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()):
            output, known_red = Path(folder, "out"), Path(folder, "red")
            output.write_text(unittest_output(TEST))
            self.assertEqual(verdict.main(str(output), str(known_red), "1"), 1)
            known_red.write_text(f"{TEST} | its own, seed 7 | a real fault | 28\n")
            self.assertEqual(verdict.main(str(output), str(known_red), "1"), 0)
            known_red.write_text("what")
            self.assertEqual(verdict.main(str(output), str(known_red), "1"), 1)


if __name__ == "__main__":
    unittest.main()
