"""One manager and many gateways over UNIX sockets: CPU of a beat, order to applied, memory, at three sizes.

The gateways live in a child process and count txns by themselves; this process runs the manager alone. The
plain way beside it sends its whole table at each order, one command a round trip.
"""

from __future__ import annotations

import resource
import subprocess
import sys
import tempfile
import time
from typing import Any

import click
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor as _reactor

from rushladder.conf.reader import parse_config
from rushladder.core.host import Message
from rushladder.gateways.diff import server_commands
from rushladder.gateways.driver import GatewayDriver
from rushladder.interface import Availability
from rushladder.runtime.endpoint import Level, RuntimeClient, RuntimeFactory
from rushladder.runtime.grammar import Command
from rushladder.service.manager import Manager
from rushladder.service.run import dial
from rushladder.standins.gateway_state import GatewayState
from rushladder.timing import clock_tenths

reactor: Any = _reactor
PRODUCTS = ("balance", "mandate", "collect")
A_SECOND = 6  # txns of a product and second at each gateway


def gateways(folder: str, many: int, servers: int, moving: bool) -> None:
    """The child: `many` gateways, each with txns of its own."""
    states = list[GatewayState]()
    for k in range(many):
        state = GatewayState(PRODUCTS, reactor.seconds, k + 1)
        for product in PRODUCTS:
            for j in range(min(5, servers)):
                state.add(product, f"c{(k + j) % servers}", f"127.0.0.1:{10_000 + (k + j) % servers}")
        states.append(state)
        reactor.listenUNIX(f"{folder}/g{k}", RuntimeFactory(state.commands, Level.ADMIN, reactor))

    def second() -> None:
        for state in states:
            for product in PRODUCTS:
                for _ in range(A_SECOND):
                    line = state.pick(product) if state.admits(product) else None
                    if line is not None:
                        turn = int(reactor.seconds()) // 6 + int(line.name[1:])
                        line.record_settled(1.5 if moving and turn % 2 else 0.2)
        reactor.callLater(1.0, second)

    second()
    reactor.run()


def plan(folder: str, many: int, servers: int) -> str:
    lines = [
        "manager m1",
        "    region a",
        "    cold 15s from 17%",
        "    channel-way 5ms longest 100ms",
        "    channel-waiting 20000",
        "    channel-lines 20000/s",
        "    probes off",
        "region a",
        "region b",
    ]
    for product in PRODUCTS:
        lines += [
            f"product {product}",
            "    sla 2s",
            "    expiry 5s",
            "    revenue 3",
            "    repeat once-only",
        ]
    for k in range(many):
        lines += [
            f"gateway g{k}",
            f"    region {'ab'[k % 2]}",
            f"    socket unix@{folder}/g{k}",
            f"    usual {A_SECOND * len(PRODUCTS)}/s",
        ]
    for k in range(servers):
        lines += [f"collector c{k}", f"    region {'ab'[k % 2]}", f"    address 127.0.0.1:{10_000 + k}"]
    return "\n".join(lines)


class PlainDriver(GatewayDriver):
    """The plain way: the whole table with each message, and every command awaited before the next."""

    async def _send_commands(self, client: RuntimeClient, message: Message) -> list[str]:
        port, refused = self.session, list[str]()
        if port is None:
            return refused
        wanted = {
            key: line
            for product in port.tables
            for key, line in self._core.desired_lines(port, product).items()
        }
        commands = server_commands({}, wanted, ())
        for command in commands:
            name = command.words[2]
            if command.words[0] == "add" and tuple(name.split("/")) in port.held.lines:
                command = Command(("set", "server", name, "weight", "0"))
            await client.send(command)
        await super()._send_commands(client, message)
        return refused


class Quiet:
    def info(self, event: str, **more: Any) -> None:
        """Nothing is written while it is measured."""

    warning = info


