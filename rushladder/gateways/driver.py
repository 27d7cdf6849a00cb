"""Drives one gateway over its runtime socket: reads it, takes part in its election and sends it updates.

The driver makes no decisions itself: `HolderElection` decides which manager holds the gateway, the core what
the gateway should hold, and `server_commands` the order of commands. A lost connection and an unexpected
answer are handled alike: the gateway's content is read back and compared, so that recovery and normal
operation share the same code.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from rushladder.core.host import LEVELS_MAP, RETRIES_MAP, Core, Message, GatewaySession
from rushladder.core.traffic import TrafficSums
from rushladder.gateways.diff import GatewayContent, apply_commands, map_commands, read_lines, read_map
from rushladder.gateways.election import (
    Effect,
    HolderElection,
    HolderState,
    HolderRecord,
    parse_holder_record,
)
from rushladder.gateways.meter import ProcessIdentity, TrafficDelta, Meter
from rushladder.interface import Event, Joined, Left, Product
from rushladder.records import Gateway, Server
from rushladder.runtime.endpoint import RuntimeClient, NoAnswer
from rushladder.runtime.grammar import Command, parse_fields
from rushladder.timing import TENTHS_PER_SECOND, Clock, DelayedCall, clock_tenths

HOLDER_VAR, WRITE_VAR = "proc.rushladder_holder", "proc.rushladder_wrote"
SUCCESS_ANSWERS = ("", "New server registered.\n", "Server deleted.\n")
COMMANDS_PER_LINE = 60  # far below the maximum line length, with names of 64 characters
# s between two connection attempts: short for a gateway that restarts, cheap for one that stays down.
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 0.2, 2.0
# s between removals of unlisted servers: longer than any expiry, so that their txns have ended.
SWEEP_INTERVAL = 30.0
MAX_RESEND_DELAY = 30.0  # s between two attempts at commands that the gateway refuses


class Log(Protocol):
    """The structured logger that the driver writes to."""

    def info(self, event: str, **more: Any) -> Any: ...

    def warning(self, event: str, **more: Any) -> Any: ...


@attrs.frozen
class DriverTimes:
    """The interval between two readings and the timeout of an answer, in seconds."""

    poll_interval: float
    answer_timeout: float


class UnexpectedAnswer(Exception):
    """An answer of the gateway that does not match the command."""


def parse_command(text: str) -> Command:
    return Command(tuple(text.split()))


def set_var(name: str, value: str) -> Command:
    return Command(("set", "var", name, f"str({value})"))


def parse_var(answer: str) -> str:
    """The value in an answer to `get var`; empty if there is none."""
    match = re.search(r"value=<([^<>\n]*)>", answer)
    return match[1] if match else ""


class GatewayDriver:
    """Drives one gateway.

    connect: connects the client it is given and fires once connected; give_events: passes a batch of events
    to the core; report_error: records an error for `show errors`; give_way: called when a later process of
    the same name has replaced this manager.
    """

    def __init__(
        self,
        clock: Clock,
        connect: Callable[[RuntimeClient], Deferred[Any]],
        gateway: Gateway,
        core: Core,
        traffic: TrafficSums,
        election: HolderElection,
        times: DriverTimes,
        random: Callable[[], float],
        log: Log,
        give_events: Callable[..., None],
        report_error: Callable[[str], None],
        give_way: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock, self._connect, self.gateway, self._core = clock, connect, gateway, core
        self._traffic, self.election, self._times, self._random = traffic, election, times, random
        self._log, self._give_events, self._report_error, self._give_way = (
            log,
            give_events,
            report_error,
            give_way,
        )
        self._products = {product.name: product for product in core.products}
        self._client: RuntimeClient | None = None
        self._meter = Meter()
        self.session: GatewaySession | None = None
        self._retry_delay, self._resend_after, self._write_number = MIN_RETRY_DELAY, 0.0, 0
        self._sending, self._swept_at = False, clock.seconds()
        self._send_timer: DelayedCall | None = None
        self._poll_timer: DelayedCall | None = None
        self._stopped = False
        self.last_write = ""

    # Connection.

    def start(self) -> None:
        self._dial()

    def stop(self) -> None:
        """Stops sending; the gateway continues with its present content."""
        self._stopped = True
        for call in (self._send_timer, self._poll_timer):
            if call is not None and call.active():
                call.cancel()
        if self._client is not None:
            self._client.drop("the manager stops")

    @property
    def connected(self) -> bool:
        return self._client is not None and self._client.open

    def unanswered_commands(self) -> int:
        """The number of commands that the gateway has not answered yet."""
        return self._client.waiting() if self._client else 0

    def _dial(self) -> None:
        if self._stopped:
            return
        client = RuntimeClient(self._clock, self._times.answer_timeout, self._on_connection_lost)
        self._client = client
        self._connect(client).addCallbacks(lambda _: self._on_connected(client), self._on_connect_failed)

    def _on_connect_failed(self, failure: Failure) -> None:
        self._retry(f"no connection: {failure.value}")

    def _on_connected(self, client: RuntimeClient) -> None:
        self._run(self._initialize(client))

    async def _initialize(self, client: RuntimeClient) -> None:
        assert client.greeting is not None
        await client.greeting
        await client.send(parse_command("experimental-mode on"))
        self._retry_delay = MIN_RETRY_DELAY
        await self._read(client)

    def _on_connection_lost(self, reason: str) -> None:
        for call in (self._poll_timer, self._send_timer):
            if call is not None and call.active():
                call.cancel()
        self._sending = False
        if self.election.connection_lost() is Effect.END:
            self._end_holding(f"connection lost: {reason}")
        if not self._stopped:
            self._retry(reason)

    def _retry(self, reason: str) -> None:
        if self._stopped:
            return
        self._report_error(f"gateway {self.gateway.name}: {reason}")
        self._clock.callLater(self._retry_delay * (0.5 + self._random()), self._dial)
        self._retry_delay = min(MAX_RETRY_DELAY, 2 * self._retry_delay)

    def _run(self, coroutine: Awaitable[None]) -> None:
        Deferred.fromCoroutine(coroutine).addErrback(self._failed)  # type: ignore[arg-type]

    def _failed(self, failure: Failure) -> None:
        if failure.check(NoAnswer):
            return  # reported when the connection ends
        self._report_error(f"gateway {self.gateway.name}: {failure.value}")
        if failure.check(UnexpectedAnswer) is None:
            self._log.warning(
                "gateway.fault",
                gateway=self.gateway.name,
                cause=str(failure.value),
                kind=failure.type.__name__ if failure.type else "",
            )
        if self._client is not None:
            self._client.drop(f"{failure.value}")

    # Reading.

    def _next_poll(self, client: RuntimeClient) -> None:
        if client.open and not self._stopped:
            self._poll_timer = self._clock.callLater(
                self._times.poll_interval, lambda: self._run(self._read(client))
            )

    async def _read(self, client: RuntimeClient) -> None:
        asked_at = clock_tenths(self._clock)
        commands = [parse_command(f"get var {HOLDER_VAR}"), parse_command(f"get var {WRITE_VAR}")]
        if self.election.state is HolderState.HOLDING:
            commands += [parse_command("show info"), parse_command("show stat -1 6 -1")]
        answers = await client.send(*commands)
        now = clock_tenths(self._clock)
        effect = self.election.read(parse_holder_record(parse_var(answers[0])), asked_at, now)
        await self._apply_effect(client, effect)
        if self.session is not None and self.election.state is HolderState.HOLDING:
            if parse_var(answers[1]) != self.last_write and not self._sending and effect is not Effect.BEGIN:
                self._log.warning(
                    "gateway.foreign-write", gateway=self.gateway.name, wrote=parse_var(answers[1])
                )
                await self._read_back(client)
            if len(answers) == 4:
                self._record_traffic(answers[2], answers[3], asked_at)
            self.kick()
            await self._sweep(client, self.session)
        self._next_poll(client)

    async def _sweep(self, client: RuntimeClient, session: GatewaySession) -> None:
        """Periodically removes servers that are no longer listed.

        One that the gateway refuses to remove, as it still has connections, is tried again later.
        """
        if self._clock.seconds() < self._swept_at + SWEEP_INTERVAL or self._sending:
            return
        self._swept_at = self._clock.seconds()
        commands = self._core.sweep(session)[:COMMANDS_PER_LINE]
        if commands and self.election.may_send(clock_tenths(self._clock)):
            answers = await client.send(*commands)
            done = [
                command
                for command, answer in zip(commands, answers, strict=True)
                if answer in SUCCESS_ANSWERS
            ]
            apply_commands(session.held.lines, done)

    async def _apply_effect(self, client: RuntimeClient, effect: Effect) -> None:
        if effect in (Effect.END, Effect.END_CLAIM):
            self._end_holding("held by another manager" if effect is Effect.END else "the gateway restarted")
            if self.election.state is HolderState.REPLACED:
                return self._give_way()
        if effect in (Effect.CLAIM, Effect.END_CLAIM, Effect.BEGIN, Effect.HEARTBEAT, Effect.REPAIR):
            await client.send(set_var(HOLDER_VAR, str(self.election.record())))
        if effect is Effect.BEGIN:
            held = await self._read_content(client)
            if self.election.state is HolderState.HOLDING:
                self._begin_holding(held)
        if effect is Effect.REPAIR and self.session is not None:
            self._log.warning("gateway.stale-claim", gateway=self.gateway.name, epoch=self.election.epoch)
            await self._read_back(client)

    async def _read_content(self, client: RuntimeClient) -> GatewayContent:
        answers = await client.send(
            parse_command("show servers state"),
            parse_command(f"show map {LEVELS_MAP}"),
            parse_command(f"show map {RETRIES_MAP}"),
        )
        if "# " not in answers[0]:
            raise UnexpectedAnswer(
                f"no server table in the answer to show servers state: {answers[0][:80]!r}"
            )
        return GatewayContent(
            read_lines(answers[0]), {LEVELS_MAP: read_map(answers[1]), RETRIES_MAP: read_map(answers[2])}
        )

    async def _read_back(self, client: RuntimeClient) -> None:
        held = await self._read_content(client)
        if self.session is not None:
            self._core.reset_held_content(self.session, held)
            self._write_number += 1
            self.last_write = str(self._write_record())
            await client.send(set_var(WRITE_VAR, self.last_write))
            self.kick()

    def _record_traffic(self, info: str, stat: str, asked_at: int) -> None:
        info_fields = parse_fields(info)
        uptime = info_fields.get("Uptime_sec", "")
        if not uptime.isdigit():
            raise UnexpectedAnswer(f"no Uptime_sec in the answer to show info: {info[:80]!r}")
        deltas, span = self._meter.poll(
            stat,
            ProcessIdentity(info_fields.get("Pid", ""), asked_at - int(uptime) * TENTHS_PER_SECOND),
            asked_at,
        )
        tries, arrivals = dict[Server, TrafficDelta](), dict[Product, TrafficDelta]()
        for (backend, name), delta in deltas.items():
            listed = self._core.roster.listed.get(name)
            if name == "BACKEND" and backend in self._products:
                arrivals[self._products[backend]] = delta
            elif listed is not None:
                if span and backend in self._products:
                    self._traffic.add_product_outcomes(
                        self.gateway, self._products[backend], delta.count, delta.voided, delta.time
                    )
                previous = tries.get(listed.server)
                tries[listed.server] = (
                    delta
                    if previous is None
                    else TrafficDelta(
                        previous.count + delta.count,
                        previous.voided + delta.voided,
                        previous.arrived + delta.arrived,
                        previous.time + delta.time,
                    )
                )
        # A product without traffic is reported with zero arrivals, not left out.
        arrivals = {
            product: arrivals.get(product, TrafficDelta(0, 0, 0, 0.0)) for product in self._products.values()
        }
        self._traffic.add_outcomes(self.gateway, tries, arrivals, span)

    # Begin and end of holding.

    def _begin_holding(self, held: GatewayContent) -> None:
        self._write_number = 0
        self._meter = Meter()
        self.last_write = ""
        self.session = self._core.add_gateway(self.gateway, held)
        self._log.info(
            "gateway.held", gateway=self.gateway.name, epoch=self.election.epoch, lines=len(held.lines)
        )
        events: tuple[Event, ...] = (Joined(self.gateway, not held.lines),)
        self._give_events(*events)

    def _end_holding(self, cause: str) -> None:
        if self.session is None:
            return
        self.session = None
        self._log.info("gateway.left", gateway=self.gateway.name, epoch=self.election.epoch, cause=cause)
        self._traffic.remove_gateway(self.gateway)
        self._core.remove_gateway(self.gateway)
        self._give_events(Left(self.gateway))

    def _write_record(self) -> HolderRecord:
        record = self.election.record()
        return HolderRecord(record.epoch, record.manager, record.region, self._write_number)

    # Sending.

    def kick(self) -> None:
        """Sends pending updates now, or as soon as the message cap allows."""
        session, now = self.session, clock_tenths(self._clock)
        if session is None or self._sending or self._client is None or not self._client.open:
            return
        due = session.due(now)
        if due is None:
            return
        due = max(due, int(self._resend_after * TENTHS_PER_SECOND))
        if due > now or not self.election.may_send(now):
            if self._send_timer is None or not self._send_timer.active():
                wait = max(due - now, 1) / TENTHS_PER_SECOND if due > now else self._times.poll_interval / 4
                self._send_timer = self._clock.callLater(wait, self.kick)
            return
        self._sending = True
        self._run(self._send(self._client, session, self._core.next_message(now, session)))

    async def _send(self, client: RuntimeClient, session: GatewaySession, message: Message) -> None:
        refusals = list[str]()
        if message.commands or message.maps:
            refusals = await self._send_commands(client, message)
            if session is not self.session:
                return
            apply_commands(session.held.lines, message.commands)
            session.held.maps.update({name: dict(entries) for name, entries in message.maps.items()})
        self._sending = False
        if refusals:
            self._report_error(f"gateway {self.gateway.name} refused: {refusals[0][:200]}")
            self._log.warning(
                "gateway.refused", gateway=self.gateway.name, answer=refusals[0][:200], many=len(refusals)
            )
            self._resend_after = self._clock.seconds() + min(MAX_RESEND_DELAY, self._retry_delay)
            self._retry_delay = min(MAX_RESEND_DELAY, 2 * self._retry_delay)
            await self._read_back(client)
            return
        self._retry_delay = MIN_RETRY_DELAY
        self._core.message_applied(clock_tenths(self._clock), session)
        self._give_events()
        self.kick()  # sends orders received in between

    async def _send_commands(self, client: RuntimeClient, message: Message) -> list[str]:
        """Sends a message and returns the answers that report a failure.

        The map versions are prepared first, as later commands need their numbers.
        """
        commands = list(message.commands)
        versions = dict[str, str]()
        for name in message.maps:
            answer = (await client.send(parse_command(f"prepare map {name}")))[0]
            match = re.search(r"New version created: (\d+)", answer)
            if match is None:
                return [answer or f"prepare map {name}: no version in the answer"]
            versions[name] = match[1]
        for name, entries in message.maps.items():
            commands += map_commands(name, versions[name], entries)
        self._write_number += 1
        self.last_write = str(self._write_record())
        commands.append(set_var(WRITE_VAR, self.last_write))
        refusals = list[str]()
        for start in range(0, len(commands), COMMANDS_PER_LINE):
            answers = await client.send(*commands[start : start + COMMANDS_PER_LINE])
            refusals += [answer for answer in answers if answer not in SUCCESS_ANSWERS]
        return refusals
