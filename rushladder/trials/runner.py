"""Runs a day: starts managers and stand-ins as processes on loopback and applies the day's events to them."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from rushladder.conf.grammar import Address
from rushladder.runtime.client import send_commands
from rushladder.runtime.grammar import Command, parse_fields, split_commands
from rushladder.standins.record import EventRecord
from rushladder.store.files import Disk
from rushladder.store.log import Log
from rushladder.store.memory import MINORS, Kind, fleet_id
from rushladder.store.store_pb2 import DemandMemory, ServerMemory
from rushladder.trials.day import Day, Event, NodeSpec, seconds

ZONE = "trial.test"
SETTLE_TIME = 5.0  # s before the day begins, in which managers take their gateways and connections open
CLOSING_TIME = 1.5  # s after the day, in which the last answers arrive


def free_ports(count: int) -> list[int]:
    """Ports on which nothing listens at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for free_socket in sockets:
        free_socket.bind(("127.0.0.1", 0))
    ports = [free_socket.getsockname()[1] for free_socket in sockets]
    for free_socket in sockets:
        free_socket.close()
    return ports


class TrialRunner:
    """Runs one day in one folder.

    managed: whether managers run; otherwise gateways keep their standing tables.
    """

    def __init__(self, day: Day, folder: Path, managed: bool = True) -> None:
        self.day, self.folder, self._managed = day, folder, managed
        self._processes = dict[str, subprocess.Popen[bytes]]()
        self._commands = dict[str, list[str]]()
        self._record = EventRecord(str(folder / "trial.jsonl"), "trial")
        ports = iter(free_ports(len(day.collectors) + len(day.gateways) + len(day.managers)))
        self._ports = {node.name: next(ports) for node in (*day.collectors, *day.gateways, *day.managers)}
        self._dns_ports = dict(
            zip((manager.name for manager in day.managers), free_ports(len(day.managers)), strict=True)
        )
        reporters = [node.name for node in day.collectors if node.reports]
        self._report_addresses = {name: f"127.0.1.{k + 1}" for k, name in enumerate(reporters)}
        self._report_ports = dict(
            zip((manager.name for manager in day.managers), free_ports(len(day.managers)), strict=True)
        )
        self._scheduled = list[tuple[float, int, Callable[[], None]]]()
        self._started_at = 0.0
        self._suspended = set[str]()  # processes that are killed or stopped at the moment
        self._listed_states = {node.name: "maint" if node.absent else "ready" for node in day.collectors}

    # Configuration files.

    def _path(self, name: str) -> str:
        return str(self.folder / name)

    def _address(self, node: NodeSpec) -> str:
        return f"127.0.0.1:{self._ports[node.name]}"

    @staticmethod
    def _token(node: NodeSpec) -> str:
        return hashlib.sha256(node.name.encode()).hexdigest()[:32]

    def _manager_config(self, manager: NodeSpec) -> str:
        day = self.day
        lines = [
            "global",
            "    log json",
            f"    seed {day.seed}",
            f"manager {manager.name}",
            f"    region {manager.region}",
            f"    list-file {self._path(manager.name + '.list')}"
            if day.memory == "none"
            else f"    memory {self._path(manager.name + '.memory')}",
        ]
        lines += ["    " + " ".join(words) for words in day.plan]
        lines += [f"region {region}" for region in day.regions]
        for product in day.products:
            lines += [f"product {product.name}", *("    " + " ".join(words) for words in product.directives)]
        gateway_count = len(day.gateways)
        for node in day.gateways:
            lines += [
                f"gateway {node.name}",
                f"    region {node.region}",
                f"    usual {day.load / gateway_count:.2f}/s",
                f"    socket unix@{self._path(f'{node.name}.{manager.name}.sock')}",
            ]
        for node in day.collectors:
            if not node.absent:
                lines += [
                    f"collector {node.name}",
                    f"    region {node.region}",
                    f"    address {self._address(node)}",
                    f"    model {node.model}",
                    *(
                        [f"    reports {self._report_addresses[node.name]} token {self._token(node)}"]
                        if node.reports
                        else []
                    ),
                    f"    size {node.size:g}",
                ]
        for node in day.managers:
            if node is not manager:
                lines += [f"peer {node.name}", f"    address {self._address(node)}"]
        if day.resolvers:
            lines += [
                f"dns {ZONE}",
                f"    bind 127.0.0.1:{self._dns_ports[manager.name]}",
                f"    ns ns.{ZONE}=127.0.0.1",
                f"    usual {sum(population.load for population in day.resolvers) / len(day.managers):.2f}/s",
                *("    " + " ".join(words) for words in day.dns),
            ]
        if self._report_addresses:
            lines += [
                "listen reports",
                f"    bind 127.0.0.1:{self._report_ports[manager.name]}",
                "    reports udp",
            ]
        lines += [
            "listen words",
            f"    bind {self._address(manager)}",
            "    peers",
            "listen admin",
            f"    bind unix@{self._path(manager.name + '.sock')} level admin",
            "",
        ]
        return "\n".join(lines)

    def _write_wrong_memory(self, manager: NodeSpec) -> None:
        """Writes a day-old memory of a fleet in which the fast servers were slow and the slow ones fast."""
        day, a_day_ago = self.day, int(1000 * (time.time() - 86_400))
        products = sorted(product.name for product in day.products)
        fleet = fleet_id(day.regions, products)
        disk = Disk(self._path(manager.name + ".memory"))
        log = Log(disk, fleet, manager.name, MINORS, wall=lambda: a_day_ago)
        log.open()
        for node in day.collectors:
            pace = min(2.0, max(0.3, node.size / node.speed))
            memory = ServerMemory(at=a_day_ago, region=node.region, model=node.model, pace=pace, factor=pace)
            log.put(Kind.SERVER, node.name, memory.SerializeToString())
        mix = {name: 0.0 if index else 1.0 for index, name in enumerate(products)}
        log.put(Kind.DEMAND, "all", DemandMemory(at=a_day_ago, quiet=1.0, mix=mix).SerializeToString())
        log.commit()
        disk.close()

    def _prepare_processes(self) -> None:
        day = self.day
        cold = seconds(day.plan_value("cold", default="15s"))
        cold_from = float(day.plan_value("cold", "from", "17%").rstrip("%")) / 100
        builds = [
            {
                "name": node.name,
                "port": self._ports[node.name],
                "cores": node.cores,
                "speed": node.speed,
                "cold": cold,
                "cold_from": cold_from,
                "fall_multiple": float(day.plan_value("fall", default="2.5x").rstrip("x")),
                "fall_for": seconds(day.plan_value("fall", "for", "2s")),
                "starts": not node.absent,
                "reports": node.reports,
                "address": self._report_addresses.get(node.name, ""),
                "token": self._token(node),
                "managers": list(self._report_ports.values()),
            }
            for node in day.collectors
        ]
        self._add_stand_in("collectors", {"kind": "collectors", "builds": builds})
        for gateway in day.gateways:
            nearby = [node for node in day.collectors if not node.absent and node.region == gateway.region][
                :5
            ]
            standing = {node.name: self._address(node) for node in nearby or day.collectors[:5]}
            self._add_stand_in(
                gateway.name,
                {
                    "kind": "gateway",
                    "port": self._ports[gateway.name],
                    "products": [product.name for product in day.products],
                    "sockets": [
                        self._path(f"{gateway.name}.{manager.name}.sock") for manager in day.managers
                    ],
                    "standing": standing,
                },
            )
        for manager in day.managers if self._managed else ():
            config_file = self._path(manager.name + ".conf")
            Path(config_file).write_text(self._manager_config(manager))
            if day.memory == "wrong":
                self._write_wrong_memory(manager)
            self._commands[manager.name] = [sys.executable, "-m", "rushladder", "run", config_file]
        profiles = [
            {
                "name": product.name,
                "share": product.share,
                "work": product.work,
                "expiry": product.expiry,
                "repeats": product.repeat == "inquiry-like",
            }
            for product in day.products
        ]
        self._prepare_resolvers(profiles)
        if not day.gateways:
            return
        self._add_stand_in(
            "clients",
            {
                "kind": "load",
                "asks": profiles,
                "rate": day.load,
                "seed": day.seed,
                "gateways": [[gateway.name, self._ports[gateway.name]] for gateway in day.gateways],
            },
        )

    def _prepare_resolvers(self, profiles: list[dict[str, object]]) -> None:
        first_address = 0
        for population in self.day.resolvers:
            fronts = sorted(self.day.managers, key=lambda manager: manager.region != population.region)
            self._add_stand_in(
                population.name,
                {
                    "kind": "resolvers",
                    "asks": profiles,
                    "many": population.count,
                    "zipf": population.zipf,
                    "rate": population.load,
                    "seed": self.day.seed + first_address,
                    "region": population.region,
                    "zone": ZONE,
                    "fronts": [[manager.name, self._dns_ports[manager.name]] for manager in fronts],
                    "ignore": population.ignore,
                    "first": first_address,
                },
            )
            first_address += population.count

    def _record_dns_weights(self, manager: str) -> None:
        """Records the weights that a manager's DNS front reports; the judge compares them with the tries."""
        rows = list[list[str]]()
        for answer in self._send(manager + ".sock", "show dns", 0.3):
            for line in answer.splitlines():
                cells = line.split(",")
                if len(cells) >= 7 and cells[0] in {product.name for product in self.day.products}:
                    rows.append(cells)
        self._record.log_event("split", manager=manager, rows=rows)

    def _add_stand_in(self, name: str, config: dict[str, object]) -> None:
        file = self.folder / f"{name}.json"
        file.write_text(
            json.dumps(
                {
                    "who": name,
                    "record": self._path(name + ".jsonl"),
                    "control": self._path(name + ".ctl"),
                    **config,
                }
            )
        )
        self._commands[name] = [sys.executable, "-m", "rushladder.standins", str(file)]

    # Processes.

    def _start_process(self, name: str) -> None:
        with open(self._path(name + ".log"), "ab") as log:
            self._processes[name] = subprocess.Popen(
                self._commands[name], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._suspended.discard(name)
        self._record.log_event("process", name=name, what="start")

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)
            if number is signal.SIGKILL:
                process.wait()
            (self._suspended.discard if number is signal.SIGCONT else self._suspended.add)(name)
            self._record.log_event("process", name=name, what=number.name)

    def _sample_managers(self) -> None:
        """Records the lines that each manager reports as waiting; for the charts, never for a verdict."""
        self._schedule_in(0.5, self._sample_managers)
        for manager in self.day.managers if self._managed else ():
            if manager.name not in self._suspended:
                answers = self._send(manager.name + ".sock", "show info", 0.3)
                info = parse_fields(answers[0]) if answers else {}
                if "LinesOwed" in info:
                    waiting_lines = int(info["LinesOwed"]) + int(info["LinesSent"])
                    self._record.log_event("waits", manager=manager.name, lines=waiting_lines)
                if self.day.resolvers:
                    self._record_dns_weights(manager.name)

    def _send(self, control: str, text: str, timeout: float = 3.0) -> list[str]:
        commands = [Command(words) for words in split_commands(text)]
        try:
            return send_commands(Address(path=self._path(control)), commands, timeout)
        except OSError as error:
            self._record.log_event("untold", control=control, text=text, why=str(error))
            return []

    def _change_list(self, name: str, command: str, state: str = "") -> None:
        """Sends a change of the list to every manager, as an orchestrator would, and repeats it until each
        has answered."""
        if state:
            self._listed_states[name] = state
        for manager in self.day.managers if self._managed else ():
            self._change_list_of(manager.name, name, command, state, 0)

    def _change_list_of(self, manager: str, name: str, command: str, state: str, attempt: int) -> None:
        if state and self._listed_states[name] != state:
            return
        answers = self._send(manager + ".sock", command)
        if answers:
            self._record.log_event("listed", manager=manager, name=name, state=state, answer=answers[0][:60])
        elif attempt < 40:
            self._schedule_in(0.3, lambda: self._change_list_of(manager, name, command, state, attempt + 1))

    def _schedule_in(self, delay: float, action: Callable[[], None]) -> None:
        self._schedule_at(time.monotonic() - self._started_at + delay, action)

    def _schedule_at(self, at: float, action: Callable[[], None]) -> None:
        self._scheduled.append((at, len(self._scheduled), action))

    # Event handlers. _schedule_event finds them by the event's target kind; each returns the callables that
    # begin and end the action.

    def _schedule_event(self, event: Event) -> None:
        targets = event.targets or ("",)
        for target in targets:
            begin, end = getattr(self, f"_{event.target_kind}")(target, event.action, event.arguments, event)
            self._schedule_at(event.at, begin)
            if event.duration and end is not None:
                self._schedule_at(event.at + event.duration, end)

    def _load(
        self, _: str, action: str, arguments: tuple[str, ...], event: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        undo = {"times": "factor all 1", "heavy": "heavy 0 1", "patience": "patience 1", "hot": "hot - 0"}
        verb = {
            "times": "factor all",
            "heavy": "heavy",
            "patience": "patience",
            "shift": "factor",
            "hot": "hot",
        }[action]
        return (
            lambda: self._send_to_clients(f"{verb} {' '.join(arguments)}"),
            (lambda: self._send_to_clients(undo[action])) if action in undo else None,
        )

    def _send_to_clients(self, text: str) -> None:
        self._send("clients.ctl", text)
        self._record.log_event("happens", what=text)

    def _collector(
        self, name: str, action: str, arguments: tuple[str, ...], event: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        node = next(candidate for candidate in self.day.collectors if candidate.name == name)

        def send(command: str) -> Callable[[], None]:
            def run() -> None:
                self._record.log_event("happens", what=command)
                self._send("collectors.ctl", command)

            return run

        def listed(state: str) -> Callable[[], None]:
            return lambda: self._change_list(name, f"set server fleet/{name} state {state}", state)

        def in_turn(*steps: Callable[[], None]) -> Callable[[], None]:
            def run() -> None:
                for step in steps:
                    step()

            return run

        crash, start = send(f"crash {name}"), send(f"start {name}")
        if action == "crash":  # the list learns of the crash a second later, and of the return at once
            return in_turn(crash, lambda: self._schedule_in(1.0, listed("maint"))), in_turn(
                start, listed("ready")
            )
        if action == "flap":
            period, at = seconds(arguments[0]), 0.0
            while at < max(event.duration, period):
                self._schedule_at(event.at + at, crash)
                self._schedule_at(event.at + at + 0.4 * period, start)
                at += period
            return (lambda: None), start
        if action == "release":  # drained, stopped, started cold
            down_for = seconds(arguments[0])
            return in_turn(
                listed("drain"),
                lambda: self._schedule_in(0.5 * down_for, in_turn(crash, listed("maint"))),
                lambda: self._schedule_in(down_for, in_turn(start, listed("ready"))),
            ), None
        if action == "ageing":
            for step in range(1, 6):
                factor = 1 + (float(arguments[0]) - 1) * step / 5
                self._schedule_at(
                    event.at + (event.duration or 5) * step / 6, send(f"slow {name} {factor:.2f}")
                )
            return (lambda: None), send(f"slow {name} 1")
        if action == "join":
            command = (
                f"add server fleet/{name} {self._address(node)} region {node.region} model {node.model} "
                f"weight {node.size:g}"
            )
            return in_turn(start, lambda: self._change_list(name, command, "ready")), None
        if action in ("slow", "fail", "hang"):
            on_argument, off_argument = {
                "slow": (arguments and arguments[0], "1"),
                "hang": ("on", "off"),
                "fail": (arguments and f"{float(arguments[0].rstrip('%')) / 100}", "0"),
            }[action]
            return send(f"{action} {name} {on_argument}"), send(f"{action} {name} {off_argument}")
        if action == "handshake":
            duration = seconds(arguments[0])
            return send(f"handshake {name} {duration}"), send(f"handshake {name} 0")
        if action == "weight":
            return (lambda: self._change_list(name, f"set server fleet/{name} weight {arguments[0]}")), None
        return listed(action), None

    def _kill_or_stall(self, name: str, action: str) -> tuple[Callable[[], None], Callable[[], None] | None]:
        if action == "kill":
            return (lambda: self._signal(name, signal.SIGKILL)), lambda: self._start_process(name)
        return (lambda: self._signal(name, signal.SIGSTOP)), lambda: self._signal(name, signal.SIGCONT)

    def _manager(
        self, name: str, action: str, arguments: tuple[str, ...], event: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        return self._kill_or_stall(name, action) if self._managed else ((lambda: None), None)

    def _gateway(
        self, name: str, action: str, arguments: tuple[str, ...], event: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        if action in ("kill", "stall"):
            return self._kill_or_stall(name, action)
        if action == "break":
            return (lambda: self._change_streams(name, "break")), None
        if action == "blind":
            addresses = " ".join(
                self._address(collector)
                for collector in self.day.collectors
                if collector.name in arguments[0].split(",")
            )
            return (lambda: self._send_fault(name, f"unreachable {addresses}")), lambda: self._send_fault(
                name, "unreachable"
            )
        return (lambda: self._change_streams(name, "close")), lambda: self._change_streams(name, "open")

    def _send_fault(self, gateway: str, command: str) -> None:
        self._record.log_event("happens", what=f"{gateway} {command}")
        self._send(gateway + ".ctl", command)

    def _change_streams(self, gateway: str, action: str, managers: tuple[str, ...] = ()) -> None:
        paths = " ".join(self._path(f"{gateway}.{manager}.sock") for manager in managers)
        self._send(gateway + ".ctl", f"streams {action} {paths}".strip())

    def _operator(
        self, name: str, action: str, arguments: tuple[str, ...], event: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        def say() -> None:
            if self._managed:
                answers = self._send(name + ".sock", arguments[0])
                self._record.log_event(
                    "said", manager=name, text=arguments[0], answers=[answer[:200] for answer in answers]
                )

        return say, None

    def _region(
        self, name: str, action: str, arguments: tuple[str, ...], event: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        def cut(active: bool) -> Callable[[], None]:
            def run() -> None:
                for gateway in self.day.gateways:
                    far_managers = tuple(
                        manager.name
                        for manager in self.day.managers
                        if (manager.region == name) != (gateway.region == name)
                    )
                    if far_managers:
                        self._change_streams(gateway.name, "close" if active else "open", far_managers)
                    unreachable = (
                        [
                            self._address(collector)
                            for collector in self.day.collectors
                            if (collector.region == name) != (gateway.region == name)
                        ]
                        if active
                        else []
                    )
                    self._send(gateway.name + ".ctl", " ".join(["unreachable", *unreachable]))

            return run

        return cut(True), cut(False)

    # The run.

    def run(self) -> None:
        """Runs the whole day; all processes that it started have ended when it returns."""
        self._prepare_processes()
        traffic = [
            name
            for name in ("clients", *(population.name for population in self.day.resolvers))
            if name in self._commands
        ]
        try:
            for name in self._commands:
                if name not in traffic:
                    self._start_process(name)
            self._wait_for_files(
                [f"{name}.ctl" for name in ("collectors", *(gateway.name for gateway in self.day.gateways))]
            )
            for name in traffic:
                self._start_process(name)
            time.sleep(SETTLE_TIME)
            self._started_at = time.monotonic()
            self._record.log_event("day", what="begins")
            for event in self.day.events:
                self._schedule_event(event)
            self._sample_managers()
            while (now := time.monotonic() - self._started_at) < self.day.length:
                due = sorted(item for item in self._scheduled if item[0] <= now)
                self._scheduled = [item for item in self._scheduled if item[0] > now]
                for _, _, action in due:
                    action()
                time.sleep(0.005)
            self._record.log_event("day", what="ends")
            for name in traffic:
                self._send(name + ".ctl", "stop")
            time.sleep(CLOSING_TIME)
        finally:
            self._terminate_all()

    def _wait_for_files(self, names: list[str]) -> None:
        deadline = time.monotonic() + 20
        while not all(os.path.exists(self._path(name)) for name in names):
            if time.monotonic() > deadline:
                raise TimeoutError("a stand-in did not start; see its .log file")
            time.sleep(0.05)

    def _terminate_all(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)
            if process.poll() is None:
                process.kill()
                process.wait()
