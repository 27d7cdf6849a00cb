"""Reads a configuration: a table of sections and directives, one loop over the lines, all faults at once."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import re
from typing import Any

import attrs

from rushladder.conf.grammar import (
    Address,
    Diagnostic,
    InvalidConfig,
    Line,
    InvalidValue,
    address,
    domain,
    duration,
    host,
    inet,
    name,
    name_server,
    number,
    one_of,
    percentage,
    network,
    read_lines,
    non_empty,
    token,
    integer,
)
from rushladder.conf.objects import (
    CollectorConfig,
    DnsConfig,
    GatewayConfig,
    Holding,
    Identity,
    Listener,
    LogSettings,
    PeerConfig,
    ManagerConfig,
)
from rushladder.interface import Channel, Guarantee, LevelUnit, Product, Repeat
from rushladder.runtime.endpoint import Level

REPEATS = {kind.value: kind for kind in Repeat}
UNITS = {"ratio": LevelUnit.RATIO, "rate": LevelUnit.RATE, "off": LevelUnit.IGNORED}
LEVELS = {"user": Level.USER, "operator": Level.OPERATOR, "admin": Level.ADMIN}
SWITCH = {"on": True, "off": False}
GUARDS = ("on", "no-waves", "off")
Reader = Callable[[str], Any]


@attrs.frozen
class Directive:
    """The shape of a directive: its arguments in order; keywords with one argument each; whether it is
    needed."""

    arguments: tuple[Reader, ...] = ()
    options: dict[str, Reader] = attrs.field(factory=dict)
    needed: bool = False
    many: bool = False  # the last argument may be given several times
    usage: str = ""


@attrs.frozen
class Section:
    directives: dict[str, Directive]
    named: bool = True
    once: bool = False


SECTIONS: dict[str, Section] = {
    "global": Section(
        {
            "log": Directive(
                (one_of({"json": "json", "console": "console"}),),
                {"level": one_of({k: k for k in ("debug", "info", "warning", "error")})},
                usage="log json|console [level L]",
            ),
            "seed": Directive((integer(0, 2**31),), usage="seed NUMBER"),
        },
        named=False,
        once=True,
    ),
    "manager": Section(
        {
            "region": Directive((name,), needed=True, usage="region NAME"),
            "list-file": Directive((non_empty,), usage="list-file PATH"),
            "memory": Directive((non_empty,), usage="memory DIRECTORY"),
            "bare": Directive((duration,), usage="bare TIME"),
            "grace": Directive((duration,), usage="grace TIME"),
            "cold": Directive((duration,), {"from": percentage}, usage="cold TIME from PART"),
            "fall": Directive((number(1, 100, "x"),), {"for": duration}, usage="fall MULTIPLEx for TIME"),
            "channel-lines": Directive((number(1, 1e6, "/s"),), usage="channel-lines RATE/s"),
            "channel-waiting": Directive((integer(10, 10_000_000),), usage="channel-waiting LINES"),
            "channel-head": Directive((number(0, 100),), usage="channel-head LINES"),
            "channel-way": Directive(
                (duration,), {"longest": duration}, usage="channel-way TIME longest TIME"
            ),
            "messages": Directive((integer(4, 100_000),), {"per": duration}, usage="messages COUNT per TIME"),
            "levels": Directive((one_of(UNITS),), usage="levels ratio|rate|off"),
            "probes": Directive((one_of(SWITCH),), usage="probes on|off"),
            "reports-trust": Directive(
                (one_of({"earned": False, "blind": True}),), usage="reports-trust earned|blind"
            ),
            "guard": Directive((one_of({k: k for k in GUARDS}),), usage="guard on|no-waves|off"),
            "poll": Directive((duration,), usage="poll TIME"),
            "takeover": Directive((duration,), usage="takeover TIME"),
            "patience": Directive((duration,), usage="patience TIME"),
        },
        once=True,
    ),
    "region": Section({"clients": Directive((network,), many=True, usage="clients ADDRESS/LENGTH...")}),
    "dns": Section(
        {
            "bind": Directive((inet,), needed=True, usage="bind ADDRESS:PORT"),
            "ns": Directive((name_server,), many=True, needed=True, usage="ns NAME=ADDRESS..."),
            "mailbox": Directive((domain,), usage="mailbox NAME"),
            "named": Directive((integer(1, 8),), usage="named COUNT"),
            "usual": Directive((number(0, 1e6, "/s"),), usage="usual RATE/s"),
            "secret": Directive((token,), usage="secret HEX"),
            "split": Directive((one_of({"load": True, "answers": False}),), usage="split load|answers"),
        },
        once=True,
    ),
    "product": Section(
        {
            "sla": Directive((duration,), needed=True, usage="sla TIME"),
            "expiry": Directive((duration,), needed=True, usage="expiry TIME"),
            "revenue": Directive((number(0, 1e6),), needed=True, usage="revenue NUMBER"),
            "late": Directive((percentage,), usage="late PART"),
            "repeat": Directive(
                (one_of(REPEATS),),
                {"window": duration, "group": one_of({k: k for k in ("all", "zone", "cell")})},
                needed=True,
                usage="repeat inquiry-like|referenced|once-only [window TIME] [group all|zone|cell]",
            ),
            "writes": Directive(usage="writes"),
            "home-only": Directive(usage="home-only"),
            "models": Directive((name,), many=True, usage="models NAME..."),
            "regions": Directive((name,), many=True, usage="regions NAME..."),
        }
    ),
    "gateway": Section(
        {
            "region": Directive((name,), needed=True, usage="region NAME"),
            "socket": Directive((address,), needed=True, usage="socket unix@PATH|ADDRESS:PORT"),
            "usual": Directive((number(0, 1e6, "/s"),), usage="usual RATE/s"),
        }
    ),
    "collector": Section(
        {
            "region": Directive((name,), needed=True, usage="region NAME"),
            "address": Directive((inet,), needed=True, usage="address ADDRESS:PORT"),
            "model": Directive((name,), usage="model NAME"),
            "size": Directive((number(0.001, 1000),), usage="size NUMBER"),
            "cell": Directive((integer(0, 65_535),), usage="cell NUMBER"),
            "reports": Directive((host,), {"token": token}, usage="reports ADDRESS token HEX"),
            "agent": Directive((inet,), usage="agent ADDRESS:PORT"),
            "limit": Directive((number(0.1, 1e6, "/s"),), usage="limit RATE/s"),
            "connections": Directive((integer(1, 10_000_000),), usage="connections COUNT"),
        }
    ),
    "peer": Section({"address": Directive((inet,), needed=True, usage="address ADDRESS:PORT")}),
    "listen": Section(
        {
            "bind": Directive(
                (address,),
                {"level": one_of(LEVELS)},
                needed=True,
                usage="bind unix@PATH|ADDRESS:PORT [level user|operator|admin]",
            ),
            "peers": Directive(usage="peers"),
            "reports": Directive((one_of({"udp": "udp", "tcp": "tcp"}),), usage="reports udp|tcp"),
        }
    ),
}


class _Found:
    """One section as written: its place, its name, the values of its directives and their places."""

    def __init__(self, kind: str, title: str, place: int) -> None:
        self.kind, self.name, self.place = kind, title, place
        self.values = dict[str, list[Any]]()
        self.options = dict[str, dict[str, Any]]()
        self.places = dict[str, int]()

    def one(self, directive: str, otherwise: Any = None) -> Any:
        found = self.values.get(directive)
        return found[0] if found else otherwise

    def option(self, directive: str, option: str, otherwise: Any = None) -> Any:
        return self.options.get(directive, {}).get(option, otherwise)

    def at(self, directive: str) -> int:
        return self.places.get(directive, self.place)


def parse_config(text_: str, file: str) -> ManagerConfig:
    """The plan that a file's text describes. Raises Faulty with every fault found."""
    faults = list[Diagnostic]()
    found = _sections(text_, file, faults)
    plan = _plan(found, file, faults)
    if faults or plan is None:
        raise InvalidConfig(faults)
    return plan


