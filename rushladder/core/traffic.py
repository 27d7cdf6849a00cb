"""Gathers what gateways met into the sums that the module is given, once a period."""

from __future__ import annotations

from collections.abc import Mapping

from rushladder.records import Gateway, Server
from rushladder.gateways.meter import Met
from rushladder.guard.waves import Arm
from rushladder.interface import Arrivals, Event, Product, Tries


class TrafficSums:
    """Sums for each server and region of gateways since the last period. Bounded by servers times regions."""

    def __init__(self) -> None:
        self._sums = dict[tuple[Server, str], list[float]]()
        self._came = dict[tuple[Gateway, Product], list[float]]()
        self._met = dict[tuple[str, Product], Arm]()

    def met(self, gateway: Gateway, product: Product, many: float, voided: float, time: float) -> None:
        """What a gateway met for a product, for the watch of waves."""
        old = self._met.get((gateway.name, product), Arm())
        self._met[gateway.name, product] = Arm(
            old.many + many, old.voided + voided, old.time + time, float(product.sla_time)
        )

    def take_arms(self) -> dict[str, list[Arm]]:
        """By gateway, since this was last called."""
        found = dict[str, list[Arm]]()
        for (name, _), arm in self._met.items():
            found.setdefault(name, []).append(arm)
        self._met.clear()
        return found

    def add(
        self, gateway: Gateway, tries: Mapping[Server, Met], came: Mapping[Product, Met], span: int
    ) -> None:
        """What one gateway met in `span`; a span of 0 tells nothing."""
        if span <= 0:
            return
        for server, met in tries.items():
            sums = self._sums.setdefault((server, gateway.zone), [0.0] * 4)
            for place, value in enumerate((met.many, met.voided, met.time, met.many / span)):
                sums[place] += value
        for product, met in came.items():
            sums = self._came.setdefault((gateway, product), [0.0] * 3)
            for place, value in enumerate((met.came, met.voided, span)):
                sums[place] += value

    def left(self, gateway: Gateway) -> None:
        self._came = {key: sums for key, sums in self._came.items() if key[0] is not gateway}

    def take_events(self, hints: Mapping[str, float] | None = None) -> list[Event]:
        """The period's events. Their time is such that many over time is the sum of the gateways' rates."""
        events: list[Event] = []
        for (server, zone), (many, voided, time, rate) in self._sums.items():
            settled = many - voided
            if rate:
                events.append(
                    Tries(
                        server,
                        zone,
                        int(many),
                        int(voided),
                        max(1, round(many / rate)),
                        round(time / settled) if settled else 0,
                        {"hint": hints[server.name]} if hints and server.name in hints else {},
                    )
                )
        for (gateway, product), (many, voided, span) in self._came.items():
            events.append(Arrivals(gateway, product, int(many), int(voided), int(span)))
        self._sums.clear()
        self._came.clear()
        return events
