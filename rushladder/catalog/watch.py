"""The client of discovery's watch: follows the changes of the list, and reconnects when the watch ends or
falls silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from rushladder.catalog.reader import AnswerError, Catalog
from rushladder.interface import Event
from rushladder.timing import Clock

SILENCE_TIMEOUT_SECONDS = 3.0  # without a byte; discovery sends an empty line every 2 s
RETRY_BASE_SECONDS, RETRY_MAX_SECONDS = 0.05, 1.0  # the delay doubles with each failure in a row
MAX_LINE_BYTES = 4 << 20  # some 10,000 workers
WATCH_PATH = "/catalog/members?stream=1&index="


class _ResponseBody(protocol.Protocol):
    """Splits one response into lines. A line cut off by the end is dropped: the next watch sends it again."""

    def __init__(self, watch: Watch) -> None:
        self._watch, self._rest = watch, b""

    def dataReceived(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        self._watch.lines_received(self, lines)
        if len(self._rest) > MAX_LINE_BYTES:
            self._watch.warn("list.faulty", "an incomplete line of the list is already longer than 4 MiB")
            self.stop()

    def connectionLost(self, reason: Any = None) -> None:
        self._watch.body_ended(self)

    def stop(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()  # the transport of a body has only some methods of a connection


class Watch:
    """Keeps one watch open.

    random: returns a number from [0, 1), for the jitter of the retry delay. add_event: takes a listing for
    the next batch. warn: takes the kind and the text of a warning.
    """

    def __init__(
        self,
        agent: Any,
        address: str,
        catalog: Catalog,
        clock: Clock,
        random: Callable[[], float],
        add_event: Callable[[Event], None],
        warn: Callable[[str, str], None],
    ) -> None:
        self._agent, self._address, self._catalog, self._clock = agent, address, catalog, clock
        self._random, self._add_event, self.warn = random, add_event, warn
        self._body: _ResponseBody | None = None
        self._request: Any = None
        self._timer: Any = None
        self._failures, self._attempt, self.last_data_at = 0, 0, clock.seconds()
        self._previous_body: _ResponseBody | None = None  # at the former address, until the new one responds
        self._needs_full = False  # after a malformed line
        # Since when all lines of this watch were valid, in seconds; None if they are not. The retry delay is
        # reset only after some time of valid lines: when the first byte reset it, a list that stayed
        # malformed was requested in full ten times a second.
        self._valid_since: float | None = None

    def start(self) -> None:
        self._attempt += 1
        attempt = self._attempt
        url = f"http://{self._address}{WATCH_PATH}{0 if self._needs_full else self._catalog.version}".encode()
        self._set_timer(SILENCE_TIMEOUT_SECONDS, self._silence_timeout)
        self._request = request = self._agent.request(b"GET", url)
        request.addCallbacks(self._response_received, lambda failure: None, callbackArgs=(attempt,))
        request.addBoth(lambda accepted: self._retry(attempt) if accepted is None else None)

    def move(self, address: str) -> None:
        """Continues at another address from the known version. The watch at the former address is read until
        the new one responds or the former one ends: a drain that it sends meanwhile must not be missed."""
        if address != self._address:
            self._address, self._failures = address, 0
            previous, self._body = self._body or self._previous_body, None
            self._close()
            self._previous_body = previous
            self.start()

    def stop(self) -> None:
        self._close()
        self._stop_previous()
        self._attempt += 1

    def _response_received(self, response: Any, attempt: int) -> bool | None:
        if attempt != self._attempt or response.code != 200:
            if attempt == self._attempt:
                self.warn("list.faulty", f"discovery answered with status {response.code}; it should be 200")
            response.deliverBody(closing := _ResponseBody(self))
            closing.stop()
            return None
        self._stop_previous()
        self._body = _ResponseBody(self)
        self._valid_since = None if self._needs_full else self._clock.seconds()
        self._data_received()
        response.deliverBody(self._body)
        return True

    def lines_received(self, body: _ResponseBody, lines: list[bytes]) -> None:
        if body is self._body:
            self._data_received()
        elif body is not self._previous_body:
            return
        errors = list[str]()
        for line in lines:
            try:
                listing = self._catalog.read_line(line)
            except AnswerError as error:
                errors.append(str(error))
                continue
            if listing is not None:
                self._add_event(listing)
        if errors:
            self.warn("list.faulty", errors[0])
        if body is not self._body:
            return
        if errors:
            # Requests the full list: the next valid line raises the known version, and the changes in the
            # malformed line would never be sent again.
            self._needs_full, self._valid_since = True, None
            self._retry(self._attempt)
        elif self._needs_full and any(line.strip() for line in lines):
            self._needs_full, self._valid_since = False, self._clock.seconds()

    def body_ended(self, body: _ResponseBody) -> None:
        if body is self._previous_body:
            self._previous_body = None
        if body is self._body:
            self._retry(self._attempt)

    def _stop_previous(self) -> None:
        previous, self._previous_body = self._previous_body, None
        if previous is not None:
            previous.stop()

    def _data_received(self) -> None:
        self.last_data_at = self._clock.seconds()
        self._set_timer(SILENCE_TIMEOUT_SECONDS, self._silence_timeout)

    def _silence_timeout(self) -> None:
        self.warn("list.silent", "discovery has sent nothing for too long")
        self._close()
        self._retry(self._attempt)

    def _retry(self, attempt: int) -> None:
        """Starts another attempt after a delay, unless `attempt` isn't the current one any more."""
        if attempt != self._attempt:
            return
        self._close()
        valid_since, self._valid_since = self._valid_since, None
        if valid_since is not None and self._clock.seconds() >= valid_since + RETRY_MAX_SECONDS:
            self._failures = 0
        self._failures += 1
        delay = min(RETRY_MAX_SECONDS, RETRY_BASE_SECONDS * 2 ** min(self._failures, 10)) * (
            0.5 + 0.5 * self._random()
        )
        self._set_timer(delay, self.start)

    def _close(self) -> None:
        self._attempt += 1
        body, self._body, request, self._request = self._body, None, self._request, None
        if body is not None:
            body.stop()
        elif request is not None:
            request.cancel()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._clock.callLater(delay, callback)
