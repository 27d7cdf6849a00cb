"""Start of a manager over loopback, at the size of the bench's standing test: the time to its first PONG
while all proxies connect at once, the time until each has its table, memory, and the CPU time of ten seconds
of ticks.

    python -m benchmarks.mass [--streams 150,400,1600] [--workers 200] [--tree DIR]

--tree measures another checkout, for comparison. Quote only ratios of runs on one machine within an hour.
"""

from __future__ import annotations

import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click

CONNECT_TIMEOUT = 60.0  # s until all proxies must have their tables


def manager_config(port: int, streams: int, workers: int) -> dict[str, Any]:
    lanes = [
        {"deadline": 3000000, "idempotency": "retryable", "name": name, "points": 3.0, "target": 1200000}
        for name in ("ask", "tell", "pay")
    ]
    servers = [
        {
            "id": f"s-{k:08x}",
            "addr": "127.0.0.1:9",
            "zone": "ab"[k % 2],
            "kind": "m",
            "cell": 0,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }
        for k in range(workers)
    ]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2 * streams + 256},
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": {
            "azs": ["a", "b"],
            "group_size": 5,
            "me": 0,
            "membership_mode": "automatic",
            "lanes": lanes,
            # Enough lines to bind all proxies within a second: the manager is measured, not its channel.
            "family_info": {
                "bare": 8000000,
                "egress_per_s": 40.0 * streams,
                "head": 3.0,
                "key_ranges": 0,
                "pending_max": 400.0 * streams,
                "propagation": 446000,
                "proxies": streams,
                "push_delay_max": 1115000,
                "throttle_by": "ratio",
                "update_cap": 12,
                "counted_over": 10000000,
                "base_mode": 1,
            },
            "guarantees": {
                "cold": 15000000,
                "cold_from": 0.17,
                "drain_grace": 6000000,
                "overload_factor": 2.5,
                "overload_for": 2000000,
            },
            "limits": {"probes": False, "may_tell": False},
            "reporting": {"how": "silent"},
        },
    }


def process_usage(pid: int) -> tuple[float, float]:
    """Returns the CPU time in seconds and the resident memory in MiB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (
        (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"),
        int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20,
    )


def connect(port: int) -> socket.socket:
    """Starts a non-blocking connection."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(("127.0.0.1", port))
    return sock


def measure(tree: Path, streams: int, workers: int) -> tuple[float, ...]:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "config.json")
        file.write_text(json.dumps(manager_config(port, streams, workers)))
        started = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "rushladder.service.node"],
            cwd=tree,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(file)},
        )
        try:
            return (*_connect_all(port, streams, started), *_measure_ticks(process.pid))
        finally:
            process.kill()
            process.wait()


def _connect_all(port: int, streams: int, started: float) -> tuple[float, float]:
    """Connects all proxies, with retries, and one client that sends PING.

    Returns the seconds from `started` to the PONG, and until all have received data (infinity on timeout).
    """
    selector, waiting, pong_time, last_time = selectors.DefaultSelector(), set(range(-1, streams)), 0.0, 0.0
    for number in waiting:
        selector.register(connect(port), selectors.EVENT_WRITE, number)
    connected = list[socket.socket]()
    while waiting and time.monotonic() < started + CONNECT_TIMEOUT:
        for key, _ in selector.select(0.05):
            sock: Any = key.fileobj
            number = key.data
            if key.events == selectors.EVENT_WRITE:
                if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    selector.unregister(sock)
                    sock.close()
                    time.sleep(0.0005)  # the manager does not listen yet
                    selector.register(connect(port), selectors.EVENT_WRITE, number)
                    continue
                sock.send(
                    b"PING\r\n"
                    if number < 0
                    else f"SUBSCRIBE proxy={number} zone={'ab'[number % 2]} weight=12 fresh=1\r\n".encode()
                )
                selector.modify(sock, selectors.EVENT_READ, number)
                continue
            try:
                received = sock.recv(65536)
            except OSError:
                received = b""
            last_time = time.monotonic() - started
            if number < 0:
                pong_time = pong_time or last_time
            if received:
                connected.append(sock)
            waiting.discard(number)
            selector.unregister(sock)
    open_connections.extend(connected)
    return pong_time, last_time if not waiting else float("inf")


open_connections = list[socket.socket]()  # proxies that stay connected while the ticks are measured


def _measure_ticks(pid: int) -> tuple[float, float]:
    before, _ = process_usage(pid)
    time.sleep(10.0)
    after, memory = process_usage(pid)
    for sock in open_connections:
        sock.close()
    open_connections.clear()
    return after - before, memory


@click.command()
@click.option("--streams", default="150,400,1600")
@click.option("--workers", default=200)
@click.option("--tree", default=".")
def main(streams: str, workers: int, tree: str) -> None:
    print("streams  first PONG s  all bound s  CPU s / 10 s of ticks memory MiB")
    for count in map(int, streams.split(",")):
        values = measure(Path(tree).resolve(), count, workers)
        print(f"{count:7}{values[0]:14.2f}{values[1]:13.2f}{values[2]:23.2f}{values[3]:11.1f}")


if __name__ == "__main__":
    main()
