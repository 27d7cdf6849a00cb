"""CPU time of one manager on the platform by the number of its streams: when all proxies join at once, during
ten seconds of ticks with load reports, in a release that replaces a tenth of the workers, and in a reconnect
storm.

    python -m benchmarks.streams [--streams 150,400,1600] [--workers 200]

Run it with another checkout on PYTHONPATH to measure that one. Quote only ratios of runs on one machine
within an hour.
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

SECOND = 10_000  # in tenths of a millisecond
ZONES = ("a", "b")
PRODUCTS = tuple(
    Product(name, 12_000, 30_000, 3.0, 0.1, Idempotency.INQUIRY_LIKE, "all", 50_000)
    for name in ("ask", "tell", "pay")
)


class NullStream:
    """A stream that accepts and discards all messages.

    `Simulation.wait` acknowledges its marks as delivered after a second.
    """

    def send(self, message: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


class Simulation:
    """A manager's stream host with simulated proxies, workers and time."""

    def __init__(self, streams: int, workers: int) -> None:
        self.now, self.streams, self.version = 1000 * SECOND, streams, 0
        self.workers = Workers()
        self.catalog = Catalog(self.workers, lambda ms: int(ms) * 10, lambda kind, why: None)
        # The channel's rate grows with the number of proxies, as on the platform: 5.4 lines/s for each.
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
        self.proxies: dict[int, NullStream] = {}
        self._apply_list(self.names, full=True)

    def _apply_list(self, names: list[str], state: str = "ready", full: bool = False) -> None:
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
        event = self.catalog.read_line(
            json.dumps({"version": self.version, "full": full, "servers": servers}).encode()
        )
        self.host.process_batch(self.now, [event] if event else [])

    def join(self) -> None:
        """All proxies join, in groups of 32 that are 10 ms apart: 1,600 proxies within half a second."""
        for first in range(0, self.streams, 32):
            events = list[Event]()
            for number in range(first, min(first + 32, self.streams)):
                self.proxies[number] = NullStream()
                events += self.host.join(number, ZONES[number % 2], 12.0, True, self.proxies[number])
            self.now += 100
            self.host.process_batch(self.now, events)
        self.wait(3.0)

    def wait(self, seconds: float) -> None:
        """Lets time pass in steps of 50 ms.

        In each step reminders come due, some proxies acknowledge their marks, and some send reports.
        """
        until = self.now + int(seconds * SECOND)
        step = 0
        while self.now < until:
            self.now, step = self.now + 500, step + 1
            events = list[Event]()
            for proxy in self.host.joined_proxies.values():
                if proxy.unanswered_marks and proxy.gateway.name[-1] == str(step % 10):
                    mark = max(proxy.unanswered_marks)
                    if self.host.acknowledge(proxy, mark):
                        events.append(Applied(proxy.gateway, mark, SECOND))
                if int(proxy.gateway.name) % 20 == step % 20:
                    events += [Arrivals(proxy.gateway, product, 4, 0, SECOND) for product in PRODUCTS]
            for index, name in enumerate(self.names):
                server = self.workers.get(name)
                if server is not None and index % 20 == step % 20:
                    events.append(Tries(server, server.zone, 60, 1, SECOND, 2_000))
            self.host.process_batch(self.now, events)

    def release(self) -> None:
        """Replaces a tenth of the workers."""
        tenth = len(self.names) // 10
        old, self.names = self.names[:tenth], self.names[tenth:]
        self._apply_list(old, "draining")
        new = [f"s-{self.version:04x}{k:04x}" for k in range(tenth)]
        self.names += new
        self._apply_list(new)
        self.wait(5.0)

    def reconnect(self) -> None:
        """Half of the streams break and join again."""
        events = list[Event]()
        for number in range(0, self.streams, 2):
            event = self.host.leave(number, self.proxies[number])
            events += [event] if event else []
        self.host.process_batch(self.now, events)
        for first in range(0, self.streams, 64):
            events = []
            for number in range(first, min(first + 64, self.streams), 2):
                self.proxies[number] = NullStream()
                events += self.host.join(number, ZONES[number // 2 % 2], 12.0, False, self.proxies[number])
            self.now += 100
            self.host.process_batch(self.now, events)
        self.wait(3.0)


def cpu_time(function: Callable[..., Any], *arguments: Any) -> float:
    started = time.process_time()
    function(*arguments)
    return time.process_time() - started


@click.command()
@click.option("--streams", default="150,400,1600")
@click.option("--workers", default=200)
def main(streams: str, workers: int) -> None:
    print("streams    join s   ticks s release s   storm s   messages   lines")
    for count in map(int, streams.split(",")):
        simulation = Simulation(count, workers)
        times = [
            cpu_time(simulation.join),
            cpu_time(simulation.wait, 10.0),
            cpu_time(simulation.release),
            cpu_time(simulation.reconnect),
        ]
        print(
            f"{count:7}"
            + "".join(f"{seconds:10.3f}" for seconds in times)
            + f"  {simulation.host.messages:9}{simulation.host.lines:8}"
        )


if __name__ == "__main__":
    main()
