"""What is answered to a question: a table of what the name is and what type is asked. Free of I/O.

The addresses of an answer are chosen by `split`; here is only what form they take, and what is said
where there are none.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

import attrs

from rushladder.dnsfront.messages import ANY_CLASS, IN, Answer, Question, Rcode, Record, Subnet, Type
from rushladder.dnsfront.zone import SERVERS, Kind, Place, Zone

HOST_TTL = 1  # s, of a server's own name: as short as an answer with a cold one
FIXED_TTL = 300  # s, of what the configuration says
LABEL = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?")


@attrs.frozen
class Target:
    """A server as an answer names it."""

    name: str
    address: str
    port: int
    weight: float


@attrs.frozen
class Selection:
    """What was chosen for one asker: servers, and for how long."""

    targets: Sequence[Target]
    ttl: int


@attrs.frozen
class PoolQuery:
    """A question that reached a pool: which one, and the bits of the client's subnet that told."""

    product: str
    region: str
    scope: int | None


class Regions:
    """Which region a client is in, by the prefixes that the configuration gives; the longest match counts."""

    def __init__(self, prefixes: Mapping[str, Sequence[str]], otherwise: str) -> None:
        self._otherwise = otherwise
        self._known: list[tuple[IPv4Network | IPv6Network, str]] = [
            (ip_network(prefix), region) for region, some in prefixes.items() for prefix in some
        ]
        self._known.sort(key=lambda one: -one[0].prefixlen)

    def of(self, address: str) -> str:
        where = ip_address(address.split("%")[0])
        return next((region for net, region in self._known if where in net), self._otherwise)

    def of_subnet(self, subnet: Subnet) -> tuple[str, int]:
        """The region, and how many bits of the subnet told. One wider than a prefix in it can't tell."""
        size = 4 if subnet.family == 1 else 16
        whole = ip_address(subnet.address.ljust(size, b"\0")[:size])
        for net, region in self._known:
            if whole in net and subnet.length >= net.prefixlen:
                return region, net.prefixlen
        return self._otherwise, 0


def label(name: str) -> str:
    """A server's name as a label, or empty where it can't be one."""
    return name.lower() if LABEL.fullmatch(name) else ""


