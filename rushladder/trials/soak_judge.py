"""The judge of a soak: checks what crossed the sockets against the requirements of the platform's protocol.

Does no I/O; times are seconds of the soak's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence

import attrs

READY_WITHIN = 10.0  # s from a start to the first PONG
UNIDENTIFIED_WITHIN = 3.0  # s until an unidentified client gets a NACK or its connection is closed
SLACK = 0.3  # s added to time limits for the delay of sockets
FIRST_GRACE = 1.0  # s after the first answer during which no time limit starts
RELOAD_GRACE = 4.0  # s after SIGHUP during which time limits are suspended
CONTEXT_LINES = 5  # lines received before a violation that are reported with it


@attrs.frozen
class Violation:
    """One requirement that was not met: when, on which connection, what, and the lines before it."""

    second: float
    connection: str
    detail: str
    context: Sequence[str]

    def text(self, seed: int) -> str:
        context_lines = "".join(f"\n    {line[:300]}" for line in self.context)
        return f"seed {seed}, second {self.second:.2f}, {self.connection}: {self.detail}{context_lines}"


@attrs.define
class _StreamState:
    """The stream of one proxy: since when it reads, the times of messages on it, and its last lines."""

    since: float
    messages: deque[float] = attrs.field(factory=lambda: deque[float](maxlen=64))
    lines: deque[str] = attrs.field(factory=lambda: deque[str](maxlen=CONTEXT_LINES))


class SoakJudge:
    """Collects violations from the events of one soak.

    grace: seconds for drains. bare: seconds that a proxy may be without a worker.
    cap: messages to a proxy within `span` seconds (0: unlimited).
    """

    def __init__(self, grace: float, bare: float, cap: int, span: float) -> None:
        self._grace, self._bare, self._cap, self._span = grace, bare, cap, span
        # lateness: the longest delay of the soak's own checks, in seconds; it is added to time limits.
        self.violations, self.lateness = list[Violation](), 0.0
        self._listed, self._left_at, self._ready_workers = set[str](), dict[str, float](), set[str]()
        self._streams, self._empty_since = dict[int, _StreamState](), dict[int, float]()
        self._serving_since, self._reported = 0.0, set[tuple[int, str]]()
        self._shut_out_since = dict[int, dict[str, float]]()  # by proxy and worker

    def add_violation(self, at: float, connection: str, detail: str, context: Collection[str] = ()) -> None:
        self.violations.append(Violation(at, connection, detail, list(context)))

    # The manager.

    def process_ready(self, at: float, waited: float) -> None:
        """The manager sent its first PONG after a start."""
        self._serving_since = at + FIRST_GRACE
        if waited > READY_WITHIN + self.lateness:
            self.add_violation(at, "start", f"ready after {waited:.1f} s")

    def process_ended(self, at: float, code: int | None, killed: bool, log: Sequence[str]) -> None:
        """The process has ended.

        code: the exit code; None if a signal ended it. killed: whether it may have ended by a signal.
        """
        if code != 0 and not (killed and code is None):
            self.add_violation(at, "process", f"ended with {code}", log[-CONTEXT_LINES:])
        self._streams.clear()
        self._empty_since.clear()
        self._shut_out_since.clear()
        self._left_at.clear()
        self._ready_workers.clear()

    def logged(self, at: float, line: str) -> None:
        """The process wrote a line to its log."""
        if "Traceback" in line or '"event": "error"' in line:
            self.add_violation(at, "log", "unexpected error in the program", [line[-2000:]])

    def reloaded(self, at: float) -> None:
        """The process got a SIGHUP."""
        self._serving_since = max(self._serving_since, at + RELOAD_GRACE)

    # The list of workers.

    def entry_sent(self, at: float, name: str, state: str) -> None:
        """Discovery has sent the entry to the manager."""
        self._listed.add(name)
        if state == "ready":
            self._left_at.pop(name, None)
            self._ready_workers.add(name)
        else:
            self._left_at.setdefault(name, at)
            self._ready_workers.discard(name)
        self._reported = {pair for pair in self._reported if pair[1] != name}

    # Proxies.

    def stream_joined(self, at: float, proxy: int) -> None:
        """A stream was opened, or a paused one reads again."""
        self._streams[proxy] = _StreamState(at)
        self._empty_since.pop(proxy, None)
        self._shut_out_since.pop(proxy, None)

    def stream_left(self, proxy: int) -> None:
        """A stream ended or stopped reading; nothing is required on it."""
        self._streams.pop(proxy, None)
        self._empty_since.pop(proxy, None)
        self._shut_out_since.pop(proxy, None)

    def message(self, at: float, proxy: int, names: Collection[str], lines: Sequence[str]) -> None:
        """A proxy received a message that names these workers."""
        stream = self._streams.get(proxy)
        if stream is None:
            return
        stream.lines.extend(lines)
        stream.messages.append(at)
        for name in sorted(set(names) - self._listed):
            self.add_violation(
                at, f"proxy {proxy}", f"a message for {name}, which was never listed", stream.lines
            )
        recent = sum(sent_at > at - self._span for sent_at in stream.messages)
        if self._cap and recent > self._cap:
            self.add_violation(
                at,
                f"proxy {proxy}",
                f"{recent} messages in {self._span:g} s, {self._cap} allowed",
                stream.lines,
            )

    def check_workers(self, at: float, proxy: int, usable: Collection[str]) -> None:
        """Checks the workers to which a joined proxy may send now."""
        stream = self._streams.get(proxy)
        if stream is None:
            return
        limit = SLACK + self.lateness
        for name in usable:
            if name not in self._left_at or (proxy, name) in self._reported:
                continue
            late = at - max(self._left_at[name], stream.since, self._serving_since) - self._grace
            if late > limit:
                self._reported.add((proxy, name))
                self.add_violation(
                    at, f"proxy {proxy}", f"may send to {name} {late:.2f} s after the grace", stream.lines
                )
        if usable or not self._ready_workers:
            self._empty_since.pop(proxy, None)
            return
        since = self._empty_since.setdefault(proxy, max(at, self._serving_since))
        if at - since > self._bare + limit:
            self._empty_since[proxy] = at
            self.add_violation(at, f"proxy {proxy}", "no worker to send to", stream.lines)

    def check_shut_out(self, at: float, proxy: int, names: Collection[str]) -> None:
        """Checks the healthy workers that a joined proxy has in its table and has withdrawn.

        One that is ready has to be let back within the time that a proxy may be without a worker.
        """
        stream = self._streams.get(proxy)
        shut_out = {name for name in names if name in self._ready_workers} if stream is not None else set()
        since_by_worker = self._shut_out_since.setdefault(proxy, {})
        for name in since_by_worker.keys() - shut_out:
            del since_by_worker[name]
        for name in sorted(shut_out):
            since = since_by_worker.setdefault(name, max(at, self._serving_since))
            if stream is not None and at - since > self._bare + SLACK + self.lateness:
                since_by_worker[name] = at
                self.add_violation(
                    at, f"proxy {proxy}", f"still shuts out {name}, a ready worker", stream.lines
                )

    # Other checks.

    def unidentified_client(self, at: float, sent: bytes, waited: float) -> None:
        """A client that sent something other than a subscription waited so long to be refused or closed."""
        if waited > UNIDENTIFIED_WITHIN + self.lateness:
            self.add_violation(at, "stranger", f"{sent[:40]!r} got no answer for {waited:.1f} s")

    def resources(self, at: float, descriptors: int, expected: int, rss_mb: float, max_mb: float) -> None:
        """Checks the open descriptors and resident memory of the process."""
        if descriptors > expected:
            self.add_violation(at, "process", f"{descriptors} descriptors, at most {expected} expected")
        if rss_mb > max_mb:
            self.add_violation(at, "process", f"{rss_mb:.0f} MB, {max_mb:.0f} allowed")

    def discovery_watched(self, at: float, watched: bool) -> None:
        """Whether the manager watches the last configuration's address of discovery."""
        if not watched:
            self.add_violation(at, "discovery", "the last configuration is not in force")
