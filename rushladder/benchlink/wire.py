"""The simulator's protocol: the fields of each message, and how a message is parsed and serialized."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable, Mapping
from typing import Any


class ProtocolError(Exception):
    """The input violates the simulator's protocol."""


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a whole number")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a number")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a string")
    return value


def _boolean(value: Any) -> bool:
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


def _numbers(value: Any) -> dict[str, float]:
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


Parser = Callable[[Any], Any]
REQUIRED = object()
# message -> field -> (parser, default value or REQUIRED)
Fields = Mapping[str, tuple[Parser, Any]]
EVENTS: Mapping[str, Fields] = {
    "Mark": {"sim_time": (_integer, REQUIRED), "round": (_integer, REQUIRED)},
    "End": {},
    "Pool": {"page": (_integer, REQUIRED), "nodes_list": (_objects, REQUIRED)},
    "NewInstance": {"random_seed": (_integer, REQUIRED), "boot_info": (_object, REQUIRED)},
    "Down": {},
    "Targets": {"page": (_integer, 0), "how": (_integer, REQUIRED), "version": (_integer, 0)},
    "Reminder": {"handle": (_integer, REQUIRED)},
    "ProbeDone": {
        "worker": (_text, REQUIRED),
        "disposition": (_integer, REQUIRED),
        "elapsed": (_integer, REQUIRED),
        "report": (_numbers, {}),
    },
    "FromPeer": {"author": (_integer, REQUIRED), "data": (_bytes, b"")},
    "Attached": {
        "yes": (_boolean, False),
        "size": (_number, REQUIRED),
        "proxy": (_integer, REQUIRED),
        "dc": (_text, REQUIRED),
    },
    "StreamDown": {"proxy": (_integer, REQUIRED)},
    "TrafficReport": {
        "many": (_integer, REQUIRED),
        "dc": (_text, REQUIRED),
        "covers": (_integer, REQUIRED),
        "worker": (_text, REQUIRED),
        "failed": (_integer, REQUIRED),
        "elapsed": (_integer, REQUIRED),
        "report": (_numbers, {}),
    },
    "Usage": {
        "many": (_integer, REQUIRED),
        "covers": (_integer, REQUIRED),
        "band": (_text, REQUIRED),
        "proxy": (_integer, REQUIRED),
        "failed": (_integer, REQUIRED),
    },
    "WeightSeen": {
        "map_id": (_integer, REQUIRED),
        "band": (_text, REQUIRED),
        "many": (_integer, REQUIRED),
        "failed": (_integer, REQUIRED),
        "covers": (_integer, REQUIRED),
    },
    "Given": {"map_id": (_integer, REQUIRED), "yes": (_boolean, False)},
    "Recorded": {"map_id": (_integer, REQUIRED), "worker": (_text, REQUIRED), "size": (_number, REQUIRED)},
    "Installed": {
        "elapsed": (_integer, REQUIRED),
        "version": (_integer, REQUIRED),
        "proxy": (_integer, REQUIRED),
    },
}
ENTRY: Fields = {
    "worker": (_text, REQUIRED),
    "dc": (_text, REQUIRED),
    "model": (_text, REQUIRED),
    "cluster": (_integer, 0),
    "availability": (_integer, REQUIRED),
    "size": (_number, REQUIRED),
    "started_at": (_integer, 0),
}
WITHOUT_INSTANCE = frozenset({"Mark", "End", "Pool"})


def read_fields(where: str, fields: Fields, raw: Mapping[str, Any]) -> dict[str, Any]:
    """Parses the fields that are described; others are ignored."""
    parsed = {}
    for name, (parser, default) in fields.items():
        value = raw.get(name)
        if value is None:
            if default is REQUIRED:
                raise ProtocolError(f"{where}: field '{name}' is missing")
            parsed[name] = default
            continue
        try:
            parsed[name] = parser(value)
        except ValueError as expected:
            raise ProtocolError(f"{where}: field '{name}' should be {expected}") from None
    return parsed


def read_message(line: bytes) -> tuple[str, dict[str, Any]]:
    """Parses one line of input. Returns the message's name and its fields."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        raise ProtocolError("not JSON in UTF-8") from None
    if not isinstance(raw, dict):
        raise ProtocolError("not an object")
    name = raw.get("m")
    if not isinstance(name, str):
        raise ProtocolError("no message name in 'm'")
    fields = EVENTS.get(name)
    if fields is None:
        raise ProtocolError(f"unknown message '{name}'")
    parsed = read_fields(name, fields, raw)
    if name not in WITHOUT_INSTANCE:
        if raw.get("manager_id") is None:
            raise ProtocolError(f"{name}: field 'manager_id' is missing")
        try:
            parsed["manager_id"] = _integer(raw["manager_id"])
        except ValueError as expected:
            raise ProtocolError(f"{name}: field 'manager_id' should be {expected}") from None
    return name, parsed


def message(name: str, **fields: Any) -> bytes:
    """Serializes one line of the reply."""
    return json.dumps({"m": name, **fields}, separators=(",", ":")).encode() + b"\n"