def _sections(text_: str, file: str, faults: list[Diagnostic]) -> list[_Found]:
    found, open_, seen = list[_Found](), None, dict[tuple[str, str], int]()
    skipping = False
    for line in read_lines(text_, file, faults):
        head = line.words[0]
        # Within a gateway, say, `region` is a directive; a section's keyword stands at its line's start.
        starts = head in SECTIONS and not text_.splitlines()[line.number - 1][:1].isspace()
        if not starts:
            if open_ is not None:
                _directive(open_, line, file, faults)
            elif not skipping:
                faults.append(
                    Diagnostic(
                        file,
                        line.number,
                        f"'{head}' stands outside of a section; "
                        f"{', '.join(SECTIONS)} open one, at the start of a line",
                    )
                )
            continue
        kind = SECTIONS[head]
        open_, skipping = None, True
        if len(line.words) != 1 + kind.named:
            faults.append(
                Diagnostic(file, line.number, f"'{head}' takes {'one name' if kind.named else 'no name'}")
            )
            continue
        title = line.words[1] if kind.named else ""
        try:
            title = name(title) if kind.named else ""
        except InvalidValue as trouble:
            faults.append(Diagnostic(file, line.number, str(trouble)))
            continue
        key = (head, "" if kind.once else title)
        if key in seen:
            faults.append(
                Diagnostic(
                    file,
                    line.number,
                    f"a second '{' '.join(line.words)}'; the first stands on line "
                    f"{seen[key]}, one is allowed",
                )
            )
            continue
        seen[key] = line.number
        open_ = _Found(head, title, line.number)
        found.append(open_)
    for section in found:
        for word, directive in SECTIONS[section.kind].directives.items():
            if directive.needed and word not in section.values:
                faults.append(
                    Diagnostic(
                        file, section.place, f"{section.kind} {section.name} lacks '{directive.usage}'"
                    )
                )
                section.values[word] = []
    return found


