"""The judge of a soak: what crossed the sockets, held against the protocol's aims. Free of I/O; times are
seconds of the soak's clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence

import attrs

READY_WITHIN = 10.0  # s from a start to the first PONG
STRANGER_WITHIN = 3.0  # s until a stranger has NACK or a close
SLACK = 0.3  # s that the time limits run longer on sockets
FIRST_GRACE = 1.0  # s after the first answer in which no time limit begins
RELOAD_GRACE = 4.0  # s after SIGHUP in which time limits wait
KEPT = 5  # lines before a break that are told with it


@attrs.frozen
class Violation:
    """One aim that was not kept."""

    second: float
    connection: str
    what: str
    before: Sequence[str]

    def text(self, seed: int) -> str:
        lines = "".join(f"\n    {line[:300]}" for line in self.before)
        return f"seed {seed}, second {self.second:.2f}, {self.connection}: {self.what}{lines}"


@attrs.define
class _Joined:
    """One proxy's stream: since when, the messages written to it, and the last lines."""

    since: float
    messages: deque[float] = attrs.field(factory=lambda: deque[float](maxlen=64))
    lines: deque[str] = attrs.field(factory=lambda: deque[str](maxlen=KEPT))


class SoakJudge:
    """grace: of drains, bare: of proxies without a worker, in seconds; cap: messages to a proxy within `span`
    seconds, 0: no such limit."""

    def __init__(self, grace: float, bare: float, cap: int, span: float) -> None:
        self._grace, self._bare, self._cap, self._span = grace, bare, cap, span
        self.violations, self.lateness = (
            list[Violation](),
            0.0,
        )  # lateness: of the soak itself, added to limits
        self._listed, self._left, self._ready = set[str](), dict[str, float](), set[str]()
        self._joined, self._empty_since = dict[int, _Joined](), dict[int, float]()
        self._serves_since, self._accused = 0.0, set[tuple[int, str]]()

    def add_violation(self, at: float, connection: str, what: str, before: Collection[str] = ()) -> None:
        self.violations.append(Violation(at, connection, what, list(before)))

    # The manager.

    def answered(self, at: float, took: float) -> None:
        """The first PONG after a start."""
        self._serves_since = at + FIRST_GRACE
        if took > READY_WITHIN + self.lateness:
            self.add_violation(at, "start", f"ready after {took:.1f} s")

    def ended(self, at: float, code: int | None, killed: bool, log: Sequence[str]) -> None:
        """The process has ended; code: None where a signal ended it."""
        if code != 0 and not (killed and code is None):
            self.add_violation(at, "process", f"ended with {code}", log[-KEPT:])
        self._joined.clear()
        self._empty_since.clear()
        self._left.clear()
        self._ready.clear()

    def logged(self, at: float, line: str) -> None:
        if "Traceback" in line or '"event": "error"' in line:
            self.add_violation(at, "log", "a fault of the program", [line[-2000:]])

    def reloaded(self, at: float) -> None:
        self._serves_since = max(self._serves_since, at + RELOAD_GRACE)

    # The list.

    def entry_sent(self, at: float, name: str, state: str) -> None:
        """Discovery has written the entry to the manager."""
        self._listed.add(name)
        if state == "ready":
            self._left.pop(name, None)
            self._ready.add(name)
        else:
            self._left.setdefault(name, at)
            self._ready.discard(name)
        self._accused = {pair for pair in self._accused if pair[1] != name}

    # Proxies.

    def joined(self, at: float, proxy: int) -> None:
        """A stream begins, or one that read no more for a while reads on."""
        self._joined[proxy] = _Joined(at)
        self._empty_since.pop(proxy, None)

    def left(self, proxy: int) -> None:
        self._joined.pop(proxy, None)
        self._empty_since.pop(proxy, None)

    def message(self, at: float, proxy: int, names: Collection[str], lines: Sequence[str]) -> None:
        stream = self._joined.get(proxy)
        if stream is None:
            return
        stream.lines.extend(lines)
        stream.messages.append(at)
        for name in sorted(set(names) - self._listed):
            self.add_violation(
                at, f"proxy {proxy}", f"an order for {name}, which was never listed", stream.lines
            )
        recent = sum(one > at - self._span for one in stream.messages)
        if self._cap and recent > self._cap:
            self.add_violation(
                at, f"proxy {proxy}", f"{recent} messages in {self._span:g} s of {self._cap}", stream.lines
            )

    def holds(self, at: float, proxy: int, usable: Collection[str]) -> None:
        """What a joined proxy may send to now."""
        stream = self._joined.get(proxy)
        if stream is None:
            return
        limit = SLACK + self.lateness
        for name in usable:
            if name not in self._left or (proxy, name) in self._accused:
                continue
            late = at - max(self._left[name], stream.since, self._serves_since) - self._grace
            if late > limit:
                self._accused.add((proxy, name))
                self.add_violation(
                    at, f"proxy {proxy}", f"may send to {name} {late:.2f} s after the grace", stream.lines
                )
        if usable or not self._ready:
            self._empty_since.pop(proxy, None)
            return
        since = self._empty_since.setdefault(proxy, max(at, self._serves_since))
        if at - since > self._bare + limit:
            self._empty_since[proxy] = at
            self.add_violation(at, f"proxy {proxy}", "no worker to send to", stream.lines)

    # The rest.

    def stranger(self, at: float, said: bytes, took: float) -> None:
        if took > STRANGER_WITHIN + self.lateness:
            self.add_violation(at, "stranger", f"{said[:40]!r} was owed an answer for {took:.1f} s")

    def resources(self, at: float, descriptors: int, expected: int, rss_mb: float, most_mb: float) -> None:
        if descriptors > expected:
            self.add_violation(at, "process", f"{descriptors} descriptors, {expected} at most expected")
        if rss_mb > most_mb:
            self.add_violation(at, "process", f"{rss_mb:.0f} MB, {most_mb:.0f} may")

    def watched(self, at: float, watched: bool) -> None:
        """Whether the last configuration's address of discovery is watched."""
        if not watched:
            self.add_violation(at, "discovery", "the last configuration is not in force")
