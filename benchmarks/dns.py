"""Questions to one manager's DNS front while it steers 161 gateways: answered a second, p99, CPU a question.

A child asks over loopback from 200 addresses, so many questions a second, every tenth over TCP's size with
options; another serves the gateways. The plain way beside it answers all from one list, weighed by chance,
with no account of who asks: what the split and the limits cost.
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

from benchmarks.fleet import Quiet, plan
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
GATEWAYS, SERVERS, ASKERS = 161, 99, 200
SETTLES = 16.0  # s for the manager to hold and fill its gateways
ZONE = "dns svc.example\n    bind 127.0.0.1:5399\n    ns ns.svc.example=127.0.0.1\n    usual 200/s\n"


def question(turn: int) -> bytes:
    name = (b"\x08_balance\x04_tcp", b"\x07balance", b"\x07collect")[turn % 3]
    kind = (33, 1, 1)[turn % 3]
    opt = b"\0\0\x29\x04\xd0\0\0\0\0\0\0" if turn % 10 == 0 else b""
    head = (turn & 0xFFFF).to_bytes(2, "big") + b"\1\0\0\1\0\0\0\0\0" + bytes([bool(opt)])
    return head + name + b"\3svc\7example\0" + kind.to_bytes(2, "big") + b"\0\1" + opt


def send(port: int, rate: int, seconds: float) -> None:
    """The child: prints how many were answered, and the p50 and p99 of the answers in ms."""
    wires, asked = list[socket.socket](), dict[tuple[int, int], float]()
    for k in range(ASKERS):
        wire = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        wire.bind((f"127.0.{3 + k}.1", 0))
        wire.connect(("127.0.0.1", port))
        wire.setblocking(False)
        wires.append(wire)
    began, sent, took = time.monotonic(), 0, list[float]()
    while (now := time.monotonic() - began) < seconds + 0.5:
        busy = False
        while sent < rate * min(now, seconds):
            k = sent % ASKERS
            asked[k, sent & 0xFFFF] = time.monotonic()
            wires[k].send(question(sent))
            sent, busy = sent + 1, True
        for k, wire in enumerate(wires):
            try:
                while True:
                    data = wire.recv(2000)
                    at = asked.pop((k, int.from_bytes(data[:2], "big")), None)
                    if at is not None and not data[2] & 2:
                        took.append(1000 * (time.monotonic() - at))
                    busy = True
            except BlockingIOError:
                continue
        if not busy:
            time.sleep(0.0002)
    took.sort()
    print(
        sent, len(took), took[len(took) // 2] if took else 0, took[int(0.99 * (len(took) - 1))] if took else 0
    )


def plain(front: DnsResponder) -> Callable[[PoolQuery, bool], Selection | None]:
    """One list, by chance, for everyone."""
    draw = Random(1).random

    def choose(asked: PoolQuery, weighed: bool) -> Selection | None:
        pool = front.pools[asked.product, asked.region]
        chances = LinearChoice({name: target.weight for name, target in pool.targets.items()})
        names = dict.fromkeys(chances.draw(draw()) for _ in range(2))
        return Selection([pool.targets[name] for name in names], 2)

    return choose


@click.command()
@click.argument("rate", type=int)
@click.option("--seconds", default=8.0)
@click.option("--plain", "simple", is_flag=True, help="Answers by chance, with no account of who asks.")
@click.option("--child", default=0, help="Asks this port instead (used by the command itself).")
def main(rate: int, seconds: float, simple: bool, child: int) -> None:
    """One row: RATE questions a second."""
    if child:
        return send(child, rate, seconds)
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "benchmarks.fleet", str(GATEWAYS), str(SERVERS), "--serve", folder]
        gateways = subprocess.Popen(command)
        try:
            time.sleep(2.5)
            text = plan(folder, GATEWAYS, SERVERS) + "\n" + ZONE
            measure(rate, seconds, simple, Manager(parse_config(text, "plan"), reactor, dial, None, Quiet()))
        finally:
            gateways.kill()
            gateways.wait()


def measure(rate: int, seconds: float, simple: bool, manager: Manager) -> None:
    front = manager.dns
    assert front is not None
    if simple:
        front._answer_builder._choose = plain(front)
    port = reactor.listenUDP(0, DnsDatagramProtocol(front), interface="127.0.0.1")
    port.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
    marks, process, replans, held = list[float](), list[subprocess.Popen[str]](), list[float](), list[int]()
    front.rate_limiter.take = lambda *_: next(iter(front.rate_limiter.counts))  # type: ignore[method-assign]

    def mark() -> None:
        marks.append(time.process_time())
        held.append(sum(driver.session is not None for driver in manager.drivers))

    def ask() -> None:
        mark()
        command = [sys.executable, "-m", "benchmarks.dns", str(rate), "--seconds", str(seconds)]
        command += ["--child", str(port.getHost().port)]
        process.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))

    def change() -> None:
        """A plan's change, timed by itself: one server goes or comes, and both seats are planned anew."""
        for turn in range(40):
            state = Availability.DRAINING if turn % 2 == 0 else Availability.READY
            manager.roster.change("c5", clock_tenths(reactor), availability=state)
            began = time.process_time_ns()
            front.list_changed()
            replans.append((time.process_time_ns() - began) / 1e6)

    reactor.callWhenRunning(manager.start)
    reactor.callLater(SETTLES, mark)
    reactor.callLater(SETTLES + seconds, ask)
    reactor.callLater(SETTLES + 2 * seconds, mark)
    reactor.callLater(SETTLES + 2 * seconds + 1.5, change)
    reactor.callLater(SETTLES + 2 * seconds + 2.0, reactor.stop)
    reactor.run()
    sent, answered, p50, p99 = (float(word) for word in process[0].communicate()[0].split())
    cpu = (marks[2] - marks[1]) - (marks[1] - marks[0])  # less what steering costs by itself
    figures = (
        answered / seconds,
        100 * answered / sent,
        p50,
        p99,
        1e6 * cpu / max(1.0, answered),
        100 * (marks[1] - marks[0]) / seconds,
        sorted(replans)[len(replans) // 2],
        held[-1],
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )
    print(
        f"| {rate} | {'plain' if simple else 'split'} | " + " | ".join(f"{one:.1f}" for one in figures) + " |"
    )


if __name__ == "__main__":
    main()
