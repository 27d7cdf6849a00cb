"""Reports at a flood against one manager that steers 48 gateways: CPU a report, how many are read, how late
the beat is, memory.

A child sends over loopback from addresses of its own (127.0.1.N), a tenth of the servers as fast as it can,
the others twice a second, by UDP or by one TCP stream each; another serves the gateways. This process runs
the manager, and a beat whose lateness is measured with and without the flood.
"""

from __future__ import annotations

import contextlib
import resource
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
from twisted.internet import reactor as _reactor

from benchmarks.fleet import Quiet, plan
from rushladder.conf.reader import read
from rushladder.intake.desk import Fate
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.intake.ports import Datagrams, Streams
from rushladder.service.manager import Manager
from rushladder.service.run import AT_ONCE, dial

reactor: Any = _reactor
GATEWAYS, SERVERS = 48, 100
SETTLES = 10.0  # s for the manager to hold and fill its gateways
BEAT = 0.1  # the beat is short here, so that ten seconds give a hundred of them


def report(k: int, number: int, uptime: float) -> bytes:
    return Envelope(
        server=f"c{k}",
        token=bytes([k]) * 8,
        boot=1,
        number=number,
        uptime=int(1000 * uptime),
        report=OrcaLoadReport(cpu_utilization=0.3 + 0.005 * (k % 50)),
    ).SerializeToString()


def send(port: int, rate: int, seconds: float, tcp: bool) -> None:
    """The child: `rate` reports a second in all, from SERVERS addresses, a tenth of which flood. What a full
    stream can't take is not sent."""
    wires = list[socket.socket]()
    for k in range(SERVERS):
        wire = socket.socket(socket.AF_INET, socket.SOCK_STREAM if tcp else socket.SOCK_DGRAM)
        wire.bind((f"127.0.1.{k + 1}", 0))
        wire.connect(("127.0.0.1", port))
        wire.setblocking(False)
        wires.append(wire)
    rest = dict[int, bytes]()  # of a frame that a stream took half of
    began, sent, sent_all, number = time.monotonic(), 0, 0, 0
    flood = SERVERS // 10
    while (now := time.monotonic() - began) < seconds:
        while sent < rate * now:
            number += 1
            k = number // 50 % SERVERS if number % 50 == 0 else number % flood
            word = report(k, number, now)
            if tcp:
                word = rest.pop(k, b"") or len(word).to_bytes(4, "big") + word
            with contextlib.suppress(OSError):
                took = wires[k].send(word)
                sent_all += took == len(word)
                if took < len(word):
                    rest[k] = word[took:]
            sent += 1
        time.sleep(0.0005)
    print(sent_all)


def resident() -> int:
    """KiB of this process in memory now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() // 1024


def fleet(folder: str) -> str:
    """A plan of GATEWAYS gateways, and SERVERS collectors that report."""
    lines = list[str]()
    for line in plan(folder, GATEWAYS, SERVERS).split("\n"):
        lines.append(line)
        if line.startswith("collector c"):
            k = int(line.removeprefix("collector c"))
            lines.append(f"    reports 127.0.1.{k + 1} token {(bytes([k]) * 8).hex()}")
    return "\n".join(lines)


@click.command()
@click.argument("rate", type=int)
@click.option("--seconds", default=8.0)
@click.option("--tcp", is_flag=True, help="One stream a server, instead of datagrams.")
@click.option("--child", default=0, help="Sends to this port instead (used by the command itself).")
def main(rate: int, seconds: float, tcp: bool, child: int) -> None:
    """One row: RATE reports a second."""
    if child:
        return send(child, rate, seconds, tcp)
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "benchmarks.fleet", str(GATEWAYS), str(SERVERS), "--serve", folder]
        gateways = subprocess.Popen(command)
        try:
            time.sleep(2.0)
            measure(rate, seconds, tcp, Manager(read(fleet(folder), "plan"), reactor, dial, None, Quiet()))
        finally:
            gateways.kill()
            gateways.wait()


def measure(rate: int, seconds: float, tcp: bool, manager: Manager) -> None:
    desk, quiet = manager.desk, min(seconds, 20.0)
    late, marks = {phase: list[float]() for phase in ("settling", "quiet", "flood")}, list[float]()
    if tcp:
        port = reactor.listenTCP(0, Streams(desk, reactor), interface="127.0.0.1")
    else:
        port = reactor.listenUDP(0, Datagrams(desk, reactor), interface="127.0.0.1")
        port.maxThroughput = AT_ONCE
        port.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
    phase, memory = ["settling"], list[int]()
    held = list[int]()

    def beat(due: float) -> None:
        late[phase[0]].append(1000 * (reactor.seconds() - due))
        if phase[0] == "flood":
            memory.append(resident())
        reactor.callLater(max(0.0, due + BEAT - reactor.seconds()), beat, due + BEAT)

    def flood() -> None:
        phase[0] = "flood"
        desk.counts.update(dict.fromkeys(desk.counts, 0))
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
        ] + ["--tcp"] * tcp
        process.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))

    process = list[subprocess.Popen[str]]()

    def settled() -> None:
        phase[0] = "quiet"
        marks.append(time.process_time())

    def ended() -> None:
        marks.append(time.process_time())
        held.append(len(manager.core.ports))

    reactor.callWhenRunning(manager.start)
    reactor.callLater(BEAT, beat, reactor.seconds() + BEAT)
    reactor.callLater(SETTLES, settled)
    reactor.callLater(SETTLES + quiet, flood)
    reactor.callLater(SETTLES + quiet + seconds, ended)
    reactor.callLater(SETTLES + quiet + seconds + 1.5, reactor.stop)
    reactor.run()
    # The manager steers all the while: what that costs is taken off by the quiet part's own measure.
    cpu = marks[2] - marks[1] - (marks[1] - marks[0]) * seconds / quiet
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
        float(memory[len(memory) // 10]),
        float(memory[-1]),
        float(held[0]),
    )
    print(f"| {rate} | " + " | ".join(f"{figure:.1f}" for figure in figures) + " |")


if __name__ == "__main__":
    main()
