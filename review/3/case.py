"""Case 3: workers that died before the manager's restart come back, and stay shut out."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_standin import Platform, run_case  # noqa: E402

# 3 of 14 workers, all of zone a, die at once and come back cold after 23 s.
PLACES = {"a": 3, "b": 5, "c": 6}
DIE_AT, TOLD_AFTER, LISTED_AFTER = 6.0, 1.5, 0.5
RESTART_AT = 11.0  # the manager's planned restart
AWAY = 23.0
END = DIE_AT + AWAY + 36.0


def build() -> Platform:
    return Platform(FOLDER, (1,), zones=tuple(PLACES), proxies=9, rate=15.0, zone_bound=[False, False, True])


async def play(platform: Platform) -> None:
    lost = list[str]()
    for zone, count in PLACES.items():
        for number in range(count):
            name = f"s-{zone}{number:03d}"
            await platform.add_worker(name, zone)
            lost += [name] if zone == "a" else []
    await platform.start()
    died = [platform.workers[name] for name in lost]
    if platform.trouble:
        await platform.wait_until(DIE_AT)
        platform.record(f"{len(died)} workers die: {lost}")
        for worker in died:
            await worker.stop()
        await platform.wait_until(DIE_AT + TOLD_AFTER)
        platform.announce(*((worker, "gone") for worker in died))
        await platform.wait_until(RESTART_AT)
        await platform.stop_manager(signal.SIGTERM)
        staying = [worker for worker in platform.workers.values() if worker not in died]
        await platform.start_manager([worker.entry("ready") for worker in staying])
        await platform.wait_until(DIE_AT + AWAY)
        platform.record("the workers are back, cold")
        for worker in died:
            await worker.start()
            worker.started_unix = time.time()
        await platform.wait_until(DIE_AT + AWAY + LISTED_AFTER)
        platform.announce(*((worker, "ready") for worker in died))
    await platform.wait_until(END)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, build, play))
