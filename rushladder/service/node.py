"""A manager on the operators' platform: what the environment and the configuration file say, built and
served.

Started by `run` of the deploy file. Everything that this road has no use for (memory, DNS, load reports by
UDP, the runtime sockets, the guard) is neither built nor imported here.
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

from rushladder.catalog.reader import Catalog, Faulty
from rushladder.catalog.watch import Watch
from rushladder.conf.startup_settings import SettingsError, manager_arguments
from rushladder.conf.objects import LogSettings
from rushladder.core.workers import Workers
from rushladder.interface import Event, PeerMessage, Probed, ProbeResult
from rushladder.peers.raw_link import RawPeerLink, Place
from rushladder.records import Server
from rushladder.service.probing import Prober
from rushladder.service.logs import make_log
from rushladder.service.throttled_log import ThrottledLog
from rushladder.catalog.client import CONNECT_TIMEOUT_SECONDS, numeric_agent
from rushladder.streams.codec import load_report
from rushladder.streams.front import Front
from rushladder.streams.host import StreamHost
from rushladder.timing import TENTHS_PER_SECOND

CONFIG, NAME, LISTEN, DISCOVERY = "RELAY_CONFIG", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"
EPOCH = (
    100_000 * TENTHS_PER_SECOND
)  # the module's clock at the start: a day, so that starts before it have a place
# Probes at once: 200 workers, half of them cut off, are through within half a beat by the 0.3 s that dialling
# may take; fewer where the proxies leave no descriptors for them, yet 30 workers in two helpings.
PROBES_LEAST, PROBES_MOST = 16, 64
# Descriptors beside streams and probes: log, poll, listeners, watches old and new, and the connections of a
# crowd that are accepted in one turn and close in the next.
RESERVE = 64
# A configuration file read while it is being replaced is half of one: read again after a tenth of a second,
# then after doubled waits, 1.5 s in all; one that stays faulty waits for the next SIGHUP.
RELOAD_AGAIN, RELOADS = 0.1, 5
PERIOD = 10.0  # s between two lines of figures in the log
TRACE, TRACE_PERIOD = "RUSHLADDER_TRACE", 1.0  # if set: a line on the channel so often, in s
HEALTH, REPORT = "/ping", "/_load"
AT_RELOAD = frozenset({"discovery", "known", "seed"})  # what may differ in a configuration that is read again


class Wrong(ValueError):
    """The configuration can't be used; says which field, and what is allowed."""


def _place(text: Any, field: str) -> Place:
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) < 65_536 or not host:
        raise Wrong(f"{field} should be ADDRESS:PORT")
    return host, int(port)


@attrs.frozen
class Site:
    """What one manager is told at its start."""

    name: str
    listen: Place
    discovery: Place
    seed: int
    sockets: int
    me: int
    proxies: int
    peer_listen: Place | None
    peers: tuple[Place, ...]
    peers_all: Place | None
    known: Any
    described: Mapping[str, Any]  # the module's keyword arguments
    report: str  # where load reports come from: "piggyback", "pull" or "silent"
    reported: frozenset[str]  # the values in them
    connect: float  # s that dialling a worker may take
    given: Mapping[str, Any]  # what a reload does not change

    @property
    def probes(self) -> int:
        """Probes at once, with what the streams of all proxies leave."""
        return max(PROBES_LEAST, min(PROBES_MOST, self.sockets - RESERVE - self.proxies))


def read_site(environment: Mapping[str, str]) -> Site:
    """Reads the file that the environment names. Raises Wrong."""
    path = environment.get(CONFIG)
    if not path:
        raise Wrong(f"{CONFIG} is not set; it should name the configuration file")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as trouble:
        raise Wrong(f"the configuration can't be read: {trouble.strerror}") from None
    except (ValueError, RecursionError):
        raise Wrong("the configuration is not JSON") from None
    if not isinstance(raw, dict):
        raise Wrong("the configuration should be an object")
    return _site(raw, environment)


def _connect_within(micros: Any) -> float:
    """Seconds that a probe's dial may take. A worker that a proxy would not wait for is of no use, so a
    proxy's wait is ours too; a proxy's wait of 0 says nothing, and taken for ours it would give up each dial
    at once. Raises Wrong."""
    try:
        seconds = float(micros) / 1e6
    except (TypeError, ValueError):
        seconds = -1.0
    if not 0 <= seconds < inf:
        raise Wrong("settings limits.connect_timeout should be microseconds, 0 or more")
    return seconds or CONNECT_TIMEOUT_SECONDS


