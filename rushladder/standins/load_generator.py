"""Clients: txns by chance at a rate, each with its SLA time and expiry, some of which come again."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.web import client

from rushladder.runtime.endpoint import Level, RuntimeFactory, CommandSpec, CommandTable
from rushladder.runtime.grammar import Command
from rushladder.standins.event_record import EventRecord

NOTICE = 1.6  # s for which the front layer goes on sending to a dead gateway: the least the brief names


@attrs.frozen
class RequestProfile:
    """A product as clients ask for it: its part of all txns, work in seconds, expiry, and whether it may
    be repeated."""

    name: str
    share: float
    work: float
    expiry: float
    repeats: bool


class LoadGenerator:
    """`gateways`: name and port. All randomness comes from one seed."""

    def __init__(
        self,
        asks: Sequence[RequestProfile],
        gateways: Sequence[tuple[str, int]],
        rate: float,
        seed: int,
        reactor: Any,
        record: EventRecord,
    ) -> None:
        self._asks, self._gateways, self._rate = list(asks), list(gateways), rate
        self._random, self._reactor, self._record = Random(seed), reactor, record
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 64
        pool.retryAutomatically = False
        self._agent = client.Agent(reactor, connectTimeout=0.5, pool=pool)
        self.factor, self.heavy, self.patience = (
            dict.fromkeys((ask.name for ask in asks), 1.0),
            (0.0, 1.0),
            1.0,
        )
        self.hot = ("-", 0.0)  # a gateway that takes a part of all txns beside its share
        self._number, self._dead = 0, dict[str, float]()
        self.stopped = False

    def start(self) -> None:
        self._next()

    def _next(self) -> None:
        whole = sum(ask.share * self.factor[ask.name] for ask in self._asks)
        total = sum(ask.share for ask in self._asks)
        self._reactor.callLater(self._random.expovariate(self._rate * whole / total), self._come)

    def _come(self) -> None:
        if self.stopped:
            return
        self._next()
        ask = self._random.choices(self._asks, [ask.share * self.factor[ask.name] for ask in self._asks])[0]
        self._number += 1
        part, times = self.heavy
        work = ask.work * self._random.uniform(0.8, 1.2) * (times if self._random.random() < part else 1.0)
        Deferred.fromCoroutine(self._txn(ask, f"{ask.name}-{self._number}", work))

    async def _txn(self, ask: RequestProfile, name: str, work: float) -> None:
        began = self._reactor.seconds()
        until = began + ask.expiry * self.patience
        self._record.log_event("ask", id=name, product=ask.name)
        for turn in range(2):
            code = await self._once(ask, name, work, until)
            if code < 400 or turn or not (ask.repeats or code == 429):
                break
            wait = self._random.uniform(0.06, 0.48)
            if self._reactor.seconds() + wait >= until:
                break
            waited: Deferred[None] = Deferred()
            self._reactor.callLater(wait, waited.callback, None)
            await waited
        self._record.log_event(
            "told", id=name, product=ask.name, code=code, took=round(self._reactor.seconds() - began, 4)
        )

    async def _once(self, ask: RequestProfile, name: str, work: float, until: float) -> int:
        now = self._reactor.seconds()
        some = [one for one in self._gateways if not 0 < self._dead.get(one[0], 0) <= now - NOTICE]
        gateway, port = self._random.choice(some or self._gateways)
        if self._random.random() < self.hot[1]:
            gateway, port = next((one for one in some if one[0] == self.hot[0]), (gateway, port))
        left = until - now
        url = f"http://127.0.0.1:{port}/{ask.name}/{name}?work={1000 * work:.1f}&left={1000 * left:.1f}"
        try:
            asked: Deferred[Any] = self._agent.request(b"GET", url.encode())
            response = await asked.addTimeout(left, self._reactor)
            reading: Deferred[Any] = client.readBody(response)
            await reading.addTimeout(max(0.01, until - self._reactor.seconds()), self._reactor)
            self._dead.pop(gateway, None)
            return int(response.code)
        except Exception:  # refused, broken or too late: all the same to a client
            self._dead.setdefault(gateway, now)
            if now - self._dead[gateway] > NOTICE + 1:
                self._dead[gateway] = now  # looked at again once a second or so
            return 599


def verbs(load: LoadGenerator) -> CommandTable:
    def factor(command: Command, level: Level) -> str:
        for name in load.factor if command.words[1] == "all" else (command.words[1],):
            load.factor[name] = float(command.words[2])
        return ""

    def heavy(command: Command, level: Level) -> str:
        load.heavy = float(command.words[1]), float(command.words[2])
        return ""

    def patience(command: Command, level: Level) -> str:
        load.patience = float(command.words[1])
        return ""

    def hot(command: Command, level: Level) -> str:
        load.hot = command.words[1], float(command.words[2])
        return ""

    def stop(command: Command, level: Level) -> str:
        load.stopped = True
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


def serve(load: LoadGenerator, reactor: Any, control: str) -> None:
    reactor.listenUNIX(control, RuntimeFactory(verbs(load), Level.ADMIN, reactor))
    load.start()
