"""One manager with many gateways over UNIX sockets: CPU time of a tick, apply time and memory.

The gateways run in a child process and simulate their own txns; this process runs the manager alone. The
baseline (`--plain`) sends the whole table at each change, one command per round trip.

In the quiet phase no server changes. In the busy phase a fifth of the servers start or stop draining each
second. Columns of a row: size; variant; connected gateways; CPU per quiet second; longest tick; CPU per busy
second; apply time p50, p99 and maximum; messages applied; memory; messages in the quiet phase; p50 and p99 of
the time from traffic sums to such a message. Times are in ms, memory is in MiB.
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
TXN_RATE = 6  # txns per second of each product at each gateway


def serve_gateways(folder: str, gateways: int, servers: int, moving: bool) -> None:
    """The gateway process: serves the sockets of all gateways and simulates their txns.

    moving: half of the collectors slow down and recover periodically.
    """
    states = list[GatewayState]()
    for k in range(gateways):
        state = GatewayState(PRODUCTS, reactor.seconds, k + 1)
        for product in PRODUCTS:
            for j in range(min(5, servers)):
                state.add(product, f"c{(k + j) % servers}", f"127.0.0.1:{10_000 + (k + j) % servers}")
        states.append(state)
        reactor.listenUNIX(f"{folder}/g{k}", RuntimeFactory(state.commands, Level.ADMIN, reactor))

    def run_second() -> None:
        for state in states:
            for product in PRODUCTS:
                for _ in range(TXN_RATE):
                    line = state.pick(product) if state.admits(product) else None
                    if line is not None:
                        phase = int(reactor.seconds()) // 6 + int(line.name[1:])
                        line.record_settled(1.5 if moving and phase % 2 else 0.2)
        reactor.callLater(1.0, run_second)

    run_second()
    reactor.run()


def manager_config(folder: str, gateways: int, servers: int) -> str:
    """Returns the manager's configuration for gateways whose sockets are in `folder`."""
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
    for k in range(gateways):
        lines += [
            f"gateway g{k}",
            f"    region {'ab'[k % 2]}",
            f"    socket unix@{folder}/g{k}",
            f"    usual {TXN_RATE * len(PRODUCTS)}/s",
        ]
    for k in range(servers):
        lines += [f"collector c{k}", f"    region {'ab'[k % 2]}", f"    address 127.0.0.1:{10_000 + k}"]
    return "\n".join(lines)


class FullTableDriver(GatewayDriver):
    """The baseline: sends the whole table with each message and waits for each command's answer."""

    async def _send_commands(self, client: RuntimeClient, message: Message) -> list[str]:
        session, refused = self.session, list[str]()
        if session is None:
            return refused
        wanted = {
            key: line
            for product in session.tables
            for key, line in self._core.desired_lines(session, product).items()
        }
        commands = server_commands({}, wanted, ())
        for command in commands:
            name = command.words[2]
            if command.words[0] == "add" and tuple(name.split("/")) in session.held.lines:
                command = Command(("set", "server", name, "weight", "0"))
            await client.send(command)
        await super()._send_commands(client, message)
        return refused


class NullLogger:
    def info(self, event: str, **fields: Any) -> None:
        """Discards the event: writing the log is not part of the measurement."""

    warning = info


