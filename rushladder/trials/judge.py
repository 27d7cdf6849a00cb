"""Judges a day from its records alone: the five rules, and the service by the brief's account.

Read are what crossed the gateways' runtime sockets, the tries that they sent, what collectors ran, and what
managers were told and answered. Nothing is asked of a manager.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs

from rushladder.trials.day import Day, seconds

WROTE = "proc.rushladder_wrote"


@attrs.frozen
class Violation:
    """A broken rule: which, when (second of the day), where, and the record behind it."""

    rule: int
    at: float
    where: str
    what: str

    def __str__(self) -> str:
        return f"rule {self.rule} broken at {self.at:.2f} s, {self.where}: {self.what}"


@attrs.define
class Verdict:
    violations: list[Violation]
    service: float
    by_product: dict[str, float]
    declined: float
    messages: int
    txns: int
    dns_error: float = 0.0  # of DNS clients' load against the weights, where there are any
    series: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)

    def text(self) -> str:
        lines = []
        names = {
            1: "no gateway without a collector",
            2: "no effect twice",
            3: "drains kept",
            4: "no cold collector pushed over",
            5: "channel and message cap kept",
        }
        for rule, title in names.items():
            found = [one for one in self.violations if one.rule == rule]
            lines.append(f"rule {rule} {'BROKEN' if found else 'kept  '} {title}")
            lines += [f"    {one}" for one in found[:5]]
        by = ", ".join(f"{name} {share:.3f}" for name, share in self.by_product.items())
        lines.append(
            f"service {self.service:.3f} ({by}); declined {self.declined:.1%}; {self.txns} txns, "
            f"{self.messages} messages to gateways"
        )
        if self.dns_error:
            lines.append(f"load of DNS clients off its weights by {self.dns_error:.1%}")
        return "\n".join(lines)

    def weight_history(self) -> list[str]:
        """How the first gateway's weights for the first product went, as a line for each collector."""
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
    """All records of a folder in the order of their time; a last line that was cut off is left out."""
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
    weight: int
    admin: str


class _Pools:
    """The tables that each gateway holds, rebuilt from the commands that it answered."""

    def __init__(self) -> None:
        self.lines = dict[str, dict[tuple[str, str], _Line]]()

    def gateway(self, row: Mapping[str, Any]) -> None:
        self.lines[row["who"]] = {
            (product, server): _Line(1, "ready") for product in row["products"] for server in row["standing"]
        }

    def command(self, row: Mapping[str, Any]) -> None:
        words, lines = row["words"], self.lines.setdefault(row["who"], {})
        if words[:2] == ["add", "server"] and row["answer"].startswith("New server"):
            lines[_key(words[2])] = _Line(0, "maint")
        elif words[:2] == ["del", "server"] and row["answer"].startswith("Server deleted"):
            lines.pop(_key(words[2]), None)
        elif words[:2] == ["set", "server"] and not row["answer"] and _key(words[2]) in lines:
            if words[3] == "weight":
                lines[_key(words[2])].weight = int(words[4])
            elif words[3] == "state":
                lines[_key(words[2])].admin = words[4]

    def empty(self, gateway: str, products: Iterable[str]) -> list[str]:
        filled = {
            product
            for (product, _), line in self.lines[gateway].items()
            if line.weight and line.admin == "ready"
        }
        return [product for product in products if product not in filled]


def _key(name: str) -> tuple[str, str]:
    backend, _, server = name.partition("/")
    return backend, server


def judge(day: Day, rows: list[dict[str, Any]]) -> Verdict:
    """The verdict on a day's records. Raises ValueError if they hold no whole day."""
    begins = next((row["t"] for row in rows if row["ev"] == "day" and row["what"] == "begins"), None)
    ends = next((row["t"] for row in rows if row["ev"] == "day" and row["what"] == "ends"), None)
    if begins is None or ends is None:
        raise ValueError("the records hold no whole day")
    violations = [
        *_bare(day, rows, begins, ends),
        *_twice(day, rows, begins),
        *_drains(day, rows, begins),
        *_kept_answers(day, rows, begins),
        *_unanswered(day, rows, begins),
        *_fallen(rows, begins),
        *_messages(day, rows, begins),
    ]
    verdict = _service(day, rows, begins, ends)
    verdict.violations = sorted(violations, key=lambda one: (one.rule, one.at))
    return verdict