def measure(many: int, servers: int, seconds: float, plain: bool, moving: bool) -> dict[str, float]:
    """Runs one manager; returns CPU of a quiet and of a busy second (ms), order-to-applied times (ms),
    memory (MiB)."""
    with tempfile.TemporaryDirectory() as folder:
        # A process started afresh: one that is forked would share this one's event queue.
        command = [sys.executable, "-m", "benchmarks.fleet", str(many), str(servers), "--serve", folder]
        command += ["--moving"] if moving else []
        child = subprocess.Popen(command)
        found = dict[str, float]()
        try:
            time.sleep(1.5 + many / 200)
            manager = Manager(parse_config(plan(folder, many, servers), "plan"), reactor, dial, None, Quiet())
            if plain:
                for driver in manager.drivers:
                    driver.__class__ = PlainDriver
            histogram: Any = HdrHistogram(1, 600_000, 3)
            cpu = list[tuple[str, float]]()

            def mark(name: str) -> None:
                cpu.append((name, time.process_time()))
                found["held"] = float(len(manager.core.sessions))

            def churn(turn: int) -> None:
                manager.core.apply_times.clear()
                now = clock_tenths(reactor)
                for k in range(0, servers, 5):
                    state = Availability.DRAINING if turn % 2 == 0 else Availability.READY
                    manager.apply_list_change(manager.roster.change(f"c{k}", now, availability=state))

            def collect() -> None:
                for elapsed in manager.core.apply_times:
                    histogram.record_value(max(1, elapsed))
                manager.core.apply_times.clear()

            beats: Any = HdrHistogram(1, 10_000_000, 3)  # microseconds of CPU for one batch of events
            take = manager.core.take

            def timed(now: int, *events: Any) -> None:
                began = time.process_time_ns()
                take(now, *events)
                if len(cpu) == 1:  # between the two marks: nothing changes but what comes
                    beats.record_value(max(1, (time.process_time_ns() - began) // 1000))

            manager.core.take = timed  # type: ignore[method-assign]
            waits: Any = HdrHistogram(
                1, 600_000, 3
            )  # from sums given to the module to the message they led to
            close, message, told = manager.reports.take_events, manager.core.next_message, [0]

            def closed(hints: Any = None) -> list[Any]:
                told[0] = clock_tenths(reactor)
                return close(hints)

            def sent(now: int, session: Any) -> Message:
                made = message(now, session)
                if made.commands and len(cpu) == 1:
                    waits.record_value(max(1, now - told[0]))
                return made

            manager.reports.take_events = closed  # type: ignore[method-assign]
            manager.core.next_message = sent  # type: ignore[method-assign]
            reactor.callWhenRunning(manager.start)
            quiet = 12.0 + many / 40
            reactor.callLater(quiet, mark, "quiet")
            reactor.callLater(quiet + seconds, mark, "busy")
            for turn in range(int(seconds)):
                reactor.callLater(quiet + seconds + turn, churn, turn)
                reactor.callLater(quiet + seconds + turn + 0.95, collect)
            reactor.callLater(2 * seconds + quiet, mark, "end")
            reactor.callLater(2 * seconds + quiet + 0.1, reactor.stop)
            reactor.run()
            times = dict(cpu)
            found |= {
                "quiet": 1000 * (times["busy"] - times["quiet"]) / seconds,
                "busy": 1000 * (times["end"] - times["busy"]) / seconds,
                "messages": float(histogram.get_total_count()),
                "memory": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
            }
            found["orders"] = float(waits.get_total_count())
            found["r50"], found["r99"] = (waits.get_value_at_percentile(part) / 10 for part in (50, 99))
            found["beat"] = beats.get_max_value() / 1000
            for name, part in (("p50", 50), ("p99", 99), ("max", 100)):
                found[name] = histogram.get_value_at_percentile(part) / 10
        finally:
            child.kill()
            child.wait()
        return found


@click.command()
@click.argument("many", type=int)
@click.argument("servers", type=int)
@click.option("--seconds", default=8.0)
@click.option("--moving", is_flag=True, help="Half of the collectors slow down and recover every 6 s.")
@click.option("--plain", is_flag=True, help="The whole table each time, one command a round trip.")
@click.option(
    "--serve", default="", help="Serves the gateways in this folder instead (used by the command itself)."
)
def main(many: int, servers: int, seconds: float, plain: bool, moving: bool, serve: str) -> None:
    """One row: MANY gateways, SERVERS collectors."""
    if serve:
        return gateways(serve, many, servers, moving)
    got = measure(many, servers, seconds, plain, moving)
    columns = [
        f"{got[name]:.1f}"
        for name in (
            "held",
            "quiet",
            "beat",
            "busy",
            "p50",
            "p99",
            "max",
            "messages",
            "memory",
            "orders",
            "r50",
            "r99",
        )
    ]
    print(f"| {many} x {servers} | {'plain' if plain else 'difference'} | {' | '.join(columns)} |")


if __name__ == "__main__":
    main()
