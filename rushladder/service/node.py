"""A manager on the operators' platform: reads the environment and the configuration file, and serves.

The `run` command of deploy/balancer.toml starts it. What the platform doesn't use (stored memory, DNS, load
reports over UDP, runtime sockets, the guard) is neither created nor imported here.
"""

from __future__ import annotations

import gc
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping
from math import inf
from pathlib import Path
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import DeferredSemaphore
from twisted.logger import ILogObserver, LogLevel, globalLogBeginner
from zope.interface import provider

from rushladder.catalog.client import CONNECT_TIMEOUT_SECONDS, numeric_agent
from rushladder.catalog.reader import AnswerError, Catalog
from rushladder.catalog.watch import Watch
from rushladder.conf.objects import LogSettings
from rushladder.conf.startup_settings import SettingsError, manager_arguments
from rushladder.core.workers import Workers
from rushladder.interface import Event, PeerMessage, Probed, ProbeResult
from rushladder.peers.raw_link import HostPort, RawPeerLink
from rushladder.records import Server
from rushladder.service.logs import make_log
from rushladder.service.probing import Prober
from rushladder.service.reactor import install_reactor
from rushladder.service.throttled_log import ThrottledLog
from rushladder.streams.codec import parse_load_report
from rushladder.streams.host import StreamHost
from rushladder.streams.listener import Listener
from rushladder.timing import TENTHS_PER_SECOND

CONFIG_ENV, NAME_ENV, LISTEN_ENV, DISCOVERY_ENV = (
    "RELAY_CONFIG",
    "RELAY_NAME",
    "RELAY_LISTEN",
    "RELAY_DISCOVERY",
)
# The module's clock at the process's start: about a day, so that workers' earlier start times are positive.
CLOCK_START_TENTHS = 100_000 * TENTHS_PER_SECOND
# Concurrent probes. With 64, 200 workers of which half are unreachable are probed within half a control
# period, as a connection attempt takes at most 0.3 s. Where the proxies leave too few descriptors there are
# fewer, but at least 16, so that 30 workers are probed in two rounds.
MIN_CONCURRENT_PROBES, MAX_CONCURRENT_PROBES = 16, 64
# Descriptors beside those for streams and probes: log, poll, listeners, the former and the new watch, and
# connections of a reconnect storm that are accepted in one turn of the reactor and closed in the next.
RESERVED_DESCRIPTORS = 64
# A configuration file that is read while it is being replaced may be incomplete. It is read again after 0.1 s
# and then after doubled delays, 1.5 s in total; a file that stays invalid is read again at the next SIGHUP.
RELOAD_RETRY_SECONDS, RELOAD_ATTEMPTS = 0.1, 5
FIGURES_PERIOD_SECONDS = 10.0  # between two log lines of figures
TRACE_ENV, TRACE_PERIOD_SECONDS = "RUSHLADDER_TRACE", 1.0  # if set: log the channel's figures this often
HEALTH_PATH, LOAD_REPORT_PATH = "/ping", "/_load"
# Fields that may differ in a reloaded configuration without a warning.
RELOADABLE_FIELDS = frozenset({"discovery", "known", "seed"})


class ConfigurationError(ValueError):
    """The configuration can't be used; says which field, and what is allowed."""


def _host_port(text: Any, field: str) -> HostPort:
    host, separator, port = str(text).rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65_536 or not host:
        raise ConfigurationError(f"{field} should be ADDRESS:PORT")
    return host, int(port)


