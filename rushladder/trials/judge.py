"""Judges a day solely by its records: five rules, and the service as the platform's specification counts it.

The records hold what crossed the gateways' runtime sockets, the tries that gateways sent, the txns that
collectors ran, and the commands and answers of managers. No manager is asked for its view.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs

from rushladder.trials.day import Day, seconds

WROTE_VARIABLE = "proc.rushladder_wrote"  # set on a gateway at the end of each message of a manager


@attrs.frozen
class Violation:
    """A broken rule: its number, when (second of the day), where, and the evidence."""

    rule: int
    at: float
    where: str
    detail: str

    def __str__(self) -> str:
        return f"rule {self.rule} broken at {self.at:.2f} s, {self.where}: {self.detail}"


@attrs.define
class Verdict:
    """The result of a day: violations, the share of revenue that was served, and series for charts."""

    violations: list[Violation]
    service: float
    by_product: dict[str, float]
    declined: float
    messages: int
    txns: int
    dns_error: float = 0.0  # of the DNS clients' load against the weights; 0 without DNS clients
    series: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)

    def text(self) -> str:
        lines = []
        titles = {
            1: "no gateway without a collector",
            2: "no effect twice",
            3: "drains kept",
            4: "no cold collector pushed over",
            5: "channel and message cap kept",
        }
        for rule, title in titles.items():
            found = [violation for violation in self.violations if violation.rule == rule]
            lines.append(f"rule {rule} {'BROKEN' if found else 'kept  '} {title}")
            lines += [f"    {violation}" for violation in found[:5]]
        per_product = ", ".join(f"{name} {share:.3f}" for name, share in self.by_product.items())
        lines.append(
            f"service {self.service:.3f} ({per_product}); declined {self.declined:.1%}; {self.txns} txns, "
            f"{self.messages} messages to gateways"
        )
        if self.dns_error:
            lines.append(f"load of DNS clients off its weights by {self.dns_error:.1%}")
        return "\n".join(lines)

    def weight_history(self) -> list[str]:
        """The first gateway's weights for the first product over the day, one line per collector."""
        lines, first = list[str](), ""
        for name, points in sorted(self.series.items()):
            if name.startswith("weight "):
                product, server = name.removeprefix("weight ").split("/")
                first = first or product
                if product == first:
                    steps = ", ".join(f"{weight:g} at {at:.1f} s" for at, weight in points[-6:])
                    lines.append(f"weight of {server} for {product} at the first gateway: {steps}")
        return lines


def load_records(folder: Path) -> list[dict[str, Any]]:
    """All records of a folder in order of time; lines that were cut off are skipped."""
    rows = list[dict[str, Any]]()
    for file in sorted(folder.glob("*.jsonl")):
        for line in file.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
    return sorted(rows, key=lambda row: float(row["t"]))


@attrs.define
class _Line:
    """A server of a gateway's pool: its weight and administrative state."""

    weight: int
    admin: str


class _Pools:
    """The table of each gateway, reconstructed from the commands that it answered."""

    def __init__(self) -> None:
        self.lines = dict[str, dict[tuple[str, str], _Line]]()

    def reset_gateway(self, row: Mapping[str, Any]) -> None:
        self.lines[row["who"]] = {
            (product, server): _Line(1, "ready") for product in row["products"] for server in row["standing"]
        }

    def apply_command(self, row: Mapping[str, Any]) -> None:
        words, lines = row["words"], self.lines.setdefault(row["who"], {})
        if words[:2] == ["add", "server"] and row["answer"].startswith("New server"):
            lines[_split_server_name(words[2])] = _Line(0, "maint")
        elif words[:2] == ["del", "server"] and row["answer"].startswith("Server deleted"):
            lines.pop(_split_server_name(words[2]), None)
        elif words[:2] == ["set", "server"] and not row["answer"] and _split_server_name(words[2]) in lines:
            if words[3] == "weight":
                lines[_split_server_name(words[2])].weight = int(words[4])
            elif words[3] == "state":
                lines[_split_server_name(words[2])].admin = words[4]

    def empty_pools(self, gateway: str, products: Iterable[str]) -> list[str]:
        usable = {
            product
            for (product, _), line in self.lines[gateway].items()
            if line.weight and line.admin == "ready"
        }
        return [product for product in products if product not in usable]


def _split_server_name(name: str) -> tuple[str, str]:
    backend, _, server = name.partition("/")
    return backend, server


