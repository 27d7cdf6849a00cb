"""Stories of the runtime socket's grammar and endpoints, over in-memory transports and a virtual clock."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from rushladder.runtime.endpoint import (
    Level,
    CommandRefused,
    RuntimeClient,
    RuntimeFactory,
    RuntimeServer,
    NoAnswer,
    CommandSpec,
    CommandTable,
)
from rushladder.runtime.grammar import (
    AnswerParser,
    AnswerTooLong,
    Command,
    CommandParser,
    Overlong,
    Request,
    format_csv,
    parse_fields,
    split_commands,
    parse_table,
    encode_commands,
)

words = st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), min_size=1, max_size=12)
rows = st.lists(words, max_size=4).map(tuple)
lines = st.lists(
    st.lists(words, min_size=1, max_size=4).map(lambda w: Command(tuple(w))), min_size=1, max_size=3
)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    at = sorted({place % (len(data) + 1) for place in places})
    return [data[a:b] for a, b in zip([0, *at], [*at, len(data)], strict=True)]


class GrammarStories(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lines, rows, st.booleans(), st.lists(st.integers(0, 400), max_size=6))
    def test_commands_come_back_however_the_bytes_are_cut(
        self, commands: list[Command], payload: tuple[str, ...], has: bool, places: list[int]
    ) -> None:
        last = commands[-1].words[-1]
        if last.startswith("<<") or " <<" in last:  # a word that opens a payload can't end a line
            return
        if has:
            commands = [*commands[:-1], Command(commands[-1].words, payload)]
        data = encode_commands(commands)
        parser, found = CommandParser(), list[Request | Overlong]()
        for part in cut(data, places):
            found += parser.feed(part)
        self.assertEqual(found, [Request(tuple(commands))])

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=5))
    def test_any_bytes_give_the_same_requests_however_they_are_cut(
        self, data: bytes, places: list[int]
    ) -> None:
        whole = CommandParser(60, 100)
        parts, found = CommandParser(60, 100), list[Request | Overlong]()
        for part in cut(data, places):
            found += parts.feed(part)
        self.assertEqual(found, whole.feed(data))

    def test_an_overlong_line_is_told_once_and_the_next_is_read(self) -> None:
        parser = CommandParser(20)
        found = [
            item for part in (b"x" * 15, b"y" * 30, b"z" * 90, b"\nshow info\n") for item in parser.feed(part)
        ]
        self.assertEqual(found, [Overlong("line", 20), Request((Command(("show", "info")),))])

    def test_an_overlong_payload_is_told_once_and_the_next_line_is_read(self) -> None:
        found = CommandParser(100, 20).feed(b"add map m <<\n" + b"key value\n" * 9 + b"\nshow info\n")
        self.assertEqual(found, [Overlong("payload", 20), Request((Command(("show", "info")),))])

    def test_escapes_and_joined_commands(self) -> None:
        self.assertEqual(split_commands(r"a b\ c;;d\;e ; f\\"), (("a", "b c"), ("d;e",), ("f\\",)))

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.lists(words.filter(lambda w: w[0] not in ">+"), max_size=3), min_size=1, max_size=4),
        st.lists(st.integers(0, 200), max_size=5),
    )
    def test_answers_come_back_however_the_bytes_are_cut(
        self, answers: list[list[str]], places: list[int]
    ) -> None:
        texts = ["".join(line + "\n" for line in answer) for answer in answers]
        data = "".join(text + "\n> " for text in texts).encode()
        parser, found = AnswerParser(), list[str]()
        for part in cut(data, places):
            found += parser.feed(part)
        self.assertEqual(found, texts)

    def test_an_answer_of_megabytes_ends_the_connection(self) -> None:
        parser = AnswerParser(1000)
        with self.assertRaises(AnswerTooLong):
            for _ in range(300):
                parser.feed(b"garbage")

    def test_tables_are_read_by_column_name(self) -> None:
        text = format_csv(("pxname", "svname", "stot"), [("collect", "c1", 5)])
        self.assertEqual(parse_table(text), [{"pxname": "collect", "svname": "c1", "stot": "5"}])
        self.assertEqual(
            parse_table("1\n# be_name srv_name\nb s\n", None), [{"be_name": "b", "srv_name": "s"}]
        )
        self.assertEqual(parse_table("nothing of a table"), [])
        self.assertEqual(parse_fields("Name: x\nUptime_sec: 4\n"), {"Name": "x", "Uptime_sec": "4"})


class EndpointStories(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.later = Clock(), Deferred[str]()

        async def slow(command: Command, level: Level) -> str:
            return await self.later

        def refuse(command: Command, level: Level) -> str:
            raise CommandRefused("No such server.")

        self.verbs = CommandTable(
            [
                CommandSpec(("show", "info"), Level.USER, "show info : facts", lambda c, v: "Name: x\n"),
                CommandSpec(("show", "slow"), Level.USER, "show slow : later", slow),
                CommandSpec(("set", "server"), Level.ADMIN, "set server B/S ...", refuse),
            ]
        )

    def server(self, level: Level = Level.ADMIN) -> tuple[RuntimeServer, Any]:
        server, wire = RuntimeServer(self.verbs, level, self.clock), StringTransport()
        server.makeConnection(wire)  # type: ignore[no-untyped-call]
        return server, wire

    def test_one_line_is_answered_and_the_connection_closed(self) -> None:
        server, wire = self.server()
        server.dataReceived(b"show info;set server a/b weight 1\n")
        self.assertEqual(wire.value(), b"Name: x\n\nNo such server.\n\n")
        self.assertTrue(wire.disconnecting)

    def test_interactive_answers_keep_the_order_behind_a_slow_one(self) -> None:
        server, wire = self.server()
        server.dataReceived(b"prompt\nshow slow\nshow info\n")
        self.assertEqual(wire.value(), b"\n> ")
        self.later.callback("done")
        self.assertEqual(wire.value(), b"\n> done\n\n> Name: x\n\n> ")

    def test_levels_and_unknown_commands(self) -> None:
        server, wire = self.server(Level.USER)
        server.dataReceived(b"prompt;set server a/b weight 1;sing\n")
        self.assertIn(b"Permission denied", wire.value())
        self.assertIn(b"Unknown command: 'sing'", wire.value())

    def test_a_client_that_does_not_read_is_paused_and_in_the_end_dropped(self) -> None:
        server, wire = self.server()
        server.dataReceived(b"prompt\n")
        server.pauseProducing()
        server.dataReceived(b"show info\n")
        self.assertNotIn(b"Name", wire.value())
        self.assertEqual(wire.producerState, "paused")
        self.clock.advance(30)
        self.assertTrue(wire.disconnected)

    def test_commands_that_pile_up_behind_a_slow_one_end_the_connection(self) -> None:
        server, wire = self.server()
        server.dataReceived(b"prompt\nshow slow\n")
        for _ in range(30):
            server.dataReceived(b"show info\n" * 1000)
            if wire.disconnected:
                break
        self.assertTrue(wire.disconnected)

    def test_connections_over_the_bound_are_turned_away(self) -> None:
        factory = RuntimeFactory(self.verbs, Level.USER, self.clock, max_connections=1)
        first = factory.buildProtocol(None)
        assert first is not None
        self.assertIsNone(factory.buildProtocol(None))
        first.makeConnection(StringTransport())
        first.connectionLost()
        self.assertIsNotNone(factory.buildProtocol(None))

    def test_a_client_meets_a_server(self) -> None:
        server, out = self.server()
        client, wire = RuntimeClient(self.clock, 2.0), StringTransport()
        client.makeConnection(wire)  # type: ignore[no-untyped-call]
        got = list[list[str]]()
        client.send(Command(("show", "info")), Command(("set", "server", "x/y z"))).addCallback(got.append)
        server.dataReceived(wire.value())
        client.dataReceived(out.value())
        self.assertEqual(got, [["Name: x\n", "No such server.\n"]])
        self.assertEqual(client.waiting(), 0)

    def test_a_silent_server_is_dropped_and_every_question_fails(self) -> None:
        client, wire = RuntimeClient(self.clock, 2.0), StringTransport()
        client.makeConnection(wire)  # type: ignore[no-untyped-call]
        failed = list[Any]()
        client.send(Command(("show", "info"))).addErrback(lambda f: failed.append(f.type))
        assert client.greeting is not None
        client.greeting.addErrback(lambda f: None)
        self.clock.advance(3)
        self.assertTrue(wire.disconnected)
        client.connectionLost()
        self.assertEqual(failed, [NoAnswer])


if __name__ == "__main__":
    unittest.main()
