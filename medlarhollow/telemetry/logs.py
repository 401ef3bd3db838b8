"""JSON logs."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from .mask import KeyMaskingFilter
from .prefixes import log_prefix_for
from .writer import BackgroundHandler

__all__ = ["configure_logging"]

# Libraries whose informative messages are of no use to operators; grpclib
# logs each stream that a peer resets, which is how a Sync stream ends.
_QUIET = ("grpclib", "uvicorn", "aiohttp", "opentelemetry", "asyncio")


def configure_logging(settings):
    """Send log records of all parts to standard output or a file as JSON.

    Keys of client accounts are masked in each record. A thread writes the
    lines; if nobody reads them, lines are lost and no task waits.

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
        _Formatter(
            "%(asctime)s %(levelname)s %(part)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "exc_info": "exception",
            },
            static_fields={"vm": settings.vm.name},
        )
    )
    handler.addFilter(_add_part)
    handler.addFilter(KeyMaskingFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.telemetry.log_level.upper())
    for name in _QUIET:
        logging.getLogger(name).setLevel(logging.WARNING)


class _Formatter(JsonFormatter):
    """Write times with date and offset, as tools expect them."""

    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03dZ"

    @staticmethod
    def converter(seconds):
        """Return the time in UTC."""
        return time.gmtime(seconds)


def _add_part(record):
    record.part = log_prefix_for(record.name)
    return True
