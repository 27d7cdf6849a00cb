"""Case 3: a failing worker is withdrawn, the rest of its zone dies: it stays out though it is the last."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_standin import Platform, run_case  # noqa: E402

PLACES = {"a": 4, "b": 5, "c": 5}
FAIL_AT, FAIL_AT_MOST, FAIL_PART = 6.0, 28.0, 0.95  # one worker quickly fails most of its requests
DROPS = 3  # its failing ends as it is withdrawn for the third time
TOLD_AFTER, AWAY, LISTED_AFTER = 1.0, 22.0, 0.5  # the other workers of the zone die and come back cold
END = 70.0


def build() -> Platform:
    return Platform(FOLDER, (1,), zones=tuple(PLACES), proxies=9, rate=24.0, zone_bound=[False, False, True])


async def play(platform: Platform) -> None:
    for zone, count in PLACES.items():
        for number in range(count):
            await platform.add_worker(f"s-{zone}{number:03d}", zone)
    await platform.start()
    failing, *others = (worker for worker in platform.workers.values() if worker.zone == "a")
    observer = next(proxy for proxy in platform.proxies if proxy.zone == "a")
    if platform.trouble:
        await platform.wait_until(FAIL_AT)
        platform.record(f"{failing.name} begins to fail {FAIL_PART:.0%} of its requests")
        failing.fail_part = FAIL_PART
        drops, out = 0, False
        while drops < DROPS and platform.now() < FAIL_AT + FAIL_AT_MOST:
            await platform.wait_until(platform.now() + 0.05)
            was_out, out = out, failing.name in observer.withdrawn
            drops += out and not was_out
        failing.fail_part = 0.0
        platform.record(f"{failing.name} is well again; it was withdrawn {drops} times")
        platform.record(f"{len(others)} workers die: {[worker.name for worker in others]}")
        died_at = platform.now()
        for worker in others:
            await worker.stop()
        await platform.wait_until(died_at + TOLD_AFTER)
        platform.announce(*((worker, "gone") for worker in others))
        await platform.wait_until(died_at + AWAY)
        for worker in others:
            await worker.start()
            worker.started_unix = time.time()
        await platform.wait_until(died_at + AWAY + LISTED_AFTER)
        platform.announce(*((worker, "ready") for worker in others))
    await platform.wait_until(END)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, build, play))
