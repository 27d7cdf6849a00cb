"""Stand-in caching resolvers and the clients behind them; a few resolvers bring most txns (Zipf's law).

Each resolver queries from an address of its own, caches answers for their TTL, and sends one query for all
clients that wait for it. Clients connect directly to the collectors of an answer, by the weights of its SRV
records.
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

from rushladder.runtime.endpoint import CommandSpec, CommandTable, Level, RuntimeFactory
from rushladder.runtime.grammar import Command
from rushladder.standins.load_generator import RequestProfile
from rushladder.standins.record import EventRecord

ANSWER_TIMEOUT = 0.3  # s to wait for an answer before the next name server is queried
MAX_QUERIES = 4  # queries per question: with two name servers, each is asked twice
CONNECT_TIMEOUT = 0.3


@attrs.define
class CachedAnswer:
    """A cached answer: collectors as (name, weight, address), its expiry, and the manager that gave it."""

    targets: list[tuple[str, int, str]]
    expires_at: float
    front: str


class Resolver(DatagramProtocol):
    """One caching resolver.

    fronts: name and port of each manager's DNS front, the nearest first.
    ignores: whether it keeps answers for ten times their TTL.
    """

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
        self._cache, self._waiting = (
            dict[str, CachedAnswer](),
            dict[str, list[Deferred[CachedAnswer | None]]](),
        )
        self._queries = dict[int, tuple[str, str]]()

    def resolve(self, product: str) -> Deferred[CachedAnswer | None]:
        """The cached or a new answer; None if no name server answers with a collector."""
        result: Deferred[CachedAnswer | None] = Deferred()
        cached = self._cache.get(product)
        if cached is not None and self._reactor.seconds() < cached.expires_at:
            result.callback(cached)
        elif product in self._waiting:
            self._waiting[product].append(result)
        else:
            self._waiting[product] = [result]
            self._query(product, 0)
        return result

    def _query(self, product: str, attempt: int) -> None:
        if product not in self._waiting:
            return
        if attempt >= MAX_QUERIES:
            self._record.log_event("unanswered", resolver=self.name, product=product)
            for waiter in self._waiting.pop(product):
                waiter.callback(None)
            return
        front, port = self._fronts[attempt % len(self._fronts)]
        query_id = self._random.randrange(65_536)
        self._queries[query_id] = product, front
        message: Any = dns.Message(id=query_id)
        message.queries = [dns.Query(f"_{product}._tcp.{self._region}.{self._zone}".encode(), dns.SRV)]
        transport: Any = self.transport
        transport.write(message.toStr(), ("127.0.0.1", port))
        self._reactor.callLater(ANSWER_TIMEOUT, self._query_again, product, attempt + 1, query_id)

    def _query_again(self, product: str, attempt: int, query_id: int) -> None:
        if self._queries.pop(query_id, None) is not None:
            self._query(product, attempt)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        message: Any = dns.Message()
        message.fromStr(datagram)
        product, front = self._queries.get(message.id, ("", ""))
        if product not in self._waiting or message.rCode or not message.answers:
            return  # unusable: the next name server is queried after ANSWER_TIMEOUT
        del self._queries[message.id]
        addresses = {
            bytes(record.name.name): record.payload.dottedQuad()
            for record in message.additional
            if record.type == dns.A
        }
        targets = [
            (
                record.payload.target.name.split(b".")[0].decode(),
                record.payload.weight,
                f"{addresses[bytes(record.payload.target.name)]}:{record.payload.port}",
            )
            for record in message.answers
        ]
        ttl = min(record.ttl for record in message.answers)
        lifetime = ttl * (10 if self.ignores else 1)
        cached = self._cache[product] = CachedAnswer(targets, self._reactor.seconds() + lifetime, front)
        self._record.log_event(
            "answered", resolver=self.name, product=product, front=front, ttl=ttl, names=targets
        )
        for waiter in self._waiting.pop(product):
            waiter.callback(cached)


class Population:
    """The clients behind the resolvers: `rate` txns per second, the k-th resolver's share proportional to
    1/k^zipf."""

    def __init__(
        self,
        profiles: Sequence[RequestProfile],
        resolvers: Sequence[Resolver],
        zipf: float,
        rate: float,
        random: Random,
        reactor: Any,
        record: EventRecord,
    ) -> None:
        self._profiles, self._resolvers, self._rate = list(profiles), list(resolvers), rate
        self._shares = [1.0 / (k + 1) ** zipf for k in range(len(resolvers))]
        self._random, self._reactor, self._record = random, reactor, record
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 64
        pool.retryAutomatically = False
        self._agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT, pool=pool)
        self.stopped, self._txn_count = False, 0

    def start(self) -> None:
        self._reactor.callLater(self._random.expovariate(self._rate), self._arrive)

    def _arrive(self) -> None:
        if self.stopped:
            return
        self.start()
        profile = self._random.choices(self._profiles, [profile.share for profile in self._profiles])[0]
        resolver = self._random.choices(self._resolvers, self._shares)[0]
        self._txn_count += 1
        work = profile.work * self._random.uniform(0.8, 1.2)
        Deferred.fromCoroutine(
            self._txn(profile, resolver, f"{resolver.name}-{profile.name}-{self._txn_count}", work)
        )

    async def _txn(self, profile: RequestProfile, resolver: Resolver, txn_id: str, work: float) -> None:
        started = self._reactor.seconds()
        deadline = started + profile.expiry
        self._record.log_event("ask", id=txn_id, product=profile.name)
        code, tried = 503, set[str]()
        # A client tries a second target only if the txn may be repeated and an untried target is left.
        for attempt in range(2 if profile.repeats else 1):
            answer = await resolver.resolve(profile.name)
            untried = (
                [target for target in answer.targets if target[0] not in tried] if answer is not None else []
            )
            if answer is None or not untried or self._reactor.seconds() >= deadline:
                break
            server, _, address = self._random.choices(untried, [max(1, target[1]) for target in untried])[0]
            tried.add(server)
            self._record.log_event(
                "try",
                id=txn_id,
                product=profile.name,
                server=server,
                number=attempt + 1,
                resolver=resolver.name,
                front=answer.front,
                ignores=resolver.ignores,
                region=resolver._region,
            )
            code = await self._attempt(profile, txn_id, work, address, deadline)
            if code < 500:
                break
        duration = round(self._reactor.seconds() - started, 4)
        self._record.log_event("told", id=txn_id, product=profile.name, code=code, took=duration)

    async def _attempt(
        self, profile: RequestProfile, txn_id: str, work: float, address: str, deadline: float
    ) -> int:
        time_left = deadline - self._reactor.seconds()
        url = f"http://{address}/{profile.name}/{txn_id}?work={1000 * work:.1f}&left={1000 * time_left:.1f}"
        try:
            request: Deferred[Any] = self._agent.request(b"GET", url.encode())
            response = await request.addTimeout(time_left, self._reactor)
            body: Deferred[Any] = client.readBody(response)
            await body.addTimeout(max(0.01, deadline - self._reactor.seconds()), self._reactor)
            return int(response.code)
        except Exception:  # refused, broken or too late: clients don't distinguish them
            return 599


def serve(config: dict[str, Any], reactor: Any, record: EventRecord) -> None:
    """Runs a population of resolvers and its control socket.

    config: asks, many, zipf, rate, seed, region, zone, fronts, ignore, first (number of the first address),
    control.
    """
    random = Random(config["seed"])
    resolvers = list[Resolver]()
    for k in range(config["many"]):
        resolver = Resolver(
            f"{config['who']}-{k + 1}",
            config["region"],
            config["zone"],
            [(name, port) for name, port in config["fronts"]],
            k >= config["many"] - config["ignore"],
            random,
            reactor,
            record,
        )
        address_number = config["first"] + k
        reactor.listenUDP(
            0, resolver, interface=f"127.0.{2 + address_number // 250}.{1 + address_number % 250}"
        )
        resolvers.append(resolver)
    profiles = [RequestProfile(**fields) for fields in config["asks"]]
    population = Population(profiles, resolvers, config["zipf"], config["rate"], random, reactor, record)

    def stop(command: Command, level: Level) -> str:
        population.stopped = True
        return ""

    commands = CommandTable([CommandSpec(("stop",), Level.ADMIN, "stop", stop)])
    reactor.listenUNIX(config["control"], RuntimeFactory(commands, Level.ADMIN, reactor))
    population.start()
