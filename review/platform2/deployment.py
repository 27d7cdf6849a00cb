"""A small deployment on loopback for the cases of the second review.

It starts the manager with the line `run` of the deploy file and plays the other parties of the platform's
protocol: discovery, workers, proxies with their clients' traffic, and one collector for each zone. Only the
standard library is used. Nothing here judges: `judges.py` does.

Clock: `Deployment.now` is in seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
KEEP_ALIVE_SECONDS = 2.0  # between the empty lines of a watch
REPORT_SECONDS = 1.0  # between the reports of proxies and collectors
READY_SECONDS = 30.0  # a manager that takes longer makes the case impossible to run
MAX_SECONDS = 113.0  # of a script; a run has 120
REDIAL_SECONDS = (0.35, 2.0)  # gent-collect: from noticing a broken stream to dialling again


class CannotRun(Exception):
    """The case could not be played: it says nothing about the rule."""


def free_port(taken: set[int] = set()) -> int:  # noqa: B006
    """A free port outside of the usual range of outgoing connections, which could take it meanwhile."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK, port))
            if port not in taken:
                taken.add(port)
                return port


def deploy_line(name: str) -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        line: str = tomllib.load(file)[name]
        return line


def lane(name: str, target_ms: int, deadline_ms: int, **more: Any) -> dict[str, Any]:
    """A class of requests, as the settings have it."""
    return {
        "name": name,
        "idempotency": "retryable",
        "target": 1000 * target_ms,
        "deadline": 1000 * deadline_ms,
        "points": 3.0,
        "late_worth": 0.1,
        "group": "all",
        "repeat_window": 5_000_000,
        **more,
    }


def make_settings(
    zones: list[str], lanes: list[dict[str, Any]], proxies: int, **changes: Mapping[str, Any]
) -> dict[str, Any]:
    """The settings of a manager: the figures of the example in the wire's page, but for `changes`."""
    settings: dict[str, Any] = {
        "azs": zones,
        "counted_by": "request",
        "family_info": {
            "bare": 8_000_000,
            "base_mode": 1,
            "bootstrap": 5,
            "counted_over": 10_000_000,
            "egress_per_s": 1300.0,
            "ejects": 0,
            "head": 3.0,
            "intake_per_s": 75.0,
            "key_ranges": 0,
            "lb_method": "lottery",
            "local_first": True,
            "pending_max": 2000.0,
            "per_try": 1.2,
            "propagation": 446_000,
            "proxies": proxies,
            "push_delay_max": 1_115_000,
            "report_every": 1_000_000,
            "sockets_min": 336.0,
            "throttle_by": "ratio",
            "update_cap": 12,
            "writers": [False] * len(lanes),
            "zone_bound": [False] * len(lanes),
        },
        "group_size": 1,
        "guarantees": {
            "ask_within": 10_000_000,
            "cold": 15_000_000,
            "cold_from": 0.17,
            "drain_grace": 4_200_000,
            "overload_factor": 2.5,
            "overload_for": 2_000_000,
        },
        "lanes": lanes,
        "limits": {
            "conn_idle": 15_000_000,
            "connect_timeout": 300_000,
            "cpu_us_per_s": 400_000,
            "may_tell": False,
            "probes": True,
            "streams_per_conn": 32,
        },
        "me": 0,
        "membership_mode": "automatic",
        "models": ["large", "standard", "slow"],
        "my_zone": zones[0],
        "reporting": {"fields": [], "how": "silent"},
        "round": 5000,
        "service_type": "control",
        "weights": "nominal",
    }
    for part, values in changes.items():
        settings[part].update(values)
    return settings


