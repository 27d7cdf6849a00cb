"""Builds the answer to a query from the kind of its name and its type, without I/O.

The servers of an answer are chosen by `server_selection`; this module turns them into records, and builds the
negative answers.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

import attrs

from rushladder.dnsfront.messages import ANY_CLASS, IN, Answer, Query, Rcode, Record, Subnet, Type
from rushladder.dnsfront.zone import SERVERS_LABEL, Node, NodeKind, Zone

SERVER_TTL = 1  # s, of the addresses of a server's own name: as short as the TTL for cold servers
STATIC_TTL = 300  # s, of records from the configuration
LABEL = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?")


@attrs.frozen
class Target:
    """A server with what its records need."""

    name: str
    address: str
    port: int
    weight: float


@attrs.frozen
class Selection:
    """The servers selected for an answer, and its TTL."""

    targets: Sequence[Target]
    ttl: int


@attrs.frozen
class PoolQuery:
    """A query for a pool. scope: prefix length of the client subnet that determined the region."""

    product: str
    region: str
    scope: int | None


class RegionMap:
    """Finds a client's region by the configured prefixes; the longest match wins."""

    def __init__(self, prefixes: Mapping[str, Sequence[str]], default: str) -> None:
        self._default = default
        self._networks: list[tuple[IPv4Network | IPv6Network, str]] = [
            (ip_network(prefix), region) for region, networks in prefixes.items() for prefix in networks
        ]
        self._networks.sort(key=lambda entry: -entry[0].prefixlen)

    def region_of(self, address: str) -> str:
        """Returns the region of an address."""
        client = ip_address(address.split("%")[0])
        return next((region for network, region in self._networks if client in network), self._default)

    def region_of_subnet(self, subnet: Subnet) -> tuple[str, int]:
        """Returns the region of a subnet and the scope prefix length of the answer.

        A configured prefix that is longer than the subnet does not match.
        """
        size = 4 if subnet.family == 1 else 16
        address = ip_address(subnet.address.ljust(size, b"\0")[:size])
        for network, region in self._networks:
            if address in network and subnet.length >= network.prefixlen:
                return region, network.prefixlen
        return self._default, 0


def dns_label(name: str) -> str:
    """Returns a server's name as a DNS label, or an empty string if it is not a valid one."""
    return name.lower() if LABEL.fullmatch(name) else ""


