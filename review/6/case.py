"""Case 6: as workers are replaced, all weights of a table shrink until they are written as 0."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "platform2"))

from deployment import Deployment, Manager, Worker, lane, make_settings, play  # noqa: E402
from judges import BareJudge, Told  # noqa: E402

ZONES = ["a", "b"]
# Of 18 workers nine are replaced within 7 s; six in ten would be 10. Nine are never touched.
STAYING, REPLACED, OTHER_ZONE = 6, 9, 3
# avisos-gt: slow-4 has 4 cores of 0.51 to 0.69, full-4 has 4 of 0.85 to 1.1.
STAYING_WEIGHT, REPLACED_WEIGHT = 2.04, 4.4
STEP = 7.0 / REPLACED
DRAIN_SECONDS = 5.0  # from draining to gone: longer than the grace
PROXIES, RATE = 6, 14.0
COLD_SECONDS, COLD_FROM = 7.2, 0.22  # avisos-gt: a cold start lasts 7.2 to 17 s, from 0.22 to 0.48 on
FIRST_STEP, LAST_STEP, END = 4.0, 102.0, 110.0


async def drain(deployment: Deployment, worker: Worker) -> None:
    deployment.discovery.put(worker, state="draining")
    await asyncio.sleep(DRAIN_SECONDS)
    deployment.discovery.put(worker, state="gone")
    await worker.stop()


async def replace(deployment: Deployment, live: list[Worker]) -> None:
    """Replaces the oldest worker again and again: a new one starts under a new id, then the old drains."""
    number = STAYING + REPLACED
    while deployment.now() < LAST_STEP:
        worker = deployment.add_worker(f"s-{number:03}", ZONES[0], "full-4", REPLACED_WEIGHT)
        number += 1
        await worker.start(cold=True)
        deployment.discovery.put(worker)
        await asyncio.sleep(STEP / 2)
        deployment.spawn(drain(deployment, live.pop(0)))
        live.append(worker)
        proxy = deployment.proxies[0]
        total = sum(proxy.tables["ver-aviso"].values())
        deployment.record.write("table", proxy=0, lines=len(proxy.tables["ver-aviso"]), total=f"{total:.3f}")
        await asyncio.sleep(STEP / 2)


async def script(deployment: Deployment, trouble: bool) -> list[str]:
    for number in range(STAYING + REPLACED):
        stays = number < STAYING
        kind, weight = ("slow-4", STAYING_WEIGHT) if stays else ("full-4", REPLACED_WEIGHT)
        deployment.add_worker(f"s-{number:03}", ZONES[0], kind, weight)
    for number in range(OTHER_ZONE):
        deployment.add_worker(f"t-{number}", ZONES[1], "slow-4", STAYING_WEIGHT)
    await deployment.start_workers()
    told = Told(deployment)
    manager = Manager(deployment, "n0", deployment.settings)
    deployment.managers.append(manager)
    await manager.start()
    deployment.add_collectors(manager)
    for number in range(PROXIES):
        deployment.add_proxy(number, ZONES[number % 3 == 2], RATE, manager)
    judge = BareJudge(deployment, manager, told)
    deployment.spawn(judge.run())
    await asyncio.sleep(FIRST_STEP)
    if trouble:
        deployment.spawn(replace(deployment, list(deployment.workers.values())[STAYING:-OTHER_ZONE]))
    while not judge.breaches and deployment.now() < END:
        await asyncio.sleep(0.1)
    return judge.breaches


SETTINGS = make_settings(
    ZONES,
    [lane("ver-aviso", 1000, 2500)],
    PROXIES,
    family_info={"zone_bound": [True], "update_cap": 0, "head": 4.0, "egress_per_s": 2000.0},
    guarantees={"cold": round(1e6 * COLD_SECONDS), "cold_from": COLD_FROM},
)
if __name__ == "__main__":
    play(CASE, SETTINGS, [1.0], script)
