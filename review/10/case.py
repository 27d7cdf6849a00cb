"""Case 10: a drain that is written while the manager stands still waits for a whole period after that."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "platform2"))

from deployment import Deployment, Manager, lane, make_settings, play  # noqa: E402
from judges import DrainJudge, Told  # noqa: E402

ZONES = ["gent-1", "gent-2"]
WORKERS, PROXIES, RATE = 8, 6, 30.0
GRACE = 3.0
MESSAGE_DELAY = 0.446  # a message takes 0.14 to 0.45 s on average; `propagation` in the settings
STALL, PAUSES = 2.0, (3.7, 3.2, 2.7, 2.1)  # gent-collect: 1.5 to 2 s, with 3.7 to 2.1 s between two
TOLD_AFTER = 0.1  # from the beginning of a stall
FIRST_STALL = 6.0


async def script(deployment: Deployment, trouble: bool) -> list[str]:
    deployment.message_delay = MESSAGE_DELAY
    for number in range(WORKERS):
        deployment.add_worker(f"s-{number}", ZONES[number % len(ZONES)])
    await deployment.start_workers()
    told = Told(deployment)
    manager = Manager(deployment, "n0", deployment.settings)
    deployment.managers.append(manager)
    await manager.start()
    deployment.add_collectors(manager)
    for number in range(PROXIES):
        deployment.add_proxy(number, ZONES[number % len(ZONES)], RATE, manager)
    judge = DrainJudge(deployment, manager, told)
    await asyncio.sleep(FIRST_STALL)
    for number, pause in enumerate(PAUSES):
        if trouble:
            manager.signal(signal.SIGSTOP)
        await asyncio.sleep(TOLD_AFTER)
        deployment.discovery.put(deployment.workers[f"s-{number}"], state="draining")
        await asyncio.sleep(STALL - TOLD_AFTER)
        if trouble:
            manager.signal(signal.SIGCONT)
        await asyncio.sleep(pause)
    await asyncio.sleep(2.0)
    return judge.breaches


SETTINGS = make_settings(
    ZONES,
    [lane("balance", 1200, 3000), lane("mandate", 2000, 5000)],
    PROXIES,
    guarantees={"drain_grace": round(1e6 * GRACE)},
)
if __name__ == "__main__":
    play(CASE, SETTINGS, [0.6, 0.4], script)
