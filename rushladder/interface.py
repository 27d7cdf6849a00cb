"""The events that a manager receives and the orders that it may give, in the operators' terms.

The decision module (`brain.py`) sees only these types. An adapter creates the events from its own protocol
and carries out the orders of `Host`. Nothing is decided here. Every time is in whole tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, Generic, Protocol, TypeVar


class Availability(IntEnum):
    """The state of a worker's process in the list."""

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
    """How proxies interpret the value of an admission level."""

    RATIO = "ratio"
    RATE = "rate"
    IGNORED = "ignored"


class ListKind(IntEnum):
    """How a listing relates to the one that the manager already has."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ProbeResult(IntEnum):
    """The outcome of a probe."""

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
        """Whether a proxy of `zone` may send this product's txns to the worker."""
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
    """A plain proxy that has joined this manager. The decision module extends it as it does a worker."""

    name: str
    zone: str
    usual_rate: float  # txns a second


W = TypeVar("W", bound=Worker)  # as the decision module extends them
P = TypeVar("P", bound=Proxy)


@dataclass(frozen=True)
class Channel:
    """The manager's channel to its proxies."""

    lines_per_s: float
    pending_max: float  # lines
    message_overhead: float  # lines that each message costs beside its own
    message_cap: int  # messages to one proxy within `cap_window`; 0: no such limit
    cap_window: int
    usual_delay: int
    max_delay: int


@dataclass(frozen=True)
class Guarantee:
    """The limits that the operators' rules set."""

    no_worker_limit: int  # for how long a proxy may be without a worker
    drain_grace: int
    cold_time: int
    cold_from: float  # the part of its capacity that a worker has as it starts
    overload_factor: float  # a cold worker fails when it gets this multiple of its capacity
    overload_duration: int  # over this time
    list_retry_within: int  # within this time a failed call for the list is to be made again
    dropped_stay_open: bool


@dataclass(frozen=True)
class Entry(Generic[W]):
    """One line of the list of workers."""

    worker: W
    availability: Availability
    size: float
    started_at: int  # 0: long ago


# Events.


@dataclass(frozen=True)
class Listing(Generic[W]):
    """A list of workers, or the failure to get one.

    waited: for how long it may have been told already, unread, because the process stood still.
    """

    kind: ListKind
    version: int
    entries: Sequence[Entry[W]] = ()
    waited: int = 0


@dataclass(frozen=True)
class Reminder:
    """A time that the manager asked for with `Host.wake` has come."""

    token: int


@dataclass(frozen=True)
class Probed(Generic[W]):
    """A probe has ended."""

    worker: W
    result: ProbeResult
    elapsed: int
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessage:
    """A message from another manager."""

    peer: int
    data: bytes


@dataclass(frozen=True)
class Joined(Generic[P]):
    """A proxy has joined this manager."""

    proxy: P
    initial_table_only: bool  # it has no table but the one that it got when it started
    keeps_withdrawals: bool = False  # they last until they are undone, though it is bound anew


@dataclass(frozen=True)
class Left(Generic[P]):
    """A proxy has left this manager, or its connection is lost."""

    proxy: P


@dataclass(frozen=True)
class Tries(Generic[W]):
    """The tries of a zone's joined proxies at a worker; `mean_latency` is that of the settled ones."""

    worker: W
    zone: str
    count: int
    voided: int
    span: int
    mean_latency: int
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class LearnedWorker(Generic[W]):
    """The estimates for one worker: its speed, the factor of its listed weight, over how many reports (as far
    as they still count), for how long it is excluded at a relapse, and until when. Times are the host's."""

    worker: W
    speed: float
    factor: float
    report_count: float
    exclusion_time: int = 0
    excluded_until: int = 0


@dataclass(frozen=True)
class LearnedState(Generic[W]):
    """The estimates of a manager before its restart, already faded by whoever stored them.

    mix: each product's part of the demand; empty if it no longer counts.
    """

    workers: Sequence[LearnedWorker[W]]
    calm_latency: float
    mix: Mapping[Product, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Arrivals(Generic[P]):
    """The txns of a product that came to a proxy, including repeats and declined ones."""

    proxy: P
    product: Product
    count: int
    voided: int
    span: int


@dataclass(frozen=True)
class Applied(Generic[P]):
    """A proxy has applied the message with this mark, and all before it."""

    proxy: P
    mark: int
    elapsed: int


@dataclass(frozen=True)
class SliceAssigned:
    """A slice now belongs to this manager, or no longer does."""

    slice: int
    assigned: bool


@dataclass(frozen=True)
class SliceLine(Generic[W]):
    """One line of a slice's table."""

    slice: int
    worker: W
    weight: float


@dataclass(frozen=True)
class SliceArrivals:
    """The txns of a product that came to a slice."""

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
    """The orders that a manager may give. All orders of one batch of events go out together."""

    def now(self) -> int:
        """The present time in tenths of a millisecond."""
        ...

    def set_weight(self, table_number: int, worker: Worker, weight: float) -> None:
        """Sets a line of a shared table; a weight of 0 removes it."""
        ...

    def clear_table(self, table_number: int) -> None:
        """Removes all lines and levels of a shared table."""
        ...

    def bind(self, proxy: Proxy, table_number: int, products: Sequence[Product]) -> None:
        """Makes the proxy use the table for these products."""
        ...

    def set_withdrawn(self, worker: Worker, withdrawn: bool) -> None:
        """Withdraws the worker from all tables, or undoes that."""
        ...

    def clear_stale_withdrawals(self, proxy: Proxy, workers: Sequence[Worker]) -> None:
        """Undoes withdrawals at this proxy that the manager does not know of."""

    def set_level(
        self, table_number: int | None, products: Sequence[Product], level: float, retry: Retry
    ) -> None:
        """Sets the admission level and the retries of products, in one table or (None) in all."""
        ...

    def checkpoint(self, mark: int, all_proxies: bool) -> None:
        """Marks the messages of this batch, so that proxies report when they have applied them."""
        ...

    def probe(self, worker: Worker) -> None:
        """Probes the worker; a `Probed` event has the result."""
        ...

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Sends a message to another manager, or (None) to all."""
        ...

    def watch_list(self, enabled: bool) -> None:
        """Asks for a `Listing` at each change of the list, or ends that."""
        ...

    def request_list(self) -> None:
        """Asks for a `Listing` with the whole list."""
        ...

    def wake(self, after: int, token: int) -> None:
        """Asks for a `Reminder` with this token."""
        ...

    def log(self, text: str) -> None:
        """Adds a line to the host's log."""
        ...


@dataclass(frozen=True)
class Backlog:
    """What a manager still has to order. `waited`: for how long the oldest has waited, or 0."""

    unbound: int  # proxies that joined and are not bound
    joiner_waited: int
    withdrawal_waited: int
    lines: int  # ordered, and not known to be applied


@dataclass(frozen=True)
class TableCoverage:
    """How many of the tables that proxies are bound to have a line of a server in service."""

    used: int  # tables that proxies are bound to
    unserved: int  # those of them without such a line, although an eligible server is in service
    unplanned: int  # those of the unserved ones whose plan names no server in service either
