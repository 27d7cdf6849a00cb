"""Takes reports in, whatever way they came: who sent it, is there room, does it read, does it count. Free
of I/O.

In that order, each dearer than the one before: an address, a budget, a token, then the reading itself. What
floods is turned away before it is decoded. Memory is bounded by the servers that are listed, never by
traffic.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from enum import Enum

import attrs
from google.protobuf.message import DecodeError

from rushladder.intake.agent import AgentStatus
from rushladder.intake.hints import Hints
from rushladder.intake.limits import TENTHS, ReportLimits, RateVerdict
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.intake.readings import GONE, ReadingOutcome, Reading
from rushladder.structures.quantiles import QuantileSketch
from rushladder.structures.timing_wheel import TimingWheel

MAX_REPORT_BYTES = 2048  # bytes of a report: a hundred named metrics
FASTEST = 1e6  # txns a second that a server can claim: beyond any real one
TICK = 1000  # 0.1 s: expiry need not be told any closer


class ReportOutcome(Enum):
    """What became of a report; each is counted."""

    TAKEN = "taken"
    LATE = "late, still counted"
    STRANGER = "from an address that no server reports from"
    FORGED = "name or token of another"
    OVER_OWN = "over its sender's budget"
    OVER_ALL = "over the budget of all"
    MALFORMED = "not readable"
    OVERSIZED = "too long"
    REPEATED = "repeated, or too late"
    OLD_LIFE = "of a life before the last start"
    UNREAL = "no load, or a clock that ran ahead"


ORDERS = {
    ReadingOutcome.NEW: ReportOutcome.TAKEN,
    ReadingOutcome.LATE: ReportOutcome.LATE,
    ReadingOutcome.REPEATED: ReportOutcome.REPEATED,
    ReadingOutcome.OLD_LIFE: ReportOutcome.OLD_LIFE,
    ReadingOutcome.UNREAL: ReportOutcome.UNREAL,
}


@attrs.define(eq=False)
class Sender:
    """A server that may report: the address that it reports from, and its token."""

    name: str
    address: str
    token: bytes
    reading: Reading = attrs.field(factory=Reading)
    agent: AgentStatus | None = None
    rate: float = 0.0  # txns a second that it last said it gets
    numbers: int = 0  # of answers to agent checks, which carry none of their own


class ReportProcessor:
    """own, burst: reports a second of one server, and at once; all_: of all together."""

    def __init__(
        self, now: int, own: float = 5.0, burst: int = 5, all_: float = 2000.0, blind: bool = False
    ) -> None:
        self.limits, self.hints = ReportLimits(own, burst, all_), Hints(blind)
        self.counts = dict.fromkeys(ReportOutcome, 0)
        self._by_address, self.senders = dict[str, Sender](), dict[str, Sender]()
        self._expiry = TimingWheel[str](TICK, now)
        self._word = Envelope()
        self.current_hints = dict[str, float]()  # the hints of the last period
        self.version = 0  # of who may report from where

    def register(self, name: str, address: str, token: bytes) -> None:
        """A server that reports from this address with this token; the same again changes nothing."""
        known = self.senders.get(name)
        if known is not None and (known.address, known.token) == (address, token):
            return
        self.forget(name)
        self.senders[name] = self._by_address[address] = Sender(name, address, token)
        self.version += 1

    def forget(self, name: str) -> None:
        known = self.senders.pop(name, None)
        if known is not None:
            self._by_address.pop(known.address, None)
            self.version += 1
            self.limits.forget(name)
            self._expiry.cancel(name)

    def addresses(self) -> list[str]:
        return list(self._by_address)

    def passed_over(self, address: str, many: int) -> None:
        """Reports that newer ones of their sender pushed out before they were read."""
        self.counts[ReportOutcome.OVER_OWN] += many
        if (sender := self._by_address.get(address)) is not None:
            self.limits.heavy.add(sender.name, many)

    def report(self, address: str, data: bytes, now: int) -> ReportOutcome:
        """One report as it came from an address."""
        fate = self._report(address, data, now)
        self.counts[fate] += 1
        return fate

    def _report(self, address: str, data: bytes, now: int) -> ReportOutcome:
        sender = self._by_address.get(address)
        if sender is None:
            return ReportOutcome.STRANGER
        taken = self.limits.admit(sender.name, now)
        if taken is not RateVerdict.ACCEPTED:
            return (
                ReportOutcome.OVER_OWN if taken is RateVerdict.OVER_SENDER_BUDGET else ReportOutcome.OVER_ALL
            )
        if len(data) > MAX_REPORT_BYTES:
            return ReportOutcome.OVERSIZED
        word = self._word
        try:
            word.ParseFromString(data)
        except DecodeError:
            return ReportOutcome.MALFORMED
        if word.server != sender.name or not hmac.compare_digest(word.token, sender.token):
            return ReportOutcome.FORGED
        fate = self._take(sender, word.boot, word.number, 10.0 * word.uptime, load_of(word.report), now)
        if fate is ReportOutcome.TAKEN and 0.0 <= word.report.rps_fractional < FASTEST:
            sender.rate = word.report.rps_fractional
        return fate

    def rates(self, now: int) -> dict[str, float]:
        """Txns a second by server, as those whose reports are fresh say."""
        return {name: one.rate for name, one in self.senders.items() if one.reading.freshness(now) >= 1.0}

    def record_agent_check(self, name: str, answer: AgentStatus, now: int) -> None:
        """What an agent check brought: its weight tells how much of the server is free."""
        sender = self.senders.get(name)
        if sender is None:
            return
        sender.agent = answer
        if answer.weight is not None:
            sender.numbers += 1
            self.counts[
                self._take(sender, 0, sender.numbers, float(now), max(0.0, 1.0 - answer.weight), now)
            ] += 1

    def _take(
        self, sender: Sender, boot: int, number: int, uptime: float, load: float, now: int
    ) -> ReportOutcome:
        fresh = sender.reading.boot < 0
        fate = ORDERS[sender.reading.add(boot, number, uptime, load, now)]
        if fresh and fate is ReportOutcome.TAKEN:
            self._expiry.set(sender.name, now + GONE)
        return fate

    def update_hints(self, latency: Mapping[str, float], now: int) -> dict[str, float]:
        """Once a period: forgets what is long gone, and says how far each server's weight may move."""
        for name in self._expiry.advance(now):  # armed anew only where it is due: a report costs nothing here
            sender = self.senders[name]
            if now - sender.reading.last_heard >= GONE:
                sender.reading = Reading()
            else:
                self._expiry.set(name, sender.reading.last_heard + GONE)
        loads = {
            name: (sender.reading.value(), say)
            for name, sender in self.senders.items()
            if (say := sender.reading.freshness(now)) > 0
        }
        self.current_hints = self.hints.period(loads, latency)
        return self.current_hints

    def distributions(self, now: int) -> tuple[QuantileSketch, QuantileSketch]:
        """Loads and ages (s) of the fleet's readings."""
        loads, ages = QuantileSketch(), QuantileSketch()
        for sender in self.senders.values():
            if sender.reading.boot >= 0:
                loads.add(sender.reading.value())
                ages.add((now - sender.reading.last_heard) / TENTHS)
        return loads, ages


def load_of(report: OrcaLoadReport) -> float:
    """The load of a report: the application's own measure if it gives one, else its CPU's; 1 is full."""
    return report.application_utilization or report.cpu_utilization
