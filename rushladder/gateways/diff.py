"""Computes the commands that bring a gateway from its current to its desired content.

Every intermediate state is safe: additions precede removals, so that no pool is empty at any step (rule 1),
and cold servers are raised last, when the warm ones already carry their shares (rule 4). All commands set
absolute values, so repeating one is harmless.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import attrs

from rushladder.runtime.grammar import Command, parse_table

Key = tuple[str, str]  # backend, server


class AdminState(Enum):
    """The administrative state of a server, as `set server ... state` takes it."""

    READY = "ready"
    DRAIN = "drain"
    MAINT = "maint"


@attrs.frozen
class Line:
    """One server of a backend in the current or desired content of a gateway."""

    address: str  # ADDRESS:PORT
    weight: int
    admin: AdminState


@attrs.define
class GatewayContent:
    """The content of a gateway: its lines, and its two maps as last committed."""

    lines: dict[Key, Line] = attrs.field(factory=dict)
    maps: dict[str, dict[str, str]] = attrs.field(factory=dict)


# Bits of srv_admin_state: forced, inherited, and from the configuration.
MAINT_BITS, DRAIN_BITS = 0x01 | 0x02 | 0x04 | 0x20 | 0x40, 0x08 | 0x10


def read_lines(answer: str) -> dict[Key, Line]:
    """Parses the answer to `show servers state`. Rows with missing or invalid columns are skipped."""
    lines = dict[Key, Line]()
    for row in parse_table(answer, None):
        try:
            bits = int(row["srv_admin_state"])
            admin = (
                AdminState.MAINT
                if bits & MAINT_BITS
                else AdminState.DRAIN
                if bits & DRAIN_BITS
                else AdminState.READY
            )
            lines[row["be_name"], row["srv_name"]] = Line(
                f"{row['srv_addr']}:{row['srv_port']}", int(row["srv_uweight"]), admin
            )
        except (KeyError, ValueError):
            continue
    return lines


def read_map(answer: str) -> dict[str, str]:
    """Parses the answer to `show map NAME`: each line has a reference, a key and a value."""
    rows = (line.split(None, 2) for line in answer.splitlines())
    return {row[1]: row[2] for row in rows if len(row) == 3}


def server_commands(
    held: Mapping[Key, Line], wanted: Mapping[Key, Line], cold: Collection[str]
) -> list[Command]:
    """The commands that set the wanted keys to their lines; other keys are left unchanged.

    cold: the servers that are raised last. A missing line is only added if it is to receive traffic.
    """
    adds, raises, drains, lowers, cold_raises = (list[Command]() for _ in range(5))
    # The backends that keep a warm line throughout. In others, raising the cold lines last would leave the
    # pool empty in between.
    served = {
        key[0]
        for lines in (wanted, held)
        for key, line in lines.items()
        if line.weight
        and line.admin is AdminState.READY
        and key[1] not in cold
        and wanted.get(key, line) == line
    }
    for key, line in wanted.items():
        current, name = held.get(key), "/".join(key)
        if current is None:
            if not line.weight or line.admin is not AdminState.READY:
                continue
            # A server is added in maintenance mode with weight 0, so it gets no traffic before it is enabled.
            adds.append(Command(("add", "server", name, line.address, "weight", "0")))
            current = Line(line.address, 0, AdminState.MAINT)
        elif current.address != line.address:
            host, port = line.address.rsplit(":", 1)
            adds.append(Command(("set", "server", name, "addr", host, "port", port)))
        weight = Command(("set", "server", name, "weight", str(line.weight)))
        state = Command(("set", "server", name, "state", line.admin.value))
        raised = line.weight > current.weight
        if line.admin is not AdminState.READY:
            drains += [state] if line.admin is not current.admin else []
            lowers += [weight] if line.weight != current.weight else []
        else:
            group = cold_raises if key[1] in cold and key[0] in served else raises
            if line.weight != current.weight:
                (group if raised or current.admin is not AdminState.READY else lowers).append(weight)
            group += [state] if current.admin is not AdminState.READY else []
    return adds + raises + drains + lowers + cold_raises


def sweep_commands(held: Mapping[Key, Line], listed: Collection[str], used: Collection[Key]) -> list[Command]:
    """The commands that remove servers which are neither listed nor used by a table.

    A server is first put in maintenance mode and deleted in a later sweep: a gateway refuses to delete one
    that still has connections, and a server that was just drained may have txns in progress. Other servers
    are left unchanged.
    """
    commands = list[Command]()
    for key, line in held.items():
        if key[1] in listed or key in used or line.weight:
            continue
        name = "/".join(key)
        if line.admin is AdminState.MAINT:
            commands.append(Command(("del", "server", name)))
        else:
            commands.append(Command(("set", "server", name, "state", "maint")))
    return commands


def map_commands(name: str, version: str, entries: Mapping[str, str]) -> list[Command]:
    """The commands that fill a prepared version of a map and commit it, which replaces the map atomically."""
    return [Command(("add", "map", f"@{version}", name, key, value)) for key, value in entries.items()] + [
        Command(("commit", "map", f"@{version}", name))
    ]


def apply_commands(held: dict[Key, Line], commands: Iterable[Command]) -> None:
    """Records the effect of successful commands in `held`."""
    for command in commands:
        words = command.words
        if words[:2] not in (("set", "server"), ("add", "server"), ("del", "server")):
            continue
        backend, _, server = words[2].partition("/")
        key = backend, server
        if words[0] == "add":
            held[key] = Line(words[3], 0, AdminState.MAINT)
        elif words[0] == "del":
            held.pop(key, None)
        elif key in held and words[3] == "weight":
            held[key] = attrs.evolve(held[key], weight=int(words[4]))
        elif key in held and words[3] == "state":
            held[key] = attrs.evolve(held[key], admin=AdminState(words[4]))
        elif key in held and words[3] == "addr":
            held[key] = attrs.evolve(held[key], address=f"{words[4]}:{words[6]}")
