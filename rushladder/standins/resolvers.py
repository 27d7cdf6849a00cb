"""A population of caching resolvers and the clients behind them: a few bring most of the txns (Zipf's law).

Each resolver asks from an address of its own, keeps answers for their life, and asks once for all who wait.
Clients go straight to the collectors that they were told of, by the weights of the SRV records.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol
from twisted.names import dns
from twisted.web import client

from rushladder.runtime.endpoint import Level, RuntimeFactory, CommandSpec, CommandTable
from rushladder.runtime.grammar import Command
from rushladder.standins.load_generator import RequestProfile
from rushladder.standins.event_record import EventRecord

PATIENCE = 0.3  # s for an answer before the next name server is asked
TURNS = 4  # name servers asked for one question: each of two twice
CONNECT_MOST = 0.3


@attrs.define
class Kept:
    """An answer: collectors with their weights and addresses, until when, and who gave it."""

    targets: list[tuple[str, int, str]]
    until: float
    front: str


class Resolver(DatagramProtocol):
    """fronts: name and port of each manager, the nearest first. ignores: keeps answers ten times as long."""

    def __init__(
        self,
        name: str,
        region: str,
        zone: str,
        fronts: Sequence[tuple[str, int]],
        ignores: bool,
        random: Random,
        reactor: Any,
        record: EventRecord,
    ) -> None:
        self.name, self._region, self._zone, self._fronts = name, region, zone, list(fronts)
        self.ignores, self._random, self._reactor, self._record = ignores, random, reactor, record
        self._kept, self._asking = dict[str, Kept](), dict[str, list[Deferred[Kept | None]]]()
        self._sent = dict[int, tuple[str, str]]()

    def find(self, product: str) -> Deferred[Kept | None]:
        """What is kept, or what is answered; None if no name server names anyone."""
        found: Deferred[Kept | None] = Deferred()
        kept = self._kept.get(product)
        if kept is not None and self._reactor.seconds() < kept.until:
            found.callback(kept)
        elif product in self._asking:
            self._asking[product].append(found)
        else:
            self._asking[product] = [found]
            self._ask(product, 0)
        return found

    def _ask(self, product: str, turn: int) -> None:
        if product not in self._asking:
            return
        if turn >= TURNS:
            self._record.log_event("unanswered", resolver=self.name, product=product)
            for waiting in self._asking.pop(product):
                waiting.callback(None)
            return
        front, port = self._fronts[turn % len(self._fronts)]
        number = self._random.randrange(65_536)
        self._sent[number] = product, front
        message: Any = dns.Message(id=number)
        message.queries = [dns.Query(f"_{product}._tcp.{self._region}.{self._zone}".encode(), dns.SRV)]
        wire: Any = self.transport
        wire.write(message.toStr(), ("127.0.0.1", port))
        self._reactor.callLater(PATIENCE, self._ask_again, product, turn + 1, number)

    def _ask_again(self, product: str, turn: int, number: int) -> None:
        if self._sent.pop(number, None) is not None:
            self._ask(product, turn)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        message: Any = dns.Message()
        message.fromStr(datagram)
        product, front = self._sent.get(message.id, ("", ""))
        if product not in self._asking or message.rCode or not message.answers:
            return  # no answer that helps: the next is asked when patience ends
        del self._sent[message.id]
        where = {bytes(r.name.name): r.payload.dottedQuad() for r in message.additional if r.type == dns.A}
        targets = [
            (
                r.payload.target.name.split(b".")[0].decode(),
                r.payload.weight,
                f"{where[bytes(r.payload.target.name)]}:{r.payload.port}",
            )
            for r in message.answers
        ]
        ttl = min(r.ttl for r in message.answers)
        life = ttl * (10 if self.ignores else 1)
        kept = self._kept[product] = Kept(targets, self._reactor.seconds() + life, front)
        self._record.log_event(
            "answered", resolver=self.name, product=product, front=front, ttl=ttl, names=targets
        )
        for waiting in self._asking.pop(product):
            waiting.callback(kept)


class Population:
    """`many` resolvers, the k-th of which brings a part like 1/k^zipf of `rate` txns a second."""

    def __init__(
        self,
        asks: Sequence[RequestProfile],
        resolvers: Sequence[Resolver],
        zipf: float,
        rate: float,
        random: Random,
        reactor: Any,
        record: EventRecord,
    ) -> None:
        self._asks, self._resolvers, self._rate = list(asks), list(resolvers), rate
        self._parts = [1.0 / (k + 1) ** zipf for k in range(len(resolvers))]
        self._random, self._reactor, self._record = random, reactor, record
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 64
        pool.retryAutomatically = False
        self._agent = client.Agent(reactor, connectTimeout=CONNECT_MOST, pool=pool)
        self.stopped, self._number = False, 0

    def start(self) -> None:
        self._reactor.callLater(self._random.expovariate(self._rate), self._come)

    def _come(self) -> None:
        if self.stopped:
            return
        self.start()
        ask = self._random.choices(self._asks, [ask.share for ask in self._asks])[0]
        resolver = self._random.choices(self._resolvers, self._parts)[0]
        self._number += 1
        work = ask.work * self._random.uniform(0.8, 1.2)
        Deferred.fromCoroutine(self._txn(ask, resolver, f"{resolver.name}-{ask.name}-{self._number}", work))

    async def _txn(self, ask: RequestProfile, resolver: Resolver, name: str, work: float) -> None:
        began = self._reactor.seconds()
        until = began + ask.expiry
        self._record.log_event("ask", id=name, product=ask.name)
        code, tried = 503, set[str]()
        # A client tries a second target only where the first may be repeated, and there is one.
        for turn in range(2 if ask.repeats else 1):
            kept = await resolver.find(ask.name)
            some = [one for one in kept.targets if one[0] not in tried] if kept is not None else []
            if kept is None or not some or self._reactor.seconds() >= until:
                break
            server, _, address = self._random.choices(some, [max(1, one[1]) for one in some])[0]
            tried.add(server)
            self._record.log_event(
                "try",
                id=name,
                product=ask.name,
                server=server,
                number=turn + 1,
                resolver=resolver.name,
                front=kept.front,
                ignores=resolver.ignores,
                region=resolver._region,
            )
            code = await self._once(ask, name, work, address, until)
            if code < 500:
                break
        took = round(self._reactor.seconds() - began, 4)
        self._record.log_event("told", id=name, product=ask.name, code=code, took=took)

    async def _once(self, ask: RequestProfile, name: str, work: float, address: str, until: float) -> int:
        left = until - self._reactor.seconds()
        url = f"http://{address}/{ask.name}/{name}?work={1000 * work:.1f}&left={1000 * left:.1f}"
        try:
            asked: Deferred[Any] = self._agent.request(b"GET", url.encode())
            response = await asked.addTimeout(left, self._reactor)
            reading: Deferred[Any] = client.readBody(response)
            await reading.addTimeout(max(0.01, until - self._reactor.seconds()), self._reactor)
            return int(response.code)
        except Exception:  # refused, broken or too late: all the same to a client
            return 599


def serve(what: dict[str, Any], reactor: Any, record: EventRecord) -> None:
    """what: asks, many, zipf, rate, seed, region, zone, fronts, ignore, first (of the addresses), control."""
    random = Random(what["seed"])
    resolvers = list[Resolver]()
    for k in range(what["many"]):
        resolver = Resolver(
            f"{what['who']}-{k + 1}",
            what["region"],
            what["zone"],
            [(name, port) for name, port in what["fronts"]],
            k >= what["many"] - what["ignore"],
            random,
            reactor,
            record,
        )
        place = what["first"] + k
        reactor.listenUDP(0, resolver, interface=f"127.0.{2 + place // 250}.{1 + place % 250}")
        resolvers.append(resolver)
    asks = [RequestProfile(**ask) for ask in what["asks"]]
    population = Population(asks, resolvers, what["zipf"], what["rate"], random, reactor, record)

    def stop(command: Command, level: Level) -> str:
        population.stopped = True
        return ""

    verbs = CommandTable([CommandSpec(("stop",), Level.ADMIN, "stop", stop)])
    reactor.listenUNIX(what["control"], RuntimeFactory(verbs, Level.ADMIN, reactor))
    population.start()
