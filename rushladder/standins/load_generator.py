"""Stand-in clients: random txns at a given rate, each with an expiry, some of which are repeated."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.web import client

from rushladder.runtime.endpoint import CommandSpec, CommandTable, Level, RuntimeFactory
from rushladder.runtime.grammar import Command
from rushladder.standins.record import EventRecord

# s for which the layer in front of the gateways keeps sending to a dead one: the platform's shortest.
DEAD_GATEWAY_DELAY = 1.6


@attrs.frozen
class RequestProfile:
    """How clients request a product: its share of all txns, work and expiry in seconds, and whether clients
    may repeat a txn.

    Created from the JSON fields of the same names.
    """

    name: str
    share: float
    work: float
    expiry: float
    repeats: bool


class LoadGenerator:
    """Sends txns to gateways, given as name and port. All randomness comes from one seed."""

    def __init__(
        self,
        profiles: Sequence[RequestProfile],
        gateways: Sequence[tuple[str, int]],
        rate: float,
        seed: int,
        reactor: Any,
        record: EventRecord,
    ) -> None:
        self._profiles, self._gateways, self._rate = list(profiles), list(gateways), rate
        self._random, self._reactor, self._record = Random(seed), reactor, record
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 64
        pool.retryAutomatically = False
        self._agent = client.Agent(reactor, connectTimeout=0.5, pool=pool)
        self.factors, self.heavy, self.patience = (
            dict.fromkeys((profile.name for profile in profiles), 1.0),
            (0.0, 1.0),
            1.0,
        )
        self.hot = ("-", 0.0)  # a gateway, and the part of all txns that it gets on top of its share
        self._txn_count, self._dead_since = 0, dict[str, float]()
        self.stopped = False

    def start(self) -> None:
        self._schedule_next()

    def _schedule_next(self) -> None:
        current_share = sum(profile.share * self.factors[profile.name] for profile in self._profiles)
        base_share = sum(profile.share for profile in self._profiles)
        self._reactor.callLater(
            self._random.expovariate(self._rate * current_share / base_share), self._arrive
        )

    def _arrive(self) -> None:
        if self.stopped:
            return
        self._schedule_next()
        profile = self._random.choices(
            self._profiles, [profile.share * self.factors[profile.name] for profile in self._profiles]
        )[0]
        self._txn_count += 1
        heavy_share, work_multiple = self.heavy
        work = (
            profile.work
            * self._random.uniform(0.8, 1.2)
            * (work_multiple if self._random.random() < heavy_share else 1.0)
        )
        Deferred.fromCoroutine(self._txn(profile, f"{profile.name}-{self._txn_count}", work))

    async def _txn(self, profile: RequestProfile, txn_id: str, work: float) -> None:
        started = self._reactor.seconds()
        deadline = started + profile.expiry * self.patience
        self._record.log_event("ask", id=txn_id, product=profile.name)
        for attempt in range(2):
            code = await self._attempt(profile, txn_id, work, deadline)
            if code < 400 or attempt or not (profile.repeats or code == 429):
                break
            backoff = self._random.uniform(0.06, 0.48)
            if self._reactor.seconds() + backoff >= deadline:
                break
            delay: Deferred[None] = Deferred()
            self._reactor.callLater(backoff, delay.callback, None)
            await delay
        self._record.log_event(
            "told",
            id=txn_id,
            product=profile.name,
            code=code,
            took=round(self._reactor.seconds() - started, 4),
        )

    async def _attempt(self, profile: RequestProfile, txn_id: str, work: float, deadline: float) -> int:
        now = self._reactor.seconds()
        live = [
            candidate
            for candidate in self._gateways
            if not 0 < self._dead_since.get(candidate[0], 0) <= now - DEAD_GATEWAY_DELAY
        ]
        gateway, port = self._random.choice(live or self._gateways)
        if self._random.random() < self.hot[1]:
            gateway, port = next(
                (candidate for candidate in live if candidate[0] == self.hot[0]), (gateway, port)
            )
        left = deadline - now
        url = f"http://127.0.0.1:{port}/{profile.name}/{txn_id}?work={1000 * work:.1f}&left={1000 * left:.1f}"
        try:
            request: Deferred[Any] = self._agent.request(b"GET", url.encode())
            response = await request.addTimeout(left, self._reactor)
            body: Deferred[Any] = client.readBody(response)
            await body.addTimeout(max(0.01, deadline - self._reactor.seconds()), self._reactor)
            self._dead_since.pop(gateway, None)
            return int(response.code)
        except Exception:  # refused, broken or too late: clients don't distinguish them
            self._dead_since.setdefault(gateway, now)
            if now - self._dead_since[gateway] > DEAD_GATEWAY_DELAY + 1:
                self._dead_since[gateway] = now  # tried again about once a second
            return 599


def control_commands(generator: LoadGenerator) -> CommandTable:
    """The commands by which a trial changes the load."""

    def factor(command: Command, level: Level) -> str:
        for name in generator.factors if command.words[1] == "all" else (command.words[1],):
            generator.factors[name] = float(command.words[2])
        return ""

    def heavy(command: Command, level: Level) -> str:
        generator.heavy = float(command.words[1]), float(command.words[2])
        return ""

    def patience(command: Command, level: Level) -> str:
        generator.patience = float(command.words[1])
        return ""

    def hot(command: Command, level: Level) -> str:
        generator.hot = command.words[1], float(command.words[2])
        return ""

    def stop(command: Command, level: Level) -> str:
        generator.stopped = True
        return ""

    return CommandTable(
        [
            CommandSpec(("factor",), Level.ADMIN, "factor PRODUCT|all X", factor),
            CommandSpec(("heavy",), Level.ADMIN, "heavy PART TIMES", heavy),
            CommandSpec(("patience",), Level.ADMIN, "patience PART", patience),
            CommandSpec(("hot",), Level.ADMIN, "hot GATEWAY PART", hot),
            CommandSpec(("stop",), Level.ADMIN, "stop", stop),
        ]
    )


def serve(generator: LoadGenerator, reactor: Any, control: str) -> None:
    """Starts the load and its control socket."""
    reactor.listenUNIX(control, RuntimeFactory(control_commands(generator), Level.ADMIN, reactor))
    generator.start()
