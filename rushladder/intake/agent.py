"""HAProxy's agent-check text, read. Source: the configuration manual, `agent-check`. Free of I/O.

One line of words parted by blanks, tabs or commas: a weight (`75%`), an administrative state (`ready`,
`drain`, `maint`), a health (`up`, `down`, `failed`, `stopped`), a `maxconn:N`; what stands behind `#`
describes it.
"""

from __future__ import annotations

import re

import attrs

LONGEST = 256  # bytes: a weight, two states and a short description
HEALTHS = {"up": True, "down": False, "failed": False, "stopped": False, "fail": False}
ADMINS = ("ready", "drain", "maint")


@attrs.frozen
class AgentStatus:
    """What one answer said; None where it said nothing. weight: part of the listed one."""

    weight: float | None = None
    admin: str | None = None
    up: bool | None = None
    connections: int | None = None
    why: str = ""


class InvalidAgentAnswer(ValueError):
    """An answer that holds a word the manual does not."""


def read_agent(data: bytes) -> AgentStatus:
    """The first line of an answer. Raises Unclear, with the word; nothing of such an answer counts."""
    if len(data) > LONGEST:
        raise InvalidAgentAnswer(f"an answer of {len(data)} bytes; {LONGEST} are allowed")
    line = re.split(rb"[\r\n]", data, maxsplit=1)[0].decode(errors="replace")
    text, _, why = line.partition("#")
    said: dict[str, object] = {"why": why.strip()}
    for word in re.split(r"[ \t,]+", text.strip()):
        low = word.lower()
        if not low:
            continue
        if re.fullmatch(r"\d{1,3}%", low) and int(low[:-1]) <= 256:
            said["weight"] = int(low[:-1]) / 100
        elif low in ADMINS:
            said["admin"] = low
        elif low in HEALTHS:
            said["up"] = HEALTHS[low]
        elif re.fullmatch(r"maxconn:\d{1,7}", low):
            said["connections"] = int(low[8:])
        else:
            raise InvalidAgentAnswer(f"the word '{word[:40]}'")
    return AgentStatus(**said)  # type: ignore[arg-type]
