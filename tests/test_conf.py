"""Tests of the configuration parser: the resulting objects, and errors with their lines."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rushladder.conf.grammar import InvalidConfig, InvalidValue, duration, tokenize
from rushladder.conf.reader import parse_config
from rushladder.interface import Idempotency

VALID = """
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


class ConfigTest(unittest.TestCase):
    def errors(self, text: str) -> list[str]:
        with self.assertRaises(InvalidConfig) as caught:
            parse_config(text, "f")
        return [str(error) for error in caught.exception.errors]

    def test_a_valid_file_is_parsed(self) -> None:
        config = parse_config(VALID, "f")
        self.assertEqual((config.identity.name, config.identity.number, config.peers[0].number), ("m1", 1, 0))
        self.assertEqual((config.guarantee.drain_grace, config.channel.message_cap), (42_000, 12))
        self.assertIs(config.products[0].idempotency, Idempotency.ONCE_ONLY)
        self.assertEqual((config.gateways[0].usual_rate, config.collectors[0].size), (12.5, 1.5))
        self.assertEqual([str(listener.address) for listener in config.listeners], ["unix@/tmp/m1.sock"])

    def test_every_error_names_its_line_and_what_is_allowed(self) -> None:
        text = (
            VALID.replace("sla 2s", "sla 2")
            .replace("size 1.5", "size -1")
            .replace("usual", "usuall")
            .replace("region south\n    address", "region west\n    address")
        )
        errors = self.errors(text)
        self.assertEqual([line.split(":")[1] for line in errors], ["11", "19", "21", "23"])
        self.assertTrue(all("allowed" in line for line in errors), errors)

    def test_two_collectors_with_one_address_are_an_error(self) -> None:
        text = VALID + "collector c2\n    region north\n    address 127.0.0.1:7001\n"
        self.assertIn("used on line 22 already", self.errors(text)[0])

    def test_missing_sections_and_directives_are_reported(self) -> None:
        self.assertEqual(len(self.errors("")), 3)
        self.assertIn(
            "lacks 'region NAME'", self.errors(VALID.replace("manager m1\n    region north", "manager m1"))[0]
        )

    def test_an_sla_time_over_the_expiry_and_a_duplicate_section_are_errors(self) -> None:
        self.assertIn("longer than the expiry", self.errors(VALID.replace("sla 2s", "sla 6s"))[0])
        self.assertIn("one is allowed", self.errors(VALID + "manager m2\n    region north\n")[0])

    def test_memory_and_list_file_exclude_each_other(self) -> None:
        text = VALID.replace("manager m1\n", "manager m1\n    memory /m\n    list-file /l\n")
        self.assertIn(":6: the memory keeps the list too", self.errors(text)[0])
        self.assertEqual(parse_config(text.replace("    list-file /l\n", ""), "f").memory, "/m")

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, len(VALID)), st.text(max_size=6))
    def test_any_inserted_text_gives_a_configuration_or_errors(self, position: int, inserted: str) -> None:
        try:
            parse_config(VALID[:position] + inserted + VALID[position:], "f")
        except InvalidConfig as invalid:
            self.assertTrue(invalid.errors)

    def test_tokens_and_durations(self) -> None:
        self.assertEqual(tokenize(r'a "b # c" d\ e # f'), ("a", "b # c", "d e"))
        self.assertEqual([duration(word) for word in ("1.2s", "40ms", "300us")], [12_000, 400, 3])
        for invalid in ("5", "-1s", "1e3s", "99h", ""):
            self.assertRaises(InvalidValue, duration, invalid)


if __name__ == "__main__":
    unittest.main()