def judge(day: Day, rows: list[dict[str, Any]]) -> Verdict:
    """The verdict on a day's records. Raises ValueError if they don't cover the whole day."""
    begins = next((row["t"] for row in rows if row["ev"] == "day" and row["what"] == "begins"), None)
    ends = next((row["t"] for row in rows if row["ev"] == "day" and row["what"] == "ends"), None)
    if begins is None or ends is None:
        raise ValueError("the records don't cover the whole day")
    violations = [
        *_empty_pools(day, rows, begins, ends),
        *_duplicate_runs(day, rows, begins),
        *_late_tries(day, rows, begins),
        *_late_cached_tries(day, rows, begins),
        *_unanswered_queries(day, rows, begins),
        *_cold_crashes(rows, begins),
        *_excess_messages(day, rows, begins),
    ]
    verdict = _service(day, rows, begins, ends)
    verdict.violations = sorted(violations, key=lambda violation: (violation.rule, violation.at))
    return verdict


def _empty_pools(day: Day, rows: list[dict[str, Any]], begins: float, ends: float) -> Iterable[Violation]:
    """Rule 1: no gateway's pool of a product is empty for longer than `bare` while a warm collector is listed
    as ready."""
    limit, cold = (
        seconds(day.plan_value("bare", default="8s")),
        seconds(day.plan_value("cold", default="15s")),
    )
    pools, since = _Pools(), dict[tuple[str, str], float]()
    ready = {node.name: not node.absent for node in day.collectors}
    warm_from = dict.fromkeys(ready, -1e9)
    names = [product.name for product in day.products]
    for row in [*rows, {"ev": "end", "t": ends}]:
        if row["ev"] == "gateway":
            pools.reset_gateway(row)
            since = {key: at for key, at in since.items() if key[0] != row["who"]}
        elif row["ev"] == "cmd":
            pools.apply_command(row)
        elif row["ev"] == "listed" and row["state"]:
            returned = not ready[row["name"]] and row["state"] == "ready"
            ready[row["name"]] = row["state"] == "ready"
            warm_from[row["name"]] = row["t"] + cold if returned else warm_from[row["name"]]
        if row["ev"] not in ("gateway", "cmd", "listed", "end"):
            continue
        any_warm = any(ready[name] and warm_from[name] <= row["t"] for name in ready)
        for gateway in pools.lines if row["ev"] in ("listed", "end") else (row["who"],):
            empty = pools.empty_pools(gateway, names) if any_warm else []
            for name in names:
                empty_since = since.get((gateway, name))
                if (
                    empty_since is not None
                    and row["t"] - max(empty_since, begins) > limit
                    and row["t"] > begins
                ):
                    yield Violation(
                        1,
                        empty_since - begins,
                        gateway,
                        f"no line for {name} for {row['t'] - empty_since:.1f} s",
                    )
                    since.pop((gateway, name))
                elif name not in empty:
                    since.pop((gateway, name), None)
                else:
                    since.setdefault((gateway, name), row["t"])