class AnswerBuilder:
    """Answers to the questions of one zone. `choose` is asked for a pool's servers (and whether the answer
    tells their weights), `tells` for its TXT."""

    def __init__(
        self,
        zone: Zone,
        regions: Regions,
        mailbox: str,
        choose: Callable[[PoolQuery, bool], Selection | None],
        tells: Callable[[str, str], Sequence[str]],
        addresses: Mapping[str, str],
        serial: Callable[[], int],
        negative: Callable[[], int],
    ) -> None:
        self._zone, self._regions, self._mailbox = zone, regions, mailbox
        self._choose, self._tells, self._addresses = choose, tells, addresses
        self._serial, self._negative = serial, negative

    def screen(self, question: Question) -> Rcode | None:
        """What is wrong with a question before its name is looked at."""
        edns = question.edns
        if question.opcode != 0:
            return Rcode.NOTIMP
        if question.many != 1 or (edns is not None and edns.faulty):
            return Rcode.FORMERR
        if edns is not None and edns.version > 0:
            return Rcode.BADVERS
        if question.cls not in (IN, ANY_CLASS) or question.type in (Type.AXFR, Type.IXFR, Type.OPT):
            return Rcode.REFUSED
        return None

    def place(self, question: Question) -> Place:
        return self._zone.find(question.name, self._addresses)

    def answer(self, question: Question, place: Place, source: str) -> Answer:
        """The whole answer; `screen` found nothing wrong. source: the address that it came from."""
        subnet = question.edns.subnet if question.edns is not None else None
        region, scope = place.region, 0 if subnet is not None else None
        if place.kind in (Kind.POOL, Kind.SERVICE) and not region:
            if subnet is not None and subnet.length:
                region, scope = self._regions.of_subnet(subnet)
            else:
                region = self._regions.of(source)
        build = PLACES.get((place.kind, question.type)) or PLACES.get(
            (place.kind, None), AnswerBuilder._nothing
        )
        return build(self, question, place, PoolQuery(place.product, region, scope))

    # What the table names.

    def _outside(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        return Answer(Rcode.REFUSED, authoritative=False, scope=asked.scope)

    def _nxdomain(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        return Answer(Rcode.NXDOMAIN, authority=(self.soa(self._negative()),), scope=asked.scope)

    def _nothing(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        return Answer(Rcode.NOERROR, authority=(self.soa(self._negative()),), scope=asked.scope)

    def _any(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        """RFC 8482: one record that says that not all are given."""
        return Answer(
            Rcode.NOERROR,
            (Record(question.name, Type.HINFO, FIXED_TTL, ("RFC8482", "")),),
            scope=asked.scope,
        )

    def _apex_soa(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        return Answer(Rcode.NOERROR, (self.soa(FIXED_TTL),), scope=asked.scope)

    def _apex_ns(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        names = tuple(Record(question.name, Type.NS, FIXED_TTL, (host,)) for host in self._zone.hosts)
        glue = tuple(record for host in self._zone.hosts for record in self._glue(host))
        return Answer(Rcode.NOERROR, names, additional=glue, scope=asked.scope)

    def _host(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        found = tuple(one for one in self._glue(place.host) if one.type == question.type)
        return Answer(Rcode.NOERROR, found) if found else self._nothing(question, place, asked)

    def _server(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        found = _addresses(question.name, [self._addresses[place.host]], question.type, HOST_TTL)
        return Answer(Rcode.NOERROR, found) if found else self._nothing(question, place, asked)

    def _pool(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        chosen = self._choose(asked, False)
        if chosen is None:  # no plan, or nobody open: a resolver asks another name server then
            return Answer(Rcode.SERVFAIL, authoritative=False, scope=asked.scope)
        some = [target.address for target in chosen.targets]
        found = _addresses(question.name, some, question.type, chosen.ttl)
        if not found:
            return self._nothing(question, place, asked)
        return Answer(Rcode.NOERROR, found, scope=asked.scope)

    def _service(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        chosen = self._choose(asked, True)
        if chosen is None:
            return Answer(Rcode.SERVFAIL, authoritative=False, scope=asked.scope)
        named = [target for target in chosen.targets if label(target.name)]
        if not named:
            return self._nothing(question, place, asked)
        scale = 1000 / max(target.weight for target in named)
        records, more = list[Record](), list[Record]()
        for target in named:
            host = f"{label(target.name)}.{SERVERS}.{self._zone.apex}"
            data = (0, max(1, round(scale * target.weight)), target.port, host)
            records.append(Record(question.name, Type.SRV, chosen.ttl, data))
            for kind in (Type.A, Type.AAAA):
                more += _addresses(host, [target.address], kind, min(HOST_TTL, chosen.ttl))
        return Answer(Rcode.NOERROR, tuple(records), additional=tuple(more), scope=asked.scope)

    def _text(self, question: Question, place: Place, asked: PoolQuery) -> Answer:
        strings = self._tells(asked.product, asked.region)
        if not strings:
            return Answer(Rcode.SERVFAIL, authoritative=False, scope=asked.scope)
        return Answer(
            Rcode.NOERROR,
            (Record(question.name, Type.TXT, min(HOST_TTL, self._negative()), tuple(strings)),),
            scope=asked.scope,
        )

    def soa(self, ttl: int) -> Record:
        """RFC 2308: the last figure, and the record's own life, bound how long a no is kept."""
        first = next(iter(self._zone.hosts), self._zone.apex)
        data = (first, self._mailbox, self._serial(), 3600, 600, 86_400, self._negative())
        return Record(self._zone.apex, Type.SOA, ttl, data)

    def _glue(self, host: str) -> list[Record]:
        return [
            record
            for kind in (Type.A, Type.AAAA)
            for record in _addresses(host, self._zone.hosts.get(host, ()), kind, FIXED_TTL)
        ]


def _addresses(name: str, some: Sequence[str], kind: int, ttl: int) -> tuple[Record, ...]:
    return tuple(
        Record(name, Type(kind), ttl, (one,))
        for one in dict.fromkeys(some)
        if (kind == Type.AAAA) == (":" in one) and kind in (Type.A, Type.AAAA)
    )


Build = Callable[[AnswerBuilder, Question, Place, PoolQuery], Answer]
# What the name is, and the type asked (None: any other) -> what builds the answer.
PLACES: dict[tuple[Kind, int | None], Build] = {
    (Kind.OUTSIDE, None): AnswerBuilder._outside,
    (Kind.NOTHING, None): AnswerBuilder._nxdomain,
    (Kind.EMPTY, None): AnswerBuilder._nothing,
    (Kind.APEX, Type.SOA): AnswerBuilder._apex_soa,
    (Kind.APEX, Type.NS): AnswerBuilder._apex_ns,
    (Kind.HOST, Type.A): AnswerBuilder._host,
    (Kind.HOST, Type.AAAA): AnswerBuilder._host,
    (Kind.SERVER, Type.A): AnswerBuilder._server,
    (Kind.SERVER, Type.AAAA): AnswerBuilder._server,
    (Kind.POOL, Type.A): AnswerBuilder._pool,
    (Kind.POOL, Type.AAAA): AnswerBuilder._pool,
    (Kind.POOL, Type.TXT): AnswerBuilder._text,
    (Kind.SERVICE, Type.SRV): AnswerBuilder._service,
    (Kind.SERVICE, Type.TXT): AnswerBuilder._text,
    **{
        (kind, Type.ANY): AnswerBuilder._any
        for kind in Kind
        if kind not in (Kind.OUTSIDE, Kind.NOTHING, Kind.EMPTY)
    },
}