class Record:
    """record.txt: what was sent, answered and run, a line each with the second of the case."""

    def __init__(self, path: Path) -> None:
        self._file, self._started = path.open("w", encoding="utf-8"), time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, kind: str, **fields: Any) -> None:
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {kind} {words}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Worker:
    """One worker: its port answers probes and requests.

    mode: "up", "hang" (accepts, answers nothing) or "down" (no listener). handle: called with each request's
    class and proxy; returns the seconds of service, or None to fail it.
    """

    def __init__(self, deployment: Deployment, name: str, zone: str, kind: str, weight: float) -> None:
        self._deployment = deployment
        self.name, self.zone, self.kind, self.weight = name, zone, kind, weight
        self.port, self.mode, self.started_ms = free_port(), "down", 0.0
        self._server: asyncio.Server | None = None
        self._open = set[asyncio.StreamWriter]()
        self.service: Callable[[str, int], float | None] = lambda product, proxy: 0.05

    def entry(self, state: str) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": state,
            "weight": self.weight,
            "started_ms": self.started_ms,
        }

    async def start(self, cold: bool = False) -> None:
        """Starts the process; cold: it starts now, otherwise it has run for long."""
        self.started_ms = time.time() * 1000 if cold else 0.0
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.mode = "up"
        self._deployment.record.write("worker", name=self.name, runs="cold" if cold else "warm")

    async def stop(self) -> None:
        """Ends the process: its connections are reset, and new ones are refused."""
        if self._server is not None:
            self.mode = "down"
            self._server.close()
            self._server = None
            for writer in list(self._open):
                writer.transport.abort()
            self._deployment.record.write("worker", name=self.name, ends=1)

    def hang(self) -> None:
        """From now on it takes connections and requests, and answers none."""
        self.mode = "hang"
        self._deployment.record.write("worker", name=self.name, hangs=1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            if self.mode == "hang":
                await reader.read()  # until the other side gives up
                return
            status = "200 OK"
            if path.startswith("/work/"):
                _, _, product, proxy = path.split("/")
                seconds = self.service(product, int(proxy))
                if seconds is None:
                    status = "500 Failed"
                else:
                    await asyncio.sleep(seconds)
                    if self.mode == "hang":
                        await reader.read()
                        return
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()


class Discovery:
    """The agent of discovery: one list, watched by the managers.

    told: by manager watch and worker, when an entry of that state was written, and the entry; `on_written`
    is called with each entry as it is written.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.port, self.version = free_port(), 41
        self.entries, self._changes = dict[str, dict[str, Any]](), list[tuple[int, dict[str, Any]]]()
        self._watches = dict[asyncio.StreamWriter, int]()  # the version that each has been sent
        self.on_written: list[Callable[[dict[str, Any]], None]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def put(self, *workers: Worker, state: str = "ready", silent: bool = False) -> None:
        """Changes entries of the list, as one change. silent: before the start, without a record."""
        self.version += 1
        for worker in workers:
            entry = worker.entry(state)
            self._changes.append((self.version, entry))
            self.entries[worker.name] = entry
            if state == "gone":
                del self.entries[worker.name]
            if not silent:
                self._deployment.record.write("discovery", version=self.version, id=worker.name, state=state)
        for writer in list(self._watches):
            self._send(writer)

    def whole_list(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def _send(self, writer: asyncio.StreamWriter) -> None:
        since = self._watches[writer]
        full = since <= 0
        entries = list(self.entries.values()) if full else [e for v, e in self._changes if v > since]
        self._watches[writer] = self.version
        if not entries and not full:
            return self._chunk(writer, b"\n")
        line = json.dumps({"version": self.version, "full": full, "servers": entries}).encode() + b"\n"
        self._chunk(writer, line)
        for entry in entries:
            for listener in self.on_written:
                listener(entry)

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            if "stream=1" not in target:
                body = json.dumps(self.whole_list()).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                return await writer.drain()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._watches[writer] = int(target.partition("index=")[2].partition("&")[0])
            self._send(writer)
            while not writer.is_closing():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), KEEP_ALIVE_SECONDS)
                    break
                self._chunk(writer, b"\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.pop(writer, None)
            writer.close()


class Manager:
    """One manager's process, started by the deploy file's `run`."""

    def __init__(self, deployment: Deployment, name: str, settings: Mapping[str, Any]) -> None:
        self._deployment, self.name, self.settings = deployment, name, settings
        self.port, self.process = free_port(), None  # type: int, asyncio.subprocess.Process | None
        self.ready_at = 0.0  # when it first answered
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self._known: dict[str, Any] | None = None

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Starts it with a list of workers from before (`known`), and waits until it has answered."""
        deployment = self._deployment
        discovery = f"{LOOPBACK}:{deployment.discovery.port}"
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": discovery,
            "seed": f"{random.getrandbits(63):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or deployment.discovery.whole_list(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        scratch = Path(tempfile.mkdtemp(dir=self.folder))
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": discovery,
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_line("run"), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deployment.record.write("manager", name=self.name, started=self.process.pid)
        deadline = deployment.now() + READY_SECONDS
        while not await self._answers():
            if deployment.now() > deadline or self.process.returncode is not None:
                raise CannotRun(f"manager {self.name} did not become ready; {self.log_tail()}")
            await asyncio.sleep(0.1)
        self.ready_at = deployment.now()
        deployment.record.write("manager", name=self.name, ready=1)

    async def _answers(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        except OSError:
            return False
        try:
            writer.write(b"PING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self._deployment.record.write("manager", name=self.name, signal=number.name)
            self.process.send_signal(number)

    def log_tail(self) -> str:
        path = self.folder / "log.txt"
        return path.read_text(errors="replace")[-1500:] if path.exists() else ""

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.terminate()
            try:
                await asyncio.wait_for(self.process.wait(), 3.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class Proxy:
    """A plain proxy: keeps its tables, levels and shut-out workers over streams, and sends its clients'
    requests to the workers by weight.

    manager: the one that it dials. Its messages take `Deployment.message_delay` seconds, in order.
    """

    def __init__(self, deployment: Deployment, number: int, zone: str, rate: float, manager: Manager) -> None:
        self._deployment, self.number, self.zone, self.rate = deployment, number, zone, rate
        self.manager, self.joined_at = manager, -1.0  # -1: no stream
        names = [str(one["name"]) for one in manager.settings["lanes"]]
        self.tables: dict[str, dict[str, float]] = {name: {} for name in names}
        self.levels: dict[str, float] = dict.fromkeys(names, 1.0)
        self.shut_out, self.was_ordered = set[str](), False
        self.message_times, self.last_message_at = list[float](), -1.0
        self.noticed_after, self.redial = 0.0, REDIAL_SECONDS  # seconds until a break is noticed, and to dial
        self.writer: asyncio.StreamWriter | None = None
        self.counts = dict[str, list[int]]()  # by class: requests that came, requests let in and not served
        self.random = random.Random(number)
        self.on_applied: Callable[[Proxy], None] = lambda proxy: None
        self.stopped = False

    def usable(self, product: str) -> list[str]:
        """The workers that it may pick for the class."""
        return [
            name
            for name, weight in self.tables[product].items()
            if weight > 0 and name not in self.shut_out and self._deployment.may_serve(self, product, name)
        ]

    async def run(self) -> None:
        """Keeps a stream to its manager; dials again after a break."""
        while not self.stopped:
            try:
                reader, self.writer = await asyncio.open_connection(LOOPBACK, self.manager.port)
            except OSError:
                await self._wait_to_redial()
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                self._send(
                    f"SUBSCRIBE proxy={self.number} zone={self.zone} weight={self.rate:g} "
                    f"fresh={int(not self.was_ordered)}"
                )
                self.joined_at, self.message_times = self._deployment.now(), []
                self._deployment.record.write("proxy", number=self.number, joins=self.manager.name)
                await self._read(reader)
            self._deployment.record.write("proxy", number=self.number, stream="ended")
            self.joined_at = -1.0
            self.writer.close()
            await self._wait_to_redial()

    async def _wait_to_redial(self) -> None:
        await asyncio.sleep(self.noticed_after + self.random.uniform(*self.redial))

    def break_stream(self) -> None:
        """Resets the stream, as a network does; the proxy dials again."""
        if self.writer is not None:
            self._deployment.record.write("proxy", number=self.number, stream="reset")
            self.writer.transport.abort()

    def _send(self, line: str) -> None:
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(line.encode() + b"\r\n")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parts = list[dict[str, str]]()
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] != "CONFIG":
                continue
            fields = dict(word.split("=", 1) for word in words[1:])
            more = fields.pop("part", "") == "1"
            parts.append(fields)
            if not more:
                delay = self._deployment.message_delay
                if delay:
                    asyncio.get_running_loop().call_later(delay, self._arrived, self.writer, parts)
                else:
                    self._apply(parts)
                parts = []

    def _arrived(self, writer: asyncio.StreamWriter, parts: list[dict[str, str]]) -> None:
        """A message has come to the end of its way; it is lost if its stream has broken meanwhile."""
        if writer is self.writer and not writer.is_closing():
            self._apply(parts)

    def _apply(self, parts: list[dict[str, str]]) -> None:
        now = self._deployment.now()
        self.message_times.append(now)
        self.last_message_at, self.was_ordered = now, True
        stamp = ""
        for fields in parts:
            products = fields["for"].split("+") if "for" in fields else list(self.tables)
            rows = [row.rsplit(":", 1) for row in fields.get("rows", "").split(",") if row]
            for product in products:
                if fields.get("replace") == "1":
                    self.tables[product], self.levels[product] = {}, 1.0
                for name, weight in rows:
                    self.tables[product][name] = float(weight)
                    if not float(weight):
                        del self.tables[product][name]
                if "gate" in fields:
                    self.levels[product] = float(fields["gate"])
            self.shut_out |= {name for name in fields.get("drop", "").split(",") if name}
            self.shut_out -= set(fields.get("undrop", "").split(","))
            stamp = fields.get("stamp", stamp)
        text = " | ".join(",".join(f"{k}={v}" for k, v in fields.items()) for fields in parts)
        self._deployment.record.write("order", proxy=self.number, parts=text.replace(" ", "_"))
        self.on_applied(self)
        if stamp:
            self._send(
                f"ACK proxy={self.number} mark={stamp} took_ms={1000 * self._deployment.message_delay:.1f}"
            )

    # The clients' traffic.

    async def traffic(self) -> None:
        """Clients' requests, at random times."""
        deployment = self._deployment
        while not self.stopped:
            part = min(1.0, max(0.3, deployment.now() / deployment.rise_seconds))
            await asyncio.sleep(self.random.expovariate(part * self.rate))
            product = self.random.choices(list(self.tables), deployment.mix)[0]
            deployment.spawn(self._request(product))

    async def _request(self, product: str) -> None:
        deployment, count = self._deployment, self.counts.setdefault(product, [0, 0])
        count[0] += 1
        usable = self.usable(product)
        if self.random.random() >= self.levels[product]:
            return deployment.record.write("request", proxy=self.number, product=product, declined=1)
        if not usable:
            count[1] += 1
            return deployment.record.write("request", proxy=self.number, product=product, no_worker=1)
        table = self.tables[product]
        name = self.random.choices(usable, [table[one] for one in usable])[0]
        for server in deployment.on_sent:
            server(self, product, name)
        started, good = deployment.now(), False
        worker = deployment.workers[name]
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            good = await asyncio.wait_for(self._exchange(worker, product), deployment.try_seconds)
        count[1] += not good
        took = deployment.now() - started
        deployment.add_try(self.zone, name, good, took)
        deployment.record.write(
            "request", proxy=self.number, product=product, worker=name, good=int(good), ms=round(took * 1000)
        )

    async def _exchange(self, worker: Worker, product: str) -> bool:
        reader, writer = await asyncio.open_connection(LOOPBACK, worker.port)
        try:
            writer.write(f"GET /work/{product}/{self.number} HTTP/1.1\r\nHost: w\r\n\r\n".encode())
            return (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        finally:
            writer.close()

    async def reports(self) -> None:
        """What reached the proxy, once a second on its stream."""
        while not self.stopped:
            await asyncio.sleep(REPORT_SECONDS)
            for product in self.tables:
                tries, failed = self.counts.pop(product, [0, 0])
                if self.joined_at >= 0:
                    self._send(
                        f"RATE proxy={self.number} class={product} tries={tries} failed={failed} "
                        f"span_ms={1000 * REPORT_SECONDS:.1f}"
                    )


class Collector:
    """A zone's collector: passes on once a second what the zone's proxies met at each worker."""

    def __init__(self, deployment: Deployment, zone: str, manager: Manager) -> None:
        self._deployment, self.zone, self.manager = deployment, zone, manager

    async def run(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.manager.port)
            except OSError:
                await asyncio.sleep(0.5)
                continue
            try:
                writer.write(f"SOURCE zone={self.zone}\r\n".encode())
                while not reader.at_eof() and not writer.is_closing():
                    await asyncio.sleep(REPORT_SECONDS)
                    for line in self._deployment.take_tries(self.zone, self.manager):
                        writer.write(line.encode())
                    await writer.drain()
            except OSError:
                pass
            finally:
                writer.close()
            await asyncio.sleep(0.5)


class Deployment:
    """All parties of one case. mix: the shares of the classes; try_seconds: after which a try is given up."""

    def __init__(self, case: Path, settings: Mapping[str, Any], mix: Iterable[float]) -> None:
        self.settings, self.mix, self.try_seconds = settings, list(mix), 1.5
        self.rise_seconds = 1.0  # in which the traffic rises to its level
        self.message_delay = 0.0  # seconds that a manager's message takes to a proxy
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.workers, self.discovery = dict[str, Worker](), Discovery(self)
        self.managers, self.proxies = list[Manager](), list[Proxy]()
        self.on_sent: list[Callable[[Proxy, str, str], None]] = []
        self._tries = dict[str, dict[str, list[float]]]()
        self._tasks = set[asyncio.Task[None]]()

    def now(self) -> float:
        return self.record.now()

    def spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_worker(self, name: str, zone: str, kind: str = "standard", weight: float = 1.0) -> Worker:
        worker = self.workers[name] = Worker(self, name, zone, kind, weight)
        return worker

    def may_serve(self, proxy: Proxy, product: str, name: str) -> bool:
        """Whether the worker is open to the class, for this proxy."""
        names = [one["name"] for one in self.settings["lanes"]]
        index, worker = names.index(product), self.workers[name]
        kinds = self.settings["lanes"][index].get("only_kinds")
        bound = self.settings["family_info"]["zone_bound"][index]
        return (not kinds or worker.kind in kinds) and (not bound or worker.zone == proxy.zone)

    def add_proxy(self, number: int, zone: str, rate: float, manager: Manager) -> Proxy:
        proxy = Proxy(self, number, zone, rate, manager)
        self.proxies.append(proxy)
        for loop in (proxy.run(), proxy.traffic(), proxy.reports()):
            self.spawn(loop)
        return proxy

    def add_collectors(self, manager: Manager) -> None:
        for zone in self.settings["azs"]:
            self.add_collector(zone, manager)

    def add_collector(self, zone: str, manager: Manager) -> None:
        self.spawn(Collector(self, zone, manager).run())

    def add_try(self, zone: str, name: str, good: bool, seconds: float) -> None:
        sums = self._tries.setdefault(zone, {}).setdefault(name, [0, 0, 0.0])
        sums[0] += 1
        sums[1] += not good
        sums[2] += seconds if good else 0.0

    def take_tries(self, zone: str, manager: Manager) -> list[str]:
        """The lines of a report, and starts new sums. All managers of a case hear of all tries."""
        lines = list[str]()
        for name, (tries, failed, seconds) in self._tries.pop(zone, {}).items():
            mean = 1000 * seconds / (tries - failed) if tries > failed else 0.0
            lines.append(
                f"LOAD zone={zone} server={name} tries={tries} failed={failed} mean_ms={mean:.1f} "
                f"span_ms={1000 * REPORT_SECONDS:.1f}\r\n"
            )
        return lines

    async def start_workers(self) -> None:
        """Starts all workers so far as ones that have run for long, and lists them."""
        await self.discovery.start()
        for worker in self.workers.values():
            await worker.start()
        self.discovery.put(*self.workers.values(), silent=True)

    async def end(self) -> None:
        for proxy in self.proxies:
            proxy.stopped = True
            if proxy.writer is not None:
                proxy.writer.close()
        for manager in self.managers:
            await manager.end()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)  # for the connections to close
        for manager in self.managers:
            for line in manager.log_tail().splitlines()[-3:]:
                self.record.write("log", manager=manager.name, line=line)
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(
    case: Path,
    settings: Mapping[str, Any],
    mix: Iterable[float],
    script: Callable[[Deployment, bool], Any],
) -> None:
    """Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    script: a coroutine function that takes the deployment and whether there is the disruption (`TROUBLE`),
    and returns the breaches as lines of text.
    """

    async def main() -> int:
        deployment = Deployment(case, settings, mix)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # the processes are ended then too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        deployment.record.write("case", trouble=int(trouble))
        try:
            breaches: list[str] = await asyncio.wait_for(script(deployment, trouble), MAX_SECONDS)
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            deployment.record.write("case", cannot_run=f"{type(error).__name__}:{error}")
            print(f"the case could not run: {type(error).__name__}: {error}")
            return 2
        else:
            for breach in breaches:
                deployment.record.write("breach", text=breach)
                print(breach)
            print("the rule was broken" if breaches else "the rule held")
            deployment.record.write("case", breaches=len(breaches))
            return 1 if breaches else 0
        finally:
            await deployment.end()

    sys.exit(asyncio.run(main()))
