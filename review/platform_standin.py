"""A stand-in of the operators' platform for the review's cases: discovery, collectors, proxies, workers and
the manager's channel, on loopback addresses and the real clock.

It follows the protocol pages and judges rules 1, 3 and 5 by what crosses the sockets. The manager runs as a
process of its own, started by the deploy file's `run`. A case creates a `Platform`, schedules its disruption
and calls `finish`. All times are in seconds unless a name says otherwise.
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
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SLACK = 0.3  # the protocol page: on sockets, time limits run 300 ms longer
FIRST_DUTY = 1.0  # and none begins sooner than 1 s after the manager first answered
START_SPREAD = 0.1  # proxies that come back together do so within this time
TICK = 0.05  # between two rounds of the proxies' requests
KEEP_ALIVE = 2.0  # between two empty lines of a watch
CLASSES = ("read", "change", "pay")
# Exit codes of a case's program. `run.sh` turns BROKEN into 1 and all others but 0 into 2, so that a failure
# of the program itself is not taken for a broken rule.
HELD, BROKEN, NOT_RUN = 0, 10, 2


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port of 127.0.0.1 that nobody uses at present."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(zones: tuple[str, ...], proxies: int, **family: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form and the units of the simulator's first message."""
    lanes = [
        {
            "name": name,
            "deadline": 4_000_000,
            "target": 1_500_000,
            "points": points,
            "late_worth": 0.1,
            "idempotency": effect,
            "group": "all",
            "repeat_window": 5_000_000,
        }
        for name, points, effect in zip(
            CLASSES, (3.0, 3.0, 9.0), ("retryable", "retryable", "fragile"), strict=True
        )
    ]
    return {
        "azs": list(zones),
        "group_size": 1,
        "me": 0,
        "my_zone": zones[0],
        "membership_mode": "automatic",
        "lanes": lanes,
        "family_info": {
            "bare": 8_000_000,
            "base_mode": 1,
            "bootstrap": 5,
            "counted_over": 10_000_000,
            "egress_per_s": 1400.0,
            "ejects": 0,
            "head": 3.0,
            "intake_per_s": 800.0,
            "key_ranges": 0,
            "lb_method": "lottery",
            "local_first": False,
            "one_owner": False,
            "pending_max": 2100.0,
            "per_try": 1.2,
            "propagation": 300_000,
            "proxies": proxies,
            "push_delay_max": 800_000,
            "report_every": 1_000_000,
            "throttle_by": "ratio",
            "update_cap": 12,
            "writers": [False, False, True],
            "zone_bound": [False, False, False],
            **family,
        },
        "guarantees": {
            "cold": 15_000_000,
            "cold_from": 0.17,
            "drain_grace": 4_000_000,
            "overload_factor": 2.5,
            "overload_for": 2_000_000,
        },
        "limits": {"probes": True, "may_tell": False, "connect_timeout": 300_000},
        "reporting": {"how": "silent", "fields": []},
        "weights": "nominal",
    }


class Worker:
    """A worker: its port answers health checks. `mode`: ok, hang (accepts, never answers) or down."""

    def __init__(self, platform: Platform, name: str, zone: str) -> None:
        self.platform, self.name, self.zone, self.mode = platform, name, zone, "ok"
        self.started_unix, self.fail_part = 0.0, 0.0  # fail_part: the share of requests that it fails at once
        self.server: asyncio.Server | None = None
        self.port = 0
        self.tries = dict[str, list[int]]()  # by zone of the proxies: tries and failed ones since the report

    async def start(self) -> None:
        """Opens the port, after a restart the same one, or another one if that was taken meanwhile."""
        try:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        except OSError:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.mode = "ok"

    async def stop(self) -> None:
        """Closes the port, as a process that dies does."""
        self.mode = "down"
        if self.server is not None:
            self.server.close()
            self.server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            while self.mode == "hang":
                if await reader.read(1024) == b"":
                    break
            if self.mode == "ok":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
        writer.close()

    def entry(self, state: str) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "kind": "m1",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": round(self.started_unix * 1000),
        }


