"""Hosts instances of the manager: converts the simulator's messages to events, and orders to messages."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, BinaryIO, TypeVar

from rushladder.benchlink.wire import ENTRY, ProtocolError, message, read_fields, read_message
from rushladder.brain import Manager
from rushladder.conf.startup_settings import (
    MICROS_PER_TENTH,
    SettingsError,
    manager_arguments,
    micros_to_tenths,
)
from rushladder.core.workers import Workers
from rushladder.interface import (
    Applied,
    Arrivals,
    Availability,
    Entry,
    Event,
    Joined,
    Left,
    Listing,
    ListKind,
    PeerMessage,
    Probed,
    ProbeResult,
    Product,
    Proxy,
    Reminder,
    Retry,
    SliceArrivals,
    SliceAssigned,
    SliceLine,
    Tries,
    Worker,
)
from rushladder.records import Gateway, Server

ALL_TABLES = 65535
ALL_PEERS = -1
MARK_COUNT = 65536
Pages = Mapping[int, list[dict[str, Any]]]  # the entries of a list by page number


class Instance:
    """One manager: its decision module, its objects by id, and the orders of the current batch."""

    def __init__(self, number: int, seed: int, boot: Mapping[str, Any], now: int) -> None:
        self._number = number
        self._now = now
        self._orders: list[bytes] = []
        self._servers = Workers()
        self._gateways: dict[int, Gateway] = {}
        self._proxy_ids: dict[Proxy, int] = {}
        try:
            arguments = manager_arguments(boot)
        except SettingsError as error:
            raise ProtocolError(f"NewInstance: boot_info {error}") from None
        self._products: dict[str, Product] = {product.name: product for product in arguments["products"]}
        self._product_bits = {product: bit for bit, product in enumerate(arguments["products"])}
        self.manager = Manager(self, seed, **arguments)

    # Events.

    def handle(self, name: str, fields: dict[str, Any], pages: Pages, now: int) -> None:
        """Passes one message to the module; one that refers to an unknown object is ignored."""
        self._now = now
        event = EVENT_READERS[name](self, fields, pages)
        if event is not None:
            self.manager.handle(event)

    def end_batch(self, now: int, reply: list[bytes]) -> None:
        """Ends the batch and adds its orders to the reply."""
        self._now = now
        self.manager.end_batch()
        reply.extend(self._orders)
        self._orders.clear()

    def _product(self, name: str) -> Product:
        if name not in self._products:
            raise ProtocolError(f"unknown product {name!r}")
        return self._products[name]

    def _listing(self, fields: dict[str, Any], pages: Pages) -> Event:
        kind = _member(ListKind, fields["how"], "how")
        if kind is ListKind.FAILED:
            return Listing(kind, fields["version"])
        if fields["page"] not in pages:
            raise ProtocolError(f"Targets: page {fields['page']} was never sent")
        return Listing(kind, fields["version"], [self._entry(raw) for raw in pages[fields["page"]]])

    def _entry(self, raw: dict[str, Any]) -> Entry[Server]:
        return self._servers.entry(
            raw["worker"],
            raw["dc"],
            raw["model"],
            raw["cluster"],
            _member(Availability, raw["availability"], "availability"),
            raw["size"],
            micros_to_tenths(raw["started_at"]),
        )

    def _reminder(self, fields: dict[str, Any], _: Pages) -> Event:
        return Reminder(fields["handle"])

    # A report of an unknown worker or proxy is a late one for an earlier instance: it gives no event.

    def _probed(self, fields: dict[str, Any], _: Pages) -> Event | None:
        server = self._servers.get(fields["worker"])
        return (
            Probed(
                server,
                _member(ProbeResult, fields["disposition"], "disposition"),
                micros_to_tenths(fields["elapsed"]),
                fields["report"],
            )
            if server
            else None
        )

    def _peer_message(self, fields: dict[str, Any], _: Pages) -> Event:
        return PeerMessage(fields["author"], fields["data"])

    def _joined(self, fields: dict[str, Any], _: Pages) -> Event:
        gateway = self._gateways.get(fields["proxy"])
        if gateway is None:
            gateway = Gateway(str(fields["proxy"]), fields["dc"], fields["size"])
            self._gateways[fields["proxy"]] = gateway
            self._proxy_ids[gateway] = fields["proxy"]
        gateway.usual_rate = fields["size"]
        return Joined(gateway, fields["yes"])

    def _left(self, fields: dict[str, Any], _: Pages) -> Event | None:
        gateway = self._gateways.get(fields["proxy"])
        return Left(gateway) if gateway else None

    def _tries(self, fields: dict[str, Any], _: Pages) -> Event | None:
        server = self._servers.get(fields["worker"])
        return (
            Tries(
                server,
                fields["dc"],
                fields["many"],
                fields["failed"],
                micros_to_tenths(fields["covers"]),
                micros_to_tenths(fields["elapsed"]),
                fields["report"],
            )
            if server
            else None
        )

    def _arrivals(self, fields: dict[str, Any], _: Pages) -> Event | None:
        gateway, product = self._gateways.get(fields["proxy"]), self._product(fields["band"])
        return (
            Arrivals(gateway, product, fields["many"], fields["failed"], micros_to_tenths(fields["covers"]))
            if gateway
            else None
        )

    def _applied(self, fields: dict[str, Any], _: Pages) -> Event | None:
        gateway = self._gateways.get(fields["proxy"])
        return Applied(gateway, fields["version"], micros_to_tenths(fields["elapsed"])) if gateway else None

    def _slice_assigned(self, fields: dict[str, Any], _: Pages) -> Event:
        return SliceAssigned(fields["map_id"], fields["yes"])

    def _slice_line(self, fields: dict[str, Any], _: Pages) -> Event | None:
        server = self._servers.get(fields["worker"])
        return SliceLine(fields["map_id"], server, fields["size"]) if server else None

    def _slice_arrivals(self, fields: dict[str, Any], _: Pages) -> Event:
        return SliceArrivals(
            fields["map_id"],
            self._product(fields["band"]),
            fields["many"],
            fields["failed"],
            micros_to_tenths(fields["covers"]),
        )

    # Orders: the module's `Host`.

    def _order(self, name: str, **fields: Any) -> None:
        self._orders.append(message(name, manager_id=self._number, **fields))

    def _bits(self, products: Sequence[Product]) -> int:
        return sum(1 << self._product_bits[product] for product in products)

    def now(self) -> int:
        return self._now

    def set_weight(self, tbl: int, worker: Worker, weight: float) -> None:
        self._order("Weigh", map_id=tbl, size=weight, worker=worker.name)

    def clear_table(self, tbl: int) -> None:
        self._order("Empty", map_id=tbl)

    def bind(self, proxy: Proxy, tbl: int, products: Sequence[Product]) -> None:
        self._order("AttachTable", proxy=self._proxy_ids[proxy], map_id=tbl, class_bits=self._bits(products))

    def set_withdrawn(self, worker: Worker, withdrawn: bool) -> None:
        self._order("HoldBack", yes=withdrawn, worker=worker.name)

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        """Nothing to undo: here a bound proxy applies only this instance's withdrawals."""

    def set_level(self, tbl: int | None, products: Sequence[Product], level: float, retry: Retry) -> None:
        self._order(
            "GateClass",
            map_id=ALL_TABLES if tbl is None else tbl,
            class_bits=self._bits(products),
            let_in=level,
            again=int(retry),
        )

    def checkpoint(self, mark: int, all_proxies: bool) -> None:
        self._order("Checkpoint", version=mark % MARK_COUNT, yes=all_proxies)

    def probe(self, worker: Worker) -> None:
        self._order("Touch", worker=worker.name)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self._order(
            "Announce", whom=ALL_PEERS if peer is None else peer, data=base64.b64encode(data).decode()
        )

    def watch_list(self, enabled: bool) -> None:
        self._order("Watch", yes=enabled)

    def request_list(self) -> None:
        self._order("QueryAll")

    def wake(self, after: int, token: int) -> None:
        self._order("Defer", wait=after * MICROS_PER_TENTH, handle=token)

    def log(self, text: str) -> None:
        self._order("Emit", words=text)


