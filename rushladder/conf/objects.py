"""What a configuration describes: one frozen object for each section, ids already turned into objects."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from rushladder.conf.grammar import Address
from rushladder.gateways.holding import PATIENCE, POLL, TAKEOVER
from rushladder.interface import Channel, Guarantee, LevelUnit, Product
from rushladder.runtime.endpoint import Level


@attrs.frozen
class LogSettings:
    """How the log is written: `json` or `console`, and the least level."""

    format: str = "json"
    level: str = "info"


@attrs.frozen
class Identity:
    """Who this manager is: its name, its number among all managers in the order of their names, its
    region."""

    name: str
    number: int
    region: str
    seed: int


@attrs.frozen
class GatewayConfig:
    """Where a gateway's runtime socket is, and what usually comes to it (txns a second)."""

    name: str
    region: str
    address: Address
    usual_rate: float


@attrs.frozen
class CollectorConfig:
    """A collector as first listed. limit: txns a second from this manager's gateways; 0: none stated."""

    name: str
    region: str
    model: str
    size: float
    address: Address
    cell: int = 0
    limit: float = 0.0
    connections: int = 0
    reports_from: str = ""  # the address that its load reports come from
    token: bytes = b""
    agent: Address | None = None  # where it answers agent checks


@attrs.frozen
class PeerConfig:
    name: str
    number: int
    address: Address


@attrs.frozen
class DnsConfig:
    """The zone that this manager answers for. hosts: name servers' names and addresses; named: servers of an
    answer, at least; usual: txns a second of DNS clients; by_load: the split follows load, not answers;
    clients: the prefixes of each region's clients."""

    apex: str
    address: Address
    hosts: Mapping[str, Sequence[str]]
    mailbox: str
    min_servers: int = 2
    usual_rate: float = 10.0
    secret: bytes = b""
    split_by_load: bool = True
    clients: Mapping[str, Sequence[str]] = attrs.field(factory=dict)


@attrs.frozen
class Listener:
    """A socket of the manager's own: the runtime API at a level, or where peers' words arrive."""

    name: str
    address: Address
    level: Level


@attrs.frozen
class Holding:
    """The times of holding a gateway, in tenths of a millisecond.

    poll: between two readings of a gateway; takeover: silence of a holder after which another claims;
    patience: for one answer of a gateway.
    """

    poll: int = POLL
    takeover: int = TAKEOVER
    patience: int = PATIENCE


@attrs.frozen
class ManagerConfig:
    """A whole configuration."""

    log: LogSettings
    identity: Identity
    regions: tuple[str, ...]
    products: tuple[Product, ...]
    channel: Channel
    guarantee: Guarantee
    level_unit: LevelUnit
    may_probe: bool
    holding: Holding
    list_file: str
    blind: bool  # load reports are taken at their word; for measuring
    guard: str  # on, no-waves (admission only) or off; the last two are for measuring
    gateways: tuple[GatewayConfig, ...]
    collectors: tuple[CollectorConfig, ...]
    peers: tuple[PeerConfig, ...]
    peer_listener: Address | None
    listeners: tuple[Listener, ...]
    report_listeners: tuple[tuple[str, Address], ...] = ()  # `udp` or `tcp`, and where
    dns: DnsConfig | None = None
    memory: str = ""  # the folder where what was learned is kept
