"""The format of a day file: the nodes and products of a trial, and the events that happen to them.

    day NAME                        one section: `length TIME`, `seed N`, `load RATE/s`, `plan LINE...`,
                                    `memory none|kept|wrong`
    product NAME                    directives of the manager's configuration, and `share PART`, `work TIME`
    manager NAME / gateway NAME     `region NAME`
    collector NAME                  `region NAME`, `cores N`, `speed X`, `size X`, `model NAME`, `absent`
    resolvers NAME                  a population: `region NAME`, `many N`, `zipf X`, `load RATE/s`, `ignore N`
    events                          lines of `at TIME WHO NAMES WHAT ... [for TIME]`

`plan` lines are copied verbatim into every manager's section.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from rushladder.conf.grammar import (
    PER_MS,
    Diagnostic,
    InvalidConfig,
    InvalidValue,
    Line,
    duration,
    integer,
    name,
    number,
    one_of,
    percentage,
    read_lines,
)

PER_S = 1000 * PER_MS
# What managers remember across restarts: the list alone (none); also what they learned (kept); or that too,
# and the day starts with day-old memories of a fleet in which the fast collectors were slow (wrong).
MEMORIES = {mode: mode for mode in ("none", "kept", "wrong")}
REPORTS = {mode: mode for mode in ("true", "idle", "stuck", "flood")}
SECTIONS = ("day", "product", "manager", "gateway", "collector", "resolvers", "events")
# Target kind -> action -> number of arguments, and whether the action may be limited with `for TIME`.
EVENT_ACTIONS: dict[str, dict[str, tuple[int, bool]]] = {
    "load": {
        "times": (1, True),
        "heavy": (2, True),
        "patience": (1, True),
        "shift": (2, False),
        "hot": (2, True),
    },
    "collector": {
        "crash": (0, True),
        "flap": (1, True),
        "slow": (1, True),
        "ageing": (1, True),
        "fail": (1, True),
        "hang": (0, True),
        "handshake": (1, True),
        "drain": (0, False),
        "ready": (0, False),
        "maint": (0, False),
        "weight": (1, False),
        "join": (0, False),
        "release": (1, False),
    },
    "gateway": {
        "kill": (0, True),
        "stall": (0, True),
        "break": (0, False),
        "unmanaged": (0, True),
        "blind": (1, True),
    },
    "manager": {"kill": (0, True), "stall": (0, True)},
    "region": {"cut": (0, True)},
    "operator": {"says": (1, False)},
}


def seconds(text: str) -> float:
    """A time with its unit, in seconds; raises InvalidValue."""
    return duration(text) / PER_S


@attrs.frozen
class ProductSpec:
    """A product: its directives in the manager's configuration, and how clients request it (seconds)."""

    name: str
    directives: tuple[tuple[str, ...], ...]
    share: float
    work: float
    sla: float
    expiry: float
    revenue: float
    late: float
    repeat: str


@attrs.frozen
class NodeSpec:
    """A manager, gateway or collector of the day; cores to reports are of collectors alone."""

    name: str
    region: str
    cores: int = 4
    speed: float = 1.0
    size: float = 1.0
    model: str = "any"
    absent: bool = False
    reports: str = ""  # how it reports its load: true, idle, stuck or flood; empty: not at all


@attrs.frozen
class ResolverPopulation:
    """Resolvers of a region. The k-th one's share of the load is proportional to 1/k^zipf; the last `ignore`
    of them keep answers for ten times their TTL."""

    name: str
    region: str
    count: int
    zipf: float
    load: float
    ignore: int


@attrs.frozen
class Event:
    """An action on targets of one kind, at a second of the day, for `duration` seconds or for good (0)."""

    at: float
    target_kind: str
    targets: tuple[str, ...]
    action: str
    arguments: tuple[str, ...]
    duration: float
    line: int


