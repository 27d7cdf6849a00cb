"""What one manager's work costs on the platform's road, by the number of its streams: processor time of a
mass joining, of beats under reports, of a release that replaces a tenth of the workers, and of a mass return.

    python -m benchmarks.streams [--streams 150,400,1600] [--workers 200]

Run with another checkout on PYTHONPATH to measure that one; quote ratios of one machine and hour.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

import click

from rushladder.catalog.reader import Catalog
from rushladder.core.workers import Workers
from rushladder.interface import (
    Applied,
    Arrivals,
    Channel,
    Event,
    Guarantee,
    Idempotency,
    LevelUnit,
    Product,
    Tries,
)
from rushladder.streams.host import StreamHost

SECOND = 10_000
ZONES = ("a", "b")
PRODUCTS = tuple(
    Product(name, 12_000, 30_000, 3.0, 0.1, Idempotency.INQUIRY_LIKE, "all", 50_000)
    for name in ("ask", "tell", "pay")
)


class Sink:
    """A stream that takes everything, and answers marks a second later."""

    def send(self, message: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


class Bench:
    def __init__(self, streams: int, workers: int) -> None:
        self.now, self.streams, self.version = 1000 * SECOND, streams, 0
        self.workers = Workers()
        self.catalog = Catalog(self.workers, lambda ms: int(ms) * 10, lambda kind, why: None)
        # The channel grows with the proxies, as the platform's own does: five lines a second for each.
        self.host = StreamHost(
            7,
            {
                "managers": 5,
                "zones": ZONES,
                "products": PRODUCTS,
                "channel": Channel(5.4 * streams, 18.0 * streams, 3.0, 12, 10 * SECOND, 4_460, 11_150),
                "guarantee": Guarantee(115_000, 60_000, 150_000, 0.17, 2.5, 20_000, 100_000, False),
                "level_unit": LevelUnit.RATIO,
                "watches_list": False,
                "may_probe": True,
                "may_send_to_peers": True,
                "slices": 0,
            },
            self.now,
            lambda server: None,
            lambda peer, data: None,
        )
        self.names = [f"s-{k:08x}" for k in range(workers)]
        self.sinks: dict[int, Sink] = {}
        self._listed(self.names, full=True)

    def _listed(self, names: list[str], state: str = "ready", full: bool = False) -> None:
        self.version += 1
        servers = [
            {
                "id": name,
                "addr": "127.0.0.1:9",
                "zone": ZONES[int(name[-1], 16) % 2],
                "kind": "m",
                "cell": 0,
                "state": state,
                "weight": 1.0,
                "started_ms": 0,
            }
            for name in names
        ]
        told = self.catalog.read_line(
            json.dumps({"version": self.version, "full": full, "servers": servers}).encode()
        )
        self.host.process_batch(self.now, [told] if told else [])

    def join(self) -> None:
        """All come within half a second, some at a time."""
        for first in range(0, self.streams, 32):
            events = list[Event]()
            for number in range(first, min(first + 32, self.streams)):
                self.sinks[number] = Sink()
                events += self.host.join(number, ZONES[number % 2], 12.0, True, self.sinks[number])
            self.now += 100
            self.host.process_batch(self.now, events)
        self.wait(3.0)

    def wait(self, seconds: float) -> None:
        """Marks are answered, reminders come due, reports come in, a few in each turn."""
        end = self.now + int(seconds * SECOND)
        turn = 0
        while self.now < end:
            self.now, turn = self.now + 500, turn + 1
            events = list[Event]()
            for port in self.host.joined_proxies.values():
                if port.unanswered_marks and port.gateway.name[-1] == str(turn % 10):
                    mark = max(port.unanswered_marks)
                    if self.host.acknowledge(port, mark):
                        events.append(Applied(port.gateway, mark, SECOND))
                if int(port.gateway.name) % 20 == turn % 20:
                    events += [Arrivals(port.gateway, product, 4, 0, SECOND) for product in PRODUCTS]
            for place, name in enumerate(self.names):
                server = self.workers.get(name)
                if server is not None and place % 20 == turn % 20:
                    events.append(Tries(server, server.zone, 60, 1, SECOND, 2_000))
            self.host.process_batch(self.now, events)

    def release(self) -> None:
        tenth = len(self.names) // 10
        old, self.names = self.names[:tenth], self.names[tenth:]
        self._listed(old, "draining")
        new = [f"s-{self.version:04x}{k:04x}" for k in range(tenth)]
        self.names += new
        self._listed(new)
        self.wait(5.0)

    def back(self) -> None:
        """Half of the streams break and come again."""
        events = list[Event]()
        for number in range(0, self.streams, 2):
            left = self.host.leave(number, self.sinks[number])
            events += [left] if left else []
        self.host.process_batch(self.now, events)
        for first in range(0, self.streams, 64):
            events = []
            for number in range(first, min(first + 64, self.streams), 2):
                self.sinks[number] = Sink()
                events += self.host.join(number, ZONES[number // 2 % 2], 12.0, False, self.sinks[number])
            self.now += 100
            self.host.process_batch(self.now, events)
        self.wait(3.0)


def timed(do: Callable[..., Any], *arguments: Any) -> float:
    began = time.process_time()
    do(*arguments)
    return time.process_time() - began


@click.command()
@click.option("--streams", default="150,400,1600")
@click.option("--workers", default=200)
def main(streams: str, workers: int) -> None:
    print("streams  join s  ten quiet s  release s  return s   messages  lines")
    for count in map(int, streams.split(",")):
        bench = Bench(count, workers)
        figures = [timed(bench.join), timed(bench.wait, 10.0), timed(bench.release), timed(bench.back)]
        print(
            f"{count:7}"
            + "".join(f"{figure:10.3f}" for figure in figures)
            + f"  {bench.host.messages:9}{bench.host.lines:8}"
        )


if __name__ == "__main__":
    main()
