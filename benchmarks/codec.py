"""Commands a second through the socket's grammar: server and client side, joined lines against one command
a line."""

from __future__ import annotations

import time

from rushladder.runtime.grammar import AnswerParser, Command, CommandParser, encode_commands

MANY = 60_000


def rate(work: int, began: float) -> float:
    return work / (time.process_time() - began)


def parsed(joined: int) -> float:
    """Commands a second that the server's side reads, `joined` of them in a line."""
    commands = [Command(("set", "server", f"collect/c{k % 99}", "weight", str(k % 257))) for k in range(MANY)]
    data = b"".join(encode_commands(commands[k : k + joined]) for k in range(0, MANY, joined))
    parser, found, began = CommandParser(), 0, time.process_time()
    for place in range(0, len(data), 8192):
        found += sum(
            len(getattr(request, "commands", ())) for request in parser.feed(data[place : place + 8192])
        )
    assert found == MANY
    return rate(MANY, began)


def written(joined: int) -> float:
    """Commands a second that the client's side writes."""
    commands = [Command(("set", "server", f"collect/c{k % 99}", "weight", str(k % 257))) for k in range(MANY)]
    began = time.process_time()
    for place in range(0, MANY, joined):
        encode_commands(commands[place : place + joined])
    return rate(MANY, began)


def answered() -> float:
    """Answers a second that the client's side reads."""
    data, parser, found, began = b"\n> " * MANY, AnswerParser(), 0, time.process_time()
    for place in range(0, len(data), 8192):
        found += len(parser.feed(data[place : place + 8192]))
    assert found == MANY
    return rate(MANY, began)


def main() -> None:
    plain, joined = parsed(1), parsed(60)
    print("| what | one command a line | 60 joined | ratio |")
    print("| --- | --- | --- | --- |")
    print(f"| commands a second read by a server | {plain:,.0f} | {joined:,.0f} | {joined / plain:.2f} |")
    plain, joined = written(1), written(60)
    print(f"| commands a second written by a client | {plain:,.0f} | {joined:,.0f} | {joined / plain:.2f} |")
    print(f"| answers a second read by a client | {answered():,.0f} | | |")


if __name__ == "__main__":
    main()