class Proxy:
    """A plain proxy: follows its orders, keeps table and withdrawals over streams, dials again by itself."""

    def __init__(self, platform: Platform, number: int, zone: str) -> None:
        self.platform, self.number, self.zone = platform, number, zone
        self.ordered = False  # whether it holds a table that was ordered
        self.tables = {name: dict[str, float]() for name in CLASSES}
        self.withdrawn, self.levels = set[str](), dict.fromkeys(CLASSES, 1.0)
        self.again = dict.fromkeys(CLASSES, 1)  # the way of trying again, as the settings' base mode says
        self.writer: asyncio.StreamWriter | None = None
        self.joined_at = self.free_at = 0.0
        self.alive = asyncio.Event()
        self.alive.set()
        self.arrived = {name: [0, 0] for name in CLASSES}  # requests and unserved ones since the last report
        self.no_line_since = dict[str, float]()
        self.due = {name: platform.random.random() for name in CLASSES}  # requests that are still to be sent

    @property
    def dead(self) -> bool:
        return not self.alive.is_set()

    def die(self) -> None:
        """Its process dies, which resets its connection."""
        self.alive.clear()
        if self.writer is not None:
            self.writer.transport.abort()

    def start(self) -> None:
        """Starts, or comes back from its death, with a standing table: some ready workers of its zone."""
        platform = self.platform
        ready = [w for w in platform.workers.values() if platform.states.get(w.name) == "ready"]
        home = [w.name for w in ready if w.zone == self.zone] or [w.name for w in ready]
        platform.random.shuffle(home)
        standing = dict.fromkeys(home[:5], 1.0)
        self.tables, self.withdrawn, self.ordered = dict.fromkeys(CLASSES, standing), set(), False
        self.levels, self.again = dict.fromkeys(CLASSES, 1.0), dict.fromkeys(CLASSES, 1)
        self.alive.set()

    def pickable(self, name: str) -> list[str]:
        return [w for w, weight in self.tables[name].items() if weight > 0 and w not in self.withdrawn]

    async def run(self) -> None:
        """Dials and follows its stream until the case ends."""
        platform, first = self.platform, True
        while not platform.ended:
            if self.dead:
                await self.alive.wait()
                await asyncio.sleep(platform.random.uniform(0, START_SPREAD))
            elif not first:
                await asyncio.sleep(platform.random.uniform(*platform.redial))
                if self.dead:
                    continue
            first = False
            try:
                reader, self.writer = await asyncio.open_connection("127.0.0.1", platform.port)
            except OSError:
                continue
            fresh = int(not self.ordered)
            self.writer.write(
                f"SUBSCRIBE proxy={self.number} zone={self.zone} weight={platform.rate} "
                f"fresh={fresh}\r\n".encode()
            )
            self.joined_at = platform.now()
            self.free_at = self.joined_at
            self.no_line_since.clear()
            platform.record(
                f"proxy {self.number} joins, fresh={fresh}, out={','.join(sorted(self.withdrawn))}"
            )
            stream = self.writer
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await self._follow(reader, stream)
            platform.record(f"proxy {self.number}: its stream has ended")
            if self.writer is stream:
                self.writer = None
            self.no_line_since.clear()
            stream.close()

    async def _follow(self, reader: asyncio.StreamReader, stream: asyncio.StreamWriter) -> None:
        platform, parts, text = self.platform, list[dict[str, str]](), list[str]()
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            kind, *words = line.split(" ")
            if kind != "CONFIG":
                raise ValueError(line)
            parts.append(dict(word.split("=", 1) for word in words))
            text.append(line.removeprefix("CONFIG "))
            if parts[-1].get("part") == "1":
                continue
            message, parts = parts, []
            platform.record(f"order to proxy {self.number}: {' | '.join(text)[:400]}")
            text.clear()
            rows = [row for part in message for row in part.get("rows", "").split(",") if row]
            if any(row.rsplit(":", 1)[0] not in platform.workers for row in rows):
                raise ValueError("a worker that was never listed")  # the proxy resets the stream
            left_at = platform.channel.enter(self.number, message)
            # It leaves the channel, travels, and takes effect after the one before it.
            self.free_at = max(self.free_at + 0.002, left_at + platform.random.uniform(*platform.travel))
            platform.spawn(self._apply_later(message, self.free_at, platform.now(), stream))

    async def _apply_later(
        self, message: list[dict[str, str]], at: float, entered: float, stream: asyncio.StreamWriter
    ) -> None:
        platform = self.platform
        await asyncio.sleep(max(0.0, at - platform.now()))
        if stream is not self.writer:
            return  # on the way as the stream broke: lost
        for part in message:
            for name in part["for"].split("+") if "for" in part else CLASSES:
                table = {} if part.get("replace") == "1" else dict(self.tables[name])
                for row in filter(None, part.get("rows", "").split(",")):
                    worker, weight = row.rsplit(":", 1)
                    table[worker] = float(weight)
                self.tables[name] = {worker: weight for worker, weight in table.items() if weight > 0}
                if part.get("replace") == "1":
                    self.levels[name], self.again[name], self.ordered = 1.0, 1, True
                if "gate" in part:
                    self.levels[name], self.again[name] = float(part["gate"]), int(part["again"])
            self.withdrawn |= set(filter(None, part.get("drop", "").split(",")))
            self.withdrawn -= set(filter(None, part.get("undrop", "").split(",")))
        if "stamp" in message[-1] and not stream.is_closing():
            took = 1000 * (platform.now() - entered)
            stream.write(
                f"ACK proxy={self.number} mark={message[-1]['stamp']} took_ms={took:.1f}\r\n".encode()
            )

    def requests(self, share: float) -> None:
        """One round of requests: `share` of a second's. Judges rules 1 and 3 as they are sent."""
        platform, now = self.platform, self.platform.now()
        joined = self.writer is not None
        for name in CLASSES:
            lines = self.pickable(name)
            if lines or not joined or not platform.has_warm_worker(name, self.zone):
                self.no_line_since.pop(name, None)
            else:
                since = self.no_line_since.setdefault(name, max(now, platform.duty_from))
                if now - since > platform.bare + SLACK:
                    platform.violation(
                        1, f"proxy {self.number} has had no line to pick for {name} for {now - since:.1f} s"
                    )
            self.due[name] += share * platform.rate / len(CLASSES)
            count = int(self.due[name])
            self.due[name] -= count
            for _ in range(count):
                self.arrived[name][0] += 1
                if not lines:
                    platform.counts["refused: no line to pick"] += 1
                    continue
                if platform.random.random() >= self.levels[name]:
                    platform.counts["refused: level"] += 1
                    continue
                self._serve(name, lines, now)

    def _serve(self, name: str, lines: list[str], now: float) -> None:
        """One request. After a proof that the first try never ran, another worker is tried, as `again=1`
        and the settings' own mode say."""
        platform, tried = self.platform, set[str]()
        for _ in range(2 if self.again[name] else 1):
            left = [worker for worker in lines if worker not in tried]
            if not left:
                break
            weights = [self.tables[name][worker] for worker in left]
            worker = platform.workers[platform.random.choices(left, weights)[0]]
            tried.add(worker.name)
            if self._send(worker, now):
                platform.counts["answered"] += 1
                return
            if worker.mode != "down":
                break  # it may have run
        self.arrived[name][1] += 1
        platform.counts["failed"] += 1

    def _send(self, worker: Worker, now: float) -> bool:
        """One try; whether it was answered well. Judges rule 3."""
        platform = self.platform
        told = platform.told_unavailable.get(worker.name)
        if told is not None and self.writer is not None:
            late = now - max(told, self.joined_at, platform.duty_from)
            if late > platform.grace + SLACK:
                platform.violation(
                    3,
                    f"proxy {self.number} sent to {worker.name} {late:.2f} s after it was told as not ready",
                )
        tries = worker.tries.setdefault(self.zone, [0, 0])
        tries[0] += 1
        if worker.mode == "ok" and platform.random.random() >= worker.fail_part:
            platform.ran[worker.name] = platform.ran.get(worker.name, 0) + 1
            return True
        tries[1] += 1
        return False


