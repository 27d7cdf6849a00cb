"""How soon a manager that was killed steers well again: with memory, without, and with a wrong one of a day
ago.

Managers and gateways in memory on a virtual clock; one of a region's servers is three times slower than
listed. The figure is how long after the start the part of that server stays off what it was before, by more
than a tenth of an even part, added up over all gateways and products (parts x seconds)."""

from __future__ import annotations

from rushladder.standins.folder import SimulatedFolder
from rushladder.store.log import Log
from rushladder.store.memory import DAY, MINORS, Kind
from rushladder.store.store_pb2 import ServerMemory
from tests.test_restarts import Remembered

SLOW, SERVERS = "s0", 8
WATCHED = 40  # s after the start


def part(world: Remembered) -> float:
    parts = [world.usable_weights(site, product) for site in ("g0", "g2") for product in ("ask", "pay")]
    return sum(lines.get(SLOW, 0) / max(1, sum(lines.values())) for lines in parts) / len(parts)


def mislead(world: Remembered) -> None:
    """Of a day ago, the slow server fast and the others slow."""
    folder, at = SimulatedFolder(), int(1000 * world.wall()) - DAY
    log = Log(folder, world.fleet, "m0", MINORS, wall=lambda: at)
    log.open()
    for k in range(SERVERS):
        pace = 2.0 if f"s{k}" == SLOW else 0.4
        memory = ServerMemory(at=at, region="ab"[k % 2], model="any", pace=pace, factor=pace)
        log.put(Kind.SERVER, f"s{k}", memory.SerializeToString())
    log.commit()
    world.folders["m0"] = folder


def main() -> None:
    print("| memory | part before | off it, parts x s | settled after (s) |")
    print("| --- | --- | --- | --- |")
    for how in ("none", "kept", "a day old and wrong"):
        world = Remembered(gateways=4, servers=SERVERS)
        world.service_time = {SLOW: 0.45}
        world.run(60, 20)
        before = part(world)
        world.kill("m0")
        world.run(1, 20)
        if how == "none":
            world.folders["m0"] = SimulatedFolder()
        elif how != "kept":
            mislead(world)
        # The gateways lost their tables too: nothing is left of what was learned but the memory.
        for site in world.sites:
            world.start_gateway(site, pid=2)
        world.start_manager("m0")
        off, settled = 0.0, 0.0
        for second in range(WATCHED):
            world.run(1, 20)
            far = abs(part(world) - before) - 0.1 / (SERVERS / 2)
            off += max(0.0, far)
            settled = second + 1.0 if far > 0 else settled
        print(f"| {how} | {before:.3f} | {off:.2f} | {settled:.0f} |")


if __name__ == "__main__":
    main()
