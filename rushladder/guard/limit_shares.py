"""Which part of a server's stated limit one manager may use, so that all managers together keep it unasked.

Managers know the same gateways, and each knows which of them it holds. A gateway's own region is where most
of its txns go, so it counts in full there and by a part elsewhere; the parts of all managers add up to one,
as each gateway has one holder.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

# Of a gateway's txns that may cross regions. Chosen, not measured: the module keeps txns at home up to even
# use.
SPILL = 0.25


def limit_shares(
    servers: Mapping[str, str], gateways: Sequence[tuple[str, str, float]], held: frozenset[str]
) -> dict[str, float]:
    """The part for each server. servers: name to region; gateways: name, region and usual rate; held: the
    own ones."""
    parts = dict[str, float]()
    for region in set(servers.values()):
        weights = [(name, rate * (1.0 if home == region else SPILL)) for name, home, rate in gateways]
        whole = sum(weight for _, weight in weights)
        own = sum(weight for name, weight in weights if name in held)
        part = own / whole if whole else 1.0
        parts |= {name: part for name, home in servers.items() if home == region}
    return parts
