"""The judges of the second review's cases: the rules as the pages word them, with bounds and excuses."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from deployment import Deployment, Manager

SLACK_SECONDS = 0.3  # the protocol page: on sockets these limits run 300 ms longer
FIRST_SECONDS = 1.0  # none begins sooner than this after the manager first answered
CHECK_SECONDS = 0.05


class Told:
    """What discovery has written to the one manager: each worker's state, and since when it is so."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.states = dict[str, str]()
        self.left_at = dict[str, float]()  # since when a worker is known to drain or to be gone
        self.ready_at = dict[str, float]()  # since when it is listed as ready
        self.warm_ms = dict[str, float]()  # when it is warm at the latest, in Unix milliseconds
        deployment.discovery.on_written.append(self._written)
        for entry in deployment.discovery.entries.values():
            self._written(entry)  # the configuration's list

    def _written(self, entry: dict[str, Any]) -> None:
        name, state, now = entry["id"], entry["state"], self._deployment.now()
        if state == "ready":
            self.left_at.pop(name, None)
            self.ready_at.setdefault(name, now)
        else:
            self.left_at.setdefault(name, now)
            self.ready_at.pop(name, None)
        self.states[name] = state
        cold_ms = self._deployment.settings["guarantees"]["cold"] / 1000
        self.warm_ms[name] = entry["started_ms"] + cold_ms if entry["started_ms"] else 0.0

    def warm_ready(self, unix_ms: float) -> list[str]:
        """The workers that are listed as ready and past their cold start."""
        return [name for name in self.ready_at if unix_ms >= self.warm_ms[name]]


class BareJudge:
    """Rule 1, nobody left without a server.

    A joined proxy must not go for longer than `bare` without a line to pick for a class while the manager's
    list shows a warm, ready worker that is open to the class. A level of 0 is no breach.
    """

    def __init__(self, deployment: Deployment, manager: Manager, told: Told) -> None:
        self._deployment, self._manager, self._told = deployment, manager, told
        self._since = dict[tuple[int, str], float]()
        self._limit = manager.settings["family_info"]["bare"] / 1e6 + SLACK_SECONDS
        self._late = 0.0  # the longest delay of these checks, which is added to the limit
        self.breaches, self._reported = list[str](), set[tuple[int, str]]()

    async def run(self) -> None:
        deployment, last = self._deployment, self._deployment.now()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = deployment.now()
            self._late, last = max(self._late, now - last - CHECK_SECONDS), now
            warm = self._told.warm_ready(time.time() * 1000)
            for proxy in deployment.proxies:
                for product in proxy.tables:
                    key = proxy.number, product
                    open_warm = [name for name in warm if deployment.may_serve(proxy, product, name)]
                    joined = proxy.joined_at >= 0 and proxy.manager is self._manager
                    if not joined or proxy.usable(product) or not open_warm or not proxy.levels[product]:
                        self._since.pop(key, None)
                        continue
                    first = max(now, proxy.joined_at, self._manager.ready_at + FIRST_SECONDS)
                    since = self._since.setdefault(key, first)
                    if now - since > self._limit + self._late and key not in self._reported:
                        self._reported.add(key)
                        self.breaches.append(
                            f"second {now:.1f}: proxy {proxy.number} has had no line to pick for {product} "
                            f"for {now - since:.1f} s, while {sorted(open_warm)} are listed ready and warm"
                        )


class DrainJudge:
    """Rule 3, safe drain: what joined proxies send more than the grace after the manager was told."""

    def __init__(self, deployment: Deployment, manager: Manager, told: Told) -> None:
        self._deployment, self._manager, self._told = deployment, manager, told
        self._limit = manager.settings["guarantees"]["drain_grace"] / 1e6 + SLACK_SECONDS
        self.breaches = list[str]()
        deployment.on_sent.append(self._sent)

    def _sent(self, proxy: Any, product: str, name: str) -> None:
        if name not in self._told.left_at or proxy.joined_at < 0 or proxy.manager is not self._manager:
            return
        first = self._manager.ready_at + FIRST_SECONDS
        late = self._deployment.now() - max(self._told.left_at[name], proxy.joined_at, first)
        if late > self._limit:
            self.breaches.append(
                f"second {self._deployment.now():.1f}: proxy {proxy.number} sent {product} to {name}, "
                f"{late:.2f} s after the manager was told that it is {self._told.states[name]}"
            )


