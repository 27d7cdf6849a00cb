"""Processes load reports from all sources: checks the sender, the rate limit, the format and the reading.

The checks run in this order because each costs more than the one before it, so that a flood is rejected
before it is decoded. Memory is bounded by the number of listed servers, not by traffic. Performs no I/O.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from enum import Enum

import attrs
from google.protobuf.message import DecodeError

from rushladder.intake.agent import AgentStatus
from rushladder.intake.hints import Hints
from rushladder.intake.limits import TICKS_PER_SECOND, RateVerdict, ReportLimits
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport
from rushladder.intake.readings import GONE_AFTER, Reading, ReadingOutcome
from rushladder.structures.quantiles import QuantileSketch
from rushladder.structures.timing_wheel import TimingWheel

MAX_REPORT_BYTES = 2048  # enough for a hundred named metrics
MAX_TXNS_PER_SECOND = 1e6  # that a server can claim; no real one comes close
EXPIRY_TICK = 1000  # 0.1 s, accurate enough for expiry


class ReportOutcome(Enum):
    """What became of a report. Reports are counted by outcome and shown to operators by its name."""

    TAKEN = "accepted"
    LATE = "older than the newest, still counted"
    STRANGER = "from an address that no server reports from"
    FORGED = "with the name or token of another server"
    OVER_OWN = "over the sender's own budget"
    OVER_ALL = "over the total budget"
    MALFORMED = "malformed"
    OVERSIZED = "too long"
    REPEATED = "duplicate, or too old"
    OLD_LIFE = "from an incarnation before the server's last start"
    UNREAL = "invalid load, or a clock that ran ahead"


OUTCOMES = {
    ReadingOutcome.NEW: ReportOutcome.TAKEN,
    ReadingOutcome.LATE: ReportOutcome.LATE,
    ReadingOutcome.DUPLICATE: ReportOutcome.REPEATED,
    ReadingOutcome.OLD_INCARNATION: ReportOutcome.OLD_LIFE,
    ReadingOutcome.INVALID: ReportOutcome.UNREAL,
}


@attrs.define(eq=False)
class Sender:
    """A server that may report, the address that it reports from, and its token."""

    name: str
    address: str
    token: bytes
    reading: Reading = attrs.field(factory=Reading)
    agent: AgentStatus | None = None
    rate: float = 0.0  # txns per second by its latest report
    checks: int = 0  # agent checks answered; their sequence number, as answers carry none


class ReportProcessor:
    """own: reports per second of one server; burst: how many it may send at once; all_: reports per second of
    all servers together; blind: hints believe every report."""

    def __init__(
        self, now: int, own: float = 5.0, burst: int = 5, all_: float = 2000.0, blind: bool = False
    ) -> None:
        self.limits, self.hints = ReportLimits(own, burst, all_), Hints(blind)
        self.counts = dict.fromkeys(ReportOutcome, 0)
        self._by_address, self.senders = dict[str, Sender](), dict[str, Sender]()
        self._expiry = TimingWheel[str](EXPIRY_TICK, now)
        self._envelope = Envelope()
        self.current_hints = dict[str, float]()  # the hints of the last period
        self.version = 0  # changes with the set of senders and addresses

    def register(self, name: str, address: str, token: bytes) -> None:
        """Registers a server that reports from this address with this token. Idempotent."""
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
        """The addresses that servers report from."""
        return list(self._by_address)

    def count_displaced(self, address: str, count: int) -> None:
        """Counts reports that were displaced by newer ones of the same sender before they were read."""
        self.counts[ReportOutcome.OVER_OWN] += count
        if (sender := self._by_address.get(address)) is not None:
            self.limits.heavy.add(sender.name, count)

    def report(self, address: str, data: bytes, now: int) -> ReportOutcome:
        """Processes and counts a report received from an address."""
        outcome = self._report(address, data, now)
        self.counts[outcome] += 1
        return outcome

    def _report(self, address: str, data: bytes, now: int) -> ReportOutcome:
        sender = self._by_address.get(address)
        if sender is None:
            return ReportOutcome.STRANGER
        verdict = self.limits.admit(sender.name, now)
        if verdict is not RateVerdict.ACCEPTED:
            return (
                ReportOutcome.OVER_OWN
                if verdict is RateVerdict.OVER_SENDER_BUDGET
                else ReportOutcome.OVER_ALL
            )
        if len(data) > MAX_REPORT_BYTES:
            return ReportOutcome.OVERSIZED
        envelope = self._envelope
        try:
            envelope.ParseFromString(data)
        except DecodeError:
            return ReportOutcome.MALFORMED
        if envelope.server != sender.name or not hmac.compare_digest(envelope.token, sender.token):
            return ReportOutcome.FORGED
        outcome = self._add_reading(
            sender, envelope.boot, envelope.number, 10.0 * envelope.uptime, load_of(envelope.report), now
        )
        if outcome is ReportOutcome.TAKEN and 0.0 <= envelope.report.rps_fractional < MAX_TXNS_PER_SECOND:
            sender.rate = envelope.report.rps_fractional
        return outcome

    def rates(self, now: int) -> dict[str, float]:
        """The reported txns per second of each server whose reading is fresh."""
        return {
            name: sender.rate for name, sender in self.senders.items() if sender.reading.freshness(now) >= 1.0
        }

    def record_agent_check(self, name: str, answer: AgentStatus, now: int) -> None:
        """Processes the answer to an agent check. Its weight states how much of the server is free."""
        sender = self.senders.get(name)
        if sender is None:
            return
        sender.agent = answer
        if answer.weight is not None:
            sender.checks += 1
            self.counts[
                self._add_reading(sender, 0, sender.checks, float(now), max(0.0, 1.0 - answer.weight), now)
            ] += 1

    def _add_reading(
        self, sender: Sender, boot: int, number: int, uptime: float, load: float, now: int
    ) -> ReportOutcome:
        is_first = sender.reading.boot < 0
        outcome = OUTCOMES[sender.reading.add(boot, number, uptime, load, now)]
        if is_first and outcome is ReportOutcome.TAKEN:
            self._expiry.set(sender.name, now + GONE_AFTER)
        return outcome

    def update_hints(self, latency: Mapping[str, float], now: int) -> dict[str, float]:
        """Called once per period: drops expired readings and returns the hints, one factor for each server's
        weight. latency: server -> measured mean latency relative to the fleet's."""
        # Expiry times are moved only when they are reached, so that a report doesn't pay for it.
        for name in self._expiry.advance(now):
            sender = self.senders[name]
            if now - sender.reading.last_heard >= GONE_AFTER:
                sender.reading = Reading()
            else:
                self._expiry.set(name, sender.reading.last_heard + GONE_AFTER)
        loads = {
            name: (sender.reading.value(), freshness)
            for name, sender in self.senders.items()
            if (freshness := sender.reading.freshness(now)) > 0
        }
        self.current_hints = self.hints.update(loads, latency)
        return self.current_hints

    def distributions(self, now: int) -> tuple[QuantileSketch, QuantileSketch]:
        """The distributions of the loads and of the ages (in seconds) of all readings."""
        loads, ages = QuantileSketch(), QuantileSketch()
        for sender in self.senders.values():
            if sender.reading.boot >= 0:
                loads.add(sender.reading.value())
                ages.add((now - sender.reading.last_heard) / TICKS_PER_SECOND)
        return loads, ages


def load_of(report: OrcaLoadReport) -> float:
    """The load in a report, 1 being full: the application's own measure if given, else that of the CPU."""
    return report.application_utilization or report.cpu_utilization
