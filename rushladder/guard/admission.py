"""Admission control: applies changes to the load projection, checks their effects, and keeps or reverts them.

Admission refuses as little as possible. Changes that belong together, such as the lines of one table, form a
group that is accepted or refused as a whole, without effect on other groups. Closing a server (a drain or
withdrawal) is a fact that rule 3 demands, not a request: closes are applied first and are never refused. A
pool that a close would empty is filled with the available warm servers (rule 1); if there are none, rule 1
does not apply. A change that makes nothing worse is not refused for problems that existed before.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import attrs

from rushladder.guard.projection import LoadProjection, Pool, Server, open_to
from rushladder.interface import Idempotency, Retry

MAX_VALUE = 1e9  # of a weight or level: far above any sum of listed sizes
# 10 s, three polls and a report cycle: older measurements of demand say little about the present.
MAX_DEMAND_AGE = 100_000


class Reason(Enum):
    """Why a change was refused, in the order of the checks. The values are shown to operators."""

    UNKNOWN = "unknown"
    DUPLICATE = "duplicate"
    NOT_A_NUMBER = "not-a-number"
    NEGATIVE = "negative"
    HUGE = "huge"
    NOT_OPEN = "not-open"
    FURTHER_TRY = "further-try"
    EMPTY_POOL = "empty-pool"
    TAKES_OVER = "takes-over"
    OVER_COLD = "over-cold-allowance"
    OVER_LIMIT = "over-limit"
    OVER_CONNECTIONS = "over-connections"
    CANT_JUDGE = "cant-judge"


@attrs.frozen
class Line:
    """Sets the weight of a server in a pool; 0 removes the line."""

    pool: str
    server: str
    weight: float


@attrs.frozen
class Close:
    """Closes a server that drains, is gone or is withdrawn."""

    server: str


@attrs.frozen
class Open:
    """Makes a server available again."""

    server: str


@attrs.frozen
class Gate:
    """Sets a pool's admission level and its retry rule."""

    pool: str
    level: float
    retry: int


Change = Line | Close | Open | Gate
Group = tuple[Change, ...]  # accepted or refused as a whole


@attrs.frozen
class Refusal:
    """A refused group: the change responsible, the reason with its figures, and what would be accepted."""

    group: Group
    change: Change
    reason: Reason
    description: str
    acceptable: str

    def __str__(self) -> str:
        return f"{self.reason.value}: {self.description}; {self.acceptable} would be accepted"


@attrs.frozen
class Verdict:
    """The result of judging a list of groups."""

    accepted: tuple[Group, ...]
    refused: tuple[Refusal, ...]
    fills: tuple[Line, ...]  # lines added by the guard so that closes leave no pool empty


Problem = tuple[Reason, str, str] | None