def measure(gateways: int, servers: int, seconds: float, plain: bool, moving: bool) -> dict[str, float]:
    """Runs one manager. Returns the columns of the table by name: times in ms, memory in MiB."""
    with tempfile.TemporaryDirectory() as folder:
        # The child must not be forked: it would share this process's event queue.
        command = [sys.executable, "-m", "benchmarks.fleet", str(gateways), str(servers), "--serve", folder]
        command += ["--moving"] if moving else []
        child = subprocess.Popen(command)
        results = dict[str, float]()
        try:
            time.sleep(1.5 + gateways / 200)
            manager = Manager(
                parse_config(manager_config(folder, gateways, servers), "fleet.conf"),
                reactor,
                dial,
                None,
                NullLogger(),
            )
            if plain:
                for driver in manager.drivers:
                    driver.__class__ = FullTableDriver
            apply_histogram: Any = HdrHistogram(1, 600_000, 3)  # tenths of a ms
            cpu_marks = list[tuple[str, float]]()

            def start_phase(name: str) -> None:
                cpu_marks.append((name, time.process_time()))
                results["connected"] = float(len(manager.core.sessions))

            def change_servers(index: int) -> None:
                manager.core.apply_times.clear()
                now = clock_tenths(reactor)
                for k in range(0, servers, 5):
                    state = Availability.DRAINING if index % 2 == 0 else Availability.READY
                    manager.apply_list_change(manager.roster.change(f"c{k}", now, availability=state))

            def collect() -> None:
                for elapsed in manager.core.apply_times:
                    apply_histogram.record_value(max(1, elapsed))
                manager.core.apply_times.clear()

            # CPU time of one batch of events, microseconds.
            tick_histogram: Any = HdrHistogram(1, 10_000_000, 3)
            original_process_batch = manager.core.process_batch

            def timed_process_batch(now: int, *events: Any) -> None:
                started = time.process_time_ns()
                original_process_batch(now, *events)
                if len(cpu_marks) == 1:  # only in the quiet phase: no server changes
                    tick_histogram.record_value(max(1, (time.process_time_ns() - started) // 1000))

            manager.core.process_batch = timed_process_batch  # type: ignore[method-assign]
            # From handing traffic sums to the decision module to the message they lead to, tenths of a ms.
            reaction_histogram: Any = HdrHistogram(1, 600_000, 3)
            original_take_events, original_next_message, taken_at = (
                manager.reports.take_events,
                manager.core.next_message,
                [0],
            )

            def timed_take_events(hints: Any = None) -> list[Any]:
                taken_at[0] = clock_tenths(reactor)
                return original_take_events(hints)

            def timed_next_message(now: int, session: Any) -> Message:
                message = original_next_message(now, session)
                if message.commands and len(cpu_marks) == 1:
                    reaction_histogram.record_value(max(1, now - taken_at[0]))
                return message

            manager.reports.take_events = timed_take_events  # type: ignore[method-assign]
            manager.core.next_message = timed_next_message  # type: ignore[method-assign]
            reactor.callWhenRunning(manager.start)
            settle_time = 12.0 + gateways / 40
            reactor.callLater(settle_time, start_phase, "quiet")
            reactor.callLater(settle_time + seconds, start_phase, "busy")
            for index in range(int(seconds)):
                reactor.callLater(settle_time + seconds + index, change_servers, index)
                reactor.callLater(settle_time + seconds + index + 0.95, collect)
            reactor.callLater(2 * seconds + settle_time, start_phase, "end")
            reactor.callLater(2 * seconds + settle_time + 0.1, reactor.stop)
            reactor.run()
            cpu_times = dict(cpu_marks)
            results |= {
                "quiet": 1000 * (cpu_times["busy"] - cpu_times["quiet"]) / seconds,
                "busy": 1000 * (cpu_times["end"] - cpu_times["busy"]) / seconds,
                "messages": float(apply_histogram.get_total_count()),
                "memory": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
            }
            results["reactions"] = float(reaction_histogram.get_total_count())
            results["reaction_p50"], results["reaction_p99"] = (
                reaction_histogram.get_value_at_percentile(percent) / 10 for percent in (50, 99)
            )
            results["tick"] = tick_histogram.get_max_value() / 1000
            for name, percent in (("p50", 50), ("p99", 99), ("max", 100)):
                results[name] = apply_histogram.get_value_at_percentile(percent) / 10
        finally:
            child.kill()
            child.wait()
        return results


@click.command()
@click.argument("gateways", type=int)
@click.argument("servers", type=int)
@click.option("--seconds", default=8.0)
@click.option("--moving", is_flag=True, help="Half of the collectors slow down and recover every 6 s.")
@click.option("--plain", is_flag=True, help="Send the whole table each time, one command per round trip.")
@click.option(
    "--serve", default="", help="Only serve the gateways, with sockets in this folder (for internal use)."
)
def main(gateways: int, servers: int, seconds: float, plain: bool, moving: bool, serve: str) -> None:
    """Prints one row of the table: GATEWAYS gateways, SERVERS collectors."""
    if serve:
        return serve_gateways(serve, gateways, servers, moving)
    measured = measure(gateways, servers, seconds, plain, moving)
    columns = [
        f"{measured[name]:.1f}"
        for name in (
            "connected",
            "quiet",
            "tick",
            "busy",
            "p50",
            "p99",
            "max",
            "messages",
            "memory",
            "reactions",
            "reaction_p50",
            "reaction_p99",
        )
    ]
    print(f"| {gateways} x {servers} | {'plain' if plain else 'difference'} | {' | '.join(columns)} |")


if __name__ == "__main__":
    main()