@attrs.frozen
class Day:
    """A parsed day file; times in seconds."""

    name: str
    length: float
    seed: int
    load: float
    plan: tuple[tuple[str, ...], ...]
    products: tuple[ProductSpec, ...]
    managers: tuple[NodeSpec, ...]
    gateways: tuple[NodeSpec, ...]
    collectors: tuple[NodeSpec, ...]
    events: tuple[Event, ...]
    resolvers: tuple[ResolverPopulation, ...] = ()
    dns: tuple[tuple[str, ...], ...] = ()  # lines of every manager's dns section
    memory: str = "none"

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions of all nodes, in order of appearance."""
        return tuple(
            dict.fromkeys(node.region for node in (*self.managers, *self.gateways, *self.collectors))
        )

    def plan_value(self, directive: str, option: str = "", default: str = "") -> str:
        """An argument of a plan line: the first one, or the one after the option's keyword."""
        for words in self.plan:
            if words[0] == directive:
                return words[words.index(option) + 1] if option and option in words else words[1]
        return default


def read_day(text: str, file: str) -> Day:
    """Parses a day file. Raises InvalidConfig with every error as file:line."""
    errors, sections = list[Diagnostic](), list[tuple[Line, list[Line]]]()
    raw = text.splitlines()
    for line in read_lines(text, file, errors):
        if line.words[0] in SECTIONS and not raw[line.number - 1][:1].isspace():
            sections.append((line, []))
        elif sections:
            sections[-1][1].append(line)
        else:
            errors.append(
                Diagnostic(
                    file, line.number, f"stands outside of a section; {', '.join(SECTIONS)} are allowed"
                )
            )
    builder = _DayBuilder(file, errors)
    for head, lines in sections:
        builder.section(head, lines)
    if "length" not in builder.values and not errors:
        errors.append(Diagnostic(file, 1, "no day section with a length; one is required"))
    if errors:
        raise InvalidConfig(errors)
    return builder.day()