def _site(raw: Mapping[str, Any], environment: Mapping[str, str]) -> Site:
    settings, limits = raw.get("settings"), raw.get("limits", {})
    if not isinstance(settings, dict) or not isinstance(limits, dict):
        raise Wrong("settings and limits should be objects")
    try:
        described = manager_arguments(settings)
        me, proxies = int(settings["me"]), int(settings["family_info"]["proxies"])
        reporting = settings.get("reporting", {})
        connect_timeout = settings["limits"].get("connect_timeout", 0)
        report, fields = str(reporting.get("how", "silent")), frozenset(map(str, reporting.get("fields", ())))
    except SettingsError as trouble:
        raise Wrong(f"settings {trouble}") from None
    except KeyError as missing:
        raise Wrong(f"settings lack {missing}") from None
    except (TypeError, ValueError, AttributeError) as trouble:
        raise Wrong(f"settings cannot be read: {trouble}") from None
    try:
        seed = int(str(raw.get("seed", "0")), 16)
        sockets = int(limits.get("sockets", 1024))
    except (TypeError, ValueError):
        raise Wrong("seed should be hexadecimal, limits.sockets a whole number") from None
    peers = raw.get("peers") or ()
    if not isinstance(peers, list | tuple):
        raise Wrong("peers should be a list of ADDRESS:PORT")
    return Site(
        name=str(raw.get("name") or environment.get(NAME, "")),
        listen=_place(raw.get("listen") or environment.get(LISTEN), "listen"),
        discovery=_place(raw.get("discovery") or environment.get(DISCOVERY), "discovery"),
        seed=seed,
        sockets=sockets,
        me=me,
        proxies=proxies,
        peer_listen=_place(raw["peer_listen"], "peer_listen") if raw.get("peer_listen") else None,
        peers=tuple(_place(peer, "peers") for peer in peers),
        peers_all=_place(raw["peers_all"], "peers_all") if raw.get("peers_all") else None,
        known=raw.get("known"),
        described=described,
        report=report,
        reported=fields,
        connect=_connect_within(connect_timeout),
        given={name: value for name, value in raw.items() if name not in AT_RELOAD},
    )


