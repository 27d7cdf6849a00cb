"""What each name of the zone stands for. Free of I/O.

ZONE                        SOA, NS
PRODUCT.ZONE                A, AAAA, TXT: the pool of the client's region
PRODUCT.REGION.ZONE         the pool of that region
_PRODUCT._tcp[.REGION].ZONE SRV
SERVER.servers.ZONE         A, AAAA: one server, the target of an SRV
NS names of the zone        A, AAAA
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum, auto

import attrs

SERVERS = "servers"


class Kind(Enum):
    APEX = auto()
    POOL = auto()
    SERVICE = auto()
    HOST = auto()
    SERVER = auto()
    EMPTY = auto()  # nothing stands here, but names below it do
    NOTHING = auto()
    OUTSIDE = auto()


@attrs.frozen
class Place:
    """What a name is. region: empty where the client's counts."""

    kind: Kind
    product: str = ""
    region: str = ""
    host: str = ""


class Zone:
    """apex: lower case, without the last dot. hosts: names of name servers and their addresses."""

    def __init__(
        self, apex: str, products: Sequence[str], regions: Sequence[str], hosts: Mapping[str, Sequence[str]]
    ) -> None:
        self.apex, self.hosts = apex, {name.lower(): tuple(some) for name, some in hosts.items()}
        self._products = {product.lower(): product for product in products}
        self._regions = {region.lower(): region for region in regions}
        self._fixed = {apex: Place(Kind.APEX), f"{SERVERS}.{apex}": Place(Kind.EMPTY)}
        self._fixed[f"_tcp.{apex}"] = Place(Kind.EMPTY)
        for low in self._regions:
            self._fixed[f"{low}.{apex}"] = self._fixed[f"_tcp.{low}.{apex}"] = Place(Kind.EMPTY)
        for low, product in self._products.items():
            for below, region in (("", ""), *((f".{one}", name) for one, name in self._regions.items())):
                self._fixed[f"{low}{below}.{apex}"] = Place(Kind.POOL, product, region)
                self._fixed[f"_{low}._tcp{below}.{apex}"] = Place(Kind.SERVICE, product, region)
        for name in self.hosts:
            if name.endswith("." + apex):
                self._fixed[name] = Place(Kind.HOST, host=name)
                parent = name.partition(".")[2]
                while parent != apex:
                    self._fixed.setdefault(parent, Place(Kind.EMPTY))
                    parent = parent.partition(".")[2]

    def find(self, name: str, servers: Mapping[str, object]) -> Place:
        """name: lower case. servers: the hosts that there are now, by lower-case name."""
        if name in self._fixed:
            return self._fixed[name]
        if not name.endswith("." + self.apex):
            return Place(Kind.OUTSIDE)
        host, _, rest = name.partition(".")
        if rest == f"{SERVERS}.{self.apex}" and host in servers:
            return Place(Kind.SERVER, host=host)
        return Place(Kind.NOTHING)
