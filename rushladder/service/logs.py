"""The log of a process: structured lines on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from rushladder.conf.objects import LogSettings


def make_log(form: LogSettings, **bound: Any) -> Any:
    render = (
        structlog.processors.JSONRenderer()
        if form.format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, form.level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(**bound)
