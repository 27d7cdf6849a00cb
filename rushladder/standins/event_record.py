"""What stand-ins write down: one JSON object a line, with the machine's monotonic clock, whole at each
line."""

from __future__ import annotations

import json
import time
from typing import Any


class EventRecord:
    """Appends to a file; a process that is killed loses at most the line it was writing."""

    def __init__(self, path: str, who: str) -> None:
        self._file, self._who = open(path, "a", buffering=1), who  # noqa: SIM115 - open as long as it lives

    def log_event(self, event: str, **more: Any) -> None:
        row = {"t": round(time.monotonic(), 4), "who": self._who, "ev": event, **more}
        self._file.write(json.dumps(row, separators=(",", ":")) + "\n")
