"""The parsed configuration: one frozen class for each kind of section, with references resolved."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from rushladder.conf.grammar import Address
from rushladder.gateways.election import ANSWER_TIMEOUT, POLL_INTERVAL, TAKEOVER_TIMEOUT
from rushladder.interface import Channel, Guarantee, LevelUnit, Product
from rushladder.runtime.endpoint import Level


@attrs.frozen
class LogSettings:
    """How the log is written: its format (`json` or `console`) and its lowest level."""

    format: str = "json"
    level: str = "info"


@attrs.frozen
class Identity:
    """The manager itself. number: its index among all managers, sorted by name."""

    name: str
    number: int
    region: str
    seed: int


@attrs.frozen
class GatewayConfig:
    """A gateway: the address of its runtime socket, and the txns per second it usually receives."""

    name: str
    region: str
    address: Address
    usual_rate: float


@attrs.frozen
class CollectorConfig:
    """A collector as first listed. limit: txns per second from this manager's gateways; 0: not set."""

    name: str
    region: str
    model: str
    size: float
    address: Address
    cell: int = 0
    limit: float = 0.0
    connections: int = 0
    reports_from: str = ""  # the source address of its load reports
    token: bytes = b""
    agent: Address | None = None  # where it answers agent checks


@attrs.frozen
class PeerConfig:
    """Another manager, and where its peer messages are received."""

    name: str
    number: int
    address: Address


@attrs.frozen
class DnsConfig:
    """The DNS zone that this manager serves.

    hosts: names and addresses of its name servers; min_servers: servers in an answer, at least; usual_rate:
    txns per second of DNS clients; split_by_load: resolvers count by their estimated traffic, otherwise all
    count the same; clients: the network prefixes of each region's clients.
    """

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
    """A socket on which the manager serves its runtime API, at a level."""

    name: str
    address: Address
    level: Level


@attrs.frozen
class HoldingTimes:
    """Durations for holding a gateway, in tenths of a millisecond.

    poll_interval: between two reads of a gateway's state; takeover_timeout: how long a holder must be silent
    before another manager claims the gateway; answer_timeout: for one answer of a gateway.
    """

    poll_interval: int = POLL_INTERVAL
    takeover_timeout: int = TAKEOVER_TIMEOUT
    answer_timeout: int = ANSWER_TIMEOUT


@attrs.frozen
class ManagerConfig:
    """The configuration of a manager."""

    log: LogSettings
    identity: Identity
    regions: tuple[str, ...]
    products: tuple[Product, ...]
    channel: Channel
    guarantee: Guarantee
    level_unit: LevelUnit
    may_probe: bool
    holding: HoldingTimes
    list_file: str
    trust_reports: bool  # load reports are trusted unconditionally; for measurements only
    guard: str  # on, no-waves (admission only) or off; the last two are for measurements only
    gateways: tuple[GatewayConfig, ...]
    collectors: tuple[CollectorConfig, ...]
    peers: tuple[PeerConfig, ...]
    peer_listener: Address | None
    listeners: tuple[Listener, ...]
    report_listeners: tuple[tuple[str, Address], ...] = ()  # `udp` or `tcp`, and the address
    dns: DnsConfig | None = None
    memory: str = ""  # folder of the store with the learned state