class AnswerBuilder:
    """Builds the answers of one zone.

    choose: selects servers for a query of a pool; its second argument says whether the answer has weights.
    pool_status: returns the TXT strings of a product and region. addresses: those of the servers, by label.
    """

    def __init__(
        self,
        zone: Zone,
        regions: RegionMap,
        mailbox: str,
        choose: Callable[[PoolQuery, bool], Selection | None],
        pool_status: Callable[[str, str], Sequence[str]],
        addresses: Mapping[str, str],
        serial: Callable[[], int],
        negative_ttl: Callable[[], int],
    ) -> None:
        self._zone, self._regions, self._mailbox = zone, regions, mailbox
        self._choose, self._pool_status, self._addresses = choose, pool_status, addresses
        self._serial, self._negative_ttl = serial, negative_ttl

    def check_query(self, query: Query) -> Rcode | None:
        """Returns the error code of a query that is rejected whatever its name, or None."""
        edns = query.edns
        if query.opcode != 0:
            return Rcode.NOTIMP
        if query.question_count != 1 or (edns is not None and edns.malformed):
            return Rcode.FORMERR
        if edns is not None and edns.version > 0:
            return Rcode.BADVERS
        if query.qclass not in (IN, ANY_CLASS) or query.qtype in (Type.AXFR, Type.IXFR, Type.OPT):
            return Rcode.REFUSED
        return None

    def find_node(self, query: Query) -> Node:
        return self._zone.find(query.name, self._addresses)

    def answer(self, query: Query, node: Node, source: str) -> Answer:
        """Builds the answer to a query that `check_query` accepted. source: the address of its sender."""
        subnet = query.edns.subnet if query.edns is not None else None
        region, scope = node.region, 0 if subnet is not None else None
        if node.kind in (NodeKind.POOL, NodeKind.SERVICE) and not region:
            if subnet is not None and subnet.length:
                region, scope = self._regions.region_of_subnet(subnet)
            else:
                region = self._regions.region_of(source)
        build = BUILDERS.get((node.kind, query.qtype)) or BUILDERS.get(
            (node.kind, None), AnswerBuilder._nodata
        )
        return build(self, query, node, PoolQuery(node.product, region, scope))

    # The functions in BUILDERS.

    def _out_of_zone(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        return Answer(Rcode.REFUSED, authoritative=False, scope=pool_query.scope)

    def _nxdomain(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        return Answer(Rcode.NXDOMAIN, authority=(self.soa(self._negative_ttl()),), scope=pool_query.scope)

    def _nodata(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        return Answer(Rcode.NOERROR, authority=(self.soa(self._negative_ttl()),), scope=pool_query.scope)

    def _any(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        """Answers a query of type ANY with a single HINFO record, as RFC 8482 allows."""
        return Answer(
            Rcode.NOERROR,
            (Record(query.name, Type.HINFO, STATIC_TTL, ("RFC8482", "")),),
            scope=pool_query.scope,
        )

    def _apex_soa(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        return Answer(Rcode.NOERROR, (self.soa(STATIC_TTL),), scope=pool_query.scope)

    def _apex_ns(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        names = tuple(Record(query.name, Type.NS, STATIC_TTL, (host,)) for host in self._zone.hosts)
        glue = tuple(record for host in self._zone.hosts for record in self._glue(host))
        return Answer(Rcode.NOERROR, names, additional=glue, scope=pool_query.scope)

    def _name_server(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        records = tuple(record for record in self._glue(node.host) if record.type == query.qtype)
        return Answer(Rcode.NOERROR, records) if records else self._nodata(query, node, pool_query)

    def _server(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        records = _address_records(query.name, [self._addresses[node.host]], query.qtype, SERVER_TTL)
        return Answer(Rcode.NOERROR, records) if records else self._nodata(query, node, pool_query)

    def _pool(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        selection = self._choose(pool_query, False)
        if selection is None:
            # No plan yet, or no server open: SERVFAIL makes resolvers try another name server.
            return Answer(Rcode.SERVFAIL, authoritative=False, scope=pool_query.scope)
        addresses = [target.address for target in selection.targets]
        records = _address_records(query.name, addresses, query.qtype, selection.ttl)
        if not records:
            return self._nodata(query, node, pool_query)
        return Answer(Rcode.NOERROR, records, scope=pool_query.scope)

    def _service(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        selection = self._choose(pool_query, True)
        if selection is None:
            return Answer(Rcode.SERVFAIL, authoritative=False, scope=pool_query.scope)
        targets = [target for target in selection.targets if dns_label(target.name)]
        if not targets:
            return self._nodata(query, node, pool_query)
        scale = 1000 / max(target.weight for target in targets)
        records, additional = list[Record](), list[Record]()
        for target in targets:
            host = f"{dns_label(target.name)}.{SERVERS_LABEL}.{self._zone.apex}"
            data = (0, max(1, round(scale * target.weight)), target.port, host)
            records.append(Record(query.name, Type.SRV, selection.ttl, data))
            for record_type in (Type.A, Type.AAAA):
                additional += _address_records(
                    host, [target.address], record_type, min(SERVER_TTL, selection.ttl)
                )
        return Answer(Rcode.NOERROR, tuple(records), additional=tuple(additional), scope=pool_query.scope)

    def _txt(self, query: Query, node: Node, pool_query: PoolQuery) -> Answer:
        strings = self._pool_status(pool_query.product, pool_query.region)
        if not strings:
            return Answer(Rcode.SERVFAIL, authoritative=False, scope=pool_query.scope)
        return Answer(
            Rcode.NOERROR,
            (Record(query.name, Type.TXT, min(SERVER_TTL, self._negative_ttl()), tuple(strings)),),
            scope=pool_query.scope,
        )

    def soa(self, ttl: int) -> Record:
        """Returns the SOA record. Its TTL and its last field limit negative caching (RFC 2308)."""
        primary = next(iter(self._zone.hosts), self._zone.apex)
        data = (primary, self._mailbox, self._serial(), 3600, 600, 86_400, self._negative_ttl())
        return Record(self._zone.apex, Type.SOA, ttl, data)

    def _glue(self, host: str) -> list[Record]:
        return [
            record
            for record_type in (Type.A, Type.AAAA)
            for record in _address_records(host, self._zone.hosts.get(host, ()), record_type, STATIC_TTL)
        ]


def _address_records(name: str, addresses: Sequence[str], record_type: int, ttl: int) -> tuple[Record, ...]:
    return tuple(
        Record(name, Type(record_type), ttl, (address,))
        for address in dict.fromkeys(addresses)
        if (record_type == Type.AAAA) == (":" in address) and record_type in (Type.A, Type.AAAA)
    )


Builder = Callable[[AnswerBuilder, Query, Node, PoolQuery], Answer]
# Maps the kind of a name and the query type (None: any other type) to the function that builds the answer.
BUILDERS: dict[tuple[NodeKind, int | None], Builder] = {
    (NodeKind.OUT_OF_ZONE, None): AnswerBuilder._out_of_zone,
    (NodeKind.NONEXISTENT, None): AnswerBuilder._nxdomain,
    (NodeKind.EMPTY_NON_TERMINAL, None): AnswerBuilder._nodata,
    (NodeKind.APEX, Type.SOA): AnswerBuilder._apex_soa,
    (NodeKind.APEX, Type.NS): AnswerBuilder._apex_ns,
    (NodeKind.NAME_SERVER, Type.A): AnswerBuilder._name_server,
    (NodeKind.NAME_SERVER, Type.AAAA): AnswerBuilder._name_server,
    (NodeKind.SERVER, Type.A): AnswerBuilder._server,
    (NodeKind.SERVER, Type.AAAA): AnswerBuilder._server,
    (NodeKind.POOL, Type.A): AnswerBuilder._pool,
    (NodeKind.POOL, Type.AAAA): AnswerBuilder._pool,
    (NodeKind.POOL, Type.TXT): AnswerBuilder._txt,
    (NodeKind.SERVICE, Type.SRV): AnswerBuilder._service,
    (NodeKind.SERVICE, Type.TXT): AnswerBuilder._txt,
    **{
        (kind, Type.ANY): AnswerBuilder._any
        for kind in NodeKind
        if kind not in (NodeKind.OUT_OF_ZONE, NodeKind.NONEXISTENT, NodeKind.EMPTY_NON_TERMINAL)
    },
}