Member = TypeVar("Member", Availability, ListKind, ProbeResult)


def _member(kind: type[Member], value: int, field: str) -> Member:
    """The enum member with this value. Raises ProtocolError with the field's name."""
    try:
        return kind(value)
    except ValueError:
        raise ProtocolError(f"field '{field}' has the unknown value {value}") from None


EVENT_READERS: Mapping[str, Callable[[Instance, dict[str, Any], Pages], Event | None]] = {
    "Targets": Instance._listing,
    "Reminder": Instance._reminder,
    "ProbeDone": Instance._probed,
    "FromPeer": Instance._peer_message,
    "Attached": Instance._joined,
    "StreamDown": Instance._left,
    "TrafficReport": Instance._tries,
    "Usage": Instance._arrivals,
    "Installed": Instance._applied,
    "Given": Instance._slice_assigned,
    "Recorded": Instance._slice_line,
    "WeightSeen": Instance._slice_arrivals,
}


class Adapter:
    """Reads batches of messages, passes them to the instances and writes a reply to each batch."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self._source = source
        self._sink = sink
        self._instances: dict[int, Instance] = {}
        self._pages: dict[int, list[dict[str, Any]]] = {}
        self._round: int | None = None  # None: between batches
        self._now = 0
        self._active: dict[int, None] = {}
        self._failed: dict[int, str] = {}

    def run(self) -> None:
        """Runs until the input ends. Raises ProtocolError with the line's number."""
        for number, line in enumerate(self._source, 1):
            try:
                self._handle_line(line)
            except ProtocolError as error:
                raise ProtocolError(f"line {number}: {error}") from None
        if self._round is not None:
            raise ProtocolError("the input ended inside a batch")

    def _handle_line(self, line: bytes) -> None:
        name, fields = read_message(line)
        if name == "Mark":
            if self._round is not None:
                raise ProtocolError("Mark inside a batch")
            if fields["sim_time"] < 0 or micros_to_tenths(fields["sim_time"]) < self._now:
                raise ProtocolError("Mark: the clock ran backwards")
            self._round, self._now = fields["round"], micros_to_tenths(fields["sim_time"])
        elif self._round is None:
            raise ProtocolError(f"{name} outside a batch")
        elif name == "End":
            self._end_batch(self._round)
            self._round = None
        elif name == "Pool":
            for raw in fields["nodes_list"]:
                raw.update(read_fields("Pool entry", ENTRY, raw))
            self._pages[fields["page"]] = fields["nodes_list"]
        else:
            self._handle_event(name, fields.pop("manager_id"), fields)

    def _handle_event(self, name: str, number: int, fields: dict[str, Any]) -> None:
        if name == "NewInstance":
            self._active[number] = None
            self._failed.pop(number, None)
            self._run_guarded(number, lambda: self._start(number, fields))
            return
        if number not in self._instances and number not in self._failed:
            raise ProtocolError(f"{name}: no instance {number}")
        if name == "Down":
            self._instances.pop(number, None)
            self._active.pop(number, None)
            self._failed.pop(number, None)
            return
        self._active[number] = None
        if number not in self._failed:
            instance = self._instances[number]
            self._run_guarded(number, lambda: instance.handle(name, fields, self._pages, self._now))

    def _start(self, number: int, fields: dict[str, Any]) -> None:
        self._instances[number] = Instance(number, fields["random_seed"], fields["boot_info"], self._now)

    def _run_guarded(self, number: int, action: Callable[[], None]) -> None:
        """Runs an action. An exception in the module ends that instance with an error, not the adapter."""
        try:
            action()
        except ProtocolError:
            raise
        except Exception as error:
            frame = error.__traceback__
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            where = f"{frame.tb_frame.f_code.co_name} line {frame.tb_lineno}" if frame is not None else "?"
            self._failed[number] = f"{type(error).__name__} in {where}: {error}"

    def _end_batch(self, round_number: int) -> None:
        reply: list[bytes] = []
        for instance_id in self._active:
            if instance_id not in self._failed:
                self._run_guarded(
                    instance_id, partial(self._instances[instance_id].end_batch, self._now, reply)
                )
            if instance_id in self._failed:
                reply.append(message("BailOut", manager_id=instance_id, words=self._failed[instance_id]))
        self._active.clear()
        reply.append(message("Yield", round=round_number))
        self._sink.writelines(reply)
        self._sink.flush()
