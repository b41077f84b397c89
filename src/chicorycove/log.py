"""Configures structured logs; lines on a request carry its id."""

import logging
import sys

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


def for_request(request: str) -> logging.LoggerAdapter:
    """Return a logger that adds a request's id to each line."""
    return logging.LoggerAdapter(LOGGER, {"request": request})