def _directive(section: _Found, line: Line, file: str, faults: list[Diagnostic]) -> None:
    head, known = line.words[0], SECTIONS[section.kind].directives
    if head not in known:
        allowed = ", ".join(known) or "no directive"
        faults.append(
            Diagnostic(file, line.number, f"'{head}' is unknown in {section.kind}; {allowed} are allowed")
        )
        return
    shape = known[head]
    if head in section.places:
        faults.append(
            Diagnostic(
                file,
                line.number,
                f"a second '{head}'; the first stands on line {section.places[head]}, one is allowed",
            )
        )
        return
    section.places[head] = line.number
    section.values.setdefault(head, [])
    rest = list(line.words[1:])
    if len(rest) < len(shape.arguments):
        faults.append(
            Diagnostic(file, line.number, f"'{head}' lacks an argument; '{shape.usage}' is allowed")
        )
        return
    try:
        if shape.many:
            section.values[head] = [shape.arguments[0](word) for word in rest]
            return
        section.values[head] = [reader(rest.pop(0)) for reader in shape.arguments] or [True]
        options = section.options.setdefault(head, {})
        while rest:
            word = rest.pop(0)
            if word not in shape.options or word in options or not rest:
                raise InvalidValue(f"'{word}' can't stand here; '{shape.usage}' is allowed")
            options[word] = shape.options[word](rest.pop(0))
    except InvalidValue as trouble:
        faults.append(Diagnostic(file, line.number, f"{head}: {trouble}"))


