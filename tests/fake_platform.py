"""The platform on a virtual clock: managers with the real decision module, and plain proxies that keep their
tables and withdrawals across streams."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from rushladder.catalog.reader import Catalog
from rushladder.core.workers import Workers
from rushladder.interface import Applied, Arrivals, Event, Probed, ProbeResult, Product, Tries
from rushladder.records import Server
from rushladder.standins import platform
from rushladder.streams.host import StreamHost
from tests.fake_host import ASK, SECOND, FakeHost

ZONES = ("a", "b")
START = 1000 * SECOND  # what the virtual clock shows first, in tenths of a millisecond
TENTHS_PER_MS = 10


class PlainStream:
    """One stream of a proxy."""

    def __init__(self, proxy: PlainProxy) -> None:
        self._proxy = proxy

    def send(self, message: bytes) -> None:
        self._proxy.receive(self, message)

    def abort(self) -> None:
        pass


class PlainProxy:
    """A proxy that applies each message at once."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.stream: PlainStream | None = None
        self.manager: FakeManager | None = None
        self.marks = list[int]()  # applied, and not yet acknowledged
        self.restart()

    def restart(self) -> None:
        """Its process restarts: it has no ordered table and no withdrawals."""
        self.table, self.withdrawn = dict[str, float](), set[str]()

    def receive(self, stream: PlainStream, data: bytes) -> None:
        if stream is not self.stream:
            return
        message = platform.parse_config_message(
            [line.removesuffix(" part=1") for line in data.decode().split("\r\n") if line]
        )
        rows = {**({} if message.replace else self.table), **message.rows}
        self.table = {name: weight for name, weight in rows.items() if weight > 0}
        self.withdrawn = (self.withdrawn | set(message.drop)) - set(message.undrop)
        if message.mark is not None:
            self.marks.append(message.mark)

    def usable_workers(self) -> set[str]:
        return {name for name in self.table if name not in self.withdrawn}


class FakeManager:
    """One process of a manager, which starts with the list of `entries` and nothing else."""

    def __init__(
        self, seed: int, arguments: Mapping[str, Any], now: int, entries: Iterable[Mapping[str, Any]]
    ) -> None:
        self.workers, self.probes = Workers(), list[Server]()
        self.catalog = Catalog(self.workers, lambda ms: int(TENTHS_PER_MS * ms), lambda *warning: None)
        self.host = StreamHost(seed, arguments, now, self.probes.append, lambda *message: None)
        self.receive_list(now, entries, full=True, cached=True)

    def receive_list(
        self, now: int, entries: Iterable[Mapping[str, Any]], full: bool, cached: bool = False
    ) -> None:
        answer = {"version": now, "full": full, "servers": list(entries)}
        listing = self.catalog.update(answer, cached)
        self.host.process_batch(now, [listing] if listing is not None else [])


