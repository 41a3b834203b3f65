"""Structured logging: one event name for each event, as JSON lines or as human-readable text.

    log = get_logger(__name__)
    log.info("request_refused", request_id=request_id, reason=error.kind)

Event names are lower-case words joined by underscores; variable data goes into fields.
"""

import logging
import sys
from enum import Enum
from typing import Any, Protocol

import structlog

from lacewinggw.errors import LacewingError
from lacewinggw.generated.settings.ttypes import ProcessSettings

Logger = structlog.typing.FilteringBoundLogger


class LineStream(Protocol):
    """Destination of log lines."""

    def write(self, text: str, /) -> int:
        """Write a line."""

    def flush(self) -> None:
        """Write buffered lines."""


class LogFormat(Enum):
    """Format of a log line."""

    JSON = "json"
    TEXT = "text"


def configure_log(
    log_format: LogFormat,
    level: str,
    stream: LineStream | None = None,
) -> None:
    """Configure logging for the process, to `stream` or else to standard error."""
    out = stream or sys.stderr
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _expand_error,
            structlog.processors.format_exc_info,
            _renderer(log_format),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_level_number(level)),
        logger_factory=structlog.WriteLoggerFactory(file=out),  # type: ignore[arg-type]
        cache_logger_on_first_use=False,
    )


def configure_process_log(
    settings: ProcessSettings,
    role: str,
    incarnation: str,
    stream: LineStream | None = None,
) -> None:
    """Configure logging from settings; add host, place, role and incarnation to every line."""
    configure_log(LogFormat(settings.log_format), settings.log_level, stream)
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(
        host=settings.host,
        place=settings.place,
        role=role,
        incarnation=incarnation,
    )


def get_logger(module: str = "", **fields: Any) -> Logger:
    """Return a logger that adds the module's name, if given, and `fields` to each line."""
    if module:
        fields["module"] = module.removeprefix("lacewinggw.")
    logger: Logger = structlog.get_logger(**fields)
    return logger


def _level_number(level: str) -> int:
    return logging.getLevelNamesMapping()[level.upper()]


def _renderer(log_format: LogFormat) -> Any:
    match log_format:
        case LogFormat.JSON:
            return structlog.processors.JSONRenderer(default=str)
        case LogFormat.TEXT:
            return structlog.dev.ConsoleRenderer(colors=False)


def _expand_error(_: Any, __: str, event: Any) -> Any:
    """Expand a `LacewingError` in the field `error` into code, kind, reason and remedy."""
    error = event.get("error")
    if isinstance(error, LacewingError):
        event["error"] = error.kind
        event["code"] = error.code
        event["reason"] = error.reason
        event["remedy"] = error.remedy
    elif isinstance(error, BaseException):
        event["error"] = f"{type(error).__name__}: {error}"
    return event
