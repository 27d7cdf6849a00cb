"""Case 9: a worker that was shut out because it failed stays shut out when it is the last one of a class."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "platform2"))

from deployment import Deployment, Manager, Worker, lane, make_settings, play  # noqa: E402
from judges import BareJudge, Told  # noqa: E402

ZONES = ["a", "b", "c"]
WORKERS = {"a": 3, "b": 3, "c": 2}  # 8: as today's smallest day of gent-collect
PROXIES_PER_ZONE, RATE = 2, 14.0
FAIL_SHARE, FAIL_SECONDS = 0.6, 28.0  # fast_errors: 0.35 to 0.95 of one in eight, 8.5 to 28 s
FAILS_AT, CRASH_SECONDS = 6.0, 24.0  # crash: one in eight, 8.6 to 24 s
SHUT_OUTS = (
    3  # the other worker of the zone crashes just after this many, or when the failures are about to end
)
LIST_DELAY = 1.0  # from the crash to the list's change: 0.5 to 4.5 s
END = 60.0


async def script(deployment: Deployment, trouble: bool) -> list[str]:
    chance = random.Random(6)
    for zone, count in WORKERS.items():
        for number in range(count):
            deployment.add_worker(f"s-{zone}{number}", zone)
    await deployment.start_workers()
    told = Told(deployment)
    manager = Manager(deployment, "n0", deployment.settings)
    deployment.managers.append(manager)
    await manager.start()
    deployment.add_collectors(manager)
    for number in range(PROXIES_PER_ZONE * len(ZONES)):
        deployment.add_proxy(number, ZONES[number % len(ZONES)], RATE, manager)
    judge = BareJudge(deployment, manager, told)
    deployment.spawn(judge.run())
    failing, dying = deployment.workers["s-c0"], deployment.workers["s-c1"]
    await asyncio.sleep(FAILS_AT)
    if trouble:
        failing.service = lambda product, proxy: None if chance.random() < FAIL_SHARE else 0.05
        deployment.record.write("worker", name=failing.name, fails=FAIL_SHARE)
        deployment.spawn(mend_later(deployment, failing))
        watched, shut_outs, was_out = deployment.proxies[ZONES.index("c")], 0, False
        while shut_outs < SHUT_OUTS and deployment.now() < FAILS_AT + FAIL_SECONDS - 2:
            await asyncio.sleep(0.1)
            is_out = failing.name in watched.shut_out
            shut_outs, was_out = shut_outs + (is_out and not was_out), is_out
        await dying.stop()
        crashed_at = deployment.now()
        await asyncio.sleep(LIST_DELAY)
        deployment.discovery.put(dying, state="gone")
        while not judge.breaches and deployment.now() < crashed_at + CRASH_SECONDS:
            await asyncio.sleep(0.1)
    else:
        await asyncio.sleep(END - deployment.now())
    return judge.breaches


async def mend_later(deployment: Deployment, failing: Worker) -> None:
    await asyncio.sleep(FAIL_SECONDS)
    failing.service = lambda product, proxy: 0.05
    deployment.record.write("worker", name=failing.name, fails=0)


SETTINGS = make_settings(
    ZONES,
    [lane("balance", 1200, 3000), lane("mandate", 2000, 5000)],
    PROXIES_PER_ZONE * len(ZONES),
    family_info={"zone_bound": [False, True]},
)
if __name__ == "__main__":
    play(CASE, SETTINGS, [0.6, 0.4], script)
