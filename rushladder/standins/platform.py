"""Stand-ins for the operators' platform on loopback, written from its protocol specification: discovery,
proxies, workers' probe ports and unidentified clients. They exchange lines and judge nothing."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
from twisted.internet import protocol

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEP_ALIVE_EVERY = 2.0  # s between the empty keep-alive lines of a watch
PRODUCT = "ask"


def entry(name: str, port: int = 9, state: str = "ready", started_ms: float = 0) -> dict[str, Any]:
    """A worker of zone a as an entry of discovery's lists."""
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
    """A list of workers as one line of a watch."""
    return json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked HTTP response."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def configuration(
    port: int, discovery: int, workers: Sequence[Mapping[str, Any]], version: int = 41, **family: Any
) -> dict[str, Any]:
    """The configuration that a manager gets at its start: one product, one zone, no peers.

    family: settings that are added to family_info.
    """
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
    """Discovery's list of workers, shared by all of its addresses.

    on_written: called with each entry as it is written to a watch.
    """

    def __init__(self, clock: Any, on_written: Callable[[Mapping[str, Any]], None]) -> None:
        self.clock, self.on_written = clock, on_written
        self.version, self.entries = 41, dict[str, dict[str, Any]]()
        self.changes = list[tuple[int, dict[str, Any]]]()
        self.watches = dict[_WatchConnection, None]()
        self.suspended_until, self._again = 0.0, False

    def change(self, *entries: dict[str, Any], prefix: bytes = b"", truncate: bool = False) -> None:
        """Changes the entries and sends them to all watches.

        prefix: data written before the line. truncate: the line is cut off and its connection closed.
        """
        self.version += 1
        for changed_entry in entries:
            self.changes.append((self.version, changed_entry))
            self.entries[changed_entry["id"]] = changed_entry
            if changed_entry["state"] == "gone":
                del self.entries[changed_entry["id"]]
        for watch in list(self.watches):
            watch.send_update(prefix, truncate)

    def suspend_updates(self, seconds: float) -> None:
        """Sends nothing for so many seconds; the changes of that time are sent afterwards."""
        self.suspended_until = self.clock.seconds() + seconds
        self.clock.callLater(seconds + 0.01, self._send_pending)

    def _send_pending(self) -> None:
        for watch in list(self.watches):
            watch.send_update()

    def is_silent(self) -> bool:
        return bool(self.clock.seconds() < self.suspended_until)


class _WatchConnection(protocol.Protocol):
    """One watch connection to one of discovery's addresses."""

    def __init__(self, registry: Registry, discovery: Discovery) -> None:
        self.registry, self.discovery, self._buffer, self._version_sent = registry, discovery, b"", -1
        self._keep_alive_timer: Any = None

    def connectionMade(self) -> None:
        self.discovery.connections[self] = None

    def dataReceived(self, data: bytes) -> None:
        self._buffer += data
        if self._version_sent < 0 and b"\r\n\r\n" in self._buffer:
            self._version_sent = int(self._buffer.split(b"index=")[1].split(b" ")[0])
            self._head_sent = False
            self.registry.watches[self] = None
            self.send_update()
            self._keep_alive()

    def _keep_alive(self) -> None:
        self._keep_alive_timer = self.registry.clock.callLater(KEEP_ALIVE_EVERY, self._keep_alive)
        if not self.registry.is_silent():
            self._write(chunk(b"\n"))

    def send_update(self, prefix: bytes = b"", truncate: bool = False) -> None:
        """Sends the changes since the last update; truncate: cuts the line off and closes the connection."""
        registry = self.registry
        if registry.is_silent() or self._version_sent < 0:
            return
        full = self._version_sent == 0
        entries = (
            list(registry.entries.values())
            if full
            else [
                changed_entry for version, changed_entry in registry.changes if version > self._version_sent
            ]
        )
        line = listing(registry.version, *entries, full=full) if entries or full else b"\n"
        if truncate:
            self._write(f"{len(line):x}\r\n".encode() + line[:-4])
            self.close()
            return
        self._write((chunk(prefix) if prefix else b"") + chunk(line))
        self._version_sent = registry.version
        for changed_entry in entries:
            registry.on_written(changed_entry)

    def _write(self, data: bytes) -> None:
        transport: Any = self.transport
        transport.write(data if self._head_sent else RESPONSE_HEAD + data)
        self._head_sent = True

    def close(self) -> None:
        transport: Any = self.transport
        transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.discovery.connections.pop(self, None)
        self.registry.watches.pop(self, None)
        if self._keep_alive_timer is not None and self._keep_alive_timer.active():
            self._keep_alive_timer.cancel()


