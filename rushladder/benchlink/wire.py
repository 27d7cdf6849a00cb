"""The wire's frames: what each message must hold, and how one is read and written."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable, Mapping
from typing import Any


class WireError(Exception):
    """The input is not what the wire's description allows."""


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a whole number")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a number")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a text")
    return value


def _mark(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def _object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError("an object")
    return value


def _objects(value: Any) -> list[dict[str, Any]]:
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise ValueError("a list of objects")
    return value


def _load(value: Any) -> dict[str, float]:
    if not isinstance(value, dict):
        raise ValueError("an object of numbers")
    return {
        key: item
        for key, item in value.items()
        if isinstance(item, int | float) and not isinstance(item, bool)
    }


def _bytes(value: Any) -> bytes:
    try:
        return base64.b64decode(_text(value), validate=True)
    except (binascii.Error, ValueError):
        raise ValueError("base64") from None


Reader = Callable[[Any], Any]
REQUIRED = object()
# message -> field -> (reader, value when it is absent)
Fields = Mapping[str, tuple[Reader, Any]]
EVENTS: Mapping[str, Fields] = {
    "Mark": {"sim_time": (_whole, REQUIRED), "round": (_whole, REQUIRED)},
    "End": {},
    "Pool": {"page": (_whole, REQUIRED), "nodes_list": (_objects, REQUIRED)},
    "NewInstance": {"random_seed": (_whole, REQUIRED), "boot_info": (_object, REQUIRED)},
    "Down": {},
    "Targets": {"page": (_whole, 0), "how": (_whole, REQUIRED), "version": (_whole, 0)},
    "Reminder": {"handle": (_whole, REQUIRED)},
    "ProbeDone": {
        "worker": (_text, REQUIRED),
        "disposition": (_whole, REQUIRED),
        "elapsed": (_whole, REQUIRED),
        "report": (_load, {}),
    },
    "FromPeer": {"author": (_whole, REQUIRED), "data": (_bytes, b"")},
    "Attached": {
        "yes": (_mark, False),
        "size": (_number, REQUIRED),
        "proxy": (_whole, REQUIRED),
        "dc": (_text, REQUIRED),
    },
    "StreamDown": {"proxy": (_whole, REQUIRED)},
    "TrafficReport": {
        "many": (_whole, REQUIRED),
        "dc": (_text, REQUIRED),
        "covers": (_whole, REQUIRED),
        "worker": (_text, REQUIRED),
        "failed": (_whole, REQUIRED),
        "elapsed": (_whole, REQUIRED),
        "report": (_load, {}),
    },
    "Usage": {
        "many": (_whole, REQUIRED),
        "covers": (_whole, REQUIRED),
        "band": (_text, REQUIRED),
        "proxy": (_whole, REQUIRED),
        "failed": (_whole, REQUIRED),
    },
    "WeightSeen": {
        "map_id": (_whole, REQUIRED),
        "band": (_text, REQUIRED),
        "many": (_whole, REQUIRED),
        "failed": (_whole, REQUIRED),
        "covers": (_whole, REQUIRED),
    },
    "Given": {"map_id": (_whole, REQUIRED), "yes": (_mark, False)},
    "Recorded": {"map_id": (_whole, REQUIRED), "worker": (_text, REQUIRED), "size": (_number, REQUIRED)},
    "Installed": {"elapsed": (_whole, REQUIRED), "version": (_whole, REQUIRED), "proxy": (_whole, REQUIRED)},
}
ENTRY: Fields = {
    "worker": (_text, REQUIRED),
    "dc": (_text, REQUIRED),
    "model": (_text, REQUIRED),
    "cluster": (_whole, 0),
    "availability": (_whole, REQUIRED),
    "size": (_number, REQUIRED),
    "started_at": (_whole, 0),
}
NOT_OF_AN_INSTANCE = frozenset({"Mark", "End", "Pool"})


def read_fields(what: str, fields: Fields, raw: Mapping[str, Any]) -> dict[str, Any]:
    """The named fields of `raw`; others are passed over."""
    found = {}
    for name, (reader, absent) in fields.items():
        value = raw.get(name)
        if value is None:
            if absent is REQUIRED:
                raise WireError(f"{what}: field '{name}' is missing")
            found[name] = absent
            continue
        try:
            found[name] = reader(value)
        except ValueError as wanted:
            raise WireError(f"{what}: field '{name}' should be {wanted}") from None
    return found


def read_message(line: bytes) -> tuple[str, dict[str, Any]]:
    """One line of the input: the message's name and its fields."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        raise WireError("not JSON in UTF-8") from None
    if not isinstance(raw, dict):
        raise WireError("not an object")
    name = raw.get("m")
    if not isinstance(name, str):
        raise WireError("no message name in 'm'")
    fields = EVENTS.get(name)
    if fields is None:
        raise WireError(f"unknown message '{name}'")
    found = read_fields(name, fields, raw)
    if name not in NOT_OF_AN_INSTANCE:
        if raw.get("manager_id") is None:
            raise WireError(f"{name}: field 'manager_id' is missing")
        try:
            found["manager_id"] = _whole(raw["manager_id"])
        except ValueError as wanted:
            raise WireError(f"{name}: field 'manager_id' should be {wanted}") from None
    return name, found


def message(name: str, **fields: Any) -> bytes:
    """One line of the reply."""
    return json.dumps({"m": name, **fields}, separators=(",", ":")).encode() + b"\n"