class FakePlatform:
    """Two managers, and proxies and workers of two zones. Time passes in `run` alone.

    message_cap: messages to a proxy within ten seconds; 0: unlimited. home_only: whether the one product may
    be sent only to workers of the proxy's zone.
    """

    def __init__(self, message_cap: int = 12, home_only: bool = False, workers_per_zone: int = 3) -> None:
        self.now, self.failing = START, set[str]()
        self.product: Product = replace(ASK, home_only=home_only)
        self._arguments = FakeHost(products=(self.product,), zones=ZONES, cap=message_cap).manager_args
        self.listed = dict[str, dict[str, Any]]()
        self._seed = 0
        for zone in ZONES:
            for number in range(workers_per_zone):
                self._list_worker(f"{zone}{number}", "ready", 0)
        self.managers = [self._new_manager(), self._new_manager()]
        self.proxies = [PlainProxy(number, ZONES[number % len(ZONES)]) for number in range(4)]
        for proxy in self.proxies:
            self.join(proxy, self.managers[0])
        self.run(5)

    def _new_manager(self) -> FakeManager:
        self._seed += 1
        return FakeManager(self._seed, self._arguments, self.now, self.listed.values())

    # Proxies and managers.

    def join(self, proxy: PlainProxy, manager: FakeManager) -> None:
        """Opens a stream to the manager; its older one to the same manager has not been seen to end."""
        proxy.stream, proxy.manager = PlainStream(proxy), manager
        proxy.marks.clear()
        fresh = not proxy.table
        manager.host.process_batch(
            self.now, manager.host.join(proxy.number, proxy.zone, 10.0, fresh, proxy.stream)
        )

    def leave(self, proxy: PlainProxy) -> None:
        """Ends the proxy's stream."""
        manager, stream = proxy.manager, proxy.stream
        proxy.stream = None
        if manager is not None and stream is not None:
            left = manager.host.leave(proxy.number, stream)
            manager.host.process_batch(self.now, [left] if left is not None else [])

    def rejoin(self, index: int | None = None, away: int = 0) -> None:
        """All proxies leave, and join again after so many seconds: the manager of the index, or their own."""
        for proxy in self.proxies:
            self.leave(proxy)
        self.run(away)
        for proxy in self.proxies:
            manager = proxy.manager if index is None else self.managers[index]
            assert manager is not None
            self.join(proxy, manager)

    def restart_manager(self, index: int) -> None:
        """The manager's process ends, and a new one starts; its proxies join that one after a second."""
        ended, self.managers[index] = self.managers[index], self._new_manager()
        orphans = [proxy for proxy in self.proxies if proxy.manager is ended]
        for proxy in orphans:
            proxy.stream = None
        self.run(1)
        for proxy in orphans:
            self.join(proxy, self.managers[index])

    # Workers.

    def announce(self, names: Iterable[str], state: str) -> None:
        """Tells all managers the workers' new state. One that is ready has just started."""
        entries = [self._list_worker(name, state, self.now / TENTHS_PER_MS) for name in names]
        for manager in self.managers:
            manager.receive_list(self.now, entries, full=False)

    def announce_without(self, names: Iterable[str]) -> None:
        """Sends all managers a whole list that lacks the workers."""
        for name in names:
            del self.listed[name]
        for manager in self.managers:
            manager.receive_list(self.now, self.listed.values(), full=True)

    def _list_worker(self, name: str, state: str, started_ms: float) -> dict[str, Any]:
        entry = self.listed[name] = {**platform.entry(name, 9, state, started_ms), "zone": name[0]}
        if state == "gone":
            del self.listed[name]
        return entry

    # Time.

    def run(self, seconds: int) -> None:
        """Lets time pass, with answers to marks and probes, and reports of steady traffic."""
        for _ in range(seconds):
            self.now += SECOND
            for manager in self.managers:
                manager.host.process_batch(self.now, [*self._probe_results(manager), *self._reports(manager)])

    def _probe_results(self, manager: FakeManager) -> list[Event]:
        probes = list(manager.probes)
        manager.probes.clear()
        healthy = self.listed.keys() - self.failing
        return [
            Probed(server, ProbeResult.OK if server.name in healthy else ProbeResult.ERROR, 100)
            for server in probes
        ]

    def _reports(self, manager: FakeManager) -> list[Event]:
        events = list[Event]()
        for proxy in self.proxies:
            joined = manager.host.joined_proxies.get(proxy.number)
            if joined is None or proxy.stream is not joined.stream:
                continue
            marks, proxy.marks = proxy.marks, []
            answered = [mark for mark in marks if manager.host.acknowledge(joined, mark)]
            events += [Applied(joined.gateway, mark, 1000) for mark in answered]
            events.append(Arrivals(joined.gateway, self.product, 10, 0, SECOND))
            for name in sorted(proxy.usable_workers()):
                server = manager.workers.get(name)
                if server is not None:
                    voided = 20 * (name in self.failing)
                    events.append(Tries(server, proxy.zone, 20, voided, SECOND, 0 if voided else 1500))
        return events

    # What is wrong.

    def shut_out(self) -> list[tuple[int, str]]:
        """The ready workers that a proxy has in its table and shuts out, as (proxy, worker)."""
        ready = {name for name, entry in self.listed.items() if entry["state"] == "ready"}
        return [
            (proxy.number, name)
            for proxy in self.proxies
            for name in sorted(ready & proxy.table.keys() & proxy.withdrawn)
        ]
