"""A soak test of the manager on loopback, started by the `run` command of deploy/balancer.toml.

A seed determines the workers that come and go, faults of discovery and of streams, sequences of signals,
unidentified clients and reconnect storms; `soak_judge` checks what crossed the sockets. It runs in real time
for a given number of seconds.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from random import Random
from typing import Any

import attrs
from twisted.internet import defer, error, protocol, task

from rushladder.standins.platform import (
    ConfigMessage,
    Discovery,
    LineConnection,
    ProbePort,
    Proxy,
    ProxyStream,
    Registry,
    UnidentifiedClient,
    configuration,
    entry,
)
from rushladder.trials.soak_judge import SoakJudge, Violation

ROOT = Path(__file__).parent.parent.parent
KILL_AFTER = 0.7  # s after SIGTERM: the earliest time at which the platform sends SIGKILL
OLD_DISCOVERY_KEPT = 1.5  # s for which a previous address of discovery keeps its watches open
WATCHED_WITHIN = 4.0  # s in which a broken watch is seen to be silent and is opened again
CHECK_EVERY = 0.05  # s between two checks of the proxies' workers
# Drain grace (s), time without a worker (s), messages to a proxy within the span, and the span (s).
GRACE, BARE, CAP, SPAN = 3.0, 8.0, 12, 10.0
WORKERS, PROXIES, PROXIES_IN_STORM, UNIDENTIFIED_IN_STORM = 12, 16, 60, 300
OTHER_DESCRIPTORS = 40  # log, poll, listeners, watches, and probes in flight
MAX_MEMORY_MB = 100.0  # two and a half times the memory of a manager at its start
UNIDENTIFIED_INPUTS = (
    b"",
    b"PING\r\n",
    b"PIN",
    b"GET / HTTP/1.1\r\n\r\n",
    b"SUBSCRIBE proxy=9999 zone=a weight=1\r\n",
    b"SUBSCRIBE proxy=1 zone=nowhere weight=1 fresh=1\r\n",
    b"\x00\xff\xfe\r\n",
    b"CONFIG drop=w0\r\n",
    b"LOAD zone=a server=w0 tries=1 failed=0 mean_ms=1 span_ms=1\r\n",
    b"PING " + b"x" * 5000,
)
# No SIGHUP during a start: the platform sends it to managers that are ready.
SIGNAL_SEQUENCES = ("term kill", "kill", "hup hup", "hup term kill", "term term", "term in the start", "hup")


class _ManagerProcess(protocol.ProcessProtocol):
    """The manager's process: reports each log line, and its end."""

    def __init__(self, on_line: Callable[[str], None], on_end: Callable[[Any], None]) -> None:
        self._on_line, self._on_end, self._buffer = on_line, on_end, b""

    def errReceived(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._on_line(line.decode(errors="replace"))

    def processEnded(self, reason: Any) -> None:
        self._on_end(reason)


class _Ping(LineConnection):
    """Sends one PING and reports the PONG."""

    def __init__(self, on_pong: Callable[[], None]) -> None:
        super().__init__()
        self._on_pong = on_pong

    def connectionMade(self) -> None:
        self.send("PING")

    def line_received(self, line: str) -> None:
        if line == "PONG":
            self._on_pong()
        self.abort()


class _Collector(LineConnection):
    """A collector that sends load reports."""

    def connectionMade(self) -> None:
        self.send("SOURCE zone=a")


@attrs.frozen
class Verdict:
    """The result of the run of one seed."""

    seed: int
    storm: bool
    violations: tuple[Violation, ...]
    starts: int
    messages: int
    slowest_start: float
    log: tuple[str, ...]

    def text(self) -> str:
        state = "crowd" if self.storm else "plain"
        head = (
            f"seed {self.seed} ({state}): {self.starts} starts, ready within {self.slowest_start:.1f} s, "
            f"{self.messages} messages, {len(self.violations)} breaks"
        )
        return "\n".join([head, *(violation.text(self.seed) for violation in self.violations[:5])])


class SoakRun:
    """The run of one seed; `run` returns its Verdict."""

    def __init__(self, reactor: Any, seed: int, seconds: float, storm: bool, folder: Path) -> None:
        self._reactor, self._seed, self._seconds, self._storm = reactor, seed, seconds, storm
        self._random, self._file = Random(seed), folder / "config.json"
        self._judge = SoakJudge(GRACE, BARE, CAP, SPAN)
        self._registry = Registry(reactor, self._entry_written)
        self._discovery = Discovery(self._registry, reactor)
        self._discoveries = [self._discovery]
        self._workers = {f"w{k}": ProbePort(reactor) for k in range(WORKERS)}
        self._next_worker = WORKERS
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self._port: int = free.getsockname()[1]
        for name, port in self._workers.items():
            self._registry.entries[name] = entry(name, port.port)
        proxies = PROXIES_IN_STORM if storm else PROXIES
        self._proxies = [
            Proxy(number, reactor, self._port, self._random.random, self._proxy_event)
            for number in range(proxies)
        ]
        self._collector: _Collector | None = None
        self._process: Any = None
        self._log, self._finished = list[str](), False
        self._killed = False  # by SIGKILL, or by SIGTERM before it could handle one
        self._starts = self._messages = 0
        self._slowest_start, self._started_at, self._ready = 0.0, reactor.seconds(), False
        self._process_started_at = self._last_check = 0.0
        self._unidentified = dict[UnidentifiedClient, bytes]()
        self._process_ended: defer.Deferred[None] = defer.Deferred()

    def _now(self) -> float:
        return float(self._reactor.seconds() - self._started_at)

    def _later(self, delay: float, action: Callable[..., Any], *args: Any) -> None:
        self._reactor.callLater(delay, lambda: None if self._finished else action(*args))

    # The manager's process.

    def _write_configuration(self) -> None:
        config = configuration(
            self._port,
            self._discovery.port,
            list(self._registry.entries.values()),
            self._registry.version,
            proxies=len(self._proxies),
            update_cap=CAP,
            counted_over=int(SPAN * 1e6),
            pending_max=8000.0,
        )
        config["settings"]["limits"]["probes"] = True
        config["settings"]["guarantees"]["drain_grace"] = int(GRACE * 1e6)
        config["limits"]["sockets"] = 512
        text = json.dumps(config)
        self._file.write_text(text)

    def _start(self) -> None:
        self._write_configuration()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        command = command.replace(".venv/bin/python", sys.executable)
        environment = {**os.environ, "RELAY_CONFIG": str(self._file)}
        self._starts, self._ready, self._killed = self._starts + 1, False, False
        self._process_started_at, self._process_ended = self._now(), defer.Deferred()
        for listed in self._registry.entries.values():  # the entries of the configuration's `known`
            self._judge.entry_sent(self._now(), listed["id"], listed["state"])
        handler = _ManagerProcess(self._logged, self._on_process_end)
        self._process = self._reactor.spawnProcess(
            handler, "/bin/sh", ["/bin/sh", "-c", command], environment, str(ROOT)
        )
        self._ping(self._process)

    def _ping(self, process: Any) -> None:
        """Sends PINGs until the process answers."""
        if process is not self._process or self._ready or self._finished:
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: _Ping(lambda: self._pong(process))  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=1)
        self._later(0.1, self._ping, process)

    def _pong(self, process: Any) -> None:
        if process is self._process and not self._ready:
            self._ready = True
            startup_time = self._now() - self._process_started_at
            self._slowest_start = max(self._slowest_start, startup_time)
            self._judge.process_ready(self._now(), startup_time)
            self._connect_collector()

    def _logged(self, line: str) -> None:
        self._log.append(line)
        self._judge.logged(self._now(), line)

    def _on_process_end(self, reason: Any) -> None:
        code = reason.value.exitCode if not reason.check(error.ProcessDone) else 0
        self._judge.process_ended(self._now(), code, self._killed, self._log)
        self._process = None
        self._process_ended.callback(None)
        if not self._finished:
            self._start()

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.pid:
            self._killed = self._killed or number == signal.SIGKILL or not self._ready
            os.kill(self._process.pid, number)

    def _run_signal_sequence(self, sequence: str) -> None:
        """Sends one of SIGNAL_SEQUENCES; clients use their connections until the process ends."""
        process = self._process
        if process is None or (not self._ready and "start" not in sequence):
            return self._later(0.3, self._run_signal_sequence, sequence)
        for step, word in enumerate(sequence.removesuffix(" in the start").split()):
            self._later(0.02 * step, self._send_signal_step, word, process, sequence)

    def _send_signal_step(self, word: str, process: Any, sequence: str) -> None:
        if process is not self._process:
            return
        if word == "hup":
            self._move_discovery()
            self._signal(signal.SIGHUP)
            self._judge.reloaded(self._now())
        elif word == "term":
            self._signal(signal.SIGTERM)
        else:
            self._later(0.0 if sequence == "kill" else KILL_AFTER, self._kill, process)

    def _kill(self, process: Any) -> None:
        if process is self._process:
            self._signal(signal.SIGKILL)

    def _restart_during_start(self, sequence: str) -> None:
        self._signal(signal.SIGKILL)
        # After 0.15 s the new process is in the middle of its imports.
        self._later(0.15, self._run_signal_sequence, sequence)

    def _move_discovery(self) -> None:
        """Moves discovery to another address."""
        previous, self._discovery = self._discovery, Discovery(self._registry, self._reactor)
        self._discoveries.append(self._discovery)
        previous.retire(OLD_DISCOVERY_KEPT)
        self._write_configuration()

    # The list of workers.

    def _entry_written(self, listed: Mapping[str, Any]) -> None:
        self._judge.entry_sent(self._now(), listed["id"], listed["state"])

    def _worker_event(self) -> None:
        """A worker drains, is removed, moves or stops answering probes; or a new one joins."""
        entries = self._registry.entries
        ready = [name for name, listed in entries.items() if listed["state"] == "ready"]
        action = self._random.choice(("drain", "drain", "gone", "return", "new", "sick"))
        if action in ("drain", "gone", "sick") and len(ready) > WORKERS // 3:
            name = self._random.choice(ready)
            if action == "sick":
                self._workers[name].healthy = False
                return
            state = "draining" if action == "drain" else "gone"
            self._change_entry(entry(name, self._workers[name].port, state))
            # Some return within the grace, some after it, and some after the manager's next start.
            longest = self._random.choice((2 * GRACE, 2 * GRACE, max(2 * GRACE, 0.5 * self._seconds)))
            away_for = 1 + longest * self._random.random()
            self._later(away_for, self._return_worker, name, action == "drain")
        elif action == "new" and len(entries) < 2 * WORKERS:
            name, self._next_worker = f"w{self._next_worker}", self._next_worker + 1
            self._workers[name] = ProbePort(self._reactor)
            self._change_entry(entry(name, self._workers[name].port, started_ms=self._unix_ms()))

    def _unix_ms(self) -> float:
        return float(self._reactor.seconds()) * 1000

    def _return_worker(self, name: str, drained: bool) -> None:
        """A drained worker is removed, or one that left returns under its id at another address."""
        if drained and self._random.random() < 0.5:
            if name in self._registry.entries:
                self._change_entry(entry(name, self._workers[name].port, "gone"))
            return
        self._workers[name].close()
        self._workers[name] = ProbePort(self._reactor)
        self._change_entry(entry(name, self._workers[name].port, started_ms=self._unix_ms()))

    def _change_entry(self, changed_entry: dict[str, Any]) -> None:
        draw = self._random.random()
        prefix = b'{"version":1,"full":false,"ser\n' if draw < 0.1 else b""
        self._registry.change(changed_entry, prefix=prefix, truncate=0.1 <= draw < 0.2)

    # Streams, unidentified clients, reports.

    def _proxy_event(self, event: str, proxy: Proxy, detail: Any) -> None:
        if event == "opened":
            self._judge.stream_joined(self._now(), proxy.number)
        elif event == "lost":
            self._judge.stream_left(proxy.number)
        elif event == "unreadable":
            self._judge.add_violation(self._now(), f"proxy {proxy.number}", str(detail))
        elif isinstance(detail, ConfigMessage):
            self._messages += 1
            self._judge.message(self._now(), proxy.number, detail.names(), detail.lines)

    def _stream_event(self) -> None:
        proxy = self._random.choice(self._proxies)
        stream, action = proxy.stream, self._random.choice(("pause", "half", "twice", "break"))
        if stream is None or not self._ready:
            return
        if action == "pause":
            stream.pause(True)
            self._judge.stream_left(proxy.number)
            self._later(1 + self._random.random(), self._resume, proxy, stream)
        elif action == "half":
            stream.half_close()
        elif action == "twice":
            proxy.connect()
        else:
            stream.abort()

    def _resume(self, proxy: Proxy, stream: ProxyStream) -> None:
        if proxy.stream is stream and not stream.closed:
            self._judge.stream_joined(self._now(), proxy.number)
            stream.pause(False)

    def _connect_unidentified(self, sent: bytes) -> None:
        if not self._ready:
            return
        process = self._process

        def answered(waited: float) -> None:
            self._unidentified.pop(client, None)
            if process is self._process:
                self._judge.unidentified_client(self._now(), sent, waited)

        client = UnidentifiedClient(sent, self._reactor, answered)
        self._unidentified[client] = sent
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: client  # type: ignore[method-assign]
        # If the manager doesn't listen, it need not answer.
        factory.clientConnectionFailed = lambda *why: answered(0.0)  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=3)

    def _reconnect_storm(self) -> None:
        """Hundreds of unidentified clients connect, and all proxies reconnect at once."""
        for _ in range(UNIDENTIFIED_IN_STORM):
            self._connect_unidentified(self._random.choice(UNIDENTIFIED_INPUTS[:3]))
        for proxy in self._proxies:
            proxy.connect()

    def _connect_collector(self) -> None:
        factory = protocol.ClientFactory()
        factory.noisy = False
        self._collector = _Collector()
        factory.buildProtocol = lambda addr: self._collector  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=2)

    def _send_reports(self) -> None:
        """Sends the reports of the last second; none cover workers that don't answer probes."""
        if self._collector is not None:
            self._collector.send(
                *(
                    f"LOAD zone=a server={name} tries=20 failed=0 mean_ms=50 span_ms=1000"
                    for name in self._registry.entries
                    if self._workers[name].healthy
                )
            )
        for proxy in self._proxies:
            if proxy.stream is not None and not proxy.stream.paused:
                proxy.stream.send(f"RATE proxy={proxy.number} class=ask tries=9 failed=0 span_ms=1000")

    # The run.

    def _check(self) -> None:
        elapsed = self._now() - self._last_check
        self._judge.lateness = max(self._judge.lateness, elapsed - CHECK_EVERY)
        self._last_check = self._now()
        healthy = {name for name, port in self._workers.items() if port.healthy}
        for proxy in self._proxies:
            if proxy.stream is not None:
                self._judge.check_workers(self._now(), proxy.number, proxy.usable_workers())
                self._judge.check_shut_out(self._now(), proxy.number, healthy & proxy.withdrawn_workers())
        overdue = [client for client in self._unidentified if client.is_overdue()]
        for client in overdue:
            sent = self._unidentified.pop(client)
            self._judge.unidentified_client(self._now(), sent, float("inf"))

    def _schedule(self) -> Iterator[tuple[float, Callable[..., Any], tuple[Any, ...]]]:
        random, length = self._random, self._seconds
        for at in range(1, int(length)):
            yield at, self._send_reports, ()
        for _ in range(int(length)):
            yield random.uniform(1, length - 1), self._worker_event, ()
            yield random.uniform(1, length - 1), self._stream_event, ()
            yield (
                random.uniform(1, length - 1),
                self._connect_unidentified,
                (random.choice(UNIDENTIFIED_INPUTS),),
            )
        yield random.uniform(1, length), self._registry.suspend_updates, (random.uniform(0.5, 5),)
        for position in (0.25, 0.6):  # sequences of signals, with time for a start after each
            sequence = random.choice(SIGNAL_SEQUENCES)
            step = self._restart_during_start if "start" in sequence else self._run_signal_sequence
            yield position * length + random.uniform(0, 0.1 * length), step, (sequence,)
        if self._storm:
            yield random.uniform(0.3, 0.8) * length, self._reconnect_storm, ()

    async def run(self) -> Verdict:
        self._start()
        for proxy in self._proxies:
            proxy.connect()
        self._last_check = self._now()
        check = task.LoopingCall(self._check)
        check.clock = self._reactor
        check.start(CHECK_EVERY, now=False)
        for at, action, args in self._schedule():
            self._later(at, action, *args)
        await self._wait(self._seconds)
        for _ in range(120):  # the last start may still be in progress
            if self._ready:
                break
            await self._wait(0.1)
        await self._wait(GRACE + 2.0)
        for _ in range(int(WATCHED_WITHIN / 0.1)):  # the last fault of discovery may have been just now
            if self._is_discovery_watched():
                break
            await self._wait(0.1)
        self._final_check()
        check.stop()
        self._finished = True
        for proxy in self._proxies:
            proxy.stopped = True
        ended = self._process_ended
        self._signal(signal.SIGTERM)
        self._reactor.callLater(KILL_AFTER + 5, self._kill_if_running, self._process)
        await ended
        return Verdict(
            self._seed,
            self._storm,
            tuple(self._judge.violations),
            self._starts,
            self._messages,
            self._slowest_start,
            tuple(self._log[-40:]),
        )

    async def _wait(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)

    def _kill_if_running(self, process: Any) -> None:
        if process is not None and process is self._process:
            self._judge.add_violation(
                self._now(), "process", "still running 5.7 s after SIGTERM", self._log[-5:]
            )
            self._signal(signal.SIGKILL)

    def _is_discovery_watched(self) -> bool:
        """Whether the manager watches the last configuration's address of discovery."""
        return any(watch.discovery is self._discovery for watch in self._registry.watches)

    def _final_check(self) -> None:
        now = self._now()
        self._judge.discovery_watched(now, self._is_discovery_watched())
        if self._process is not None:
            descriptors = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
            expected = len(self._proxies) + len(self._unidentified) + OTHER_DESCRIPTORS
            self._judge.resources(
                now, descriptors, expected, pages * os.sysconf("SC_PAGE_SIZE") / 2**20, MAX_MEMORY_MB
            )


def run_soak(
    first: int, seeds: int, seconds: float, storm: bool | None, output: Callable[[str], None]
) -> int:
    """Runs the seeds one after the other and outputs each verdict; returns the number of seeds that failed.

    storm: whether each run has a reconnect storm; None: every third run has one.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    failed_seeds = list[int]()

    async def run_all() -> None:
        for seed in range(first, first + seeds):
            with tempfile.TemporaryDirectory(prefix="rl") as folder:
                has_storm = seed % 3 == 0 if storm is None else storm
                verdict = await SoakRun(reactor, seed, seconds, has_storm, Path(folder)).run()
            output(verdict.text())
            if verdict.violations:
                failed_seeds.append(seed)
                output("\n".join(f"    log: {line[:300]}" for line in verdict.log))

    def on_failure(failure: Any) -> None:
        failed_seeds.append(-1)
        output(failure.getTraceback())

    def start() -> None:
        finished = defer.ensureDeferred(run_all())
        finished.addErrback(on_failure)
        finished.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return len(failed_seeds)
