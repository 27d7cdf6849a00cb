"""The decision module's host on the platform: turns its orders into one message for each stream and batch.

Orders are sent as they are given. What was ordered since a stream was last written is pending for it. A
stream that can't take more data keeps its pending orders, and a later order replaces an earlier one, so that
memory is bounded by the size of the tables and not by the number of changes. No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace
from typing import Any, Protocol
from weakref import WeakSet

from rushladder.brain import Manager
from rushladder.core.reminders import Reminders
from rushladder.interface import Channel, Event, Joined, Left, Listing, Product, Proxy, Retry, Worker
from rushladder.records import Gateway, Server
from rushladder.streams.channel_meter import ChannelMeter, Purpose
from rushladder.streams.codec import MARK_MODULUS, MAX_MESSAGE_PARTS, format_config, join_parts

# Added to the window of the message cap, in tenths of a millisecond: messages are timed here when they are
# written, but by the platform when their last byte arrives, up to a quarter of a second later in every run so
# far.
CAP_MARGIN_TENTHS = 2_500
# A reminder that is later than this, in tenths of a millisecond, shows that the process stood still.
STANDSTILL_TENTHS = 2_500
MAX_ROWS_PER_PART = 10_000  # some 400 KB, below the protocol's limit for a message


class Stream(Protocol):
    """The connection to one joined proxy."""

    def send(self, message: bytes) -> None: ...

    def abort(self) -> None: ...


class SharedTable:
    """One shared table, and the proxies bound to it."""

    def __init__(self) -> None:
        self.lines, self.levels = dict[Server, float](), dict[Product, tuple[float, Retry]]()
        self.proxies = dict[JoinedProxy, None]()


class JoinedProxy:
    """One joined proxy: the tables it is bound to, and the orders that have not been written to it yet."""

    def __init__(self, gateway: Gateway, stream: Stream) -> None:
        self.gateway, self.stream, self.paused = gateway, stream, False
        self.tables = dict[Product, SharedTable]()
        self.unanswered_marks = dict[int, None]()  # written and not yet acknowledged
        self.clear_pending()

    def clear_pending(self) -> None:
        """Resets the pending orders to none."""
        self.pending_bindings, self.pending_rows = (
            dict[SharedTable, None](),
            dict[SharedTable, dict[Server, None]](),
        )
        self.pending_levels, self.pending_withdrawals = (
            dict[SharedTable, dict[Product, None]](),
            dict[Server, None](),
        )
        self.pending_mark: int | None = None

    def has_pending(self) -> bool:
        return bool(
            self.pending_bindings
            or self.pending_rows
            or self.pending_levels
            or self.pending_withdrawals
            or self.pending_mark is not None
        )


class StreamHost:
    """One manager's decision module without its sockets. Times: tenths of a millisecond on the caller's
    clock.

    manager_args: the module's keyword arguments (`conf.startup_settings`). probe, send_to_peer: carry out
    these orders.
    """

    def __init__(
        self,
        seed: int,
        manager_args: Mapping[str, Any],
        now: int,
        probe: Callable[[Server], None],
        send_to_peer: Callable[[int | None, bytes], None],
    ) -> None:
        self._now, self._send_probe, self._send_to_peer = now, probe, send_to_peer
        self._reminders, self._tables = Reminders(), dict[int, SharedTable]()
        self.products: Sequence[Product] = manager_args["products"]
        # Weak: an entry goes when the module, the tables and the list have all dropped the server.
        self._withdrawn, self._released = WeakSet[Server](), WeakSet[Server]()
        self._global_levels: dict[Product, tuple[float, Retry]] = {}
        self.joined_proxies, self._to_write = dict[int, JoinedProxy](), dict[JoinedProxy, None]()
        self._gateways = dict[int, Gateway]()
        self._queued_probes, self._peer_messages = list[Server](), list[tuple[int | None, bytes]]()
        self.lines = self.messages = 0  # written in total, as the protocol counts them
        # The last write times of each proxy, as many as the message cap; and the proxies that wait for the
        # cap, each with the time when it may be written.
        channel: Channel = manager_args["channel"]
        self.channel_meter = ChannelMeter(channel.lines_per_s, channel.message_overhead)
        self._message_cap, self._cap_window = channel.message_cap, channel.cap_window + CAP_MARGIN_TENTHS
        self._write_times, self._delayed_until = dict[int, deque[int]](), dict[JoinedProxy, int]()
        self._part_cache = dict[Any, str]()  # per batch, as most parts go to all streams of a table
        self.manager = Manager(self, seed, **manager_args)

    # Events.

    def process_batch(self, now: int, events: Collection[Event] = ()) -> None:
        """Handles one batch: the events, then the reminders that are due. Then sends what was ordered.

        The events go first, as a periodic decision should know of them: after a standstill of the process,
        both are in the same batch.

        An exception of the module in one event must not lose the other events, such as a joining or a drain:
        it is raised at the end of the batch.
        """
        standstill = self._standstill(now)
        self._now = max(now, self._now)
        errors = list[Exception]()
        # None stands for the end of the batch.
        for event in (*events, *self._reminders.due(self._now), None):
            try:
                if standstill and isinstance(event, Listing):
                    self.manager.handle(replace(event, waited=standstill))
                elif event is not None:
                    self.manager.handle(event)
                else:
                    self.manager.end_batch()
            except Exception as error:
                errors.append(error)
        to_write, self._to_write = self._to_write, {}
        for joined in [joined for joined, due in self._delayed_until.items() if due <= self._now]:
            del self._delayed_until[joined]
            to_write[joined] = None
        self._part_cache.clear()  # streams that resumed since the last batch filled it from older tables
        for joined in to_write:
            self.write(joined)
        self._part_cache.clear()
        probes, self._queued_probes = self._queued_probes, []
        for server in probes:
            self._send_probe(server)
        messages, self._peer_messages = self._peer_messages, []
        for message in messages:
            self._send_to_peer(*message)
        if errors:
            raise errors[0]

    def _standstill(self, now: int) -> int:
        """For how long the process may have stood still until now: since the last batch if a reminder is long
        overdue, otherwise 0."""
        due = self._reminders.next()
        return now - self._now if due is not None and now > due + STANDSTILL_TENTHS else 0

    def next_wakeup(self) -> int | None:
        """When the next reminder is due or the next delayed stream may be written; None if neither."""
        due = self._reminders.next()
        return (
            min(self._delayed_until.values(), default=due)
            if due is None
            else min((due, *self._delayed_until.values()))
        )

    def join(self, number: int, zone: str, weight: float, fresh: bool, stream: Stream) -> list[Event]:
        """Adds a proxy's stream in place of any older one; returns the events for the next batch."""
        events, gateway = list[Event](), self._gateways.get(number)
        if (older := self._remove(number)) is not None:
            events.append(Left(older.gateway))
            older.stream.abort()
        if gateway is None or gateway.zone != zone:
            gateway = self._gateways[number] = Gateway(str(number), zone, weight)
        gateway.usual_rate = weight
        self.joined_proxies[number] = JoinedProxy(gateway, stream)
        return [*events, Joined(gateway, fresh, keeps_withdrawals=True)]

    def leave(self, number: int, stream: Stream) -> Left[Gateway] | None:
        """Removes a stream that has ended; returns the event for the next batch, or None if it was
        replaced."""
        joined = self.joined_proxies.get(number)
        if joined is None or joined.stream is not stream:
            return None
        self._remove(number)
        return Left(joined.gateway)

    def _remove(self, number: int) -> JoinedProxy | None:
        joined = self.joined_proxies.pop(number, None)
        if joined is not None:
            self._to_write.pop(joined, None)
            self._delayed_until.pop(joined, None)
            for table in set(joined.tables.values()):
                del table.proxies[joined]
        return joined

    # Messages to the proxies.

    def write(self, joined: JoinedProxy) -> None:
        """Writes the pending orders, unless the stream can't take more data now or the cap delays them."""
        if joined.paused or not joined.has_pending() or self._delayed_by_cap(joined):
            return
        message = self._format_message(joined)
        if joined.pending_mark is not None:
            joined.unanswered_marks[joined.pending_mark] = None
        joined.clear_pending()
        if message:
            self.messages += 1
            joined.stream.send(message)

    def _delayed_by_cap(self, joined: JoinedProxy) -> bool:
        """Whether the proxy has been sent as many messages as the cap allows; if not, counts one more.

        The module's control period leaves room for two joinings within the window. A stream that breaks and
        reconnects three times would exceed the cap (rule 5), so its orders stay pending until the window
        allows another message.
        """
        if not self._message_cap:
            return False
        times = self._write_times.setdefault(int(joined.gateway.name), deque(maxlen=self._message_cap))
        if len(times) == self._message_cap and (due := times[0] + self._cap_window) > self._now:
            self._delayed_until[joined] = due
            return True
        times.append(self._now)
        return False

    def _format_message(self, joined: JoinedProxy) -> bytes:
        """Formats the pending orders as one message, and counts its lines; empty if nothing is pending."""
        written = dict.fromkeys(Purpose, 0)
        parts = self._withdrawal_parts(joined, written)
        for table in dict.fromkeys((*joined.pending_bindings, *joined.pending_rows, *joined.pending_levels)):
            parts += self._table_parts(joined, table, written)
        assert len(parts) <= MAX_MESSAGE_PARTS
        if joined.pending_mark is not None:
            parts = [*parts[:-1], (parts[-1] if parts else format_config()) + f" stamp={joined.pending_mark}"]
            written[Purpose.MARK] = 1
        self.lines += sum(written.values())
        if parts:
            self.channel_meter.message_written(self._now, written)
        return join_parts(parts)

    def _withdrawal_parts(self, joined: JoinedProxy, written: dict[Purpose, int]) -> list[str]:
        """The part with the pending withdrawals, in their present state; adds its lines to `written`."""
        drop = sorted(server.name for server in joined.pending_withdrawals if server in self._withdrawn)
        undrop = sorted(server.name for server in joined.pending_withdrawals if server not in self._withdrawn)
        written[Purpose.WITHDRAWAL] += len(drop) + len(undrop)
        return [format_config(drop=drop, undrop=undrop)] if drop or undrop else []

    def _table_parts(self, joined: JoinedProxy, table: SharedTable, written: dict[Purpose, int]) -> list[str]:
        """The parts with the pending rows and levels of one table; adds their lines to `written`."""
        products = [product for product in self.products if joined.tables.get(product) is table]
        names, replace = [product.name for product in products], table in joined.pending_bindings
        rows = list(table.lines if replace else joined.pending_rows.get(table, {}))
        levels = self._pending_levels(joined, table, products)
        # A level that holds for all of the table's products goes into the same part as its rows; other
        # levels need a part each.
        shared = next((level for level, of_level in levels.items() if of_level == products), None)
        parts = list[str]()
        for first in range(0, len(rows) or 1, MAX_ROWS_PER_PART):
            if replace or rows or shared:
                portion, gate = rows[first : first + MAX_ROWS_PER_PART], shared if not first else None
                parts.append(self._format_part(table, names, replace and not first, portion, gate))
        parts += [
            format_config([product.name for product in of_level], gate=level)
            for level, of_level in levels.items()
            if level != shared
        ]
        written[Purpose.BINDING if replace else Purpose.WEIGHT] += replace + len(rows)
        written[Purpose.BINDING if replace else Purpose.LEVEL] += len(levels)
        return parts

    def _pending_levels(
        self, joined: JoinedProxy, table: SharedTable, products: Sequence[Product]
    ) -> dict[tuple[float, int], list[Product]]:
        """The products whose level has to be written, by level and retry mode."""
        bound, changed = table in joined.pending_bindings, joined.pending_levels.get(table, {})
        levels = dict[tuple[float, int], list[Product]]()
        for product in products:
            level = self._effective_level(table, product)
            if level is not None and (bound or product in changed):
                levels.setdefault(level, []).append(product)
        return levels

    def _format_part(
        self,
        table: SharedTable,
        names: Sequence[str],
        replace: bool,
        servers: Sequence[Server],
        gate: tuple[float, int] | None,
    ) -> str:
        """One part of a message, formatted once for all streams to which it goes."""
        key = table, tuple(names), replace, tuple(servers), gate
        if key not in self._part_cache:
            rows = [(server.name, table.lines.get(server, 0.0)) for server in servers]
            self._part_cache[key] = format_config(names, replace, rows, gate)
        return self._part_cache[key]

    def _effective_level(self, table: SharedTable, product: Product) -> tuple[float, int] | None:
        """The lower of the table's level and the global one, with the retry mode of the table if it has
        one."""
        own, common = table.levels.get(product), self._global_levels.get(product)
        if own is None or common is None:
            either = own or common
            return (either[0], int(either[1])) if either else None
        return min(own[0], common[0]), int(own[1])

    def acknowledge(self, joined: JoinedProxy, mark: int) -> bool:
        """Whether the mark was written to this stream and is unanswered; if so, it and all earlier ones count
        as answered."""
        if mark not in joined.unanswered_marks:
            return False
        while next(iter(joined.unanswered_marks)) != mark:
            del joined.unanswered_marks[next(iter(joined.unanswered_marks))]
        del joined.unanswered_marks[mark]
        return True

    # The decision module's `Host` interface.

    def now(self) -> int:
        return self._now

    def _table(self, number: int) -> SharedTable:
        return self._tables.setdefault(number, SharedTable())

    def set_weight(self, table_number: int, worker: Worker, weight: float) -> None:
        assert isinstance(worker, Server)
        table = self._table(table_number)
        new = worker not in table.lines
        if weight > 0:
            table.lines[worker] = weight
        else:
            table.lines.pop(worker, None)
        for joined in table.proxies:
            self._to_write[joined] = None
            joined.pending_rows.setdefault(table, {})[worker] = None
            # A proxy keeps a withdrawal across streams and tables. A line that is added therefore repeats the
            # worker's current state; otherwise the proxy could keep out a worker that was released, or use
            # one that is withdrawn.
            if new and weight > 0 and self._was_withdrawn(worker):
                joined.pending_withdrawals[worker] = None

    def clear_table(self, table_number: int) -> None:
        table = self._table(table_number)
        table.lines.clear()
        table.levels.clear()
        for joined in table.proxies:
            self._to_write[joined] = None
            joined.pending_bindings[table] = None

    def bind(self, proxy: Proxy, table_number: int, products: Sequence[Product]) -> None:
        joined, table = self.joined_proxies.get(int(proxy.name)), self._table(table_number)
        if joined is None or joined.gateway is not proxy:
            return
        self._to_write[joined] = None
        for product in products or self.products:
            previous = joined.tables.get(product)
            joined.tables[product] = table
            if previous is not None and previous is not table and previous not in joined.tables.values():
                del previous.proxies[joined]
                for pending in (joined.pending_bindings, joined.pending_rows, joined.pending_levels):
                    pending.pop(previous, None)
        table.proxies[joined] = joined.pending_bindings[table] = None
        for server in table.lines:
            if self._was_withdrawn(server):
                joined.pending_withdrawals[server] = None

    def _was_withdrawn(self, worker: Server) -> bool:
        """Whether the worker is withdrawn or has been, as far as this process remembers."""
        return worker in self._withdrawn or worker in self._released

    def set_withdrawn(self, worker: Worker, withdrawn: bool) -> None:
        assert isinstance(worker, Server)
        (self._withdrawn.add if withdrawn else self._withdrawn.discard)(worker)
        if not withdrawn:
            self._released.add(worker)
        for table in self._tables.values():
            for joined in table.proxies if worker in table.lines else ():
                self._to_write[joined] = None
                joined.pending_withdrawals[worker] = None

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        joined = self.joined_proxies.get(int(proxy.name))
        if joined is not None and joined.gateway is proxy:
            self._to_write[joined] = None
            for worker in workers:
                assert isinstance(worker, Server)
                joined.pending_withdrawals[worker] = None

    def set_level(
        self, table_number: int | None, products: Sequence[Product], level: float, retry: Retry
    ) -> None:
        for product in products or self.products:
            if table_number is None:
                self._global_levels[product] = level, retry
            else:
                self._table(table_number).levels[product] = level, retry
            for table in self._tables.values() if table_number is None else (self._table(table_number),):
                for joined in table.proxies:
                    self._to_write[joined] = None
                    joined.pending_levels.setdefault(table, {})[product] = None

    def checkpoint(self, mark: int, all_proxies: bool) -> None:
        for joined in self.joined_proxies.values() if all_proxies else self._to_write:
            self._to_write[joined] = None
            joined.pending_mark = mark % MARK_MODULUS

    def probe(self, worker: Worker) -> None:
        assert isinstance(worker, Server)
        self._queued_probes.append(worker)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self._peer_messages.append((peer, data))

    def watch_list(self, enabled: bool) -> None:
        """Does nothing: the discovery agent on the manager's own machine is always watched, so that changes
        arrive without a request."""

    def request_list(self) -> None:
        """Does nothing, as for `watch_list`."""

    def wake(self, after: int, token: int) -> None:
        self._reminders.add(self._now + max(1, after), token)

    def log(self, text: str) -> None:
        """Does nothing: the module's log lines are meant for the simulator's report."""
