"""Throughput of the runtime socket's grammar on the server and the client side: several commands joined in a
line against one command per line."""

from __future__ import annotations

import time

from rushladder.runtime.grammar import AnswerParser, Command, CommandParser, encode_commands

OPERATIONS = 60_000


def per_second(count: int, started: float) -> float:
    return count / (time.process_time() - started)


def parse_rate(commands_per_line: int) -> float:
    """Commands per second that the server side parses."""
    commands = [
        Command(("set", "server", f"collect/c{k % 99}", "weight", str(k % 257))) for k in range(OPERATIONS)
    ]
    data = b"".join(
        encode_commands(commands[k : k + commands_per_line]) for k in range(0, OPERATIONS, commands_per_line)
    )
    parser, count, started = CommandParser(), 0, time.process_time()
    for offset in range(0, len(data), 8192):
        count += sum(
            len(getattr(request, "commands", ())) for request in parser.feed(data[offset : offset + 8192])
        )
    assert count == OPERATIONS
    return per_second(OPERATIONS, started)


def encode_rate(commands_per_line: int) -> float:
    """Commands per second that the client side encodes."""
    commands = [
        Command(("set", "server", f"collect/c{k % 99}", "weight", str(k % 257))) for k in range(OPERATIONS)
    ]
    started = time.process_time()
    for offset in range(0, OPERATIONS, commands_per_line):
        encode_commands(commands[offset : offset + commands_per_line])
    return per_second(OPERATIONS, started)


def answer_rate() -> float:
    """Answers per second that the client side parses."""
    data, parser, count, started = b"\n> " * OPERATIONS, AnswerParser(), 0, time.process_time()
    for offset in range(0, len(data), 8192):
        count += len(parser.feed(data[offset : offset + 8192]))
    assert count == OPERATIONS
    return per_second(OPERATIONS, started)


def main() -> None:
    single, joined = parse_rate(1), parse_rate(60)
    print("| operation | one command per line | 60 per line | ratio |")
    print("| --- | --- | --- | --- |")
    print(f"| commands/s parsed by the server | {single:,.0f} | {joined:,.0f} | {joined / single:.2f} |")
    single, joined = encode_rate(1), encode_rate(60)
    print(f"| commands/s encoded by the client | {single:,.0f} | {joined:,.0f} | {joined / single:.2f} |")
    print(f"| answers/s parsed by the client | {answer_rate():,.0f} | | |")


if __name__ == "__main__":
    main()