def _bare(day: Day, rows: list[dict[str, Any]], begins: float, ends: float) -> Iterable[Violation]:
    """Rule 1: how long each gateway's pool of a product was empty while some warm collector was listed
    ready."""
    limit, cold = seconds(day.figure("bare", otherwise="8s")), seconds(day.figure("cold", otherwise="15s"))
    pools, since = _Pools(), dict[tuple[str, str], float]()
    ready = {site.name: not site.absent for site in day.collectors}
    warm_from = dict.fromkeys(ready, -1e9)
    names = [product.name for product in day.products]
    for row in [*rows, {"ev": "end", "t": ends}]:
        if row["ev"] == "gateway":
            pools.gateway(row)
            since = {key: at for key, at in since.items() if key[0] != row["who"]}
        elif row["ev"] == "cmd":
            pools.command(row)
        elif row["ev"] == "listed" and row["state"]:
            back = not ready[row["name"]] and row["state"] == "ready"
            ready[row["name"]] = row["state"] == "ready"
            warm_from[row["name"]] = row["t"] + cold if back else warm_from[row["name"]]
        if row["ev"] not in ("gateway", "cmd", "listed", "end"):
            continue
        someone = any(ready[name] and warm_from[name] <= row["t"] for name in ready)
        for gateway in pools.lines if row["ev"] in ("listed", "end") else (row["who"],):
            empty = pools.empty(gateway, names) if someone else []
            for name in names:
                began = since.get((gateway, name))
                if began is not None and row["t"] - max(began, begins) > limit and row["t"] > begins:
                    yield Violation(
                        1, began - begins, gateway, f"no line for {name} for {row['t'] - began:.1f} s"
                    )
                    since.pop((gateway, name))
                elif name not in empty:
                    since.pop((gateway, name), None)
                else:
                    since.setdefault((gateway, name), row["t"])


