"""The manager's own runtime API: which command does what. See docs/runtime-api.md for the page."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import TimeoutError as Late

from rushladder import __version__
from rushladder.conf.grammar import InvalidValue, duration, inet, name, number
from rushladder.core.host import LEVELS_MAP, RETRIES_MAP
from rushladder.core.roster import RosterError
from rushladder.gateways.diff import AdminState
from rushladder.guard.history import Version
from rushladder.guard.table_guard import Denied
from rushladder.interface import Availability
from rushladder.runtime.endpoint import Level, CommandRefused, CommandSpec, CommandTable
from rushladder.runtime.grammar import Command, format_csv
from rushladder.service.manager import Manager
from rushladder.store.commands import (
    MAX_COMMAND_LENGTH,
    MAX_ID_LENGTH,
    DURABLE_TIMEOUT,
    Effect,
    is_idempotent,
)
from rushladder.store.memory import Kind
from rushladder.timing import TENTHS_PER_SECOND, clock_tenths

PREPARED_MOST, LINES_MOST = 16, 20_000  # versions begun and not committed; 20 products x 1,000 servers
SHOWN = 20  # resolvers of a pool that are shown: those who bring most
FLEET = "fleet"  # the backend that stands for all collectors
STATES = {"ready": Availability.READY, "drain": Availability.DRAINING, "maint": Availability.GONE}
STATUS = {Availability.READY: "UP", Availability.DRAINING: "DRAIN", Availability.GONE: "MAINT"}
COLUMNS = (
    "pxname",
    "svname",
    "scur",
    "stot",
    "dreq",
    "eresp",
    "status",
    "weight",
    "act",
    "rate",
    "req_rate",
    "region",
    "model",
    "level_permille",
    "listed",
    "cold_permille",
    "withdrawn",
    "gateways",
)


def command_table(manager: Manager) -> CommandTable:
    """All commands, with who may use them."""
    api = Api(manager)
    plain = CommandTable(
        [
            CommandSpec(tuple(words.split()), level, usage, _refusing(run))
            for words, level, usage, run in (
                ("show info", Level.USER, "show info [json] : facts about this manager", api.info),
                ("show version", Level.USER, "show version : its version", lambda words: f"{__version__}\n"),
                ("show stat", Level.USER, "show stat : sums by product and by collector, as CSV", api.stat),
                (
                    "show servers state",
                    Level.OPERATOR,
                    "show servers state [fleet] : the list of collectors",
                    api.servers,
                ),
                ("show backend", Level.USER, "show backend : fleet, and the products", api.backend),
                (
                    "show map",
                    Level.OPERATOR,
                    "show map [levels|retries] : what is let in, and the retry rule",
                    api.map,
                ),
                (
                    "show sess",
                    Level.OPERATOR,
                    "show sess : gateways, who holds them, what waits in each channel",
                    api.sess,
                ),
                (
                    "show table",
                    Level.OPERATOR,
                    "show table GATEWAY : what a gateway should hold, and holds",
                    api.table,
                ),
                (
                    "show errors",
                    Level.OPERATOR,
                    "show errors : the last faults, with how often they came",
                    api.errors,
                ),
                ("show dns", Level.USER, "show dns : what became of questions; the pools' split", api.dns),
                (
                    "show dns resolvers",
                    Level.OPERATOR,
                    "show dns resolvers : who asks, and what each is taken to bring",
                    api.resolvers,
                ),
                (
                    "show load",
                    Level.USER,
                    "show load [SERVER] : what servers report of their load, and what it is worth",
                    api.load,
                ),
                (
                    "show intake",
                    Level.USER,
                    "show intake : what became of the reports, the spread of loads, heavy senders",
                    api.intake,
                ),
                (
                    "set server",
                    Level.ADMIN,
                    "set server fleet/NAME state ready|drain|maint ; set server fleet/NAME weight SIZE",
                    api.set_server,
                ),
                (
                    "show table history",
                    Level.OPERATOR,
                    "show table history : versions of the factors",
                    api.history,
                ),
                ("show table diff", Level.OPERATOR, "show table diff A B : factors that differ", api.diff),
                (
                    "show table refused",
                    Level.OPERATOR,
                    "show table refused : changes refused, and why",
                    api.refused,
                ),
                ("show wave", Level.OPERATOR, "show wave : the change on its way", api.wave),
                (
                    "set weight",
                    Level.ADMIN,
                    "set weight PRODUCT/SERVER PERCENT% : times the decided",
                    api.weight,
                ),
                ("prepare table", Level.ADMIN, "prepare table : a new version to fill", api.prepare),
                ("add table", Level.ADMIN, "add table @V PRODUCT/SERVER PERCENT%", api.add_line),
                ("commit table", Level.ADMIN, "commit table @V [WHY...] : judged, then in waves", api.commit),
                ("rollback to", Level.ADMIN, "rollback to N : back to a version", api.rollback),
                ("enable server", Level.ADMIN, "enable server fleet/NAME : as state ready", api.enable),
                ("disable server", Level.ADMIN, "disable server fleet/NAME : as state maint", api.disable),
                (
                    "add server",
                    Level.ADMIN,
                    "add server fleet/NAME ADDRESS:PORT region R [model M] [weight SIZE] [started TIME]",
                    api.add_server,
                ),
                (
                    "del server",
                    Level.ADMIN,
                    "del server fleet/NAME : takes one in maintenance off the list",
                    api.del_server,
                ),
                (
                    "show store",
                    Level.USER,
                    "show store : what is remembered over a restart, and what came back",
                    api.store,
                ),
            )
        ]
    )
    once = CommandSpec(
        ("once",),
        Level.OPERATOR,
        "once ID COMMAND... : carried out once, however often it is sent, over restarts too",
        Once(manager, plain).run,
    )
    return CommandTable([*plain.all, once])


Run = Callable[[tuple[str, ...]], str]


def _field(place: int, key: str, value: str | int) -> dict[str, object]:
    """One fact in the guide's JSON form of `show info`."""
    kind = "str" if isinstance(value, str) else "u64"
    return {
        "field": {"pos": place, "name": key},
        "processNum": 1,
        "tags": {"origin": "Product", "nature": "Output", "scope": "Process"},
        "value": {"type": kind, "value": value},
    }


