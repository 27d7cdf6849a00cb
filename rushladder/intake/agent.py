"""Parser for the answers of HAProxy agent checks. Reference: `agent-check` in HAProxy's configuration manual.

An answer is one line of words separated by blanks, tabs or commas: a weight (`75%`), an administrative state
(`ready`, `drain`, `maint`), an operational state (`up`, `down`, `failed`, `stopped`), `maxconn:N`. Text after
`#` is a description. Performs no I/O.
"""

from __future__ import annotations

import re

import attrs

MAX_ANSWER_BYTES = 256  # a weight, two states and a short description
OPERATIONAL_STATES = {"up": True, "down": False, "failed": False, "stopped": False, "fail": False}
ADMIN_STATES = ("ready", "drain", "maint")


@attrs.frozen
class AgentStatus:
    """The contents of an answer. None stands for what it did not mention.

    weight: as a fraction of the configured weight; why: the description.
    """

    weight: float | None = None
    admin: str | None = None
    up: bool | None = None
    connections: int | None = None
    why: str = ""


class InvalidAgentAnswer(ValueError):
    """The answer is too long or contains a word that the manual does not define."""


def parse_agent_answer(data: bytes) -> AgentStatus:
    """Parses the first line of an answer. Raises InvalidAgentAnswer; no part of such an answer is used."""
    if len(data) > MAX_ANSWER_BYTES:
        raise InvalidAgentAnswer(f"an answer of {len(data)} bytes; at most {MAX_ANSWER_BYTES} are allowed")
    line = re.split(rb"[\r\n]", data, maxsplit=1)[0].decode(errors="replace")
    text, _, description = line.partition("#")
    fields: dict[str, object] = {"why": description.strip()}
    for word in re.split(r"[ \t,]+", text.strip()):
        lower = word.lower()
        if not lower:
            continue
        if re.fullmatch(r"\d{1,3}%", lower) and int(lower[:-1]) <= 256:
            fields["weight"] = int(lower[:-1]) / 100
        elif lower in ADMIN_STATES:
            fields["admin"] = lower
        elif lower in OPERATIONAL_STATES:
            fields["up"] = OPERATIONAL_STATES[lower]
        elif re.fullmatch(r"maxconn:\d{1,7}", lower):
            fields["connections"] = int(lower[8:])
        else:
            raise InvalidAgentAnswer(f"unknown word '{word[:40]}'")
    return AgentStatus(**fields)  # type: ignore[arg-type]
