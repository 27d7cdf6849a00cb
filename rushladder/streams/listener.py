"""The TCP listener of the platform: one protocol for unidentified clients, collectors and proxies."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet import protocol

from rushladder.core.workers import Workers
from rushladder.interface import Applied, Arrivals, Event, Product, Tries
from rushladder.streams.codec import (
    NACK,
    PONG,
    Ack,
    LineReader,
    Load,
    Malformed,
    Ping,
    ProtocolError,
    Rate,
    Source,
    Subscribe,
    parse_line,
)
from rushladder.streams.host import JoinedProxy, StreamHost
from rushladder.timing import Clock

JOIN_TIMEOUT_SECONDS = 1.0  # the protocol allows closing a connection that hasn't joined by then
MAX_UNJOINED_LINE_BYTES = 1024  # before joining: four times the longest line that joins
MAX_JOINED_LINE_BYTES = 64 * 1024  # after joining: sixty times the longest report
# Read from a connection in one turn of the reactor; what else it has sent stays in the kernel, so that no
# client takes the others' time.
READ_BYTES_PER_TURN = 4096
# Answers that a client may leave unread, beside what the kernel holds: the protocol's limit.
MAX_UNREAD_ANSWER_BYTES = 128 * 1024
CLOSE_TIMEOUT_SECONDS = 1.0  # for the last answer to a refused client that does not read
# The newest clients that have not joined stay, however many connections are open: proxies that are about to
# join are among them.
MIN_UNIDENTIFIED = 8
# Connections that name one zone: its collector, and newer connections of it before the old ones have ended.
MAX_COLLECTORS_PER_ZONE = 4
State = Enum("State", "UNJOINED COLLECTOR STREAM CLOSING")


class Connection(protocol.Protocol):
    """One TCP connection. TRANSITIONS lists the messages that it may send in each state."""

    def __init__(self, listener: Listener) -> None:
        self.listener, self.state, self.reader = listener, State.UNJOINED, LineReader(MAX_UNJOINED_LINE_BYTES)
        self.proxy_number, self.zone = -1, ""
        self.joined: JoinedProxy | None = None
        self.paused, self._unread_answers = False, 0  # bytes answered since the client stopped reading

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.bufferSize = READ_BYTES_PER_TURN
        transport.registerProducer(self, True)
        self._timer: Any = self.listener.clock.callLater(
            JOIN_TIMEOUT_SECONDS, self.refuse, "unjoined", "has not joined in time"
        )
        self.listener.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            lines, fatal = self.reader.feed(data), ""
        except ProtocolError as error:
            lines, fatal = error.args[1], error.args[0]
        try:
            for line in lines:
                if self.state is State.CLOSING:
                    return
                message = parse_line(line)
                transition = TRANSITIONS.get((self.state, type(message)))
                if transition is None:
                    self.refuse("out of place", type(message).__name__)
                else:
                    self.state, handle = transition
                    handle(self, message)
        except ProtocolError as error:
            fatal = error.args[0]
        if fatal and self.state is not State.CLOSING:
            self.refuse("unreadable", fatal)

    def connectionLost(self, reason: Any = None) -> None:
        self.state = State.CLOSING
        if self._timer.active():
            self._timer.cancel()
        self.listener.connection_closed(self)

    def refuse(self, kind: str, reason: str) -> None:
        """Logs the refusal and closes the connection; whatever it still sends is ignored."""
        self.state = State.CLOSING
        transport: Any = self.transport
        self.listener.warn(f"refused.{kind}", reason)
        self.listener.detach(self)
        if self.zone or self.paused:
            # No NACK: a collector is never written to, and a proxy is written only orders. Aborted, as a
            # regular close first flushes the output: a client that stopped reading would keep the connection
            # and its descriptor forever.
            return transport.abortConnection()  # type: ignore[no-any-return]
        transport.write(NACK)
        transport.unregisterProducer()
        transport.loseConnection()
        if self._timer.active():
            self._timer.cancel()
        self._timer = self.listener.clock.callLater(CLOSE_TIMEOUT_SECONDS, transport.abortConnection)

    def abort(self) -> None:
        """Closes the connection at once: a newer stream of the same proxy has replaced it."""
        self.state = State.CLOSING
        transport: Any = self.transport
        transport.abortConnection()

    def send(self, message: bytes) -> None:
        transport: Any = self.transport
        transport.write(message)

    # Flow control: while a stream is paused, the host merges its pending orders.

    def pauseProducing(self) -> None:
        self.paused = True
        if self.joined is not None:
            self.joined.paused = True

    def resumeProducing(self) -> None:
        self.paused, self._unread_answers = False, 0
        if self.joined is not None and self.state is State.STREAM:
            self.joined.paused = False
            self.listener.host.write(self.joined)

    def stopProducing(self) -> None:
        """Does nothing: `connectionLost` is called as well."""

    # Handlers of the messages, for TRANSITIONS.

    def _pong(self, message: Ping) -> None:
        self._unread_answers += len(PONG) if self.paused else 0
        if self._unread_answers > MAX_UNREAD_ANSWER_BYTES:
            return self.refuse("unread", "has left too many answers unread")
        self.send(PONG)

    def _join_completed(self) -> None:
        self._timer.cancel()
        self.reader.max_line_bytes = MAX_JOINED_LINE_BYTES

    def _source(self, message: Source) -> None:
        if message.zone not in self.listener.zones:
            return self.refuse("joining", "SOURCE names a zone that does not exist")
        self.zone = message.zone
        self._join_completed()
        self.listener.add_collector(self)

    def _subscribe(self, message: Subscribe) -> None:
        if message.zone not in self.listener.zones or message.proxy >= self.listener.proxies:
            return self.refuse("joining", "SUBSCRIBE names a zone or proxy that does not exist")
        self.proxy_number, self.zone = message.proxy, message.zone
        self._join_completed()
        self.listener.add_stream(self, message)

    def _load(self, message: Load) -> None:
        server = self.listener.workers.get(message.server)
        if message.zone not in self.listener.zones or server is None:
            return self._malformed(Malformed("LOAD", "names a zone or worker that does not exist"))
        values = {name: value for name, value in message.load.items() if name in self.listener.load_names}
        self.listener.add_event(
            Tries(server, message.zone, message.tries, message.failed, message.span, message.mean, values)
        )

    def _rate(self, message: Rate) -> None:
        product = self.listener.products.get(message.product)
        if (
            product is None
            or message.proxy >= self.listener.proxies
            or self.proxy_number not in (-1, message.proxy)
        ):
            return self._malformed(
                Malformed(
                    "RATE",
                    "names a class that does not exist, or a proxy that does not exist or is not the sender",
                )
            )
        joined = self.listener.host.joined_proxies.get(message.proxy)
        if joined is not None:  # otherwise it is a late report of a proxy that has left
            self.listener.add_event(
                Arrivals(joined.gateway, product, message.tries, message.failed, message.span)
            )

    def _ack(self, message: Ack) -> None:
        joined = self.joined
        if (
            joined is None
            or message.proxy != self.proxy_number
            or not self.listener.host.acknowledge(joined, message.mark)
        ):
            return self._malformed(
                Malformed("ACK", "is of another proxy, or of a mark that was not written to this one")
            )
        self.listener.add_event(Applied(joined.gateway, message.mark, message.elapsed))

    def _malformed(self, message: Malformed) -> None:
        """Drops this line alone: the lines around it are valid."""
        self.listener.warn(f"spoilt.{message.kind}", message.reason)

    def _stray(self, message: Any) -> None:
        """Ignores a message that is valid, but not from this kind of client."""
        self.listener.warn("stray", type(message).__name__)


# State and class of the message: next state and handler. Any other combination is refused.
TRANSITIONS: dict[tuple[State, type], tuple[State, Callable[..., None]]] = {
    (State.UNJOINED, Ping): (State.UNJOINED, Connection._pong),
    (State.UNJOINED, Source): (State.COLLECTOR, Connection._source),
    (State.UNJOINED, Subscribe): (State.STREAM, Connection._subscribe),
    (State.COLLECTOR, Load): (State.COLLECTOR, Connection._load),
    (State.COLLECTOR, Rate): (State.COLLECTOR, Connection._rate),
    (State.STREAM, Rate): (State.STREAM, Connection._rate),
    (State.STREAM, Ack): (State.STREAM, Connection._ack),
    **{(state, Ping): (state, Connection._pong) for state in (State.COLLECTOR, State.STREAM)},
    **{(state, Malformed): (state, Connection._malformed) for state in (State.COLLECTOR, State.STREAM)},
    **{
        (state, kind): (state, Connection._stray)
        for state, kind in (
            (State.COLLECTOR, Source),
            (State.COLLECTOR, Subscribe),
            (State.COLLECTOR, Ack),
            (State.STREAM, Source),
            (State.STREAM, Subscribe),
            (State.STREAM, Load),
        )
    },
}


class Listener(protocol.ServerFactory):
    """Keeps the open connections and turns their messages into events.

    load_names: the load values that are passed on. max_connections: connections that may be open at once;
    beyond that, a new one replaces the oldest client that has not joined. add_event: takes an event for the
    next batch. warn: takes the kind and the text of a warning, for a rate-limited log.
    """

    def __init__(
        self,
        host: StreamHost,
        workers: Workers,
        clock: Clock,
        zones: tuple[str, ...],
        proxies: int,
        load_names: frozenset[str],
        max_connections: int,
        add_event: Callable[[Event], None],
        warn: Callable[[str, str], None],
    ) -> None:
        self.host, self.workers, self.clock, self.zones, self.proxies = host, workers, clock, zones, proxies
        self.load_names, self.max_connections, self.add_event, self.warn = (
            load_names,
            max_connections,
            add_event,
            warn,
        )
        self.products: dict[str, Product] = {product.name: product for product in host.products}
        self.connections, self.unidentified = dict[Connection, None](), dict[Connection, None]()
        self._collectors = dict[str, list[Connection]]()

    def buildProtocol(self, addr: Any) -> Connection:
        return Connection(self)

    def connection_opened(self, connection: Connection) -> None:
        """Registers a connection, and makes room for it if too many are open."""
        self.connections[connection] = self.unidentified[connection] = None
        # The time limit of rule 3 also runs for a proxy that isn't accepted, so the oldest client that has
        # not joined is closed for the new one.
        if len(self.connections) > self.max_connections and len(self.unidentified) > MIN_UNIDENTIFIED:
            next(iter(self.unidentified)).refuse(
                "no room",
                "the limit of open connections is reached, and this is the oldest one that has not joined",
            )

    def connection_closed(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        self.detach(connection)

    def detach(self, connection: Connection) -> None:
        """Forgets a connection whose messages are ignored from now on, though it may take a while to
        close."""
        self.unidentified.pop(connection, None)
        if connection in (of_zone := self._collectors.get(connection.zone, [])):
            of_zone.remove(connection)
        event = self.host.leave(connection.proxy_number, connection)
        if event is not None:
            self.add_event(event)

    def add_collector(self, connection: Connection) -> None:
        """Registers a zone's collector; refuses the oldest one beyond the limit."""
        del self.unidentified[connection]
        of_zone = self._collectors.setdefault(connection.zone, [])
        of_zone.append(connection)
        if len(of_zone) > MAX_COLLECTORS_PER_ZONE:
            of_zone[0].refuse("collector", "too many newer connections have named its zone")

    def add_stream(self, connection: Connection, message: Subscribe) -> None:
        """Joins the proxy of this connection to the host."""
        del self.unidentified[connection]
        for event in self.host.join(message.proxy, message.zone, message.weight, message.fresh, connection):
            self.add_event(event)
        connection.joined = self.host.joined_proxies[message.proxy]
        connection.joined.paused = connection.paused