@attrs.frozen
class Configuration:
    """A manager's configuration, from the file and the environment."""

    name: str
    listen: HostPort
    discovery: HostPort
    seed: int
    sockets: int  # how many descriptors the process may open
    me: int  # this manager's number, which is its index in `peers`
    proxies: int  # how many proxies there are
    peer_listen: HostPort | None
    peers: tuple[HostPort, ...]
    peers_all: HostPort | None
    known: Any  # the list of workers from before the start, if there is one
    manager_args: Mapping[str, Any]  # the decision module's keyword arguments
    report_mode: str  # where load reports come from: "piggyback", "pull" or "silent"
    load_names: frozenset[str]  # the values in load reports
    connect_timeout: float  # seconds for a connection to a worker
    restart_fields: Mapping[str, Any]  # the fields that take effect only after a restart

    @property
    def concurrent_probes(self) -> int:
        """How many probes may run at once, given the descriptors that the streams of all proxies leave."""
        return max(
            MIN_CONCURRENT_PROBES,
            min(MAX_CONCURRENT_PROBES, self.sockets - RESERVED_DESCRIPTORS - self.proxies),
        )


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Reads the configuration file that the environment names. Raises ConfigurationError."""
    path = environment.get(CONFIG_ENV)
    if not path:
        raise ConfigurationError(f"{CONFIG_ENV} is not set; it should be the path of the configuration file")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"the configuration file can't be read: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigurationError("the configuration is not JSON; it should be a JSON object") from None
    if not isinstance(raw, dict):
        raise ConfigurationError("the configuration should be a JSON object")
    return _configuration(raw, environment)


def _connect_timeout(micros: Any) -> float:
    """Returns the seconds that a probe may take to connect. Raises ConfigurationError.

    The proxies' connect timeout applies, as a worker that proxies give up on is of no use. Their value of 0
    says nothing about probes, and used here it would fail each connection at once: the default applies
    instead.
    """
    try:
        seconds = float(micros) / 1e6
    except (TypeError, ValueError):
        seconds = -1.0
    if not 0 <= seconds < inf:
        raise ConfigurationError(
            "settings limits.connect_timeout should be a number of microseconds, 0 or more"
        )
    return seconds or CONNECT_TIMEOUT_SECONDS


def _configuration(raw: Mapping[str, Any], environment: Mapping[str, str]) -> Configuration:
    settings, limits = raw.get("settings"), raw.get("limits", {})
    if not isinstance(settings, dict) or not isinstance(limits, dict):
        raise ConfigurationError("settings and limits should be JSON objects")
    try:
        manager_args = manager_arguments(settings)
        me, proxies = int(settings["me"]), int(settings["family_info"]["proxies"])
        reporting = settings.get("reporting", {})
        connect_timeout = settings["limits"].get("connect_timeout", 0)
        report_mode, load_names = (
            str(reporting.get("how", "silent")),
            frozenset(map(str, reporting.get("fields", ()))),
        )
    except SettingsError as error:
        raise ConfigurationError(f"settings {error}") from None
    except KeyError as missing:
        raise ConfigurationError(f"settings lack {missing}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"settings cannot be read: {error}") from None
    try:
        seed = int(str(raw.get("seed", "0")), 16)
        sockets = int(limits.get("sockets", 1024))
    except (TypeError, ValueError):
        raise ConfigurationError(
            "seed should be a hexadecimal number, and limits.sockets a whole number"
        ) from None
    peers = raw.get("peers") or ()
    if not isinstance(peers, list | tuple):
        raise ConfigurationError("peers should be a list of ADDRESS:PORT")
    return Configuration(
        name=str(raw.get("name") or environment.get(NAME_ENV, "")),
        listen=_host_port(raw.get("listen") or environment.get(LISTEN_ENV), "listen"),
        discovery=_host_port(raw.get("discovery") or environment.get(DISCOVERY_ENV), "discovery"),
        seed=seed,
        sockets=sockets,
        me=me,
        proxies=proxies,
        peer_listen=_host_port(raw["peer_listen"], "peer_listen") if raw.get("peer_listen") else None,
        peers=tuple(_host_port(peer, "peers") for peer in peers),
        peers_all=_host_port(raw["peers_all"], "peers_all") if raw.get("peers_all") else None,
        known=raw.get("known"),
        manager_args=manager_args,
        report_mode=report_mode,
        load_names=load_names,
        connect_timeout=_connect_timeout(connect_timeout),
        restart_fields={name: value for name, value in raw.items() if name not in RELOADABLE_FIELDS},
    )


class Node:
    """One manager and its sockets.

    monotonic, wall: clocks in seconds. The module's clock is based on the first, which never runs backwards;
    the second only converts the workers' start times.
    """

    def __init__(
        self,
        config: Configuration,
        reactor: Any,
        log: Any,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.config, self._reactor, self._log = config, reactor, log
        self._monotonic, self._wall, self._started = monotonic, wall, monotonic()
        self.warnings = ThrottledLog(log, reactor)
        self._batch, self._batch_scheduled, self._wakeup = list[Event](), False, None  # type: list[Event], bool, Any
        self._max_lateness = self._max_batch_time = 0.0  # seconds, since the last log line
        # The longest waits of a joining proxy and of a withdrawal, in tenths of a millisecond.
        self._max_waits = [0, 0]
        self._traced = bool(os.environ.get(TRACE_ENV))
        self.ended = False
        # Separate from the module's generator, whose results must depend on its events alone.
        random = Random(config.seed ^ 0x5EED).random
        agent = numeric_agent(reactor, CONNECT_TIMEOUT_SECONDS)
        path, with_body = (LOAD_REPORT_PATH, True) if config.report_mode == "pull" else (HEALTH_PATH, False)
        self._reload_timer: Any = None
        self._prober, self._probes_in_flight = (
            Prober(reactor, path, with_body, config.connect_timeout),
            dict[Server, None](),
        )
        self._probe_slots = DeferredSemaphore(config.concurrent_probes)
        self.peer_link = RawPeerLink(
            config.me, config.peers, config.peers_all, self._peer_message_received, self.warnings.warn
        )
        self.workers = Workers()
        self.catalog = Catalog(self.workers, self.from_unix_ms, self.warnings.warn)
        self.host = StreamHost(config.seed, config.manager_args, self.now(), self._probe, self.peer_link.send)
        self._apply_cached_list()
        self.watch = Watch(
            agent,
            f"{config.discovery[0]}:{config.discovery[1]}",
            self.catalog,
            reactor,
            random,
            self.add_event,
            self.warnings.warn,
        )
        self.listener = Listener(
            self.host,
            self.workers,
            reactor,
            tuple(config.manager_args["zones"]),
            config.proxies,
            config.load_names,
            max(1, config.sockets - RESERVED_DESCRIPTORS - config.concurrent_probes),
            self.add_event,
            self.warnings.warn,
        )

    def _apply_cached_list(self) -> None:
        """Uses the list from before the start until discovery has answered."""
        try:
            listing = self.catalog.update(self.config.known, cached=True) if self.config.known else None
        except AnswerError as error:
            self.warnings.warn("known.faulty", str(error))
            listing = None
        self._process_batch([listing] if listing is not None else [])

    def start(self) -> None:
        """Starts to watch discovery, to log figures, and to accept connections."""
        config = self.config
        if config.peer_listen is not None and config.manager_args["may_send_to_peers"]:
            self._reactor.listenUDP(config.peer_listen[1], self.peer_link, interface=config.peer_listen[0])
        self.watch.start()
        self._log_figures()
        if self._traced:
            self._log_channel()
        # All proxies may connect at once. The kernel caps larger values at its own limit.
        self._reactor.listenTCP(
            config.listen[1], self.listener, backlog=max(1024, 2 * config.proxies), interface=config.listen[0]
        )
        self._log.info(
            "node.serves",
            name=config.name,
            workers=len(self.catalog.known),
            proxies=config.proxies,
            places=self.listener.max_connections,
        )

    # Clocks.

    def now(self) -> int:
        """The module's clock."""
        return CLOCK_START_TENTHS + int((self._monotonic() - self._started) * TENTHS_PER_SECOND)

    def from_unix_ms(self, unix_ms: float) -> int:
        """Converts a Unix time in milliseconds to the module's clock; 1 if it lies before the clock's
        zero."""
        return max(1, self.now() - int((self._wall() * 1000 - unix_ms) * TENTHS_PER_SECOND / 1000))

    # Batches: all events that were read in one turn of the reactor are handled together.

    def add_event(self, event: Event) -> None:
        """Adds an event to the batch of this turn of the reactor."""
        self._batch.append(event)
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self._reactor.callLater(0, self._flush_batch)

    def _flush_batch(self) -> None:
        batch, self._batch, self._batch_scheduled = self._batch, [], False
        self._process_batch(batch)

    def _on_wakeup(self) -> None:
        due = self.host.next_wakeup()
        if due is not None:
            self._max_lateness = max(self._max_lateness, (self.now() - due) / TENTHS_PER_SECOND)
        backlog = self.host.manager.backlog()
        self._max_waits = [
            max(self._max_waits[0], backlog.joiner_waited),
            max(self._max_waits[1], backlog.withdrawal_waited),
        ]
        self._flush_batch()

    def _process_batch(self, batch: list[Event]) -> None:
        started = self._monotonic()
        try:
            self.host.process_batch(self.now(), batch)
        finally:
            self._max_batch_time = max(self._max_batch_time, self._monotonic() - started)
            due = self.host.next_wakeup()
            if due is not None:
                if self._wakeup is not None and self._wakeup.active():
                    self._wakeup.cancel()
                delay = max(0.0, (due - self.now()) / TENTHS_PER_SECOND) + 1e-4
                self._wakeup = self._reactor.callLater(delay, self._on_wakeup)

    def _probe(self, server: Server) -> None:
        # One probe per worker at a time: a second one would show no more than the late result of the first.
        if server.name not in self.catalog.known or server in self._probes_in_flight:
            return
        self._probes_in_flight[server] = None
        started, target = self.now(), list[Any]()

        def begin() -> Any:
            """Probes the address that the worker has now, if it is still listed: the probe may have been
            queued."""
            target.append(self.catalog.incarnation(server))
            return self._prober.probe(target[0][0]) if target[0] is not None else None

        def done(outcome: Any) -> None:
            self._probes_in_flight.pop(server, None)
            # The result of an earlier incarnation says nothing about a worker that has moved, restarted or
            # gone: two such failures would withdraw a healthy worker.
            if target[0] is None or target[0] != self.catalog.incarnation(server):
                return
            result, body = outcome if isinstance(outcome, tuple) else (ProbeResult.ERROR, b"")
            load = {
                name: value
                for name, value in parse_load_report(body).items()
                if name in self.config.load_names
            }
            self.add_event(Probed(server, result, self.now() - started, load))

        self._probe_slots.run(begin).addBoth(done)

    def _peer_message_received(self, peer: int, data: bytes) -> None:
        self.add_event(PeerMessage(peer, data))

    # Reload and figures.

    def reload(self, environment: Mapping[str, str] = os.environ, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Reads the configuration again and moves the watch to the discovery address in it. An invalid file
        changes nothing and is read again soon, as it may be in the middle of being replaced."""
        if self._reload_timer is not None and self._reload_timer.active():
            self._reload_timer.cancel()
        try:
            config = read_configuration(environment)
        except ConfigurationError as error:
            self.warnings.warn("reload.refused", str(error))
            if attempts > 1:
                delay = RELOAD_RETRY_SECONDS * 2 ** (RELOAD_ATTEMPTS - attempts)
                self._reload_timer = self._reactor.callLater(delay, self.reload, environment, attempts - 1)
            return
        changed = [
            name
            for name in config.restart_fields
            if config.restart_fields[name] != self.config.restart_fields.get(name)
        ]
        if changed:
            self.warnings.warn(
                "reload.kept", "only a restart applies changes of: " + ", ".join(sorted(changed))[:200]
            )
        self._log.info("reload", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        self.watch.move(f"{config.discovery[0]}:{config.discovery[1]}")

    def _log_figures(self) -> None:
        self._reactor.callLater(FIGURES_PERIOD_SECONDS, self._log_figures)
        self._log.info(
            "figures",
            streams=len(self.host.joined_proxies),
            strangers=len(self.listener.unidentified),
            version=self.catalog.version,
            listed=len(self.catalog.known),
            workers=len(self.workers),
            list_age=round(self._reactor.seconds() - self.watch.last_data_at, 1),
            descriptors=_descriptors(),
            rss_mb=_rss_mb(),
            late_ms=round(1000 * self._max_lateness),
            slow_ms=round(1000 * self._max_batch_time),
            lines=self.host.lines,
            messages=self.host.messages,
            faults=self.warnings.totals(),
            **({} if self._traced else self._channel_figures()),
        )
        self._max_lateness = self._max_batch_time = 0.0

    def _channel_figures(self) -> dict[str, Any]:
        """What was written since these figures were last taken, by purpose, and what is queued."""
        written, backlog = self.host.channel_meter.take_figures(self.now()), self.host.manager.backlog()
        joiner_wait, withdrawal_wait = self._max_waits
        self._max_waits = [0, 0]
        coverage = self.host.manager.table_coverage()
        return {
            "written": dict(written.lines),
            "heads": written.messages,
            "queue": written.queue,
            "queue_most": written.queue_max,
            "counted": backlog.lines,
            "unbound": backlog.unbound,
            "joiner_ms": max(joiner_wait, backlog.joiner_waited) // 10,
            "withdrawal_ms": max(withdrawal_wait, backlog.withdrawal_waited) // 10,
            "tables": coverage.used,
            "unserved": coverage.unserved,
            "unplanned": coverage.unplanned,
        }

    def _log_channel(self) -> None:
        self._reactor.callLater(TRACE_PERIOD_SECONDS, self._log_channel)
        self._log.info("channel", **self._channel_figures())


HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)  # each ends the process by default


class Signals:
    """Handles SIGHUP, SIGTERM and SIGINT from the very start of the process. By default, SIGHUP would kill a
    manager that is about to serve, and the reactor's own handler of SIGTERM fails when the signal arrives
    twice."""

    def __init__(self) -> None:
        self._pending, self._handle = list[int](), self._handle_before_start
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda number, _: self._handle(number))

    def _handle_before_start(self, number: int) -> None:
        if number != signal.SIGHUP:
            self.ignore()
            raise SystemExit(0)  # nothing is served yet, so nothing has to be shut down
        self._pending = [number]

    def ignore(self) -> None:
        """Ignores the signals until the process has ended. The interpreter restores the default handlers
        while it exits, and a second SIGTERM then killed the process as if it had crashed; ignored signals
        stay ignored."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def attach(self, reactor: Any, reload: Callable[[], None], end: Callable[[], None]) -> None:
        """Handles signals in the reactor from now on, including a SIGHUP that arrived before."""
        self._handle = lambda number: reactor.callFromThread(reload if number == signal.SIGHUP else end)
        for number in self._pending:
            self._handle(number)


def _descriptors() -> int:
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return -1


def _rss_mb() -> float:
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20, 1)
    except OSError:
        return -1.0


