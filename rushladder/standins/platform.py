"""Stand-ins for the operators' platform, written from its protocol page: discovery, proxies, collectors,
workers' probe ports and strangers, over loopback. They say and hear lines, and judge nothing."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
from twisted.internet import protocol

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ALIVE_EVERY = 2.0  # s between empty lines of a watch
PRODUCT = "ask"


def entry(name: str, port: int = 9, state: str = "ready", started_ms: float = 0) -> dict[str, Any]:
    """One worker of zone a, as discovery's lists have it."""
    return {
        "id": name,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "m",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


def listing(version: int, *entries: Mapping[str, Any], full: bool = False) -> bytes:
    """One line of a watch."""
    return json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    """One chunk of an HTTP answer."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def configuration(
    port: int, discovery: int, workers: Sequence[Mapping[str, Any]], version: int = 41, **family: Any
) -> dict[str, Any]:
    """What a manager is told at its start: one product, one zone, no peers. family: for family_info."""
    lane = {
        "deadline": 3000000,
        "idempotency": "retryable",
        "name": PRODUCT,
        "points": 3.0,
        "target": 1200000,
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"version": version, "full": True, "servers": list(workers)},
        "settings": {
            "azs": ["a"],
            "group_size": 1,
            "me": 0,
            "membership_mode": "automatic",
            "lanes": [lane],
            "family_info": {
                "bare": 8000000,
                "egress_per_s": 1300.0,
                "head": 3.0,
                "key_ranges": 0,
                "pending_max": 2000.0,
                "propagation": 446000,
                "proxies": 12,
                "push_delay_max": 1115000,
                "throttle_by": "ratio",
                **family,
            },
            "guarantees": {
                "cold": 15000000,
                "cold_from": 0.17,
                "drain_grace": 4200000,
                "overload_factor": 2.5,
                "overload_for": 2000000,
            },
            "limits": {"probes": False, "may_tell": False, "connect_timeout": 300000},
            "reporting": {"how": "silent"},
        },
    }


class Registry:
    """Discovery's list, the same behind each address. told: hears of entries as they are written."""

    def __init__(self, clock: Any, on_written: Callable[[Mapping[str, Any]], None]) -> None:
        self.clock, self.on_written = clock, on_written
        self.version, self.entries = 41, dict[str, dict[str, Any]]()
        self.changes = list[tuple[int, dict[str, Any]]]()
        self.watches = dict[_Watched, None]()
        self.silent_until, self._again = 0.0, False

    def change(self, *entries: dict[str, Any], before: bytes = b"", cut: bool = False) -> None:
        """The entries change; `before`: written first; cut: the line breaks off and its connection ends."""
        self.version += 1
        for one in entries:
            self.changes.append((self.version, one))
            self.entries[one["id"]] = one
            if one["state"] == "gone":
                del self.entries[one["id"]]
        for watch in list(self.watches):
            watch.tell(before, cut)

    def fall_silent(self, seconds: float) -> None:
        """Nothing is said meanwhile; what changed is told after it."""
        self.silent_until = self.clock.seconds() + seconds
        self.clock.callLater(seconds + 0.01, self._speak)

    def _speak(self) -> None:
        for watch in list(self.watches):
            watch.tell()

    def silent(self) -> bool:
        return bool(self.clock.seconds() < self.silent_until)


class _Watched(protocol.Protocol):
    """One watch at one of discovery's addresses."""

    def __init__(self, registry: Registry, place: Discovery) -> None:
        self.registry, self.place, self._rest, self._index = registry, place, b"", -1
        self._alive: Any = None

    def connectionMade(self) -> None:
        self.place.open[self] = None

    def dataReceived(self, data: bytes) -> None:
        self._rest += data
        if self._index < 0 and b"\r\n\r\n" in self._rest:
            self._index = int(self._rest.split(b"index=")[1].split(b" ")[0])
            self._headed = False
            self.registry.watches[self] = None
            self.tell()
            self._keep_alive()

    def _keep_alive(self) -> None:
        self._alive = self.registry.clock.callLater(ALIVE_EVERY, self._keep_alive)
        if not self.registry.silent():
            self._write(chunk(b"\n"))

    def tell(self, before: bytes = b"", cut: bool = False) -> None:
        """Whatever it was not told yet; `cut`: half of it, and the end."""
        registry = self.registry
        if registry.silent() or self._index < 0:
            return
        full = self._index == 0
        entries = (
            list(registry.entries.values())
            if full
            else [one for version, one in registry.changes if version > self._index]
        )
        line = listing(registry.version, *entries, full=full) if entries or full else b"\n"
        if cut:
            self._write(f"{len(line):x}\r\n".encode() + line[:-4])
            self.close()
            return
        self._write((chunk(before) if before else b"") + chunk(line))
        self._index = registry.version
        for one in entries:
            registry.on_written(one)

    def _write(self, data: bytes) -> None:
        transport: Any = self.transport
        transport.write(data if self._headed else RESPONSE_HEAD + data)
        self._headed = True

    def close(self) -> None:
        transport: Any = self.transport
        transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.place.open.pop(self, None)
        self.registry.watches.pop(self, None)
        if self._alive is not None and self._alive.active():
            self._alive.cancel()


class Discovery(protocol.ServerFactory):
    """One address of discovery."""

    noisy = False

    def __init__(self, registry: Registry, reactor: Any) -> None:
        self.registry, self._reactor, self.open = registry, reactor, dict[_Watched, None]()
        self._listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self._listener.getHost().port

    def buildProtocol(self, addr: Any) -> _Watched:
        return _Watched(self.registry, self)

    def retire(self, after: float) -> None:
        """Takes no new connection, and closes the open ones after so many seconds."""
        self._listener.stopListening()
        self._reactor.callLater(after, self._close_all)

    def _close_all(self) -> None:
        for watch in list(self.open):
            watch.close()


class ProbePort(protocol.ServerFactory):
    """Where a worker is probed. well: answers 200; else it accepts and says nothing."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.well = True
        self._listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self._listener.getHost().port

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        return _Probed(self)

    def close(self) -> None:
        self._listener.stopListening()


class _Probed(protocol.Protocol):
    def __init__(self, worker: ProbePort) -> None:
        self._worker = worker

    def dataReceived(self, data: bytes) -> None:
        if self._worker.well:
            transport: Any = self.transport
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            transport.loseConnection()


@attrs.frozen
class ConfigMessage:
    """One message of a manager to a proxy, its parts read."""

    rows: Mapping[str, float]
    replace: bool
    drop: Sequence[str]
    undrop: Sequence[str]
    mark: int | None
    lines: Sequence[str]

    def names(self) -> set[str]:
        """Every worker that it names."""
        return {*self.rows, *self.drop, *self.undrop}


def parse_config_message(lines: Sequence[str]) -> ConfigMessage:
    """The parts of one message for one product. Raises ValueError or KeyError for what a proxy can't use."""
    rows, drop, undrop = dict[str, float](), list[str](), list[str]()
    replace, mark = False, None
    for line in lines:
        kind, *words = line.split(" ")
        if kind != "CONFIG":
            raise ValueError(f"not an order: {line[:100]}")
        said = dict(word.split("=", 1) for word in words)
        replace = replace or said.get("replace") == "1"
        pairs = (row.rsplit(":", 1) for row in said.get("rows", "").split(",") if row)
        rows.update((name, float(weight)) for name, weight in pairs)
        drop += [name for name in said.get("drop", "").split(",") if name]
        undrop += [name for name in said.get("undrop", "").split(",") if name]
        mark = int(said["stamp"]) if "stamp" in said else mark
    return ConfigMessage(rows, replace, drop, undrop, mark, lines)


class LineConnection(protocol.Protocol):
    """A connection that reads lines. lost: told of its end."""

    def __init__(self) -> None:
        self._rest, self.ended = b"", False

    def dataReceived(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        for line in lines:
            self.line(line.decode())

    def line(self, line: str) -> None:
        """One line was read."""

    def send(self, *lines: str) -> None:
        transport: Any = self.transport
        if not self.ended and transport is not None:
            transport.write("".join(line + "\r\n" for line in lines).encode())

    def connectionLost(self, reason: Any = None) -> None:
        self.ended = True

    def abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class ProxyStream(LineConnection):
    """One stream of a proxy: joins, answers marks, and hands on what it is ordered."""

    def __init__(self, proxy: Proxy) -> None:
        super().__init__()
        self.proxy, self.paused = proxy, False
        self._parts = list[str]()

    def connectionMade(self) -> None:
        self.proxy.opened(self)
        fresh = int(not self.proxy.table)
        self.send(f"SUBSCRIBE proxy={self.proxy.number} zone=a weight=9 fresh={fresh}")

    def line(self, line: str) -> None:
        self._parts.append(line)
        if not line.endswith(" part=1"):
            parts, self._parts = [part.removesuffix(" part=1") for part in self._parts], []
            self.proxy.ordered(self, parts)

    def pause(self, on: bool) -> None:
        """Whether it reads no more for now."""
        transport: Any = self.transport
        self.paused = on
        (transport.pauseProducing if on else transport.resumeProducing)()

    def half_close(self) -> None:
        transport: Any = self.transport
        transport.loseWriteConnection()

    def connectionLost(self, reason: Any = None) -> None:
        super().connectionLost(reason)
        self.proxy.lost(self)


class Proxy:
    """A plain proxy: holds the table and the withdrawals over its streams, and dials again when one ends.

    heard: told of the proxy's events (opened, ordered, lost), by name with what they bring.
    """

    def __init__(
        self,
        number: int,
        reactor: Any,
        port: int,
        draw: Callable[[], float],
        heard: Callable[[str, Proxy, Any], None],
    ) -> None:
        self.number, self._reactor, self._port, self._draw, self._heard = number, reactor, port, draw, heard
        self.table, self.shut_out = dict[str, float](), set[str]()
        self.stream: ProxyStream | None = None
        self.stopped = False

    def usable(self) -> set[str]:
        return {name for name, weight in self.table.items() if weight > 0} - self.shut_out

    def dial(self) -> None:
        """One more stream, whether or not there is another."""
        if self.stopped:
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: ProxyStream(self)  # type: ignore[method-assign]
        factory.clientConnectionFailed = lambda *why: self._again()  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=2)

    def _again(self) -> None:
        self._reactor.callLater(0.1 + 0.4 * self._draw(), self._redial)

    def _redial(self) -> None:
        if self.stream is None:
            self.dial()

    def opened(self, stream: ProxyStream) -> None:
        self.stream = stream
        self._heard("opened", self, None)

    def ordered(self, stream: ProxyStream, parts: Sequence[str]) -> None:
        if stream is not self.stream:
            return
        try:
            order = parse_config_message(parts)
        except (ValueError, KeyError) as trouble:
            return self._heard("unreadable", self, f"{trouble} in {parts}")
        self.table = {
            name: weight
            for name, weight in {**({} if order.replace else self.table), **order.rows}.items()
            if weight > 0
        }
        self.shut_out = (self.shut_out | set(order.drop)) - set(order.undrop)
        if order.mark is not None:
            stream.send(f"ACK proxy={self.number} mark={order.mark} took_ms=5")
        self._heard("ordered", self, order)

    def lost(self, stream: ProxyStream) -> None:
        if stream is self.stream:
            self.stream = None
            self._heard("lost", self, None)
            self._again()


class UnidentifiedClient(LineConnection):
    """Says something that is no joining. owed: hears in what time it was answered or closed."""

    def __init__(self, said: bytes, clock: Any, owed: Callable[[float], None]) -> None:
        super().__init__()
        self._said, self._clock, self._owed = said, clock, owed
        self._since, self._answered = clock.seconds(), False

    def connectionMade(self) -> None:
        transport: Any = self.transport
        if self._said:
            transport.write(self._said)

    def line(self, line: str) -> None:
        if line.startswith("NACK"):
            self._done()

    def connectionLost(self, reason: Any = None) -> None:
        super().connectionLost(reason)
        self._done()

    def overdue(self, after: float = 10.0) -> bool:
        """Whether nothing has come for so many seconds."""
        return not self._answered and bool(self._clock.seconds() > self._since + after)

    def _done(self) -> None:
        if not self._answered:
            self._answered = True
            self._owed(self._clock.seconds() - self._since)
