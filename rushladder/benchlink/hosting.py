"""Hosts the instances: keeps their ids apart, turns messages into events and orders into messages."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, BinaryIO, TypeVar

from rushladder.benchlink.wire import ENTRY, WireError, message, read_fields, read_message
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

EVERY_TABLE = 65535
EVERY_PEER = -1
MARKS = 65536
Pages = Mapping[int, list[dict[str, Any]]]


class Instance:
    """One manager: its module, its objects by id, and the orders of the batch in hand."""

    def __init__(self, number: int, seed: int, boot: Mapping[str, Any], now: int) -> None:
        self._number = number
        self._now = now
        self._orders: list[bytes] = []
        self._servers = Workers()
        self._gateways: dict[int, Gateway] = {}
        self._numbers: dict[Proxy, int] = {}
        try:
            described = manager_arguments(boot)
        except SettingsError as trouble:
            raise WireError(f"NewInstance: boot_info {trouble}") from None
        self._products: dict[str, Product] = {product.name: product for product in described["products"]}
        self._places = {product: place for place, product in enumerate(described["products"])}
        self.manager = Manager(self, seed, **described)

    # What comes in.

    def take(self, name: str, fields: dict[str, Any], pages: Pages, now: int) -> None:
        self._now = now
        event = READERS[name](self, fields, pages)
        if event is not None:
            self.manager.handle(event)

    def answer(self, now: int, reply: list[bytes]) -> None:
        """Adds the orders of the batch to the reply."""
        self._now = now
        self.manager.end_batch()
        reply.extend(self._orders)
        self._orders.clear()

    def _product(self, name: str) -> Product:
        if name not in self._products:
            raise WireError(f"unknown product {name!r}")
        return self._products[name]

    def _listing(self, got: dict[str, Any], pages: Pages) -> Event:
        kind = _member(ListKind, got["how"], "how")
        if kind is ListKind.FAILED:
            return Listing(kind, got["version"])
        if got["page"] not in pages:
            raise WireError(f"Targets: page {got['page']} was never sent")
        return Listing(kind, got["version"], [self._entry(raw) for raw in pages[got["page"]]])

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

    def _reminder(self, got: dict[str, Any], _: Pages) -> Event:
        return Reminder(got["handle"])

    # Reports of a worker or proxy that this instance never met are late words of an earlier one: no event.

    def _probed(self, got: dict[str, Any], _: Pages) -> Event | None:
        server = self._servers.get(got["worker"])
        return (
            Probed(
                server,
                _member(ProbeResult, got["disposition"], "disposition"),
                micros_to_tenths(got["elapsed"]),
                got["report"],
            )
            if server
            else None
        )

    def _peer_word(self, got: dict[str, Any], _: Pages) -> Event:
        return PeerMessage(got["author"], got["data"])

    def _joined(self, got: dict[str, Any], _: Pages) -> Event:
        gateway = self._gateways.get(got["proxy"])
        if gateway is None:
            gateway = Gateway(str(got["proxy"]), got["dc"], got["size"])
            self._gateways[got["proxy"]] = gateway
            self._numbers[gateway] = got["proxy"]
        gateway.usual_rate = got["size"]
        return Joined(gateway, got["yes"])

    def _left(self, got: dict[str, Any], _: Pages) -> Event | None:
        gateway = self._gateways.get(got["proxy"])
        return Left(gateway) if gateway else None

    def _tries(self, got: dict[str, Any], _: Pages) -> Event | None:
        server = self._servers.get(got["worker"])
        return (
            Tries(
                server,
                got["dc"],
                got["many"],
                got["failed"],
                micros_to_tenths(got["covers"]),
                micros_to_tenths(got["elapsed"]),
                got["report"],
            )
            if server
            else None
        )

    def _arrivals(self, got: dict[str, Any], _: Pages) -> Event | None:
        gateway, product = self._gateways.get(got["proxy"]), self._product(got["band"])
        return (
            Arrivals(gateway, product, got["many"], got["failed"], micros_to_tenths(got["covers"]))
            if gateway
            else None
        )

    def _applied(self, got: dict[str, Any], _: Pages) -> Event | None:
        gateway = self._gateways.get(got["proxy"])
        return Applied(gateway, got["version"], micros_to_tenths(got["elapsed"])) if gateway else None

    def _slice_given(self, got: dict[str, Any], _: Pages) -> Event:
        return SliceAssigned(got["map_id"], got["yes"])

    def _slice_line(self, got: dict[str, Any], _: Pages) -> Event | None:
        server = self._servers.get(got["worker"])
        return SliceLine(got["map_id"], server, got["size"]) if server else None

    def _slice_arrivals(self, got: dict[str, Any], _: Pages) -> Event:
        return SliceArrivals(
            got["map_id"],
            self._product(got["band"]),
            got["many"],
            got["failed"],
            micros_to_tenths(got["covers"]),
        )

    # What goes out: the module's `Host`.

    def _order(self, name: str, **fields: Any) -> None:
        self._orders.append(message(name, manager_id=self._number, **fields))

    def _bits(self, products: Sequence[Product]) -> int:
        return sum(1 << self._places[product] for product in products)

    def now(self) -> int:
        return self._now

    def set_weight(self, tbl: int, worker: Worker, weight: float) -> None:
        self._order("Weigh", map_id=tbl, size=weight, worker=worker.name)

    def clear_table(self, tbl: int) -> None:
        self._order("Empty", map_id=tbl)

    def bind(self, proxy: Proxy, tbl: int, products: Sequence[Product]) -> None:
        self._order("AttachTable", proxy=self._numbers[proxy], map_id=tbl, class_bits=self._bits(products))

    def set_withdrawn(self, worker: Worker, out: bool) -> None:
        self._order("HoldBack", yes=out, worker=worker.name)

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        """A proxy that is bound heeds this instance's withdrawals alone."""

    def set_level(self, tbl: int | None, products: Sequence[Product], level: float, retry: Retry) -> None:
        self._order(
            "GateClass",
            map_id=EVERY_TABLE if tbl is None else tbl,
            class_bits=self._bits(products),
            let_in=level,
            again=int(retry),
        )

    def checkpoint(self, number: int, everyone: bool) -> None:
        self._order("Checkpoint", version=number % MARKS, yes=everyone)

    def probe(self, worker: Worker) -> None:
        self._order("Touch", worker=worker.name)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self._order(
            "Announce", whom=EVERY_PEER if peer is None else peer, data=base64.b64encode(data).decode()
        )

    def watch_list(self, on: bool) -> None:
        self._order("Watch", yes=on)

    def request_list(self) -> None:
        self._order("QueryAll")

    def wake(self, after: int, token: int) -> None:
        self._order("Defer", wait=after * MICROS_PER_TENTH, handle=token)

    def log(self, words: str) -> None:
        self._order("Emit", words=words)


