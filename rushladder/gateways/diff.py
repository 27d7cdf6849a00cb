"""From what a gateway holds to what it should hold: the commands between the two, in an order that is safe
at each step.

What adds goes before what takes away, so that a pool is empty at no step (rule 1); what is cold is raised
last, when the others carry their parts already (rule 4). Every command names the wanted state, so that
repeating it is harmless.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import attrs

from rushladder.runtime.grammar import Command, parse_table

Key = tuple[str, str]  # backend, server


class AdminState(Enum):
    READY = "ready"
    DRAIN = "drain"
    MAINT = "maint"


@attrs.frozen
class Line:
    """One server of one backend, as the gateway holds it or should hold it."""

    address: str  # ADDRESS:PORT
    weight: int
    admin: AdminState


@attrs.define
class GatewayContent:
    """What a gateway holds: its lines, and the two maps as they were last committed."""

    lines: dict[Key, Line] = attrs.field(factory=dict)
    maps: dict[str, dict[str, str]] = attrs.field(factory=dict)


MAINT_BITS, DRAIN_BITS = (
    0x01 | 0x02 | 0x04 | 0x20 | 0x40,
    0x08 | 0x10,
)  # srv_admin_state: forced, inherited, by config


def read_lines(answer: str) -> dict[Key, Line]:
    """The lines of `show servers state`. Rows that lack a column are passed over."""
    found = dict[Key, Line]()
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
            found[row["be_name"], row["srv_name"]] = Line(
                f"{row['srv_addr']}:{row['srv_port']}", int(row["srv_uweight"]), admin
            )
        except (KeyError, ValueError):
            continue
    return found


def read_map(answer: str) -> dict[str, str]:
    """The entries of `show map NAME`: a reference, a key and a value a line."""
    rows = (line.split(None, 2) for line in answer.splitlines())
    return {row[1]: row[2] for row in rows if len(row) == 3}


def server_commands(
    held: Mapping[Key, Line], wanted: Mapping[Key, Line], cold: Collection[str]
) -> list[Command]:
    """The commands that bring the wanted keys to their lines; keys that are not wanted stay as they are.

    cold: the servers that are raised last. A line that is not there yet is only added if it is to carry
    something.
    """
    adds, ups, drains, downs, late = (list[Command]() for _ in range(5))
    # Where nothing warm will carry a pool, its cold lines can't wait for the end: it would be empty
    # meanwhile.
    carried = {
        key[0]
        for lines in (wanted, held)
        for key, line in lines.items()
        if line.weight
        and line.admin is AdminState.READY
        and key[1] not in cold
        and wanted.get(key, line) == line
    }
    for key, line in wanted.items():
        have, name = held.get(key), "/".join(key)
        if have is None:
            if not line.weight or line.admin is not AdminState.READY:
                continue
            # A server that is added starts in maintenance with weight 0: it carries nothing before it is
            # released.
            adds.append(Command(("add", "server", name, line.address, "weight", "0")))
            have = Line(line.address, 0, AdminState.MAINT)
        elif have.address != line.address:
            host, port = line.address.rsplit(":", 1)
            adds.append(Command(("set", "server", name, "addr", host, "port", port)))
        weight = Command(("set", "server", name, "weight", str(line.weight)))
        state = Command(("set", "server", name, "state", line.admin.value))
        rises = line.weight > have.weight
        if line.admin is not AdminState.READY:
            drains += [state] if line.admin is not have.admin else []
            downs += [weight] if line.weight != have.weight else []
        else:
            group = late if key[1] in cold and key[0] in carried else ups
            if line.weight != have.weight:
                (group if rises or have.admin is not AdminState.READY else downs).append(weight)
            group += [state] if have.admin is not AdminState.READY else []
    return adds + ups + drains + downs + late


def sweep_commands(held: Mapping[Key, Line], listed: Collection[str], used: Collection[Key]) -> list[Command]:
    """Takes servers that nobody lists any more, and no table uses, out of a gateway: first maintenance,
    then away.

    Two steps in two readings: a gateway refuses to delete a server that still has connections, and one that
    was only just drained may have txns in hand. Backends' other servers are left alone.
    """
    found = list[Command]()
    for key, line in held.items():
        if key[1] in listed or key in used or line.weight:
            continue
        name = "/".join(key)
        if line.admin is AdminState.MAINT:
            found.append(Command(("del", "server", name)))
        else:
            found.append(Command(("set", "server", name, "state", "maint")))
    return found


def map_commands(name: str, version: str, entries: Mapping[str, str]) -> list[Command]:
    """A map's new content, applied in one step: entries of a prepared version, and its commit."""
    return [Command(("add", "map", f"@{version}", name, key, value)) for key, value in entries.items()] + [
        Command(("commit", "map", f"@{version}", name))
    ]


def apply_commands(held: dict[Key, Line], commands: Iterable[Command]) -> None:
    """Notes in `held` what answered commands have changed."""
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