class Node:
    """One manager and its sockets. monotonic, wall: seconds; the module's clock is the first, which never
    runs backwards, and the second only places the workers' starts on it."""

    def __init__(
        self,
        site: Site,
        reactor: Any,
        log: Any,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.site, self._reactor, self._log = site, reactor, log
        self._monotonic, self._wall, self._zero = monotonic, wall, monotonic()
        self.notes = ThrottledLog(log, reactor)
        self._batch, self._turn, self._wake = list[Event](), False, None  # type: list[Event], bool, Any
        self._late = self._slow = 0.0
        self._waited = [0, 0]  # the longest that a joiner and a withdrawal waited, in tenths of a millisecond
        self._traced = bool(os.environ.get(TRACE))
        self.ended = False
        # Not the module's own draws: its chance depends on its events alone.
        draw = Random(site.seed ^ 0x5EED).random
        agent = numeric_agent(reactor, CONNECT_TIMEOUT_SECONDS)
        path, pulls = (REPORT, True) if site.report == "pull" else (HEALTH, False)
        self._again: Any = None
        self._prober, self._probing = Prober(reactor, path, pulls, site.connect), dict[Server, None]()
        self._room = DeferredSemaphore(site.probes)
        self.words = RawPeerLink(site.me, site.peers, site.peers_all, self._heard, self.notes.note)
        self.workers = Workers()
        self.catalog = Catalog(self.workers, self.placed, self.notes.note)
        self.host = StreamHost(site.seed, site.described, self.now(), self._probe, self.words.tell)
        self._first_list()
        self.watch = Watch(
            agent,
            f"{site.discovery[0]}:{site.discovery[1]}",
            self.catalog,
            reactor,
            draw,
            self.give,
            self.notes.note,
        )
        self.front = Front(
            self.host,
            self.workers,
            reactor,
            tuple(site.described["zones"]),
            site.proxies,
            site.reported,
            max(1, site.sockets - RESERVE - site.probes),
            self.give,
            self.notes.note,
        )

    def _first_list(self) -> None:
        """Steers by the list as it was before the start until discovery is heard."""
        try:
            listing = self.catalog.told(self.site.known, cached=True) if self.site.known else None
        except Faulty as trouble:
            self.notes.note("known.faulty", str(trouble))
            listing = None
        self._take([listing] if listing is not None else [])

    def start(self) -> None:
        site = self.site
        if site.peer_listen is not None and site.described["may_tell"]:
            self._reactor.listenUDP(site.peer_listen[1], self.words, interface=site.peer_listen[0])
        self.watch.start()
        self._figures()
        if self._traced:
            self._trace()
        # All proxies may dial at once; past the kernel's own bound a larger figure changes nothing.
        self._reactor.listenTCP(
            site.listen[1], self.front, backlog=max(1024, 2 * site.proxies), interface=site.listen[0]
        )
        self._log.info(
            "node.serves",
            name=site.name,
            workers=len(self.catalog.known),
            proxies=site.proxies,
            places=self.front.places,
        )

    # Time.

    def now(self) -> int:
        return EPOCH + int((self._monotonic() - self._zero) * TENTHS_PER_SECOND)

    def placed(self, unix_ms: float) -> int:
        return max(1, self.now() - int((self._wall() * 1000 - unix_ms) * TENTHS_PER_SECOND / 1000))

    # Events in, orders out: all that one turn of the reactor read is one batch.

    def give(self, event: Event) -> None:
        self._batch.append(event)
        if not self._turn:
            self._turn = True
            self._reactor.callLater(0, self._close)

    def _close(self) -> None:
        batch, self._batch, self._turn = self._batch, [], False
        self._take(batch)

    def _woken(self) -> None:
        due = self.host.next()
        if due is not None:
            self._late = max(self._late, (self.now() - due) / TENTHS_PER_SECOND)
        backlog = self.host.manager.backlog()
        self._waited = [
            max(self._waited[0], backlog.joiner_waited),
            max(self._waited[1], backlog.withdrawal_waited),
        ]
        self._close()

    def _take(self, batch: list[Event]) -> None:
        began = self._monotonic()
        try:
            self.host.process_batch(self.now(), batch)
        finally:
            self._slow = max(self._slow, self._monotonic() - began)
            due = self.host.next()
            if due is not None:
                if self._wake is not None and self._wake.active():
                    self._wake.cancel()
                wait = max(0.0, (due - self.now()) / TENTHS_PER_SECOND) + 1e-4
                self._wake = self._reactor.callLater(wait, self._woken)

    def _probe(self, server: Server) -> None:
        # One at a time: a late answer says enough when it comes.
        if server.name not in self.catalog.known or server in self._probing:
            return
        self._probing[server] = None
        asked, at = self.now(), list[Any]()

        def begin() -> Any:
            """It may have waited for its turn: where the worker is now, if it is still listed."""
            at.append(self.catalog.life(server))
            return self._prober.probe(at[0][0]) if at[0] is not None else None

        def done(found: Any) -> None:
            self._probing.pop(server, None)
            # An answer of the life before says nothing of one that has moved or started anew, nor of one that
            # is gone: two of them would withdraw a worker that is well.
            if at[0] is None or at[0] != self.catalog.life(server):
                return
            result, body = found if isinstance(found, tuple) else (ProbeResult.ERROR, b"")
            load = {name: value for name, value in load_report(body).items() if name in self.site.reported}
            self.give(Probed(server, result, self.now() - asked, load))

        self._room.run(begin).addBoth(done)

    def _heard(self, peer: int, data: bytes) -> None:
        self.give(PeerMessage(peer, data))

    # Signals and figures.

    def reload(self, environment: Mapping[str, str] = os.environ, tries: int = RELOADS) -> None:
        """Reads the configuration again: the watch goes on at the place that it names now. A faulty file
        changes nothing, and is read again soon, as it may be in the middle of being replaced."""
        if self._again is not None and self._again.active():
            self._again.cancel()
        try:
            site = read_site(environment)
        except Wrong as trouble:
            self.notes.note("reload.refused", str(trouble))
            if tries > 1:
                wait = RELOAD_AGAIN * 2 ** (RELOADS - tries)
                self._again = self._reactor.callLater(wait, self.reload, environment, tries - 1)
            return
        kept = [name for name in site.given if site.given[name] != self.site.given.get(name)]
        if kept:
            self.notes.note("reload.kept", "takes a restart: " + ", ".join(sorted(kept))[:200])
        self._log.info("reload", discovery=f"{site.discovery[0]}:{site.discovery[1]}")
        self.watch.move(f"{site.discovery[0]}:{site.discovery[1]}")

    def _figures(self) -> None:
        self._reactor.callLater(PERIOD, self._figures)
        self._log.info(
            "figures",
            streams=len(self.host.joined_proxies),
            strangers=len(self.front.strangers),
            version=self.catalog.version,
            listed=len(self.catalog.known),
            workers=len(self.workers),
            list_age=round(self._reactor.seconds() - self.watch.heard_at, 1),
            descriptors=_descriptors(),
            rss_mb=_rss_mb(),
            late_ms=round(1000 * self._late),
            slow_ms=round(1000 * self._slow),
            lines=self.host.lines,
            messages=self.host.messages,
            faults=self.notes.totals(),
            **({} if self._traced else self._channel()),
        )
        self._late = self._slow = 0.0

    def _channel(self) -> dict[str, Any]:
        """What was written since these figures were last taken, by purpose, and what waits."""
        written, backlog = self.host.account.take(self.now()), self.host.manager.backlog()
        joiner, withdrawal = self._waited
        self._waited = [0, 0]
        return {
            "written": dict(written.lines),
            "heads": written.messages,
            "queue": written.queue,
            "queue_most": written.queue_most,
            "counted": backlog.lines,
            "unbound": backlog.unbound,
            "joiner_ms": max(joiner, backlog.joiner_waited) // 10,
            "withdrawal_ms": max(withdrawal, backlog.withdrawal_waited) // 10,
        }

    def _trace(self) -> None:
        self._reactor.callLater(TRACE_PERIOD, self._trace)
        self._log.info("channel", **self._channel())


ENDING_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)  # by default each ends the process