def main() -> int:
    """Serves until SIGTERM or SIGINT. Returns 2 after one log line if the configuration is invalid."""
    signals = Signals()
    log = make_log(LogSettings("json", "info"))
    try:
        config = read_configuration(os.environ)
    except ConfigurationError as error:
        log.error("configuration", why=str(error))
        return 2
    reactor = install_reactor()

    def observe(event: Mapping[str, Any]) -> None:
        if event.get("log_level") in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            warnings.warn(
                "error", failure.getTraceback()[-1500:] if failure else str(event.get("log_format"))
            )

    warnings = ThrottledLog(log, reactor)
    globalLogBeginner.beginLoggingTo(
        [provider(ILogObserver)(observe)], redirectStandardIO=False, discardBuffer=True
    )
    node = Node(config, reactor, log)
    failures = list[str]()

    def end() -> None:
        if reactor.running and not node.ended:
            node.ended = True
            reactor.stop()

    def start() -> None:
        try:
            node.start()
        except Exception as error:  # a process that can't listen must not keep running and look healthy
            failures.append(f"{type(error).__name__}: {error}")
            end()

    reactor.callWhenRunning(start)
    reactor.callWhenRunning(signals.attach, reactor, node.reload, end)
    gc.collect()
    gc.freeze()  # imported modules stay alive: the collector needn't traverse them each time
    reactor.run(installSignalHandlers=False)
    signals.ignore()
    if failures:
        log.error("node.failed", why=failures[0])
        return 1
    log.info("node.ended", streams=len(node.host.joined_proxies))
    return 0


if __name__ == "__main__":
    sys.exit(main())
