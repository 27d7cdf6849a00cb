"""The client of discovery's watch: it stays on the list's changes, and dials again whenever it ends or falls
silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from rushladder.catalog.reader import Catalog, Faulty
from rushladder.interface import Event
from rushladder.timing import Clock

SILENT = 3.0  # s without a byte until it is dialled again: an empty line is due every 2 s
AGAIN_FIRST, AGAIN_MOST = 0.05, 1.0  # s until it is dialled again, doubled until a watch went well
LINE_MOST = 4 << 20  # bytes of one line: some 10,000 workers
PATH = "/catalog/members?stream=1&index="


class _Body(protocol.Protocol):
    """The lines of one answer. A line that its end cuts off is left: it comes again with the next watch."""

    def __init__(self, watch: Watch) -> None:
        self._watch, self._rest = watch, b""

    def dataReceived(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        self._watch.lines(self, lines)
        if len(self._rest) > LINE_MOST:
            self._watch.note("list.faulty", "a line without an end")
            self.stop()

    def connectionLost(self, reason: Any = None) -> None:
        self._watch.ended(self)

    def stop(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()  # what a body's transport has: not all of a connection's own


class Watch:
    """One watch at a time. give: takes a listing for the next batch; draw: from [0, 1), for the jitter."""

    def __init__(
        self,
        agent: Any,
        address: str,
        catalog: Catalog,
        clock: Clock,
        draw: Callable[[], float],
        give: Callable[[Event], None],
        note: Callable[[str, str], None],
    ) -> None:
        self._agent, self._address, self._catalog, self._clock = agent, address, catalog, clock
        self._draw, self._give, self.note = draw, give, note
        self._body: _Body | None = None
        self._asked: Any = None
        self._limit: Any = None
        self._failures, self._turn, self.heard_at = 0, 0, clock.seconds()
        self._former: _Body | None = None  # at the place before, until the new one answers
        self._whole = False  # something could not be read: the whole list is wanted
        # Since when all that came could be read, in seconds; None: not yet. A first byte is no proof: with it
        # the wait began anew, and a list that stays unreadable was asked for whole ten times a second.
        self._well_since: float | None = None

    def start(self) -> None:
        self._turn += 1
        turn = self._turn
        url = f"http://{self._address}{PATH}{0 if self._whole else self._catalog.version}".encode()
        self._set(SILENT, self._silent)
        self._asked = asked = self._agent.request(b"GET", url)
        asked.addCallbacks(self._answered, lambda why: None, callbackArgs=(turn,))
        asked.addBoth(lambda found: self._again(turn) if found is None else None)

    def move(self, address: str) -> None:
        """Goes on at another address from the version that is known. The watch at the former place is read
        until the new one answers or that place ends it: a drain that is told there meanwhile counts."""
        if address != self._address:
            self._address, self._failures = address, 0
            former, self._body = self._body or self._former, None
            self._close()
            self._former = former
            self.start()

    def stop(self) -> None:
        self._close()
        self._leave()
        self._turn += 1

    def _answered(self, response: Any, turn: int) -> bool | None:
        if turn != self._turn or response.code != 200:
            if turn == self._turn:
                self.note("list.faulty", f"discovery answered {response.code}")
            response.deliverBody(closing := _Body(self))
            closing.stop()
            return None
        self._leave()
        self._body = _Body(self)
        self._well_since = None if self._whole else self._clock.seconds()
        self._heard()
        response.deliverBody(self._body)
        return True

    def lines(self, body: _Body, lines: list[bytes]) -> None:
        if body is self._body:
            self._heard()
        elif body is not self._former:
            return
        faults = list[str]()
        for line in lines:
            try:
                listing = self._catalog.read_line(line)
            except Faulty as trouble:
                faults.append(str(trouble))
                continue
            if listing is not None:
                self._give(listing)
        if faults:
            self.note("list.faulty", faults[0])
        if body is not self._body:
            return
        if faults:
            # The next good line would count as the newest, and what this one told would never be heard.
            self._whole, self._well_since = True, None
            self._again(self._turn)
        elif self._whole and any(line.strip() for line in lines):
            self._whole, self._well_since = False, self._clock.seconds()

    def ended(self, body: _Body) -> None:
        if body is self._former:
            self._former = None
        if body is self._body:
            self._again(self._turn)

    def _leave(self) -> None:
        former, self._former = self._former, None
        if former is not None:
            former.stop()

    def _heard(self) -> None:
        self.heard_at = self._clock.seconds()
        self._set(SILENT, self._silent)

    def _silent(self) -> None:
        self.note("list.silent", "no word of discovery")
        self._close()
        self._again(self._turn)

    def _again(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._close()
        well_since, self._well_since = self._well_since, None
        if well_since is not None and self._clock.seconds() >= well_since + AGAIN_MOST:
            self._failures = 0
        self._failures += 1
        wait = min(AGAIN_MOST, AGAIN_FIRST * 2 ** min(self._failures, 10)) * (0.5 + 0.5 * self._draw())
        self._set(wait, self.start)

    def _close(self) -> None:
        self._turn += 1
        body, self._body, asked, self._asked = self._body, None, self._asked, None
        if body is not None:
            body.stop()
        elif asked is not None:
            asked.cancel()
        if self._limit is not None and self._limit.active():
            self._limit.cancel()

    def _set(self, after: float, what: Callable[[], None]) -> None:
        if self._limit is not None and self._limit.active():
            self._limit.cancel()
        self._limit = self._clock.callLater(after, what)