class Admission:
    """Judges groups of changes against one load projection.

    max_share: the maximum share of a pool for one server if there are alternatives; headroom: the factor on
    the measured demand that a change must be able to carry; connection_time: the seconds for which a txn
    holds a connection (for Little's law).
    """

    def __init__(
        self,
        projection: LoadProjection,
        *,
        max_share: float = 0.6,
        headroom: float = 1.25,
        connection_time: float = 0.5,
    ) -> None:
        self.projection, self._max_share, self._headroom = projection, max_share, headroom
        self._connection_time = connection_time
        self.lenient = False  # accepts every valid change; used to measure the benefit of the guard
        self.demand_updated_at: int | None = None  # None: no demand was reported yet

    def judge(self, groups: Sequence[Group], now: int, trusted: bool = False) -> Verdict:
        """Applies the closes first, then judges each group; accepted groups remain in the projection.

        trusted: for orders of the decision module. They are also judged with outdated demand, as the module
        has no better data.
        """
        accepted, refused, fills = list[Group](), list[Refusal](), list[Line]()
        for group in sorted(groups, key=lambda group: not any(isinstance(change, Close) for change in group)):
            closes = tuple(change for change in group if isinstance(change, Close))
            others = tuple(change for change in group if not isinstance(change, Close))
            if closes:
                unknown = [change for change in closes if change.server not in self.projection.servers]
                for change in unknown:
                    refused.append(
                        Refusal(
                            (change,), change, Reason.UNKNOWN, f"no server {change.server}", "a listed one"
                        )
                    )
                fills += self._apply_closes([change for change in closes if change not in unknown], now)
                if len(closes) > len(unknown):
                    accepted.append(tuple(change for change in closes if change not in unknown))
            if others:
                refusal = self._evaluate_group(others, now, trusted)
                if refusal is None:
                    accepted.append(others)
                else:
                    refused.append(refusal)
        return Verdict(tuple(accepted), tuple(refused), tuple(fills))

    # Closing.

    def _apply_closes(self, changes: Sequence[Close], now: int) -> list[Line]:
        for change in changes:
            self.projection.set_ready(self.projection.servers[change.server], False)
        fills = list[Line]()
        for pool in [pool for pool in self.projection.changed_pools if not pool.usable_count and pool.lines]:
            candidates = sorted(
                self.projection.candidates(pool, now),
                key=lambda server: (server.zone != pool.zone, server.load, server.name),
            )
            weight = max(pool.lines.values())
            for server in candidates[:3]:  # three share a load that may be too much for one
                self.projection.set_weight(pool, server, weight)
                fills.append(Line(pool.name, server.name, weight))
        self.projection.commit()
        return fills

    # Other changes.

    def dry_run(self, group: Group, now: int) -> Refusal | None:
        """Judges a group without applying it."""
        return self._evaluate_group(group, now, False, commit=False)

    def _evaluate_group(self, group: Group, now: int, trusted: bool, commit: bool = True) -> Refusal | None:
        problem = self._validate(group)
        if problem is None:
            before = {pool: self._usable_count_and_top_share(pool) for pool in self._pools_of(group)}
            for change in group:
                self._apply(change)
            problem = None if self.lenient else self._check_effects(group, before, now, trusted)
        if problem is None:
            (self.projection.commit if commit else self.projection.rollback)()
            return None
        self.projection.rollback()
        change, (reason, description, acceptable) = problem
        return Refusal(group, change, reason, description, acceptable)

    def _validate(self, group: Group) -> tuple[Change, tuple[Reason, str, str]] | None:
        seen = set[tuple[str, str]]()
        for change in group:
            for check in CHANGE_CHECKS:
                if problem := check(self, change):
                    return change, problem
            key = (getattr(change, "pool", ""), getattr(change, "server", ""))
            if key in seen and not isinstance(change, Gate):
                return change, (
                    Reason.DUPLICATE,
                    f"{key[1]} is given twice for {key[0] or 'the list'}",
                    "one entry",
                )
            seen.add(key)
        return None

    def _pools_of(self, group: Group) -> dict[Pool, None]:
        return dict.fromkeys(
            self.projection.pools[change.pool] for change in group if isinstance(change, Line)
        )

    def _apply(self, change: Change) -> None:
        if isinstance(change, Line):
            self.projection.set_weight(
                self.projection.pools[change.pool], self.projection.servers[change.server], change.weight
            )
        elif isinstance(change, Open):
            self.projection.set_ready(self.projection.servers[change.server], True)

    def _usable_count_and_top_share(self, pool: Pool) -> tuple[int, float]:
        return pool.usable_count, max((pool.share(server) for server in pool.lines), default=0.0)

    def _check_effects(
        self, group: Group, before: dict[Pool, tuple[int, float]], now: int, trusted: bool
    ) -> tuple[Change, tuple[Reason, str, str]] | None:
        """Returns the first problem after the group is applied, with the change responsible for it."""
        for pool, (usable_count, top_share) in before.items():
            # The decision module may choose the shares within a pool, but must not empty it.
            for check in POOL_CHECKS[:1] if trusted else POOL_CHECKS:
                if problem := check(self, pool, usable_count, top_share, now):
                    return self._responsible_change(group, pool), problem
        stale = not trusted and (
            self.demand_updated_at is None or now - self.demand_updated_at > MAX_DEMAND_AGE
        )
        for server, load in list(self.projection.changed_servers.items()):
            if server.load <= load * 1.001 + 1e-9:
                continue  # no more load than before: existing problems are no reason to refuse
            if stale and server.limit:
                return group[0], (
                    Reason.CANT_JUDGE,
                    "no demand was reported for 10 s",
                    "the same change after the next report",
                )
            if trusted and self._is_relief(now):
                continue
            for server_check in SERVER_CHECKS:
                if problem := server_check(self, server, now):
                    return self._responsible_change(group, None, server), problem
        return None

    def _is_relief(self, now: int) -> bool:
        """Whether the highest utilization of the changed servers has not increased.

        If all servers are over their limits, the module must still be able to move load between them.
        """
        changed = [(server, load) for server, load in self.projection.changed_servers.items() if server.limit]
        after = max((server.load / (server.limit * server.ramp(now)) for server, _ in changed), default=0.0)
        return after <= 1.001 * max(
            (load / (server.limit * server.ramp(now)) for server, load in changed), default=0.0
        )

    def _responsible_change(self, group: Group, pool: Pool | None, server: Server | None = None) -> Change:
        for change in group:
            if server is not None and getattr(change, "server", None) == server.name:
                return change
        for change in group:
            if pool is not None and getattr(change, "pool", None) == pool.name:
                return change
        return group[0]

    # Checks of single changes.

    def _check_known(self, change: Change) -> Problem:
        pool, server = getattr(change, "pool", None), getattr(change, "server", None)
        if pool is not None and pool not in self.projection.pools:
            return Reason.UNKNOWN, f"no pool {pool}", "one of those that show table lists"
        if server is not None and server not in self.projection.servers:
            return Reason.UNKNOWN, f"no server {server}", "a listed one"
        return None

    def _check_value(self, change: Change) -> Problem:
        value = (
            change.weight if isinstance(change, Line) else change.level if isinstance(change, Gate) else 0.0
        )
        if math.isnan(value):
            return Reason.NOT_A_NUMBER, "the value is not a number", "a number from 0"
        if value < 0:
            return Reason.NEGATIVE, f"the value is {value:g}", "0 or more"
        if value > MAX_VALUE:
            return Reason.HUGE, f"the value is {value:g}", f"at most {MAX_VALUE:g}"
        return None

    def _check_open(self, change: Change) -> Problem:
        if not isinstance(change, Line) or not change.weight:
            return None
        pool, server = self.projection.pools[change.pool], self.projection.servers[change.server]
        if open_to(pool.product, server, pool.zone):
            return None
        return (
            Reason.NOT_OPEN,
            f"{pool.product.name} may not go to {server.name} ({server.model}, {server.zone})",
            "a server of a model and region open to it",
        )

    def _check_retry(self, change: Change) -> Problem:
        if not isinstance(change, Gate) or change.retry <= Retry.UNSENT:
            return None
        product = self.projection.pools[change.pool].product
        if product.idempotency is Idempotency.ONCE_ONLY:
            return (
                Reason.FURTHER_TRY,
                f"{product.name} must never run twice",
                "no try after one that may have run",
            )
        return None

    # Checks of pools and servers after the group is applied.

    def _check_not_empty(self, pool: Pool, usable_count: int, top_share: float, now: int) -> Problem:
        if pool.usable_count or not any(self.projection.candidates(pool, now)):
            return None
        return (
            Reason.EMPTY_POOL,
            f"{pool.name} would have no usable server ({usable_count} before)",
            "leaving one that is ready and warm",
        )

    def _check_max_share(self, pool: Pool, usable_count: int, top_share: float, now: int) -> Problem:
        share = self._usable_count_and_top_share(pool)[1]
        if (
            share <= max(self._max_share, top_share * 1.01)
            or sum(1 for _ in self.projection.candidates(pool, now)) < 2
        ):
            return None
        return (
            Reason.TAKES_OVER,
            f"one server would have {share:.0%} of {pool.name} ({top_share:.0%} before)",
            f"at most {self._max_share:.0%}",
        )

    def _check_cold_allowance(self, server: Server, now: int) -> Problem:
        allowance = server.limit * server.ramp(now)
        if not server.limit or server.warm(now) or server.load * self._headroom <= allowance:
            return None
        return Reason.OVER_COLD, *self._describe(
            server, allowance, f"cold ({server.ramp(now):.0%} of its capacity)"
        )

    def _check_limit(self, server: Server, now: int) -> Problem:
        if not server.limit or server.load * self._headroom <= server.limit:
            return None
        return Reason.OVER_LIMIT, *self._describe(server, server.limit, "stated limit")

    def _check_connections(self, server: Server, now: int) -> Problem:
        if (
            not server.connections
            or server.load * self._headroom * self._connection_time <= server.connections
        ):
            return None
        return Reason.OVER_CONNECTIONS, *self._describe(
            server, server.connections / self._connection_time, "connections"
        )

    def _describe(self, server: Server, allowed: float, description: str) -> tuple[str, str]:
        wanted = server.load * self._headroom
        return (
            f"{server.name} would be sent {server.load:.1f} txns a second, {wanted:.1f} with the margin of "
            f"{self._headroom - 1:.0%}; {description}: {allowed:.1f}",
            self.acceptable_weight(server, allowed),
        )

    def acceptable_weight(self, server: Server, allowed: float) -> str:
        """Describes the maximum weight, in the pool with most load, that keeps the load within `allowed`."""
        pool = max(server.load_by_pool, key=lambda pool: server.load_by_pool[pool], default=None)
        if pool is None or pool.demand <= 0:
            return "a smaller weight"
        other_load = server.load - server.load_by_pool[pool]
        share = max(0.0, min(1.0, (allowed / self._headroom - other_load) / pool.demand))
        other_weight = pool.usable_weight - pool.lines.get(server, 0.0)
        if share >= 1.0 or other_weight <= 0:
            return "a smaller weight"
        return f"a weight of {other_weight * share / (1 - share):.3g} in {pool.name}"


CHANGE_CHECKS: tuple[Callable[[Admission, Change], Problem], ...] = (
    Admission._check_known,
    Admission._check_value,
    Admission._check_open,
    Admission._check_retry,
)
POOL_CHECKS: tuple[Callable[[Admission, Pool, int, float, int], Problem], ...] = (
    Admission._check_not_empty,
    Admission._check_max_share,
)
SERVER_CHECKS: tuple[Callable[[Admission, Server, int], Problem], ...] = (
    Admission._check_cold_allowance,
    Admission._check_limit,
    Admission._check_connections,
)
