"""Drives one gateway over its runtime socket: reads it, holds it, sends it what it is owed.

Nothing is decided here: `HolderElection` says who holds the gateway, the core what it should hold,
`server_commands` in which order. A connection that is lost, and an answer that is not what was
asked for, end alike: what the gateway holds is read back and compared, so that recovery and ordinary
operation are the same code.
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
from rushladder.gateways.election import Effect, HolderElection, HolderState, Word, read_word
from rushladder.gateways.meter import Birth, Met, Meter
from rushladder.interface import Event, Joined, Left, Product
from rushladder.records import Gateway, Server
from rushladder.runtime.endpoint import RuntimeClient, NoAnswer
from rushladder.runtime.grammar import Command, parse_fields
from rushladder.timing import TENTHS_PER_SECOND, Clock, DelayedCall, clock_tenths

HOLDER, WROTE = "proc.rushladder_holder", "proc.rushladder_wrote"
GOOD_ANSWERS = ("", "New server registered.\n", "Server deleted.\n")
A_LINE = 60  # commands joined in a line: far below the line bound with names of 64 characters
FIRST_WAIT, LAST_WAIT = (
    0.2,
    2.0,
)  # s between two dials: a gateway that restarts is found soon, a dead one cheaply
SWEEP = (
    30.0  # s between two looks for servers off the list: longer than any expiry, so that their txns are over
)
AGAIN_MOST = 30.0  # s between two attempts at orders that a gateway refuses


class Log(Protocol):
    def info(self, event: str, **more: Any) -> Any: ...

    def warning(self, event: str, **more: Any) -> Any: ...


@attrs.frozen
class DriverTimes:
    """In seconds: between two readings, and for one answer."""

    poll: float
    patience: float


class Unexpected(Exception):
    """A gateway's answer that is not what the command gives."""


def words(text: str) -> Command:
    return Command(tuple(text.split()))


def set_var(name: str, value: str) -> Command:
    return Command(("set", "var", name, f"str({value})"))


def read_var(answer: str) -> str:
    """The value of `get var`'s answer; empty where there is none."""
    match = re.search(r"value=<([^<>\n]*)>", answer)
    return match[1] if match else ""


