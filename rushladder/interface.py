"""What a manager is told and what it may order, in the operators' words.

The decision module (`brain.py`) sees only these types; an adapter fills them from its own wire and carries
out the orders of `Host`. Nothing here chooses anything. Every time is in whole tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, Generic, Protocol, TypeVar


class Availability(IntEnum):
    """What the list says of a worker's process."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Idempotency(Enum):
    """Whether a txn may run again."""

    INQUIRY_LIKE = "inquiry-like"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Retry(IntEnum):
    """When a proxy tries another worker."""

    NEVER = 0
    UNSENT = 1
    ONCE = 2
    TWICE = 3


class LevelUnit(Enum):
    """What the figure of a gate means at the proxies."""

    RATIO = "ratio"
    RATE = "rate"
    IGNORED = "ignored"


class ListKind(IntEnum):
    """How a listing relates to what the manager already holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ProbeResult(IntEnum):
    """How a probe ended."""

    OK = 0
    ERROR = 255
    REJECTED = 254
    TIMED_OUT = 253
    UNREACHABLE = 252
    RESET = 251
    CANCELLED = 250
    OBSOLETE = 249


@dataclass(eq=False)
class Product:
    """A class of txn."""

    name: str
    sla_time: int
    expiry: int
    revenue: float
    late_revenue_fraction: float
    idempotency: Idempotency
    dedup_group: str  # "all", "zone" or "cell": the workers that drop a repeat of a referenced txn
    dedup_window: int  # for how long they drop it, from the first try that might have run
    writes: bool = False
    home_only: bool = False  # may go only to workers of the proxy's own zone
    models: frozenset[str] = frozenset()  # the only machine models it may go to; empty: any
    zones: frozenset[str] = frozenset()  # the only zones it may go to; empty: any

    def is_eligible(self, worker: Worker, zone: str) -> bool:
        """Whether it may go there from a proxy of that zone."""
        return (
            (not self.models or worker.model in self.models)
            and (not self.zones or worker.zone in self.zones)
            and (not self.home_only or worker.zone == zone)
        )


@dataclass(eq=False)
class Worker:
    """A server that answers txns. The decision module extends it with what it measures."""

    name: str
    zone: str
    model: str
    cell: int


@dataclass(eq=False)
class Proxy:
    """A plain proxy that has joined this manager. The decision module extends it likewise."""

    name: str
    zone: str
    usual_rate: float


W = TypeVar("W", bound=Worker)  # as the decision module extends them
P = TypeVar("P", bound=Proxy)


@dataclass(frozen=True)
class Channel:
    """The manager's channel to its proxies."""

    lines_per_s: float
    pending_max: float
    message_overhead: float  # lines that each message costs beside its own
    message_cap: int  # messages to one proxy within `cap_window`; 0: no such limit
    cap_window: int
    usual_delay: int
    max_delay: int


@dataclass(frozen=True)
class Guarantee:
    """The figures of the rules."""

    no_worker_limit: int
    drain_grace: int
    cold_time: int
    cold_from: float
    overload_factor: float
    overload_duration: int
    list_retry_within: int
    dropped_stay_open: bool


@dataclass(frozen=True)
class Entry(Generic[W]):
    """One line of the list of workers."""

    worker: W
    availability: Availability
    size: float
    started_at: int  # 0: long ago


# What a manager is told.


@dataclass(frozen=True)
class Listing(Generic[W]):
    kind: ListKind
    version: int
    entries: Sequence[Entry[W]] = ()


@dataclass(frozen=True)
class Reminder:
    token: int


@dataclass(frozen=True)
class Probed(Generic[W]):
    worker: W
    result: ProbeResult
    elapsed: int
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessage:
    peer: int
    data: bytes


@dataclass(frozen=True)
class Joined(Generic[P]):
    proxy: P
    initial_table_only: bool  # it holds only the table it drew at its start
    keeps_withdrawals: bool = (
        False  # workers that a former manager had it shut out stay so, though it is bound anew
    )


@dataclass(frozen=True)
class Left(Generic[P]):
    proxy: P


@dataclass(frozen=True)
class Tries(Generic[W]):
    """What the joined proxies of a zone met at a worker; `mean_latency` is that of the settled tries."""

    worker: W
    zone: str
    count: int
    voided: int
    span: int
    mean_latency: int
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class LearnedWorker(Generic[W]):
    """What is known of one worker: its speed and the part of its listed weight, over how many reports (as far
    as they still count), how long it stays out at a relapse, and until when. Times are the host's."""

    worker: W
    speed: float
    factor: float
    report_count: float
    exclusion_time: int = 0
    excluded_until: int = 0


@dataclass(frozen=True)
class LearnedState(Generic[W]):
    """What a manager knew before it was started anew, already faded by whoever kept it. `mix`: each product's
    part of the demand; empty where it counts for nothing."""

    workers: Sequence[LearnedWorker[W]]
    calm_latency: float
    mix: Mapping[Product, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Arrivals(Generic[P]):
    """The txns of a product that came to a proxy, repeats and declined ones too."""

    proxy: P
    product: Product
    count: int
    voided: int
    span: int


@dataclass(frozen=True)
class Applied(Generic[P]):
    proxy: P
    mark: int
    elapsed: int


@dataclass(frozen=True)
class SliceAssigned:
    slice: int
    assigned: bool


@dataclass(frozen=True)
class SliceLine(Generic[W]):
    slice: int
    worker: W
    weight: float


@dataclass(frozen=True)
class SliceArrivals:
    slice: int
    product: Product
    count: int
    voided: int
    span: int


Event = (
    Listing[Any]
    | Reminder
    | Probed[Any]
    | PeerMessage
    | Joined[Any]
    | Left[Any]
    | Tries[Any]
    | Arrivals[Any]
    | Applied[Any]
    | SliceAssigned
    | SliceLine[Any]
    | SliceArrivals
    | LearnedState[Any]
)


class Host(Protocol):
    """What a manager may order. All orders given while one batch of events is taken go out together."""

    def now(self) -> int: ...

    def set_weight(self, tbl: int, worker: Worker, weight: float) -> None: ...

    def clear_table(self, tbl: int) -> None: ...

    def bind(self, proxy: Proxy, tbl: int, products: Sequence[Product]) -> None: ...

    def set_withdrawn(self, worker: Worker, out: bool) -> None: ...

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        """Undoes what a former manager withdrew at this proxy."""

    def set_level(self, tbl: int | None, products: Sequence[Product], level: float, retry: Retry) -> None: ...

    def checkpoint(self, number: int, everyone: bool) -> None: ...

    def probe(self, worker: Worker) -> None: ...

    def send_to_peer(self, peer: int | None, data: bytes) -> None: ...

    def watch_list(self, on: bool) -> None: ...

    def request_list(self) -> None: ...

    def wake(self, after: int, token: int) -> None: ...

    def log(self, words: str) -> None: ...


@dataclass(frozen=True)
class Backlog:
    """What a manager still has to order. Times: tenths of a millisecond that the oldest has waited, or 0."""

    unbound: int  # proxies that joined and are not bound
    joiner_waited: int
    withdrawal_waited: int
    lines: int  # ordered, and not known to be applied
