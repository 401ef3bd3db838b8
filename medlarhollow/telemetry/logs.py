"""Logging in JSON."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from .mask import KeyMaskingFilter
from .prefixes import log_prefix_for
from .writer import BackgroundHandler

__all__ = ["configure_logging"]

# Libraries whose informational messages are of no use to operators. grpclib
# logs each stream reset by a peer, which is how Sync streams regularly end.
_QUIET_LIBRARIES = (
    "grpclib",
    "uvicorn",
    "aiohttp",
    "opentelemetry",
    "asyncio",
)


def configure_logging(settings):
    """Write the log records of all packages as JSON to stdout or a file.

    Keys of client accounts are masked in each record. A thread writes the
    lines; if the output is not read, lines are dropped and no task blocks.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``telemetry`` are read.
    """
    stream = sys.stdout
    if settings.telemetry.log_file:
        stream = open(settings.telemetry.log_file, "a", encoding="utf-8")  # noqa: SIM115
    handler = BackgroundHandler(stream)
    handler.setFormatter(
        _UtcJsonFormatter(
            "%(asctime)s %(levelname)s %(part)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "exc_info": "exception",
            },
            static_fields={"vm": settings.vm.name},
        )
    )
    handler.addFilter(_add_part_field)
    handler.addFilter(KeyMaskingFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.telemetry.log_level.upper())
    for name in _QUIET_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)


class _UtcJsonFormatter(JsonFormatter):
    """Formatter that writes UTC times in ISO 8601 format."""

    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03dZ"

    @staticmethod
    def converter(seconds):
        """Convert a timestamp to UTC."""
        return time.gmtime(seconds)


def _add_part_field(record):
    record.part = log_prefix_for(record.name)
    return True
