"""A blocking client of runtime sockets, for the command line and the trials."""

from __future__ import annotations

import socket
from typing import Protocol

from rushladder.runtime.grammar import AnswerParser, Command, encode_commands


class Endpoint(Protocol):
    """Where a runtime socket listens: a path, or else an address and port."""

    @property
    def path(self) -> str: ...

    @property
    def host(self) -> str: ...

    @property
    def port(self) -> int: ...


def send_commands(where: Endpoint, todo: list[Command], patience: float) -> list[str]:
    """The answers of a runtime socket to the commands. Raises OSError if it can't be reached or falls
    silent."""
    with socket.socket(socket.AF_UNIX if where.path else socket.AF_INET) as wire:
        wire.settimeout(patience)
        wire.connect(where.path or (where.host, where.port))
        parser, answers = AnswerParser(), list[str]()
        wire.sendall(encode_commands([Command(("prompt",))]))
        for command in todo:
            wire.sendall(encode_commands([command]))
        while len(answers) < len(todo) + 1:
            data = wire.recv(65_536)
            if not data:
                raise ConnectionError("closed before all answers came")
            answers += parser.feed(data)
        return answers[1:]
