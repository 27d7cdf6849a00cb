"""A day as it is written down: who takes part, and what happens when, to whom. Text in, objects out.

    day NAME                        one section: `length TIME`, `seed N`, `load RATE/s`, `plan LINE...`,
                                    `memory none|kept|wrong`
    product NAME                    the manager's directives, and `share PART`, `work TIME`
    manager NAME / gateway NAME     `region NAME`
    collector NAME                  `region NAME`, `cores N`, `speed X`, `size X`, `model NAME`, `absent`
    resolvers NAME                  a population: `region NAME`, `many N`, `zipf X`, `load RATE/s`, `ignore N`
    events                          lines of `at TIME WHO NAMES WHAT ... [for TIME]`

`plan` lines go into every manager's section as they are.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from rushladder.conf.grammar import (
    PER_MS,
    Diagnostic,
    InvalidConfig,
    Line,
    InvalidValue,
    duration,
    name,
    number,
    one_of,
    percentage,
    read_lines,
    integer,
)

PER_S = 1000 * PER_MS
# What managers remember over a restart: the list alone; what they learned; or that too, and at the day's
# start what was learned a day ago in a fleet whose fast ones were slow.
MEMORIES = {how: how for how in ("none", "kept", "wrong")}
REPORTS = {how: how for how in ("true", "idle", "stuck", "flood")}
SECTIONS = ("day", "product", "manager", "gateway", "collector", "resolvers", "events")
# Who -> what can happen to it -> how many arguments, and whether it ends by itself with `for`.
EVENTS: dict[str, dict[str, tuple[int, bool]]] = {
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


def seconds(word: str) -> float:
    """A time with its unit, in seconds; raises Unreadable."""
    return duration(word) / PER_S


@attrs.frozen
class ProductSpec:
    """A product: the manager's own directives as written, and how clients ask for it (seconds)."""

    name: str
    lines: tuple[tuple[str, ...], ...]
    share: float
    work: float
    sla: float
    expiry: float
    revenue: float
    late: float
    repeat: str


@attrs.frozen
class Site:
    name: str
    region: str
    cores: int = 4
    speed: float = 1.0
    size: float = 1.0
    model: str = "any"
    absent: bool = False
    reports: str = ""  # how it tells of its load: true, idle, stuck or flood


@attrs.frozen
class ResolverPopulation:
    """Resolvers of a region, the k-th of which brings a part like 1/k^zipf of the load; the last `ignore`
    of them keep answers ten times as long as they may."""

    name: str
    region: str
    many: int
    zipf: float
    load: float
    ignore: int


@attrs.frozen
class Event:
    """At a second of the day, something happens to some of a kind, for some seconds or for good (0)."""

    at: float
    who: str
    names: tuple[str, ...]
    what: str
    arguments: tuple[str, ...]
    lasts: float
    line: int


@attrs.frozen
class Day:
    name: str
    length: float
    seed: int
    load: float
    plan: tuple[tuple[str, ...], ...]
    products: tuple[ProductSpec, ...]
    managers: tuple[Site, ...]
    gateways: tuple[Site, ...]
    collectors: tuple[Site, ...]
    events: tuple[Event, ...]
    resolvers: tuple[ResolverPopulation, ...] = ()
    dns: tuple[tuple[str, ...], ...] = ()  # lines of every manager's dns section
    memory: str = "none"

    @property
    def regions(self) -> tuple[str, ...]:
        return tuple(
            dict.fromkeys(site.region for site in (*self.managers, *self.gateways, *self.collectors))
        )

    def figure(self, directive: str, option: str = "", otherwise: str = "") -> str:
        """An argument of a plan line: the first, or the one behind an option's keyword."""
        for words in self.plan:
            if words[0] == directive:
                return words[words.index(option) + 1] if option and option in words else words[1]
        return otherwise


def read_day(text: str, file: str) -> Day:
    """Raises Faulty with every fault as file:line."""
    faults, sections = list[Diagnostic](), list[tuple[Line, list[Line]]]()
    raw = text.splitlines()
    for line in read_lines(text, file, faults):
        if line.words[0] in SECTIONS and not raw[line.number - 1][:1].isspace():
            sections.append((line, []))
        elif sections:
            sections[-1][1].append(line)
        else:
            faults.append(
                Diagnostic(
                    file, line.number, f"stands outside of a section; {', '.join(SECTIONS)} are allowed"
                )
            )
    made = _Made(file, faults)
    for head, lines in sections:
        made.section(head, lines)
    if "length" not in made.facts and not faults:
        faults.append(Diagnostic(file, 1, "no day section with a length; one is needed"))
    if faults:
        raise InvalidConfig(faults)
    return made.day()