def _plan(found: Sequence[_Found], file: str, faults: list[Diagnostic]) -> ManagerConfig | None:
    def of(kind: str) -> list[_Found]:
        return [section for section in found if section.kind == kind]

    def known(section: _Found, directive: str, names: set[str], what: str) -> None:
        for value in section.values.get(directive, []):
            if value not in names:
                allowed = ", ".join(sorted(names)) or f"none, as no {what} section stands in the file"
                faults.append(
                    Diagnostic(
                        file,
                        section.at(directive),
                        f"{directive}: no {what} '{value}'; {allowed} are allowed",
                    )
                )

    for kind in ("manager", "region", "product"):
        if not of(kind):
            faults.append(
                Diagnostic(
                    file,
                    1,
                    f"no '{kind}' section; {'one' if kind == 'manager' else 'at least one'} is needed",
                )
            )
    regions = {section.name for section in of("region")}
    models = {section.one("model", "any") for section in of("collector")}
    for section in (*of("manager"), *of("gateway"), *of("collector")):
        known(section, "region", regions, "region")
    for section in of("product"):
        known(section, "regions", regions, "region")
        if models:
            known(section, "models", models, "collector's model")
        if section.one("sla") and section.one("expiry") and section.one("sla") > section.one("expiry"):
            faults.append(
                Diagnostic(
                    file,
                    section.at("sla"),
                    "the SLA time is longer than the expiry; at most the expiry is allowed",
                )
            )
    for section in of("manager"):
        if section.one("memory") and section.one("list-file"):
            what = "the memory keeps the list too; memory or list-file is allowed, not both"
            faults.append(Diagnostic(file, section.at("list-file"), what))
    for section in (*of("gateway"), *of("collector")):
        if "/" in section.name:
            faults.append(
                Diagnostic(file, section.place, "a '/' in a name; the runtime socket parts names with it")
            )
    _once_only(found, file, faults)
    _dns(of, file, faults)
    if faults:
        return None
    return _built(of)


