"""The event records that stand-ins write: one JSON object per line, stamped with the monotonic clock and
flushed after each line."""

from __future__ import annotations

import json
import time
from typing import Any


class EventRecord:
    """Appends events to a file; a process that is killed loses at most the line that it was writing."""

    def __init__(self, path: str, who: str) -> None:
        self._file, self._who = open(path, "a", buffering=1), who  # noqa: SIM115 - stays open as long as the process runs

    def log_event(self, event: str, **fields: Any) -> None:
        row = {"t": round(time.monotonic(), 4), "who": self._who, "ev": event, **fields}
        self._file.write(json.dumps(row, separators=(",", ":")) + "\n")
