"""Tests of the runtime API's parsers and protocols, with in-memory transports and a virtual clock."""

import tracemalloc
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from rushladder.runtime.endpoint import (
    CommandRefused,
    CommandSpec,
    CommandTable,
    Level,
    NoAnswer,
    RuntimeClient,
    RuntimeFactory,
    RuntimeServer,
)
from rushladder.runtime.grammar import (
    MAX_PAYLOAD_BYTES,
    AnswerParser,
    AnswerTooLong,
    Command,
    CommandParser,
    Overlong,
    Request,
    encode_commands,
    format_csv,
    parse_fields,
    parse_table,
    split_commands,
)

words = st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), min_size=1, max_size=12)
rows = st.lists(words, max_size=4).map(tuple)
lines = st.lists(
    st.lists(words, min_size=1, max_size=4).map(lambda w: Command(tuple(w))), min_size=1, max_size=3
)


def cut(data: bytes, positions: list[int]) -> list[bytes]:
    """Splits the data at the given positions, taken modulo its length."""
    cuts = sorted({position % (len(data) + 1) for position in positions})
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


class GrammarTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lines, rows, st.booleans(), st.lists(st.integers(0, 400), max_size=6))
    def test_commands_are_parsed_however_the_bytes_are_split(
        self, commands: list[Command], payload: tuple[str, ...], has_payload: bool, positions: list[int]
    ) -> None:
        last = commands[-1].words[-1]
        if last.startswith("<<") or " <<" in last:  # a word that opens a payload can't end a line
            return
        if has_payload:
            commands = [*commands[:-1], Command(commands[-1].words, payload)]
        data = encode_commands(commands)
        parser, found = CommandParser(), list[Request | Overlong]()
        for part in cut(data, positions):
            found += parser.feed(part)
        self.assertEqual(found, [Request(tuple(commands))])

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=5))
    def test_any_bytes_give_the_same_requests_however_they_are_split(
        self, data: bytes, positions: list[int]
    ) -> None:
        whole = CommandParser(60, 100)
        parser, found = CommandParser(60, 100), list[Request | Overlong]()
        for part in cut(data, positions):
            found += parser.feed(part)
        self.assertEqual(found, whole.feed(data))

    def test_an_overlong_line_is_reported_once_and_the_next_is_read(self) -> None:
        parser = CommandParser(20)
        found = [
            item for part in (b"x" * 15, b"y" * 30, b"z" * 90, b"\nshow info\n") for item in parser.feed(part)
        ]
        self.assertEqual(found, [Overlong("line", 20), Request((Command(("show", "info")),))])

    def test_an_overlong_payload_is_reported_once_and_the_next_line_is_read(self) -> None:
        found = CommandParser(100, 20).feed(b"add map m <<\n" + b"key value\n" * 9 + b"\nshow info\n")
        self.assertEqual(found, [Overlong("payload", 20), Request((Command(("show", "info")),))])

    def test_an_incomplete_payload_of_short_lines_is_kept_as_its_bytes(self) -> None:
        # Guards against: hundreds of clients half way through a payload of short lines, each kept as a list
        # of them, filled memory.
        parser = CommandParser()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(30):
            parser.feed(b"abc\n" * 1000 if parser.in_payload else b"set map levels <<\n")
        self.assertLess(tracemalloc.get_traced_memory()[0], 1.5 * MAX_PAYLOAD_BYTES)
        (request,) = parser.feed(b"\n")
        assert isinstance(request, Request)
        self.assertEqual(request.commands[0].payload, ("abc",) * 29_000)

    def test_escapes_and_several_commands_in_a_line(self) -> None:
        self.assertEqual(split_commands(r"a b\ c;;d\;e ; f\\"), (("a", "b c"), ("d;e",), ("f\\",)))

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.lists(words.filter(lambda w: w[0] not in ">+"), max_size=3), min_size=1, max_size=4),
        st.lists(st.integers(0, 200), max_size=5),
    )
    def test_answers_are_parsed_however_the_bytes_are_split(
        self, answers: list[list[str]], positions: list[int]
    ) -> None:
        texts = ["".join(line + "\n" for line in answer) for answer in answers]
        data = "".join(text + "\n> " for text in texts).encode()
        parser, found = AnswerParser(), list[str]()
        for part in cut(data, positions):
            found += parser.feed(part)
        self.assertEqual(found, texts)

    def test_an_answer_over_the_size_limit_raises(self) -> None:
        parser = AnswerParser(1000)
        with self.assertRaises(AnswerTooLong):
            for _ in range(300):
                parser.feed(b"garbage")

    def test_tables_are_parsed_by_column_name(self) -> None:
        text = format_csv(("pxname", "svname", "stot"), [("collect", "c1", 5)])
        self.assertEqual(parse_table(text), [{"pxname": "collect", "svname": "c1", "stot": "5"}])
        self.assertEqual(
            parse_table("1\n# be_name srv_name\nb s\n", None), [{"be_name": "b", "srv_name": "s"}]
        )
        self.assertEqual(parse_table("nothing of a table"), [])
        self.assertEqual(parse_fields("Name: x\nUptime_sec: 4\n"), {"Name": "x", "Uptime_sec": "4"})


class EndpointTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.slow_answer = Clock(), Deferred[str]()

        async def slow(command: Command, level: Level) -> str:
            return await self.slow_answer

        def refuse(command: Command, level: Level) -> str:
            raise CommandRefused("No such server.")

        self.commands = CommandTable(
            [
                CommandSpec(("show", "info"), Level.USER, "show info : facts", lambda c, v: "Name: x\n"),
                CommandSpec(("show", "slow"), Level.USER, "show slow : later", slow),
                CommandSpec(("set", "server"), Level.ADMIN, "set server B/S ...", refuse),
            ]
        )

    def server(self, level: Level = Level.ADMIN) -> tuple[RuntimeServer, Any]:
        server, transport = RuntimeServer(self.commands, level, self.clock), StringTransport()
        server.makeConnection(transport)  # type: ignore[no-untyped-call]
        return server, transport

    def test_without_prompt_the_connection_closes_after_one_line(self) -> None:
        server, transport = self.server()
        server.dataReceived(b"show info;set server a/b weight 1\n")
        self.assertEqual(transport.value(), b"Name: x\n\nNo such server.\n\n")
        self.assertTrue(transport.disconnecting)

    def test_answers_keep_the_order_of_commands_after_a_slow_one(self) -> None:
        server, transport = self.server()
        server.dataReceived(b"prompt\nshow slow\nshow info\n")
        self.assertEqual(transport.value(), b"\n> ")
        self.slow_answer.callback("done")
        self.assertEqual(transport.value(), b"\n> done\n\n> Name: x\n\n> ")

    def test_levels_and_unknown_commands(self) -> None:
        server, transport = self.server(Level.USER)
        server.dataReceived(b"prompt;set server a/b weight 1;sing\n")
        self.assertIn(b"Permission denied", transport.value())
        self.assertIn(b"Unknown command: 'sing'", transport.value())

    def test_a_client_that_does_not_read_is_paused_and_later_disconnected(self) -> None:
        server, transport = self.server()
        server.dataReceived(b"prompt\n")
        server.pauseProducing()
        server.dataReceived(b"show info\n")
        self.assertNotIn(b"Name", transport.value())
        self.assertEqual(transport.producerState, "paused")
        self.clock.advance(30)
        self.assertTrue(transport.disconnected)

    def test_too_many_queued_commands_end_the_connection(self) -> None:
        server, transport = self.server()
        server.dataReceived(b"prompt\nshow slow\n")
        for _ in range(30):
            server.dataReceived(b"show info\n" * 1000)
            if transport.disconnected:
                break
        self.assertTrue(transport.disconnected)

    def test_payloads_that_wait_behind_a_slow_command_are_kept_as_their_bytes(self) -> None:
        # Guards against: payloads of short lines that wait take fifteen times their bytes.
        server, _ = self.server()
        server.dataReceived(b"prompt\nshow slow\n")
        payload = b"set server <<\n" + b"abc\n" * 10_000 + b"\n"
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(20):
            server.dataReceived(payload)
        self.assertLess(tracemalloc.get_traced_memory()[0], 2 * 20 * len(payload))

    def test_connections_over_the_limit_are_refused(self) -> None:
        factory = RuntimeFactory(self.commands, Level.USER, self.clock, max_connections=1)
        first = factory.buildProtocol(None)
        assert first is not None
        self.assertIsNone(factory.buildProtocol(None))
        first.makeConnection(StringTransport())
        first.connectionLost()
        self.assertIsNotNone(factory.buildProtocol(None))

    def test_a_client_and_a_server_exchange_commands_and_answers(self) -> None:
        server, server_transport = self.server()
        client, transport = RuntimeClient(self.clock, 2.0), StringTransport()
        client.makeConnection(transport)  # type: ignore[no-untyped-call]
        received = list[list[str]]()
        client.send(Command(("show", "info")), Command(("set", "server", "x/y z"))).addCallback(
            received.append
        )
        server.dataReceived(transport.value())
        client.dataReceived(server_transport.value())
        self.assertEqual(received, [["Name: x\n", "No such server.\n"]])
        self.assertEqual(client.waiting(), 0)

    def test_a_server_that_does_not_answer_is_disconnected_and_its_commands_fail(self) -> None:
        client, transport = RuntimeClient(self.clock, 2.0), StringTransport()
        client.makeConnection(transport)  # type: ignore[no-untyped-call]
        failures = list[Any]()
        client.send(Command(("show", "info"))).addErrback(lambda f: failures.append(f.type))
        assert client.greeting is not None
        client.greeting.addErrback(lambda f: None)
        self.clock.advance(3)
        self.assertTrue(transport.disconnected)
        client.connectionLost()
        self.assertEqual(failures, [NoAnswer])


if __name__ == "__main__":
    unittest.main()
