"""Sets up the structured log of a process on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from rushladder.conf.objects import LogSettings


def make_log(settings: LogSettings, **bound: Any) -> Any:
    """Configures logging and returns a logger. bound: fields that are added to each line."""
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, settings.level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(**bound)