def _dns(of: Callable[[str], list[_Found]], file: str, faults: list[Diagnostic]) -> None:
    """Products and regions stand as labels in the zone: each must be one, and none may mean two things."""
    for section in of("dns"):
        try:
            domain(section.name)
        except InvalidValue as trouble:
            faults.append(Diagnostic(file, section.place, str(trouble)))
    seen = {"servers": 0, "_tcp": 0} if of("dns") else {}
    for section in (*of("product"), *of("region")) if of("dns") else ():
        low = section.name.lower()
        if not re.fullmatch(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?", low):
            faults.append(
                Diagnostic(
                    file,
                    section.place,
                    f"'{section.name}' is no DNS label; letters, digits and - are allowed",
                )
            )
        if low in seen:
            where = f"a name of line {seen[low]}" if seen[low] else "a name of the zone's own"
            faults.append(
                Diagnostic(
                    file, section.place, f"'{section.name}' is {where} in the zone; another one is allowed"
                )
            )
        seen.setdefault(low, section.place)


def _once_only(found: Sequence[_Found], file: str, faults: list[Diagnostic]) -> None:
    """One address for one thing: two names for one collector would take twice its share."""
    seen = dict[tuple[str, str], int]()
    for section in found:
        places = {"gateway": "socket", "listen": "bind", "dns": "bind"}
        place = places.get(section.kind, "address")
        where: Address | None = section.one(place)
        if where is None:
            continue
        kind = (
            "udp"
            if section.kind == "peer" or section.one("peers") or section.one("reports") == "udp"
            else "stream"
        )
        key = (kind, str(where))
        if key in seen:
            faults.append(
                Diagnostic(
                    file,
                    section.at(place),
                    f"{where} is used on line {seen[key]} already; an address of its own is allowed",
                )
            )
        seen[key] = section.at(place)


def _built(of: Callable[[str], list[_Found]]) -> ManagerConfig:
    manager = of("manager")[0]
    globals_ = of("global")[0] if of("global") else _Found("global", "", 0)
    names = sorted([manager.name, *(peer.name for peer in of("peer"))])
    listeners = [
        Listener(s.name, s.one("bind"), s.option("bind", "level", Level.OPERATOR))
        for s in of("listen")
        if not s.one("peers") and not s.one("reports")
    ]
    holding = Holding()
    regions = {s.name: tuple(s.values.get("clients", ())) for s in of("region")}
    return ManagerConfig(
        log=LogSettings(globals_.one("log", "json"), globals_.option("log", "level", "info")),
        identity=Identity(
            manager.name, names.index(manager.name), manager.one("region"), globals_.one("seed", 0)
        ),
        regions=tuple(section.name for section in of("region")),
        products=tuple(
            Product(
                name=s.name,
                sla_time=s.one("sla"),
                expiry=s.one("expiry"),
                rev=s.one("revenue"),
                late_part=s.one("late", 0.0),
                repeat=s.one("repeat"),
                group=s.option("repeat", "group", "all"),
                window=s.option("repeat", "window", 0),
                writes=bool(s.one("writes")),
                home_only=bool(s.one("home-only")),
                models=frozenset(s.values.get("models", ())),
                zones=frozenset(s.values.get("regions", ())),
            )
            for s in of("product")
        ),
        channel=Channel(
            lines_per_s=manager.one("channel-lines", 1500.0),
            pending_max=manager.one("channel-waiting", 2500),
            head=manager.one("channel-head", 3.0),
            message_cap=manager.one("messages", 0),
            cap_span=manager.option("messages", "per", 100_000) if manager.one("messages") else 0,
            usual_way=manager.one("channel-way", 500),
            longest_way=manager.option("channel-way", "longest", 5000),
        ),
        guarantee=Guarantee(
            bare=manager.one("bare", 80_000),
            drain_grace=manager.one("grace", 40_000),
            cold_time=manager.one("cold", 150_000),
            cold_from=manager.option("cold", "from", 0.17),
            fall_multiple=manager.one("fall", 2.5),
            fall_for=manager.option("fall", "for", 20_000),
            ask_within=0,
            dropped_stay_open=False,
        ),
        level_unit=manager.one("levels", LevelUnit.RATIO),
        may_probe=manager.one("probes", True),
        holding=Holding(
            manager.one("poll", holding.poll),
            manager.one("takeover", holding.takeover),
            manager.one("patience", holding.patience),
        ),
        list_file=manager.one("list-file", ""),
        blind=manager.one("reports-trust", False),
        guard=manager.one("guard", "on"),
        gateways=tuple(
            GatewayConfig(s.name, s.one("region"), s.one("socket"), s.one("usual", 10.0))
            for s in of("gateway")
        ),
        collectors=tuple(
            CollectorConfig(
                s.name,
                s.one("region"),
                s.one("model", "any"),
                s.one("size", 1.0),
                s.one("address"),
                s.one("cell", 0),
                s.one("limit", 0.0),
                s.one("connections", 0),
                s.one("reports", ""),
                s.option("reports", "token", b""),
                s.one("agent"),
            )
            for s in of("collector")
        ),
        peers=tuple(PeerConfig(s.name, names.index(s.name), s.one("address")) for s in of("peer")),
        peer_listener=next((s.one("bind") for s in of("listen") if s.one("peers")), None),
        listeners=tuple(listeners),
        dns=next((_zone(section, regions) for section in of("dns")), None),
        memory=manager.one("memory", ""),
        report_listeners=tuple((s.one("reports"), s.one("bind")) for s in of("listen") if s.one("reports")),
    )


def _zone(section: _Found, regions: dict[str, tuple[str, ...]]) -> DnsConfig:
    hosts = dict[str, list[str]]()
    for title, where in section.values["ns"]:
        hosts.setdefault(title, []).append(where)
    apex = domain(section.name)
    return DnsConfig(
        apex,
        section.one("bind"),
        hosts,
        section.one("mailbox", f"hostmaster.{apex}"),
        section.one("named", 2),
        section.one("usual", 10.0),
        section.one("secret", b""),
        section.one("split", True),
        regions,
    )
