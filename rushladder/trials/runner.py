"""Plays a day: managers and stand-ins as processes on loopback, and what happens to them when."""

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
from rushladder.trials.day import Day, Event, Site, seconds

ZONE = "trial.test"
SETTLE = 5.0  # s before the day begins: managers have taken their gateways, connections are open
CLOSING = 1.5  # s after the day in which last answers come in


def free_ports(many: int) -> list[int]:
    """Ports that nobody listens at just now."""
    sockets = [socket.socket() for _ in range(many)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class TrialRunner:
    """One day in one folder. `steered`: whether managers run, or the standing tables are left as they are."""

    def __init__(self, day: Day, folder: Path, steered: bool = True) -> None:
        self.day, self.folder, self._steered = day, folder, steered
        self._processes = dict[str, subprocess.Popen[bytes]]()
        self._commands = dict[str, list[str]]()
        self._record = EventRecord(str(folder / "trial.jsonl"), "trial")
        ports = iter(free_ports(len(day.collectors) + len(day.gateways) + len(day.managers)))
        self._port = {site.name: next(ports) for site in (*day.collectors, *day.gateways, *day.managers)}
        self._dns = dict(zip((m.name for m in day.managers), free_ports(len(day.managers)), strict=True))
        reporters = [site.name for site in day.collectors if site.reports]
        self._from = {name: f"127.0.1.{k + 1}" for k, name in enumerate(reporters)}
        self._reports = dict(zip((m.name for m in day.managers), free_ports(len(day.managers)), strict=True))
        self._todo = list[tuple[float, int, Callable[[], None]]]()
        self._zero = 0.0
        self._still = set[str]()  # processes that are killed or stopped just now
        self._listed = {site.name: "maint" if site.absent else "ready" for site in day.collectors}

    # Files.

    def _path(self, name: str) -> str:
        return str(self.folder / name)

    def _address(self, site: Site) -> str:
        return f"127.0.0.1:{self._port[site.name]}"

    @staticmethod
    def _token(site: Site) -> str:
        return hashlib.sha256(site.name.encode()).hexdigest()[:32]

    def _plan(self, manager: Site) -> str:
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
            lines += [f"product {product.name}", *("    " + " ".join(words) for words in product.lines)]
        whole = len(day.gateways)
        for site in day.gateways:
            lines += [
                f"gateway {site.name}",
                f"    region {site.region}",
                f"    usual {day.load / whole:.2f}/s",
                f"    socket unix@{self._path(f'{site.name}.{manager.name}.sock')}",
            ]
        for site in day.collectors:
            if not site.absent:
                lines += [
                    f"collector {site.name}",
                    f"    region {site.region}",
                    f"    address {self._address(site)}",
                    f"    model {site.model}",
                    *(
                        [f"    reports {self._from[site.name]} token {self._token(site)}"]
                        if site.reports
                        else []
                    ),
                    f"    size {site.size:g}",
                ]
        for site in day.managers:
            if site is not manager:
                lines += [f"peer {site.name}", f"    address {self._address(site)}"]
        if day.resolvers:
            lines += [
                f"dns {ZONE}",
                f"    bind 127.0.0.1:{self._dns[manager.name]}",
                f"    ns ns.{ZONE}=127.0.0.1",
                f"    usual {sum(one.load for one in day.resolvers) / len(day.managers):.2f}/s",
                *("    " + " ".join(words) for words in day.dns),
            ]
        if self._from:
            lines += [
                "listen reports",
                f"    bind 127.0.0.1:{self._reports[manager.name]}",
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

    def _mislead(self, manager: Site) -> None:
        """A memory of a day ago, of a fleet whose fast servers were slow and the slow ones fast."""
        day, at = self.day, int(1000 * (time.time() - 86_400))
        products = sorted(product.name for product in day.products)
        fleet = fleet_id(day.regions, products)
        disk = Disk(self._path(manager.name + ".memory"))
        log = Log(disk, fleet, manager.name, MINORS, wall=lambda: at)
        log.open()
        for site in day.collectors:
            pace = min(2.0, max(0.3, site.size / site.speed))
            memory = ServerMemory(at=at, region=site.region, model=site.model, pace=pace, factor=pace)
            log.put(Kind.SERVER, site.name, memory.SerializeToString())
        mix = {name: 0.0 if place else 1.0 for place, name in enumerate(products)}
        log.put(Kind.DEMAND, "all", DemandMemory(at=at, quiet=1.0, mix=mix).SerializeToString())
        log.commit()
        disk.close()

    def _describe(self) -> None:
        day = self.day
        cold = seconds(day.figure("cold", otherwise="15s"))
        cold_from = float(day.figure("cold", "from", "17%").rstrip("%")) / 100
        builds = [
            {
                "name": s.name,
                "port": self._port[s.name],
                "cores": s.cores,
                "speed": s.speed,
                "cold": cold,
                "cold_from": cold_from,
                "fall_multiple": float(day.figure("fall", otherwise="2.5x").rstrip("x")),
                "fall_for": seconds(day.figure("fall", "for", "2s")),
                "starts": not s.absent,
                "reports": s.reports,
                "address": self._from.get(s.name, ""),
                "token": self._token(s),
                "managers": list(self._reports.values()),
            }
            for s in day.collectors
        ]
        self._stand_in("collectors", {"kind": "collectors", "builds": builds})
        for site in day.gateways:
            near = [s for s in day.collectors if not s.absent and s.region == site.region][:5]
            standing = {s.name: self._address(s) for s in near or day.collectors[:5]}
            self._stand_in(
                site.name,
                {
                    "kind": "gateway",
                    "port": self._port[site.name],
                    "products": [p.name for p in day.products],
                    "sockets": [self._path(f"{site.name}.{m.name}.sock") for m in day.managers],
                    "standing": standing,
                },
            )
        for manager in day.managers if self._steered else ():
            plan = self._path(manager.name + ".conf")
            Path(plan).write_text(self._plan(manager))
            if day.memory == "wrong":
                self._mislead(manager)
            self._commands[manager.name] = [sys.executable, "-m", "rushladder", "run", plan]
        asks = [
            {
                "name": p.name,
                "share": p.share,
                "work": p.work,
                "expiry": p.expiry,
                "repeats": p.repeat == "inquiry-like",
            }
            for p in day.products
        ]
        self._populations(asks)
        if not day.gateways:
            return
        self._stand_in(
            "clients",
            {
                "kind": "load",
                "asks": asks,
                "rate": day.load,
                "seed": day.seed,
                "gateways": [[s.name, self._port[s.name]] for s in day.gateways],
            },
        )

    def _populations(self, asks: list[dict[str, object]]) -> None:
        first = 0
        for one in self.day.resolvers:
            fronts = sorted(self.day.managers, key=lambda m: m.region != one.region)
            self._stand_in(
                one.name,
                {
                    "kind": "resolvers",
                    "asks": asks,
                    "many": one.many,
                    "zipf": one.zipf,
                    "rate": one.load,
                    "seed": self.day.seed + first,
                    "region": one.region,
                    "zone": ZONE,
                    "fronts": [[m.name, self._dns[m.name]] for m in fronts],
                    "ignore": one.ignore,
                    "first": first,
                },
            )
            first += one.many

    def _split(self, manager: str) -> None:
        """The DNS front's weights, by its own word; what they are held against is what collectors got."""
        rows = list[list[str]]()
        for answer in self._tell(manager + ".sock", "show dns", 0.3):
            for line in answer.splitlines():
                cells = line.split(",")
                if len(cells) >= 7 and cells[0] in {product.name for product in self.day.products}:
                    rows.append(cells)
        self._record.log_event("split", manager=manager, rows=rows)

    def _stand_in(self, name: str, what: dict[str, object]) -> None:
        file = self.folder / f"{name}.json"
        file.write_text(
            json.dumps(
                {
                    "who": name,
                    "record": self._path(name + ".jsonl"),
                    "control": self._path(name + ".ctl"),
                    **what,
                }
            )
        )
        self._commands[name] = [sys.executable, "-m", "rushladder.standins", str(file)]

    # Processes.

    def _start(self, name: str) -> None:
        with open(self._path(name + ".log"), "ab") as log:
            self._processes[name] = subprocess.Popen(
                self._commands[name], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._still.discard(name)
        self._record.log_event("process", name=name, what="start")

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)
            if number is signal.SIGKILL:
                process.wait()
            (self._still.discard if number is signal.SIGCONT else self._still.add)(name)
            self._record.log_event("process", name=name, what=number.name)

    def _sample(self) -> None:
        """What waits in each manager's channels, by its own word; for the charts, never for a verdict."""
        self._later(0.5, self._sample)
        for manager in self.day.managers if self._steered else ():
            if manager.name not in self._still:
                answers = self._tell(manager.name + ".sock", "show info", 0.3)
                facts = parse_fields(answers[0]) if answers else {}
                if "LinesOwed" in facts:
                    waits = int(facts["LinesOwed"]) + int(facts["LinesSent"])
                    self._record.log_event("waits", manager=manager.name, lines=waits)
                if self.day.resolvers:
                    self._split(manager.name)

    def _tell(self, control: str, text: str, patience: float = 3.0) -> list[str]:
        commands = [Command(words) for words in split_commands(text)]
        try:
            return send_commands(Address(path=self._path(control)), commands, patience)
        except OSError as trouble:
            self._record.log_event("untold", control=control, text=text, why=str(trouble))
            return []

    def _list(self, name: str, text: str, state: str = "") -> None:
        """Tells every manager of a change of the list, as an orchestrator would, and again until each was
        told."""
        if state:
            self._listed[name] = state
        for manager in self.day.managers if self._steered else ():
            self._list_one(manager.name, name, text, state, 0)

    def _list_one(self, manager: str, name: str, text: str, state: str, turn: int) -> None:
        if state and self._listed[name] != state:
            return
        answers = self._tell(manager + ".sock", text)
        if answers:
            self._record.log_event("listed", manager=manager, name=name, state=state, answer=answers[0][:60])
        elif turn < 40:
            self._later(0.3, lambda: self._list_one(manager, name, text, state, turn + 1))

    def _later(self, after: float, what: Callable[[], None]) -> None:
        self._at(time.monotonic() - self._zero + after, what)

    def _at(self, at: float, what: Callable[[], None]) -> None:
        self._todo.append((at, len(self._todo), what))

    # What happens.

    def _happen(self, one: Event) -> None:
        names = one.names or ("",)
        for name in names:
            begin, end = getattr(self, f"_{one.who}")(name, one.what, one.arguments, one)
            self._at(one.at, begin)
            if one.lasts and end is not None:
                self._at(one.at + one.lasts, end)

    def _load(
        self, _: str, what: str, words: tuple[str, ...], one: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        back = {"times": "factor all 1", "heavy": "heavy 0 1", "patience": "patience 1", "hot": "hot - 0"}
        text = {
            "times": "factor all",
            "heavy": "heavy",
            "patience": "patience",
            "shift": "factor",
            "hot": "hot",
        }[what]
        return (
            lambda: self._clients(f"{text} {' '.join(words)}"),
            (lambda: self._clients(back[what])) if what in back else None,
        )

    def _clients(self, text: str) -> None:
        self._tell("clients.ctl", text)
        self._record.log_event("happens", what=text)

    def _collector(
        self, name: str, what: str, words: tuple[str, ...], one: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        site = next(s for s in self.day.collectors if s.name == name)

        def tell(text: str) -> Callable[[], None]:
            def go() -> None:
                self._record.log_event("happens", what=text)
                self._tell("collectors.ctl", text)

            return go

        def listed(state: str) -> Callable[[], None]:
            return lambda: self._list(name, f"set server fleet/{name} state {state}", state)

        def both(*steps: Callable[[], None]) -> Callable[[], None]:
            def go() -> None:
                for step in steps:
                    step()

            return go

        crash, start = tell(f"crash {name}"), tell(f"start {name}")
        if what == "crash":  # the list hears of it a second late, and of its return at once
            return both(crash, lambda: self._later(1.0, listed("maint"))), both(start, listed("ready"))
        if what == "flap":
            period, at = seconds(words[0]), 0.0
            while at < max(one.lasts, period):
                self._at(one.at + at, crash)
                self._at(one.at + at + 0.4 * period, start)
                at += period
            return (lambda: None), start
        if what == "release":  # drained, stopped, started cold
            away = seconds(words[0])
            return both(
                listed("drain"),
                lambda: self._later(0.5 * away, both(crash, listed("maint"))),
                lambda: self._later(away, both(start, listed("ready"))),
            ), None
        if what == "ageing":
            for step in range(1, 6):
                factor = 1 + (float(words[0]) - 1) * step / 5
                self._at(one.at + (one.lasts or 5) * step / 6, tell(f"slow {name} {factor:.2f}"))
            return (lambda: None), tell(f"slow {name} 1")
        if what == "join":
            text = (
                f"add server fleet/{name} {self._address(site)} region {site.region} model {site.model} "
                f"weight {site.size:g}"
            )
            return both(start, lambda: self._list(name, text, "ready")), None
        if what in ("slow", "fail", "hang"):
            word, back = {
                "slow": (words and words[0], "1"),
                "hang": ("on", "off"),
                "fail": (words and f"{float(words[0].rstrip('%')) / 100}", "0"),
            }[what]
            return tell(f"{what} {name} {word}"), tell(f"{what} {name} {back}")
        if what == "handshake":
            cost = seconds(words[0])
            return tell(f"handshake {name} {cost}"), tell(f"handshake {name} 0")
        if what == "weight":
            return (lambda: self._list(name, f"set server fleet/{name} weight {words[0]}")), None
        return listed(what), None

    def _process(self, name: str, what: str) -> tuple[Callable[[], None], Callable[[], None] | None]:
        if what == "kill":
            return (lambda: self._signal(name, signal.SIGKILL)), lambda: self._start(name)
        return (lambda: self._signal(name, signal.SIGSTOP)), lambda: self._signal(name, signal.SIGCONT)

    def _manager(
        self, name: str, what: str, words: tuple[str, ...], one: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        return self._process(name, what) if self._steered else ((lambda: None), None)

    def _gateway(
        self, name: str, what: str, words: tuple[str, ...], one: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        if what in ("kill", "stall"):
            return self._process(name, what)
        if what == "break":
            return (lambda: self._stream(name, "break")), None
        if what == "blind":
            far = " ".join(self._address(c) for c in self.day.collectors if c.name in words[0].split(","))
            return (lambda: self._wire(name, f"unreachable {far}")), lambda: self._wire(name, "unreachable")
        return (lambda: self._stream(name, "close")), lambda: self._stream(name, "open")

    def _wire(self, gateway: str, text: str) -> None:
        self._record.log_event("happens", what=f"{gateway} {text}")
        self._tell(gateway + ".ctl", text)

    def _stream(self, gateway: str, what: str, managers: tuple[str, ...] = ()) -> None:
        paths = " ".join(self._path(f"{gateway}.{manager}.sock") for manager in managers)
        self._tell(gateway + ".ctl", f"streams {what} {paths}".strip())

    def _operator(
        self, name: str, what: str, words: tuple[str, ...], one: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        def say() -> None:
            if self._steered:
                answers = self._tell(name + ".sock", words[0])
                self._record.log_event(
                    "said", manager=name, text=words[0], answers=[a[:200] for a in answers]
                )

        return say, None

    def _region(
        self, name: str, what: str, words: tuple[str, ...], one: Event
    ) -> tuple[Callable[[], None], Callable[[], None] | None]:
        def cut(on: bool) -> Callable[[], None]:
            def go() -> None:
                for gateway in self.day.gateways:
                    far = tuple(
                        m.name for m in self.day.managers if (m.region == name) != (gateway.region == name)
                    )
                    if far:
                        self._stream(gateway.name, "close" if on else "open", far)
                    out = (
                        [
                            self._address(c)
                            for c in self.day.collectors
                            if (c.region == name) != (gateway.region == name)
                        ]
                        if on
                        else []
                    )
                    self._tell(gateway.name + ".ctl", " ".join(["unreachable", *out]))

            return go

        return cut(True), cut(False)

    # The whole.

    def run(self) -> None:
        """Runs the day from start to end; whatever it started has ended when it returns."""
        self._describe()
        traffic = [
            name for name in ("clients", *(r.name for r in self.day.resolvers)) if name in self._commands
        ]
        try:
            for name in self._commands:
                if name not in traffic:
                    self._start(name)
            self._wait_for([f"{name}.ctl" for name in ("collectors", *(g.name for g in self.day.gateways))])
            for name in traffic:
                self._start(name)
            time.sleep(SETTLE)
            self._zero = time.monotonic()
            self._record.log_event("day", what="begins")
            for happening in self.day.events:
                self._happen(happening)
            self._sample()
            while (now := time.monotonic() - self._zero) < self.day.length:
                due = sorted(item for item in self._todo if item[0] <= now)
                self._todo = [item for item in self._todo if item[0] > now]
                for _, _, what in due:
                    what()
                time.sleep(0.005)
            self._record.log_event("day", what="ends")
            for name in traffic:
                self._tell(name + ".ctl", "stop")
            time.sleep(CLOSING)
        finally:
            self._end()

    def _wait_for(self, names: list[str]) -> None:
        until = time.monotonic() + 20
        while not all(os.path.exists(self._path(name)) for name in names):
            if time.monotonic() > until:
                raise TimeoutError("a stand-in did not start; see its .log")
            time.sleep(0.05)

    def _end(self) -> None:
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
