"""A blocking client for runtime sockets, used by the command line and the trials."""

from __future__ import annotations

import socket
from typing import Protocol

from rushladder.runtime.grammar import AnswerParser, Command, encode_commands


class Endpoint(Protocol):
    """Where a runtime socket listens: a UNIX socket path, or a host and port."""

    @property
    def path(self) -> str: ...

    @property
    def host(self) -> str: ...

    @property
    def port(self) -> int: ...


def send_commands(endpoint: Endpoint, commands: list[Command], timeout: float) -> list[str]:
    """Sends commands to a runtime socket and returns their answers in order.

    Raises OSError if the socket can't be reached or does not answer within the timeout (seconds).
    """
    with socket.socket(socket.AF_UNIX if endpoint.path else socket.AF_INET) as connection:
        connection.settimeout(timeout)
        connection.connect(endpoint.path or (endpoint.host, endpoint.port))
        parser, answers = AnswerParser(), list[str]()
        connection.sendall(encode_commands([Command(("prompt",))]))
        for command in commands:
            connection.sendall(encode_commands([command]))
        while len(answers) < len(commands) + 1:
            data = connection.recv(65_536)
            if not data:
                raise ConnectionError("connection closed before all answers arrived")
            answers += parser.feed(data)
        return answers[1:]
