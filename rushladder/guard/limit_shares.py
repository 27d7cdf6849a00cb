"""Computes the share of each server's stated limit that one manager may use.

All managers together observe the limits without communicating: they know the same gateways, and each knows
which of them it holds. A gateway sends most txns to its own region, so it counts in full there and with a
fraction elsewhere. The shares of all managers add up to one, as each gateway has exactly one holder.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

# Weight of a gateway in other regions. It is small because the decision module keeps txns in their region
# until utilization is even.
REMOTE_WEIGHT = 0.25


def limit_shares(
    servers: Mapping[str, str], gateways: Sequence[tuple[str, str, float]], held: frozenset[str]
) -> dict[str, float]:
    """Returns the share by server name.

    servers: name to region; gateways: name, region and usual rate; held: names of the own gateways.
    """
    shares = dict[str, float]()
    for region in set(servers.values()):
        weights = [
            (name, rate * (1.0 if gateway_region == region else REMOTE_WEIGHT))
            for name, gateway_region, rate in gateways
        ]
        total = sum(weight for _, weight in weights)
        own = sum(weight for name, weight in weights if name in held)
        share = own / total if total else 1.0
        shares |= {name: share for name, gateway_region in servers.items() if gateway_region == region}
    return shares