class GatewayDriver:
    """One gateway. `give` hands the core a batch of events; `connect` dials and fires with the client it
    was given."""

    def __init__(
        self,
        clock: Clock,
        connect: Callable[[RuntimeClient], Deferred[Any]],
        gateway: Gateway,
        core: Core,
        reports: TrafficSums,
        election: HolderElection,
        times: DriverTimes,
        draw: Callable[[], float],
        log: Log,
        give: Callable[..., None],
        fault: Callable[[str], None],
        give_way: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock, self._connect, self.gateway, self._core = clock, connect, gateway, core
        self._reports, self.election, self._times, self._draw = reports, election, times, draw
        self._log, self._give, self._fault, self._give_way = log, give, fault, give_way
        self._products = {product.name: product for product in core.products}
        self._client: RuntimeClient | None = None
        self._meter = Meter()
        self.session: GatewaySession | None = None
        self._wait, self._again, self._numbers = FIRST_WAIT, 0.0, 0
        self._sending, self._swept = False, clock.seconds()
        self._later: DelayedCall | None = None
        self._poll: DelayedCall | None = None
        self._stopped = False
        self.last_wrote = ""

    # The connection.

    def start(self) -> None:
        self._dial()

    def stop(self) -> None:
        """Lets the gateway go on with what it holds; nothing more is sent."""
        self._stopped = True
        for call in (self._later, self._poll):
            if call is not None and call.active():
                call.cancel()
        if self._client is not None:
            self._client.drop("the manager stops")

    @property
    def connected(self) -> bool:
        return self._client is not None and self._client.open

    def unanswered_commands(self) -> int:
        """Commands that the gateway has not answered."""
        return self._client.waiting() if self._client else 0

    def _dial(self) -> None:
        if self._stopped:
            return
        client = RuntimeClient(self._clock, self._times.patience, self._lost)
        self._client = client
        self._connect(client).addCallbacks(lambda _: self._met(client), self._undialled)

    def _undialled(self, failure: Failure) -> None:
        self._retry(f"no connection: {failure.value}")

    def _met(self, client: RuntimeClient) -> None:
        self._run(self._greet(client))

    async def _greet(self, client: RuntimeClient) -> None:
        assert client.greeting is not None
        await client.greeting
        await client.send(words("experimental-mode on"))
        self._wait = FIRST_WAIT
        await self._read(client)

    def _lost(self, why: str) -> None:
        for call in (self._poll, self._later):
            if call is not None and call.active():
                call.cancel()
        self._sending = False
        if self.election.lost() is Effect.END:
            self._end(f"connection lost: {why}")
        if not self._stopped:
            self._retry(why)

    def _retry(self, why: str) -> None:
        if self._stopped:
            return
        self._fault(f"gateway {self.gateway.name}: {why}")
        self._clock.callLater(self._wait * (0.5 + self._draw()), self._dial)
        self._wait = min(LAST_WAIT, 2 * self._wait)

    def _run(self, work: Awaitable[None]) -> None:
        Deferred.fromCoroutine(work).addErrback(self._failed)  # type: ignore[arg-type]

    def _failed(self, failure: Failure) -> None:
        if failure.check(NoAnswer):
            return  # the connection's end tells it
        self._fault(f"gateway {self.gateway.name}: {failure.value}")
        if failure.check(Unexpected) is None:
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
            self._poll = self._clock.callLater(self._times.poll, lambda: self._run(self._read(client)))

    async def _read(self, client: RuntimeClient) -> None:
        asked = clock_tenths(self._clock)
        questions = [words(f"get var {HOLDER}"), words(f"get var {WROTE}")]
        if self.election.state is HolderState.HOLDING:
            questions += [words("show info"), words("show stat -1 6 -1")]
        answers = await client.send(*questions)
        now = clock_tenths(self._clock)
        effect = self.election.read(read_word(read_var(answers[0])), asked, now)
        await self._carry_out(client, effect)
        if self.session is not None and self.election.state is HolderState.HOLDING:
            if read_var(answers[1]) != self.last_wrote and not self._sending and effect is not Effect.BEGIN:
                self._log.warning(
                    "gateway.foreign-write", gateway=self.gateway.name, wrote=read_var(answers[1])
                )
                await self._read_back(client)
            if len(answers) == 4:
                self._met_since(answers[2], answers[3], asked)
            self.kick()
            await self._sweep(client, self.session)
        self._next_poll(client)

    async def _sweep(self, client: RuntimeClient, session: GatewaySession) -> None:
        """Now and then, what nobody lists any more; a refusal (it still has connections) is asked again
        later."""
        if self._clock.seconds() < self._swept + SWEEP or self._sending:
            return
        self._swept = self._clock.seconds()
        commands = self._core.sweep(session)[:A_LINE]
        if commands and self.election.may_send(clock_tenths(self._clock)):
            answers = await client.send(*commands)
            done = [
                command for command, answer in zip(commands, answers, strict=True) if answer in GOOD_ANSWERS
            ]
            apply_commands(session.held.lines, done)

    async def _carry_out(self, client: RuntimeClient, effect: Effect) -> None:
        if effect in (Effect.END, Effect.END_CLAIM):
            self._end("held by another" if effect is Effect.END else "the gateway restarted")
            if self.election.state is HolderState.REPLACED:
                return self._give_way()
        if effect in (Effect.CLAIM, Effect.END_CLAIM, Effect.BEGIN, Effect.BEAT, Effect.REPAIR):
            await client.send(set_var(HOLDER, str(self.election.word())))
        if effect is Effect.BEGIN:
            held = await self._held(client)
            if self.election.state is HolderState.HOLDING:
                self._begin(held)
        if effect is Effect.REPAIR and self.session is not None:
            self._log.warning("gateway.stale-claim", gateway=self.gateway.name, epoch=self.election.epoch)
            await self._read_back(client)

    async def _held(self, client: RuntimeClient) -> GatewayContent:
        answers = await client.send(
            words("show servers state"), words(f"show map {LEVELS_MAP}"), words(f"show map {RETRIES_MAP}")
        )
        if "# " not in answers[0]:
            raise Unexpected(f"no table of servers: {answers[0][:80]!r}")
        return GatewayContent(
            read_lines(answers[0]), {LEVELS_MAP: read_map(answers[1]), RETRIES_MAP: read_map(answers[2])}
        )

    async def _read_back(self, client: RuntimeClient) -> None:
        held = await self._held(client)
        if self.session is not None:
            self._core.read_back(self.session, held)
            self._numbers += 1
            self.last_wrote = str(self._stamp())
            await client.send(set_var(WROTE, self.last_wrote))
            self.kick()

    def _met_since(self, info: str, stat: str, asked: int) -> None:
        facts = parse_fields(info)
        up = facts.get("Uptime_sec", "")
        if not up.isdigit():
            raise Unexpected(f"no uptime in: {info[:80]!r}")
        found, span = self._meter.poll(
            stat, Birth(facts.get("Pid", ""), asked - int(up) * TENTHS_PER_SECOND), asked
        )
        tries, came = dict[Server, Met](), dict[Product, Met]()
        for (backend, name), met in found.items():
            listed = self._core.roster.listed.get(name)
            if name == "BACKEND" and backend in self._products:
                came[self._products[backend]] = met
            elif listed is not None:
                if span and backend in self._products:
                    self._reports.met(self.gateway, self._products[backend], met.many, met.voided, met.time)
                old = tries.get(listed.server)
                tries[listed.server] = (
                    met
                    if old is None
                    else Met(
                        old.many + met.many, old.voided + met.voided, old.came + met.came, old.time + met.time
                    )
                )
        # A product nobody asked for in this span was still heard of: none came.
        came = {product: came.get(product, Met(0, 0, 0, 0.0)) for product in self._products.values()}
        self._reports.add(self.gateway, tries, came, span)

    # HolderElection.

    def _begin(self, held: GatewayContent) -> None:
        self._numbers = 0
        self._meter = Meter()
        self.last_wrote = ""
        self.session = self._core.add_gateway(self.gateway, held)
        self._log.info(
            "gateway.held", gateway=self.gateway.name, epoch=self.election.epoch, lines=len(held.lines)
        )
        events: tuple[Event, ...] = (Joined(self.gateway, not held.lines),)
        self._give(*events)

    def _end(self, cause: str) -> None:
        if self.session is None:
            return
        self.session = None
        self._log.info("gateway.left", gateway=self.gateway.name, epoch=self.election.epoch, cause=cause)
        self._reports.left(self.gateway)
        self._core.remove_gateway(self.gateway)
        self._give(Left(self.gateway))

    def _stamp(self) -> Word:
        word = self.election.word()
        return Word(word.epoch, word.manager, word.region, self._numbers)

    # Sending.

    def kick(self) -> None:
        """Something may be owed: sends it now, or when the message cap allows."""
        session, now = self.session, clock_tenths(self._clock)
        if session is None or self._sending or self._client is None or not self._client.open:
            return
        due = session.due(now)
        if due is None:
            return
        due = max(due, int(self._again * TENTHS_PER_SECOND))
        if due > now or not self.election.may_send(now):
            if self._later is None or not self._later.active():
                wait = max(due - now, 1) / TENTHS_PER_SECOND if due > now else self._times.poll / 4
                self._later = self._clock.callLater(wait, self.kick)
            return
        self._sending = True
        self._run(self._send(self._client, session, self._core.next_message(now, session)))

    async def _send(self, client: RuntimeClient, session: GatewaySession, message: Message) -> None:
        refused = list[str]()
        if message.commands or message.maps:
            refused = await self._send_commands(client, message)
            if session is not self.session:
                return
            apply_commands(session.held.lines, message.commands)
            session.held.maps.update({name: dict(entries) for name, entries in message.maps.items()})
        self._sending = False
        if refused:
            self._fault(f"gateway {self.gateway.name} refused: {refused[0][:200]}")
            self._log.warning(
                "gateway.refused", gateway=self.gateway.name, answer=refused[0][:200], many=len(refused)
            )
            self._again = self._clock.seconds() + min(AGAIN_MOST, self._wait)
            self._wait = min(AGAIN_MOST, 2 * self._wait)
            await self._read_back(client)
            return
        self._wait = FIRST_WAIT
        self._core.message_applied(clock_tenths(self._clock), session)
        self._give()
        self.kick()  # what was ordered meanwhile

    async def _send_commands(self, client: RuntimeClient, message: Message) -> list[str]:
        """Sends all of it; returns the answers that are no success. Map versions come first, as they must
        be known."""
        commands = list(message.commands)
        versions = dict[str, str]()
        for name in message.maps:
            answer = (await client.send(words(f"prepare map {name}")))[0]
            match = re.search(r"New version created: (\d+)", answer)
            if match is None:
                return [answer or f"prepare map {name}: no version"]
            versions[name] = match[1]
        for name, entries in message.maps.items():
            commands += map_commands(name, versions[name], entries)
        self._numbers += 1
        self.last_wrote = str(self._stamp())
        commands.append(set_var(WROTE, self.last_wrote))
        refused = list[str]()
        for start in range(0, len(commands), A_LINE):
            answers = await client.send(*commands[start : start + A_LINE])
            refused += [answer for answer in answers if answer not in GOOD_ANSWERS]
        return refused