class Channel:
    """The manager's channel: counts the lines that wait in it, as the protocol page counts them (rule 5)."""

    def __init__(
        self,
        platform: Platform,
        lines_per_s: float,
        head: float,
        pending_max: float,
        message_cap: int,
        cap_window: float,
    ) -> None:
        self.platform, self.lines_per_s, self.head, self.pending_max = (
            platform,
            lines_per_s,
            head,
            pending_max,
        )
        self.queue, self.at, self.longest = 0.0, 0.0, 0.0
        self.kinds = dict[str, float]()
        self.written = dict[int, deque[float]]()  # by proxy, when the last messages to it came
        self.message_cap, self.cap_window = message_cap, cap_window

    def lines(self, message: list[dict[str, str]]) -> dict[str, float]:
        """The lines of a message by kind."""

        def listed(field: str) -> int:
            return sum(len([x for x in part.get(field, "").split(",") if x]) for part in message)

        return {
            "head": self.head,
            "rows": listed("rows"),
            "drop": listed("drop"),
            "undrop": listed("undrop"),
            "gate": sum("gate" in part for part in message),
            "replace": sum(part.get("replace") == "1" for part in message),
            "stamp": sum("stamp" in part for part in message),
        }

    def enter(self, proxy: int, message: list[dict[str, str]]) -> float:
        """Takes a message whose last byte has come; returns when it has left the channel."""
        now, kinds = self.platform.now(), self.lines(message)
        self.queue = max(0.0, self.queue - (now - self.at) * self.lines_per_s) + sum(kinds.values())
        self.at = now
        for kind, count in kinds.items():
            self.kinds[kind] = self.kinds.get(kind, 0.0) + count
        self.longest = max(self.longest, self.queue)
        if self.message_cap:
            # Counted from the proxy's joining.
            times = self.written.setdefault(proxy, deque())
            since = max(now - self.cap_window, self.platform.proxies[proxy].joined_at)
            times.append(now)
            while times[0] < since:
                times.popleft()
            if len(times) > self.message_cap:
                self.platform.violation(5, f"{len(times)} messages to proxy {proxy} within the cap's time")
        if self.queue > self.pending_max:
            self.platform.violation(
                5, f"{self.queue:.0f} lines wait in the channel, {self.pending_max:.0f} are allowed"
            )
        return now + self.queue / self.lines_per_s

    def take_kinds(self) -> dict[str, float]:
        """The lines by kind since the last call."""
        kinds, self.kinds = self.kinds, {}
        return kinds