class Signals:
    """SIGHUP and SIGTERM from the process's first line on. By default the one would kill a manager that is
    about to serve, and the reactor's own handler of the other fails when it comes twice."""

    def __init__(self) -> None:
        self._early, self._give = list[int](), self._early_one
        for number in ENDING_SIGNALS:
            signal.signal(number, lambda number, _: self._give(number))

    def _early_one(self, number: int) -> None:
        if number != signal.SIGHUP:
            self.ignore()
            raise SystemExit(0)  # nothing is served yet, and nobody waits for it
        self._early = [number]

    def ignore(self) -> None:
        """The process is about to end. The interpreter takes its handlers back while it ends: a second
        SIGTERM then ended it by the signal, as if it had crashed. What is ignored stays so."""
        for number in ENDING_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def heard(self, reactor: Any, reload: Callable[[], None], end: Callable[[], None]) -> None:
        """From now on they are carried out in turns of the reactor; also one that came before."""
        self._give = lambda number: reactor.callFromThread(reload if number == signal.SIGHUP else end)
        for number in self._early:
            self._give(number)


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
    """Serves until SIGTERM. Leaves with 2 and one line if the configuration is faulty."""
    signals = Signals()
    log = make_log(LogSettings("json", "info"))
    try:
        site = read_site(os.environ)
    except Wrong as trouble:
        log.error("configuration", why=str(trouble))
        return 2
    from twisted.internet import reactor as found

    reactor: Any = found

    def observe(event: Mapping[str, Any]) -> None:
        if event.get("log_level") in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            notes.note("error", failure.getTraceback()[-1500:] if failure else str(event.get("log_format")))

    notes = ThrottledLog(log, reactor)
    globalLogBeginner.beginLoggingTo(
        [provider(ILogObserver)(observe)], redirectStandardIO=False, discardBuffer=True
    )
    node = Node(site, reactor, log)
    failed = list[str]()

    def end() -> None:
        if reactor.running and not node.ended:
            node.ended = True
            reactor.stop()

    def start() -> None:
        try:
            node.start()
        except Exception as trouble:  # a process that can't listen must not stay and look alive
            failed.append(f"{type(trouble).__name__}: {trouble}")
            end()

    reactor.callWhenRunning(start)
    reactor.callWhenRunning(signals.heard, reactor, node.reload, end)
    gc.collect()
    gc.freeze()  # what was imported stays: collections need not walk it again and again
    reactor.run(installSignalHandlers=False)
    signals.ignore()
    if failed:
        log.error("node.failed", why=failed[0])
        return 1
    log.info("node.ended", streams=len(node.host.joined_proxies))
    return 0


if __name__ == "__main__":
    sys.exit(main())