class ColdJudge:
    """Rule 4, safe fail-back: the workers' own capacity, and what pushes a cold one over.

    A worker has `capacity` core-seconds a second when it is warm. A cold one begins at `cold_from` of that,
    and grows evenly to all of it over `cold`. If the work sent to it over any window of `overload_for`
    exceeds `overload_factor` times what it can do in that window, and a slack, it falls over and stays down.
    That breaks the rule if two thirds of the work came from proxies whose last message was sent with
    knowledge of the start, or whose manager had known of the start for the grace.
    """

    SLACK_SHARE, SLACK_REQUESTS = 0.1, 2  # "a little slack for chance"

    def __init__(self, deployment: Deployment, told: Told, capacity: float, work: float) -> None:
        guarantees = deployment.settings["guarantees"]
        self._deployment, self._told, self._capacity, self._work = deployment, told, capacity, work
        self._from, self._cold = guarantees["cold_from"], guarantees["cold"] / 1e6
        self._factor, self._window = guarantees["overload_factor"], guarantees["overload_for"] / 1e6
        self._grace = guarantees["drain_grace"] / 1e6
        self._sent = dict[str, list[tuple[float, float, bool]]]()  # time, work, whether it came knowingly
        self._starts, self._busy_until = dict[str, float](), dict[str, float]()
        self.breaches, self.fallen = list[str](), set[str]()

    def started_cold(self, name: str) -> None:
        """The worker's process starts now."""
        self._starts[name], self._sent[name] = self._deployment.now(), []
        self._busy_until.pop(name, None)

    def present_capacity(self, name: str) -> float:
        age = self._deployment.now() - self._starts.get(name, -self._cold)
        return self._capacity * min(1.0, self._from + (1 - self._from) * age / self._cold)

    def _mean_capacity(self, age_from: float, age_to: float) -> float:
        age = (age_from + age_to) / 2  # it grows evenly
        return self._capacity * min(1.0, self._from + (1 - self._from) * age / self._cold)

    def serve(self, name: str, product: str, number: int) -> float | None:
        """Takes one request of average work; returns the seconds until it is answered."""
        now = self._deployment.now()
        if name in self._starts and now < self._starts[name] + self._cold:
            self._check(name, now, number)
        done = max(now, self._busy_until.get(name, 0.0)) + self._work / self.present_capacity(name)
        if done > now + 8.0:  # the waiting room is full: turned away unseen
            return None
        self._busy_until[name] = done
        return done - now

    def _check(self, name: str, now: float, number: int) -> None:
        proxy = next(one for one in self._deployment.proxies if one.number == number)
        told_at = self._told.ready_at.get(name, now)
        knows = proxy.last_message_at > told_at or now - told_at >= self._grace
        sent = self._sent[name]
        sent.append((now, self._work, knows))
        recent = [one for one in sent if one[0] > now - self._window]
        total = sum(one[1] for one in recent)
        age = now - self._starts[name]
        capacity = self._mean_capacity(max(0.0, age - self._window), age)
        budget = self._factor * capacity * self._window
        allowed = (1 + self.SLACK_SHARE) * budget + self.SLACK_REQUESTS * self._work
        if total > allowed and name not in self.fallen:
            self.fallen.add(name)
            knowing = sum(one[1] for one in recent if one[2]) / total
            text = (
                f"second {now:.1f}: {name}, started {now - self._starts[name]:.1f} s ago, fell over: "
                f"{total:.2f} core-seconds in {self._window:g} s, where {budget:.2f} ({self._factor:g} times "
                f"its mean capacity of {capacity:.2f} then) are the limit; {knowing:.0%} of it came knowingly"
            )
            self._deployment.record.write("fallen", text=text.replace(" ", "_"))
            if knowing >= 2 / 3:
                self.breaches.append(text)
            self._deployment.spawn(self._deployment.workers[name].stop())