class Discovery(protocol.ServerFactory):
    """One address at which discovery serves the list."""

    noisy = False

    def __init__(self, registry: Registry, reactor: Any) -> None:
        self.registry, self._reactor, self.connections = registry, reactor, dict[_WatchConnection, None]()
        self._listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self._listener.getHost().port

    def buildProtocol(self, addr: Any) -> _WatchConnection:
        return _WatchConnection(self.registry, self)

    def retire(self, delay: float) -> None:
        """Stops accepting connections, and closes the open ones after `delay` seconds."""
        self._listener.stopListening()
        self._reactor.callLater(delay, self._close_all)

    def _close_all(self) -> None:
        for watch in list(self.connections):
            watch.close()


class ProbePort(protocol.ServerFactory):
    """The port at which a worker is probed.

    healthy: whether probes are answered with 200; otherwise they are accepted and never answered.
    """

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.healthy = True
        self._listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self._listener.getHost().port

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        return _ProbeConnection(self)

    def close(self) -> None:
        self._listener.stopListening()


class _ProbeConnection(protocol.Protocol):
    """One probe of a worker."""

    def __init__(self, probe_port: ProbePort) -> None:
        self._probe_port = probe_port

    def dataReceived(self, data: bytes) -> None:
        if self._probe_port.healthy:
            transport: Any = self.transport
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            transport.loseConnection()


@attrs.frozen
class ConfigMessage:
    """A parsed message of a manager to a proxy, with all its parts."""

    rows: Mapping[str, float]
    replace: bool
    drop: Sequence[str]
    undrop: Sequence[str]
    mark: int | None
    lines: Sequence[str]

    def names(self) -> set[str]:
        """All workers that the message names."""
        return {*self.rows, *self.drop, *self.undrop}


def parse_config_message(lines: Sequence[str]) -> ConfigMessage:
    """Parses the parts of a message for one product. Raises ValueError or KeyError if it is unusable."""
    rows, drop, undrop = dict[str, float](), list[str](), list[str]()
    replace, mark = False, None
    for line in lines:
        kind, *words = line.split(" ")
        if kind != "CONFIG":
            raise ValueError(f"not a CONFIG line: {line[:100]}")
        fields = dict(field.split("=", 1) for field in words)
        replace = replace or fields.get("replace") == "1"
        pairs = (row.rsplit(":", 1) for row in fields.get("rows", "").split(",") if row)
        rows.update((name, float(weight)) for name, weight in pairs)
        drop += [name for name in fields.get("drop", "").split(",") if name]
        undrop += [name for name in fields.get("undrop", "").split(",") if name]
        mark = int(fields["stamp"]) if "stamp" in fields else mark
    return ConfigMessage(rows, replace, drop, undrop, mark, lines)


