"""Stories of the configuration: what is read, and how each fault is told with its place."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rushladder.conf.grammar import InvalidConfig, InvalidValue, duration, tokenize
from rushladder.conf.reader import parse_config
from rushladder.interface import Repeat

GOOD = """
global
    log console level debug
manager m1
    region north
    grace 4.2s
    messages 12 per 10s
region north
region "south"
product collect
    sla 2s
    expiry 5s       # the client's patience
    revenue 9
    repeat once-only
    writes
gateway g1
    region north
    socket unix@/tmp/g1.sock
    usual 12.5/s
collector c1
    region south
    address 127.0.0.1:7001
    size 1.5
peer m0
    address 127.0.0.1:7100
listen words
    bind 127.0.0.1:7101
    peers
listen admin
    bind unix@/tmp/m1.sock level admin
"""


class ConfStories(unittest.TestCase):
    def faults(self, text: str) -> list[str]:
        with self.assertRaises(InvalidConfig) as caught:
            parse_config(text, "f")
        return [str(fault) for fault in caught.exception.errors]

    def test_a_whole_file_becomes_objects(self) -> None:
        plan = parse_config(GOOD, "f")
        self.assertEqual((plan.identity.name, plan.identity.number, plan.peers[0].number), ("m1", 1, 0))
        self.assertEqual((plan.guarantee.drain_grace, plan.channel.message_cap), (42_000, 12))
        self.assertIs(plan.products[0].repeat, Repeat.ONCE_ONLY)
        self.assertEqual((plan.gateways[0].usual_rate, plan.collectors[0].size), (12.5, 1.5))
        self.assertEqual([str(listener.address) for listener in plan.listeners], ["unix@/tmp/m1.sock"])

    def test_every_fault_is_told_with_its_line_and_what_is_allowed(self) -> None:
        text = (
            GOOD.replace("sla 2s", "sla 2")
            .replace("size 1.5", "size -1")
            .replace("usual", "usuall")
            .replace("region south\n    address", "region west\n    address")
        )
        told = self.faults(text)
        self.assertEqual([line.split(":")[1] for line in told], ["11", "19", "21", "23"])
        self.assertTrue(all("allowed" in line for line in told), told)

    def test_one_address_for_two_collectors_is_a_fault(self) -> None:
        text = GOOD + "collector c2\n    region north\n    address 127.0.0.1:7001\n"
        self.assertIn("used on line 22 already", self.faults(text)[0])

    def test_what_is_missing_is_named(self) -> None:
        self.assertEqual(len(self.faults("")), 3)
        self.assertIn(
            "lacks 'region NAME'", self.faults(GOOD.replace("manager m1\n    region north", "manager m1"))[0]
        )

    def test_an_sla_time_behind_the_expiry_and_a_second_section_are_faults(self) -> None:
        self.assertIn("longer than the expiry", self.faults(GOOD.replace("sla 2s", "sla 6s"))[0])
        self.assertIn("one is allowed", self.faults(GOOD + "manager m2\n    region north\n")[0])

    def test_a_memory_and_a_list_file_are_one_too_many(self) -> None:
        text = GOOD.replace("manager m1\n", "manager m1\n    memory /m\n    list-file /l\n")
        self.assertIn(":6: the memory keeps the list too", self.faults(text)[0])
        self.assertEqual(parse_config(text.replace("    list-file /l\n", ""), "f").memory, "/m")

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, len(GOOD)), st.text(max_size=6))
    def test_whatever_is_typed_in_gives_a_plan_or_faults(self, place: int, typed: str) -> None:
        try:
            parse_config(GOOD[:place] + typed + GOOD[place:], "f")
        except InvalidConfig as told:
            self.assertTrue(told.errors)

    def test_words_times_and_quotes(self) -> None:
        self.assertEqual(tokenize(r'a "b # c" d\ e # f'), ("a", "b # c", "d e"))
        self.assertEqual([duration(word) for word in ("1.2s", "40ms", "300us")], [12_000, 400, 3])
        for bad in ("5", "-1s", "1e3s", "99h", ""):
            self.assertRaises(InvalidValue, duration, bad)


if __name__ == "__main__":
    unittest.main()
