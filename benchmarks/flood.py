"""Reports at a flood against one manager's UDP port: CPU a report, how many are read, lateness of the beat,
memory.

A child sends over loopback from addresses of its own (127.0.1.N), a tenth of the servers as fast as it can,
the others twice a second; this process runs the desk and a beat of a second whose lateness is measured with
and without the flood.
"""

from __future__ import annotations

import contextlib
import resource
import socket
import subprocess
import sys
import time
from typing import Any

import click
from twisted.internet import reactor as _reactor

from rushladder.intake.desk import Desk, Fate
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.intake.ports import Datagrams
from rushladder.timing import tenths

reactor: Any = _reactor
SERVERS, BEAT = 100, 0.1  # the beat is short here, so that ten seconds give a hundred of them


def report(k: int, number: int) -> bytes:
    return Envelope(
        server=f"c{k}",
        token=bytes([k]) * 8,
        boot=1,
        number=number,
        uptime=10 * number,
        report=OrcaLoadReport(cpu_utilization=0.3 + 0.005 * (k % 50)),
    ).SerializeToString()


def send(port: int, rate: int, seconds: float) -> None:
    """The child: `rate` reports a second in all, from SERVERS addresses, a tenth of which flood."""
    wires = list[socket.socket]()
    for k in range(SERVERS):
        wire = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        wire.bind((f"127.0.1.{k + 1}", 0))
        wire.connect(("127.0.0.1", port))
        wires.append(wire)
    began, sent, number = time.monotonic(), 0, 0
    flood = SERVERS // 10
    while (now := time.monotonic() - began) < seconds:
        while sent < rate * now:
            number += 1
            k = number % SERVERS if number % 50 == 0 else number % flood
            with contextlib.suppress(OSError):
                wires[k].send(report(k, number))
            sent += 1
        time.sleep(0.0005)
    print(sent)


@click.command()
@click.argument("rate", type=int)
@click.option("--seconds", default=8.0)
@click.option("--child", default=0, help="Sends to this port instead (used by the command itself).")
def main(rate: int, seconds: float, child: int) -> None:
    """One row: RATE reports a second."""
    if child:
        return send(child, rate, seconds)
    desk = Desk(tenths(reactor))
    for k in range(SERVERS):
        desk.listed(f"c{k}", f"127.0.1.{k + 1}", bytes([k]) * 8)
    late, marks = {"quiet": list[float](), "flood": list[float]()}, list[float]()
    port = reactor.listenUDP(0, Datagrams(desk, reactor), interface="127.0.0.1")
    port.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
    phase = ["quiet"]

    def beat(due: float) -> None:
        late[phase[0]].append(1000 * (reactor.seconds() - due))
        desk.period({}, tenths(reactor))
        reactor.callLater(max(0.0, due + BEAT - reactor.seconds()), beat, due + BEAT)

    def flood() -> None:
        phase[0] = "flood"
        marks.append(time.process_time())
        command = [
            sys.executable,
            "-m",
            "benchmarks.flood",
            str(rate),
            "--seconds",
            str(seconds),
            "--child",
            str(port.getHost().port),
        ]
        process.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))

    process = list[subprocess.Popen[str]]()
    reactor.callLater(BEAT, beat, reactor.seconds() + BEAT)
    reactor.callLater(seconds, flood)
    reactor.callLater(2 * seconds + 1.5, reactor.stop)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    reactor.run()
    cpu = time.process_time() - marks[0]
    sent = int(process[0].communicate()[0] or 0)
    came = sum(desk.counts.values())
    p99 = {name: sorted(values)[int(0.99 * (len(values) - 1))] for name, values in late.items()}
    read = desk.counts[Fate.TAKEN] + desk.counts[Fate.LATE]
    figures = (
        sent / seconds,
        came / seconds,
        1e6 * cpu / max(1, came),
        came / max(1e-9, cpu),
        100 * read / max(1, came),
        p99["quiet"],
        p99["flood"],
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before,
    )
    print(f"| {rate} | " + " | ".join(f"{figure:.1f}" for figure in figures) + " |")


if __name__ == "__main__":
    main()
