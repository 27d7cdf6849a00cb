"""The commands of a manager's runtime API. They are documented in docs/runtime-api.md."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import TimeoutError as TimedOut

from rushladder import __version__
from rushladder.conf.grammar import InvalidValue, duration, inet, name, number
from rushladder.core.host import LEVELS_MAP, RETRIES_MAP
from rushladder.core.roster import RosterError
from rushladder.gateways.diff import AdminState
from rushladder.guard.history import Version
from rushladder.guard.table_guard import Denied
from rushladder.interface import Availability
from rushladder.runtime.endpoint import CommandRefused, CommandSpec, CommandTable, Level
from rushladder.runtime.grammar import Command, format_csv
from rushladder.service.manager import Manager
from rushladder.store.commands import (
    DURABLE_TIMEOUT,
    MAX_COMMAND_LENGTH,
    MAX_ID_LENGTH,
    Effect,
    is_idempotent,
)
from rushladder.store.memory import Kind
from rushladder.timing import TENTHS_PER_SECOND, clock_tenths

# Uncommitted versions, and lines of each: 20 products x 1,000 servers.
MAX_PREPARED, MAX_PREPARED_LINES = 16, 20_000
MAX_RESOLVERS_SHOWN = 20  # of each pool: those with the most traffic
FLEET = "fleet"  # the name of the backend that holds all collectors
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
    """All commands of the API, with the level that each needs."""
    api = RuntimeApi(manager)
    table = CommandTable(
        [
            CommandSpec(tuple(words.split()), level, usage, _with_refusals(run))
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
                (
                    "show backend",
                    Level.USER,
                    "show backend : names of the backends: fleet, and the products",
                    api.backend,
                ),
                (
                    "show map",
                    Level.OPERATOR,
                    "show map [levels|retries] : admission levels, and the retry rules",
                    api.map,
                ),
                (
                    "show sess",
                    Level.OPERATOR,
                    "show sess : gateways, their holders, and lines waiting in each channel",
                    api.sess,
                ),
                (
                    "show table",
                    Level.OPERATOR,
                    "show table GATEWAY : lines that a gateway should have, and has",
                    api.table,
                ),
                (
                    "show errors",
                    Level.OPERATOR,
                    "show errors : the last errors, with how often each occurred",
                    api.errors,
                ),
                (
                    "show dns",
                    Level.USER,
                    "show dns : outcomes of queries, and the split of each pool",
                    api.dns,
                ),
                (
                    "show dns resolvers",
                    Level.OPERATOR,
                    "show dns resolvers : resolvers, and the estimated traffic of each",
                    api.resolvers,
                ),
                (
                    "show load",
                    Level.USER,
                    "show load [SERVER] : load that servers report, and how far it is trusted",
                    api.load,
                ),
                (
                    "show intake",
                    Level.USER,
                    "show intake : outcomes of load reports, their distribution, heavy senders",
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
                (
                    "show table diff",
                    Level.OPERATOR,
                    "show table diff A B : factors that differ between two versions",
                    api.diff,
                ),
                (
                    "show table refused",
                    Level.OPERATOR,
                    "show table refused : refused changes, and why",
                    api.refused,
                ),
                ("show wave", Level.OPERATOR, "show wave : the change being rolled out", api.wave),
                (
                    "set weight",
                    Level.ADMIN,
                    "set weight PRODUCT/SERVER PERCENT% : multiplies the computed weight",
                    api.weight,
                ),
                (
                    "prepare table",
                    Level.ADMIN,
                    "prepare table : opens a new version of the factors",
                    api.prepare,
                ),
                ("add table", Level.ADMIN, "add table @V PRODUCT/SERVER PERCENT%", api.add_line),
                (
                    "commit table",
                    Level.ADMIN,
                    "commit table @V [WHY...] : checks a version and rolls it out in waves",
                    api.commit,
                ),
                ("rollback to", Level.ADMIN, "rollback to N : returns to a version", api.rollback),
                ("enable server", Level.ADMIN, "enable server fleet/NAME : same as state ready", api.enable),
                (
                    "disable server",
                    Level.ADMIN,
                    "disable server fleet/NAME : same as state maint",
                    api.disable,
                ),
                (
                    "add server",
                    Level.ADMIN,
                    "add server fleet/NAME ADDRESS:PORT region R [model M] [weight SIZE] [started TIME]",
                    api.add_server,
                ),
                (
                    "del server",
                    Level.ADMIN,
                    "del server fleet/NAME : removes a server in maintenance from the list",
                    api.del_server,
                ),
                (
                    "show store",
                    Level.USER,
                    "show store : state kept over a restart, and what was restored",
                    api.store,
                ),
            )
        ]
    )
    once = CommandSpec(
        ("once",),
        Level.OPERATOR,
        "once ID COMMAND... : runs a command once, however often it is sent, also over restarts",
        OnceCommand(manager, table).run,
    )
    return CommandTable([*table.all, once])


Handler = Callable[[tuple[str, ...]], str]


def _field(index: int, key: str, value: str | int) -> dict[str, object]:
    """One field of `show info json`, as HAProxy formats it."""
    kind = "str" if isinstance(value, str) else "u64"
    return {
        "field": {"pos": index, "name": key},
        "processNum": 1,
        "tags": {"origin": "Product", "nature": "Output", "scope": "Process"},
        "value": {"type": kind, "value": value},
    }


def _with_refusals(run: Handler) -> Callable[[Command, Level], str]:
    """Turns errors of a handler about its arguments into refusals."""

    def call(command: Command, level: Level) -> str:
        try:
            return run(command.words)
        except (RosterError, InvalidValue) as error:
            raise CommandRefused(f"{error}") from None
        except IndexError:
            raise CommandRefused("An argument is missing, see 'help'.") from None

    return call


class OnceCommand:
    """Runs commands that carry an id at most once. `store.commands` decides how a repeated one is handled."""

    def __init__(self, manager: Manager, commands: CommandTable) -> None:
        self._manager, self._commands, self._journal = manager, commands, manager.journal

    async def run(self, command: Command, level: Level) -> str:
        """Handles `once ID COMMAND...` and returns the answer of the inner command."""
        words = command.words
        if len(words) < 3 or not re.fullmatch(rf"[\w.:\-]{{1,{MAX_ID_LENGTH}}}", words[1]):
            raise CommandRefused(
                f"once ID COMMAND...; an ID has 1 to {MAX_ID_LENGTH} letters, digits, and . : - _"
            )
        command_id, inner = words[1], Command(words[2:], command.payload)
        spec = self._commands.find(inner.words)
        text = " ".join(inner.words)
        if spec is None or len(text) > MAX_COMMAND_LENGTH:
            raise CommandRefused(f"Unknown command, or over {MAX_COMMAND_LENGTH} characters; see 'help'.")
        if spec.level > level:
            return "Permission denied\n"
        memory = self._manager.memory
        now = memory.now() if memory is not None else int(self._manager.clock.seconds() * 1000)
        if memory is None:  # otherwise the store evicts them, together with their records
            self._journal.expire(now)
        effect = self._journal.begin(command_id, text, is_idempotent(spec.words), now)
        if effect is Effect.ANSWER:
            return self._journal[command_id].answer
        if effect is not Effect.RUN:
            raise CommandRefused(f"Not carried out: {effect.value}.")
        if memory is not None:
            try:
                await self._make_durable(command_id)
            except TimedOut:
                self._journal.cancel(command_id)
                memory.writer.put(Kind.COMMAND, command_id, None)
                raise CommandRefused(
                    "Not carried out: it could not be noted, the disk fails or is slow."
                ) from None
        try:
            answer = spec.run(inner, level)
            answer = answer if isinstance(answer, str) else await answer
        except CommandRefused as refused:
            answer = f"{refused}\n"
        self._journal.record_answer(command_id, answer)
        if memory is not None:
            self._manager.store_changes()
            try:
                await self._make_durable(command_id)
            except TimedOut:
                raise CommandRefused(
                    f"Carried out, but not noted, as the disk fails or is slow: {answer}"
                ) from None
        return answer

    async def _make_durable(self, command_id: str) -> None:
        memory = self._manager.memory
        assert memory is not None
        memory.record_command(command_id)
        clock: Any = self._manager.clock
        await memory.flush().addTimeout(DURABLE_TIMEOUT, clock)


class RuntimeApi:
    """The handlers of the commands. Each takes the words of its command and returns the answer."""

    def __init__(self, manager: Manager) -> None:
        self._manager, self._core, self._roster = manager, manager.core, manager.roster
        self._prepared_version, self._prepared = 0, dict[int, list[tuple[tuple[str, str], float]]]()

    def info(self, words: tuple[str, ...]) -> str:
        manager, uptime = self._manager, self._manager.clock.seconds() - self._manager.started
        owed, sent = self._core.line_counts()
        unanswered = sum(driver.unanswered_commands() for driver in manager.drivers)
        facts: dict[str, str | int] = {
            "Name": "rushladder",
            "Version": __version__,
            "Node": manager.config.identity.name,
            "Region": manager.config.identity.region,
            "Uptime_sec": int(uptime),
            "Beats": manager.periods,
            "Events": manager.events,
            "Gateways": len(manager.drivers),
            "GatewaysHeld": sum(driver.session is not None for driver in manager.drivers),
            "Servers": len(self._roster.listed),
            "ListVersion": self._roster.version,
            "ListRestored": int(manager.restored),
            "LinesOwed": owed,
            "LinesSent": sent,
            "CommandsUnanswered": unanswered,
            "Errors": sum(error.count for error in manager.errors),
        }
        if words[2:3] == ("json",):
            return (
                json.dumps([_field(index, key, value) for index, (key, value) in enumerate(facts.items())])
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
                int(float(self._core.format_level(table.gates[product][0])))
                for session in self._core.sessions.values()
                if (table := session.tables.get(product)) is not None and product in table.gates
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
        gateway_counts = dict[str, int]()
        for session in self._core.sessions.values():
            servers = {
                key[1]
                for key, line in session.held.lines.items()
                if line.weight and line.admin is AdminState.READY
            }
            for server in servers:
                gateway_counts[server] = gateway_counts.get(server, 0) + 1
        for listed in self._roster.listed.values():
            count, voided, _, _, rate = listed.server.recent_totals(now, 5)
            rows.append(
                {
                    "pxname": FLEET,
                    "svname": listed.server.name,
                    "stot": int(count),
                    "eresp": int(voided),
                    "status": STATUS[listed.availability],
                    "weight": listed.size,
                    "rate": round(rate, 1),
                    "region": listed.server.zone,
                    "model": listed.server.model,
                    "listed": listed.availability.name.lower(),
                    "cold_permille": round(1000 * min(1.0, self._core.ramp(listed.server))),
                    "withdrawn": int(listed.server in self._core.withdrawn),
                    "gateways": gateway_counts.get(listed.server.name, 0),
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
        for index, listed in enumerate(self._roster.listed.values(), 1):
            host, port = listed.address.rsplit(":", 1)
            age = (now - listed.started_at) // TENTHS_PER_SECOND if listed.started_at else -1
            text += (
                f"1 {FLEET} {index} {listed.server.name} {host} {0 if bits[listed.availability] & 1 else 2} "
                f"{bits[listed.availability]} {listed.size:g} {age} {port} "
                f"{listed.server.zone} {listed.server.model}\n"
            )
        return text

    def backend(self, words: tuple[str, ...]) -> str:
        return "# name\n" + "".join(f"{line}\n" for line in (FLEET, *(p.name for p in self._core.products)))

    def map(self, words: tuple[str, ...]) -> str:
        if len(words) < 3:
            return f"# id (file) description\n0 ({LEVELS_MAP}) let in\n1 ({RETRIES_MAP}) retry rule\n"
        if words[2] not in (LEVELS_MAP, RETRIES_MAP):
            raise CommandRefused("Unknown map identifier. Please use levels or retries.")
        text, index = "", 0
        for session in self._core.sessions.values():
            for key, value in self._core.maps(session)[words[2]].items():
                index += 1
                text += f"0x{index:x} {session.gateway.name}/{key} {value}\n"
        return text

    def sess(self, words: tuple[str, ...]) -> str:
        now, text = clock_tenths(self._manager.clock), ""
        for driver in self._manager.drivers:
            session, election = driver.session, driver.election
            text += (
                f"{driver.gateway.name}: region={driver.gateway.zone} stand={election.state.name.lower()} "
                f"epoch={election.epoch} up={int(driver.connected)} unanswered={driver.unanswered_commands()}"
            )
            if session is not None:
                age = (now - session.sent_at) // 10 if session.sent_at else 0
                text += (
                    f" owed={session.pending_lines} sent={session.sent_lines} age={age}ms "
                    f"messages={session.messages} lines={len(session.held.lines)}"
                )
            text += "\n"
        return text

    def table(self, words: tuple[str, ...]) -> str:
        session = next(
            (session for session in self._core.sessions.values() if session.gateway.name == words[2]), None
        )
        if session is None:
            raise CommandRefused("No such gateway held here.")
        rows = list[list[object]]()
        for product in session.tables:
            for key, line in self._core.desired_lines(session, product).items():
                held = session.held.lines.get(key)
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
        total = sum(error.count for error in self._manager.errors)
        return f"Total events captured : {total}\n" + "".join(
            f"[{now - error.at:.1f}s ago] {error.count} x {error.message}\n" for error in self._manager.errors
        )

    # Factors that multiply the computed weights. Changes go through the guard.

    def _parse_factor(self, word: str, percent: str) -> tuple[tuple[str, str], float]:
        product, _, server = word.partition("/")
        if not server:
            raise CommandRefused("Require 'product/server'.")
        return (product, server), number(0, 10_000, "%")(percent) / 100

    def _propose(self, why: str, changes: list[tuple[tuple[str, str], float]]) -> str:
        gateways, table_guard = self._core.gateways_using({key for key, _ in changes}), self._core.table_guard
        return self._apply(lambda now: table_guard.propose("operator", why, changes, gateways, now))

    def _apply(self, change: Callable[[int], Version]) -> str:
        table_guard = self._core.table_guard
        try:
            version = change(clock_tenths(self._manager.clock))
        except Denied as denied:
            raise CommandRefused(f"Refused: {denied}.") from None
        self._core.mark_all_pending()
        self._manager.handle_events()
        wave = table_guard.wave
        in_wave = wave is not None and not wave.finished and wave.number == version.number
        self._manager.log_event("table.accepted", version=version.number, why=version.why, wave=in_wave)
        return f"Version {version.number} {'goes out in waves' if in_wave else 'stands'}.\n"

    def weight(self, words: tuple[str, ...]) -> str:
        return self._propose(" ".join(words), [self._parse_factor(words[2], words[3])])

    def prepare(self, words: tuple[str, ...]) -> str:
        self._prepared_version += 1
        self._prepared[self._prepared_version] = []
        while len(self._prepared) > MAX_PREPARED:
            del self._prepared[next(iter(self._prepared))]
        return f"New version created: {self._prepared_version}\n"

    def _prepared_lines(self, word: str) -> list[tuple[tuple[str, str], float]]:
        version = word.removeprefix("@")
        if not version.isdigit() or int(version) not in self._prepared:
            raise CommandRefused("Unknown version of the table.")
        return self._prepared[int(version)]

    def add_line(self, words: tuple[str, ...]) -> str:
        lines = self._prepared_lines(words[2])
        if len(lines) >= MAX_PREPARED_LINES:
            raise CommandRefused(f"The version is full; {MAX_PREPARED_LINES} lines are allowed.")
        lines.append(self._parse_factor(words[3], words[4]))
        return ""

    def commit(self, words: tuple[str, ...]) -> str:
        lines = self._prepared_lines(words[2])
        del self._prepared[int(words[2].removeprefix("@"))]
        return self._propose(" ".join(words[3:]) or "commit table", lines)

    def rollback(self, words: tuple[str, ...]) -> str:
        if not words[2].isdigit():
            raise CommandRefused("Require a version's number.")
        table_guard = self._core.table_guard
        keys = {key for version in table_guard.history.all() for key in version.factors}
        gateways = self._core.gateways_using(keys)
        return self._apply(lambda now: table_guard.rollback("operator", int(words[2]), gateways, now))

    @staticmethod
    def _age(at: int, now: int) -> int:
        return (now - at) // TENTHS_PER_SECOND if at else -1

    def history(self, words: tuple[str, ...]) -> str:
        now, history = clock_tenths(self._manager.clock), self._core.table_guard.history
        return "# version parent age_s who lines state why\n" + "".join(
            f"{version.number} {version.parent} {self._age(version.at, now)} {version.who} "
            f"{len(version.factors)} "
            f"{'current' if version.number == history.current else version.state.replace(' ', '_')} "
            f"{version.why}\n"
            for version in history.all()
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
            f"[{(now - change.at) // TENTHS_PER_SECOND}s ago] {change.who}: {change.what}\n"
            for change in self._core.table_guard.history.refused
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
        processor, now = self._manager.report_processor, clock_tenths(self._manager.clock)
        if len(words) > 2 and words[2] not in processor.senders:
            raise CommandRefused("No such server that reports.")
        rows = [
            [
                name,
                f"{sender.reading.value():.3f}",
                f"{(now - sender.reading.last_heard) / TENTHS_PER_SECOND:.1f}",
                f"{sender.reading.freshness(now):.2f}",
                f"{processor.hints.worth(name):.2f}",
                f"{processor.current_hints.get(name, 1.0):.3f}",
                sender.reading.boot,
                sender.reading.newest,
                sender.agent.why if sender.agent else "",
            ]
            for name, sender in processor.senders.items()
            if sender.reading.boot >= 0 and words[2:3] in ((), (name,))
        ]
        return format_csv(("svname", "load", "age_s", "say", "worth", "hint", "boot", "number", "why"), rows)

    def intake(self, words: tuple[str, ...]) -> str:
        processor, now = self._manager.report_processor, clock_tenths(self._manager.clock)
        loads, ages = processor.distributions(now)
        text = "".join(f"{outcome.name}: {count}\n" for outcome, count in processor.counts.items())
        text += "".join(
            f"Lane: {receiver.pid} started {receiver.starts}\n" for receiver in self._manager.report_receivers
        )
        for quantity, sketch in (("load", loads), ("age_s", ages)):
            text += "".join(
                f"{quantity}_p{round(100 * fraction)}: {sketch.quantile(fraction):.3f}\n"
                for fraction in (0.5, 0.9, 0.99)
            )
        return text + "".join(
            f"heavy: {sender} {count} dropped, over by {over} at most\n"
            for sender, count, over in processor.limits.heavy.top(5)
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
        text += "".join(
            f"server memories, {validity.value}: {count}\n"
            for validity, count in memory.record_counts.items()
        )
        return text + "".join(f"set aside: {damage}\n" for damage in opened.damage)

    # The DNS front.

    def dns(self, words: tuple[str, ...]) -> str:
        responder = self._manager.dns
        if responder is None:
            raise CommandRefused("No zone is configured.")
        text = "".join(f"{outcome.name}: {count}\n" for outcome, count in responder.counts.items())
        text += f"ttl: {responder.ttl_policy.normal}\nbuckets: {len(responder.rate_limiter)}\n"
        rows = list[list[object]]()
        for (product, region), pool in responder.pools.items():
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
        responder, now = self._manager.dns, clock_tenths(self._manager.clock)
        if responder is None:
            raise CommandRefused("No zone is configured.")
        rows = [
            [
                product,
                region,
                resolver.source,
                resolver.queries,
                f"{pool.resolvers.estimated_load(resolver):.2f}",
                f"{TENTHS_PER_SECOND / resolver.mean_wait if resolver.mean_wait else 0:.2f}",
                int(resolver.identified()),
                f"{(now - resolver.last_query) / TENTHS_PER_SECOND:.1f}",
                " ".join(resolver.servers),
            ]
            for (product, region), pool in responder.pools.items()
            for resolver in sorted(
                pool.resolvers.all(), key=lambda resolver: -pool.resolvers.estimated_load(resolver)
            )[:MAX_RESOLVERS_SHOWN]
        ]
        return format_csv(
            ("pxname", "region", "resolver", "asked", "txns_s", "by_waits", "known", "age_s", "servers"), rows
        )

    # Changes to the list.

    def _server_name(self, word: str) -> str:
        backend, _, server = word.partition("/")
        if not server:
            raise CommandRefused("Require 'backend/server'.")
        if backend != FLEET:
            raise CommandRefused(f"No such backend. Servers are listed in '{FLEET}'.")
        return name(server)

    def set_server(self, words: tuple[str, ...]) -> str:
        server, now = self._server_name(words[2]), clock_tenths(self._manager.clock)
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
        server, address = self._server_name(words[2]), str(inet(words[3]))
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
        if options["region"] not in self._manager.config.regions:
            raise CommandRefused(f"No such region. {', '.join(self._manager.config.regions)} are allowed.")
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
        self._manager.apply_list_change(self._roster.remove(self._server_name(words[2])))
        return "Server deleted.\n"
