"""The listener of the platform's road: one protocol for strangers, collectors and proxies."""

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
    Load,
    Ping,
    Rate,
    Reader,
    Source,
    Spoilt,
    Subscribe,
    Unreadable,
    read_line,
)
from rushladder.streams.host import Port, StreamHost
from rushladder.timing import Clock

JOIN_WITHIN = 1.0  # s until a connection has to have joined: the protocol lets it be closed then
UNJOINED_MOST = 1024  # bytes of a line before a joining: four times the longest one
JOINED_MOST = 64 * 1024  # bytes of a line after it: sixty times the longest report
NEWEST = 8  # strangers that keep their place however full it is: proxies about to join are among them
COLLECTORS = 4  # connections that name one zone: the collector, and its newer ones before the old ones end
State = Enum("State", "UNJOINED COLLECTOR STREAM CLOSING")


class Talk(protocol.Protocol):
    """One connection. What it may say depends on its state; TALK is the table."""

    def __init__(self, front: Front) -> None:
        self.front, self.state, self.reader = front, State.UNJOINED, Reader(UNJOINED_MOST)
        self.number, self.zone = -1, ""
        self.port: Port | None = None

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._limit: Any = self.front.clock.callLater(JOIN_WITHIN, self.refuse, "unjoined", "in time")
        self.front.opened(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            lines, end = self.reader.feed(data), ""
        except Unreadable as trouble:
            lines, end = trouble.args[1], trouble.args[0]
        try:
            for line in lines:
                if self.state is State.CLOSING:
                    return
                message = read_line(line)
                step = TALK.get((self.state, type(message)))
                if step is None:
                    self.refuse("out of place", type(message).__name__)
                else:
                    self.state, effect = step
                    effect(self, message)
        except Unreadable as trouble:
            end = trouble.args[0]
        if end and self.state is not State.CLOSING:
            self.refuse("unreadable", end)

    def connectionLost(self, reason: Any = None) -> None:
        self.state = State.CLOSING
        if self._limit.active():
            self._limit.cancel()
        self.front.closed(self)

    def refuse(self, kind: str, why: str) -> None:
        """Says so and closes; what it goes on sending is no longer read."""
        self.state = State.CLOSING
        transport: Any = self.transport
        self.front.note(f"refused.{kind}", why)
        self.front.left(self)
        if self.zone:
            # Nobody writes to a collector, and a proxy is only written orders. Not after what is still to be
            # written: one that reads no more would keep its connection, and a descriptor, for good.
            transport.abortConnection()
        else:
            transport.write(NACK)
            transport.loseConnection()

    def abort(self) -> None:
        """A newer stream of the same proxy is in its place."""
        self.state = State.CLOSING
        transport: Any = self.transport
        transport.abortConnection()

    def send(self, message: bytes) -> None:
        transport: Any = self.transport
        transport.write(message)

    # A stream that takes no more for now: what it is owed falls together in the host.

    def pauseProducing(self) -> None:
        if self.port is not None:
            self.port.paused = True

    def resumeProducing(self) -> None:
        if self.port is not None and self.state is State.STREAM:
            self.port.paused = False
            self.front.host.write(self.port)

    def stopProducing(self) -> None:
        """The connection is lost, which is told by itself."""

    # The effects of TALK.

    def _pong(self, message: Ping) -> None:
        self.send(PONG)

    def _joined(self) -> None:
        self._limit.cancel()
        self.reader.most = JOINED_MOST

    def _source(self, message: Source) -> None:
        if message.zone not in self.front.zones:
            return self.refuse("joining", "a zone that does not exist")
        self.zone = message.zone
        self._joined()
        self.front.collector(self)

    def _subscribe(self, message: Subscribe) -> None:
        if message.zone not in self.front.zones or message.proxy >= self.front.proxies:
            return self.refuse("joining", "a zone or proxy that does not exist")
        self.number, self.zone = message.proxy, message.zone
        self._joined()
        transport: Any = self.transport
        transport.registerProducer(self, True)
        self.front.stream(self, message)

    def _load(self, message: Load) -> None:
        server = self.front.workers.get(message.server)
        if message.zone not in self.front.zones or server is None:
            return self._spoilt(Spoilt("LOAD", "a zone or worker that does not exist"))
        told = {name: value for name, value in message.load.items() if name in self.front.reported}
        self.front.give(
            Tries(server, message.zone, message.tries, message.failed, message.span, message.mean, told)
        )

    def _rate(self, message: Rate) -> None:
        product = self.front.products.get(message.product)
        if product is None or message.proxy >= self.front.proxies or self.number not in (-1, message.proxy):
            return self._spoilt(Spoilt("RATE", "a class or proxy that does not exist"))
        port = self.front.host.joined_proxies.get(message.proxy)
        if port is not None:  # else a late word of one that left
            self.front.give(Arrivals(port.gateway, product, message.tries, message.failed, message.span))

    def _ack(self, message: Ack) -> None:
        port = self.port
        if (
            port is None
            or message.proxy != self.number
            or not self.front.host.acknowledge(port, message.mark)
        ):
            return self._spoilt(Spoilt("ACK", "another proxy's, or a mark that was not written"))
        self.front.give(Applied(port.gateway, message.mark, message.took))

    def _spoilt(self, message: Spoilt) -> None:
        """Dropped alone: what stands around it is good."""
        self.front.note(f"spoilt.{message.kind}", message.why)

    def _stray(self, message: Any) -> None:
        self.front.note("stray", type(message).__name__)


# State, input: next state, effect. What is not here is refused.
TALK: dict[tuple[State, type], tuple[State, Callable[..., None]]] = {
    (State.UNJOINED, Ping): (State.UNJOINED, Talk._pong),
    (State.UNJOINED, Source): (State.COLLECTOR, Talk._source),
    (State.UNJOINED, Subscribe): (State.STREAM, Talk._subscribe),
    (State.COLLECTOR, Load): (State.COLLECTOR, Talk._load),
    (State.COLLECTOR, Rate): (State.COLLECTOR, Talk._rate),
    (State.STREAM, Rate): (State.STREAM, Talk._rate),
    (State.STREAM, Ack): (State.STREAM, Talk._ack),
    **{(state, Ping): (state, Talk._pong) for state in (State.COLLECTOR, State.STREAM)},
    **{(state, Spoilt): (state, Talk._spoilt) for state in (State.COLLECTOR, State.STREAM)},
    **{
        (state, kind): (state, Talk._stray)
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


class Front(protocol.ServerFactory):
    """Who is connected, and the way from them to the module.

    places: connections that may be open at once; proxies that come in take a stranger's place, the oldest
    first. give: takes an event for the next batch. note: counts a fault by its kind, and logs it within
    bounds.
    """

    def __init__(
        self,
        host: StreamHost,
        workers: Workers,
        clock: Clock,
        zones: tuple[str, ...],
        proxies: int,
        reported: frozenset[str],
        places: int,
        give: Callable[[Event], None],
        note: Callable[[str, str], None],
    ) -> None:
        self.host, self.workers, self.clock, self.zones, self.proxies = host, workers, clock, zones, proxies
        self.reported, self.places, self.give, self.note = reported, places, give, note
        self.products: dict[str, Product] = {product.name: product for product in host.products}
        self.open, self.strangers = dict[Talk, None](), dict[Talk, None]()
        self._collectors = dict[str, list[Talk]]()

    def buildProtocol(self, addr: Any) -> Talk:
        return Talk(self)

    def opened(self, talk: Talk) -> None:
        self.open[talk] = self.strangers[talk] = None
        # Rule 3 runs on for a proxy that we don't take, so strangers make room for whoever comes.
        if len(self.open) > self.places and len(self.strangers) > NEWEST:
            next(iter(self.strangers)).refuse("no room", "the oldest that has not joined")

    def closed(self, talk: Talk) -> None:
        self.open.pop(talk, None)
        self.left(talk)

    def left(self, talk: Talk) -> None:
        """It says nothing more, though its connection may take a while to end."""
        self.strangers.pop(talk, None)
        if talk in (of_zone := self._collectors.get(talk.zone, [])):
            of_zone.remove(talk)
        event = self.host.leave(talk.number, talk)
        if event is not None:
            self.give(event)

    def collector(self, talk: Talk) -> None:
        del self.strangers[talk]
        of_zone = self._collectors.setdefault(talk.zone, [])
        of_zone.append(talk)
        if len(of_zone) > COLLECTORS:
            of_zone[0].refuse("collector", "newer ones have named its zone")

    def stream(self, talk: Talk, message: Subscribe) -> None:
        del self.strangers[talk]
        for event in self.host.join(message.proxy, message.zone, message.weight, message.fresh, talk):
            self.give(event)
        talk.port = self.host.joined_proxies[message.proxy]