def _refusing(run: Run) -> Callable[[Command, Level], str]:
    def call(command: Command, level: Level) -> str:
        try:
            return run(command.words)
        except (RosterError, InvalidValue) as trouble:
            raise CommandRefused(f"{trouble}") from None
        except IndexError:
            raise CommandRefused("An argument is missing, see 'help'.") from None

    return call


class Once:
    """Carries out commands that bear an id; what to do with a repeat is decided in `store.commands`."""

    def __init__(self, manager: Manager, verbs: CommandTable) -> None:
        self._manager, self._verbs, self._journal = manager, verbs, manager.journal

    async def run(self, command: Command, level: Level) -> str:
        words = command.words
        if len(words) < 3 or not re.fullmatch(rf"[\w.:\-]{{1,{MAX_ID_LENGTH}}}", words[1]):
            raise CommandRefused(
                f"once ID COMMAND...; an ID has 1 to {MAX_ID_LENGTH} letters, digits, and . : - _"
            )
        name, inner = words[1], Command(words[2:], command.payload)
        verb = self._verbs.find(inner.words)
        text = " ".join(inner.words)
        if verb is None or len(text) > MAX_COMMAND_LENGTH:
            raise CommandRefused(f"Unknown command, or over {MAX_COMMAND_LENGTH} characters; see 'help'.")
        if verb.level > level:
            return "Permission denied\n"
        memory = self._manager.memory
        now = memory.now() if memory is not None else 0
        effect = self._journal.begin(name, text, is_idempotent(verb.words), now)
        if effect is Effect.ANSWER:
            return self._journal[name].answer
        if effect is not Effect.RUN:
            raise CommandRefused(f"Not carried out: {effect.value}.")
        if memory is not None:
            try:
                await self._sure(name)
            except Late:
                self._journal.cancel(name)
                memory.writer.put(Kind.COMMAND, name, None)
                raise CommandRefused(
                    "Not carried out: it could not be noted, the disk fails or is slow."
                ) from None
        try:
            answer = verb.run(inner, level)
            answer = answer if isinstance(answer, str) else await answer
        except CommandRefused as refused:
            answer = f"{refused}\n"
        self._journal.record_answer(name, answer)
        if memory is not None:
            self._manager.remember_changes()
            try:
                await self._sure(name)
            except Late:
                raise CommandRefused(
                    f"Carried out, but not noted, as the disk fails or is slow: {answer}"
                ) from None
        return answer

    async def _sure(self, name: str) -> None:
        memory = self._manager.memory
        assert memory is not None
        memory.noted(name)
        clock: Any = self._manager.clock
        await memory.sure().addTimeout(DURABLE_TIMEOUT, clock)


