"""The names of the zone and what each stands for, without I/O.

ZONE                        SOA, NS
PRODUCT.ZONE                A, AAAA, TXT: the pool of the client's region
PRODUCT.REGION.ZONE         the pool of that region
_PRODUCT._tcp[.REGION].ZONE SRV
SERVER.servers.ZONE         A, AAAA: one server, the target of an SRV record
NS names of the zone        A, AAAA
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum, auto

import attrs

SERVERS_LABEL = "servers"


class NodeKind(Enum):
    """Kinds of names. EMPTY_NON_TERMINAL: no records at this name, but names below it exist (RFC 8499)."""

    APEX = auto()
    POOL = auto()
    SERVICE = auto()
    NAME_SERVER = auto()
    SERVER = auto()
    EMPTY_NON_TERMINAL = auto()
    NONEXISTENT = auto()
    OUT_OF_ZONE = auto()


@attrs.frozen
class Node:
    """What a name stands for. region: empty if the client's region is used."""

    kind: NodeKind
    product: str = ""
    region: str = ""
    host: str = ""


class Zone:
    """The zone's tree of names.

    apex: lower case, without the trailing dot. hosts: names of the name servers and their addresses.
    """

    def __init__(
        self, apex: str, products: Sequence[str], regions: Sequence[str], hosts: Mapping[str, Sequence[str]]
    ) -> None:
        self.apex, self.hosts = apex, {name.lower(): tuple(addresses) for name, addresses in hosts.items()}
        self._products = {product.lower(): product for product in products}
        self._regions = {region.lower(): region for region in regions}
        self._nodes = {
            apex: Node(NodeKind.APEX),
            f"{SERVERS_LABEL}.{apex}": Node(NodeKind.EMPTY_NON_TERMINAL),
        }
        self._nodes[f"_tcp.{apex}"] = Node(NodeKind.EMPTY_NON_TERMINAL)
        for label in self._regions:
            self._nodes[f"{label}.{apex}"] = self._nodes[f"_tcp.{label}.{apex}"] = Node(
                NodeKind.EMPTY_NON_TERMINAL
            )
        for label, product in self._products.items():
            for suffix, region in (("", ""), *((f".{low}", name) for low, name in self._regions.items())):
                self._nodes[f"{label}{suffix}.{apex}"] = Node(NodeKind.POOL, product, region)
                self._nodes[f"_{label}._tcp{suffix}.{apex}"] = Node(NodeKind.SERVICE, product, region)
        for name in self.hosts:
            if name.endswith("." + apex):
                self._nodes[name] = Node(NodeKind.NAME_SERVER, host=name)
                parent = name.partition(".")[2]
                while parent != apex:
                    self._nodes.setdefault(parent, Node(NodeKind.EMPTY_NON_TERMINAL))
                    parent = parent.partition(".")[2]

    def find(self, name: str, servers: Mapping[str, object]) -> Node:
        """Looks up a name in lower case. servers: the servers listed now, by name in lower case."""
        if name in self._nodes:
            return self._nodes[name]
        if not name.endswith("." + self.apex):
            return Node(NodeKind.OUT_OF_ZONE)
        host, _, rest = name.partition(".")
        if rest == f"{SERVERS_LABEL}.{self.apex}" and host in servers:
            return Node(NodeKind.SERVER, host=host)
        return Node(NodeKind.NONEXISTENT)
