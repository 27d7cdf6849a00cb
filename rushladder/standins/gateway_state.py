"""The state of a plain proxy as its runtime socket exposes it: backends, servers, maps, variables, counters.

Written from HAProxy's public management guide. Covers only the commands that our managers use and the errors
that they may get. It opens no socket.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from random import Random

import attrs

from rushladder.runtime.endpoint import CommandRefused, CommandSpec, CommandTable, Level
from rushladder.runtime.grammar import Command, format_csv

MEAN_SAMPLES = 1024  # of the sliding mean, as in the guide
COLUMNS = """
    pxname svname qcur qmax scur smax slim stot bin bout dreq dresp ereq econ eresp wretr wredis status
    weight act bck chkfail chkdown lastchg downtime qlimit pid iid sid throttle lbtot tracked type rate
    rate_lim rate_max check_status check_code check_duration hrsp_1xx hrsp_2xx hrsp_3xx hrsp_4xx
    hrsp_5xx hrsp_other hanafail req_rate req_rate_max req_tot cli_abrt srv_abrt comp_in comp_out
    comp_byp comp_rsp lastsess last_chk last_agt qtime ctime rtime ttime
""".split()  # noqa: SIM905
STATE_COLUMNS = """
    be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight
    srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state
    srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord
""".split()  # noqa: SIM905


@attrs.define(eq=False)
class Line:
    """One server of one backend, with its counters since the start."""

    backend: str
    name: str
    address: str
    weight: int = 1
    admin: str = "ready"
    settled: int = 0
    voided: int = 0
    connect_failures: int = 0
    mean: float = 0.0
    in_flight: int = 0
    consecutive_voids: int = 0
    ejected_until: float = 0.0

    def record_settled(self, seconds: float) -> None:
        """Counts a settled txn and adds its duration to the sliding mean."""
        self.settled += 1
        self.mean += (1000 * seconds - self.mean) / min(self.settled, MEAN_SAMPLES)
        self.consecutive_voids = 0


class GatewayState:
    """The state behind one gateway's runtime sockets.

    clock: returns seconds. pid: differs from one incarnation to the next.
    draw: returns a random number in [0, 1).
    """

    def __init__(
        self,
        products: Sequence[str],
        clock: Callable[[], float],
        pid: int = 1,
        draw: Callable[[], float] | None = None,
    ) -> None:
        self.clock, self.pid, self.started = clock, pid, clock()
        self._draw = draw or Random(1).random
        self.backends: dict[str, dict[str, Line]] = {product: {} for product in products}
        self.received, self.declined = dict.fromkeys(products, 0), dict.fromkeys(products, 0)
        self.failed = dict.fromkeys(products, 0)
        self.maps: dict[str, dict[str, str]] = {"levels": {}, "retries": {}}
        self._versions = dict[tuple[str, str], dict[str, str]]()
        self._version = 0
        self.variables = dict[str, str]()
        self.on_command: Callable[[tuple[str, ...], str], None] = lambda words, answer: None
        operator, admin = Level.OPERATOR, Level.ADMIN
        self.commands = CommandTable(
            [
                self._command_spec(*row)
                for row in (
                    ("show info", Level.USER, self._info),
                    ("show stat", Level.USER, self._stat),
                    ("show servers state", Level.USER, self._servers),
                    ("show map", operator, self._show_map),
                    ("get var", operator, self._get_var),
                    ("set var", operator, self._set_var),
                    ("experimental-mode", admin, lambda words: ""),
                    ("set server", admin, self._set_server),
                    ("add server", admin, self._add_server),
                    ("del server", admin, self._del_server),
                    ("prepare map", admin, self._prepare),
                    ("add map", admin, self._add_map),
                    ("commit map", admin, self._commit),
                    ("clear counters all", admin, self._clear),
                )
            ]
        )

    def _command_spec(self, name: str, level: Level, run: Callable[[tuple[str, ...]], str]) -> CommandSpec:
        def run_and_notify(command: Command, _: Level) -> str:
            answer = ""
            try:
                answer = run(command.words)
            except CommandRefused as refused:
                answer = f"{refused}\n"
            except IndexError:
                answer = f"'{name}' lacks an argument.\n"
            self.on_command(command.words, answer)
            return answer

        return CommandSpec(tuple(name.split()), level, name, run_and_notify)

    # Traffic.

    def add(self, backend: str, name: str, address: str, weight: int = 1) -> None:
        self.backends[backend][name] = Line(backend, name, address, weight)

    def admits(self, product: str) -> bool:
        """Counts a new txn and decides by the product's level whether it is admitted or declined."""
        self.received[product] += 1
        if self._draw() * 1000 < float(self.maps["levels"].get(product, "1000")):
            return True
        self.declined[product] += 1
        return False

    def pick(self, product: str, excluded: Sequence[Line] = ()) -> Line | None:
        """Draws a line by weight, skipping ejected ones unless all usable lines are ejected."""
        usable = [
            line
            for line in self.backends[product].values()
            if line.weight and line.admin == "ready" and line not in excluded
        ]
        candidates = [line for line in usable if line.ejected_until <= self.clock()] or usable
        total_weight, position = sum(line.weight for line in candidates), 0.0
        position = self._draw() * total_weight
        for line in candidates:
            position -= line.weight
            if position < 0:
                return line
        return None

    # Commands of the runtime socket.

    def _line(self, name: str) -> Line:
        backend, _, server = name.partition("/")
        if not server:
            raise CommandRefused("Require 'backend/server'.")
        if backend not in self.backends:
            raise CommandRefused("No such backend.")
        if server not in self.backends[backend]:
            raise CommandRefused("No such server.")
        return self.backends[backend][server]

    def _info(self, words: tuple[str, ...]) -> str:
        uptime = self.clock() - self.started
        return (
            f"Name: HAProxy\nVersion: 2.8\nNbthread: 1\nPid: {self.pid}\nUptime: 0d 0h00m{int(uptime):02d}s\n"
            f"Uptime_sec: {int(uptime)}\nCurrConns: 0\n"
        )

    def _stat(self, words: tuple[str, ...]) -> str:
        rows = list[dict[str, object]]()
        for product, lines in self.backends.items():
            rows += [
                {
                    "pxname": line.backend,
                    "svname": line.name,
                    "stot": line.settled + line.voided,
                    "econ": line.connect_failures,
                    "eresp": line.voided - line.connect_failures,
                    "status": "UP",
                    "type": 2,
                    "weight": line.weight,
                    "hrsp_2xx": line.settled,
                    "scur": line.in_flight,
                    "hrsp_5xx": 0,
                    "ttime": round(line.mean),
                    "lastchg": int(self.clock() - self.started),
                }
                for line in lines.values()
            ]
            rows.append(
                {
                    "pxname": product,
                    "svname": "BACKEND",
                    "stot": self.received[product],
                    "type": 1,
                    "status": "UP",
                    "req_tot": self.received[product],
                    "dreq": self.declined[product],
                    "eresp": self.failed[product],
                }
            )
        return format_csv(COLUMNS, ([row.get(name, "") for name in COLUMNS] for row in rows))

    def _servers(self, words: tuple[str, ...]) -> str:
        text = "1\n# " + " ".join(STATE_COLUMNS) + "\n"
        for backend_id, (backend, lines) in enumerate(self.backends.items(), 2):
            for server_id, line in enumerate(lines.values(), 1):
                host, port = line.address.rsplit(":", 1)
                bits = {"ready": 0, "drain": 8, "maint": 1}[line.admin]
                op = 0 if bits & 1 else 2
                text += f"{backend_id} {backend} {server_id} {line.name} {host} {op} {bits} {line.weight} 1 "
                text += f"0 1 0 0 0 0 0 0 - {port} -\n"
        return text

    def _set_server(self, words: tuple[str, ...]) -> str:
        line, setting = self._line(words[2]), words[3]
        if setting == "weight":
            if not re.fullmatch(r"\d{1,3}", words[4]) or int(words[4]) > 256:
                raise CommandRefused("Absolute weight can only be between 0 and 256 inclusive.")
            line.weight = int(words[4])
        elif setting == "state":
            if words[4] not in ("ready", "drain", "maint"):
                raise CommandRefused("'set server <srv> state' expects 'ready', 'drain' and 'maint'.")
            line.admin = words[4]
        elif setting == "addr":
            line.address = f"{words[4]}:{words[6]}"
        else:
            raise CommandRefused(
                "usage: set server <backend>/<server> addr | agent | health | state | weight"
            )
        return ""

    def _add_server(self, words: tuple[str, ...]) -> str:
        backend, _, server = words[2].partition("/")
        if backend not in self.backends:
            raise CommandRefused("No such backend.")
        if server in self.backends[backend]:
            raise CommandRefused("Already exists a server with the same name in backend.")
        weight = int(words[words.index("weight") + 1]) if "weight" in words else 1
        self.backends[backend][server] = Line(backend, server, words[3], weight, "maint")
        return "New server registered.\n"

    def _del_server(self, words: tuple[str, ...]) -> str:
        line = self._line(words[2])
        if line.admin != "maint" or line.in_flight:
            raise CommandRefused(
                "Only servers in maintenance mode can be deleted."
                if line.admin != "maint"
                else "Server still has connections attached to it, cannot remove it."
            )
        del self.backends[line.backend][line.name]
        return "Server deleted.\n"

    def _map(self, words: tuple[str, ...], index: int) -> dict[str, str]:
        if words[index] not in self.maps:
            raise CommandRefused("Unknown map identifier. Please use #<id> or <file>.")
        return self.maps[words[index]]

    def _show_map(self, words: tuple[str, ...]) -> str:
        if len(words) < 3:
            return "# id (file) description\n" + "".join(f"-1 ({name}) map\n" for name in self.maps)
        return "".join(
            f"0x{entry_id:x} {key} {value}\n"
            for entry_id, (key, value) in enumerate(self._map(words, 2).items(), 4096)
        )

    def _prepare(self, words: tuple[str, ...]) -> str:
        self._map(words, 2)
        self._version += 1
        self._versions[words[2], str(self._version)] = {}
        while len(self._versions) > 16:  # drops the oldest versions that were never committed
            del self._versions[next(iter(self._versions))]
        return f"New version created: {self._version}\n"

    def _prepared(self, words: tuple[str, ...]) -> dict[str, str]:
        prepared = self._versions.get((words[3], words[2].removeprefix("@")))
        if prepared is None:
            raise CommandRefused("Unknown version of this map.")
        return prepared

    def _add_map(self, words: tuple[str, ...]) -> str:
        self._prepared(words)[words[4]] = words[5]
        return ""

    def _commit(self, words: tuple[str, ...]) -> str:
        self.maps[words[3]] = self._prepared(words)
        del self._versions[words[3], words[2].removeprefix("@")]
        return ""

    def _get_var(self, words: tuple[str, ...]) -> str:
        if words[2] not in self.variables:
            return "Variable not found\n"
        return f"{words[2]}: type=str value=<{self.variables[words[2]]}>\n"

    def _set_var(self, words: tuple[str, ...]) -> str:
        match = re.fullmatch(r"str\((.*)\)", words[3])
        if not match:
            raise CommandRefused("Parsing of the expression failed.")
        self.variables[words[2]] = match[1]
        return ""

    def _clear(self, words: tuple[str, ...]) -> str:
        for lines in self.backends.values():
            for line in lines.values():
                line.settled = line.voided = line.connect_failures = 0
        for counters in (self.received, self.declined, self.failed):
            counters.update(dict.fromkeys(counters, 0))
        return ""
