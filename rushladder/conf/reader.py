"""Parses a configuration file against the schema in `SECTIONS` and reports all its errors at once."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from rushladder.conf.grammar import (
    Address,
    Diagnostic,
    InvalidConfig,
    InvalidValue,
    Line,
    address,
    domain,
    duration,
    host,
    inet,
    integer,
    name,
    name_server,
    network,
    non_empty,
    number,
    one_of,
    percentage,
    read_lines,
    token,
)
from rushladder.conf.objects import (
    CollectorConfig,
    DnsConfig,
    GatewayConfig,
    HoldingTimes,
    Identity,
    Listener,
    LogSettings,
    ManagerConfig,
    PeerConfig,
)
from rushladder.interface import Channel, Guarantee, Idempotency, LevelUnit, Product
from rushladder.runtime.endpoint import Level

REPEATS = {kind.value: kind for kind in Idempotency}
LEVEL_UNITS = {"ratio": LevelUnit.RATIO, "rate": LevelUnit.RATE, "off": LevelUnit.IGNORED}
LEVELS = {"user": Level.USER, "operator": Level.OPERATOR, "admin": Level.ADMIN}
ON_OFF = {"on": True, "off": False}
GUARD_MODES = ("on", "no-waves", "off")
ValueParser = Callable[[str], Any]


@attrs.frozen
class DirectiveSchema:
    """The syntax of a directive. options: keywords after the arguments, each with one argument of its own."""

    arguments: tuple[ValueParser, ...] = ()
    options: dict[str, ValueParser] = attrs.field(factory=dict)
    required: bool = False
    repeatable: bool = False  # its only argument may be given several times
    usage: str = ""


@attrs.frozen
class SectionSchema:
    """The syntax of a section. named: its keyword is followed by a name; once: a file holds one at most."""

    directives: dict[str, DirectiveSchema]
    named: bool = True
    once: bool = False


SECTIONS: dict[str, SectionSchema] = {
    "global": SectionSchema(
        {
            "log": DirectiveSchema(
                (one_of({"json": "json", "console": "console"}),),
                {"level": one_of({k: k for k in ("debug", "info", "warning", "error")})},
                usage="log json|console [level L]",
            ),
            "seed": DirectiveSchema((integer(0, 2**31),), usage="seed NUMBER"),
        },
        named=False,
        once=True,
    ),
    "manager": SectionSchema(
        {
            "region": DirectiveSchema((name,), required=True, usage="region NAME"),
            "list-file": DirectiveSchema((non_empty,), usage="list-file PATH"),
            "memory": DirectiveSchema((non_empty,), usage="memory DIRECTORY"),
            "bare": DirectiveSchema((duration,), usage="bare TIME"),
            "grace": DirectiveSchema((duration,), usage="grace TIME"),
            "cold": DirectiveSchema((duration,), {"from": percentage}, usage="cold TIME from PART"),
            "fall": DirectiveSchema(
                (number(1, 100, "x"),), {"for": duration}, usage="fall MULTIPLEx for TIME"
            ),
            "channel-lines": DirectiveSchema((number(1, 1e6, "/s"),), usage="channel-lines RATE/s"),
            "channel-waiting": DirectiveSchema((integer(10, 10_000_000),), usage="channel-waiting LINES"),
            "channel-head": DirectiveSchema((number(0, 100),), usage="channel-head LINES"),
            "channel-way": DirectiveSchema(
                (duration,), {"longest": duration}, usage="channel-way TIME longest TIME"
            ),
            "messages": DirectiveSchema(
                (integer(4, 100_000),), {"per": duration}, usage="messages COUNT per TIME"
            ),
            "levels": DirectiveSchema((one_of(LEVEL_UNITS),), usage="levels ratio|rate|off"),
            "probes": DirectiveSchema((one_of(ON_OFF),), usage="probes on|off"),
            "reports-trust": DirectiveSchema(
                (one_of({"earned": False, "blind": True}),), usage="reports-trust earned|blind"
            ),
            "guard": DirectiveSchema((one_of({k: k for k in GUARD_MODES}),), usage="guard on|no-waves|off"),
            "poll": DirectiveSchema((duration,), usage="poll TIME"),
            "takeover": DirectiveSchema((duration,), usage="takeover TIME"),
            "patience": DirectiveSchema((duration,), usage="patience TIME"),
        },
        once=True,
    ),
    "region": SectionSchema(
        {"clients": DirectiveSchema((network,), repeatable=True, usage="clients ADDRESS/LENGTH...")}
    ),
    "dns": SectionSchema(
        {
            "bind": DirectiveSchema((inet,), required=True, usage="bind ADDRESS:PORT"),
            "ns": DirectiveSchema((name_server,), repeatable=True, required=True, usage="ns NAME=ADDRESS..."),
            "mailbox": DirectiveSchema((domain,), usage="mailbox NAME"),
            "named": DirectiveSchema((integer(1, 8),), usage="named COUNT"),
            "usual": DirectiveSchema((number(0, 1e6, "/s"),), usage="usual RATE/s"),
            "secret": DirectiveSchema((token,), usage="secret HEX"),
            "split": DirectiveSchema((one_of({"load": True, "answers": False}),), usage="split load|answers"),
        },
        once=True,
    ),
    "product": SectionSchema(
        {
            "sla": DirectiveSchema((duration,), required=True, usage="sla TIME"),
            "expiry": DirectiveSchema((duration,), required=True, usage="expiry TIME"),
            "revenue": DirectiveSchema((number(0, 1e6),), required=True, usage="revenue NUMBER"),
            "late": DirectiveSchema((percentage,), usage="late PART"),
            "repeat": DirectiveSchema(
                (one_of(REPEATS),),
                {"window": duration, "group": one_of({k: k for k in ("all", "zone", "cell")})},
                required=True,
                usage="repeat inquiry-like|referenced|once-only [window TIME] [group all|zone|cell]",
            ),
            "writes": DirectiveSchema(usage="writes"),
            "home-only": DirectiveSchema(usage="home-only"),
            "models": DirectiveSchema((name,), repeatable=True, usage="models NAME..."),
            "regions": DirectiveSchema((name,), repeatable=True, usage="regions NAME..."),
        }
    ),
    "gateway": SectionSchema(
        {
            "region": DirectiveSchema((name,), required=True, usage="region NAME"),
            "socket": DirectiveSchema((address,), required=True, usage="socket unix@PATH|ADDRESS:PORT"),
            "usual": DirectiveSchema((number(0, 1e6, "/s"),), usage="usual RATE/s"),
        }
    ),
    "collector": SectionSchema(
        {
            "region": DirectiveSchema((name,), required=True, usage="region NAME"),
            "address": DirectiveSchema((inet,), required=True, usage="address ADDRESS:PORT"),
            "model": DirectiveSchema((name,), usage="model NAME"),
            "size": DirectiveSchema((number(0.001, 1000),), usage="size NUMBER"),
            "cell": DirectiveSchema((integer(0, 65_535),), usage="cell NUMBER"),
            "reports": DirectiveSchema((host,), {"token": token}, usage="reports ADDRESS token HEX"),
            "agent": DirectiveSchema((inet,), usage="agent ADDRESS:PORT"),
            "limit": DirectiveSchema((number(0.1, 1e6, "/s"),), usage="limit RATE/s"),
            "connections": DirectiveSchema((integer(1, 10_000_000),), usage="connections COUNT"),
        }
    ),
    "peer": SectionSchema({"address": DirectiveSchema((inet,), required=True, usage="address ADDRESS:PORT")}),
    "listen": SectionSchema(
        {
            "bind": DirectiveSchema(
                (address,),
                {"level": one_of(LEVELS)},
                required=True,
                usage="bind unix@PATH|ADDRESS:PORT [level user|operator|admin]",
            ),
            "peers": DirectiveSchema(usage="peers"),
            "reports": DirectiveSchema((one_of({"udp": "udp", "tcp": "tcp"}),), usage="reports udp|tcp"),
        }
    ),
}


class _ParsedSection:
    """A section of a file: its line and name, and the values, options and lines of its directives."""

    def __init__(self, kind: str, name: str, line: int) -> None:
        self.kind, self.name, self.line = kind, name, line
        self.values = dict[str, list[Any]]()
        self.options = dict[str, dict[str, Any]]()
        self.lines = dict[str, int]()

    def value(self, directive: str, default: Any = None) -> Any:
        """The first value of a directive; True for one without arguments."""
        values = self.values.get(directive)
        return values[0] if values else default

    def option(self, directive: str, option: str, default: Any = None) -> Any:
        """The value of an option of a directive."""
        return self.options.get(directive, {}).get(option, default)

    def line_of(self, directive: str) -> int:
        """The line of a directive, or of the section if it lacks the directive."""
        return self.lines.get(directive, self.line)


def parse_config(text: str, file: str) -> ManagerConfig:
    """Parses a configuration. `file` names it in errors. Raises InvalidConfig with all errors found."""
    errors = list[Diagnostic]()
    sections = _parse_sections(text, file, errors)
    config = _validate(sections, file, errors)
    if errors or config is None:
        raise InvalidConfig(errors)
    return config


def _parse_sections(text: str, file: str, errors: list[Diagnostic]) -> list[_ParsedSection]:
    sections, current, seen = list[_ParsedSection](), None, dict[tuple[str, str], int]()
    skipping = False
    for line in read_lines(text, file, errors):
        keyword = line.words[0]
        # Some words are both: `region` at the start of a line opens a section, indented it is a directive.
        starts_section = keyword in SECTIONS and not text.splitlines()[line.number - 1][:1].isspace()
        if not starts_section:
            if current is not None:
                _parse_directive(current, line, file, errors)
            elif not skipping:
                errors.append(
                    Diagnostic(
                        file,
                        line.number,
                        f"'{keyword}' is outside of a section; "
                        f"{', '.join(SECTIONS)} open one, at the start of a line",
                    )
                )
            continue
        schema = SECTIONS[keyword]
        current, skipping = None, True
        if len(line.words) != 1 + schema.named:
            errors.append(
                Diagnostic(
                    file, line.number, f"'{keyword}' takes {'one name' if schema.named else 'no name'}"
                )
            )
            continue
        section_name = line.words[1] if schema.named else ""
        try:
            section_name = name(section_name) if schema.named else ""
        except InvalidValue as error:
            errors.append(Diagnostic(file, line.number, str(error)))
            continue
        key = (keyword, "" if schema.once else section_name)
        if key in seen:
            errors.append(
                Diagnostic(
                    file,
                    line.number,
                    f"a second '{' '.join(line.words)}'; the first is on line {seen[key]}, one is allowed",
                )
            )
            continue
        seen[key] = line.number
        current = _ParsedSection(keyword, section_name, line.number)
        sections.append(current)
    for section in sections:
        for word, directive in SECTIONS[section.kind].directives.items():
            if directive.required and word not in section.values:
                errors.append(
                    Diagnostic(file, section.line, f"{section.kind} {section.name} lacks '{directive.usage}'")
                )
                section.values[word] = []
    return sections


def _parse_directive(section: _ParsedSection, line: Line, file: str, errors: list[Diagnostic]) -> None:
    keyword, known = line.words[0], SECTIONS[section.kind].directives
    if keyword not in known:
        allowed = ", ".join(known) or "no directive"
        errors.append(
            Diagnostic(file, line.number, f"'{keyword}' is unknown in {section.kind}; {allowed} are allowed")
        )
        return
    schema = known[keyword]
    if keyword in section.lines:
        errors.append(
            Diagnostic(
                file,
                line.number,
                f"a second '{keyword}'; the first is on line {section.lines[keyword]}, one is allowed",
            )
        )
        return
    section.lines[keyword] = line.number
    section.values.setdefault(keyword, [])
    rest = list(line.words[1:])
    if len(rest) < len(schema.arguments):
        errors.append(
            Diagnostic(file, line.number, f"'{keyword}' lacks an argument; '{schema.usage}' is allowed")
        )
        return
    try:
        if schema.repeatable:
            section.values[keyword] = [schema.arguments[0](word) for word in rest]
            return
        section.values[keyword] = [parse(rest.pop(0)) for parse in schema.arguments] or [True]
        options = section.options.setdefault(keyword, {})
        while rest:
            word = rest.pop(0)
            if word not in schema.options or word in options or not rest:
                raise InvalidValue(f"'{word}' is not allowed here; '{schema.usage}' is allowed")
            options[word] = schema.options[word](rest.pop(0))
    except InvalidValue as error:
        errors.append(Diagnostic(file, line.number, f"{keyword}: {error}"))


def _validate(
    sections: Sequence[_ParsedSection], file: str, errors: list[Diagnostic]
) -> ManagerConfig | None:
    def sections_of(kind: str) -> list[_ParsedSection]:
        return [section for section in sections if section.kind == kind]

    def check_reference(section: _ParsedSection, directive: str, names: set[str], kind: str) -> None:
        for value in section.values.get(directive, []):
            if value not in names:
                allowed = ", ".join(sorted(names)) or f"none, as the file has no {kind} section"
                errors.append(
                    Diagnostic(
                        file,
                        section.line_of(directive),
                        f"{directive}: no {kind} '{value}'; {allowed} are allowed",
                    )
                )

    for kind in ("manager", "region", "product"):
        if not sections_of(kind):
            errors.append(
                Diagnostic(
                    file,
                    1,
                    f"no '{kind}' section; {'one' if kind == 'manager' else 'at least one'} is required",
                )
            )
    regions = {section.name for section in sections_of("region")}
    models = {section.value("model", "any") for section in sections_of("collector")}
    for section in (*sections_of("manager"), *sections_of("gateway"), *sections_of("collector")):
        check_reference(section, "region", regions, "region")
    for section in sections_of("product"):
        check_reference(section, "regions", regions, "region")
        if models:
            check_reference(section, "models", models, "collector's model")
        if (
            section.value("sla")
            and section.value("expiry")
            and section.value("sla") > section.value("expiry")
        ):
            errors.append(
                Diagnostic(
                    file,
                    section.line_of("sla"),
                    "the SLA time is longer than the expiry; at most the expiry is allowed",
                )
            )
    for section in sections_of("manager"):
        if section.value("memory") and section.value("list-file"):
            message = "the memory keeps the list too; memory or list-file is allowed, not both"
            errors.append(Diagnostic(file, section.line_of("list-file"), message))
    for section in (*sections_of("gateway"), *sections_of("collector")):
        if "/" in section.name:
            errors.append(
                Diagnostic(
                    file,
                    section.line,
                    "a '/' in a name is not allowed; the runtime API separates names with it",
                )
            )
    _check_addresses(sections, file, errors)
    _check_dns_labels(sections_of, file, errors)
    if errors:
        return None
    return _build_config(sections_of)


def _check_dns_labels(
    sections_of: Callable[[str], list[_ParsedSection]], file: str, errors: list[Diagnostic]
) -> None:
    """Names of products and regions become labels in the DNS zone: they must be valid labels and unique."""
    for section in sections_of("dns"):
        try:
            domain(section.name)
        except InvalidValue as error:
            errors.append(Diagnostic(file, section.line, str(error)))
    seen = {"servers": 0, "_tcp": 0} if sections_of("dns") else {}
    for section in (*sections_of("product"), *sections_of("region")) if sections_of("dns") else ():
        label = section.name.lower()
        if not re.fullmatch(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?", label):
            errors.append(
                Diagnostic(
                    file,
                    section.line,
                    f"'{section.name}' is no DNS label; letters, digits and - are allowed",
                )
            )
        if label in seen:
            owner = f"the name on line {seen[label]}" if seen[label] else "a name of the zone's own"
            errors.append(
                Diagnostic(
                    file, section.line, f"'{section.name}' is {owner} in the zone; another name is allowed"
                )
            )
        seen.setdefault(label, section.line)


def _check_addresses(sections: Sequence[_ParsedSection], file: str, errors: list[Diagnostic]) -> None:
    """Each address may be used once: a collector listed under two names would get twice its share."""
    seen = dict[tuple[str, str], int]()
    for section in sections:
        directives = {"gateway": "socket", "listen": "bind", "dns": "bind"}
        directive = directives.get(section.kind, "address")
        found: Address | None = section.value(directive)
        if found is None:
            continue
        transport = (
            "udp"
            if section.kind == "peer" or section.value("peers") or section.value("reports") == "udp"
            else "stream"
        )
        key = (transport, str(found))
        if key in seen:
            errors.append(
                Diagnostic(
                    file,
                    section.line_of(directive),
                    f"{found} is used on line {seen[key]} already; another address is allowed",
                )
            )
        seen[key] = section.line_of(directive)


def _build_config(sections_of: Callable[[str], list[_ParsedSection]]) -> ManagerConfig:
    manager = sections_of("manager")[0]
    global_section = sections_of("global")[0] if sections_of("global") else _ParsedSection("global", "", 0)
    names = sorted([manager.name, *(peer.name for peer in sections_of("peer"))])
    listeners = [
        Listener(s.name, s.value("bind"), s.option("bind", "level", Level.OPERATOR))
        for s in sections_of("listen")
        if not s.value("peers") and not s.value("reports")
    ]
    default_times = HoldingTimes()
    regions = {s.name: tuple(s.values.get("clients", ())) for s in sections_of("region")}
    return ManagerConfig(
        log=LogSettings(global_section.value("log", "json"), global_section.option("log", "level", "info")),
        identity=Identity(
            manager.name, names.index(manager.name), manager.value("region"), global_section.value("seed", 0)
        ),
        regions=tuple(section.name for section in sections_of("region")),
        products=tuple(
            Product(
                name=s.name,
                sla_time=s.value("sla"),
                expiry=s.value("expiry"),
                revenue=s.value("revenue"),
                late_revenue_fraction=s.value("late", 0.0),
                idempotency=s.value("repeat"),
                dedup_group=s.option("repeat", "group", "all"),
                dedup_window=s.option("repeat", "window", 0),
                writes=bool(s.value("writes")),
                home_only=bool(s.value("home-only")),
                models=frozenset(s.values.get("models", ())),
                zones=frozenset(s.values.get("regions", ())),
            )
            for s in sections_of("product")
        ),
        channel=Channel(
            lines_per_s=manager.value("channel-lines", 1500.0),
            pending_max=manager.value("channel-waiting", 2500),
            message_overhead=manager.value("channel-head", 3.0),
            message_cap=manager.value("messages", 0),
            cap_window=manager.option("messages", "per", 100_000) if manager.value("messages") else 0,
            usual_delay=manager.value("channel-way", 500),
            max_delay=manager.option("channel-way", "longest", 5000),
        ),
        guarantee=Guarantee(
            no_worker_limit=manager.value("bare", 80_000),
            drain_grace=manager.value("grace", 40_000),
            cold_time=manager.value("cold", 150_000),
            cold_from=manager.option("cold", "from", 0.17),
            overload_factor=manager.value("fall", 2.5),
            overload_duration=manager.option("fall", "for", 20_000),
            list_retry_within=0,
            dropped_stay_open=False,
        ),
        level_unit=manager.value("levels", LevelUnit.RATIO),
        may_probe=manager.value("probes", True),
        holding=HoldingTimes(
            manager.value("poll", default_times.poll_interval),
            manager.value("takeover", default_times.takeover_timeout),
            manager.value("patience", default_times.answer_timeout),
        ),
        list_file=manager.value("list-file", ""),
        trust_reports=manager.value("reports-trust", False),
        guard=manager.value("guard", "on"),
        gateways=tuple(
            GatewayConfig(s.name, s.value("region"), s.value("socket"), s.value("usual", 10.0))
            for s in sections_of("gateway")
        ),
        collectors=tuple(
            CollectorConfig(
                s.name,
                s.value("region"),
                s.value("model", "any"),
                s.value("size", 1.0),
                s.value("address"),
                s.value("cell", 0),
                s.value("limit", 0.0),
                s.value("connections", 0),
                s.value("reports", ""),
                s.option("reports", "token", b""),
                s.value("agent"),
            )
            for s in sections_of("collector")
        ),
        peers=tuple(PeerConfig(s.name, names.index(s.name), s.value("address")) for s in sections_of("peer")),
        peer_listener=next((s.value("bind") for s in sections_of("listen") if s.value("peers")), None),
        listeners=tuple(listeners),
        dns=next((_build_dns(section, regions) for section in sections_of("dns")), None),
        memory=manager.value("memory", ""),
        report_listeners=tuple(
            (s.value("reports"), s.value("bind")) for s in sections_of("listen") if s.value("reports")
        ),
    )


def _build_dns(section: _ParsedSection, regions: dict[str, tuple[str, ...]]) -> DnsConfig:
    hosts = dict[str, list[str]]()
    for host_name, host_address in section.values["ns"]:
        hosts.setdefault(host_name, []).append(host_address)
    apex = domain(section.name)
    return DnsConfig(
        apex,
        section.value("bind"),
        hosts,
        section.value("mailbox", f"hostmaster.{apex}"),
        section.value("named", 2),
        section.value("usual", 10.0),
        section.value("secret", b""),
        section.value("split", True),
        regions,
    )
