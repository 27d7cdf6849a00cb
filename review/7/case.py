"""Case 7: the first worker of a zone that returns cold gets the whole zone's requests, and falls over."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "platform2"))

from deployment import Deployment, Manager, Worker, lane, make_settings, play  # noqa: E402
from judges import ColdJudge, Told  # noqa: E402

ZONES = ["a", "b", "c"]
WORKERS = {"a": 5, "b": 4, "c": 3}  # 12: as gent-collect's busiest days
PROXIES = 6
CAPACITY, WORK = 2.4, 0.24  # core-seconds a second (4 cores of 0.6), and for a request
LOAD = 0.54  # of the capacity of all workers: 0.37 to 0.54 on a quiet day
SKEW = 1.17  # zone c has so much more than its part: 0.03 to 0.18
MIX = [0.39, 0.34, 0.27]  # balance 0.38 to 0.56, mandate 0.23 to 0.35, collect 0.19 to 0.29
CRASH_AT, CRASH_SECONDS = 8.0, 8.0  # crash: one in four, 5 to 25 s
NOTICED_AFTER = 1.2  # 0.83 to 4.4 s from a crash to the list's change
LISTED_AFTER = (0.3, 1.3, 2.3)  # 0.28 to 2.3 s from a start to the list's change
END = 26.0


async def crash(deployment: Deployment, judge: ColdJudge, worker: Worker, listed_after: float) -> None:
    await worker.stop()
    await asyncio.sleep(NOTICED_AFTER)
    deployment.discovery.put(worker, state="gone")
    await asyncio.sleep(CRASH_SECONDS - NOTICED_AFTER)
    judge.started_cold(worker.name)
    await worker.start(cold=True)
    await asyncio.sleep(listed_after)
    if worker.mode == "up":
        deployment.discovery.put(worker)


async def script(deployment: Deployment, trouble: bool) -> list[str]:
    for zone, count in WORKERS.items():
        for number in range(count):
            deployment.add_worker(f"s-{zone}{number}", zone)
    await deployment.start_workers()
    told = Told(deployment)
    judge = ColdJudge(deployment, told, CAPACITY, WORK)
    for name, worker in deployment.workers.items():
        worker.service = partial(judge.serve, name)
    manager = Manager(deployment, "n0", deployment.settings)
    deployment.managers.append(manager)
    await manager.start()
    deployment.add_collectors(manager)
    rate = LOAD * CAPACITY * len(deployment.workers) / WORK / PROXIES
    for number in range(PROXIES):
        zone = ZONES[number % len(ZONES)]
        deployment.add_proxy(number, zone, rate * (SKEW if zone == "c" else (3 - SKEW) / 2), manager)
    await asyncio.sleep(CRASH_AT)
    if trouble:
        dying = [worker for worker in deployment.workers.values() if worker.zone == "c"]
        for worker, listed_after in zip(dying, LISTED_AFTER, strict=True):
            deployment.spawn(crash(deployment, judge, worker, listed_after))
    await asyncio.sleep(END - deployment.now())
    return judge.breaches


SETTINGS = make_settings(
    ZONES,
    [lane("balance", 1200, 3000), lane("mandate", 2000, 5000), lane("collect", 2000, 5000)],
    PROXIES,
    family_info={"zone_bound": [False, True, True]},
)
if __name__ == "__main__":
    play(CASE, SETTINGS, MIX, script)