Member = TypeVar("Member", Availability, ListKind, ProbeResult)


def _member(kind: type[Member], value: int, field: str) -> Member:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"field '{field}' has the unknown value {value}") from None


READERS: Mapping[str, Callable[[Instance, dict[str, Any], Pages], Event | None]] = {
    "Targets": Instance._listing,
    "Reminder": Instance._reminder,
    "ProbeDone": Instance._probed,
    "FromPeer": Instance._peer_word,
    "Attached": Instance._joined,
    "StreamDown": Instance._left,
    "TrafficReport": Instance._tries,
    "Usage": Instance._arrivals,
    "Installed": Instance._applied,
    "Given": Instance._slice_given,
    "Recorded": Instance._slice_line,
    "WeightSeen": Instance._slice_arrivals,
}


class Hosting:
    """Takes batches one after the other and answers each."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self._source = source
        self._sink = sink
        self._instances: dict[int, Instance] = {}
        self._pages: dict[int, list[dict[str, Any]]] = {}
        self._round: int | None = None  # None: between batches
        self._now = 0
        self._touched: dict[int, None] = {}
        self._failed: dict[int, str] = {}

    def run(self) -> None:
        for place, line in enumerate(self._source, 1):
            try:
                self._line(line)
            except WireError as trouble:
                raise WireError(f"line {place}: {trouble}") from None
        if self._round is not None:
            raise WireError("the input ended inside a batch")

    def _line(self, line: bytes) -> None:
        name, fields = read_message(line)
        if name == "Mark":
            if self._round is not None:
                raise WireError("Mark inside a batch")
            if fields["sim_time"] < 0 or micros_to_tenths(fields["sim_time"]) < self._now:
                raise WireError("Mark: the clock ran backwards")
            self._round, self._now = fields["round"], micros_to_tenths(fields["sim_time"])
        elif self._round is None:
            raise WireError(f"{name} outside a batch")
        elif name == "End":
            self._answer(self._round)
            self._round = None
        elif name == "Pool":
            for raw in fields["nodes_list"]:
                raw.update(read_fields("Pool entry", ENTRY, raw))
            self._pages[fields["page"]] = fields["nodes_list"]
        else:
            self._event(name, fields.pop("manager_id"), fields)

    def _event(self, name: str, number: int, fields: dict[str, Any]) -> None:
        if name == "NewInstance":
            self._touched[number] = None
            self._failed.pop(number, None)
            self._guarded(number, lambda: self._start(number, fields))
            return
        if number not in self._instances and number not in self._failed:
            raise WireError(f"{name}: no instance {number}")
        if name == "Down":
            self._instances.pop(number, None)
            self._touched.pop(number, None)
            self._failed.pop(number, None)
            return
        self._touched[number] = None
        if number not in self._failed:
            instance = self._instances[number]
            self._guarded(number, lambda: instance.take(name, fields, self._pages, self._now))

    def _start(self, number: int, fields: dict[str, Any]) -> None:
        self._instances[number] = Instance(number, fields["random_seed"], fields["boot_info"], self._now)

    def _guarded(self, number: int, step: Callable[[], None]) -> None:
        """An exception in the module ends that instance with a plain text, not the whole adapter."""
        try:
            step()
        except WireError:
            raise
        except Exception as trouble:
            at = trouble.__traceback__
            while at is not None and at.tb_next is not None:
                at = at.tb_next
            where = f"{at.tb_frame.f_code.co_name} line {at.tb_lineno}" if at is not None else "?"
            self._failed[number] = f"{type(trouble).__name__} in {where}: {trouble}"

    def _answer(self, number: int) -> None:
        reply: list[bytes] = []
        for touched in self._touched:
            if touched not in self._failed:
                self._guarded(touched, partial(self._instances[touched].answer, self._now, reply))
            if touched in self._failed:
                reply.append(message("BailOut", manager_id=touched, words=self._failed[touched]))
        self._touched.clear()
        reply.append(message("Yield", round=number))
        self._sink.writelines(reply)
        self._sink.flush()