def _duplicate_runs(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 2: no once-only txn runs at two collectors, nor twice at one."""
    once = {product.name for product in day.products if product.repeat == "once-only"}
    ran_at = dict[str, str]()
    for row in rows:
        if row["ev"] == "run" and row["product"] in once:
            if row["id"] in ran_at:
                yield Violation(
                    2, row["t"] - begins, row["name"], f"{row['id']} ran at {ran_at[row['id']]} before"
                )
            ran_at[row["id"]] = row["name"]


def _late_tries(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 3: no try to a collector later than the grace after the gateway's manager learned of its drain.

    The grace starts when the manager learned of the drain or when it took the gateway, whichever is later. A
    gateway without a manager is exempt. Which manager holds a gateway, and since when, is derived from the
    commands that crossed the gateway's socket.
    """
    grace = seconds(day.plan_value("grace", default="4s"))
    left_at = dict[tuple[str, str], float]()  # (manager, collector) -> when the manager learned that it left
    holders = dict[str, tuple[str, float]]()
    reported = set[tuple[str, str]]()
    for row in rows:
        if row["ev"] == "listed":
            _update_left(left_at, row)
        elif row["ev"] == "process" and row["what"] == "SIGKILL":
            holders = {
                name: holder
                for name, holder in holders.items()
                if holder[0] != row["name"] and name != row["name"]
            }
        elif row["ev"] == "streams" and row["what"] != "open":
            holders.pop(row["who"], None)
        elif row["ev"] == "cmd" and row["words"][:3] == ["set", "var", WROTE_VARIABLE]:
            name = row["words"][3].split("/")[1]
            if holders.get(row["who"], ("", 0.0))[0] != name:
                holders[row["who"]] = name, row["t"]
        elif row["ev"] == "try" and row["who"] in holders:
            name, since = holders[row["who"]]
            left = left_at.get((name, row["server"]))
            late = row["t"] - max(left, since) if left is not None else 0.0
            if late > grace and (row["who"], row["server"]) not in reported:
                reported.add((row["who"], row["server"]))
                yield Violation(
                    3,
                    row["t"] - begins,
                    row["who"],
                    f"{row['id']} sent to {row['server']} {late:.1f} s after {name} learned that it left",
                )


def _update_left(left_at: dict[tuple[str, str], float], row: Mapping[str, Any]) -> None:
    """Updates, from a `listed` record, when each manager learned that a collector left the list."""
    key = row["manager"], row["name"]
    if row["state"] == "ready":
        left_at.pop(key, None)
    elif row["state"]:
        left_at.setdefault(key, row["t"])


def _late_cached_tries(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 3 for DNS: no try to a collector later than the grace after the manager that gave the answer
    learned of its drain. Resolvers that keep answers beyond their TTL are exempt."""
    grace = seconds(day.plan_value("grace", default="4s"))
    left_at, reported = dict[tuple[str, str], float](), set[tuple[str, str]]()
    for row in rows:
        if row["ev"] == "listed":
            _update_left(left_at, row)
        elif row["ev"] == "try" and "front" in row and not row["ignores"]:
            left = left_at.get((row["front"], row["server"]))
            if (
                left is not None
                and row["t"] - left > grace
                and (row["resolver"], row["server"]) not in reported
            ):
                reported.add((row["resolver"], row["server"]))
                yield Violation(
                    3,
                    row["t"] - begins,
                    row["resolver"],
                    f"{row['id']} sent to {row['server']} {row['t'] - left:.1f} s after {row['front']} knew",
                )


def _unanswered_queries(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 1 for DNS: after its first answer, no resolver goes without an answer for longer than `bare`."""
    limit = seconds(day.plan_value("bare", default="8s"))
    since = dict[tuple[str, str], float]()
    for row in rows:
        if row["ev"] not in ("answered", "unanswered"):
            continue
        key = row["resolver"], row["product"]
        if row["ev"] == "answered":
            since[key] = 0.0
        elif key in since:
            since[key] = since[key] or row["t"]
            if row["t"] - max(begins, since[key]) > limit:
                yield Violation(
                    1,
                    since[key] - begins,
                    key[0],
                    f"no answer for {key[1]} for {row['t'] - since[key]:.1f} s",
                )
                since[key] = row["t"]


def dns_error(rows: list[dict[str, Any]], begins: float, ends: float, span: float = 10.0) -> float:
    """How far the DNS clients' txns deviate from the weights: the share of txns that would have to go to
    another server, measured over spans of `span` seconds and weighted by their txns; 0 is exact."""
    tries = defaultdict[tuple[int, str, str], dict[str, float]](lambda: defaultdict(float))
    weights = defaultdict[tuple[int, str, str], dict[str, float]](lambda: defaultdict(float))
    nearest = dict[str, str]()  # region -> the manager that most of its resolvers use, by the first try
    for row in rows:
        if not begins <= row["t"] < ends:
            continue
        span_number = int((row["t"] - begins) / span)
        if row["ev"] == "try" and "front" in row:
            tries[span_number, row["product"], row["region"]][row["server"]] += 1
            nearest.setdefault(row["region"], row["front"])
        elif row["ev"] == "split":
            pools = defaultdict[tuple[str, str], dict[str, float]](dict)
            for product, region, server, weight, *_ in row["rows"]:
                pools[product, region][server.lower()] = float(weight)
            for (product, region), pool in pools.items():
                if nearest.get(region, row["manager"]) == row["manager"]:
                    for server, weight in pool.items():
                        weights[span_number, product, region][server] += weight / sum(pool.values())
    misplaced = total = 0.0
    for key, counts in tries.items():
        expected, txns = weights.get(key), sum(counts.values())
        if expected:
            scale = sum(expected.values())
            names = {*counts, *expected}
            misplaced += (
                txns
                * sum(abs(counts.get(name, 0) / txns - expected.get(name, 0) / scale) for name in names)
                / 2
            )
            total += txns
    return misplaced / total if total else 0.0


def _cold_crashes(rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 4: no cold collector fell over."""
    for row in rows:
        if row["ev"] == "fell":
            yield Violation(4, row["t"] - begins, row["name"], "fell over while cold")


def _excess_messages(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 5: the messages to one gateway within the span, and the lines of one message, stay within their
    limits, as read from the sockets."""
    cap, max_lines = (
        int(day.plan_value("messages", default="0")),
        float(day.plan_value("channel-waiting", default="2500")),
    )
    span = seconds(day.plan_value("messages", "per", "10s"))
    message_times, lines = defaultdict[tuple[str, str], list[float]](list), defaultdict[str, int](int)
    for row in rows:
        if row["ev"] != "cmd":
            continue
        lines[row["who"]] += 1
        if row["words"][:3] != ["set", "var", WROTE_VARIABLE]:
            continue
        manager = row["words"][3].split("/")[1]
        recent = message_times[row["who"], manager]
        recent.append(row["t"])
        while recent[0] < row["t"] - span:
            recent.pop(0)
        if cap and len(recent) > cap:
            yield Violation(
                5, row["t"] - begins, row["who"], f"{len(recent)} messages of {manager} within {span:g} s"
            )
        if lines[row["who"]] > max_lines:
            yield Violation(5, row["t"] - begins, row["who"], f"a message of {lines[row['who']]} lines")
        lines[row["who"]] = 0


def _service(day: Day, rows: list[dict[str, Any]], begins: float, ends: float) -> Verdict:
    """The service: revenue of txns settled within the SLA time, plus a part of it up to the expiry, divided
    by the revenue of all txns, each counted once however many tries it took."""
    products = {product.name: product for product in day.products}
    requested, earned = dict.fromkeys(products, 0.0), dict.fromkeys(products, 0.0)
    outcome = {row["id"]: row for row in rows if row["ev"] == "told"}
    declined = txns = messages = 0
    per_second = defaultdict[int, list[float]](lambda: [0.0, 0.0])
    for row in rows:
        messages += (
            row["ev"] == "cmd" and row["words"][:3] == ["set", "var", WROTE_VARIABLE] and row["t"] >= begins
        )
        if row["ev"] != "ask" or not begins <= row["t"] <= ends:
            continue
        product, result = products[row["product"]], outcome.get(row["id"])
        txns += 1
        requested[product.name] += product.revenue
        share = 0.0
        if result is not None and result["code"] < 400:
            share = 1.0 if result["took"] <= product.sla else product.late
        declined += result is not None and result["code"] == 429
        earned[product.name] += share * product.revenue
        bucket = per_second[int(row["t"] - begins)]
        bucket[0] += share * product.revenue
        bucket[1] += product.revenue
    total = sum(requested.values()) or 1.0
    return Verdict(
        [],
        sum(earned.values()) / total,
        {name: earned[name] / requested[name] for name in products if requested[name]},
        declined / max(1, txns),
        messages,
        txns,
        dns_error(rows, begins, ends) if day.resolvers else 0.0,
        {
            "service": [
                (second, earned_then / requested_then)
                for second, (earned_then, requested_then) in sorted(per_second.items())
                if requested_then
            ],
            **_levels(rows, begins, ends),
        },
    )


def _levels(rows: list[dict[str, Any]], begins: float, ends: float) -> dict[str, list[tuple[float, float]]]:
    """Series over the day: levels by gateway and product, the first gateway's weights, and waiting lines."""
    series = defaultdict[str, list[tuple[float, float]]](list)
    first_gateway = min((row["who"] for row in rows if row["ev"] == "gateway"), default="")
    for row in rows:
        if row["ev"] == "waits":
            series[f"waiting {row['manager']}"].append((row["t"] - begins, float(row["lines"])))
        if row["ev"] != "cmd" or row["t"] > ends:
            continue
        words, at = row["words"], max(0.0, row["t"] - begins)
        if words[:2] == ["add", "map"] and words[3] == "levels":
            series[f"level {row['who']} {words[4]}"].append((at, float(words[5]) / 1000))
        elif words[:2] == ["set", "server"] and words[3] == "weight" and row["who"] == first_gateway:
            series[f"weight {words[2]}"].append((at, float(words[4])))
    return dict(series)
