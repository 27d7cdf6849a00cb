"""The module's host on the platform's road: its orders become one message for each stream and batch.

What the module orders goes out as it is. Each stream is owed what was ordered since it was last written; a
stream that can't take more keeps what it is owed, where orders fall together, so that what waits is bounded
by the tables and not by how often they changed. No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, Protocol
from weakref import WeakSet

from rushladder.brain import Manager
from rushladder.core.reminders import Reminders
from rushladder.interface import Channel, Event, Joined, Left, Product, Proxy, Retry, Worker
from rushladder.records import Gateway, Server
from rushladder.streams.account import ChannelAccount, Purpose
from rushladder.streams.codec import MARKS, PARTS, config, whole

# Beside the time over which messages to one proxy are counted: ours are stamped when they are written, the
# platform's when their last byte has come, a quarter of a second later at most in every run so far.
CAP_MARGIN = 2_500
ROWS = 10_000  # lines in one part of a message: some 400 KB, under the protocol's limit


class Stream(Protocol):
    """The way to one joined proxy."""

    def send(self, message: bytes) -> None: ...

    def abort(self) -> None: ...


class Tbl:
    """One shared table, and the streams bound to it."""

    def __init__(self) -> None:
        self.lines, self.gates = dict[Server, float](), dict[Product, tuple[float, Retry]]()
        self.ports = dict[Port, None]()


class Port:
    """One joined proxy: the tables it is bound to, and what it is owed."""

    def __init__(self, gateway: Gateway, stream: Stream) -> None:
        self.gateway, self.stream, self.paused = gateway, stream, False
        self.bound = dict[Product, Tbl]()
        self.unanswered_marks = dict[int, None]()  # written and not yet answered
        self.settle()

    def settle(self) -> None:
        """Nothing is owed."""
        self.rebind, self.rows = dict[Tbl, None](), dict[Tbl, dict[Server, None]]()
        self.gates, self.heed = dict[Tbl, dict[Product, None]](), dict[Server, None]()
        self.mark: int | None = None

    def owes(self) -> bool:
        return bool(self.rebind or self.rows or self.gates or self.heed or self.mark is not None)


class StreamHost:
    """One manager's module without its sockets. Times are the caller's clock in tenths of a millisecond.

    described: the module's keyword arguments (`conf.startup_settings`); probe, tell: carry out these orders.
    """

    def __init__(
        self,
        seed: int,
        described: Mapping[str, Any],
        now: int,
        probe: Callable[[Server], None],
        tell: Callable[[int | None, bytes], None],
    ) -> None:
        self._now, self._probe, self._tell = now, probe, tell
        self._reminders, self._tables = Reminders(), dict[int, Tbl]()
        self.products: Sequence[Product] = described["products"]
        # Kept no longer than the module, a table or the list holds the server.
        self._withdrawn, self._released = WeakSet[Server](), WeakSet[Server]()
        self._all: dict[Product, tuple[float, Retry]] = {}
        self.joined_proxies, self._touched = dict[int, Port](), dict[Port, None]()
        self._gateways = dict[int, Gateway]()
        self._probes, self._words = list[Server](), list[tuple[int | None, bytes]]()
        self.lines = self.messages = 0  # written, as the protocol counts them
        # When each proxy was last written, as often as the cap allows; and who waits for its turn until when.
        channel: Channel = described["channel"]
        self.account = ChannelAccount(channel.lines_per_s, channel.message_overhead)
        self._cap, self._span = channel.message_cap, channel.cap_window + CAP_MARGIN
        self._written, self._held = dict[int, deque[int]](), dict[Port, int]()
        self._texts = dict[Any, str]()  # parts of this batch's messages: most go to all streams of a table
        self.manager = Manager(self, seed, **described)

    # What comes in.

    def process_batch(self, now: int, events: Collection[Event] = ()) -> None:
        """One batch: whatever reminders are due, then the events; and what was ordered goes out.

        A fault of the module in one event must not lose the others, a joining or a drain among them: it is
        raised once the batch is done.
        """
        self._now = max(now, self._now)
        faults = list[Exception]()
        # None: the batch's end.
        for event in (*self._reminders.due(self._now), *events, None):
            try:
                if event is not None:
                    self.manager.handle(event)
                else:
                    self.manager.end_batch()
            except Exception as fault:
                faults.append(fault)
        touched, self._touched = self._touched, {}
        for port in [port for port, due in self._held.items() if due <= self._now]:
            del self._held[port]
            touched[port] = None
        self._texts.clear()  # what a stream that went on meanwhile was written is of the tables before
        for port in touched:
            self.write(port)
        self._texts.clear()
        probes, self._probes = self._probes, []
        for server in probes:
            self._probe(server)
        words, self._words = self._words, []
        for word in words:
            self._tell(*word)
        if faults:
            raise faults[0]

    def next(self) -> int | None:
        """When the module wants to be woken, or a stream that waits may be written."""
        due = self._reminders.next()
        return min(self._held.values(), default=due) if due is None else min((due, *self._held.values()))

    def join(self, number: int, zone: str, weight: float, fresh: bool, stream: Stream) -> list[Event]:
        """A proxy's stream, in place of any older one, and the events for the next batch."""
        events, gateway = list[Event](), self._gateways.get(number)
        if (older := self._unbind(number)) is not None:
            events.append(Left(older.gateway))
            older.stream.abort()
        if gateway is None or gateway.zone != zone:
            gateway = self._gateways[number] = Gateway(str(number), zone, weight)
        gateway.usual_rate = weight
        self.joined_proxies[number] = Port(gateway, stream)
        return [*events, Joined(gateway, fresh, keeps_withdrawals=not fresh)]

    def leave(self, number: int, stream: Stream) -> Left[Gateway] | None:
        """The stream has ended: the event for the next batch, if it was still the proxy's."""
        port = self.joined_proxies.get(number)
        if port is None or port.stream is not stream:
            return None
        self._unbind(number)
        return Left(port.gateway)

    def _unbind(self, number: int) -> Port | None:
        port = self.joined_proxies.pop(number, None)
        if port is not None:
            self._touched.pop(port, None)
            self._held.pop(port, None)
            for table in set(port.bound.values()):
                del table.ports[port]
        return port

    # What goes out.

    def write(self, port: Port) -> None:
        """The message that the stream is owed, unless it can't take more now."""
        if port.paused or not port.owes() or self._waits(port):
            return
        message = self._message(port)
        if port.mark is not None:
            port.unanswered_marks[port.mark] = None
        port.settle()
        if message:
            self.messages += 1
            port.stream.send(message)

    def _waits(self, port: Port) -> bool:
        """Whether the proxy was written as often as the cap allows. The module's beat leaves room for two
        joinings beside it; a stream that breaks and comes again thrice within the time would pass the cap
        (rule 5). What it is owed meanwhile falls together."""
        if not self._cap:
            return False
        written = self._written.setdefault(int(port.gateway.name), deque(maxlen=self._cap))
        if len(written) == self._cap and (due := written[0] + self._span) > self._now:
            self._held[port] = due
            return True
        written.append(self._now)
        return False

    def _message(self, port: Port) -> bytes:
        drop = sorted(server.name for server in port.heed if server in self._withdrawn)
        undrop = sorted(server.name for server in port.heed if server not in self._withdrawn)
        parts = [config(drop=drop, undrop=undrop)] if drop or undrop else []
        written = {
            Purpose.WITHDRAWAL: len(drop) + len(undrop),
            Purpose.MARK: int(port.mark is not None),
            Purpose.BINDING: 0,
            Purpose.WEIGHT: 0,
            Purpose.LEVEL: 0,
        }
        for table in dict.fromkeys((*port.rebind, *port.rows, *port.gates)):
            products = [product for product in self.products if port.bound.get(product) is table]
            names, anew = [product.name for product in products], table in port.rebind
            servers = table.lines if anew else port.rows.get(table, {})
            rows = list(servers)
            levels = dict[tuple[float, int], list[Product]]()
            for product in products:
                level = self._level(table, product)
                if level is not None and (anew or product in port.gates.get(table, {})):
                    levels.setdefault(level, []).append(product)
            # A level for all of the table's products rides on its lines; others need a part of their own.
            own = next((level for level, some in levels.items() if some == products), None)
            for place in range(0, len(rows) or 1, ROWS):
                if anew or rows or own:
                    parts.append(
                        self._text(
                            table,
                            names,
                            anew and not place,
                            rows[place : place + ROWS],
                            own if not place else None,
                        )
                    )
            parts += [
                config([product.name for product in some], gate=level)
                for level, some in levels.items()
                if level != own
            ]
            written[Purpose.BINDING if anew else Purpose.WEIGHT] += anew + len(rows)
            written[Purpose.BINDING if anew else Purpose.LEVEL] += len(levels)
        assert len(parts) <= PARTS
        if port.mark is not None:
            parts = [*parts[:-1], (parts[-1] if parts else config()) + f" stamp={port.mark}"]
        self.lines += sum(written.values())
        if parts:
            self.account.written(self._now, written)
        return whole(parts)

    def _text(
        self,
        table: Tbl,
        names: Sequence[str],
        anew: bool,
        servers: Sequence[Server],
        gate: tuple[float, int] | None,
    ) -> str:
        """One part of a message, worked out once for all streams that are owed the same."""
        key = table, tuple(names), anew, tuple(servers), gate
        if key not in self._texts:
            rows = [(server.name, table.lines.get(server, 0.0)) for server in servers]
            self._texts[key] = config(names, anew, rows, gate)
        return self._texts[key]

    def _level(self, table: Tbl, product: Product) -> tuple[float, int] | None:
        """The table's level and that for all: the lower counts, with the table's own way of trying again."""
        own, every = table.gates.get(product), self._all.get(product)
        if own is None or every is None:
            either = own or every
            return (either[0], int(either[1])) if either else None
        return min(own[0], every[0]), int(own[1])

    def acknowledge(self, port: Port, mark: int) -> bool:
        """Whether the mark was written to this stream and not yet answered."""
        if mark not in port.unanswered_marks:
            return False
        while next(iter(port.unanswered_marks)) != mark:
            del port.unanswered_marks[next(iter(port.unanswered_marks))]
        del port.unanswered_marks[mark]
        return True

    # The module's `Host`.

    def now(self) -> int:
        return self._now

    def _table(self, number: int) -> Tbl:
        return self._tables.setdefault(number, Tbl())

    def set_weight(self, tbl: int, worker: Worker, weight: float) -> None:
        assert isinstance(worker, Server)
        table = self._table(tbl)
        new = worker not in table.lines
        if weight > 0:
            table.lines[worker] = weight
        else:
            table.lines.pop(worker, None)
        for port in table.ports:
            self._touched[port] = None
            port.rows.setdefault(table, {})[worker] = None
            # A proxy keeps a withdrawal over a change of streams and tables: a line that comes, or comes
            # back, brings what stands, or the line would stay shut out (or be used) against the module's
            # word.
            if new and weight > 0 and (worker in self._withdrawn or worker in self._released):
                port.heed[worker] = None

    def clear_table(self, tbl: int) -> None:
        table = self._table(tbl)
        table.lines.clear()
        table.gates.clear()
        for port in table.ports:
            self._touched[port] = None
            port.rebind[table] = None

    def bind(self, proxy: Proxy, tbl: int, products: Sequence[Product]) -> None:
        port, table = self.joined_proxies.get(int(proxy.name)), self._table(tbl)
        if port is None or port.gateway is not proxy:
            return
        self._touched[port] = None
        for product in products or self.products:
            before = port.bound.get(product)
            port.bound[product] = table
            if before is not None and before is not table and before not in port.bound.values():
                del before.ports[port]
                for owed in (port.rebind, port.rows, port.gates):
                    owed.pop(before, None)
        table.ports[port] = port.rebind[table] = None
        for server in table.lines:
            if server in self._withdrawn or server in self._released:
                port.heed[server] = None

    def set_withdrawn(self, worker: Worker, out: bool) -> None:
        assert isinstance(worker, Server)
        (self._withdrawn.add if out else self._withdrawn.discard)(worker)
        if not out:
            self._released.add(worker)
        for table in self._tables.values():
            for port in table.ports if worker in table.lines else ():
                self._touched[port] = None
                port.heed[worker] = None

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        port = self.joined_proxies.get(int(proxy.name))
        if port is not None and port.gateway is proxy:
            self._touched[port] = None
            for worker in workers:
                assert isinstance(worker, Server)
                port.heed[worker] = None

    def set_level(self, tbl: int | None, products: Sequence[Product], level: float, retry: Retry) -> None:
        for product in products or self.products:
            if tbl is None:
                self._all[product] = level, retry
            else:
                self._table(tbl).gates[product] = level, retry
            for table in self._tables.values() if tbl is None else (self._table(tbl),):
                for port in table.ports:
                    self._touched[port] = None
                    port.gates.setdefault(table, {})[product] = None

    def checkpoint(self, number: int, everyone: bool) -> None:
        for port in self.joined_proxies.values() if everyone else self._touched:
            self._touched[port] = None
            port.mark = number % MARKS

    def probe(self, worker: Worker) -> None:
        assert isinstance(worker, Server)
        self._probes.append(worker)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self._words.append((peer, data))

    def watch_list(self, on: bool) -> None:
        """The agent on the manager's own machine is always watched: every change comes by itself."""

    def request_list(self) -> None:
        """As for `watch_list`."""

    def wake(self, after: int, token: int) -> None:
        self._reminders.add(self._now + max(1, after), token)

    def log(self, words: str) -> None:
        """The module's own words are for the simulator's report."""