class LineConnection(protocol.Protocol):
    """A connection that exchanges lines."""

    def __init__(self) -> None:
        self._buffer, self.closed = b"", False

    def dataReceived(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self.line_received(line.decode())

    def line_received(self, line: str) -> None:
        """Called for each line that was read."""

    def send(self, *lines: str) -> None:
        transport: Any = self.transport
        if not self.closed and transport is not None:
            transport.write("".join(line + "\r\n" for line in lines).encode())

    def connectionLost(self, reason: Any = None) -> None:
        self.closed = True

    def abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class ProxyStream(LineConnection):
    """One stream of a proxy: subscribes and passes complete messages on to the proxy."""

    def __init__(self, proxy: Proxy) -> None:
        super().__init__()
        self.proxy, self.paused = proxy, False
        self._parts = list[str]()

    def connectionMade(self) -> None:
        self.proxy.stream_opened(self)
        fresh = int(not self.proxy.table)
        self.send(f"SUBSCRIBE proxy={self.proxy.number} zone=a weight=9 fresh={fresh}")

    def line_received(self, line: str) -> None:
        self._parts.append(line)
        if not line.endswith(" part=1"):
            parts, self._parts = [part.removesuffix(" part=1") for part in self._parts], []
            self.proxy.message_received(self, parts)

    def pause(self, paused: bool) -> None:
        """Stops or resumes reading."""
        transport: Any = self.transport
        self.paused = paused
        (transport.pauseProducing if paused else transport.resumeProducing)()

    def half_close(self) -> None:
        transport: Any = self.transport
        transport.loseWriteConnection()

    def connectionLost(self, reason: Any = None) -> None:
        super().connectionLost(reason)
        self.proxy.stream_lost(self)


class Proxy:
    """A plain proxy: keeps its table and withdrawals across streams, and reconnects when a stream ends.

    on_event: called with the event's name (opened, ordered, unreadable or lost), the proxy and a detail.
    """

    def __init__(
        self,
        number: int,
        reactor: Any,
        port: int,
        draw: Callable[[], float],
        on_event: Callable[[str, Proxy, Any], None],
    ) -> None:
        self.number, self._reactor, self._port, self._draw, self._on_event = (
            number,
            reactor,
            port,
            draw,
            on_event,
        )
        self.table, self.withdrawn = dict[str, float](), set[str]()
        self.stream: ProxyStream | None = None
        self.stopped = False

    def usable_workers(self) -> set[str]:
        return {name for name, weight in self.table.items() if weight > 0} - self.withdrawn

    def withdrawn_workers(self) -> set[str]:
        """The workers of its table that it shuts out."""
        return {name for name, weight in self.table.items() if weight > 0} & self.withdrawn

    def connect(self) -> None:
        """Opens a new stream, whether or not there is one already."""
        if self.stopped:
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: ProxyStream(self)  # type: ignore[method-assign]
        factory.clientConnectionFailed = lambda *reason: self._reconnect_later()  # type: ignore[method-assign]
        self._reactor.connectTCP("127.0.0.1", self._port, factory, timeout=2)

    def _reconnect_later(self) -> None:
        self._reactor.callLater(0.1 + 0.4 * self._draw(), self._reconnect)

    def _reconnect(self) -> None:
        if self.stream is None:
            self.connect()

    def stream_opened(self, stream: ProxyStream) -> None:
        self.stream = stream
        self._on_event("opened", self, None)

    def message_received(self, stream: ProxyStream, parts: Sequence[str]) -> None:
        if stream is not self.stream:
            return
        try:
            message = parse_config_message(parts)
        except (ValueError, KeyError) as error:
            return self._on_event("unreadable", self, f"{error} in {parts}")
        self.table = {
            name: weight
            for name, weight in {**({} if message.replace else self.table), **message.rows}.items()
            if weight > 0
        }
        self.withdrawn = (self.withdrawn | set(message.drop)) - set(message.undrop)
        if message.mark is not None:
            stream.send(f"ACK proxy={self.number} mark={message.mark} took_ms=5")
        self._on_event("ordered", self, message)

    def stream_lost(self, stream: ProxyStream) -> None:
        if stream is self.stream:
            self.stream = None
            self._on_event("lost", self, None)
            self._reconnect_later()


class UnidentifiedClient(LineConnection):
    """A client that sends something other than a subscription.

    on_answered: called with the seconds until the manager refused it or closed the connection.
    """

    def __init__(self, sent: bytes, clock: Any, on_answered: Callable[[float], None]) -> None:
        super().__init__()
        self._sent, self._clock, self._on_answered = sent, clock, on_answered
        self._opened_at, self._answered = clock.seconds(), False

    def connectionMade(self) -> None:
        transport: Any = self.transport
        if self._sent:
            transport.write(self._sent)

    def line_received(self, line: str) -> None:
        if line.startswith("NACK"):
            self._mark_answered()

    def connectionLost(self, reason: Any = None) -> None:
        super().connectionLost(reason)
        self._mark_answered()

    def is_overdue(self, limit: float = 10.0) -> bool:
        """Whether it was neither refused nor closed within so many seconds."""
        return not self._answered and bool(self._clock.seconds() > self._opened_at + limit)

    def _mark_answered(self) -> None:
        if not self._answered:
            self._answered = True
            self._on_answered(self._clock.seconds() - self._opened_at)
