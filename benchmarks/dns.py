"""Load on the DNS server of one manager that also steers 161 gateways: answers per second, latency, CPU time
per query.

A child process sends queries over loopback from 200 addresses at a fixed rate, every tenth with an EDNS
record that offers 1,232 bytes; another one serves the gateways. The baseline (`--plain`) answers everyone
from one list by weighted random choice and keeps no state per client. The difference is the cost of the split
by client and of its limits.

Columns of a row: RATE; variant; answers per second; share answered (%); latency p50 and p99 (ms); CPU per
answer (microseconds); CPU use without queries (%); median time of a new plan (ms); connected gateways; memory
(MiB).
"""

from __future__ import annotations

import resource
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from random import Random
from typing import Any

import click
from twisted.internet import reactor as _reactor

from benchmarks.fleet import NullLogger, manager_config
from rushladder.conf.reader import parse_config
from rushladder.dnsfront.answer_builder import PoolQuery, Selection
from rushladder.dnsfront.responder import DnsResponder
from rushladder.dnsfront.transports import DnsDatagramProtocol
from rushladder.interface import Availability
from rushladder.service.manager import Manager
from rushladder.service.run import dial
from rushladder.structures.weighted_choice import LinearChoice
from rushladder.timing import clock_tenths

reactor: Any = _reactor
GATEWAYS, SERVERS, CLIENTS = 161, 99, 200
SETTLE_TIME = 16.0  # s for the manager to connect to its gateways and fill their tables
ZONE_CONFIG = "dns svc.example\n    bind 127.0.0.1:5399\n    ns ns.svc.example=127.0.0.1\n    usual 200/s\n"


def encode_query(index: int) -> bytes:
    name = (b"\x08_balance\x04_tcp", b"\x07balance", b"\x07collect")[index % 3]
    record_type = (33, 1, 1)[index % 3]
    opt = b"\0\0\x29\x04\xd0\0\0\0\0\0\0" if index % 10 == 0 else b""
    header = (index & 0xFFFF).to_bytes(2, "big") + b"\1\0\0\1\0\0\0\0\0" + bytes([bool(opt)])
    return header + name + b"\3svc\7example\0" + record_type.to_bytes(2, "big") + b"\0\1" + opt


def run_client(port: int, rate: int, seconds: float) -> None:
    """The client process. Prints the number of queries and of answers, and the answers' p50 and p99 in ms."""
    sockets, sent_at = list[socket.socket](), dict[tuple[int, int], float]()
    for k in range(CLIENTS):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((f"127.0.{3 + k}.1", 0))
        sock.connect(("127.0.0.1", port))
        sock.setblocking(False)
        sockets.append(sock)
    started, sent, latencies = time.monotonic(), 0, list[float]()
    while (now := time.monotonic() - started) < seconds + 0.5:
        busy = False
        while sent < rate * min(now, seconds):
            k = sent % CLIENTS
            sent_at[k, sent & 0xFFFF] = time.monotonic()
            sockets[k].send(encode_query(sent))
            sent, busy = sent + 1, True
        for k, sock in enumerate(sockets):
            try:
                while True:
                    data = sock.recv(2000)
                    query_time = sent_at.pop((k, int.from_bytes(data[:2], "big")), None)
                    if query_time is not None and not data[2] & 2:
                        latencies.append(1000 * (time.monotonic() - query_time))
                    busy = True
            except BlockingIOError:
                continue
        if not busy:
            time.sleep(0.0002)
    latencies.sort()
    print(
        sent,
        len(latencies),
        latencies[len(latencies) // 2] if latencies else 0,
        latencies[int(0.99 * (len(latencies) - 1))] if latencies else 0,
    )


def baseline_choice(responder: DnsResponder) -> Callable[[PoolQuery, bool], Selection | None]:
    """Weighted random choice from one list, the same for all clients."""
    next_random = Random(1).random

    def choose(query: PoolQuery, weighted: bool) -> Selection | None:
        pool = responder.pools[query.product, query.region]
        sampler = LinearChoice({name: target.weight for name, target in pool.targets.items()})
        names = dict.fromkeys(sampler.draw(next_random()) for _ in range(2))
        return Selection([pool.targets[name] for name in names], 2)

    return choose


@click.command()
@click.argument("rate", type=int)
@click.option("--seconds", default=8.0)
@click.option(
    "--plain", "baseline", is_flag=True, help="Answer by weighted random choice, without state per client."
)
@click.option("--child", default=0, help="Only send queries to this port (for internal use).")
def main(rate: int, seconds: float, baseline: bool, child: int) -> None:
    """Prints one row of the table: RATE queries per second."""
    if child:
        return run_client(child, rate, seconds)
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "benchmarks.fleet", str(GATEWAYS), str(SERVERS), "--serve", folder]
        gateways = subprocess.Popen(command)
        try:
            time.sleep(2.5)
            config = manager_config(folder, GATEWAYS, SERVERS) + "\n" + ZONE_CONFIG
            measure(
                rate,
                seconds,
                baseline,
                Manager(parse_config(config, "fleet.conf"), reactor, dial, None, NullLogger()),
            )
        finally:
            gateways.kill()
            gateways.wait()


