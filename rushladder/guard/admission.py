"""Admission: a change is applied to the book, what it touched is looked at, and it stands or is taken back.

Least refusal. What belongs together (the lines of one table in one change) stands or falls together; a
group that falls does not touch the next. Closing a server (a drain, a withdrawal) is no request but a fact
that rule 3 binds: it always passes, first of all, and a pool that it would empty gets the warm servers that
are there (rule 1); where there are none, rule 1 does not bind. A change that makes nothing worse is not
refused for what was bad before.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import attrs

from rushladder.guard.projection import LoadProjection, Pool, Server, open_to
from rushladder.interface import Idempotency, Retry

HUGE = 1e9  # of a weight: far above any sum of listed sizes
FRESH = 100_000  # 10 s: three polls and a cycle of reports; a demand heard before that tells little of now


class Reason(Enum):
    """Why a part was refused, in the order in which it is looked for."""

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
    """A line of a pool is to have this weight; 0 removes it."""

    pool: str
    server: str
    weight: float


@attrs.frozen
class Close:
    """A server drains, is gone or is withdrawn."""

    server: str


@attrs.frozen
class Open:
    """A server may be picked again."""

    server: str


@attrs.frozen
class Gate:
    """A pool lets in this part, and tries again by this rule."""

    pool: str
    level: float
    retry: int


Part = Line | Close | Open | Gate
Group = tuple[Part, ...]  # stands or falls together


@attrs.frozen
class Refusal:
    """A group that was refused: the part behind it, why, by how much, and the least that would be
    accepted."""

    group: Group
    part: Part
    reason: Reason
    what: str
    least: str

    def __str__(self) -> str:
        return f"{self.reason.value}: {self.what}; {self.least} would be accepted"


@attrs.frozen
class Verdict:
    accepted: tuple[Group, ...]
    refused: tuple[Refusal, ...]
    fills: tuple[Line, ...]  # lines that the guard adds so that a drain leaves no pool empty


Found = tuple[Reason, str, str] | None


class Admission:
    """Judges groups against one book.

    takes_over: the part of a pool that one server may come to have where others could; headroom: how much
    more demand than is measured now a change must bear; connections_per_txn: seconds that a txn holds one
    (Little's law).
    """

    def __init__(
        self,
        projection: LoadProjection,
        *,
        takes_over: float = 0.6,
        headroom: float = 1.25,
        connections_per_txn: float = 0.5,
    ) -> None:
        self.projection, self._takes_over, self._headroom = projection, takes_over, headroom
        self._held = connections_per_txn
        self.lenient = False  # lets through what it can read: for measuring what the guard is worth
        self.demand_at: int | None = None  # when demand was last heard; None: never

    def judge(self, groups: Sequence[Group], now: int, trusted: bool = False) -> Verdict:
        """Closes first, then each group by itself. What is accepted stands in the book from here on.

        trusted: the decision module's own orders, which are judged with a stale view too, as it knows no
        more.
        """
        accepted, refused, fills = list[Group](), list[Refusal](), list[Line]()
        for group in sorted(groups, key=lambda one: not any(isinstance(part, Close) for part in one)):
            closes = tuple(part for part in group if isinstance(part, Close))
            rest = tuple(part for part in group if not isinstance(part, Close))
            if closes:
                unknown = [part for part in closes if part.server not in self.projection.servers]
                for part in unknown:
                    refused.append(
                        Refusal((part,), part, Reason.UNKNOWN, f"no server {part.server}", "a listed one")
                    )
                fills += self._close([part for part in closes if part not in unknown], now)
                if len(closes) > len(unknown):
                    accepted.append(tuple(part for part in closes if part not in unknown))
            if rest:
                refusal = self._try(rest, now, trusted)
                if refusal is None:
                    accepted.append(rest)
                else:
                    refused.append(refusal)
        return Verdict(tuple(accepted), tuple(refused), tuple(fills))

    # Closing.

    def _close(self, parts: Sequence[Close], now: int) -> list[Line]:
        for part in parts:
            self.projection.set_ready(self.projection.servers[part.server], False)
        fills = list[Line]()
        for pool in [pool for pool in self.projection.touched_pools if not pool.many and pool.lines]:
            some = sorted(
                self.projection.candidates(pool, now),
                key=lambda one: (one.zone != pool.zone, one.load, one.name),
            )
            weight = max(pool.lines.values())
            for server in some[:3]:  # three share what one might not bear
                self.projection.set_weight(pool, server, weight)
                fills.append(Line(pool.name, server.name, weight))
        self.projection.commit()
        return fills

    # Everything else.

    def test(self, group: Group, now: int) -> Refusal | None:
        """What would be said of a group; the book stays as it is."""
        return self._try(group, now, False, keep=False)

    def _try(self, group: Group, now: int, trusted: bool, keep: bool = True) -> Refusal | None:
        found = self._read(group)
        if found is None:
            before = {pool: self._top(pool) for pool in self._pools(group)}
            for part in group:
                self._apply(part)
            found = None if self.lenient else self._look(group, before, now, trusted)
        if found is None:
            (self.projection.commit if keep else self.projection.rollback)()
            return None
        self.projection.rollback()
        part, (reason, what, least) = found
        return Refusal(group, part, reason, what, least)

    def _read(self, group: Group) -> tuple[Part, tuple[Reason, str, str]] | None:
        seen = set[tuple[str, str]]()
        for part in group:
            for check in READING:
                if found := check(self, part):
                    return part, found
            key = (getattr(part, "pool", ""), getattr(part, "server", ""))
            if key in seen and not isinstance(part, Gate):
                return part, (
                    Reason.DUPLICATE,
                    f"{key[1]} stands twice for {key[0] or 'the list'}",
                    "one entry",
                )
            seen.add(key)
        return None

    def _pools(self, group: Group) -> dict[Pool, None]:
        return dict.fromkeys(self.projection.pools[part.pool] for part in group if isinstance(part, Line))

    def _apply(self, part: Part) -> None:
        if isinstance(part, Line):
            self.projection.set_weight(
                self.projection.pools[part.pool], self.projection.servers[part.server], part.weight
            )
        elif isinstance(part, Open):
            self.projection.set_ready(self.projection.servers[part.server], True)

    def _top(self, pool: Pool) -> tuple[int, float]:
        return pool.many, max((pool.share(server) for server in pool.lines), default=0.0)

    def _look(
        self, group: Group, before: dict[Pool, tuple[int, float]], now: int, trusted: bool
    ) -> tuple[Part, tuple[Reason, str, str]] | None:
        """What is wrong with the book as the group leaves it, with the part that is to blame."""
        for pool, (many, top) in before.items():
            # How much one server of a pool gets is the module's to decide; that a pool is not empty is not.
            for look in POOL_LOOKS[:1] if trusted else POOL_LOOKS:
                if found := look(self, pool, many, top, now):
                    return self._blame(group, pool), found
        stale = not trusted and (self.demand_at is None or now - self.demand_at > FRESH)
        for server, load in list(self.projection.touched_servers.items()):
            if server.load <= load * 1.001 + 1e-9:
                continue  # no more than before: nothing is refused for what was bad already
            if stale and server.limit:
                return group[0], (
                    Reason.CANT_JUDGE,
                    "no demand was heard for 10 s",
                    "the same again after a report",
                )
            if trusted and self._eases(now):
                continue
            for measure in SERVER_LOOKS:
                if found := measure(self, server, now):
                    return self._blame(group, None, server), found
        return None

    def _eases(self, now: int) -> bool:
        """Whether the worst of the servers touched is no worse off than the worst was before: where all are
        over their limits, moving load between them is what the module is there for."""
        touched = [(server, load) for server, load in self.projection.touched_servers.items() if server.limit]
        after = max((server.load / (server.limit * server.ramp(now)) for server, _ in touched), default=0.0)
        return after <= 1.001 * max(
            (load / (server.limit * server.ramp(now)) for server, load in touched), default=0.0
        )

    def _blame(self, group: Group, pool: Pool | None, server: Server | None = None) -> Part:
        for part in group:
            if server is not None and getattr(part, "server", None) == server.name:
                return part
        for part in group:
            if pool is not None and getattr(part, "pool", None) == pool.name:
                return part
        return group[0]

    # The checks of one part by itself.

    def _known(self, part: Part) -> Found:
        pool, server = getattr(part, "pool", None), getattr(part, "server", None)
        if pool is not None and pool not in self.projection.pools:
            return Reason.UNKNOWN, f"no pool {pool}", "one of those that show table lists"
        if server is not None and server not in self.projection.servers:
            return Reason.UNKNOWN, f"no server {server}", "a listed one"
        return None

    def _figure(self, part: Part) -> Found:
        figure = part.weight if isinstance(part, Line) else part.level if isinstance(part, Gate) else 0.0
        if math.isnan(figure):
            return Reason.NOT_A_NUMBER, "the figure is no number", "a number from 0"
        if figure < 0:
            return Reason.NEGATIVE, f"the figure is {figure:g}", "0 or more"
        if figure > HUGE:
            return Reason.HUGE, f"the figure is {figure:g}", f"at most {HUGE:g}"
        return None

    def _open(self, part: Part) -> Found:
        if not isinstance(part, Line) or not part.weight:
            return None
        pool, server = self.projection.pools[part.pool], self.projection.servers[part.server]
        if open_to(pool.product, server, pool.zone):
            return None
        return (
            Reason.NOT_OPEN,
            f"{pool.product.name} may not go to {server.name} ({server.model}, {server.zone})",
            "a server of a model and region open to it",
        )

    def _further(self, part: Part) -> Found:
        if not isinstance(part, Gate) or part.retry <= Retry.UNSENT:
            return None
        product = self.projection.pools[part.pool].product
        if product.idempotency is Idempotency.ONCE_ONLY:
            return (
                Reason.FURTHER_TRY,
                f"{product.name} must never run twice",
                "no try after one that may have run",
            )
        return None

    # What is looked at in a pool and at a server once the group is applied.

    def _empty(self, pool: Pool, many: int, top: float, now: int) -> Found:
        if pool.many or not any(self.projection.candidates(pool, now)):
            return None
        return (
            Reason.EMPTY_POOL,
            f"{pool.name} would have nobody to pick ({many} before)",
            "leaving one that is ready and warm",
        )

    def _over(self, pool: Pool, many: int, top: float, now: int) -> Found:
        share = self._top(pool)[1]
        if (
            share <= max(self._takes_over, top * 1.01)
            or sum(1 for _ in self.projection.candidates(pool, now)) < 2
        ):
            return None
        return (
            Reason.TAKES_OVER,
            f"one server would have {share:.0%} of {pool.name} ({top:.0%} before)",
            f"at most {self._takes_over:.0%}",
        )

    def _cold(self, server: Server, now: int) -> Found:
        allowance = server.limit * server.ramp(now)
        if not server.limit or server.warm(now) or server.load * self._headroom <= allowance:
            return None
        return Reason.OVER_COLD, *self._words(
            server, allowance, f"cold ({server.ramp(now):.0%} of its capacity)"
        )

    def _limit(self, server: Server, now: int) -> Found:
        if not server.limit or server.load * self._headroom <= server.limit:
            return None
        return Reason.OVER_LIMIT, *self._words(server, server.limit, "stated limit")

    def _connections(self, server: Server, now: int) -> Found:
        if not server.connections or server.load * self._headroom * self._held <= server.connections:
            return None
        return Reason.OVER_CONNECTIONS, *self._words(server, server.connections / self._held, "connections")

    def _words(self, server: Server, most: float, what: str) -> tuple[str, str]:
        wanted = server.load * self._headroom
        return (
            f"{server.name} would be sent {server.load:.1f} txns a second, {wanted:.1f} with the margin of "
            f"{self._headroom - 1:.0%}; {what}: {most:.1f}",
            self.least(server, most),
        )

    def least(self, server: Server, most: float) -> str:
        """The greatest weight in the pool that brings the server most, so that it stays within `most`."""
        pool = max(server.parts, key=lambda one: server.parts[one], default=None)
        if pool is None or pool.demand <= 0:
            return "a smaller weight"
        others = server.load - server.parts[pool]
        part = max(0.0, min(1.0, (most / self._headroom - others) / pool.demand))
        rest = pool.usable - pool.lines.get(server, 0.0)
        if part >= 1.0 or rest <= 0:
            return "a smaller weight"
        return f"a weight of {rest * part / (1 - part):.3g} in {pool.name}"


READING: tuple[Callable[[Admission, Part], Found], ...] = (
    Admission._known,
    Admission._figure,
    Admission._open,
    Admission._further,
)
POOL_LOOKS: tuple[Callable[[Admission, Pool, int, float, int], Found], ...] = (
    Admission._empty,
    Admission._over,
)
SERVER_LOOKS: tuple[Callable[[Admission, Server, int], Found], ...] = (
    Admission._cold,
    Admission._limit,
    Admission._connections,
)
