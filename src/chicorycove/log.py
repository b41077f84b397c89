"""Configures structured logs; lines on a request carry its id."""

import contextlib
import logging
import sys
import typing as t

from pythonjsonlogger.json import JsonFormatter

from .settings import LogFormat, LogSettings

LOGGER = logging.getLogger("chicorycove")

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
JSON_FIELDS = ["asctime", "levelname", "name", "message"]
JSON_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure(settings: LogSettings) -> None:
    """Write the package's log to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    match settings.format:
        case LogFormat.JSON:
            handler.setFormatter(JsonFormatter(JSON_FIELDS, rename_fields=JSON_NAMES))
        case LogFormat.TEXT:
            handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(settings.level.value.upper())
    LOGGER.propagate = False


@contextlib.contextmanager
def log_failure(message: str) -> t.Iterator[None]:
    """Log an unexpected exception with its cause instead of raising it."""
    try:
        yield
    except Exception:
        LOGGER.error(message, exc_info=True)


def for_request(request: str) -> logging.LoggerAdapter:
    """Return a logger that adds a request's id to each line."""
    return logging.LoggerAdapter(LOGGER, {"request": request})