class _DayBuilder:
    """Collects the sections of a day file and the errors found in them."""

    def __init__(self, file: str, errors: list[Diagnostic]) -> None:
        self._file, self._errors = file, errors
        self.values: dict[str, str] = {}
        self.plan, self.dns = list[tuple[str, ...]](), list[tuple[str, ...]]()
        self.resolvers = list[ResolverPopulation]()
        self.nodes: dict[str, list[NodeSpec]] = {"manager": [], "gateway": [], "collector": []}
        self.products, self.events = list[ProductSpec](), list[Event]()

    def add_error(self, line: Line, message: str) -> None:
        self._errors.append(Diagnostic(self._file, line.number, message))

    def section(self, head: Line, lines: Sequence[Line]) -> None:
        kind = head.words[0]
        if len(head.words) != (1 if kind == "events" else 2):
            return self.add_error(head, f"'{kind}' takes {'no name' if kind == 'events' else 'one name'}")
        try:
            if kind == "day":
                self.values["name"] = name(head.words[1])
                for line in lines:
                    self._day(line)
            elif kind == "events":
                for line in lines:
                    self._event(line)
            elif kind == "resolvers":
                self._population(head.words[1], lines)
            elif kind == "product":
                self._product(head.words[1], lines)
            else:
                self._node(kind, head.words[1], lines)
        except (InvalidValue, IndexError, KeyError) as error:
            self.add_error(head, f"{kind}: {error if isinstance(error, InvalidValue) else f'lacks {error}'}")

    def _day(self, line: Line) -> None:
        if line.words[0] == "plan":
            self.plan.append(line.words[1:])
        elif line.words[0] == "dns":
            self.dns.append(line.words[1:])
        elif line.words[0] == "memory" and len(line.words) == 2:
            self.values["memory"] = one_of(MEMORIES)(line.words[1])
        elif line.words[0] in ("length", "seed", "load") and len(line.words) == 2:
            self.values[line.words[0]] = line.words[1]
        else:
            self.add_error(
                line,
                f"'{line.words[0]}' is unknown here; length, seed, load, memory, plan and dns are allowed",
            )

    def _product(self, title: str, lines: Sequence[Line]) -> None:
        options = {line.words[0]: line.words[1:] for line in lines}
        directives = tuple(line.words for line in lines if line.words[0] not in ("share", "work"))
        self.products.append(
            ProductSpec(
                name(title),
                directives,
                percentage(options["share"][0]),
                duration(options["work"][0]) / PER_S,
                duration(options["sla"][0]) / PER_S,
                duration(options["expiry"][0]) / PER_S,
                float(options["revenue"][0]),
                percentage(options.get("late", ("0%",))[0]),
                options["repeat"][0],
            )
        )

    def _population(self, title: str, lines: Sequence[Line]) -> None:
        options = {line.words[0]: (*line.words[1:], "") for line in lines}
        for line in lines:
            if line.words[0] not in ("region", "many", "zipf", "load", "ignore"):
                self.add_error(
                    line,
                    f"'{line.words[0]}' is unknown here; region, many, zipf, load and ignore are allowed",
                )
        self.resolvers.append(
            ResolverPopulation(
                name(title),
                name(options["region"][0]),
                integer(1, 500)(options["many"][0]),
                number(0, 5)(options.get("zipf", ("1",))[0]),
                number(0.1, 1e5, "/s")(options["load"][0]),
                integer(0, 500)(options.get("ignore", ("0",))[0]),
            )
        )

    def _node(self, kind: str, title: str, lines: Sequence[Line]) -> None:
        options = {line.words[0]: (*line.words[1:], "") for line in lines}
        for line in lines:
            if line.words[0] not in ("region", "cores", "speed", "size", "model", "absent", "reports"):
                self.add_error(
                    line,
                    f"'{line.words[0]}' is unknown here; region, cores, speed, size, model and absent "
                    "are allowed",
                )
        self.nodes[kind].append(
            NodeSpec(
                name(title),
                name(options["region"][0]),
                integer(1, 1000)(options.get("cores", ("4",))[0]),
                number(0.01, 100)(options.get("speed", ("1",))[0]),
                number(0.01, 100)(options.get("size", ("1",))[0]),
                name(options.get("model", ("any",))[0]),
                "absent" in options,
                one_of(REPORTS)(options["reports"][0]) if "reports" in options else "",
            )
        )

    def _event(self, line: Line) -> None:
        words = list(line.words)
        try:
            if words[0] != "at":
                raise InvalidValue(f"'{words[0]}' starts no event; 'at TIME WHO NAMES WHAT' is allowed")
            at, target_kind = duration(words[1]) / PER_S, words[2]
            if target_kind not in EVENT_ACTIONS:
                raise InvalidValue(f"'{target_kind}' is unknown; {', '.join(EVENT_ACTIONS)} are allowed")
            targets = tuple(words[3].split(",")) if target_kind != "load" else ()
            parts = words[3:] if target_kind == "load" else words[4:]
            if not parts or parts[0] not in EVENT_ACTIONS[target_kind]:
                raise InvalidValue(
                    f"unknown action; {', '.join(EVENT_ACTIONS[target_kind])} are allowed for {target_kind}"
                )
            arity, may_end = EVENT_ACTIONS[target_kind][parts[0]]
            arguments, duration_words = (
                tuple(parts[1 : 1 + arity]),
                parts[1 + arity :],
            )
            if len(arguments) < arity or (
                duration_words and (not may_end or duration_words[0] != "for" or len(duration_words) != 2)
            ):
                raise InvalidValue(
                    f"'{parts[0]}' takes {arity} argument(s){' and may end: for TIME' if may_end else ''}"
                )
            event_duration = duration(duration_words[1]) / PER_S if duration_words else 0.0
        except InvalidValue as error:
            return self.add_error(line, str(error))
        except IndexError:
            return self.add_error(
                line, "the event is cut off; 'at TIME WHO NAMES WHAT ... [for TIME]' is allowed"
            )
        self.events.append(Event(at, target_kind, targets, parts[0], arguments, event_duration, line.number))

    def day(self) -> Day:
        return Day(
            self.values["name"],
            duration(self.values["length"]) / PER_S,
            int(self.values.get("seed", "1")),
            number(0.1, 1e5, "/s")(self.values.get("load", "30/s")),
            tuple(self.plan),
            tuple(self.products),
            tuple(self.nodes["manager"]),
            tuple(self.nodes["gateway"]),
            tuple(self.nodes["collector"]),
            tuple(sorted(self.events, key=lambda event: event.at)),
            tuple(self.resolvers),
            tuple(self.dns),
            self.values.get("memory", "none"),
        )