class Platform:
    """One manager and its surroundings. `watched_rules`: the rules that the case judges."""

    def __init__(
        self,
        folder: Path,
        watched_rules: tuple[int, ...],
        *,
        zones: tuple[str, ...],
        proxies: int,
        rate: float,
        redial: tuple[float, float] = (0.35, 2.0),
        travel: tuple[float, float] = (0.1, 0.5),
        sockets: int = 512,
        drain_grace: int = 4_000_000,
        homes: str = "",  # the zone of each proxy; empty: in turn
        **family: Any,
    ) -> None:
        self.folder, self.watched_rules = folder, watched_rules
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random, self.zones, self.rate = random.Random(39), zones, rate
        self.redial, self.travel, self.sockets = redial, travel, sockets
        self.settings = settings(zones, proxies, **family)
        self.settings["guarantees"]["drain_grace"] = drain_grace
        info, guarantees = self.settings["family_info"], self.settings["guarantees"]
        self.bare, self.grace, self.cold = (
            info["bare"] / 1e6,
            guarantees["drain_grace"] / 1e6,
            guarantees["cold"] / 1e6,
        )
        self.channel = Channel(
            self,
            info["egress_per_s"],
            info["head"],
            info["pending_max"],
            info["update_cap"],
            info["counted_over"] / 1e6,
        )
        self.workers, self.states = dict[str, Worker](), dict[str, str]()
        homes = homes or "".join(zones[number % len(zones)] for number in range(proxies))
        self.proxies = [Proxy(self, number, zone) for number, zone in enumerate(homes)]
        self.told = dict[str, dict[str, Any]]()  # the list as discovery has written it to the manager
        self.told_unavailable = dict[str, float]()
        self.version, self.changes = 41, list[tuple[int, dict[str, Any]]]()
        self.watches = dict[asyncio.StreamWriter, int]()
        self.port = free_port()
        self.duty_from = float("inf")
        self.began, self.ended, self.problem = time.monotonic(), False, ""
        self.violations = dict[int, list[str]]()
        self.counts = {
            "answered": 0,
            "failed": 0,
            "refused: no line to pick": 0,
            "refused: level": 0,
        }
        self.ran = dict[str, int]()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.log = (folder / "record.txt").open("w")
        self.process: asyncio.subprocess.Process | None = None
        self.processes = list[asyncio.subprocess.Process]()
        self.expected_end = False
        self.tasks = set[asyncio.Task[None]]()

    # Record and verdict.

    def now(self) -> float:
        return time.monotonic() - self.began

    def record(self, text: str) -> None:
        self.log.write(f"{self.now():8.3f} {text}\n")

    def violation(self, rule: int, text: str) -> None:
        if rule not in self.watched_rules:
            return
        seen = self.violations.setdefault(rule, [])
        seen.append(text)
        if len(seen) <= 20:
            self.record(f"RULE {rule} BROKEN: {text}")

    def has_warm_worker(self, name: str, zone: str) -> bool:
        """Whether the list as told shows a worker as ready that is open to the class for a proxy of the zone
        and whose last start is long enough ago."""
        wall, bound = time.time(), self.settings["family_info"]["zone_bound"][CLASSES.index(name)]
        return any(
            entry["state"] == "ready"
            and (not bound or entry["zone"] == zone)
            and (not entry["started_ms"] or wall - entry["started_ms"] / 1000 >= self.cold)
            for entry in self.told.values()
        )

    # Tasks.

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self.ended:
            self.problem = self.problem or f"the stand-in failed: {task.exception()!r}"

    # Workers and discovery.

    async def add_worker(self, name: str, zone: str) -> Worker:
        """A worker of old, for the start of the case."""
        worker = self.workers[name] = Worker(self, name, zone)
        await worker.start()
        self.states[name] = "ready"
        self.told[name] = worker.entry("ready")
        return worker

    async def add_new_worker(self, name: str, zone: str) -> Worker:
        """A worker that starts now under a new id; discovery has not told it yet."""
        worker = self.workers[name] = Worker(self, name, zone)
        await worker.start()
        worker.started_unix = time.time()
        return worker

    def announce(self, *changes: tuple[Worker, str]) -> None:
        """Tells new states of workers in one line of the watch."""
        self.version += 1
        for worker, state in changes:
            self.states[worker.name] = state
            self.changes.append((self.version, worker.entry(state)))
        for writer in list(self.watches):
            self._write_changes(writer)

    def _write_changes(self, writer: asyncio.StreamWriter) -> None:
        known = self.watches[writer]
        entries = [entry for version, entry in self.changes if version > known]
        if known == 0:
            entries = [w.entry(self.states[n]) for n, w in self.workers.items() if self.states[n] != "gone"]
        if not entries:
            return
        line = json.dumps({"version": self.version, "full": known == 0, "servers": entries}) + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
        self.watches[writer] = self.version
        for entry in entries:
            name = entry["id"]
            self.record(f"told: {name} {entry['state']} started_ms={entry['started_ms']}")
            if entry["state"] == "ready":
                self.told_unavailable.pop(name, None)
            else:
                self.told_unavailable.setdefault(name, self.now())
            if entry["state"] == "gone":
                self.told.pop(name, None)
            else:
                self.told[name] = entry

    async def _discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches[writer] = int(head.split("index=")[1].split()[0])
            self._write_changes(writer)
            while not self.ended:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
                await asyncio.sleep(KEEP_ALIVE)
        self.watches.pop(writer, None)
        writer.close()

    # The manager.

    async def start_manager(self, known: list[dict[str, Any]]) -> None:
        """Starts the manager by the deploy file's `run`, with its last list; waits for its first PONG."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = Path(tempfile.mkdtemp(dir=self.temporary))
        config = private / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{self.discovery_port}",
                    "seed": f"{self.random.getrandbits(48):x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                    "peer_listen": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}",
                    "peers": [],
                    "known": {"version": self.version, "full": True, "servers": known},
                    "settings": self.settings,
                }
            )
        )
        (private / "tmp").mkdir()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(private / "tmp"),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.discovery_port}",
            "RELAY_CONFIG": str(config),
        }
        log = (private / "log").open("wb")
        self.manager_log = private / "log"
        self.duty_from = float("inf")
        self.told = {entry["id"]: entry for entry in known}
        # What a killed manager was told is no longer its duty; the new one knows its last list alone.
        self.told_unavailable = {entry["id"]: self.now() for entry in known if entry["state"] != "ready"}
        self.expected_end = False
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(self.process)
        self.spawn(self._watch_process(self.process))
        for _ in range(300):
            await asyncio.sleep(0.05)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if answer == b"PONG\r\n":
                    self.duty_from = self.now() + FIRST_DUTY
                    self.record("the manager answered PONG")
                    return
        raise RuntimeError("the manager did not answer within 15 s")

    async def _watch_process(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.record(f"the manager ended with {code}")
        if not self.expected_end and not self.ended and process is self.process:
            self.problem = f"the manager ended by itself with {code}"

    def signal_manager(self, number: int) -> None:
        """Sends the manager a signal that does not end it."""
        assert self.process is not None
        self.record(f"signal {number} to the manager")
        self.process.send_signal(number)

    async def stop_manager(self, number: int) -> None:
        """Ends the manager by a signal and waits for its end."""
        assert self.process is not None
        self.expected_end = True
        self.record(f"signal {number} to the manager")
        self.process.send_signal(number)
        await asyncio.wait_for(self.process.wait(), 5)

    # Reports.

    async def _collect(self, zone: str) -> None:
        """The zone's collector: reports each second what its proxies met at each worker, and their usage."""
        writer: asyncio.StreamWriter | None = None
        while not self.ended:
            await asyncio.sleep(1.0)
            if writer is None or writer.is_closing():
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                except OSError:
                    continue
                writer.write(f"SOURCE zone={zone}\r\n".encode())
            lines = list[str]()
            for worker in self.workers.values():
                tries, failed = worker.tries.pop(zone, (0, 0))
                if tries:
                    mean = 0.0 if tries == failed else 200 * self.random.uniform(0.9, 1.1)
                    lines.append(
                        f"LOAD zone={zone} server={worker.name} tries={tries} failed={failed} "
                        f"mean_ms={mean:.1f} span_ms=1000.0"
                    )
            for proxy in self.proxies:
                if proxy.zone != zone or proxy.writer is None:
                    continue
                for name, (count, unserved) in proxy.arrived.items():
                    if count:
                        lines.append(
                            f"RATE proxy={proxy.number} class={name} tries={count} failed={unserved} "
                            f"span_ms=1000.0"
                        )
                proxy.arrived = {name: [0, 0] for name in CLASSES}
            await asyncio.sleep(0.3)  # reports come late
            with contextlib.suppress(OSError):
                if not writer.is_closing():
                    writer.write("".join(line + "\r\n" for line in lines).encode())
                    await writer.drain()

    async def _requests(self) -> None:
        second, last = 0.0, self.now()
        while not self.ended:
            await asyncio.sleep(TICK)
            now = self.now()
            for proxy in self.proxies:
                if not proxy.dead:
                    proxy.requests(min(1.0, now - last))
            last = now
            if now - second >= 1.0:
                second = now
                self._record_second()

    def _record_second(self) -> None:
        kinds = {kind: round(count) for kind, count in self.channel.take_kinds().items() if count}
        joined = sum(proxy.writer is not None for proxy in self.proxies)
        self.record(
            f"joined={joined} requests={self.counts} longest queue={self.channel.longest:.0f} written={kinds}"
        )
        table = {w: round(x, 6) for w, x in self.proxies[0].tables[CLASSES[-1]].items()}
        out = sorted(self.proxies[0].withdrawn)
        self.record(f"proxy 0: table={table} lines={self.proxies[0].pickable(CLASSES[-1])} out={out[-12:]}")

    # A case.

    async def start(self) -> None:
        """Starts discovery, the manager, and then its proxies and collectors."""
        server = await asyncio.start_server(self._discovery, "127.0.0.1", 0)
        self.discovery_port = server.sockets[0].getsockname()[1]
        await self.start_manager([worker.entry("ready") for worker in self.workers.values()])
        for proxy in self.proxies:
            proxy.start()
            self.spawn(proxy.run())
        for zone in self.zones:
            self.spawn(self._collect(zone))
        self.spawn(self._requests())

    async def wait_until(self, at: float, early: bool = False) -> None:
        """Waits until the case's time `at`; early: no longer than until a rule is broken."""
        while self.now() < at and not self.problem and not (early and self.violations):
            await asyncio.sleep(min(0.1, max(0.001, at - self.now())))
        if self.problem:
            raise RuntimeError(self.problem)

    async def finish(self) -> None:
        """Ends all processes and connections."""
        self.ended = True
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGTERM):
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(number)
                try:
                    await asyncio.wait_for(process.wait(), 3)
                except TimeoutError:
                    process.kill()
                    await process.wait()
        for task in list(self.tasks):
            task.cancel()