def _twice(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 2: no once-only txn runs at two collectors, nor twice at one."""
    once = {product.name for product in day.products if product.repeat == "once-only"}
    ran = dict[str, str]()
    for row in rows:
        if row["ev"] == "run" and row["product"] in once:
            if row["id"] in ran:
                yield Violation(
                    2, row["t"] - begins, row["name"], f"{row['id']} ran at {ran[row['id']]} before"
                )
            ran[row["id"]] = row["name"]


def _drains(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 3: no try to a collector later than the grace after the gateway's manager was told of its drain.

    The time runs from the later of the telling and the moment that a manager has the gateway; a gateway
    without a manager is bound by nobody. Who has it, and since when, is read off the words that crossed its
    socket.
    """
    grace = seconds(day.figure("grace", otherwise="4s"))
    out = dict[tuple[str, str], float]()  # manager, collector -> told
    holder = dict[str, tuple[str, float]]()
    told = set[tuple[str, str]]()
    for row in rows:
        if row["ev"] == "listed":
            _told(out, row)
        elif row["ev"] == "process" and row["what"] == "SIGKILL":
            holder = {
                name: one for name, one in holder.items() if one[0] != row["name"] and name != row["name"]
            }
        elif row["ev"] == "streams" and row["what"] != "open":
            holder.pop(row["who"], None)
        elif row["ev"] == "cmd" and row["words"][:3] == ["set", "var", WROTE]:
            name = row["words"][3].split("/")[1]
            if holder.get(row["who"], ("", 0.0))[0] != name:
                holder[row["who"]] = name, row["t"]
        elif row["ev"] == "try" and row["who"] in holder:
            name, since = holder[row["who"]]
            when = out.get((name, row["server"]))
            late = row["t"] - max(when, since) if when is not None else 0.0
            if late > grace and (row["who"], row["server"]) not in told:
                told.add((row["who"], row["server"]))
                yield Violation(
                    3,
                    row["t"] - begins,
                    row["who"],
                    f"{row['id']} sent to {row['server']} {late:.1f} s after {name} was told that it left",
                )


def _told(out: dict[tuple[str, str], float], row: Mapping[str, Any]) -> None:
    """Who left the list, by each manager's word, and since when; `row` is a `listed` one."""
    key = row["manager"], row["name"]
    if row["state"] == "ready":
        out.pop(key, None)
    elif row["state"]:
        out.setdefault(key, row["t"])


def _kept_answers(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 3 by DNS: no try to a collector later than the grace after the manager that named it was told of
    its drain. Resolvers that keep answers beyond their life are bound by nobody."""
    grace = seconds(day.figure("grace", otherwise="4s"))
    out, told = dict[tuple[str, str], float](), set[tuple[str, str]]()
    for row in rows:
        if row["ev"] == "listed":
            _told(out, row)
        elif row["ev"] == "try" and "front" in row and not row["ignores"]:
            when = out.get((row["front"], row["server"]))
            if when is not None and row["t"] - when > grace and (row["resolver"], row["server"]) not in told:
                told.add((row["resolver"], row["server"]))
                yield Violation(
                    3,
                    row["t"] - begins,
                    row["resolver"],
                    f"{row['id']} sent to {row['server']} {row['t'] - when:.1f} s after {row['front']} heard",
                )


def _unanswered(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 1 by DNS: no resolver is left without a name for longer than `bare`, from its first answer on."""
    limit = seconds(day.figure("bare", otherwise="8s"))
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
    """How far DNS clients' txns are from the weights: the part that would have to go elsewhere, over spans
    of some seconds, weighed by their txns; 0 is exact."""
    tries = defaultdict[tuple[int, str, str], dict[str, float]](lambda: defaultdict(float))
    wants = defaultdict[tuple[int, str, str], dict[str, float]](lambda: defaultdict(float))
    nearest = dict[str, str]()  # region -> the manager whose answers most of its resolvers use
    for row in rows:
        if not begins <= row["t"] < ends:
            continue
        turn = int((row["t"] - begins) / span)
        if row["ev"] == "try" and "front" in row:
            tries[turn, row["product"], row["region"]][row["server"]] += 1
            nearest.setdefault(row["region"], row["front"])
        elif row["ev"] == "split":
            pools = defaultdict[tuple[str, str], dict[str, float]](dict)
            for product, region, server, weight, *_ in row["rows"]:
                pools[product, region][server.lower()] = float(weight)
            for (product, region), pool in pools.items():
                if nearest.get(region, row["manager"]) == row["manager"]:
                    for server, weight in pool.items():
                        wants[turn, product, region][server] += weight / sum(pool.values())
    off = whole = 0.0
    for key, got in tries.items():
        want, many = wants.get(key), sum(got.values())
        if want:
            scale = sum(want.values())
            names = {*got, *want}
            off += many * sum(abs(got.get(n, 0) / many - want.get(n, 0) / scale) for n in names) / 2
            whole += many
    return off / whole if whole else 0.0


def _fallen(rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 4: no cold collector fell over."""
    for row in rows:
        if row["ev"] == "fell":
            yield Violation(4, row["t"] - begins, row["name"], "fell over while cold")


def _messages(day: Day, rows: list[dict[str, Any]], begins: float) -> Iterable[Violation]:
    """Rule 5: messages to one gateway within the span, and lines of one message, as they came out of the
    sockets."""
    cap, most = (
        int(day.figure("messages", otherwise="0")),
        float(day.figure("channel-waiting", otherwise="2500")),
    )
    span = seconds(day.figure("messages", "per", "10s"))
    times, lines = defaultdict[tuple[str, str], list[float]](list), defaultdict[str, int](int)
    for row in rows:
        if row["ev"] != "cmd":
            continue
        lines[row["who"]] += 1
        if row["words"][:3] != ["set", "var", WROTE]:
            continue
        manager = row["words"][3].split("/")[1]
        sent = times[row["who"], manager]
        sent.append(row["t"])
        while sent[0] < row["t"] - span:
            sent.pop(0)
        if cap and len(sent) > cap:
            yield Violation(
                5, row["t"] - begins, row["who"], f"{len(sent)} messages of {manager} within {span:g} s"
            )
        if lines[row["who"]] > most:
            yield Violation(5, row["t"] - begins, row["who"], f"a message of {lines[row['who']]} lines")
        lines[row["who"]] = 0


def _service(day: Day, rows: list[dict[str, Any]], begins: float, ends: float) -> Verdict:
    """Revenue within the SLA time (and a part of it up to the expiry) over revenue asked for, by first
    tries."""
    products = {product.name: product for product in day.products}
    asked, got = dict.fromkeys(products, 0.0), dict.fromkeys(products, 0.0)
    outcome = {row["id"]: row for row in rows if row["ev"] == "told"}
    declined = many = messages = 0
    per_second = defaultdict[int, list[float]](lambda: [0.0, 0.0])
    for row in rows:
        messages += row["ev"] == "cmd" and row["words"][:3] == ["set", "var", WROTE] and row["t"] >= begins
        if row["ev"] != "ask" or not begins <= row["t"] <= ends:
            continue
        product, end = products[row["product"]], outcome.get(row["id"])
        many += 1
        asked[product.name] += product.revenue
        part = 0.0
        if end is not None and end["code"] < 400:
            part = 1.0 if end["took"] <= product.sla else product.late
        declined += end is not None and end["code"] == 429
        got[product.name] += part * product.revenue
        bucket = per_second[int(row["t"] - begins)]
        bucket[0] += part * product.revenue
        bucket[1] += product.revenue
    whole = sum(asked.values()) or 1.0
    return Verdict(
        [],
        sum(got.values()) / whole,
        {n: got[n] / asked[n] for n in products if asked[n]},
        declined / max(1, many),
        messages,
        many,
        dns_error(rows, begins, ends) if day.resolvers else 0.0,
        {
            "service": [(second, a / b) for second, (a, b) in sorted(per_second.items()) if b],
            **_levels(rows, begins, ends),
        },
    )


def _levels(rows: list[dict[str, Any]], begins: float, ends: float) -> dict[str, list[tuple[float, float]]]:
    """Levels by gateway and product, and the weights of the first gateway, over the day."""
    found = defaultdict[str, list[tuple[float, float]]](list)
    first = min((row["who"] for row in rows if row["ev"] == "gateway"), default="")
    for row in rows:
        if row["ev"] == "waits":
            found[f"waiting {row['manager']}"].append((row["t"] - begins, float(row["lines"])))
        if row["ev"] != "cmd" or row["t"] > ends:
            continue
        words, at = row["words"], max(0.0, row["t"] - begins)
        if words[:2] == ["add", "map"] and words[3] == "levels":
            found[f"level {row['who']} {words[4]}"].append((at, float(words[5]) / 1000))
        elif words[:2] == ["set", "server"] and words[3] == "weight" and row["who"] == first:
            found[f"weight {words[2]}"].append((at, float(words[4])))
    return dict(found)
