"""A soak of the manager as `run` starts it, on loopback: one seed draws the workers that come and go, the
faults of discovery and of streams, series of signals, strangers, and crowds; `soak_judge` reads what crossed
the sockets. Real time, bounded by the run's length."""

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
    Discovery,
    LineConnection,
    ConfigMessage,
    ProbePort,
    Proxy,
    ProxyStream,
    Registry,
    UnidentifiedClient,
    configuration,
    entry,
)
from rushladder.trials.soak_judge import Violation, SoakJudge

ROOT = Path(__file__).parent.parent.parent
KILL_AFTER = 0.7  # s after SIGTERM: the platform's earliest
OLD_PLACE = 1.5  # s for which a former address of discovery keeps its watches
CHECK_EVERY = 0.05  # s between two looks at what the proxies hold
GRACE, BARE, CAP, SPAN = 3.0, 8.0, 12, 10.0  # s, s, messages, s
WORKERS, PROXIES, PROXIES_IN_CROWD, STRANGERS_IN_CROWD = 12, 16, 60, 300
DESCRIPTORS_BESIDE = 40  # log, poll, listeners, watches, and probes that are out
MEMORY_MOST = 100.0  # MB: two and a half times a manager's start
GARBAGE = (
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
# SIGHUP never comes in a start: the platform sends it to managers that are ready.
SIGNALS = ("term kill", "kill", "hup hup", "hup term kill", "term term", "term in the start", "hup")


class _Process(protocol.ProcessProtocol):
    """The manager's process: its log, line by line, and its end."""

    def __init__(self, logged: Callable[[str], None], ended: Callable[[Any], None]) -> None:
        self._logged, self._ended, self._rest = logged, ended, b""

    def errReceived(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._logged(line.decode(errors="replace"))

    def processEnded(self, reason: Any) -> None:
        self._ended(reason)


class _Ping(LineConnection):
    def __init__(self, heard: Callable[[], None]) -> None:
        super().__init__()
        self._heard = heard

    def connectionMade(self) -> None:
        self.send("PING")

    def line_received(self, line: str) -> None:
        if line == "PONG":
            self._heard()
        self.abort()


class _Collector(LineConnection):
    def connectionMade(self) -> None:
        self.send("SOURCE zone=a")


@attrs.frozen
class Verdict:
    """How the run of one seed ended."""

    seed: int
    crowd: bool
    violations: tuple[Violation, ...]
    starts: int
    messages: int
    worst_ready: float
    log: tuple[str, ...]

    def text(self) -> str:
        state = "crowd" if self.crowd else "plain"
        head = (
            f"seed {self.seed} ({state}): {self.starts} starts, ready within {self.worst_ready:.1f} s, "
            f"{self.messages} messages, {len(self.violations)} breaks"
        )
        return "\n".join([head, *(one.text(self.seed) for one in self.violations[:5])])


class Soak:
    """The run of one seed. play: its Deferred comes back with the Verdict."""

    def __init__(self, reactor: Any, seed: int, seconds: float, crowd: bool, folder: Path) -> None:
        self._reactor, self._seed, self._seconds, self._crowd = reactor, seed, seconds, crowd
        self._random, self._file = Random(seed), folder / "config.json"
        self._judge = SoakJudge(GRACE, BARE, CAP, SPAN)
        self._registry = Registry(reactor, self._told)
        self._discovery = Discovery(self._registry, reactor)
        self._places = [self._discovery]
        self._workers = {f"w{k}": ProbePort(reactor) for k in range(WORKERS)}
        self._names = WORKERS
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self._port: int = free.getsockname()[1]
        for name, port in self._workers.items():
            self._registry.entries[name] = entry(name, port.port)
        proxies = PROXIES_IN_CROWD if crowd else PROXIES
        self._proxies = [
            Proxy(number, reactor, self._port, self._random.random, self._heard) for number in range(proxies)
        ]
        self._collector: _Collector | None = None
        self._process: Any = None
        self._log, self._done = list[str](), False
        self._killed = False  # by SIGKILL, or by SIGTERM before it could hear one
        self._starts = self._messages = 0
        self._worst, self._began, self._ready = 0.0, reactor.seconds(), False
        self._started = self._due = 0.0
        self._strangers = dict[UnidentifiedClient, bytes]()
        self._ended: defer.Deferred[None] = defer.Deferred()

    def _now(self) -> float:
        return float(self._reactor.seconds() - self._began)

    def _later(self, after: float, what: Callable[..., Any], *args: Any) -> None:
        self._reactor.callLater(after, lambda: None if self._done else what(*args))

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
        whole = json.dumps(config)
        self._file.write_text(whole)

    def _start(self) -> None:
        self._write_configuration()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        run = run.replace(".venv/bin/python", sys.executable)
        environment = {**os.environ, "RELAY_CONFIG": str(self._file)}
        self._starts, self._ready, self._killed = self._starts + 1, False, False
        self._started, self._ended = self._now(), defer.Deferred()
        for one in self._registry.entries.values():  # as `known` tells them
            self._judge.entry_sent(self._now(), one["id"], one["state"])
        life = _Process(self._logged, self._over)
        self._process = self._reactor.spawnProcess(
            life, "/bin/sh", ["/bin/sh", "-c", run], environment, str(ROOT)
        )
        self._ping(self._process)

    def _ping(self, life: Any) -> None:
        """Asks until the process answers."""
        if life is not self._process or self._ready or self._done:
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: _Ping(lambda: self._pong(life))  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=1)
        self._later(0.1, self._ping, life)

    def _pong(self, life: Any) -> None:
        if life is self._process and not self._ready:
            self._ready = True
            took = self._now() - self._started
            self._worst = max(self._worst, took)
            self._judge.answered(self._now(), took)
            self._connect_collector()

    def _logged(self, line: str) -> None:
        self._log.append(line)
        self._judge.logged(self._now(), line)

    def _over(self, reason: Any) -> None:
        code = reason.value.exitCode if not reason.check(error.ProcessDone) else 0
        self._judge.ended(self._now(), code, self._killed, self._log)
        self._process = None
        self._ended.callback(None)
        if not self._done:
            self._start()

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.pid:
            self._killed = self._killed or number == signal.SIGKILL or not self._ready
            os.kill(self._process.pid, number)

    def _series(self, which: str) -> None:
        """One of SIGNALS; the clients go on using their connections until the end."""
        life = self._process
        if life is None or (not self._ready and "start" not in which):
            return self._later(0.3, self._series, which)
        for step, word in enumerate(which.removesuffix(" in the start").split()):
            self._later(0.02 * step, self._one_signal, word, life, which)

    def _one_signal(self, word: str, life: Any, which: str) -> None:
        if life is not self._process:
            return
        if word == "hup":
            self._move()
            self._signal(signal.SIGHUP)
            self._judge.reloaded(self._now())
        elif word == "term":
            self._signal(signal.SIGTERM)
        else:
            self._later(0.0 if which == "kill" else KILL_AFTER, self._kill, life)

    def _kill(self, life: Any) -> None:
        if life is self._process:
            self._signal(signal.SIGKILL)

    def _restart_in_start(self, which: str) -> None:
        self._signal(signal.SIGKILL)
        self._later(0.15, self._series, which)  # the next one is in the middle of its imports

    def _move(self) -> None:
        """Discovery answers at another address from now on."""
        former, self._discovery = self._discovery, Discovery(self._registry, self._reactor)
        self._places.append(self._discovery)
        former.retire(OLD_PLACE)
        self._write_configuration()

    # The list.

    def _told(self, one: Mapping[str, Any]) -> None:
        self._judge.entry_sent(self._now(), one["id"], one["state"])

    def _worker_event(self) -> None:
        """One drains, vanishes, returns under its id elsewhere, falls silent; or a new one comes."""
        entries = self._registry.entries
        ready = [name for name, one in entries.items() if one["state"] == "ready"]
        what = self._random.choice(("drain", "drain", "gone", "return", "new", "sick"))
        if what in ("drain", "gone", "sick") and len(ready) > WORKERS // 3:
            name = self._random.choice(ready)
            if what == "sick":
                self._workers[name].healthy = False
                return
            state = "draining" if what == "drain" else "gone"
            self._change(entry(name, self._workers[name].port, state))
            stays = 1 + 2 * GRACE * self._random.random()  # some are back within the grace, some after it
            self._later(stays, self._back, name, what == "drain")
        elif what == "new" and len(entries) < 2 * WORKERS:
            name, self._names = f"w{self._names}", self._names + 1
            self._workers[name] = ProbePort(self._reactor)
            self._change(entry(name, self._workers[name].port, started_ms=self._unix_ms()))

    def _unix_ms(self) -> float:
        return float(self._reactor.seconds()) * 1000

    def _back(self, name: str, drained: bool) -> None:
        """A worker that drained is gone, or one that left returns under its id at another address."""
        if drained and self._random.random() < 0.5:
            if name in self._registry.entries:
                self._change(entry(name, self._workers[name].port, "gone"))
            return
        self._workers[name].close()
        self._workers[name] = ProbePort(self._reactor)
        self._change(entry(name, self._workers[name].port, started_ms=self._unix_ms()))

    def _change(self, one: dict[str, Any]) -> None:
        fault = self._random.random()
        before = b'{"version":1,"full":false,"ser\n' if fault < 0.1 else b""
        self._registry.change(one, prefix=before, truncate=0.1 <= fault < 0.2)

    # Streams, strangers, reports.

    def _heard(self, what: str, proxy: Proxy, more: Any) -> None:
        if what == "opened":
            self._judge.joined(self._now(), proxy.number)
        elif what == "lost":
            self._judge.left(proxy.number)
        elif what == "unreadable":
            self._judge.add_violation(self._now(), f"proxy {proxy.number}", str(more))
        elif isinstance(more, ConfigMessage):
            self._messages += 1
            self._judge.message(self._now(), proxy.number, more.names(), more.lines)

    def _stream_event(self) -> None:
        proxy = self._random.choice(self._proxies)
        stream, what = proxy.stream, self._random.choice(("pause", "half", "twice", "break"))
        if stream is None or not self._ready:
            return
        if what == "pause":
            stream.pause(True)
            self._judge.left(proxy.number)
            self._later(1 + self._random.random(), self._resume, proxy, stream)
        elif what == "half":
            stream.half_close()
        elif what == "twice":
            proxy.connect()
        else:
            stream.abort()

    def _resume(self, proxy: Proxy, stream: ProxyStream) -> None:
        if proxy.stream is stream and not stream.closed:
            self._judge.joined(self._now(), proxy.number)
            stream.pause(False)

    def _stranger(self, said: bytes) -> None:
        if not self._ready:
            return
        life = self._process

        def owed(took: float) -> None:
            self._strangers.pop(stranger, None)
            if life is self._process:
                self._judge.stranger(self._now(), said, took)

        stranger = UnidentifiedClient(said, self._reactor, owed)
        self._strangers[stranger] = said
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: stranger  # type: ignore[method-assign]
        factory.clientConnectionFailed = (  # type: ignore[method-assign]
            lambda *why: owed(0.0)
        )  # nobody listens: nothing is owed
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=3)

    def _crowd_comes(self) -> None:
        """Hundreds of strangers, and all proxies dial anew at once."""
        for _ in range(STRANGERS_IN_CROWD):
            self._stranger(self._random.choice(GARBAGE[:3]))
        for proxy in self._proxies:
            proxy.connect()

    def _connect_collector(self) -> None:
        factory = protocol.ClientFactory()
        factory.noisy = False
        self._collector = _Collector()
        factory.buildProtocol = lambda addr: self._collector  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=2)

    def _reports(self) -> None:
        """What the proxies met in the last second; nothing is heard of workers that are sick."""
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

    def _look(self) -> None:
        late = self._now() - self._due
        self._judge.lateness = max(self._judge.lateness, late - CHECK_EVERY)
        self._due = self._now()
        for proxy in self._proxies:
            if proxy.stream is not None:
                self._judge.holds(self._now(), proxy.number, proxy.usable_workers())
        overdue = [stranger for stranger in self._strangers if stranger.is_overdue()]
        for stranger in overdue:
            said = self._strangers.pop(stranger)
            self._judge.stranger(self._now(), said, float("inf"))

    def _plan(self) -> Iterator[tuple[float, Callable[..., Any], tuple[Any, ...]]]:
        draw, length = self._random, self._seconds
        for at in range(1, int(length)):
            yield at, self._reports, ()
        for _ in range(int(length)):
            yield draw.uniform(1, length - 1), self._worker_event, ()
            yield draw.uniform(1, length - 1), self._stream_event, ()
            yield draw.uniform(1, length - 1), self._stranger, (draw.choice(GARBAGE),)
        yield draw.uniform(1, length), self._registry.suspend_updates, (draw.uniform(0.5, 5),)
        for part in (0.25, 0.6):  # series of signals: room for a start after each
            which = draw.choice(SIGNALS)
            step = self._restart_in_start if "start" in which else self._series
            yield part * length + draw.uniform(0, 0.1 * length), step, (which,)
        if self._crowd:
            yield draw.uniform(0.3, 0.8) * length, self._crowd_comes, ()

    async def play(self) -> Verdict:
        self._start()
        for proxy in self._proxies:
            proxy.connect()
        self._due = self._now()
        look = task.LoopingCall(self._look)
        look.clock = self._reactor
        look.start(CHECK_EVERY, now=False)
        for at, what, args in self._plan():
            self._later(at, what, *args)
        await self._pass(self._seconds)
        for _ in range(120):  # the last start may be under way
            if self._ready:
                break
            await self._pass(0.1)
        await self._pass(GRACE + 2.0)
        self._last_look()
        look.stop()
        self._done = True
        for proxy in self._proxies:
            proxy.stopped = True
        ended = self._ended
        self._signal(signal.SIGTERM)
        self._reactor.callLater(KILL_AFTER + 5, self._late_end, self._process)
        await ended
        return Verdict(
            self._seed,
            self._crowd,
            tuple(self._judge.violations),
            self._starts,
            self._messages,
            self._worst,
            tuple(self._log[-40:]),
        )

    async def _pass(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)

    def _late_end(self, life: Any) -> None:
        if life is not None and life is self._process:
            self._judge.add_violation(
                self._now(), "process", "still there 5.7 s after SIGTERM", self._log[-5:]
            )
            self._signal(signal.SIGKILL)

    def _last_look(self) -> None:
        now = self._now()
        self._judge.watched(now, any(watch.discovery is self._discovery for watch in self._registry.watches))
        if self._process is not None:
            descriptors = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
            expected = len(self._proxies) + len(self._strangers) + DESCRIPTORS_BESIDE
            self._judge.resources(
                now, descriptors, expected, pages * os.sysconf("SC_PAGE_SIZE") / 2**20, MEMORY_MOST
            )


def run_soak(first: int, seeds: int, seconds: float, crowd: bool | None, say: Callable[[str], None]) -> int:
    """Plays the seeds one after the other; says each verdict. The number of seeds that broke an aim.

    crowd: whether each run has one; None: every third has.
    """
    from twisted.internet import reactor as found

    reactor: Any = found
    broken = list[int]()

    async def play_all() -> None:
        for seed in range(first, first + seeds):
            with tempfile.TemporaryDirectory(prefix="rl") as folder:
                has_crowd = seed % 3 == 0 if crowd is None else crowd
                verdict = await Soak(reactor, seed, seconds, has_crowd, Path(folder)).play()
            say(verdict.text())
            if verdict.violations:
                broken.append(seed)
                say("\n".join(f"    log: {line[:300]}" for line in verdict.log))

    def failed(failure: Any) -> None:
        broken.append(-1)
        say(failure.getTraceback())

    def all_played() -> None:
        played = defer.ensureDeferred(play_all())
        played.addErrback(failed)
        played.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(all_played)
    reactor.run()
    return len(broken)
