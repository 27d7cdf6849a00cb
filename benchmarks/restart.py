"""How soon a killed manager steers as well as before: with its memory, without it, and with a wrong memory
that is a day old.

Managers and gateways run in one process on a virtual clock. One server of a region is three times slower than
its listed size. The result is how far that server's share of the weights is from its share before the kill,
less a tolerance of a tenth of an even share, summed over the seconds after the restart. Shares are means over
gateways and products.
"""

from __future__ import annotations

from rushladder.standins.folder import SimulatedFolder
from rushladder.store.log import Log
from rushladder.store.memory import DAY, MINORS, Kind
from rushladder.store.store_pb2 import ServerMemory
from tests.test_restarts import PersistentCluster

SLOW, SERVERS = "s0", 8
OBSERVED = 40  # s after the restart


def slow_server_share(cluster: PersistentCluster) -> float:
    """Returns the slow server's mean share of the weights."""
    tables = [cluster.usable_weights(site, product) for site in ("g0", "g2") for product in ("ask", "pay")]
    return sum(lines.get(SLOW, 0) / max(1, sum(lines.values())) for lines in tables) / len(tables)


def write_wrong_memory(cluster: PersistentCluster) -> None:
    """Replaces m0's memory with one of a day ago, in which the slow server is fast and the others slow."""
    folder, written_at = SimulatedFolder(), int(1000 * cluster.wall()) - DAY
    log = Log(folder, cluster.fleet, "m0", MINORS, wall=lambda: written_at)
    log.open()
    for k in range(SERVERS):
        pace = 2.0 if f"s{k}" == SLOW else 0.4
        memory = ServerMemory(at=written_at, region="ab"[k % 2], model="any", pace=pace, factor=pace)
        log.put(Kind.SERVER, f"s{k}", memory.SerializeToString())
    log.commit()
    cluster.folders["m0"] = folder


def main() -> None:
    print("| memory | share before | deviation, share x s | settled after (s) |")
    print("| --- | --- | --- | --- |")
    for memory_state in ("none", "kept", "a day old and wrong"):
        cluster = PersistentCluster(gateways=4, servers=SERVERS)
        cluster.service_time = {SLOW: 0.45}
        cluster.run(60, 20)
        share_before = slow_server_share(cluster)
        cluster.kill("m0")
        cluster.run(1, 20)
        if memory_state == "none":
            cluster.folders["m0"] = SimulatedFolder()
        elif memory_state != "kept":
            write_wrong_memory(cluster)
        # The gateways restart too and lose their tables, so that only the memory keeps what was learned.
        for site in cluster.gateway_names:
            cluster.start_gateway(site, pid=2)
        cluster.start_manager("m0")
        deviation, settled = 0.0, 0.0
        for second in range(OBSERVED):
            cluster.run(1, 20)
            excess = abs(slow_server_share(cluster) - share_before) - 0.1 / (SERVERS / 2)
            deviation += max(0.0, excess)
            settled = second + 1.0 if excess > 0 else settled
        print(f"| {memory_state} | {share_before:.3f} | {deviation:.2f} | {settled:.0f} |")


if __name__ == "__main__":
    main()