class _Made:
    def __init__(self, file: str, faults: list[Diagnostic]) -> None:
        self._file, self._faults = file, faults
        self.facts: dict[str, str] = {}
        self.plan, self.dns = list[tuple[str, ...]](), list[tuple[str, ...]]()
        self.resolvers = list[ResolverPopulation]()
        self.sites: dict[str, list[Site]] = {"manager": [], "gateway": [], "collector": []}
        self.products, self.events = list[ProductSpec](), list[Event]()

    def fault(self, line: Line, what: str) -> None:
        self._faults.append(Diagnostic(self._file, line.number, what))

    def section(self, head: Line, lines: Sequence[Line]) -> None:
        kind = head.words[0]
        if len(head.words) != (1 if kind == "events" else 2):
            return self.fault(head, f"'{kind}' takes {'no name' if kind == 'events' else 'one name'}")
        try:
            if kind == "day":
                self.facts["name"] = name(head.words[1])
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
                self._site(kind, head.words[1], lines)
        except (InvalidValue, IndexError, KeyError) as trouble:
            self.fault(
                head, f"{kind}: {trouble if isinstance(trouble, InvalidValue) else f'lacks {trouble}'}"
            )

    def _day(self, line: Line) -> None:
        if line.words[0] == "plan":
            self.plan.append(line.words[1:])
        elif line.words[0] == "dns":
            self.dns.append(line.words[1:])
        elif line.words[0] == "memory" and len(line.words) == 2:
            self.facts["memory"] = one_of(MEMORIES)(line.words[1])
        elif line.words[0] in ("length", "seed", "load") and len(line.words) == 2:
            self.facts[line.words[0]] = line.words[1]
        else:
            self.fault(
                line,
                f"'{line.words[0]}' can't stand here; length, seed, load, memory, plan and dns are allowed",
            )

    def _product(self, title: str, lines: Sequence[Line]) -> None:
        said = {line.words[0]: line.words[1:] for line in lines}
        own = tuple(line.words for line in lines if line.words[0] not in ("share", "work"))
        self.products.append(
            ProductSpec(
                name(title),
                own,
                percentage(said["share"][0]),
                duration(said["work"][0]) / PER_S,
                duration(said["sla"][0]) / PER_S,
                duration(said["expiry"][0]) / PER_S,
                float(said["revenue"][0]),
                percentage(said.get("late", ("0%",))[0]),
                said["repeat"][0],
            )
        )

    def _population(self, title: str, lines: Sequence[Line]) -> None:
        said = {line.words[0]: (*line.words[1:], "") for line in lines}
        for line in lines:
            if line.words[0] not in ("region", "many", "zipf", "load", "ignore"):
                self.fault(
                    line,
                    f"'{line.words[0]}' can't stand here; region, many, zipf, load and ignore are allowed",
                )
        self.resolvers.append(
            ResolverPopulation(
                name(title),
                name(said["region"][0]),
                integer(1, 500)(said["many"][0]),
                number(0, 5)(said.get("zipf", ("1",))[0]),
                number(0.1, 1e5, "/s")(said["load"][0]),
                integer(0, 500)(said.get("ignore", ("0",))[0]),
            )
        )

    def _site(self, kind: str, title: str, lines: Sequence[Line]) -> None:
        said = {line.words[0]: (*line.words[1:], "") for line in lines}
        for line in lines:
            if line.words[0] not in ("region", "cores", "speed", "size", "model", "absent", "reports"):
                self.fault(
                    line,
                    f"'{line.words[0]}' can't stand here; region, cores, speed, size, model and absent "
                    "are allowed",
                )
        self.sites[kind].append(
            Site(
                name(title),
                name(said["region"][0]),
                integer(1, 1000)(said.get("cores", ("4",))[0]),
                number(0.01, 100)(said.get("speed", ("1",))[0]),
                number(0.01, 100)(said.get("size", ("1",))[0]),
                name(said.get("model", ("any",))[0]),
                "absent" in said,
                one_of(REPORTS)(said["reports"][0]) if "reports" in said else "",
            )
        )

    def _event(self, line: Line) -> None:
        words = list(line.words)
        try:
            if words[0] != "at":
                raise InvalidValue(f"'{words[0]}' opens no event; 'at TIME WHO NAMES WHAT' is allowed")
            at, who = duration(words[1]) / PER_S, words[2]
            if who not in EVENTS:
                raise InvalidValue(f"'{who}' is unknown; {', '.join(EVENTS)} are allowed")
            names = tuple(words[3].split(",")) if who != "load" else ()
            rest = words[3:] if who == "load" else words[4:]
            if not rest or rest[0] not in EVENTS[who]:
                raise InvalidValue(f"what happens is unknown; {', '.join(EVENTS[who])} can happen to a {who}")
            many, ends = EVENTS[who][rest[0]]
            arguments, tail = tuple(rest[1 : 1 + many]), rest[1 + many :]
            if len(arguments) < many or (tail and (not ends or tail[0] != "for" or len(tail) != 2)):
                raise InvalidValue(
                    f"'{rest[0]}' takes {many} argument(s){' and may end: for TIME' if ends else ''}"
                )
            lasts = duration(tail[1]) / PER_S if tail else 0.0
        except InvalidValue as trouble:
            return self.fault(line, str(trouble))
        except IndexError:
            return self.fault(
                line, "the event is cut off; 'at TIME WHO NAMES WHAT ... [for TIME]' is allowed"
            )
        self.events.append(Event(at, who, names, rest[0], arguments, lasts, line.number))

    def day(self) -> Day:
        return Day(
            self.facts["name"],
            duration(self.facts["length"]) / PER_S,
            int(self.facts.get("seed", "1")),
            number(0.1, 1e5, "/s")(self.facts.get("load", "30/s")),
            tuple(self.plan),
            tuple(self.products),
            tuple(self.sites["manager"]),
            tuple(self.sites["gateway"]),
            tuple(self.sites["collector"]),
            tuple(sorted(self.events, key=lambda one: one.at)),
            tuple(self.resolvers),
            tuple(self.dns),
            self.facts.get("memory", "none"),
        )
