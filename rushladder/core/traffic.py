"""Aggregates the traffic reported by gateways into the sums that the decision module gets once a period."""

from __future__ import annotations

from collections.abc import Mapping

from rushladder.records import Gateway, Server
from rushladder.gateways.meter import TrafficDelta
from rushladder.guard.waves import Arm
from rushladder.interface import Arrivals, Event, Product, Tries


class TrafficSums:
    """Sums by server and region of the gateways since the last period.

    Bounded by the number of servers times the number of regions.
    """

    def __init__(self) -> None:
        self._sums = dict[tuple[Server, str], list[float]]()
        self._arrivals = dict[tuple[Gateway, Product], list[float]]()
        self._arms = dict[tuple[str, Product], Arm]()

    def add_product_outcomes(
        self, gateway: Gateway, product: Product, count: float, voided: float, time: float
    ) -> None:
        """Adds the outcomes of a gateway's txns of a product, for the evaluation of waves."""
        old = self._arms.get((gateway.name, product), Arm())
        self._arms[gateway.name, product] = Arm(
            old.count + count, old.voided + voided, old.time + time, float(product.sla_time)
        )

    def take_arms(self) -> dict[str, list[Arm]]:
        """Returns and clears the sums by gateway since the last call."""
        arms = dict[str, list[Arm]]()
        for (name, _), arm in self._arms.items():
            arms.setdefault(name, []).append(arm)
        self._arms.clear()
        return arms

    def add_outcomes(
        self,
        gateway: Gateway,
        tries: Mapping[Server, TrafficDelta],
        arrivals: Mapping[Product, TrafficDelta],
        span: int,
    ) -> None:
        """Adds what one gateway measured in `span`; a span of 0 is ignored, as its rates are unknown."""
        if span <= 0:
            return
        for server, delta in tries.items():
            sums = self._sums.setdefault((server, gateway.zone), [0.0] * 4)
            for index, value in enumerate((delta.count, delta.voided, delta.time, delta.count / span)):
                sums[index] += value
        for product, delta in arrivals.items():
            sums = self._arrivals.setdefault((gateway, product), [0.0] * 3)
            for index, value in enumerate((delta.arrived, delta.voided, span)):
                sums[index] += value

    def remove_gateway(self, gateway: Gateway) -> None:
        """Drops the arrivals of a gateway that left."""
        self._arrivals = {key: sums for key, sums in self._arrivals.items() if key[0] is not gateway}

    def take_events(self, hints: Mapping[str, float] | None = None) -> list[Event]:
        """Returns and clears the period's events.

        The time covered is chosen so that the count divided by it is the sum of the gateways' rates.
        """
        events: list[Event] = []
        for (server, zone), (count, voided, time, rate) in self._sums.items():
            settled = count - voided
            if rate:
                events.append(
                    Tries(
                        server,
                        zone,
                        int(count),
                        int(voided),
                        max(1, round(count / rate)),
                        round(time / settled) if settled else 0,
                        {"hint": hints[server.name]} if hints and server.name in hints else {},
                    )
                )
        for (gateway, product), (count, voided, span) in self._arrivals.items():
            events.append(Arrivals(gateway, product, int(count), int(voided), int(span)))
        self._sums.clear()
        self._arrivals.clear()
        return events
