"""A manager's start at the size of the standing test, on loopback: the time to its first PONG while all
proxies dial at once, the time until each holds its table, memory, and processor time of ten seconds' beats.

    python -m benchmarks.mass [--streams 150,400,1600] [--workers 200] [--tree DIR]

--tree: another checkout, to measure that one beside this; quote ratios of one hour.
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

LIMIT = 60.0  # s that one measurement may take


def config(port: int, streams: int, workers: int) -> dict[str, Any]:
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
            # Lines enough for all bindings in a second: what is measured is the manager, not its channel.
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


def used(pid: int) -> tuple[float, float]:
    """Processor seconds and resident MB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (
        (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"),
        int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20,
    )


def dial(port: int) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(("127.0.0.1", port))
    return sock


def measure(tree: Path, streams: int, workers: int) -> tuple[float, ...]:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    with tempfile.TemporaryDirectory() as held:
        file = Path(held, "config.json")
        file.write_text(json.dumps(config(port, streams, workers)))
        began = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "rushladder.service.node"],
            cwd=tree,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(file)},
        )
        try:
            return (*_crowd(port, streams, began), *_quiet(process.pid))
        finally:
            process.kill()
            process.wait()


def _crowd(port: int, streams: int, began: float) -> tuple[float, float]:
    """All proxies dial until they are taken; one stranger asks for a sign of life."""
    choose, waiting, pong, last = selectors.DefaultSelector(), set(range(-1, streams)), 0.0, 0.0
    for number in waiting:
        choose.register(dial(port), selectors.EVENT_WRITE, number)
    kept = list[socket.socket]()
    while waiting and time.monotonic() < began + LIMIT:
        for key, _ in choose.select(0.05):
            sock: Any = key.fileobj
            number = key.data
            if key.events == selectors.EVENT_WRITE:
                if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    choose.unregister(sock)
                    sock.close()
                    time.sleep(0.0005)  # nobody listens yet
                    choose.register(dial(port), selectors.EVENT_WRITE, number)
                    continue
                sock.send(
                    b"PING\r\n"
                    if number < 0
                    else f"SUBSCRIBE proxy={number} zone={'ab'[number % 2]} weight=12 fresh=1\r\n".encode()
                )
                choose.modify(sock, selectors.EVENT_READ, number)
                continue
            try:
                said = sock.recv(65536)
            except OSError:
                said = b""
            last = time.monotonic() - began
            if number < 0:
                pong = pong or last
            if said:
                kept.append(sock)
            waiting.discard(number)
            choose.unregister(sock)
    held.extend(kept)
    return pong, last if not waiting else float("inf")


held = list[socket.socket]()  # joined while the beats are measured


def _quiet(pid: int) -> tuple[float, float]:
    before, _ = used(pid)
    time.sleep(10.0)
    after, memory = used(pid)
    for sock in held:
        sock.close()
    held.clear()
    return after - before, memory


@click.command()
@click.option("--streams", default="150,400,1600")
@click.option("--workers", default=200)
@click.option("--tree", default=".")
def main(streams: str, workers: int, tree: str) -> None:
    print("streams  first PONG s  all bound s  ten s of beats, cpu s  memory MB")
    for count in map(int, streams.split(",")):
        figures = measure(Path(tree).resolve(), count, workers)
        print(f"{count:7}{figures[0]:14.2f}{figures[1]:13.2f}{figures[2]:23.2f}{figures[3]:11.1f}")


if __name__ == "__main__":
    main()