class Api:
    def __init__(self, manager: Manager) -> None:
        self._manager, self._core, self._roster = manager, manager.core, manager.roster
        self._version, self._prepared = 0, dict[int, list[tuple[tuple[str, str], float]]]()

    def info(self, words: tuple[str, ...]) -> str:
        manager, up = self._manager, self._manager.clock.seconds() - self._manager.started
        owed, sent = self._core.line_counts()
        unanswered = sum(driver.unanswered_commands() for driver in manager.drivers)
        facts: dict[str, str | int] = {
            "Name": "rushladder",
            "Version": __version__,
            "Node": manager.plan.identity.name,
            "Region": manager.plan.identity.region,
            "Uptime_sec": int(up),
            "Beats": manager.beats,
            "Events": manager.events,
            "Gateways": len(manager.drivers),
            "GatewaysHeld": sum(driver.session is not None for driver in manager.drivers),
            "Servers": len(self._roster.listed),
            "ListVersion": self._roster.version,
            "ListRestored": int(manager.restored),
            "LinesOwed": owed,
            "LinesSent": sent,
            "CommandsUnanswered": unanswered,
            "Errors": sum(fault.many for fault in manager.errors),
        }
        if words[2:3] == ("json",):
            return (
                json.dumps([_field(place, key, value) for place, (key, value) in enumerate(facts.items())])
                + "\n"
            )
        return "".join(f"{key}: {value}\n" for key, value in facts.items())

    def stat(self, words: tuple[str, ...]) -> str:
        now, rows = clock_tenths(self._manager.clock), list[dict[str, object]]()
        for product in self._core.products:
            sums = [
                sum(values)
                for values in zip(
                    (0.0, 0.0),
                    *(gateway.arrivals[product].total(now, 5) for gateway in self._core.sessions),
                    strict=True,
                )
            ]
            levels = [
                int(float(self._core.format_level(tbl.gates[product][0])))
                for port in self._core.sessions.values()
                if (tbl := port.tables.get(product)) is not None and product in tbl.gates
            ]
            rows.append(
                {
                    "pxname": product.name,
                    "svname": "BACKEND",
                    "status": "UP",
                    "stot": int(sums[0]),
                    "req_rate": round(TENTHS_PER_SECOND * sums[0] * len(self._core.sessions) / sums[1], 1)
                    if sums[1]
                    else 0,
                    "level_permille": min(levels, default=1000),
                    "gateways": len(self._core.sessions),
                }
            )
        used = dict[str, int]()
        for port in self._core.sessions.values():
            carries = {
                key[1]
                for key, line in port.held.lines.items()
                if line.weight and line.admin is AdminState.READY
            }
            for server in carries:
                used[server] = used.get(server, 0) + 1
        for one in self._roster.listed.values():
            many, voided, _, _, rate = one.server.recent_totals(now, 5)
            rows.append(
                {
                    "pxname": FLEET,
                    "svname": one.server.name,
                    "stot": int(many),
                    "eresp": int(voided),
                    "status": STATUS[one.availability],
                    "weight": one.size,
                    "rate": round(rate, 1),
                    "region": one.server.zone,
                    "model": one.server.model,
                    "listed": one.availability.name.lower(),
                    "cold_permille": round(1000 * min(1.0, self._core.ramp(one.server))),
                    "withdrawn": int(one.server in self._core.withdrawn),
                    "gateways": used.get(one.server.name, 0),
                }
            )
        return format_csv(COLUMNS, ([row.get(column, "") for column in COLUMNS] for row in rows))

    def servers(self, words: tuple[str, ...]) -> str:
        if len(words) > 3 and words[3] != FLEET:
            raise CommandRefused("Can't find backend.")
        now = clock_tenths(self._manager.clock)
        text = (
            "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight "
            "srv_time_since_last_change srv_port region model\n"
        )
        bits = {Availability.READY: 0, Availability.DRAINING: 8, Availability.GONE: 1}
        for place, one in enumerate(self._roster.listed.values(), 1):
            host, port = one.address.rsplit(":", 1)
            age = (now - one.started_at) // TENTHS_PER_SECOND if one.started_at else -1
            text += (
                f"1 {FLEET} {place} {one.server.name} {host} {0 if bits[one.availability] & 1 else 2} "
                f"{bits[one.availability]} {one.size:g} {age} {port} {one.server.zone} {one.server.model}\n"
            )
        return text

    def backend(self, words: tuple[str, ...]) -> str:
        return "# name\n" + "".join(f"{line}\n" for line in (FLEET, *(p.name for p in self._core.products)))

    def map(self, words: tuple[str, ...]) -> str:
        if len(words) < 3:
            return f"# id (file) description\n0 ({LEVELS_MAP}) let in\n1 ({RETRIES_MAP}) retry rule\n"
        if words[2] not in (LEVELS_MAP, RETRIES_MAP):
            raise CommandRefused("Unknown map identifier. Please use levels or retries.")
        text, place = "", 0
        for port in self._core.sessions.values():
            for key, value in self._core.maps(port)[words[2]].items():
                place += 1
                text += f"0x{place:x} {port.gateway.name}/{key} {value}\n"
        return text

    def sess(self, words: tuple[str, ...]) -> str:
        now, text = clock_tenths(self._manager.clock), ""
        for driver in self._manager.drivers:
            port, hold = driver.session, driver.election
            text += (
                f"{driver.gateway.name}: region={driver.gateway.zone} stand={hold.state.name.lower()} "
                f"epoch={hold.epoch} up={int(driver.connected)} unanswered={driver.unanswered_commands()}"
            )
            if port is not None:
                age = (now - port.sent_at) // 10 if port.sent_at else 0
                text += (
                    f" owed={port.pending_lines} sent={port.sent_lines} age={age}ms messages={port.messages} "
                    f"lines={len(port.held.lines)}"
                )
            text += "\n"
        return text

    def table(self, words: tuple[str, ...]) -> str:
        port = next((port for port in self._core.sessions.values() if port.gateway.name == words[2]), None)
        if port is None:
            raise CommandRefused("No such gateway held here.")
        rows = list[list[object]]()
        for product in port.tables:
            for key, line in self._core.desired_lines(port, product).items():
                held = port.held.lines.get(key)
                rows.append(
                    [
                        *key,
                        line.weight,
                        line.admin.value,
                        held.weight if held else "",
                        held.admin.value if held else "",
                    ]
                )
        return format_csv(("pxname", "svname", "weight", "state", "held_weight", "held_state"), rows)

    def errors(self, words: tuple[str, ...]) -> str:
        now = self._manager.clock.seconds()
        total = sum(fault.many for fault in self._manager.errors)
        return f"Total events captured : {total}\n" + "".join(
            f"[{now - fault.at:.1f}s ago] {fault.many} x {fault.what}\n" for fault in self._manager.errors
        )

    # Factors on the decided weights, through the guard.

    def _factor(self, word: str, percent: str) -> tuple[tuple[str, str], float]:
        product, _, server = word.partition("/")
        if not server:
            raise CommandRefused("Require 'product/server'.")
        return (product, server), number(0, 10_000, "%")(percent) / 100

    def _propose(self, why: str, changes: list[tuple[tuple[str, str], float]]) -> str:
        gateways, table_guard = self._core.gateways_using({key for key, _ in changes}), self._core.table_guard
        return self._stands(lambda now: table_guard.propose("operator", why, changes, gateways, now))

    def _stands(self, change: Callable[[int], Version]) -> str:
        table_guard = self._core.table_guard
        try:
            version = change(clock_tenths(self._manager.clock))
        except Denied as denied:
            raise CommandRefused(f"Refused: {denied}.") from None
        self._core.mark_all_pending()
        self._manager.handle_events()
        wave = table_guard.wave
        out = wave is not None and not wave.finished and wave.number == version.number
        self._manager.told("table.accepted", version=version.number, why=version.why, wave=out)
        return f"Version {version.number} {'goes out in waves' if out else 'stands'}.\n"

    def weight(self, words: tuple[str, ...]) -> str:
        return self._propose(" ".join(words), [self._factor(words[2], words[3])])

    def prepare(self, words: tuple[str, ...]) -> str:
        self._version += 1
        self._prepared[self._version] = []
        while len(self._prepared) > PREPARED_MOST:
            del self._prepared[next(iter(self._prepared))]
        return f"New version created: {self._version}\n"

    def _lines_of(self, word: str) -> list[tuple[tuple[str, str], float]]:
        version = word.removeprefix("@")
        if not version.isdigit() or int(version) not in self._prepared:
            raise CommandRefused("Unknown version of the table.")
        return self._prepared[int(version)]

    def add_line(self, words: tuple[str, ...]) -> str:
        lines = self._lines_of(words[2])
        if len(lines) >= LINES_MOST:
            raise CommandRefused(f"The version is full; {LINES_MOST} lines are allowed.")
        lines.append(self._factor(words[3], words[4]))
        return ""

    def commit(self, words: tuple[str, ...]) -> str:
        lines = self._lines_of(words[2])
        del self._prepared[int(words[2].removeprefix("@"))]
        return self._propose(" ".join(words[3:]) or "commit table", lines)

    def rollback(self, words: tuple[str, ...]) -> str:
        if not words[2].isdigit():
            raise CommandRefused("Require a version's number.")
        table_guard = self._core.table_guard
        keys = {key for one in table_guard.history.all() for key in one.factors}
        gateways = self._core.gateways_using(keys)
        return self._stands(lambda now: table_guard.rollback("operator", int(words[2]), gateways, now))

    @staticmethod
    def _age(at: int, now: int) -> int:
        return (now - at) // TENTHS_PER_SECOND if at else -1

    def history(self, words: tuple[str, ...]) -> str:
        now, history = clock_tenths(self._manager.clock), self._core.table_guard.history
        return "# version parent age_s who lines state why\n" + "".join(
            f"{one.number} {one.parent} {self._age(one.at, now)} {one.who} {len(one.factors)} "
            f"{'current' if one.number == history.current else one.state.replace(' ', '_')} {one.why}\n"
            for one in history.all()
        )

    def diff(self, words: tuple[str, ...]) -> str:
        try:
            rows = self._core.table_guard.history.diff(int(words[3]), int(words[4]))
        except (KeyError, ValueError):
            raise CommandRefused("No such version.") from None
        return "# pxname svname before after\n" + "".join(
            f"{key[0]} {key[1]} {100 * before:g}% {100 * after:g}%\n" for key, before, after in rows
        )

    def refused(self, words: tuple[str, ...]) -> str:
        now = clock_tenths(self._manager.clock)
        return "".join(
            f"[{(now - one.at) // TENTHS_PER_SECOND}s ago] {one.who}: {one.what}\n"
            for one in self._core.table_guard.history.refused
        )

    def wave(self, words: tuple[str, ...]) -> str:
        wave = self._core.table_guard.wave
        if wave is None:
            return "No wave.\n"
        return (
            f"version={wave.number} stage={wave.stage.name.lower()} gateways={','.join(wave.changed) or '-'} "
            f"txns={wave.test.txns:.0f} sure_worse={wave.test.probability_worse():.3f}\n"
        )

    # Load reports.

    def load(self, words: tuple[str, ...]) -> str:
        desk, now = self._manager.desk, clock_tenths(self._manager.clock)
        if len(words) > 2 and words[2] not in desk.senders:
            raise CommandRefused("No such server that reports.")
        rows = [
            [
                name,
                f"{one.reading.value():.3f}",
                f"{(now - one.reading.last_heard) / TENTHS_PER_SECOND:.1f}",
                f"{one.reading.freshness(now):.2f}",
                f"{desk.hints.worth(name):.2f}",
                f"{desk.current_hints.get(name, 1.0):.3f}",
                one.reading.boot,
                one.reading.newest,
                one.agent.why if one.agent else "",
            ]
            for name, one in desk.senders.items()
            if one.reading.boot >= 0 and words[2:3] in ((), (name,))
        ]
        return format_csv(("svname", "load", "age_s", "say", "worth", "hint", "boot", "number", "why"), rows)

    def intake(self, words: tuple[str, ...]) -> str:
        desk, now = self._manager.desk, clock_tenths(self._manager.clock)
        loads, ages = desk.distributions(now)
        text = "".join(f"{fate.name}: {many}\n" for fate, many in desk.counts.items())
        text += "".join(f"Lane: {lane.pid} started {lane.starts}\n" for lane in self._manager.lanes)
        for what, sketch in (("load", loads), ("age_s", ages)):
            text += "".join(
                f"{what}_p{round(100 * part)}: {sketch.quantile(part):.3f}\n" for part in (0.5, 0.9, 0.99)
            )
        return text + "".join(
            f"heavy: {sender} {count} dropped, over by {over} at most\n"
            for sender, count, over in desk.limits.heavy.top(5)
        )

    def store(self, words: tuple[str, ...]) -> str:
        memory = self._manager.memory
        if memory is None:
            raise CommandRefused("Nothing is remembered: no memory is configured, or it could not be opened.")
        opened, writer = memory.opened, memory.writer
        facts: dict[str, object] = {
            "Records": len(memory.log.state),
            "Waiting": len(writer),
            "Batches": writer.batches,
            "Written": writer.records,
            "Refused": writer.refused,
            "Snapshots": memory.log.snapshots,
            "Segment": memory.log.segment,
            "Failing": int(writer.failing),
            "Snapshot_read": opened.snapshot or "none",
            "Records_read": opened.records,
            "Skipped": opened.skipped,
            "Gaps": opened.gaps,
            "Servers_recalled": memory.recalled,
            "Commands": len(memory.journal),
            "Commands_from_record": memory.journal.answered_from_journal,
            "Commands_unknown": memory.journal.unknown_outcomes,
        }
        text = "".join(f"{key}: {value}\n" for key, value in facts.items())
        text += "".join(f"server memories, {sign.value}: {many}\n" for sign, many in memory.signs.items())
        return text + "".join(f"set aside: {damage}\n" for damage in opened.damage)

    # The DNS front.

    def dns(self, words: tuple[str, ...]) -> str:
        front = self._manager.dns
        if front is None:
            raise CommandRefused("No zone is configured.")
        text = "".join(f"{fate.name}: {many}\n" for fate, many in front.counts.items())
        text += f"ttl: {front.ttl_policy.normal}\nbuckets: {len(front.rate_limiter)}\n"
        rows = list[list[object]]()
        for (product, region), pool in front.pools.items():
            for server, share in pool.selector.shares.items():
                rows.append(
                    [
                        product,
                        region,
                        server,
                        f"{share.weight:g}",
                        int(share.cold),
                        f"{pool.selector.allowance(server):.2f}",
                        f"{pool.selector.cached_load.get(server, 0.0):.2f}",
                    ]
                )
        return text + format_csv(
            ("pxname", "region", "svname", "weight", "cold", "allowed_s", "standing_s"), rows
        )

    def resolvers(self, words: tuple[str, ...]) -> str:
        front, now = self._manager.dns, clock_tenths(self._manager.clock)
        if front is None:
            raise CommandRefused("No zone is configured.")
        rows = [
            [
                product,
                region,
                asker.source,
                asker.queries,
                f"{pool.resolvers.estimated_load(asker):.2f}",
                f"{TENTHS_PER_SECOND / asker.mean_wait if asker.mean_wait else 0:.2f}",
                int(asker.identified()),
                f"{(now - asker.last_query) / TENTHS_PER_SECOND:.1f}",
                " ".join(asker.servers),
            ]
            for (product, region), pool in front.pools.items()
            for asker in sorted(pool.resolvers.all(), key=lambda one: -pool.resolvers.estimated_load(one))[
                :SHOWN
            ]
        ]
        return format_csv(
            ("pxname", "region", "resolver", "asked", "txns_s", "by_waits", "known", "age_s", "servers"), rows
        )

    # Changes of the list.

    def _name(self, word: str) -> str:
        backend, _, server = word.partition("/")
        if not server:
            raise CommandRefused("Require 'backend/server'.")
        if backend != FLEET:
            raise CommandRefused(f"No such backend. Servers are listed in '{FLEET}'.")
        return name(server)

    def set_server(self, words: tuple[str, ...]) -> str:
        server, now = self._name(words[2]), clock_tenths(self._manager.clock)
        if words[3] == "state":
            if words[4] not in STATES:
                raise CommandRefused("'set server <srv> state' expects 'ready', 'drain' and 'maint'.")
            self._manager.apply_list_change(self._roster.change(server, now, availability=STATES[words[4]]))
        elif words[3] == "weight":
            size = number(0.001, 1000)(words[4])
            try:
                self._core.table_guard.resize("operator", server, size / self._roster[server].size, now)
            except Denied as denied:
                raise CommandRefused(f"Refused: {denied}.") from None
            self._manager.apply_list_change(self._roster.change(server, now, size=size))
        else:
            raise CommandRefused("usage: set server fleet/NAME state | weight")
        return ""

    def enable(self, words: tuple[str, ...]) -> str:
        return self.set_server(("set", "server", words[2], "state", "ready"))

    def disable(self, words: tuple[str, ...]) -> str:
        return self.set_server(("set", "server", words[2], "state", "maint"))

    def add_server(self, words: tuple[str, ...]) -> str:
        server, address = self._name(words[2]), str(inet(words[3]))
        options = dict(zip(words[4::2], words[5::2], strict=False))
        if (
            len(words) % 2
            or set(options) - {"region", "model", "weight", "started"}
            or "region" not in options
        ):
            raise CommandRefused(
                "usage: add server fleet/NAME ADDRESS:PORT region REGION [model MODEL] [weight SIZE] "
                "[started TIME]"
            )
        if options["region"] not in self._manager.plan.regions:
            raise CommandRefused(f"No such region. {', '.join(self._manager.plan.regions)} are allowed.")
        age = options.get("started")
        now = clock_tenths(self._manager.clock)
        known = self._roster.version
        self._roster.add(
            server,
            options["region"],
            name(options.get("model", "any")),
            number(0.001, 1000)(options.get("weight", "1")),
            address,
            max(1, now - duration(age)) if age else now,
        )
        if self._roster.version == known:
            return "Already listed.\n"
        self._manager.apply_list_change(self._roster.listing_of(server))
        return "New server registered.\n"

    def del_server(self, words: tuple[str, ...]) -> str:
        self._manager.apply_list_change(self._roster.remove(self._name(words[2])))
        return "Server deleted.\n"