def measure(rate: int, seconds: float, baseline: bool, manager: Manager) -> None:
    responder = manager.dns
    assert responder is not None
    if baseline:
        responder._answer_builder._choose = baseline_choice(responder)
    port = reactor.listenUDP(0, DnsDatagramProtocol(responder), interface="127.0.0.1")
    port.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
    cpu_marks, clients, replan_times, connected = (
        list[float](),
        list[subprocess.Popen[str]](),
        list[float](),
        list[int](),
    )
    # Rate limiting is off: every query is answered.
    responder.rate_limiter.take = lambda *_: next(iter(responder.rate_limiter.counts))  # type: ignore[method-assign]

    def record_cpu() -> None:
        cpu_marks.append(time.process_time())
        connected.append(sum(driver.session is not None for driver in manager.drivers))

    def start_client() -> None:
        record_cpu()
        command = [sys.executable, "-m", "benchmarks.dns", str(rate), "--seconds", str(seconds)]
        command += ["--child", str(port.getHost().port)]
        clients.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))

    def measure_replans() -> None:
        """Times the new plan after one server starts or stops draining. Both regions are planned again."""
        for index in range(40):
            state = Availability.DRAINING if index % 2 == 0 else Availability.READY
            manager.roster.change("c5", clock_tenths(reactor), availability=state)
            started = time.process_time_ns()
            responder.list_changed()
            replan_times.append((time.process_time_ns() - started) / 1e6)

    reactor.callWhenRunning(manager.start)
    reactor.callLater(SETTLE_TIME, record_cpu)
    reactor.callLater(SETTLE_TIME + seconds, start_client)
    reactor.callLater(SETTLE_TIME + 2 * seconds, record_cpu)
    reactor.callLater(SETTLE_TIME + 2 * seconds + 1.5, measure_replans)
    reactor.callLater(SETTLE_TIME + 2 * seconds + 2.0, reactor.stop)
    reactor.run()
    sent, answered, p50, p99 = (float(field) for field in clients[0].communicate()[0].split())
    # The CPU time of the phase without queries is subtracted: it is the cost of steering alone.
    cpu = (cpu_marks[2] - cpu_marks[1]) - (cpu_marks[1] - cpu_marks[0])
    columns = (
        answered / seconds,
        100 * answered / sent,
        p50,
        p99,
        1e6 * cpu / max(1.0, answered),
        100 * (cpu_marks[1] - cpu_marks[0]) / seconds,
        sorted(replan_times)[len(replan_times) // 2],
        connected[-1],
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )
    print(
        f"| {rate} | {'plain' if baseline else 'split'} | "
        + " | ".join(f"{column:.1f}" for column in columns)
        + " |"
    )


if __name__ == "__main__":
    main()