def run_case(folder: Path, build: Callable[[], Platform], play: Callable[[Platform], Awaitable[None]]) -> int:
    """Plays a case; returns BROKEN if a rule was broken, HELD if it held, NOT_RUN if it couldn't run."""

    async def main() -> int:
        platform = build()
        result, task = HELD, asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends its processes too
        try:
            await play(platform)
        except Exception as error:
            result = NOT_RUN
            platform.record(f"NOT RUN: {error!r}")
            print(f"the case could not run: {error!r}")
        finally:
            await platform.finish()
        if result == HELD and platform.violations:
            result = BROKEN
        for rule, seen in platform.violations.items():
            platform.record(f"rule {rule} was broken {len(seen)} times; the first: {seen[0]}")
            print(f"rule {rule} was broken {len(seen)} times; the first: {seen[0]}")
        platform.record(f"requests={platform.counts} longest queue={platform.channel.longest:.0f} lines")
        platform.record(f"run by worker: {platform.ran}")
        platform.record({HELD: "the rules held", BROKEN: "a rule was broken"}.get(result, "not run"))
        print(f"{platform.counts}, longest queue {platform.channel.longest:.0f} lines")
        platform.log.close()
        shutil.rmtree(platform.temporary, ignore_errors=True)
        return result

    try:
        return asyncio.run(asyncio.wait_for(main(), 117))
    except TimeoutError:
        print("the case took too long")
        return NOT_RUN


if __name__ == "__main__":
    sys.exit("this file is the stand-in of the cases; run review/N/run.sh")
